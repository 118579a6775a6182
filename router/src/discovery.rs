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
use tokio::time::{timeout, Instant};

use crate::backoff::Backoff;
use crate::core::{Handle, Happening, Listed};

/// How long an answer may take beyond the span for which a watch waits, and a connection may take to come up.
/// Guards against calls given up while they wait for their turn at a busy service, which answers them in vain.
const ANSWER: Duration = Duration::from_millis(4_000);
const CONNECT: Duration = Duration::from_millis(300);
/// The calls of all routers together come no closer than this on average, in watches without news and after a
/// failure. Guards against a service that never gets ahead of them: a failed call may cost it as much as another.
const APART: Duration = Duration::from_millis(100);
/// Bounds of the span for which a watch waits for news: short, so that a connection that has gone silent is noticed.
const HOLD: [Duration; 2] = [Duration::from_millis(2_000), Duration::from_millis(20_000)];
/// Routers where the settings do not tell how many there are.
const ROUTERS: u32 = 16;
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

/// How often discovery is called: a router's part of what it bears from all of them.
pub struct Pace {
    hold: Duration,
    backoff: Backoff,
}

impl Pace {
    /// For one of so many routers, if it is known how many. Their seeds must differ.
    pub fn new(routers: Option<u32>, seed: u64) -> Pace {
        let span = APART * routers.filter(|n| *n > 0).unwrap_or(ROUTERS);
        let hold = span.clamp(HOLD[0], HOLD[1]);
        // Drawn spans are half of their bound on average.
        Pace { hold, backoff: Backoff::new(2 * span, 4 * span, seed) }
    }
}

/// Watches the list at an address that may change, for as long as the program runs. `fresh` becomes true with
/// the first answer. A new address begins anew with the whole list: its versions may not continue the old ones.
/// Guards against an old address that hangs while a new one is known: the change cuts its watch off.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>, mut known: Option<u64>, facts: Facts, handle: Handle,
    fresh: watch::Sender<bool>, mut pace: Pace,
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
            () = follow(at, known.take(), &facts, &handle, &fresh, &mut pace) => {}
        }
    }
}

/// Watches the list at one address, over one connection after another.
async fn follow(
    address: SocketAddr, mut index: Option<u64>, facts: &Facts, handle: &Handle, fresh: &watch::Sender<bool>,
    pace: &mut Pace,
) {
    // The first answer is wanted at once, news or not.
    let mut hold = Duration::ZERO;
    loop {
        match connect(address).await {
            Ok(mut sender) => {
                while let Some(list) = ask(&mut sender, index, hold).await {
                    index = Some(list.index);
                    pace.backoff.succeeded();
                    hold = pace.hold;
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
        let wait = pace.backoff.failed();
        tracing::debug!(?wait, "discovery is asked again later");
        tokio::time::sleep(wait).await;
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
async fn ask(sender: &mut Sender, index: Option<u64>, hold: Duration) -> Option<List> {
    let (target, wait) = match index {
        Some(index) => (format!("/discovery/hosts?from={index}&hold_ms={}", hold.as_millis()), hold + ANSWER),
        None => ("/discovery/hosts".to_owned(), ANSWER),
    };
    let request = Request::get(target).header("host", "discovery").body(Empty::new()).ok()?;
    let answer = timeout(wait, async {
        sender.ready().await.ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LIST_MOST).collect().await.ok()?.to_bytes();
        Some((status, body))
    });
    let began = Instant::now();
    let answer = answer.await;
    let (spent, status) = (began.elapsed(), answer.as_ref().map(|a| a.as_ref().map(|a| a.0)));
    tracing::debug!(index, ?spent, ?status, "a call of discovery has ended");
    let body = answer.ok()?.filter(|(status, _)| *status == StatusCode::OK)?.1;
    match serde_json::from_slice(&body) {
        Ok(list) => Some(list),
        Err(error) => {
            tracing::warn!(%error, "discovery sent a list that cannot be read");
            None
        }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    /// A service of fixed capacity, as the platform's protocol has it: calls wait in turn, fail after 2 s of that,
    /// and are refused at once past a number; one that has failed costs what another does.
    struct Service {
        waiting: VecDeque<(f64, usize)>,
        free_at: f64,
    }

    const WORK: f64 = 0.12;

    impl Service {
        /// When and how a call made now ends, unless it is refused.
        fn call(&mut self, now: f64, router: usize) -> Option<(f64, bool)> {
            while self.waiting.front().is_some_and(|(done, _)| *done <= now) {
                self.waiting.pop_front();
            }
            if self.waiting.len() >= 40 {
                return None;
            }
            self.free_at = self.free_at.max(now) + WORK;
            self.waiting.push_back((self.free_at, router));
            let served = self.free_at - now <= 2.0;
            Some((self.free_at.min(now + 2.0), served))
        }
    }

    /// Calls that routers make, all from the same moment on, and when the last of them has its list.
    fn storm(routers: usize, mut wait: impl FnMut(usize) -> f64) -> (usize, Option<f64>) {
        let mut service = Service { waiting: VecDeque::new(), free_at: 0.0 };
        let mut tries: Vec<(f64, usize)> = (0..routers).map(|router| (0.0, router)).collect();
        let (mut calls, mut last) = (0, 0.0);
        while let Some(next) = (0..tries.len()).min_by(|a, b| tries[*a].0.total_cmp(&tries[*b].0)) {
            let (now, router) = tries.swap_remove(next);
            if now > 120.0 {
                return (calls, None);
            }
            calls += 1;
            match service.call(now, router) {
                Some((at, true)) => last = at.max(last),
                Some((at, false)) => tries.push((at + wait(router), router)),
                None => tries.push((now + 0.002 + wait(router), router)),
            }
        }
        (calls, Some(last))
    }

    /// Guards against routers that all start at once, are refused together and ask again together, so that the
    /// service serves none of them, ever.
    #[test]
    fn a_hundred_routers_that_start_at_once_all_get_their_lists() {
        for routers in [1, 3, 4, 30, 100] {
            let pace = |seed| Pace::new(u32::try_from(routers).ok(), seed as u64);
            let mut paces: Vec<_> = (0..routers).map(pace).collect();
            let (calls, last) = storm(routers, |router| paces[router].backoff.failed().as_secs_f64());
            assert!(last.is_some_and(|last| last < 0.5 * routers as f64 + 0.5), "{routers}: {last:?}");
            assert!(calls <= 4 * routers, "{routers}: {calls} calls");
        }
        // What the service above makes of tries 50 ms apart.
        assert_eq!(storm(100, |_| 0.05).1, None);
    }

    #[test]
    fn a_watch_waits_a_routers_part_of_the_calls_of_all() {
        for (routers, hold) in
            [(None, 2_000), (Some(0), 2_000), (Some(4), 2_000), (Some(100), 10_000), (Some(u32::MAX), 20_000)]
        {
            assert_eq!(Pace::new(routers, 1).hold.as_millis(), hold, "{routers:?}");
        }
    }
}
