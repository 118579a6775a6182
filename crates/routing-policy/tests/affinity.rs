//! Where a session's affinity target lies when zones differ in load.

mod common;

use common::*;
use cranetack_routing_policy::*;

/// The share of new sessions whose prefill is outside our zone, where a prefill takes so long in our
/// zone and elsewhere.
fn share_in_other_zones(near: Micros, far: Micros) -> f64 {
    let line = |endpoint: u64, kind, zone: usize| EndpointSpec {
        zone: ZoneId(zone),
        ..endpoint_spec(endpoint + 10 * zone as u64, kind, zone as i64)
    };
    let specs = (0..3)
        .flat_map(|z| (0..6).map(move |h| line(h, usize::from(h > 2), z)))
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
        driver.advance(if prefill < 10 { near } else { far });
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
    assert!(elsewhere > 0.3, "a share of {elsewhere} prefills elsewhere");
}

#[test]
fn sessions_stay_in_a_zone_that_is_quick_or_when_all_are_late() {
    for (near, far) in [(SECOND / 50, SECOND / 50), (SECOND / 50, SECOND)] {
        let elsewhere = share_in_other_zones(near, far);
        assert!(
            elsewhere < 0.05,
            "a share of {elsewhere} prefills elsewhere"
        );
    }
}

/// The share of new sessions that go to mixed endpoints, where a prefill takes so long at prefill
/// endpoints and there.
fn share_at_mixed_endpoints(at_readers: Micros, at_mixed: Micros) -> f64 {
    let specs = (0..12)
        .map(|h| endpoint_spec(h, [0, 1, 2][h as usize / 4], 0))
        .collect();
    let (mut driver, _) = Driver::new(
        Settings {
            router_count: Some(100),
            ..settings(Idempotency::Idempotent)
        },
        specs,
    );
    let mut whole = 0;
    for id in 0..150 {
        let session = Some(SessionId(u64::from(id) * 7919));
        let sent = routes(&driver.arrive(RequestSpec {
            session,
            ..request_spec(id, driver.now)
        }));
        let endpoint = sent[0].1;
        driver.advance(if endpoint < 8 { at_readers } else { at_mixed });
        let read = endpoint < 4;
        let server = if read {
            routes(&driver.deliver(attempt_ended(id, 0, endpoint, PREFILLED)))[0].1
        } else {
            endpoint
        };
        let attempt = u32::from(read);
        driver.deliver(Event::StreamStarted {
            id: RequestId(id),
            attempt,
            endpoint: EndpointId(server),
            elapsed: 1,
        });
        driver.deliver(attempt_ended(id, attempt, server, Outcome::Completed));
        driver.advance(SECOND / 10);
        whole += u32::from(id >= 50 && !read);
    }
    f64::from(whole) / 100.0
}

#[test]
fn mixed_endpoints_do_not_stand_idle_while_prefills_are_late() {
    let (even, jammed) = (
        share_at_mixed_endpoints(SECOND / 50, SECOND / 50),
        share_at_mixed_endpoints(SECOND, SECOND / 50),
    );
    assert!(
        jammed > even + 0.15,
        "a share of {jammed} while prefills are late, {even} while they are not"
    );
}

/// The share of new sessions of routers of zone 0 that read elsewhere, as far as prefill endpoints
/// of each zone are cold.
fn share_in_other_zones_with(cold: [bool; 3]) -> f64 {
    let line = |endpoint: u64, kind, zone: usize| EndpointSpec {
        zone: ZoneId(zone),
        started_at: (kind == 0 && cold[zone]).then_some(START - SECOND),
        ..endpoint_spec(endpoint + 10 * zone as u64, kind, zone as i64)
    };
    let specs: Vec<EndpointSpec> = (0..3)
        .flat_map(|z| (0..6).map(move |h| line(h, usize::from(h > 2), z)))
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

/// Where all endpoints of a zone have just been replaced, its routers would otherwise keep its
/// traffic there.
#[test]
fn sessions_leave_a_zone_as_far_as_it_is_colder_than_all() {
    let elsewhere = share_in_other_zones_with([true, false, false]);
    assert!(
        (0.4..0.9).contains(&elsewhere),
        "a share of {elsewhere} prefills elsewhere"
    );
    for cold in [[true; 3], [false; 3], [false, true, true]] {
        let elsewhere = share_in_other_zones_with(cold);
        assert!(
            elsewhere < 0.05,
            "a share of {elsewhere} prefills elsewhere though {cold:?} are cold"
        );
    }
}
