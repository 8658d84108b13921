use super::*;
use std::collections::BTreeSet;

const FLEET_SIZES: [u32; 4] = [3, 30, 300, 2100];

fn node_random(node_count: u32, node: u32, call: u32) -> f64 {
    f64::from((node * 31 + call * 17) % node_count) / f64::from(node_count)
}

/// The maximum number of times in any span of length `window`.
fn max_within(times: &[f64], window: f64) -> usize {
    let count_from = |from: &f64| {
        times
            .iter()
            .filter(|time| (*from..*from + window).contains(time))
            .count()
    };
    times.iter().map(count_from).max().unwrap_or(0)
}

/// Simulates a fleet for 40 s with each call failing after two seconds. Returns the maximum number of calls in any two
/// seconds and the longest delay.
fn max_calls_and_delay(node_count: u32) -> (usize, f64) {
    let mut calls = Vec::new();
    let mut longest_delay = 0.0f64;
    for node in 0..node_count {
        let mut schedule = PollSchedule::new(node_count);
        let mut time = schedule
            .initial_delay(node_random(node_count, node, 0))
            .as_secs_f64();
        for call in 1.. {
            calls.push(time);
            let delay = schedule
                .retry_delay(node_random(node_count, node, call))
                .as_secs_f64();
            longest_delay = longest_delay.max(delay);
            time += 2.0 + delay;
            if time > 40.0 {
                break;
            }
        }
    }
    (max_within(&calls, 2.0), longest_delay)
}

/// Guards against retries that stay in step: 61 calls that failed together were retried within half a second of each
/// other, again and again for ten seconds.
#[test]
fn calls_to_a_failing_discovery_spread_out_and_never_stop() {
    for node_count in [3, 30, 100, 300, 400, 2100] {
        let (max_calls, longest_delay) = max_calls_and_delay(node_count);
        let spread_calls = f64::from(node_count) / MAX_SPREAD_SECONDS * 4.0;
        let allowed = (MAX_FLEET_CALLS_PER_SECOND * 2.0 * 1.25)
            .max(spread_calls)
            .min(f64::from(node_count) * 2.0);
        assert!(
            max_calls as f64 <= allowed,
            "{node_count} nodes: {max_calls} calls in two seconds, {allowed} allowed"
        );
        assert!(
            longest_delay <= MAX_SPREAD_SECONDS,
            "{node_count} nodes: longest delay {longest_delay} s"
        );
    }
}

#[test]
fn after_a_stalled_watch_large_fleets_call_within_a_second_and_small_ones_at_once() {
    assert_eq!(
        [0.0, 0.99].map(|random| PollSchedule::new(3).stalled_watch_delay(random)),
        [Duration::ZERO; 2]
    );
    let mut large = PollSchedule::new(300);
    assert_eq!(
        [0.0, 0.5].map(|random| large.stalled_watch_delay(random)),
        [0, 500].map(Duration::from_millis)
    );
    // The retry after the next failed call is delayed like any first retry.
    assert_eq!(
        large.retry_delay(0.5),
        PollSchedule::new(300).retry_delay(0.5)
    );
}

#[test]
fn an_answer_resets_the_backoff_and_a_cached_list_does_not() {
    let mut schedule = PollSchedule::new(3);
    let delays: Vec<Duration> = (0..4).map(|_| schedule.retry_delay(0.5)).collect();
    assert_eq!(delays, [500, 1000, 2000, 2000].map(Duration::from_millis));
    schedule.record_answer(true);
    assert_eq!(schedule.retry_delay(0.5), Duration::from_secs(2));
    schedule.record_answer(false);
    assert_eq!(schedule.retry_delay(0.5), Duration::from_millis(500));
}

/// Changes must be received within 6 s after discovery is reachable, which may be right after the last failed call.
#[test]
fn after_a_failed_call_the_next_one_leaves_time_for_its_answer() {
    for node_count in [1, 3, 30, 100, 300, 2100] {
        for random in [0.0, 0.5, 1.0] {
            let mut schedule = PollSchedule::new(node_count);
            assert!(schedule.initial_delay(random) <= Duration::from_millis(4500));
            for failures in 0..20 {
                let delay = schedule.retry_delay(random);
                assert!(
                    delay <= Duration::from_millis(4500),
                    "{node_count} nodes, {failures} failures: {delay:?}"
                );
            }
        }
    }
}

#[test]
fn a_changed_node_count_gives_the_delays_of_that_fleet() {
    let mut schedule = PollSchedule::new(1);
    schedule.set_node_count(300);
    assert_eq!(
        schedule.initial_delay(0.5),
        PollSchedule::new(300).initial_delay(0.5)
    );
    assert_eq!(
        schedule.retry_delay(0.5),
        PollSchedule::new(300).retry_delay(0.5)
    );
}

/// Guards against both late and excessive calls while no call is answered. Whenever the first call is made after the
/// last contact, another one follows in time to be answered within 6 s after the contact; later ones follow at constant
/// intervals below 6 s.
#[test]
fn unanswered_calls_are_followed_by_further_ones_in_time() {
    for tenths in 0..=45u64 {
        let mut calls = vec![Duration::from_millis(tenths * 100)];
        for index in 0..10 {
            calls.push(calls[index] + unanswered_call_timeout(calls[index], index > 0));
        }
        let calls_in_time = calls
            .iter()
            .filter(|time| **time <= Duration::from_millis(5500))
            .count();
        assert!(calls_in_time >= 2, "{tenths}: {calls:?}");
        let gaps: Vec<Duration> = calls
            .windows(2)
            .map(|pair| pair[1].checked_sub(pair[0]).unwrap())
            .collect();
        assert!(
            gaps.iter()
                .all(|gap| (MIN_CALL_TIMEOUT..=REPEATED_CALL_INTERVAL).contains(gap)),
            "{calls:?}"
        );
        assert!(
            gaps.iter()
                .filter(|gap| **gap < REPEATED_CALL_INTERVAL)
                .count()
                <= 1,
            "{calls:?}"
        );
    }
}

/// When discovery recovers, in microseconds.
const RECOVERY: u64 = 10_000_000;
/// When the simulation ends.
const SIMULATION_END: u64 = 60_000_000;
/// Time after which a call to a hung discovery service fails.
const HUNG_CALL_DURATION: u64 = 4_500_000;
/// Time after which a discovery service that is down refuses a call.
const REFUSAL_DURATION: u64 = 50_000;
/// Maximum time that a call may wait in the queue of discovery.
const QUEUE_TIMEOUT: u64 = 2_000_000;

/// The state of discovery until it recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Discovery refuses calls immediately.
    Down,
    /// Discovery accepts calls and never answers.
    Hung,
}

/// One discovery service and the calls of a fleet. After its recovery the service answers `answers_per_second` calls,
/// one after another. Calls that would wait longer than `QUEUE_TIMEOUT` fail without using its capacity.
#[derive(Clone, Copy)]
struct Simulation {
    node_count: u32,
    answers_per_second: f64,
    fault: Fault,
}

/// A step of the simulation; steps at the same time are ordered by node, call and kind.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Step {
    time: u64,
    node: u32,
    call: u32,
    kind: StepKind,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StepKind {
    Call,
    /// Another call, unless a later one has been made.
    FurtherCall,
    Answered,
    Failed,
}

/// One node of the simulation.
struct Node {
    schedule: PollSchedule,
    calls_made: u32,
    open_calls: u32,
    last_contact: u64,
    answered_at: Option<u64>,
}

impl Node {
    fn new(node_count: u32) -> Node {
        Node {
            schedule: PollSchedule::new(node_count),
            calls_made: 0,
            open_calls: 0,
            last_contact: 0,
            answered_at: None,
        }
    }
}

struct SimulationResult {
    /// When each node received its answer, in seconds after the recovery, sorted.
    answer_delays: Vec<f64>,
    max_calls_per_second: usize,
}

/// The state of a run of a [`Simulation`].
struct Run {
    simulation: Simulation,
    nodes: Vec<Node>,
    calls: Vec<u64>,
    /// When discovery will have answered all calls in its queue.
    queue_free_at: u64,
    steps: BTreeSet<Step>,
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

impl Simulation {
    fn run(self) -> SimulationResult {
        let mut run = Run {
            simulation: self,
            nodes: (0..self.node_count)
                .map(|_| Node::new(self.node_count))
                .collect(),
            calls: Vec::new(),
            queue_free_at: 0,
            steps: BTreeSet::new(),
        };
        for node in 0..self.node_count {
            let delay = run.nodes[node as usize]
                .schedule
                .initial_delay(hashed_random(node, 0));
            run.schedule_step(micros(delay), node, 0, StepKind::Call);
        }
        while let Some(step) = run.steps.pop_first() {
            run.execute(&step);
        }
        run.result()
    }
}

impl Run {
    fn schedule_step(&mut self, time: u64, node: u32, call: u32, kind: StepKind) {
        self.steps.insert(Step {
            time,
            node,
            call,
            kind,
        });
    }

    fn execute(&mut self, step: &Step) {
        let node = &mut self.nodes[step.node as usize];
        if node.answered_at.is_some() || step.time > SIMULATION_END {
            return;
        }
        match step.kind {
            StepKind::Call => self.call(step.time, step.node),
            StepKind::FurtherCall => {
                if step.call == node.calls_made && node.open_calls > 0 {
                    self.call(step.time, step.node);
                }
            }
            StepKind::Answered => node.answered_at = Some(step.time),
            StepKind::Failed => self.fail(step.time, step.node),
        }
    }

    fn call(&mut self, now: u64, node_index: u32) {
        let node = &mut self.nodes[node_index as usize];
        node.calls_made += 1;
        node.open_calls += 1;
        let call = node.calls_made;
        let since_contact = Duration::from_micros(now - node.last_contact);
        let timeout = unanswered_call_timeout(since_contact, node.open_calls > 1);
        self.calls.push(now);
        self.schedule_step(
            now + micros(timeout),
            node_index,
            call,
            StepKind::FurtherCall,
        );
        let (ends_at, kind) = self.end_of_call(now);
        self.schedule_step(ends_at, node_index, call, kind);
    }

    fn end_of_call(&mut self, now: u64) -> (u64, StepKind) {
        if now < RECOVERY {
            let duration = match self.simulation.fault {
                Fault::Down => REFUSAL_DURATION,
                Fault::Hung => HUNG_CALL_DURATION,
            };
            return (now + duration, StepKind::Failed);
        }
        let begins_at = self.queue_free_at.max(now);
        if begins_at - now > QUEUE_TIMEOUT {
            return (now + QUEUE_TIMEOUT, StepKind::Failed);
        }
        self.queue_free_at = begins_at + (1e6 / self.simulation.answers_per_second) as u64;
        (self.queue_free_at, StepKind::Answered)
    }

    fn fail(&mut self, now: u64, node_index: u32) {
        let is_contact =
            self.simulation.fault == Fault::Down || now >= RECOVERY + HUNG_CALL_DURATION;
        let node = &mut self.nodes[node_index as usize];
        node.open_calls -= 1;
        if is_contact {
            node.last_contact = now;
        }
        if node.open_calls == 0 {
            let random = hashed_random(node_index, node.calls_made);
            let delay = node.schedule.retry_delay(random);
            self.schedule_step(now + micros(delay), node_index, 0, StepKind::Call);
        }
    }

    fn result(mut self) -> SimulationResult {
        self.calls.sort_unstable();
        let count_from = |from: &u64| {
            self.calls
                .iter()
                .filter(|time| (*from..*from + 1_000_000).contains(time))
                .count()
        };
        let seconds_after_recovery = |time: u64| time.saturating_sub(RECOVERY) as f64 / 1e6;
        let mut answer_delays: Vec<f64> = self
            .nodes
            .iter()
            .map(|node| node.answered_at.map_or(60.0, seconds_after_recovery))
            .collect();
        answer_delays.sort_by(f64::total_cmp);
        SimulationResult {
            answer_delays,
            max_calls_per_second: self.calls.iter().map(count_from).max().unwrap_or(0),
        }
    }
}

fn hashed_random(node: u32, call: u32) -> f64 {
    let mixed = ((u64::from(node) << 32) | u64::from(call))
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((mixed ^ (mixed >> 29)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Guards against a fleet that keeps discovery overloaded after its recovery. A fleet within the capacity of discovery
/// is answered within 6 s; a larger one does not keep discovery from answering as many calls as it can.
#[test]
fn a_recovered_discovery_answers_a_fleet_it_can_serve_in_time_and_is_not_overloaded_by_others() {
    for node_count in FLEET_SIZES {
        for fault in [Fault::Down, Fault::Hung] {
            let sufficient_rate = f64::from(node_count) / 3.0 + 20.0;
            let SimulationResult {
                answer_delays,
                max_calls_per_second: max_calls,
            } = Simulation {
                node_count,
                answers_per_second: sufficient_rate,
                fault,
            }
            .run();
            println!("{node_count} nodes, {fault:?}, {sufficient_rate:.0} a second: last answered after {:.2} s, at most {max_calls} calls in a second", answer_delays.last().unwrap());
            assert!(
                answer_delays.last().is_some_and(|delay| *delay <= 6.0),
                "{node_count}, {fault:?}: {answer_delays:?}"
            );
            assert!(
                max_calls as f64
                    <= (f64::from(node_count) * 0.9).max(MAX_FLEET_CALLS_PER_SECOND * 2.0),
                "{node_count}, {fault:?}: {max_calls}"
            );
            let insufficient_rate = (f64::from(node_count) / 15.0).max(1.0);
            let SimulationResult {
                answer_delays,
                max_calls_per_second: max_calls,
            } = Simulation {
                node_count,
                answers_per_second: insufficient_rate,
                fault,
            }
            .run();
            let answered = answer_delays.iter().filter(|delay| **delay <= 15.0).count();
            println!("{node_count} nodes, {fault:?}, {insufficient_rate:.1} a second: {answered} answered in 15 s, all after {:.2} s, at most {max_calls} calls in a second", answer_delays.last().unwrap());
            assert!(
                answered as f64 >= f64::from(node_count) * 0.8,
                "{node_count}, {fault:?}: {answered}"
            );
        }
    }
}
