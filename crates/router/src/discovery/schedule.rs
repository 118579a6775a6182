//! When discovery is called, and for how long a watch waits. The routers share one service: each
//! takes its part of what the service can bear, and no wait outlasts [`NOTIFIED_AFTER`].

use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;

use super::client::CallError;
use crate::backoff::Backoff;

/// How long a response may take: an overloaded service serves or rejects what is queued within 2 s.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How much longer than its hold a watch may take. A change counts as observed 2 s after the hold
/// at the latest, so the watch must have been opened anew by then.
pub(super) const WATCH_GRACE: Duration = Duration::from_millis(1_800);
/// How long connecting to discovery may take.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// By then a change counts as observed by all routers, from when discovery had it and could be
/// reached, whatever failed before. The worst waits together are shorter.
pub(super) const NOTIFIED_AFTER: Duration = Duration::from_millis(6_000);

/// Bounds of the backoff where there is no connection, or the response is no endpoint list. It is
/// short, as changes count as observed meanwhile: 250 ms later nothing may be sent to an endpoint
/// that drains. A service that is down is not burdened by it.
const UNREACHABLE_BACKOFF_MIN: Duration = Duration::from_millis(50);
const UNREACHABLE_BACKOFF_MAX: Duration = Duration::from_millis(200);
/// The average interval between the retries of all routers after rejections, as far as the bound
/// below allows: a rejected call may cost the service as much as a served one.
const REJECTED_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The longest backoff after a rejection: together with a call that is not answered, and the
/// connections for that call and the next one, it is shorter than [`NOTIFIED_AFTER`].
const REJECTED_BACKOFF_MAX: Duration = Duration::from_millis(2_500);
/// Bounds of the hold of a watch. It is short, whatever the number of routers, so that a connection
/// that delivers nothing more is noticed in time; it is longer only after rejections.
const HOLD_MIN: Duration = Duration::from_millis(2_000);
const HOLD_MAX: Duration = Duration::from_millis(3_500);
/// The share of a hold by which it is randomly shortened. A change ends all watches at once; with
/// equal holds they would be opened together from then on.
const HOLD_JITTER: f64 = 0.3;
/// A served call shortens the hold by this part of its excess over [`HOLD_MIN`].
const HOLD_DECAY_DIVISOR: u32 = 8;
/// The span within which the list must be asked for, where the settings name none.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// The number of routers where the settings name none.
const DEFAULT_ROUTER_COUNT: u32 = 16;

const _: () = assert!(
    REJECTED_BACKOFF_MAX.as_millis()
        + RESPONSE_TIMEOUT.as_millis()
        + 2 * CONNECT_TIMEOUT.as_millis()
        < NOTIFIED_AFTER.as_millis()
        && HOLD_MAX.as_millis() + WATCH_GRACE.as_millis() + CONNECT_TIMEOUT.as_millis()
            < NOTIFIED_AFTER.as_millis(),
    "a wait outlasts the span after which a change counts as observed"
);

/// Decides how often one router calls discovery.
pub struct PollSchedule {
    hold: Duration,
    hold_max: Duration,
    rejected: Backoff,
    unreachable: Backoff,
    rng: Pcg32,
}

impl PollSchedule {
    /// A schedule for one of `router_count` routers, whose list must be asked for once in
    /// `poll_interval`; both may be unknown. The routers' seeds must differ.
    pub fn new(
        router_count: Option<u32>,
        poll_interval: Option<Duration>,
        seed: u64,
    ) -> PollSchedule {
        let router_count = router_count
            .filter(|count| *count > 0)
            .unwrap_or(DEFAULT_ROUTER_COUNT);
        let retry_span = REJECTED_RETRY_INTERVAL.saturating_mul(router_count);
        let backoff_max = poll_interval
            .unwrap_or(DEFAULT_POLL_INTERVAL)
            .min(REJECTED_BACKOFF_MAX);
        PollSchedule {
            hold: HOLD_MIN,
            hold_max: retry_span.clamp(HOLD_MIN, HOLD_MAX),
            // The delays that are drawn are half of their bound on average.
            rejected: Backoff::new(
                (2 * retry_span).min(backoff_max),
                (4 * retry_span).min(backoff_max),
                seed,
            ),
            unreachable: Backoff::new(UNREACHABLE_BACKOFF_MIN, UNREACHABLE_BACKOFF_MAX, seed),
            rng: Pcg32::new(seed, 0x51f1_5e0b_9a6c_2d37),
        }
    }

    /// The hold of the next watch.
    pub(super) fn next_hold(&mut self) -> Duration {
        let drawn = f64::from(self.rng.next_u32()) / 2_f64.powi(32);
        self.hold.mul_f64(1.0 - HOLD_JITTER * drawn)
    }

    /// Notes that a call was served.
    pub(super) fn record_success(&mut self) {
        self.rejected.record_success();
        self.unreachable.record_success();
        self.hold -= self.hold.saturating_sub(HOLD_MIN) / HOLD_DECAY_DIVISOR;
    }

    /// Notes that a call failed: the delay before the next one. There is none after a time-out:
    /// its time has passed already, and changes count as observed whether or not a watch is open.
    pub(super) fn record_failure(&mut self, error: CallError) -> Duration {
        match error {
            CallError::TimedOut => Duration::ZERO,
            CallError::Unreachable => self.unreachable.record_failure(),
            CallError::Rejected => {
                self.hold = (self.hold * 2).min(self.hold_max);
                self.rejected.record_failure()
            }
        }
    }
}

#[cfg(test)]
mod tests;
