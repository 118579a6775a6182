//! A router for a model service in which prompts are read and answers written by different servers. All
//! decisions are the module's; this library carries them out on sockets.
//!
//! A request comes in at a [`front`], which decodes it and waits at an [`exchange`]. The [`core`] asks the
//! module and has the [`upstream`] make attempts, whose ends it is told. [`discovery`] and [`peers`] feed it
//! news. [`run`] puts the parts together.

pub mod config;
pub mod core;
pub mod discovery;
pub mod exchange;
pub mod front;
pub mod peers;
pub mod shutdown;
pub mod upstream;

use std::future::Future;
use std::time::Duration;

use cranetack::ListForm;
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

use crate::config::Config;
use crate::core::{Clock, Core, Handle, Happening};

/// Why a router cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("{key}: {address} cannot be listened on: {source}")]
    Listen {
        /// The key in the configuration.
        key: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The runtime cannot be built.
    #[error("the runtime cannot be started: {0}")]
    Runtime(std::io::Error),
}

/// How long the router waits for a fresh list before it is ready with the one it knows.
const FRESH_WAIT: Duration = Duration::from_millis(1_500);
/// Descriptors for all but connections of clients and workers: listeners, discovery, logs and the runtime.
const SPARE: usize = 32;

/// Runs a router on this thread until `signal` completes and all that it has taken is answered.
pub fn run<F>(config: Config, signal: impl FnOnce() -> F) -> Result<(), StartError>
where
    F: Future<Output = ()> + 'static,
{
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, async { serve(config, signal()).await })
}

/// Runs a router within a `LocalSet`.
pub async fn serve(config: Config, signal: impl Future<Output = ()> + 'static) -> Result<(), StartError> {
    let listen = |key, address| move |source| StartError::Listen { key, address, source };
    let listener = front::bind(config.listen).await.map_err(listen("listen", config.listen))?;
    let (handle, happenings) = Handle::new();
    let peers = match config.peering {
        Some(peering) => {
            let address = peering.listen;
            Some(peers::Peers::bind(peering).await.map_err(listen("peer_listen", address))?)
        }
        None => None,
    };
    if let Some(peers) = &peers {
        spawn_local(peers.clone().receive(handle.clone()));
    }
    let phase = shutdown::phases(signal);
    let each = (config.limits.sockets - SPARE) / 2;
    let options = upstream::Options {
        most_links: each,
        connect_timeout: config.facts.allowed.connect_timeout().unwrap_or(Duration::from_millis(250)),
        idle_close: config.facts.allowed.idle_close().unwrap_or(Duration::from_secs(15)),
        report: config.facts.report.clone(),
    };
    let outbound = upstream::Upstream::new(handle.clone(), options, peers);
    let core = Core::new(config.settings, config.seed, Clock::system(), outbound);
    spawn_local(core.run(happenings));
    if let Some(known) = &config.known {
        handle.tell(Happening::Members(ListForm::Stale, known.listed(&config.facts)));
    }
    let (fresh_tx, fresh) = watch::channel(false);
    let late = fresh_tx.clone();
    spawn_local(discovery::watch(config.discovery, config.facts.clone(), handle.clone(), fresh_tx));
    spawn_local(async move {
        tokio::time::sleep(FRESH_WAIT).await;
        late.send_replace(true);
    });
    let service =
        front::platform::Platform::new(handle, &config.facts, front::Readiness::new(fresh), phase.clone());
    tracing::info!(name = config.name, listen = %config.listen, "serving");
    front::serve(listener, service, each, phase).await;
    tracing::info!("all that was taken has been answered");
    Ok(())
}
