//! A client sends much at once and goes. Nothing may be sent to a worker for it afterwards.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::chat;
use crate::discovery::Discovery;
use crate::http::Connection;
use crate::router::{Options, Router};
use crate::worker::Fleet;
use crate::{Context, Verdict};

/// Clients, one after another.
const CLIENTS: usize = 5;
/// Requests that each of them sends at once, behind the first.
const FURTHER_REQUESTS: usize = 290;
/// The size of each prompt: 4,000 tokens of four characters.
const PROMPT_BYTES: usize = 16_000;
/// When a client closes its connection, from when it began to send.
const LEAVES_AFTER: Duration = Duration::from_millis(500);
/// How long after the close an attempt may begin: 0.1 s, and 50 ms on sockets.
const GRACE: Duration = Duration::from_millis(150);

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let fleet = Fleet::start(2, 2, record)?;
    let discovery = Discovery::start(fleet.entries.clone(), record)?;
    let options = Options::new(discovery.address);
    let router = Router::start("n0", &context.root, &context.folder, &options, record)?;
    let mut closed = Vec::new();
    for client in 0..CLIENTS {
        // The prompt takes 1.5 s to read: the client leaves while it is being read.
        let work = r#""read_ms":1500,"first_ms":50,"events":3,"gap_ms":10"#;
        let first = format!("c{client}-first");
        let mut bytes = chat(&first, "parts-order", 15_000, work, PROMPT_BYTES);
        if context.trouble {
            for number in 0..FURTHER_REQUESTS {
                let id = format!("c{client}-r{number:03}");
                bytes.extend(chat(&id, "parts-lookup", 6_000, work, PROMPT_BYTES));
            }
        }
        let began = Instant::now();
        let mut connection = Connection::open(router.address)?;
        record.line(format!(
            "client {client}: sends {} bytes at once",
            bytes.len()
        ));
        connection.write(&bytes)?;
        record.line(format!("client {client}: all is written"));
        thread::sleep(LEAVES_AFTER.saturating_sub(began.elapsed()));
        drop(connection);
        closed.push((client, Instant::now()));
        record.line(format!("client {client}: closes its connection"));
        thread::sleep(Duration::from_millis(2_500));
    }
    let mut late = 0;
    for attempt in fleet.attempts() {
        let of_client = |client: &usize| attempt.id.starts_with(&format!("c{client}-"));
        let Some((client, at)) = closed.iter().find(|(client, _)| of_client(client)) else {
            continue;
        };
        let after = attempt.begun.saturating_duration_since(*at);
        if after > GRACE {
            late += 1;
            record.line(format!(
                "broken: {} got {} {} ms after client {client} had closed",
                attempt.worker,
                attempt.id,
                after.as_millis()
            ));
        }
    }
    record.say(format!(
        "{late} attempts began more than 0.15 s after their client had closed its connection"
    ));
    Ok(late == 0)
}
