//! A client sends many requests at once on one connection.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::chat;
use crate::discovery::Discovery;
use crate::http::{read_response, Connection, End};
use crate::router::{Options, Router};
use crate::worker::Fleet;
use crate::{Context, Verdict};

/// How many requests the client sends.
const REQUESTS: usize = 20;
/// The size of each prompt: 6,000 tokens of four characters.
const PROMPT_BYTES: usize = 24_000;
/// The deadline that each request states.
const DEADLINE_MS: u64 = 6_000;
/// How long after its deadline a final answer still counts.
const LATEST_ANSWER: Duration = Duration::from_millis(550);

/// How long after the end of a connection a reset may still come.
const RESET_MAY_FOLLOW: Duration = Duration::from_millis(400);

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let fleet = Fleet::start(2, 2, record)?;
    let discovery = Discovery::start(fleet.entries.clone(), record)?;
    let options = Options::new(discovery.address);
    let router = Router::start("n0", &context.root, &context.folder, &options, record)?;
    let mut lost = 0;
    for client in 0..3 {
        lost += send_all(context, &router, client)?;
    }
    record.say(format!("{lost} of {} requests got no answer", 3 * REQUESTS));
    Ok(lost == 0)
}

/// Sends all requests of a client, at once or one after another. Returns how many got no answer.
fn send_all(context: &Context, router: &Router, client: usize) -> std::io::Result<usize> {
    let record = &context.record;
    let mut connection = Connection::open(router.address)?;
    let ids: Vec<String> = (0..REQUESTS)
        .map(|n| format!("c{client}-r{n:02}"))
        .collect();
    let work = r#""read_ms":30,"first_ms":20,"events":3,"gap_ms":10"#;
    let request = |id: &str| chat(id, "parts-lookup", DEADLINE_MS, work, PROMPT_BYTES);
    let mut lost = 0;
    if context.trouble {
        let all: Vec<u8> = ids.iter().flat_map(|id| request(id)).collect();
        let mut writer = connection.stream.try_clone()?;
        let length = all.len();
        let writing = thread::spawn(move || std::io::Write::write_all(&mut writer, &all));
        record.line(format!(
            "client {client}: sends {REQUESTS} requests at once, {length} bytes"
        ));
        let until = Instant::now() + Duration::from_millis(DEADLINE_MS) + LATEST_ANSWER;
        let mut ended = None;
        let mut unanswered = Vec::new();
        for id in &ids {
            let answer = match ended {
                None => read_response(&mut connection, until),
                Some(end) => Err(end),
            };
            match answer {
                Ok(answer) => {
                    let close = answer.head.header("connection").unwrap_or("-").to_owned();
                    record.line(format!(
                        "client {client}: {id} got {} ({} bytes, broken: {:?}, connection: {close})",
                        answer.status,
                        answer.body.len(),
                        answer.broken
                    ));
                }
                Err(end) => {
                    ended = Some(end);
                    unanswered.push(id);
                }
            }
        }
        let written = writing
            .join()
            .map_err(|_| std::io::Error::other("writing panicked"))?;
        record.line(format!(
            "client {client}: its requests were written: {written:?}"
        ));
        // A close over unread bytes resets the connection. Requests that the router has not read
        // when it closes are excused: their client sends them once more elsewhere.
        thread::sleep(RESET_MAY_FOLLOW);
        let reset = connection.stream.take_error()?;
        let was_read = written.is_ok() && reset.is_none() && ended != Some(End::Reset);
        for id in unanswered {
            record.line(format!(
                "client {client}: {id} got no answer ({ended:?}, all was read: {was_read})"
            ));
            lost += usize::from(was_read);
        }
        return Ok(lost);
    }
    for id in &ids {
        let until = Instant::now() + Duration::from_millis(DEADLINE_MS) + LATEST_ANSWER;
        record.line(format!("client {client}: sends {id}"));
        let mut answer = Err(End::Closed);
        for _ in 0..2 {
            if connection.write(&request(id)).is_ok() {
                answer = read_response(&mut connection, until);
            }
            match &answer {
                Ok(answer) if answer.head.header("connection") != Some("close") => break,
                // The client sends its next request, or this one once more, on a new connection.
                _ => connection = Connection::open(router.address)?,
            }
            if answer.is_ok() {
                break;
            }
        }
        let status = answer.map(|answer| answer.status);
        record.line(format!("client {client}: {id} got {status:?}"));
        lost += usize::from(status.is_err());
    }
    Ok(lost)
}
