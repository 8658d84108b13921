//! The periods and limits of the SWIM protocol.

use super::datagram::{HEADER_BYTES, MAX_DATAGRAM_BYTES};
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// One member is probed in each period.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// The time after which an unanswered direct probe is followed by indirect probes through other members.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
const INDIRECT_PROBE_COUNT: usize = 3;
/// The time for which an unresponsive member is suspected, and may refute the suspicion, before it is declared down. It
/// grows with the logarithm of the cluster size, since gossip then takes longer.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2500);
/// The time after which a member that was declared down is removed. Until then it is contacted periodically, in case a
/// network partition has ended.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(120);
const DOWN_MEMBER_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
const DOWN_MEMBER_ANNOUNCE_COUNT: usize = 2;
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
const GOSSIP_FANOUT: usize = 3;
/// The number of times that an update is gossiped. It grows with the logarithm of the cluster size up to the maximum.
const BASE_TRANSMISSIONS: f64 = 15.0;
const MAX_TRANSMISSIONS: f64 = 60.0;

/// Returns the configuration for a cluster of about `expected_node_count` nodes.
pub(super) fn for_cluster_size(expected_node_count: usize) -> Config {
    let growth = f64::max(1.0, (expected_node_count.max(1) as f64).log10());
    let transmissions = (BASE_TRANSMISSIONS * growth).min(MAX_TRANSMISSIONS) as u8;
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: non_zero(INDIRECT_PROBE_COUNT),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPICION_TIMEOUT.mul_f64(growth),
        remove_down_after: DOWN_MEMBER_RETENTION,
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES - HEADER_BYTES),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: periodic(
            DOWN_MEMBER_ANNOUNCE_INTERVAL,
            DOWN_MEMBER_ANNOUNCE_COUNT,
        ),
        periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_FANOUT),
    }
}

fn non_zero(value: usize) -> NonZeroUsize {
    NonZeroUsize::new(value).unwrap_or(NonZeroUsize::MIN)
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "the configuration's fields are optional"
)]
fn periodic(frequency: Duration, member_count: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency,
        num_members: non_zero(member_count),
    })
}
