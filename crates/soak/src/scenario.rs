//! What happens in a run: drawn from its seed, with two or three troubles at any moment.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::client::{bad_client, crowd, Client};
use crate::directory::{Agent, Directory, Mood, Status};
use crate::oracle::{Answer, Limits, Oracle, Role, Rule, Violation};
use crate::proxy::Proxy;
use crate::routers::{free_addresses, Ending, Router};
use crate::server::Server;
use crate::world::World;

/// Deadlines of the classes `chat` and `order` (ms): the longest that clients wait.
pub const DEADLINES_MS: [u64; 2] = [2_500, 4_000];
/// What is held must be let go within this (ms).
const HELD_MS: u64 = 300;
/// After news of a drain nothing new may begin after this (ms).
const DRAIN_GRACE_MS: u64 = 250;
/// Calls that a reader bears in the first seconds of its start, and these seconds: 4 times the 26 % that it has then of
/// 4 slots at 80 ms a read.
const SLOW_START: (f64, u64) = (156.0, 3_000);
/// A trouble begins every so often (ms), and each lasts for a while.
const TROUBLE_EVERY_MS: (u64, u64) = (250, 900);
/// At the end of a run, no new troubles begin for this long (ms), so that all is answered and let go.
const QUIET_END_MS: u64 = 5_000;
/// Clients ask again after this, twice that at most (ms).
const CLIENT_PAUSE_MS: u64 = 60;

/// A fault that the stand-ins make on purpose, to see that the oracle notices its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Plant {
    /// Answers do not reach the oracle.
    Lost,
    /// An attempt arrives twice.
    Duplicate,
    /// The same, seen as a second copy.
    SecondCopy,
    /// Releases are swallowed on their way.
    Held,
    /// Attempts arrive late, after their clients have left.
    AfterClientLeft,
    /// Attempts arrive late, and tell more time than is left.
    Deadline,
    /// The oracle is told of drains that no router hears of.
    Drain,
    /// A router's process is killed, and the run is not told.
    Crash,
}

impl Plant {
    /// The rule that it breaks.
    pub fn rule(self) -> Rule {
        match self {
            Plant::Lost => Rule::MissingAnswer,
            Plant::Duplicate => Rule::DuplicateExecution,
            Plant::SecondCopy => Rule::ConcurrentAttempts,
            Plant::Held => Rule::LeakedLease,
            Plant::AfterClientLeft => Rule::AfterDisconnect,
            Plant::Deadline => Rule::Deadline,
            Plant::Drain => Rule::Drain,
            Plant::Crash => Rule::Crash,
        }
    }
}

/// What is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The router's program.
    pub program: PathBuf,
    /// The library that is preloaded into routers; none leaves clock and system calls alone.
    pub shim: Option<PathBuf>,
    /// Which system calls fail, by the library's names for them.
    pub faults: String,
    /// Where files and logs go.
    pub folder: PathBuf,
    /// The seed.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Servers: readers, then writers.
    pub servers: [usize; 2],
    /// How long troubles begin for.
    pub span: Duration,
    /// A fault made on purpose.
    pub plant: Option<Plant>,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Requests served, refused and failed.
    pub answered: [usize; 3],
    /// Troubles that began.
    pub troubles: usize,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
}

/// The settings of a run, as a configuration file holds them.
pub fn settings(me: usize, routers: usize) -> Value {
    let class = |name: &str, effect: &str, deadline: u64| {
        json!({"name": name, "idempotency": effect, "goal_time_us": 1_000_000, "deadline_us": deadline * 1_000,
            "points": 1.0, "stream": true})
    };
    json!({"az": "here", "period_us": 4_000, "zones": ["here"], "kinds": ["reader", "writer"], "balancers": routers,
        "me": me,
        "classes": [class("chat", "safe", DEADLINES_MS[0]), class("order", "unsafe", DEADLINES_MS[1])],
        "allowed": {"cancelling": true, "probing": true, "retry_after": true, "max_retry_after_us": 1_000_000,
            "max_attempts": 5, "connect_timeout_us": 250_000, "idle_close_us": 15_000_000, "peers": true},
        "domain": {"ahead": true, "pin_limit_us": HELD_MS * 1_000, "stage_of_kind": ["read", "write"],
            "resume": true, "report_x0": "share of memory that is held",
            "report_x1": "thousands of prompt tokens waiting to be read or fetched"},
        "rules": {"answer_slack_us": 16_000, "drain_grace_us": DRAIN_GRACE_MS * 1_000, "fall_multiple": 4.0,
            "fall_us": SLOW_START.1 * 1_000, "start_capacity": 0.26, "warm_up_us": 12_000_000},
        "report": {"how": "pull", "columns": ["latency_ms", "x0", "x1"]}})
}

/// The parts of a run.
struct Stage {
    world: Rc<World>,
    directory: Rc<Directory>,
    servers: Vec<Rc<Server>>,
    /// By router, then by server.
    proxies: Vec<Vec<Rc<Proxy>>>,
    agents: Vec<Rc<Agent>>,
    routers: Vec<Rc<Router>>,
}

/// A run from its start to its end. Must run within a `LocalSet`.
pub async fn run(options: Options) -> std::io::Result<Report> {
    std::fs::create_dir_all(&options.folder)?;
    let options = Rc::new(options);
    let stage = Rc::new(Stage::build(&options).await?);
    let world = stage.world.clone();
    for router in &stage.routers {
        router.start(&world).await?;
    }
    spawn_local(sweep(stage.clone()));
    for _ in 0..4 * options.routers {
        spawn_local(Client::new(world.clone(), stage.routers.clone()).run(CLIENT_PAUSE_MS));
    }
    if options.plant == Some(Plant::Crash) {
        stage.routers[0].signal("-KILL");
    }
    let (begun, mut troubles) = (world.now(), 0);
    while world.now() < begun + Duration::from_millis(options.span.as_millis() as u64) {
        sleep(Duration::from_millis(
            world.draw(TROUBLE_EVERY_MS.0, TROUBLE_EVERY_MS.1),
        ))
        .await;
        spawn_local(stage.clone().trouble());
        troubles += 1;
    }
    sleep(Duration::from_millis(QUIET_END_MS)).await;
    world.over.set(true);
    sleep(Duration::from_millis(DEADLINES_MS[1] + 1_000)).await;
    for router in &stage.routers {
        router.end(&world, Ending::Orderly).await;
        for alarm in router.alarms() {
            let detail = format!("router {}: {alarm}", router.index);
            world
                .oracle
                .borrow_mut()
                .report_violation(Rule::Crash, world.now(), detail);
        }
    }
    let oracle = world.oracle.borrow();
    let answered =
        [Answer::Served, Answer::Rejected, Answer::Failed].map(|end| oracle.count_answers(end));
    Ok(Report {
        answered,
        troubles,
        violations: oracle.violations().to_vec(),
    })
}

/// Looks for what should have happened, while the run lasts.
async fn sweep(stage: Rc<Stage>) {
    loop {
        sleep(Duration::from_millis(100)).await;
        stage
            .agents
            .iter()
            .for_each(|agent| agent.count_as_told(&stage.world));
        stage
            .world
            .oracle
            .borrow_mut()
            .check_overdue(stage.world.now());
    }
}

impl Stage {
    async fn build(options: &Rc<Options>) -> std::io::Result<Stage> {
        let limits = Limits {
            drain_grace: Duration::from_millis(DRAIN_GRACE_MS),
            kv_lease_timeout: Duration::from_millis(HELD_MS),
            slow_start_calls: SLOW_START.0,
            slow_start_window: Duration::from_millis(SLOW_START.1),
        };
        let world = World::new(Oracle::new(limits), options.seed, options.plant);
        let roles: Vec<Role> = (0..options.servers[0])
            .map(|_| Role::Prefill)
            .chain((0..options.servers[1]).map(|_| Role::Decode))
            .collect();
        let directory = Directory::new(&roles);
        let mut servers = Vec::new();
        for (index, role) in roles.into_iter().enumerate() {
            servers.push(Server::start(&world, index, role).await?);
        }
        let addresses = free_addresses(&world, options.routers)?;
        let peers = free_addresses(&world, options.routers)?;
        let (mut proxies, mut agents, mut routers) = (Vec::new(), Vec::new(), Vec::new());
        for (index, address) in addresses.into_iter().enumerate() {
            let mut own = Vec::new();
            for server in &servers {
                own.push(Proxy::start(world.clone(), index, server.clone()).await?);
            }
            let agent = Agent::start(&world, index, directory.clone(), own.clone()).await?;
            routers.push(Router::new(
                index,
                address,
                agent.clone(),
                peers.clone(),
                options.clone(),
            ));
            proxies.push(own);
            agents.push(agent);
        }
        Ok(Stage {
            world,
            directory,
            servers,
            proxies,
            agents,
            routers,
        })
    }

    /// One trouble, from its beginning to its end.
    async fn trouble(self: Rc<Self>) {
        let world = self.world.clone();
        let router = world.draw(0, self.routers.len() as u64) as usize;
        let server = world.draw(0, self.servers.len() as u64) as usize;
        let span = Duration::from_millis(world.draw(300, 2_500));
        match world.draw(0, 14) {
            0 | 1 => {
                self.routers[router]
                    .clone()
                    .restart(world, Ending::Orderly, span / 4)
                    .await
            }
            2 => {
                self.routers[router]
                    .clone()
                    .restart(world, Ending::Killed, span / 2)
                    .await
            }
            3 => self.routers[router].hang_up(),
            4 => self.routers[router].hold_up(span / 20).await,
            5 => self.hang(server, span).await,
            6 => self.replace(server, span).await,
            7 => self.drain(server, span).await,
            8 => self.cut(router, server, span).await,
            9 => self.proxies[router][server].reset(),
            10 => self.discovery(router, Mood::Silent, span).await,
            11 => self.discovery(router, Mood::Busy, span).await,
            12 => self.agents[router].reset(),
            _ if world.chance(30) => crowd(self.routers[router].clone(), 150, span).await,
            _ if world.chance(50) => bad_client(world, self.routers[router].clone()).await,
            _ => {
                self.servers[server].errors.set(30);
                sleep(span).await;
                self.servers[server].errors.set(0);
            }
        }
    }

    /// A server hangs, and with it perhaps others of its role.
    async fn hang(&self, server: usize, span: Duration) {
        let others = if self.world.chance(40) {
            self.servers.len() / 3
        } else {
            0
        };
        let hung: Vec<_> = self
            .servers
            .iter()
            .cycle()
            .skip(server)
            .take(1 + others)
            .collect();
        let set = |on| {
            hung.iter().for_each(|server| {
                server.hung.send_replace(on);
            })
        };
        set(true);
        sleep(span).await;
        set(false);
    }

    /// A server's process dies and comes back, as the list tells with its delay.
    async fn replace(&self, server: usize, span: Duration) {
        self.servers[server].kill(&self.world);
        sleep(span).await;
        if self.servers[server].listen(&self.world).await.is_ok() {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            if self.servers[server].role == Role::Prefill {
                self.world
                    .oracle
                    .borrow_mut()
                    .server_started(server, self.world.now());
            }
            self.directory
                .set(server, Status::Up, Some(now.as_millis() as u64));
        }
    }

    /// A server drains, is perhaps removed, and takes work again.
    async fn drain(&self, server: usize, span: Duration) {
        self.directory.set(server, Status::Draining, None);
        sleep(span).await;
        self.servers[server].draining.set(true);
        if self.world.chance(50) {
            self.directory.set(server, Status::Removed, None);
            sleep(span).await;
        }
        self.servers[server].draining.set(false);
        self.directory.set(server, Status::Up, None);
    }

    /// The way to a server is cut: for one router, or for all.
    async fn cut(&self, router: usize, server: usize, span: Duration) {
        let all = self.world.chance(50);
        let ways: Vec<_> = self
            .proxies
            .iter()
            .enumerate()
            .filter(|(r, _)| all || *r == router)
            .collect();
        ways.iter().for_each(|(_, own)| own[server].cut());
        sleep(span).await;
        ways.iter().for_each(|(_, own)| own[server].heal());
    }

    /// Discovery behaves badly towards one router, or all.
    async fn discovery(&self, router: usize, mood: Mood, span: Duration) {
        let all = self.world.chance(50);
        let agents: Vec<_> = self
            .agents
            .iter()
            .enumerate()
            .filter(|(r, _)| all || *r == router)
            .collect();
        agents
            .iter()
            .for_each(|(_, agent)| agent.set_mood(&self.world, mood));
        sleep(span * 2).await;
        agents
            .iter()
            .for_each(|(_, agent)| agent.set_mood(&self.world, Mood::Serves));
    }
}
