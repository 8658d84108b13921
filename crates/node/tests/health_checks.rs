//! Probes: a transcriber that may be probed is, before a client is placed there, and what it reports is heeded.

mod common;
use common::{within, Line, Rig};
use rstest::rstest;
use std::time::{Duration, Instant};

/// A node that may probe, as often as it likes.
fn probing(peers: usize) -> Rig {
    let mut rig = Rig::start(peers);
    rig.set(|settings| {
        settings["Limits"]["MayProbe"] = true.into();
        settings["Prices"] = serde_json::json!({ "Probe": 0.0001 });
        settings["Report"] = serde_json::json!({ "Fields": ["rate", "x0"], "How": "on_probe" });
    });
    rig
}

/// The next probe: which transcriber's, and the connection.
fn probed(rig: &Rig) -> (usize, Line) {
    let (at, mut probe) = rig.tried();
    assert_eq!(probe.hear(), "STATS");
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
    #[values(1, 4)] peers: usize,
) {
    let (mut rig, at, mut client, line, _probe) = within("an answer in time", || {
        let mut rig = probing(peers);
        let began = Instant::now();
        let (client, line) = rig.open("d=1500,g=a");
        let (at, mut probe) = probed(&rig);
        probe.say(&format!("{answer}\r\n"));
        (began.elapsed() < IN_TIME).then_some((rig, at, client, line, probe))
    });
    let (tried, mut peer) = rig.tried();
    let text = peer.hear();
    assert_eq!((tried, &text[..21]), (at, &line[..21]));
    peer.say("UP r1\r\n");
    assert_eq!(client.hear(), "UP r1");
    assert!(rig.running());
}

/// One connection for the probes of a transcriber, however many there are.
#[test]
fn probes_of_a_transcriber_share_a_connection() {
    let mut rig = probing(1);
    let _client = rig.open("d=1500,g=a");
    let (_, mut probe) = probed(&rig);
    probe.say("PONG rate=2,x0=0.3\r\n");
    let _peer = rig.tried();
    // Reports are old after a second: then it is probed anew, and until then nothing but clients has connected.
    within("another probe", || {
        let (mut client, _) = rig.open("d=1500,g=a");
        let tried = within("a try or a probe", || {
            let tried = rig.peers[0]
                .as_ref()?
                .accept()
                .ok()
                .map(|(stream, _)| Some(Line::new(stream)));
            tried.or_else(|| (!probe.quiet()).then_some(None))
        });
        let Some(mut peer) = tried else {
            return Some(());
        };
        assert!(peer.hear().starts_with("OPEN"));
        peer.say("BYE\r\n");
        assert_eq!(client.hear(), "BYE");
        None
    });
    assert_eq!(probe.hear(), "STATS");
}

/// One that reports more load than it can carry is left for the other.
#[test]
fn a_transcriber_that_reports_to_be_full_is_passed_over() {
    let (rig, mut client, full, other, _probes) = within("answers in time", || {
        let mut rig = probing(2);
        let began = Instant::now();
        let (client, _) = rig.open("d=1500,g=a");
        let (full, mut first) = probed(&rig);
        first.say("PONG rate=90,x0=1.4\r\n");
        if began.elapsed() > IN_TIME {
            return None;
        }
        let (other, mut second) = probed(&rig);
        second.say("PONG rate=9,x0=0.1\r\n");
        (began.elapsed() < IN_TIME).then_some((rig, client, full, other, [first, second]))
    });
    assert_ne!(full, other);
    let (tried, mut peer) = rig.tried();
    assert!(peer.hear().starts_with("OPEN"));
    assert_eq!(tried, other);
    peer.say("UP r1\r\n");
    assert_eq!(client.hear(), "UP r1");
}

/// What was full when it was last asked is asked anew before the next client is refused.
#[test]
fn a_full_transcriber_is_asked_again_before_a_client_is_refused() {
    let mut rig = probing(1);
    let (mut client, _) = rig.open("d=1500,g=a");
    let (_, mut probe) = probed(&rig);
    probe.say("PONG rate=90,x0=1.4\r\n");
    assert!(client.hear().starts_with("BUSY"));
    let began = Instant::now();
    within("another probe", || {
        let (mut client, _) = rig.open("d=1500,g=a");
        within("an answer or a probe", || {
            (!client.quiet() || !probe.quiet()).then_some(())
        });
        (!probe.quiet()).then_some(())
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
    within("it is left", || {
        clients.push(rig.open("d=1500,g=a").0);
        loop {
            let client = clients.last_mut()?;
            // Refused where an answer came too late.
            let (at, mut peer) = within("a try or an answer", || {
                let mut peers = rig.peers.iter().enumerate();
                let tried =
                    peers.find_map(|(at, peer)| Some((at, peer.as_ref()?.accept().ok()?.0)));
                tried
                    .map(Some)
                    .or_else(|| (!client.quiet()).then_some(None))
            })
            .map(|(at, stream)| (at, Line::new(stream)))?;
            let fails = *failing.get_or_insert(at) == at;
            match peer.hear().starts_with("STATS") {
                true if fails && errs => peer.say("ERR\r\n"),
                true if fails => {}
                true => peer.say("PONG rate=1,x0=0.1\r\n"),
                false => {
                    peer.say("UP r1\r\n");
                    assert_eq!(client.hear(), "UP r1");
                    return (!fails).then_some(());
                }
            }
            // A connection that is not answered ends here.
            if !fails || errs {
                std::mem::forget(peer);
            }
        }
    });
}
