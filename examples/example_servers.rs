//! Example servers on loopback, to try the router with: discovery on 127.0.0.1:8500 and two servers
//! that process prompts and generate answers. They serve until the program is stopped.

use std::time::Duration;

use cranetack_testkit::{endpoint_entry, Behaviour, FakeDiscovery, FakeServer};

/// Where the example configuration expects discovery.
const DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";
/// The number of servers.
const SERVERS: usize = 2;
/// Requests that a server processes at once.
const SLOTS_PER_SERVER: usize = 4;
/// How long a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn main() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut entries = Vec::new();
        for _ in 0..SERVERS {
            let server = FakeServer::start(SLOTS_PER_SERVER, Behaviour::Answer).await;
            server.service_time.set(SERVICE_TIME);
            println!("a server on {}", server.address);
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
