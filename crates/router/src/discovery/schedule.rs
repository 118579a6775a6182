//! Decides when a router calls discovery, and how long its watches wait for a change. All routers
//! share one service, so each limits its calls to its share of the service's capacity. No wait
//! exceeds [`NOTIFICATION_TIMEOUT`].

use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;

use super::client::CallError;
use crate::backoff::Backoff;

/// Timeout of a call without a hold. An overloaded service serves or rejects a queued call within
/// 2 s.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How much longer than its hold a watch may take. Routers are considered notified of a change at
/// the latest 2 s after the hold, so an unresponsive watch must be replaced before that.
pub(super) const WATCH_GRACE: Duration = Duration::from_millis(1_800);
/// Timeout for connecting to discovery.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which all routers are considered notified of a change, counted from when discovery
/// has the change and can be reached, whatever failed before. A router's longest possible sequence
/// of waits is shorter.
pub(super) const NOTIFICATION_TIMEOUT: Duration = Duration::from_millis(6_000);

/// Bounds of the backoff when the connection fails or the response is not an endpoint list. They
/// are short because the router may meanwhile be considered notified that an endpoint is draining,
/// and 250 ms later must send nothing to it. Frequent retries do not burden a service that is down.
const UNREACHABLE_BACKOFF_MIN: Duration = Duration::from_millis(50);
const UNREACHABLE_BACKOFF_MAX: Duration = Duration::from_millis(200);
/// Average interval between the retries of all routers together after rejections, unless
/// [`REJECTED_BACKOFF_MAX`] enforces a shorter one. Retries are spaced because a rejected call may
/// cost the service as much as a served one.
const REJECTED_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum backoff after a rejection. Together with a call that times out, and with connecting for
/// that call and for the next one, it is shorter than [`NOTIFICATION_TIMEOUT`].
const REJECTED_BACKOFF_MAX: Duration = Duration::from_millis(2_500);
/// Bounds of the hold of a watch. The hold is short whatever the number of routers, so that a
/// broken connection is detected in time. It is raised above the minimum only after rejections.
const HOLD_MIN: Duration = Duration::from_millis(2_000);
const HOLD_MAX: Duration = Duration::from_millis(3_500);
/// Maximum share of a hold by which it is randomly shortened. A change ends the watches of all
/// routers at once; with equal holds the routers would call at the same moments from then on.
const HOLD_JITTER: f64 = 0.3;
/// Divisor of the hold's excess over [`HOLD_MIN`]. Each served call shortens the hold by the
/// quotient.
const HOLD_DECAY_DIVISOR: u32 = 8;
/// Interval within which the list must be fetched if the settings do not give one.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Number of routers if the settings do not give one.
const DEFAULT_ROUTER_COUNT: u32 = 16;

const _: () = assert!(
    REJECTED_BACKOFF_MAX.as_millis()
        + RESPONSE_TIMEOUT.as_millis()
        + 2 * CONNECT_TIMEOUT.as_millis()
        < NOTIFICATION_TIMEOUT.as_millis()
        && HOLD_MAX.as_millis() + WATCH_GRACE.as_millis() + CONNECT_TIMEOUT.as_millis()
            < NOTIFICATION_TIMEOUT.as_millis(),
    "the longest waits together must be shorter than NOTIFICATION_TIMEOUT"
);

/// Schedule of one router's calls to discovery.
pub struct PollSchedule {
    hold: Duration,
    hold_max: Duration,
    rejected: Backoff,
    unreachable: Backoff,
    rng: Pcg32,
}

impl PollSchedule {
    /// Creates the schedule of one of `router_count` routers, each of which must fetch the list at
    /// least once in `poll_interval`. A default replaces each that is `None`. The routers' seeds
    /// must differ.
    pub fn new(
        router_count: Option<u32>,
        poll_interval: Option<Duration>,
        seed: u64,
    ) -> PollSchedule {
        let router_count = router_count
            .filter(|count| *count > 0)
            .unwrap_or(DEFAULT_ROUTER_COUNT);
        let retry_window = REJECTED_RETRY_INTERVAL.saturating_mul(router_count);
        let backoff_max = poll_interval
            .unwrap_or(DEFAULT_POLL_INTERVAL)
            .min(REJECTED_BACKOFF_MAX);
        PollSchedule {
            hold: HOLD_MIN,
            hold_max: retry_window.clamp(HOLD_MIN, HOLD_MAX),
            // A random delay is half of its bound on average.
            rejected: Backoff::new(
                (2 * retry_window).min(backoff_max),
                (4 * retry_window).min(backoff_max),
                seed,
            ),
            unreachable: Backoff::new(UNREACHABLE_BACKOFF_MIN, UNREACHABLE_BACKOFF_MAX, seed),
            rng: Pcg32::new(seed, 0x51f1_5e0b_9a6c_2d37),
        }
    }

    /// Returns the hold of the next watch, with jitter.
    pub(super) fn next_hold(&mut self) -> Duration {
        let random_fraction = f64::from(self.rng.next_u32()) / 2_f64.powi(32);
        self.hold.mul_f64(1.0 - HOLD_JITTER * random_fraction)
    }

    /// Records that a call was served.
    pub(super) fn record_success(&mut self) {
        self.rejected.record_success();
        self.unreachable.record_success();
        self.hold -= self.hold.saturating_sub(HOLD_MIN) / HOLD_DECAY_DIVISOR;
    }

    /// Records that a call failed and returns the delay before the next one. There is no delay
    /// after a timeout: the router has waited already, and it is considered notified of changes
    /// whether or not a watch is open.
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
