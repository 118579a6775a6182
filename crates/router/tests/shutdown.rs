//! Requests and streams that cross the phases of a graceful shutdown.

mod common;
#[path = "platform_support/mod.rs"]
mod platform_support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{
    encode_chunk, endpoint_entry, run_test_with_paused_clock, test_settings, Behaviour,
    ConnectionEnd, FakeServer, ManualConnection, ManualServer, Observation, TestRouter, CHAT_EVENT,
    DONE_EVENT, LAST_CHUNK, STREAM_HEAD,
};
use cranetack_router::shutdown::ACCEPT_WINDOW;
use platform_support::{chat_request, CHAT_BODY};
use serde_json::Value;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const CHAT_PATH: &str = "/v1/chat/completions";
/// Time between the end of the accept window and an event shortly before or after it.
const MARGIN: Duration = Duration::from_millis(300);

/// The two APIs of a router.
#[derive(Debug, Clone, Copy)]
enum Api {
    Platform,
    Inference,
}

impl Api {
    fn address(self, router: &TestRouter) -> SocketAddr {
        match self {
            Api::Platform => router.platform,
            Api::Inference => router.inference,
        }
    }
}

/// Starts a server and a router, with or without streams that clients of the platform API can
/// resume.
async fn start_router(behaviour: Behaviour, resume: bool) -> (Rc<FakeServer>, TestRouter) {
    let mut settings = test_settings();
    settings["domain"]["resume"] = resume.into();
    start_router_with_settings(behaviour, settings).await
}

async fn start_router_with_settings(
    behaviour: Behaviour,
    settings: Value,
) -> (Rc<FakeServer>, TestRouter) {
    let server = FakeServer::start(8, behaviour).await;
    let entries = vec![endpoint_entry(&server, "mixed", "up")];
    let router = TestRouter::start_with_settings(entries, settings).await;
    (server, router)
}

/// Sends the head and half of the body of a chat request, starts the shutdown, and sends the rest of
/// the body after `delay`. Returns what the client received, and how its connection ended. The rest
/// of the body is sent in any case, as a client does that reads only afterwards.
async fn send_across_shutdown(
    router: &mut TestRouter,
    api: Api,
    headers: &str,
    delay: Duration,
) -> (String, ConnectionEnd) {
    let request = chat_request("s1", headers, CHAT_BODY);
    let (begin, rest) = request.split_at(request.len() - CHAT_BODY.len() / 2);
    let mut client = ManualConnection::connect(api.address(router)).await;
    client.send(begin).await;
    router.shutdown_sender.take().unwrap().send(()).unwrap();
    sleep(delay).await;
    let mut sender = client.sender();
    sender.send_until_closed(rest).await;
    client.read_to_end().await
}

/// Guards against a request that is accepted after the window, so that SIGKILL cuts off its response.
#[test]
fn a_request_whose_body_ends_after_the_accept_window_is_rejected_and_not_executed() {
    for api in [Api::Platform, Api::Inference] {
        for resume in [false, true] {
            for headers in ["", "expect: 100-continue\r\n"] {
                run_test_with_paused_clock(async {
                    let (server, mut router) = start_router(Behaviour::Answer, resume).await;
                    let (received, end) =
                        send_across_shutdown(&mut router, api, headers, ACCEPT_WINDOW + MARGIN)
                            .await;
                    let case = format!("{api:?}, resume: {resume}, {headers:?}: {received:?}");
                    let response = received.trim_start_matches("HTTP/1.1 100 Continue\r\n\r\n");
                    assert!(response.starts_with("HTTP/1.1 503 "), "{case}");
                    assert!(response.contains("connection: close\r\n"), "{case}");
                    assert_eq!(end, ConnectionEnd::Closed, "{case}");
                    assert_eq!(server.count_started(CHAT_PATH), 0, "{case}");
                    router.stopped.await.unwrap();
                });
            }
        }
    }
}

/// Guards against a rejection of a slow request that is complete before the accept window ends.
#[test]
fn a_request_whose_body_ends_within_the_accept_window_is_served() {
    for api in [Api::Platform, Api::Inference] {
        for resume in [false, true] {
            run_test_with_paused_clock(async {
                let (server, mut router) = start_router(Behaviour::Answer, resume).await;
                let (received, _) =
                    send_across_shutdown(&mut router, api, "", ACCEPT_WINDOW - MARGIN).await;
                let case = format!("{api:?}, resume: {resume}: {received:?}");
                assert!(received.starts_with("HTTP/1.1 200 "), "{case}");
                assert!(received.ends_with(LAST_CHUNK), "{case}");
                assert_eq!(server.count_started(CHAT_PATH), 1, "{case}");
                router.stopped.await.unwrap();
            });
        }
    }
}

/// Guards against a reset of a client that still sends the body of a rejected request.
#[test]
fn a_rejected_body_may_be_sent_to_its_end_after_the_accept_window() {
    const BODY_LIMIT: usize = 256 * 1024;
    for (length, status) in [(BODY_LIMIT, "503"), (BODY_LIMIT + 1, "413")] {
        run_test_with_paused_clock(async {
            let (_server, mut router) = start_router(Behaviour::Answer, false).await;
            let request = chat_request("s3", "", &"x".repeat(length));
            let (begin, rest) = request.split_at(request.len() - length);
            let mut client = ManualConnection::connect(router.platform).await;
            client.send(begin).await;
            router.shutdown_sender.take().unwrap().send(()).unwrap();
            client.read_until(&format!("HTTP/1.1 {status} ")).await;
            sleep(ACCEPT_WINDOW + MARGIN).await;
            // The first write after a close succeeds and causes a reset, which fails the second one.
            let (first_half, second_half) = rest.split_at(length / 2);
            client.send(first_half).await;
            sleep(MARGIN / 3).await;
            client.send(second_half).await;
            let (_, end) = client.read_to_end().await;
            assert_eq!(end, ConnectionEnd::Closed);
            router.stopped.await.unwrap();
        });
    }
}

/// Guards against a request that is read while a response streams and then gets no response.
#[test]
fn a_request_that_was_read_behind_a_stream_is_rejected_after_the_accept_window() {
    run_test_with_paused_clock(async {
        let server = ManualServer::start().await;
        let mut settings = test_settings();
        settings["domain"]["ahead"] = false.into();
        let entries = vec![server.endpoint_entry("mixed", "up")];
        let mut router = TestRouter::start_with_settings(entries, settings).await;
        let mut client = ManualConnection::connect(router.platform).await;
        client.send(&chat_request("s4", "", CHAT_BODY)).await;
        let (mut attempt, _) = server.accept_request().await;
        let begin = format!("{STREAM_HEAD}{}", encode_chunk(CHAT_EVENT));
        attempt.send(&begin).await;
        client.read_until(CHAT_EVENT).await;
        router.shutdown_sender.take().unwrap().send(()).unwrap();
        sleep(ACCEPT_WINDOW + MARGIN).await;
        attempt.send(&encode_chunk(DONE_EVENT)).await;
        client.read_until(DONE_EVENT).await;
        client.send(&chat_request("s5", "", CHAT_BODY)).await;
        sleep(MARGIN).await;
        attempt.send(LAST_CHUNK).await;
        client.read_until(LAST_CHUNK).await;
        let (received, end) = client.read_to_end().await;
        assert!(received.starts_with("HTTP/1.1 503 "), "{received:?}");
        assert_eq!(end, ConnectionEnd::Closed);
        router.stopped.await.unwrap();
    });
}

/// Guards against a request that waits in the accept queue and is reset with the listener.
#[test]
fn a_request_in_the_accept_queue_at_the_end_of_the_accept_window_is_rejected() {
    /// Of 64 descriptors, 32 are reserved. Half of the rest is for clients. The other frontend holds
    /// one of these for the next client that it accepts.
    const CONNECTION_LIMIT: usize = 15;
    for api in [Api::Platform, Api::Inference] {
        run_test_with_paused_clock(async {
            let servers = [
                FakeServer::start(8, Behaviour::Hang).await,
                FakeServer::start(8, Behaviour::Hang).await,
            ];
            let entries = servers
                .iter()
                .map(|server| endpoint_entry(server, "mixed", "up"));
            let mut router = TestRouter::start(entries.collect()).await;
            let count_started = || -> usize {
                servers
                    .iter()
                    .map(|server| server.count_started(CHAT_PATH))
                    .sum()
            };
            let mut clients = Vec::new();
            for number in 0..=CONNECTION_LIMIT {
                let mut client = ManualConnection::connect(api.address(&router)).await;
                let request = chat_request(&format!("s{number}"), "", CHAT_BODY);
                client.send(&request).await;
                clients.push(client);
            }
            while count_started() < CONNECTION_LIMIT {
                sleep(Duration::from_millis(1)).await;
            }
            router.shutdown_sender.take().unwrap().send(()).unwrap();
            let mut queued = clients.pop().unwrap();
            let (received, end) = queued.read_to_end().await;
            assert!(received.starts_with("HTTP/1.1 503 "), "{received:?}");
            assert_eq!(end, ConnectionEnd::Closed);
            assert_eq!(count_started(), CONNECTION_LIMIT);
            drop(clients);
            router.stopped.await.unwrap();
        });
    }
}

/// Guards against responses that are broken off at a shutdown although their clients cannot resume.
#[test]
fn responses_of_the_inference_api_are_finished_although_other_streams_are_resumable() {
    // With this pause before each event, a stream ends after the time by which all streams that can
    // be resumed are migrated.
    const EVENT_INTERVAL: Duration = Duration::from_secs(3);
    for (stream, end_of_response) in [("true", LAST_CHUNK), ("false", "}")] {
        run_test_with_paused_clock(async {
            let (server, mut router) = start_router(Behaviour::Answer, true).await;
            server.event_interval.set(EVENT_INTERVAL);
            let body = CHAT_BODY.replace("true", stream);
            let mut client = ManualConnection::connect(router.inference).await;
            client.send(&chat_request("s2", "", &body)).await;
            server
                .wait_until(|seen| {
                    seen.contains(&Observation::SlotReleased {
                        id: "s2".to_owned(),
                    })
                })
                .await;
            sleep(EVENT_INTERVAL + EVENT_INTERVAL / 2).await;
            router.shutdown_sender.take().unwrap().send(()).unwrap();
            let (received, _) = client.read_to_end().await;
            assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
            assert!(received.ends_with(end_of_response), "{received:?}");
            router.stopped.await.unwrap();
        });
    }
}

/// Guards against a request that still waits for its final response at SIGKILL.
#[test]
fn a_request_that_waits_has_its_final_response_before_the_program_may_be_killed() {
    /// The time from the signal until the program may be killed, for deadlines of 3 s and more.
    const KILL_AFTER: Duration = Duration::from_millis(3_700);
    for api in [Api::Platform, Api::Inference] {
        for resume in [false, true] {
            run_test_with_paused_clock(async {
                let (server, mut router) = start_router(Behaviour::Hang, resume).await;
                let mut client = ManualConnection::connect(api.address(&router)).await;
                client.send(&chat_request("s6", "", CHAT_BODY)).await;
                server.wait_until(|seen| !seen.is_empty()).await;
                router.shutdown_sender.take().unwrap().send(()).unwrap();
                let response = timeout(KILL_AFTER, client.read_until("HTTP/1.1 50")).await;
                assert!(response.is_ok(), "{api:?}, resume: {resume}");
                drop(client);
                router.stopped.await.unwrap();
            });
        }
    }
}

/// Guards against a request that is accepted too late because the router noticed the signal late.
#[test]
fn no_request_is_accepted_too_late_although_the_signal_is_noticed_late() {
    const HELD_UP: Duration = Duration::from_millis(150);
    const LATEST_ACCEPT: Duration = Duration::from_millis(700);
    run_test_with_paused_clock(async {
        let (server, mut router) = start_router(Behaviour::Answer, false).await;
        let request = chat_request("s7", "", CHAT_BODY);
        let (begin, rest) = request.split_at(request.len() - 1);
        let mut client = ManualConnection::connect(router.platform).await;
        client.send(begin).await;
        let signalled = Instant::now();
        sleep(HELD_UP).await;
        router.shutdown_sender.take().unwrap().send(()).unwrap();
        sleep_until(signalled + LATEST_ACCEPT).await;
        client.send(rest).await;
        client.read_until("HTTP/1.1 503 ").await;
        assert_eq!(server.count_started(CHAT_PATH), 0);
        drop(client);
        router.stopped.await.unwrap();
    });
}

/// Guards against a request closed without a response: its last bytes were unread at the window's end.
#[test]
fn a_head_whose_rest_has_arrived_unread_at_the_end_of_the_accept_window_is_rejected() {
    for api in [Api::Platform, Api::Inference] {
        run_test_with_paused_clock(async {
            let (server, mut router) = start_router(Behaviour::Answer, false).await;
            let request = chat_request("s8", "", CHAT_BODY);
            let (begin, rest) = request.split_at(request.len() / 3);
            let mut client = ManualConnection::connect(api.address(&router)).await;
            client.send(begin).await;
            router.shutdown_sender.take().unwrap().send(()).unwrap();
            sleep(ACCEPT_WINDOW).await;
            // This task runs before that of the connection, as the time of both has come.
            let mut sender = client.sender();
            sender.send_until_closed(rest).await;
            let (received, end) = client.read_to_end().await;
            assert!(
                received.starts_with("HTTP/1.1 503 "),
                "{api:?}: {received:?}"
            );
            assert_eq!(end, ConnectionEnd::Closed);
            assert_eq!(server.count_started(CHAT_PATH), 0);
            router.stopped.await.unwrap();
        });
    }
}

/// Guards against a request that is rejected 0.3 s after the signal, as its class has no deadline.
#[test]
fn a_request_whose_class_has_no_deadline_has_time_for_its_response_at_a_shutdown() {
    const SERVICE_TIME: Duration = Duration::from_secs(2);
    run_test_with_paused_clock(async {
        let mut settings = test_settings();
        for class in settings["classes"].as_array_mut().unwrap() {
            class.as_object_mut().unwrap().remove("deadline_us");
        }
        let (server, mut router) = start_router_with_settings(Behaviour::Answer, settings).await;
        server.service_time.set(SERVICE_TIME);
        let mut client = ManualConnection::connect(router.platform).await;
        client.send(&chat_request("s9", "", CHAT_BODY)).await;
        server.wait_until(|seen| !seen.is_empty()).await;
        router.shutdown_sender.take().unwrap().send(()).unwrap();
        client.read_until("HTTP/1.1 200 ").await;
        client.read_until(LAST_CHUNK).await;
        drop(client);
        router.stopped.await.unwrap();
    });
}

/// Guards against a batch that fails at a shutdown because the response to a slice is broken off.
#[test]
fn a_slice_whose_response_has_begun_is_finished_although_streams_are_resumable() {
    const RESULTS: &str = r#"{"results":[{"index":0,"relevance_score":1.0}]}"#;
    run_test_with_paused_clock(async {
        let server = ManualServer::start().await;
        let mut settings = test_settings();
        settings["domain"]["ahead"] = false.into();
        settings["domain"]["resume"] = true.into();
        let entries = vec![server.endpoint_entry("mixed", "up")];
        let mut router = TestRouter::start_with_settings(entries, settings).await;
        let body = r#"{"model":"m","query":"q","documents":["d"]}"#;
        let request = chat_request("s10", "", body).replace(CHAT_PATH, "/v1/rerank");
        let mut client = ManualConnection::connect(router.inference).await;
        client.send(&request).await;
        let (mut attempt, _) = server.accept_request().await;
        let (begin, rest) = RESULTS.split_at(10);
        let length = RESULTS.len();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
        );
        attempt.send(&format!("{head}{begin}")).await;
        router.shutdown_sender.take().unwrap().send(()).unwrap();
        // By now all streams that can be resumed have been migrated.
        sleep(Duration::from_millis(3_500)).await;
        attempt.sender().send_until_closed(rest).await;
        let (received, _) = client.read_to_end().await;
        assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
        router.stopped.await.unwrap();
    });
}

/// Guards against requests that are read behind a streaming response and get no response, as that
/// one says `Connection: close`. `docs/design/races.md`.
#[test]
fn all_requests_that_were_read_behind_a_stream_are_answered_after_a_shutdown() {
    run_test_with_paused_clock(async {
        for is_late in [false, true] {
            let server = ManualServer::start().await;
            let mut settings = test_settings();
            settings["domain"]["ahead"] = false.into();
            let entries = vec![server.endpoint_entry("mixed", "up")];
            let mut router = TestRouter::start_with_settings(entries, settings).await;
            let mut client = ManualConnection::connect(router.platform).await;
            let requests = ["t1", "t2", "t3"].map(|id| chat_request(id, "", CHAT_BODY));
            client.send(&requests.concat()).await;
            let (mut attempt, _) = server.accept_request().await;
            router.shutdown_sender.take().unwrap().send(()).unwrap();
            sleep(if is_late {
                ACCEPT_WINDOW + MARGIN
            } else {
                MARGIN
            })
            .await;
            let response = format!("{STREAM_HEAD}{}{LAST_CHUNK}", encode_chunk(DONE_EVENT));
            attempt.send(&response).await;
            let expected = if is_late { "503" } else { "200" };
            for _ in 0..2 {
                if !is_late {
                    let accepted = timeout(Duration::from_secs(1), server.accept_request()).await;
                    let (mut attempt, _) = accepted.expect("a request was not sent on");
                    attempt.send(&response).await;
                }
            }
            let (received, end) = client.read_to_end().await;
            let statuses = received.split("HTTP/1.1 ").skip(1).map(|rest| &rest[..3]);
            assert_eq!(
                statuses.collect::<Vec<_>>(),
                ["200", expected, expected],
                "{received}"
            );
            assert_eq!(end, ConnectionEnd::Closed);
            router.stopped.await.unwrap();
        }
    });
}

/// Guards against a shutdown that does not end: the router and the HTTP library may count the
/// requests of a client differently if it sends a very long line.
#[test]
fn a_client_whose_requests_are_miscounted_does_not_delay_the_shutdown() {
    run_test_with_paused_clock(async {
        let (_server, mut router) = start_router(Behaviour::Answer, false).await;
        let mut client = ManualConnection::connect(router.platform).await;
        let padding = " ".repeat(200);
        let length = format!("content-length:{padding}");
        let body = "{}\r\n\r\n";
        let request = chat_request("m1", "", body).replace("content-length: ", &length);
        client.send(&request).await;
        client.read_until(LAST_CHUNK).await;
        router.shutdown_sender.take().unwrap().send(()).unwrap();
        timeout(ACCEPT_WINDOW + Duration::from_secs(1), router.stopped)
            .await
            .expect("the router did not stop")
            .unwrap();
    });
}
