//! What a process has learned of its servers, and its successor in an upgrade.

mod common;
use common::{exchange_lines, send_signal, wait_until, Rig};

/// The servers of the largest fleet.
const MAX_SERVERS: usize = 3_200;
/// The log of a process that takes over what its predecessor has learned, up to the number of servers.
const IMPORTED: &str = "learned state imported, limited: 0, ejected: 0, servers: ";

/// The number of servers whose learned state was imported, according to the log.
fn imported_server_count(rig: &Rig) -> usize {
    let log = rig.log();
    let imports = log.lines().filter_map(|line| line.split_once(IMPORTED));
    imports
        .map(|(_, count)| count.parse::<usize>().unwrap())
        .sum()
}

/// The learned state of some 1,500 servers and more was longer than a packet may be, and nothing of it was sent.
#[test]
fn what_was_learned_of_the_largest_fleet_is_handed_over() {
    let mut rig = Rig::start_with_inherited_listener(1);
    rig.announce_fleet(MAX_SERVERS);
    rig.hand_over_to_successor();
    wait_until("the learned state of all servers", || {
        (imported_server_count(&rig) >= MAX_SERVERS).then_some(())
    });
}

/// The state was sent when the older process began to hand over, though the newer one accepts clients before that.
#[test]
fn a_successor_knows_what_was_learned_while_its_predecessor_serves() {
    let mut rig = Rig::start_with_inherited_listener(2);
    let (_client, server_index, _server) = rig.establish();
    // The next request of the group finds that the server refuses connections.
    rig.stop_listening(server_index);
    let second = rig.establish();
    assert_ne!(second.1, server_index);
    rig.start_successor();
    rig.accept_watch();
    rig.wait_for_log("learned state imported, limited: 0, ejected: 1, servers: 2");
    // The older process learns nothing of it.
    send_signal(rig.oldest_process(), "-KILL");
    rig.wait_until_ready();
    let third = rig.establish();
    assert_ne!(third.1, server_index);
}

/// The successor stands still, so that the buffer of the socket has no space for what its predecessor has to send.
#[test]
fn learned_state_waits_for_space_in_the_buffer_and_precedes_the_connections() {
    let mut rig = Rig::start_with_inherited_listener(1);
    rig.announce_fleet(MAX_SERVERS);
    let (mut client, _, mut server) = rig.establish();
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    rig.wait_for_log_count("node budgets divided, processes: 2", 2);
    rig.pause();
    send_signal(rig.oldest_process(), "-TERM");
    rig.wait_for_log("shutdown started");
    assert!(!rig.log().contains("relay transfer started"));
    rig.resume();
    rig.wait_for_predecessor_exit();
    wait_until("the learned state of all servers", || {
        (imported_server_count(&rig) >= MAX_SERVERS).then_some(())
    });
    exchange_lines(&mut client, &mut server);
}
