//! Carries out the time line: each fault is one or more steps, each with its moment.

use crate::links::{Party, Way};
use crate::processes::State;
use crate::scenario::{Fault, Kind};
use crate::stage::{Stage, FAULTS};
use crate::step::Step;
use crate::{build, call};
use lupincrank_reactor::{ComponentId, Context, APPLICATION};
use lupincrank_test_servers::discovery::Mode as Told;
use lupincrank_test_servers::transcriber::{self, Mode};
use lupincrank_test_servers::Note;
use rand::Rng;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// The front of a drain: connections that are still there near its end leave one after the other over this.
const BIT_BY_BIT: Duration = Duration::from_millis(600);

/// All faults wait for their moments.
pub fn schedule(context: &mut Context<Stage>) {
    for fault in context.plan.faults.clone() {
        let at = context.start + Duration::from_secs_f64(fault.at_s);
        context.later.push((at, Step::Begin(fault)));
    }
    wait(context);
}

fn wait(context: &mut Context<Stage>) {
    if let Some(at) = context.later.iter().map(|(at, _)| *at).min() {
        context.deadlines.set(APPLICATION, FAULTS, at);
    }
}

/// Does what is due.
pub fn due(context: &mut Context<Stage>) {
    let now = Instant::now();
    let (mut ripe, later): (Vec<_>, Vec<_>) = std::mem::take(&mut context.later)
        .into_iter()
        .partition(|(at, _)| *at <= now);
    context.later = later;
    ripe.sort_by_key(|(at, _)| *at);
    for (_, step) in ripe {
        take(context, step);
    }
    wait(context);
}

fn then(context: &mut Context<Stage>, after_s: f64, step: Step) {
    context
        .later
        .push((Instant::now() + Duration::from_secs_f64(after_s), step));
}

/// The parties that a selector names now.
fn parties(context: &mut Context<Stage>, selector: &str) -> Vec<Party> {
    let nodes = context.nodes.len();
    let zones = context.scenario.zones;
    let transcribers = context.fleet.all.len();
    let number = |prefix: &str| {
        selector
            .strip_prefix(prefix)
            .and_then(|rest| rest.parse::<usize>().ok())
    };
    match selector {
        "" | "all" => (0..nodes)
            .map(Party::Node)
            .chain((0..transcribers).map(Party::Transcriber))
            .chain([Party::Discovery])
            .collect(),
        "nodes" => (0..nodes).map(Party::Node).collect(),
        "transcribers" => (0..transcribers).map(Party::Transcriber).collect(),
        "discovery" => vec![Party::Discovery],
        "leader" => context.leader().map(Party::Node).into_iter().collect(),
        "follower" => {
            let leader = context.leader();
            let others: Vec<usize> = (0..nodes)
                .filter(|node| Some(*node) != leader && context.nodes[*node].state == State::Runs)
                .collect();
            if others.is_empty() {
                return Vec::new();
            }
            let drawn = context.random.random_range(0..others.len());
            vec![Party::Node(others[drawn])]
        }
        _ => {
            if let Some(zone) = number("zone") {
                let of_zone = |n: &usize| n % zones == zone;
                let nodes = (0..nodes).filter(of_zone).map(Party::Node);
                return nodes
                    .chain((0..transcribers).filter(of_zone).map(Party::Transcriber))
                    .collect();
            }
            let node = number("n").filter(|n| *n < nodes).map(Party::Node);
            let transcriber = number("t")
                .filter(|n| *n < transcribers)
                .map(Party::Transcriber);
            node.or(transcriber).into_iter().collect()
        }
    }
}

fn name(party: &Party) -> String {
    match party {
        Party::Node(number) => format!("n{number}"),
        Party::Transcriber(number) => format!("t{number}"),
        Party::Discovery => "discovery".into(),
    }
}

fn nodes_of(all: &[Party]) -> Vec<usize> {
    let node = |party: &Party| {
        if let Party::Node(node) = party {
            Some(*node)
        } else {
            None
        }
    };
    all.iter().filter_map(node).collect()
}

fn transcribers_of(all: &[Party]) -> Vec<usize> {
    let one = |party: &Party| {
        if let Party::Transcriber(one) = party {
            Some(*one)
        } else {
            None
        }
    };
    all.iter().filter_map(one).collect()
}

/// The directions between the parties that a fault of links names: inside a zone all is well.
fn ways(context: &mut Context<Stage>, fault: &Fault) -> Vec<(Party, Party)> {
    let (on, to) = (parties(context, &fault.on), parties(context, &fault.to));
    let whole = fault.to.is_empty() || fault.to == "all";
    let mut ways = Vec::new();
    for one in &on {
        for other in &to {
            if one == other || (whole && on.contains(other)) {
                continue;
            }
            ways.push((*one, *other));
            if !fault.one_way {
                ways.push((*other, *one));
            }
        }
    }
    ways.sort();
    ways.dedup();
    ways
}

/// The doors and streams of these directions look anew, or are reset.
fn tell_links(context: &mut Context<Stage>, ways: &[(Party, Party)], note: Note) {
    let touched =
        |(from, to): (Party, Party)| ways.contains(&(from, to)) || ways.contains(&(to, from));
    let pipes = context
        .pipes
        .iter()
        .filter(|(_, between)| touched(**between))
        .map(|(id, _)| *id);
    let mut ids: Vec<ComponentId> = pipes.collect();
    if note == Note::Look {
        ids.extend(
            context
                .doors
                .iter()
                .filter(|(between, _)| touched(**between))
                .map(|(_, id)| *id),
        );
    }
    ids.into_iter().for_each(|id| context.send(id, note));
    let now = Instant::now();
    for (from, to) in ways {
        if let (Party::Node(node), Party::Transcriber(one))
        | (Party::Transcriber(one), Party::Node(node)) = (from, to)
        {
            context.judge.link_faulty(*node, *one, now);
        }
    }
}

fn change(context: &mut Context<Stage>, ways: &[(Party, Party)], with: impl Fn(&mut Way)) {
    for (from, to) in ways {
        context.links.change(*from, *to, &with);
    }
    tell_links(context, ways, Note::Look);
}

fn links(context: &mut Context<Stage>, fault: &Fault) {
    let ways = ways(context, fault);
    let (much, ms) = (fault.much, Duration::from_secs_f64(fault.much / 1000.0));
    match fault.kind {
        Kind::Cut => change(context, &ways, |way| way.cut = true),
        Kind::Loss => change(context, &ways, |way| way.loss = much),
        Kind::Double => change(context, &ways, |way| way.double = much),
        Kind::Reorder => change(context, &ways, |way| way.reorder = much),
        Kind::Delay => change(context, &ways, |way| way.delay = ms),
        Kind::Jitter => change(context, &ways, |way| way.jitter = ms),
        Kind::Throttle => change(context, &ways, |way| way.rate = much * 1000.0),
        _ => tell_links(context, &ways, Note::Reset),
    }
    if fault.for_s > 0.0 && fault.kind != Kind::Reset {
        then(context, fault.for_s, Step::Mend(ways, fault.kind));
    }
}

fn kill(context: &mut Context<Stage>, node: usize) {
    context.judge.absent(node, Instant::now(), true);
    context.nodes[node].kill();
}

fn start(context: &mut Context<Stage>, node: usize) {
    let verbose = context.verbose;
    // One that is still about to end gives way to the new one.
    kill(context, node);
    if let Err(error) = context.nodes[node].start(verbose) {
        let why = format!("{} can't be started: {error}", context.nodes[node].name);
        context.fails(why);
    }
    context.judge.absent(node, Instant::now(), false);
}

/// A process of another fleet takes a node's address, or the node takes it back.
fn replace(context: &mut Context<Stage>, node: usize, foreign: bool) {
    context.nodes[node].foreign = foreign;
    let expected = *context.scenario.nodes.get_ref();
    kill(context, node);
    match build::tell(context, node, expected) {
        Ok(()) => start(context, node),
        Err(why) => context.fails(why),
    }
}

fn turn(context: &mut Context<Stage>, one: usize, mode: Mode) {
    transcriber::turn(context, one, mode);
    let doors = context
        .doors
        .iter()
        .filter(|((_, to), _)| *to == Party::Transcriber(one));
    let doors: Vec<ComponentId> = doors.map(|(_, id)| *id).collect();
    doors
        .into_iter()
        .for_each(|id| context.send(id, Note::Look));
    let now = Instant::now();
    for node in 0..context.nodes.len() {
        context.judge.link_faulty(node, one, now);
    }
}

fn begin(context: &mut Context<Stage>, fault: Fault) {
    let on = parties(context, &fault.on);
    let named: Vec<String> = on.iter().take(8).map(name).collect();
    let named = if fault.on.is_empty() {
        String::new()
    } else {
        format!(" {} ({})", fault.on, named.join(" "))
    };
    let to = if fault.to.is_empty() {
        String::new()
    } else {
        format!(" to {}", fault.to)
    };
    let one_way = if fault.one_way { ", one way" } else { "" };
    let mut more = String::new();
    for (what, value) in [
        ("for", fault.for_s),
        ("much", fault.much),
        ("times", fault.times as f64),
    ] {
        if value > 0.0 {
            more.push_str(&format!(", {what} {value}"));
        }
    }
    context.event(
        format!("fault {:?}{named}{to}{one_way}{more}", fault.kind).to_lowercase(),
        true,
    );
    let now = Instant::now();
    match fault.kind {
        Kind::Kill => {
            for node in nodes_of(&on) {
                kill(context, node);
                if fault.for_s > 0.0 {
                    then(context, fault.for_s, Step::Start(node));
                }
            }
        }
        Kind::Freeze => {
            for node in nodes_of(&on) {
                context.judge.absent(node, now, true);
                context.nodes[node].signal(Signal::STOP);
                context.nodes[node].state = State::Frozen;
                then(context, fault.for_s, Step::Wake(node));
            }
        }
        Kind::Term => {
            for node in nodes_of(&on) {
                context.nodes[node].signal(Signal::TERM);
                context.nodes[node].state = State::Ends;
                if fault.for_s > 0.0 {
                    then(context, fault.for_s, Step::Start(node));
                }
            }
        }
        Kind::Loop => {
            for node in nodes_of(&on) {
                let apart = Duration::from_secs_f64(fault.for_s.max(0.02));
                take(context, Step::Loop(node, fault.times, apart));
            }
        }
        Kind::Join => {
            if let Err(why) = build::join(context, None) {
                context.fails(why);
            }
        }
        Kind::Twin => {
            for node in nodes_of(&on) {
                let name = context.nodes[node].name.clone();
                if let Err(why) = build::join(context, Some(name)) {
                    return context.fails(why);
                }
            }
        }
        Kind::Whole => {
            let whole = fault.much as u32;
            context.judge.whole(now, whole);
            // One that answers takes it to the leader.
            if let Some(node) = nodes_of(&on)
                .into_iter()
                .find(|node| context.nodes[*node].state == State::Runs)
            {
                call::set_whole(context, node, whole);
            }
        }
        Kind::Foreign => {
            for node in nodes_of(&on) {
                replace(context, node, true);
                if fault.for_s > 0.0 {
                    then(context, fault.for_s, Step::Home(node));
                }
            }
        }
        Kind::Release => {
            for _ in 0..fault.times {
                if let Err(why) = build::release(context, true) {
                    return context.fails(why);
                }
            }
        }
        Kind::Drain => {
            for one in transcribers_of(&on) {
                turn(context, one, Mode::Drains);
                context.list.set(one, "DRAINING");
                let gone = now + Duration::from_secs_f64(fault.for_s);
                let from = gone.checked_sub(BIT_BY_BIT).unwrap_or(now).max(now);
                context.later.push((from, Step::Drain(one, gone)));
            }
        }
        Kind::Die => {
            for one in transcribers_of(&on) {
                turn(context, one, Mode::Down);
                if fault.for_s > 0.0 {
                    then(context, fault.for_s, Step::Turn(one, Mode::Up, true));
                }
            }
        }
        Kind::Silence => {
            for one in transcribers_of(&on) {
                turn(context, one, Mode::Silent);
                then(context, fault.for_s, Step::Turn(one, Mode::Up, false));
            }
        }
        Kind::Stale | Kind::Down | Kind::Slow => {
            let mode = match fault.kind {
                Kind::Stale => Told::Stale,
                Kind::Down => Told::Down,
                _ => Told::Fine(Duration::from_secs_f64(fault.much / 1000.0)),
            };
            for node in nodes_of(&on) {
                context.list.turn(node, mode);
                if fault.for_s > 0.0 {
                    then(context, fault.for_s, Step::Tell(node));
                }
            }
        }
        _ => links(context, &fault),
    }
}

fn take(context: &mut Context<Stage>, step: Step) {
    let now = Instant::now();
    match step {
        Step::Begin(fault) => begin(context, fault),
        Step::Mend(ways, kind) => {
            context.event(format!("{kind:?} ends").to_lowercase(), true);
            change(context, &ways, |way| match kind {
                Kind::Cut => way.cut = false,
                Kind::Loss => way.loss = 0.0,
                Kind::Double => way.double = 0.0,
                Kind::Reorder => way.reorder = 0.0,
                Kind::Delay => way.delay = Duration::ZERO,
                Kind::Jitter => way.jitter = Duration::ZERO,
                _ => way.rate = 0.0,
            });
        }
        Step::Wake(node) => {
            if context.nodes[node].state == State::Frozen {
                context.event(format!("n{node} wakes"), true);
                context.nodes[node].signal(Signal::CONT);
                context.nodes[node].state = State::Runs;
                context.judge.absent(node, now, false);
            }
        }
        Step::Start(node) => {
            context.event(format!("n{node} starts from nothing"), true);
            start(context, node);
        }
        Step::Home(node) => {
            context.event(format!("n{node} takes its address back"), true);
            replace(context, node, false);
        }
        Step::Loop(node, times, apart) => {
            start(context, node);
            if times > 1 {
                context
                    .later
                    .push((now + apart, Step::Loop(node, times - 1, apart)));
            } else {
                context.event(format!("n{node} stays"), true);
            }
        }
        Step::Turn(one, mode, relists) => {
            context.event(format!("t{one} is back"), true);
            turn(context, one, mode);
            if relists {
                context.list.started(one);
            }
        }
        Step::Drain(one, gone) => {
            if now >= gone {
                turn(context, one, Mode::Down);
                context.list.set(one, "DELETED");
                return;
            }
            let held = context
                .fleet
                .all
                .get(one)
                .map_or(0, lupincrank_test_servers::transcriber::Transcriber::holds)
                as u32;
            if held > 0 {
                transcriber::drain_one(context, one);
            }
            let pause = (gone - now) / (held + 1);
            context.later.push((
                now + pause.max(Duration::from_millis(2)),
                Step::Drain(one, gone),
            ));
        }
        Step::Tell(node) => {
            context.event(format!("discovery is well for n{node}"), true);
            context.list.turn(node, Told::Fine(Duration::ZERO));
        }
    }
}
