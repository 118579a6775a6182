//! Tests of readiness after a start: without a response from discovery, with several restored
//! endpoint lists, and with as many idle clients as the limit allows.

mod common;

use std::time::Duration;

use common::{
    config_file, endpoint_entry, run_test, run_test_with_paused_clock, test_settings, Behaviour,
    Client, FakeServer, ManualServer, RawClient, TestRouter,
};
use cranetack_router::config::Config;
use cranetack_router::{Router, RouterOptions};
use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Half of the time within which nine in ten restarted routers must be ready.
const READY_WITHIN: Duration = Duration::from_secs(5);

/// Returns an endpoint list with this many endpoints, none of which exists.
fn nonexistent_endpoints(endpoint_count: usize) -> Value {
    let entry = |number: usize| {
        let address = format!("127.0.{}.{}:9", number / 250, number % 250 + 1);
        json!({
            "name": format!("s{number}"),
            "address": address,
            "zone": "here",
            "type": "mixed",
            "group": number % 40,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
        })
    };
    let entries: Vec<_> = (0..endpoint_count).map(entry).collect();
    json!({"index": 9, "snapshot": true, "endpoints": entries})
}

/// The restored endpoint list may be absent, empty or long, or have entries that cannot be decoded.
#[test]
fn a_router_is_ready_soon_without_a_response_from_discovery_whichever_list_it_restores() {
    let entry = |name: &str, address: &str, zone: &str, kind: &str, status: &str| json!({"name": name, "address": address, "zone": zone, "type": kind, "status": status});
    let undecodable = json!({"index": 0, "snapshot": true, "endpoints": [
        7,
        {},
        {"name": "a"},
        entry("b", "nowhere", "here", "mixed", "up"),
        entry("c", "127.0.0.1:9", "elsewhere", "mixed", "up"),
        entry("d", "127.0.0.1:9", "here", "unheard-of", "up"),
        entry("e", "127.0.0.1:9", "here", "mixed", "removed"),
    ]});
    let empty = json!({"index": 1, "snapshot": true, "endpoints": []});
    for restored_list in [
        Value::Null,
        empty,
        undecodable,
        nonexistent_endpoints(2_000),
    ] {
        run_test_with_paused_clock(async {
            let discovery = ManualServer::start().await;
            let mut config = config_file(discovery.address, test_settings());
            config["known"] = restored_list;
            let config = Config::parse(config.to_string().as_bytes()).unwrap();
            let router = Router::bind(config, RouterOptions::default())
                .await
                .unwrap();
            let address = router.address().unwrap();
            let started = Instant::now();
            spawn_local(router.serve(std::future::pending()));
            while Client::connect(address).await.get("/up").await.0 != 200 {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            assert!(
                started.elapsed() < READY_WITHIN,
                "the router was ready only after {:?}",
                started.elapsed()
            );
        });
    }
}

/// Idle clients take all connections while discovery does not respond. Once it responds, the router
/// must receive the new endpoint list and use the new endpoint.
#[test]
fn idle_clients_up_to_the_limit_block_neither_discovery_nor_requests() {
    run_test(async {
        let old = FakeServer::start(4, Behaviour::Answer).await;
        let new = FakeServer::start(4, Behaviour::Answer).await;
        let router = TestRouter::start(vec![endpoint_entry(&old, "mixed", "up")]).await;
        router.discovery.ignores_watches.set(true);
        // Of the 64 file descriptors, 32 are reserved. Connections to endpoints and clients have 16
        // each, and the clients of the two APIs 8 each.
        let mut idle = Vec::new();
        for _ in 0..24 {
            idle.push(RawClient::connect(router.platform).await);
        }
        router.discovery.publish(vec![
            endpoint_entry(&old, "mixed", "draining"),
            endpoint_entry(&new, "mixed", "up"),
        ]);
        router.discovery.close_connections();
        router.discovery.ignores_watches.set(false);
        while new.count_started("/v1/chat/completions") == 0 {
            idle.push(RawClient::connect(router.platform).await);
            let id = format!("k{}", idle.len());
            assert_eq!(
                Client::connect(router.platform)
                    .await
                    .send_chat(&id, "chat", 5_000)
                    .await
                    .0,
                200
            );
        }
        let before = old.count_started("/v1/chat/completions");
        assert_eq!(
            Client::connect(router.platform)
                .await
                .send_chat("last", "chat", 5_000)
                .await
                .0,
            200
        );
        assert_eq!(
            old.count_started("/v1/chat/completions"),
            before,
            "a draining endpoint has received a new request"
        );
    });
}
