//! Which servers people have taken out of use, beside what the list says. The decisions see a server that is out as one
//! that drains, whatever the list tells meanwhile, so that nothing new goes there by any way; called back, as one that
//! started when the list told that it did since it was taken out, and where it told none as one that has just started:
//! it was most likely restarted, and the list tells that late.

use crate::interface::{Health, Listed, ServerId, Time};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Puts a server among those that are out, or takes it from them; whether that changes anything.
pub fn put(out: &mut BTreeSet<ServerId>, server: &ServerId, down: bool) -> bool {
    if down {
        out.insert(server.clone())
    } else {
        out.remove(server)
    }
}

/// The list as last told, and the servers that are out.
#[derive(Default)]
pub struct ByHand {
    listed: HashMap<ServerId, Listed>,
    out: BTreeSet<ServerId>,
    since: HashMap<ServerId, Time>,
}

impl ByHand {
    /// Takes in what the list tells and gives what the decisions are to see of it.
    pub fn list(&mut self, entries: Vec<Listed>, whole: bool) -> Vec<Listed> {
        if whole {
            self.listed.clear();
        }
        for entry in &entries {
            match entry.health {
                Health::Gone => drop(self.listed.remove(&entry.server)),
                _ => drop(self.listed.insert(entry.server.clone(), entry.clone())),
            }
        }
        entries.into_iter().map(|entry| self.shown(entry)).collect()
    }

    fn shown(&self, mut entry: Listed) -> Listed {
        if entry.health == Health::Ready && self.out.contains(&entry.server) {
            entry.health = Health::Draining;
        }
        entry
    }

    /// Whether the list names the server, or it is out and may be called back.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.listed.contains_key(server) || self.out.contains(server)
    }

    /// The servers that are out.
    pub fn out(&self) -> &BTreeSet<ServerId> {
        &self.out
    }

    /// In how many steps each server that is out has to be empty, the present one included, if it has to be within `within`.
    pub fn steps(&self, now: Time, within: Duration, step: Duration) -> Vec<(ServerId, usize)> {
        let left = |since: Time| within.saturating_sub(now.since(since)).as_nanos() / step.as_nanos().max(1);
        let steps = self.out.iter().filter_map(|server| Some((server.clone(), *self.since.get(server)?)));
        steps.map(|(server, since)| (server, left(since) as usize + 1)).collect()
    }

    /// From now on exactly these are out. Gives the entries that change by it: those taken out as they are shown now,
    /// those called back as started lately.
    pub fn set(&mut self, now: Time, out: BTreeSet<ServerId>) -> Vec<Listed> {
        let before = std::mem::replace(&mut self.out, out);
        let since = self.since.clone();
        self.since.retain(|server, _| self.out.contains(server));
        for server in &self.out {
            self.since.entry(server.clone()).or_insert(now);
        }
        let changed = before.symmetric_difference(&self.out);
        let entry = |server: &ServerId| {
            let mut entry = self.shown(self.listed.get(server)?.clone());
            if before.contains(server) {
                entry.started = entry.started.filter(|at| since.get(server) < Some(at)).or(Some(now));
            }
            Some(entry)
        };
        changed.filter_map(entry).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listed(name: &str, health: Health, started: Option<Time>) -> Listed {
        Listed { server: name.into(), health, weight: 1.0, zone: 0, cell: 0, kind: 0, started }
    }

    fn out(names: &[&str]) -> BTreeSet<ServerId> {
        names.iter().map(|name| ServerId::from(*name)).collect()
    }

    fn shown(entries: Vec<Listed>) -> Vec<(String, Health, Option<Time>)> {
        entries.into_iter().map(|e| (e.server.0.to_string(), e.health, e.started)).collect()
    }

    #[test]
    fn what_is_out_drains_whatever_the_list_tells_until_it_is_called_back() {
        use Health::{Draining, Gone, Ready};
        let (mut by_hand, s) = (ByHand::default(), || "s".to_string());
        by_hand.list(vec![listed("s", Ready, None), listed("t", Ready, None)], true);
        assert_eq!(shown(by_hand.set(Time(5), out(&["s"]))), [(s(), Draining, None)]);
        assert_eq!(shown(by_hand.set(Time(6), out(&["s"]))), [], "once is enough");
        // It is restarted: gone, back, and told again by a whole list.
        assert_eq!(shown(by_hand.list(vec![listed("s", Gone, None)], false)), [(s(), Gone, None)]);
        assert!(by_hand.knows(&"s".into()), "may be called back meanwhile");
        for whole in [false, true] {
            let told = by_hand.list(vec![listed("s", Ready, Some(Time(8)))], whole);
            assert_eq!(shown(told), [(s(), Draining, Some(Time(8)))]);
        }
        assert!(!by_hand.knows(&"t".into()), "the whole list has it no more");
        // It started at 8, so it is warm the sooner.
        assert_eq!(shown(by_hand.set(Time(9), out(&[]))), [(s(), Ready, Some(Time(8)))]);
        // That start says nothing of what was done while it was out for the second time.
        by_hand.set(Time(10), out(&["s"]));
        assert_eq!(shown(by_hand.set(Time(12), out(&[]))), [(s(), Ready, Some(Time(12)))]);
    }

    #[test]
    fn it_is_emptied_in_steps_counted_from_when_it_was_taken_out() {
        let (mut by_hand, ms) = (ByHand::default(), Duration::from_millis);
        by_hand.set(Time(0), out(&["s"]));
        let at = |by_hand: &ByHand, n: u64| by_hand.steps(Time(n * 1_000_000), ms(300), ms(100));
        assert_eq!([0, 100, 250, 900].map(|n| at(&by_hand, n)[0].1), [4, 3, 1, 1]);
        by_hand.set(Time(200_000_000), out(&["s", "t"]));
        assert_eq!(at(&by_hand, 200), [("s".into(), 2), ("t".into(), 4)]);
    }

    #[test]
    fn a_later_start_and_a_drain_go_before_the_call_back() {
        let mut by_hand = ByHand::default();
        by_hand.set(Time(1), out(&["s", "t", "u"]));
        by_hand.list(
            vec![listed("s", Health::Ready, Some(Time(20))), listed("t", Health::Draining, None)],
            true,
        );
        let back = shown(by_hand.set(Time(9), out(&[])));
        assert_eq!(
            back,
            [("s".into(), Health::Ready, Some(Time(20))), ("t".into(), Health::Draining, Some(Time(9)))],
            "one that is not listed has nothing to show"
        );
    }
}
