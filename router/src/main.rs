//! The router's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use cranetack_router::config::Config;
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
    },
    /// Read a configuration file and say whether it can be used.
    CheckConfig {
        /// The configuration file.
        #[arg(env = "PROXY_CONFIG")]
        config: PathBuf,
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
        Command::Serve { config } => {
            let filter = tracing_subscriber::EnvFilter::try_from_env("CRANETACK_LOG")
                .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
            tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).init();
            Ok(cranetack_router::run(Config::load(&config)?, shutdown::terminated)?)
        }
        Command::CheckConfig { config } => {
            let read = Config::load(&config)?;
            println!("{}: {} would listen on {}", config.display(), read.name, read.listen);
            Ok(())
        }
        Command::Version => {
            println!("cranetack {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
