//! The platform API on loopback, against fake prefill and decode servers.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{
    endpoint_entry, run, settings, start_scripted_server, Bed, Behaviour, Client, FakeDiscovery,
    FakeServer, Observation, RawClient, ScriptedServer, DONE, EVENT, FINISH,
};
use tokio::task::spawn_local;

const CHAT: &str = "/v1/chat/completions";

async fn start_pair(decode_behaviour: Behaviour) -> (Rc<FakeServer>, Rc<FakeServer>, Bed) {
    let prefill = FakeServer::start(8, Behaviour::Prefill).await;
    let decode = FakeServer::start(8, decode_behaviour).await;
    let router = Bed::start(vec![
        endpoint_entry(&prefill, "reader", "up"),
        endpoint_entry(&decode, "writer", "up"),
    ])
    .await;
    (prefill, decode, router)
}

fn count_slot_calls(server: &FakeServer, method: &str, id: &str) -> usize {
    server
        .observations
        .borrow()
        .iter()
        .filter(|s| {
            **s == Observation::SlotCall {
                method: method.to_owned(),
                id: id.to_owned(),
            }
        })
        .count()
}

#[test]
fn a_request_is_prefilled_and_decoded_after_a_slot_is_reserved() {
    run(async {
        let (prefill, decode, router) = start_pair(Behaviour::Answer).await;
        prefill.service_time.set(Duration::from_millis(30));
        let mut client = Client::connect(router.platform).await;
        // One connection serves several requests.
        for id in ["a1", "a2"] {
            let (status, headers, body) = client.send_chat(id, "order", 5_000).await;
            assert_eq!(
                (status, &headers["content-type"]),
                (200, &"text/event-stream".parse().unwrap())
            );
            assert_eq!(body.unwrap(), format!("{EVENT}{FINISH}{DONE}"));
            assert_eq!(count_slot_calls(&decode, "POST", id), 1);
        }
        assert_eq!(
            (prefill.count_started(CHAT), decode.count_started(CHAT)),
            (2, 2)
        );
    });
}

/// A request that may have been executed is not retried for an `unsafe` class, and is for a `safe`
/// one.
#[test]
fn a_connection_lost_after_the_last_byte_fails_a_non_idempotent_request() {
    run(async {
        let (_prefill, decode, router) = start_pair(Behaviour::CloseConnection).await;
        let mut client = Client::connect(router.platform).await;
        let (status, _, _) = client.send_chat("b1", "order", 5_000).await;
        assert_eq!((status, decode.count_started(CHAT)), (502, 1));
        let (status, _, _) = client.send_chat("b2", "chat", 5_000).await;
        assert_eq!(
            (status, decode.count_started(CHAT)),
            (503, 3),
            "four attempts are two prefills and two decodes"
        );
    });
}

/// The client's connection ends without the last chunk, so that the stream does not look complete.
#[test]
fn a_broken_stream_is_forwarded_as_broken() {
    run(async {
        let (_prefill, decode, router) = start_pair(Behaviour::TruncateStream).await;
        let mut client = Client::connect(router.platform).await;
        let (status, _, body) = client.send_chat("c1", "chat", 5_000).await;
        assert_eq!((status, body, decode.count_started(CHAT)), (200, None, 1));
    });
}

/// The head of a chunked response, and chunks of its body.
fn chunked_response(chunks: &[&str]) -> String {
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    chunks.iter().fold(head.to_owned(), |text, chunk| {
        format!("{text}{:x}\r\n{chunk}\r\n", chunk.len())
    })
}

/// A non-idempotent request with a corrupt response head fails at once: it is neither retried, as
/// it has been executed, nor kept until its deadline.
#[test]
fn a_response_corrupt_before_its_first_event_may_have_been_executed() {
    for script in [
        "\u{1}\u{2}noise\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nx-load: TEXT x0=".to_owned(),
        format!("HTTP/1.1 200 OK\r\nx-long: {}", "x".repeat(100_000)),
        format!("{}zz\r\n", chunked_response(&[])),
        format!("{}c0000000\r\n", chunked_response(&[])),
        format!("{}40\r\ndata: ", chunked_response(&[])),
    ] {
        run(async {
            let prefill = FakeServer::start(8, Behaviour::Prefill).await;
            let ScriptedServer {
                entry: decode,
                request_count,
            } = start_scripted_server("writer", vec![script.clone()]).await;
            let router = Bed::start(vec![endpoint_entry(&prefill, "reader", "up"), decode]).await;
            let mut client = Client::connect(router.platform).await;
            let (status, ..) = client.send_chat("n1", "order", 60_000).await;
            assert_eq!((status, request_count.get()), (502, 1), "{script:.60?}");
        });
    }
}

/// A stream that becomes corrupt neither goes on nor ends as if it were complete.
#[test]
fn a_stream_corrupt_after_its_first_event_is_broken_off() {
    for corrupt in [
        "zz\r\nnoise",
        "3\r\nabcdef\r\n",
        "c0000000\r\ndata: x\n\n",
        "40\r\ndata: x",
        "4",
    ] {
        run(async {
            let prefill = FakeServer::start(8, Behaviour::Prefill).await;
            let ScriptedServer {
                entry: decode,
                request_count,
            } = start_scripted_server(
                "writer",
                vec![chunked_response(&[EVENT]), corrupt.to_owned()],
            )
            .await;
            let router = Bed::start(vec![endpoint_entry(&prefill, "reader", "up"), decode]).await;
            let mut client = Client::connect(router.platform).await;
            let (status, _, body) = client.send_chat("o1", "chat", 60_000).await;
            assert_eq!(
                (status, body, request_count.get()),
                (200, None, 1),
                "{corrupt:?}"
            );
        });
    }
}

/// Neither is a valid response lost for the sake of what surrounds it, nor is a second response
/// after it taken for that of the next request.
#[test]
fn a_valid_response_is_forwarded_without_surplus_data() {
    run(async {
        let answer = format!(
            "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n{}0\r\n\r\n",
            chunked_response(&[EVENT, DONE])
        );
        let answer = answer.replace("content-type", "x-load: ?=\u{fffd}\r\ncontent-type");
        let behind = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
        let prefill = FakeServer::start(8, Behaviour::Prefill).await;
        let ScriptedServer {
            entry: decode,
            request_count,
        } = start_scripted_server("writer", vec![format!("{answer}{behind}")]).await;
        let router = Bed::start(vec![endpoint_entry(&prefill, "reader", "up"), decode]).await;
        let mut client = Client::connect(router.platform).await;
        for n in 1..4 {
            let (status, _, body) = client.send_chat(&format!("p{n}"), "order", 5_000).await;
            assert_eq!(
                (status, body.unwrap(), request_count.get()),
                (200, format!("{EVENT}{DONE}").into(), n)
            );
        }
    });
}

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

/// Idle connections whose servers have died are noticed, and nothing is sent twice.
#[test]
fn connections_lost_while_idle_are_not_reused() {
    run(async {
        let (prefill, decode, router) = start_pair(Behaviour::Answer).await;
        let mut client = Client::connect(router.platform).await;
        for round in 0..3 {
            let (status, _, _) = client.send_chat(&format!("e{round}"), "order", 5_000).await;
            assert_eq!(status, 200);
            prefill.close_connections();
            decode.close_connections();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(
            (prefill.count_started(CHAT), decode.count_started(CHAT)),
            (3, 3)
        );
    });
}

/// A non-idempotent request uses a new connection, as its server may have closed an idle one
/// unnoticed. A prefill uses an idle one and is retried at once: its server is not ejected for
/// that.
#[test]
fn idle_connections_closed_by_the_server_fail_no_request() {
    run(async {
        let (prefill, decode, router) = start_pair(Behaviour::Answer).await;
        prefill.drops_reused_connections.set(true);
        decode.drops_reused_connections.set(true);
        let mut client = Client::connect(router.platform).await;
        for round in 0..4 {
            let (status, ..) = client.send_chat(&format!("r{round}"), "order", 400).await;
            assert_eq!(status, 200, "round {round}");
            // A connection is idle for 30 ms before it is reused.
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        assert_eq!(
            (prefill.count_started(CHAT), decode.count_started(CHAT)),
            (4, 4)
        );
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
        let mut router = Bed::start_set(lines, None, set).await;
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

/// If a server refuses connections, the release is sent to another one.
#[test]
fn kv_state_is_released_though_a_server_is_down() {
    run(async {
        let prefill = FakeServer::start(8, Behaviour::Hang).await;
        let mut down = endpoint_entry(&prefill, "writer", "up");
        down["name"] = "down".into();
        down["address"] = "127.0.0.1:1".into();
        let router = Bed::start(vec![endpoint_entry(&prefill, "reader", "up"), down]).await;
        for n in 0..4 {
            let id = format!("h{n}");
            let mut client = Client::connect(router.platform).await;
            let pending = spawn_local({
                let id = id.clone();
                async move { client.send_chat(&id, "chat", 5_000).await.0 }
            });
            prefill
                .wait_until(|seen| {
                    seen.contains(&Observation::RequestStarted {
                        path: CHAT.to_owned(),
                        id: id.clone(),
                    })
                })
                .await;
            pending.abort();
            prefill
                .wait_until(|seen| {
                    seen.contains(&Observation::SlotCall {
                        method: "DELETE".to_owned(),
                        id: id.clone(),
                    })
                })
                .await;
        }
    });
}

/// After its connection broke, the list is watched again: a draining server is known soon after.
#[test]
fn the_endpoint_list_is_watched_again_after_a_broken_connection() {
    run(async {
        let (prefill, decode, router) = start_pair(Behaviour::Answer).await;
        let other = FakeServer::start(8, Behaviour::Answer).await;
        router.discovery.close_connections();
        router.discovery.publish(vec![
            endpoint_entry(&prefill, "reader", "up"),
            endpoint_entry(&decode, "writer", "draining"),
            endpoint_entry(&other, "writer", "up"),
        ]);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let mut client = Client::connect(router.platform).await;
        for n in 0..3 {
            assert_eq!(
                client.send_chat(&format!("i{n}"), "order", 5_000).await.0,
                200
            );
        }
        assert_eq!(
            (decode.count_started(CHAT), other.count_started(CHAT)),
            (0, 3)
        );
    });
}

/// The new address is watched although the watch of the old one hangs, and although the versions
/// there do not continue the old ones.
#[test]
fn the_endpoint_list_is_watched_at_a_new_address() {
    run(async {
        let (prefill, decode, router) = start_pair(Behaviour::Answer).await;
        let other = FakeServer::start(8, Behaviour::Answer).await;
        for _ in 0..5 {
            router.discovery.publish(vec![
                endpoint_entry(&prefill, "reader", "up"),
                endpoint_entry(&decode, "writer", "up"),
            ]);
        }
        router.discovery.silent.set(true);
        let lines = |status| {
            vec![
                endpoint_entry(&prefill, "reader", "up"),
                endpoint_entry(&other, "writer", status),
            ]
        };
        let new = FakeDiscovery::start(lines("draining")).await;
        router.moves.send_replace(new.address);
        let mut client = Client::connect(router.platform).await;
        // The list is a snapshot: none of its decode servers is active, and the old ones are
        // removed.
        while client.send_chat("j0", "chat", 200).await.0 == 200 {}
        let before = decode.count_started(CHAT);
        new.publish(lines("up"));
        let (status, ..) = client.send_chat("j1", "order", 5_000).await;
        assert_eq!(
            (
                status,
                decode.count_started(CHAT) - before,
                other.count_started(CHAT)
            ),
            (200, 0, 1)
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

/// With two requests under one id, the state of one would be released for the other.
#[test]
fn the_id_of_an_open_request_cannot_be_reused() {
    run(async {
        let (prefill, decode, router) = start_pair(Behaviour::Answer).await;
        decode.behaviour.set(Behaviour::Hang);
        let mut client = Client::connect(router.platform).await;
        let pending = spawn_local(async move { client.send_chat("m1", "order", 9_000).await.0 });
        decode
            .wait_until(|seen| {
                seen.iter()
                    .any(|s| matches!(s, Observation::RequestStarted { .. }))
            })
            .await;
        let mut other = Client::connect(router.platform).await;
        assert_eq!(other.send_chat("m1", "chat", 9_000).await.0, 409);
        let body =
            serde_json::json!({"model": "m", "messages": [{"role": "user", "content": "x"}]});
        let again = http::Request::post(CHAT)
            .header("host", "app")
            .header("x-request-id", "m1");
        let again = again.body(body.to_string().into()).unwrap();
        assert_eq!(
            Client::connect(router.inference).await.send(again).await.0,
            409
        );
        assert!(!pending.is_finished());
        assert_eq!(
            (
                prefill.count_started(CHAT),
                decode.count_started(CHAT),
                count_slot_calls(&decode, "DELETE", "m1")
            ),
            (1, 1, 0)
        );
    });
}

#[test]
fn invalid_requests_get_a_clear_error() {
    run(async {
        let (_prefill, _decode, router) = start_pair(Behaviour::Answer).await;
        let mut client = Client::connect(router.platform).await;
        assert_eq!(client.get("/nowhere").await.0, 404);
        assert_eq!(client.get(CHAT).await.0, 405);
        let (status, _, body) = client.send_chat("g1", "unheard-of", 5_000).await;
        let long = http::Request::post(CHAT)
            .header("host", "app")
            .body("x".repeat(300_000).into())
            .unwrap();
        assert_eq!(
            Client::connect(router.platform).await.send(long).await.0,
            413
        );
        assert_eq!(
            (status, body.unwrap()),
            (400, "the class \"unheard-of\" is not known\n".into())
        );
    });
}
