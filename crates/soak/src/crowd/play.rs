//! One play: starts servers, discovery and the router, lets the crowd in, and reports.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use cranetack_testkit::{test_settings, FakeDiscovery};
use serde_json::{json, Value};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::client_kind::ClientKind;
use super::clients::{Crowd, RequestNumbers};
use super::report::PlayReport;
use super::servers::{PlayServer, ResponsePlan, ServerPace, ServerRole};
use super::usual_clients::UsualClients;
use crate::error::SoakError;
use crate::process_usage::{descriptors, memory_bytes, peak_memory_bytes};
use crate::router_process::Signal;

/// Number of prefill servers of a play.
const PREFILL_SERVERS: usize = 2;
/// Number of decode servers of a play.
const DECODE_SERVERS: usize = 4;
/// Interval at which the memory of the router is read.
const USAGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the usual clients have the router to themselves before the crowd comes.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Time after SIGTERM at which clients stop to open connections.
const ACCEPT_TIME: Duration = Duration::from_millis(300);
/// Earliest time of SIGKILL after SIGTERM: the longest deadline, 3 s, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Maximum time until a router is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The frontends that the clients of a play use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Frontends {
    /// The platform API; the inference API is off.
    Platform,
    /// The inference API.
    Inference,
    /// Both, in turn.
    Both,
}

/// A signal that the router gets during a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum PlaySignal {
    /// SIGHUP, twice.
    Reload,
    /// SIGTERM, and a new start after the router has ended.
    Restart,
    /// SIGTERM to end the play.
    Shutdown,
}

/// The options of a play.
#[derive(Debug, Clone)]
pub struct PlayOptions {
    /// Path of the router program.
    pub program: PathBuf,
    /// Folder for the files of the router.
    pub folder: PathBuf,
    /// The kinds of the misbehaving clients, which are taken in turn.
    pub kinds: Vec<ClientKind>,
    /// Number of misbehaving clients.
    pub clients: usize,
    /// The frontends that are used.
    pub frontends: Frontends,
    /// `limits.memory_mb` of the router.
    pub memory_mb: u64,
    /// `limits.sockets` of the router.
    pub sockets: usize,
    /// Duration for which the crowd stays.
    pub duration: Duration,
    /// The pace of the servers.
    pub pace: ServerPace,
    /// The response that usual clients ask for.
    pub plan: ResponsePlan,
    /// Size of the request bodies of usual clients, in bytes.
    pub body_bytes: usize,
    /// Signals during the play.
    pub signal: Option<PlaySignal>,
    /// Whether endpoints are mixed ones, so that prompts are sent once.
    pub has_mixed_endpoints: bool,
}

/// The router of a play.
struct PlayRouter {
    options: PlayOptions,
    platform: SocketAddr,
    inference: SocketAddr,
    discovery: SocketAddr,
    child: RefCell<Option<Child>>,
    /// Whether the router is meant to run and accepts connections.
    is_serving: Rc<Cell<bool>>,
    report: Rc<RefCell<PlayReport>>,
}

/// Executes a play. Must be called within a `LocalSet`.
pub async fn play(options: PlayOptions) -> Result<PlayReport, SoakError> {
    std::fs::create_dir_all(&options.folder).map_err(|source| SoakError::File {
        path: options.folder.clone(),
        source,
    })?;
    let servers = start_servers(&options).await.map_err(SoakError::Listen)?;
    let entries = servers.iter().map(|server| server.entry()).collect();
    let discovery = FakeDiscovery::start(entries).await;
    let router = PlayRouter::new(options.clone(), discovery.address).map_err(SoakError::Listen)?;
    router.start().await?;
    let watching = spawn_local(router.clone().watch_usage());
    let orders = Rc::<RefCell<Vec<String>>>::default();
    let numbers = RequestNumbers::default();
    let usual: Vec<_> = router
        .frontend_addresses()
        .into_iter()
        .map(|(address, is_platform)| {
            let clients = Rc::new(UsualClients {
                address,
                is_platform,
                plan: options.plan,
                body_bytes: options.body_bytes,
                numbers: numbers.clone(),
                is_serving: router.is_serving.clone(),
                report: router.report.clone(),
                orders: orders.clone(),
                kept: RefCell::default(),
            });
            spawn_local(clients.run(options.duration + QUIET_TIME))
        })
        .collect();
    sleep(QUIET_TIME).await;
    let quiet_memory_bytes = router.process().and_then(peak_memory_bytes).unwrap_or(0);
    router.report.borrow_mut().quiet_memory_bytes = quiet_memory_bytes;
    let crowd = Crowd::start(router.crowd_members());
    router.send_signals().await;
    for usual in usual {
        let _ = usual.await;
    }
    router.stop().await;
    drop(crowd);
    watching.abort();
    let mut report = router.report.take();
    report.duplicates = count_duplicates(&servers, &orders.borrow());
    Ok(report)
}

async fn start_servers(options: &PlayOptions) -> std::io::Result<Vec<Rc<PlayServer>>> {
    let mut roles = vec![ServerRole::Prefill; PREFILL_SERVERS];
    roles.extend(vec![ServerRole::Decode; DECODE_SERVERS]);
    if options.has_mixed_endpoints {
        roles.fill(ServerRole::Mixed);
    }
    let mut servers = Vec::new();
    for role in roles {
        servers.push(PlayServer::start(role, options.pace).await?);
    }
    Ok(servers)
}

/// Returns how many requests that are not idempotent were started more than once.
fn count_duplicates(servers: &[Rc<PlayServer>], orders: &[String]) -> usize {
    let starts = |id: &String| -> usize {
        let counts = servers.iter().map(|server| server.starts_of(id).len());
        counts.sum()
    };
    orders.iter().filter(|id| starts(id) > 1).count()
}

impl PlayRouter {
    fn new(options: PlayOptions, discovery: SocketAddr) -> std::io::Result<Rc<PlayRouter>> {
        let free = || std::net::TcpListener::bind("127.0.0.1:0")?.local_addr();
        Ok(Rc::new(PlayRouter {
            options,
            platform: free()?,
            inference: free()?,
            discovery,
            child: RefCell::default(),
            is_serving: Rc::default(),
            report: Rc::default(),
        }))
    }

    /// Returns the addresses of the frontends that are used, and whether each is the platform API.
    fn frontend_addresses(&self) -> Vec<(SocketAddr, bool)> {
        match self.options.frontends {
            Frontends::Platform => vec![(self.platform, true)],
            Frontends::Inference => vec![(self.inference, false)],
            Frontends::Both => vec![(self.platform, true), (self.inference, false)],
        }
    }

    fn config(&self) -> Value {
        json!({
            "name": "r0",
            "listen": self.platform.to_string(),
            "discovery": self.discovery.to_string(),
            "seed": "7",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.options.memory_mb,
                "sockets": self.options.sockets,
            },
            "settings": test_settings(),
        })
    }

    async fn start(&self) -> Result<(), SoakError> {
        let folder = &self.options.folder;
        let (config, inference) = (folder.join("config.json"), folder.join("inference.toml"));
        self.write(&config, &self.config().to_string())?;
        let mut command = Command::new(&self.options.program);
        command.arg("serve").arg("--config").arg(&config);
        if self.options.frontends != Frontends::Platform {
            self.write(&inference, &self.inference_file())?;
            command.arg("--inference").arg(&inference);
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("router.log"))
            .map_err(|source| SoakError::File {
                path: folder.clone(),
                source,
            })?;
        command.stdin(Stdio::null()).stdout(log).kill_on_drop(true);
        let child = command
            .spawn()
            .map_err(|source| SoakError::StartRouter { router: 0, source })?;
        *self.child.borrow_mut() = Some(child);
        let ready = async {
            while !crate::router_process::is_ready(self.platform).await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(READY_TIMEOUT, ready).await.is_err() {
            self.report.borrow_mut().has_crashed = true;
        }
        self.is_serving.set(true);
        Ok(())
    }

    /// Returns the shipped file of the inference API with this router's address, and without models,
    /// so that any name is valid.
    fn inference_file(&self) -> String {
        const SHIPPED_FILE: &str = include_str!("../../../../deploy/inference.toml");
        let file = SHIPPED_FILE.split("# Without any model").next();
        let file = file.unwrap_or_default();
        file.replace("127.0.0.1:8090", &self.inference.to_string())
    }

    fn write(&self, path: &Path, text: &str) -> Result<(), SoakError> {
        std::fs::write(path, text).map_err(|source| SoakError::File {
            path: path.to_owned(),
            source,
        })
    }

    /// Returns the kinds of the misbehaving clients, and the addresses to which they connect.
    fn crowd_members(&self) -> Vec<(ClientKind, SocketAddr)> {
        let addresses = self.frontend_addresses();
        let kinds = &self.options.kinds;
        (0..self.options.clients)
            .map(|index| {
                let (address, _) = addresses[(index / kinds.len()) % addresses.len()];
                (kinds[index % kinds.len()], address)
            })
            .collect()
    }

    fn process(&self) -> Option<u32> {
        self.child.borrow().as_ref().and_then(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = self.process() {
            signal.send(&process.to_string());
        }
    }

    async fn send_signals(&self) {
        let third = self.options.duration / 3;
        sleep(third).await;
        match self.options.signal {
            None => {}
            Some(PlaySignal::Reload) => {
                self.signal(Signal::HangUp);
                sleep(third).await;
                self.signal(Signal::HangUp);
            }
            Some(PlaySignal::Restart) => {
                self.terminate().await;
                if self.start().await.is_err() {
                    self.report.borrow_mut().has_crashed = true;
                }
            }
            Some(PlaySignal::Shutdown) => {
                sleep(third).await;
                self.terminate().await;
            }
        }
    }

    /// Ends the router with SIGTERM. Clients go on using their connections.
    async fn terminate(&self) {
        self.signal(Signal::Terminate);
        sleep(ACCEPT_TIME).await;
        self.is_serving.set(false);
        let child = self.child.borrow_mut().take();
        let Some(mut child) = child else {
            return;
        };
        if timeout(KILL_DELAY - ACCEPT_TIME, child.wait())
            .await
            .is_err()
        {
            let _ = child.kill().await;
        }
    }

    async fn stop(&self) {
        if self.process().is_some() {
            self.terminate().await;
        }
    }

    /// Records the memory and the descriptors of the router, and whether it ended by itself.
    async fn watch_usage(self: Rc<Self>) {
        loop {
            sleep(USAGE_INTERVAL).await;
            let has_ended = match self.child.borrow_mut().as_mut() {
                Some(child) => child.try_wait().ok().flatten().is_some(),
                None => false,
            };
            let mut report = self.report.borrow_mut();
            report.has_crashed |= has_ended;
            let Some(process) = self.process() else {
                continue;
            };
            let peak = peak_memory_bytes(process).unwrap_or(0);
            report.peak_memory_bytes = report.peak_memory_bytes.max(peak);
            if let Some(memory) = memory_bytes(process) {
                report.final_memory_bytes = memory;
            }
            report.peak_descriptors = report.peak_descriptors.max(descriptors(process));
        }
    }
}
