//! The platform API on loopback, against fake prefill and decode servers.

mod common;
mod platform_support;

use std::time::Duration;

use common::{
    endpoint_entry, run, start_scripted_server, Behaviour, Client, FakeDiscovery, FakeServer,
    Observation, ScriptedServer, TestRouter, DONE, EVENT, FINISH,
};
use platform_support::{count_slot_calls, start_pair, CHAT};
use tokio::task::spawn_local;

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
            let router =
                TestRouter::start(vec![endpoint_entry(&prefill, "reader", "up"), decode]).await;
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
            let router =
                TestRouter::start(vec![endpoint_entry(&prefill, "reader", "up"), decode]).await;
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
        let router =
            TestRouter::start(vec![endpoint_entry(&prefill, "reader", "up"), decode]).await;
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

/// If a server refuses connections, the release is sent to another one.
#[test]
fn kv_state_is_released_though_a_server_is_down() {
    run(async {
        let prefill = FakeServer::start(8, Behaviour::Hang).await;
        let mut down = endpoint_entry(&prefill, "writer", "up");
        down["name"] = "down".into();
        down["address"] = "127.0.0.1:1".into();
        let router = TestRouter::start(vec![endpoint_entry(&prefill, "reader", "up"), down]).await;
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
        router.discovery_address.send_replace(new.address);
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
