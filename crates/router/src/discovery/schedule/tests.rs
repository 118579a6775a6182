//! Tests of how often discovery is called.

use std::collections::VecDeque;

use super::*;

/// A simulated service of fixed capacity that behaves as the platform's protocol specifies: calls
/// are queued, fail after 2 s in the queue, and are rejected at once if the queue is full. A failed
/// call costs as much as a served one. Times are in seconds.
struct Service {
    queue: VecDeque<QueuedCall>,
    free_at: f64,
    service_time: f64,
}

struct QueuedCall {
    done_at: f64,
}

/// The end of a call that was queued.
struct CallEnd {
    at: f64,
    is_served: bool,
}

impl Service {
    const QUEUE_LIMIT: usize = 40;
    const QUEUE_TIMEOUT: f64 = 2.0;

    /// Queues a call and returns when and how it ends; `None` if the call is rejected.
    fn call(&mut self, now: f64) -> Option<CallEnd> {
        while self.queue.front().is_some_and(|call| call.done_at <= now) {
            self.queue.pop_front();
        }
        if self.queue.len() >= Self::QUEUE_LIMIT {
            return None;
        }
        self.free_at = self.free_at.max(now) + self.service_time;
        self.queue.push_back(QueuedCall {
            done_at: self.free_at,
        });
        Some(CallEnd {
            at: self.free_at.min(now + Self::QUEUE_TIMEOUT),
            is_served: self.free_at - now <= Self::QUEUE_TIMEOUT,
        })
    }
}

/// A router's next call.
struct PlannedCall {
    at: f64,
    router: usize,
}

/// The result of starting many routers at once.
struct SimultaneousStart {
    calls: usize,
    /// When the last router received its list; `None` if not all received one within the limit.
    completed_at: Option<f64>,
}

/// Simulates routers that start at the same moment and call a service that needs `service_time` for
/// each call. `retry_delay` returns a router's delay after a call that failed or was rejected.
fn start_simultaneously(
    routers: usize,
    service_time: f64,
    mut retry_delay: impl FnMut(usize) -> f64,
) -> SimultaneousStart {
    const TIME_LIMIT: f64 = 120.0;
    const REJECTION_TIME: f64 = 0.002;
    let mut service = Service {
        queue: VecDeque::new(),
        free_at: 0.0,
        service_time,
    };
    let mut planned: Vec<PlannedCall> = (0..routers)
        .map(|router| PlannedCall { at: 0.0, router })
        .collect();
    let mut calls = 0;
    let mut last_served_at = 0.0;
    while let Some(next) =
        (0..planned.len()).min_by(|a, b| planned[*a].at.total_cmp(&planned[*b].at))
    {
        let PlannedCall { at: now, router } = planned.swap_remove(next);
        if now > TIME_LIMIT {
            return SimultaneousStart {
                calls,
                completed_at: None,
            };
        }
        calls += 1;
        let failed_at = match service.call(now) {
            Some(end) if end.is_served => {
                last_served_at = end.at.max(last_served_at);
                continue;
            }
            Some(end) => end.at,
            None => now + REJECTION_TIME,
        };
        let at = failed_at + retry_delay(router);
        planned.push(PlannedCall { at, router });
    }
    SimultaneousStart {
        calls,
        completed_at: Some(last_served_at),
    }
}

/// If routers whose calls are rejected together retried together, the service could serve none of
/// them. A service that needs 3 s for the calls of all routers must serve all of them in time.
#[test]
fn routers_that_start_at_once_all_receive_the_list_within_the_notification_timeout() {
    for routers in [1, 3, 4, 30, 100, 300, 1_024] {
        let schedule = |seed| PollSchedule::new(u32::try_from(routers).ok(), None, seed as u64);
        let mut schedules: Vec<_> = (0..routers).map(schedule).collect();
        let retry_delay = |router: usize| {
            let delay = schedules[router].record_failure(CallError::Rejected);
            delay.as_secs_f64()
        };
        let service_time = (3.0 / routers as f64).min(0.12);
        let SimultaneousStart {
            calls,
            completed_at,
        } = start_simultaneously(routers, service_time, retry_delay);
        assert!(
            completed_at.is_some_and(|at| at < NOTIFICATION_TIMEOUT.as_secs_f64()),
            "{routers} routers: last list received at {completed_at:?} s"
        );
        assert!(calls <= 4 * routers, "{routers} routers: {calls} calls");
    }
    // With a fixed retry delay of 50 ms the service stays overloaded.
    let fixed_delay = start_simultaneously(100, 0.12, |_| 0.05);
    assert_eq!(fixed_delay.completed_at, None);
}

/// Waits must not grow with the number of routers beyond the time after which a router is
/// considered notified of a change: 6 s after a watch stopped responding, or 2 s after its hold.
#[test]
fn an_unresponsive_watch_is_replaced_in_time_for_any_number_of_routers() {
    for routers in [
        None,
        Some(0),
        Some(4),
        Some(300),
        Some(1_024),
        Some(u32::MAX),
    ] {
        let mut schedule = PollSchedule::new(routers, None, 1);
        for _ in 0..100 {
            let hold = schedule.next_hold();
            assert!(
                hold + WATCH_GRACE < NOTIFICATION_TIMEOUT,
                "hold of {hold:?} with {routers:?} routers"
            );
            let delay = schedule.record_failure(CallError::TimedOut);
            assert!(delay < Duration::from_millis(50));
        }
        let longest = (0..100)
            .map(|_| schedule.record_failure(CallError::Rejected))
            .max()
            .unwrap();
        assert!(
            longest <= REJECTED_BACKOFF_MAX,
            "backoff of {longest:?} with {routers:?} routers"
        );
        assert!((0..100)
            .map(|_| schedule.record_failure(CallError::Unreachable))
            .all(|delay| delay <= UNREACHABLE_BACKOFF_MAX));
    }
}

/// A change ends the watches of all routers at once.
#[test]
fn watches_that_start_together_do_not_end_together() {
    let mut holds: Vec<_> = (0..300)
        .map(|seed| PollSchedule::new(Some(300), None, seed).next_hold())
        .collect();
    holds.sort();
    assert!(
        holds[299] - holds[0] > Duration::from_millis(500),
        "holds only from {:?} to {:?}",
        holds[0],
        holds[299]
    );
    let closest = holds
        .windows(30)
        .map(|window| window[29] - window[0])
        .min()
        .unwrap();
    assert!(
        closest > Duration::from_millis(20),
        "30 of 300 watches end within {closest:?}"
    );
}

#[test]
fn holds_are_longer_after_rejections_and_short_again_once_calls_are_served() {
    let mut schedule = PollSchedule::new(Some(300), None, 1);
    let reject = |schedule: &mut PollSchedule| {
        (0..8)
            .map(|_| schedule.record_failure(CallError::Rejected))
            .max()
    };
    assert!(reject(&mut schedule).is_some());
    assert_eq!(schedule.hold, HOLD_MAX);
    for _ in 0..60 {
        schedule.record_success();
    }
    assert!(
        schedule.hold < HOLD_MIN + Duration::from_millis(50),
        "hold of {:?} after 60 served calls",
        schedule.hold
    );
    // Four routers cannot overload the service, so their holds stay short.
    let mut schedule = PollSchedule::new(Some(4), None, 1);
    assert!(reject(&mut schedule).is_some());
    assert_eq!(schedule.hold, HOLD_MIN);
}
