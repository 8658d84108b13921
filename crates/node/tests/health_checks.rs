//! Tests of health checks: if the settings allow them, the node checks a server before it sends a request there, and
//! uses the load report in the answer.

mod common;
use common::{wait_until, LineStream, Rig};
use rstest::rstest;
use std::time::{Duration, Instant};

/// Starts a node whose rate of health checks is practically unlimited.
fn start_with_health_checks(servers: usize) -> Rig {
    let mut rig = Rig::start(servers);
    rig.change_settings(|settings| {
        settings["Limits"]["MayProbe"] = true.into();
        settings["Prices"] = serde_json::json!({ "Probe": 0.0001 });
        settings["Report"] = serde_json::json!({ "Fields": ["rate", "x0"], "How": "on_probe" });
    });
    rig
}

/// Accepts the next health check; returns the server's index and the connection.
fn accept_health_check(rig: &Rig) -> (usize, LineStream) {
    let (server_index, mut health_check) = rig.accept_attempt();
    assert_eq!(health_check.receive(), "STATS");
    (server_index, health_check)
}

/// The node may proceed without an answer that is later than this, which happens on a busy machine.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(25);

/// The request goes to the checked server once it has answered, and not to the next one.
#[rstest]
#[case("PONG rate=2,x0=0.3")]
#[case("PONG")]
#[case("NO")]
fn a_request_goes_to_the_server_that_was_checked(
    #[case] answer: &str,
    #[values(1, 4)] servers: usize,
) {
    let (mut rig, server_index, mut client, line, _health_check) =
        wait_until("an answer in time", || {
            let mut rig = start_with_health_checks(servers);
            let started_at = Instant::now();
            let (client, line) = rig.send_request("d=1500,g=a");
            let (server_index, mut health_check) = accept_health_check(&rig);
            health_check.send(&format!("{answer}\r\n"));
            (started_at.elapsed() < MAX_ANSWER_DELAY).then_some((
                rig,
                server_index,
                client,
                line,
                health_check,
            ))
        });
    let (attempted, mut server) = rig.accept_attempt();
    let text = server.receive();
    assert_eq!((attempted, &text[..21]), (server_index, &line[..21]));
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
    assert!(rig.is_running());
}

/// All health checks of one server use one connection.
#[test]
fn health_checks_of_a_server_share_a_connection() {
    let mut rig = start_with_health_checks(1);
    let _client = rig.send_request("d=1500,g=a");
    let (_, mut health_check) = accept_health_check(&rig);
    health_check.send("PONG rate=2,x0=0.3\r\n");
    let _peer = rig.accept_attempt();
    // Reports are stale after a second: then the server is checked again. Until then only requests have connected.
    wait_until("another health check", || {
        let (mut client, _) = rig.send_request("d=1500,g=a");
        let attempted = wait_until("an attempt or a health check", || {
            let attempted = rig.servers[0]
                .as_ref()?
                .accept()
                .ok()
                .map(|(stream, _)| Some(LineStream::new(stream)));
            attempted.or_else(|| (!health_check.is_quiet()).then_some(None))
        });
        let Some(mut server) = attempted else {
            return Some(());
        };
        assert!(server.receive().starts_with("OPEN"));
        server.send("BYE\r\n");
        assert_eq!(client.receive(), "BYE");
        None
    });
    assert_eq!(health_check.receive(), "STATS");
}

/// The server reports more load than it has capacity for.
#[test]
fn a_server_that_reports_overload_is_skipped() {
    let (rig, mut client, full, other, _health_checks) = wait_until("answers in time", || {
        let mut rig = start_with_health_checks(2);
        let started_at = Instant::now();
        let (client, _) = rig.send_request("d=1500,g=a");
        let (full, mut first) = accept_health_check(&rig);
        first.send("PONG rate=90,x0=1.4\r\n");
        if started_at.elapsed() > MAX_ANSWER_DELAY {
            return None;
        }
        let (other, mut second) = accept_health_check(&rig);
        second.send("PONG rate=9,x0=0.1\r\n");
        (started_at.elapsed() < MAX_ANSWER_DELAY).then_some((
            rig,
            client,
            full,
            other,
            [first, second],
        ))
    });
    assert_ne!(full, other);
    let (attempted, mut server) = rig.accept_attempt();
    assert!(server.receive().starts_with("OPEN"));
    assert_eq!(attempted, other);
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
}

/// A server that was full at its last health check is checked again before the next client is rejected.
#[test]
fn a_full_server_is_checked_again_before_a_client_is_rejected() {
    let mut rig = start_with_health_checks(1);
    let (mut client, _) = rig.send_request("d=1500,g=a");
    let (_, mut health_check) = accept_health_check(&rig);
    health_check.send("PONG rate=90,x0=1.4\r\n");
    assert!(client.receive().starts_with("BUSY"));
    let started_at = Instant::now();
    wait_until("another health check", || {
        let (mut client, _) = rig.send_request("d=1500,g=a");
        wait_until("an answer or a health check", || {
            (!client.is_quiet() || !health_check.is_quiet()).then_some(())
        });
        (!health_check.is_quiet()).then_some(())
    });
    // A report is recent for a second, and would be discarded after four seconds anyway.
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
}

/// The server closes the health check's connection, or answers with an error.
#[rstest]
fn a_server_that_fails_its_health_checks_is_skipped(#[values(true, false)] has_error_answer: bool) {
    let mut rig = start_with_health_checks(2);
    let mut clients = Vec::new();
    let mut failing = None;
    // Two failures in a row are needed.
    wait_until("the server is skipped", || {
        clients.push(rig.send_request("d=1500,g=a").0);
        loop {
            let client = clients.last_mut()?;
            // The request is rejected if an answer was too late.
            let (server_index, mut server) = wait_until("an attempt or an answer", || {
                let mut servers = rig.servers.iter().enumerate();
                let attempted = servers.find_map(|(server_index, server)| {
                    Some((server_index, server.as_ref()?.accept().ok()?.0))
                });
                attempted
                    .map(Some)
                    .or_else(|| (!client.is_quiet()).then_some(None))
            })
            .map(|(server_index, stream)| (server_index, LineStream::new(stream)))?;
            let is_failing = *failing.get_or_insert(server_index) == server_index;
            match server.receive().starts_with("STATS") {
                true if is_failing && has_error_answer => server.send("ERR\r\n"),
                true if is_failing => {}
                true => server.send("PONG rate=1,x0=0.1\r\n"),
                false => {
                    server.send("UP r1\r\n");
                    assert_eq!(client.receive(), "UP r1");
                    return (!is_failing).then_some(());
                }
            }
            // An unanswered connection is closed here.
            if !is_failing || has_error_answer {
                std::mem::forget(server);
            }
        }
    });
}
