//! Each judge catches a policy that breaks its rule on purpose, and none speaks up about one that does not.

use lupincrank_placement::{
    Action, Balancer, Event, Health, RequestId, ServerId, Settings, Timestamp,
};
use lupincrank_simulator::judge::Rule;
use lupincrank_simulator::measure::Outcome;
use lupincrank_simulator::policy::{Policy, Truth};
use lupincrank_simulator::scenario::{parse, Scenario};
use lupincrank_simulator::world::play_with;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

/// What a policy does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// It leaves every seventh request without an answer.
    Forgets,
    /// It answers a request that it refused once more.
    AnswersTwice,
    /// It sends each request again at once, to the same transcriber.
    SendsTwice,
    /// It sends again whatever ended, beyond what is allowed.
    SendsForEver,
    /// It keeps to the transcribers that leave.
    LovesDraining,
    /// It sends everything to those that started last.
    LovesCold,
}

/// The module with a fault put on top.
struct Faulty {
    fault: Fault,
    module: Balancer,
    leaving: BTreeSet<ServerId>,
    started: Vec<ServerId>,
    listed: BTreeSet<ServerId>,
}

impl Faulty {
    fn observe_endpoints(&mut self, event: &Event) {
        if let Event::EndpointList { entries, .. } | Event::EndpointChange(entries) = event {
            for entry in entries {
                self.listed.insert(entry.server.clone());
                if entry.health == Health::Draining {
                    self.leaving.insert(entry.server.clone());
                }
                if entry.started_at.is_some() && entry.health == Health::Ready {
                    self.started.push(entry.server.clone());
                }
            }
        }
    }

    /// Sends attempts to the favourite server, and returns the attempts that go out beside them.
    fn redirect_attempts(&self, actions: &mut [Action]) -> Vec<Action> {
        let mut extra = Vec::new();
        for action in actions {
            let Action::StartAttempt {
                request, server, ..
            } = action
            else {
                continue;
            };
            let favourite = match self.fault {
                Fault::LovesDraining => self.leaving.last(),
                Fault::LovesCold => self.started.last(),
                _ => None,
            };
            *server = favourite.cloned().unwrap_or_else(|| server.clone());
            if self.fault == Fault::SendsTwice {
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

fn forget_every_seventh(actions: &mut Vec<Action>) {
    let forgotten = |request: &RequestId| (request.0 >> 24).is_multiple_of(7);
    actions.retain(|action| match action {
        Action::StartAttempt { request, .. } | Action::Reject { request, .. } => {
            !forgotten(request)
        }
        _ => true,
    });
}

impl Policy for Faulty {
    fn handle(&mut self, now: Timestamp, event: Event, _: &Truth, actions: &mut Vec<Action>) {
        self.observe_endpoints(&event);
        let ended = match &event {
            Event::AttemptEnded {
                request,
                done: false,
                ..
            } => Some(*request),
            _ => None,
        };
        let from = actions.len();
        self.module.handle(now, event, actions);
        let mut extra = self.redirect_attempts(&mut actions[from..]);
        if let (Fault::SendsForEver, Some(request), Some(server)) =
            (self.fault, ended, self.listed.first())
        {
            actions.truncate(from);
            let timeout = Duration::from_millis(30);
            extra.push(Action::StartAttempt {
                request,
                server: server.clone(),
                timeout,
            });
        }
        let refused = |action: &&Action| matches!(action, Action::Reject { .. });
        if self.fault == Fault::AnswersTwice {
            extra.extend(actions[from..].iter().filter(refused).cloned());
        }
        actions.extend(extra);
        if self.fault == Fault::Forgets {
            forget_every_seventh(actions);
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
    parse("judges", text).expect("a scenario that holds")
}

fn played(fault: Fault) -> Outcome {
    let make = |settings: Settings, seed: u64| -> Box<dyn Policy> {
        Box::new(Faulty {
            fault,
            module: Balancer::new(settings, seed),
            leaving: BTreeSet::new(),
            started: Vec::new(),
            listed: BTreeSet::new(),
        })
    };
    play_with(&scenario(), 3, "faulty", false, &make)
}

#[rstest]
#[case(Fault::Forgets, Rule::FinalAnswer)]
#[case(Fault::AnswersTwice, Rule::FinalAnswer)]
#[case(Fault::SendsTwice, Rule::Attempts)]
#[case(Fault::SendsForEver, Rule::Attempts)]
#[case(Fault::LovesDraining, Rule::Drain)]
#[case(Fault::LovesCold, Rule::Cold)]
fn a_judge_catches_whoever_breaks_its_rule(#[case] fault: Fault, #[case] rule: Rule) {
    let run = played(fault);
    let found = run.rules_broken.iter().find(|broken| broken.rule == rule);
    let found = found.unwrap_or_else(|| panic!("{fault:?} was not caught: {:?}", run.rules_broken));
    assert!(
        !found.trace.is_empty(),
        "the last events of the offender are shown"
    );
}

#[test]
fn no_judge_speaks_up_about_the_module() {
    let run = played(Fault::Nothing);
    assert_eq!(run.rules_broken, [], "{:?}", run.rules_broken);
    assert!(
        run.attempts > 100,
        "it was kept busy: {} attempts",
        run.attempts
    );
}
