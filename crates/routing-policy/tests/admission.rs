//! When a request is given up on: at once when it has no fair chance left, and not before.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

fn driver(max_attempts: u32) -> Driver {
    let advice = Settings {
        retry_after: true,
        max_retry_after: Some(SECOND),
        ..settings(Idempotency::Idempotent)
    };
    let settings = Settings {
        max_attempts: Some(max_attempts),
        ..advice
    };
    Driver::new(
        settings,
        vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)],
    )
    .0
}

/// Requests answered `span` after they were sent, one after the other.
fn serve(driver: &mut Driver, ids: std::ops::Range<u32>, span: Micros) {
    for id in ids {
        driver.arrive(request_spec(id, driver.now));
        driver.advance(span);
        driver.deliver(attempt_ended(id, 0, PREFILL, PREFILLED));
        let id_there = RequestId(id);
        driver.deliver(Event::StreamStarted {
            id: id_there,
            attempt: 1,
            endpoint: EndpointId(DECODE),
            elapsed: 1,
        });
        driver.deliver(attempt_ended(id, 1, DECODE, Outcome::Completed));
    }
}

fn remove_the_prefill_endpoint(driver: &mut Driver) {
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![
        endpoint_spec(DECODE, 1, 0),
    ])));
}

fn rejections(actions: impl IntoIterator<Item = Action>) -> Vec<(u32, Micros)> {
    let shed = |a| match a {
        Action::Reject { id, retry_after } => Some((id.0, retry_after)),
        _ => None,
    };
    actions.into_iter().filter_map(shed).collect()
}

#[test]
fn a_request_with_too_little_time_left_is_rejected_at_once() {
    let mut driver = driver(4);
    serve(&mut driver, 0..60, 2 * SECOND);
    remove_the_prefill_endpoint(&mut driver);
    let short = RequestSpec {
        deadline: driver.now + SECOND / 2,
        ..request_spec(100, driver.now)
    };
    assert_eq!(
        rejections(driver.arrive(short)).len(),
        1,
        "answers take two seconds, it has half of one"
    );
}

#[test]
fn a_request_with_a_fair_chance_waits_and_is_served_when_capacity_frees() {
    let mut driver = driver(4);
    serve(&mut driver, 0..60, SECOND / 10);
    remove_the_prefill_endpoint(&mut driver);
    assert_eq!(
        rejections(driver.arrive(request_spec(100, driver.now))),
        vec![]
    );
    let meanwhile = driver.advance(2 * SECOND).into_iter().map(|(_, a)| a);
    assert_eq!(
        rejections(meanwhile),
        vec![],
        "half of its time is left, and answers are quick"
    );
    let specs = vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)];
    assert_eq!(
        routes(&driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Snapshot(specs)))),
        vec![(100, PREFILL)]
    );
}

#[test]
fn a_queue_without_capacity_is_rejected_well_before_the_deadline_with_retry_after() {
    let mut driver = driver(4);
    remove_the_prefill_endpoint(&mut driver);
    let (start, ids) = (driver.now, 0..20);
    let mut answered: Vec<(Micros, u32, Micros)> = Vec::new();
    for id in ids.clone() {
        let now = rejections(driver.arrive(request_spec(id, start)));
        answered.extend(
            now.into_iter()
                .map(|(id, retry_after)| (start, id, retry_after)),
        );
    }
    let later = driver.advance(5 * SECOND);
    answered.extend(
        later
            .into_iter()
            .flat_map(|(at, a)| rejections([a]).into_iter().map(move |(i, p)| (at, i, p))),
    );
    assert_eq!(answered.len(), ids.len());
    let early = answered
        .iter()
        .filter(|(at, ..)| *at <= start + 2 * SECOND)
        .count();
    assert!(
        early >= 10,
        "only {early} of 20 were answered within half of their time: {answered:?}"
    );
    let advised = answered
        .iter()
        .all(|(.., retry_after)| (1..=SECOND).contains(retry_after));
    assert!(advised, "the client is told when to return: {answered:?}");
}

#[test]
fn a_request_without_enough_attempts_left_is_rejected_at_once() {
    for (most, refused) in [(3, 1), (4, 0)] {
        let mut driver = driver(most);
        driver.arrive(request_spec(1, driver.now));
        driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED));
        let gone = attempt_ended(1, 1, DECODE, NO_KV_STATE);
        let answers = rejections(driver.deliver(gone));
        assert_eq!(
            answers.len(),
            refused,
            "a read and an answer need two of {most} attempts"
        );
        let advised = answers
            .iter()
            .all(|(_, retry_after)| (1..=SECOND).contains(retry_after));
        assert!(advised, "the client is told when to return: {answers:?}");
    }
}

#[test]
fn no_retry_after_where_the_settings_do_not_allow_it() {
    let silent = Settings {
        max_retry_after: Some(SECOND),
        ..settings(Idempotency::Idempotent)
    };
    let (mut driver, _) = Driver::new(silent, vec![endpoint_spec(DECODE, 1, 0)]);
    driver.arrive(request_spec(1, driver.now));
    let answers = rejections(driver.advance(5 * SECOND).into_iter().map(|(_, a)| a));
    assert_eq!(answers, vec![(1, 0)]);
}
