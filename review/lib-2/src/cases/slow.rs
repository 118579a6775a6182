//! Discovery is slow, and a worker begins to drain. Later than 6 s after that, and the grace, it
//! gets nothing new.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::chat;
use crate::discovery::Discovery;
use crate::http::{read_response, Connection};
use crate::router::{Options, Router};
use crate::worker::Fleet;
use crate::{Context, Verdict};

/// How long discovery takes for each answer.
const DELAY: Duration = Duration::from_millis(3_000);
/// From when on the change counts as told, at the latest.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The grace of 250 ms, and 50 ms on sockets.
const GRACE: Duration = Duration::from_millis(300);
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let fleet = Fleet::start(4, 4, record)?;
    let discovery = Discovery::start(fleet.entries.clone(), record)?;
    let options = Options::new(discovery.address);
    let router = Router::start("n0", &context.root, &context.folder, &options, record)?;
    thread::sleep(Duration::from_secs(1));
    if context.trouble {
        discovery.answer_after(DELAY);
    }
    let start = Instant::now();
    let mut drained = None;
    let mut clients = Vec::new();
    let mut number = 0;
    while start.elapsed() < Duration::from_secs(30) {
        if drained.is_none() && start.elapsed() > Duration::from_secs(8) {
            discovery.set_status("s-read0", "draining");
            discovery.set_status("s-write0", "draining");
            drained = Some(Instant::now());
        }
        let (id, address) = (format!("r{number:03}"), router.address);
        number += 1;
        clients.push(thread::spawn(move || {
            let work = r#""read_ms":60,"first_ms":30,"events":3,"gap_ms":20"#;
            if let Ok(mut connection) = Connection::open(address) {
                if connection
                    .write(&chat(&id, "parts-lookup", 4_000, work, 4_000))
                    .is_ok()
                {
                    let _ = read_response(&mut connection, Instant::now() + Duration::from_secs(6));
                }
            }
        }));
        thread::sleep(REQUEST_INTERVAL);
    }
    for client in clients {
        let _ = client.join();
    }
    let drained = drained.ok_or_else(|| std::io::Error::other("nothing was drained"))?;
    let mut late = 0;
    for attempt in fleet.attempts() {
        let after = attempt.begun.saturating_duration_since(drained);
        if attempt.worker.ends_with('0') && after > TOLD_AFTER + GRACE {
            late += 1;
            record.line_at(
                attempt.begun,
                format!(
                    "broken: {} got {} {} ms after it began to drain",
                    attempt.worker,
                    attempt.id,
                    after.as_millis()
                ),
            );
        }
    }
    record.say(format!(
        "{late} attempts began at a drained worker over 6.3 s after its drain"
    ));
    Ok(late == 0)
}
