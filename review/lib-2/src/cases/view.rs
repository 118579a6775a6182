//! Workers begin to drain, and proxies reconnect to the control service. A proxy must receive a
//! current view, never one that still lists a worker drained more than 250 ms ago.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use crate::discovery::Discovery;
use crate::router::{free_address, Options, Router};
use crate::worker::Fleet;
use crate::xds::{Proxy, HEALTHY};
use crate::{Context, Verdict};

/// How long after the router was told of the drain a proxy reconnects: later than 250 ms, and the
/// 50 ms by which limits are longer on sockets.
const RECONNECTS_AFTER: Duration = Duration::from_millis(320);

/// The time from one drain to the next. Seven drains take 6.4 s.
const INTERVAL: Duration = Duration::from_millis(1_071);

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let fleet = Fleet::start(6, 6, record)?;
    let discovery = Discovery::start(fleet.entries.clone(), record)?;
    let control = free_address()?;
    let text = fs::read_to_string(context.root.join("deploy/control.toml"))?;
    let file = context.folder.join("control.toml");
    fs::write(&file, text.replace("127.0.0.1:18000", &control.to_string()))?;
    let mut options = Options::new(discovery.address);
    let variable = ("CRANETACK_CONTROL".to_owned(), file.display().to_string());
    options.environment.push(variable);
    let _router = Router::start("n0", &context.root, &context.folder, &options, record)?;
    thread::sleep(Duration::from_secs(2));
    let clusters = ["prefill", "decode"];
    let mut stale = 0;
    // Seven of twelve workers, which are to be replaced, begin to drain within 7 s.
    let first = Instant::now();
    for (number, worker) in [0, 6, 1, 7, 2, 8, 9].into_iter().enumerate() {
        let begins = first + INTERVAL * number as u32;
        thread::sleep(begins.saturating_duration_since(Instant::now()));
        let entry = &fleet.entries[worker];
        let told_by = Instant::now();
        if context.trouble {
            discovery.set_status(&entry.name, "draining");
        }
        for reconnect in 0..4 {
            let at = told_by + RECONNECTS_AFTER + Duration::from_millis(40 * reconnect);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let mut proxy = Proxy::subscribe(control, &clusters)?;
            let view = proxy.next_view(Instant::now() + Duration::from_secs(3))?;
            let view = view.ok_or_else(|| std::io::Error::other("a proxy got no view"))?;
            let after = told_by.elapsed().as_millis();
            let address = entry.address.to_string();
            let listed = view.iter().find(|listed| listed.address == address);
            let health = listed.map_or("not listed".to_owned(), |l| format!("health {}", l.health));
            record.line(format!(
                "proxy: reconnects and gets {} endpoints {after} ms after the change; {} ({address}): {health}",
                view.len(),
                entry.name
            ));
            let is_healthy = listed.is_some_and(|listed| listed.health == HEALTHY);
            if context.trouble && is_healthy {
                stale += 1;
                record.line(format!("broken: {} is listed as healthy", entry.name));
            } else if !context.trouble && !is_healthy {
                return Err(std::io::Error::other(
                    "a worker that is up is not listed as healthy",
                ));
            }
        }
    }
    record.say(format!(
        "{stale} of 28 views listed a worker as healthy that had drained over 0.3 s before"
    ));
    Ok(stale == 0)
}
