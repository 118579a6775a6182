//! Starts routers as the platform does: by the `run` command of the deploy file, with the four
//! variables of the deployment page.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{read_response, Connection};
use crate::record::Record;

/// The memory limit of a router, in MB.
pub const MEMORY_MB: u64 = 192;

/// The processes that were started and not ended yet, by their ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all routers that are still running, when a case is given up.
pub fn kill_all() {
    if let Ok(running) = RUNNING.lock() {
        for id in running.iter() {
            let _ = Command::new("/bin/sh")
                .arg("-c")
                .arg(format!("kill -KILL {id}"))
                .status();
        }
    }
}

/// What a case sets in a router's configuration.
pub struct Options {
    pub discovery: SocketAddr,
    /// The list that the router has from before, as JSON.
    pub known: Option<String>,
    pub sockets: u32,
    /// The classes of the settings, as JSON.
    pub classes: String,
    pub resume: bool,
    /// Further variables of the environment.
    pub environment: Vec<(String, String)>,
}

impl Options {
    pub fn new(discovery: SocketAddr) -> Options {
        Options {
            discovery,
            known: None,
            sockets: 256,
            classes: classes("unsafe"),
            resume: true,
            environment: Vec::new(),
        }
    }
}

/// The two classes of the first deployment; `order` is the effect of `parts-order`.
pub fn classes(order: &str) -> String {
    format!(
        r#"{{"name":"parts-lookup","idempotency":"safe","key_scope":"all","dedup_window_us":5000000,"goal_time_us":1500000,"deadline_us":6000000,"late_share":0.3,"points":1.0,"stream":true}},
    {{"name":"parts-order","idempotency":"{order}","key_scope":"all","dedup_window_us":5000000,"goal_time_us":3000000,"deadline_us":15000000,"late_share":0.2,"points":2.0,"stream":true}}"#
    )
}

/// The configuration file of a router.
pub fn configuration(name: &str, listen: SocketAddr, options: &Options) -> String {
    let known = match &options.known {
        Some(known) => format!("\"known\": {known},\n  "),
        None => String::new(),
    };
    format!(
        r#"{{"name": "{name}", "listen": "{listen}", "discovery": "{discovery}", "seed": "8c1f30d27a5be964",
  "limits": {{"cores": 1.0, "memory_mb": {MEMORY_MB}, "sockets": {sockets}}},
  {known}"settings": {{
    "allowed": {{"cancelling": true, "connect_timeout_us": 250000, "idle_close_us": 15000000, "max_attempts": 5, "max_retry_after_us": 1000000, "most_held": 26666, "parallel_tries": false, "peers": false, "probing": true, "retry_after": true, "streams_per_conn": 32}},
    "az": "erie", "balancers": 3, "me": 0, "family": "twostage", "kinds": ["prefill", "decode"], "zones": ["duluth", "sault", "erie"],
    "classes": [{classes}],
    "clients": {{"marks_retry": true}},
    "domain": {{"ahead": true, "aim_us_per_1000_prompt_tokens": [40000.0, 40000.0], "pin_limit_us": 300000, "report_x0": "share of memory that is held", "report_x1": "thousands of prompt tokens waiting to be read or fetched", "resume": {resume}, "self_prefill": false, "stage_of_kind": ["read", "write"], "token_aim_us": [60000.0, 80000.0]}},
    "membership_mode": "push", "period_us": 4000, "report": {{"columns": ["latency_ms", "x0", "x1"], "how": "pull"}},
    "rules": {{"answer_slack_us": 16000, "ask_within_us": 10000000, "drain_grace_us": 250000, "fall_multiple": 4.0, "fall_us": 3000000, "start_capacity": 0.26, "warm_up_us": 12000000}},
    "stages": ["assist-fleet"], "tenants": [], "tier": 0, "weight_source": "rough", "worth_by": "work"}}}}
"#,
        discovery = options.discovery,
        sockets = options.sockets,
        classes = options.classes,
        resume = options.resume,
    )
}

/// An address of the loopback interface that was free a moment ago.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A router process. It is killed when this value is dropped.
pub struct Router {
    pub address: SocketAddr,
    pub config: PathBuf,
    child: Child,
    /// Kills the router and removes its folder if this program ends without doing so.
    guard: Child,
    record: Record,
}

/// Starts a shell that kills the process `router` and removes its folder once this program has ended.
fn start_guard(router: u32, folder: &Path) -> io::Result<Child> {
    let own = std::process::id();
    let script = format!(
        "while kill -0 {own} && kill -0 {router}; do sleep 0.2; done; kill -0 {own} || {{ kill -KILL {router}; rm -rf \"$FOLDER\"; }}"
    );
    Command::new("/bin/sh")
        .arg("-c")
        .arg(script)
        .env("FOLDER", folder)
        // A signal to the group of this program must not end the guard as well.
        .process_group(0)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
}

/// The value of a key of the deploy file.
fn deploy_command(root: &Path, key: &str) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text
        .lines()
        .find(|line| line.starts_with(&format!("{key} =")));
    let value = line.and_then(|line| line.split_once('='));
    let value = value.map(|(_, value)| value.trim().trim_matches('"').to_owned());
    value.ok_or_else(|| io::Error::other(format!("the deploy file has no {key}")))
}

impl Router {
    pub fn start(
        name: &str,
        root: &Path,
        folder: &Path,
        options: &Options,
        record: &Record,
    ) -> io::Result<Router> {
        let address = free_address()?;
        let config = folder.join(format!("{name}.json"));
        fs::write(&config, configuration(name, address, options))?;
        let temporary = folder.join(format!("{name}-tmp"));
        fs::create_dir_all(&temporary)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_command(root, "run")?)
            .current_dir(root)
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", options.discovery.to_string())
            .env("PROXY_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .envs(options.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Ok(mut running) = RUNNING.lock() {
            running.push(child.id());
        }
        let guard = start_guard(child.id(), folder)?;
        let mut router = Router {
            address,
            config,
            child,
            guard,
            record: record.clone(),
        };
        router
            .record
            .line(format!("router {name} started at {address}"));
        router.wait_until_ready()?;
        Ok(router)
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("the router ended: {status}")));
            }
            if let Ok(mut connection) = Connection::open(self.address) {
                let asked = connection.write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                let answer =
                    read_response(&mut connection, Instant::now() + Duration::from_secs(1));
                if asked.is_ok() && answer.is_ok_and(|answer| answer.status == 200) {
                    self.record.line("router is up");
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the router was not ready within 15 s"))
    }

    /// Sends a signal, such as `TERM`, to the router's process.
    pub fn signal(&self, signal: &str) {
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(command).status();
        self.record.line(format!("signal {signal} to the router"));
    }

    /// The id of the router's process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The status with which the router ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = self.guard.wait();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|id| *id != self.child.id());
        }
    }
}
