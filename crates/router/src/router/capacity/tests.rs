//! Tests of the division of descriptors and memory.

use super::*;
use crate::memory::Purpose;

/// The descriptors with which the tests' routers run.
const SOCKETS: [usize; 7] = [64, 128, 256, 512, 1_024, 2_048, 4_096];

fn limits(sockets: usize, memory_mb: f64) -> Limits {
    Limits {
        sockets,
        memory_mb: Some(memory_mb),
    }
}

/// Guards against requests that are not read until their time is over: clients may hold a third of
/// the descriptors, on whichever frontend and with however little memory.
#[test]
fn clients_may_hold_a_third_of_the_descriptors_with_any_memory() {
    for sockets in SOCKETS {
        for memory_mb in [32.0, 64.0, 192.0, 512.0, 2_048.0] {
            let capacity = Capacity::new(&limits(sockets, memory_mb));
            // With 64 descriptors, half of them are reserved.
            let third = if sockets == 64 { 16 } else { sockets / 3 };
            assert!(
                capacity.client_connections >= third,
                "{sockets}, {memory_mb}: {capacity:?}"
            );
            let connections = capacity.client_connections + capacity.endpoint_connections;
            assert!(connections + RESERVED_DESCRIPTORS <= sockets);
        }
    }
}

/// Guards against clients that are only rejected although they may connect: with the least memory,
/// each of them can be served.
#[test]
fn a_third_of_the_descriptors_can_be_served_at_once_with_the_least_memory() {
    const LEAST_MEMORY_MB: f64 = 32.0;
    const SOCKETS: usize = 1_024;
    let capacity = Capacity::new(&limits(SOCKETS, LEAST_MEMORY_MB));
    let memory = capacity.memory_ledger();
    let bytes = ConnectionLimiter::BYTES_PER_REQUEST + upstream::CONNECTION_BYTES;
    let served: Vec<_> = (0..SOCKETS / 3)
        .map_while(|_| memory.reserve(Purpose::Fixed, bytes))
        .collect();
    assert_eq!(served.len(), SOCKETS / 3);
}

/// The parts together take no more than the memory, however many descriptors there are.
#[test]
fn connections_and_bodies_fit_into_the_memory() {
    for memory_mb in [32.0, 64.0, 96.0, 192.0, 512.0] {
        for sockets in SOCKETS {
            let limits = limits(sockets, memory_mb);
            let capacity = Capacity::new(&limits);
            // The bodies of the inference API are reserved in the ledger too.
            let bytes = PROGRAM_BYTES + capacity.ledger_bytes;
            assert!(bytes <= limits.memory_bytes(), "{limits:?}: {capacity:?}");
        }
    }
}

#[test]
fn without_a_memory_limit_only_the_descriptors_bound_the_connections() {
    let capacity = Capacity::new(&Limits::default());
    assert_eq!(
        (capacity.client_connections, capacity.endpoint_connections),
        (496, 496)
    );
}
