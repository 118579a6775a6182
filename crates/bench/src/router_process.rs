//! A router that runs as a separate process, with its processor time and its memory use.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cranetack_testkit::{test_settings, Client};
use serde_json::{json, Value};

/// Clock ticks per second in the processor times of `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time in `/proc/PID/stat`, counted from the field after the process name. The
/// system time follows it.
const USER_TIME_INDEX: usize = 11;
/// Deadline of all request classes.
const DEADLINE: Duration = Duration::from_secs(30);
/// Maximum number of readiness checks of a starting router, made at `READINESS_POLL_INTERVAL`.
const MAX_READINESS_POLLS: usize = 1_000;
/// Time between two readiness checks.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Beginning of the comment after which an inference file lists the models.
const MODELS_SECTION_COMMENT: &str = "# Without any model";
/// Address of the inference API in the inference file that is shipped.
const SHIPPED_INFERENCE_ADDRESS: &str = "127.0.0.1:8090";

/// A router process. Dropping it kills the process and removes its files.
pub(crate) struct RouterProcess {
    child: Child,
    /// Folder of the files of this router.
    folder: PathBuf,
    /// The address on which the inference API listens.
    pub(crate) inference_address: SocketAddr,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns an address on which nothing listens at present.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns the settings that tests use, with longer deadlines.
fn router_settings() -> Value {
    let mut settings = test_settings();
    let classes = settings["classes"].as_array_mut();
    for class in classes.into_iter().flatten() {
        class["deadline_us"] = json!(DEADLINE.as_micros() as u64);
    }
    settings
}

impl RouterProcess {
    /// Starts the router program with an inference file, and waits until it is ready.
    pub(crate) async fn start(
        name: &str,
        program: &Path,
        inference_file: &str,
        discovery: SocketAddr,
    ) -> io::Result<RouterProcess> {
        let folder_name = format!("cranetack-measure-{}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(folder_name);
        fs::create_dir_all(&folder)?;
        let platform_address = free_address()?;
        let inference_address = free_address()?;
        let config = json!({
            "name": "r0",
            "listen": platform_address.to_string(),
            "discovery": discovery.to_string(),
            "seed": "7",
            "limits": {"sockets": 1024},
            "settings": router_settings(),
        });
        let config_path = folder.join("config.json");
        fs::write(&config_path, config.to_string())?;
        // Earlier versions do not know named models. Without the models section, each version
        // serves any model name.
        let inference_file = inference_file
            .split(MODELS_SECTION_COMMENT)
            .next()
            .unwrap_or_default()
            .replace(SHIPPED_INFERENCE_ADDRESS, &inference_address.to_string());
        let inference_path = folder.join("inference.toml");
        fs::write(&inference_path, inference_file)?;
        let child = Command::new(program)
            .arg("serve")
            .arg("--config")
            .arg(&config_path)
            .arg("--inference")
            .arg(&inference_path)
            .env("CRANETACK_LOG", "error")
            .stdout(Stdio::null())
            .spawn()?;
        let router = RouterProcess {
            child,
            folder,
            inference_address,
        };
        wait_until_ready(name, platform_address).await?;
        Ok(router)
    }

    fn read_proc(&self, file: &str) -> String {
        let path = format!("/proc/{}/{file}", self.child.id());
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the processor time that the process has used, in seconds.
    pub(crate) fn cpu_time_s(&self) -> f64 {
        let stat = self.read_proc("stat");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let ticks: f64 = after_name
            .split_whitespace()
            .skip(USER_TIME_INDEX)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        ticks / TICKS_PER_SECOND
    }

    /// Returns the peak memory use of the process, in MiB.
    pub(crate) fn peak_memory_mb(&self) -> f64 {
        let status = self.read_proc("status");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap_or_default();
        let kib = peak.trim().trim_end_matches(" kB").trim();
        kib.parse::<f64>().unwrap_or(0.0) / 1024.0
    }
}

async fn wait_until_ready(name: &str, address: SocketAddr) -> io::Result<()> {
    for _ in 0..MAX_READINESS_POLLS {
        if is_ready(address).await {
            return Ok(());
        }
        tokio::time::sleep(READINESS_POLL_INTERVAL).await;
    }
    Err(io::Error::other(format!(
        "the router '{name}' was not ready after {MAX_READINESS_POLLS} checks, \
         {READINESS_POLL_INTERVAL:?} apart"
    )))
}

async fn is_ready(address: SocketAddr) -> bool {
    if tokio::net::TcpStream::connect(address).await.is_err() {
        return false;
    }
    let (status, _) = Client::connect(address).await.get("/up").await;
    status == 200
}
