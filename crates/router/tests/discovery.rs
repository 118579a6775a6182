//! How discovery is called, over sockets.

mod common;

use std::time::Duration;

use common::{endpoint_entry, run, settings, Behaviour, Client, FakeDiscovery, FakeServer};
use cranetack_router::config::Config;
use cranetack_router::{Extras, Router};
use serde_json::{json, Value};
use tokio::task::spawn_local;

fn config(discovery: &FakeDiscovery, routers: u32, known: &Value) -> Config {
    let mut settings = settings();
    settings["balancers"] = json!(routers);
    let file = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "7", "limits": {"sockets": 64}, "settings": settings, "known": known});
    Config::parse(file.to_string().as_bytes()).unwrap()
}

/// Guards against a restarted router that has the whole list made for it, and then a watch, where all that it lacks
/// is what has changed: at a busy service each is a call.
#[test]
fn a_restarted_router_asks_for_what_has_changed_since_its_last_list() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        let discovery = FakeDiscovery::start(vec![endpoint_entry(&worker, "mixed", "up")]).await;
        let entry = endpoint_entry(&worker, "mixed", "up");
        let known = json!({"index": 1, "snapshot": true, "endpoints": [entry]});
        let router = Router::bind(config(&discovery, 100, &known), Extras::default())
            .await
            .unwrap();
        let address = router.address().unwrap();
        spawn_local(router.serve(std::future::pending()));
        let mut client = Client::connect(address).await;
        while client.get("/up").await.0 != 200 {}
        assert_eq!(client.send_chat("r0", "chat", 5_000).await.0, 200);
        let calls = discovery.queries.borrow();
        assert_eq!(calls[0], "from=1&hold_ms=0");
        let hold = |call: &String| {
            call.strip_prefix("from=1&hold_ms=")
                .and_then(|ms| ms.parse::<u32>().ok())
        };
        assert!(
            calls[1..]
                .iter()
                .all(|c| hold(c).is_some_and(|ms| (1_000..=2_000).contains(&ms))),
            "{calls:?}"
        );
    });
}

/// Guards against a refused call that is made again 20 times a second by each of a hundred routers.
#[test]
fn one_of_many_routers_that_is_refused_does_not_ask_again_soon() {
    run(async {
        let discovery = FakeDiscovery::start(vec![]).await;
        discovery.overloaded.set(true);
        let router = Router::bind(config(&discovery, 100, &Value::Null), Extras::default())
            .await
            .unwrap();
        spawn_local(router.serve(std::future::pending()));
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(discovery.queries.borrow().len(), 1);
    });
}
