//! Disconnects of clients that have sent much behind their request, and what such clients are owed
//! if they stay, on both frontends.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{
    encode_chunk, endpoint_entry, run_test, test_settings, Behaviour, FakeServer, ManualConnection,
    ManualServer, Observation, TestRouter, DONE_EVENT, LAST_CHUNK, STREAM_HEAD,
};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time after a disconnect in which an attempt may still begin (`STANDING.md` of the platform: "more
/// than 0.1 s after the close").
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Time that a server takes for an attempt: the client disconnects meanwhile.
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// Number of requests that a client sends at once behind its first one, 4.8 MB in all.
const REQUESTS_BEHIND: usize = 290;

/// Returns a chat request that both frontends accept.
fn request(id: &str, body_bytes: usize) -> String {
    let text = "x".repeat(body_bytes);
    let body = format!(r#"{{"model":"m","messages":[{{"role":"user","content":"{text}"}}]}}"#);
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: chat\r\n\
         x-deadline-ms: 5000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a client sends behind its first request.
#[derive(Debug, Clone, Copy)]
enum Behind {
    /// Requests that are written at once.
    Requests,
    /// Requests without end, so that the buffers of both systems are full at any time.
    EndlessRequests,
    /// A single request whose head never ends.
    EndlessHead,
}

/// How a client disconnects.
#[derive(Debug, Clone, Copy)]
enum Disconnect {
    Close,
    Reset,
}

const BEHIND: [Behind; 3] = [
    Behind::Requests,
    Behind::EndlessRequests,
    Behind::EndlessHead,
];

/// A client that sends a request and much behind it.
struct FloodingClient {
    disconnect: oneshot::Sender<()>,
    sending: tokio::task::JoinHandle<()>,
}

impl FloodingClient {
    async fn start(
        address: SocketAddr,
        id: &str,
        behind: Behind,
        disconnect: Disconnect,
    ) -> FloodingClient {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request(id, 10).as_bytes()).await.unwrap();
        if matches!(disconnect, Disconnect::Reset) {
            let linger = Some(Duration::ZERO);
            SockRef::from(&stream).set_linger(linger).unwrap();
        }
        let (sender, requested) = oneshot::channel();
        let sending = spawn_local(async move {
            let (_, mut writer) = stream.split();
            let sending = send_behind(&mut writer, behind);
            tokio::select! {
                () = sending => {}
                _ = requested => {}
            }
        });
        FloodingClient {
            disconnect: sender,
            sending,
        }
    }

    async fn disconnect(self) {
        let _ = self.disconnect.send(());
        self.sending.await.unwrap();
    }
}

async fn send_behind(writer: &mut (impl AsyncWriteExt + Unpin), behind: Behind) {
    let (text, repeats) = match behind {
        Behind::Requests => (request("behind", 16_000), REQUESTS_BEHIND),
        Behind::EndlessRequests => (request("behind", 16_000), usize::MAX),
        Behind::EndlessHead => ("x".repeat(16_000), usize::MAX),
    };
    for _ in 0..repeats {
        if writer.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        // All tasks of the test share a thread.
        tokio::task::yield_now().await;
    }
    std::future::pending::<()>().await;
}

fn count_attempts(servers: &[Rc<FakeServer>]) -> usize {
    let is_attempt = |seen: &&Observation| matches!(seen, Observation::RequestStarted { .. });
    servers
        .iter()
        .map(|server| {
            server
                .observations
                .borrow()
                .iter()
                .filter(is_attempt)
                .count()
        })
        .sum()
}

/// Lets clients disconnect while their first attempt is processed, and checks that no other one
/// begins after [`DISCONNECT_GRACE`].
async fn check_disconnects(servers: &[Rc<FakeServer>], kinds: &[&str], disconnect: Disconnect) {
    for server in servers {
        server.service_time.set(SERVICE_TIME);
    }
    let entries = servers.iter().zip(kinds);
    let entries = entries.map(|(server, kind)| endpoint_entry(server, kind, "up"));
    let router = TestRouter::start(entries.collect()).await;
    let attempts = Cell::new(0);
    for address in [router.platform, router.inference] {
        for behind in BEHIND {
            let id = format!("first-{}", attempts.get());
            let client = FloodingClient::start(address, &id, behind, disconnect).await;
            while count_attempts(servers) == attempts.get() {
                sleep(Duration::from_millis(1)).await;
            }
            sleep(SERVICE_TIME / 4).await;
            client.disconnect().await;
            sleep(DISCONNECT_GRACE).await;
            let before = count_attempts(servers);
            sleep(SERVICE_TIME).await;
            assert_eq!(
                count_attempts(servers),
                before,
                "an attempt began after the disconnect: {behind:?}, {disconnect:?}, {address}"
            );
            attempts.set(before);
        }
    }
}

/// Guards against attempts for clients that have gone: a disconnect was not detected behind more
/// than 4 MiB of further bytes, and the decode was sent after the prefill.
#[test]
fn no_decode_is_sent_for_a_client_that_disconnected_during_prefill_behind_many_bytes() {
    for disconnect in [Disconnect::Close, Disconnect::Reset] {
        run_test(async {
            let prefill = FakeServer::start(8, Behaviour::Prefill).await;
            let decode = FakeServer::start(8, Behaviour::Answer).await;
            check_disconnects(&[prefill, decode], &["reader", "writer"], disconnect).await;
        });
    }
}

/// Guards against the same fault where an attempt that was not executed is repeated.
#[test]
fn no_retry_is_sent_for_a_client_that_disconnected_behind_many_bytes() {
    for disconnect in [Disconnect::Close, Disconnect::Reset] {
        run_test(async {
            let servers = [
                FakeServer::start(8, Behaviour::Reject).await,
                FakeServer::start(8, Behaviour::Reject).await,
            ];
            check_disconnects(&servers, &["mixed", "mixed"], disconnect).await;
        });
    }
}

/// Guards against lost requests: what was read behind a request and could not be buffered was
/// discarded, and the connection was closed without a response to it. It is rejected now.
#[test]
fn every_request_that_was_read_behind_another_is_answered() {
    run_test(async {
        let server = FakeServer::start(8, Behaviour::Answer).await;
        let router = TestRouter::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        for address in [router.platform, router.inference] {
            server.service_time.set(Duration::from_millis(300));
            let requests: Vec<String> = (0..=REQUESTS_BEHIND)
                .map(|index| request(&format!("r{index}"), 16_000).replace("5000", "60000"))
                .collect();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let (mut reader, mut writer) = stream.split();
            let all = requests.concat();
            let sending = async { writer.write_all(all.as_bytes()).await.unwrap() };
            let answering = read_statuses(&mut reader, requests.len());
            let speeding_up = async {
                sleep(Duration::from_millis(500)).await;
                server.service_time.set(Duration::from_millis(1));
            };
            let ((), statuses, ()) = tokio::join!(sending, answering, speeding_up);
            let count = |expected: &str| statuses.iter().filter(|s| *s == expected).count();
            let (served, rejected) = (count("200"), count("503"));
            assert_eq!(served + rejected, requests.len(), "{statuses:?}");
            assert!(served > 1, "{statuses:?}");
            // The connection serves further requests.
            let further = request("further", 100);
            writer.write_all(further.as_bytes()).await.unwrap();
            assert_eq!(read_statuses(&mut reader, 1).await, ["200"]);
        }
    });
}

/// Reads until this many responses have begun, and returns their statuses.
async fn read_statuses(reader: &mut (impl AsyncReadExt + Unpin), count: usize) -> Vec<String> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received);
        let statuses = text.split("HTTP/1.1 ").skip(1);
        let statuses: Vec<String> = statuses
            .filter_map(|rest| Some(rest.get(..3)?.to_owned()))
            .collect();
        if statuses.len() >= count {
            return statuses;
        }
        if reader.read_buf(&mut received).await.unwrap() == 0 {
            return statuses;
        }
    }
}

/// Guards against a request that is sent on with its full deadline although it has waited for the
/// response before it, and against one that is sent on when its time is over.
#[test]
fn the_deadline_of_a_request_runs_while_it_waits_behind_another() {
    run_test(async {
        for inference in [false, true] {
            let server = ManualServer::start().await;
            let mut settings = test_settings();
            settings["domain"]["ahead"] = false.into();
            let entries = vec![server.endpoint_entry("mixed", "up")];
            let router = TestRouter::start_with_settings(entries, settings).await;
            let address = if inference {
                router.inference
            } else {
                router.platform
            };
            let mut client = ManualConnection::connect(address).await;
            let short = request("short", 100).replace("5000", "300");
            client
                .send(&(request("first", 100) + &request("second", 100) + &short))
                .await;
            let (mut attempt, _) = server.accept_request().await;
            sleep(Duration::from_millis(1_000)).await;
            let response = format!("{STREAM_HEAD}{}{LAST_CHUNK}", encode_chunk(DONE_EVENT));
            attempt.send(&response).await;
            let (mut attempt, seen) = server.accept_request().await;
            let deadline = told_deadline_ms(&seen);
            assert!((3_500..=4_000).contains(&deadline), "{deadline} ms");
            attempt.send(&response).await;
            client
                .read_until(if inference {
                    "HTTP/1.1 504 "
                } else {
                    "HTTP/1.1 503 "
                })
                .await;
        }
    });
}

/// Guards against a deadline that is shortened by the time in which the body arrives: it begins
/// when the client has sent the last byte.
#[test]
fn the_deadline_of_a_slowly_sent_request_begins_with_its_last_byte() {
    run_test(async {
        let server = ManualServer::start().await;
        let mut settings = test_settings();
        settings["domain"]["ahead"] = false.into();
        let entries = vec![server.endpoint_entry("mixed", "up")];
        let router = TestRouter::start_with_settings(entries, settings).await;
        let mut client = ManualConnection::connect(router.platform).await;
        let slow = request("slow", 1_000);
        client.send(&slow[..slow.len() - 500]).await;
        sleep(Duration::from_millis(1_000)).await;
        client.send(&slow[slow.len() - 500..]).await;
        let (_attempt, seen) = server.accept_request().await;
        let deadline = told_deadline_ms(&seen);
        assert!((4_500..=5_000).contains(&deadline), "{deadline} ms");
    });
}

/// Returns the deadline that a request to an endpoint states, in milliseconds.
fn told_deadline_ms(request: &str) -> u64 {
    let deadline = request.split("x-deadline-ms: ").nth(1).unwrap_or_default();
    deadline.split("\r\n").next().unwrap().parse().unwrap()
}
