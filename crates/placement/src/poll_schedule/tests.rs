use super::*;
use std::collections::BTreeSet;

const FLEET_SIZES: [u32; 4] = [3, 30, 300, 2100];

fn node_random(node_count: u32, node: u32, call: u32) -> f64 {
    f64::from((node * 31 + call * 17) % node_count) / f64::from(node_count)
}

/// The largest number of times within `window` of each other.
fn most_within(times: &[f64], window: f64) -> usize {
    let count_from = |from: &f64| {
        times
            .iter()
            .filter(|at| (*from..*from + window).contains(at))
            .count()
    };
    times.iter().map(count_from).max().unwrap_or(0)
}

/// Calls of a fleet over 40 s where each call fails two seconds after it was made: the most calls in any two seconds, and the
/// longest delay.
fn most_calls(node_count: u32) -> (usize, f64) {
    let mut calls = Vec::new();
    let mut longest_delay = 0.0f64;
    for node in 0..node_count {
        let mut schedule = PollSchedule::new(node_count);
        let mut at = schedule
            .initial_delay(node_random(node_count, node, 0))
            .as_secs_f64();
        for call in 1.. {
            calls.push(at);
            let delay = schedule
                .retry_delay(node_random(node_count, node, call))
                .as_secs_f64();
            longest_delay = longest_delay.max(delay);
            at += 2.0 + delay;
            if at > 40.0 {
                break;
            }
        }
    }
    (most_within(&calls, 2.0), longest_delay)
}

/// herd+vast: 61 calls that failed together came again within half a second, and so on for ten seconds.
#[test]
fn calls_to_a_failing_discovery_spread_out_and_never_stop() {
    for node_count in [3, 30, 100, 300, 400, 2100] {
        let (most, longest) = most_calls(node_count);
        let all_at_once = f64::from(node_count) / MAX_SPREAD_SECONDS * 4.0;
        let allowed = (MAX_FLEET_CALLS_PER_SECOND * 2.0 * 1.25)
            .max(all_at_once)
            .min(f64::from(node_count) * 2.0);
        assert!(
            most as f64 <= allowed,
            "{node_count} nodes: {most} calls in two seconds, {allowed} allowed"
        );
        assert!(
            longest <= MAX_SPREAD_SECONDS,
            "{node_count} nodes: one waits for {longest} s"
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
    // A call that fails after that waits like any first one.
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

/// Changes count as known 6 s after discovery could be reached: it may have been back since the last call failed.
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

/// However long ago the last contact was when a call is made, and though no call is ever answered: a further one is made in time to
/// be answered within 6 s after the contact, and later ones follow at less than 6 s, but never a storm.
#[test]
fn unanswered_calls_are_followed_by_further_ones_in_time() {
    for tenths in 0..=45u64 {
        let mut calls = vec![Duration::from_millis(tenths * 100)];
        for index in 0..10 {
            calls.push(calls[index] + unanswered_call_timeout(calls[index], index > 0));
        }
        let calls_in_time = calls
            .iter()
            .filter(|at| **at <= Duration::from_millis(5500))
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
/// How long a call waits at a discovery that is hung.
const HUNG_CALL_DURATION: u64 = 4_500_000;
/// How soon a discovery that is down refuses a call.
const REFUSAL_DURATION: u64 = 50_000;
/// How long a call may wait in the queue of discovery.
const QUEUE_TIMEOUT: u64 = 2_000_000;

/// What discovery does until it recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// It refuses calls at once.
    Down,
    /// It accepts calls and never answers.
    Hung,
}

/// One discovery service and the calls of a fleet. After its recovery it answers `answers_per_second`, one after another, and fails
/// those that would wait longer than `QUEUE_TIMEOUT`, which costs it nothing.
#[derive(Clone, Copy)]
struct Simulation {
    node_count: u32,
    answers_per_second: f64,
    fault: Fault,
}

/// A step of the simulation; steps at the same time are ordered by node, call and kind.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Step {
    at: u64,
    node: u32,
    call: u32,
    kind: StepKind,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StepKind {
    Call,
    /// A further call, if no newer one has been made.
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
    /// When each node got its answer, in seconds after the recovery, sorted.
    answer_delays: Vec<f64>,
    most_calls_per_second: usize,
}

/// The state of a run of a [`Simulation`].
struct Run {
    simulation: Simulation,
    nodes: Vec<Node>,
    calls: Vec<u64>,
    /// When discovery has answered all calls in its queue.
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
            run.plan(micros(delay), node, 0, StepKind::Call);
        }
        while let Some(step) = run.steps.pop_first() {
            run.take(&step);
        }
        run.result()
    }
}

impl Run {
    fn plan(&mut self, at: u64, node: u32, call: u32, kind: StepKind) {
        self.steps.insert(Step {
            at,
            node,
            call,
            kind,
        });
    }

    fn take(&mut self, step: &Step) {
        let node = &mut self.nodes[step.node as usize];
        if node.answered_at.is_some() || step.at > SIMULATION_END {
            return;
        }
        match step.kind {
            StepKind::Call => self.call(step.at, step.node),
            StepKind::FurtherCall => {
                if step.call == node.calls_made && node.open_calls > 0 {
                    self.call(step.at, step.node);
                }
            }
            StepKind::Answered => node.answered_at = Some(step.at),
            StepKind::Failed => self.fail(step.at, step.node),
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
        self.plan(
            now + micros(timeout),
            node_index,
            call,
            StepKind::FurtherCall,
        );
        let (ends_at, kind) = self.end_of_call(now);
        self.plan(ends_at, node_index, call, kind);
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
            self.plan(now + micros(delay), node_index, 0, StepKind::Call);
        }
    }

    fn result(mut self) -> SimulationResult {
        self.calls.sort_unstable();
        let count_from = |from: &u64| {
            self.calls
                .iter()
                .filter(|at| (*from..*from + 1_000_000).contains(at))
                .count()
        };
        let seconds_after_recovery = |at: u64| at.saturating_sub(RECOVERY) as f64 / 1e6;
        let mut answer_delays: Vec<f64> = self
            .nodes
            .iter()
            .map(|node| node.answered_at.map_or(60.0, seconds_after_recovery))
            .collect();
        answer_delays.sort_by(f64::total_cmp);
        SimulationResult {
            answer_delays,
            most_calls_per_second: self.calls.iter().map(count_from).max().unwrap_or(0),
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

/// Whatever discovery did before its recovery, a fleet that it can serve is answered within 6 s, and one that it can't serve does not
/// overload it: it goes on answering as many as it can.
#[test]
fn a_recovered_discovery_answers_a_fleet_it_can_serve_in_time_and_is_not_overloaded_by_others() {
    for node_count in FLEET_SIZES {
        for fault in [Fault::Down, Fault::Hung] {
            let enough = f64::from(node_count) / 3.0 + 20.0;
            let SimulationResult {
                answer_delays,
                most_calls_per_second: most,
            } = Simulation {
                node_count,
                answers_per_second: enough,
                fault,
            }
            .run();
            println!("{node_count} nodes, {fault:?}, {enough:.0} a second: last answered after {:.2} s, {most} calls in a second at the most", answer_delays.last().unwrap());
            assert!(
                answer_delays.last().is_some_and(|delay| *delay <= 6.0),
                "{node_count}, {fault:?}: {answer_delays:?}"
            );
            assert!(
                most as f64 <= (f64::from(node_count) * 0.9).max(MAX_FLEET_CALLS_PER_SECOND * 2.0),
                "{node_count}, {fault:?}: {most}"
            );
            let few = (f64::from(node_count) / 15.0).max(1.0);
            let SimulationResult {
                answer_delays,
                most_calls_per_second: most,
            } = Simulation {
                node_count,
                answers_per_second: few,
                fault,
            }
            .run();
            let answered = answer_delays.iter().filter(|delay| **delay <= 15.0).count();
            println!("{node_count} nodes, {fault:?}, {few:.1} a second: {answered} answered in 15 s, all after {:.2} s, {most} calls in a second at the most", answer_delays.last().unwrap());
            assert!(
                answered as f64 >= f64::from(node_count) * 0.8,
                "{node_count}, {fault:?}: {answered}"
            );
        }
    }
}
