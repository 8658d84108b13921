//! Carries out what membership asks for, and keeps the addresses of the nodes that are alive.

use super::agent::{member_of, ClusterAgent, PeerAddress};
use lupincrank_cluster::membership::{Identity, MembershipOutput};
use lupincrank_cluster::message::Handshake;
use lupincrank_control::member::Member;
use slog::info;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl ClusterAgent {
    /// Carries out all pending outputs of membership.
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
        // The protocol expects that datagrams get lost.
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
        // The same incarnation may be alive as another generation.
        let is_alive = self
            .membership
            .alive()
            .any(|alive| alive.incarnation == identity.incarnation);
        if !is_alive {
            self.addresses.remove(&identity.incarnation);
        }
    }

    /// All other nodes that are alive, by incarnation.
    pub(super) fn alive_members(&self) -> BTreeMap<u64, Member> {
        self.membership
            .alive()
            .map(|identity| (identity.incarnation, member_of(identity)))
            .collect()
    }

    /// Tells connected peers that were replaced so. Guards against a leader that was replaced: it receives no datagrams any
    /// more, so nothing else would tell it, and its connections would keep it in the lead.
    pub(super) fn notify_replaced_peers(&mut self) {
        let membership = &self.membership;
        let is_replaced = |peer: &Handshake| {
            membership.alive().any(|alive| {
                alive.name == peer.name
                    && alive.incarnation != peer.incarnation
                    && (alive.started_at_ms, alive.incarnation)
                        > (peer.started_at_ms, peer.incarnation)
            })
        };
        self.connections.notify_replaced(is_replaced);
    }
}
