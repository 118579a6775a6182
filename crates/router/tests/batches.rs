//! Tests of faults in batches of the inference API, on loopback. Whatever fails, the client gets
//! one final response in the form of the API, and at most one attempt is in flight. A slice that
//! may have been executed is not sent again if its class is non-idempotent. Slots are released at
//! once.

mod common;
mod inference_support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{endpoint_entry, run_test, Behaviour, Client, FakeServer, Observation};
use http::Request;
use inference_support::{
    count_results, nine_slice_rerank, post, start_router, started_ids, CHAT, EMBEDDINGS,
    FIXED_SLICE_SIZE, NON_IDEMPOTENT_RERANK, RERANK,
};
use serde_json::{json, Value};
use tokio::task::{spawn_local, JoinHandle};

#[test]
fn a_failure_in_slice_7_of_9_retries_only_that_slice() {
    run_test(async {
        let servers = [
            FakeServer::start(4, Behaviour::Answer).await,
            FakeServer::start(4, Behaviour::Answer).await,
        ];
        let router = start_router(&[&servers[0], &servers[1]], &FIXED_SLICE_SIZE).await;
        // If the connection is closed before the response, the policy retries the slice; if the
        // response is invalid, the batch scheduler does.
        for fault in [
            json!({"does": "break", "on": 6, "times": 1}),
            json!({"spoils": "missing", "on": 6}),
        ] {
            servers
                .iter()
                .for_each(|server| server.observations.borrow_mut().clear());
            let (status, _, response) = post(
                &router,
                RERANK,
                &[("x-request-id", "d7")],
                &nine_slice_rerank(fault),
            )
            .await;
            assert_eq!((status, count_results(&response)), (200, 18));
            let mut ids: Vec<String> = servers
                .iter()
                .flat_map(|server| started_ids(server))
                .collect();
            let sent = ids.len();
            ids.sort();
            ids.dedup();
            assert!(
                ids.len() >= 9 && sent <= 11,
                "{sent} slices were sent, with the distinct ids {ids:?}"
            );
            assert!(servers
                .iter()
                .all(|server| server.max_concurrent_attempts.get() <= 1));
        }
    });
}

#[test]
fn invalid_responses_are_never_forwarded_and_retried_only_if_idempotent() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let idempotent = start_router(&[&server], &[]).await;
        let non_idempotent = start_router(&[&server], &NON_IDEMPOTENT_RERANK).await;
        let body = |fault: Value| {
            let documents = json!(["1 a", "2 b"]);
            json!({"model": "m", "query": "q", "documents": documents, "toy": fault})
        };
        for fault_name in ["missing", "doubled", "out_of_range", "nan", "not_json"] {
            // Only the response to the first attempt is invalid: a retry completes the batch.
            let (status, _, response) = post(
                &idempotent,
                RERANK,
                &[],
                &body(json!({"spoils": fault_name, "on": 0})),
            )
            .await;
            assert_eq!((status, count_results(&response)), (200, 2), "{fault_name}");
            // The response to every attempt is invalid: a non-idempotent batch fails after one
            // attempt.
            server.observations.borrow_mut().clear();
            let (status, _, response) = post(
                &non_idempotent,
                RERANK,
                &[],
                &body(json!({"spoils": fault_name})),
            )
            .await;
            assert_eq!(
                (status, &response["error"]["code"]),
                (502, &json!("upstream_failed")),
                "{fault_name}"
            );
            assert_eq!(started_ids(&server).len(), 1);
        }
        let (status, _, response) =
            post(&idempotent, RERANK, &[], &body(json!({"spoils": "nan"}))).await;
        assert_eq!(
            (status, &response["error"]["type"]),
            (502, &json!("server_error"))
        );
    });
}

/// If a slice is rejected after others were executed, the batch fails instead of being rejected: a
/// rejection would tell the client that a retry is harmless.
#[test]
fn a_slice_rejected_after_executed_ones_fails_a_non_idempotent_batch() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let mut edits = NON_IDEMPOTENT_RERANK.to_vec();
        edits.extend(FIXED_SLICE_SIZE);
        let router = start_router(&[&server], &edits).await;
        let rejected = nine_slice_rerank(json!({"does": "full", "on": 3}));
        let (status, _, response) =
            post(&router, RERANK, &[("x-deadline-ms", "3000")], &rejected).await;
        assert_eq!(
            (status, &response["error"]["type"]),
            (502, &json!("server_error"))
        );
    });
}

#[test]
fn lost_connections_and_errors_are_final_if_not_idempotent() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let non_idempotent = start_router(&[&server], &NON_IDEMPOTENT_RERANK).await;
        let body = |fault: Value| {
            let documents = json!(["1 a", "2 b"]);
            json!({"model": "m", "query": "q", "documents": documents, "toy": fault})
        };
        for behaviour in ["break", "error"] {
            server.observations.borrow_mut().clear();
            let (status, ..) = post(
                &non_idempotent,
                RERANK,
                &[],
                &body(json!({"does": behaviour})),
            )
            .await;
            assert_eq!(
                (status, started_ids(&server).len()),
                (502, 1),
                "{behaviour}"
            );
        }
    });
}

#[test]
fn an_endpoint_that_drains_between_two_slices_gets_no_further_slices() {
    run_test(async {
        let (a, b) = (
            FakeServer::start(4, Behaviour::Answer).await,
            FakeServer::start(4, Behaviour::Answer).await,
        );
        [&a, &b]
            .iter()
            .for_each(|server| server.service_time.set(Duration::from_millis(60)));
        let router = start_router(&[&a, &b], &FIXED_SLICE_SIZE).await;
        let pending = {
            let address = router.inference;
            spawn_local(async move {
                Client::connect(address)
                    .await
                    .post(RERANK, nine_slice_rerank(json!({})))
                    .await
            })
        };
        // The endpoint that was used first will drain; the other one stays up.
        let servers = tokio::select! {
            () = a.wait_until(|seen| seen.len() > 1) => [&a, &b],
            () = b.wait_until(|seen| seen.len() > 1) => [&b, &a],
        };
        router.discovery.publish(vec![
            endpoint_entry(servers[0], "mixed", "draining"),
            endpoint_entry(servers[1], "mixed", "up"),
        ]);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let before = started_ids(servers[0]).len();
        let (status, response) = pending.await.unwrap();
        assert_eq!((status, count_results(&response)), (200, 18));
        assert_eq!(started_ids(servers[0]).len(), before);
        assert!(started_ids(servers[1]).len() > 1);
    });
}

/// The router rejects the batch long before its deadline, with a `Retry-After` header.
#[test]
fn a_batch_that_every_endpoint_rejects_is_rejected_with_a_retry_delay() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Reject).await;
        let router = start_router(
            &[&server],
            &[("deadline_ms = 10000", "deadline_ms = 60000")],
        )
        .await;
        let began = Instant::now();
        let (status, headers, response) =
            post(&router, RERANK, &[], &nine_slice_rerank(json!({}))).await;
        assert_eq!(
            (status, &response["error"]["code"]),
            (503, &json!("overloaded"))
        );
        let retry_after: f64 = headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry_after > 0.0 && retry_after <= 1.0, "{retry_after}");
        assert!(
            began.elapsed() < Duration::from_secs(15),
            "the batch was not rejected within 15 s, long before its deadline"
        );
    });
}

/// Counts the slices of a batch that got a slot.
fn count_slices(seen: &[Observation], batch_id: &str) -> usize {
    let is_of_batch = |s: &&Observation| {
        matches!(s, Observation::RequestStarted { id, .. }
            if id.split('.').next() == Some(batch_id))
    };
    seen.iter().filter(is_of_batch).count()
}

fn count_started(seen: &[Observation]) -> usize {
    let is_start = |s: &&Observation| matches!(s, Observation::RequestStarted { .. });
    seen.iter().filter(is_start).count()
}

fn count_released(seen: &[Observation]) -> usize {
    let is_release = |s: &&Observation| matches!(s, Observation::SlotReleased { .. });
    seen.iter().filter(is_release).count()
}

/// Posts a batch of nine slices with this request id, in a separate task.
fn post_batch(address: SocketAddr, id: &'static str, fault: Value) -> JoinHandle<u16> {
    let request = Request::post(RERANK)
        .header("host", "app")
        .header("x-request-id", id);
    let request = request
        .body(nine_slice_rerank(fault).to_string().into())
        .unwrap();
    spawn_local(async move { Client::connect(address).await.send(request).await.0 })
}

/// Cancels a batch in the given stage, and returns the time until another batch gets its turn or
/// slot.
async fn cancel_batch(server: &FakeServer, address: SocketAddr, stage: &str) -> Duration {
    server.observations.borrow_mut().clear();
    // Between slices: the first slice is served, and the next one waits while a slice of another
    // batch is in flight.
    let first = if stage == "between slices" {
        json!({"does": "answer", "on": 0})
    } else {
        json!({})
    };
    let cancelled = if stage == "queued" {
        None
    } else {
        Some(post_batch(address, "gone", first))
    };
    if cancelled.is_some() {
        server
            .wait_until(|seen| count_slices(seen, "gone") == 1)
            .await;
    }
    let holder = post_batch(address, "holds", json!({}));
    if stage != "in a slice" {
        server
            .wait_until(|seen| count_slices(seen, "holds") == 1)
            .await;
    }
    let cancelled = cancelled.unwrap_or_else(|| post_batch(address, "gone", json!({})));
    tokio::time::sleep(Duration::from_millis(20)).await;
    let sent = count_slices(&server.observations.borrow(), "gone");
    assert_eq!(sent, usize::from(stage != "queued"), "{stage}");
    let mut cancelled_at = Instant::now();
    cancelled.abort();
    if stage != "in a slice" {
        // The cancelled batch would have its turn when the slice in flight is cancelled. The next
        // batch must get that turn.
        let next = post_batch(address, "next", json!({}));
        tokio::time::sleep(Duration::from_millis(20)).await;
        cancelled_at = Instant::now();
        holder.abort();
        server
            .wait_until(|seen| count_slices(seen, "next") == 1)
            .await;
        next.abort();
    } else {
        server
            .wait_until(|seen| count_slices(seen, "holds") == 1)
            .await;
        holder.abort();
    }
    let elapsed = cancelled_at.elapsed();
    assert_eq!(
        count_slices(&server.observations.borrow(), "gone"),
        sent,
        "a slice was sent after its batch was cancelled: {stage}"
    );
    let started = count_started(&server.observations.borrow());
    server
        .wait_until(|seen| count_released(seen) >= started)
        .await;
    elapsed
}

/// A cancelled batch occupies neither a turn nor a slot, whichever stage it is in. At most one
/// slice is in flight at a time. The 300 ms are a requirement; the best of four attempts counts,
/// since a busy machine may delay any one of them.
#[test]
fn cancelling_a_batch_releases_its_slot_within_300_ms_in_every_stage() {
    run_test(async {
        let server = FakeServer::start(1, Behaviour::Hang).await;
        server.service_time.set(Duration::from_millis(30));
        let router = start_router(&[&server], &[("at_once = 8", "at_once = 1")]).await;
        for stage in ["in a slice", "queued", "between slices"] {
            let mut best = Duration::MAX;
            for _ in 0..4 {
                best = best.min(cancel_batch(&server, router.inference, stage).await);
            }
            assert!(best < Duration::from_millis(300), "{stage}: {best:?}");
        }
    });
}

#[test]
fn the_id_of_an_open_batch_cannot_be_reused() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        server.service_time.set(Duration::from_millis(30));
        let router = start_router(&[&server], &FIXED_SLICE_SIZE).await;
        let id = [("x-request-id", "same")];
        let address = router.inference;
        let first = spawn_local(async move {
            let request = Request::post(RERANK)
                .header("host", "app")
                .header("x-request-id", "same");
            let request = request
                .body(nine_slice_rerank(json!({})).to_string().into())
                .unwrap();
            Client::connect(address).await.send(request).await.0
        });
        server.wait_until(|seen| seen.len() > 6).await;
        for path in [RERANK, CHAT] {
            let (status, headers, response) =
                post(&router, path, &id, &nine_slice_rerank(json!({}))).await;
            assert_eq!(
                (status, &response["error"]["code"]),
                (409, &json!("id_in_use"))
            );
            assert_eq!(headers["x-request-id"], "same");
        }
        assert_eq!(first.await.unwrap(), 200);
        let (status, headers, _) = post(&router, RERANK, &id, &nine_slice_rerank(json!({}))).await;
        assert_eq!(
            (status, &headers["x-request-id"]),
            (200, &"same".parse().unwrap())
        );
    });
}

#[test]
fn every_response_carries_a_request_id() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let router = start_router(&[&server], &FIXED_SLICE_SIZE).await;
        let (status, headers, _) = post(&router, "/nowhere", &[], &json!({})).await;
        assert!(status == 404 && !headers["x-request-id"].is_empty());
        // Requests with a deadline of 1 ms exceed it.
        server.service_time.set(Duration::from_millis(100));
        for (path, body) in [
            (EMBEDDINGS, json!({"model": "m", "input": "x"})),
            (
                CHAT,
                json!({"model": "m", "messages": [{"role": "user", "content": "x"}]}),
            ),
        ] {
            let (status, headers, response) = post(
                &router,
                path,
                &[("x-deadline-ms", "1"), ("x-request-id", "late")],
                &body,
            )
            .await;
            assert_eq!(
                (status, &response["error"]["code"]),
                (504, &json!("deadline_exceeded")),
                "{path}"
            );
            assert_eq!(headers["x-request-id"], "late");
        }
        let (status, _, response) = post(
            &router,
            RERANK,
            &[("x-request-id", "a/b")],
            &nine_slice_rerank(json!({})),
        )
        .await;
        assert_eq!(
            (status, &response["error"]["param"]),
            (400, &json!("X-Request-Id"))
        );
    });
}

#[test]
fn a_graceful_shutdown_finishes_open_batches() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        server.service_time.set(Duration::from_millis(40));
        let mut router = start_router(&[&server], &FIXED_SLICE_SIZE).await;
        let address = router.inference;
        let pending = spawn_local(async move {
            Client::connect(address)
                .await
                .post(RERANK, nine_slice_rerank(json!({})))
                .await
        });
        server.wait_until(|seen| seen.len() > 4).await;
        router.shutdown_sender.take().unwrap().send(()).unwrap();
        let (status, response) = pending.await.unwrap();
        assert_eq!((status, count_results(&response)), (200, 18));
        assert_eq!(started_ids(&server).len(), 9);
        router.stopped.await.unwrap();
    });
}

/// Many long batches do not take all turns: a short batch completes while they run.
#[test]
fn a_short_batch_is_served_while_long_ones_run() {
    run_test(async {
        let server = FakeServer::start(1, Behaviour::Answer).await;
        server.service_time.set(Duration::from_millis(3));
        // The deadline is long, because a busy machine may be so slow that the router would reject
        // the long batches.
        let edits = [
            FIXED_SLICE_SIZE[0],
            ("deadline_ms = 10000", "deadline_ms = 600000"),
        ];
        let router = start_router(&[&server], &edits).await;
        let address = router.inference;
        let long_batches: Vec<_> = (0..6)
            .map(|_| {
                spawn_local(async move {
                    let documents: Vec<String> = (0..400)
                        .map(|n| format!("{n} {}", "x".repeat(500)))
                        .collect();
                    let body = json!({"model": "m", "query": "q", "documents": documents});
                    Client::connect(address).await.post(RERANK, body).await
                })
            })
            .collect();
        server.wait_until(|seen| seen.len() > 40).await;
        let (status, ..) = post(
            &router,
            RERANK,
            &[],
            &json!({"model": "m", "query": "q", "documents": ["1 a"]}),
        )
        .await;
        assert_eq!(status, 200);
        assert!(long_batches.iter().all(|batch| !batch.is_finished()));
        long_batches.iter().for_each(|batch| batch.abort());
        let _: Rc<FakeServer> = server;
    });
}
