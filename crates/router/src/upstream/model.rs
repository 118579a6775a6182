//! A model of the connections to workers, against which random steps are checked: which are kept, which are
//! used again, how many there are.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::time::Instant;

use super::calls::call;
use super::pool::{ConnectionPool, PooledConnection, REST};
use super::{Options, Upstream};
use crate::core::{AttemptId, AttemptReport, AttemptSpec, CoreEvent, Endpoint, Handle, Outbound};
use cranetack_routing_policy::{ConnectFailure, Outcome, RequestId};
use cranetack_settings::Report;
use cranetack_testkit::{run_paused, Behaviour, FakeServer};

const MOST: usize = 3;
const KEEP: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
enum Step {
    Take(usize),
    Call(usize),
    Put(usize),
    Close(usize),
    /// The worker closes all of its connections.
    Cut(usize),
    Wait(u64),
    Retire,
    CloseIdle(usize),
}

/// A connection as the model has it: its worker, if that has closed it, if it has been kept, and since when.
#[derive(Clone, Copy)]
struct Known {
    endpoint: usize,
    cut: bool,
    kept: bool,
    since: Instant,
}

impl Known {
    fn usable(&self) -> bool {
        !self.cut && self.since.elapsed() < KEEP
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2_usize).prop_map(Step::Take),
        2 => (0..MOST).prop_map(Step::Call),
        3 => (0..MOST).prop_map(Step::Put),
        1 => (0..MOST).prop_map(Step::Close),
        1 => (0..2_usize).prop_map(Step::Cut),
        1 => (1..4_000_u64).prop_map(Step::Wait),
        1 => Just(Step::Retire),
        1 => (0..2_usize).prop_map(Step::CloseIdle),
    ]
}

struct Pair {
    pool: ConnectionPool,
    endpoints: [Endpoint; 2],
    workers: [Rc<FakeServer>; 2],
    out: Vec<(PooledConnection, Known)>,
    idle: Vec<Known>,
}

impl Pair {
    async fn check(&mut self, step: Step) {
        match step {
            Step::Take(endpoint) => self.take(endpoint).await,
            Step::Call(n) if n < self.out.len() => {
                let (connection, known) = &mut self.out[n];
                let request = call(http::Method::GET, "/metrics/load").unwrap();
                let answer = connection.send(request).await;
                assert_eq!(answer.is_ok(), !known.cut);
                assert_eq!(
                    connection.progress().all_written(),
                    !known.cut,
                    "what is closed is not written to"
                );
                assert_eq!(
                    connection.was_stale(),
                    known.cut && known.kept,
                    "only a kept one may be tried again"
                );
            }
            Step::Put(n) if n < self.out.len() => {
                let (connection, known) = self.out.remove(n);
                self.pool.release(connection).await;
                if !known.cut {
                    self.idle.push(Known {
                        kept: true,
                        since: Instant::now(),
                        ..known
                    });
                }
            }
            Step::Close(n) if n < self.out.len() => self.out.remove(n).0.close().await,
            Step::Cut(endpoint) => {
                self.workers[endpoint].close_connections();
                let known = self.out.iter_mut().map(|(_, k)| k).chain(&mut self.idle);
                known
                    .filter(|k| k.endpoint == endpoint)
                    .for_each(|k| k.cut = true);
            }
            Step::Wait(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Step::Retire => {
                self.pool.close_expired();
                self.idle.retain(Known::usable);
                let endpoints =
                    [0, 1].map(|endpoint| self.idle.iter().any(|k| k.endpoint == endpoint));
                assert_eq!(
                    self.pool.known_servers(),
                    endpoints.iter().filter(|known| **known).count()
                );
            }
            Step::CloseIdle(endpoint) => {
                self.pool.close_idle(self.endpoints[endpoint].id);
                self.idle.retain(|k| k.endpoint != endpoint);
            }
            _ => {}
        }
        // What has been closed on one side is noticed on the other.
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(
            self.pool.available(),
            MOST - self.out.len() - self.idle.len()
        );
    }

    async fn take(&mut self, endpoint: usize) {
        let mut expected = None;
        // One that has just been kept rests for a while.
        let rested = |k: &Known| k.endpoint == endpoint && k.since.elapsed() >= REST;
        while let Some(at) = self.idle.iter().rposition(rested) {
            let known = self.idle.remove(at);
            if known.usable() {
                expected = Some(known);
                break;
            }
        }
        let room = self.out.len() < MOST;
        if expected.is_none() && room && self.out.len() + self.idle.len() == MOST {
            self.idle.remove(0); // the one that has been idle for longest makes room
        }
        let until = Instant::now() + Duration::from_millis(100);
        match self.pool.acquire(&self.endpoints[endpoint], until).await {
            Ok(connection) => {
                assert!(expected.is_some() || room, "no more than allowed");
                assert_eq!(connection.idle().is_some(), expected.is_some());
                let new = Known {
                    endpoint,
                    cut: false,
                    kept: false,
                    since: Instant::now(),
                };
                self.out.push((connection, expected.unwrap_or(new)));
            }
            Err(_) => assert!(expected.is_none() && !room),
        }
    }
}

#[test]
fn connections_are_as_the_model_has_them() {
    let config = Config {
        cases: 150,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let checked = runner.run(&prop::collection::vec(step(), 1..40), |steps| {
        run_paused(async {
            let [a, b] = [
                FakeServer::start(8, Behaviour::Answer).await,
                FakeServer::start(8, Behaviour::Answer).await,
            ];
            let mut pair = Pair {
                pool: ConnectionPool::new(MOST, Duration::from_millis(250), 2 * KEEP),
                endpoints: [Endpoint::new("a", a.address), Endpoint::new("b", b.address)],
                workers: [a, b],
                out: Vec::new(),
                idle: Vec::new(),
            };
            for step in steps {
                pair.check(step).await;
            }
        });
        Ok(())
    });
    checked.unwrap();
}

/// Guards against a state that stays held at its reader for as long as a connection to a writer may take to come up.
#[test]
fn an_attempt_without_a_connection_ends_when_what_is_held_can_wait_no_longer() {
    run_paused(async {
        let worker = FakeServer::start(1, Behaviour::Answer).await;
        let (handle, mut events) = Handle::new();
        let options = Options {
            connection_limit: 1,
            connect_timeout: Duration::from_millis(250),
            idle_close: KEEP,
            silence: KEEP,
            report: Report::default(),
        };
        let mut upstream = Upstream::new(handle, options, None);
        let endpoint = Rc::new(Endpoint::new("a", worker.address));
        let (now, ms) = (Instant::now(), Duration::from_millis);
        let _only = upstream
            .shared
            .pool
            .connect(&endpoint, now + KEEP)
            .await
            .unwrap();
        let attempt = AttemptId {
            request: RequestId(1),
            number: 1,
        };
        let (expires_at, write_by) = (now + KEEP, now + ms(90));
        let (request_id, message) = ("q".into(), Rc::default());
        upstream.send(AttemptSpec {
            attempt,
            request_id,
            endpoint,
            expires_at,
            write_by,
            is_live: Rc::new(Cell::new(true)),
            prefill_only: false,
            non_idempotent: true,
            message,
        });
        let ended = events.recv().await;
        let Some(CoreEvent::AttemptEnded {
            report: AttemptReport { outcome, .. },
            ..
        }) = ended
        else {
            panic!("no end")
        };
        assert_eq!(
            outcome,
            Outcome::ConnectFailed(ConnectFailure::LocalResources),
            "the pool is full"
        );
        assert!(
            (ms(90)..ms(100)).contains(&now.elapsed()),
            "{:?}",
            now.elapsed()
        );
    });
}
