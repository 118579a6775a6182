//! A toy service on loopback with which a newcomer can try the router: discovery on 127.0.0.1:8500 and two
//! workers that read prompts and answer them. It serves until it is stopped.

use std::time::Duration;

use cranetack_testkit::{line, Behaviour, Discovery, Worker};

fn main() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut lines = Vec::new();
        for _ in 0..2 {
            let worker = Worker::start(4, Behaviour::Answer).await;
            worker.takes.set(Duration::from_millis(20));
            println!("a worker on {}", worker.address);
            lines.push(line(&worker, "mixed", "up"));
        }
        let discovery = Discovery::start_at("127.0.0.1:8500", lines).await;
        println!(
            "discovery on {}; start the router with `make run`",
            discovery.address
        );
        std::future::pending().await
    })
}
