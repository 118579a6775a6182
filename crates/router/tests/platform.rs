//! Tests of the platform API on loopback, with fake prefill and decode endpoints.

mod common;
mod platform_support;

use std::time::Duration;

use common::{
    endpoint_entry, run_test, start_scripted_server, Behaviour, Client, FakeDiscovery, FakeServer,
    Observation, ScriptedServer, TestRouter, CHAT_EVENT, DONE_EVENT, FINISH_EVENT,
};
use platform_support::{count_slot_calls, start_router_with_lane, CHAT_PATH};
use tokio::task::spawn_local;

#[test]
fn a_request_is_prefilled_and_decoded_after_a_slot_is_reserved() {
    run_test(async {
        let (prefill, decode, router) = start_router_with_lane(Behaviour::Answer).await;
        prefill.service_time.set(Duration::from_millis(30));
        let mut client = Client::connect(router.platform).await;
        // One connection serves several requests.
        for id in ["a1", "a2"] {
            let (status, headers, body) = client.send_chat(id, "order", 5_000).await;
            assert_eq!(
                (status, &headers["content-type"]),
                (200, &"text/event-stream".parse().unwrap())
            );
            assert_eq!(
                body.unwrap(),
                format!("{CHAT_EVENT}{FINISH_EVENT}{DONE_EVENT}")
            );
            assert_eq!(count_slot_calls(&decode, "POST", id), 1);
        }
        assert_eq!(
            (
                prefill.count_started(CHAT_PATH),
                decode.count_started(CHAT_PATH)
            ),
            (2, 2)
        );
    });
}

/// A request that may have been executed is not retried if its class is `unsafe`, and is retried if
/// its class is `safe`.
#[test]
fn a_connection_lost_after_the_last_byte_fails_a_non_idempotent_request() {
    run_test(async {
        let (_prefill, decode, router) = start_router_with_lane(Behaviour::CloseConnection).await;
        let mut client = Client::connect(router.platform).await;
        let (status, _, _) = client.send_chat("b1", "order", 5_000).await;
        assert_eq!((status, decode.count_started(CHAT_PATH)), (502, 1));
        let (status, _, _) = client.send_chat("b2", "chat", 5_000).await;
        assert_eq!(
            (status, decode.count_started(CHAT_PATH)),
            (503, 3),
            "two of the four permitted attempts must be prefills and two decodes"
        );
    });
}

/// When an endpoint's stream breaks off, the router closes the client's connection without the last
/// chunk, so that the client does not take the stream for complete.
#[test]
fn a_broken_stream_is_forwarded_as_broken() {
    run_test(async {
        let (_prefill, decode, router) = start_router_with_lane(Behaviour::TruncateStream).await;
        let mut client = Client::connect(router.platform).await;
        let (status, _, body) = client.send_chat("c1", "chat", 5_000).await;
        assert_eq!(
            (status, body, decode.count_started(CHAT_PATH)),
            (200, None, 1)
        );
    });
}

/// Returns the head of a chunked response, followed by these chunks.
fn chunked_response(chunks: &[&str]) -> String {
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    chunks.iter().fold(head.to_owned(), |text, chunk| {
        format!("{text}{:x}\r\n{chunk}\r\n", chunk.len())
    })
}

/// If a response becomes corrupt before its first event, a non-idempotent request fails at once: it
/// is neither retried, as it may have been executed, nor kept waiting until its deadline.
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
        run_test(async {
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

/// A stream that becomes corrupt is broken off: it is neither continued nor ended as if complete.
#[test]
fn a_stream_corrupt_after_its_first_event_is_broken_off() {
    for corrupt in [
        "zz\r\nnoise",
        "3\r\nabcdef\r\n",
        "c0000000\r\ndata: x\n\n",
        "40\r\ndata: x",
        "4",
    ] {
        run_test(async {
            let prefill = FakeServer::start(8, Behaviour::Prefill).await;
            let ScriptedServer {
                entry: decode,
                request_count,
            } = start_scripted_server(
                "writer",
                vec![chunked_response(&[CHAT_EVENT]), corrupt.to_owned()],
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

/// A valid response is forwarded despite an interim response before it, an invalid load report in
/// its head, and a surplus response after it. The surplus response is not taken for the response to
/// the next request.
#[test]
fn a_valid_response_is_forwarded_without_surplus_data() {
    run_test(async {
        let response = format!(
            "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n{}0\r\n\r\n",
            chunked_response(&[CHAT_EVENT, DONE_EVENT])
        );
        let response = response.replace("content-type", "x-load: ?=\u{fffd}\r\ncontent-type");
        let surplus = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
        let prefill = FakeServer::start(8, Behaviour::Prefill).await;
        let ScriptedServer {
            entry: decode,
            request_count,
        } = start_scripted_server("writer", vec![format!("{response}{surplus}")]).await;
        let router =
            TestRouter::start(vec![endpoint_entry(&prefill, "reader", "up"), decode]).await;
        let mut client = Client::connect(router.platform).await;
        for n in 1..4 {
            let (status, _, body) = client.send_chat(&format!("p{n}"), "order", 5_000).await;
            assert_eq!(
                (status, body.unwrap(), request_count.get()),
                (200, format!("{CHAT_EVENT}{DONE_EVENT}").into(), n)
            );
        }
    });
}

/// Idle connections that endpoints have closed are detected and not reused, and nothing is sent
/// twice.
#[test]
fn connections_lost_while_idle_are_not_reused() {
    run_test(async {
        let (prefill, decode, router) = start_router_with_lane(Behaviour::Answer).await;
        let mut client = Client::connect(router.platform).await;
        for round in 0..3 {
            let (status, _, _) = client.send_chat(&format!("e{round}"), "order", 5_000).await;
            assert_eq!(status, 200);
            prefill.close_connections();
            decode.close_connections();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(
            (
                prefill.count_started(CHAT_PATH),
                decode.count_started(CHAT_PATH)
            ),
            (3, 3)
        );
    });
}

/// A non-idempotent request is sent on a new connection, because the endpoint may have closed an
/// idle one without the router having detected it. A prefill reuses an idle connection; if the
/// endpoint has closed it, the prefill is retried at once and the endpoint is not ejected.
#[test]
fn idle_connections_closed_by_the_endpoint_fail_no_request() {
    run_test(async {
        let (prefill, decode, router) = start_router_with_lane(Behaviour::Answer).await;
        prefill.drops_reused_connections.set(true);
        decode.drops_reused_connections.set(true);
        let mut client = Client::connect(router.platform).await;
        for round in 0..4 {
            let (status, ..) = client.send_chat(&format!("r{round}"), "order", 400).await;
            assert_eq!(status, 200, "round {round}");
            // The router reuses a connection only after it has been idle for 30 ms.
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        assert_eq!(
            (
                prefill.count_started(CHAT_PATH),
                decode.count_started(CHAT_PATH)
            ),
            (4, 4)
        );
    });
}

/// If an endpoint refuses connections, the release of KV state is sent to another endpoint.
#[test]
fn kv_state_is_released_though_an_endpoint_is_down() {
    run_test(async {
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
                        path: CHAT_PATH.to_owned(),
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

/// When the connection to discovery breaks, the router watches the list again, and soon knows that
/// an endpoint has become draining.
#[test]
fn the_endpoint_list_is_watched_again_after_a_broken_connection() {
    run_test(async {
        let (prefill, decode, router) = start_router_with_lane(Behaviour::Answer).await;
        let other_endpoint = FakeServer::start(8, Behaviour::Answer).await;
        router.discovery.close_connections();
        router.discovery.publish(vec![
            endpoint_entry(&prefill, "reader", "up"),
            endpoint_entry(&decode, "writer", "draining"),
            endpoint_entry(&other_endpoint, "writer", "up"),
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
            (
                decode.count_started(CHAT_PATH),
                other_endpoint.count_started(CHAT_PATH)
            ),
            (0, 3)
        );
    });
}

/// When the address of discovery changes, the router watches the list at the new address, even if
/// its watch at the old address hangs, and even if the new list has a lower version than the old.
#[test]
fn the_endpoint_list_is_watched_at_a_new_address() {
    run_test(async {
        let (prefill, decode, router) = start_router_with_lane(Behaviour::Answer).await;
        let other_endpoint = FakeServer::start(8, Behaviour::Answer).await;
        for _ in 0..5 {
            router.discovery.publish(vec![
                endpoint_entry(&prefill, "reader", "up"),
                endpoint_entry(&decode, "writer", "up"),
            ]);
        }
        router.discovery.ignores_watches.set(true);
        let entries = |status| {
            vec![
                endpoint_entry(&prefill, "reader", "up"),
                endpoint_entry(&other_endpoint, "writer", status),
            ]
        };
        let new = FakeDiscovery::start(entries("draining")).await;
        router.discovery_address.send_replace(new.address);
        let mut client = Client::connect(router.platform).await;
        // The new list is a snapshot: the old decode endpoint is removed, and the new one is
        // draining, so that no request is served until its status is `up`.
        while client.send_chat("j0", "chat", 200).await.0 == 200 {}
        let started_before = decode.count_started(CHAT_PATH);
        new.publish(entries("up"));
        let (status, ..) = client.send_chat("j1", "order", 5_000).await;
        assert_eq!(
            (
                status,
                decode.count_started(CHAT_PATH) - started_before,
                other_endpoint.count_started(CHAT_PATH)
            ),
            (200, 0, 1)
        );
    });
}

/// A request with the id of an open request is rejected by both APIs: endpoints identify KV state
/// by request id, so that the end of one request would release the state of the other.
#[test]
fn the_id_of_an_open_request_cannot_be_reused() {
    run_test(async {
        let (prefill, decode, router) = start_router_with_lane(Behaviour::Answer).await;
        decode.behaviour.set(Behaviour::Hang);
        let mut client = Client::connect(router.platform).await;
        let pending = spawn_local(async move { client.send_chat("m1", "order", 9_000).await.0 });
        decode
            .wait_until(|seen| {
                seen.iter()
                    .any(|observation| matches!(observation, Observation::RequestStarted { .. }))
            })
            .await;
        let mut other_client = Client::connect(router.platform).await;
        assert_eq!(other_client.send_chat("m1", "chat", 9_000).await.0, 409);
        let body =
            serde_json::json!({"model": "m", "messages": [{"role": "user", "content": "x"}]});
        let duplicate = http::Request::post(CHAT_PATH)
            .header("host", "app")
            .header("x-request-id", "m1");
        let duplicate = duplicate.body(body.to_string().into()).unwrap();
        assert_eq!(
            Client::connect(router.inference)
                .await
                .send(duplicate)
                .await
                .0,
            409
        );
        assert!(!pending.is_finished());
        assert_eq!(
            (
                prefill.count_started(CHAT_PATH),
                decode.count_started(CHAT_PATH),
                count_slot_calls(&decode, "DELETE", "m1")
            ),
            (1, 1, 0)
        );
    });
}

#[test]
fn invalid_requests_get_an_error_that_names_the_problem() {
    run_test(async {
        let (_prefill, _decode, router) = start_router_with_lane(Behaviour::Answer).await;
        let mut client = Client::connect(router.platform).await;
        assert_eq!(client.get("/nowhere").await.0, 404);
        assert_eq!(client.get(CHAT_PATH).await.0, 405);
        let (status, _, body) = client.send_chat("g1", "unheard-of", 5_000).await;
        let long = http::Request::post(CHAT_PATH)
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
