//! `make measure-front`: measures the inference API of the current version, with fake model
//! servers. Chat latency beside reranks, batches while servers fail, and chat throughput are also
//! measured with an earlier version, the baseline. Each router runs as a separate process; the fake
//! servers and the clients run in this process. All figures are measured in this run.

mod environment;
mod latency;
mod report;
mod requests;
mod router_process;
mod scenarios;

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::Parser;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::task::LocalSet;

use crate::environment::TestEnvironment;
use crate::report::Report;
use crate::scenarios::{
    cancellation, chat_latency, chat_throughput, duplicate_execution, failing_servers,
    large_bodies, rerank_interference,
};

/// Folder of the current version.
const CURRENT_VERSION: &str = ".";

/// Measures the inference API beside an earlier version.
#[derive(Parser)]
struct Arguments {
    /// Folder of an earlier version that has been built.
    #[arg(long)]
    baseline: PathBuf,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

/// Prints the scenario that is being measured, with the time since the start.
struct ProgressLog(Instant);

impl ProgressLog {
    fn report(&self, scenario: &str) {
        eprintln!("{:4.1} s  {scenario}", self.0.elapsed().as_secs_f64());
    }
}

async fn start_current(name: &str) -> std::io::Result<TestEnvironment> {
    TestEnvironment::start(name, Path::new(CURRENT_VERSION), |file| file).await
}

async fn measure(arguments: &Arguments) -> std::io::Result<Report> {
    let mut random = Pcg64::seed_from_u64(arguments.seed);
    let progress = ProgressLog(Instant::now());
    // The baseline is called "before", and the current version "after".
    let baseline = TestEnvironment::start("before", &arguments.baseline, |file| file).await?;
    let current = start_current("after").await?;
    progress.report("chat latency beside reranks");
    let interference_before = rerank_interference::measure(&baseline).await;
    let interference = rerank_interference::measure(&current).await;
    progress.report("batches while servers fail");
    let served_share_before = failing_servers::measure(&baseline).await;
    let served_share = failing_servers::measure(&current).await;
    let duplicates = duplicate_execution::measure().await?;
    progress.report("cancellation");
    let cancellation = cancellation::measure(&current, &mut random).await;
    progress.report("chat latency without the router");
    current.set_service_time(Duration::ZERO, Duration::ZERO);
    let direct = chat_latency::measure(current.servers[0].address).await;
    progress.report("chat latency through the router");
    let routed = chat_latency::measure(current.router.inference_address).await;
    progress.report("chat throughput per core");
    let throughput_before = chat_throughput::measure(&baseline).await;
    let throughput = chat_throughput::measure(&current).await;
    progress.report("large bodies");
    // The large bodies need a new router: the previous one has learnt service times according to
    // which these requests could not meet their deadline.
    drop((baseline, current));
    let environment = start_current("large").await?;
    let large_bodies = large_bodies::measure(&environment).await;
    Ok(Report {
        interference_before,
        interference,
        cancellation,
        served_share_before,
        served_share,
        duplicates,
        large_bodies,
        direct,
        routed,
        throughput_before,
        throughput,
    })
}

fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let report = LocalSet::new().block_on(&runtime, measure(&arguments))?;
    println!("{report}");
    Ok(())
}
