//! Tests of the memory ledger.

use super::*;

const CAPACITY: usize = 8_000;

#[test]
fn connections_and_data_leave_a_part_of_the_capacity_to_each_other() {
    let ledger = MemoryLedger::new(CAPACITY);
    assert!(ledger.reserve(Purpose::Fixed, 7_001).is_none());
    let connections = ledger.reserve(Purpose::Fixed, 7_000).unwrap();
    assert!(ledger.reserve(Purpose::BulkData, 501).is_none());
    assert!(ledger.reserve(Purpose::BulkData, 500).is_some());
    drop(connections);
    assert_eq!(ledger.data_limit(), 1_500);
    assert!(ledger.reserve(Purpose::BulkData, 1_501).is_none());
    let _data = ledger.reserve(Purpose::BulkData, 1_500).unwrap();
    assert!(ledger.reserve(Purpose::Fixed, 5_001).is_none());
    assert!(ledger.reserve(Purpose::Fixed, 5_000).is_some());
}

#[test]
fn data_may_take_what_connections_cannot_need() {
    let ledger = MemoryLedger::with_fixed_need(CAPACITY, 1_000);
    assert_eq!(ledger.data_limit(), 3_500);
    assert!(ledger.reserve(Purpose::BulkData, 3_501).is_none());
    assert!(ledger.reserve(Purpose::BulkData, 3_500).is_some());
}

#[test]
fn a_reservation_of_data_returns_all_that_it_counted_as() {
    let ledger = MemoryLedger::new(CAPACITY);
    let mut reservation = ledger.empty_reservation(Purpose::ClientData);
    for bytes in [1, 3, 6, 7, 50] {
        reservation.grow_to(bytes);
        assert_eq!(ledger.reserved(), bytes + bytes / ALLOCATOR_DIVISOR);
    }
    reservation.shrink_to(2);
    assert_eq!((reservation.bytes(), ledger.reserved()), (2, 4));
    drop(reservation);
    assert_eq!(ledger.reserved(), 0);
}

/// Guards against small requests that are rejected because large ones hold all of the memory.
#[test]
fn however_many_large_bodies_there_are_small_ones_find_room() {
    let ledger = MemoryLedger::new(CAPACITY);
    let mut large = Vec::new();
    large.extend(std::iter::from_fn(|| {
        ledger.reserve(Purpose::ClientData, 200)
    }));
    assert!(large.len() > 3, "{} large bodies", large.len());
    for _ in 0..20 {
        large.push(ledger.reserve(Purpose::ClientData, 10).unwrap());
    }
}

#[test]
fn a_reservation_that_grows_in_steps_gets_no_more_than_one_that_is_made_at_once() {
    let ledger = MemoryLedger::new(CAPACITY);
    let mut reservation = ledger.empty_reservation(Purpose::ClientData);
    let mut bytes = 0;
    while reservation.try_grow_to(bytes + 10) {
        bytes += 10;
    }
    drop(reservation);
    assert!(ledger.reserve(Purpose::ClientData, bytes).is_some());
    assert!(ledger.reserve(Purpose::ClientData, bytes + 10).is_none());
}

/// Guards against requests that are rejected because clients at full speed fill the memory with what
/// waits behind their requests.
#[test]
fn what_waits_for_its_turn_leaves_room_for_the_bodies_of_requests() {
    let ledger = MemoryLedger::new(CAPACITY);
    let backlog: Vec<_> = std::iter::from_fn(|| ledger.reserve(Purpose::Backlog, 20)).collect();
    assert!(backlog.len() > 10);
    assert!(ledger.reserve(Purpose::ClientData, 100).is_some());
}

#[test]
fn what_is_held_already_counts_and_is_returned_when_it_is_dropped() {
    let ledger = MemoryLedger::new(CAPACITY);
    let mut reservation = ledger.empty_reservation(Purpose::Fixed);
    reservation.grow_to(9_000);
    assert!(ledger.reserve(Purpose::Fixed, 1).is_none());
    reservation.shrink_to(1_000);
    assert!(ledger.reserve(Purpose::Fixed, 1).is_some());
    drop(reservation);
    assert_eq!((ledger.reserved(), ledger.peak()), (0, 9_000));
    assert_eq!(ledger.refused(), 1);
}

#[test]
fn a_failed_reservation_makes_the_owners_of_idle_connections_close_some() {
    struct Owner(Cell<u32>);
    impl Reclaim for Owner {
        fn reclaim(&self) {
            self.0.set(self.0.get() + 1);
        }
    }
    let ledger = MemoryLedger::new(CAPACITY);
    let owner = Rc::new(Owner(Cell::default()));
    let weak: Weak<dyn Reclaim> = Rc::downgrade(&(owner.clone() as Rc<dyn Reclaim>));
    ledger.add_reclaimer(weak);
    assert!(ledger.reserve(Purpose::Fixed, CAPACITY).is_none());
    assert_eq!(owner.0.get(), 1);
    // Idle connections hold none of the memory of data.
    assert!(ledger.reserve(Purpose::ClientData, CAPACITY).is_none());
    assert_eq!(owner.0.get(), 1);
}

#[test]
fn a_ledger_without_a_limit_refuses_nothing() {
    let ledger = MemoryLedger::unlimited();
    let _first = ledger.reserve(Purpose::Fixed, usize::MAX / 16).unwrap();
    assert!(ledger.reserve(Purpose::ClientData, 1_000_000_000).is_some());
}
