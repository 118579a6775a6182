//! Tests of the router's calls to discovery, over sockets.

mod common;

use std::time::Duration;

use common::{
    config_file, endpoint_entry, run_test, test_settings, Behaviour, Client, FakeDiscovery,
    FakeServer,
};
use cranetack_router::config::Config;
use cranetack_router::{Router, RouterOptions};
use serde_json::{json, Value};
use tokio::task::spawn_local;

fn config(discovery: &FakeDiscovery, router_count: u32, known: &Value) -> Config {
    let mut settings = test_settings();
    settings["balancers"] = json!(router_count);
    let mut file = config_file(discovery.address, settings);
    file["known"] = known.clone();
    Config::parse(file.to_string().as_bytes()).unwrap()
}

/// Fetching the complete list before the first watch would cost a second call to a service that may
/// be overloaded.
#[test]
fn a_restarted_router_requests_the_changes_since_its_last_list() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let discovery = FakeDiscovery::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        let known = json!({"index": 1, "snapshot": true, "endpoints": [endpoint_entry(&server, "mixed", "up")]});
        let router = Router::bind(config(&discovery, 100, &known), RouterOptions::default())
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
                .all(|call| hold(call).is_some_and(|ms| (1_000..=2_000).contains(&ms))),
            "queries of the router's calls: {calls:?}"
        );
    });
}

/// If a hundred routers retried at once, the service would stay overloaded.
#[test]
fn one_of_many_routers_does_not_retry_a_rejected_call_soon() {
    run_test(async {
        let discovery = FakeDiscovery::start(vec![]).await;
        discovery.overloaded.set(true);
        let router = Router::bind(
            config(&discovery, 100, &Value::Null),
            RouterOptions::default(),
        )
        .await
        .unwrap();
        spawn_local(router.serve(std::future::pending()));
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(discovery.queries.borrow().len(), 1);
    });
}
