//! Gossip between routers: which of them are shutting down.

use std::collections::BTreeMap;

use crate::actions::Action;
use crate::ids::Micros;
use crate::policy::Policy;

/// The message of a router that shuts down.
const SHUTTING_DOWN: u8 = 1;
/// The span from a router's first message until clients are sent to it again (us).
const AWAY_FOR: Micros = 5_500_000;
/// Peers that are told of a shutdown: the messages of a fleet must not grow with its square.
const MAX_PEERS_TOLD: u32 = 3;
/// How often they are told, as any message may be lost.
pub(crate) const ANNOUNCEMENTS: u32 = 2;

/// The routers that shut down, and until when they are away.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    away_until: BTreeMap<u32, Micros>,
}

impl PeerTable {
    fn away(&self, now: Micros) -> usize {
        self.away_until
            .values()
            .filter(|until| now < **until)
            .count()
    }
}

impl Policy {
    pub(crate) fn on_gossip(&mut self, from: u32, payload: &[u8]) {
        let now = self.now;
        let away_until = self.peers.away_until.entry(from).or_insert(now);
        let is_from_peer = self.parameters.router_index != Some(from);
        if payload == [SHUTTING_DOWN] && is_from_peer && now >= *away_until {
            *away_until = now + AWAY_FOR;
        }
    }

    fn peers_told(&self) -> u32 {
        self.parameters.peer_count.min(MAX_PEERS_TOLD)
    }

    /// Whether one of the routers whose shutdown this one would have been told of still serves.
    pub(crate) fn some_peer_serves(&self) -> bool {
        self.peers.away(self.now) < self.peers_told() as usize
    }

    /// Tells some of the other routers, spread evenly over all, that this one shuts down.
    pub(crate) fn announce_shutdown(&mut self) {
        let told = self.peers_told();
        if told == 0 {
            return;
        }
        let peers = self.parameters.peer_count;
        let own = u64::from(self.parameters.router_index.unwrap_or(0));
        let distance = peers / told;
        let routers = u64::from(peers) + 1;
        for number in 0..told {
            let to = (own + 1 + u64::from(number * distance)) % routers;
            self.actions.push(Action::Gossip {
                to: Some(to as u32),
                payload: vec![SHUTTING_DOWN],
            });
        }
    }
}
