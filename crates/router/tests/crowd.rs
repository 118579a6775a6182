//! The program as a process, with hundreds of misbehaving clients beside usual ones. The memory is
//! the least, and the descriptors are the most, with which routers are run.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cranetack_soak::crowd::client_kind::ClientKind;
use cranetack_soak::crowd::play::{play, Frontends, PlayOptions, PlaySignal};
use cranetack_soak::crowd::report::{PlayReport, UsualOutcome};
use cranetack_soak::crowd::servers::{ResponsePlan, ServerPace};
use tokio::task::LocalSet;

const MEMORY_MB: u64 = 32;
/// Memory of the released program before clients come. The program of the tests takes more.
const PROGRAM_MB: u64 = 8;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// With the usual clients, a little less than a third of the descriptors.
const CLIENTS: usize = 320;
/// Longest time to the first byte of a response that counts as not delayed by other clients.
const UNDELAYED: Duration = Duration::from_millis(300);

static PLAYING: Mutex<()> = Mutex::new(());

/// Plays clients of one kind at the program of this package.
fn play_crowd(name: &str, kind: ClientKind, edit: impl FnOnce(&mut PlayOptions)) -> PlayReport {
    let folder = std::env::temp_dir().join(format!("cranetack-{name}-{}", std::process::id()));
    let mut options = PlayOptions {
        program: env!("CARGO_BIN_EXE_cranetack").into(),
        folder: folder.clone(),
        kinds: vec![kind],
        clients: CLIENTS,
        frontends: Frontends::Platform,
        memory_mb: MEMORY_MB,
        sockets: 1_024,
        duration: Duration::from_secs(4),
        pace: ServerPace::default(),
        plan: ResponsePlan {
            events: 5,
            event_bytes: 90,
            gap_ms: 20,
        },
        body_bytes: 6_000,
        signal: None,
        has_mixed_endpoints: false,
    };
    edit(&mut options);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    // One crowd at a time, as each keeps two cores busy.
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let report = LocalSet::new().block_on(&runtime, play(options)).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    report
}

fn served(report: &PlayReport) -> usize {
    let outcome = UsualOutcome::Answered(200);
    report.outcomes.get(&outcome).copied().unwrap_or(0)
}

fn assert_within_memory(report: &PlayReport) {
    assert!(!report.has_crashed, "{report}");
    let limit = (MEMORY_MB - PROGRAM_MB) * BYTES_PER_MEGABYTE;
    assert!(report.memory_growth_bytes() <= limit, "{report}");
}

/// Half of the usual requests at least must be served, and none may be left without an answer.
fn assert_usual_clients_are_served(report: &PlayReport) {
    let total: usize = report.outcomes.values().sum();
    assert!(2 * served(report) >= total, "{report}");
    for lost in [
        UsualOutcome::Late,
        UsualOutcome::Broken,
        UsualOutcome::Closed,
    ] {
        assert!(!report.outcomes.contains_key(&lost), "{report}");
    }
}

#[test]
fn clients_that_read_large_events_slowly_stay_within_the_least_memory() {
    let report = play_crowd("events", ClientKind::SlowReaderOfLargeEvents, |options| {
        options.duration = Duration::from_secs(8);
    });
    assert_within_memory(&report);
    assert_usual_clients_are_served(&report);
}

#[test]
fn clients_that_read_slowly_do_not_keep_others_from_being_served() {
    let report = play_crowd("readers", ClientKind::SlowReader, |_| {});
    assert_within_memory(&report);
    assert_usual_clients_are_served(&report);
}

#[test]
fn clients_that_leave_much_unread_stay_within_the_least_memory() {
    let report = play_crowd("leavers", ClientKind::Leaver, |_| {});
    assert_within_memory(&report);
}

#[test]
fn clients_that_send_whole_requests_at_once_stay_within_the_least_memory() {
    let report = play_crowd("requests", ClientKind::WholeRequests, |_| {});
    assert_within_memory(&report);
}

#[test]
fn a_client_that_sends_new_names_at_full_speed_delays_no_other_response() {
    let report = play_crowd("names", ClientKind::NewNames, |options| options.clients = 1);
    assert_usual_clients_are_served(&report);
    assert!(report.latency(0.9) <= UNDELAYED, "{report}");
}

#[test]
fn a_restart_beside_slow_readers_keeps_within_the_memory_and_executes_nothing_twice() {
    let report = play_crowd("restart", ClientKind::SlowReader, |options| {
        options.signal = Some(PlaySignal::Restart);
        options.duration = Duration::from_secs(6);
    });
    assert_within_memory(&report);
    assert_eq!(report.duplicates, 0, "{report}");
}
