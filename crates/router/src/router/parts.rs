//! The parts of a running router, and the start of their tasks.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cranetack_settings::ClassSettings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::capacity::Capacity;
use crate::config::Config;
use crate::control;
use crate::core::{Clock, Core, CoreEvent, EndpointListUpdate, Handle};
use crate::discovery::{self, ListWatch, PollSchedule};
use crate::frontend::FrontendContext;
use crate::gossip::GossipSocket;
use crate::memory::MemoryLedger;
use crate::shutdown::{self, Phase, ShutdownSchedule};
use crate::tasks::TaskGroup;
use crate::upstream::{self, Upstream};

/// Time without a response from discovery after which the router is ready with the endpoint list
/// that it has.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without data after which a resumable stream counts as broken: a machine that has vanished
/// sends nothing. Clients wait for at most 5 s after the last event; if the stream ends before
/// that, they resume it at another router.
const RESUMABLE_STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time without data after which a stream that cannot be resumed counts as broken. Ending such a
/// stream loses it, so this leaves only a small margin to the 5 s for which clients wait after the
/// last event.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Interval between two lines of the log on the router's memory.
const MEMORY_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Time that establishing a connection may take, if the settings do not set one.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which endpoints close idle connections, if the settings do not set one.
const DEFAULT_ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The state that the parts of a running router share. Dropping it ends their tasks.
pub(super) struct Parts {
    pub(super) config: Config,
    pub(super) handle: Handle,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) capacity: Capacity,
    pub(super) memory: MemoryLedger,
    tasks: TaskGroup,
}

/// The receiving end of the core's events.
type CoreEvents = mpsc::UnboundedReceiver<CoreEvent>;

impl Parts {
    /// Starts to receive gossip, and to wait for `signal`, which starts the shutdown. Returns the
    /// parts, and the receiver of events that [`Parts::start_core`] takes.
    pub(super) fn new(
        config: Config,
        capacity: Capacity,
        gossip: Option<&GossipSocket>,
        signal: impl Future<Output = ()> + 'static,
    ) -> (Parts, CoreEvents) {
        let tasks = TaskGroup::default();
        let (handle, events) = Handle::new();
        if let Some(gossip) = gossip {
            tasks.spawn(gossip.clone().receive(handle.clone()));
        }
        let phase = shutdown::start_phases(signal, &tasks);
        let parts = Parts {
            config,
            handle,
            phase,
            capacity,
            memory: capacity.memory_ledger(),
            tasks,
        };
        (parts, events)
    }

    /// Returns what the frontends share.
    pub(super) fn frontend_context(&self) -> FrontendContext {
        FrontendContext {
            handle: self.handle.clone(),
            memory: self.memory.clone(),
            phase: self.phase.clone(),
        }
    }

    /// Starts the core and the upstream, with the endpoint list that this router last had, if any.
    /// Returns a receiver of the number of releases of KV state in progress.
    pub(super) fn start_core(
        &self,
        events: CoreEvents,
        gossip: Option<GossipSocket>,
    ) -> watch::Receiver<usize> {
        let upstream = Upstream::new(
            self.handle.clone(),
            self.upstream_options(),
            gossip,
            self.tasks.spawner(),
        );
        let releases_in_progress = upstream.releases_in_progress();
        let settings = self.config.settings.clone();
        let core = Core::new(settings, self.config.seed, Clock::system(), upstream);
        self.tasks.spawn(core.run(events));
        if let Some(list) = &self.config.known_endpoints {
            let update = EndpointListUpdate::Restored(list.entries(&self.config.site));
            self.handle.send(CoreEvent::EndpointsUpdated(update));
        }
        releases_in_progress
    }

    fn upstream_options(&self) -> upstream::Options {
        let allowed = &self.config.site.allowed;
        upstream::Options {
            connection_limit: self.capacity.endpoint_connections,
            connect_timeout: allowed.connect_timeout().unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            endpoint_idle_timeout: allowed
                .idle_close()
                .unwrap_or(DEFAULT_ENDPOINT_IDLE_TIMEOUT),
            stream_idle_timeout: STREAM_IDLE_TIMEOUT,
            resumable_stream_idle_timeout: RESUMABLE_STREAM_IDLE_TIMEOUT,
            load_report_columns: self.config.site.report.clone(),
            memory: self.memory.clone(),
        }
    }

    /// Starts to watch the endpoint list. The returned receiver becomes true with the first
    /// response of discovery, or after [`LIST_TIMEOUT`].
    pub(super) fn start_discovery(
        &self,
        address: watch::Receiver<SocketAddr>,
    ) -> watch::Receiver<bool> {
        let (list_received, discovery_done) = watch::channel(false);
        let timeout_sender = list_received.clone();
        let settings = &self.config.settings;
        let poll_interval = settings
            .poll_interval
            .and_then(|micros| u64::try_from(micros).ok())
            .map(Duration::from_micros);
        let list_watch = ListWatch {
            site: self.config.site.clone(),
            handle: self.handle.clone(),
            list_received,
            schedule: PollSchedule::new(settings.router_count, poll_interval, self.config.seed),
        };
        let known_list = self.config.known_endpoints.as_ref();
        let known_version = known_list.map(|list| list.version);
        self.tasks
            .spawn(discovery::watch_list(address, known_version, list_watch));
        self.tasks.spawn(async move {
            tokio::time::sleep(LIST_TIMEOUT).await;
            timeout_sender.send_replace(true);
        });
        discovery_done
    }

    /// Starts a task that notifies the core when the shutdown starts.
    pub(super) fn start_shutdown_notification(&self) {
        let classes = &self.config.site.classes;
        let deadlines = classes.iter().map(ClassSettings::deadline);
        let schedule = ShutdownSchedule::for_deadlines(deadlines);
        let draining = shutdown::started(self.phase.clone());
        let handle = self.handle.clone();
        self.tasks.spawn(async move {
            draining.await;
            let now = Instant::now();
            handle.send(CoreEvent::ShutdownStarted {
                migrate_from: now + schedule.migrate_after,
                respond_by: now + schedule.respond_within,
            });
        });
    }

    /// Returns the maximum number of bytes of all bodies of the inference API.
    pub(super) fn inference_body_bytes(&self) -> usize {
        self.capacity
            .inference_body_bytes
            .min(self.memory.data_limit())
    }

    /// Starts to log, at intervals, what the router holds and how often it had no room.
    pub(super) fn start_memory_log(&self) {
        let memory = self.memory.clone();
        self.tasks.spawn(async move {
            loop {
                tokio::time::sleep(MEMORY_LOG_INTERVAL).await;
                tracing::debug!(
                    reserved_bytes = memory.reserved(),
                    peak_bytes = memory.peak(),
                    refused = memory.refused(),
                    "memory"
                );
            }
        });
    }

    /// Starts the control service. It ends when the returned task group is dropped.
    pub(super) fn start_control(&self, listener: TcpListener, setup: control::Setup) -> TaskGroup {
        tracing::info!(listen = %setup.listen, "serving the control service over xDS");
        let tasks = TaskGroup::default();
        let (publisher, snapshots) = watch::channel(Default::default());
        let draining = shutdown::started(self.phase.clone());
        tasks.spawn(control::publish_snapshots(
            self.handle.clone(),
            setup,
            self.config.site.clone(),
            publisher,
        ));
        tasks.spawn(async move {
            let served = cranetack_xds_server::serve(listener, snapshots, draining).await;
            if let Err(error) = served {
                tracing::error!(%error, "control service ended");
            }
        });
        tasks
    }
}
