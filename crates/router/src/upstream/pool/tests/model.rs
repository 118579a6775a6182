//! Checks the pool against a model in random steps: which connections stay idle, which are reused,
//! and how many there are.

use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::Instant;

use crate::core::Endpoint;
use crate::memory::MemoryLedger;
use crate::upstream::calls::empty_request;
use crate::upstream::connection::PooledConnection;
use crate::upstream::pool::{ConnectionPool, REUSE_DELAY};
use cranetack_testkit::{run_test_with_paused_clock, Behaviour, FakeServer};

const CONNECTION_LIMIT: usize = 3;
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Acquires a connection to this endpoint.
    Acquire(usize),
    /// Sends a request over this connection.
    Call(usize),
    /// Returns this connection to the pool.
    Release(usize),
    /// Closes this connection.
    Close(usize),
    /// Closes all connections of this endpoint at the endpoint's side.
    CloseAtEndpoint(usize),
    /// Waits for this many milliseconds.
    Wait(u64),
    /// Closes expired idle connections.
    CloseExpired,
    /// Closes the idle connections to this endpoint.
    CloseIdle(usize),
}

/// The model's state of a connection.
#[derive(Clone, Copy)]
struct ModelConnection {
    endpoint: usize,
    closed_at_endpoint: bool,
    /// Whether the connection has been idle in the pool.
    was_idle: bool,
    /// When the connection was opened, or last returned to the pool.
    since: Instant,
}

impl ModelConnection {
    fn usable(&self) -> bool {
        !self.closed_at_endpoint && self.since.elapsed() < IDLE_TIMEOUT
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2_usize).prop_map(Step::Acquire),
        2 => (0..CONNECTION_LIMIT).prop_map(Step::Call),
        3 => (0..CONNECTION_LIMIT).prop_map(Step::Release),
        1 => (0..CONNECTION_LIMIT).prop_map(Step::Close),
        1 => (0..2_usize).prop_map(Step::CloseAtEndpoint),
        1 => (1..4_000_u64).prop_map(Step::Wait),
        1 => Just(Step::CloseExpired),
        1 => (0..2_usize).prop_map(Step::CloseIdle),
    ]
}

struct PoolUnderTest {
    pool: ConnectionPool,
    endpoints: [Endpoint; 2],
    servers: [Rc<FakeServer>; 2],
    in_use: Vec<(PooledConnection, ModelConnection)>,
    idle: Vec<ModelConnection>,
}

impl PoolUnderTest {
    async fn check(&mut self, step: Step) {
        match step {
            Step::Acquire(endpoint) => self.acquire(endpoint).await,
            Step::Call(n) if n < self.in_use.len() => self.call(n).await,
            Step::Release(n) if n < self.in_use.len() => self.release(n).await,
            Step::Close(n) if n < self.in_use.len() => self.in_use.remove(n).0.close().await,
            Step::CloseAtEndpoint(endpoint) => self.close_at_endpoint(endpoint),
            Step::Wait(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Step::CloseExpired => self.close_expired(),
            Step::CloseIdle(endpoint) => {
                self.pool.close_idle(self.endpoints[endpoint].id);
                self.idle.retain(|model| model.endpoint != endpoint);
            }
            _ => {}
        }
        // Gives each side time to notice that the other has closed a connection.
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(
            self.pool.available_permits(),
            CONNECTION_LIMIT - self.in_use.len() - self.idle.len()
        );
    }

    async fn call(&mut self, number: usize) {
        let (connection, model) = &mut self.in_use[number];
        let request = empty_request(http::Method::GET, "/metrics/load").unwrap();
        let response = connection.send(request).await;
        assert_eq!(response.is_ok(), !model.closed_at_endpoint);
        assert_eq!(
            connection.progress().request_complete(),
            !model.closed_at_endpoint,
            "a request must be written if, and only if, the endpoint has not closed the connection"
        );
        assert_eq!(
            connection.allows_resend(),
            model.closed_at_endpoint && model.was_idle,
            "a request may be resent if, and only if, its connection was idle and has been closed"
        );
    }

    async fn release(&mut self, number: usize) {
        let (connection, model) = self.in_use.remove(number);
        self.pool.release(connection).await;
        if !model.closed_at_endpoint {
            self.idle.push(ModelConnection {
                was_idle: true,
                since: Instant::now(),
                ..model
            });
        }
    }

    fn close_at_endpoint(&mut self, endpoint: usize) {
        self.servers[endpoint].close_connections();
        let in_use = self.in_use.iter_mut().map(|(_, model)| model);
        for model in in_use.chain(&mut self.idle) {
            if model.endpoint == endpoint {
                model.closed_at_endpoint = true;
            }
        }
    }

    fn close_expired(&mut self) {
        self.pool.close_expired();
        self.idle.retain(ModelConnection::usable);
        let has_idle = |endpoint: &usize| self.idle.iter().any(|model| model.endpoint == *endpoint);
        let known_endpoints = [0, 1].iter().filter(|endpoint| has_idle(endpoint)).count();
        assert_eq!(self.pool.known_endpoints(), known_endpoints);
    }

    async fn acquire(&mut self, endpoint: usize) {
        let mut expected = None;
        // A connection is not reused until it has been idle for the delay.
        let may_be_reused = |model: &ModelConnection| {
            model.endpoint == endpoint && model.since.elapsed() >= REUSE_DELAY
        };
        while let Some(last_used) = self.idle.iter().rposition(may_be_reused) {
            let candidate = self.idle.remove(last_used);
            if candidate.usable() {
                expected = Some(candidate);
                break;
            }
        }
        let has_capacity = self.in_use.len() < CONNECTION_LIMIT;
        if expected.is_none()
            && has_capacity
            && self.in_use.len() + self.idle.len() == CONNECTION_LIMIT
        {
            self.idle.remove(0); // the connection that has been idle longest is evicted
        }
        let deadline = Instant::now() + Duration::from_millis(100);
        match self.pool.acquire(&self.endpoints[endpoint], deadline).await {
            Ok(connection) => {
                assert!(
                    expected.is_some() || has_capacity,
                    "the pool opened more connections than the limit"
                );
                assert_eq!(connection.idle_for().is_some(), expected.is_some());
                let new = ModelConnection {
                    endpoint,
                    closed_at_endpoint: false,
                    was_idle: false,
                    since: Instant::now(),
                };
                self.in_use.push((connection, expected.unwrap_or(new)));
            }
            Err(_) => assert!(expected.is_none() && !has_capacity),
        }
    }
}

#[test]
fn connections_match_the_model() {
    let config = Config {
        cases: 150,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let checked = runner.run(&prop::collection::vec(step(), 1..40), |steps| {
        run_test_with_paused_clock(async {
            let [a, b] = [
                FakeServer::start(8, Behaviour::Answer).await,
                FakeServer::start(8, Behaviour::Answer).await,
            ];
            let mut pool = PoolUnderTest {
                pool: ConnectionPool::new(
                    CONNECTION_LIMIT,
                    Duration::from_millis(250),
                    2 * IDLE_TIMEOUT,
                    MemoryLedger::unlimited(),
                ),
                endpoints: [Endpoint::new("a", a.address), Endpoint::new("b", b.address)],
                servers: [a, b],
                in_use: Vec::new(),
                idle: Vec::new(),
            };
            for step in steps {
                pool.check(step).await;
            }
        });
        Ok(())
    });
    checked.unwrap();
}
