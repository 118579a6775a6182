//! How long cancelled requests keep slots at the servers.

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
/// The time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(40);
/// The latest moment at which a request is cancelled (microseconds).
const LATEST_CANCEL_US: u64 = 80_000;
/// A request that still has a slot so long after its cancellation is recorded with that time.
const RELEASE_BOUND: Duration = Duration::from_millis(600);
/// How long the last round needs until all of its figures are recorded.
const LAST_ROUND_SETTLE: Duration = Duration::from_millis(700);

/// How cancellation behaves.
pub(crate) struct Cancellation {
    /// The 99th percentile of the time from a cancellation until no slot is occupied.
    pub(crate) release_p99_ms: f64,
    /// Requests that were cancelled.
    pub(crate) cancelled: f64,
}

/// The slots that requests occupy at the servers, as the servers report them. Its clones share one
/// record.
#[derive(Clone, Default)]
struct SlotRecord {
    /// When a slot of a request was last released, by the id of the client's request.
    released_at: Rc<RefCell<HashMap<String, Instant>>>,
    /// Ids of attempts that occupy a slot.
    occupied: Rc<RefCell<HashMap<String, usize>>>,
}

impl SlotRecord {
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
            let request = request_of(id).to_owned();
            record
                .released_at
                .borrow_mut()
                .insert(request, Instant::now());
            record.occupied.borrow_mut().remove(id);
        }));
    }

    fn occupies_slot(&self, request: &str) -> bool {
        self.occupied
            .borrow()
            .keys()
            .any(|attempt| request_of(attempt) == request)
    }
}

/// The client's request to which the id of an attempt belongs.
fn request_of(attempt: &str) -> &str {
    attempt.split('.').next().unwrap_or(attempt)
}

/// Cancels batches and chats at random moments.
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
    sleep(LAST_ROUND_SETTLE).await;
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

/// Path and body of a request: a chat, a short batch, or twice as often a batch that hangs in its
/// third slice, so that only its cancellation releases the slots.
fn draw_body(index: usize) -> (&'static str, Value) {
    match index % 4 {
        0 => (CHAT_PATH, chat_body()),
        1 => (RERANK_PATH, rerank_body(20)),
        _ => (RERANK_PATH, hanging_rerank_body(400)),
    }
}

/// Sends a request and cancels it at a random moment: while it is sent, while it waits, or after
/// it was served.
fn spawn_cancelled_request(
    environment: &TestEnvironment,
    random: &mut Pcg64,
    round: usize,
    index: usize,
) -> JoinHandle<CancelledRequest> {
    let address = environment.router.inference_address;
    let id = format!("x{round}-{index}");
    let (path, body) = draw_body(index);
    let cancelled_after = Duration::from_micros(random.random_range(0..LATEST_CANCEL_US));
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

/// Records the release time of a cancelled request, once its bound has passed.
async fn record_release(
    record: &SlotRecord,
    latencies: &LatencyHistogram,
    cancelled: CancelledRequest,
) {
    let CancelledRequest { id, cancelled_at } = cancelled;
    // A slot that is still occupied is released after this, or later than the bound.
    sleep(Duration::from_millis(1)).await;
    record
        .released_at
        .borrow_mut()
        .entry(id.clone())
        .or_insert(cancelled_at);
    let record = record.clone();
    let latencies = latencies.clone();
    spawn_local(async move {
        sleep(RELEASE_BOUND).await;
        if record.occupies_slot(&id) {
            let mut released_at = record.released_at.borrow_mut();
            released_at.insert(id.clone(), Instant::now());
        }
        let released_at = record.released_at.borrow().get(&id).copied();
        let released_at = released_at.unwrap_or(cancelled_at);
        latencies.record(released_at.saturating_duration_since(cancelled_at));
    });
}
