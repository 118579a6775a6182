//! Graceful shutdown and gossip between routers.

use crate::policy::*;
use crate::*;

const PEER_LEAVES: u8 = 1; // what a dispatcher tells the others while it leaves ...
const AWAY_FOR: Micros = 5_500_000; // ... from its first word until clients are sent there again (us) ...
const LEAVES_TOLD: u32 = 3; // ... how many others it tells: a fleet's words must not grow with its square ...
const MOVED_AT_ONCE: usize = 4; // streams moved at a look: each is read anew elsewhere

impl Policy {
    /// While the endpoint leaves: tells the others and moves streams, the newest first, unless all that would
    /// tell us are away themselves. At the end all are moved, and what has no answer gets its final one.
    pub(crate) fn on_leaving(&mut self) {
        let Some((from, by, words)) = self.leaving else {
            return;
        };
        let others = self.settings.router_count.unwrap_or(0).saturating_sub(1);
        let (told, me) = (
            others.min(LEAVES_TOLD),
            self.settings.router_index.unwrap_or(0),
        );
        if self.settings.gossip && words > 0 {
            self.leaving = Some((from, by, words - 1));
            let to =
                |i| (u64::from(me) + 1 + u64::from(i * (others / told))) % (u64::from(others) + 1);
            let tell = |i| Action::Gossip {
                to: Some(to(i) as u32),
                payload: vec![PEER_LEAVES],
            };
            self.out.extend((0..told).map(tell));
        }
        let away = self
            .away
            .values()
            .filter(|until| self.now < **until)
            .count();
        let end = self.now >= by;
        let may =
            self.settings.resumable_streams && (end || (self.now >= from && away < told as usize));
        let mut left = if end {
            usize::MAX
        } else {
            MOVED_AT_ONCE * usize::from(may)
        };
        let open = self
            .requests
            .iter()
            .rev()
            .filter(|(_, r)| !r.ended)
            .map(|(id, r)| (*id, r.out));
        for (id, out) in open.collect::<Vec<_>>() {
            if out.is_some_and(|o| o.established) {
                self.out
                    .extend((may && left > 0).then_some(Action::Migrate(id)));
                left = left.saturating_sub(1);
            } else if end {
                let out = out.filter(|_| self.settings.cancellation);
                self.out.extend(out.map(|out| Action::CancelAttempt {
                    id,
                    attempt: out.attempt,
                }));
                self.give_up(id);
            }
        }
    }

    pub(crate) fn on_peer(&mut self, from: u32, bytes: &[u8]) {
        let until = self.away.entry(from).or_insert(self.now);
        if bytes == [PEER_LEAVES] && self.settings.router_index != Some(from) && self.now >= *until
        {
            *until = self.now + AWAY_FOR;
        }
    }
}
