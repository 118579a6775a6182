//! Tests of failures to connect, by kind of error, on a paused clock.

use std::cell::Cell;

use super::*;

const MS: Duration = Duration::from_millis(1);

struct DialResult {
    outcome: Result<(), ConnectError>,
    calls: usize,
    elapsed: Duration,
}

/// Dials while the first `failures` calls fail with the system error `code`.
async fn dial_failing(code: i32, failures: usize) -> DialResult {
    let calls = Cell::new(0);
    let started = Instant::now();
    let connect = || {
        calls.set(calls.get() + 1);
        let fails = calls.get() <= failures;
        async move {
            if fails {
                Err(io::Error::from_raw_os_error(code))
            } else {
                Ok(())
            }
        }
    };
    let outcome = dial(started + 250 * MS, connect).await;
    DialResult {
        outcome,
        calls: calls.get(),
        elapsed: started.elapsed(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_short_local_failure_delays_the_connection_by_milliseconds() {
    // EINTR, EAGAIN, ENFILE, EMFILE, EADDRINUSE, EADDRNOTAVAIL, ENETUNREACH, ENOBUFS.
    for code in [4, 11, 23, 24, 98, 99, 101, 105] {
        let dialled = dial_failing(code, 3).await;
        assert_eq!(
            (dialled.outcome, dialled.calls),
            (Ok(()), 4),
            "error {code}"
        );
        assert!(
            dialled.elapsed < 40 * MS,
            "error {code}: connected after {:?}",
            dialled.elapsed
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_lasting_local_failure_ends_in_time_and_does_not_count_against_the_endpoint() {
    let dialled = dial_failing(99, usize::MAX).await;
    assert_eq!(dialled.outcome, Err(ConnectError::LocalResources));
    assert!(
        dialled.elapsed <= 251 * MS,
        "failed after {:?}",
        dialled.elapsed
    );
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_the_endpoint_refuses_is_not_retried() {
    // ECONNREFUSED, EHOSTUNREACH, ETIMEDOUT, ECONNRESET.
    for code in [111, 113, 110, 104] {
        let dialled = dial_failing(code, 1).await;
        let refused = (Err(ConnectError::Endpoint), 1);
        assert_eq!((dialled.outcome, dialled.calls), refused, "error {code}");
    }
}
