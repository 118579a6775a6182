//! New settings at SIGHUP make a class unsafe: from then on nothing of it may run twice.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::chat;
use crate::discovery::Discovery;
use crate::http::{read_response, Connection};
use crate::router::{classes, configuration, Options, Router};
use crate::worker::Fleet;
use crate::{Context, Verdict};

/// From when on the new settings apply, after SIGHUP: 1.2 s by the page.
const APPLY_AFTER: Duration = Duration::from_millis(2_000);
const REQUESTS: usize = 6;

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let fleet = Fleet::start(2, 2, record)?;
    let discovery = Discovery::start(fleet.entries.clone(), record)?;
    let mut options = Options::new(discovery.address);
    // Without the disruption the class is unsafe from the start.
    options.classes = classes(if context.trouble { "safe" } else { "unsafe" });
    let router = Router::start("n0", &context.root, &context.folder, &options, record)?;
    thread::sleep(Duration::from_millis(1_500));
    if context.trouble {
        options.classes = classes("unsafe");
        let new = router.config.with_extension("new");
        fs::write(&new, configuration("n0", router.address, &options))?;
        fs::rename(&new, &router.config)?;
        record.line("new settings: parts-order is unsafe");
        router.signal("HUP");
    }
    thread::sleep(APPLY_AFTER);
    let mut twice = 0;
    for number in 0..REQUESTS {
        let id = format!("order-{number}");
        fleet.reset_at_writer(&id, 1);
        let work = r#""read_ms":30,"first_ms":20,"events":3,"gap_ms":10"#;
        let mut connection = Connection::open(router.address)?;
        connection.write(&chat(&id, "parts-order", 10_000, work, 4_000))?;
        record.line(format!("client: sends {id}"));
        let answer = read_response(&mut connection, Instant::now() + Duration::from_secs(11));
        match answer {
            Ok(answer) => record.line(format!("client: {id} got {}", answer.status)),
            Err(end) => record.line(format!("client: {id} got no answer ({end:?})")),
        }
        let runs = fleet.runs(&id);
        if runs > 1 {
            twice += 1;
            record.line(format!("broken: {id} ran {runs} times"));
        }
        thread::sleep(Duration::from_millis(1_200));
    }
    record.say(format!("{twice} of {REQUESTS} orders ran more than once"));
    Ok(twice == 0)
}
