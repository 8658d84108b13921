//! Bounds checks for the values of a scenario.

use super::{Class, Fault, FaultKind, MachineKind, Scenario, VERSION};

/// A value that is out of bounds.
pub(super) struct OutOfBounds {
    /// The dotted key of the value.
    pub(super) key: String,
    /// The value and its bounds.
    pub(super) message: String,
}

/// Collects the values of a scenario that are out of bounds.
#[derive(Default)]
struct BoundsCheck {
    out_of_bounds: Vec<OutOfBounds>,
}

impl BoundsCheck {
    /// Records `value` if it is not between `min` and `max`, both included. NaN is always out of bounds.
    fn check_range(&mut self, key: &str, value: f64, min: f64, max: f64) {
        if value >= min && value <= max {
            return;
        }
        self.out_of_bounds.push(OutOfBounds {
            key: key.to_string(),
            message: format!("{value} is not between {min} and {max}"),
        });
    }
}

/// Returns all values that are out of bounds, in the order of the sections.
pub(super) fn check(scenario: &Scenario) -> Vec<OutOfBounds> {
    let mut bounds = BoundsCheck::default();
    bounds.check_range(
        "version",
        f64::from(scenario.version),
        f64::from(VERSION),
        f64::from(VERSION),
    );
    bounds.check_range("length_s", scenario.length_s, 0.1, 1e6);
    check_fleet(&mut bounds, scenario);
    check_nodes(&mut bounds, scenario);
    check_net(&mut bounds, scenario);
    check_discovery(&mut bounds, scenario);
    check_clients(&mut bounds, scenario);
    check_rules(&mut bounds, scenario);
    check_goal(&mut bounds, scenario);
    check_classes(&mut bounds, scenario);
    check_faults(&mut bounds, scenario);
    bounds.out_of_bounds
}

fn check_fleet(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.check_range(
        "fleet.transcribers",
        f64::from(scenario.fleet.transcribers),
        1.0,
        20_000.0,
    );
    bounds.check_range("fleet.per_core", scenario.fleet.per_core, 1e-6, 1e9);
    bounds.check_range("fleet.cap", scenario.fleet.cap, 0.0, 1e6);
    bounds.check_range("fleet.buffer_s", scenario.fleet.buffer_s, 0.001, 1e6);
    bounds.check_range("fleet.message_ms", scenario.fleet.message_ms, 0.0, 1e5);
    bounds.check_range("fleet.group_cost", scenario.fleet.group_cost, 0.0, 1e3);
    bounds.check_range("fleet.weight_error", scenario.fleet.weight_error, 0.0, 0.9);
    bounds.check_range("fleet.kind", scenario.fleet.kind.len() as f64, 1.0, 64.0);
    for (index, kind) in scenario.fleet.kind.iter().enumerate() {
        check_machine_kind(bounds, index, kind);
    }
}

fn check_machine_kind(bounds: &mut BoundsCheck, index: usize, kind: &MachineKind) {
    let key = |name: &str| format!("fleet.kind.{index}.{name}");
    bounds.check_range(&key("share"), kind.share, 1e-9, 1e9);
    bounds.check_range(&key("cores"), f64::from(kind.cores), 1.0, 4096.0);
    bounds.check_range(&key("speed"), kind.speed, 1e-6, 1e6);
    bounds.check_range(&key("speed_cv"), kind.speed_cv, 0.0, 0.9);
    bounds.check_range(&key("queue"), f64::from(kind.queue), 0.0, 1e7);
    bounds.check_range(&key("thrash"), kind.thrash, 0.0, 100.0);
    bounds.check_range(&key("cold_from"), kind.cold_from, 0.01, 1.0);
    bounds.check_range(&key("cold_s"), kind.cold_s, 0.0, 1e4);
    bounds.check_range(&key("pause_every_s"), kind.pause_every_s, 0.0, 1e6);
    bounds.check_range(&key("pause_ms"), kind.pause_ms, 0.0, 1e5);
    bounds.check_range(&key("error_rate"), kind.error_rate, 0.0, 1.0);
}

fn check_nodes(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.check_range("nodes.count", f64::from(scenario.nodes.count), 1.0, 2000.0);
    bounds.check_range(
        "nodes.attempts",
        f64::from(scenario.nodes.attempts),
        1.0,
        3.0,
    );
    bounds.check_range(
        "nodes.retry_after_ms",
        scenario.nodes.retry_after_ms,
        0.0,
        1e6,
    );
    bounds.check_range("nodes.silence_s", scenario.nodes.silence_s, 0.0, 1e4);
    bounds.check_range(
        "nodes.connect_timeout_ms",
        scenario.nodes.connect_timeout_ms,
        0.0,
        1e6,
    );
    bounds.check_range(
        "nodes.front_notice_s",
        scenario.nodes.front_notice_s,
        0.0,
        1e4,
    );
}

fn check_net(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.check_range("net.zones", f64::from(scenario.net.zones), 1.0, 64.0);
    bounds.check_range("net.same_ms", scenario.net.same_ms, 0.0, 1e4);
    bounds.check_range("net.cross_ms", scenario.net.cross_ms, 0.0, 1e4);
    bounds.check_range("net.client_ms", scenario.net.client_ms, 0.0, 1e4);
    bounds.check_range("net.jitter", scenario.net.jitter, 0.0, 2.0);
    bounds.check_range(
        "net.handshake_rtts",
        scenario.net.handshake_rtts,
        0.0,
        100.0,
    );
}

fn check_discovery(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.check_range("discovery.capacity", scenario.discovery.capacity, 1e-3, 1e6);
    bounds.check_range(
        "discovery.timeout_s",
        scenario.discovery.timeout_s,
        1e-3,
        1e4,
    );
    bounds.check_range("discovery.notice_s", scenario.discovery.notice_s, 0.0, 1e4);
    bounds.check_range(
        "discovery.silent_notice_s",
        scenario.discovery.silent_notice_s,
        0.0,
        1e4,
    );
    bounds.check_range("discovery.add_s", scenario.discovery.add_s, 0.0, 1e4);
    bounds.check_range(
        "discovery.spread_ms",
        scenario.discovery.spread_ms,
        0.0,
        1e6,
    );
    bounds.check_range(
        "discovery.clock_ahead_s",
        scenario.discovery.clock_ahead_s,
        -1e4,
        1e4,
    );
}

fn check_clients(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.check_range("clients.load", scenario.clients.load, 0.0, 10.0);
    bounds.check_range("clients.rate", scenario.clients.rate, 0.0, 1e6);
    bounds.check_range("clients.start_skew", scenario.clients.start_skew, 0.0, 1.0);
    bounds.check_range("clients.life_s", scenario.clients.life_s, 1e-6, 1e6);
    bounds.check_range("clients.life_sigma", scenario.clients.life_sigma, 0.0, 3.0);
    bounds.check_range("clients.group_size", scenario.clients.group_size, 0.0, 1e6);
    bounds.check_range("clients.group_zipf", scenario.clients.group_zipf, 0.0, 10.0);
    bounds.check_range(
        "clients.retries",
        f64::from(scenario.clients.retries),
        0.0,
        10.0,
    );
    bounds.check_range("clients.backoff_ms", scenario.clients.backoff_ms, 1.0, 1e6);
    bounds.check_range("clients.rejoin_ms", scenario.clients.rejoin_ms, 50.0, 1e6);
    bounds.check_range("clients.move_ms", scenario.clients.move_ms, 1.0, 1e6);
    bounds.check_range("clients.honour", scenario.clients.honour, 0.0, 1.0);
    bounds.check_range("clients.most", f64::from(scenario.clients.most), 1.0, 1e7);
    bounds.check_range(
        "clients.message_every_s",
        scenario.clients.message_every_s,
        1e-3,
        1e4,
    );
    for (index, [second, factor]) in scenario.clients.shape.iter().enumerate() {
        let previous_second = index
            .checked_sub(1)
            .and_then(|previous| scenario.clients.shape.get(previous))
            .map_or(0.0, |point| point[0]);
        bounds.check_range(
            &format!("clients.shape.{index}"),
            *second,
            previous_second,
            1e6,
        );
        bounds.check_range(&format!("clients.shape.{index}"), *factor, 0.0, 1e3);
    }
}

fn check_rules(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.check_range(
        "rules.drain_grace_ms",
        scenario.rules.drain_grace_ms,
        0.0,
        1e6,
    );
    bounds.check_range(
        "rules.answer_slack_ms",
        scenario.rules.answer_slack_ms,
        0.0,
        1e6,
    );
    bounds.check_range(
        "rules.start_capacity",
        scenario.rules.start_capacity,
        0.01,
        1.0,
    );
    bounds.check_range("rules.cold_s", scenario.rules.cold_s, 0.0, 1e4);
    bounds.check_range(
        "rules.fall_multiple",
        scenario.rules.fall_multiple,
        1.0,
        1e3,
    );
    bounds.check_range("rules.fall_s", scenario.rules.fall_s, 0.01, 1e4);
}

fn check_goal(bounds: &mut BoundsCheck, scenario: &Scenario) {
    let weights = scenario.goal.whole + scenario.goal.worst_window + scenario.goal.worst_class;
    bounds.check_range("goal.whole", weights, 0.999, 1.001);
}

fn check_classes(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.check_range("class", scenario.class.len() as f64, 1.0, 64.0);
    for (index, class) in scenario.class.iter().enumerate() {
        check_class(bounds, index, class);
    }
}

fn check_class(bounds: &mut BoundsCheck, index: usize, class: &Class) {
    let key = |name: &str| format!("class.{index}.{name}");
    bounds.check_range(&key("share"), class.share, 1e-9, 1e9);
    bounds.check_range(&key("load"), class.load, 0.0, 1e6);
    bounds.check_range(&key("life"), class.life, 1e-6, 1e6);
    bounds.check_range(&key("load_sigma"), class.load_sigma, 0.0, 3.0);
    bounds.check_range(&key("swing_sigma"), class.swing_sigma, 0.0, 3.0);
    bounds.check_range(&key("change_s"), class.change_s, 0.0, 1e6);
    bounds.check_range(&key("idle"), class.idle, 0.0, 0.99);
    bounds.check_range(&key("work_ms"), class.work_ms, 0.0, 1e7);
    bounds.check_range(&key("work_cv"), class.work_cv, 0.0, 10.0);
    bounds.check_range(&key("aim_ms"), class.aim_ms, 0.0, 1e9);
    bounds.check_range(&key("deadline_ms"), class.deadline_ms, 1.0, 1e9);
    bounds.check_range(&key("message_aim_ms"), class.message_aim_ms, 0.1, 1e9);
    bounds.check_range(&key("worth"), class.worth, 0.0, 1e6);
}

fn check_faults(bounds: &mut BoundsCheck, scenario: &Scenario) {
    for (index, fault) in scenario.faults.iter().enumerate() {
        check_fault(bounds, index, fault);
    }
}

fn check_fault(bounds: &mut BoundsCheck, index: usize, fault: &Fault) {
    let key = |name: &str| format!("trouble.{index}.{name}");
    bounds.check_range(&key("at_s"), fault.at_s, 0.0, 1e6);
    bounds.check_range(&key("for_s"), fault.for_s, 0.1, 1e6);
    bounds.check_range(&key("part"), fault.part, 0.0, 1.0);
    bounds.check_range(&key("drain_s"), fault.drain_s, 0.0, 1e4);
    bounds.check_range(&key("leave"), fault.leave, 0.0, 1.0);
    let (min, max) = match fault.kind {
        FaultKind::Slow | FaultKind::Shrink => (1.0, 1e3),
        FaultKind::Surge => (0.0, 100.0),
        FaultKind::Reset => (0.01, 1e4),
        FaultKind::Deploy => (0.001, 1.0),
        _ => (0.0, 1e9),
    };
    bounds.check_range(&key("size"), fault.size, min, max);
}
