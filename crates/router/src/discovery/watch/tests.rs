//! Tests of watches of failing services, on a paused clock.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use cranetack_routing_policy::EndpointState;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

use super::*;
use crate::discovery::schedule::NOTIFICATION_TIMEOUT;

/// How a discovery service fails, from its second call until the list changes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FaultMode {
    /// The second call gets no response; later calls are served.
    NoResponse,
    /// Calls are rejected.
    Rejects,
    /// Connections are refused.
    RefusesConnections,
    /// Connections are closed as soon as a request arrives.
    ResetsConnections,
    /// The second response stops before its end.
    PartialResponse,
    /// Responses are not valid endpoint lists.
    InvalidResponse,
}

/// When the list changes and a service that could not be reached recovers.
const CHANGE_AT: Duration = Duration::from_millis(1_000);

/// Serves the calls over one connection; `calls` counts those of all connections.
async fn serve_with_faults(
    mut stream: tokio::io::DuplexStream,
    fault: FaultMode,
    calls: Rc<Cell<u32>>,
    started: Instant,
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
        let is_first = calls.get() == 1;
        let has_changed = started.elapsed() >= CHANGE_AT;
        let is_failing = !is_first
            && (!has_changed
                || (calls.get() == 2
                    && matches!(fault, FaultMode::NoResponse | FaultMode::PartialResponse)));
        let list = format!(
            r#"{{"index":{},"snapshot":{has_changed},"endpoints":[]}}"#,
            calls.get()
        );
        let (status, text) = match fault {
            FaultMode::NoResponse if is_failing => std::future::pending().await,
            FaultMode::Rejects if is_failing => ("503 Busy", String::new()),
            FaultMode::RefusesConnections | FaultMode::ResetsConnections if is_failing => return,
            FaultMode::InvalidResponse if is_failing => ("200 OK", list.replace('{', "[")),
            _ => ("200 OK", list),
        };
        let response = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        let is_partial = is_failing && fault == FaultMode::PartialResponse;
        let written_length = if is_partial {
            response.len() - 9
        } else {
            response.len()
        };
        let _ = stream
            .write_all(&response.as_bytes()[..written_length])
            .await;
        if is_partial {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns how long after a change of the list one of `routers` routers is notified of it, if the
/// service fails as `fault` says.
async fn notification_delay(fault: FaultMode, routers: u32, seed: u64) -> Duration {
    let started = Instant::now();
    let calls = Rc::new(Cell::new(0));
    let (handle, mut events) = Handle::new();
    let connect = || {
        let calls = calls.clone();
        async move {
            if fault == FaultMode::RefusesConnections
                && calls.get() > 0
                && started.elapsed() < CHANGE_AT
            {
                return Err(std::io::ErrorKind::ConnectionRefused.into());
            }
            let (client_side, service_side) = tokio::io::duplex(1 << 16);
            tokio::task::spawn_local(serve_with_faults(service_side, fault, calls, started));
            DiscoveryConnection::start(client_side).await
        }
    };
    let site = r#"{"classes": [], "kinds": [], "zones": []}"#;
    let mut list_watch = ListWatch {
        site: serde_json::from_str(site).unwrap(),
        handle,
        list_received: watch::channel(false).0,
        schedule: PollSchedule::new(Some(routers), None, seed),
    };
    let notified = async {
        loop {
            if let Some(CoreEvent::EndpointsUpdated(..)) = events.recv().await {
                break;
            }
        }
    };
    tokio::select! {
        () = list_watch.watch_address(connect, Some(0)) => unreachable!("the watch ended"),
        () = notified => {}
    }
    started.elapsed().saturating_sub(CHANGE_AT)
}

/// Whatever the number of routers, failed calls must not delay the notification of a change beyond
/// the time after which a router is considered notified.
#[test]
fn a_router_is_notified_of_a_change_in_time_after_failed_calls() {
    let faults = [
        FaultMode::NoResponse,
        FaultMode::Rejects,
        FaultMode::RefusesConnections,
        FaultMode::ResetsConnections,
        FaultMode::PartialResponse,
        FaultMode::InvalidResponse,
    ];
    for (fault, routers) in faults
        .into_iter()
        .flat_map(|fault| [1, 30, 300, 1_024].map(|routers| (fault, routers)))
    {
        for seed in 0..10 {
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = runtime.enable_time().start_paused(true).build().unwrap();
            let local = tokio::task::LocalSet::new();
            let delay = local.block_on(&runtime, notification_delay(fault, routers, seed));
            assert!(
                delay < NOTIFICATION_TIMEOUT,
                "{fault:?}: notified after {delay:?} with {routers} routers, seed {seed}"
            );
        }
    }
}

/// Responds to each call with the next list of `script` and records the request targets.
async fn serve_script(
    mut stream: tokio::io::DuplexStream,
    mut script: VecDeque<&'static str>,
    targets: Rc<RefCell<Vec<String>>>,
) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let request = String::from_utf8(std::mem::take(&mut head)).unwrap();
        targets
            .borrow_mut()
            .push(request.split(' ').nth(1).unwrap().to_owned());
        let Some(list) = script.pop_front() else {
            return std::future::pending().await;
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
            list.len()
        );
        stream.write_all(response.as_bytes()).await.unwrap();
    }
}

/// An older list could show a draining endpoint as active, so it must not be used. The complete
/// list is current even if the versions of the service have started again.
#[tokio::test(start_paused = true)]
async fn an_older_list_is_ignored_and_the_complete_one_is_fetched_at_once() {
    const ENTRY: &str =
        r#"{"name": "s", "address": "127.0.0.1:1", "zone": "a", "type": "m", "status": "#;
    let list = |index: u64, status: &str| {
        let text = format!(
            r#"{{"index": {index}, "snapshot": true, "endpoints": [{ENTRY}"{status}"}}]}}"#
        );
        &*Box::leak(text.into_boxed_str())
    };
    let script = VecDeque::from([list(7, "draining"), list(3, "up"), list(2, "draining")]);
    let targets = Rc::new(RefCell::new(Vec::new()));
    let site = r#"{"classes": [], "kinds": ["m"], "zones": ["a"]}"#;
    let (handle, mut events) = Handle::new();
    let connect = || {
        let (client_side, service_side) = tokio::io::duplex(1 << 16);
        tokio::task::spawn_local(serve_script(service_side, script.clone(), targets.clone()));
        DiscoveryConnection::start(client_side)
    };
    let mut list_watch = ListWatch {
        site: serde_json::from_str(site).unwrap(),
        handle,
        list_received: watch::channel(false).0,
        schedule: PollSchedule::new(Some(1), None, 1),
    };
    let mut states = Vec::new();
    let receiving = async {
        while states.len() < 2 {
            if let Some(CoreEvent::EndpointsUpdated(
                EndpointListUpdate::Delta(entries) | EndpointListUpdate::Snapshot(entries),
            )) = events.recv().await
            {
                states.push(entries[0].state);
            }
        }
    };
    let watching = list_watch.watch_address(connect, Some(5));
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            tokio::select! {
                () = watching => unreachable!("the watch ended"),
                () = receiving => {}
            }
        })
        .await;
    assert_eq!(states, [EndpointState::Draining, EndpointState::Draining]);
    assert_eq!(targets.borrow()[0], "/discovery/hosts?from=5&hold_ms=0");
    assert!(targets.borrow()[1].starts_with("/discovery/hosts?from=7&hold_ms="));
    assert_eq!(targets.borrow()[2], "/discovery/hosts");
}
