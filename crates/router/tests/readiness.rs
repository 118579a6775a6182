//! From the start to being ready, whatever discovery does and whichever list a router held last; and clients that crowd
//! in meanwhile.

mod common;

use std::time::Duration;

use common::{
    endpoint_entry, run, run_paused, settings, Bed, Behaviour, Client, FakeServer, ManualServer,
    RawClient,
};
use cranetack_router::config::Config;
use cranetack_router::{Extras, Router};
use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// In half of the time in which nine in ten restarted routers must be ready.
const READY_WITHIN: Duration = Duration::from_secs(5);

/// A list of so many servers that are not there.
fn long_list(servers: usize) -> Value {
    let line = |number: usize| {
        let address = format!("127.0.{}.{}:9", number / 250, number % 250 + 1);
        json!({"name": format!("s{number}"), "address": address, "zone": "here", "type": "mixed", "group": number % 40,
            "status": "up", "weight": 1.0, "since_ms": 0})
    };
    json!({"index": 9, "snapshot": true, "endpoints": (0..servers).map(line).collect::<Vec<_>>()})
}

/// Guards against a router that is not ready because discovery is silent, or because of the list that it held last:
/// none, an empty one, a long one, or one with lines of which nothing can be made.
#[test]
fn a_router_is_ready_soon_though_discovery_is_silent_whichever_list_it_held() {
    let odd = json!({"index": 0, "snapshot": true, "endpoints": [7, {}, {"name": "a"},
        {"name": "b", "address": "nowhere", "zone": "here", "type": "mixed", "status": "up"},
        {"name": "c", "address": "127.0.0.1:9", "zone": "elsewhere", "type": "mixed", "status": "up"},
        {"name": "d", "address": "127.0.0.1:9", "zone": "here", "type": "unheard-of", "status": "up"},
        {"name": "e", "address": "127.0.0.1:9", "zone": "here", "type": "mixed", "status": "removed"}]});
    let empty = json!({"index": 1, "snapshot": true, "endpoints": []});
    for known in [Value::Null, empty, odd, long_list(2_000)] {
        run_paused(async {
            let discovery = ManualServer::start().await;
            let config = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
                "seed": "7", "limits": {"sockets": 64}, "settings": settings(), "known": known});
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

/// Guards against idle clients that take what discovery, servers and other clients need: they fill the places of clients
/// while discovery is silent, and at its return the new list is heard and its server used.
#[test]
fn idle_clients_up_to_the_limit_keep_out_neither_discovery_nor_a_request() {
    run(async {
        let (old, new) = (
            FakeServer::start(4, Behaviour::Answer).await,
            FakeServer::start(4, Behaviour::Answer).await,
        );
        let bed = Bed::start(vec![endpoint_entry(&old, "mixed", "up")]).await;
        bed.discovery.silent.set(true);
        // 64 descriptors less 32 are shared by servers and clients, and theirs by two fronts.
        let mut idle = Vec::new();
        for _ in 0..24 {
            idle.push(RawClient::connect(bed.platform).await);
        }
        bed.discovery.publish(vec![
            endpoint_entry(&old, "mixed", "draining"),
            endpoint_entry(&new, "mixed", "up"),
        ]);
        bed.discovery.close_connections();
        bed.discovery.silent.set(false);
        while new.count_started("/v1/chat/completions") == 0 {
            idle.push(RawClient::connect(bed.platform).await);
            let id = format!("k{}", idle.len());
            assert_eq!(
                Client::connect(bed.platform)
                    .await
                    .send_chat(&id, "chat", 5_000)
                    .await
                    .0,
                200
            );
        }
        let before = old.count_started("/v1/chat/completions");
        assert_eq!(
            Client::connect(bed.platform)
                .await
                .send_chat("last", "chat", 5_000)
                .await
                .0,
            200
        );
        assert_eq!(
            old.count_started("/v1/chat/completions"),
            before,
            "nothing new to a server that drains"
        );
    });
}
