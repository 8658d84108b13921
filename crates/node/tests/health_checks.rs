//! Probes: a transcriber that may be probed is, before a client is placed there, and what it reports is heeded.

mod common;
use common::{wait_until, LineStream, Rig};
use rstest::rstest;
use std::time::{Duration, Instant};

/// A node that may probe, as often as it likes.
fn probing(servers: usize) -> Rig {
    let mut rig = Rig::start(servers);
    rig.change_settings(|settings| {
        settings["Limits"]["MayProbe"] = true.into();
        settings["Prices"] = serde_json::json!({ "Probe": 0.0001 });
        settings["Report"] = serde_json::json!({ "Fields": ["rate", "x0"], "How": "on_probe" });
    });
    rig
}

/// The next probe: which transcriber's, and the connection.
fn probed(rig: &Rig) -> (usize, LineStream) {
    let (at, mut probe) = rig.accept_attempt();
    assert_eq!(probe.receive(), "STATS");
    (at, probe)
}

/// An answer later than this may come when the node has gone on without it, on a machine that has much to do.
const IN_TIME: Duration = Duration::from_millis(25);

/// The transcriber that was probed gets the client once it has answered, and not the next one.
#[rstest]
#[case("PONG rate=2,x0=0.3")]
#[case("PONG")]
#[case("NO")]
fn a_client_goes_to_the_transcriber_that_was_probed(
    #[case] answer: &str,
    #[values(1, 4)] servers: usize,
) {
    let (mut rig, at, mut client, line, _probe) = wait_until("an answer in time", || {
        let mut rig = probing(servers);
        let began = Instant::now();
        let (client, line) = rig.send_request("d=1500,g=a");
        let (at, mut probe) = probed(&rig);
        probe.send(&format!("{answer}\r\n"));
        (began.elapsed() < IN_TIME).then_some((rig, at, client, line, probe))
    });
    let (tried, mut server) = rig.accept_attempt();
    let text = server.receive();
    assert_eq!((tried, &text[..21]), (at, &line[..21]));
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
    assert!(rig.is_running());
}

/// One connection for the probes of a transcriber, however many there are.
#[test]
fn probes_of_a_transcriber_share_a_connection() {
    let mut rig = probing(1);
    let _client = rig.send_request("d=1500,g=a");
    let (_, mut probe) = probed(&rig);
    probe.send("PONG rate=2,x0=0.3\r\n");
    let _peer = rig.accept_attempt();
    // Reports are old after a second: then it is probed anew, and until then nothing but clients has connected.
    wait_until("another probe", || {
        let (mut client, _) = rig.send_request("d=1500,g=a");
        let tried = wait_until("a try or a probe", || {
            let tried = rig.servers[0]
                .as_ref()?
                .accept()
                .ok()
                .map(|(stream, _)| Some(LineStream::new(stream)));
            tried.or_else(|| (!probe.is_quiet()).then_some(None))
        });
        let Some(mut server) = tried else {
            return Some(());
        };
        assert!(server.receive().starts_with("OPEN"));
        server.send("BYE\r\n");
        assert_eq!(client.receive(), "BYE");
        None
    });
    assert_eq!(probe.receive(), "STATS");
}

/// One that reports more load than it can carry is left for the other.
#[test]
fn a_transcriber_that_reports_to_be_full_is_passed_over() {
    let (rig, mut client, full, other, _probes) = wait_until("answers in time", || {
        let mut rig = probing(2);
        let began = Instant::now();
        let (client, _) = rig.send_request("d=1500,g=a");
        let (full, mut first) = probed(&rig);
        first.send("PONG rate=90,x0=1.4\r\n");
        if began.elapsed() > IN_TIME {
            return None;
        }
        let (other, mut second) = probed(&rig);
        second.send("PONG rate=9,x0=0.1\r\n");
        (began.elapsed() < IN_TIME).then_some((rig, client, full, other, [first, second]))
    });
    assert_ne!(full, other);
    let (tried, mut server) = rig.accept_attempt();
    assert!(server.receive().starts_with("OPEN"));
    assert_eq!(tried, other);
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
}

/// What was full when it was last asked is asked anew before the next client is refused.
#[test]
fn a_full_transcriber_is_asked_again_before_a_client_is_refused() {
    let mut rig = probing(1);
    let (mut client, _) = rig.send_request("d=1500,g=a");
    let (_, mut probe) = probed(&rig);
    probe.send("PONG rate=90,x0=1.4\r\n");
    assert!(client.receive().starts_with("BUSY"));
    let began = Instant::now();
    wait_until("another probe", || {
        let (mut client, _) = rig.send_request("d=1500,g=a");
        wait_until("an answer or a probe", || {
            (!client.is_quiet() || !probe.is_quiet()).then_some(())
        });
        (!probe.is_quiet()).then_some(())
    });
    // A report is fresh for a second, and after four it would be past anyway.
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
}

/// One that ends the probe's connection, or says that it errs, is left for the other as well.
#[rstest]
fn a_transcriber_that_fails_its_probes_is_passed_over(#[values(true, false)] errs: bool) {
    let mut rig = probing(2);
    let mut clients = Vec::new();
    let mut failing = None;
    // Two failures in a row are needed.
    wait_until("it is left", || {
        clients.push(rig.send_request("d=1500,g=a").0);
        loop {
            let client = clients.last_mut()?;
            // Refused where an answer came too late.
            let (at, mut server) = wait_until("a try or an answer", || {
                let mut servers = rig.servers.iter().enumerate();
                let tried =
                    servers.find_map(|(at, server)| Some((at, server.as_ref()?.accept().ok()?.0)));
                tried
                    .map(Some)
                    .or_else(|| (!client.is_quiet()).then_some(None))
            })
            .map(|(at, stream)| (at, LineStream::new(stream)))?;
            let fails = *failing.get_or_insert(at) == at;
            match server.receive().starts_with("STATS") {
                true if fails && errs => server.send("ERR\r\n"),
                true if fails => {}
                true => server.send("PONG rate=1,x0=0.1\r\n"),
                false => {
                    server.send("UP r1\r\n");
                    assert_eq!(client.receive(), "UP r1");
                    return (!fails).then_some(());
                }
            }
            // A connection that is not answered ends here.
            if !fails || errs {
                std::mem::forget(server);
            }
        }
    });
}
