//! Discovery: watches the list of workers and passes its news on.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cranetack::{CellId, KindId, ListForm, Readiness, ZoneId};
use cranetack_facts::Facts;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::core::{Handle, Happening, Listed};

/// How long a watch waits for news. Short, so that a connection that has gone silent is noticed.
const HOLD: Duration = Duration::from_millis(2_000);
/// How long an answer may take beyond that, a connection may take to come up, and between two tries.
const ANSWER: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_millis(300);
const AGAIN: Duration = Duration::from_millis(50);
/// The most that a list may hold.
const LIST_MOST: usize = 4 * 1024 * 1024;

/// A list of workers, or what has changed in it.
#[derive(Debug, Clone, Deserialize)]
pub struct List {
    /// Its version.
    pub index: u64,
    /// It is whole: who is missing is gone.
    pub snapshot: bool,
    /// Its lines.
    pub endpoints: Vec<Endpoint>,
}

/// A line of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoint {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    group: i64,
    status: Status,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: i64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Up,
    Draining,
    Removed,
}

fn one() -> f64 {
    1.0
}

impl List {
    /// The lines in the core's terms. A line with a zone or kind that the settings do not name is left out:
    /// one odd worker must not cost the others.
    pub fn listed(&self, facts: &Facts) -> Vec<Listed> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let line = |e: &Endpoint| {
            let (zone, kind) = (place(&facts.zones, &e.zone), place(&facts.kinds, &e.kind));
            if zone.is_none() || kind.is_none() {
                tracing::warn!(
                    worker = e.name,
                    zone = e.zone,
                    kind = e.kind,
                    "unknown zone or kind: left out"
                );
            }
            Some(Listed {
                name: e.name.clone(),
                address: e.address,
                zone: ZoneId(zone?),
                kind: KindId(kind?),
                cell: CellId(e.group),
                readiness: match e.status {
                    Status::Up => Readiness::Up,
                    Status::Draining => Readiness::Draining,
                    Status::Removed => Readiness::Gone,
                },
                weight: e.weight,
                last_start: (e.since_ms > 0).then(|| e.since_ms.saturating_mul(1_000)),
            })
        };
        self.endpoints.iter().filter_map(line).collect()
    }
}

/// Watches the list at an address that may change, for as long as the program runs. `fresh` becomes true with
/// the first answer. A new address begins anew with the whole list: its versions may not continue the old ones.
/// Guards against an old address that hangs while a new one is known: the change cuts its watch off.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>, facts: Facts, handle: Handle, fresh: watch::Sender<bool>,
) {
    loop {
        let at = *address.borrow_and_update();
        let moved = async {
            if address.wait_for(|now| *now != at).await.is_err() {
                std::future::pending::<()>().await; // nobody can change it any more
            }
        };
        tokio::select! {
            () = moved => tracing::info!("discovery has moved"),
            () = follow(at, &facts, &handle, &fresh) => {}
        }
    }
}

/// Watches the list at one address, over one connection after another.
async fn follow(address: SocketAddr, facts: &Facts, handle: &Handle, fresh: &watch::Sender<bool>) {
    let mut index = None;
    loop {
        match connect(address).await {
            Ok(mut sender) => {
                while let Some(list) = ask(&mut sender, index).await {
                    index = Some(list.index);
                    let form = if list.snapshot { ListForm::Whole } else { ListForm::Patch };
                    // Every answer continues the watch; only those with news concern the core.
                    if list.snapshot || !list.endpoints.is_empty() {
                        handle.tell(Happening::Members(form, list.listed(facts)));
                    }
                    fresh.send_replace(true);
                }
            }
            Err(error) => tracing::debug!(%error, "discovery cannot be reached"),
        }
        tokio::time::sleep(AGAIN).await;
    }
}

type Sender = SendRequest<Empty<Bytes>>;

async fn connect(address: SocketAddr) -> std::io::Result<Sender> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    // Ends when the sender is dropped.
    tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

/// The full list, or what has changed since `index`. `None` on any failure: a new connection is next.
async fn ask(sender: &mut Sender, index: Option<u64>) -> Option<List> {
    let (target, wait) = match index {
        Some(index) => (format!("/discovery/hosts?from={index}&hold_ms={}", HOLD.as_millis()), HOLD + ANSWER),
        None => ("/discovery/hosts".to_owned(), ANSWER),
    };
    let request = Request::get(target).header("host", "discovery").body(Empty::new()).ok()?;
    let answer = timeout(wait, async {
        sender.ready().await.ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LIST_MOST).collect().await.ok()?.to_bytes();
        (status == StatusCode::OK).then_some(body)
    });
    let body = answer.await.ok()??;
    match serde_json::from_slice(&body) {
        Ok(list) => Some(list),
        Err(error) => {
            tracing::warn!(%error, "discovery sent a list that cannot be read");
            None
        }
    }
}
