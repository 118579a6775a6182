//! Tests of the deficit round robin.

use super::*;

const fn flow(tenant: u64) -> Flow {
    Flow { class: 0, tenant }
}

/// Runs `turns` turns, in which each batch is ready again as soon as it has been served, and
/// returns the number of tokens that each tenant sent. Each entry of `batches` consists of an id, a
/// tenant and the tokens per slice.
fn send_repeatedly(batches: &[(u64, u64, u64)], quantum: u64, turns: usize) -> HashMap<u64, u64> {
    let mut tokens_by_tenant = HashMap::new();
    let mut round_robin = DeficitRoundRobin::new(quantum);
    for (batch, tenant, _) in batches {
        round_robin.push(flow(*tenant), *batch);
    }
    for _ in 0..turns {
        let size = |batch: u64| batches.iter().find(|b| b.0 == batch).map(|b| b.2);
        let batch = round_robin.next(size).unwrap();
        let (_, tenant, tokens) = batches.iter().find(|b| b.0 == batch).unwrap();
        *tokens_by_tenant.entry(*tenant).or_default() += tokens;
        round_robin.push(flow(*tenant), batch);
    }
    tokens_by_tenant
}

#[test]
fn flows_get_equal_tokens_whatever_their_slice_sizes_and_batch_counts() {
    // Tenant 1 has ten batches; tenants 2 and 3 have one each. Slices differ in size.
    let mut batches = vec![(100, 2, 300), (200, 3, 5_000)];
    batches.extend((0..10).map(|n| (n, 1, 700)));
    let tokens_by_tenant = send_repeatedly(&batches, 500, 4_000);
    let (least, most) = (
        tokens_by_tenant.values().min().unwrap(),
        tokens_by_tenant.values().max().unwrap(),
    );
    assert!(most - least <= 10_000, "{tokens_by_tenant:?}");
    assert!(*least > 300_000);
}

#[test]
fn batches_of_one_flow_take_turns() {
    let mut round_robin = DeficitRoundRobin::new(100);
    for batch in 1..=3 {
        round_robin.push(flow(1), batch);
    }
    let mut order = Vec::new();
    for _ in 0..6 {
        let batch = round_robin.next(|_| Some(10)).unwrap();
        order.push(batch);
        round_robin.push(flow(1), batch);
    }
    assert_eq!(order, [1, 2, 3, 1, 2, 3]);
}

#[test]
fn batches_and_flows_that_are_no_longer_ready_are_skipped_and_removed() {
    let mut round_robin = DeficitRoundRobin::new(100);
    for n in 0..1_000 {
        round_robin.push(flow(n), n);
    }
    assert_eq!(
        round_robin.next(|batch| (batch == 999).then_some(250)),
        Some(999)
    );
    assert_eq!(round_robin.next(|_| Some(1)), None);
    // The flow of batch 999 is in debt and is kept until idle flows are removed.
    assert_eq!(round_robin.flow_count(), 1);
    round_robin.remove_idle_flows();
    assert_eq!(round_robin.flow_count(), 0);
}

#[test]
fn a_slice_larger_than_the_quantum_is_sent_at_once_and_charged_to_later_rounds() {
    let mut round_robin = DeficitRoundRobin::new(10);
    round_robin.push(flow(1), 1);
    assert_eq!(round_robin.next(|_| Some(1_000_000)), Some(1));
    round_robin.push(flow(1), 1);
    round_robin.push(flow(2), 2);
    let size = |batch| Some(if batch == 1 { 1_000_000 } else { 1_000 });
    for _ in 0..900 {
        assert_eq!(round_robin.next(size), Some(2));
        round_robin.push(flow(2), 2);
    }
}
