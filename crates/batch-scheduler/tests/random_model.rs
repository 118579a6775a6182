//! Property test that compares the scheduler with a model under random steps.

mod common;

use std::collections::HashMap;

use common::{flow, load, scheduler, MS};
use cranetack_batch_scheduler::{
    BatchId, BatchOutcome, BatchScheduler, BatchSpec, Micros, Rejection, SliceDispatch,
    SliceFailure,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_IN_FLIGHT: usize = 3;
const MAX_OPEN_BATCHES: usize = 6;

/// The model's state of an open batch.
struct ModelBatch {
    items: usize,
    deadline: Micros,
    is_idempotent: bool,
    served: usize,
    in_flight: Option<SliceDispatch>,
    /// Index before which items may have been executed in slices that failed.
    may_have_been_executed: usize,
    outcome: Option<BatchOutcome>,
}

/// A step of the test. A `usize` selects one of the batches to which the step applies.
#[derive(Debug, Clone)]
enum Step {
    Open {
        item_tokens: Vec<u32>,
        tenant: u64,
        timeout: Micros,
        is_idempotent: bool,
    },
    Dispatch,
    Succeed(usize),
    Fail(usize, SliceFailure),
    Close(usize),
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let open = (
        proptest::collection::vec(1..300_u32, 1..20),
        0..3_u64,
        1..400 * MS,
        any::<bool>(),
    );
    let open = open.prop_map(|(item_tokens, tenant, timeout, is_idempotent)| Step::Open {
        item_tokens,
        tenant,
        timeout,
        is_idempotent,
    });
    let rejected = |(n, retry_after)| Step::Fail(n, SliceFailure::Rejected { retry_after });
    let out_of_memory = |(n, retry_after)| Step::Fail(n, SliceFailure::OutOfMemory { retry_after });
    prop_oneof![
        2 => open,
        6 => Just(Step::Dispatch),
        6 => (0..9_usize).prop_map(Step::Succeed),
        2 => (0..9_usize).prop_map(|n| Step::Fail(n, SliceFailure::Failed)),
        2 => (0..9_usize, 0..30 * MS).prop_map(rejected),
        2 => (0..9_usize, 0..30 * MS).prop_map(out_of_memory),
        1 => (0..9_usize).prop_map(Step::Close),
        3 => (0..20 * MS).prop_map(Step::Wait),
    ]
}

/// The scheduler and a model of its batches, which checks these invariants after each step:
///
/// - A batch has at most one slice in flight. The slice begins with the first item that has not
///   been served, so that each item is served once and in order.
/// - Items that may have been executed are sent again only if the batch is idempotent.
/// - A batch has exactly one outcome, at the latest at its deadline, and no dispatch after it.
struct Model {
    scheduler: BatchScheduler,
    batches: HashMap<BatchId, ModelBatch>,
    now: Micros,
    successes: u32,
    retries: usize,
}

impl Model {
    fn new() -> Model {
        let scheduler = scheduler(|config| {
            config.max_in_flight = MAX_IN_FLIGHT;
            config.max_open_batches = MAX_OPEN_BATCHES;
        });
        Model {
            scheduler,
            batches: HashMap::new(),
            now: 0,
            successes: 0,
            retries: 0,
        }
    }

    /// Selects one of the batches with a slice in flight.
    fn choose_in_flight(&self, n: usize) -> Option<BatchId> {
        let in_flight = self.batches.iter().filter(|(_, b)| b.in_flight.is_some());
        choose(in_flight.map(|(id, _)| *id).collect(), n)
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Open {
                item_tokens,
                tenant,
                timeout,
                is_idempotent,
            } => {
                let spec = BatchSpec {
                    flow: flow(0, tenant),
                    item_tokens,
                    shared_tokens: 5,
                    initial_slice_tokens: 100,
                    deadline: self.now + timeout,
                    is_idempotent,
                };
                self.open(spec)?;
            }
            Step::Dispatch => self.dispatch()?,
            Step::Succeed(n) => {
                if let Some(id) = self.choose_in_flight(n) {
                    let batch = self.batches.get_mut(&id).unwrap();
                    batch.served = batch.in_flight.take().unwrap().items.end;
                    self.successes += 1;
                    self.scheduler.slice_succeeded(self.now, id);
                }
            }
            Step::Fail(n, failure) => {
                if let Some(id) = self.choose_in_flight(n) {
                    let batch = self.batches.get_mut(&id).unwrap();
                    let slice = batch.in_flight.take().unwrap();
                    if failure == SliceFailure::Failed {
                        batch.may_have_been_executed = slice.items.end;
                    }
                    self.scheduler.slice_failed(self.now, id, failure);
                }
            }
            Step::Close(n) => {
                if let Some(id) = choose(self.batches.keys().copied().collect(), n) {
                    self.scheduler.close(id);
                    self.batches.remove(&id);
                }
            }
            Step::Wait(duration) => {
                self.now += duration;
                self.scheduler.tick(self.now);
                prop_assert!(self.scheduler.next_wake().is_none_or(|at| at > self.now));
            }
        }
        Ok(())
    }

    fn open(&mut self, spec: BatchSpec) -> Result<(), TestCaseError> {
        let batch = ModelBatch {
            items: spec.item_tokens.len(),
            deadline: spec.deadline,
            is_idempotent: spec.is_idempotent,
            served: 0,
            in_flight: None,
            may_have_been_executed: 0,
            outcome: None,
        };
        let is_full = self.batches.len() >= MAX_OPEN_BATCHES;
        match self.scheduler.open(self.now, spec) {
            Ok(id) => {
                prop_assert!(!is_full);
                prop_assert!(self.batches.insert(id, batch).is_none());
            }
            Err(Rejection { retry_after }) => prop_assert!(retry_after > 0),
        }
        Ok(())
    }

    fn dispatch(&mut self) -> Result<(), TestCaseError> {
        let Some(dispatch) = self.scheduler.next_dispatch(self.now) else {
            return Ok(());
        };
        let items = dispatch.items.clone();
        let batch = self
            .batches
            .get_mut(&dispatch.batch)
            .expect("the dispatch is for an open batch");
        prop_assert!(batch.in_flight.is_none() && batch.outcome.is_none());
        prop_assert_eq!(items.start, batch.served);
        prop_assert!(items.end > items.start && items.end <= batch.items);
        prop_assert!(
            batch.is_idempotent || items.start >= batch.may_have_been_executed,
            "items of a non-idempotent batch were sent again after they may have been executed"
        );
        self.retries += usize::from(items.start < batch.may_have_been_executed);
        batch.in_flight = Some(dispatch);
        Ok(())
    }

    fn check_outcomes(&mut self) -> Result<(), TestCaseError> {
        while let Some((id, outcome)) = self.scheduler.next_outcome() {
            let batch = self
                .batches
                .get_mut(&id)
                .expect("the outcome is for an open batch");
            prop_assert!(
                batch.outcome.replace(outcome).is_none(),
                "the batch has two outcomes"
            );
            let is_completed = outcome == BatchOutcome::Completed;
            prop_assert_eq!(is_completed, batch.served == batch.items);
            prop_assert!(outcome != BatchOutcome::DeadlineExceeded || self.now >= batch.deadline);
            let is_rejected = matches!(outcome, BatchOutcome::Rejected(_));
            prop_assert!(
                !is_rejected
                    || batch.is_idempotent
                    || batch.may_have_been_executed.max(batch.served) == 0,
                "a non-idempotent batch was rejected after items may have been executed"
            );
            batch.in_flight = None;
        }
        Ok(())
    }

    fn check_load_and_deadlines(&self) -> Result<(), TestCaseError> {
        let in_flight = self.batches.values().filter(|b| b.in_flight.is_some());
        let in_flight = in_flight.count();
        prop_assert_eq!(self.scheduler.load(), load(self.batches.len(), in_flight));
        prop_assert!(in_flight <= MAX_IN_FLIGHT);
        prop_assert!(
            self.batches
                .values()
                .all(|b| b.outcome.is_some() || b.deadline >= self.now),
            "an open batch has no outcome after its deadline"
        );
        // The budget starts with 10 retries, and each success adds 0.2.
        prop_assert!(self.retries as f64 <= 10.0 + 0.2 * f64::from(self.successes) + 1e-9);
        Ok(())
    }

    fn close_all(&mut self) {
        for id in self.batches.keys() {
            self.scheduler.close(*id);
        }
    }
}

/// Selects one of the batches by index, modulo their number.
fn choose(mut ids: Vec<BatchId>, n: usize) -> Option<BatchId> {
    ids.sort();
    if ids.is_empty() {
        return None;
    }
    Some(ids[n % ids.len()])
}

fn check_steps(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut model = Model::new();
    for step in steps {
        model.apply(step)?;
        model.check_outcomes()?;
        model.check_load_and_deadlines()?;
    }
    model.close_all();
    let scheduler = &model.scheduler;
    prop_assert_eq!(
        (scheduler.load(), scheduler.next_wake()),
        (load(0, 0), None)
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]
    #[test]
    fn no_sequence_of_steps_violates_an_invariant(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        check_steps(steps)?;
    }
}
