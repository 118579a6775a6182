//! Clients: those that ask and wait, those that leave early, and those that do neither.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::oracle::{Answer, Idempotency, Rule};
use crate::routers::Router;
use crate::scenario::{Plant, DEADLINES_MS};
use crate::world::World;

/// Bad clients are answered or closed within this.
const BAD_CLIENT: Duration = Duration::from_millis(3_000 + 200);

/// Whether a router says that it is ready.
pub async fn is_up(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nhost: app\r\nconnection: close\r\n\r\n")
            .await
            .ok()?;
        let mut said = Vec::new();
        let _ = stream.read_to_end(&mut said).await;
        Some(said.starts_with(b"HTTP/1.1 200"))
    };
    timeout(Duration::from_millis(500), asked)
        .await
        .ok()
        .flatten()
        .unwrap_or(false)
}

/// One client: it asks, again and again, over connections that it keeps.
pub struct Client {
    world: Rc<World>,
    routers: Vec<Rc<Router>>,
    kept: HashMap<usize, TcpStream>,
    session: u64,
}

/// What came back over one connection.
enum Reply {
    /// An answer to its end; the connection, if it can be used again.
    Answer(Option<TcpStream>),
    /// Nothing: the connection was closed under the request.
    Nothing,
    /// The client had enough.
    Left,
}

impl Client {
    /// A client that has asked nothing yet.
    pub fn new(world: Rc<World>, routers: Vec<Rc<Router>>) -> Client {
        let session = world.number();
        Client {
            world,
            routers,
            kept: HashMap::new(),
            session,
        }
    }

    /// Asks until the run is over.
    pub async fn run(mut self, pause_ms: u64) {
        while !self.world.over.get() {
            sleep(Duration::from_millis(self.world.draw(1, 2 * pause_ms))).await;
            self.ask().await;
        }
    }

    fn pick(&self) -> Option<usize> {
        let up: Vec<usize> = self
            .routers
            .iter()
            .filter(|r| r.admitted.get())
            .map(|r| r.index)
            .collect();
        up.get(self.world.draw(0, up.len().max(1) as u64) as usize)
            .copied()
    }

    async fn ask(&mut self) {
        let world = self.world.clone();
        let effect = if world.chance(40) {
            Idempotency::NonIdempotent
        } else {
            Idempotency::Idempotent
        };
        let deadline = DEADLINES_MS[usize::from(effect == Idempotency::NonIdempotent)];
        let patience = world.draw(deadline / 2, deadline + 1);
        let id = format!("q{:08x}", world.number());
        let tokens = world.draw(200, 6_000);
        let class = if effect == Idempotency::NonIdempotent {
            "order"
        } else {
            "chat"
        };
        let body = "x".repeat(tokens as usize * 2);
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: {class}\r\n\
             x-key: k{}\r\nx-deadline-ms: {patience}\r\nx-extras: prompt_len={tokens},max_out=40\r\n\
             content-length: {}\r\n\r\n{body}",
            self.session,
            body.len()
        );
        let leaves = world
            .chance(8)
            .then(|| Duration::from_millis(world.draw(1, 700)));
        let mut sent = false;
        for _ in 0..4 {
            let Some(router) = self.pick() else { return };
            let stream = match self.kept.remove(&router) {
                Some(stream) => stream,
                None => {
                    let connect = TcpStream::connect(self.routers[router].address);
                    let Ok(Ok(stream)) = timeout(Duration::from_secs(1), connect).await else {
                        continue;
                    };
                    let _ = stream.set_nodelay(true);
                    stream
                }
            };
            match sent {
                false => world.oracle.borrow_mut().request_sent(
                    &id,
                    router,
                    effect,
                    world.now(),
                    Duration::from_millis(patience),
                ),
                true => world
                    .oracle
                    .borrow_mut()
                    .request_resent(&id, router, world.now()),
            }
            sent = true;
            let kills = self.routers[router].kills.get();
            let waits = Duration::from_millis(patience + 2_000);
            let note = |answer| {
                if !world.plants(Plant::Lost) {
                    world
                        .oracle
                        .borrow_mut()
                        .request_answered(&id, answer, world.now());
                }
            };
            let asked = exchange(stream, text.as_bytes(), note);
            let reply = match leaves {
                Some(span) => timeout(span, asked).await.unwrap_or(Reply::Left),
                None => timeout(waits, asked).await.unwrap_or(Reply::Nothing),
            };
            match reply {
                Reply::Left => {
                    return world
                        .oracle
                        .borrow_mut()
                        .client_disconnected(&id, world.now())
                }
                Reply::Answer(stream) => {
                    self.kept.extend(stream.map(|stream| (router, stream)));
                    return;
                }
                Reply::Nothing if self.routers[router].kills.get() != kills => break,
                Reply::Nothing => {}
            }
        }
        if sent {
            // Closed under it each time: nobody has taken it, or the oracle has seen that somebody did.
            world
                .oracle
                .borrow_mut()
                .client_disconnected(&id, world.now());
        }
    }
}

/// Sends a request and takes the answer, of which `note` hears once it has begun. A stream is read to its end; where it
/// breaks it was served all the same, as the rest would be asked for anew.
async fn exchange(mut stream: TcpStream, request: &[u8], note: impl Fn(Answer)) -> Reply {
    if stream.write_all(request).await.is_err() {
        return Reply::Nothing;
    }
    let (mut said, mut begun) = (Vec::new(), false);
    loop {
        match stream.read_buf(&mut said).await {
            Ok(0) | Err(_) if !begun => return Reply::Nothing,
            Ok(0) | Err(_) => return Reply::Answer(None),
            Ok(_) => {}
        }
        let Some(head) = said.windows(4).position(|four| four == b"\r\n\r\n") else {
            continue;
        };
        if !begun {
            note(answer_of(&said));
            begun = true;
        }
        let text = String::from_utf8_lossy(&said[..head]).to_ascii_lowercase();
        let length = text
            .split("content-length: ")
            .nth(1)
            .and_then(|rest| rest.lines().next()?.parse().ok());
        let whole = match length {
            Some(length) => said.len() >= head + 4 + usize::clone(&length),
            None => said.ends_with(b"\r\n0\r\n\r\n"),
        };
        if whole {
            let kept = !text.contains("connection: close");
            return Reply::Answer(kept.then_some(stream));
        }
    }
}

fn answer_of(said: &[u8]) -> Answer {
    match said.get(9..12) {
        Some(b"200") => Answer::Served,
        Some(b"503" | b"429") => Answer::Rejected,
        _ => Answer::Failed,
    }
}

/// A client that sends half of a request, or nothing of use, and stays: it must be answered or closed in time.
pub async fn bad_client(world: Rc<World>, router: Rc<Router>) {
    let Ok(mut stream) = TcpStream::connect(router.address).await else {
        return;
    };
    let begun = match world.draw(0, 3) {
        0 => "POST /v1/chat/completions HTTP/1.1\r\nhost: a",
        1 => "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\ncontent-length: 500\r\n\r\nhalf of it",
        _ => "\u{7f}\r\nnonsense\r\n\r\n",
    };
    if stream.write_all(begun.as_bytes()).await.is_err() {
        return;
    }
    let mut said = Vec::new();
    let closed = timeout(BAD_CLIENT, stream.read_to_end(&mut said))
        .await
        .is_ok();
    if !closed && said.is_empty() && router.runs() {
        let detail = format!(
            "router {} neither answered nor closed a bad client",
            router.index
        );
        world
            .oracle
            .borrow_mut()
            .report_violation(Rule::MissingAnswer, world.now(), detail);
    }
}

/// Clients that connect and say nothing for a while.
pub async fn crowd(router: Rc<Router>, count: usize, span: Duration) {
    let mut idle = Vec::new();
    for _ in 0..count {
        if let Ok(Ok(stream)) = timeout(
            Duration::from_millis(200),
            TcpStream::connect(router.address),
        )
        .await
        {
            idle.push(stream);
        }
    }
    sleep(span).await;
}
