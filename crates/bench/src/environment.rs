//! The environment of a measurement: a router process with fake model servers and fake discovery.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use cranetack_testkit::{endpoint_entry, Behaviour, FakeDiscovery, FakeServer};

use crate::router_process::RouterProcess;

/// Number of fake model servers.
const SERVER_COUNT: usize = 2;
/// Number of requests that a fake server processes at the same time.
const SLOTS_PER_SERVER: usize = 2;

/// A router process and its fake model servers.
pub(crate) struct TestEnvironment {
    pub(crate) servers: Vec<Rc<FakeServer>>,
    pub(crate) router: RouterProcess,
    _discovery: Rc<FakeDiscovery>,
}

impl TestEnvironment {
    /// Starts the router that was built in `folder`, with the inference file of that version as
    /// changed by `edit`.
    pub(crate) async fn start(
        name: &str,
        folder: &Path,
        edit: impl Fn(String) -> String,
    ) -> std::io::Result<TestEnvironment> {
        let mut servers = Vec::new();
        for _ in 0..SERVER_COUNT {
            let server = FakeServer::start(SLOTS_PER_SERVER, Behaviour::Answer).await;
            server.recording_disabled.set(true);
            server.event_interval.set(Duration::ZERO);
            servers.push(server);
        }
        let endpoints = servers
            .iter()
            .map(|server| endpoint_entry(server, "mixed", "up"))
            .collect();
        let discovery = FakeDiscovery::start(endpoints).await;
        let inference_file = std::fs::read_to_string(folder.join("deploy/inference.toml"))?;
        let router = RouterProcess::start(
            name,
            &folder.join("target/release/cranetack"),
            &edit(inference_file),
            discovery.address,
        )
        .await?;
        Ok(TestEnvironment {
            servers,
            router,
            _discovery: discovery,
        })
    }

    /// Sets the service time of a request at all servers: a fixed time, plus a time for each KiB of
    /// its body.
    pub(crate) fn set_service_time(&self, fixed: Duration, per_kib: Duration) {
        for server in &self.servers {
            server.service_time.set(fixed);
            server.service_time_per_kib.set(per_kib);
        }
    }

    /// Makes one request out of `interval` fail at each server; 0 for none.
    pub(crate) fn set_failure_interval(&self, interval: usize) {
        for server in &self.servers {
            server.failure_interval.set(interval);
        }
    }
}
