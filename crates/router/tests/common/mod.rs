//! A router between the fake servers of the test kit, for the network tests.
#![allow(dead_code, unused_imports, unreachable_pub)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use cranetack_testkit::*;

use cranetack_router::config::{parse_toml, Config};
use cranetack_router::tenants::Tenants;
use cranetack_router::{control, Extras, Router};
use serde_json::{json, Value};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;

/// A router under test.
pub struct TestRouter {
    /// The discovery service that it watches.
    pub discovery: Rc<FakeDiscovery>,
    /// Changes the address of discovery.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// The address of its platform API.
    pub platform: SocketAddr,
    /// The address of its inference API.
    pub inference: SocketAddr,
    /// The address of its control service.
    pub control: SocketAddr,
    /// Starts its shutdown.
    pub stop: Option<oneshot::Sender<()>>,
    /// Ends with the router.
    pub stopped: tokio::task::JoinHandle<()>,
}

const SHIPPED_FILE: &str = include_str!("../../../../deploy/inference.toml");

/// The file of the inference API for most tests: small slices, and any name of a model is valid.
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
        assert!(file.contains(from), "{from}");
        file = file.replace(from, to);
    }
    file
}

/// The configuration file of a router that watches this discovery service.
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
    /// A router on both APIs, ready for requests, with these entries of the endpoint list.
    pub async fn start(entries: Vec<Value>) -> TestRouter {
        TestRouter::start_with_tenants(entries, None).await
    }

    /// With tenants.
    pub async fn start_with_tenants(entries: Vec<Value>, tenants: Option<Tenants>) -> TestRouter {
        TestRouter::start_with_file(entries, tenants, settings(), &inference_file(&[])).await
    }

    /// With these settings of the site.
    pub async fn start_with_settings(entries: Vec<Value>, settings: Value) -> TestRouter {
        TestRouter::start_with_file(entries, None, settings, &inference_file(&[])).await
    }

    /// With edits of the file of the inference API.
    pub async fn start_with_edits(entries: Vec<Value>, edits: &[(&str, &str)]) -> TestRouter {
        TestRouter::start_with_file(entries, None, settings(), &inference_file(edits)).await
    }

    /// With the file of the inference API as it is shipped.
    pub async fn start_shipped(entries: Vec<Value>) -> TestRouter {
        TestRouter::start_with_file(entries, None, settings(), SHIPPED_FILE).await
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
        let extras = Extras {
            inference,
            tenants,
            control: Some(control),
            discovery: Some(address_changes),
        };
        let router = Router::bind(config, extras).await.unwrap();
        let control = router.control_address().unwrap().unwrap();
        let platform = router.address().unwrap();
        let inference = router.inference_address().unwrap().unwrap();
        let (stop, stopping) = oneshot::channel::<()>();
        let stopped = spawn_local(router.serve(async { drop(stopping.await) }));
        while Client::connect(platform).await.get("/up").await.0 != 200 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        TestRouter {
            discovery,
            discovery_address,
            platform,
            inference,
            control,
            stop: Some(stop),
            stopped,
        }
    }
}
