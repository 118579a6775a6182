//! The soak as a program: one run for each seed, one line a run, and what was broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use cranetack_soak::oracle::Rule;
use cranetack_soak::scenario::{run, Options, Plant};
use tokio::task::LocalSet;

/// Runs real routers through overlapping troubles and checks the rules of the protocol.
#[derive(Parser)]
#[command(name = "soak", version)]
struct Cli {
    /// The router's program.
    #[arg(long, default_value = "target/release/cranetack")]
    program: PathBuf,
    /// The library that steps the clock and fails system calls; `--plain` runs without it.
    #[arg(
        long,
        default_value = "target/release/libcranetack_syscall_fault_shim.so"
    )]
    shim: PathBuf,
    /// Leave clock and system calls alone.
    #[arg(long)]
    plain: bool,
    /// Which system calls fail.
    #[arg(long, default_value = "accept,connect,socket,wait,short,file")]
    faults: String,
    /// Where files and logs go.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// How long troubles begin for, in each run (s).
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Routers.
    #[arg(long, default_value_t = 10)]
    routers: usize,
    /// A fault that the stand-ins make on purpose: the run passes if the oracle notices it.
    #[arg(long)]
    plant: Option<Plant>,
}

fn main() -> ExitCode {
    match soak(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Whether all runs kept the rules, or broke the one that was planted.
fn soak(cli: &Cli) -> std::io::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (mut passed, mut broken) = (0, 0);
    for seed in cli.seed..cli.seed + cli.seeds {
        let options = Options {
            program: cli.program.canonicalize()?,
            shim: if cli.plain {
                None
            } else {
                Some(cli.shim.canonicalize()?)
            },
            faults: cli.faults.clone(),
            folder: cli.folder.join(seed.to_string()),
            seed,
            routers: cli.routers.clamp(1, 40),
            servers: [4, 5],
            span: Duration::from_secs(cli.seconds),
            plant: cli.plant,
        };
        let _ = std::fs::remove_dir_all(&options.folder);
        let report = LocalSet::new().block_on(&runtime, run(options))?;
        let [served, refused, failed] = report.answered;
        let count = report.violations.len();
        println!(
            "seed {seed}: served {served}, refused {refused}, failed {failed}, troubles {}, broken {count}",
            report.troubles
        );
        report
            .violations
            .iter()
            .take(12)
            .for_each(|violation| println!("    {violation}"));
        let rules: Vec<Rule> = report
            .violations
            .iter()
            .map(|violation| violation.rule)
            .collect();
        let right = cli
            .plant
            .map_or(rules.is_empty(), |plant| rules.contains(&plant.rule()));
        passed += usize::from(right);
        broken += usize::from(!right);
    }
    println!("soak: {passed} passed, {broken} failed");
    Ok(broken == 0)
}
