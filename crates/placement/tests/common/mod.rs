//! A small world for one balancer: it keeps the clock and the books, and checks every action against the four rules.
#![allow(dead_code)]

use lupincrank_placement::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const MS: u64 = 1_000_000;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn settings(repeat: RetrySafety) -> Settings {
    Settings {
        node_count: 2,
        classes: vec![Class {
            setup_objective: ms(500),
            message_objective: ms(100),
            retry_safety: repeat,
        }],
        tenants: vec![],
        max_attempts: 4,
        gossip_allowed: false,
        health_checks_allowed: false,
        health_check_cost: 0.0,
        utilization_field: None,
        requires_endpoint_watch: true,
        drain_grace: ms(500),
        slow_start_duration: Duration::from_secs(20),
        initial_capacity_ratio: 0.2,
        overload_factor: 3.0,
        overload_window: Duration::from_secs(2),
        max_retry_after: Duration::from_secs(2),
    }
}

pub fn listed(name: &str) -> Endpoint {
    Endpoint {
        server: name.into(),
        health: Health::Ready,
        weight: 1.0,
        zone: 0,
        cell: 0,
        machine_kind: 0,
        started_at: None,
    }
}

pub fn request(id: u64, key: &str, expires: u64) -> RequestInfo {
    RequestInfo {
        request: RequestId(id),
        class: 0,
        tenant: None,
        group: None,
        key: Some(key.into()),
        load: None,
        deadline: Timestamp(expires),
        is_mid_flow: false,
        is_reconnect: false,
    }
}

/// What the world knows of a request.
pub struct Book {
    pub expires: u64,
    pub attempts: Vec<(ServerId, u64, Option<Outcome>)>,
    pub stands: bool,
    pub finals: u32,
    pub mid_flow: bool,
}

pub struct World {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: u64,
    pub books: BTreeMap<u64, Book>,
    /// The list as told: place, and since when a server leaves.
    pub list: BTreeMap<ServerId, (u32, u32, Option<u64>)>,
    /// Servers that are out by hand.
    pub out: BTreeSet<ServerId>,
    pub timers: BTreeSet<(u64, u64, Timer)>,
    pub patience: BTreeMap<u64, u64>,
    pub last: Vec<Action>,
    /// Probes that are not answered yet.
    pub probes: Vec<ServerId>,
    serial: u64,
}

impl World {
    pub fn new(settings: Settings, seed: u64) -> World {
        let mut world = World {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            now: 1_000 * MS,
            books: BTreeMap::new(),
            list: BTreeMap::new(),
            out: BTreeSet::new(),
            timers: BTreeSet::new(),
            patience: BTreeMap::new(),
            last: vec![],
            probes: vec![],
            serial: 0,
        };
        world.tell(Event::Start);
        world
    }

    pub fn with_servers(settings: Settings, names: &[&str]) -> World {
        let mut world = World::new(settings, 1);
        world.list(names.iter().map(|name| listed(name)).collect());
        world
    }

    pub fn list(&mut self, entries: Vec<Endpoint>) {
        let named: BTreeSet<_> = entries.iter().map(|entry| entry.server.clone()).collect();
        let now = self.now;
        for (server, book) in &mut self.list {
            if !named.contains(server) {
                book.2.get_or_insert(now);
            }
        }
        entries.iter().for_each(|entry| self.note(entry));
        self.tell(Event::EndpointList {
            entries,
            cached: false,
        });
    }

    pub fn change(&mut self, entry: Endpoint) {
        self.note(&entry);
        self.tell(Event::EndpointChange(vec![entry]));
    }

    /// From now on exactly these servers are out by hand.
    pub fn by_hand(&mut self, out: &[&str]) {
        self.out = out.iter().map(|name| ServerId::from(*name)).collect();
        for (server, book) in &mut self.list {
            book.2 = self
                .out
                .contains(server)
                .then_some(book.2.unwrap_or(self.now));
        }
        self.tell(Event::AdminDrain(self.out.clone()));
    }

    fn note(&mut self, entry: &Endpoint) {
        let now = self.now;
        let book = self
            .list
            .entry(entry.server.clone())
            .or_insert((0, 0, None));
        (book.0, book.1) = (entry.zone, entry.cell);
        let serves = entry.health == Health::Ready && !self.out.contains(&entry.server);
        book.2 = if serves { None } else { book.2.or(Some(now)) };
    }

    pub fn ask(&mut self, incoming: RequestInfo) {
        let book = Book {
            expires: incoming.deadline.0,
            attempts: vec![],
            stands: false,
            finals: 0,
            mid_flow: incoming.is_mid_flow,
        };
        self.books.insert(incoming.request.0, book);
        self.tell(Event::RequestReceived(incoming));
    }

    /// A connection that already stands on a server.
    pub fn inherit(&mut self, incoming: RequestInfo, server: &str) {
        let book = Book {
            expires: incoming.deadline.0,
            attempts: vec![(server.into(), self.now, None)],
            stands: true,
            finals: 0,
            mid_flow: false,
        };
        self.books.insert(incoming.request.0, book);
        self.tell(Event::ConnectionInherited(incoming, server.into()));
    }

    /// Where the latest attempt of a request went.
    pub fn at(&self, id: u64) -> Option<String> {
        self.books[&id]
            .attempts
            .last()
            .map(|(server, _, _)| server.0.to_string())
    }

    pub fn stands(&mut self, id: u64) {
        self.books.get_mut(&id).unwrap().stands = true;
        let setup_duration =
            Duration::from_nanos(self.now - self.books[&id].attempts.last().unwrap().1);
        self.tell(Event::ConnectionEstablished {
            request: RequestId(id),
            setup_duration,
        });
    }

    pub fn ends(&mut self, id: u64, outcome: Outcome) {
        let book = self.books.get_mut(&id).unwrap();
        let done = outcome == Outcome::Served || (book.stands && outcome == Outcome::Reset);
        let attempt = book.attempts.len() as u32 - 1;
        book.attempts.last_mut().unwrap().2 = Some(outcome);
        if done && book.finals == 0 {
            book.finals = 1;
        }
        let done = book.finals > 0;
        self.patience.remove(&id);
        self.tell(Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            done,
            report: None,
        });
    }

    /// The gateway ends; what is out for the request was sent, or not yet.
    pub fn gives_up(&mut self, id: u64, sent: bool) {
        let attempts = &mut self.books.get_mut(&id).unwrap().attempts;
        let out = attempts.last_mut().filter(|attempt| attempt.2.is_none());
        let attempt = out.map(|attempt| {
            // Not to the module, which hears of it later: what was never sent proves that it never ran.
            attempt.2 = (!sent).then_some(Outcome::NotSent);
        });
        let number = (self.books[&id].attempts.len() as u32).saturating_sub(1);
        self.tell(Event::ShutdownDeadline {
            request: RequestId(id),
            sent,
        });
        assert_eq!(self.books[&id].finals, 1, "given up without an answer");
        self.patience.remove(&id);
        if attempt.is_some() {
            self.books
                .get_mut(&id)
                .unwrap()
                .attempts
                .last_mut()
                .unwrap()
                .2 = Some(Outcome::Cancelled);
            let (request, outcome) = (RequestId(id), Outcome::Cancelled);
            self.tell(Event::AttemptEnded {
                request,
                attempt: number,
                outcome,
                done: true,
                report: None,
            });
            assert_eq!(self.last, vec![], "nothing is owed any more");
        }
    }

    pub fn tell(&mut self, event: Event) {
        let mut actions = vec![];
        self.balancer
            .handle(Timestamp(self.now), event, &mut actions);
        actions.iter().for_each(|action| self.check(action));
        self.last = actions;
    }

    /// Runs timers and time-outs up to a moment.
    pub fn advance(&mut self, to: u64) {
        loop {
            let timer = self.timers.first().copied();
            let out = self.patience.iter().map(|(id, at)| (*at, *id)).min();
            match (timer, out) {
                (_, Some((at, id))) if at <= to && timer.is_none_or(|(due, _, _)| at <= due) => {
                    self.now = self.now.max(at);
                    if self.books[&id].stands {
                        self.patience.remove(&id);
                    } else {
                        self.ends(id, Outcome::TimedOut);
                    }
                }
                (Some(timer), _) if timer.0 <= to => {
                    self.timers.remove(&timer);
                    self.now = self.now.max(timer.0);
                    self.tell(Event::TimerFired(timer.2));
                }
                _ => break,
            }
        }
        self.now = self.now.max(to);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
            } => {
                let now = self.now;
                let (zone, cell, leaving) =
                    *self.list.get(server).expect("a server that was listed");
                let settings = self.settings.clone();
                let book = self
                    .books
                    .get_mut(&request.0)
                    .expect("a request that was taken");
                assert_eq!(book.finals, 0, "sent after its final answer");
                assert!(now <= book.expires, "sent after its time");
                assert!(
                    book.attempts.iter().all(|(_, _, end)| end.is_some()),
                    "two attempts out at once"
                );
                assert!(
                    book.attempts.len() < settings.max_attempts as usize,
                    "more attempts than allowed"
                );
                if let Some(since) = leaving {
                    let grace = settings.drain_grace.as_nanos() as u64;
                    assert!(
                        book.mid_flow && now - since <= grace,
                        "something new to a leaving server"
                    );
                }
                for (earlier, sent, end) in &book.attempts {
                    if end.unwrap().proves_not_executed() {
                        continue;
                    }
                    match settings.classes[0].retry_safety {
                        RetrySafety::Idempotent => {}
                        RetrySafety::NotIdempotent => {
                            panic!("an unsafe request sent again though it may have run")
                        }
                        RetrySafety::IdempotencyKey { scope, window } => {
                            let place = self.list[earlier];
                            let same = match scope {
                                IdempotencyScope::All => true,
                                IdempotencyScope::Zone => place.0 == zone,
                                IdempotencyScope::Cell => place.1 == cell,
                            };
                            assert!(same, "a keyed request sent outside its group");
                            assert!(
                                now - sent <= window.as_nanos() as u64,
                                "a keyed request sent too late"
                            );
                        }
                    }
                }
                book.attempts.push((server.clone(), now, None));
                let until = (now + timeout.as_nanos() as u64).min(book.expires);
                self.patience.insert(request.0, until);
            }
            Action::Reject { request, .. } => {
                let doubtful = self.books[&request.0].attempts.iter().any(|(_, _, end)| {
                    !end.is_some_and(lupincrank_placement::Outcome::proves_not_executed)
                });
                let repeat = self.settings.classes[0].retry_safety;
                let harmless = matches!(
                    repeat,
                    RetrySafety::Idempotent
                        | RetrySafety::IdempotencyKey {
                            scope: IdempotencyScope::All,
                            ..
                        }
                ) || !doubtful;
                assert!(harmless, "refused though it may have run");
                self.final_answer(request.0);
            }
            Action::Fail(request) => self.final_answer(request.0),
            Action::Migrate(request) => {
                assert!(self.books[&request.0].stands, "moved before it stood");
                self.books.get_mut(&request.0).unwrap().finals += 1;
            }
            Action::SetTimer { after, timer } => {
                self.serial += 1;
                self.timers
                    .insert((self.now + after.as_nanos() as u64, self.serial, *timer));
            }
            Action::CheckHealth(server) => self.probes.push(server.clone()),
            Action::Gossip(_) | Action::WatchEndpoints => {}
        }
    }

    fn final_answer(&mut self, id: u64) {
        let book = self.books.get_mut(&id).unwrap();
        book.finals += 1;
        assert_eq!(book.finals, 1, "two final answers");
        // A standing connection has no deadline; its end may come at any time.
        assert!(
            book.stands || self.now <= book.expires + 20 * MS,
            "answered too late"
        );
    }
}
