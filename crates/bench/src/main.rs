//! `make measure-front`: the inference API beside an earlier version of it, with fake servers. The
//! router is a process of its own; fake servers and clients share this one. All figures are
//! measured in this run.

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

/// The folder of the version under measurement.
const PRESENT_VERSION: &str = ".";

/// Measures the inference API.
#[derive(Parser)]
struct Arguments {
    /// The folder of an earlier version, built.
    #[arg(long)]
    baseline: PathBuf,
    /// For the random numbers.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

/// Prints what is being measured, with the time since the start.
struct Progress(Instant);

impl Progress {
    fn report(&self, scenario: &str) {
        eprintln!("{:4.1} s  {scenario}", self.0.elapsed().as_secs_f64());
    }
}

async fn start_present(name: &str) -> std::io::Result<TestEnvironment> {
    TestEnvironment::start(name, Path::new(PRESENT_VERSION), |file| file).await
}

async fn measure(arguments: &Arguments) -> std::io::Result<Report> {
    let mut random = Pcg64::seed_from_u64(arguments.seed);
    let progress = Progress(Instant::now());
    let baseline = TestEnvironment::start("before", &arguments.baseline, |file| file).await?;
    let present = start_present("after").await?;
    progress.report("chat beside reranks");
    let interference_before = rerank_interference::measure(&baseline).await;
    let interference = rerank_interference::measure(&present).await;
    progress.report("failing servers");
    let served_share_before = failing_servers::measure(&baseline).await;
    let served_share = failing_servers::measure(&present).await;
    let duplicates = duplicate_execution::measure().await?;
    progress.report("cancellation");
    let cancellation = cancellation::measure(&present, &mut random).await;
    progress.report("chat latency without the router");
    present.set_service_time(Duration::ZERO, Duration::ZERO);
    let direct = chat_latency::measure(present.servers[0].address).await;
    progress.report("chat latency through the router");
    let routed = chat_latency::measure(present.router.inference_address).await;
    progress.report("throughput by core");
    let throughput_before = chat_throughput::measure(&baseline).await;
    let throughput = chat_throughput::measure(&present).await;
    progress.report("large bodies");
    // A router of its own: the other one has learnt service times by which these requests could
    // not end in time.
    drop((baseline, present));
    let large = start_present("large").await?;
    let large_bodies = large_bodies::measure(&large).await;
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
