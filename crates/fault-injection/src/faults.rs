//! Carries out the time line: each fault is one or more steps, each with its moment.

use crate::links::{Party, Way};
use crate::processes::State;
use crate::scenario::{Fault, Kind};
use crate::stage::{Stage, FAULTS};
use crate::step::Step;
use crate::{build, call};
use lupincrank_reactor::{Hands, Id, WORLD};
use lupincrank_test_servers::discovery::Mode as Told;
use lupincrank_test_servers::transcriber::{self, Mode};
use lupincrank_test_servers::Note;
use rand::Rng;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// The front of a drain: connections that are still there near its end leave one after the other over this.
const BIT_BY_BIT: Duration = Duration::from_millis(600);

/// All faults wait for their moments.
pub fn schedule(hands: &mut Hands<Stage>) {
    for fault in hands.plan.faults.clone() {
        let at = hands.start + Duration::from_secs_f64(fault.at_s);
        hands.later.push((at, Step::Begin(fault)));
    }
    wait(hands);
}

fn wait(hands: &mut Hands<Stage>) {
    if let Some(at) = hands.later.iter().map(|(at, _)| *at).min() {
        hands.deadlines.set(WORLD, FAULTS, at);
    }
}

/// Does what is due.
pub fn due(hands: &mut Hands<Stage>) {
    let now = Instant::now();
    let (mut ripe, later): (Vec<_>, Vec<_>) = std::mem::take(&mut hands.later)
        .into_iter()
        .partition(|(at, _)| *at <= now);
    hands.later = later;
    ripe.sort_by_key(|(at, _)| *at);
    for (_, step) in ripe {
        take(hands, step);
    }
    wait(hands);
}

fn then(hands: &mut Hands<Stage>, after_s: f64, step: Step) {
    hands
        .later
        .push((Instant::now() + Duration::from_secs_f64(after_s), step));
}

/// The parties that a selector names now.
fn parties(hands: &mut Hands<Stage>, selector: &str) -> Vec<Party> {
    let nodes = hands.nodes.len();
    let zones = hands.scenario.zones;
    let transcribers = hands.fleet.all.len();
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
        "leader" => hands.leader().map(Party::Node).into_iter().collect(),
        "follower" => {
            let leader = hands.leader();
            let others: Vec<usize> = (0..nodes)
                .filter(|node| Some(*node) != leader && hands.nodes[*node].state == State::Runs)
                .collect();
            if others.is_empty() {
                return Vec::new();
            }
            let drawn = hands.random.random_range(0..others.len());
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
fn ways(hands: &mut Hands<Stage>, fault: &Fault) -> Vec<(Party, Party)> {
    let (on, to) = (parties(hands, &fault.on), parties(hands, &fault.to));
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
fn tell_links(hands: &mut Hands<Stage>, ways: &[(Party, Party)], note: Note) {
    let touched =
        |(from, to): (Party, Party)| ways.contains(&(from, to)) || ways.contains(&(to, from));
    let pipes = hands
        .pipes
        .iter()
        .filter(|(_, between)| touched(**between))
        .map(|(id, _)| *id);
    let mut ids: Vec<Id> = pipes.collect();
    if note == Note::Look {
        ids.extend(
            hands
                .doors
                .iter()
                .filter(|(between, _)| touched(**between))
                .map(|(_, id)| *id),
        );
    }
    ids.into_iter().for_each(|id| hands.tell(id, note));
    let now = Instant::now();
    for (from, to) in ways {
        if let (Party::Node(node), Party::Transcriber(one))
        | (Party::Transcriber(one), Party::Node(node)) = (from, to)
        {
            hands.judge.link_faulty(*node, *one, now);
        }
    }
}

fn change(hands: &mut Hands<Stage>, ways: &[(Party, Party)], with: impl Fn(&mut Way)) {
    for (from, to) in ways {
        hands.links.change(*from, *to, &with);
    }
    tell_links(hands, ways, Note::Look);
}

fn links(hands: &mut Hands<Stage>, fault: &Fault) {
    let ways = ways(hands, fault);
    let (much, ms) = (fault.much, Duration::from_secs_f64(fault.much / 1000.0));
    match fault.kind {
        Kind::Cut => change(hands, &ways, |way| way.cut = true),
        Kind::Loss => change(hands, &ways, |way| way.loss = much),
        Kind::Double => change(hands, &ways, |way| way.double = much),
        Kind::Reorder => change(hands, &ways, |way| way.reorder = much),
        Kind::Delay => change(hands, &ways, |way| way.delay = ms),
        Kind::Jitter => change(hands, &ways, |way| way.jitter = ms),
        Kind::Throttle => change(hands, &ways, |way| way.rate = much * 1000.0),
        _ => tell_links(hands, &ways, Note::Reset),
    }
    if fault.for_s > 0.0 && fault.kind != Kind::Reset {
        then(hands, fault.for_s, Step::Mend(ways, fault.kind));
    }
}

fn kill(hands: &mut Hands<Stage>, node: usize) {
    hands.judge.absent(node, Instant::now(), true);
    hands.nodes[node].kill();
}

fn start(hands: &mut Hands<Stage>, node: usize) {
    let verbose = hands.verbose;
    // One that is still about to end gives way to the new one.
    kill(hands, node);
    if let Err(error) = hands.nodes[node].start(verbose) {
        let why = format!("{} can't be started: {error}", hands.nodes[node].name);
        hands.fails(why);
    }
    hands.judge.absent(node, Instant::now(), false);
}

/// A process of another fleet takes a node's address, or the node takes it back.
fn replace(hands: &mut Hands<Stage>, node: usize, foreign: bool) {
    hands.nodes[node].foreign = foreign;
    let expected = *hands.scenario.nodes.get_ref();
    kill(hands, node);
    match build::tell(hands, node, expected) {
        Ok(()) => start(hands, node),
        Err(why) => hands.fails(why),
    }
}

fn turn(hands: &mut Hands<Stage>, one: usize, mode: Mode) {
    transcriber::turn(hands, one, mode);
    let doors = hands
        .doors
        .iter()
        .filter(|((_, to), _)| *to == Party::Transcriber(one));
    let doors: Vec<Id> = doors.map(|(_, id)| *id).collect();
    doors.into_iter().for_each(|id| hands.tell(id, Note::Look));
    let now = Instant::now();
    for node in 0..hands.nodes.len() {
        hands.judge.link_faulty(node, one, now);
    }
}

fn begin(hands: &mut Hands<Stage>, fault: Fault) {
    let on = parties(hands, &fault.on);
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
    hands.event(
        format!("fault {:?}{named}{to}{one_way}{more}", fault.kind).to_lowercase(),
        true,
    );
    let now = Instant::now();
    match fault.kind {
        Kind::Kill => {
            for node in nodes_of(&on) {
                kill(hands, node);
                if fault.for_s > 0.0 {
                    then(hands, fault.for_s, Step::Start(node));
                }
            }
        }
        Kind::Freeze => {
            for node in nodes_of(&on) {
                hands.judge.absent(node, now, true);
                hands.nodes[node].signal(Signal::STOP);
                hands.nodes[node].state = State::Frozen;
                then(hands, fault.for_s, Step::Wake(node));
            }
        }
        Kind::Term => {
            for node in nodes_of(&on) {
                hands.nodes[node].signal(Signal::TERM);
                hands.nodes[node].state = State::Ends;
                if fault.for_s > 0.0 {
                    then(hands, fault.for_s, Step::Start(node));
                }
            }
        }
        Kind::Loop => {
            for node in nodes_of(&on) {
                let apart = Duration::from_secs_f64(fault.for_s.max(0.02));
                take(hands, Step::Loop(node, fault.times, apart));
            }
        }
        Kind::Join => {
            if let Err(why) = build::join(hands, None) {
                hands.fails(why);
            }
        }
        Kind::Twin => {
            for node in nodes_of(&on) {
                let name = hands.nodes[node].name.clone();
                if let Err(why) = build::join(hands, Some(name)) {
                    return hands.fails(why);
                }
            }
        }
        Kind::Whole => {
            let whole = fault.much as u32;
            hands.judge.whole(now, whole);
            // One that answers takes it to the leader.
            if let Some(node) = nodes_of(&on)
                .into_iter()
                .find(|node| hands.nodes[*node].state == State::Runs)
            {
                call::set_whole(hands, node, whole);
            }
        }
        Kind::Foreign => {
            for node in nodes_of(&on) {
                replace(hands, node, true);
                if fault.for_s > 0.0 {
                    then(hands, fault.for_s, Step::Home(node));
                }
            }
        }
        Kind::Release => {
            for _ in 0..fault.times {
                if let Err(why) = build::release(hands, true) {
                    return hands.fails(why);
                }
            }
        }
        Kind::Drain => {
            for one in transcribers_of(&on) {
                turn(hands, one, Mode::Drains);
                hands.list.set(one, "DRAINING");
                let gone = now + Duration::from_secs_f64(fault.for_s);
                let from = gone.checked_sub(BIT_BY_BIT).unwrap_or(now).max(now);
                hands.later.push((from, Step::Drain(one, gone)));
            }
        }
        Kind::Die => {
            for one in transcribers_of(&on) {
                turn(hands, one, Mode::Down);
                if fault.for_s > 0.0 {
                    then(hands, fault.for_s, Step::Turn(one, Mode::Up, true));
                }
            }
        }
        Kind::Silence => {
            for one in transcribers_of(&on) {
                turn(hands, one, Mode::Silent);
                then(hands, fault.for_s, Step::Turn(one, Mode::Up, false));
            }
        }
        Kind::Stale | Kind::Down | Kind::Slow => {
            let mode = match fault.kind {
                Kind::Stale => Told::Stale,
                Kind::Down => Told::Down,
                _ => Told::Fine(Duration::from_secs_f64(fault.much / 1000.0)),
            };
            for node in nodes_of(&on) {
                hands.list.turn(node, mode);
                if fault.for_s > 0.0 {
                    then(hands, fault.for_s, Step::Tell(node));
                }
            }
        }
        _ => links(hands, &fault),
    }
}

fn take(hands: &mut Hands<Stage>, step: Step) {
    let now = Instant::now();
    match step {
        Step::Begin(fault) => begin(hands, fault),
        Step::Mend(ways, kind) => {
            hands.event(format!("{kind:?} ends").to_lowercase(), true);
            change(hands, &ways, |way| match kind {
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
            if hands.nodes[node].state == State::Frozen {
                hands.event(format!("n{node} wakes"), true);
                hands.nodes[node].signal(Signal::CONT);
                hands.nodes[node].state = State::Runs;
                hands.judge.absent(node, now, false);
            }
        }
        Step::Start(node) => {
            hands.event(format!("n{node} starts from nothing"), true);
            start(hands, node);
        }
        Step::Home(node) => {
            hands.event(format!("n{node} takes its address back"), true);
            replace(hands, node, false);
        }
        Step::Loop(node, times, apart) => {
            start(hands, node);
            if times > 1 {
                hands
                    .later
                    .push((now + apart, Step::Loop(node, times - 1, apart)));
            } else {
                hands.event(format!("n{node} stays"), true);
            }
        }
        Step::Turn(one, mode, relists) => {
            hands.event(format!("t{one} is back"), true);
            turn(hands, one, mode);
            if relists {
                hands.list.started(one);
            }
        }
        Step::Drain(one, gone) => {
            if now >= gone {
                turn(hands, one, Mode::Down);
                hands.list.set(one, "DELETED");
                return;
            }
            let held = hands.fleet.all.get(one).map_or(0, |one| one.holds()) as u32;
            if held > 0 {
                transcriber::drain_one(hands, one);
            }
            let pause = (gone - now) / (held + 1);
            hands.later.push((
                now + pause.max(Duration::from_millis(2)),
                Step::Drain(one, gone),
            ));
        }
        Step::Tell(node) => {
            hands.event(format!("discovery is well for n{node}"), true);
            hands.list.turn(node, Told::Fine(Duration::ZERO));
        }
    }
}
