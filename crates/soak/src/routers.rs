//! The routers: processes of the program under soak, with their files, signals and ends.

use std::cell::{Cell, RefCell};
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::directory::Agent;
use crate::oracle::Rule;
use crate::scenario::{settings, Options};
use crate::world::World;

/// After SIGTERM a router may take the longest deadline, 3 s at most, and this.
const END_WITHIN: Duration = Duration::from_millis(3_000 + 700);
/// A start takes no longer.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Words in a log that say that something is wrong inside a router.
const ALARMS: [&str; 3] = ["panicked", "a decision failed", "a rule is broken"];

/// How a process is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// SIGTERM, and SIGKILL once its time is up.
    Orderly,
    /// SIGKILL.
    Killed,
}

/// A router that is started, ended and started again under one name and address.
pub struct Router {
    /// Its place in the run.
    pub index: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// A front sends clients to it.
    pub admitted: Cell<bool>,
    /// How often it was killed: what was sent to it before may have been read, and no client sends it again.
    pub kills: Cell<u32>,
    agent: Rc<Agent>,
    peers: Vec<SocketAddr>,
    options: Rc<Options>,
    child: RefCell<Option<Child>>,
    starts: Cell<u32>,
    moved: Cell<usize>,
    busy: Cell<bool>,
}

/// Ports below those that the system gives to outgoing connections, so that none of these takes one meanwhile.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// Addresses that are free now.
pub fn free_addresses(world: &World, count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let port = world.draw(PORTS.start.into(), PORTS.end.into()) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if free && !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    Ok(addresses)
}

impl Router {
    /// A router that does not run yet.
    pub fn new(
        index: usize,
        address: SocketAddr,
        agent: Rc<Agent>,
        peers: Vec<SocketAddr>,
        options: Rc<Options>,
    ) -> Rc<Router> {
        Rc::new(Router {
            index,
            address,
            admitted: Cell::default(),
            kills: Cell::default(),
            agent,
            peers,
            options,
            child: RefCell::default(),
            starts: Cell::default(),
            moved: Cell::default(),
            busy: Cell::default(),
        })
    }

    fn path(&self, what: &str) -> PathBuf {
        self.options.folder.join(format!("r{}.{what}", self.index))
    }

    /// Where its last log is.
    pub fn log(&self) -> PathBuf {
        self.path("log")
    }

    fn write_config(&self) -> std::io::Result<()> {
        let config = json!({"name": format!("r{}", self.index), "listen": self.address.to_string(),
            "discovery": self.agent.addresses[self.moved.get()].to_string(),
            "seed": format!("{:x}", self.options.seed * 1_000 + u64::from(self.starts.get())),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "peer_listen": self.peers[self.index].to_string(),
            "peers": self.peers.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
            "known": self.agent.known(), "settings": settings(self.index, self.peers.len())});
        // In place, as an operator's tool may do it: a reader can find half of it.
        fs::write(self.path("json"), config.to_string())
    }

    /// Starts the process and waits until it is ready.
    pub async fn start(self: &Rc<Self>, world: &Rc<World>) -> std::io::Result<()> {
        self.write_config()?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log())?;
        let mut command = Command::new(&self.options.program);
        command
            .arg("serve")
            .env("PROXY_CONFIG", self.path("json"))
            .stdin(Stdio::null());
        command
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true);
        if let Some(shim) = &self.options.shim {
            command.env("LD_PRELOAD", shim);
            command.env(
                "SOAK_FAULTS_SEED",
                (self.options.seed * 64 + self.index as u64).to_string(),
            );
            command.env("SOAK_FAULTS", &self.options.faults);
            let step = [0, 3_600, -3_600, 5, -5][world.draw(0, 5) as usize];
            command.env("SOAK_CLOCK_STEP_S", step.to_string());
        }
        world.oracle.borrow_mut().router_started(self.index);
        *self.child.borrow_mut() = Some(command.spawn()?);
        self.starts.set(self.starts.get() + 1);
        let ready = async {
            while !crate::client::is_up(self.address).await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(READY_WITHIN, ready).await.is_err() {
            let detail = format!(
                "router {} was not ready within {READY_WITHIN:?}",
                self.index
            );
            world
                .oracle
                .borrow_mut()
                .report_violation(Rule::Crash, world.now(), detail);
        }
        self.admitted.set(true);
        Ok(())
    }

    /// Sends the process a signal, by the name that `kill` takes.
    pub fn signal(&self, name: &str) {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        if let Some(id) = id {
            let _ = std::process::Command::new("kill")
                .args([name, &id.to_string()])
                .status();
        }
    }

    /// Has discovery move to the agent's other address.
    pub fn hang_up(&self) {
        self.moved.set(1 - self.moved.get());
        let _ = self.write_config();
        self.signal("-HUP");
    }

    /// Holds the process up for a moment.
    pub async fn hold_up(&self, span: Duration) {
        self.signal("-STOP");
        tokio::time::sleep(span).await;
        self.signal("-CONT");
    }

    /// Ends the process and, after a while, starts it anew. Does nothing while that is under way already.
    pub async fn restart(self: Rc<Self>, world: Rc<World>, ending: Ending, away: Duration) {
        if self.busy.replace(true) {
            return;
        }
        self.end(&world, ending).await;
        tokio::time::sleep(away).await;
        if !world.over.get() {
            if let Err(error) = self.start(&world).await {
                let detail = format!("router {} could not be started: {error}", self.index);
                world
                    .oracle
                    .borrow_mut()
                    .report_violation(Rule::Crash, world.now(), detail);
            }
        }
        self.busy.set(false);
    }

    /// Ends the process.
    pub async fn end(&self, world: &World, ending: Ending) {
        let Some(mut child) = self.child.borrow_mut().take() else {
            return;
        };
        let id = child.id().map(|id| id.to_string()).unwrap_or_default();
        let unexpected = child.try_wait().ok().flatten();
        if let Some(status) = unexpected {
            let detail = format!("router {} had ended by itself: {status}", self.index);
            world
                .oracle
                .borrow_mut()
                .report_violation(Rule::Crash, world.now(), detail);
        }
        match ending {
            Ending::Orderly => {
                let _ = std::process::Command::new("kill")
                    .args(["-TERM", &id])
                    .status();
                // The front goes on for a while.
                tokio::time::sleep(Duration::from_millis(world.draw(100, 400))).await;
                self.admitted.set(false);
                match timeout(END_WITHIN, child.wait()).await {
                    Ok(Ok(status)) if status.success() => {}
                    Ok(status) => {
                        let detail =
                            format!("router {} ended with {status:?} after SIGTERM", self.index);
                        world.oracle.borrow_mut().report_violation(
                            Rule::Crash,
                            world.now(),
                            detail,
                        );
                    }
                    Err(_) => {
                        let detail = format!("router {} still ran at its end", self.index);
                        world.oracle.borrow_mut().report_violation(
                            Rule::Crash,
                            world.now(),
                            detail,
                        );
                        let _ = child.kill().await;
                    }
                }
            }
            Ending::Killed => {
                self.admitted.set(false);
                // Before the signal: its clients may see the end first.
                self.kills.set(self.kills.get() + 1);
                world.oracle.borrow_mut().router_killed(self.index);
                let _ = child.kill().await;
            }
        }
    }

    /// Whether the process runs.
    pub fn runs(&self) -> bool {
        self.child.borrow().is_some()
    }

    /// What its log says is wrong.
    pub fn alarms(&self) -> Vec<String> {
        alarms(&self.log())
    }
}

fn alarms(log: &Path) -> Vec<String> {
    let text = fs::read_to_string(log).unwrap_or_default();
    let alarming = |line: &&str| ALARMS.iter().any(|word| line.contains(word));
    text.lines()
        .filter(alarming)
        .map(|line| line.chars().take(600).collect())
        .collect()
}
