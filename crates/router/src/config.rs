//! The router's configuration file, and its reload at each SIGHUP.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cranetack_routing_policy::Settings;
use cranetack_settings::SiteSettings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use tokio::sync::watch;

use crate::discovery::EndpointList;

/// Delay before a file that cannot be used is read again.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of times that a file is read again before the attempt to load it fails.
const LOAD_RETRIES: u32 = 20;
/// Smallest number of file descriptors with which a router can run.
const MIN_SOCKETS: usize = 64;
/// Maximum number of file descriptors if the configuration does not set one.
const DEFAULT_SOCKETS: usize = 1_024;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// The reason why a file cannot be used. Its text is one line that names the file, and the key if a
/// key is at fault.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A key is missing, of the wrong type or out of range.
    #[error("{path}: {message}")]
    Invalid {
        /// The path of the file.
        path: String,
        /// The key and what is wrong with it.
        message: String,
    },
}

impl ConfigError {
    fn unreadable(path: &Path, source: std::io::Error) -> ConfigError {
        ConfigError::Unreadable {
            path: path.display().to_string(),
            source,
        }
    }

    fn invalid(path: &Path, message: String) -> ConfigError {
        ConfigError::Invalid {
            path: path.display().to_string(),
            message,
        }
    }

    /// Returns whether reading the file may succeed a moment later.
    fn is_transient(&self) -> bool {
        const TRANSIENT_ERRORS: [i32; 5] = [
            libc::EIO,
            libc::ENFILE,
            libc::EMFILE,
            libc::EINTR,
            libc::EAGAIN,
        ];
        match self {
            ConfigError::Unreadable { source, .. } => source
                .raw_os_error()
                .is_some_and(|code| TRANSIENT_ERRORS.contains(&code)),
            ConfigError::Invalid { .. } => false,
        }
    }
}

/// The reason why the contents of a configuration file are invalid. Its text begins with the key.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// A key is missing or of the wrong type.
    #[error("{}: {}", .0.path(), .0.inner())]
    Key(serde_path_to_error::Error<serde_json::Error>),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: must be a hexadecimal number of at most 64 bits: {0}")]
    Seed(std::num::ParseIntError),
    /// The limit of file descriptors is too low.
    #[error("limits.sockets: {0} is too low, at least {MIN_SOCKETS} are needed")]
    TooFewSockets(usize),
    /// The settings contradict each other or are out of range.
    #[error("settings: {0}")]
    Settings(cranetack_settings::SettingsError),
}

/// Reads an operator's file and checks it.
pub fn load_toml<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Result<(), String>,
) -> Result<T, ConfigError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ConfigError::unreadable(path, source))?;
    let invalid = |message| ConfigError::invalid(path, message);
    let file = parse_toml(&text).map_err(invalid)?;
    check(&file).map_err(invalid)?;
    Ok(file)
}

/// Decodes an operator's file. The error message names the invalid key.
pub fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let toml = toml::Deserializer::parse(text)
        .map_err(|error| format!("not TOML: {}", error.message()))?;
    serde_path_to_error::deserialize(toml)
        .map_err(|error| format!("{}: {}", error.path(), error.inner().message()))
}

/// The resources that one router may use.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Limits {
    /// The maximum number of file descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// The maximum memory in megabytes; unlimited if it is not set.
    pub memory_mb: Option<f64>,
}

impl Limits {
    /// Returns the maximum memory in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        match self.memory_mb {
            Some(megabytes) => (megabytes * BYTES_PER_MEGABYTE) as usize,
            None => usize::MAX,
        }
    }
}

fn default_sockets() -> usize {
    DEFAULT_SOCKETS
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: default_sockets(),
            memory_mb: None,
        }
    }
}

/// The contents of the configuration file, before they are checked.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(rename = "peers_all")]
    peers_broadcast: Option<SocketAddr>,
    #[serde(rename = "known")]
    known_endpoints: Option<EndpointList>,
    settings: SiteSettings,
}

/// The addresses for gossip between routers.
#[derive(Debug, Clone)]
pub struct GossipConfig {
    /// The address on which this router receives gossip.
    pub listen: SocketAddr,
    /// The addresses of all routers. The number of a router is its index in this list.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all routers at once.
    pub broadcast: Option<SocketAddr>,
}

/// Reads the file again at each hangup (SIGHUP) and publishes the address of discovery, until no
/// receiver of that address is left. Other changes in the file take effect at the next start. A
/// file that cannot be used changes nothing.
pub async fn reload_on_hangup(
    path: &Path,
    mut hangup: impl AsyncFnMut() -> Option<()>,
    discovery_address: watch::Sender<SocketAddr>,
) {
    loop {
        tokio::select! {
            received = hangup() => if received.is_none() { return },
            () = discovery_address.closed() => return,
        }
        match load_with_retries(path).await {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                discovery_address.send_replace(config.discovery);
            }
            Err(error) => tracing::error!(%error, "configuration not reloaded"),
        }
    }
}

/// Reads the file, with retries until it can be used. A retry is needed if the file is just being
/// written or reading it fails temporarily, as no further signal follows.
async fn load_with_retries(path: &Path) -> Result<Config, ConfigError> {
    for _ in 0..LOAD_RETRIES {
        if let Ok(config) = Config::load(path) {
            return Ok(config);
        }
        tokio::time::sleep(LOAD_RETRY_DELAY).await;
    }
    Config::load(path)
}

/// The configuration of a router.
pub struct Config {
    /// The name of the router.
    pub name: String,
    /// The address for clients of the platform API.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// The resources that the router may use.
    pub limits: Limits,
    /// The addresses for gossip between routers, if gossip is enabled.
    pub gossip: Option<GossipConfig>,
    /// The endpoint list that this router last had, if the file contains it.
    pub known_endpoints: Option<EndpointList>,
    /// The settings of the site, under their names in the file.
    pub site: SiteSettings,
    /// The same settings in the types of the routing policy.
    pub settings: Settings,
}

impl Config {
    /// Reads the file when the program starts. Errors that may be temporary are retried for a
    /// second.
    pub fn load_for_start(path: &Path) -> Result<Config, ConfigError> {
        for _ in 0..LOAD_RETRIES {
            match Config::load(path) {
                Err(error) if error.is_transient() => std::thread::sleep(LOAD_RETRY_DELAY),
                loaded => return loaded,
            }
        }
        Config::load(path)
    }

    /// Reads the file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let bytes = std::fs::read(path).map_err(|source| ConfigError::unreadable(path, source))?;
        Config::parse(&bytes).map_err(|error| ConfigError::invalid(path, error.to_string()))
    }

    /// Decodes the contents of a file and checks them.
    pub fn parse(bytes: &[u8]) -> Result<Config, InvalidConfig> {
        let json = &mut serde_json::Deserializer::from_slice(bytes);
        let file: ConfigFile =
            serde_path_to_error::deserialize(json).map_err(InvalidConfig::Key)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(InvalidConfig::Seed)?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(InvalidConfig::TooFewSockets(file.limits.sockets));
        }
        let mut site = file.settings;
        site.resolve_report_columns();
        let settings = Settings {
            // The router always watches discovery, so the policy never has to poll the endpoint
            // list.
            endpoints_are_polled: false,
            ..site.policy_settings().map_err(InvalidConfig::Settings)?
        };
        let gossip_listen = file.peer_listen.filter(|_| settings.gossip);
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            limits: file.limits,
            gossip: gossip_listen.map(|listen| GossipConfig {
                listen,
                peers: file.peers,
                broadcast: file.peers_broadcast,
            }),
            known_endpoints: file.known_endpoints,
            site,
            settings,
        })
    }
}

#[cfg(test)]
mod tests;
