//! Tests of the division of descriptors and memory.

use super::*;

/// Guards against requests that are not read until their time is over: clients may hold a third of
/// the descriptors, on whichever frontend.
#[test]
fn clients_may_hold_a_third_of_the_descriptors_with_and_without_the_inference_api() {
    for sockets in [64, 128, 256, 512, 1_024, 2_048, 4_096] {
        for memory_mb in [192.0, 512.0, 2_048.0] {
            let limits = Limits {
                sockets,
                memory_mb: Some(memory_mb),
            };
            for has_inference in [false, true] {
                let capacity = Capacity::new(&limits, has_inference);
                // With 64 descriptors, half of them are reserved.
                let third = if sockets == 64 { 16 } else { sockets / 3 };
                assert!(
                    capacity.client_connections >= third,
                    "{limits:?}: {capacity:?}"
                );
                let connections = capacity.client_connections + capacity.endpoint_connections;
                assert!(connections + RESERVED_DESCRIPTORS <= sockets);
            }
        }
    }
}

/// The parts together take no more than the memory, however many descriptors there are.
#[test]
fn connections_and_bodies_fit_into_the_memory() {
    for memory_mb in [96.0, 192.0, 512.0] {
        for sockets in [256, 1_024, 4_096] {
            for has_inference in [false, true] {
                let limits = Limits {
                    sockets,
                    memory_mb: Some(memory_mb),
                };
                let capacity = Capacity::new(&limits, has_inference);
                let mut bytes = PROGRAM_BYTES
                    + capacity.client_connections * CLIENT_CONNECTION_BYTES
                    + capacity.platform_body_bytes;
                if has_inference {
                    bytes += capacity.inference_body_bytes;
                }
                assert!(bytes <= limits.memory_bytes(), "{limits:?}: {capacity:?}");
            }
        }
    }
}

#[test]
fn without_a_memory_limit_only_the_descriptors_bound_the_connections() {
    let capacity = Capacity::new(&Limits::default(), true);
    assert_eq!(
        (capacity.client_connections, capacity.endpoint_connections),
        (496, 496)
    );
}
