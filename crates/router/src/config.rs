//! What a router is told: the configuration file, at its start and again at each hangup.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cranetack_routing_policy::Settings;
use cranetack_settings::SiteSettings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use tokio::sync::watch;

use crate::discovery::EndpointList;

/// A file that cannot be used is read again after this ...
const SETTLE_DELAY: Duration = Duration::from_millis(50);
/// ... so many times, before it counts as wrong.
const SETTLE_TRIES: u32 = 20;

/// Why a configuration cannot be used: one line that names the key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Its path.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A key is missing, of the wrong type or out of range.
    #[error("{path}: {message}")]
    Wrong {
        /// The file's path.
        path: String,
        /// The key and what is wrong with it.
        message: String,
    },
}

/// Reads an operator's file and checks it. The message names the key that is wrong.
pub fn load_toml<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Result<(), String>,
) -> Result<T, ConfigError> {
    let shown = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => {
            let read = parse_toml(&text).and_then(|file| check(&file).map(|()| file));
            read.map_err(|message| ConfigError::Wrong {
                path: shown,
                message,
            })
        }
        Err(source) => Err(ConfigError::Unreadable {
            path: shown,
            source,
        }),
    }
}

/// Reads an operator's file from its text.
pub fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let toml = toml::Deserializer::parse(text).map_err(|e| format!("not TOML: {}", e.message()))?;
    serde_path_to_error::deserialize(toml)
        .map_err(|e| format!("{}: {}", e.path(), e.inner().message()))
}

/// What one router may use.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Limits {
    /// File descriptors that it may hold.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

fn default_sockets() -> usize {
    1_024
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: default_sockets(),
        }
    }
}

/// The file, as it is written.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<EndpointList>,
    settings: SiteSettings,
}

/// Addresses for messages between routers.
#[derive(Debug, Clone)]
pub struct Peering {
    /// Where messages arrive.
    pub listen: SocketAddr,
    /// One address for each router of the tier, by its number.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all of them.
    pub all: Option<SocketAddr>,
}

/// Reads the file again at each hangup, for as long as anybody wants to know where discovery answers. Nothing
/// else of it takes effect before the next start. Guards against a bad file that costs a running router what it
/// has: then all stays as it was.
pub async fn follow(
    path: &Path,
    mut hangup: impl AsyncFnMut() -> Option<()>,
    discovery: watch::Sender<SocketAddr>,
) {
    loop {
        tokio::select! {
            heard = hangup() => if heard.is_none() { return },
            () = discovery.closed() => return,
        }
        match load_settled(path).await {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "the configuration has been read again");
                discovery.send_replace(config.discovery);
            }
            Err(error) => tracing::error!(%error, "the configuration stays as it was"),
        }
    }
}

/// Whether a reading may succeed a moment later.
fn is_momentary(error: &std::io::Error) -> bool {
    let codes = [
        libc::EIO,
        libc::ENFILE,
        libc::EMFILE,
        libc::EINTR,
        libc::EAGAIN,
    ];
    error
        .raw_os_error()
        .is_some_and(|code| codes.contains(&code))
}

/// The file once it can be used: it may be half written, or its reading fail for a moment, and no further signal comes.
async fn load_settled(path: &Path) -> Result<Config, ConfigError> {
    for _ in 0..SETTLE_TRIES {
        if let Ok(config) = Config::load(path) {
            return Ok(config);
        }
        tokio::time::sleep(SETTLE_DELAY).await;
    }
    Config::load(path)
}

/// All that a router is told.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// Messages between routers, where there are any.
    pub peering: Option<Peering>,
    /// The last list of workers that it held.
    pub known: Option<EndpointList>,
    /// The settings by name.
    pub site: SiteSettings,
    /// The settings in the module's types.
    pub settings: Settings,
}

impl Config {
    /// Reads a configuration file for a start: a reading that fails for a moment is made again, for a second.
    pub fn load_for_start(path: &Path) -> Result<Config, ConfigError> {
        for _ in 0..SETTLE_TRIES {
            match Config::load(path) {
                Err(ConfigError::Unreadable { source, .. }) if is_momentary(&source) => {
                    std::thread::sleep(SETTLE_DELAY);
                }
                loaded => return loaded,
            }
        }
        Config::load(path)
    }

    /// Reads a configuration file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let shown = path.display().to_string();
        match std::fs::read(path) {
            Ok(bytes) => Config::parse(&bytes).map_err(|message| ConfigError::Wrong {
                path: shown,
                message,
            }),
            Err(source) => Err(ConfigError::Unreadable {
                path: shown,
                source,
            }),
        }
    }

    /// Reads a configuration from its text. The message names the key that is wrong.
    pub fn parse(bytes: &[u8]) -> Result<Config, String> {
        let json = &mut serde_json::Deserializer::from_slice(bytes);
        let file: File = serde_path_to_error::deserialize(json)
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|e| format!("seed: not hexadecimal: {e}"))?;
        if file.limits.sockets < 64 {
            return Err(format!(
                "limits.sockets: {} is too few, at least 64 are needed",
                file.limits.sockets
            ));
        }
        let mut site = file.settings;
        site.name_columns();
        // Discovery is always watched here, so the module never has to ask for the list.
        let settings = Settings {
            endpoints_are_polled: false,
            ..site
                .policy_settings()
                .map_err(|message| format!("settings: {message}"))?
        };
        let peering = file.peer_listen.filter(|_| settings.gossip);
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            limits: file.limits,
            peering: peering.map(|listen| Peering {
                listen,
                peers: file.peers,
                all: file.peers_all,
            }),
            known: file.known,
            site,
            settings,
        })
    }
}

#[cfg(test)]
mod tests;
