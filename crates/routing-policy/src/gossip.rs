//! Gossip between routers: which of them are shutting down.

use std::collections::BTreeMap;

use crate::actions::Action;
use crate::ids::Micros;
use crate::policy::Policy;

/// The message of a router that shuts down.
const SHUTTING_DOWN: u8 = 1;
/// The span from a router's first message until clients are sent to it again (us).
const UNAVAILABLE_FOR: Micros = 5_500_000;
/// Peers that are notified of a shutdown: the messages of a fleet must not grow with its square.
const MAX_PEERS_NOTIFIED: u32 = 3;
/// How often they are notified, as any message may be lost.
pub(crate) const ANNOUNCEMENTS: u32 = 2;

/// The routers that shut down, and until when they serve no clients.
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

    fn peers_to_notify(&self) -> u32 {
        self.parameters.peer_count.min(MAX_PEERS_NOTIFIED)
    }

    /// Whether one of the routers whose shutdown this one would have been notified of still serves.
    pub(crate) fn some_peer_serves(&self) -> bool {
        self.peers.unavailable_count(self.now) < self.peers_to_notify() as usize
    }

    /// Notifies some of the other routers, spread evenly over all, that this one shuts down.
    pub(crate) fn announce_shutdown(&mut self) {
        let notified = self.peers_to_notify();
        if notified == 0 {
            return;
        }
        let peers = self.parameters.peer_count;
        let own = u64::from(self.parameters.router_index.unwrap_or(0));
        let distance = peers / notified;
        let routers = u64::from(peers) + 1;
        for number in 0..notified {
            let to = (own + 1 + u64::from(number * distance)) % routers;
            self.actions.push(Action::Gossip {
                to: Some(to as u32),
                payload: vec![SHUTTING_DOWN],
            });
        }
    }
}
