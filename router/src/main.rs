//! The router's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use cranetack_router::config::{Config, ConfigError};
use cranetack_router::front::inference::Setup;
use cranetack_router::shutdown;

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
    Serve {
        /// The configuration file.
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
        /// The operator's file for the front for embeddings, rerank and chat; off without it.
        #[arg(long, env = "CRANETACK_INFERENCE")]
        inference: Option<PathBuf>,
    },
    /// Read a configuration file and say whether it can be used.
    CheckConfig {
        /// The configuration file.
        #[arg(env = "PROXY_CONFIG")]
        config: PathBuf,
        /// The operator's file for the second front, which is checked against the configuration.
        #[arg(long)]
        inference: Option<PathBuf>,
    },
    /// Print the version.
    Version,
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
        Command::Serve { config, inference } => {
            let filter = tracing_subscriber::EnvFilter::try_from_env("CRANETACK_LOG")
                .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
            tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).init();
            let (config, setup) = load(&config, inference.as_deref())?;
            Ok(cranetack_router::run(config, setup, shutdown::terminated)?)
        }
        Command::CheckConfig { config, inference } => {
            let (read, setup) = load(&config, inference.as_deref())?;
            println!("{}: {} would listen on {}", config.display(), read.name, read.listen);
            if let Some(setup) = setup {
                println!("embeddings, rerank and chat would be served on {}", setup.listen);
            }
            Ok(())
        }
        Command::Version => {
            println!("cranetack {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn load(config: &Path, inference: Option<&Path>) -> Result<(Config, Option<Setup>), ConfigError> {
    let config = Config::load(config)?;
    let setup = inference.map(|path| Setup::load(path, &config.facts)).transpose()?;
    Ok((config, setup))
}
