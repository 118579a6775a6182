//! Checks random sequences of steps against a model of client connections: each complete request
//! gets one attempt and its response, an incomplete request gets no attempt, and the attempt of a
//! client that disconnects is cancelled.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use common::{
    encode_chunk, run_test, test_settings, ManualConnection, ManualServer, TestRouter, DONE_EVENT,
    LAST_CHUNK, STREAM_HEAD,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::timeout;

/// Maximum number of concurrent connections, below the router's connection limit.
const CLIENTS: usize = 4;
/// Maximum time for an expected event, far below any timeout of the router.
const EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// A step of a test sequence. Steps that do not apply to the current state do nothing.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The client connects, if it has no connection.
    Connect(usize),
    /// The client sends up to this many bytes of its request, and begins a new request if it has
    /// none.
    SendPart(usize, usize),
    /// The client sends the rest of its request, or a complete new one.
    SendRest(usize),
    /// The endpoint responds to its oldest attempt, in one write or in two.
    Respond { in_two_writes: bool },
    /// The client closes its connection.
    Close(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let client = 0..CLIENTS;
    prop_oneof![
        3 => client.clone().prop_map(Step::Connect),
        2 => (client.clone(), 1..200_usize)
            .prop_map(|(client, length)| Step::SendPart(client, length)),
        4 => client.clone().prop_map(Step::SendRest),
        3 => any::<bool>().prop_map(|in_two_writes| Step::Respond { in_two_writes }),
        2 => client.prop_map(Step::Close),
    ]
}

/// The model's state of a client with a connection.
struct Client {
    connection: ManualConnection,
    /// The request that the client has only partly sent.
    partly_sent: Option<PartlySentRequest>,
    /// Whether the client waits for a response.
    is_waiting: bool,
}

/// A request that has only partly been sent, and the rest of its bytes.
struct PartlySentRequest {
    request_id: usize,
    rest: String,
}

/// An attempt at the endpoint, and the index of the client that sent the request.
struct Attempt {
    connection: ManualConnection,
    client: usize,
}

struct Model {
    endpoint: ManualServer,
    router: TestRouter,
    clients: [Option<Client>; CLIENTS],
    attempts: VecDeque<Attempt>,
    /// Number of requests so far. The next request has the next higher id.
    request_count: usize,
}

fn request(id: usize) -> String {
    let body = "x".repeat(id * 37 % 500);
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: m{id}\r\n\
         x-class: order\r\n\
         x-deadline-ms: 60000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Model {
    async fn start() -> Model {
        let endpoint = ManualServer::start().await;
        let mut settings = test_settings();
        // Without slot reservations, the endpoint receives only attempts and releases.
        settings["domain"]["ahead"] = false.into();
        let router =
            TestRouter::start_with_settings(vec![endpoint.endpoint_entry("mixed", "up")], settings)
                .await;
        Model {
            endpoint,
            router,
            clients: Default::default(),
            attempts: VecDeque::new(),
            request_count: 0,
        }
    }

    /// Performs a step and checks what the router does.
    async fn run_step(&mut self, step: Step) {
        match step {
            Step::Connect(client) if self.clients[client].is_none() => {
                let connection = ManualConnection::connect(self.router.platform).await;
                self.clients[client] = Some(Client {
                    connection,
                    partly_sent: None,
                    is_waiting: false,
                });
            }
            Step::SendPart(client, length) => self.send(client, length).await,
            Step::SendRest(client) => self.send(client, usize::MAX).await,
            Step::Respond { in_two_writes } => self.respond(in_two_writes).await,
            Step::Close(client) => self.close(client).await,
            Step::Connect(_) => {}
        }
    }

    /// Sends up to `length` bytes of the client's request. Once the request is complete, expects
    /// its attempt.
    async fn send(&mut self, client_index: usize, length: usize) {
        let Some(client) = self.clients[client_index]
            .as_mut()
            .filter(|client| !client.is_waiting)
        else {
            return;
        };
        let PartlySentRequest {
            request_id: id,
            rest: unsent,
        } = client.partly_sent.take().unwrap_or_else(|| {
            self.request_count += 1;
            PartlySentRequest {
                request_id: self.request_count,
                rest: request(self.request_count),
            }
        });
        let (sent_now, sent_later) = unsent.split_at(length.min(unsent.len()));
        client.connection.send(sent_now).await;
        if !sent_later.is_empty() {
            client.partly_sent = Some(PartlySentRequest {
                request_id: id,
                rest: sent_later.to_owned(),
            });
            return;
        }
        client.is_waiting = true;
        let connection = timeout(EVENT_TIMEOUT, self.accept_attempt(id))
            .await
            .expect("the router must start an attempt for a complete request");
        self.attempts.push_back(Attempt {
            connection,
            client: client_index,
        });
    }

    /// Accepts the next attempt and checks that it belongs to the request `id`. Releases of KV
    /// state for clients that have disconnected may arrive before it, and are answered.
    async fn accept_attempt(&self, id: usize) -> ManualConnection {
        loop {
            let (mut connection, head) = self.endpoint.accept_request().await;
            if !head.starts_with("DELETE /bootstrap/rooms/") {
                assert!(head.contains(&format!("x-request-id: m{id}\r\n")), "{head}");
                return connection;
            }
            connection
                .send("HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n")
                .await;
        }
    }

    /// Responds to the oldest attempt, and expects the response at its client.
    async fn respond(&mut self, in_two_writes: bool) {
        let Some(mut attempt) = self.attempts.pop_front() else {
            return;
        };
        let head = format!("{STREAM_HEAD}{}", encode_chunk(DONE_EVENT));
        if in_two_writes {
            attempt.connection.send(&head).await;
            attempt.connection.send(LAST_CHUNK).await;
        } else {
            attempt
                .connection
                .send(&format!("{head}{LAST_CHUNK}"))
                .await;
        }
        let client = self.clients[attempt.client]
            .as_mut()
            .expect("an attempt must end when its client disconnects");
        let received = timeout(EVENT_TIMEOUT, client.connection.read_until(LAST_CHUNK))
            .await
            .expect("the client must receive the response");
        assert!(
            received.starts_with("HTTP/1.1 200 ") && received.contains(DONE_EVENT),
            "{received}"
        );
        client.is_waiting = false;
    }

    /// Closes the client's connection, and expects that its attempt is cancelled.
    async fn close(&mut self, client_index: usize) {
        if self.clients[client_index]
            .take()
            .is_none_or(|client| !client.is_waiting)
        {
            return;
        }
        let index = self
            .attempts
            .iter()
            .position(|attempt| attempt.client == client_index)
            .expect("a waiting client must have an attempt");
        let mut attempt = self
            .attempts
            .remove(index)
            .expect("the position must be valid");
        timeout(EVENT_TIMEOUT, attempt.connection.read_to_end())
            .await
            .expect("the attempt of a disconnected client must be cancelled");
    }
}

#[test]
fn complete_requests_get_one_attempt_each_and_disconnections_cancel_it() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let step_sequences = prop::collection::vec(any_step(), 1..40);
    let checked = TestRunner::new_with_rng(config, rng).run(&step_sequences, |steps| {
        run_test(async {
            let mut model = Model::start().await;
            for step in steps {
                model.run_step(step).await;
            }
        });
        Ok(())
    });
    checked.unwrap();
}
