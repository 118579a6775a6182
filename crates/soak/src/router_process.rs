//! The routers under test: their processes, configuration files, signals and logs.

use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::discovery_server::DiscoveryServer;
use crate::error::SoakError;
use crate::options::RunOptions;
use crate::oracle::Rule;
use crate::process_usage::peak_memory_bytes;
use crate::router_settings::router_settings;
use crate::run_state::RunState;

/// Maximum time from the start of a router until it is ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the readiness checks of a starting router.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time until a router responds to a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Texts in the log of a router that indicate an internal error.
const ALARM_TEXTS: [&str; 3] = ["panicked", "a decision failed", "a rule is broken"];
/// Maximum number of characters of a log line that are reported.
const MAX_ALARM_CHARS: usize = 600;
/// Possible offsets of the wall clock of a router process, in seconds.
const CLOCK_STEPS_S: [i64; 5] = [0, 3_600, -3_600, 5, -5];

const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// How a process is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// With SIGTERM, and with SIGKILL if it does not end in time.
    Graceful,
    /// With SIGKILL.
    Kill,
}

/// A signal that is sent with the program `kill`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL, which ends the process at once.
    Kill,
    /// SIGTERM, on which a router shuts down gracefully.
    Terminate,
    /// SIGHUP, on which a router reloads its configuration.
    HangUp,
    /// SIGSTOP, which pauses the process.
    Stop,
    /// SIGCONT, which resumes a paused process.
    Continue,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Signal::Kill => "-KILL",
            Signal::Terminate => "-TERM",
            Signal::HangUp => "-HUP",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }

    /// Sends the signal to the process with this id.
    pub fn send(self, process: &str) {
        let _ = std::process::Command::new("kill")
            .args([self.option(), process])
            .status();
    }
}

/// A router. Its process can be stopped and started again with the same name and address.
pub struct RouterProcess {
    /// Index of the router in the run.
    pub index: usize,
    /// Address to which clients connect.
    pub address: SocketAddr,
    /// Whether clients send new requests to the router.
    pub in_rotation: Cell<bool>,
    /// Number of times that the process was killed. The router may have read a request that was
    /// sent to it before a kill, so clients do not send such a request again.
    pub kill_count: Cell<u32>,
    discovery: Rc<DiscoveryServer>,
    peers: Vec<SocketAddr>,
    options: Rc<RunOptions>,
    child: RefCell<Option<Child>>,
    start_count: Cell<u32>,
    /// Index of the discovery server's address that is in the configuration.
    discovery_address: Cell<usize>,
    restarting: Cell<bool>,
}

impl RouterProcess {
    /// Creates a router whose process is not running.
    pub fn new(
        index: usize,
        address: SocketAddr,
        discovery: Rc<DiscoveryServer>,
        peers: Vec<SocketAddr>,
        options: Rc<RunOptions>,
    ) -> Rc<RouterProcess> {
        Rc::new(RouterProcess {
            index,
            address,
            in_rotation: Cell::default(),
            kill_count: Cell::default(),
            discovery,
            peers,
            options,
            child: RefCell::default(),
            start_count: Cell::default(),
            discovery_address: Cell::default(),
            restarting: Cell::default(),
        })
    }

    fn file(&self, extension: &str) -> PathBuf {
        let name = format!("r{}.{extension}", self.index);
        self.options.folder.join(name)
    }

    fn write_config(&self) -> io::Result<()> {
        let discovery = self.discovery.addresses[self.discovery_address.get()];
        let seed = self.options.seed * 1_000 + u64::from(self.start_count.get());
        let peers: Vec<String> = self.peers.iter().map(SocketAddr::to_string).collect();
        let config = json!({
            "name": format!("r{}", self.index),
            "listen": self.address.to_string(),
            "discovery": discovery.to_string(),
            "seed": format!("{seed:x}"),
            "limits": {
                "cores": 1.0,
                "memory_mb": self.options.limits.memory_mb,
                "sockets": self.options.limits.sockets,
            },
            "peer_listen": self.peers[self.index].to_string(),
            "peers": peers,
            "known": self.discovery.snapshot(),
            "settings": router_settings(self.index, self.peers.len(), self.options.deadlines),
        });
        // The file is written in place, as an operator's tool may do, so that the router can read a
        // partly written file.
        fs::write(self.file("json"), config.to_string())
    }

    fn command(&self, state: &RunState) -> io::Result<Command> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file("log"))?;
        let mut command = Command::new(&self.options.program);
        command
            .arg("serve")
            .env("PROXY_CONFIG", self.file("json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true);
        if let Some(shim) = &self.options.shim {
            let seed = self.options.seed * 64 + self.index as u64;
            let step = CLOCK_STEPS_S[state.draw(0, CLOCK_STEPS_S.len() as u64) as usize];
            command
                .env("LD_PRELOAD", shim)
                .env("SOAK_FAULTS_SEED", seed.to_string())
                .env("SOAK_FAULTS", &self.options.syscall_faults)
                .env("SOAK_CLOCK_STEP_S", step.to_string());
        }
        Ok(command)
    }

    fn spawn(&self, state: &RunState) -> io::Result<()> {
        self.write_config()?;
        let mut command = self.command(state)?;
        state.oracle.borrow_mut().router_started(self.index);
        *self.child.borrow_mut() = Some(command.spawn()?);
        Ok(())
    }

    /// Starts the process and waits until it is ready.
    pub async fn start(&self, state: &RunState) -> Result<(), SoakError> {
        self.spawn(state).map_err(|source| SoakError::StartRouter {
            router: self.index,
            source,
        })?;
        self.start_count.set(self.start_count.get() + 1);
        let ready = async {
            while !is_ready(self.address).await {
                sleep(READINESS_POLL_INTERVAL).await;
            }
        };
        if timeout(STARTUP_TIMEOUT, ready).await.is_err() {
            let detail = format!(
                "router {} was not ready within {STARTUP_TIMEOUT:?}",
                self.index
            );
            state.report_violation(Rule::Crash, detail);
        }
        self.in_rotation.set(true);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        if let Some(id) = id {
            signal.send(&id.to_string());
        }
    }

    /// Writes the other address of the discovery server into the configuration and makes the router
    /// reload it.
    pub fn reload_with_other_discovery_address(&self) {
        self.discovery_address.set(1 - self.discovery_address.get());
        let _ = self.write_config();
        self.signal(Signal::HangUp);
    }

    /// Sends a series of signals: the configuration is reloaded several times in quick succession.
    pub async fn reload_repeatedly(&self, count: u32, interval: Duration) {
        for _ in 0..count {
            self.reload_with_other_discovery_address();
            sleep(interval).await;
        }
    }

    /// Pauses the process for a duration.
    pub async fn pause(&self, duration: Duration) {
        self.signal(Signal::Stop);
        sleep(duration).await;
        self.signal(Signal::Continue);
    }

    /// Stops the process and starts it again after `downtime`. Does nothing if a restart is already
    /// in progress.
    pub async fn restart(&self, state: &RunState, shutdown: Shutdown, downtime: Duration) {
        if self.restarting.replace(true) {
            return;
        }
        self.stop(state, shutdown).await;
        sleep(downtime).await;
        if !state.finished.get() {
            if let Err(error) = self.start(state).await {
                state.report_violation(Rule::Crash, error.to_string());
            }
        }
        self.restarting.set(false);
    }

    /// Stops the process. Reports a violation if it has ended before or does not end as it should.
    pub async fn stop(&self, state: &RunState, shutdown: Shutdown) {
        let Some(mut child) = self.child.borrow_mut().take() else {
            return;
        };
        // The ID must be read before `try_wait`, as it is no longer available once the process is
        // known to have ended.
        let id = child.id().map(|id| id.to_string()).unwrap_or_default();
        if let Some(status) = child.try_wait().ok().flatten() {
            let detail = format!(
                "router {} ended without being stopped: {status}",
                self.index
            );
            state.report_violation(Rule::Crash, detail);
        }
        self.check_memory(state, &id);
        match shutdown {
            Shutdown::Graceful => self.stop_gracefully(state, child, &id).await,
            Shutdown::Kill => self.kill(state, child).await,
        }
    }

    /// Reports a violation if the process has held more memory than it may.
    fn check_memory(&self, state: &RunState, id: &str) {
        let limit = self.options.limits.memory_mb * BYTES_PER_MEGABYTE;
        let peak = id.parse().ok().and_then(peak_memory_bytes).unwrap_or(0);
        if peak > limit {
            let detail = format!("router {} held {peak} bytes of {limit}", self.index);
            state.report_violation(Rule::Crash, detail);
        }
    }

    async fn stop_gracefully(&self, state: &RunState, mut child: Child, id: &str) {
        Signal::Terminate.send(id);
        let kill_at = Instant::now() + self.options.deadlines.kill_delay();
        // The load balancer in front of the routers notices a shutdown with a delay.
        sleep(state.draw_millis(100, 400)).await;
        self.in_rotation.set(false);
        match timeout_at(kill_at, child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(status) => {
                let detail = format!("router {} ended with {status:?} after SIGTERM", self.index);
                state.report_violation(Rule::Crash, detail);
            }
            Err(_) => {
                let detail = format!(
                    "router {} did not end within {:?} after SIGTERM",
                    self.index,
                    self.options.deadlines.kill_delay()
                );
                state.report_violation(Rule::Crash, detail);
                let _ = child.kill().await;
            }
        }
    }

    async fn kill(&self, state: &RunState, mut child: Child) {
        self.in_rotation.set(false);
        // The count must change before the signal is sent, as clients may notice the closed
        // connections before this function continues.
        self.kill_count.set(self.kill_count.get() + 1);
        state.oracle.borrow_mut().router_killed(self.index);
        let _ = child.kill().await;
    }

    /// Returns whether the process has been started and not been stopped.
    pub fn is_running(&self) -> bool {
        self.child.borrow().is_some()
    }

    /// Returns the log lines of the router that indicate an internal error.
    pub fn alarms(&self) -> Vec<String> {
        alarms(&self.file("log"))
    }
}

fn alarms(log: &Path) -> Vec<String> {
    let text = fs::read_to_string(log).unwrap_or_default();
    text.lines()
        .filter(|line| ALARM_TEXTS.iter().any(|alarm| line.contains(alarm)))
        .map(|line| line.chars().take(MAX_ALARM_CHARS).collect())
        .collect()
}

/// Returns whether the router at an address reports that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let response = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nhost: app\r\nconnection: close\r\n\r\n")
            .await
            .ok()?;
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        Some(received.starts_with(b"HTTP/1.1 200"))
    };
    timeout(READINESS_TIMEOUT, response)
        .await
        .ok()
        .flatten()
        .unwrap_or(false)
}
