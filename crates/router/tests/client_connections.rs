//! Connections of clients and the graceful shutdown on loopback: limits, timeouts and disconnects.

mod common;
mod platform_support;

use std::time::Duration;

use common::{
    endpoint_entry, run, settings, Behaviour, Client, FakeServer, Observation, RawClient,
    TestRouter,
};
use platform_support::{count_slot_calls, start_pair, CHAT};
use tokio::task::spawn_local;

/// The attempt is cancelled, and the KV state that an interrupted prefill may have left is
/// released.
#[test]
fn a_disconnect_during_prefill_releases_the_kv_state() {
    run(async {
        let (prefill, decode, router) = start_pair(Behaviour::Answer).await;
        prefill.behaviour.set(Behaviour::Hang);
        let mut client = Client::connect(router.platform).await;
        let pending = spawn_local(async move { client.send_chat("d1", "chat", 5_000).await.0 });
        prefill
            .wait_until(|seen| {
                seen.iter()
                    .any(|s| matches!(s, Observation::RequestStarted { .. }))
            })
            .await;
        pending.abort();
        prefill
            .wait_until(|seen| {
                seen.contains(&Observation::SlotReleased {
                    id: "d1".to_owned(),
                })
            })
            .await;
        while count_slot_calls(&prefill, "DELETE", "d1") + count_slot_calls(&decode, "DELETE", "d1")
            == 0
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(decode.count_started(CHAT), 0);
    });
}

/// The end of the client's stream stands behind a pipelined request: the first request is
/// cancelled, and the one behind it is never forwarded.
#[test]
fn a_disconnect_behind_a_pipelined_request_is_noticed() {
    run(async {
        let (prefill, decode, router) = start_pair(Behaviour::Answer).await;
        prefill.behaviour.set(Behaviour::Hang);
        let asks = |id: &str, body: &str| {
            format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: chat\r\n\
                 x-deadline-ms: 60000\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        // A small one that arrives with the first, and one of which the library reads a part.
        for (n, body) in ["{}".to_owned(), "x".repeat(14 * 1024)].iter().enumerate() {
            let [first, second] = ["first", "second"].map(|name| format!("{name}{n}"));
            let mut client = RawClient::connect(router.platform).await;
            client
                .send(&(asks(&first, "{}") + &asks(&second, body)))
                .await;
            prefill
                .wait_until(|seen| {
                    seen.contains(&Observation::RequestStarted {
                        path: CHAT.to_owned(),
                        id: first.clone(),
                    })
                })
                .await;
            drop(client);
            prefill
                .wait_until(|seen| seen.contains(&Observation::SlotReleased { id: first.clone() }))
                .await;
            while count_slot_calls(&prefill, "DELETE", &first)
                + count_slot_calls(&decode, "DELETE", &first)
                == 0
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        assert_eq!(
            (prefill.count_started(CHAT), decode.count_started(CHAT)),
            (2, 0)
        );
    });
}

/// Clients cannot use up file descriptors and memory, and idle connections do not keep active
/// clients out.
#[test]
fn client_connections_are_limited_and_idle_ones_are_evicted() {
    run(async {
        let (prefill, _decode, router) = start_pair(Behaviour::Answer).await;
        // 64 descriptors less 32 are shared by servers and clients, and the clients' by two
        // frontends.
        const CONNECTION_LIMIT: usize = 8;
        let mut kept = Client::connect(router.platform).await;
        assert_eq!(kept.get("/up").await.0, 200);
        let mut silent = Vec::new();
        for _ in 0..2 * CONNECTION_LIMIT {
            silent.push(RawClient::connect(router.platform).await);
        }
        let mut client = Client::connect(router.platform).await;
        assert_eq!(client.send_chat("k0", "order", 5_000).await.0, 200);
        // Requests that are being answered keep their permits: one more client waiting.
        prefill.behaviour.set(Behaviour::Hang);
        let mut pending = Vec::new();
        for n in 0..CONNECTION_LIMIT {
            let mut client = Client::connect(router.platform).await;
            pending.push(spawn_local(async move {
                client.send_chat(&format!("k{n}x"), "order", 9_000).await.0
            }));
        }
        prefill
            .wait_until(|seen| seen.len() >= CONNECTION_LIMIT)
            .await;
        let mut client = Client::connect(router.platform).await;
        let waiting = spawn_local(async move { client.get("/up").await.0 });
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(!waiting.is_finished() && pending.iter().all(|a| !a.is_finished()));
        pending.pop().unwrap().abort();
        assert_eq!(waiting.await.unwrap(), 200);
    });
}

/// Connections of clients that send nothing, or never complete a request, are closed after a
/// timeout, while others are served. An idle connection between two requests stays open.
#[test]
fn an_incomplete_request_times_out() {
    run(async {
        let (_prefill, _decode, router) = start_pair(Behaviour::Answer).await;
        let mut kept = Client::connect(router.platform).await;
        assert_eq!(kept.get("/up").await.0, 200);
        let head = format!("POST {CHAT} HTTP/1.1\r\nhost: app\r\n");
        let platform = router.platform;
        let ends = [
            (String::new(), ""),
            (head.clone(), ""),
            (
                format!("{head}content-length: 9\r\n\r\n{{"),
                "HTTP/1.1 408 ",
            ),
            (
                format!("{head}content-length: 60000000\r\n\r\n{{"),
                "HTTP/1.1 413 ",
            ),
            (format!("{head}content-length: -1\r\n\r\n"), "HTTP/1.1 400 "),
            (
                format!("{head}x-long: {}", "x".repeat(20_000)),
                "HTTP/1.1 431 ",
            ),
            ("\u{1}\u{2}\r\n\r\n".to_owned(), "HTTP/1.1 400 "),
        ]
        .map(|(text, answer)| {
            spawn_local(async move {
                let mut raw = RawClient::connect(platform).await;
                raw.send(&text).await;
                let response = raw.read_until_closed().await;
                assert!(
                    response.starts_with(answer) && response.is_empty() == answer.is_empty(),
                    "{text:?}: {response:?}"
                );
            })
        });
        for end in ends {
            end.await.unwrap();
        }
        assert_eq!(kept.get("/up").await.0, 200);
    });
}

/// Request smuggling: a request with an ambiguous length is rejected, and nothing of it or of a
/// request hidden in its body is forwarded.
#[test]
fn a_request_with_content_length_and_transfer_encoding_is_rejected() {
    run(async {
        let (prefill, _decode, router) = start_pair(Behaviour::Answer).await;
        let request = |id: &str, framing: &str| {
            format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: chat\r\n\
                x-deadline-ms: 2000\r\n{framing}\r\n"
            )
        };
        let (length, encoding) = ("content-length: 5\r\n", "transfer-encoding: chunked\r\n");
        for framing in [format!("{length}{encoding}"), format!("{encoding}{length}")] {
            let mut raw = RawClient::connect(router.platform).await;
            raw.send(&format!(
                "{}0\r\n\r\n{}",
                request("l1", &framing),
                request("l2", "")
            ))
            .await;
            let response = raw.read_until_closed().await;
            assert!(
                response.starts_with("HTTP/1.1 400 ") && !response[9..].contains("HTTP/1.1"),
                "{response}"
            );
        }
        let mut raw = RawClient::connect(router.platform).await;
        let hidden = request("l4", &format!("{encoding}{length}"));
        raw.send(&format!(
            "{}2\r\n{{}}\r\n0\r\n\r\n{hidden}0\r\n\r\n",
            request("l3", encoding)
        ))
        .await;
        let response = raw.read_until_closed().await;
        assert!(
            response.starts_with("HTTP/1.1 200 "),
            "a transfer encoding alone is valid: {response}"
        );
        assert_eq!(prefill.count_started(CHAT), 1);
    });
}

/// Requests that were accepted are answered, and idle connections are closed.
#[test]
fn a_graceful_shutdown_answers_all_accepted_requests() {
    run(async {
        let (prefill, _decode, mut router) = start_pair(Behaviour::Answer).await;
        prefill.service_time.set(Duration::from_millis(1_000));
        let mut kept = Client::connect(router.platform).await;
        assert_eq!(kept.get("/up").await.0, 200);
        let mut client = Client::connect(router.platform).await;
        let pending = spawn_local(async move { client.send_chat("f1", "order", 5_000).await });
        prefill
            .wait_until(|seen| !seen.is_empty() || prefill.count_started(CHAT) > 0)
            .await;
        router.stop.take().unwrap().send(()).unwrap();
        // Connections are still accepted for a while, but clients are asked to close them.
        while Client::connect(router.platform).await.get("/up").await.0 == 200 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let (status, headers, _) = Client::connect(router.platform)
            .await
            .send_chat("f2", "order", 5_000)
            .await;
        assert_eq!(
            (status, &headers["connection"]),
            (200, &"close".parse().unwrap())
        );
        let (status, _, body) = pending.await.unwrap();
        assert_eq!((status, body.is_some()), (200, true));
        router.stopped.await.unwrap();
        drop(kept);
    });
}

/// If streams can be migrated, one is broken off in time, so that its client resumes it at another
/// router; and no request is left unanswered.
#[test]
fn with_resumable_streams_all_requests_are_answered_before_the_shutdown_deadline() {
    run(async {
        let prefill = FakeServer::start(8, Behaviour::Prefill).await;
        let decode = FakeServer::start(8, Behaviour::StreamEndlessly).await;
        let mut set = settings();
        set["domain"]["resume"] = true.into();
        let lines = vec![
            endpoint_entry(&prefill, "reader", "up"),
            endpoint_entry(&decode, "writer", "up"),
        ];
        let mut router = TestRouter::start_with_settings(lines, set).await;
        let ask = |id: &'static str, class: &'static str| {
            let platform = router.platform;
            spawn_local(async move {
                Client::connect(platform)
                    .await
                    .send_chat(id, class, 60_000)
                    .await
            })
        };
        let streaming = ask("q1", "order");
        prefill
            .wait_until(|seen| {
                seen.contains(&Observation::SlotReleased {
                    id: "q1".to_owned(),
                })
            })
            .await;
        prefill.behaviour.set(Behaviour::Hang);
        let waiting = ask("q2", "order");
        prefill
            .wait_until(|seen| {
                seen.contains(&Observation::RequestStarted {
                    path: CHAT.to_owned(),
                    id: "q2".to_owned(),
                })
            })
            .await;
        router.stop.take().unwrap().send(()).unwrap();
        let (status, _, body) = streaming.await.unwrap();
        assert_eq!((status, body), (200, None));
        assert_eq!(
            waiting.await.unwrap().0,
            503,
            "a prefill has no effect: a retry is harmless"
        );
        router.stopped.await.unwrap();
        assert_eq!(
            count_slot_calls(&prefill, "DELETE", "q2") + count_slot_calls(&decode, "DELETE", "q2"),
            1
        );
    });
}
