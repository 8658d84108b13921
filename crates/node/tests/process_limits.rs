//! The node's use of resources at their limits: descriptors, memory, listening sockets, standard streams.

mod common;
use common::{wait_until, EchoServers, LineStream, Rig};
use rstest::rstest;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The state of a listening socket in the kernel's table.
const TCP_LISTEN: &str = "0A";

/// The number of descriptors that a process holds.
fn descriptor_count(process_id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count)
}

/// The peak memory of a process, in KiB.
fn peak_memory_kib(process_id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.unwrap()
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .unwrap()
}

/// Samples the number of descriptors of a process until this value is dropped.
struct DescriptorWatch {
    max_count: Arc<AtomicUsize>,
    is_stopped: Arc<AtomicBool>,
}

impl DescriptorWatch {
    fn start(process_id: u32) -> DescriptorWatch {
        let watch = DescriptorWatch {
            max_count: Arc::default(),
            is_stopped: Arc::default(),
        };
        let max_count = Arc::clone(&watch.max_count);
        let is_stopped = Arc::clone(&watch.is_stopped);
        std::thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                max_count.fetch_max(descriptor_count(process_id), Ordering::Relaxed);
            }
        });
        watch
    }
}

impl Drop for DescriptorWatch {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Many clients, silent connections and admin calls never use more descriptors than the configuration allows, and every
/// request is answered.
#[rstest]
fn many_connections_never_use_more_descriptors_than_allowed(
    #[values(64, 128, 256)] descriptors: usize,
) {
    let mut rig = Rig::start_changed(3, descriptors, None, |_| {});
    rig.allow_long_delays();
    let _servers = EchoServers::start(&rig);
    let watch = DescriptorWatch::start(rig.process_id());
    let mut silent = Vec::new();
    let mut clients = Vec::new();
    let mut callers = Vec::new();
    for round in 0..40 {
        silent.extend((0..20).map(|_| rig.connect_client()));
        callers.push(rig.connect_admin());
        let (mut client, _) = rig.send_request(&format!("d=1500,g={round}"));
        let answer = client.receive();
        assert!(
            ["UP", "BUSY"].contains(&answer.split(' ').next().unwrap()),
            "{answer}"
        );
        clients.push(client);
    }
    let max_count = watch.max_count.load(Ordering::Relaxed);
    println!("{max_count} descriptors of {descriptors}");
    assert!(max_count <= descriptors, "{max_count} of {descriptors}");
    drop((silent, callers, clients));
    wait_until("a client is served", || {
        let (mut client, _) = rig.send_request("d=1500,g=a");
        client.receive().starts_with("UP").then_some(())
    });
}

/// The number of clients that a node serves at once, as the README says.
fn max_clients(descriptors: usize) -> usize {
    let reserved = 40 + (descriptors / 24).clamp(4, 32) + descriptors / 12;
    (descriptors - reserved) / 2
}

/// The two processes of an upgrade each served as many clients as the limit allows both together: each knew the other's
/// number of clients as of up to 100 ms ago.
#[rstest]
fn the_processes_of_an_upgrade_share_the_limit_of_clients(#[values(128, 256)] descriptors: usize) {
    let mut rig = Rig::start_inheriting_with_descriptors(8, descriptors);
    rig.allow_long_delays();
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    rig.wait_for_log_count("node budgets divided, processes: 2", 2);
    let _servers = EchoServers::start(&rig);
    let crowd_size = 2 * max_clients(descriptors);
    let mut clients: Vec<_> = (0..crowd_size).map(|_| rig.connect_client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let line = format!("OPEN {number:016x} 7f3a9c21e0b4d655 c=chat,d=1500,g={number}\r\n");
        let _ = client.try_send(&line);
    }
    let answers = clients.iter_mut().filter_map(LineStream::try_receive);
    let served_count = answers.filter(|answer| answer.starts_with("UP")).count();
    println!(
        "{served_count} clients served, {} allowed",
        max_clients(descriptors)
    );
    assert!(served_count <= max_clients(descriptors), "{served_count}");
}

/// A value of 60 MB and a client that reads nothing stay within the configured memory.
#[test]
fn floods_stay_within_the_memory_of_the_configuration() {
    const MEMORY_MB: usize = 24;
    let mut rig = Rig::start_changed(1, 256, None, |config| {
        config["limits"]["memory_mb"] = MEMORY_MB.into();
    });
    let (_reads_nothing, _, mut server) = rig.establish();
    server
        .stream
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    while server.try_send(&"z".repeat(64 << 10)).is_ok() {}
    let started_at = Instant::now();
    let megabyte = "x".repeat(1 << 20);
    let mut client = rig.connect_client();
    let _ = client.try_send("OPEN 9b1f03aa5c7e2d41 f c=chat,d=1000,g=");
    for _ in 0..60 {
        if client.try_send(&megabyte).is_err() {
            break;
        }
    }
    assert!(
        started_at.elapsed() < Duration::from_secs(6),
        "an error or a close within 6 s"
    );
    let _ = client.try_receive();
    assert_eq!(rig.query("PING\r\n"), "PONG");
    let peak = peak_memory_kib(rig.process_id());
    println!("peak memory: {peak} KiB");
    assert!(peak < MEMORY_MB << 10, "{peak} KiB");
}

/// The ports on which a process listens.
fn listening_ports(process_id: u32) -> Vec<u16> {
    let descriptors = std::fs::read_dir(format!("/proc/{process_id}/fd")).unwrap();
    let sockets: Vec<String> = descriptors
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .filter_map(|target| {
            Some(
                target
                    .strip_prefix("socket:[")?
                    .strip_suffix(']')?
                    .to_string(),
            )
        })
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut ports = Vec::new();
    for row in table.lines().skip(1) {
        let columns: Vec<&str> = row.split_whitespace().collect();
        if columns[3] == TCP_LISTEN && sockets.iter().any(|inode| inode == columns[9]) {
            let port = columns[1].rsplit(':').next().unwrap();
            ports.push(u16::from_str_radix(port, 16).unwrap());
        }
    }
    ports
}

/// The open files of a process except its standard streams, which are inherited from the caller of the tests.
fn opened_files(process_id: u32) -> Vec<String> {
    const STANDARD_STREAMS: [&str; 3] = ["0", "1", "2"];
    std::fs::read_dir(format!("/proc/{process_id}/fd"))
        .unwrap()
        .filter_map(Result::ok)
        .filter(|entry| !STANDARD_STREAMS.contains(&entry.file_name().to_str().unwrap()))
        .filter_map(|entry| std::fs::read_link(entry.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .filter(|target| target.starts_with('/') && !target.starts_with("/dev/"))
        .collect()
}

/// The node listens only at its address and at the admin address if the configuration names one; it writes no file.
#[rstest]
fn the_process_listens_only_at_configured_addresses_and_writes_no_file(
    #[values(true, false)] has_admin_address: bool,
) {
    let rig = Rig::start_changed(1, 256, None, |config| {
        if !has_admin_address {
            config.as_object_mut().unwrap().remove("management");
        }
    });
    let mut expected = vec![rig.client_address().port()];
    if has_admin_address {
        expected.push(rig.admin_address().port());
    }
    expected.sort_unstable();
    let mut ports = listening_ports(rig.process_id());
    ports.sort_unstable();
    assert_eq!(ports, expected);
    assert_eq!(opened_files(rig.process_id()), Vec::<String>::new());
}

/// The reader of the log closes its pipe: writes of the log fail, and the node has to keep serving.
#[test]
fn a_node_whose_log_has_no_reader_keeps_serving() {
    let rig = Rig::start(1);
    let mut config = rig.config.clone();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    config["listen"] = address.to_string().into();
    config.as_object_mut().unwrap().remove("management");
    let path = std::env::temp_dir().join(format!("lupincrank-log-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_lupincrank"))
        .args(["serve", "--verbose", "--config"])
        .arg(&path)
        .env_clear()
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(process.stderr.take());
    for _ in 0..50 {
        let mut client = LineStream::new(wait_until("the node listens", || {
            std::net::TcpStream::connect(address).ok()
        }));
        client.send("HELLO\r\n");
        assert_eq!(client.receive(), "ERR");
    }
    assert!(
        process.try_wait().unwrap().is_none(),
        "the node keeps serving"
    );
    process.kill().unwrap();
    process.wait().unwrap();
    let _ = std::fs::remove_file(path);
}

/// Without a free descriptor the process must not spin on a listener that stays ready.
#[test]
fn a_process_without_descriptors_does_not_spin() {
    let rig = Rig::start_changed(1, 64, None, |_| {});
    let open_count = descriptor_count(rig.process_id()) as u64;
    let limit = Rlimit {
        current: Some(open_count),
        maximum: Some(open_count),
    };
    let process = Pid::from_raw(rig.process_id() as i32);
    prlimit(process, Resource::Nofile, limit).unwrap();
    let _waiting: Vec<LineStream> = (0..20).map(|_| rig.connect_client()).collect();
    let before = processor_ticks(rig.process_id());
    std::thread::sleep(Duration::from_secs(2));
    let ticks = processor_ticks(rig.process_id()) - before;
    assert!(
        ticks < 40,
        "{ticks} hundredths of a second of processor time in 2 s"
    );
}

/// User and system time of a process, in hundredths of a second.
fn processor_ticks(process_id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}
