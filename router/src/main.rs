//! The router's command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use cranetack_router::config::{self, load_toml, Config, ConfigError};
use cranetack_router::{control, front::inference, shutdown, tenants, Extras};
use tokio::sync::watch;

/// A router for a model service whose prompts are read and answers written by different servers.
#[derive(Parser)]
#[command(name = "cranetack", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM.
    Serve(Files),
    /// Read the files and say whether they can be used.
    CheckConfig(Files),
    /// Print the version.
    Version,
}

#[derive(Args)]
struct Files {
    /// The configuration file.
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
    /// Operator's file: a front for embeddings, rerank and chat.
    #[arg(long, env = "CRANETACK_INFERENCE")]
    inference: Option<PathBuf>,
    /// Operator's file: whose keys that front takes, from an LDAP directory.
    #[arg(long, env = "CRANETACK_TENANTS", requires = "inference")]
    tenants: Option<PathBuf>,
    /// Operator's file: the control service for other proxies.
    #[arg(long, env = "CRANETACK_CONTROL")]
    control: Option<PathBuf>,
}

/// The files, read and checked.
struct Loaded {
    config: Config,
    inference: Option<inference::Setup>,
    tenants: Option<tenants::Setup>,
    control: Option<control::Setup>,
}

impl Files {
    fn load(&self) -> Result<Loaded, ConfigError> {
        let config = Config::load(&self.config)?;
        let path = Option::as_deref;
        let inference = path(&self.inference)
            .map(|p: &Path| load_toml(p, |setup: &inference::Setup| setup.check(&config.facts)));
        let tenants = path(&self.tenants).map(|p: &Path| load_toml(p, tenants::Setup::check));
        let control = path(&self.control).map(|p: &Path| load_toml(p, control::Setup::check));
        Ok(Loaded {
            inference: inference.transpose()?,
            tenants: tenants.transpose()?,
            control: control.transpose()?,
            config,
        })
    }
}

/// Where discovery answers, by the configuration as it is read again at each SIGHUP. To be called on the runtime.
fn follow(path: PathBuf, first: SocketAddr) -> impl FnOnce() -> watch::Receiver<SocketAddr> {
    move || {
        let (address, changes) = watch::channel(first);
        match shutdown::hangups() {
            Ok(mut hangups) => drop(tokio::task::spawn_local(async move {
                config::follow(&path, async || hangups.recv().await, address).await;
            })),
            Err(error) => tracing::error!(%error, "SIGHUP cannot be heard"),
        }
        changes
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cranetack: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        Command::Serve(files) => {
            let filter = tracing_subscriber::EnvFilter::try_from_env("CRANETACK_LOG")
                .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
            tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).init();
            let Loaded { config, inference, tenants, control } = files.load()?;
            let discovery = follow(files.config, config.discovery);
            let extras = || {
                let tenants = tenants.map(tenants::Tenants::follow);
                Extras { inference, tenants, control, discovery: Some(discovery()) }
            };
            Ok(cranetack_router::run(config, extras, shutdown::terminated)?)
        }
        Command::CheckConfig(files) => {
            let Loaded { config, inference, tenants, control } = files.load()?;
            println!("{} would serve the platform on {}", config.name, config.listen);
            if let Some(setup) = inference {
                println!("embeddings, rerank and chat on {}", setup.listen);
            }
            if let Some(setup) = tenants {
                println!("to the tenants of {}", setup.url);
            }
            if let Some(setup) = control {
                println!("other proxies on {}", setup.listen);
            }
            Ok(())
        }
        Command::Version => {
            println!("cranetack {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
