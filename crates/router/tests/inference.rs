//! Tests of the inference API on loopback: chat, embeddings and rerank requests to fake servers.

mod common;

use std::time::{Duration, Instant};

use common::{
    endpoint_entry, run_test, Behaviour, Client, FakeServer, Observation, TestRouter, CHAT_EVENT,
    DONE_EVENT, FINISH_EVENT,
};
use serde_json::{json, Value};

fn chat_request() -> Value {
    let messages = json!([{"role": "user", "content": "which gasket?"}]);
    json!({"model": "any", "stream": true, "messages": messages})
}

/// Between the arrival and the start of a chat request, at most three slices of the rerank request
/// start, although tens of them are still waiting.
#[test]
fn a_rerank_of_hundreds_of_candidates_does_not_starve_chat() {
    run_test(async {
        let server = FakeServer::start(1, Behaviour::Answer).await;
        server.service_time_per_kib.set(Duration::from_millis(12));
        let router = TestRouter::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        let documents: Vec<String> = (0..400)
            .map(|i| format!("{} {}", (i * 7) % 400, "x".repeat(76)))
            .collect();
        let mut client = Client::connect(router.inference).await;
        let body = json!({"model": "any", "query": "gasket", "documents": documents, "top_n": 5});
        let rerank = tokio::task::spawn_local(async move { client.post("/v1/rerank", body).await });
        server.wait_until(|seen| seen.len() > 4).await;
        for _ in 0..3 {
            let before = server.observations.borrow().len();
            let mut client = Client::connect(router.inference).await;
            let (status, response) = client.post("/v1/chat/completions", chat_request()).await;
            assert_eq!(
                (status, response),
                (
                    200,
                    json!(format!("{CHAT_EVENT}{FINISH_EVENT}{DONE_EVENT}"))
                )
            );
            let seen = server.observations.borrow();
            let started = seen[before..].iter().filter_map(|s| match s {
                Observation::RequestStarted { path, .. } => Some(path.as_str()),
                _ => None,
            });
            let between = started.take_while(|path| *path == "/v1/rerank").count();
            assert!(
                between <= 3,
                "{between} slices of the rerank request started before a chat request"
            );
        }
        assert!(
            !rerank.is_finished(),
            "the rerank request ended before the chat requests were served"
        );
        let (status, response) = rerank.await.unwrap();
        assert_eq!(status, 200);
        let scores: Vec<f64> = response["results"]
            .as_array()
            .unwrap()
            .iter()
            .map(|r| r["relevance_score"].as_f64().unwrap())
            .collect();
        assert_eq!(scores, [399.0, 398.0, 397.0, 396.0, 395.0]);
        let first = response["results"][0]["index"].as_u64().unwrap();
        assert_eq!(
            (first * 7) % 400,
            399,
            "the result does not have the index of the client's document"
        );
        assert!(server.count_started("/v1/rerank") > 20);
        assert_eq!(
            server.max_concurrent_attempts.get(),
            1,
            "a request had more than one attempt in flight"
        );
    });
}

/// The 300 ms are a requirement, so the time is measured. The best of five attempts counts, since a
/// busy machine may delay any one of them.
#[test]
fn cancelling_an_embeddings_batch_releases_its_slot_within_300_ms() {
    run_test(async {
        let server = FakeServer::start(1, Behaviour::Hang).await;
        let router = TestRouter::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        let mut best = Duration::MAX;
        for n in 1..=5 {
            let mut client = Client::connect(router.inference).await;
            let body = json!({"model": "any", "input": ["one", "two"]});
            let pending =
                tokio::task::spawn_local(async move { client.post("/v1/embeddings", body).await });
            server
                .wait_until(|seen| {
                    seen.iter()
                        .filter(|s| matches!(s, Observation::RequestStarted { .. }))
                        .count()
                        == n
                })
                .await;
            let cancelled_at = Instant::now();
            pending.abort();
            server
                .wait_until(|seen| {
                    seen.iter()
                        .filter(|s| matches!(s, Observation::SlotReleased { .. }))
                        .count()
                        == n
                })
                .await;
            best = best.min(cancelled_at.elapsed());
        }
        assert!(best < Duration::from_millis(300), "{best:?}");
        // The released slot serves another request.
        server.behaviour.set(Behaviour::Answer);
        let mut client = Client::connect(router.inference).await;
        let (status, response) = client
            .post(
                "/v1/embeddings",
                json!({"model": "any", "input": ["a", "bcd"]}),
            )
            .await;
        assert_eq!(status, 200);
        assert_eq!(
            response["data"][1],
            json!({"object": "embedding", "index": 1, "embedding": [3]})
        );
    });
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    run_test(async {
        let (a, b) = (
            FakeServer::start(8, Behaviour::Answer).await,
            FakeServer::start(8, Behaviour::Answer).await,
        );
        let router = TestRouter::start(vec![
            endpoint_entry(&a, "mixed", "up"),
            endpoint_entry(&b, "mixed", "up"),
        ])
        .await;
        let send_embeddings = |count: usize| async move {
            for _ in 0..count {
                let mut client = Client::connect(router.inference).await;
                let (status, _) = client
                    .post("/v1/embeddings", json!({"model": "any", "input": "a"}))
                    .await;
                assert_eq!(status, 200);
            }
        };
        send_embeddings(3).await;
        let [draining, active] = if a.count_started("/v1/embeddings") > 0 {
            [&a, &b]
        } else {
            [&b, &a]
        };
        router.discovery.publish(vec![
            endpoint_entry(draining, "mixed", "draining"),
            endpoint_entry(active, "mixed", "up"),
        ]);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let before = [draining, active].map(|server| server.count_started("/v1/embeddings"));
        send_embeddings(12).await;
        assert_eq!(
            [draining, active].map(|server| server.count_started("/v1/embeddings")),
            [before[0], before[1] + 12]
        );
    });
}

#[test]
fn errors_have_the_form_of_the_api() {
    run_test(async {
        let server = FakeServer::start(1, Behaviour::Reject).await;
        let router = TestRouter::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        let mut client = Client::connect(router.inference).await;
        let valid = json!({"model": "any", "input": "a"});
        for (path, body, status, code, param) in [
            (
                "/v1/embeddings",
                json!({"model": "any"}),
                400,
                "invalid_value",
                json!("input"),
            ),
            ("/v1/rerank", json!(3), 400, "invalid_json", Value::Null),
            ("/v1/other", json!({}), 404, "unknown_url", Value::Null),
        ] {
            let (got, response) = client.post(path, body).await;
            assert_eq!(
                (got, &response["error"]["code"], &response["error"]["param"]),
                (status, &json!(code), &param)
            );
            assert!(response["error"]["message"].is_string());
        }
        let (status, response) = client.get("/v1/rerank").await;
        assert_eq!((status, response.starts_with(b"{\"error\"")), (405, true));
        // The endpoint has no capacity: the policy gives up, and the client may retry.
        let (status, response) = client.post("/v1/embeddings", valid.clone()).await;
        assert_eq!(
            (status, &response["error"]["type"]),
            (503, &json!("server_error"))
        );
        // The endpoint does not respond by the deadline.
        let server = FakeServer::start(1, Behaviour::Hang).await;
        let router = TestRouter::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        let mut client = Client::connect(router.inference).await;
        let request = http::Request::post("/v1/embeddings")
            .header("host", "app")
            .header("x-deadline-ms", "120");
        let request = request.body(valid.to_string().into()).unwrap();
        let (status, _, body) = client.send(request).await;
        let response: Value = serde_json::from_slice(&body.unwrap()).unwrap();
        assert_eq!(
            (status, &response["error"]["code"]),
            (504, &json!("deadline_exceeded"))
        );
        let oversized = json!({"model": "any", "input": "x".repeat(17_000_000)});
        let (status, response) = client.post("/v1/embeddings", oversized).await;
        assert_eq!(
            (status, &response["error"]["code"]),
            (413, &json!("invalid_body"))
        );
    });
}
