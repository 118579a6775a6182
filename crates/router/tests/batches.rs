//! Faults in batches and streams of the inference API on loopback. Whatever fails, there is one
//! final response in the form of the API and one attempt in flight; nothing that may have been
//! executed is sent twice if its class is not idempotent; and slots are released at once.

mod common;

use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{
    endpoint_entry, run, Bed, Behaviour, Client, FakeServer, Observation, RawClient, EVENT, FINISH,
};
use http::{HeaderMap, Request};
use serde_json::{json, Value};
use tokio::task::spawn_local;

const RERANK: &str = "/v1/rerank";
const EMBEDDINGS: &str = "/v1/embeddings";
const CHAT: &str = "/v1/chat/completions";

/// The operator's file with rerank served as a non-idempotent class.
const NON_IDEMPOTENT_RERANK: [(&str, &str); 1] = [("class = \"rerank\"", "class = \"order\"")];

async fn start_router(servers: &[&FakeServer], edits: &[(&str, &str)]) -> Bed {
    let lines = servers
        .iter()
        .map(|w| endpoint_entry(w, "mixed", "up"))
        .collect();
    Bed::start_front(lines, edits).await
}

/// Posts with headers; returns the status, headers and JSON of the response.
async fn post(
    router: &Bed,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, HeaderMap, Value) {
    let request = Request::post(path).header("host", "app");
    let request = headers
        .iter()
        .fold(request, |r, (name, value)| r.header(*name, *value));
    let request = request.body(body.to_string().into()).unwrap();
    let (status, headers, body) = Client::connect(router.inference).await.send(request).await;
    (
        status,
        headers,
        serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null),
    )
}

/// Nine slices of two documents each, at the initial slice size of 256 tokens.
fn nine_slices(fault: Value) -> Value {
    let documents: Vec<String> = (0..18)
        .map(|n| format!("{n} {}", "x".repeat(500)))
        .collect();
    json!({"model": "m", "query": "q", "documents": documents, "toy": fault})
}

/// Keeps slices at their initial size.
const FIXED_SLICE_SIZE: [(&str, &str); 1] = [(
    "least_tokens = 16\nmost_tokens = 65536",
    "least_tokens = 256\nmost_tokens = 256",
)];

fn started_ids(server: &FakeServer) -> Vec<String> {
    let of = |s: &Observation| match s {
        Observation::RequestStarted { id, .. } => Some(id.clone()),
        _ => None,
    };
    server.observations.borrow().iter().filter_map(of).collect()
}

fn count_results(response: &Value) -> usize {
    response["results"].as_array().map_or(0, Vec::len)
}

#[test]
fn a_server_failure_in_slice_7_of_9_repeats_that_slice_alone() {
    run(async {
        let servers = [
            FakeServer::start(4, Behaviour::Answer).await,
            FakeServer::start(4, Behaviour::Answer).await,
        ];
        let router = start_router(&[&servers[0], &servers[1]], &FIXED_SLICE_SIZE).await;
        // If the connection breaks before the response, the policy retries the slice; if the
        // response is invalid, the batch scheduler does.
        for fault in [
            json!({"does": "break", "on": 6, "times": 1}),
            json!({"spoils": "missing", "on": 6}),
        ] {
            servers
                .iter()
                .for_each(|w| w.observations.borrow_mut().clear());
            let (status, _, response) = post(
                &router,
                RERANK,
                &[("x-request-id", "d7")],
                &nine_slices(fault),
            )
            .await;
            assert_eq!((status, count_results(&response)), (200, 18));
            let mut ids: Vec<String> = servers.iter().flat_map(|w| started_ids(w)).collect();
            let sent = ids.len();
            ids.sort();
            ids.dedup();
            assert!(ids.len() >= 9 && sent <= 11, "{sent} sends of {ids:?}");
            assert!(servers.iter().all(|w| w.max_concurrent_attempts.get() <= 1));
        }
    });
}

#[test]
fn invalid_responses_are_never_forwarded_and_retried_only_if_idempotent() {
    run(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let idempotent = start_router(&[&server], &[]).await;
        let non_idempotent = start_router(&[&server], &NON_IDEMPOTENT_RERANK).await;
        let body = |fault: Value| {
            let documents = json!(["1 a", "2 b"]);
            json!({"model": "m", "query": "q", "documents": documents, "toy": fault})
        };
        for fault_name in ["missing", "doubled", "out_of_range", "nan", "not_json"] {
            // Invalid in the first attempt only: retried, and complete.
            let (status, _, response) = post(
                &idempotent,
                RERANK,
                &[],
                &body(json!({"spoils": fault_name, "on": 0})),
            )
            .await;
            assert_eq!((status, count_results(&response)), (200, 2), "{fault_name}");
            // Invalid in every attempt: it fails, and after one attempt if it is not idempotent.
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
        // If a slice is rejected after others were executed, the batch is not rejected: a retry
        // would not be harmless.
        let mut fixed = NON_IDEMPOTENT_RERANK.to_vec();
        fixed.extend(FIXED_SLICE_SIZE);
        let slices = start_router(&[&server], &fixed).await;
        let rejected = nine_slices(json!({"does": "full", "on": 3}));
        let (status, _, response) =
            post(&slices, RERANK, &[("x-deadline-ms", "3000")], &rejected).await;
        assert_eq!(
            (status, &response["error"]["type"]),
            (502, &json!("server_error"))
        );
        // Lost connections and errors are final too for a non-idempotent class.
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
fn a_server_that_drains_between_two_slices_gets_no_further_ones() {
    run(async {
        let (a, b) = (
            FakeServer::start(4, Behaviour::Answer).await,
            FakeServer::start(4, Behaviour::Answer).await,
        );
        [&a, &b]
            .iter()
            .for_each(|w| w.service_time.set(Duration::from_millis(60)));
        let router = start_router(&[&a, &b], &FIXED_SLICE_SIZE).await;
        let pending = {
            let address = router.inference;
            spawn_local(async move {
                Client::connect(address)
                    .await
                    .post(RERANK, nine_slices(json!({})))
                    .await
            })
        };
        let first = tokio::select! {
            () = a.wait_until(|seen| seen.len() > 1) => [&a, &b],
            () = b.wait_until(|seen| seen.len() > 1) => [&b, &a],
        };
        router.discovery.publish(vec![
            endpoint_entry(first[0], "mixed", "draining"),
            endpoint_entry(first[1], "mixed", "up"),
        ]);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let before = started_ids(first[0]).len();
        let (status, response) = pending.await.unwrap();
        assert_eq!((status, count_results(&response)), (200, 18));
        assert_eq!(started_ids(first[0]).len(), before);
        assert!(started_ids(first[1]).len() > 1);
    });
}

/// The rejection comes before the deadline, and with a `Retry-After`.
#[test]
fn a_batch_that_every_server_rejects_is_rejected_with_a_retry_delay() {
    run(async {
        let server = FakeServer::start(4, Behaviour::Reject).await;
        let router = start_router(
            &[&server],
            &[("deadline_ms = 10000", "deadline_ms = 60000")],
        )
        .await;
        let began = Instant::now();
        let (status, headers, response) = post(&router, RERANK, &[], &nine_slices(json!({}))).await;
        assert_eq!(
            (status, &response["error"]["code"]),
            (503, &json!("overloaded"))
        );
        let retry_after: f64 = headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry_after > 0.0 && retry_after <= 1.0, "{retry_after}");
        assert!(
            began.elapsed() < Duration::from_secs(15),
            "it is not kept until its deadline"
        );
    });
}

/// A cancelled batch occupies neither a turn nor a slot, whichever stage it is in. One slice may be
/// in flight at a time. The time is a requirement; the best of several attempts counts, since a
/// busy machine may delay any one of them.
#[test]
fn cancelling_a_batch_releases_its_slot_within_300_ms_in_every_stage() {
    run(async {
        let server = FakeServer::start(1, Behaviour::Hang).await;
        server.service_time.set(Duration::from_millis(30));
        let router = start_router(&[&server], &[("at_once = 8", "at_once = 1")]).await;
        let address = router.inference;
        let ask = |id: &'static str, fault: Value| {
            let request = Request::post(RERANK)
                .header("host", "app")
                .header("x-request-id", id);
            let request = request.body(nine_slices(fault).to_string().into()).unwrap();
            spawn_local(async move { Client::connect(address).await.send(request).await.0 })
        };
        let count = |seen: &[Observation], id: &str| {
            seen.iter()
                .filter(|s| {
                    matches!(s, Observation::RequestStarted { id: of, .. }
                        if of.split('.').next() == Some(id))
                })
                .count()
        };
        for stage in ["in a slice", "queued", "between slices"] {
            let mut best = Duration::MAX;
            for _ in 0..4 {
                server.observations.borrow_mut().clear();
                // Between slices: the first one is answered, and the next one waits for another
                // batch.
                let first = if stage == "between slices" {
                    json!({"does": "answer", "on": 0})
                } else {
                    json!({})
                };
                let cancelled = if stage == "queued" {
                    None
                } else {
                    Some(ask("gone", first))
                };
                if cancelled.is_some() {
                    server.wait_until(|seen| count(seen, "gone") == 1).await;
                }
                let holder = ask("holds", json!({}));
                if stage != "in a slice" {
                    server.wait_until(|seen| count(seen, "holds") == 1).await;
                }
                let cancelled = cancelled.unwrap_or_else(|| ask("gone", json!({})));
                tokio::time::sleep(Duration::from_millis(20)).await;
                let begun = count(&server.observations.borrow(), "gone");
                assert_eq!(begun, usize::from(stage != "queued"), "{stage}");
                let mut cancelled_at = Instant::now();
                cancelled.abort();
                if stage != "in a slice" {
                    // Its turn would come when the slice in flight is cancelled: the next batch
                    // must get it.
                    let next = ask("next", json!({}));
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    cancelled_at = Instant::now();
                    holder.abort();
                    server.wait_until(|seen| count(seen, "next") == 1).await;
                    next.abort();
                } else {
                    server.wait_until(|seen| count(seen, "holds") == 1).await;
                    holder.abort();
                }
                best = best.min(cancelled_at.elapsed());
                assert_eq!(
                    count(&server.observations.borrow(), "gone"),
                    begun,
                    "nothing more is sent for it: {stage}"
                );
                let began = |s: &&Observation| matches!(s, Observation::RequestStarted { .. });
                let all = server.observations.borrow().iter().filter(began).count();
                server
                    .wait_until(|seen| {
                        seen.iter()
                            .filter(|s| matches!(s, Observation::SlotReleased { .. }))
                            .count()
                            >= all
                    })
                    .await;
            }
            assert!(best < Duration::from_millis(300), "{stage}: {best:?}");
        }
    });
}

/// The client of the stream reads nothing and disconnects.
#[test]
fn cancelling_an_unread_stream_releases_its_slot_within_300_ms() {
    run(async {
        let server = FakeServer::start(4, Behaviour::StreamEndlessly).await;
        let router = start_router(&[&server], &[]).await;
        let count_releases = |seen: &[Observation]| {
            seen.iter()
                .filter(|s| matches!(s, Observation::SlotReleased { .. }))
                .count()
        };
        let body =
            json!({"model": "m", "stream": true, "messages": [{"role": "user", "content": "x"}]})
                .to_string();
        let mut best = Duration::MAX;
        for _ in 0..4 {
            server.observations.borrow_mut().clear();
            let mut raw = RawClient::connect(router.inference).await;
            let length = body.len();
            raw.send(&format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\ncontent-length: {length}\r\n\r\n{body}"
            ))
            .await;
            // By then all buffers on the way are full, and the server waits to write.
            server.wait_until(|seen| count_releases(seen) == 1).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert_eq!(
                count_releases(&server.observations.borrow()),
                1,
                "the stream still runs"
            );
            let cancelled_at = Instant::now();
            drop(raw);
            server.wait_until(|seen| count_releases(seen) == 2).await;
            best = best.min(cancelled_at.elapsed());
        }
        assert!(best < Duration::from_millis(300), "{best:?}");
    });
}

/// Requests are cancelled while the body arrives, and while the response is read.
#[test]
fn the_byte_reservations_of_cancelled_requests_are_returned() {
    run(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let small = [
            ("held_bytes = 67108864", "held_bytes = 4000000"),
            ("body_bytes = 16777216", "body_bytes = 3000000"),
        ];
        let router = start_router(&[&server], &small).await;
        let head = format!("POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: 3000000\r\n");
        for _ in 0..5 {
            let mut arriving = RawClient::connect(router.inference).await;
            arriving.send(&format!("{head}\r\n{{")).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            // The budget has no room for a second one: it is rejected before its body is read, and
            // gets no `100 Continue`.
            let mut second = RawClient::connect(router.inference).await;
            second
                .send(&format!("{head}expect: 100-continue\r\n\r\n"))
                .await;
            let response = second.read_until_closed().await;
            assert!(
                response.starts_with("HTTP/1.1 503 ") && response.contains("retry-after: "),
                "{response}"
            );
            drop(arriving);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // A response that its client does not read.
        for _ in 0..5 {
            let documents: Vec<String> = (0..900)
                .map(|n| format!("{n} {}", "x".repeat(3_000)))
                .collect();
            let mut body = json!({"model": "m", "query": "q", "documents": documents});
            body["return_documents"] = json!(true);
            let body = body.to_string();
            let mut slow_reader = RawClient::connect(router.inference).await;
            slow_reader
                .send(&format!(
                    "POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                ))
                .await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let (status, ..) = post(&router, RERANK, &[], &nine_slices(json!({}))).await;
        assert_eq!(status, 200);
    });
}

/// If streams have reserved all of the byte budget, the next one is rejected with a `Retry-After`,
/// and is served once one has ended.
#[test]
fn streams_hold_their_byte_reservations_until_they_end() {
    run(async {
        let server = FakeServer::start(8, Behaviour::Answer).await;
        let small = [
            ("held_bytes = 67108864", "held_bytes = 140000"),
            ("body_bytes = 16777216", "body_bytes = 100000"),
        ];
        let router = start_router(&[&server], &small).await;
        let chat = |ms: u64| {
            let messages = json!([{"role": "user", "content": "x"}]);
            json!({"model": "m", "stream": true, "toy": {"ms": ms}, "messages": messages})
        };
        let address = router.inference;
        let first: Vec<_> = (0..2)
            .map(|_| {
                spawn_local(
                    async move { Client::connect(address).await.post(CHAT, chat(300)).await.0 },
                )
            })
            .collect();
        server
            .wait_until(|seen| {
                seen.iter()
                    .filter(|s| matches!(s, Observation::RequestStarted { .. }))
                    .count()
                    == 2
            })
            .await;
        let (status, headers, response) = post(&router, CHAT, &[], &chat(1)).await;
        assert_eq!(
            (status, &response["error"]["code"]),
            (503, &json!("overloaded"))
        );
        assert!(headers.contains_key("retry-after"));
        for one in first {
            assert_eq!(one.await.unwrap(), 200);
        }
        assert_eq!(post(&router, CHAT, &[], &chat(1)).await.0, 200);
    });
}

#[test]
fn slow_senders_and_slow_readers_are_disconnected() {
    run(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let waits = [
            ("body_wait_ms = 10000", "body_wait_ms = 400"),
            ("read_wait_ms = 30000", "read_wait_ms = 300"),
            ("slice_tokens = 256", "slice_tokens = 9000000"),
            ("most_tokens = 65536", "most_tokens = 9000000"),
        ];
        let router = start_router(&[&server], &waits).await;
        let mut slow = RawClient::connect(router.inference).await;
        slow.send(&format!(
            "POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: 16000000\r\n\r\n"
        ))
        .await;
        let dripping = async {
            loop {
                // 1 KB a second.
                slow.send("xxxxxxxxxx").await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(350), dripping).await;
        let response = slow.read_until_closed().await;
        assert!(
            response.starts_with("HTTP/1.1 408 ") && response.contains("x-request-id: "),
            "{response}"
        );
        // More than the system's buffers hold, none of which is read.
        let documents: Vec<String> = (0..4_000)
            .map(|n| format!("{n} {}", "x".repeat(3_000)))
            .collect();
        let body =
            json!({"model": "m", "query": "q", "documents": documents, "return_documents": true})
                .to_string();
        let mut slow_reader = RawClient::connect(router.inference).await;
        let length = body.len();
        slow_reader
            .send(&format!(
                "POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: {length}\r\n\r\n{body}"
            ))
            .await;
        server.wait_until(|seen| seen.len() > 1).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(
            slow_reader.read_until_closed().await.len() < length,
            "it was disconnected before all was written"
        );
    });
}

#[test]
fn bodies_are_decompressed_within_the_size_limit() {
    run(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let router = start_router(&[&server], &[]).await;
        let gzip = |data: &[u8]| {
            let mut encoder =
                flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::best());
            encoder.write_all(data).unwrap();
            encoder.finish().unwrap()
        };
        let send = async |headers: &[(&str, &str)], body: Vec<u8>| {
            let request = Request::post(EMBEDDINGS).header("host", "app");
            let request = headers
                .iter()
                .fold(request, |r, (name, value)| r.header(*name, *value));
            let request = request.body(body.into()).unwrap();
            let (status, _, body) = Client::connect(router.inference).await.send(request).await;
            let response: Value = serde_json::from_slice(&body.unwrap()).unwrap();
            (
                status,
                response["error"]["code"].as_str().unwrap_or("").to_owned(),
            )
        };
        let valid = json!({"model": "m", "input": ["a"]})
            .to_string()
            .into_bytes();
        let bomb = gzip(&vec![b' '; 40_000_000]);
        type Case<'a> = (&'a [(&'a str, &'a str)], Vec<u8>, u16, &'a str);
        let cases: [Case; 7] = [
            (&[("content-encoding", "gzip")], gzip(&valid), 200, ""),
            (
                &[("content-encoding", "gzip")],
                valid.clone(),
                400,
                "invalid_body",
            ),
            (&[("content-encoding", "gzip")], bomb, 413, "invalid_body"),
            (
                &[("content-encoding", "br")],
                valid.clone(),
                415,
                "invalid_body",
            ),
            (
                &[("content-type", "text/plain")],
                valid.clone(),
                415,
                "invalid_body",
            ),
            (
                &[("content-type", "application/json; charset=utf-8")],
                valid,
                200,
                "",
            ),
            (&[], "[".repeat(100_000).into_bytes(), 400, "too_deep"),
        ];
        for (headers, body, status, code) in cases {
            assert_eq!(
                send(headers, body).await,
                (status, code.to_owned()),
                "{headers:?}"
            );
        }
    });
}

#[test]
fn the_id_of_an_open_batch_cannot_be_reused_and_every_response_carries_one() {
    run(async {
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
                .body(nine_slices(json!({})).to_string().into())
                .unwrap();
            Client::connect(address).await.send(request).await.0
        });
        server.wait_until(|seen| seen.len() > 6).await;
        for path in [RERANK, CHAT] {
            let (status, headers, response) =
                post(&router, path, &id, &nine_slices(json!({}))).await;
            assert_eq!(
                (status, &response["error"]["code"]),
                (409, &json!("id_in_use"))
            );
            assert_eq!(headers["x-request-id"], "same");
        }
        assert_eq!(first.await.unwrap(), 200);
        let (status, headers, _) = post(&router, RERANK, &id, &nine_slices(json!({}))).await;
        assert_eq!(
            (status, &headers["x-request-id"]),
            (200, &"same".parse().unwrap())
        );
        let (status, headers, _) = post(&router, "/nowhere", &[], &json!({})).await;
        assert!(status == 404 && !headers["x-request-id"].is_empty());
        // A deadline of 1 ms.
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
            &nine_slices(json!({})),
        )
        .await;
        assert_eq!(
            (status, &response["error"]["param"]),
            (400, &json!("X-Request-Id"))
        );
    });
}

/// An incomplete response never looks complete.
#[test]
fn a_broken_stream_ends_with_an_error_event_and_an_unstreamed_response_fails() {
    run(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let router = start_router(&[&server], &[]).await;
        let chat = |stream: bool, fault: Value| {
            let messages = json!([{"role": "user", "content": "x"}]);
            json!({"model": "m", "stream": stream, "messages": messages, "toy": fault})
        };
        for fault in [
            json!({"does": "break_stream"}),
            json!({"spoils": "missing"}),
        ] {
            let body = chat(true, fault.clone()).to_string();
            let mut raw = RawClient::connect(router.inference).await;
            raw.send(&format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ))
            .await;
            let response = raw.read_until_closed().await;
            assert!(
                response.starts_with("HTTP/1.1 200 ") && response.contains(EVENT),
                "{response}"
            );
            let last = response
                .rsplit("data: ")
                .next()
                .unwrap()
                .lines()
                .next()
                .unwrap();
            let error: Value = serde_json::from_str(last).unwrap();
            assert_eq!(error["error"]["code"], json!("upstream_failed"));
            assert!(
                !response.contains("[DONE]") && !response.ends_with("0\r\n\r\n"),
                "{response}"
            );
            let (status, _, response) = post(&router, CHAT, &[], &chat(false, fault)).await;
            assert_eq!(
                (status, &response["error"]["code"]),
                (502, &json!("upstream_failed"))
            );
        }
        let (status, _, response) = post(&router, CHAT, &[], &chat(false, json!({}))).await;
        assert_eq!(
            (status, &response["object"]),
            (200, &json!("chat.completion"))
        );
        assert_eq!(response["choices"][0]["message"]["content"], json!("oqvh"));
        assert_eq!(response["usage"]["total_tokens"], json!(4));
        // A complete stream is forwarded unchanged.
        let request = Request::post(CHAT)
            .header("host", "app")
            .body(chat(true, json!({})).to_string().into())
            .unwrap();
        let (_, _, body) = Client::connect(router.inference).await.send(request).await;
        assert_eq!(body.unwrap(), format!("{EVENT}{FINISH}data: [DONE]\n\n"));
    });
}

#[test]
fn a_graceful_shutdown_finishes_open_batches() {
    run(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        server.service_time.set(Duration::from_millis(40));
        let mut router = start_router(&[&server], &FIXED_SLICE_SIZE).await;
        let address = router.inference;
        let pending = spawn_local(async move {
            Client::connect(address)
                .await
                .post(RERANK, nine_slices(json!({})))
                .await
        });
        server.wait_until(|seen| seen.len() > 4).await;
        router.stop.take().unwrap().send(()).unwrap();
        let (status, response) = pending.await.unwrap();
        assert_eq!((status, count_results(&response)), (200, 18));
        assert_eq!(started_ids(&server).len(), 9);
        router.stopped.await.unwrap();
    });
}

/// A client with many long batches does not take all turns: a short batch completes while they run.
#[test]
fn a_short_batch_is_served_while_long_ones_run() {
    run(async {
        let server = FakeServer::start(1, Behaviour::Answer).await;
        server.service_time.set(Duration::from_millis(3));
        // A long deadline: on a busy machine the long batches would otherwise be rejected as too
        // slow.
        let edits = [
            FIXED_SLICE_SIZE[0],
            ("deadline_ms = 10000", "deadline_ms = 600000"),
        ];
        let router = start_router(&[&server], &edits).await;
        let address = router.inference;
        let long: Vec<_> = (0..6)
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
        assert!(long.iter().all(|l| !l.is_finished()));
        long.iter().for_each(|l| l.abort());
        let _: Rc<FakeServer> = server;
    });
}
