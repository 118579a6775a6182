//! Tests of the turns of connections.

use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use super::*;

/// Number of connections that always have something to do.
const BUSY_CONNECTIONS: usize = 20;

/// A connection that always has something to do, and counts its turns.
async fn busy_connection(turn_time: Duration, turns: Rc<Cell<usize>>) {
    poll_fn(|cx| {
        turns.set(turns.get() + 1);
        std::thread::sleep(turn_time);
        cx.waker().wake_by_ref();
        Poll::<()>::Pending
    })
    .await;
}

/// Runs busy connections until a timer of another task is due, and returns the number of turns that
/// each of them had.
fn run_busy_connections(turn_time: Duration, timer: Duration) -> Vec<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let turns = Rc::new(Turns::new());
        let granting = turns.clone();
        spawn_local(async move { granting.grant().await });
        let counts: Vec<_> = (0..BUSY_CONNECTIONS).map(|_| Rc::default()).collect();
        for count in &counts {
            let connection = Box::pin(busy_connection(turn_time, Rc::clone(count)));
            let turns = turns.clone();
            spawn_local(async move { turns.run(connection).await });
        }
        sleep(timer).await;
        counts
            .iter()
            .map(|count: &Rc<Cell<usize>>| count.get())
            .collect()
    })
}

/// Guards against responses to other clients that are late as long as one client sends at full
/// speed: the runtime looks for other events after each turn.
#[test]
fn other_events_are_processed_after_each_turn_of_a_busy_connection() {
    let counts = run_busy_connections(Duration::ZERO, Duration::from_millis(1));
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

/// Guards against responses to other clients that are late while many clients send at full speed:
/// after its first turn, each of them waits in a queue, so a round has only a few of their turns.
#[test]
fn a_round_has_only_a_few_long_turns_and_all_connections_get_theirs() {
    let turn_time = 2 * LONG_TURN;
    let rounds = 2 * BUSY_CONNECTIONS / LONG_TURNS_PER_ROUND;
    let timer = turn_time * (BUSY_CONNECTIONS + rounds * LONG_TURNS_PER_ROUND) as u32;
    let counts = run_busy_connections(turn_time, timer);
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*least >= 1 && most - least <= 1, "{counts:?}");
}

/// A connection that waits for its turn is not polled although it is woken, and does not miss that.
#[tokio::test]
async fn a_connection_that_waits_for_its_turn_continues_once_it_is_granted() {
    let turns = Turns::new();
    let polls = Cell::new(0);
    let connection = poll_fn(|cx| {
        polls.set(polls.get() + 1);
        if polls.get() == 2 {
            return Poll::Ready(());
        }
        std::thread::sleep(2 * LONG_TURN);
        cx.waker().wake_by_ref();
        Poll::Pending
    });
    let mut running = pin!(turns.run(connection));
    let mut cx = Context::from_waker(Waker::noop());
    for _ in 0..3 {
        assert!(running.as_mut().poll(&mut cx).is_pending());
        assert_eq!(polls.get(), 1);
    }
    assert!(!turns.grant_round());
    assert!(running.as_mut().poll(&mut cx).is_ready());
}
