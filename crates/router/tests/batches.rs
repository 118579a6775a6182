//! The second front's hard cases on loopback: whatever fails, one final answer, in the API's form; one attempt out;
//! nothing that may have run sent twice where its class forbids it; and places given back at once.

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

/// The front's file with rerank served as a class that must not run twice.
const UNSAFE: [(&str, &str); 1] = [("class = \"rerank\"", "class = \"order\"")];

async fn bed(workers: &[&FakeServer], edits: &[(&str, &str)]) -> Bed {
    let lines = workers
        .iter()
        .map(|w| endpoint_entry(w, "mixed", "up"))
        .collect();
    Bed::start_front(lines, edits).await
}

/// Posts with headers; gives status, headers and JSON.
async fn post(
    bed: &Bed,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, HeaderMap, Value) {
    let request = Request::post(path).header("host", "app");
    let request = headers
        .iter()
        .fold(request, |r, (name, value)| r.header(*name, *value));
    let request = request.body(body.to_string().into()).unwrap();
    let (status, headers, body) = Client::connect(bed.inference).await.send(request).await;
    (
        status,
        headers,
        serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null),
    )
}

/// Nine slices of two documents each, under the bed's first size of 256 tokens.
fn nine(toy: Value) -> Value {
    let documents: Vec<String> = (0..18)
        .map(|n| format!("{n} {}", "x".repeat(500)))
        .collect();
    json!({"model": "m", "query": "q", "documents": documents, "toy": toy})
}

/// Keeps slices at their first size.
const FIXED: [(&str, &str); 1] = [(
    "least_tokens = 16\nmost_tokens = 65536",
    "least_tokens = 256\nmost_tokens = 256",
)];

fn begun(worker: &FakeServer) -> Vec<String> {
    let of = |s: &Observation| match s {
        Observation::RequestStarted { id, .. } => Some(id.clone()),
        _ => None,
    };
    worker.observations.borrow().iter().filter_map(of).collect()
}

fn scores(answer: &Value) -> usize {
    answer["results"].as_array().map_or(0, Vec::len)
}

#[test]
fn a_worker_that_dies_in_slice_7_of_9_costs_that_slice_alone() {
    run(async {
        let workers = [
            FakeServer::start(4, Behaviour::Answer).await,
            FakeServer::start(4, Behaviour::Answer).await,
        ];
        let bed = bed(&[&workers[0], &workers[1]], &FIXED).await;
        // Before its answer it breaks off: the module sends that slice again. In its answer: the front asks again.
        for toy in [
            json!({"does": "break", "on": 6, "times": 1}),
            json!({"spoils": "missing", "on": 6}),
        ] {
            workers
                .iter()
                .for_each(|w| w.observations.borrow_mut().clear());
            let (status, _, answer) =
                post(&bed, RERANK, &[("x-request-id", "d7")], &nine(toy)).await;
            assert_eq!((status, scores(&answer)), (200, 18));
            let mut ids: Vec<String> = workers.iter().flat_map(|w| begun(w)).collect();
            let sent = ids.len();
            ids.sort();
            ids.dedup();
            assert!(ids.len() >= 9 && sent <= 11, "{sent} sends of {ids:?}");
            assert!(workers.iter().all(|w| w.max_concurrent_attempts.get() <= 1));
        }
    });
}

#[test]
fn spoilt_answers_are_never_passed_on_and_repeated_only_where_permitted() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        let safe = bed(&[&worker], &[]).await;
        let once = bed(&[&worker], &UNSAFE).await;
        let body = |toy: Value| json!({"model": "m", "query": "q", "documents": ["1 a", "2 b"], "toy": toy});
        for spoils in ["missing", "doubled", "out_of_range", "nan", "not_json"] {
            // Once spoilt: asked again, and whole.
            let (status, _, answer) = post(
                &safe,
                RERANK,
                &[],
                &body(json!({"spoils": spoils, "on": 0})),
            )
            .await;
            assert_eq!((status, scores(&answer)), (200, 2), "{spoils}");
            // Always spoilt: a failure in the end, and one attempt alone where it must not run twice.
            worker.observations.borrow_mut().clear();
            let (status, _, answer) =
                post(&once, RERANK, &[], &body(json!({"spoils": spoils}))).await;
            assert_eq!(
                (status, &answer["error"]["code"]),
                (502, &json!("upstream_failed")),
                "{spoils}"
            );
            assert_eq!(begun(&worker).len(), 1);
        }
        let (status, _, answer) = post(&safe, RERANK, &[], &body(json!({"spoils": "nan"}))).await;
        assert_eq!(
            (status, &answer["error"]["type"]),
            (502, &json!("server_error"))
        );
        // A slice that is refused after others have run makes no refusal of the batch: trying it again is not harmless.
        let mut fixed = UNSAFE.to_vec();
        fixed.extend(FIXED);
        let slices = bed(&[&worker], &fixed).await;
        let refused = nine(json!({"does": "full", "on": 3}));
        let (status, _, answer) =
            post(&slices, RERANK, &[("x-deadline-ms", "3000")], &refused).await;
        assert_eq!(
            (status, &answer["error"]["type"]),
            (502, &json!("server_error"))
        );
        // Breaks and failures of an unsafe class are final too.
        for does in ["break", "error"] {
            worker.observations.borrow_mut().clear();
            let (status, ..) = post(&once, RERANK, &[], &body(json!({"does": does}))).await;
            assert_eq!((status, begun(&worker).len()), (502, 1), "{does}");
        }
    });
}

#[test]
fn a_worker_that_drains_between_two_slices_gets_none_of_the_rest() {
    run(async {
        let (a, b) = (
            FakeServer::start(4, Behaviour::Answer).await,
            FakeServer::start(4, Behaviour::Answer).await,
        );
        [&a, &b]
            .iter()
            .for_each(|w| w.service_time.set(Duration::from_millis(60)));
        let bed = bed(&[&a, &b], &FIXED).await;
        let asked = {
            let address = bed.inference;
            spawn_local(async move {
                Client::connect(address)
                    .await
                    .post(RERANK, nine(json!({})))
                    .await
            })
        };
        let first = tokio::select! {
            () = a.wait_until(|seen| seen.len() > 1) => [&a, &b],
            () = b.wait_until(|seen| seen.len() > 1) => [&b, &a],
        };
        bed.discovery.publish(vec![
            endpoint_entry(first[0], "mixed", "draining"),
            endpoint_entry(first[1], "mixed", "up"),
        ]);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let before = begun(first[0]).len();
        let (status, answer) = asked.await.unwrap();
        assert_eq!((status, scores(&answer)), (200, 18));
        assert_eq!(begun(first[0]).len(), before);
        assert!(begun(first[1]).len() > 1);
    });
}

/// Guards against a refusal that is held back, and against one that does not say when to come back.
#[test]
fn where_every_worker_refuses_a_batch_is_refused_and_told_when_to_come_back() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Reject).await;
        let bed = bed(
            &[&worker],
            &[("deadline_ms = 10000", "deadline_ms = 60000")],
        )
        .await;
        let began = Instant::now();
        let (status, headers, answer) = post(&bed, RERANK, &[], &nine(json!({}))).await;
        assert_eq!(
            (status, &answer["error"]["code"]),
            (503, &json!("overloaded"))
        );
        let pause: f64 = headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(pause > 0.0 && pause <= 1.0, "{pause}");
        assert!(
            began.elapsed() < Duration::from_secs(15),
            "it is not held until its deadline"
        );
    });
}

/// Guards against a turn or place that stays taken for a client that has gone, whatever stage its batch is in. One slice
/// may be out at a time. The time is a requirement; the best of some tries counts, since a busy machine may stop any one.
#[test]
fn a_cancel_frees_its_place_within_300_ms_in_every_stage() {
    run(async {
        let worker = FakeServer::start(1, Behaviour::Hang).await;
        worker.service_time.set(Duration::from_millis(30));
        let bed = bed(&[&worker], &[("at_once = 8", "at_once = 1")]).await;
        let address = bed.inference;
        let ask = |id: &'static str, toy: Value| {
            let request = Request::post(RERANK)
                .header("host", "app")
                .header("x-request-id", id);
            let request = request.body(nine(toy).to_string().into()).unwrap();
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
                worker.observations.borrow_mut().clear();
                // Between slices: the first of them is answered, and the next waits for the turn of another batch.
                let first = if stage == "between slices" {
                    json!({"does": "answer", "on": 0})
                } else {
                    json!({})
                };
                let gone = if stage == "queued" {
                    None
                } else {
                    Some(ask("gone", first))
                };
                if gone.is_some() {
                    worker.wait_until(|seen| count(seen, "gone") == 1).await;
                }
                let holds = ask("holds", json!({}));
                if stage != "in a slice" {
                    worker.wait_until(|seen| count(seen, "holds") == 1).await;
                }
                let gone = gone.unwrap_or_else(|| ask("gone", json!({})));
                tokio::time::sleep(Duration::from_millis(20)).await;
                let begun = count(&worker.observations.borrow(), "gone");
                assert_eq!(begun, usize::from(stage != "queued"), "{stage}");
                let mut cut = Instant::now();
                gone.abort();
                if stage != "in a slice" {
                    // Its turn comes when the slice that is out is called off: the next batch must have it.
                    let next = ask("next", json!({}));
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    cut = Instant::now();
                    holds.abort();
                    worker.wait_until(|seen| count(seen, "next") == 1).await;
                    next.abort();
                } else {
                    worker.wait_until(|seen| count(seen, "holds") == 1).await;
                    holds.abort();
                }
                best = best.min(cut.elapsed());
                assert_eq!(
                    count(&worker.observations.borrow(), "gone"),
                    begun,
                    "nothing more is sent for it: {stage}"
                );
                let began = |s: &&Observation| matches!(s, Observation::RequestStarted { .. });
                let all = worker.observations.borrow().iter().filter(began).count();
                worker
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

/// Guards against a place that stays taken for a stream whose client reads nothing and goes.
#[test]
fn a_cancel_while_the_client_reads_nothing_frees_its_place_within_300_ms() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::StreamEndlessly).await;
        let bed = bed(&[&worker], &[]).await;
        let freed = |seen: &[Observation]| {
            seen.iter()
                .filter(|s| matches!(s, Observation::SlotReleased { .. }))
                .count()
        };
        let body =
            json!({"model": "m", "stream": true, "messages": [{"role": "user", "content": "x"}]})
                .to_string();
        let mut best = Duration::MAX;
        for _ in 0..4 {
            worker.observations.borrow_mut().clear();
            let mut raw = RawClient::connect(bed.inference).await;
            let length = body.len();
            raw.send(&format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\ncontent-length: {length}\r\n\r\n{body}"
            ))
            .await;
            // All buffers on the way are full by then, and the worker waits to go on.
            worker.wait_until(|seen| freed(seen) == 1).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert_eq!(
                freed(&worker.observations.borrow()),
                1,
                "the stream is still there"
            );
            let cut = Instant::now();
            drop(raw);
            worker.wait_until(|seen| freed(seen) == 2).await;
            best = best.min(cut.elapsed());
        }
        assert!(best < Duration::from_millis(300), "{best:?}");
    });
}

/// Guards against bytes that stay claimed: a cancel while the body arrives, and one while its answer is read.
#[test]
fn what_a_cancelled_request_claims_is_given_back() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        let small = [
            ("held_bytes = 67108864", "held_bytes = 4000000"),
            ("body_bytes = 16777216", "body_bytes = 3000000"),
        ];
        let bed = bed(&[&worker], &small).await;
        let head = format!("POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: 3000000\r\n");
        for _ in 0..5 {
            let mut arriving = RawClient::connect(bed.inference).await;
            arriving.send(&format!("{head}\r\n{{")).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            // No room for a second one: told before its body is read, and not told to go on.
            let mut second = RawClient::connect(bed.inference).await;
            second
                .send(&format!("{head}expect: 100-continue\r\n\r\n"))
                .await;
            let said = second.read_until_closed().await;
            assert!(
                said.starts_with("HTTP/1.1 503 ") && said.contains("retry-after: "),
                "{said}"
            );
            drop(arriving);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // An answer that its client does not read.
        for _ in 0..5 {
            let documents: Vec<String> = (0..900)
                .map(|n| format!("{n} {}", "x".repeat(3_000)))
                .collect();
            let body = json!({"model": "m", "query": "q", "documents": documents, "return_documents": true});
            let body = body.to_string();
            let mut reads_not = RawClient::connect(bed.inference).await;
            reads_not
                .send(&format!(
                    "POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                ))
                .await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let (status, ..) = post(&bed, RERANK, &[], &nine(json!({}))).await;
        assert_eq!(status, 200);
    });
}

/// Guards against streams that hold memory which nobody counts: where they hold all, the next one is told to come back,
/// and is served once one has ended.
#[test]
fn streams_count_in_the_account_until_they_end() {
    run(async {
        let worker = FakeServer::start(8, Behaviour::Answer).await;
        let small = [
            ("held_bytes = 67108864", "held_bytes = 140000"),
            ("body_bytes = 16777216", "body_bytes = 100000"),
        ];
        let bed = bed(&[&worker], &small).await;
        let chat = |ms: u64| json!({"model": "m", "stream": true, "toy": {"ms": ms}, "messages": [{"role": "user", "content": "x"}]});
        let address = bed.inference;
        let first: Vec<_> = (0..2)
            .map(|_| {
                spawn_local(
                    async move { Client::connect(address).await.post(CHAT, chat(300)).await.0 },
                )
            })
            .collect();
        worker
            .wait_until(|seen| {
                seen.iter()
                    .filter(|s| matches!(s, Observation::RequestStarted { .. }))
                    .count()
                    == 2
            })
            .await;
        let (status, headers, answer) = post(&bed, CHAT, &[], &chat(1)).await;
        assert_eq!(
            (status, &answer["error"]["code"]),
            (503, &json!("overloaded"))
        );
        assert!(headers.contains_key("retry-after"));
        for one in first {
            assert_eq!(one.await.unwrap(), 200);
        }
        assert_eq!(post(&bed, CHAT, &[], &chat(1)).await.0, 200);
    });
}

#[test]
fn slow_senders_and_slow_readers_are_cut() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        let waits = [
            ("body_wait_ms = 10000", "body_wait_ms = 400"),
            ("read_wait_ms = 30000", "read_wait_ms = 300"),
            ("slice_tokens = 256", "slice_tokens = 9000000"),
            ("most_tokens = 65536", "most_tokens = 9000000"),
        ];
        let bed = bed(&[&worker], &waits).await;
        let mut slow = RawClient::connect(bed.inference).await;
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
        let said = slow.read_until_closed().await;
        assert!(
            said.starts_with("HTTP/1.1 408 ") && said.contains("x-request-id: "),
            "{said}"
        );
        // More than the system's buffers hold, and nothing of it is read.
        let documents: Vec<String> = (0..4_000)
            .map(|n| format!("{n} {}", "x".repeat(3_000)))
            .collect();
        let body =
            json!({"model": "m", "query": "q", "documents": documents, "return_documents": true})
                .to_string();
        let mut reads_not = RawClient::connect(bed.inference).await;
        let length = body.len();
        reads_not
            .send(&format!(
                "POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: {length}\r\n\r\n{body}"
            ))
            .await;
        worker.wait_until(|seen| seen.len() > 1).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(
            reads_not.read_until_closed().await.len() < length,
            "it was cut before all was written"
        );
    });
}

#[test]
fn bodies_are_read_as_they_are_encoded_within_the_bound() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        let bed = bed(&[&worker], &[]).await;
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
            let (status, _, body) = Client::connect(bed.inference).await.send(request).await;
            let answer: Value = serde_json::from_slice(&body.unwrap()).unwrap();
            (
                status,
                answer["error"]["code"].as_str().unwrap_or("").to_owned(),
            )
        };
        let good = json!({"model": "m", "input": ["a"]})
            .to_string()
            .into_bytes();
        let bomb = gzip(&vec![b' '; 40_000_000]);
        type Case<'a> = (&'a [(&'a str, &'a str)], Vec<u8>, u16, &'a str);
        let cases: [Case; 7] = [
            (&[("content-encoding", "gzip")], gzip(&good), 200, ""),
            (
                &[("content-encoding", "gzip")],
                good.clone(),
                400,
                "invalid_body",
            ),
            (&[("content-encoding", "gzip")], bomb, 413, "invalid_body"),
            (
                &[("content-encoding", "br")],
                good.clone(),
                415,
                "invalid_body",
            ),
            (
                &[("content-type", "text/plain")],
                good.clone(),
                415,
                "invalid_body",
            ),
            (
                &[("content-type", "application/json; charset=utf-8")],
                good,
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
fn a_batchs_id_is_its_own_while_it_is_open_and_every_answer_bears_one() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        worker.service_time.set(Duration::from_millis(30));
        let bed = bed(&[&worker], &FIXED).await;
        let id = [("x-request-id", "same")];
        let address = bed.inference;
        let first = spawn_local(async move {
            let request = Request::post(RERANK)
                .header("host", "app")
                .header("x-request-id", "same");
            let request = request.body(nine(json!({})).to_string().into()).unwrap();
            Client::connect(address).await.send(request).await.0
        });
        worker.wait_until(|seen| seen.len() > 6).await;
        for path in [RERANK, CHAT] {
            let (status, headers, answer) = post(&bed, path, &id, &nine(json!({}))).await;
            assert_eq!(
                (status, &answer["error"]["code"]),
                (409, &json!("id_in_use"))
            );
            assert_eq!(headers["x-request-id"], "same");
        }
        assert_eq!(first.await.unwrap(), 200);
        let (status, headers, _) = post(&bed, RERANK, &id, &nine(json!({}))).await;
        assert_eq!(
            (status, &headers["x-request-id"]),
            (200, &"same".parse().unwrap())
        );
        let (status, headers, _) = post(&bed, "/nowhere", &[], &json!({})).await;
        assert!(status == 404 && !headers["x-request-id"].is_empty());
        // A deadline of 1 ms.
        worker.service_time.set(Duration::from_millis(100));
        for (path, body) in [
            (EMBEDDINGS, json!({"model": "m", "input": "x"})),
            (
                CHAT,
                json!({"model": "m", "messages": [{"role": "user", "content": "x"}]}),
            ),
        ] {
            let (status, headers, answer) = post(
                &bed,
                path,
                &[("x-deadline-ms", "1"), ("x-request-id", "late")],
                &body,
            )
            .await;
            assert_eq!(
                (status, &answer["error"]["code"]),
                (504, &json!("deadline_exceeded")),
                "{path}"
            );
            assert_eq!(headers["x-request-id"], "late");
        }
        let (status, _, answer) =
            post(&bed, RERANK, &[("x-request-id", "a/b")], &nine(json!({}))).await;
        assert_eq!(
            (status, &answer["error"]["param"]),
            (400, &json!("X-Request-Id"))
        );
    });
}

/// Guards against half an answer that looks whole.
#[test]
fn a_stream_that_breaks_ends_with_the_error_and_a_whole_answer_is_whole_or_none() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        let bed = bed(&[&worker], &[]).await;
        let chat = |stream: bool, toy: Value| json!({"model": "m", "stream": stream, "messages": [{"role": "user", "content": "x"}], "toy": toy});
        for toy in [
            json!({"does": "break_stream"}),
            json!({"spoils": "missing"}),
        ] {
            let body = chat(true, toy.clone()).to_string();
            let mut raw = RawClient::connect(bed.inference).await;
            raw.send(&format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ))
            .await;
            let said = raw.read_until_closed().await;
            assert!(
                said.starts_with("HTTP/1.1 200 ") && said.contains(EVENT),
                "{said}"
            );
            let last = said
                .rsplit("data: ")
                .next()
                .unwrap()
                .lines()
                .next()
                .unwrap();
            let error: Value = serde_json::from_str(last).unwrap();
            assert_eq!(error["error"]["code"], json!("upstream_failed"));
            assert!(
                !said.contains("[DONE]") && !said.ends_with("0\r\n\r\n"),
                "{said}"
            );
            let (status, _, answer) = post(&bed, CHAT, &[], &chat(false, toy)).await;
            assert_eq!(
                (status, &answer["error"]["code"]),
                (502, &json!("upstream_failed"))
            );
        }
        let (status, _, answer) = post(&bed, CHAT, &[], &chat(false, json!({}))).await;
        assert_eq!(
            (status, &answer["object"]),
            (200, &json!("chat.completion"))
        );
        assert_eq!(answer["choices"][0]["message"]["content"], json!("oqvh"));
        assert_eq!(answer["usage"]["total_tokens"], json!(4));
        // A stream passes as it is.
        let request = Request::post(CHAT)
            .header("host", "app")
            .body(chat(true, json!({})).to_string().into())
            .unwrap();
        let (_, _, body) = Client::connect(bed.inference).await.send(request).await;
        assert_eq!(body.unwrap(), format!("{EVENT}{FINISH}data: [DONE]\n\n"));
    });
}

#[test]
fn a_router_that_is_told_to_end_finishes_its_batches() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        worker.service_time.set(Duration::from_millis(40));
        let mut bed = bed(&[&worker], &FIXED).await;
        let address = bed.inference;
        let asked = spawn_local(async move {
            Client::connect(address)
                .await
                .post(RERANK, nine(json!({})))
                .await
        });
        worker.wait_until(|seen| seen.len() > 4).await;
        bed.stop.take().unwrap().send(()).unwrap();
        let (status, answer) = asked.await.unwrap();
        assert_eq!((status, scores(&answer)), (200, 18));
        assert_eq!(begun(&worker).len(), 9);
        bed.stopped.await.unwrap();
    });
}

/// Guards against a tenant or client with many batches that takes all turns: a short batch is done while tens of
/// long ones run.
#[test]
fn a_short_batch_is_served_while_long_ones_run() {
    run(async {
        let worker = FakeServer::start(1, Behaviour::Answer).await;
        worker.service_time.set(Duration::from_millis(3));
        // All the time they need: on a busy machine they would be refused by their pace, and so be finished.
        let edits = [FIXED[0], ("deadline_ms = 10000", "deadline_ms = 600000")];
        let bed = bed(&[&worker], &edits).await;
        let address = bed.inference;
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
        worker.wait_until(|seen| seen.len() > 40).await;
        let (status, ..) = post(
            &bed,
            RERANK,
            &[],
            &json!({"model": "m", "query": "q", "documents": ["1 a"]}),
        )
        .await;
        assert_eq!(status, 200);
        assert!(long.iter().all(|l| !l.is_finished()));
        long.iter().for_each(|l| l.abort());
        let _: Rc<FakeServer> = worker;
    });
}
