//! Tests of the printed report.

use super::*;

#[test]
fn the_report_line_keeps_its_keys_and_their_order() {
    let report = Report {
        interference_before: Interference {
            chat_p99_ratio: 1.5,
            reranks_served: 21,
        },
        interference: Interference {
            chat_p99_ratio: 0.926,
            reranks_served: 20,
        },
        cancellation: Cancellation {
            release_p99_ms: 3.64,
            cancelled: 500.0,
        },
        served_share_before: 0.955,
        served_share: 1.0,
        duplicates: 0,
        large_bodies: LargeBodies {
            peak_memory_mb: 33.4,
            served: 2,
            rejected: 61,
        },
        direct: ChatLatency {
            p50_ms: 1.0,
            p99_ms: 2.0,
        },
        routed: ChatLatency {
            p50_ms: 1.25,
            p99_ms: 2.5,
        },
        throughput_before: 4948.4,
        throughput: 4887.0,
    };
    assert_eq!(
        report.to_string(),
        "front: chat_p99_ratio_before=1.50 chat_p99_ratio=0.93 reranks_before=21 reranks=20 \
         cancel_free_p99_ms=3.6 cancels=500 batch_ok_before=0.955 batch_ok=1.000 duplicates=0 \
         peak_mb=33 large_served=2 large_refused=61 added_p50_ms=0.250 added_p99_ms=0.500 \
         rps_core_before=4948 rps_core=4887"
    );
}
