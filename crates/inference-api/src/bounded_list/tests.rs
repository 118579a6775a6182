//! Tests of the decoding of lists.

use super::*;

fn raw(text: &str) -> &RawValue {
    serde_json::from_str(text).unwrap()
}

/// Guards against memory that grows with the number of items: those beyond the limit are not
/// decoded.
#[test]
fn items_beyond_the_limit_are_counted_and_not_decoded() {
    let mut seen = Vec::new();
    let length = visit_items(raw("[1, 2, 3, {}, [4]]"), 3, |n: u32| seen.push(n)).unwrap();
    assert_eq!(seen, [1, 2, 3]);
    assert_eq!(length, ListLength { items: 5, limit: 3 });
    assert!(length.is_exceeded());
    assert!(!visit_items(raw("[1]"), 3, |_: u32| {})
        .unwrap()
        .is_exceeded());
}

#[test]
fn a_value_that_is_no_list_and_an_invalid_item_are_errors() {
    assert!(visit_items(raw("{}"), 3, |_: u32| {}).is_err());
    assert!(visit_items(raw("[1, \"x\"]"), 3, |_: u32| {}).is_err());
}
