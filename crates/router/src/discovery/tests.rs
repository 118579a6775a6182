//! How often discovery is called, over paused clocks.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::core::CoreEvent;

/// A service of fixed capacity, as the platform's protocol has it: calls wait in turn, fail after 2 s of that,
/// and are refused at once past a number; one that has failed costs what another does.
struct Service {
    waiting: VecDeque<(f64, usize)>,
    free_at: f64,
    work: f64,
}

impl Service {
    /// When and how a call made now ends, unless it is refused.
    fn call(&mut self, now: f64, router: usize) -> Option<(f64, bool)> {
        while self.waiting.front().is_some_and(|(done, _)| *done <= now) {
            self.waiting.pop_front();
        }
        if self.waiting.len() >= 40 {
            return None;
        }
        self.free_at = self.free_at.max(now) + self.work;
        self.waiting.push_back((self.free_at, router));
        let served = self.free_at - now <= 2.0;
        Some((self.free_at.min(now + 2.0), served))
    }
}

/// Calls that routers make, all from the same moment on, each of which is so much work, and when the last router has
/// its list.
fn storm(routers: usize, work: f64, mut wait: impl FnMut(usize) -> f64) -> (usize, Option<f64>) {
    let mut service = Service {
        waiting: VecDeque::new(),
        free_at: 0.0,
        work,
    };
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

/// Guards against routers that all start at once, are refused together and ask again together, so that the service
/// serves none of them; and against waits by which some get their lists after they count as told. A service that
/// needs 3 s for all of them can be reached by all in time.
#[test]
fn routers_that_start_at_once_all_get_their_lists_before_they_count_as_told() {
    for routers in [1, 3, 4, 30, 100, 300, 1_024] {
        let pace = |seed| Pace::new(u32::try_from(routers).ok(), None, seed as u64);
        let mut paces: Vec<_> = (0..routers).map(pace).collect();
        let wait = |router: usize| paces[router].failed(Failure::Refused).as_secs_f64();
        let (calls, last) = storm(routers, (3.0 / routers as f64).min(0.12), wait);
        assert!(
            last.is_some_and(|last| last < TOLD.as_secs_f64()),
            "{routers}: {last:?}"
        );
        assert!(calls <= 4 * routers, "{routers}: {calls} calls");
    }
    // What the service makes of tries 50 ms apart.
    assert_eq!(storm(100, 0.12, |_| 0.05).1, None);
}

/// Guards against waits that grow with the fleet until they outlast what counts as told: 6 s after a watch fell
/// silent, or 2 s after its span, and at any time while no call is out.
#[test]
fn a_silent_watch_is_opened_anew_before_its_news_count_as_told_however_many_routers_there_are() {
    for routers in [
        None,
        Some(0),
        Some(4),
        Some(300),
        Some(1_024),
        Some(u32::MAX),
    ] {
        let mut pace = Pace::new(routers, None, 1);
        for _ in 0..100 {
            let hold = pace.hold();
            assert!(hold + LATE < TOLD, "{hold:?} with {routers:?}");
            assert!(pace.failed(Failure::Silent) < Duration::from_millis(50));
        }
        let longest = (0..100)
            .map(|_| pace.failed(Failure::Refused))
            .max()
            .unwrap();
        assert!(longest <= REFUSED_MOST, "{longest:?} with {routers:?}");
        assert!((0..100)
            .map(|_| pace.failed(Failure::Unreached))
            .all(|wait| wait <= UNREACHED[1]));
    }
}

/// Guards against watches that are made again together ever after because news reached all of them at once.
#[test]
fn watches_that_ended_together_do_not_end_together_again() {
    let mut spans: Vec<_> = (0..300)
        .map(|seed| Pace::new(Some(300), None, seed).hold())
        .collect();
    spans.sort();
    assert!(
        spans[299] - spans[0] > Duration::from_millis(500),
        "{:?} to {:?}",
        spans[0],
        spans[299]
    );
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
    assert!(
        pace.hold < HOLD[0] + Duration::from_millis(50),
        "{:?}",
        pace.hold
    );
    // Four routers are too few to make a service busy: their watches stay short.
    let mut pace = Pace::new(Some(4), None, 1);
    assert!(refuse(&mut pace).is_some());
    assert_eq!(pace.hold, HOLD[0]);
}

/// How an agent fails: from its second call on, until it has news.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fails {
    /// The second call is never answered; those after it are.
    Silent,
    /// Calls are refused.
    Refuses,
    /// Connections are refused.
    Unreached,
    /// Connections break as soon as something is asked.
    Resets,
    /// The second answer stops in its middle.
    Stops,
    /// Answers are no lists.
    Garbles,
}

/// When the agent has news, and can be reached again where it could not.
const NEWS: Duration = Duration::from_millis(1_000);

async fn serve_agent(
    mut stream: tokio::io::DuplexStream,
    fails: Fails,
    calls: Rc<Cell<u32>>,
    began: Instant,
) {
    let mut head = Vec::new();
    loop {
        let Ok(byte) = stream.read_u8().await else {
            return;
        };
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        calls.set(calls.get() + 1);
        let (first, news) = (calls.get() == 1, began.elapsed() >= NEWS);
        let failing = !first
            && (!news || (calls.get() == 2 && matches!(fails, Fails::Silent | Fails::Stops)));
        let list = format!(
            r#"{{"index":{},"snapshot":{news},"endpoints":[]}}"#,
            calls.get()
        );
        let (status, text) = match fails {
            Fails::Silent if failing => std::future::pending().await,
            Fails::Refuses if failing => ("503 Busy", String::new()),
            Fails::Unreached | Fails::Resets if failing => return,
            Fails::Garbles if failing => ("200 OK", list.replace('{', "[")),
            _ => ("200 OK", list),
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        let stops = failing && fails == Fails::Stops;
        let written = if stops {
            answer.len() - 9
        } else {
            answer.len()
        };
        let _ = stream.write_all(&answer.as_bytes()[..written]).await;
        if stops {
            std::future::pending::<()>().await;
        }
    }
}

/// A router of so many that follows an agent which fails so: how long after the agent had news it hears them.
async fn hears_after(fails: Fails, routers: u32, seed: u64) -> Duration {
    let began = Instant::now();
    let calls = Rc::new(Cell::new(0));
    let (handle, mut events) = Handle::new();
    let agent = || {
        let calls = calls.clone();
        async move {
            if fails == Fails::Unreached && calls.get() > 0 && began.elapsed() < NEWS {
                return Err(std::io::ErrorKind::ConnectionRefused.into());
            }
            let (ours, theirs) = tokio::io::duplex(1 << 16);
            tokio::task::spawn_local(serve_agent(theirs, fails, calls, began));
            open(ours).await
        }
    };
    let (fresh, _) = watch::channel(false);
    let site: SiteSettings =
        serde_json::from_str(r#"{"classes": [], "kinds": [], "zones": []}"#).unwrap();
    let mut pace = Pace::new(Some(routers), None, seed);
    let told = async {
        loop {
            if let Some(CoreEvent::EndpointsUpdated(..)) = events.recv().await {
                break;
            }
        }
    };
    tokio::select! {
        () = follow(agent, Some(0), &site, &handle, &fresh, &mut pace) => unreachable!("it follows for ever"),
        () = told => {}
    }
    began.elapsed().saturating_sub(NEWS)
}

/// Guards against a fleet that goes on with the list it had. With 300 routers a watch that had fallen silent was left
/// after 24 s, and opened anew up to 56 s after that; a refused call was made again up to 30 s later.
#[test]
fn a_router_hears_what_failed_calls_kept_from_it_before_that_counts_as_told() {
    let ways = [
        Fails::Silent,
        Fails::Refuses,
        Fails::Unreached,
        Fails::Resets,
        Fails::Stops,
        Fails::Garbles,
    ];
    for (fails, routers) in ways
        .into_iter()
        .flat_map(|f| [1, 30, 300, 1_024].map(|n| (f, n)))
    {
        for seed in 0..10 {
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = runtime.enable_time().start_paused(true).build().unwrap();
            let local = tokio::task::LocalSet::new();
            let heard = local.block_on(&runtime, hears_after(fails, routers, seed));
            assert!(
                heard < TOLD,
                "{fails:?}: heard after {heard:?} with {routers} routers, seed {seed}"
            );
        }
    }
}

/// Guards against a list that is lost for one line of it.
#[test]
fn a_line_that_cannot_be_read_or_is_not_known_costs_itself_alone() {
    let site = r#"{"classes": [], "kinds": ["m"], "zones": ["a"]}"#;
    let site: SiteSettings = serde_json::from_str(site).unwrap();
    let line = |name: &str, address: &str, zone: &str, status: &str| {
        format!(
            r#"{{"name": "{name}", "address": "{address}",
                "zone": "{zone}", "type": "m", "group": 1, "status": "{status}"}}"#
        )
    };
    let lines = [
        line("good", "127.0.0.1:1", "a", "up"),
        line("no port", "127.0.0.1", "a", "up"),
        line("no zone", "127.0.0.1:2", "b", "up"),
        line("odd", "127.0.0.1:3", "a", "resting"),
        "7".to_owned(),
        "{}".to_owned(),
        line("good", "127.0.0.1:4", "a", "draining"),
        line("last", "127.0.0.1:5", "a", "up"),
        line("no port either", "127.0.0.1", "a", "draining"),
        line("no zone either", "127.0.0.1:2", "b", "removed"),
        r#"{"name": "bare", "status": "removed"}"#.to_owned(),
    ];
    let text = format!(
        "{{\"index\": 3,\n  \"snapshot\": true,\n  \"endpoints\": [{}]}}",
        lines.join(",\n    ")
    );
    let list: List = serde_json::from_str(&text).unwrap();
    let listed = list.listed(&site);
    let read: Vec<_> = listed
        .iter()
        .map(|l| (l.name.as_str(), l.address.port(), l.state))
        .collect();
    let [up, draining] = [EndpointState::Active, EndpointState::Draining];
    assert_eq!(
        read,
        [("good", 1, up), ("good", 4, draining), ("last", 5, up)]
    );
    // Lines that are left out must not hide that a server takes nothing new.
    assert_eq!(
        list.leaving(&site),
        ["no port either", "bare", "no zone either"]
    );
}

/// An agent that answers each call with the next of these lists, and notes what it is asked.
async fn serve_script(
    mut stream: tokio::io::DuplexStream,
    mut script: VecDeque<&'static str>,
    asked: Rc<RefCell<Vec<String>>>,
) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let request = String::from_utf8(std::mem::take(&mut head)).unwrap();
        asked
            .borrow_mut()
            .push(request.split(' ').nth(1).unwrap().to_owned());
        let Some(list) = script.pop_front() else {
            return std::future::pending().await;
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
            list.len()
        );
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

/// Guards against an old answer after a newer one, by which a server that drains would seem to be up: it is not taken,
/// and the whole list is asked for, which is what the service has now, also where its versions began anew.
#[tokio::test(start_paused = true)]
async fn an_older_list_is_not_taken_and_the_whole_one_is_asked_for_at_once() {
    const LINE: &str =
        r#"{"name": "s", "address": "127.0.0.1:1", "zone": "a", "type": "m", "status": "#;
    let list = |index: u64, status: &str| {
        let text =
            format!(r#"{{"index": {index}, "snapshot": true, "endpoints": [{LINE}"{status}"}}]}}"#);
        &*Box::leak(text.into_boxed_str())
    };
    let script = VecDeque::from([list(7, "draining"), list(3, "up"), list(2, "draining")]);
    let asked = Rc::new(RefCell::new(Vec::new()));
    let site: SiteSettings =
        serde_json::from_str(r#"{"classes": [], "kinds": ["m"], "zones": ["a"]}"#).unwrap();
    let (handle, mut events) = Handle::new();
    let agent = || {
        let (ours, theirs) = tokio::io::duplex(1 << 16);
        tokio::task::spawn_local(serve_script(theirs, script.clone(), asked.clone()));
        open(ours)
    };
    let (fresh, _) = watch::channel(false);
    let mut pace = Pace::new(Some(1), None, 1);
    let mut heard = Vec::new();
    let hearing = async {
        while heard.len() < 2 {
            if let Some(CoreEvent::EndpointsUpdated(
                EndpointListUpdate::Delta(lines) | EndpointListUpdate::Snapshot(lines),
            )) = events.recv().await
            {
                heard.push(lines[0].state);
            }
        }
    };
    let following = follow(agent, Some(5), &site, &handle, &fresh, &mut pace);
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            tokio::select! {
                () = following => unreachable!("it follows for ever"),
                () = hearing => {}
            }
        })
        .await;
    assert_eq!(heard, [EndpointState::Draining, EndpointState::Draining]);
    assert_eq!(asked.borrow()[0], "/discovery/hosts?from=5&hold_ms=0");
    assert!(asked.borrow()[1].starts_with("/discovery/hosts?from=7&hold_ms="));
    assert_eq!(asked.borrow()[2], "/discovery/hosts");
}
