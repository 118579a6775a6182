//! A router between the stand-ins, for the network tests.
#![allow(dead_code, unused_imports)]

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
pub struct Bed {
    pub discovery: Rc<FakeDiscovery>,
    /// Tells the router that discovery has moved.
    pub moves: watch::Sender<SocketAddr>,
    pub platform: SocketAddr,
    pub inference: SocketAddr,
    pub control: SocketAddr,
    pub stop: Option<oneshot::Sender<()>>,
    pub stopped: tokio::task::JoinHandle<()>,
}

const SHIPPED: &str = include_str!("../../../../deploy/inference.toml");

/// The second front's file for most tests: small slices, and any name of a model will do.
pub fn file(edits: &[(&str, &str)]) -> String {
    let file = SHIPPED
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

impl Bed {
    /// A router on both fronts, ready for requests.
    pub async fn start(lines: Vec<Value>) -> Bed {
        Bed::start_with(lines, None).await
    }

    pub async fn start_with(lines: Vec<Value>, tenants: Option<Tenants>) -> Bed {
        Bed::start_set(lines, tenants, settings()).await
    }

    pub async fn start_set(lines: Vec<Value>, tenants: Option<Tenants>, settings: Value) -> Bed {
        Bed::start_all(lines, tenants, settings, &file(&[])).await
    }

    /// With other words in the second front's file.
    pub async fn start_front(lines: Vec<Value>, edits: &[(&str, &str)]) -> Bed {
        Bed::start_all(lines, None, settings(), &file(edits)).await
    }

    /// With the second front's file as it is shipped.
    pub async fn start_shipped(lines: Vec<Value>) -> Bed {
        Bed::start_all(lines, None, settings(), SHIPPED).await
    }

    async fn start_all(
        lines: Vec<Value>,
        tenants: Option<Tenants>,
        settings: Value,
        file: &str,
    ) -> Bed {
        let discovery = FakeDiscovery::start(lines).await;
        let config = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "7", "limits": {"sockets": 64}, "settings": settings});
        let config = Config::parse(config.to_string().as_bytes()).unwrap();
        let file = file.replace("127.0.0.1:8090", "127.0.0.1:0");
        let listen = "127.0.0.1:0".parse().unwrap();
        let control = control::Setup {
            listen,
            period_ms: 5,
            weight_steps: 20,
        };
        let (moves, moved) = watch::channel(discovery.address);
        let inference = Some(parse_toml(&file).unwrap());
        let extras = Extras {
            inference,
            tenants,
            control: Some(control),
            discovery: Some(moved),
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
        Bed {
            discovery,
            moves,
            platform,
            inference,
            control,
            stop: Some(stop),
            stopped,
        }
    }
}
