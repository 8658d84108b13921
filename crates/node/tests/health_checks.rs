//! Health checks: where the settings allow them a server is checked before a client is sent there, and its load report
//! counts.

mod common;
use common::{wait_until, LineStream, Rig};
use rstest::rstest;
use std::time::{Duration, Instant};

/// A node that may check health as often as it likes.
fn start_with_health_checks(servers: usize) -> Rig {
    let mut rig = Rig::start(servers);
    rig.change_settings(|settings| {
        settings["Limits"]["MayProbe"] = true.into();
        settings["Prices"] = serde_json::json!({ "Probe": 0.0001 });
        settings["Report"] = serde_json::json!({ "Fields": ["rate", "x0"], "How": "on_probe" });
    });
    rig
}

/// The next health check: which server's, and the connection.
fn accept_health_check(rig: &Rig) -> (usize, LineStream) {
    let (at, mut health_check) = rig.accept_attempt();
    assert_eq!(health_check.receive(), "STATS");
    (at, health_check)
}

/// The node may have gone on without an answer that is later than this, on a machine that has much to do.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(25);

/// That server gets the client once it has answered, and not the next one.
#[rstest]
#[case("PONG rate=2,x0=0.3")]
#[case("PONG")]
#[case("NO")]
fn a_client_goes_to_the_server_that_was_checked(
    #[case] answer: &str,
    #[values(1, 4)] servers: usize,
) {
    let (mut rig, at, mut client, line, _probe) = wait_until("an answer in time", || {
        let mut rig = start_with_health_checks(servers);
        let started_at = Instant::now();
        let (client, line) = rig.send_request("d=1500,g=a");
        let (at, mut health_check) = accept_health_check(&rig);
        health_check.send(&format!("{answer}\r\n"));
        (started_at.elapsed() < MAX_ANSWER_DELAY).then_some((rig, at, client, line, health_check))
    });
    let (tried, mut server) = rig.accept_attempt();
    let text = server.receive();
    assert_eq!((tried, &text[..21]), (at, &line[..21]));
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
    assert!(rig.is_running());
}

/// However many there are.
#[test]
fn health_checks_of_a_server_share_a_connection() {
    let mut rig = start_with_health_checks(1);
    let _client = rig.send_request("d=1500,g=a");
    let (_, mut health_check) = accept_health_check(&rig);
    health_check.send("PONG rate=2,x0=0.3\r\n");
    let _peer = rig.accept_attempt();
    // Reports are old after a second: then it is checked again, and until then nothing but clients has connected.
    wait_until("another health check", || {
        let (mut client, _) = rig.send_request("d=1500,g=a");
        let tried = wait_until("an attempt or a health check", || {
            let tried = rig.servers[0]
                .as_ref()?
                .accept()
                .ok()
                .map(|(stream, _)| Some(LineStream::new(stream)));
            tried.or_else(|| (!health_check.is_quiet()).then_some(None))
        });
        let Some(mut server) = tried else {
            return Some(());
        };
        assert!(server.receive().starts_with("OPEN"));
        server.send("BYE\r\n");
        assert_eq!(client.receive(), "BYE");
        None
    });
    assert_eq!(health_check.receive(), "STATS");
}

/// It reports more load than it can carry.
#[test]
fn a_server_that_reports_to_be_full_is_skipped() {
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
    let (tried, mut server) = rig.accept_attempt();
    assert!(server.receive().starts_with("OPEN"));
    assert_eq!(tried, other);
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
    // A report is fresh for a second, and after four it would be past anyway.
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
}

/// It closes the health check's connection, or answers with an error.
#[rstest]
fn a_server_that_fails_its_health_checks_is_skipped(
    #[values(true, false)] answers_with_error: bool,
) {
    let mut rig = start_with_health_checks(2);
    let mut clients = Vec::new();
    let mut failing = None;
    // Two failures in a row are needed.
    wait_until("it is skipped", || {
        clients.push(rig.send_request("d=1500,g=a").0);
        loop {
            let client = clients.last_mut()?;
            // Rejected where an answer came too late.
            let (at, mut server) = wait_until("an attempt or an answer", || {
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
                true if fails && answers_with_error => server.send("ERR\r\n"),
                true if fails => {}
                true => server.send("PONG rate=1,x0=0.1\r\n"),
                false => {
                    server.send("UP r1\r\n");
                    assert_eq!(client.receive(), "UP r1");
                    return (!fails).then_some(());
                }
            }
            // A connection that is not answered ends here.
            if !fails || answers_with_error {
                std::mem::forget(server);
            }
        }
    });
}
