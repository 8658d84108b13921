//! Upkeep once a second.

use crate::balancer::{Actions, Balancer};
use crate::limits::overload::CALM;
use crate::limits::slow_start_budget::COLD_SAVED;
use crate::recovery::migration::MOVES_SAVED;
use crate::state::load_accounting::GROUP_COST;
use crate::{Action, Health, Timer, Timestamp};
use std::time::Duration;

pub(crate) const TICK: Duration = Duration::from_secs(1); // upkeep runs this often
const FORGET: Duration = Duration::from_secs(60); // servers that are gone are forgotten after this
const COLD_PART: f64 = 2.0 / 3.0; // what a cold server's budget may use of that at which it falls over
/// A warm server is taken to hold one such part of what it could (services are run at half or so), and, by
/// all gateways together, this many connections, where a gateway that has just begun holds none.
const SPARE: f64 = 1.75;
const LEAST_HELD: f64 = 15.0;
/// What is saved up for cold servers is this multiple of their budget: it only bounds what the guess of the
/// demand, which keeps to the budget over all gateways, may get wrong at one of them.
const GUESSED: f64 = 3.0;
const DEMAND_FADES: f64 = 0.3; // the requests seen fade so a second
/// Moves: at most this part of the connections held a second, saved up to this part.
const MOVES_PER_S: f64 = 0.15;
const SEEN_FADES: f64 = 0.02; // what was seen of groups and of kinds of machines fades so a second
const CAP_RISE: f64 = 0.01;

impl Balancer {
    pub(crate) fn run_upkeep(&mut self, now: Timestamp, actions: &mut Actions) {
        actions.push(Action::SetTimer {
            after: TICK,
            timer: Timer::Upkeep,
        });
        let all_held = self.fleet.totals.connections;
        self.move_tokens =
            (self.move_tokens + MOVES_PER_S * all_held).min((MOVES_SAVED * all_held).max(1.0));
        self.seen *= 1.0 - SEEN_FADES;
        self.seen_groups
            .values_mut()
            .for_each(|seen| *seen *= 1.0 - SEEN_FADES);
        self.seen_groups.retain(|_, seen| *seen > 0.1);
        self.probe_tokens = self.probe_tokens.min(self.fleet.servers.len() as f64);
        let kept_up = std::mem::take(&mut self.fleet.upkeep_slots);
        let faded = |seen: &mut f64| *seen *= 1.0 - SEEN_FADES;
        self.kinds
            .values_mut()
            .for_each(|(seen, crowded)| [seen, crowded].into_iter().for_each(faded));
        // SlowStartBudget servers: no faster than would fill them over their warm-up to what a warm one holds here.
        let cold_for = self.settings.slow_start_duration.as_secs_f64().max(1.0);
        let saved_share = self
            .slow_start_budget
            .saved_per_node(now, self.settings.node_count);
        let window = self.settings.overload_window.as_secs_f64().max(0.1);
        let floor = saved_share / COLD_SAVED * LEAST_HELD / cold_for;
        let mut refill = 0.0;
        self.demand *= 1.0 - DEMAND_FADES;
        let (ready, warm) = (self.fleet.totals.ready, self.fleet.totals.warm);
        let wanted = self.demand * DEMAND_FADES;
        // What cold servers leave goes to the warm ones.
        let part_of_demand = |due: f64| {
            let left = wanted - due * (ready - warm);
            if left > 0.0 {
                due * warm / left
            } else {
                1.0
            }
        };
        let rate = self.fleet.totals.warm_connections / self.fleet.totals.warm.max(1.0) / cold_for;
        let within = (self.settings.overload_factor * COLD_PART).min(2.0);
        let fair = self.fair_unit();
        let mean_load = self.mean_load();
        let group_cost = GROUP_COST * mean_load;
        let mean = |(sum, count): &(f64, f64)| if *count > 0.0 { sum / count } else { mean_load };
        let usual: Vec<f64> = self.class_loads.iter().map(mean).collect();
        for at in kept_up {
            let Some(server) = self.fleet.servers.get(at) else {
                continue;
            };
            // A gone server is remembered for a while, or one listed anew as draining had a second grace.
            let left = now.saturating_duration_since(server.draining_since) >= FORGET
                && server.connections.is_empty();
            if server.health == Health::Removed && left {
                self.fleet.totals.add(server, -1.0);
                self.fleet.servers.remove(at);
                continue;
            }
            if !server.connections.is_empty()
                && !server.is_warming_up
                && server.ejected_until.is_none()
            {
                let crowded = server
                    .overloaded_at
                    .is_some_and(|at| now.saturating_duration_since(at) < TICK * 3 / 2);
                let kind = self.kinds.entry(server.machine_kind).or_default();
                *kind = (kind.0 + 1.0, kind.1 + f64::from(u8::from(crowded)));
            }
            let mut load = server.group_connections.len() as f64 * group_cost;
            for held in &server.connections {
                let Some(request) = self.requests.get_mut(held) else {
                    continue;
                };
                let usual = usual.get(request.class).copied().unwrap_or(mean_load);
                request.accounted_load = request.load.unwrap_or(usual);
                load += request.accounted_load;
            }
            let settings = &self.settings;
            self.fleet.update(at, |server| {
                server.load = load;
                server.is_warming_up = server.is_in_slow_start(settings, now);
                if server.is_warming_up {
                    let span = now
                        .saturating_duration_since(server.slow_start_refilled_at)
                        .as_secs_f64();
                    let guess = rate.max(floor) * server.capacity_ratio(settings, now) * SPARE;
                    let full = server.connections_at_capacity(now, CALM).unwrap_or(0.0);
                    let due = span * within * guess.max(full / cold_for);
                    refill += due * if warm >= 1.0 { GUESSED } else { 1.0 };
                    server.slow_start_ratio = part_of_demand(due / span.max(1e-9));
                    // What the others send is not known: this one keeps to one in a window, or its part.
                    let part = (due / span.max(1e-9)).max(1.0 / window);
                    server.slow_start_tokens =
                        (server.slow_start_tokens + span * part).min((part * window).max(1.0));
                    server.slow_start_refilled_at = now;
                }
                if server
                    .overloaded_at
                    .is_none_or(|at| now.saturating_duration_since(at) > TICK * 2)
                {
                    let calm = server
                        .overloaded_at
                        .is_none_or(|at| now.saturating_duration_since(at) > CALM);
                    server.concurrency_limit += fair * CAP_RISE * if calm { 2.0 } else { 0.5 };
                }
                server.needs_upkeep = false; // and again, if it still has to be
            });
        }
        let most = if refill > 0.0 {
            (refill * window).max(1.0)
        } else {
            0.0
        };
        self.slow_start_budget.refill(refill, most);
        self.check_unreachable_zones(now, actions);
        self.key_redistribution.fade(&self.fleet);
        self.redistribute_keys(now, 0.0, actions);
        self.refresh_slow_start(now);
    }
}
