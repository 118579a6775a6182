//! Tests of the inference API on loopback: streams, slow clients, limits of body size and memory.

mod common;
mod inference_support;

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{
    run_test, Behaviour, Client, FakeServer, Observation, RawClient, CHAT_EVENT, FINISH_EVENT,
};
use http::Request;
use inference_support::{nine_slice_rerank, post, start_router, CHAT, EMBEDDINGS, RERANK};
use serde_json::{json, Value};
use tokio::task::spawn_local;

/// The client reads nothing of the stream and disconnects. The best of four attempts counts, since
/// a busy machine may delay any one of them.
#[test]
fn cancelling_an_unread_stream_releases_its_slot_within_300_ms() {
    run_test(async {
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
            // The fake server records one release when the stream begins and a second one when the
            // stream is dropped. After the delay all buffers on the way to the client are full, and
            // the server waits to write.
            server.wait_until(|seen| count_releases(seen) == 1).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert_eq!(
                count_releases(&server.observations.borrow()),
                1,
                "the stream ended before its client disconnected"
            );
            let cancelled_at = Instant::now();
            drop(raw);
            server.wait_until(|seen| count_releases(seen) == 2).await;
            best = best.min(cancelled_at.elapsed());
        }
        assert!(best < Duration::from_millis(300), "{best:?}");
    });
}

/// Requests are cancelled while their body arrives, and before their response has been read.
#[test]
fn the_byte_reservations_of_cancelled_requests_are_returned() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let small_limits = [
            ("held_bytes = 67108864", "held_bytes = 4000000"),
            ("body_bytes = 16777216", "body_bytes = 3000000"),
        ];
        let router = start_router(&[&server], &small_limits).await;
        let head = format!("POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: 3000000\r\n");
        for _ in 0..5 {
            let mut arriving = RawClient::connect(router.inference).await;
            arriving.send(&format!("{head}\r\n{{")).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            // The budget has no room for a second request: it is rejected before its body is read,
            // and gets no `100 Continue`.
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
        // Clients that disconnect without having read the response.
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
        let (status, ..) = post(&router, RERANK, &[], &nine_slice_rerank(json!({}))).await;
        assert_eq!(status, 200);
    });
}

/// If open streams have used up the byte budget, the router rejects the next stream with a
/// `Retry-After` header, and serves one again once they have ended.
#[test]
fn streams_hold_their_byte_reservations_until_they_end() {
    run_test(async {
        let server = FakeServer::start(8, Behaviour::Answer).await;
        let small_limits = [
            ("held_bytes = 67108864", "held_bytes = 140000"),
            ("body_bytes = 16777216", "body_bytes = 100000"),
        ];
        let router = start_router(&[&server], &small_limits).await;
        let chat = |ms: u64| {
            let messages = json!([{"role": "user", "content": "x"}]);
            json!({"model": "m", "stream": true, "toy": {"ms": ms}, "messages": messages})
        };
        let address = router.inference;
        let open_streams: Vec<_> = (0..2)
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
        for stream in open_streams {
            assert_eq!(stream.await.unwrap(), 200);
        }
        assert_eq!(post(&router, CHAT, &[], &chat(1)).await.0, 200);
    });
}

#[test]
fn slow_senders_and_slow_readers_are_disconnected() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let edits = [
            ("body_wait_ms = 10000", "body_wait_ms = 400"),
            ("read_wait_ms = 30000", "read_wait_ms = 300"),
            ("slice_tokens = 256", "slice_tokens = 9000000"),
            ("most_tokens = 65536", "most_tokens = 9000000"),
        ];
        let router = start_router(&[&server], &edits).await;
        let mut slow_sender = RawClient::connect(router.inference).await;
        slow_sender
            .send(&format!(
                "POST {RERANK} HTTP/1.1\r\nhost: app\r\ncontent-length: 16000000\r\n\r\n"
            ))
            .await;
        let slow_sending = async {
            loop {
                // 10 bytes every 10 ms: 1 KB a second.
                slow_sender.send("xxxxxxxxxx").await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(350), slow_sending).await;
        let response = slow_sender.read_until_closed().await;
        assert!(
            response.starts_with("HTTP/1.1 408 ") && response.contains("x-request-id: "),
            "{response}"
        );
        // The response is larger than the system's buffers, and the client reads nothing of it.
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
            "the client that reads slowly got the whole response"
        );
    });
}

fn gzip(data: &[u8]) -> Vec<u8> {
    let mut encoder = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::best());
    encoder.write_all(data).unwrap();
    encoder.finish().unwrap()
}

/// Posts a body. Returns the status and the error's code, which is empty if there is no error.
async fn send_body(address: SocketAddr, headers: &[(&str, &str)], body: Vec<u8>) -> (u16, String) {
    let request = Request::post(EMBEDDINGS).header("host", "app");
    let request = headers
        .iter()
        .fold(request, |r, (name, value)| r.header(*name, *value));
    let request = request.body(body.into()).unwrap();
    let (status, _, body) = Client::connect(address).await.send(request).await;
    let response: Value = serde_json::from_slice(&body.unwrap()).unwrap();
    let code = response["error"]["code"].as_str().unwrap_or("");
    (status, code.to_owned())
}

#[test]
fn bodies_are_decompressed_within_the_size_limit() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let router = start_router(&[&server], &[]).await;
        let valid = json!({"model": "m", "input": ["a"]})
            .to_string()
            .into_bytes();
        let gzip_bomb = gzip(&vec![b' '; 40_000_000]);
        type Case<'a> = (&'a [(&'a str, &'a str)], Vec<u8>, u16, &'a str);
        let cases: [Case; 7] = [
            (&[("content-encoding", "gzip")], gzip(&valid), 200, ""),
            (
                &[("content-encoding", "gzip")],
                valid.clone(),
                400,
                "invalid_body",
            ),
            (
                &[("content-encoding", "gzip")],
                gzip_bomb,
                413,
                "invalid_body",
            ),
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
                send_body(router.inference, headers, body).await,
                (status, code.to_owned()),
                "{headers:?}"
            );
        }
    });
}

/// An incomplete response must never look complete to the client.
#[test]
fn a_broken_stream_ends_with_an_error_event_and_an_unstreamed_response_fails() {
    run_test(async {
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
                response.starts_with("HTTP/1.1 200 ") && response.contains(CHAT_EVENT),
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
        assert_eq!(
            body.unwrap(),
            format!("{CHAT_EVENT}{FINISH_EVENT}data: [DONE]\n\n")
        );
    });
}

/// Guards against valid bodies that are rejected: bytes of a body that arrives were read ahead as
/// if they belonged to further requests, and discarded beyond the limit for all connections.
#[test]
fn large_bodies_that_arrive_at_the_same_time_are_all_served() {
    const CLIENTS: usize = 6;
    const BODY_TEXT_BYTES: usize = 3_000_000;
    run_test(async {
        let server = FakeServer::start(8, Behaviour::Answer).await;
        let router = start_router(&[&server], &[]).await;
        let text = "x".repeat(BODY_TEXT_BYTES);
        let body = format!(r#"{{"model":"m","messages":[{{"role":"user","content":"{text}"}}]}}"#);
        let length = body.len();
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nhost: app\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
        );
        let mut clients = Vec::new();
        for _ in 0..CLIENTS {
            let mut client = RawClient::connect(router.inference).await;
            let parts = [head.clone(), body.clone()];
            clients.push(spawn_local(async move {
                client
                    .exchange(&parts.each_ref().map(|part| part.as_bytes()))
                    .await
            }));
        }
        for client in clients {
            let response = client.await.unwrap();
            assert!(response.starts_with("HTTP/1.1 200 "), "{response:.200}");
        }
    });
}
