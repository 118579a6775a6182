//! The router's command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use cranetack_router::config::{self, load_toml, Config, ConfigError};
use cranetack_router::shutdown::Signals;
use cranetack_router::{control, frontend::inference, tenants, Extras};
use tokio::signal::unix::Signal;
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
    /// Run the conformance suite of the inference API against a service, such as this router's second front.
    Conform(Conform),
    /// Print the version.
    Version,
}

#[derive(Args)]
struct Conform {
    /// The service's address, such as http://127.0.0.1:8090.
    #[arg(long)]
    base: String,
    /// A file of cases; the suite as shipped without it.
    #[arg(long)]
    cases: Option<PathBuf>,
    /// Only cases whose names hold this.
    #[arg(long)]
    only: Option<String>,
    /// A tenant's key that is sent with each case.
    #[arg(long, env = "CRANETACK_KEY", hide_env_values = true)]
    key: Option<String>,
    /// One line of JSON for each case, in place of text.
    #[arg(long)]
    json: bool,
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
        let config = Config::load_for_start(&self.config)?;
        let path = Option::as_deref;
        let inference = path(&self.inference)
            .map(|p: &Path| load_toml(p, |setup: &inference::Setup| setup.check(&config.site)));
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
fn follow(path: PathBuf, first: SocketAddr, mut hangup: Signal) -> watch::Receiver<SocketAddr> {
    let (address, changes) = watch::channel(first);
    tokio::task::spawn_local(async move {
        config::follow(&path, async || hangup.recv().await, address).await;
    });
    changes
}

/// Runs the suite; whether all passed.
fn conform(asked: &Conform) -> Result<bool, Box<dyn std::error::Error>> {
    let text = match &asked.cases {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => cranetack_conformance::CASES.to_owned(),
    };
    let mut cases = cranetack_conformance::cases(&text)?;
    cases.retain(|c| {
        asked
            .only
            .as_ref()
            .is_none_or(|only| c.name.contains(only.as_str()))
    });
    let base = cranetack_conformance::Base::new(&asked.base, asked.key.clone())?;
    let (all, mut told) = (cases.len(), 0);
    let tell = |outcome: &cranetack_conformance::Outcome| {
        told += 1;
        if asked.json {
            println!("{}", serde_json::to_string(outcome).unwrap_or_default());
        } else if !outcome.problems.is_empty() {
            println!(
                "FAILED {}\n    {}",
                outcome.name,
                outcome.problems.join("\n    ")
            );
        }
        if told % 50 == 0 {
            eprintln!("{told} of {all} cases");
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let outcomes = runtime.block_on(cranetack_conformance::run(&base, &cases, tell));
    let failed = outcomes.iter().filter(|o| !o.problems.is_empty()).count();
    println!(
        "conformance: {} passed, {failed} failed",
        outcomes.len() - failed
    );
    Ok(failed == 0)
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("cranetack: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Whether all went well.
fn run(command: Command) -> Result<bool, Box<dyn std::error::Error>> {
    match command {
        Command::Serve(files) => {
            let filter = tracing_subscriber::EnvFilter::try_from_env("CRANETACK_LOG")
                .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
            tracing_subscriber::fmt()
                .with_env_filter(filter)
                .with_ansi(false)
                .init();
            let runtime = cranetack_router::runtime()?;
            let Signals {
                hangup,
                termination,
            } = {
                let _guard = runtime.enter();
                Signals::install()?
            };
            let Loaded {
                config,
                inference,
                tenants,
                control,
            } = files.load()?;
            let first = config.discovery;
            let extras = || {
                let tenants = tenants.map(tenants::Tenants::follow);
                let discovery = Some(follow(files.config, first, hangup));
                Extras {
                    inference,
                    tenants,
                    control,
                    discovery,
                }
            };
            cranetack_router::run(&runtime, config, extras, termination.requested())?;
            Ok(true)
        }
        Command::CheckConfig(files) => {
            let Loaded {
                config,
                inference,
                tenants,
                control,
            } = files.load()?;
            println!(
                "{} would serve the platform on {}",
                config.name, config.listen
            );
            if let Some(setup) = inference {
                println!("embeddings, rerank and chat on {}", setup.listen);
            }
            if let Some(setup) = tenants {
                println!("to the tenants of {}", setup.url);
            }
            if let Some(setup) = control {
                println!("other proxies on {}", setup.listen);
            }
            Ok(true)
        }
        Command::Conform(asked) => conform(&asked),
        Command::Version => {
            println!("cranetack {}", env!("CARGO_PKG_VERSION"));
            Ok(true)
        }
    }
}
