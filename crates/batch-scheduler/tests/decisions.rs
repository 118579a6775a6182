//! Tests of single decisions of the scheduler.

mod common;

use common::{flow, load, scheduler, MS};
use cranetack_batch_scheduler::{
    BatchId, BatchOutcome, BatchScheduler, BatchSpec, Micros, Rejection, SliceFailure,
};

fn batch_spec(tokens: &[u32], deadline: Micros) -> BatchSpec {
    BatchSpec {
        flow: flow(0, 1),
        item_tokens: tokens.to_vec(),
        shared_tokens: 0,
        initial_slice_tokens: 100,
        deadline,
        is_idempotent: true,
    }
}

#[test]
fn a_failed_slice_is_retried_alone_and_served_slices_are_kept() {
    let mut scheduler = scheduler(|_| ());
    let id = scheduler
        .open(0, batch_spec(&[50; 18], 9_000 * MS))
        .unwrap();
    let mut sent = Vec::new();
    let mut now = 0;
    loop {
        if let Some((ended_id, outcome)) = scheduler.next_outcome() {
            assert_eq!((ended_id, outcome), (id, BatchOutcome::Completed));
            break;
        }
        let dispatch = scheduler.next_dispatch(now).unwrap();
        assert!(
            scheduler.next_dispatch(now).is_none(),
            "the batch has more than one slice in flight"
        );
        sent.push(dispatch.items.clone());
        now += 10 * MS;
        match sent.len() {
            7 => scheduler.slice_failed(now, id, SliceFailure::Failed),
            _ => scheduler.slice_succeeded(now, id),
        }
    }
    assert_eq!(sent[6].start, sent[7].start);
    assert!(sent[7].end <= sent[6].end);
    let mut next = 0;
    for (_, items) in sent.iter().enumerate().filter(|(n, _)| *n != 6) {
        assert_eq!(items.start, next);
        next = items.end;
    }
    assert_eq!(next, 18);
}

#[test]
fn a_slice_that_may_have_been_executed_is_retried_only_if_idempotent() {
    for (is_idempotent, failure, outcome) in [
        (false, SliceFailure::Failed, Some(BatchOutcome::Failed)),
        (true, SliceFailure::Failed, None),
        (false, SliceFailure::OutOfMemory { retry_after: MS }, None),
        (
            true,
            SliceFailure::Rejected {
                retry_after: 7_000 * MS,
            },
            Some(BatchOutcome::Rejected(Rejection {
                retry_after: 7_000 * MS,
            })),
        ),
    ] {
        let mut scheduler = scheduler(|_| ());
        let id = scheduler
            .open(
                0,
                BatchSpec {
                    is_idempotent,
                    ..batch_spec(&[50], 900 * MS)
                },
            )
            .unwrap();
        scheduler.next_dispatch(0).unwrap();
        scheduler.slice_failed(MS, id, failure);
        assert_eq!(scheduler.next_outcome().map(|(_, o)| o), outcome);
        scheduler.tick(20 * MS);
        assert_eq!(
            scheduler.next_dispatch(20 * MS).is_some(),
            outcome.is_none()
        );
    }
}

/// Retries must not add to an overload: while no slice can be sent, the retry budget limits the
/// attempts.
#[test]
fn batches_are_rejected_promptly_with_a_retry_delay_while_the_router_lacks_memory() {
    let mut scheduler = scheduler(|config| config.max_in_flight = 100);
    let mut now = 0;
    let mut sent = 0;
    let mut rejected = 0;
    for _ in 0..40 {
        scheduler
            .open(now, batch_spec(&[50], now + 900_000 * MS))
            .unwrap();
    }
    while scheduler.load().open_batches > 0 {
        while let Some(dispatch) = scheduler.next_dispatch(now) {
            sent += 1;
            scheduler.slice_failed(
                now,
                dispatch.batch,
                SliceFailure::OutOfMemory {
                    retry_after: 7 * MS,
                },
            );
        }
        while let Some((id, outcome)) = scheduler.next_outcome() {
            assert!(
                matches!(outcome, BatchOutcome::Rejected(r) if r.retry_after > 0),
                "{outcome:?}"
            );
            rejected += 1;
            scheduler.close(id);
        }
        now = scheduler.next_wake().unwrap_or(now);
        scheduler.tick(now);
    }
    assert_eq!((rejected, sent), (40, 40 + 10));
    assert!(
        now < 400 * MS,
        "the last batch was rejected only at {now} us"
    );
}

#[test]
fn a_batch_that_cannot_meet_its_deadline_is_rejected_early() {
    let mut scheduler = scheduler(|_| ());
    let id = scheduler
        .open(0, batch_spec(&[100; 100], 1_000 * MS))
        .unwrap();
    let mut now = 0;
    let outcome = loop {
        if let Some((_, outcome)) = scheduler.next_outcome() {
            break outcome;
        }
        scheduler.next_dispatch(now).unwrap();
        now += 50 * MS;
        scheduler.slice_succeeded(now, id);
    };
    let BatchOutcome::Rejected(Rejection { retry_after }) = outcome else {
        panic!("{outcome:?}")
    };
    assert!(
        now <= 200 * MS && retry_after >= 1_000 * MS,
        "{now} {retry_after}"
    );
    scheduler.close(id);
    // Once the model has enough samples, a batch that would be late is rejected when it is opened.
    let small_batch = scheduler
        .open(now, batch_spec(&[100], now + 500 * MS))
        .unwrap();
    for _ in 0..6 {
        scheduler.next_dispatch(now);
        scheduler.slice_succeeded(now + 50 * MS, small_batch);
    }
    scheduler.close(small_batch);
    for n in 0..9 {
        let next_batch = scheduler
            .open(now, batch_spec(&[100], now + 500 * MS))
            .unwrap();
        scheduler.next_dispatch(now).unwrap();
        now += (50 + n) * MS;
        scheduler.slice_succeeded(now, next_batch);
        scheduler.close(next_batch);
    }
    assert!(scheduler
        .open(now, batch_spec(&[100; 100], now + 500 * MS))
        .is_err());
    assert!(scheduler
        .open(now, batch_spec(&[100; 2], now + 500 * MS))
        .is_ok());
}

/// Batches of the same tenant take turns, so that a short batch completes before the long ones. A
/// tenant with one batch gets as many tokens as a tenant with many batches.
#[test]
fn a_batch_does_not_wait_until_longer_batches_end() {
    let mut scheduler = scheduler(|config| config.max_in_flight = 1);
    let distant_deadline = 1_000_000_000 * MS;
    for _ in 0..20 {
        scheduler
            .open(0, batch_spec(&[10; 4_000], distant_deadline))
            .unwrap();
    }
    let mut now = 0;
    let mut serve_until = |scheduler: &mut BatchScheduler, until: BatchId| {
        let mut slices = 0;
        loop {
            let dispatch = scheduler.next_dispatch(now).unwrap();
            now += MS + 10 * dispatch.tokens as Micros;
            slices += 1;
            scheduler.slice_succeeded(now, dispatch.batch);
            if scheduler.next_outcome().is_some_and(|(id, _)| id == until) {
                return slices;
            }
        }
    };
    let short_batch = scheduler
        .open(0, batch_spec(&[10; 3], distant_deadline))
        .unwrap();
    assert!(serve_until(&mut scheduler, short_batch) <= 21);
    let other_tenant_batch = scheduler
        .open(
            0,
            BatchSpec {
                flow: flow(0, 2),
                ..batch_spec(&[10; 40], distant_deadline)
            },
        )
        .unwrap();
    assert!(serve_until(&mut scheduler, other_tenant_batch) <= 60);
}

#[test]
fn a_batch_ends_at_its_deadline_in_any_state() {
    // States: 0 ready, 1 in flight, 2 ready after a served slice, 3 delayed after a failed slice.
    for state in 0..4 {
        let mut scheduler = scheduler(|_| ());
        let id = scheduler.open(0, batch_spec(&[50; 9], 30 * MS)).unwrap();
        if state > 0 {
            scheduler.next_dispatch(0).unwrap();
        }
        match state {
            2 => scheduler.slice_succeeded(MS, id),
            3 => scheduler.slice_failed(
                MS,
                id,
                SliceFailure::OutOfMemory {
                    retry_after: 5 * MS,
                },
            ),
            _ => {}
        }
        scheduler.tick(30 * MS);
        assert_eq!(
            scheduler.next_outcome(),
            Some((id, BatchOutcome::DeadlineExceeded)),
            "state {state}"
        );
        assert_eq!(
            (scheduler.load(), scheduler.next_dispatch(30 * MS)),
            (load(1, 0), None)
        );
        // Results that arrive after the outcome have no effect.
        scheduler.slice_succeeded(31 * MS, id);
        scheduler.slice_failed(31 * MS, id, SliceFailure::Failed);
        assert_eq!(scheduler.next_outcome(), None);
        scheduler.close(id);
    }
}
