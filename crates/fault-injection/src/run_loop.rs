//! The trial's phases and its own deadlines: when clients come, how the nodes are, and when all is over.

use crate::processes::State;
use crate::stage::{Phase, Stage, FAULTS, VISITS};
use crate::{call, faults};
use lupincrank_reactor::{Application, ComponentId, Context, APPLICATION};
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
fn visits(context: &mut Context<Stage>) {
    let now = Instant::now();
    if context.phase == Phase::Runs {
        while let Some(planned) = context.plan.visits.get(context.planned).copied() {
            let at = context.start + Duration::from_secs_f64(planned.at_s);
            if at > now {
                break;
            }
            context.planned += 1;
            let number = context.planned as u64;
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
            context.due_in(at, false);
            context.plan_visit(now, visit);
        }
        let over = context.start + Duration::from_secs_f64(*context.scenario.seconds.get_ref());
        if now >= over && context.planned == context.plan.visits.len() {
            context.phase = Phase::Settles;
            context.event("the last client has come".into(), false);
        }
    }
    while let Some(first) = context
        .visits
        .first_entry()
        .filter(|first| first.key().0 <= now)
    {
        let mut visit = first.remove();
        let front: Vec<usize> = (0..context.nodes.len())
            .filter(|node| context.nodes[*node].in_front)
            .collect();
        let pause = now + Duration::from_millis(100);
        if front.is_empty() {
            context.plan_visit(pause, visit);
            continue;
        }
        // The plan's own choice for the first try, another for each one after it.
        let drawn = context
            .plan
            .visits
            .get(visit.number as usize - 1)
            .map_or(0, |planned| planned.front);
        context.requests += 1;
        let drawn = drawn
            .wrapping_add(u64::from(visit.tries))
            .wrapping_add(u64::from(visit.again) * 7);
        let node = choose(&front, drawn, context.scenario.clients.skew);
        visit.request =
            (context.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) << 32) ^ context.requests;
        let at = context.nodes[node].listen();
        if !client::ask(context, visit.clone(), node, at) {
            context.plan_visit(pause, visit);
        }
    }
    wait(context);
}

/// Sets the deadline of the next visit.
fn wait(context: &mut Context<Stage>) {
    let now = Instant::now();
    let next = context.visits.keys().next().map(|(at, _)| *at);
    let planned = context
        .plan
        .visits
        .get(context.planned)
        .map(|visit| context.start + Duration::from_secs_f64(visit.at_s));
    let planned = planned.filter(|_| context.phase == Phase::Runs);
    let over = context.start + Duration::from_secs_f64(*context.scenario.seconds.get_ref());
    let over = Some(over).filter(|_| context.phase == Phase::Runs);
    if let Some(next) = [next, planned, over].into_iter().flatten().min() {
        context.deadlines.set(
            APPLICATION,
            VISITS,
            next.max(now + Duration::from_millis(1)),
        );
    }
}

/// Looks how the nodes are, and whether the trial goes on to its next phase.
fn poll(context: &mut Context<Stage>) {
    let now = Instant::now();
    if context.stop.load(Ordering::Relaxed) {
        context.fails("it was stopped".into());
    }
    for node in 0..context.nodes.len() {
        let (before, name) = (context.nodes[node].state, context.nodes[node].name.clone());
        if let Some(code) = context.nodes[node].ended() {
            context.judge.absent(node, now, true);
            context.event(format!("{name} has ended: {code}"), false);
            if before != State::Ends || !code.contains("exit status: 0") {
                context
                    .judge
                    .breaks("crash", now, format!("{name} ended by itself: {code}"));
            }
        }
        if matches!(
            context.nodes[node].state,
            State::Runs | State::Ends | State::Frozen
        ) {
            call::ping(context, node);
            if context.scenario.talk && context.nodes[node].state != State::Frozen {
                call::status(context, node);
            }
        }
    }
    let talks = context.scenario.talk && context.scenario.settled;
    match context.phase {
        Phase::Starts => {
            let ready = context.nodes.iter().all(|node| node.in_front);
            let share = if context.scenario.cold.is_some() {
                0.9
            } else {
                0.0
            };
            let missing = if talks {
                context.settled(true, share)
            } else {
                Ok(())
            };
            if ready && missing.is_ok() {
                context.start = now;
                context.judge.starts(now);
                context.phase = Phase::Runs;
                context.event("the first client comes".into(), false);
                visits(context);
                faults::schedule(context);
            } else if now.duration_since(context.began) > READY {
                let why = missing
                    .err()
                    .unwrap_or_else(|| "not all nodes answer PONG".into());
                context.fails(format!("not ready after {READY:?}: {why}"));
            }
        }
        Phase::Settles => {
            let hold = context.scenario.hold.clone();
            let asked = *context.asked.get_or_insert(now);
            // What is under way has its time to end first.
            let waits = now.duration_since(asked) < context.manners.wait + Duration::from_secs(1);
            let missing = context.settled(hold.council, hold.taken);
            if !waits && context.later.is_empty() {
                match missing {
                    Ok(()) => context.phase = Phase::Over,
                    Err(why) if now.duration_since(asked) > SETTLES => {
                        context
                            .judge
                            .breaks("hold", now, format!("after {SETTLES:?}: {why}"));
                        context.phase = Phase::Over;
                    }
                    Err(_) => {}
                }
            }
        }
        Phase::Runs | Phase::Over => {}
    }
    (context.application.progress)(&context.application);
    context.deadlines.set(APPLICATION, POLL, now + EVERY);
}

/// Begins to look at the nodes.
pub fn begin(context: &mut Context<Stage>) {
    context.deadlines.set(APPLICATION, POLL, Instant::now());
}

impl Application for Stage {
    type DeadlineKind = u64;
    type Message = Note;

    fn after_callback(
        context: &mut Context<Stage>,
        _objects: &mut dyn Iterator<Item = ComponentId>,
    ) {
        if std::mem::take(&mut context.woken) {
            wait(context);
        }
    }

    fn on_deadline(context: &mut Context<Stage>, kind: u64) {
        match kind {
            VISITS => visits(context),
            FAULTS => faults::due(context),
            _ => poll(context),
        }
    }

    fn is_finished(&self) -> bool {
        self.phase == Phase::Over
    }

    fn on_undelivered(&mut self, _id: ComponentId, _message: Note) {}
}
