//! End-to-end tests that run the adapter on complete protocol transcripts.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = concat!(
    r#"{"Categories":[{"DeadlineNs":3200000000,"Group":"all","LateShare":0.0,"Name":"a","PromiseNs":800000000,"#,
    r#""Repeat":"repeatable","Stream":true,"Value":3.0,"WindowNs":5000000000,"New":[1]}],"#,
    r#""FamilyInfo":{"Groups":true,"MessageAimNs":[250000000],"TenantQuotaConnections":[20.0,null]},"Instances":2,"#,
    r#""Limits":{"SendCap":5,"MayProbe":false,"RetryAfter":true,"MaxRetryAfterNs":2000000000},"#,
    r#""Obligations":{"AskWithinNs":10000000000,"ColdNs":24000000000,"DrainGraceNs":500000000,"#,
    r#""FallMultiple":3.0,"OverloadForNs":2000000000,"StartCapacity":0.14},"RegistryMode":"subscribe","#,
    r#""Report":{"Fields":[],"How":"off"},"Tenants":[{"Name":"t","Share":0.5},{"Name":"u","Share":0.5}]}"#
);

fn run(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lupincrank-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let input = input.to_string();
    // The input is written from a separate thread, as a long reply would otherwise block both sides. Write errors are
    // ignored, as the adapter exits at an invalid line.
    let writer = std::thread::spawn(move || {
        let _ = stdin.write_all(input.as_bytes());
    });
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.success(),
        text(output.stdout),
        text(output.stderr),
    )
}

fn batch(ns: u64, lines: &[String]) -> String {
    format!(
        "{{\"op\":\"TICK\",\"SimTimeNs\":{ns}}}\n{}{{\"op\":\"EOB\"}}\n",
        lines.concat()
    )
}

fn spawn(who: &str, seed: u64) -> String {
    format!("{{\"op\":\"SPAWN\",\"Who\":\"{who}\",\"Prng\":{seed},\"Conf\":{SETTINGS}}}\n")
}

fn endpoint_list(who: &str, kind: u32) -> String {
    format!(
        concat!(
            r#"{{"op":"UPDATE","Who":"{}","Kind":{},"Generation":41,"NodesList":["#,
            r#"{{"Server":"10.18.74.7:9003","Dc":0,"Type":0,"UnitGroup":0,"Health":0,"Heft":1,"UpSinceNs":null}},"#,
            r#"{{"Server":"10.144.17.242:9044","Health":0,"Extra":{{}}}}]}}"#,
            "\n"
        ),
        who, kind
    )
}

fn accept(who: &str, req: &str) -> String {
    format!(
        concat!(
            r#"{{"op":"ACCEPT","Who":"{}","Req":"{}","Resent":false,"Returned":false,"ExpectedNs":null,"Billing":0,"#,
            r#""TeamId":"c:team","ValidUntilNs":9000000000,"Affinity":"user:a","Stray":false,"Lane":0}}"#,
            "\n"
        ),
        who, req
    )
}

fn completed(who: &str, req: &str, seq: u32, code: u32) -> String {
    format!(
        "{{\"op\":\"COMPLETED\",\"Who\":\"{who}\",\"Req\":\"{req}\",\"StateCode\":{code},\"DoneFlag\":false,\
         \"RttNs\":100,\"Server\":\"10.18.74.7:9003\",\"SeqNo\":{seq},\"Gauge\":null}}\n"
    )
}

const REQUEST: &str = "e7a956fd5d3a91c4";

#[test]
fn a_rejected_request_is_retried_on_the_other_server_and_then_rejected() {
    let input = batch(1_000, &[spawn("proxy-0", 7), endpoint_list("proxy-0", 2)])
        + &batch(2_000, &[accept("proxy-0", REQUEST)])
        + &batch(3_000, &[completed("proxy-0", REQUEST, 0, 3)])
        + &batch(4_000, &[completed("proxy-0", REQUEST, 1, 5)])
        + &batch(5_000, &[]);
    let (ok, out, error) = run(&input);
    assert!(ok, "{error}");
    let replies: Vec<&str> = out.split("{\"op\":\"YIELD\"}\n").collect();
    assert_eq!(replies.len(), 6);
    assert!(replies[0].contains("\"op\":\"SUBSCRIBE\"") && replies[0].contains("\"op\":\"DEFER\""));
    let issued_servers = |reply: &str| {
        ["10.18.74.7:9003", "10.144.17.242:9044"].map(|server| reply.contains(server))
    };
    assert!(replies[1].contains(&format!(
        "\"op\":\"ISSUE\",\"Who\":\"proxy-0\",\"Req\":\"{REQUEST}\""
    )));
    assert!(replies[2].contains("\"op\":\"ISSUE\""));
    assert_ne!(issued_servers(replies[1]), issued_servers(replies[2]));
    assert!(replies[3].contains(&format!(
        "\"op\":\"NOT_NOW\",\"Who\":\"proxy-0\",\"Req\":\"{REQUEST}\""
    )));
    assert_eq!(replies[4], "");
}

#[test]
fn an_instance_torn_down_within_a_batch_sends_no_actions_and_its_successor_starts_clean() {
    let teardown = "{\"op\":\"TEARDOWN\",\"Who\":\"proxy-0\"}\n".to_string();
    let input = batch(1_000, &[spawn("proxy-0", 7), endpoint_list("proxy-0", 2)])
        + &batch(
            2_000,
            &[
                accept("proxy-0", REQUEST),
                teardown,
                spawn("proxy-0", 8),
                endpoint_list("proxy-0", 2),
            ],
        );
    let (ok, out, error) = run(&input);
    assert!(ok, "{error}");
    let second = out.split("{\"op\":\"YIELD\"}\n").nth(1).unwrap();
    assert!(
        !second.contains("ISSUE") && second.contains("SUBSCRIBE"),
        "{second}"
    );
}

#[test]
fn instances_of_one_process_act_as_in_processes_of_their_own() {
    let run_instances = |names: &[&str]| {
        let lines =
            |line: &dyn Fn(&str) -> String| names.iter().map(|name| line(name)).collect::<Vec<_>>();
        let mut input = batch(1_000, &lines(&|who| spawn(who, 7)));
        input += &batch(1_000, &lines(&|who| endpoint_list(who, 1)));
        for n in 0..200u64 {
            let req = format!("{n:016x}");
            input += &batch(2_000 + n, &lines(&|who| accept(who, &req)));
            input += &batch(
                2_000 + n,
                &lines(&|who| completed(who, &req, 0, 3 + 2 * (n % 2) as u32)),
            );
        }
        let (ok, out, error) = run(&input);
        assert!(ok, "{error}");
        out
    };
    let replies_of = |name: &str, out: &str| {
        out.lines()
            .filter(|line| line.contains(name))
            .map(String::from)
            .collect::<Vec<String>>()
    };
    let together = run_instances(&["proxy-0", "proxy-1"]);
    for name in ["proxy-0", "proxy-1"] {
        let alone = replies_of(name, &run_instances(&[name]));
        assert!(alone.len() > 200);
        assert_eq!(alone, replies_of(name, &together));
    }
}

#[test]
fn the_end_of_the_input_between_batches_is_no_error() {
    assert_eq!(run(""), (true, String::new(), String::new()));
    assert!(run(&batch(1, &[])).0);
}

#[test]
fn invalid_input_is_named_and_ends_the_program_without_a_panic() {
    let start = batch(1_000, &[spawn("proxy-0", 7)]);
    let after_start = |text: &str| start.clone() + &batch(2, &[format!("{text}\n")]);
    let cases = [
        ("nonsense\n".to_string(), "not a message"),
        ("{\"op\":\"TICK\"}\n".into(), "SimTimeNs is missing"),
        ("{\"op\":\"EOB\"}\n".into(), "outside a batch"),
        (batch(2, &[accept("proxy-0", REQUEST)]), "never spawned"),
        (
            after_start("{\"op\":\"FROBNICATE\",\"Who\":\"proxy-0\"}"),
            "unknown op",
        ),
        (
            after_start("{\"op\":\"WAKEUP\",\"Who\":\"proxy-0\"}"),
            "Handle is missing",
        ),
        (
            after_start("{\"op\":\"WAKEUP\",\"Handle\":1}"),
            "Who is missing",
        ),
        (
            after_start(accept("proxy-0", "xyz").trim()),
            "16 hex digits",
        ),
        (
            after_start(completed("proxy-0", REQUEST, 0, 77).trim()),
            "unknown code 77",
        ),
        (
            start.clone() + "{\"op\":\"TICK\",\"SimTimeNs\":5}\n",
            "inside a batch",
        ),
        (
            start.clone() + "{\"op\":\"TICK\",\"SimTimeNs\":5}\n{\"op\":\"EO",
            "not a message",
        ),
        (
            batch(1, &["{\"op\":\"SPAWN\",\"Who\":\"p\",\"Prng\":1}\n".into()]),
            "Conf is missing",
        ),
        (
            batch(
                1,
                &[
                    "{\"op\":\"SPAWN\",\"Who\":\"p\",\"Prng\":1,\"Conf\":{\"Categories\":[{}]}}\n"
                        .into(),
                ],
            ),
            "Categories[0].Repeat",
        ),
    ];
    for (input, expected) in cases {
        let (ok, _, error) = run(&input);
        assert!(
            !ok && error.contains(expected) && !error.contains("panicked"),
            "{input:?} gave {error:?}"
        );
    }
}
