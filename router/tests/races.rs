//! Two events that cross, in the order that happens rarely, made to happen every time: servers and clients here do
//! each step when the test says so. `docs/design/races.md` lists the pairs.

mod common;

use std::time::Duration;

use common::{
    chunk, run, run_paused, settings, Bed, ManualConnection, ManualServer, EVENT, FINISH, LAST_CHUNK,
    STREAM_HEAD,
};
use serde_json::Value;
use tokio::time::Instant;

/// Settings without reservations and probes: each connection to a server carries an attempt.
fn plain_settings() -> Value {
    let mut settings = settings();
    settings["domain"]["ahead"] = false.into();
    settings
}

/// A router with one server that reads and writes.
async fn with_mixed_server() -> (ManualServer, Bed) {
    let server = ManualServer::start().await;
    let bed = Bed::start_set(vec![server.line("mixed", "up")], None, plain_settings()).await;
    (server, bed)
}

/// A request as a client of the platform sends it, with further headers, each line with its end.
fn request(id: &str, class: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: {class}\r\n\
         x-deadline-ms: 5000\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

/// Guards against a repeat that runs twice: servers discard repeats by a header that the router does not know.
#[test]
fn a_servers_own_headers_reach_it_on_both_fronts() {
    run(async {
        let (server, bed) = with_mixed_server().await;
        let mut client = ManualConnection::connect(bed.platform).await;
        client.send(&request("a1", "order", "Idempotency-Key: k-1\r\nX-Other: y\r\n", "{}")).await;
        let (mut attempt, seen) = server.accept_request().await;
        assert!(seen.contains("\r\nidempotency-key: k-1\r\nx-other: y\r\n"), "{seen}");
        assert_eq!(seen.matches("x-request-id").count(), 1, "{seen}");
        attempt.send(STREAM_HEAD).await;
        let body = r#"{"model": "m", "messages": [{"role": "user", "content": "x"}]}"#;
        let mut client = ManualConnection::connect(bed.inference).await;
        client.send(&request("a2", "chat", "Idempotency-Key: k-2\r\nX-Other: y\r\n", body)).await;
        let (_attempt, seen) = server.accept_request().await;
        assert!(seen.contains("\r\nidempotency-key: k-2\r\n") && !seen.contains("x-other"), "{seen}");
    });
}

/// Guards against clients that wait on a stream whose server has stopped: 5 s after the last event the request counts as
/// lost, whether or not clients may ask elsewhere for the rest. Until then a server that is slow may go on.
#[test]
fn a_stream_that_falls_silent_is_ended_before_its_client_has_waited_for_five_seconds() {
    for resume in [false, true] {
        run_paused(async {
            let server = ManualServer::start().await;
            let mut settings = plain_settings();
            settings["domain"]["resume"] = resume.into();
            let bed = Bed::start_set(vec![server.line("mixed", "up")], None, settings).await;
            let mut client = ManualConnection::connect(bed.platform).await;
            client.send(&request("b1", "order", "", "{}")).await;
            let (mut attempt, _) = server.accept_request().await;
            attempt.send(&format!("{STREAM_HEAD}{}", chunk(EVENT))).await;
            client.until(EVENT).await;
            tokio::time::sleep(Duration::from_millis(3_500)).await;
            attempt.send(&chunk(FINISH)).await;
            client.until(FINISH).await;
            let silent = Instant::now();
            let (rest, _) = client.end().await;
            assert!(!rest.contains(LAST_CHUNK), "{rest:?}");
            let waited = silent.elapsed();
            let bounds = Duration::from_millis(3_600)..Duration::from_millis(4_800);
            assert!(bounds.contains(&waited), "{waited:?}, resume: {resume}");
        });
    }
}
