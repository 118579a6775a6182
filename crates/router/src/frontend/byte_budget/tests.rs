//! Tests of the byte budget.

use super::*;

#[test]
fn request_bodies_leave_a_quarter_of_the_budget_free() {
    let budget = ByteBudget::new(100, &MemoryLedger::unlimited());
    let body = budget.reserve_for_request(70).unwrap();
    assert!(budget.reserve_for_request(6).is_none());
    assert!(budget.reserve(30).is_some());
    drop(body);
    assert!(budget.reserve_for_request(75).is_some());
}

#[test]
fn reservations_never_exceed_the_budget_and_are_returned_when_dropped() {
    let budget = ByteBudget::new(100, &MemoryLedger::unlimited());
    let mut first = budget.reserve(60).unwrap();
    assert!(budget.reserve(41).is_none());
    let second = budget.reserve(40).unwrap();
    assert!(!first.try_grow_to(61));
    drop(second);
    assert!(first.try_grow_to(100));
    first.shrink_to(10);
    assert_eq!((budget.reserved(), budget.peak()), (10, 100));
    drop(first);
    assert_eq!((budget.reserved(), budget.peak()), (0, 100));
}

/// Guards against parts that each keep within their own limit and together exceed the memory.
#[test]
fn a_budget_grants_no_more_than_the_memory_of_the_router_has() {
    let memory = MemoryLedger::new(8_000);
    let budget = ByteBudget::new(100_000, &memory);
    let others = memory.reserve(Purpose::Fixed, 7_000).unwrap();
    let mut reservation = budget.reserve(500).unwrap();
    assert!(!reservation.try_grow_to(501));
    drop(others);
    assert!(reservation.try_grow_to(1_500));
    reservation.shrink_to(10);
    assert_eq!((budget.reserved(), memory.reserved()), (10, 20));
}
