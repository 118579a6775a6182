//! The second front on loopback, with mixed traffic against stand-in workers.

mod common;

use std::time::{Duration, Instant};

use common::{
    endpoint_entry, run, Bed, Behaviour, Client, FakeServer, Observation, DONE, EVENT, FINISH,
};
use serde_json::{json, Value};

fn chat() -> Value {
    json!({"model": "any", "stream": true, "messages": [{"role": "user", "content": "which gasket?"}]})
}

/// Guards against a rerank of hundreds of candidates that starves short chat: between a chat's arrival and its
/// start no more than a few slices of the rerank begin, though tens of them are still to come.
#[test]
fn a_rerank_of_hundreds_of_candidates_does_not_starve_chat() {
    run(async {
        let worker = FakeServer::start(1, Behaviour::Answer).await;
        worker.service_time_per_kib.set(Duration::from_millis(12));
        let bed = Bed::start(vec![endpoint_entry(&worker, "mixed", "up")]).await;
        let documents: Vec<String> = (0..400)
            .map(|i| format!("{} {}", (i * 7) % 400, "x".repeat(76)))
            .collect();
        let mut client = Client::connect(bed.inference).await;
        let body = json!({"model": "any", "query": "gasket", "documents": documents, "top_n": 5});
        let rerank = tokio::task::spawn_local(async move { client.post("/v1/rerank", body).await });
        worker.wait_until(|seen| seen.len() > 4).await;
        for _ in 0..3 {
            let before = worker.observations.borrow().len();
            let mut client = Client::connect(bed.inference).await;
            let (status, answer) = client.post("/v1/chat/completions", chat()).await;
            assert_eq!(
                (status, answer),
                (200, json!(format!("{EVENT}{FINISH}{DONE}")))
            );
            let seen = worker.observations.borrow();
            let began = seen[before..].iter().filter_map(|s| match s {
                Observation::RequestStarted { path, .. } => Some(path.as_str()),
                _ => None,
            });
            let between = began.take_while(|path| *path == "/v1/rerank").count();
            assert!(between <= 3, "{between} slices went before a chat");
        }
        assert!(
            !rerank.is_finished(),
            "the chats were answered while the rerank went on"
        );
        let (status, answer) = rerank.await.unwrap();
        assert_eq!(status, 200);
        let scores: Vec<f64> = answer["results"]
            .as_array()
            .unwrap()
            .iter()
            .map(|r| r["relevance_score"].as_f64().unwrap())
            .collect();
        assert_eq!(scores, [399.0, 398.0, 397.0, 396.0, 395.0]);
        let first = answer["results"][0]["index"].as_u64().unwrap();
        assert_eq!(
            (first * 7) % 400,
            399,
            "results are numbered as the client's documents"
        );
        assert!(worker.count_started("/v1/rerank") > 20);
        assert_eq!(
            worker.max_concurrent_attempts.get(),
            1,
            "one attempt out for each request"
        );
    });
}

/// Guards against a place that stays taken for a client that has gone. The time is a requirement, so it is
/// measured; the best of some tries counts, since a busy machine may stop any one of them.
#[test]
fn an_embeddings_batch_cut_off_by_a_cancel_frees_its_place_within_300_ms() {
    run(async {
        let worker = FakeServer::start(1, Behaviour::Hang).await;
        let bed = Bed::start(vec![endpoint_entry(&worker, "mixed", "up")]).await;
        let mut best = Duration::MAX;
        for n in 1..=5 {
            let mut client = Client::connect(bed.inference).await;
            let body = json!({"model": "any", "input": ["one", "two"]});
            let asked =
                tokio::task::spawn_local(async move { client.post("/v1/embeddings", body).await });
            worker
                .wait_until(|seen| {
                    seen.iter()
                        .filter(|s| matches!(s, Observation::RequestStarted { .. }))
                        .count()
                        == n
                })
                .await;
            let cut = Instant::now();
            asked.abort();
            worker
                .wait_until(|seen| {
                    seen.iter()
                        .filter(|s| matches!(s, Observation::SlotReleased { .. }))
                        .count()
                        == n
                })
                .await;
            best = best.min(cut.elapsed());
        }
        assert!(best < Duration::from_millis(300), "{best:?}");
        // And the place serves others.
        worker.behaviour.set(Behaviour::Answer);
        let mut client = Client::connect(bed.inference).await;
        let (status, answer) = client
            .post(
                "/v1/embeddings",
                json!({"model": "any", "input": ["a", "bcd"]}),
            )
            .await;
        assert_eq!(status, 200);
        assert_eq!(
            answer["data"][1],
            json!({"object": "embedding", "index": 1, "embedding": [3]})
        );
    });
}

#[test]
fn a_draining_worker_is_sent_nothing_new() {
    run(async {
        let (a, b) = (
            FakeServer::start(8, Behaviour::Answer).await,
            FakeServer::start(8, Behaviour::Answer).await,
        );
        let bed = Bed::start(vec![
            endpoint_entry(&a, "mixed", "up"),
            endpoint_entry(&b, "mixed", "up"),
        ])
        .await;
        let ask = |count: usize| async move {
            for _ in 0..count {
                let mut client = Client::connect(bed.inference).await;
                let (status, _) = client
                    .post("/v1/embeddings", json!({"model": "any", "input": "a"}))
                    .await;
                assert_eq!(status, 200);
            }
        };
        ask(3).await;
        let [leaves, stays] = if a.count_started("/v1/embeddings") > 0 {
            [&a, &b]
        } else {
            [&b, &a]
        };
        bed.discovery.publish(vec![
            endpoint_entry(leaves, "mixed", "draining"),
            endpoint_entry(stays, "mixed", "up"),
        ]);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let before = [leaves, stays].map(|w| w.count_started("/v1/embeddings"));
        ask(12).await;
        assert_eq!(
            [leaves, stays].map(|w| w.count_started("/v1/embeddings")),
            [before[0], before[1] + 12]
        );
    });
}

#[test]
fn errors_have_the_interfaces_form() {
    run(async {
        let worker = FakeServer::start(1, Behaviour::Reject).await;
        let bed = Bed::start(vec![endpoint_entry(&worker, "mixed", "up")]).await;
        let mut client = Client::connect(bed.inference).await;
        let good = json!({"model": "any", "input": "a"});
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
            let (got, answer) = client.post(path, body).await;
            assert_eq!(
                (got, &answer["error"]["code"], &answer["error"]["param"]),
                (status, &json!(code), &param)
            );
            assert!(answer["error"]["message"].is_string());
        }
        let (status, answer) = client.get("/v1/rerank").await;
        assert_eq!((status, answer.starts_with(b"{\"error\"")), (405, true));
        // A worker that is full for good: the module gives up, and the client may come again.
        let (status, answer) = client.post("/v1/embeddings", good.clone()).await;
        assert_eq!(
            (status, &answer["error"]["type"]),
            (503, &json!("server_error"))
        );
        // One that is silent until the deadline.
        let worker = FakeServer::start(1, Behaviour::Hang).await;
        let bed = Bed::start(vec![endpoint_entry(&worker, "mixed", "up")]).await;
        let mut client = Client::connect(bed.inference).await;
        let request = http::Request::post("/v1/embeddings")
            .header("host", "app")
            .header("x-deadline-ms", "120");
        let request = request.body(good.to_string().into()).unwrap();
        let (status, _, body) = client.send(request).await;
        let answer: Value = serde_json::from_slice(&body.unwrap()).unwrap();
        assert_eq!(
            (status, &answer["error"]["code"]),
            (504, &json!("deadline_exceeded"))
        );
        let long = json!({"model": "any", "input": "x".repeat(17_000_000)});
        let (status, answer) = client.post("/v1/embeddings", long).await;
        assert_eq!(
            (status, &answer["error"]["code"]),
            (413, &json!("invalid_body"))
        );
    });
}
