//! The router as a whole: it binds its addresses, starts its parts, and stops them in order.

mod bind;
mod capacity;
mod parts;

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::config::Config;
use crate::control;
use crate::frontend::inference::{self, Inference};
use crate::frontend::platform::Platform;
use crate::frontend::{self, ConnectionLimiter, Readiness};
use crate::gossip::GossipSocket;
use crate::tenants::Tenants;
use capacity::Capacity;
use parts::Parts;

/// Time that the core has, after the last response, to start the releases of KV state of requests
/// that were abandoned at the end of the shutdown.
const FINAL_EVENTS_DELAY: Duration = Duration::from_millis(50);
/// Time that the releases of KV state in progress may take. After it the router ends without
/// waiting for the rest of them.
const FINAL_RELEASES_TIMEOUT: Duration = Duration::from_millis(250);

/// The reason why a router cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The router cannot listen on an address.
    #[error("{key}: cannot listen on {address}: {source}")]
    Listen {
        /// The key of the address in the configuration.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The runtime cannot be built.
    #[error("cannot build the runtime: {0}")]
    Runtime(std::io::Error),
}

/// The services that an operator may enable in addition to the platform API, and the source of
/// discovery's address. Each is off by default.
#[derive(Default)]
pub struct RouterOptions {
    /// The inference API.
    pub inference: Option<inference::Setup>,
    /// The tenants whose keys the inference API accepts. Without them it is open to anybody.
    pub tenants: Option<Tenants>,
    /// The control service.
    pub control: Option<control::Setup>,
    /// A receiver of discovery's address, if the address may change while the router runs.
    pub discovery: Option<watch::Receiver<SocketAddr>>,
}

/// A router that listens on its addresses and does not serve yet.
pub struct Router {
    config: Config,
    platform: TcpListener,
    inference: Option<(TcpListener, inference::Setup)>,
    tenants: Option<Tenants>,
    control: Option<(TcpListener, control::Setup)>,
    discovery_address: watch::Receiver<SocketAddr>,
    gossip: Option<GossipSocket>,
}

impl Router {
    /// Returns the address for clients of the platform API.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.platform.local_addr()
    }

    /// Returns the address for clients of the inference API, if the API is enabled.
    pub fn inference_address(&self) -> Option<std::io::Result<SocketAddr>> {
        let (listener, _) = self.inference.as_ref()?;
        Some(listener.local_addr())
    }

    /// Returns the address for other proxies, if the control service is enabled.
    pub fn control_address(&self) -> Option<std::io::Result<SocketAddr>> {
        let (listener, _) = self.control.as_ref()?;
        Some(listener.local_addr())
    }

    /// Serves until `signal` completes and all accepted requests have their final response. Must
    /// run within a `LocalSet`.
    pub async fn serve(self, signal: impl Future<Output = ()> + 'static) {
        let Router {
            config,
            platform,
            inference,
            tenants,
            control,
            discovery_address,
            gossip,
        } = self;
        let capacity = Capacity::new(&config.limits);
        let (parts, events) = Parts::new(config, capacity, gossip.as_ref(), signal);
        let mut releases_in_progress = parts.start_core(events, gossip);
        let discovery_done = parts.start_discovery(discovery_address);
        parts.start_shutdown_notification();
        parts.start_memory_log();
        let readiness = Readiness::new(discovery_done, parts.phase.clone());
        let site = &parts.config.site;
        let service = Platform::new(parts.frontend_context(), site, readiness);
        tracing::info!(name = parts.config.name, listen = %parts.config.listen, "serving");
        let limiter = ConnectionLimiter::new(capacity.client_connections, parts.memory.clone());
        let control_tasks = control.map(|(listener, setup)| parts.start_control(listener, setup));
        tokio::join!(
            frontend::serve(platform, service, &limiter, parts.phase.clone()),
            serve_inference(&parts, inference, tenants, &limiter)
        );
        // Proxies stay subscribed for as long as they run; no accepted request depends on them.
        drop(control_tasks);
        tracing::info!(
            memory_peak_bytes = parts.memory.peak(),
            memory_refused = parts.memory.refused(),
            "all accepted requests answered"
        );
        tokio::time::sleep(FINAL_EVENTS_DELAY).await;
        let released = releases_in_progress.wait_for(|count| *count == 0);
        if timeout(FINAL_RELEASES_TIMEOUT, released).await.is_err() {
            tracing::warn!(
                "router ends: KV state was not released within {FINAL_RELEASES_TIMEOUT:?}"
            );
        }
    }
}

/// Serves the inference API, if it is enabled.
async fn serve_inference(
    parts: &Parts,
    inference: Option<(TcpListener, inference::Setup)>,
    tenants: Option<Tenants>,
    limiter: &Rc<ConnectionLimiter>,
) {
    let Some((listener, setup)) = inference else {
        return;
    };
    tracing::info!(listen = %setup.listen, "serving the inference API");
    let service = Inference::new(
        parts.frontend_context(),
        setup.within_memory(parts.inference_body_bytes()),
        &parts.config.site,
        &parts.config.settings,
        tenants,
        parts.config.seed,
    );
    frontend::serve(listener, service, limiter, parts.phase.clone()).await;
}
