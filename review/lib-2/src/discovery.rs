//! A stand-in for discovery: the full list, and watches that are answered at once when the list
//! changes.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

/// One worker on the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u32,
    pub status: String,
}

struct Listed {
    entry: Entry,
    changed_at: u64,
}

#[derive(Default)]
struct List {
    index: u64,
    entries: Vec<Listed>,
}

/// The list, which the case changes. Clones share it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    /// How long each answer takes, in milliseconds, beside the wait that the call asks for.
    delay_ms: Arc<AtomicU64>,
    record: Record,
}

fn entry_json(entry: &Entry) -> String {
    format!(
        r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{}","weight":1.0,"since_ms":0}}"#,
        entry.name, entry.address, entry.zone, entry.kind, entry.group, entry.status
    )
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let listed = |entry| Listed {
            entry,
            changed_at: 41,
        };
        let list = List {
            index: 41,
            entries: entries.into_iter().map(listed).collect(),
        };
        let discovery = Discovery {
            address: listener.local_addr()?,
            list: Arc::new((Mutex::new(list), Condvar::new())),
            delay_ms: Arc::default(),
            record: record.clone(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// The complete list in discovery's form, as a router may have it from before.
    pub fn snapshot(&self) -> String {
        let list = self.list.0.lock().unwrap();
        let entries: Vec<String> = list.entries.iter().map(|l| entry_json(&l.entry)).collect();
        format!(
            r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#,
            list.index,
            entries.join(",")
        )
    }

    pub fn set_status(&self, name: &str, status: &str) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        list.index += 1;
        let index = list.index;
        for listed in &mut list.entries {
            if listed.entry.name == name {
                listed.entry.status = status.to_owned();
                listed.changed_at = index;
            }
        }
        self.record
            .line(format!("discovery: {name} is {status} (index {index})"));
        changed.notify_all();
    }

    /// Makes each answer take this long.
    pub fn answer_after(&self, delay: Duration) {
        let ms = delay.as_millis() as u64;
        self.delay_ms.store(ms, Ordering::SeqCst);
        self.record
            .line(format!("discovery: each answer takes {ms} ms"));
    }

    /// Waits for a change after version `from`, and returns the changes.
    fn changes(&self, from: u64, hold: Duration) -> String {
        let (list, changed) = &*self.list;
        let until = Instant::now() + hold;
        let mut list = list.lock().unwrap();
        while list.index <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            list = changed.wait_timeout(list, left).unwrap().0;
        }
        let news = list.entries.iter().filter(|l| l.changed_at > from);
        let news: Vec<String> = news.map(|l| entry_json(&l.entry)).collect();
        format!(
            r#"{{"index":{},"snapshot":false,"endpoints":[{}]}}"#,
            list.index,
            news.join(",")
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head(None) {
            let target = head.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let number = |name: &str| -> Option<u64> {
                let query = target.split_once('?')?.1;
                let pair = query.split('&').find_map(|p| p.strip_prefix(name))?;
                pair.parse().ok()
            };
            let body = match number("from=") {
                None => self.snapshot(),
                Some(from) => {
                    let hold = number("hold_ms=").unwrap_or(0).min(60_000);
                    self.changes(from, Duration::from_millis(hold))
                }
            };
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(response.as_bytes()).is_err() {
                return;
            }
            if !body.contains("[]") {
                self.record.line(format!("discovery told: {body}"));
            }
        }
    }
}
