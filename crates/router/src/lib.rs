//! A router for a model service in which prompts are read and answers written by different servers. All
//! decisions are the module's; this library carries them out on sockets.
//!
//! A request comes in at a [`front`], which decodes it and waits at an [`exchange`]. The [`core`] asks the
//! module and has the [`upstream`] make attempts, whose ends it is told. [`discovery`] and [`peers`] feed it
//! news. [`run`] puts the parts together.

mod backoff;
mod closing;
pub mod config;
pub mod control;
pub mod core;
pub mod discovery;
pub mod exchange;
mod framing;
pub mod frontend;
pub mod peers;
pub mod shutdown;
mod socket;
pub mod tasks;
pub mod tenants;
pub mod upstream;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cranetack_settings::ClassSettings;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout, Instant};

use crate::config::Config;
use crate::core::{Clock, Core, CoreEvent, EndpointListUpdate, Handle};
use crate::frontend::inference::Inference;
use crate::frontend::platform::Platform;
use crate::peers::Peers;
use crate::tasks::TaskGroup;
use crate::tenants::Tenants;
use crate::upstream::Upstream;

/// Why a router cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("{key}: {address} cannot be listened on: {source}")]
    Listen {
        /// The key in the configuration.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The runtime cannot be built.
    #[error("the runtime cannot be started: {0}")]
    Runtime(std::io::Error),
}

/// For how long the addresses of a start are asked for again, and how often.
const START_PATIENCE: Duration = Duration::from_secs(3);
const START_RETRY: Duration = Duration::from_millis(50);
/// How long the router waits for a fresh list before it is ready with the one it knows.
const FRESH_WAIT: Duration = Duration::from_millis(1_500);
/// Descriptors for all but connections of clients and workers: listeners, discovery, logs and the runtime.
const SPARE: usize = 32;
/// After the last answer, until what is held for requests that were given up at the end is known to be let go of ...
const LAST_EVENTS: Duration = Duration::from_millis(50);
/// ... and for that, at most.
const LAST_RELEASES: Duration = Duration::from_millis(250);
/// Clients' connections at most, whatever the descriptors: each may hold a body of 256 KiB, and a buffer.
const CLIENTS_MOST: usize = 384;
/// How long a stream may be silent before it counts as broken: a machine that has vanished says nothing. Clients are not
/// left waiting for 5 s after the last event. Where they ask another router for the rest, an early end lets them.
const SILENCE_RESUMED: Duration = Duration::from_millis(4_000);
/// Where they do not, a stream that is ended is lost, so it is given as much of the 5 s as is safe.
const SILENCE: Duration = Duration::from_millis(4_500);
/// Where the settings are silent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const IDLE_CLOSE: Duration = Duration::from_secs(15);

/// What an operator may set up beside the platform's front. All of it is off by default.
#[derive(Default)]
pub struct Extras {
    /// The second front.
    pub inference: Option<frontend::inference::Setup>,
    /// Whose keys it takes; anybody's where there is none.
    pub tenants: Option<Tenants>,
    /// The control service.
    pub control: Option<control::Setup>,
    /// Where discovery answers from now on, if that may change while the router runs.
    pub discovery: Option<watch::Receiver<SocketAddr>>,
}

/// A runtime on which a router can run.
pub fn runtime() -> Result<Runtime, StartError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)
}

/// Runs a router on this thread until `signal` completes and all that it has taken is answered.
pub fn run(
    runtime: &Runtime,
    config: Config,
    extras: impl FnOnce() -> Extras,
    signal: impl Future<Output = ()> + 'static,
) -> Result<(), StartError> {
    LocalSet::new().block_on(runtime, async {
        Router::bind(config, extras()).await?.serve(signal).await;
        Ok(())
    })
}

/// Calls again what failed, for a while: guards against a start that fails for the lack of a moment, as when descriptors
/// are short or the process before it has not given its address up yet.
async fn patiently<T, C: Future<Output = std::io::Result<T>>>(
    call: impl Fn() -> C,
) -> std::io::Result<T> {
    let give_up = Instant::now() + START_PATIENCE;
    loop {
        match call().await {
            Err(error) if Instant::now() < give_up => {
                tracing::warn!(%error, "an address cannot be listened on yet");
                tokio::time::sleep(START_RETRY).await;
            }
            done => return done,
        }
    }
}

/// A router that listens and does not serve yet.
pub struct Router {
    config: Config,
    listener: TcpListener,
    second: Option<(TcpListener, frontend::inference::Setup)>,
    tenants: Option<Tenants>,
    control: Option<(TcpListener, control::Setup)>,
    discovery: watch::Receiver<SocketAddr>,
    peers: Option<Peers>,
}

impl Router {
    /// Takes the addresses of the configuration, and of what else is set up.
    pub async fn bind(config: Config, extras: Extras) -> Result<Router, StartError> {
        let failed = |key, address| {
            move |source| StartError::Listen {
                key,
                address,
                source,
            }
        };
        let listen = || TcpListener::bind(config.listen);
        let listener = patiently(listen)
            .await
            .map_err(failed("listen", config.listen))?;
        let second = match extras.inference {
            Some(setup) => {
                let bound = patiently(|| TcpListener::bind(setup.listen)).await;
                Some((
                    bound.map_err(failed("inference listen", setup.listen))?,
                    setup,
                ))
            }
            None => None,
        };
        let control = match extras.control {
            Some(setup) => {
                let bound = patiently(|| TcpListener::bind(setup.listen)).await;
                Some((
                    bound.map_err(failed("control listen", setup.listen))?,
                    setup,
                ))
            }
            None => None,
        };
        let peers = match &config.peering {
            Some(peering) => {
                let bound = patiently(|| Peers::bind(peering.clone())).await;
                Some(bound.map_err(failed("peer_listen", peering.listen))?)
            }
            None => None,
        };
        let discovery = extras
            .discovery
            .unwrap_or_else(|| watch::channel(config.discovery).1);
        Ok(Router {
            config,
            listener,
            second,
            tenants: extras.tenants,
            control,
            discovery,
            peers,
        })
    }

    /// Where clients of the platform connect.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Where clients of the second front connect, if it is set up.
    pub fn inference_address(&self) -> Option<std::io::Result<SocketAddr>> {
        self.second
            .as_ref()
            .map(|(listener, _)| listener.local_addr())
    }

    /// Where other proxies connect, if the control service is set up.
    pub fn control_address(&self) -> Option<std::io::Result<SocketAddr>> {
        self.control
            .as_ref()
            .map(|(listener, _)| listener.local_addr())
    }

    /// Serves until `signal` completes and all that was taken is answered. Must run within a `LocalSet`.
    pub async fn serve(self, signal: impl Future<Output = ()> + 'static) {
        let Router {
            config,
            listener,
            second,
            tenants,
            control,
            discovery,
            peers,
        } = self;
        let tasks = TaskGroup::default();
        let (handle, events) = Handle::new();
        if let Some(peers) = &peers {
            spawn_local(peers.clone().receive(handle.clone()));
        }
        let phase = shutdown::phases(signal);
        let moves = config.settings.resumable_streams;
        let deadlines = config
            .site
            .classes
            .iter()
            .filter_map(ClassSettings::deadline);
        let (moved, answered) = shutdown::moved_and_answered(deadlines.max().unwrap_or_default());
        let each = (config.limits.sockets - SPARE) / 2;
        let allowed = &config.site.allowed;
        let options = upstream::Options {
            connection_limit: each,
            connect_timeout: allowed.connect_timeout().unwrap_or(CONNECT_TIMEOUT),
            server_idle_timeout: allowed.idle_close().unwrap_or(IDLE_CLOSE),
            stream_idle_timeout: if config.settings.resumable_streams {
                SILENCE_RESUMED
            } else {
                SILENCE
            },
            report: config.site.report.clone(),
        };
        let outbound = Upstream::new(handle.clone(), options, peers, tasks.spawner());
        let mut releases = outbound.releases_in_progress();
        let settings = config.settings.clone();
        let core = Core::new(config.settings, config.seed, Clock::system(), outbound);
        spawn_local(core.run(events));
        if let Some(known) = &config.known {
            handle.send(CoreEvent::EndpointsUpdated(EndpointListUpdate::Restored(
                known.entries(&config.site),
            )));
        }
        let (fresh_tx, fresh) = watch::channel(false);
        let late = fresh_tx.clone();
        let poll_interval = settings
            .poll_interval
            .and_then(|us| u64::try_from(us).ok())
            .map(Duration::from_micros);
        let schedule =
            discovery::PollSchedule::new(settings.router_count, poll_interval, config.seed);
        let known = config.known.as_ref().map(|list| list.version);
        let list_watch = discovery::ListWatch {
            site: config.site.clone(),
            handle: handle.clone(),
            list_received: fresh_tx,
            schedule,
        };
        spawn_local(discovery::watch_list(discovery, known, list_watch));
        spawn_local(async move {
            tokio::time::sleep(FRESH_WAIT).await;
            late.send_replace(true);
        });
        // Where streams cannot be moved, those that run are finished, however long that takes.
        if moves {
            let (leaving, handle) = (
                shutdown::reached(phase.clone(), shutdown::Phase::Leaving),
                handle.clone(),
            );
            spawn_local(async move {
                leaving.await;
                let now = Instant::now();
                handle.send(CoreEvent::ShutdownStarted {
                    migrate_from: now + moved,
                    answer_by: now + answered,
                });
            });
        }
        let readiness = frontend::Readiness::new(fresh, phase.clone());
        let platform = Platform::new(handle.clone(), &config.site, readiness);
        tracing::info!(name = config.name, listen = %config.listen, "serving");
        // The two fronts share the connections that clients may hold.
        let most = each.min(CLIENTS_MOST) / if second.is_some() { 2 } else { 1 };
        let control = control.map(|(listener, setup)| {
            tracing::info!(listen = %setup.listen, "serving other proxies through xDS");
            let (snapshots, shown) = watch::channel(Default::default());
            let leaving = shutdown::reached(phase.clone(), shutdown::Phase::Leaving);
            spawn_local(control::survey(
                handle.clone(),
                setup,
                config.site.clone(),
                snapshots,
            ));
            spawn_local(async move {
                if let Err(error) = cranetack_xds_server::serve(listener, shown, leaving).await {
                    tracing::error!(%error, "the control service ended");
                }
            })
        });
        let second = async {
            if let Some((listener, setup)) = second {
                tracing::info!(listen = %setup.listen, "serving embeddings and rerank beside chat");
                let (site, phase) = (&config.site, phase.clone());
                let service = Inference::new(
                    handle,
                    setup,
                    site,
                    &settings,
                    tenants,
                    config.seed,
                    phase.clone(),
                );
                frontend::serve(listener, service, most, phase).await;
            }
        };
        tokio::join!(
            frontend::serve(listener, platform, most, phase.clone()),
            second
        );
        // Proxies subscribe for as long as they live; nothing that was taken depends on them.
        control.inspect(tokio::task::JoinHandle::abort);
        tracing::info!("all that was taken has been answered");
        tokio::time::sleep(LAST_EVENTS).await;
        if timeout(LAST_RELEASES, releases.wait_for(|running| *running == 0))
            .await
            .is_err()
        {
            tracing::warn!("the router ends before all that was held has been let go");
        }
    }
}
