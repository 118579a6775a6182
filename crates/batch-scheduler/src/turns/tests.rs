//! Tests of `turns`.

use super::*;

const fn flow(tenant: u64) -> Flow {
    Flow { class: 0, tenant }
}

/// Plays turns in which a batch is ready again as soon as it has been served; gives each flow's tokens.
fn play(batches: &[(u64, u64, u64)], quantum: u64, turns: usize) -> HashMap<u64, u64> {
    let mut given = HashMap::new();
    let mut all = Turns::new(quantum);
    batches
        .iter()
        .for_each(|(batch, tenant, _)| all.push(flow(*tenant), *batch));
    for _ in 0..turns {
        let size = |batch: u64| batches.iter().find(|b| b.0 == batch).map(|b| b.2);
        let batch = all.next(size).unwrap();
        let (_, tenant, tokens) = batches.iter().find(|b| b.0 == batch).unwrap();
        *given.entry(*tenant).or_default() += tokens;
        all.push(flow(*tenant), batch);
    }
    given
}

#[test]
fn flows_get_the_same_tokens_whatever_their_slices_and_number_of_batches() {
    // One tenant with ten batches, one with one; large slices beside small ones.
    let mut batches = vec![(100, 2, 300), (200, 3, 5_000)];
    batches.extend((0..10).map(|n| (n, 1, 700)));
    let given = play(&batches, 500, 4_000);
    let (least, most) = (given.values().min().unwrap(), given.values().max().unwrap());
    assert!(most - least <= 10_000, "{given:?}");
    assert!(*least > 300_000);
}

#[test]
fn batches_of_one_flow_take_turns() {
    let mut turns = Turns::new(100);
    (1..=3).for_each(|batch| turns.push(flow(1), batch));
    let mut order = Vec::new();
    for _ in 0..6 {
        let batch = turns.next(|_| Some(10)).unwrap();
        order.push(batch);
        turns.push(flow(1), batch);
    }
    assert_eq!(order, [1, 2, 3, 1, 2, 3]);
}

#[test]
fn batches_and_flows_that_are_gone_are_passed_over_and_forgotten() {
    let mut turns = Turns::new(100);
    (0..1_000).for_each(|n| turns.push(flow(n), n));
    assert_eq!(turns.next(|batch| (batch == 999).then_some(250)), Some(999));
    assert_eq!(turns.next(|_| Some(1)), None);
    // The one that owes is known until all is settled.
    assert_eq!(turns.known(), 1);
    turns.settle();
    assert_eq!(turns.known(), 0);
}

#[test]
fn a_large_slice_is_not_held_up_and_is_paid_for_later() {
    let mut turns = Turns::new(10);
    turns.push(flow(1), 1);
    assert_eq!(turns.next(|_| Some(1_000_000)), Some(1));
    turns.push(flow(1), 1);
    turns.push(flow(2), 2);
    let size = |batch| Some(if batch == 1 { 1_000_000 } else { 1_000 });
    for _ in 0..900 {
        assert_eq!(turns.next(size), Some(2));
        turns.push(flow(2), 2);
    }
}
