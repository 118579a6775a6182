//! A client has sent several requests at once when the router is told to end.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::chat;
use crate::discovery::Discovery;
use crate::http::{read_response, Connection};
use crate::router::{Options, Router};
use crate::worker::Fleet;
use crate::{Context, Verdict};

const REQUESTS: usize = 6;
const DEADLINE_MS: u64 = 6_000;
const LATEST_ANSWER: Duration = Duration::from_millis(550);

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let fleet = Fleet::start(2, 2, record)?;
    let discovery = Discovery::start(fleet.entries.clone(), record)?;
    let options = Options::new(discovery.address);
    let mut router = Router::start("n0", &context.root, &context.folder, &options, record)?;
    thread::sleep(Duration::from_millis(500));
    let address = router.address;
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || -> std::io::Result<usize> {
                let work = r#""read_ms":200,"first_ms":100,"events":3,"gap_ms":20"#;
                let ids: Vec<String> = (0..REQUESTS).map(|n| format!("c{client}-r{n}")).collect();
                let request = |id: &String| chat(id, "parts-lookup", DEADLINE_MS, work, 4_000);
                let all: Vec<u8> = ids.iter().flat_map(request).collect();
                let mut connection = Connection::open(address)?;
                connection.write(&all)?;
                record.line(format!(
                    "client {client}: sends {REQUESTS} requests at once"
                ));
                let until = Instant::now() + Duration::from_millis(DEADLINE_MS) + LATEST_ANSWER;
                let mut lost = 0;
                for id in &ids {
                    match read_response(&mut connection, until) {
                        Ok(answer) => {
                            let close = answer.head.header("connection").unwrap_or("-").to_owned();
                            record.line(format!(
                                "client {client}: {id} got {} (connection: {close})",
                                answer.status
                            ));
                        }
                        Err(end) => {
                            record.line(format!("client {client}: {id} got no answer ({end:?})"));
                            lost += 1;
                        }
                    }
                }
                Ok(lost)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    if context.trouble {
        router.signal("TERM");
    }
    let mut lost = 0;
    for client in clients {
        let answer = client.join();
        lost += answer.map_err(|_| std::io::Error::other("a client panicked"))??;
    }
    if context.trouble {
        let until = Instant::now() + Duration::from_secs(6);
        while router.ended().is_none() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        record.line(format!("router ended: {:?}", router.ended()));
    }
    record.say(format!("{lost} of {} requests got no answer", 4 * REQUESTS));
    Ok(lost == 0)
}
