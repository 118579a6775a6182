//! The router's command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use cranetack_router::config::{self, load_toml, Config, ConfigError};
use cranetack_router::frontend::inference;
use cranetack_router::signals::Signals;
use cranetack_router::{control, tenants, Extras};
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// The environment variable that filters the log.
const LOG_VARIABLE: &str = "CRANETACK_LOG";
/// The filter where it is not set.
const DEFAULT_LOG_FILTER: &str = "info";
/// After how many conformance cases progress is printed.
const PROGRESS_INTERVAL: usize = 50;

/// A router for language models whose prefill and decode run on different servers.
#[derive(Parser)]
#[command(name = "cranetack", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM.
    Serve(ConfigFiles),
    /// Read the files and say whether they can be used.
    CheckConfig(ConfigFiles),
    /// Run the conformance suite of the inference API against a service, such as this router.
    Conform(ConformArgs),
    /// Print the version.
    Version,
}

#[derive(Args)]
struct ConformArgs {
    /// The service's address, such as http://127.0.0.1:8090.
    #[arg(long)]
    base: String,
    /// A file of cases; the suite as shipped without it.
    #[arg(long)]
    cases: Option<PathBuf>,
    /// Only cases whose names contain this.
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
struct ConfigFiles {
    /// The configuration file.
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
    /// Operator's file: the inference API, with embeddings, rerank and chat.
    #[arg(long, env = "CRANETACK_INFERENCE")]
    inference: Option<PathBuf>,
    /// Operator's file: the tenants whose keys the inference API accepts, from an LDAP directory.
    #[arg(long, env = "CRANETACK_TENANTS", requires = "inference")]
    tenants: Option<PathBuf>,
    /// Operator's file: the control service for other proxies.
    #[arg(long, env = "CRANETACK_CONTROL")]
    control: Option<PathBuf>,
}

/// The files, read and checked.
struct LoadedConfig {
    config: Config,
    inference: Option<inference::Setup>,
    tenants: Option<tenants::Setup>,
    control: Option<control::Setup>,
}

impl ConfigFiles {
    fn load(&self) -> Result<LoadedConfig, ConfigError> {
        let config = Config::load_for_start(&self.config)?;
        let inference = match &self.inference {
            Some(path) => Some(load_toml(path, |setup: &inference::Setup| {
                setup.check(&config.site)
            })?),
            None => None,
        };
        let tenants = match &self.tenants {
            Some(path) => Some(load_toml(path, tenants::Setup::check)?),
            None => None,
        };
        let control = match &self.control {
            Some(path) => Some(load_toml(path, control::Setup::check)?),
            None => None,
        };
        Ok(LoadedConfig {
            config,
            inference,
            tenants,
            control,
        })
    }
}

type Error = Box<dyn std::error::Error>;

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

/// Runs a command; whether it found everything in order.
fn run(command: Command) -> Result<bool, Error> {
    match command {
        Command::Serve(files) => serve(files).map(|()| true),
        Command::CheckConfig(files) => check_config(&files).map(|()| true),
        Command::Conform(args) => conform(&args),
        Command::Version => {
            println!("cranetack {}", env!("CARGO_PKG_VERSION"));
            Ok(true)
        }
    }
}

/// Serves clients until a signal ends the program.
fn serve(files: ConfigFiles) -> Result<(), Error> {
    start_log();
    let runtime = cranetack_router::runtime()?;
    let signals = {
        let _guard = runtime.enter();
        Signals::install()?
    };
    let loaded = files.load()?;
    let discovery_at_start = loaded.config.discovery;
    let extras = || Extras {
        inference: loaded.inference,
        tenants: loaded.tenants.map(tenants::Tenants::start),
        control: loaded.control,
        discovery: Some(watch_discovery_address(
            files.config,
            discovery_at_start,
            signals.hangup,
        )),
    };
    let termination = signals.termination.requested();
    cranetack_router::run(&runtime, loaded.config, extras, termination)?;
    Ok(())
}

fn start_log() {
    let filter = tracing_subscriber::EnvFilter::try_from_env(LOG_VARIABLE)
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new(DEFAULT_LOG_FILTER));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .init();
}

/// The address of discovery, by the configuration as it is read again at each SIGHUP. Must be
/// called on the runtime.
fn watch_discovery_address(
    path: PathBuf,
    at_start: SocketAddr,
    mut hangup: Signal,
) -> watch::Receiver<SocketAddr> {
    let (sender, receiver) = watch::channel(at_start);
    // The task ends once the router has dropped the receiver.
    tokio::task::spawn_local(async move {
        config::reload_on_hangup(&path, async || hangup.recv().await, sender).await;
    });
    receiver
}

/// Reads the files and prints what they would serve.
fn check_config(files: &ConfigFiles) -> Result<(), Error> {
    let LoadedConfig {
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
    Ok(())
}

/// Runs the conformance suite; whether all cases passed.
fn conform(args: &ConformArgs) -> Result<bool, Error> {
    let cases = load_cases(args)?;
    let base = cranetack_conformance::Base::new(&args.base, args.key.clone())?;
    let case_count = cases.len();
    let mut completed = 0;
    let report = |outcome: &cranetack_conformance::Outcome| {
        completed += 1;
        print_outcome(outcome, args.json);
        if completed % PROGRESS_INTERVAL == 0 {
            eprintln!("{completed} of {case_count} cases");
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let outcomes = runtime.block_on(cranetack_conformance::run(&base, &cases, report));
    let has_failed = |outcome: &&cranetack_conformance::Outcome| !outcome.problems.is_empty();
    let failed = outcomes.iter().filter(has_failed).count();
    println!(
        "conformance: {} passed, {failed} failed",
        outcomes.len() - failed
    );
    Ok(failed == 0)
}

/// The cases that are asked for.
fn load_cases(args: &ConformArgs) -> Result<Vec<cranetack_conformance::Case>, Error> {
    let text = match &args.cases {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
        }
        None => cranetack_conformance::CASES.to_owned(),
    };
    let mut cases = cranetack_conformance::cases(&text)?;
    if let Some(only) = &args.only {
        cases.retain(|case| case.name.contains(only.as_str()));
    }
    Ok(cases)
}

/// Prints the outcome of a case: as text, only if it failed.
fn print_outcome(outcome: &cranetack_conformance::Outcome, json: bool) {
    if json {
        println!("{}", serde_json::to_string(outcome).unwrap_or_default());
    } else if !outcome.problems.is_empty() {
        println!(
            "FAILED {}\n    {}",
            outcome.name,
            outcome.problems.join("\n    ")
        );
    }
}
