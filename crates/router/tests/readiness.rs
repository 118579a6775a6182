//! Readiness after a start, whatever discovery does, whichever endpoint list the router had last,
//! and however many clients connect meanwhile.

mod common;

use std::time::Duration;

use common::{
    config_file, endpoint_entry, run, run_paused, settings, Behaviour, Client, FakeServer,
    ManualServer, RawClient, TestRouter,
};
use cranetack_router::config::Config;
use cranetack_router::{Extras, Router};
use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Half of the time within which nine in ten restarted routers must be ready.
const READY_WITHIN: Duration = Duration::from_secs(5);

/// A list of this many endpoints that do not exist.
fn long_list(endpoints: usize) -> Value {
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
    let entries: Vec<_> = (0..endpoints).map(entry).collect();
    json!({"index": 9, "snapshot": true, "endpoints": entries})
}

/// The list that it had last may be absent, empty, long, or have entries that cannot be decoded.
#[test]
fn a_router_is_ready_soon_without_a_response_of_discovery_whichever_list_it_had() {
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
    for known in [Value::Null, empty, undecodable, long_list(2_000)] {
        run_paused(async {
            let discovery = ManualServer::start().await;
            let mut config = config_file(discovery.address, settings());
            config["known"] = known;
            let config = Config::parse(config.to_string().as_bytes()).unwrap();
            let router = Router::bind(config, Extras::default()).await.unwrap();
            let address = router.address().unwrap();
            let started = Instant::now();
            spawn_local(router.serve(std::future::pending()));
            while Client::connect(address).await.get("/up").await.0 != 200 {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            assert!(started.elapsed() < READY_WITHIN, "{:?}", started.elapsed());
        });
    }
}

/// Idle clients use up all connections while discovery does not respond. Once it does, the new list
/// is received and its endpoint is used.
#[test]
fn idle_clients_up_to_the_limit_block_neither_discovery_nor_requests() {
    run(async {
        let old = FakeServer::start(4, Behaviour::Answer).await;
        let new = FakeServer::start(4, Behaviour::Answer).await;
        let router = TestRouter::start(vec![endpoint_entry(&old, "mixed", "up")]).await;
        router.discovery.silent.set(true);
        // 64 descriptors less 32 are shared by endpoints and clients, and those of clients by two
        // APIs.
        let mut idle = Vec::new();
        for _ in 0..24 {
            idle.push(RawClient::connect(router.platform).await);
        }
        router.discovery.publish(vec![
            endpoint_entry(&old, "mixed", "draining"),
            endpoint_entry(&new, "mixed", "up"),
        ]);
        router.discovery.close_connections();
        router.discovery.silent.set(false);
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
            "no new requests to an endpoint that drains"
        );
    });
}
