//! Who lives: SWIM by the `foca` crate, driven with time and datagrams from outside. All times are spans since this
//! process began, by its own clock.

use crate::PROTOCOL_VERSION;
use foca::{Config, Foca, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The longest datagram: what passes every network whole.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Two letters, the form and the fleet go before what membership says.
const HEAD: usize = 7;
const MARK: [u8; 2] = *b"lc";
/// One member is asked in each period, and answers within the span that follows; then three others ask it.
const PERIOD: Duration = Duration::from_secs(1);
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
    pub incarnation: u64,
    /// When it started, as Unix time in milliseconds by its own clock; compared among lives of one name only.
    pub started_at_ms: u64,
    /// How often this life has come back after it was taken for dead.
    pub generation: u32,
    /// Where it takes datagrams and links.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: String,
    /// See `zone`.
    pub region: String,
    /// Which build it runs.
    pub build: String,
    /// A sum over the settings that it runs with.
    pub settings_hash: u32,
}

impl foca::Identity for Identity {
    type Addr = String;

    fn renew(&self) -> Option<Identity> {
        Some(Identity {
            generation: self.generation.saturating_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.started_at_ms, self.incarnation, self.generation)
            > (other.started_at_ms, other.incarnation, other.generation)
    }
}

/// What is to be carried out, or known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipOutput {
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
pub struct RejectedDatagrams {
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
    out: VecDeque<MembershipOutput>,
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
            Notification::MemberUp(member) => MembershipOutput::Up(member.clone()),
            Notification::MemberDown(member) => MembershipOutput::Down(member.clone()),
            // Another life of a name: the one before is over, and the new one is told of by itself.
            Notification::Rename(before, after) => {
                self.out.push_back(MembershipOutput::Down(before.clone()));
                MembershipOutput::Up(after.clone())
            }
            Notification::Rejoin(me) => {
                if self.now.saturating_sub(self.backs.0) >= Duration::from_secs(1) {
                    self.backs = (self.now, 0);
                }
                self.backs.1 += 1;
                self.contested |= self.backs.1 > MOST_BACKS;
                MembershipOutput::Back(me.generation)
            }
            Notification::Defunct => MembershipOutput::Replaced,
            Notification::Active | Notification::Idle => return,
        };
        self.out.push_back(out);
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        let mut bytes = Vec::with_capacity(HEAD + data.len());
        bytes.extend_from_slice(&MARK);
        bytes.push(PROTOCOL_VERSION);
        bytes.extend_from_slice(&self.fleet.to_be_bytes());
        bytes.extend_from_slice(data);
        self.out
            .push_back(MembershipOutput::Datagram(to.address, bytes));
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
    pub rejected: RejectedDatagrams,
}

fn config(nodes: usize) -> Config {
    let growth = f64::max(1.0, (nodes.max(1) as f64).log10());
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency, n| {
        Some(PeriodicParams {
            frequency,
            num_members: some(n),
        })
    };
    Config {
        probe_period: PERIOD,
        probe_rtt: ANSWER,
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new((15.0 * growth).min(60.0) as u8)
            .unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPECTED.mul_f64(growth),
        remove_down_after: FORGOTTEN,
        max_packet_size: some(MAX_DATAGRAM_BYTES - HEAD),
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
        let rng = Pcg64Mcg::new(u128::from(seed) << 64 | u128::from(me.incarnation));
        let spread = 0.75 + f64::from(me.incarnation as u8) / 512.0;
        let seeds = seeds
            .into_iter()
            .filter(|(name, _)| *name != me.name)
            .collect();
        Membership {
            foca: Foca::new(me, config(nodes), rng, PostcardCodec),
            carrier: Carrier {
                fleet,
                ..Carrier::default()
            },
            seeds,
            announce: Duration::ZERO,
            spread,
            left: false,
            rejected: RejectedDatagrams::default(),
        }
    }

    /// This node as others see it.
    pub fn local_identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// All others that live.
    pub fn alive(&self) -> impl Iterator<Item = &Identity> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// What is to be carried out, oldest first.
    pub fn next_output(&mut self) -> Option<MembershipOutput> {
        self.carrier.out.pop_front()
    }

    /// When `due` has something to do next.
    pub fn next_deadline(&self) -> Duration {
        let timer = self.carrier.timers.keys().next().map(|(at, _)| *at);
        timer.map_or(self.announce, |at| at.min(self.announce))
    }

    /// Time has come to `now`.
    pub fn on_deadline(&mut self, now: Duration) {
        self.carrier.now = now;
        if self.left {
            self.carrier.timers.clear();
            return self.announce = now + NOW_AND_THEN;
        }
        if now >= self.announce {
            for (name, at) in self.seeds.clone() {
                // What a seed's life is called is not known before it answers.
                let seed = Identity {
                    name,
                    address: at,
                    incarnation: 0,
                    started_at_ms: 0,
                    generation: 0,
                    ..self.foca.identity().clone()
                };
                let _ = self.foca.announce(seed, &mut self.carrier);
            }
            let pause = if self.foca.iter_members().next().is_none() {
                ALONE
            } else {
                NOW_AND_THEN
            };
            self.announce = now + pause.mul_f64(self.spread);
        }
        while let Some(first) = self
            .carrier
            .timers
            .first_entry()
            .filter(|first| first.key().0 <= now)
        {
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
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        !self.foca.iter_membership_state().any(|member| {
            member.id() == member_id
                && member.incarnation() == *incarnation
                && member.state() == foca::State::Suspect
        })
    }

    /// A datagram has come; what can't be used is counted.
    pub fn on_datagram(&mut self, now: Duration, bytes: &[u8]) {
        self.carrier.now = now;
        if self.left {
            return;
        }
        let (Some(head), Some(data)) = (bytes.get(..HEAD), bytes.get(HEAD..)) else {
            self.rejected.unreadable += 1;
            return;
        };
        if head[..2] != MARK || bytes.len() > MAX_DATAGRAM_BYTES {
            self.rejected.unreadable += 1;
        } else if head[2] != PROTOCOL_VERSION {
            self.rejected.version += 1;
        } else if head[3..] != self.carrier.fleet.to_be_bytes() {
            self.rejected.foreign += 1;
        } else if let Err(error) = self.foca.handle_data(data, &mut self.carrier) {
            match error {
                foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves => {
                    self.rejected.stale += 1;
                }
                _ => self.rejected.unreadable += 1,
            }
        }
        if std::mem::take(&mut self.carrier.contested) {
            self.yield_to_newer();
            self.carrier.out.push_back(MembershipOutput::Replaced);
        }
    }

    /// Another life has this one's name: it says nothing more.
    pub fn yield_to_newer(&mut self) {
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
mod tests;
