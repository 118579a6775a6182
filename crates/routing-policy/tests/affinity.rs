//! Where a session's affinity target lies when zones differ in load.

mod common;

use common::*;
use cranetack_routing_policy::*;

/// Returns the share of new sessions that are prefilled outside the router's own zone, where a
/// prefill takes `local_prefill_time` in that zone and `remote_prefill_time` in the others.
fn share_in_other_zones(local_prefill_time: Micros, remote_prefill_time: Micros) -> f64 {
    let entry = |endpoint: u64, kind, zone: usize| EndpointSpec {
        zone: ZoneId(zone),
        ..endpoint_spec(endpoint + 10 * zone as u64, kind, zone as i64)
    };
    let specs = (0..3)
        .flat_map(|zone| (0..6).map(move |place| entry(place, usize::from(place > 2), zone)))
        .collect();
    let settings = Settings {
        zone: Some(ZoneId(0)),
        router_count: Some(100),
        ..settings(Idempotency::Idempotent)
    };
    let (mut driver, _) = Driver::new(settings, specs);
    let mut elsewhere = 0;
    for id in 0..150 {
        let session = Some(SessionId(u64::from(id) * 7919));
        let sent = routes(&driver.arrive(RequestSpec {
            session,
            ..request_spec(id, driver.now)
        }));
        let prefill = sent[0].1;
        driver.advance(if prefill < 10 {
            local_prefill_time
        } else {
            remote_prefill_time
        });
        let decode = routes(&driver.deliver(attempt_ended(id, 0, prefill, PREFILLED)))[0].1;
        let started = Event::StreamStarted {
            id: RequestId(id),
            attempt: 1,
            endpoint: EndpointId(decode),
            elapsed: 1,
        };
        driver.deliver(started);
        driver.deliver(attempt_ended(id, 1, decode, Outcome::Completed));
        driver.advance(SECOND / 10);
        elsewhere += u32::from(id >= 50 && prefill >= 10);
    }
    f64::from(elsewhere) / 100.0
}

#[test]
fn sessions_leave_a_zone_whose_prefills_are_late_while_others_are_quick() {
    let elsewhere = share_in_other_zones(SECOND, SECOND / 50);
    assert!(
        elsewhere > 0.3,
        "a share of {elsewhere} of the sessions is prefilled in other zones"
    );
}

#[test]
fn sessions_stay_in_a_zone_that_is_quick_or_when_all_are_late() {
    for (local_prefill_time, remote_prefill_time) in
        [(SECOND / 50, SECOND / 50), (SECOND / 50, SECOND)]
    {
        let elsewhere = share_in_other_zones(local_prefill_time, remote_prefill_time);
        assert!(
            elsewhere < 0.05,
            "a share of {elsewhere} of the sessions is prefilled in other zones"
        );
    }
}

/// Returns the share of new sessions that go to mixed endpoints, where a prefill takes
/// `prefill_endpoint_time` at prefill endpoints and `mixed_endpoint_time` at mixed ones.
fn share_at_mixed_endpoints(prefill_endpoint_time: Micros, mixed_endpoint_time: Micros) -> f64 {
    let specs = (0..12)
        .map(|place| endpoint_spec(place, [0, 1, 2][place as usize / 4], 0))
        .collect();
    let (mut driver, _) = Driver::new(
        Settings {
            router_count: Some(100),
            ..settings(Idempotency::Idempotent)
        },
        specs,
    );
    let mut mixed = 0;
    for id in 0..150 {
        let session = Some(SessionId(u64::from(id) * 7919));
        let sent = routes(&driver.arrive(RequestSpec {
            session,
            ..request_spec(id, driver.now)
        }));
        let endpoint = sent[0].1;
        driver.advance(if endpoint < 8 {
            prefill_endpoint_time
        } else {
            mixed_endpoint_time
        });
        let is_split = endpoint < 4;
        let streaming = if is_split {
            routes(&driver.deliver(attempt_ended(id, 0, endpoint, PREFILLED)))[0].1
        } else {
            endpoint
        };
        let attempt = u32::from(is_split);
        driver.deliver(Event::StreamStarted {
            id: RequestId(id),
            attempt,
            endpoint: EndpointId(streaming),
            elapsed: 1,
        });
        driver.deliver(attempt_ended(id, attempt, streaming, Outcome::Completed));
        driver.advance(SECOND / 10);
        mixed += u32::from(id >= 50 && !is_split);
    }
    f64::from(mixed) / 100.0
}

#[test]
fn mixed_endpoints_do_not_stand_idle_while_prefills_are_late() {
    let (when_quick, when_late) = (
        share_at_mixed_endpoints(SECOND / 50, SECOND / 50),
        share_at_mixed_endpoints(SECOND, SECOND / 50),
    );
    assert!(
        when_late > when_quick + 0.15,
        "share at mixed endpoints: {when_late} while prefills are late, {when_quick} otherwise"
    );
}

/// Returns the share of new sessions that routers of zone 0 have prefilled in other zones. `cold`
/// says for each zone whether its prefill endpoints have just started.
fn share_in_other_zones_with_cold_endpoints(cold: [bool; 3]) -> f64 {
    let entry = |endpoint: u64, kind, zone: usize| EndpointSpec {
        zone: ZoneId(zone),
        started_at: (kind == 0 && cold[zone]).then_some(START - SECOND),
        ..endpoint_spec(endpoint + 10 * zone as u64, kind, zone as i64)
    };
    let specs: Vec<EndpointSpec> = (0..3)
        .flat_map(|zone| (0..6).map(move |place| entry(place, usize::from(place > 2), zone)))
        .collect();
    let elsewhere = |seed: u64| {
        let settings = Settings {
            zone: Some(ZoneId(0)),
            router_count: Some(100),
            ..settings(Idempotency::Idempotent)
        };
        let (mut driver, _) = Driver::with_seed(settings, specs.clone(), seed);
        let session = Some(SessionId(seed * 7919));
        let sent = routes(&driver.arrive(RequestSpec {
            session,
            ..request_spec(1, driver.now)
        }));
        sent.iter().filter(|(_, prefill)| *prefill >= 10).count() as f64
    };
    (0..200).map(elsewhere).sum::<f64>() / 200.0
}

/// Where all prefill endpoints of a zone have just been replaced, the routers of that zone must not
/// keep all of its traffic there.
#[test]
fn sessions_leave_a_zone_that_is_colder_than_the_others() {
    let elsewhere = share_in_other_zones_with_cold_endpoints([true, false, false]);
    assert!(
        (0.4..0.9).contains(&elsewhere),
        "a share of {elsewhere} of the sessions is prefilled in other zones"
    );
    for cold in [[true; 3], [false; 3], [false, true, true]] {
        let elsewhere = share_in_other_zones_with_cold_endpoints(cold);
        assert!(
            elsewhere < 0.05,
            "a share of {elsewhere} of the sessions is prefilled in other zones, cold: {cold:?}"
        );
    }
}
