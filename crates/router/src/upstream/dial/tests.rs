//! Failures to connect, by their kinds, on a paused clock.

use std::cell::Cell;

use super::*;

const MS: Duration = Duration::from_millis(1);

/// Connects with the first calls failing like this; the outcome, how many calls there were, and the time it took.
async fn dialled(code: i32, failures: usize) -> (Result<(), ConnectError>, usize, Duration) {
    let (calls, began) = (Cell::new(0), Instant::now());
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
    let outcome = dial(began + 250 * MS, connect).await;
    (outcome, calls.get(), began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_failure_of_this_machine_for_a_moment_costs_some_milliseconds() {
    // EINTR, EAGAIN, ENFILE, EMFILE, EADDRINUSE, EADDRNOTAVAIL, ENETUNREACH, ENOBUFS.
    for code in [4, 11, 23, 24, 98, 99, 101, 105] {
        let (outcome, calls, took) = dialled(code, 3).await;
        assert_eq!((outcome, calls), (Ok(()), 4), "{code}");
        assert!(took < 40 * MS, "{code}: {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn one_that_lasts_ends_in_time_and_is_not_the_servers() {
    let (outcome, _, took) = dialled(99, usize::MAX).await;
    assert_eq!(outcome, Err(ConnectError::Local));
    assert!(took <= 251 * MS, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_server_that_refuses_is_not_asked_again() {
    // ECONNREFUSED, EHOSTUNREACH, ETIMEDOUT, ECONNRESET.
    for code in [111, 113, 110, 104] {
        let (outcome, calls, _) = dialled(code, 1).await;
        assert_eq!((outcome, calls), (Err(ConnectError::Server), 1), "{code}");
    }
}
