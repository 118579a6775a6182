//! Endpoints that write or read slowly.

mod common;
#[path = "platform_support/mod.rs"]
mod platform_support;

use std::net::SocketAddr;
use std::time::Duration;

use common::{
    encode_chunk, endpoint_entry_at, run_test, run_test_with_paused_clock, test_settings,
    ManualConnection, ManualServer, TestRouter, CHAT_EVENT, DONE_EVENT, LAST_CHUNK, STREAM_HEAD,
};
use platform_support::{chat_request, CHAT_BODY};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Guards against a response that is cut off while its endpoint still writes it: data keeps
/// arriving, with pauses within an event that are shorter than a client waits for the next one.
#[test]
fn a_stream_that_its_endpoint_writes_slowly_is_not_cut_off() {
    run_test_with_paused_clock(async {
        let server = ManualServer::start().await;
        let entries = vec![server.endpoint_entry("mixed", "up")];
        let mut settings = test_settings();
        settings["domain"]["resume"] = false.into();
        let router = TestRouter::start_with_settings(entries, settings).await;
        let mut client = ManualConnection::connect(router.platform).await;
        client.send(&chat_request("w1", "", CHAT_BODY)).await;
        let (mut attempt, _) = server.accept_request().await;
        let event = encode_chunk(CHAT_EVENT);
        attempt.send(&format!("{STREAM_HEAD}{event}")).await;
        for part in event.as_bytes().chunks(event.len() / 4) {
            sleep(Duration::from_millis(3_500)).await;
            attempt.send(std::str::from_utf8(part).unwrap()).await;
        }
        let end = format!("{}{LAST_CHUNK}", encode_chunk(DONE_EVENT));
        attempt.send(&end).await;
        let received = client.read_until(LAST_CHUNK).await;
        assert!(received.contains(DONE_EVENT), "{received}");
    });
}

/// Guards against an attempt that fails although its endpoint has begun to respond: the head of the
/// response arrives slowly.
#[test]
fn a_response_whose_head_is_written_slowly_is_forwarded() {
    run_test_with_paused_clock(async {
        let server = ManualServer::start().await;
        let entries = vec![server.endpoint_entry("mixed", "up")];
        let router = TestRouter::start(entries).await;
        let mut client = ManualConnection::connect(router.platform).await;
        client.send(&chat_request("w2", "", CHAT_BODY)).await;
        let (mut attempt, _) = server.accept_request().await;
        let response = format!("{STREAM_HEAD}{}{LAST_CHUNK}", encode_chunk(DONE_EVENT));
        for part in response.as_bytes().chunks(STREAM_HEAD.len() / 4) {
            attempt.send(std::str::from_utf8(part).unwrap()).await;
            sleep(Duration::from_millis(400)).await;
        }
        let received = client.read_until(LAST_CHUNK).await;
        assert!(received.starts_with("HTTP/1.1 200 "), "{received}");
    });
}

/// Accepts connections with a small receive buffer.
async fn accept_slowly(
    address: SocketAddr,
) -> (SocketAddr, impl std::future::Future<Output = TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.bind(address).unwrap();
    let listener = socket.listen(8).unwrap();
    let address = listener.local_addr().unwrap();
    (address, async move { listener.accept().await.unwrap().0 })
}

/// Guards against an attempt that begins after its client has left: the endpoint reads the request
/// later, and the system still holds most of it for this router.
#[test]
fn a_request_whose_client_has_left_does_not_arrive_at_a_slow_endpoint() {
    const BODY_BYTES: usize = 200_000;
    run_test(async {
        let (address, accepting) = accept_slowly("127.0.0.1:0".parse().unwrap()).await;
        let entries = vec![endpoint_entry_at(address, "mixed", "up")];
        let router = TestRouter::start(entries).await;
        let mut client = TcpStream::connect(router.platform).await.unwrap();
        let request = chat_request("w3", "", &"x".repeat(BODY_BYTES));
        client.write_all(request.as_bytes()).await.unwrap();
        let mut attempt = accepting.await;
        let mut received = vec![0; 1_000];
        attempt.read_exact(&mut received).await.unwrap();
        drop(client);
        sleep(Duration::from_millis(300)).await;
        let reading = attempt.read_to_end(&mut received);
        let _ = timeout(Duration::from_secs(5), reading).await.unwrap();
        assert!(received.len() < BODY_BYTES, "{} bytes", received.len());
    });
}
