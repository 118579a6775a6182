//! When a request is rejected: at once when it has no fair chance left to be served in time, and
//! not before.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

/// A driver with one prefill and one decode endpoint, whose rejections say when to retry.
fn driver(max_attempts: u32) -> Driver {
    let with_retry_after = Settings {
        retry_after: true,
        max_retry_after: Some(SECOND),
        ..settings(Idempotency::Idempotent)
    };
    let settings = Settings {
        max_attempts: Some(max_attempts),
        ..with_retry_after
    };
    Driver::new(
        settings,
        vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)],
    )
    .0
}

/// Serves requests one after the other; the prefill of each takes `prefill_time`.
fn serve(driver: &mut Driver, ids: std::ops::Range<u32>, prefill_time: Micros) {
    for id in ids {
        driver.arrive(request_spec(id, driver.now));
        driver.advance(prefill_time);
        driver.deliver(attempt_ended(id, 0, PREFILL, PREFILLED));
        let request_id = RequestId(id);
        driver.deliver(Event::StreamStarted {
            id: request_id,
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
    let rejection = |a| match a {
        Action::Reject { id, retry_after } => Some((id.0, retry_after)),
        _ => None,
    };
    actions.into_iter().filter_map(rejection).collect()
}

#[test]
fn a_request_with_too_little_time_left_is_rejected_at_once() {
    let mut driver = driver(4);
    serve(&mut driver, 0..60, 2 * SECOND);
    remove_the_prefill_endpoint(&mut driver);
    let with_little_time = RequestSpec {
        deadline: driver.now + SECOND / 2,
        ..request_spec(100, driver.now)
    };
    assert_eq!(
        rejections(driver.arrive(with_little_time)).len(),
        1,
        "responses take two seconds and only half a second is left"
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
        "half of its time is left, and responses are quick"
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
    let mut rejected: Vec<(Micros, u32, Micros)> = Vec::new();
    for id in ids.clone() {
        let at_once = rejections(driver.arrive(request_spec(id, start)));
        rejected.extend(
            at_once
                .into_iter()
                .map(|(id, retry_after)| (start, id, retry_after)),
        );
    }
    let later = driver.advance(5 * SECOND);
    rejected.extend(
        later
            .into_iter()
            .flat_map(|(at, a)| rejections([a]).into_iter().map(move |(i, p)| (at, i, p))),
    );
    assert_eq!(rejected.len(), ids.len());
    let early = rejected
        .iter()
        .filter(|(at, ..)| *at <= start + 2 * SECOND)
        .count();
    assert!(
        early >= 10,
        "only {early} of 20 were rejected within half of their time: {rejected:?}"
    );
    let all_have_retry_after = rejected
        .iter()
        .all(|(.., retry_after)| (1..=SECOND).contains(retry_after));
    assert!(
        all_have_retry_after,
        "each rejection says when to retry: {rejected:?}"
    );
}

#[test]
fn a_request_without_enough_attempts_left_is_rejected_at_once() {
    for (attempt_limit, rejection_count) in [(3, 1), (4, 0)] {
        let mut driver = driver(attempt_limit);
        driver.arrive(request_spec(1, driver.now));
        driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED));
        let without_kv_state = attempt_ended(1, 1, DECODE, NO_KV_STATE);
        let rejected = rejections(driver.deliver(without_kv_state));
        assert_eq!(
            rejected.len(),
            rejection_count,
            "a prefill and a decode need two of {attempt_limit} attempts"
        );
        let all_have_retry_after = rejected
            .iter()
            .all(|(_, retry_after)| (1..=SECOND).contains(retry_after));
        assert!(
            all_have_retry_after,
            "each rejection says when to retry: {rejected:?}"
        );
    }
}

#[test]
fn no_retry_after_where_the_settings_do_not_allow_it() {
    let without_retry_after = Settings {
        max_retry_after: Some(SECOND),
        ..settings(Idempotency::Idempotent)
    };
    let (mut driver, _) = Driver::new(without_retry_after, vec![endpoint_spec(DECODE, 1, 0)]);
    driver.arrive(request_spec(1, driver.now));
    let rejected = rejections(driver.advance(5 * SECOND).into_iter().map(|(_, a)| a));
    assert_eq!(rejected, vec![(1, 0)]);
}
