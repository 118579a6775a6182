//! Example servers on loopback for trying out the router: discovery on 127.0.0.1:8500 and two model
//! servers for prefill and decode. They run until the program is stopped.

use std::time::Duration;

use cranetack_testkit::{endpoint_entry, Behaviour, FakeDiscovery, FakeServer};

/// The address at which the example configuration expects discovery.
const DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";
/// Number of model servers.
const SERVER_COUNT: usize = 2;
/// Number of requests that a model server processes at the same time.
const SLOTS_PER_SERVER: usize = 4;
/// Time that a model server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn main() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut entries = Vec::new();
        for _ in 0..SERVER_COUNT {
            let server = FakeServer::start(SLOTS_PER_SERVER, Behaviour::Answer).await;
            server.service_time.set(SERVICE_TIME);
            println!("model server on {}", server.address);
            entries.push(endpoint_entry(&server, "mixed", "up"));
        }
        let discovery = FakeDiscovery::start_at(DISCOVERY_ADDRESS, entries).await;
        println!(
            "discovery on {}; start the router with `make run`",
            discovery.address
        );
        std::future::pending().await
    })
}
