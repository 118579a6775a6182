//! Limits, timeouts and disconnects of client connections, and the graceful shutdown, on loopback.

mod common;
mod platform_support;

use std::time::{Duration, Instant};

use common::{
    endpoint_entry, run_test, test_settings, Behaviour, Client, FakeServer, Observation, RawClient,
    TestRouter,
};
use platform_support::{count_slot_calls, start_router_with_lane, CHAT_PATH};
use tokio::task::spawn_local;

/// When a client disconnects during a prefill, the attempt is cancelled, and the KV state that the
/// interrupted prefill may have left is released.
#[test]
fn a_disconnect_during_prefill_releases_the_kv_state() {
    run_test(async {
        let (prefill, decode, router) = start_router_with_lane(Behaviour::Answer).await;
        prefill.behaviour.set(Behaviour::Hang);
        let mut client = Client::connect(router.platform).await;
        let pending = spawn_local(async move { client.send_chat("d1", "chat", 5_000).await.0 });
        prefill
            .wait_until(|seen| {
                seen.iter()
                    .any(|observation| matches!(observation, Observation::RequestStarted { .. }))
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
        assert_eq!(decode.count_started(CHAT_PATH), 0);
    });
}

/// A client disconnects after it has sent a pipelined second request: the router must detect the
/// disconnect behind unread bytes, cancel the first request, and never forward the second.
#[test]
fn a_disconnect_behind_a_pipelined_request_is_detected() {
    run_test(async {
        let (prefill, decode, router) = start_router_with_lane(Behaviour::Answer).await;
        prefill.behaviour.set(Behaviour::Hang);
        let chat_request = |id: &str, body: &str| {
            format!(
                "POST {CHAT_PATH} HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: chat\r\n\
                 x-deadline-ms: 60000\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        // A small second request that arrives with the first, and a large one, of which the HTTP
        // library reads only a part.
        for (n, body) in ["{}".to_owned(), "x".repeat(14 * 1024)].iter().enumerate() {
            let [first, second] = ["first", "second"].map(|name| format!("{name}{n}"));
            let mut client = RawClient::connect(router.platform).await;
            client
                .send(&(chat_request(&first, "{}") + &chat_request(&second, body)))
                .await;
            prefill
                .wait_until(|seen| {
                    seen.contains(&Observation::RequestStarted {
                        path: CHAT_PATH.to_owned(),
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
            (
                prefill.count_started(CHAT_PATH),
                decode.count_started(CHAT_PATH)
            ),
            (2, 0)
        );
    });
}

/// The number of client connections is limited, which bounds file descriptors and memory. Idle
/// connections are evicted, so that they do not keep active clients out. Guards against requests
/// that wait unread until their time is over: clients may use all connections on one frontend, and
/// beyond the limit they are rejected at once.
#[test]
fn client_connections_are_limited_and_idle_ones_are_evicted() {
    run_test(async {
        let (prefill, _decode, router) = start_router_with_lane(Behaviour::Answer).await;
        // Of 64 descriptors, 32 are reserved. Half of the rest is for clients. The other frontend
        // holds one of these for the next client that it accepts.
        const CONNECTION_LIMIT: usize = 15;
        let mut idle_client = Client::connect(router.platform).await;
        assert_eq!(idle_client.get("/up").await.0, 200);
        let mut silent_clients = Vec::new();
        for _ in 0..2 * CONNECTION_LIMIT {
            silent_clients.push(RawClient::connect(router.platform).await);
        }
        let mut client = Client::connect(router.platform).await;
        assert_eq!(client.send_chat("k0", "order", 5_000).await.0, 200);
        // Connections whose requests are being answered keep their permits, so that one more request
        // is rejected. It is not read much later, when its time may be over.
        prefill.behaviour.set(Behaviour::Hang);
        let mut pending_requests = Vec::new();
        for n in 0..CONNECTION_LIMIT {
            let mut client = Client::connect(router.platform).await;
            pending_requests.push(spawn_local(async move {
                client.send_chat(&format!("k{n}x"), "order", 9_000).await.0
            }));
        }
        prefill
            .wait_until(|seen| seen.len() >= CONNECTION_LIMIT)
            .await;
        for n in 0..3 * CONNECTION_LIMIT {
            let sent_at = Instant::now();
            let mut client = Client::connect(router.platform).await;
            let (status, headers, _) = client.send_chat(&format!("x{n}"), "order", 5_000).await;
            assert_eq!(status, 503, "x{n} after {:?}", sent_at.elapsed());
            assert_eq!(headers["connection"], "close");
            assert!(sent_at.elapsed() < Duration::from_millis(600));
        }
        // The router is ready all the same.
        let mut client = Client::connect(router.platform).await;
        assert_eq!(client.get("/up").await.0, 200);
        assert!(pending_requests.iter().all(|task| !task.is_finished()));
        pending_requests.pop().unwrap().abort();
        prefill.behaviour.set(Behaviour::Prefill);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut client = Client::connect(router.platform).await;
        assert_eq!(client.send_chat("k1", "order", 5_000).await.0, 200);
    });
}

/// The router closes a connection after a timeout if no request or only a part of one arrives, and
/// at once if the request is invalid. An idle connection between two requests stays open.
#[test]
fn incomplete_and_invalid_requests_close_the_connection() {
    run_test(async {
        let (_prefill, _decode, router) = start_router_with_lane(Behaviour::Answer).await;
        let mut idle_client = Client::connect(router.platform).await;
        assert_eq!(idle_client.get("/up").await.0, 200);
        let head = format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: app\r\n");
        let platform = router.platform;
        let checks = [
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
        .map(|(text, expected_start)| {
            spawn_local(async move {
                let mut raw_client = RawClient::connect(platform).await;
                raw_client.send(&text).await;
                let response = raw_client.read_until_closed().await;
                assert!(
                    response.starts_with(expected_start)
                        && response.is_empty() == expected_start.is_empty(),
                    "{text:?}: {response:?}"
                );
            })
        });
        for check in checks {
            check.await.unwrap();
        }
        assert_eq!(idle_client.get("/up").await.0, 200);
    });
}

/// Request smuggling: a request with both `Content-Length` and `Transfer-Encoding` is rejected, and
/// neither the request nor one hidden in its body is forwarded.
#[test]
fn a_request_with_content_length_and_transfer_encoding_is_rejected() {
    run_test(async {
        let (prefill, _decode, router) = start_router_with_lane(Behaviour::Answer).await;
        let request = |id: &str, framing: &str| {
            format!(
                "POST {CHAT_PATH} HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: chat\r\n\
                x-deadline-ms: 2000\r\n{framing}\r\n"
            )
        };
        let (length, encoding) = ("content-length: 5\r\n", "transfer-encoding: chunked\r\n");
        for framing in [format!("{length}{encoding}"), format!("{encoding}{length}")] {
            let mut raw_client = RawClient::connect(router.platform).await;
            raw_client
                .send(&format!(
                    "{}0\r\n\r\n{}",
                    request("l1", &framing),
                    request("l2", "")
                ))
                .await;
            let response = raw_client.read_until_closed().await;
            assert!(
                response.starts_with("HTTP/1.1 400 ") && !response[9..].contains("HTTP/1.1"),
                "{response}"
            );
        }
        let mut raw_client = RawClient::connect(router.platform).await;
        let hidden = request("l4", &format!("{encoding}{length}"));
        raw_client
            .send(&format!(
                "{}2\r\n{{}}\r\n0\r\n\r\n{hidden}0\r\n\r\n",
                request("l3", encoding)
            ))
            .await;
        let response = raw_client.read_until_closed().await;
        assert!(
            response.starts_with("HTTP/1.1 200 "),
            "a request with `Transfer-Encoding` alone must be served, got {response}"
        );
        assert_eq!(prefill.count_started(CHAT_PATH), 1);
    });
}

/// During a graceful shutdown, accepted requests are answered, and idle connections are closed.
#[test]
fn a_graceful_shutdown_answers_all_accepted_requests() {
    run_test(async {
        let (prefill, _decode, mut router) = start_router_with_lane(Behaviour::Answer).await;
        prefill.service_time.set(Duration::from_millis(1_000));
        let mut idle_client = Client::connect(router.platform).await;
        assert_eq!(idle_client.get("/up").await.0, 200);
        let mut client = Client::connect(router.platform).await;
        let pending = spawn_local(async move { client.send_chat("f1", "order", 5_000).await });
        prefill
            .wait_until(|seen| !seen.is_empty() || prefill.count_started(CHAT_PATH) > 0)
            .await;
        router.shutdown_sender.take().unwrap().send(()).unwrap();
        // The router still accepts connections for a while, but asks clients to close them.
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
        drop(idle_client);
    });
}

/// With resumable streams, the router ends an endless stream early enough before the shutdown for
/// its client to resume it at another router, and gives all other requests a final response.
#[test]
fn with_resumable_streams_all_requests_are_answered_before_the_shutdown_deadline() {
    run_test(async {
        let prefill = FakeServer::start(8, Behaviour::Prefill).await;
        let decode = FakeServer::start(8, Behaviour::StreamEndlessly).await;
        let mut site_settings = test_settings();
        site_settings["domain"]["resume"] = true.into();
        let entries = vec![
            endpoint_entry(&prefill, "reader", "up"),
            endpoint_entry(&decode, "writer", "up"),
        ];
        let mut router = TestRouter::start_with_settings(entries, site_settings).await;
        let start_chat = |id: &'static str, class: &'static str| {
            let platform = router.platform;
            spawn_local(async move {
                Client::connect(platform)
                    .await
                    .send_chat(id, class, 60_000)
                    .await
            })
        };
        let streaming = start_chat("q1", "order");
        prefill
            .wait_until(|seen| {
                seen.contains(&Observation::SlotReleased {
                    id: "q1".to_owned(),
                })
            })
            .await;
        prefill.behaviour.set(Behaviour::Hang);
        let waiting_request = start_chat("q2", "order");
        prefill
            .wait_until(|seen| {
                seen.contains(&Observation::RequestStarted {
                    path: CHAT_PATH.to_owned(),
                    id: "q2".to_owned(),
                })
            })
            .await;
        router.shutdown_sender.take().unwrap().send(()).unwrap();
        let (status, _, body) = streaming.await.unwrap();
        assert_eq!((status, body), (200, None));
        assert_eq!(
            waiting_request.await.unwrap().0,
            503,
            "a request that was only in prefill must be rejected, as a retry is harmless"
        );
        router.stopped.await.unwrap();
        assert_eq!(
            count_slot_calls(&prefill, "DELETE", "q2") + count_slot_calls(&decode, "DELETE", "q2"),
            1
        );
    });
}
