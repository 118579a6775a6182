//! The transfer of KV state from its prefill endpoint to a decode endpoint while the endpoint list
//! changes, and the release of KV state that is not fetched.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

/// The prompt has been processed, no endpoint can fetch its KV state yet, and the decode endpoint
/// of the lane is removed from the list: when the policy next considers the request, it must not
/// use the removed endpoint.
#[test]
fn kv_state_whose_decode_endpoint_was_removed_waits_for_another_one() {
    let (mut driver, _) = Driver::new(
        settings(Idempotency::NonIdempotent),
        vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)],
    );
    assert_eq!(
        routes(&driver.arrive(request_spec(1, driver.now))),
        vec![(1, PREFILL)]
    );
    let draining = EndpointSpec {
        state: EndpointState::Draining,
        ..endpoint_spec(DECODE, 1, 0)
    };
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![
        draining,
    ])));
    assert_eq!(
        routes(&driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED))),
        vec![],
        "the decode endpoint of its lane is draining"
    );
    let removed = EndpointSpec {
        state: EndpointState::Removed,
        ..endpoint_spec(DECODE, 1, 0)
    };
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![
        removed,
    ])));
    let other = DECODE + 1;
    let specs = vec![endpoint_spec(other, 1, 0)];
    assert_eq!(
        routes(&driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(specs)))),
        vec![(1, other)]
    );
}

fn releases(actions: impl IntoIterator<Item = Action>) -> usize {
    actions
        .into_iter()
        .filter(|action| matches!(action, Action::ReleaseState(_)))
        .count()
}

/// Connections can fall silent without an error, so the attempt to fetch KV state may never arrive.
/// The KV state must be released all the same; if the attempt has arrived, that changes nothing.
#[test]
fn kv_state_is_released_in_time_though_the_attempt_to_fetch_it_may_not_have_arrived() {
    let specs = vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)];
    let (mut driver, _) = Driver::new(settings(Idempotency::NonIdempotent), specs);
    for (id, response_begins) in [(1, false), (2, true)] {
        driver.arrive(request_spec(id, driver.now));
        assert_eq!(
            routes(&driver.deliver(attempt_ended(id, 0, PREFILL, PREFILLED))),
            vec![(id, DECODE)]
        );
        if response_begins {
            driver.deliver(Event::StreamStarted {
                id: RequestId(id),
                attempt: 1,
                endpoint: EndpointId(DECODE),
                elapsed: 1,
            });
        }
        let meanwhile = driver
            .advance(SECOND / 2)
            .into_iter()
            .map(|(_, action)| action);
        assert_eq!(
            releases(meanwhile),
            usize::from(!response_begins),
            "KV state is released unless its response has begun"
        );
        driver.deliver(attempt_ended(id, 1, DECODE, Outcome::Completed));
    }
}
