//! Discovery: watches the list of workers and passes its news on.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cranetack::{CellId, KindId, ListForm, Readiness, ZoneId};
use cranetack_facts::Facts;
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
use crate::core::{Handle, Happening, Listed};

/// How long an answer may take: a busy service serves or refuses what waits its turn within 2 s.
const ANSWER: Duration = Duration::from_millis(2_500);
/// How long a watch may be late beyond the span for which it waits. Its news count as told 2 s after that span at
/// the latest, so by then it must have been opened anew.
const LATE: Duration = Duration::from_millis(1_800);
const CONNECT: Duration = Duration::from_millis(300);
/// Bounds of the span before another try where there is no connection, or what came is no list. Short, as news count
/// as told all the while: 250 ms later nothing may go to a server that drains. It costs a service that is down nothing.
const UNREACHED: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];
/// Refused calls of all routers together are made again no closer than this on average. Guards against a service
/// that never gets ahead of them: a failed call may cost it as much as another.
const APART: Duration = Duration::from_millis(100);
/// Bounds of the span for which a watch waits for news. It is short, whatever the number of routers, so that a
/// connection that has gone silent is noticed well before its news count as told; longer only after refusals.
const HOLD: [Duration; 2] = [Duration::from_millis(2_000), Duration::from_millis(20_000)];
/// By which share of itself a watch's span is drawn shorter: news reach all watches at once, and without this they
/// would be made again together ever after.
const HOLD_SPREAD: f64 = 0.3;
/// Parts by which the span shrinks towards its least with each call that is served.
const HOLD_FADE: u32 = 8;
/// The span within which a list must be asked for anew, where the settings do not tell. After a failed call it is
/// four times as long.
const ASK_WITHIN: Duration = Duration::from_secs(10);
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

/// How often discovery is called: a router's part of what it bears from all of them, and no wait that outlasts what
/// counts as told, however many they are.
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
    pub fn new(routers: Option<u32>, ask_within: Option<Duration>, seed: u64) -> Pace {
        let span = APART.saturating_mul(routers.filter(|n| *n > 0).unwrap_or(ROUTERS));
        // A failed call allows four times the span, of which the calls themselves take a part.
        let most = ask_within.unwrap_or(ASK_WITHIN).saturating_mul(3);
        // Drawn spans are half of their bound on average.
        let refused = Backoff::new((2 * span).min(most), (4 * span).min(most), seed);
        let unreached = Backoff::new(UNREACHED[0], UNREACHED[1], seed);
        let rng = Pcg32::new(seed, 0x51f1_5e0b_9a6c_2d37);
        Pace { hold: HOLD[0], hold_most: span.clamp(HOLD[0], HOLD[1]), refused, unreached, rng }
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
            () = follow(|| connect(at), known.take(), &facts, &handle, &fresh, &mut pace) => {}
        }
    }
}

/// Watches the list at one address, over one connection after another.
async fn follow<C, F>(
    connect: C, mut index: Option<u64>, facts: &Facts, handle: &Handle, fresh: &watch::Sender<bool>,
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
                index = Some(list.index);
                pace.succeeded();
                hold = pace.hold();
                let form = if list.snapshot { ListForm::Whole } else { ListForm::Patch };
                // Every answer continues the watch; only those with news concern the core.
                if list.snapshot || !list.endpoints.is_empty() {
                    handle.tell(Happening::Members(form, list.listed(facts)));
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
    open(stream).await
}

async fn open(stream: impl AsyncRead + AsyncWrite + Unpin + 'static) -> std::io::Result<Sender> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
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
    let request = Request::get(target).header("host", "discovery").body(Empty::new());
    let request = request.map_err(|_| Failure::Unreached)?;
    let answer = timeout(patience, async {
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
    let (status, body) = answer.map_err(|_| Failure::Silent)?.ok_or(Failure::Unreached)?;
    if status != StatusCode::OK {
        return Err(Failure::Refused);
    }
    serde_json::from_slice(&body).map_err(|error| {
        tracing::warn!(%error, "discovery sent a list that cannot be read");
        Failure::Unreached
    })
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::collections::VecDeque;
    use std::rc::Rc;

    use hyper::service::service_fn;
    use hyper::Response;

    use super::*;
    use crate::core::Happening;

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
            let pace = |seed| Pace::new(u32::try_from(routers).ok(), None, seed as u64);
            let mut paces: Vec<_> = (0..routers).map(pace).collect();
            let (calls, last) = storm(routers, |router| paces[router].failed(Failure::Refused).as_secs_f64());
            assert!(last.is_some_and(|last| last < 0.5 * routers as f64 + 0.5), "{routers}: {last:?}");
            assert!(calls <= 4 * routers, "{routers}: {calls} calls");
        }
        // What the service above makes of tries 50 ms apart.
        assert_eq!(storm(100, |_| 0.05).1, None);
    }

    /// Guards against waits that grow with the fleet until they outlast what counts as told: 6 s after a watch fell
    /// silent, or 2 s after its span, and at any time while no call is out.
    #[test]
    fn a_silent_watch_is_opened_anew_before_its_news_count_as_told_however_many_routers_there_are() {
        for routers in [None, Some(0), Some(4), Some(300), Some(1_024), Some(u32::MAX)] {
            let mut pace = Pace::new(routers, None, 1);
            for _ in 0..100 {
                let hold = pace.hold();
                assert!(hold + LATE < Duration::from_secs(6), "{hold:?} with {routers:?}");
                assert!(pace.failed(Failure::Silent) < Duration::from_millis(50));
            }
            let longest = (0..100).map(|_| pace.failed(Failure::Refused)).max().unwrap();
            assert!(longest <= 3 * ASK_WITHIN, "{longest:?} with {routers:?}");
            assert!((0..100).map(|_| pace.failed(Failure::Unreached)).all(|wait| wait <= UNREACHED[1]));
        }
    }

    /// Guards against watches that are made again together ever after because news reached all of them at once.
    #[test]
    fn watches_that_ended_together_do_not_end_together_again() {
        let mut spans: Vec<_> = (0..300).map(|seed| Pace::new(Some(300), None, seed).hold()).collect();
        spans.sort();
        assert!(spans[299] - spans[0] > Duration::from_millis(500), "{:?} to {:?}", spans[0], spans[299]);
        let closest = spans.windows(30).map(|w| w[29] - w[0]).min().unwrap();
        assert!(closest > Duration::from_millis(20), "{closest:?}");
    }

    #[test]
    fn watches_are_longer_after_refusals_and_short_again_once_calls_are_served() {
        let mut pace = Pace::new(Some(300), None, 1);
        let refuse = |pace: &mut Pace| (0..8).map(|_| pace.failed(Failure::Refused)).max();
        assert!(refuse(&mut pace).is_some());
        assert_eq!(pace.hold, HOLD[1]);
        (0..60).for_each(|_| pace.succeeded());
        assert!(pace.hold < HOLD[0] + Duration::from_millis(50), "{:?}", pace.hold);
        // Four routers are too few to make a service busy: their watches stay short.
        let mut pace = Pace::new(Some(4), None, 1);
        assert!(refuse(&mut pace).is_some());
        assert_eq!(pace.hold, HOLD[0]);
    }

    /// A router of so many that follows an agent: its first call is served, the watch after that never ends. When
    /// the next call was made after that, and when the news that the agent had at 1 s were heard.
    async fn follow_one_that_falls_silent(routers: u32) -> (Duration, Duration) {
        let began = Instant::now();
        let calls = Rc::new(RefCell::new(Vec::new()));
        let to_agent = calls.clone();
        let (handle, mut happenings) = Handle::new();
        let agent = move || {
            let calls = to_agent.clone();
            async move {
                let (ours, theirs) = tokio::io::duplex(1 << 16);
                let service = service_fn(move |_| {
                    calls.borrow_mut().push(Instant::now());
                    let call = calls.borrow().len();
                    async move {
                        if call == 2 {
                            std::future::pending::<()>().await;
                        }
                        if call > 3 {
                            tokio::time::sleep(Duration::from_secs(1)).await; // nothing new
                        }
                        let news = began.elapsed() >= Duration::from_secs(1) && call == 3;
                        let body = format!(r#"{{"index":{call},"snapshot":{news},"endpoints":[]}}"#);
                        Ok::<_, std::convert::Infallible>(Response::new(body))
                    }
                });
                let serve = hyper::server::conn::http1::Builder::new();
                tokio::task::spawn_local(async move {
                    drop(serve.serve_connection(TokioIo::new(theirs), service).await);
                });
                open(ours).await
            }
        };
        let (fresh, _) = watch::channel(false);
        let facts: Facts = serde_json::from_str(r#"{"classes": [], "kinds": [], "zones": []}"#).unwrap();
        let mut pace = Pace::new(Some(routers), None, 7);
        let told = async {
            loop {
                if let Some(Happening::Members(..)) = happenings.recv().await {
                    break;
                }
            }
        };
        tokio::select! {
            () = follow(agent, Some(0), &facts, &handle, &fresh, &mut pace) => unreachable!("it follows for ever"),
            () = told => {}
        }
        let calls = calls.borrow();
        (calls[2] - calls[1], began.elapsed())
    }

    /// Guards against a fleet that goes on with the list it had: with 300 routers a watch that had fallen silent was
    /// left after 24 s, and opened anew up to 56 s after that.
    #[test]
    fn a_router_hears_what_a_silent_watch_kept_from_it_before_that_counts_as_told() {
        for routers in [1, 300, 1_024] {
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = runtime.enable_time().start_paused(true).build().unwrap();
            let local = tokio::task::LocalSet::new();
            let (again, heard) = local.block_on(&runtime, follow_one_that_falls_silent(routers));
            assert!(again < Duration::from_secs(6), "called again after {again:?} with {routers} routers");
            assert!(heard < Duration::from_secs(6), "heard after {heard:?} with {routers} routers");
        }
    }
}
