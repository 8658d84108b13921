//! Judges a run from what clients, transcribers and links saw, by the trial's own clock. It knows the rules and nothing of the
//! program.

use hdrhistogram::Histogram;
use lupincrank_test_servers::seen::{Answer, End, Seen};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What is written down of each broken rule: one that breaks by the hundred must not hide another.
const MOST_TOLD: usize = 20;
/// A node that dies or freezes explains what happened so long before and after: clocks of kernels and of the trial.
const SLACK: Duration = Duration::from_millis(400);
/// After its time a request may still be answered within this.
const LATE: Duration = Duration::from_millis(600);
/// A draining transcriber may get new connections for this long after the node was told: the settings' grace, 50 ms that
/// the protocol adds, and as much for the way.
pub const GRACE: Duration = Duration::from_millis(500 + 100);
/// Budgets count what comes within this span.
/// Slices of a former whole are out for so long at the most after it was set: a lease, a window, what clocks differ, and
/// the way there.
const SLICES_OVER: Duration = Duration::from_secs(6);
const WINDOW: Duration = Duration::from_millis(1250);
const SECOND: Duration = Duration::from_secs(1);
/// A link that was not as it should be explains what breaks on it until this much later.
const AFTER_FAULT: Duration = Duration::from_secs(10);

/// A broken rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Broken {
    /// Which: `one-answer`, `one-attempt`, `drain-grace`, `cold-fell`, `cut-off`, `budget`, `crash`, `hold`.
    pub rule: &'static str,
    /// When, in seconds after the first client.
    pub at_s: f64,
    /// What was seen.
    pub what: String,
}

struct Request {
    node: usize,
    asked: Instant,
    wait: Duration,
    answer: Option<(Instant, Answer)>,
    gave_up: bool,
    dropped: bool,
    transcriber: Option<usize>,
}

/// A budget as it was seen.
#[derive(Clone, Debug, Serialize)]
pub struct Budget {
    /// Its name.
    pub name: &'static str,
    /// What all may use together.
    pub whole: u32,
    /// The most that came within a second.
    pub peak: u32,
    /// The mean part of the whole in use while more was wanted; none where the file names no such span.
    pub used: Option<f64>,
    /// All that came.
    pub total: usize,
    /// What came in each tenth of a second: its end in seconds, and the sum over the second before it.
    pub sums: Vec<(f64, u32)>,
}

/// See the module.
pub struct Judge {
    start: Instant,
    broken: Vec<Broken>,
    requests: BTreeMap<u64, Request>,
    /// Attempts that are out, by request: at which transcriber.
    out: BTreeMap<u64, usize>,
    /// Since when each node knows that a transcriber takes nothing new.
    told: BTreeMap<(usize, usize), Instant>,
    /// Spans in which a node was dead or frozen; the last one may still go on.
    absent: BTreeMap<usize, Vec<(Instant, Option<Instant>)>>,
    /// When the link of a node and a transcriber was last not as it should be.
    links: BTreeMap<(usize, usize), Instant>,
    cold: Vec<Instant>,
    /// Wholes that were set in the course of the trial.
    wholes: Vec<(Instant, u32)>,
    cold_by: BTreeMap<usize, usize>,
    setups: Histogram<u64>,
    counts: BTreeMap<&'static str, u64>,
}

impl Judge {
    /// Nothing has happened yet.
    pub fn new(start: Instant) -> Judge {
        // Three digits up to a minute, in microseconds: bounds that are known to hold.
        let setups = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a histogram");
        Judge {
            start,
            broken: Vec::new(),
            requests: BTreeMap::new(),
            out: BTreeMap::new(),
            told: BTreeMap::new(),
            absent: BTreeMap::new(),
            links: BTreeMap::new(),
            cold: Vec::new(),
            wholes: Vec::new(),
            cold_by: BTreeMap::new(),
            setups,
            counts: BTreeMap::new(),
        }
    }

    /// The first client comes now.
    pub fn starts(&mut self, now: Instant) {
        self.start = now;
    }

    /// Seconds since the first client.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// A rule is broken.
    pub fn breaks(&mut self, rule: &'static str, at: Instant, what: String) {
        if self
            .broken
            .iter()
            .filter(|broken| broken.rule == rule)
            .count()
            < MOST_TOLD
        {
            self.broken.push(Broken {
                rule,
                at_s: self.seconds(at),
                what,
            });
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// A node is dead or frozen from now on, or is back.
    pub fn absent(&mut self, node: usize, at: Instant, absent: bool) {
        let spans = self.absent.entry(node).or_default();
        match spans.last_mut() {
            Some((_, end @ None)) if !absent => *end = Some(at),
            Some((_, None)) => {}
            _ if absent => spans.push((at, None)),
            _ => {}
        }
    }

    /// Whether the node was dead or frozen at some time between these moments.
    fn was_absent(&self, node: usize, from: Instant, to: Instant) -> bool {
        let spans = self
            .absent
            .get(&node)
            .map(Vec::as_slice)
            .unwrap_or_default();
        spans.iter().any(|(began, ended)| {
            *began <= to + SLACK && ended.is_none_or(|ended| ended + SLACK >= from)
        })
    }

    /// A link between a node and a transcriber is not as it should be at this moment.
    pub fn link_faulty(&mut self, node: usize, transcriber: usize, at: Instant) {
        self.links.insert((node, transcriber), at);
    }

    /// An attempt has gone out: its whole first line has come from the node, on a connection begun then.
    pub fn begun(&mut self, request: u64, node: usize, transcriber: usize, at: Instant) {
        self.count("attempts");
        if let Some(other) = self.out.insert(request, transcriber) {
            let what = format!(
                "request {request:016x} was out at t{other} and went to t{transcriber} by n{node}"
            );
            self.breaks("one-attempt", Instant::now(), what);
        }
        if let Some(request) = self.requests.get_mut(&request) {
            request.transcriber = Some(transcriber);
        }
        if let Some(told) = self.told.get(&(node, transcriber)) {
            if at.saturating_duration_since(*told) > GRACE && !self.was_absent(node, *told, at) {
                let late = at.saturating_duration_since(*told).as_millis();
                let what = format!(
                    "n{node} sent {request:016x} to t{transcriber}, {late} ms after it was told of its end"
                );
                self.breaks("drain-grace", at, what);
            }
        }
    }

    /// The attempt is over.
    pub fn over(&mut self, request: u64) {
        self.out.remove(&request);
    }

    /// A stand-in saw this.
    pub fn saw(&mut self, at: Instant, seen: Seen) {
        match seen {
            Seen::Asked {
                request,
                node,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let (answer, gave_up, dropped, transcriber) = (None, false, false, None);
                let asked = Request {
                    node,
                    asked: at,
                    wait,
                    answer,
                    gave_up,
                    dropped,
                    transcriber,
                };
                if self.requests.insert(request, asked).is_some() {
                    self.breaks(
                        "one-answer",
                        at,
                        format!("the trial used the id {request:016x} twice"),
                    );
                }
            }
            Seen::Answered { request, answer } => {
                let Some(known) = self.requests.get_mut(&request) else {
                    return;
                };
                known.answer = Some((at, answer));
                let took = at.saturating_duration_since(known.asked);
                self.count(match answer {
                    Answer::Up => "up",
                    Answer::Busy(_) => "busy",
                    Answer::Failed => "failed",
                    Answer::Closed => "closed",
                });
                if answer == Answer::Up {
                    self.setups.saturating_record(took.as_micros() as u64);
                }
            }
            Seen::Again { request } => {
                self.breaks(
                    "one-answer",
                    at,
                    format!("request {request:016x} was answered a second time"),
                );
            }
            Seen::GaveUp { request } => {
                if let Some(request) = self.requests.get_mut(&request) {
                    request.gave_up = true;
                }
            }
            Seen::Dropped { request } => {
                if let Some(request) = self.requests.get_mut(&request) {
                    request.dropped = true;
                }
            }
            Seen::Stood { request, end } => self.stood(at, request, end),
            Seen::Fell {
                transcriber,
                cold,
                held,
            } => {
                self.count("fell");
                if cold {
                    self.breaks(
                        "cold-fell",
                        at,
                        format!("t{transcriber} fell while it was cold, with {held} connections"),
                    );
                }
            }
            Seen::Cold { transcriber, begun } => {
                self.cold.push(begun);
                *self.cold_by.entry(transcriber).or_default() += 1;
            }
            Seen::Told {
                node,
                transcriber,
                ready: true,
            } => drop(self.told.remove(&(node, transcriber))),
            Seen::Told {
                node,
                transcriber,
                ready: false,
            } => {
                self.told.entry((node, transcriber)).or_insert(at);
            }
        }
    }

    fn stood(&mut self, at: Instant, request: u64, end: End) {
        self.count(match end {
            End::Own => "stood",
            End::Moved => "moved",
            End::Theirs | End::Cut => "cut",
        });
        let Some(known) = self.requests.get(&request).filter(|_| end == End::Cut) else {
            return;
        };
        let (node, asked) = (known.node, known.asked);
        let faulty = known
            .transcriber
            .and_then(|transcriber| self.links.get(&(node, transcriber)));
        let faulty = faulty.is_some_and(|last| at.saturating_duration_since(*last) < AFTER_FAULT);
        if !known.dropped && !faulty && !self.was_absent(node, asked, at) {
            let what = format!(
                "n{node} cut {request:016x} off without MOVE, its transcriber {:?} still answers",
                known.transcriber
            );
            self.breaks("cut-off", at, what);
        }
    }

    /// The run is over: what is still owed is judged, and budgets are summed up. Gives requests, those that nobody
    /// answered though their node was there, and those that were lost with their node.
    pub fn finish(&mut self, now: Instant) -> (u64, u64, u64) {
        let (mut unanswered, mut lost) = (0, 0);
        let requests = std::mem::take(&mut self.requests);
        for (id, request) in &requests {
            let due = request.asked + request.wait + LATE;
            let none = match request.answer {
                Some((_, Answer::Closed)) => true,
                Some(_) => false,
                None => request.gave_up || now > due,
            };
            if !none {
                continue;
            }
            let until = request.answer.map_or(due, |(at, _)| at);
            if self.was_absent(request.node, request.asked, until) {
                lost += 1;
            } else {
                unanswered += 1;
                let what = format!("request {id:016x} had no answer of n{}", request.node);
                self.breaks("one-answer", until, what);
            }
        }
        (requests.len() as u64, unanswered, lost)
    }

    /// The budget of connections to cold transcribers, as it was used.
    ///
    /// `enough` are spans, in seconds, in which more was wanted than the whole.
    pub fn cold(&mut self, whole: u32, enough: &[(f64, f64)]) -> Budget {
        self.cold.sort();
        // A greater whole of before may still be out until all slices of it are surely over.
        let wholes = self.wholes.clone();
        let allowed = |at: Instant| {
            let at_first = wholes
                .first()
                .is_none_or(|(from, _)| at < *from + SLICES_OVER)
                .then_some(whole);
            let later = wholes.iter().enumerate().filter(|(n, (from, _))| {
                let next = wholes
                    .get(n + 1)
                    .is_none_or(|(next, _)| at < *next + SLICES_OVER);
                *from <= at && next
            });
            later
                .map(|(_, (_, whole))| *whole)
                .chain(at_first)
                .max()
                .unwrap_or(whole)
        };
        let (mut peak, mut first, mut over) = (0, 0, None);
        for (last, moment) in self.cold.iter().enumerate() {
            while moment.saturating_duration_since(self.cold[first]) >= SECOND {
                first += 1;
            }
            let sum = (last - first + 1) as u32;
            peak = peak.max(sum);
            if sum > allowed(*moment) && over.is_none_or(|(most, _)| sum > most) {
                over = Some((sum, *moment));
            }
        }
        if let Some((sum, at)) = over {
            let whole = allowed(at);
            let what = format!(
                "{sum} connections to cold transcribers in a second, {whole} are the whole"
            );
            self.breaks("budget", at, what);
        }
        let last = self
            .cold
            .last()
            .map_or(0.0, |last| self.seconds(*last) + 1.0);
        let sums = (0..(last * 10.0) as usize).map(|tenth| {
            let to = self.start + Duration::from_millis(tenth as u64 * 100);
            let from = to.checked_sub(SECOND).unwrap_or(self.start);
            let sum = self
                .cold
                .iter()
                .filter(|moment| **moment > from && **moment <= to)
                .count();
            (tenth as f64 / 10.0, sum as u32)
        });
        let sums = sums.collect();
        let (mut came, mut span) = (0, 0.0);
        for (from, to) in enough {
            let within = |moment: &&Instant| (*from..*to).contains(&self.seconds(**moment));
            came += self.cold.iter().filter(within).count();
            span += to - from;
        }
        // What was sent takes its unit for as long as the budget counts it.
        let used =
            (span > 0.0).then(|| came as f64 * WINDOW.as_secs_f64() / (span * f64::from(whole)));
        Budget {
            name: "cold",
            whole,
            peak,
            used,
            total: self.cold.len(),
            sums,
        }
    }

    /// A person sets another whole of the cold budget.
    pub fn whole(&mut self, at: Instant, whole: u32) {
        self.wholes.push((at, whole));
    }

    /// All that is broken so far.
    pub fn broken(&self) -> &[Broken] {
        &self.broken
    }

    /// What was counted.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Set-ups as clients saw them, in milliseconds: half, 99 of 100, and the slowest.
    pub fn setups_ms(&self) -> [f64; 3] {
        let at = |part| self.setups.value_at_quantile(part) as f64 / 1000.0;
        [at(0.5), at(0.99), self.setups.max() as f64 / 1000.0]
    }
}
