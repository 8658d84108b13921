//! The trial's phases and its own deadlines: when clients come, how the nodes are, and when all is over.

use crate::processes::State;
use crate::stage::{Phase, Stage, FAULTS, VISITS};
use crate::{call, faults};
use lupincrank_reactor::{Hands, Id, World, WORLD};
use lupincrank_test_servers::client::{self, Visit};
use lupincrank_test_servers::Note;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const POLL: u64 = 2;
/// How often nodes are asked how they are.
const EVERY: Duration = Duration::from_millis(200);
/// How long nodes may take to be ready, and the council for its first slices, before the trial gives up.
const READY: Duration = Duration::from_secs(60);
/// After the last client a trial goes on for this long at the most, for what must hold at the end.
const SETTLES: Duration = Duration::from_secs(25);

/// Where the front sends one: the first node has `skew` places, each other one has one.
fn choose(front: &[usize], drawn: u64, skew: f64) -> usize {
    if skew <= 1.0 {
        return front[(drawn % front.len() as u64) as usize];
    }
    const FINE: f64 = 1000.0;
    let places = |node: &usize| {
        if *node == 0 {
            (skew * FINE) as u64
        } else {
            FINE as u64
        }
    };
    let mut left = drawn % front.iter().map(places).sum::<u64>();
    let fits = front.iter().find(|node| {
        let fits = left < places(node);
        left = left.saturating_sub(places(node));
        fits
    });
    *fits.unwrap_or(&front[0])
}

/// Sends the clients whose moment has come to nodes that the front has.
fn visits(hands: &mut Hands<Stage>) {
    let now = Instant::now();
    if hands.phase == Phase::Runs {
        while let Some(planned) = hands.plan.visits.get(hands.planned).copied() {
            let at = hands.start + Duration::from_secs_f64(planned.at_s);
            if at > now {
                break;
            }
            hands.planned += 1;
            let number = hands.planned as u64;
            let stands = Duration::from_secs_f64(planned.stands_s);
            let group = planned.group;
            let visit = Visit {
                number,
                planned: at,
                since: at,
                group,
                stands,
                tries: 0,
                again: false,
                request: 0,
            };
            hands.due_in(at, false);
            hands.plan_visit(now, visit);
        }
        let over = hands.start + Duration::from_secs_f64(*hands.scenario.seconds.get_ref());
        if now >= over && hands.planned == hands.plan.visits.len() {
            hands.phase = Phase::Settles;
            hands.event("the last client has come".into(), false);
        }
    }
    while let Some(first) = hands
        .visits
        .first_entry()
        .filter(|first| first.key().0 <= now)
    {
        let mut visit = first.remove();
        let front: Vec<usize> = (0..hands.nodes.len())
            .filter(|node| hands.nodes[*node].in_front)
            .collect();
        let pause = now + Duration::from_millis(100);
        if front.is_empty() {
            hands.plan_visit(pause, visit);
            continue;
        }
        // The plan's own choice for the first try, another for each one after it.
        let drawn = hands
            .plan
            .visits
            .get(visit.number as usize - 1)
            .map_or(0, |planned| planned.front);
        hands.requests += 1;
        let drawn = drawn
            .wrapping_add(u64::from(visit.tries))
            .wrapping_add(u64::from(visit.again) * 7);
        let node = choose(&front, drawn, hands.scenario.clients.skew);
        visit.request =
            (hands.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) << 32) ^ hands.requests;
        let at = hands.nodes[node].listen();
        if !client::ask(hands, visit.clone(), node, at) {
            hands.plan_visit(pause, visit);
        }
    }
    wait(hands);
}

/// Sets the deadline of the next visit.
fn wait(hands: &mut Hands<Stage>) {
    let now = Instant::now();
    let next = hands.visits.keys().next().map(|(at, _)| *at);
    let planned = hands
        .plan
        .visits
        .get(hands.planned)
        .map(|visit| hands.start + Duration::from_secs_f64(visit.at_s));
    let planned = planned.filter(|_| hands.phase == Phase::Runs);
    let over = hands.start + Duration::from_secs_f64(*hands.scenario.seconds.get_ref());
    let over = Some(over).filter(|_| hands.phase == Phase::Runs);
    if let Some(next) = [next, planned, over].into_iter().flatten().min() {
        hands
            .deadlines
            .set(WORLD, VISITS, next.max(now + Duration::from_millis(1)));
    }
}

/// Looks how the nodes are, and whether the trial goes on to its next phase.
fn poll(hands: &mut Hands<Stage>) {
    let now = Instant::now();
    if hands.stop.load(Ordering::Relaxed) {
        hands.fails("it was stopped".into());
    }
    for node in 0..hands.nodes.len() {
        let (before, name) = (hands.nodes[node].state, hands.nodes[node].name.clone());
        if let Some(code) = hands.nodes[node].ended() {
            hands.judge.absent(node, now, true);
            hands.event(format!("{name} has ended: {code}"), false);
            if before != State::Ends || !code.contains("exit status: 0") {
                hands
                    .judge
                    .breaks("crash", now, format!("{name} ended by itself: {code}"));
            }
        }
        if matches!(
            hands.nodes[node].state,
            State::Runs | State::Ends | State::Frozen
        ) {
            call::ping(hands, node);
            if hands.scenario.talk && hands.nodes[node].state != State::Frozen {
                call::status(hands, node);
            }
        }
    }
    let talks = hands.scenario.talk && hands.scenario.settled;
    match hands.phase {
        Phase::Starts => {
            let ready = hands.nodes.iter().all(|node| node.in_front);
            let share = if hands.scenario.cold.is_some() {
                0.9
            } else {
                0.0
            };
            let missing = if talks {
                hands.settled(true, share)
            } else {
                Ok(())
            };
            if ready && missing.is_ok() {
                hands.start = now;
                hands.judge.starts(now);
                hands.phase = Phase::Runs;
                hands.event("the first client comes".into(), false);
                visits(hands);
                faults::schedule(hands);
            } else if now.duration_since(hands.began) > READY {
                let why = missing
                    .err()
                    .unwrap_or_else(|| "not all nodes answer PONG".into());
                hands.fails(format!("not ready after {READY:?}: {why}"));
            }
        }
        Phase::Settles => {
            let hold = hands.scenario.hold.clone();
            let asked = *hands.asked.get_or_insert(now);
            // What is under way has its time to end first.
            let waits = now.duration_since(asked) < hands.manners.wait + Duration::from_secs(1);
            let missing = hands.settled(hold.council, hold.taken);
            if !waits && hands.later.is_empty() {
                match missing {
                    Ok(()) => hands.phase = Phase::Over,
                    Err(why) if now.duration_since(asked) > SETTLES => {
                        hands
                            .judge
                            .breaks("hold", now, format!("after {SETTLES:?}: {why}"));
                        hands.phase = Phase::Over;
                    }
                    Err(_) => {}
                }
            }
        }
        Phase::Runs | Phase::Over => {}
    }
    (hands.world.progress)(&hands.world);
    hands.deadlines.set(WORLD, POLL, now + EVERY);
}

/// Begins to look at the nodes.
pub fn begin(hands: &mut Hands<Stage>) {
    hands.deadlines.set(WORLD, POLL, Instant::now());
}

impl World for Stage {
    type Message = Note;

    fn settle(hands: &mut Hands<Stage>, _objects: &mut dyn Iterator<Item = Id>) {
        if std::mem::take(&mut hands.woken) {
            wait(hands);
        }
    }

    fn due(hands: &mut Hands<Stage>, purpose: u64) {
        match purpose {
            VISITS => visits(hands),
            FAULTS => faults::due(hands),
            _ => poll(hands),
        }
    }

    fn over(&self) -> bool {
        self.phase == Phase::Over
    }

    fn unheard(&mut self, _id: Id, _message: Note) {}
}
