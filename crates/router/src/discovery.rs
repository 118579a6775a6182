//! Discovery: watches the list of workers and passes its news on.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cranetack_routing_policy::{CellId, EndpointState, KindId, ZoneId};
use cranetack_settings::SiteSettings;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use serde::Deserialize;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

use crate::backoff::Backoff;
use crate::core::{CoreEvent, EndpointEntry, EndpointListUpdate, Handle};
use crate::socket::Socket;

/// How long an answer may take: a busy service serves or refuses what waits its turn within 2 s.
const ANSWER: Duration = Duration::from_millis(2_500);
/// How long a watch may be late beyond the span for which it waits. Its news count as told 2 s after that span at
/// the latest, so by then it must have been opened anew.
const LATE: Duration = Duration::from_millis(1_800);
const CONNECT: Duration = Duration::from_millis(300);
/// Bounds of the span before another try where there is no connection, or what came is no list. Short, as news count
/// as told all the while: 250 ms later nothing may go to a server that drains. It costs a service that is down nothing.
const UNREACHED: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];
/// By then a change counts as told, from when discovery had it and could be reached: whatever failed before, and however
/// many routers there are. All waits below are such that the worst of them together are shorter.
const TOLD: Duration = Duration::from_millis(6_000);
/// Refused calls of all routers together are made again no closer than this on average, as far as the bound below lets
/// them. Guards against a service that never gets ahead of them: a failed call may cost it as much as another.
const APART: Duration = Duration::from_millis(100);
/// The longest wait after a refusal: it, a call that falls silent, and the connections for that and for the next one
/// take less than `TOLD`.
const REFUSED_MOST: Duration = Duration::from_millis(2_500);
/// Bounds of the span for which a watch waits for news. It is short, whatever the number of routers, so that a
/// connection that has gone silent is noticed before its news count as told; longer only after refusals.
const HOLD: [Duration; 2] = [Duration::from_millis(2_000), Duration::from_millis(3_500)];
/// By which share of itself a watch's span is drawn shorter: news reach all watches at once, and without this they
/// would be made again together ever after.
const HOLD_SPREAD: f64 = 0.3;
const _: () = assert!(
    REFUSED_MOST.as_millis() + ANSWER.as_millis() + 2 * CONNECT.as_millis() < TOLD.as_millis()
        && HOLD[1].as_millis() + LATE.as_millis() + CONNECT.as_millis() < TOLD.as_millis(),
    "a wait outlasts what counts as told"
);
/// Parts by which the span shrinks towards its least with each call that is served.
const HOLD_FADE: u32 = 8;
/// The span within which a list must be asked for anew, where the settings do not tell.
const ASK_WITHIN: Duration = Duration::from_secs(10);
/// Routers where the settings do not tell how many there are.
const ROUTERS: u32 = 16;
/// The most that a list may hold.
const LIST_MOST: usize = 4 * 1024 * 1024;

/// A list of workers, or what has changed in it.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "RawList")]
pub struct List {
    /// Its version.
    pub index: u64,
    /// It is whole: who is missing is gone.
    pub snapshot: bool,
    /// Its lines.
    pub endpoints: Vec<Endpoint>,
    /// Workers that drain or are gone by lines of which nothing else can be read.
    leaving: Vec<String>,
}

/// A list as it is written.
#[derive(Deserialize)]
struct RawList {
    index: u64,
    snapshot: bool,
    endpoints: Vec<serde_json::Value>,
}

/// What must be readable of a line that says that a worker takes nothing new.
#[derive(Deserialize)]
struct Departure {
    name: String,
    status: Status,
}

impl From<RawList> for List {
    /// Keeps the lines that can be read: one that cannot must not cost the others, nor hide a drain.
    fn from(raw: RawList) -> List {
        let RawList {
            index,
            snapshot,
            endpoints: lines,
        } = raw;
        let mut list = List {
            index,
            snapshot,
            endpoints: Vec::new(),
            leaving: Vec::new(),
        };
        for (number, line) in lines.into_iter().enumerate() {
            match serde_json::from_value(line.clone()) {
                Ok(endpoint) => list.endpoints.push(endpoint),
                Err(error) => {
                    tracing::warn!(number, %error, "a line of the list cannot be read: left out");
                    let departure = serde_json::from_value::<Departure>(line).ok();
                    list.leaving
                        .extend(departure.filter(|d| d.status != Status::Up).map(|d| d.name));
                }
            }
        }
        list
    }
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
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
    /// The names of workers that take nothing new by lines that are left out otherwise.
    pub fn leaving(&self, site: &SiteSettings) -> Vec<String> {
        let unknown =
            |e: &&Endpoint| !site.zones.contains(&e.zone) || !site.kinds.contains(&e.kind);
        let unknown = self
            .endpoints
            .iter()
            .filter(unknown)
            .filter(|e| e.status != Status::Up);
        self.leaving
            .iter()
            .cloned()
            .chain(unknown.map(|e| e.name.clone()))
            .collect()
    }

    /// The lines in the core's terms. A line with a zone or kind that the settings do not name is left out:
    /// one odd worker must not cost the others.
    pub fn listed(&self, site: &SiteSettings) -> Vec<EndpointEntry> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let line = |e: &Endpoint| {
            let (zone, kind) = (place(&site.zones, &e.zone), place(&site.kinds, &e.kind));
            if zone.is_none() || kind.is_none() {
                tracing::warn!(
                    worker = e.name,
                    zone = e.zone,
                    kind = e.kind,
                    "unknown zone or kind: left out"
                );
            }
            Some(EndpointEntry {
                name: e.name.clone(),
                address: e.address,
                zone: ZoneId(zone?),
                kind: KindId(kind?),
                cell: CellId(e.group),
                state: match e.status {
                    Status::Up => EndpointState::Active,
                    Status::Draining => EndpointState::Draining,
                    Status::Removed => EndpointState::Removed,
                },
                weight: e.weight,
                started_at: (e.since_ms > 0).then(|| e.since_ms.saturating_mul(1_000)),
            })
        };
        self.endpoints.iter().filter_map(line).collect()
    }
}

/// How a call of discovery failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// Nothing came: the connection is broken, or discovery is down.
    Silent,
    /// It was turned away: the service is busy.
    Refused,
    /// There was no connection, or what came is no list.
    Unreached,
}

/// How often discovery is called: a router's part of what it bears from all of them, and no wait that outlasts `TOLD`,
/// however many they are.
pub struct Pace {
    hold: Duration,
    hold_most: Duration,
    refused: Backoff,
    unreached: Backoff,
    rng: Pcg32,
}

impl Pace {
    /// For one of so many routers, if it is known how many, and the span in which a list must be asked for, if the
    /// settings tell. The routers' seeds must differ.
    pub fn new(routers: Option<u32>, poll_interval: Option<Duration>, seed: u64) -> Pace {
        let span = APART.saturating_mul(routers.filter(|n| *n > 0).unwrap_or(ROUTERS));
        let most = poll_interval.unwrap_or(ASK_WITHIN).min(REFUSED_MOST);
        // Drawn spans are half of their bound on average.
        let refused = Backoff::new((2 * span).min(most), (4 * span).min(most), seed);
        let unreached = Backoff::new(UNREACHED[0], UNREACHED[1], seed);
        let rng = Pcg32::new(seed, 0x51f1_5e0b_9a6c_2d37);
        Pace {
            hold: HOLD[0],
            hold_most: span.clamp(HOLD[0], HOLD[1]),
            refused,
            unreached,
            rng,
        }
    }

    /// For how long the next watch waits.
    fn hold(&mut self) -> Duration {
        let drawn = f64::from(self.rng.next_u32()) / 2_f64.powi(32);
        self.hold.mul_f64(1.0 - HOLD_SPREAD * drawn)
    }

    fn succeeded(&mut self) {
        self.refused.succeeded();
        self.unreached.succeeded();
        self.hold -= self.hold.saturating_sub(HOLD[0]) / HOLD_FADE;
    }

    /// How long to wait before the next call. After silence there is no wait: its time has been waited already, and
    /// news count as told whether or not a watch is open.
    fn failed(&mut self, failure: Failure) -> Duration {
        match failure {
            Failure::Silent => Duration::ZERO,
            Failure::Unreached => self.unreached.failed(),
            Failure::Refused => {
                self.hold = (self.hold * 2).min(self.hold_most);
                self.refused.failed()
            }
        }
    }
}

/// Watches the list at an address that may change, for as long as the program runs. `fresh` becomes true with
/// the first answer. A new address begins anew with the whole list: its versions may not continue the old ones.
/// Guards against an old address that hangs while a new one is known: the change cuts its watch off.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    mut known: Option<u64>,
    site: SiteSettings,
    handle: Handle,
    fresh: watch::Sender<bool>,
    mut pace: Pace,
) {
    loop {
        let at = *address.borrow_and_update();
        let moved = async {
            if address.wait_for(|now| *now != at).await.is_err() {
                std::future::pending::<()>().await; // nobody can change it any more
            }
        };
        tokio::select! {
            () = moved => {
                tracing::info!("discovery has moved");
                pace.succeeded(); // the failures were another address's
            }
            () = follow(|| connect(at), known.take(), &site, &handle, &fresh, &mut pace) => {}
        }
    }
}

/// Watches the list at one address, over one connection after another.
async fn follow<C, F>(
    connect: C,
    mut index: Option<u64>,
    site: &SiteSettings,
    handle: &Handle,
    fresh: &watch::Sender<bool>,
    pace: &mut Pace,
) where
    C: Fn() -> F,
    F: Future<Output = std::io::Result<Sender>>,
{
    // The first answer is wanted at once, news or not.
    let mut hold = Duration::ZERO;
    loop {
        let failure = match connect().await {
            Ok(mut sender) => loop {
                let list = match ask(&mut sender, index, hold).await {
                    Ok(list) => list,
                    Err(failure) => break failure,
                };
                pace.succeeded();
                // One that lags, or a service that began anew: what it has is asked for whole, which counts.
                if index.is_some_and(|known| list.index < known) {
                    tracing::info!(
                        known = index,
                        list.index,
                        "an older list has come: the whole one is asked for"
                    );
                    (index, hold) = (None, Duration::ZERO);
                    continue;
                }
                index = Some(list.index);
                hold = pace.hold();
                let update = if list.snapshot {
                    EndpointListUpdate::Snapshot
                } else {
                    EndpointListUpdate::Delta
                };
                // Every answer concerns the core: that there are no news tells how recent the next ones are.
                handle.send(CoreEvent::EndpointsUpdated(update(list.listed(site))));
                let leaving = list.leaving(site);
                if !leaving.is_empty() {
                    handle.send(CoreEvent::EndpointsDraining(leaving));
                }
                fresh.send_replace(true);
            },
            Err(error) => {
                tracing::debug!(%error, "discovery cannot be reached");
                Failure::Unreached
            }
        };
        // What was missed is wanted at once.
        hold = Duration::ZERO;
        let wait = pace.failed(failure);
        tracing::debug!(?failure, ?wait, "discovery is asked again later");
        tokio::time::sleep(wait).await;
    }
}

type Sender = SendRequest<Empty<Bytes>>;

async fn connect(address: SocketAddr) -> std::io::Result<Sender> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    open(Socket::from(stream)).await
}

async fn open(stream: impl AsyncRead + AsyncWrite + Unpin + 'static) -> std::io::Result<Sender> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    // Ends when the sender is dropped.
    tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

/// The full list, or what has changed since `index`. After a failure a new connection is next.
async fn ask(sender: &mut Sender, index: Option<u64>, hold: Duration) -> Result<List, Failure> {
    let target = match index {
        Some(index) => format!("/discovery/hosts?from={index}&hold_ms={}", hold.as_millis()),
        None => "/discovery/hosts".to_owned(),
    };
    let patience = if hold.is_zero() { ANSWER } else { hold + LATE };
    let request = Request::get(target)
        .header("host", "discovery")
        .body(Empty::new());
    let request = request.map_err(|_| Failure::Unreached)?;
    let answer = timeout(patience, async {
        sender.ready().await.ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LIST_MOST)
            .collect()
            .await
            .ok()?
            .to_bytes();
        Some((status, body))
    });
    let began = Instant::now();
    let answer = answer.await;
    let (elapsed, status) = (
        began.elapsed(),
        answer.as_ref().map(|a| a.as_ref().map(|a| a.0)),
    );
    tracing::debug!(index, ?elapsed, ?status, "a call of discovery has ended");
    let (status, body) = answer
        .map_err(|_| Failure::Silent)?
        .ok_or(Failure::Unreached)?;
    if status != StatusCode::OK {
        return Err(Failure::Refused);
    }
    serde_json::from_slice(&body).map_err(|error| {
        tracing::warn!(%error, "discovery sent a list that cannot be read");
        Failure::Unreached
    })
}

#[cfg(test)]
mod tests;
