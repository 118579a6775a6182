//! The command line of the router.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use cranetack_router::config::{self, load_toml, Config, ConfigError};
use cranetack_router::frontend::inference;
use cranetack_router::signals::Signals;
use cranetack_router::{control, tenants, RouterOptions};
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Environment variable with the filter of the log.
const LOG_FILTER_VARIABLE: &str = "CRANETACK_LOG";
/// Filter of the log if the environment variable is not set or is invalid.
const DEFAULT_LOG_FILTER: &str = "info";
/// Number of conformance cases after which progress is printed again.
const CASES_BETWEEN_PROGRESS: usize = 50;

/// A router for language models whose prefill and decode run on different servers.
#[derive(Parser)]
#[command(name = "cranetack", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM or SIGINT.
    Serve(ConfigFiles),
    /// Read the files and report whether they can be used.
    CheckConfig(ConfigFiles),
    /// Run the conformance suite of the inference API against a service, such as this router.
    Conform(ConformArgs),
    /// Print the version.
    Version,
}

#[derive(Args)]
struct ConformArgs {
    /// The address of the service, such as http://127.0.0.1:8090.
    #[arg(long)]
    base: String,
    /// A file of cases to run in place of the built-in suite.
    #[arg(long)]
    cases: Option<PathBuf>,
    /// Run only the cases whose names contain this text.
    #[arg(long)]
    only: Option<String>,
    /// A tenant's key to send with each case.
    #[arg(long, env = "CRANETACK_KEY", hide_env_values = true)]
    key: Option<String>,
    /// Print one line of JSON for each case, in place of text.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct ConfigFiles {
    /// The configuration file.
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
    /// The operator's file that enables the inference API, with embeddings, rerank and chat.
    #[arg(long, env = "CRANETACK_INFERENCE")]
    inference: Option<PathBuf>,
    /// The operator's file that names the LDAP directory of the tenants whose keys the inference
    /// API accepts.
    #[arg(long, env = "CRANETACK_TENANTS", requires = "inference")]
    tenants: Option<PathBuf>,
    /// The operator's file that enables the control service for other proxies.
    #[arg(long, env = "CRANETACK_CONTROL")]
    control: Option<PathBuf>,
}

/// The contents of the files, after they have been checked.
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

/// Runs a command. Returns false if conformance cases have failed.
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
    let initial_discovery_address = loaded.config.discovery;
    let options = || RouterOptions {
        inference: loaded.inference,
        tenants: loaded.tenants.map(tenants::Tenants::start),
        control: loaded.control,
        discovery: Some(watch_discovery_address(
            files.config,
            initial_discovery_address,
            signals.hangup,
        )),
    };
    let termination = signals.termination.requested();
    cranetack_router::run(&runtime, loaded.config, options, termination)?;
    Ok(())
}

fn start_log() {
    let filter = tracing_subscriber::EnvFilter::try_from_env(LOG_FILTER_VARIABLE)
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new(DEFAULT_LOG_FILTER));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .init();
}

/// Returns a receiver of discovery's address, which is read from the configuration file again at
/// each SIGHUP. Must be called within a `LocalSet`.
fn watch_discovery_address(
    path: PathBuf,
    initial_address: SocketAddr,
    mut hangup: Signal,
) -> watch::Receiver<SocketAddr> {
    let (sender, receiver) = watch::channel(initial_address);
    // The task ends once the router has dropped the receiver.
    tokio::task::spawn_local(async move {
        config::reload_on_hangup(&path, async || hangup.recv().await, sender).await;
    });
    receiver
}

/// Reads the files and prints what a router with them would serve.
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

/// Runs the conformance suite. Returns whether all cases passed.
fn conform(args: &ConformArgs) -> Result<bool, Error> {
    let cases = load_cases(args)?;
    let service = cranetack_conformance::Service::new(&args.base, args.key.clone())?;
    let case_count = cases.len();
    let mut completed = 0;
    let report = |outcome: &cranetack_conformance::Outcome| {
        completed += 1;
        print_outcome(outcome, args.json);
        if completed % CASES_BETWEEN_PROGRESS == 0 {
            eprintln!("{completed} of {case_count} cases");
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let outcomes = runtime.block_on(cranetack_conformance::run(&service, &cases, report));
    let has_failed = |outcome: &&cranetack_conformance::Outcome| !outcome.problems.is_empty();
    let failed = outcomes.iter().filter(has_failed).count();
    println!(
        "conformance: {} passed, {failed} failed",
        outcomes.len() - failed
    );
    Ok(failed == 0)
}

/// Returns the cases that the arguments select.
fn load_cases(args: &ConformArgs) -> Result<Vec<cranetack_conformance::Case>, Error> {
    let text = match &args.cases {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
        }
        None => cranetack_conformance::CASES.to_owned(),
    };
    let mut cases = cranetack_conformance::parse_cases(&text)?;
    if let Some(only) = &args.only {
        cases.retain(|case| case.name.contains(only.as_str()));
    }
    Ok(cases)
}

/// Prints the outcome of a case. The text form is printed only for a failed case.
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
