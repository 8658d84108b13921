//! Who lives: SWIM by the `foca` crate, driven with time and datagrams from outside. All times are spans since this
//! process began, by its own clock.

use crate::VERSION;
use foca::{Config, Foca, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The longest datagram: what passes every network whole.
pub const LONGEST: usize = 1400;
/// Two letters, the form and the fleet go before what membership says.
const HEAD: usize = 7;
const MARK: [u8; 2] = *b"lc";
/// One member is asked in each period, and answers within the span that follows; then three others ask it.
const PERIOD: Duration = Duration::from_millis(1000);
const ANSWER: Duration = Duration::from_millis(350);
/// One that answered nobody is suspected for this long before it counts as down: it can refute that meanwhile. It grows
/// with the logarithm of the fleet, as news takes longer.
const SUSPECTED: Duration = Duration::from_millis(2500);
/// One that is down is forgotten after this, and asked now and then until then, in case it was only cut off.
const FORGOTTEN: Duration = Duration::from_secs(120);
const ASK_DOWN: Duration = Duration::from_secs(2);
/// The seeds are asked again this often while nobody is known, and this often later, so that two halves of a fleet that
/// have forgotten each other meet again. Spread by the seed.
const ALONE: Duration = Duration::from_millis(500);
const NOW_AND_THEN: Duration = Duration::from_secs(15);
/// A life that others take for dead comes back so often in a second at the most: a suspicion takes longer than that, so this
/// is a name that another life holds, and each return would be answered at once by the next refusal.
const MOST_BACKS: u32 = 3;
/// Timers that wait at the most: a few for each member. More would be a fault, and the earliest go first.
const MOST_TIMERS: usize = 16 << 10;

/// One life of one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The node's name: two lives of one name are never members at once.
    pub name: String,
    /// Drawn at each start.
    pub id: u64,
    /// When it started, as Unix time in milliseconds by its own clock; compared among lives of one name only.
    pub born_ms: u64,
    /// How often this life has come back after it was taken for dead.
    pub bump: u32,
    /// Where it takes datagrams and links.
    pub at: SocketAddr,
    /// Where it runs.
    pub zone: String,
    /// See `zone`.
    pub region: String,
    /// Which build it runs.
    pub build: String,
    /// A sum over the settings that it runs with.
    pub settings: u32,
}

impl foca::Identity for Identity {
    type Addr = String;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { bump: self.bump.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.born_ms, self.id, self.bump) > (other.born_ms, other.id, other.bump)
    }
}

/// What is to be carried out, or known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send this to the node that says it is at this address.
    Datagram(SocketAddr, Vec<u8>),
    /// It lives.
    Up(Identity),
    /// It does not, or has left.
    Down(Identity),
    /// This node was taken for dead, and has come back.
    Back(u32),
    /// Another process has this node's name and began later.
    Replaced,
}

/// Datagrams that changed nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Refused {
    /// Of another fleet.
    pub foreign: u64,
    /// Of another form.
    pub version: u64,
    /// Not to be read, or too long.
    pub unreadable: u64,
    /// From a life that is over, or for one.
    pub stale: u64,
}

/// Carries what foca says over to `Out`, and keeps its timers.
#[derive(Default)]
struct Carrier {
    now: Duration,
    out: VecDeque<Out>,
    timers: BTreeMap<(Duration, u64), Timer<Identity>>,
    numbered: u64,
    fleet: u32,
    /// How often this life has come back within the second since that moment, and that it was too often.
    backs: (Duration, u32),
    contested: bool,
}

impl Runtime<Identity> for Carrier {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        let out = match notification {
            Notification::MemberUp(member) => Out::Up(member.clone()),
            Notification::MemberDown(member) => Out::Down(member.clone()),
            // Another life of a name: the one before is over, and the new one is told of by itself.
            Notification::Rename(before, after) => {
                self.out.push_back(Out::Down(before.clone()));
                Out::Up(after.clone())
            }
            Notification::Rejoin(me) => {
                if self.now.saturating_sub(self.backs.0) >= Duration::from_secs(1) {
                    self.backs = (self.now, 0);
                }
                self.backs.1 += 1;
                self.contested |= self.backs.1 > MOST_BACKS;
                Out::Back(me.bump)
            }
            Notification::Defunct => Out::Replaced,
            Notification::Active | Notification::Idle => return,
        };
        self.out.push_back(out);
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        let mut bytes = Vec::with_capacity(HEAD + data.len());
        bytes.extend_from_slice(&MARK);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.fleet.to_be_bytes());
        bytes.extend_from_slice(data);
        self.out.push_back(Out::Datagram(to.at, bytes));
    }

    fn submit_after(&mut self, timer: Timer<Identity>, after: Duration) {
        self.numbered += 1;
        if self.timers.len() < MOST_TIMERS {
            self.timers.insert((self.now + after, self.numbered), timer);
        }
    }
}

/// This node's view of who lives.
pub struct Membership {
    foca: Foca<Identity, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    carrier: Carrier,
    seeds: Vec<(String, SocketAddr)>,
    announce: Duration,
    spread: f64,
    /// It has left: what comes now must not bring it back.
    left: bool,
    /// Datagrams that changed nothing.
    pub refused: Refused,
}

fn config(nodes: usize) -> Config {
    let growth = f64::max(1.0, (nodes.max(1) as f64).log10());
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency, n| Some(PeriodicParams { frequency, num_members: some(n) });
    Config {
        probe_period: PERIOD,
        probe_rtt: ANSWER,
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new((15.0 * growth).min(60.0) as u8).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPECTED.mul_f64(growth),
        remove_down_after: FORGOTTEN,
        max_packet_size: some(LONGEST - HEAD),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: periodic(ASK_DOWN, 2),
        periodic_gossip: periodic(Duration::from_millis(250), 3),
    }
}

impl Membership {
    /// Knows nobody but its seeds. `nodes` are expected.
    pub fn new(
        me: Identity,
        fleet: u32,
        nodes: usize,
        seed: u64,
        seeds: Vec<(String, SocketAddr)>,
    ) -> Membership {
        let rng = Pcg64Mcg::new(u128::from(seed) << 64 | u128::from(me.id));
        let spread = 0.75 + f64::from(me.id as u8) / 512.0;
        let seeds = seeds.into_iter().filter(|(name, _)| *name != me.name).collect();
        Membership {
            foca: Foca::new(me, config(nodes), rng, PostcardCodec),
            carrier: Carrier { fleet, ..Carrier::default() },
            seeds,
            announce: Duration::ZERO,
            spread,
            left: false,
            refused: Refused::default(),
        }
    }

    /// This node as others see it.
    pub fn me(&self) -> &Identity {
        self.foca.identity()
    }

    /// All others that live.
    pub fn alive(&self) -> impl Iterator<Item = &Identity> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// What is to be carried out, oldest first.
    pub fn out(&mut self) -> Option<Out> {
        self.carrier.out.pop_front()
    }

    /// When `due` has something to do next.
    pub fn next(&self) -> Duration {
        let timer = self.carrier.timers.keys().next().map(|(at, _)| *at);
        timer.map_or(self.announce, |at| at.min(self.announce))
    }

    /// Time has come to `now`.
    pub fn due(&mut self, now: Duration) {
        self.carrier.now = now;
        if self.left {
            self.carrier.timers.clear();
            return self.announce = now + NOW_AND_THEN;
        }
        if now >= self.announce {
            for (name, at) in self.seeds.clone() {
                // What a seed's life is called is not known before it answers.
                let seed = Identity { name, at, id: 0, born_ms: 0, bump: 0, ..self.foca.identity().clone() };
                let _ = self.foca.announce(seed, &mut self.carrier);
            }
            let pause = if self.foca.iter_members().next().is_none() { ALONE } else { NOW_AND_THEN };
            self.announce = now + pause.mul_f64(self.spread);
        }
        while let Some(first) = self.carrier.timers.first_entry().filter(|first| first.key().0 <= now) {
            let timer = first.remove();
            if self.refuted(&timer) {
                continue;
            }
            // A timer of a former state is refused, which is as it should be.
            let _ = self.foca.handle_timer(timer, &mut self.carrier);
        }
    }

    /// Whether this timer ends a suspicion that was refuted meanwhile. Foca 1.0 then leaves the member as it is and tells it
    /// all the same that it is down, which it believes.
    fn refuted(&self, timer: &Timer<Identity>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        !self.foca.iter_membership_state().any(|member| {
            member.id() == member_id
                && member.incarnation() == *incarnation
                && member.state() == foca::State::Suspect
        })
    }

    /// A datagram has come; what can't be used is counted.
    pub fn datagram(&mut self, now: Duration, bytes: &[u8]) {
        self.carrier.now = now;
        if self.left {
            return;
        }
        let (Some(head), Some(data)) = (bytes.get(..HEAD), bytes.get(HEAD..)) else {
            self.refused.unreadable += 1;
            return;
        };
        if head[..2] != MARK || bytes.len() > LONGEST {
            self.refused.unreadable += 1;
        } else if head[2] != VERSION {
            self.refused.version += 1;
        } else if head[3..] != self.carrier.fleet.to_be_bytes() {
            self.refused.foreign += 1;
        } else if let Err(error) = self.foca.handle_data(data, &mut self.carrier) {
            match error {
                foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves => self.refused.stale += 1,
                _ => self.refused.unreadable += 1,
            }
        }
        if std::mem::take(&mut self.carrier.contested) {
            self.give_way();
            self.carrier.out.push_back(Out::Replaced);
        }
    }

    /// Another life has this one's name: it says nothing more.
    pub fn give_way(&mut self) {
        self.left = true;
    }

    /// This node ends in good order: others need not find out.
    pub fn leave(&mut self, now: Duration) {
        self.carrier.now = now;
        // A few are told each time, and the news goes on from there.
        for _ in 0..3 {
            let _ = self.foca.gossip(&mut self.carrier);
        }
        let _ = self.foca.leave_cluster(&mut self.carrier);
        self.left = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn identity(n: u16, id: u64, born_ms: u64) -> Identity {
        let at = SocketAddr::from(([127, 0, 0, 1], 7000 + n));
        let (zone, region, build) = ("a".into(), String::new(), "0.1".into());
        Identity { name: format!("n{n}"), id, born_ms, bump: 0, at, zone, region, build, settings: 0 }
    }

    fn member(n: u16, id: u64, born_ms: u64, fleet: u32) -> Membership {
        let seeds = (0..3).map(|n| (format!("n{n}"), identity(n, 0, 0).at)).collect();
        Membership::new(identity(n, id, born_ms), fleet, 3, id, seeds)
    }

    /// Time for all of them; what `lost` names does not get through, from the first to the second.
    fn pass(
        all: &mut [Membership],
        from: Duration,
        to: Duration,
        lost: impl Fn(usize, usize) -> bool,
    ) -> Vec<(usize, Out)> {
        let (mut now, mut news) = (from, Vec::new());
        while now < to {
            now += Duration::from_millis(10);
            for n in 0..all.len() {
                all[n].due(now);
                while let Some(out) = all[n].out() {
                    let Out::Datagram(at, bytes) = out else {
                        news.push((n, out));
                        continue;
                    };
                    let to: Vec<usize> =
                        (0..all.len()).filter(|to| all[*to].me().at == at && *to != n).collect();
                    to.into_iter().filter(|to| !lost(n, *to)).for_each(|to| all[to].datagram(now, &bytes));
                }
            }
        }
        news
    }

    const S: fn(u64) -> Duration = Duration::from_secs;

    #[test]
    fn a_death_is_known_and_one_that_only_slept_comes_back_under_its_id() {
        let mut all: Vec<Membership> = (0..3).map(|n| member(n, 100 + u64::from(n), 1, 5)).collect();
        pass(&mut all, S(0), S(3), |_, _| false);
        assert!(all.iter().all(|one| one.alive().count() == 2));
        // The last one is cut off both ways for long enough to be taken for dead.
        let news = pass(&mut all, S(3), S(12), |from, to| from == 2 || to == 2);
        assert!(news.iter().any(|(n, out)| *n == 0 && matches!(out, Out::Down(who) if who.id == 102)));
        let news = pass(&mut all, S(12), S(20), |_, _| false);
        assert!(news.iter().any(|(n, out)| *n == 2 && matches!(out, Out::Back(1))), "{news:?}");
        assert!(all[0].alive().any(|who| who.id == 102 && who.bump == 1));
    }

    /// The later life of a name is known by all, and the earlier one gives way instead of coming back each time it is refused.
    #[test]
    fn of_two_lives_of_one_name_the_earlier_gives_way() {
        let mut all: Vec<Membership> = (0..3).map(|n| member(n, 100 + u64::from(n), 1, 5)).collect();
        pass(&mut all, S(0), S(3), |_, _| false);
        let other = Identity { at: identity(7, 0, 0).at, ..identity(1, 300, 2) };
        let seeds = vec![("n0".to_string(), identity(0, 0, 0).at)];
        all.push(Membership::new(other, 5, 3, 300, seeds));
        let news = pass(&mut all, S(3), S(20), |_, _| false);
        let of_earlier = |out: &Out| news.iter().filter(|(n, seen)| *n == 1 && seen == out).count();
        assert_eq!(of_earlier(&Out::Replaced), 1, "{news:?}");
        assert!(all[1].me().bump <= 1 + MOST_BACKS, "{} returns", all[1].me().bump);
        assert!(all[0].alive().any(|who| who.id == 300) && all[0].alive().all(|who| who.id != 101));
    }

    #[test]
    fn one_that_leaves_is_known_at_once_and_stays_away() {
        let mut all: Vec<Membership> = (0..3).map(|n| member(n, 100 + u64::from(n), 1, 5)).collect();
        pass(&mut all, S(0), S(3), |_, _| false);
        all[1].leave(S(3));
        pass(&mut all, S(3), S(5), |_, _| false);
        assert!([0, 2].iter().all(|n| all[*n].alive().count() == 1));
    }

    #[test]
    fn of_two_lives_of_one_name_the_later_stays() {
        let mut all = vec![member(0, 100, 1, 5), member(1, 101, 1, 5), member(1, 201, 2, 5)];
        let news = pass(&mut all, S(0), S(8), |_, _| false);
        let alive: Vec<u64> = all[0].alive().map(|who| who.id).collect();
        assert_eq!(alive, vec![201]);
        assert!(!news.iter().any(|(n, out)| *n == 2 && matches!(out, Out::Replaced)));
    }

    /// Suspicions come at this loss, and each is refuted in time.
    #[test]
    fn nobody_is_taken_for_dead_because_datagrams_get_lost() {
        let mut all: Vec<Membership> = (0..10).map(|n| member(n, 100 + u64::from(n), 1, 5)).collect();
        pass(&mut all, S(0), S(5), |_, _| false);
        let draw = std::cell::RefCell::new(Pcg64Mcg::new(7));
        let lost = |_, _| rand::Rng::random::<f64>(&mut *draw.borrow_mut()) < 0.3;
        let news = pass(&mut all, S(5), S(65), lost);
        assert_eq!(news.iter().filter(|(_, out)| matches!(out, Out::Down(_))).count(), 0);
    }

    #[test]
    fn another_fleet_is_counted_and_not_heard() {
        let mut all = vec![member(0, 100, 1, 5), member(1, 101, 1, 6)];
        pass(&mut all, S(0), S(4), |_, _| false);
        assert!(all.iter().all(|one| one.alive().count() == 0 && one.refused.foreign > 0));
    }

    proptest! {
        #[test]
        fn no_datagram_panics_or_adds_a_member(mut bytes in proptest::collection::vec(any::<u8>(), 0..1500), ours in any::<bool>()) {
            let mut one = member(0, 100, 1, 5);
            if ours && bytes.len() >= HEAD {
                bytes[..HEAD].copy_from_slice(&[b'l', b'c', VERSION, 0, 0, 0, 5]);
            }
            one.datagram(S(1), &bytes);
            prop_assert!(one.refused.foreign + one.refused.version + one.refused.unreadable + one.refused.stale <= 1);
        }
    }
}
