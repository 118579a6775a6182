//! Gossip between routers, by which a router that shuts down notifies others.

use std::collections::BTreeMap;

use crate::actions::Action;
use crate::ids::Micros;
use crate::policy::Policy;

/// The gossip message of a router that is shutting down.
const SHUTTING_DOWN: u8 = 1;
/// The time from the first message of a peer's shutdown until clients are sent to the peer again,
/// in microseconds.
const UNAVAILABLE_FOR: Micros = 5_500_000;
/// The maximum number of peers that are notified of a shutdown. If each router notified all others,
/// the number of messages would grow with the square of the number of routers.
const MAX_PEERS_NOTIFIED: u32 = 3;
/// The number of times that each of these peers is notified, as any message may be lost.
pub(crate) const ANNOUNCEMENT_COUNT: u32 = 2;

/// The peers that are shutting down, each with the time until which it serves no clients.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    unavailable_until: BTreeMap<u32, Micros>,
}

impl PeerTable {
    fn unavailable_count(&self, now: Micros) -> usize {
        self.unavailable_until
            .values()
            .filter(|until| now < **until)
            .count()
    }
}

impl Policy {
    pub(crate) fn on_gossip(&mut self, from: u32, payload: &[u8]) {
        let now = self.now;
        let unavailable_until = self.peers.unavailable_until.entry(from).or_insert(now);
        let is_from_peer = self.parameters.router_index != Some(from);
        if payload == [SHUTTING_DOWN] && is_from_peer && now >= *unavailable_until {
            *unavailable_until = now + UNAVAILABLE_FOR;
        }
    }

    /// The number of peers that this router notifies of its shutdown. Equally many notify this
    /// router of theirs.
    fn notified_peer_count(&self) -> u32 {
        self.parameters.peer_count.min(MAX_PEERS_NOTIFIED)
    }

    /// Whether fewer peers are known to be shutting down than notify this router of their shutdown.
    /// Peers that have sent no gossip count as available, even if gossip is disabled.
    pub(crate) fn has_available_peer(&self) -> bool {
        self.peers.unavailable_count(self.now) < self.notified_peer_count() as usize
    }

    /// Notifies some peers, spread evenly over all of them, that this router is shutting down.
    pub(crate) fn announce_shutdown(&mut self) {
        let notified_count = self.notified_peer_count();
        if notified_count == 0 {
            return;
        }
        let peers = self.parameters.peer_count;
        let own_index = u64::from(self.parameters.router_index.unwrap_or(0));
        let distance = peers / notified_count;
        let router_count = u64::from(peers) + 1;
        for number in 0..notified_count {
            let to = (own_index + 1 + u64::from(number * distance)) % router_count;
            self.actions.push(Action::Gossip {
                to: Some(to as u32),
                payload: vec![SHUTTING_DOWN],
            });
        }
    }
}
