//! Executes the outputs of membership, and maintains the addresses of live nodes.

use super::agent::{control_member, ClusterAgent, PeerAddress};
use lupincrank_cluster::membership::{Identity, MembershipOutput};
use lupincrank_cluster::message::Handshake;
use lupincrank_control::member::Member;
use slog::info;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl ClusterAgent {
    /// Executes all pending outputs of membership.
    pub(super) fn process_membership_outputs(&mut self) {
        while let Some(output) = self.membership.next_output() {
            match output {
                MembershipOutput::Datagram { to, bytes } => self.send_datagram(to, &bytes),
                MembershipOutput::MemberUp(identity) => self.on_member_up(&identity),
                MembershipOutput::MemberDown(identity) => self.on_member_down(&identity),
                MembershipOutput::Rejoined { generation } => {
                    info!(self.log, "rejoined after being declared dead"; "generation" => generation);
                }
                MembershipOutput::Replaced => self.on_replaced(),
            }
        }
    }

    fn send_datagram(&mut self, advertised: SocketAddr, bytes: &[u8]) {
        let Some(sockets) = &self.sockets else {
            return;
        };
        let address = self.config.reachable_address(advertised);
        self.sent.record(bytes.len());
        // The protocol tolerates lost datagrams.
        let _ = sockets.datagrams.send_to(bytes, address);
    }

    fn on_member_up(&mut self, identity: &Identity) {
        self.connections.reset_backoff(identity.incarnation);
        let peer_address = PeerAddress {
            name: identity.name.clone(),
            address: identity.address,
        };
        let previous = self.addresses.insert(identity.incarnation, peer_address);
        if previous.is_none() {
            info!(self.log, "member up"; "member" => &identity.name,
                "incarnation" => format!("{:016x}", identity.incarnation), "zone" => &identity.zone,
                "build" => &identity.build, "generation" => identity.generation);
        }
    }

    fn on_member_down(&mut self, identity: &Identity) {
        info!(self.log, "member down"; "member" => &identity.name,
            "incarnation" => format!("{:016x}", identity.incarnation),
            "generation" => identity.generation);
        // The same incarnation may be live with another generation.
        let is_live = self
            .membership
            .live_members()
            .any(|member| member.incarnation == identity.incarnation);
        if !is_live {
            self.addresses.remove(&identity.incarnation);
        }
    }

    /// All other live nodes, by incarnation.
    pub(super) fn live_members(&self) -> BTreeMap<u64, Member> {
        self.membership
            .live_members()
            .map(|identity| (identity.incarnation, control_member(identity)))
            .collect()
    }

    /// Sends `Replaced` to connected peers that were replaced. A replaced leader receives no datagrams, so without the
    /// notice it would stay the leader through its connections.
    pub(super) fn notify_replaced_peers(&mut self) {
        let membership = &self.membership;
        let is_replaced = |peer: &Handshake| {
            membership.live_members().any(|member| {
                member.name == peer.name
                    && member.incarnation != peer.incarnation
                    && (member.started_at_ms, member.incarnation)
                        > (peer.started_at_ms, peer.incarnation)
            })
        };
        self.connections.notify_replaced(is_replaced);
    }
}
