//! Where a session's home lies when zones differ in load.

mod common;

use common::*;
use cranetack_routing_policy::*;

/// The share of new sessions that read away from our zone, where a read takes so long in our zone and elsewhere.
fn share_away(near: Micros, far: Micros) -> f64 {
    let line = |endpoint: u64, kind, zone: usize| EndpointSpec {
        zone: ZoneId(zone),
        ..member(endpoint + 10 * zone as u64, kind, zone as i64)
    };
    let members = (0..3)
        .flat_map(|z| (0..6).map(move |h| line(h, usize::from(h > 2), z)))
        .collect();
    let settings = Settings {
        zone: Some(ZoneId(0)),
        router_count: Some(100),
        ..settings(Idempotency::Idempotent)
    };
    let (mut front, _) = Front::new(settings, members);
    let mut away = 0;
    for id in 0..150 {
        let session = Some(SessionId(u64::from(id) * 7919));
        let sent = routes(&front.ask(RequestSpec {
            session,
            ..ask(id, front.now)
        }));
        let reader = sent[0].1;
        front.pass(if reader < 10 { near } else { far });
        let writer = routes(&front.on(result(id, 0, reader, PREFILLED)))[0].1;
        let started = Event::StreamStarted {
            id: RequestId(id),
            attempt: 1,
            endpoint: EndpointId(writer),
            elapsed: 1,
        };
        front.on(started);
        front.on(result(id, 1, writer, Outcome::Completed));
        front.pass(SECOND / 10);
        away += u32::from(id >= 50 && reader >= 10);
    }
    f64::from(away) / 100.0
}

#[test]
fn sessions_leave_a_zone_whose_readers_are_late_while_others_are_quick() {
    let away = share_away(SECOND, SECOND / 50);
    assert!(away > 0.3, "a share of {away} reads elsewhere");
}

#[test]
fn sessions_stay_in_their_zone_while_it_is_quick_or_all_are_late() {
    for (near, far) in [(SECOND / 50, SECOND / 50), (SECOND / 50, SECOND)] {
        let away = share_away(near, far);
        assert!(away < 0.05, "a share of {away} reads elsewhere");
    }
}

/// The share of new sessions that go to mixed servers, where a read takes so long at readers and there.
fn share_whole(at_readers: Micros, at_mixed: Micros) -> f64 {
    let members = (0..12)
        .map(|h| member(h, [0, 1, 2][h as usize / 4], 0))
        .collect();
    let (mut front, _) = Front::new(
        Settings {
            router_count: Some(100),
            ..settings(Idempotency::Idempotent)
        },
        members,
    );
    let mut whole = 0;
    for id in 0..150 {
        let session = Some(SessionId(u64::from(id) * 7919));
        let sent = routes(&front.ask(RequestSpec {
            session,
            ..ask(id, front.now)
        }));
        let endpoint = sent[0].1;
        front.pass(if endpoint < 8 { at_readers } else { at_mixed });
        let read = endpoint < 4;
        let server = if read {
            routes(&front.on(result(id, 0, endpoint, PREFILLED)))[0].1
        } else {
            endpoint
        };
        let attempt = u32::from(read);
        front.on(Event::StreamStarted {
            id: RequestId(id),
            attempt,
            endpoint: EndpointId(server),
            elapsed: 1,
        });
        front.on(result(id, attempt, server, Outcome::Completed));
        front.pass(SECOND / 10);
        whole += u32::from(id >= 50 && !read);
    }
    f64::from(whole) / 100.0
}

#[test]
fn mixed_servers_do_not_stand_idle_while_readers_are_late() {
    let (even, jammed) = (
        share_whole(SECOND / 50, SECOND / 50),
        share_whole(SECOND, SECOND / 50),
    );
    assert!(
        jammed > even + 0.15,
        "a share of {jammed} while readers are late, {even} while they are not"
    );
}

/// The share of new sessions of dispatchers of zone 0 that read elsewhere, as far as readers of each zone are cold.
fn share_away_of(cold: [bool; 3]) -> f64 {
    let line = |endpoint: u64, kind, zone: usize| EndpointSpec {
        zone: ZoneId(zone),
        started_at: (kind == 0 && cold[zone]).then_some(START - SECOND),
        ..member(endpoint + 10 * zone as u64, kind, zone as i64)
    };
    let members: Vec<EndpointSpec> = (0..3)
        .flat_map(|z| (0..6).map(move |h| line(h, usize::from(h > 2), z)))
        .collect();
    let away = |seed: u64| {
        let settings = Settings {
            zone: Some(ZoneId(0)),
            router_count: Some(100),
            ..settings(Idempotency::Idempotent)
        };
        let (mut front, _) = Front::seeded(settings, members.clone(), seed);
        let session = Some(SessionId(seed * 7919));
        let sent = routes(&front.ask(RequestSpec {
            session,
            ..ask(1, front.now)
        }));
        sent.iter().filter(|(_, reader)| *reader >= 10).count() as f64
    };
    (0..200).map(away).sum::<f64>() / 200.0
}

/// Guards against a zone whose servers have all just been replaced: its dispatchers would keep its traffic there.
#[test]
fn sessions_leave_a_zone_as_far_as_its_readers_are_colder_than_all() {
    let away = share_away_of([true, false, false]);
    assert!(
        (0.4..0.9).contains(&away),
        "a share of {away} reads elsewhere"
    );
    for cold in [[true; 3], [false; 3], [false, true, true]] {
        let away = share_away_of(cold);
        assert!(
            away < 0.05,
            "a share of {away} reads elsewhere though {cold:?} are cold"
        );
    }
}
