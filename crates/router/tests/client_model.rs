//! A model of clients' connections, against which random steps are checked: each complete request
//! has one attempt and its response, an incomplete one has none, and the attempt of a client that
//! disconnects is cancelled.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use common::{
    chunk, run, settings, ManualConnection, ManualServer, TestRouter, DONE, LAST_CHUNK, STREAM_HEAD,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::timeout;

/// Connections at once: fewer than the router allows.
const CLIENTS: usize = 4;
/// A bound on what happens at once, far below any time-out of the router.
const SOON: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Connects, where there is no connection.
    Connect(usize),
    /// Sends a part of a request.
    SendPart(usize, usize),
    /// Sends the rest of it.
    SendRest(usize),
    /// The server responds to its oldest attempt, in one write or in two.
    Respond { in_two: bool },
    /// Closes the connection.
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let client = 0..CLIENTS;
    prop_oneof![
        3 => client.clone().prop_map(Step::Connect),
        2 => (client.clone(), 1..200_usize)
            .prop_map(|(client, length)| Step::SendPart(client, length)),
        4 => client.clone().prop_map(Step::SendRest),
        3 => any::<bool>().prop_map(|in_two| Step::Respond { in_two }),
        2 => client.prop_map(Step::Close),
    ]
}

/// A client's connection as the model has it.
struct Client {
    connection: ManualConnection,
    /// The request that it has begun to send.
    unsent: Option<UnsentRequest>,
    /// Whether a request of it is at the server.
    is_waiting: bool,
}

/// The part of a request that has not been sent yet.
struct UnsentRequest {
    number: usize,
    rest: String,
}

/// An attempt at the server, and the client whose request it is.
struct Attempt {
    connection: ManualConnection,
    client: usize,
}

struct Model {
    server: ManualServer,
    router: TestRouter,
    clients: [Option<Client>; CLIENTS],
    attempts: VecDeque<Attempt>,
    requests: usize,
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
        let server = ManualServer::start().await;
        let mut settings = settings();
        settings["domain"]["ahead"] = false.into();
        let router =
            TestRouter::start_with_settings(vec![server.endpoint_entry("mixed", "up")], settings)
                .await;
        Model {
            server,
            router,
            clients: Default::default(),
            attempts: VecDeque::new(),
            requests: 0,
        }
    }

    async fn check(&mut self, step: Step) {
        match step {
            Step::Connect(client) if self.clients[client].is_none() => {
                let connection = ManualConnection::connect(self.router.platform).await;
                self.clients[client] = Some(Client {
                    connection,
                    unsent: None,
                    is_waiting: false,
                });
            }
            Step::SendPart(client, length) => self.send(client, length).await,
            Step::SendRest(client) => self.send(client, usize::MAX).await,
            Step::Respond { in_two } => self.respond(in_two).await,
            Step::Close(client) => self.close(client).await,
            Step::Connect(_) => {}
        }
    }

    async fn send(&mut self, number: usize, length: usize) {
        let Some(client) = self.clients[number]
            .as_mut()
            .filter(|client| !client.is_waiting)
        else {
            return;
        };
        let UnsentRequest {
            number: id,
            rest: unsent,
        } = client.unsent.take().unwrap_or_else(|| {
            self.requests += 1;
            UnsentRequest {
                number: self.requests,
                rest: request(self.requests),
            }
        });
        let (now, later) = unsent.split_at(length.min(unsent.len()));
        client.connection.send(now).await;
        if !later.is_empty() {
            client.unsent = Some(UnsentRequest {
                number: id,
                rest: later.to_owned(),
            });
            return;
        }
        client.is_waiting = true;
        let connection = timeout(SOON, self.accept_attempt(id))
            .await
            .expect("an attempt");
        self.attempts.push_back(Attempt {
            connection,
            client: number,
        });
    }

    /// The next attempt, which is this request's. Releases for requests of clients that have
    /// disconnected may come before it.
    async fn accept_attempt(&self, id: usize) -> ManualConnection {
        loop {
            let (mut connection, head) = self.server.accept_request().await;
            if !head.starts_with("DELETE /bootstrap/rooms/") {
                assert!(head.contains(&format!("x-request-id: m{id}\r\n")), "{head}");
                return connection;
            }
            connection
                .send("HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n")
                .await;
        }
    }

    async fn respond(&mut self, in_two: bool) {
        let Some(mut attempt) = self.attempts.pop_front() else {
            return;
        };
        let head = format!("{STREAM_HEAD}{}", chunk(DONE));
        if in_two {
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
            .expect("its attempt ended with it");
        let received = timeout(SOON, client.connection.read_until(LAST_CHUNK))
            .await
            .expect("a response");
        assert!(
            received.starts_with("HTTP/1.1 200 ") && received.contains(DONE),
            "{received}"
        );
        client.is_waiting = false;
    }

    async fn close(&mut self, number: usize) {
        if self.clients[number]
            .take()
            .is_none_or(|client| !client.is_waiting)
        {
            return;
        }
        let at = self
            .attempts
            .iter()
            .position(|attempt| attempt.client == number)
            .expect("it is there");
        let mut attempt = self.attempts.remove(at).expect("it is there");
        timeout(SOON, attempt.connection.read_to_end())
            .await
            .expect("the attempt is cancelled");
    }
}

#[test]
fn client_connections_match_the_model() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let step_sequences = prop::collection::vec(step(), 1..40);
    let checked = TestRunner::new_with_rng(config, rng).run(&step_sequences, |steps| {
        run(async {
            let mut model = Model::start().await;
            for step in steps {
                model.check(step).await;
            }
        });
        Ok(())
    });
    checked.unwrap();
}
