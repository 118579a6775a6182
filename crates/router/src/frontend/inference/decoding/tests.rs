//! Tests of the order in which bodies are decoded.

use std::sync::mpsc;
use std::time::Duration;

use cranetack_testkit::run_test;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::*;
use crate::frontend::byte_budget::ByteBudget;
use crate::memory::MemoryLedger;

/// Guards against responses of others that are late because large bodies are being decoded.
#[test]
fn a_small_body_does_not_wait_for_large_ones() {
    run_test(async {
        let budget = ByteBudget::new(100_000_000, &MemoryLedger::unlimited());
        let decoder = BodyDecoder::new(BodyLimits::default());
        let (end_large, ended) = mpsc::channel::<()>();
        let large = Bytes::from(vec![b' '; INLINE_BODY_BYTES + 1]);
        let (large_decoder, reservation) = (decoder.clone(), budget.reserve(0).unwrap());
        let decoding = spawn_local(async move {
            let wait = move |_: Bytes, _: &BodyLimits| ended.recv().is_ok();
            large_decoder.decode(large, reservation, wait).await.is_ok()
        });
        tokio::task::yield_now().await;
        let small = Bytes::from_static(b"{}");
        let reservation = budget.reserve(0).unwrap();
        let decoded = decoder.decode(small, reservation, |body, _| body.len());
        let decoded = timeout(Duration::from_secs(1), decoded).await.unwrap();
        assert_eq!(decoded.ok().unwrap().value, 2);
        end_large.send(()).unwrap();
        assert!(decoding.await.unwrap());
    });
}
