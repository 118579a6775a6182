//! Tests of attempts, on a paused clock.

use std::cell::Cell;

use cranetack_routing_policy::ConnectFailure;
use cranetack_testkit::{run_test_with_paused_clock, Behaviour, FakeServer};

use super::*;
use crate::core::AttemptReport;
use crate::tasks::TaskGroup;

/// Timeout that is not reached in a test.
const LONG: Duration = Duration::from_secs(5);

/// A prefill endpoint must not hold KV state for as long as connecting to a decode endpoint may
/// take.
#[test]
fn an_attempt_without_a_connection_ends_at_write_by() {
    run_test_with_paused_clock(async {
        let server = FakeServer::start(1, Behaviour::Answer).await;
        let tasks = TaskGroup::default();
        let (handle, mut events) = Handle::new();
        let options = Options {
            connection_limit: 1,
            connect_timeout: Duration::from_millis(250),
            endpoint_idle_timeout: LONG,
            stream_idle_timeout: LONG,
            resumable_stream_idle_timeout: LONG,
            load_report_columns: LoadReportSettings::default(),
            memory: MemoryLedger::unlimited(),
        };
        let mut upstream = Upstream::new(handle, options, None, tasks.spawner());
        let endpoint = Rc::new(Endpoint::new("a", server.address));
        let now = Instant::now();
        let _only_connection = upstream
            .shared
            .pool
            .connect(&endpoint, now + LONG)
            .await
            .unwrap();
        let attempt = AttemptId {
            request: RequestId(1),
            number: 1,
        };
        let expires_at = now + LONG;
        let write_by = now + Duration::from_millis(90);
        upstream.send(AttemptSpec {
            attempt,
            request_id: "q".into(),
            endpoint,
            expires_at,
            write_by,
            needs_response: Rc::new(Cell::new(true)),
            prefill_only: false,
            non_idempotent: true,
            is_resumable: false,
            message: Rc::default(),
        });
        let event = events.recv().await;
        let Some(CoreEvent::AttemptEnded {
            report: AttemptReport { outcome, .. },
            ..
        }) = event
        else {
            panic!("the first event is not AttemptEnded")
        };
        assert_eq!(
            outcome,
            Outcome::ConnectFailed(ConnectFailure::LocalResources),
            "outcome of an attempt while the pool is full"
        );
        let expected = Duration::from_millis(90)..Duration::from_millis(100);
        assert!(
            expected.contains(&now.elapsed()),
            "ended after {:?}",
            now.elapsed()
        );
    });
}
