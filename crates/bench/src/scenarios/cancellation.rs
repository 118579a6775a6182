//! Measures how long cancelled requests keep slots at the servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cranetack_testkit::FakeServer;
use rand::Rng;
use rand_pcg::Pcg64;
use serde_json::Value;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::environment::TestEnvironment;
use crate::latency::LatencyHistogram;
use crate::requests::{chat_body, hanging_rerank_body, post, rerank_body, CHAT_PATH, RERANK_PATH};

const ROUNDS: usize = 25;
const REQUESTS_PER_ROUND: usize = 20;
/// Pause after each round.
const ROUND_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum time between the start of a request and its cancellation, in microseconds.
const MAX_CANCEL_DELAY_US: u64 = 80_000;
/// Maximum time to wait for the release of a slot. If a request still has a slot after this time,
/// this time is recorded.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which the releases of the last round have been recorded. It is longer than
/// `RELEASE_TIMEOUT`.
const LAST_ROUND_SETTLE_TIME: Duration = Duration::from_millis(700);

/// The result of this scenario.
pub(crate) struct Cancellation {
    /// 99th percentile of the time from a cancellation until the request has no slot, in
    /// milliseconds.
    pub(crate) release_p99_ms: f64,
    /// Number of requests that were cancelled.
    pub(crate) cancelled: f64,
}

/// Record of the slots that requests occupy at the servers, kept by callbacks of the servers.
/// Clones share the same data.
#[derive(Clone, Default)]
struct SlotRecord {
    /// Instant of the last release of a slot, by the id of the client's request.
    released_at: Rc<RefCell<HashMap<String, Instant>>>,
    /// Number of occupied slots, by the id of the attempt.
    occupied: Rc<RefCell<HashMap<String, usize>>>,
}

impl SlotRecord {
    /// Records the slots of a server from now on.
    fn observe(&self, server: &FakeServer) {
        let record = self.clone();
        *server.on_request_started.borrow_mut() = Some(Box::new(move |id, _| {
            *record
                .occupied
                .borrow_mut()
                .entry(id.to_owned())
                .or_default() += 1;
        }));
        let record = self.clone();
        *server.on_slot_released.borrow_mut() = Some(Box::new(move |id| {
            let request = request_id_of(id).to_owned();
            record
                .released_at
                .borrow_mut()
                .insert(request, Instant::now());
            record.occupied.borrow_mut().remove(id);
        }));
    }

    /// Returns whether an attempt at this request occupies a slot.
    fn occupies_slot(&self, request: &str) -> bool {
        self.occupied
            .borrow()
            .keys()
            .any(|attempt| request_id_of(attempt) == request)
    }
}

/// Returns the id of the client's request to which an attempt belongs.
fn request_id_of(attempt: &str) -> &str {
    attempt.split('.').next().unwrap_or(attempt)
}

/// Cancels batches and chats after random times.
pub(crate) async fn measure(environment: &TestEnvironment, random: &mut Pcg64) -> Cancellation {
    environment.set_service_time(Duration::from_millis(10), Duration::from_millis(1));
    let record = SlotRecord::default();
    for server in &environment.servers {
        record.observe(server);
    }
    let latencies = LatencyHistogram::new();
    for round in 0..ROUNDS {
        let requests: Vec<_> = (0..REQUESTS_PER_ROUND)
            .map(|index| spawn_cancelled_request(environment, random, round, index))
            .collect();
        for request in requests {
            if let Ok(cancelled) = request.await {
                record_release(&record, &latencies, cancelled).await;
            }
        }
        sleep(ROUND_INTERVAL).await;
    }
    sleep(LAST_ROUND_SETTLE_TIME).await;
    for server in &environment.servers {
        *server.on_request_started.borrow_mut() = None;
        *server.on_slot_released.borrow_mut() = None;
    }
    Cancellation {
        release_p99_ms: latencies.quantile_ms(0.99),
        cancelled: latencies.count() as f64,
    }
}

/// A request that was cancelled.
struct CancelledRequest {
    id: String,
    cancelled_at: Instant,
}

/// Returns the path and body of a request. Out of four requests, one is a chat, one is a short
/// batch, and two are batches whose third slice gets no response, so that only the cancellation
/// releases their slots.
fn path_and_body(index: usize) -> (&'static str, Value) {
    match index % 4 {
        0 => (CHAT_PATH, chat_body()),
        1 => (RERANK_PATH, rerank_body(20)),
        _ => (RERANK_PATH, hanging_rerank_body(400)),
    }
}

/// Sends a request and cancels it after a random time: while it is being sent, while it waits, or
/// after it has been served.
fn spawn_cancelled_request(
    environment: &TestEnvironment,
    random: &mut Pcg64,
    round: usize,
    index: usize,
) -> JoinHandle<CancelledRequest> {
    let address = environment.router.inference_address;
    let id = format!("x{round}-{index}");
    let (path, body) = path_and_body(index);
    let cancelled_after = Duration::from_micros(random.random_range(0..MAX_CANCEL_DELAY_US));
    let sent_id = id.clone();
    let response =
        spawn_local(async move { post(address, path, &sent_id, body.to_string()).await });
    spawn_local(async move {
        sleep(cancelled_after).await;
        response.abort();
        CancelledRequest {
            id,
            cancelled_at: Instant::now(),
        }
    })
}

/// Records the time until the release of a cancelled request, after `RELEASE_TIMEOUT`.
async fn record_release(
    record: &SlotRecord,
    latencies: &LatencyHistogram,
    cancelled: CancelledRequest,
) {
    let CancelledRequest { id, cancelled_at } = cancelled;
    // Without a release so far, the request counts as released at its cancellation, unless a later
    // release replaces this instant or the request still has a slot after the timeout.
    sleep(Duration::from_millis(1)).await;
    record
        .released_at
        .borrow_mut()
        .entry(id.clone())
        .or_insert(cancelled_at);
    let record = record.clone();
    let latencies = latencies.clone();
    spawn_local(async move {
        sleep(RELEASE_TIMEOUT).await;
        if record.occupies_slot(&id) {
            let mut released_at = record.released_at.borrow_mut();
            released_at.insert(id.clone(), Instant::now());
        }
        let released_at = record.released_at.borrow().get(&id).copied();
        let released_at = released_at.unwrap_or(cancelled_at);
        latencies.record(released_at.saturating_duration_since(cancelled_at));
    });
}
