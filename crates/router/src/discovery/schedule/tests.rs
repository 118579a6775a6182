//! How often discovery is called.

use std::collections::VecDeque;

use super::*;

/// A service of fixed capacity, as the platform's protocol has it: calls are queued, fail after 2 s
/// in the queue, and are rejected at once if the queue is full. A failed call costs as much as a
/// served one. Times are in seconds.
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

    /// The end of a call that is made now, unless it is rejected.
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

/// A call that a router will make.
struct PlannedCall {
    at: f64,
    router: usize,
}

/// What became of routers that all started at once.
struct SimultaneousStart {
    calls: usize,
    /// When the last router had its list, if all had theirs within the time limit.
    completed_at: Option<f64>,
}

/// Starts routers at the same moment, against a service that needs `service_time` for each call;
/// `retry_delay` is asked after each call that failed or was rejected.
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
    let mut last = 0.0;
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
                last = end.at.max(last);
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
        completed_at: Some(last),
    }
}

/// Routers that are rejected together must not retry together, or the service serves none of them.
/// One that needs 3 s for all of them serves all in time.
#[test]
fn routers_that_start_at_once_all_get_the_list_before_they_count_as_notified() {
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
            completed_at.is_some_and(|at| at < NOTIFIED_AFTER.as_secs_f64()),
            "{routers}: {completed_at:?}"
        );
        assert!(calls <= 4 * routers, "{routers}: {calls} calls");
    }
    // The service does not recover from retries that are 50 ms apart.
    let fixed_delay = start_simultaneously(100, 0.12, |_| 0.05);
    assert_eq!(fixed_delay.completed_at, None);
}

/// Waits must not grow with the number of routers until they outlast the span after which a change
/// counts as observed: 6 s after a watch stopped responding, or 2 s after its hold.
#[test]
fn an_unresponsive_watch_is_opened_anew_in_time_however_many_routers_there_are() {
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
                hold + WATCH_GRACE < NOTIFIED_AFTER,
                "{hold:?} with {routers:?}"
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
            "{longest:?} with {routers:?}"
        );
        assert!((0..100)
            .map(|_| schedule.record_failure(CallError::Unreachable))
            .all(|delay| delay <= UNREACHABLE_BACKOFF_MAX));
    }
}

/// A change ends all watches at once.
#[test]
fn watches_that_ended_together_do_not_end_together_again() {
    let mut holds: Vec<_> = (0..300)
        .map(|seed| PollSchedule::new(Some(300), None, seed).next_hold())
        .collect();
    holds.sort();
    assert!(
        holds[299] - holds[0] > Duration::from_millis(500),
        "{:?} to {:?}",
        holds[0],
        holds[299]
    );
    let closest = holds
        .windows(30)
        .map(|window| window[29] - window[0])
        .min()
        .unwrap();
    assert!(closest > Duration::from_millis(20), "{closest:?}");
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
        "{:?}",
        schedule.hold
    );
    // Four routers are too few to overload a service: their holds stay short.
    let mut schedule = PollSchedule::new(Some(4), None, 1);
    assert!(reject(&mut schedule).is_some());
    assert_eq!(schedule.hold, HOLD_MIN);
}
