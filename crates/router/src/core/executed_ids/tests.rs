//! Tests of the ids that are remembered.

use super::*;

/// Guards against memory that grows with the number of requests.
#[test]
fn only_the_latest_ids_are_remembered() {
    let mut executed = ExecutedIds::default();
    for number in 0..=MAX_IDS {
        executed.insert(&number.to_string());
        executed.insert(&number.to_string());
    }
    assert!(!executed.contains("0"));
    assert!((1..=MAX_IDS).all(|number| executed.contains(&number.to_string())));
    assert_eq!(
        (executed.hashes.len(), executed.order.len()),
        (MAX_IDS, MAX_IDS)
    );
}
