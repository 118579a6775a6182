//! The soak program: it executes one run per seed, and prints one line for each run, followed by
//! the violations of the run.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use cranetack_soak::error::SoakError;
use cranetack_soak::injected_violation::InjectedViolation;
use cranetack_soak::options::{ClassDeadlines, RouterLimits, RunOptions, RunReport};
use cranetack_soak::run::run;
use tokio::task::LocalSet;

/// Maximum number of routers of a run.
const MAX_ROUTERS: usize = 40;
/// Number of fake prefill servers of a run.
const PREFILL_SERVERS: usize = 4;
/// Number of fake decode servers of a run.
const DECODE_SERVERS: usize = 5;
/// Maximum number of violations that are printed for a run.
const PRINTED_VIOLATIONS: usize = 12;

/// One run of this many has crowds of misbehaving clients.
const CROWD_INTERVAL: u64 = 3;
/// Resources of routers, which runs take in turn.
const LIMITS: [RouterLimits; 5] = [
    limits(192, 256),
    limits(32, 1_024),
    limits(64, 512),
    limits(32, 256),
    limits(192, 1_024),
];

const fn limits(memory_mb: u64, sockets: usize) -> RouterLimits {
    RouterLimits { memory_mb, sockets }
}

/// Runs real routers under overlapping faults and checks the rules of the protocol.
#[derive(Parser)]
#[command(name = "soak", version)]
struct Cli {
    /// Path of the router program.
    #[arg(long, default_value = "target/release/cranetack")]
    program: PathBuf,
    /// Path of the library that shifts the wall clock of the routers and makes their system calls
    /// fail; not used with `--plain`.
    #[arg(
        long,
        default_value = "target/release/libcranetack_syscall_fault_shim.so"
    )]
    shim: PathBuf,
    /// Run the routers without the library that injects clock and system call faults.
    #[arg(long)]
    plain: bool,
    /// Names of the faults that the library injects, separated by commas.
    #[arg(long, default_value = "accept,connect,socket,wait,short,file")]
    faults: String,
    /// Folder for the configuration files and logs of the routers.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs; their seeds are consecutive.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Duration in which faults are started in each run, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of routers.
    #[arg(long, default_value_t = 10)]
    routers: usize,
    /// Violation to cause on purpose; a run passes if the oracle reports it.
    #[arg(long = "plant", value_name = "PLANT")]
    injected_violation: Option<InjectedViolation>,
}

impl Cli {
    fn run_options(&self, seed: u64) -> Result<RunOptions, SoakError> {
        let shim = if self.plain {
            None
        } else {
            Some(absolute(&self.shim)?)
        };
        Ok(RunOptions {
            program: absolute(&self.program)?,
            shim,
            syscall_faults: self.faults.clone(),
            folder: self.folder.join(seed.to_string()),
            seed,
            routers: self.routers.clamp(1, MAX_ROUTERS),
            prefill_servers: PREFILL_SERVERS,
            decode_servers: DECODE_SERVERS,
            fault_injection_duration: Duration::from_secs(self.seconds),
            deadlines: deadlines(seed),
            limits: LIMITS[seed as usize % LIMITS.len()],
            has_crowds: seed.is_multiple_of(CROWD_INTERVAL),
            injected_violation: self.injected_violation,
        })
    }
}

/// Returns the deadlines of the run with this seed: every second run has short ones.
fn deadlines(seed: u64) -> ClassDeadlines {
    if seed.is_multiple_of(2) {
        ClassDeadlines::SHORT
    } else {
        ClassDeadlines::USUAL
    }
}

fn absolute(path: &Path) -> Result<PathBuf, SoakError> {
    path.canonicalize().map_err(|source| SoakError::File {
        path: path.to_owned(),
        source,
    })
}

fn main() -> ExitCode {
    match run_seeds(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Executes the runs for all seeds. Returns whether all runs passed.
fn run_seeds(cli: &Cli) -> Result<bool, SoakError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(SoakError::Runtime)?;
    let mut passed = 0;
    let mut failed = 0;
    for seed in cli.seed..cli.seed + cli.seeds {
        let options = cli.run_options(seed)?;
        let _ = std::fs::remove_dir_all(&options.folder);
        let report = LocalSet::new().block_on(&runtime, run(options))?;
        print_report(seed, &report);
        if has_passed(&report, cli.injected_violation) {
            passed += 1;
        } else {
            failed += 1;
        }
    }
    println!("soak: {passed} passed, {failed} failed");
    Ok(failed == 0)
}

/// Returns whether a run passed: no rule was broken or, in a run with an injected violation, the
/// rule of this violation was broken.
fn has_passed(report: &RunReport, injected: Option<InjectedViolation>) -> bool {
    match injected {
        None => report.violations.is_empty(),
        Some(injected) => report
            .violations
            .iter()
            .any(|violation| violation.rule == injected.rule()),
    }
}

fn print_report(seed: u64, report: &RunReport) {
    println!(
        "seed {seed}: served {}, rejected {}, failed {}, faults {}, violations {}",
        report.served,
        report.rejected,
        report.failed,
        report.faults,
        report.violations.len()
    );
    for violation in report.violations.iter().take(PRINTED_VIOLATIONS) {
        println!("    {violation}");
    }
}
