//! Stand-ins for workers: readers and writers that follow the protocol page. What a request takes
//! stands in its body, as `"read_ms"`, `"first_ms"`, `"events"` and `"gap_ms"`.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::discovery::Entry;
use crate::http::{Connection, Head};
use crate::record::Record;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Reader,
    Writer,
}

/// An attempt that a worker received whole.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub worker: String,
    /// When its first byte arrived.
    pub begun: Instant,
    /// The deadline that it stated, in milliseconds.
    pub deadline_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    /// Read states that wait, by request.
    held: HashSet<String>,
    /// Places that are held, by request.
    places: HashSet<String>,
    /// Requests with a read out.
    reading: HashMap<String, usize>,
    /// Faults to play: requests whose connection is reset at a writer after they began, and how
    /// many times that is still to happen.
    resets: HashMap<String, u32>,
    attempts: Vec<Attempt>,
    /// The requests that ran at a writer, once for each run.
    runs: Vec<String>,
}

/// All workers of a case. Clones share their state.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    record: Record,
    pub entries: Vec<Entry>,
}

/// The value of a numeric field in a request's body.
fn field(body: &str, name: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl Fleet {
    /// Starts readers and writers in one cell of one zone.
    pub fn start(readers: usize, writers: usize, record: &Record) -> std::io::Result<Fleet> {
        let mut fleet = Fleet {
            state: Arc::default(),
            record: record.clone(),
            entries: Vec::new(),
        };
        for number in 0..readers + writers {
            let role = if number < readers {
                Role::Reader
            } else {
                Role::Writer
            };
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let name = match role {
                Role::Reader => format!("s-read{number}"),
                Role::Writer => format!("s-write{}", number - readers),
            };
            let address: SocketAddr = listener.local_addr()?;
            fleet.entries.push(Entry {
                name: name.clone(),
                address,
                zone: "erie".to_owned(),
                kind: match role {
                    Role::Reader => "prefill".to_owned(),
                    Role::Writer => "decode".to_owned(),
                },
                group: 1,
                status: "up".to_owned(),
            });
            let worker = fleet.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let worker = worker.clone();
                    let name = name.clone();
                    thread::spawn(move || worker.serve(stream, &name, role));
                }
            });
        }
        Ok(fleet)
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        self.state.lock().unwrap().attempts.clone()
    }

    /// Resets the connection of the request's next `times` answers with several choices, between
    /// two choices.
    pub fn reset_between_choices(&self, id: &str, times: u32) {
        self.reset_at_writer(&format!("{id}/choice"), times);
    }

    /// How often a request ran at a writer.
    pub fn runs(&self, id: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.runs.iter().filter(|run| *run == id).count()
    }

    /// Resets the connection of the request's next `times` attempts at writers, after they began.
    pub fn reset_at_writer(&self, id: &str, times: u32) {
        self.state
            .lock()
            .unwrap()
            .resets
            .insert(id.to_owned(), times);
    }

    fn serve(&self, stream: TcpStream, name: &str, role: Role) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.read_head(None) {
            let begun = connection.first_byte;
            let mut body = Vec::new();
            let read = connection.read_body(&head, None, |data| body.extend_from_slice(data));
            if read.is_err() {
                let id = head.header("x-request-id").unwrap_or("-");
                self.record
                    .line(format!("{name}: a request broke off before its end ({id})"));
                return;
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            if !self.answer(&mut connection, &head, &body, begun, name, role) {
                return;
            }
        }
    }

    /// Answers one request. Returns whether the connection can be used again.
    fn answer(
        &self,
        connection: &mut Connection,
        head: &Head,
        body: &str,
        begun: Instant,
        name: &str,
        role: Role,
    ) -> bool {
        let mut words = head.first_line.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        if let Some(id) = path.strip_prefix("/bootstrap/rooms/") {
            return self.answer_room(connection, method, id, name);
        }
        if path == "/metrics/load" || path == "/alive" {
            let report = "X-Load: TEXT latency_ms=40, x0=0.10, x1=0.5";
            return connection
                .write(simple("200 OK", report).as_bytes())
                .is_ok();
        }
        let Some(id) = head.header("x-request-id") else {
            return connection
                .write(simple("404 Not Found", "").as_bytes())
                .is_ok();
        };
        let deadline_ms = head.header("x-deadline-ms").and_then(|ms| ms.parse().ok());
        self.state.lock().unwrap().attempts.push(Attempt {
            id: id.to_owned(),
            worker: name.to_owned(),
            begun,
            deadline_ms,
        });
        let stated = deadline_ms.map_or("-".to_owned(), |ms| ms.to_string());
        self.record.line_at(
            begun,
            format!("{name}: attempt of {id} begins ({role:?}, deadline {stated} ms)"),
        );
        match role {
            Role::Reader => self.read_prompt(connection, id, body, name),
            Role::Writer => self.write_answer(connection, id, body, name),
        }
    }

    fn answer_room(&self, connection: &mut Connection, method: &str, id: &str, name: &str) -> bool {
        if method == "DELETE" {
            let mut state = self.state.lock().unwrap();
            state.held.remove(id);
            state.places.remove(id);
            drop(state);
            self.record.line(format!("{name}: release of {id}"));
            return connection.write(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok();
        }
        // A worker that does not know of the read answers only after 0.3 s.
        let until = Instant::now() + Duration::from_millis(300);
        let mut is_held = false;
        while !is_held && Instant::now() < until {
            {
                let mut state = self.state.lock().unwrap();
                if state.reading.contains_key(id) {
                    state.places.insert(id.to_owned());
                    is_held = true;
                }
            }
            if !is_held {
                thread::sleep(Duration::from_millis(2));
            }
        }
        if is_held {
            connection.write(simple("200 OK", "").as_bytes()).is_ok()
        } else {
            connection.write(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok()
        }
    }

    /// Waits while work is done for a request. Returns false if the router gave the attempt up.
    fn work(&self, connection: &Connection, id: &str, name: &str, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            if connection.is_closed_by_peer() {
                self.record.line(format!("{name}: {id} was given up"));
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(5)));
        }
        true
    }

    fn read_prompt(&self, connection: &mut Connection, id: &str, body: &str, name: &str) -> bool {
        *self
            .state
            .lock()
            .unwrap()
            .reading
            .entry(id.to_owned())
            .or_default() += 1;
        let is_done = self.work(connection, id, name, field(body, "read_ms").unwrap_or(20));
        {
            let mut state = self.state.lock().unwrap();
            state.reading.remove(id);
            if is_done {
                state.held.insert(id.to_owned());
            }
        }
        if !is_done {
            return false;
        }
        self.record
            .line(format!("{name}: prompt of {id} is read (202)"));
        let answer = simple("202 Accepted", r#"{"cached_tokens":0}"#);
        connection.write(answer.as_bytes()).is_ok()
    }

    fn write_answer(&self, connection: &mut Connection, id: &str, body: &str, name: &str) -> bool {
        {
            let mut state = self.state.lock().unwrap();
            state.places.remove(id);
            if !state.held.remove(id) {
                drop(state);
                self.record
                    .line(format!("{name}: no read state of {id} (410)"));
                let answer = "HTTP/1.1 410 Gone\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
                return connection.write(answer.as_bytes()).is_ok();
            }
            state.runs.push(id.to_owned());
            if let Some(times) = state.resets.get_mut(id).filter(|times| **times > 0) {
                *times -= 1;
                drop(state);
                self.record
                    .line(format!("{name}: {id} runs; its connection breaks"));
                thread::sleep(Duration::from_millis(20));
                return false;
            }
        }
        self.record.line(format!("{name}: {id} runs"));
        if !self.work(connection, id, name, field(body, "first_ms").unwrap_or(20)) {
            return false;
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
            Transfer-Encoding: chunked\r\n\r\n";
        if connection.write(head.as_bytes()).is_err() {
            return false;
        }
        if field(body, "n").unwrap_or(1) > 1 {
            return self.write_choices(connection, id, body, name);
        }
        let events = field(body, "events").unwrap_or(3);
        let gap = field(body, "gap_ms").unwrap_or(10);
        for number in 0..events {
            let finish = if number + 1 == events {
                "\"stop\""
            } else {
                "null"
            };
            let event = format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id}-{number} \"}},\"finish_reason\":{finish}}}]}}\n\n"
            );
            if connection.write(chunk(&event).as_bytes()).is_err() {
                self.record
                    .line(format!("{name}: the stream of {id} was closed"));
                return false;
            }
            if !self.work(connection, id, name, gap) {
                return false;
            }
        }
        let usage = format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":100,\"completion_tokens\":{events}}}}}\n\n"
        );
        let end = format!("{}{}0\r\n\r\n", chunk(&usage), chunk("data: [DONE]\n\n"));
        self.record
            .line(format!("{name}: the stream of {id} is complete"));
        connection.write(end.as_bytes()).is_ok()
    }
}

impl Fleet {
    /// Streams several choices, one after another, and ends the stream.
    fn write_choices(&self, connection: &mut Connection, id: &str, body: &str, name: &str) -> bool {
        for choice in 0..field(body, "n").unwrap_or(1) {
            let is_broken = {
                let mut state = self.state.lock().unwrap();
                let times = state.resets.get_mut(&format!("{id}/choice"));
                let is_broken = choice > 0 && times.as_ref().is_some_and(|times| **times > 0);
                if let Some(times) = times.filter(|_| is_broken) {
                    *times -= 1;
                }
                is_broken
            };
            if is_broken {
                self.record.line(format!(
                    "{name}: the stream of {id} breaks before choice {choice}"
                ));
                return false;
            }
            for (content, finish) in [("one", "null"), ("two", "null"), ("", "\"stop\"")] {
                let event = format!(
                    "data: {{\"choices\":[{{\"index\":{choice},\"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":{finish}}}]}}\n\n"
                );
                if connection.write(chunk(&event).as_bytes()).is_err() {
                    return false;
                }
                thread::sleep(Duration::from_millis(60));
            }
        }
        let usage =
            "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":6}}\n\n";
        let end = format!("{}{}0\r\n\r\n", chunk(usage), chunk("data: [DONE]\n\n"));
        self.record
            .line(format!("{name}: the stream of {id} is complete"));
        connection.write(end.as_bytes()).is_ok()
    }
}

fn simple(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}
