//! Discovery that is down, overloaded or back, and what the node owes meanwhile.

mod common;
use common::{wait_until, LineStream, Rig};
use rstest::rstest;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const NEW_WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Works until it is dropped.
struct Background {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Background {
    /// Takes a step again and again, a few milliseconds apart.
    fn run(mut step: impl FnMut() + Send + 'static) -> Background {
        let over = Arc::new(AtomicBool::new(false));
        let until = Arc::clone(&over);
        let thread = std::thread::spawn(move || {
            while !until.load(Ordering::Relaxed) {
                step();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        Background {
            over,
            thread: Some(thread),
        }
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let ended = self.thread.take().unwrap().join();
        assert!(ended.is_ok() || std::thread::panicking());
    }
}

/// So many connections that say nothing; each that is ended is made anew.
fn idle_clients(to: SocketAddr, count: usize) -> Background {
    let mut idle: Vec<Option<TcpStream>> = (0..count).map(|_| None).collect();
    Background::run(move || {
        for place in &mut idle {
            let open = place.as_ref().is_some_and(|stream| {
                stream
                    .peek(&mut [0])
                    .is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
            });
            if !open {
                *place = TcpStream::connect(to).ok();
                if let Some(stream) = place {
                    stream.set_nonblocking(true).unwrap();
                }
            }
        }
    })
}

/// Idle clients by the hundred fill what descriptors there are while discovery is down. When it is back the node hears it, uses what it
/// tells, serves a request and answers the staff, and never holds more descriptors than it may.
#[rstest]
fn idle_clients_keep_nobody_out_when_discovery_is_back(#[values(64, 80)] sockets: usize) {
    let mut rig = Rig::start_with_descriptors(2, sockets);
    let (held, at, _peer) = rig.establish();
    let kept = rig.stop_discovery();
    rig.wait_for_log("discovery failed");
    let idle = idle_clients(rig.client_address(), 200);
    // They have been there for longer than a first line may take, so that the oldest ones have been replaced.
    rig.wait_for_log_count("discovery failed", 4);
    let mut most = 0;
    // It stands still meanwhile: what is opened and closed under the count would be counted twice.
    let mut look = |rig: &Rig| {
        rig.pause();
        most = most.max(rig.open_descriptor_count());
        rig.resume();
    };
    look(&rig);
    rig.restart_discovery(kept);
    let back = Instant::now();
    rig.accept_watch();
    let heard = back.elapsed();
    look(&rig);
    rig.announce_health(at, "DRAINING", 2);
    rig.wait_for_log("seq: 2");
    let asked = Instant::now();
    assert_eq!(rig.admin_call("check\r\n"), "done");
    let checked = asked.elapsed();
    look(&rig);
    let asked = Instant::now();
    let (client, other, peer) = rig.establish();
    let served = asked.elapsed();
    look(&rig);
    eprintln!(
        "heard after {heard:?}, checked in {checked:?}, served in {served:?}, {most} descriptors"
    );
    assert_ne!(other, at, "it was told that this one drains");
    assert!(heard < Duration::from_secs(6), "{heard:?}");
    assert!(checked < Duration::from_secs(1), "{checked:?}");
    assert!(served < Duration::from_secs(1), "{served:?}");
    assert!(most <= sockets, "{most} descriptors");
    drop((idle, held, client, peer));
}

/// How discovery is while the nodes begin.
#[derive(Clone, Copy, PartialEq)]
enum Discovery {
    Down,
    /// Takes calls and never answers.
    Hangs,
    /// Answers so many calls a second, one after another, and fails what has waited for 2 s.
    Answers(f64),
}

/// One discovery behind the listeners of all nodes.
fn one_for_all(listeners: Vec<TcpListener>, how: Discovery) -> Background {
    let (mut waiting, mut held, mut free) = (VecDeque::new(), Vec::new(), Instant::now());
    Background::run(move || {
        for listener in &listeners {
            while let Ok((stream, _)) = listener.accept() {
                waiting.push_back((Instant::now(), LineStream::new(stream)));
            }
        }
        let Discovery::Answers(a_second) = how else {
            return;
        };
        while free <= Instant::now() {
            let Some((since, mut call)): Option<(Instant, LineStream)> = waiting.pop_front() else {
                break;
            };
            free = free.max(since) + Duration::from_secs_f64(1.0 / a_second);
            let late = since.elapsed() > Duration::from_secs(2);
            // Whoever has gone meanwhile has cost its time all the same.
            let _ = std::io::Write::write_all(
                &mut call.stream,
                if late { BUSY } else { NEW_WATCH }.as_bytes(),
            );
            held.extend((!late).then_some(call));
        }
    })
}

/// Thirty of 300 nodes begin at once, and discovery has no answer for them or too few: nine in ten are ready within 10 s.
#[rstest]
#[case::down(Discovery::Down)]
#[case::hangs(Discovery::Hangs)]
#[case::overloaded(Discovery::Answers(1.0))]
#[case::as_small_ones_answer(Discovery::Answers(2.0))]
fn nine_in_ten_that_begin_at_once_are_ready_in_time(#[case] how: Discovery) {
    let began = Instant::now();
    let mut rigs: Vec<Rig> = (0..30)
        .map(|_| {
            Rig::launch_with_config(1, 1024, |config| {
                config["settings"]["Instances"] = 300.into();
            })
        })
        .collect();
    let down: Vec<_> = match how {
        Discovery::Down => rigs.iter_mut().map(Rig::stop_discovery).collect(),
        _ => Vec::new(),
    };
    let _discovery = one_for_all(
        rigs.iter()
            .map(|rig| rig.discovery.try_clone().unwrap())
            .collect(),
        how,
    );
    let mut ready = vec![None; rigs.len()];
    wait_until("all are ready", || {
        for (rig, ready) in rigs
            .iter()
            .zip(&mut ready)
            .filter(|(_, ready)| ready.is_none())
        {
            *ready = (rig.query("PING\r\n") == "PONG").then(|| began.elapsed());
        }
        ready.iter().all(Option::is_some).then_some(())
    });
    let mut took: Vec<Duration> = ready.into_iter().flatten().collect();
    took.sort_unstable();
    eprintln!(
        "ready after {:?}, {:?}, {:?}, {:?}",
        took[0], took[14], took[26], took[29]
    );
    drop(down);
    assert!(took[26] <= Duration::from_secs(10), "{took:?}");
}
