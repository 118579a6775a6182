//! The crowd program: plays a crowd of misbehaving clients at a real router, and prints what it cost
//! and what the usual clients got.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use cranetack_soak::crowd::client_kind::{ClientKind, ALL_KINDS};
use cranetack_soak::crowd::play::{play, Frontends, PlayOptions, PlaySignal};
use cranetack_soak::crowd::servers::{ResponsePlan, ServerPace};
use cranetack_soak::error::SoakError;
use tokio::task::LocalSet;

/// Plays a crowd of misbehaving clients at a real router.
#[derive(Parser)]
#[command(name = "crowd", version)]
struct Cli {
    /// Path of the router program.
    #[arg(long, default_value = "target/release/cranetack")]
    program: PathBuf,
    /// Folder for the configuration files and logs of the router.
    #[arg(long, default_value = "target/crowd")]
    folder: PathBuf,
    /// Kinds of the misbehaving clients, separated by commas; all kinds if none is named.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<ClientKind>,
    /// Number of misbehaving clients.
    #[arg(long, default_value_t = 320)]
    clients: usize,
    /// The frontends that are used.
    #[arg(long, default_value = "platform")]
    frontends: Frontends,
    /// The memory of the router in megabytes.
    #[arg(long, default_value_t = 32)]
    memory_mb: u64,
    /// The file descriptors of the router.
    #[arg(long, default_value_t = 1_024)]
    sockets: usize,
    /// Duration for which the crowd stays, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// A signal during the play.
    #[arg(long)]
    signal: Option<PlaySignal>,
    /// Bytes of requests that servers read in a second; as many as arrive if it is 0.
    #[arg(long, default_value_t = 0)]
    server_reads: usize,
    /// Pause of servers within each event, in milliseconds.
    #[arg(long, default_value_t = 0)]
    server_pause_ms: u64,
    /// Size of the request bodies of usual clients, in bytes.
    #[arg(long, default_value_t = 6_000)]
    body_bytes: usize,
    /// Number of events of the responses to usual clients.
    #[arg(long, default_value_t = 10)]
    events: usize,
    /// Size of the events of the responses to usual clients, in bytes.
    #[arg(long, default_value_t = 90)]
    event_bytes: usize,
    /// Let endpoints do both prefill and decode.
    #[arg(long)]
    mixed: bool,
}

/// Pause of a server before each event of a response to a usual client, in milliseconds.
const EVENT_GAP_MS: u64 = 20;

impl Cli {
    fn options(self) -> PlayOptions {
        let kinds = if self.kinds.is_empty() {
            ALL_KINDS.to_vec()
        } else {
            self.kinds
        };
        PlayOptions {
            program: self.program,
            folder: self.folder,
            kinds,
            clients: self.clients,
            frontends: self.frontends,
            memory_mb: self.memory_mb,
            sockets: self.sockets,
            duration: Duration::from_secs(self.seconds),
            pace: ServerPace {
                read_bytes_per_second: self.server_reads,
                pause_within_event: Duration::from_millis(self.server_pause_ms),
            },
            plan: ResponsePlan {
                events: self.events,
                event_bytes: self.event_bytes,
                gap_ms: EVENT_GAP_MS,
            },
            body_bytes: self.body_bytes,
            signal: self.signal,
            has_mixed_endpoints: self.mixed,
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crowd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), SoakError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(SoakError::Runtime)?;
    let report = LocalSet::new().block_on(&runtime, play(cli.options()))?;
    println!("{report}");
    Ok(())
}
