//! A router under test, with the fake servers of the test kit, for the integration tests.
#![allow(dead_code, unused_imports, unreachable_pub)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use cranetack_testkit::*;

use cranetack_router::config::{parse_toml, Config};
use cranetack_router::tenants::Tenants;
use cranetack_router::{control, Router, RouterOptions};
use serde_json::{json, Value};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;

/// A router under test.
pub struct TestRouter {
    /// The discovery service that the router watches.
    pub discovery: Rc<FakeDiscovery>,
    /// Changes the address at which the router reaches the discovery service.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// The address of the router's platform API.
    pub platform: SocketAddr,
    /// The address of the router's inference API.
    pub inference: SocketAddr,
    /// The address of the router's control service.
    pub control: SocketAddr,
    /// Starts the router's shutdown.
    pub shutdown_sender: Option<oneshot::Sender<()>>,
    /// The router's task, which ends when the router has shut down.
    pub stopped: tokio::task::JoinHandle<()>,
}

const SHIPPED_FILE: &str = include_str!("../../../../deploy/inference.toml");

/// The inference API's file for most tests: the shipped file with smaller slices, without models
/// (so that any model name is valid), and with these edits.
pub fn inference_file(edits: &[(&str, &str)]) -> String {
    let file = SHIPPED_FILE
        .replace("slice_tokens = 2048", "slice_tokens = 256")
        .replace("slice_target_ms = 50", "slice_target_ms = 20");
    let mut file = file
        .split("# Without any model")
        .next()
        .unwrap_or_default()
        .to_owned();
    for (from, to) in edits {
        assert!(file.contains(from), "the file does not contain {from:?}");
        file = file.replace(from, to);
    }
    file
}

/// The configuration file of a router that watches the discovery service at this address.
pub fn config_file(discovery: SocketAddr, settings: Value) -> Value {
    json!({
        "name": "r0",
        "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "seed": "7",
        "limits": {"sockets": 64},
        "settings": settings,
    })
}

impl TestRouter {
    /// Starts a router with these endpoint list entries, and waits until it is ready for requests.
    pub async fn start(entries: Vec<Value>) -> TestRouter {
        TestRouter::start_with_tenants(entries, None).await
    }

    /// Starts a router with these tenants.
    pub async fn start_with_tenants(entries: Vec<Value>, tenants: Option<Tenants>) -> TestRouter {
        TestRouter::start_with_file(entries, tenants, test_settings(), &inference_file(&[])).await
    }

    /// Starts a router with these settings.
    pub async fn start_with_settings(entries: Vec<Value>, settings: Value) -> TestRouter {
        TestRouter::start_with_file(entries, None, settings, &inference_file(&[])).await
    }

    /// Starts a router with the inference API's file for most tests and these edits to it.
    pub async fn start_with_edits(entries: Vec<Value>, edits: &[(&str, &str)]) -> TestRouter {
        TestRouter::start_with_file(entries, None, test_settings(), &inference_file(edits)).await
    }

    /// Starts a router with the shipped file of the inference API.
    pub async fn start_shipped(entries: Vec<Value>) -> TestRouter {
        TestRouter::start_with_file(entries, None, test_settings(), SHIPPED_FILE).await
    }

    async fn start_with_file(
        entries: Vec<Value>,
        tenants: Option<Tenants>,
        settings: Value,
        file: &str,
    ) -> TestRouter {
        let discovery = FakeDiscovery::start(entries).await;
        let config = config_file(discovery.address, settings);
        let config = Config::parse(config.to_string().as_bytes()).unwrap();
        let file = file.replace("127.0.0.1:8090", "127.0.0.1:0");
        let listen = "127.0.0.1:0".parse().unwrap();
        let control = control::Setup {
            listen,
            period_ms: 5,
            weight_steps: 20,
        };
        let (discovery_address, address_changes) = watch::channel(discovery.address);
        let inference = Some(parse_toml(&file).unwrap());
        let options = RouterOptions {
            inference,
            tenants,
            control: Some(control),
            discovery: Some(address_changes),
        };
        let router = Router::bind(config, options).await.unwrap();
        let control = router.control_address().unwrap().unwrap();
        let platform = router.address().unwrap();
        let inference = router.inference_address().unwrap().unwrap();
        let (shutdown_sender, shutdown_receiver) = oneshot::channel::<()>();
        let stopped = spawn_local(router.serve(async { drop(shutdown_receiver.await) }));
        while Client::connect(platform).await.get("/up").await.0 != 200 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        TestRouter {
            discovery,
            discovery_address,
            platform,
            inference,
            control,
            shutdown_sender: Some(shutdown_sender),
            stopped,
        }
    }
}
