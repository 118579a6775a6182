//! Tests of short calls to endpoints that do not respond, on a paused clock.

use cranetack_settings::LoadReportSettings;
use cranetack_testkit::{
    run_test_with_paused_clock, Behaviour, FakeServer, ManualServer, Observation,
};

use super::*;
use crate::core::Handle;
use crate::memory::MemoryLedger;
use crate::upstream::{ConnectionPool, Options};

const MS: Duration = Duration::from_millis(1);

fn shared() -> Rc<Shared> {
    let options = Options {
        connection_limit: 32,
        connect_timeout: 250 * MS,
        endpoint_idle_timeout: 15_000 * MS,
        stream_idle_timeout: 4_000 * MS,
        resumable_stream_idle_timeout: 4_000 * MS,
        load_report_columns: LoadReportSettings::default(),
        memory: MemoryLedger::unlimited(),
    };
    let pool = ConnectionPool::new(
        options.connection_limit,
        options.connect_timeout,
        options.endpoint_idle_timeout,
        options.memory.clone(),
    );
    Rc::new(Shared {
        handle: Handle::new().0,
        releases_in_progress: watch::Sender::new(0),
        pool,
        options,
    })
}

/// State must be released within 300 ms of the configured lease timeout, and the policy uses a part
/// of this time before it requests the release.
#[test]
fn state_is_released_in_time_after_four_unresponsive_endpoints_in_a_row() {
    run_test_with_paused_clock(async {
        let mut unresponsive_servers = Vec::new();
        let mut endpoints = Vec::new();
        for number in 0..4 {
            let server = ManualServer::start().await;
            let name = format!("silent{number}");
            endpoints.push(Rc::new(Endpoint::new(&name, server.address)));
            unresponsive_servers.push(server);
        }
        let server = FakeServer::start(1, Behaviour::Answer).await;
        endpoints.push(Rc::new(Endpoint::new("server", server.address)));
        let started = Instant::now();
        shared().release("q1".into(), endpoints).await;
        let release = Observation::SlotCall {
            method: "DELETE".to_owned(),
            id: "q1".to_owned(),
        };
        assert!(server.observations.borrow().contains(&release));
        assert!(
            started.elapsed() <= 250 * MS,
            "released after {:?}",
            started.elapsed()
        );
    });
}
