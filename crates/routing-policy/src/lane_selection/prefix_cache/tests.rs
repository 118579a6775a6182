//! Tests of the bounds of what is remembered.

use super::*;

/// Guards against memory that grows with the number of endpoints and of new sessions.
#[test]
fn the_prompts_of_all_endpoints_together_are_limited() {
    assert_eq!(max_entries(0), MAX_ENTRIES);
    assert_eq!(max_entries(6), MAX_ENTRIES);
    for endpoint_count in [20, 100, 1_000] {
        assert!(max_entries(endpoint_count) * endpoint_count <= MAX_TOTAL_ENTRIES);
    }
    assert_eq!(max_entries(100_000), MIN_ENTRIES);
}
