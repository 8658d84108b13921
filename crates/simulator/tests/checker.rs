//! The checker reports a violation for each policy that breaks a rule on purpose, and none for the placement crate.

use lupincrank_placement::{
    Action, Balancer, Event, Health, RequestId, ServerId, Settings, Timestamp,
};
use lupincrank_simulator::checker::Rule;
use lupincrank_simulator::metrics::Outcome;
use lupincrank_simulator::policy::{FleetState, Policy};
use lupincrank_simulator::scenario::{parse, Scenario};
use lupincrank_simulator::world::run_with_policy;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

/// The fault of a policy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Misbehaviour {
    Nothing,
    /// Leaves every seventh request unanswered.
    DropsRequests,
    /// Answers each rejected request twice.
    AnswersTwice,
    /// Starts two attempts at once, to the same server.
    StartsTwoAttempts,
    /// Retries every attempt that ended, beyond the limit.
    RetriesForever,
    /// Prefers servers that are leaving.
    PrefersDraining,
    /// Sends everything to the server that started last.
    PrefersLastStarted,
}

/// The placement crate, with its actions altered by a misbehaviour.
struct MisbehavingPolicy {
    misbehaviour: Misbehaviour,
    balancer: Balancer,
    draining: BTreeSet<ServerId>,
    started: Vec<ServerId>,
    known_servers: BTreeSet<ServerId>,
}

impl MisbehavingPolicy {
    fn observe_endpoints(&mut self, event: &Event) {
        if let Event::EndpointList { entries, .. } | Event::EndpointChange(entries) = event {
            for entry in entries {
                self.known_servers.insert(entry.server.clone());
                if entry.health == Health::Draining {
                    self.draining.insert(entry.server.clone());
                }
                if entry.started_at.is_some() && entry.health == Health::Ready {
                    self.started.push(entry.server.clone());
                }
            }
        }
    }

    /// Redirects attempts to the preferred server, and returns additional attempts to start.
    fn redirect_attempts(&self, actions: &mut [Action]) -> Vec<Action> {
        let mut extra = Vec::new();
        for action in actions {
            let Action::StartAttempt {
                request, server, ..
            } = action
            else {
                continue;
            };
            let preferred = match self.misbehaviour {
                Misbehaviour::PrefersDraining => self.draining.last(),
                Misbehaviour::PrefersLastStarted => self.started.last(),
                _ => None,
            };
            *server = preferred.cloned().unwrap_or_else(|| server.clone());
            if self.misbehaviour == Misbehaviour::StartsTwoAttempts {
                extra.push(Action::StartAttempt {
                    request: *request,
                    server: server.clone(),
                    timeout: Duration::from_secs(1),
                });
            }
        }
        extra
    }
}

fn drop_every_seventh(actions: &mut Vec<Action>) {
    let is_dropped = |request: &RequestId| (request.0 >> 24).is_multiple_of(7);
    actions.retain(|action| match action {
        Action::StartAttempt { request, .. } | Action::Reject { request, .. } => {
            !is_dropped(request)
        }
        _ => true,
    });
}

impl Policy for MisbehavingPolicy {
    fn handle(&mut self, now: Timestamp, event: Event, _: &FleetState, actions: &mut Vec<Action>) {
        self.observe_endpoints(&event);
        let ended = match &event {
            Event::AttemptEnded {
                request,
                done: false,
                ..
            } => Some(*request),
            _ => None,
        };
        let previous_len = actions.len();
        self.balancer.handle(now, event, actions);
        let mut extra = self.redirect_attempts(&mut actions[previous_len..]);
        if let (Misbehaviour::RetriesForever, Some(request), Some(server)) =
            (self.misbehaviour, ended, self.known_servers.first())
        {
            actions.truncate(previous_len);
            let timeout = Duration::from_millis(30);
            extra.push(Action::StartAttempt {
                request,
                server: server.clone(),
                timeout,
            });
        }
        let is_rejection = |action: &&Action| matches!(action, Action::Reject { .. });
        if self.misbehaviour == Misbehaviour::AnswersTwice {
            extra.extend(actions[previous_len..].iter().filter(is_rejection).cloned());
        }
        actions.extend(extra);
        if self.misbehaviour == Misbehaviour::DropsRequests {
            drop_every_seventh(actions);
        }
    }
}

fn scenario() -> Scenario {
    let text = r#"
        version = 1
        length_s = 40.0
        [fleet]
        transcribers = 6
        [rules]
        fall_multiple = 1.0
        [clients]
        load = 0.9
        life_s = 6.0
        [[class]]
        [[trouble]]
        kind = "deploy"
        at_s = 5.0
        for_s = 25.0
        part = 0.9
        size = 0.17
        [[trouble]]
        kind = "silent"
        at_s = 12.0
        for_s = 10.0
        part = 0.2
    "#;
    parse("judges", text).expect("a valid scenario")
}

fn run_misbehaving(misbehaviour: Misbehaviour) -> Outcome {
    let create_policy = |settings: Settings, seed: u64| -> Box<dyn Policy> {
        Box::new(MisbehavingPolicy {
            misbehaviour,
            balancer: Balancer::new(settings, seed),
            draining: BTreeSet::new(),
            started: Vec::new(),
            known_servers: BTreeSet::new(),
        })
    };
    run_with_policy(&scenario(), 3, "faulty", false, &create_policy)
}

#[rstest]
#[case(Misbehaviour::DropsRequests, Rule::FinalAnswer)]
#[case(Misbehaviour::AnswersTwice, Rule::FinalAnswer)]
#[case(Misbehaviour::StartsTwoAttempts, Rule::Attempts)]
#[case(Misbehaviour::RetriesForever, Rule::Attempts)]
#[case(Misbehaviour::PrefersDraining, Rule::Drain)]
#[case(Misbehaviour::PrefersLastStarted, Rule::Cold)]
fn the_checker_reports_each_broken_rule(#[case] misbehaviour: Misbehaviour, #[case] rule: Rule) {
    let run = run_misbehaving(misbehaviour);
    let found = run.rules_broken.iter().find(|broken| broken.rule == rule);
    let found = found
        .unwrap_or_else(|| panic!("{misbehaviour:?} was not reported: {:?}", run.rules_broken));
    assert!(!found.trace.is_empty(), "the violation has no trace");
}

#[test]
fn the_checker_reports_nothing_about_the_module() {
    let run = run_misbehaving(Misbehaviour::Nothing);
    assert_eq!(run.rules_broken, [], "{:?}", run.rules_broken);
    assert!(run.attempts > 100, "too few attempts: {}", run.attempts);
}
