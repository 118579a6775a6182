//! Traffic rises to twice the usual while answers are long. Each request needs an answer.

use std::collections::HashMap;
use std::fs;
use std::io::Error;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::chat;
use crate::discovery::Discovery;
use crate::http::Connection;
use crate::record::Record;
use crate::router::{free_address, Options, Router};
use crate::worker::{Attempt, Fleet};
use crate::{Context, Verdict};

/// The descriptors of the router. Clients may hold a third of them for requests: 85.
const SOCKETS: u32 = 256;
const CLIENTS_AT_MOST: usize = SOCKETS as usize / 3;
/// Requests a second on a usual day.
const USUAL_RATE: f64 = 3.5;
/// The factor of the burst: from 1.4 to 2.5 by the operators' record.
const BURST: f64 = 2.0;
const USUAL_FOR: Duration = Duration::from_secs(12);
/// The length of the burst: from 2.6 to 9.7 s by the operators' record.
const BURST_FOR: Duration = Duration::from_millis(9_000);
/// A client of `parts-lookup` waits for half of six seconds or more.
const DEADLINE_MS: u64 = 3_000;
/// How long after its deadline a final answer still counts.
const LATEST_ANSWER: Duration = Duration::from_millis(550);
/// By how much an attempt may state more than the client has left: 0.15 s, and 50 ms on sockets.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);

/// The connections that clients hold now, and the most that they held at once.
#[derive(Default)]
struct Held {
    now: AtomicUsize,
    most: AtomicUsize,
}

/// A connection that counts as held by a client.
struct HeldConnection(Arc<Held>);

impl HeldConnection {
    fn new(held: &Arc<Held>) -> HeldConnection {
        let now = held.now.fetch_add(1, Ordering::SeqCst) + 1;
        held.most.fetch_max(now, Ordering::SeqCst);
        HeldConnection(held.clone())
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        self.0.now.fetch_sub(1, Ordering::SeqCst);
    }
}

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let fleet = Fleet::start(2, 3, record)?;
    let discovery = Discovery::start(fleet.entries.clone(), record)?;
    let inference = context.folder.join("inference.toml");
    fs::write(&inference, inference_file(&context.root, free_address()?)?)?;
    let mut options = Options::new(discovery.address);
    options.sockets = SOCKETS;
    let variable = (
        "CRANETACK_INFERENCE".to_owned(),
        inference.display().to_string(),
    );
    options.environment.push(variable);
    let router = Router::start("n0", &context.root, &context.folder, &options, record)?;
    let start = Instant::now();
    let held = Arc::new(Held::default());
    let mut clients = Vec::new();
    let mut at = 0.0;
    let total = (USUAL_FOR + BURST_FOR).as_secs_f64();
    while at < total {
        let is_burst = context.trouble && at >= USUAL_FOR.as_secs_f64();
        let rate = if is_burst {
            USUAL_RATE * BURST
        } else {
            USUAL_RATE
        };
        let send_at = start + Duration::from_secs_f64(at);
        let id = format!("r{:03}", clients.len());
        let (address, record, held) = (router.address, record.clone(), held.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(send_at.saturating_duration_since(Instant::now()));
            let _held = HeldConnection::new(&held);
            ask(address, &id, &record)
        }));
        at += 1.0 / rate;
    }
    let sent = clients.len();
    let mut lost = 0;
    let mut sent_at = HashMap::new();
    for client in clients {
        let asked = client.join();
        let asked = asked.map_err(|_| Error::other("a client panicked"))??;
        lost += usize::from(!asked.is_answered_in_time);
        sent_at.insert(asked.id, asked.sent);
    }
    let most = held.most.load(Ordering::SeqCst);
    record.line(format!("clients held at most {most} connections at once"));
    if most > CLIENTS_AT_MOST {
        return Err(Error::other(
            "clients held more than a third of the descriptors",
        ));
    }
    let is_overstated = |attempt: &Attempt| {
        let left = sent_at.get(&attempt.id).map(|sent| {
            (*sent + Duration::from_millis(DEADLINE_MS)).saturating_duration_since(attempt.begun)
        });
        let stated = attempt.deadline_ms.map(Duration::from_millis);
        left.zip(stated)
            .is_some_and(|(left, stated)| stated > left + DEADLINE_SLACK)
    };
    let overstated = fleet.attempts().iter().filter(|a| is_overstated(a)).count();
    record.say(format!(
        "{overstated} attempts stated over 0.2 s more than their client had left"
    ));
    record.say(format!(
        "{lost} of {sent} requests got no answer within their deadline and 0.55 s"
    ));
    Ok(lost == 0)
}

/// The operator's file of the inference API as the repository has it, with the classes of this
/// deployment and a free address.
pub fn inference_file(root: &std::path::Path, listen: SocketAddr) -> std::io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/inference.toml"))?;
    let text = text
        .replace("127.0.0.1:8090", &listen.to_string())
        .replace("class = \"chat\"", "class = \"parts-lookup\"")
        .replace("class = \"embeddings\"", "class = \"parts-lookup\"")
        .replace("class = \"rerank\"", "class = \"parts-lookup\"");
    // The list of models names classes of another site, and may be left out.
    Ok(text
        .split("# Without any model")
        .next()
        .unwrap_or("")
        .to_owned())
}

/// What became of a request.
struct Asked {
    id: String,
    sent: Instant,
    is_answered_in_time: bool,
}

/// Sends one request on a connection of its own and reads the answer to its end.
fn ask(address: SocketAddr, id: &str, record: &Record) -> std::io::Result<Asked> {
    let mut connection = Connection::open(address)?;
    // 200 tokens, one every 60 ms, in events of ten tokens.
    let work = r#""read_ms":100,"first_ms":40,"events":20,"gap_ms":600"#;
    connection.write(&chat(id, "parts-lookup", DEADLINE_MS, work, 8_000))?;
    let sent = Instant::now();
    record.line(format!("client: sends {id}"));
    let latest = Duration::from_millis(DEADLINE_MS) + LATEST_ANSWER;
    let head = connection.read_head(Some(sent + latest));
    let waited = sent.elapsed();
    match &head {
        Ok(head) => {
            let status = head.status();
            record.line(format!(
                "client: {id} got {status} after {} ms",
                waited.as_millis()
            ));
            let until = Instant::now() + Duration::from_secs(30);
            let read = connection.read_body(head, Some(until), |_| {});
            record.line(format!("client: {id} ended ({read:?})"));
        }
        Err(end) => record.line(format!(
            "client: {id} got no answer in {} ms ({end:?}) and leaves",
            waited.as_millis()
        )),
    }
    Ok(Asked {
        id: id.to_owned(),
        sent,
        is_answered_in_time: head.is_ok() && waited <= latest,
    })
}
