//! Tests of splitting event streams.

use super::*;

#[test]
fn an_event_that_exceeds_the_maximum_size_is_rejected() {
    let mut events = EventSplitter::default();
    let part = vec![b'x'; 64 * 1024];
    assert!((0..64).any(|_| events.push(&part) == Err(InvalidEventStream)));
}
