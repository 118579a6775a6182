//! The courses, each with its settings, its endpoints and its script.

use cranetack_routing_policy::*;

use crate::common;
use crate::course::{Behaviour, Change, Course, MILLISECOND, SECOND};

fn class(idempotency: Idempotency, latency_objective: Micros, priority_weight: f64) -> Class {
    Class {
        latency_objective: Some(latency_objective),
        latency_objective_per_1000_tokens: Some(120_000.0),
        token_interval_objective: Some(70_000),
        idempotency,
        dedup_window: Some(2 * SECOND),
        priority_weight: Some(priority_weight),
    }
}

fn settings() -> Settings {
    Settings {
        router_count: Some(4),
        router_index: Some(1),
        zone: Some(ZoneId(0)),
        classes: vec![
            class(Idempotency::Idempotent, SECOND, 1.0),
            class(Idempotency::Keyed(KeyScope::All), 800 * MILLISECOND, 3.0),
            class(Idempotency::Keyed(KeyScope::Zone), 2 * SECOND, 0.5),
            class(Idempotency::Keyed(KeyScope::Cell), SECOND, 1.5),
            class(Idempotency::NonIdempotent, SECOND, 2.0),
        ],
        kinds: [Role::Prefill, Role::Decode, Role::Mixed]
            .map(|role| Kind {
                role: Some(role),
                memory_tokens: Some(100_000.0),
            })
            .to_vec(),
        event_interval: Some(2_000),
        slot_reservations: true,
        resumable_streams: true,
        kv_lease_timeout: Some(SECOND / 2),
        load_reporting: LoadReporting::WithOutcomes,
        cancellation: true,
        gossip: true,
        max_attempts: Some(4),
        retry_after: true,
        max_retry_after: Some(2 * SECOND),
        response_slack: Some(8_000),
        overload_multiple: Some(2.5),
        overload_window: Some(2 * SECOND),
        cold_capacity: Some(0.25),
        warm_up: Some(8 * SECOND),
        ..Settings::default()
    }
}

fn endpoint(number: u64, kind: usize, cell: i64) -> EndpointSpec {
    EndpointSpec {
        zone: ZoneId((cell / 2) as usize),
        ..common::endpoint_spec(number, kind, cell)
    }
}

/// Prefill endpoints 1 to 7 and decode endpoints 11 to 16, in four cells of two zones.
fn prefill_and_decode_endpoints() -> Vec<EndpointSpec> {
    let prefill_endpoints = (1..=7).map(|n| endpoint(n, 0, (n % 4) as i64));
    let decode_endpoints = (11..=16).map(|n| endpoint(n, 1, (n % 4) as i64));
    prefill_endpoints.chain(decode_endpoints).collect()
}

/// Mixed endpoints 21 to 25 and decode endpoints 11 and 12, in four cells of two zones.
fn mixed_and_decode_endpoints() -> Vec<EndpointSpec> {
    let mixed_endpoints = (21..=25).map(|n| endpoint(n, 2, (n % 4) as i64));
    let decode_endpoints = (11..=12).map(|n| endpoint(n, 1, (n % 4) as i64));
    mixed_endpoints.chain(decode_endpoints).collect()
}

fn calm_then_faults() -> Course {
    let mut course = Course::new(settings(), prefill_and_decode_endpoints(), 1);
    let script = vec![
        (0, Change::SetRate(25.0)),
        (4 * SECOND, Change::SetBehaviour(3, Behaviour::Failing)),
        (6 * SECOND, Change::SetBehaviour(12, Behaviour::Full)),
        (8 * SECOND, Change::SetBehaviour(5, Behaviour::Slow)),
        (10 * SECOND, Change::SetBehaviour(3, Behaviour::Normal)),
        (12 * SECOND, Change::RecordStatuses),
        (14 * SECOND, Change::SetBehaviour(12, Behaviour::Normal)),
        (15 * SECOND, Change::SetBehaviour(14, Behaviour::Silent)),
        (18 * SECOND, Change::SetBehaviour(2, Behaviour::Silent)),
        (22 * SECOND, Change::SetBehaviour(14, Behaviour::Normal)),
        (23 * SECOND, Change::RecordStatuses),
    ];
    course.play(26 * SECOND, script);
    course
}

fn list_updates() -> Course {
    let mut course = Course::new(settings(), prefill_and_decode_endpoints(), 2);
    let script = vec![
        (0, Change::SetRate(20.0)),
        (SECOND, Change::Snapshot),
        (3 * SECOND, Change::Drain(1)),
        (3 * SECOND, Change::Drain(11)),
        (5 * SECOND, Change::Remove(1)),
        (6 * SECOND, Change::Restart(11)),
        (7 * SECOND, Change::Add(endpoint(8, 0, 1))),
        (8 * SECOND, Change::PollFailed),
        (9 * SECOND, Change::Restart(2)),
        (9 * SECOND, Change::Restart(3)),
        (12 * SECOND, Change::RecordStatuses),
        (13 * SECOND, Change::Restored),
        (14 * SECOND, Change::Add(endpoint(17, 1, 3))),
        (16 * SECOND, Change::Remove(12)),
        (17 * SECOND, Change::Snapshot),
        (20 * SECOND, Change::RecordStatuses),
    ];
    course.play(24 * SECOND, script);
    course
}

fn slow_start_in_a_large_fleet() -> Course {
    let settings = Settings {
        router_count: Some(40),
        ..settings()
    };
    let mut course = Course::new(settings, prefill_and_decode_endpoints(), 3);
    let restarts = [1, 2, 3, 4, 11, 12, 13].map(|n| {
        (
            8 * SECOND + n as Micros * 20 * MILLISECOND,
            Change::Restart(n),
        )
    });
    let mut script = vec![
        (0, Change::SetRate(6.0)),
        (SECOND, Change::Snapshot),
        (8 * SECOND, Change::Snapshot),
    ];
    script.extend(restarts);
    script.push((10 * SECOND, Change::RecordStatuses));
    script.push((12 * SECOND, Change::SetRate(20.0)));
    course.play(20 * SECOND, script);
    course
}

fn overload() -> Course {
    let mut course = Course::new(settings(), prefill_and_decode_endpoints(), 4);
    let script = vec![
        (0, Change::SetRate(150.0)),
        (4 * SECOND, Change::SetBehaviour(2, Behaviour::Full)),
        (5 * SECOND, Change::SetBehaviour(13, Behaviour::Slow)),
        (8 * SECOND, Change::SetRate(15.0)),
        (12 * SECOND, Change::RecordStatuses),
    ];
    course.play(14 * SECOND, script);
    course
}

fn mixed_servers_that_report_on_probes() -> Course {
    let settings = Settings {
        load_reporting: LoadReporting::OnHealthCheck,
        health_checks: true,
        decode_can_prefill: true,
        slot_reservations: false,
        endpoints_are_polled: true,
        poll_interval: Some(3 * SECOND),
        router_count: Some(0),
        ..settings()
    };
    let mut course = Course::new(settings, mixed_and_decode_endpoints(), 5);
    let script = vec![
        (0, Change::SetRate(12.0)),
        (4 * SECOND, Change::SetBehaviour(22, Behaviour::Silent)),
        (6 * SECOND, Change::SetBehaviour(23, Behaviour::Slow)),
        (8 * SECOND, Change::Restart(24)),
        (9 * SECOND, Change::SetRate(50.0)),
        (11 * SECOND, Change::RecordStatuses),
        (12 * SECOND, Change::SetBehaviour(22, Behaviour::Normal)),
        (13 * SECOND, Change::SetRate(8.0)),
        (14 * SECOND, Change::Remove(21)),
    ];
    course.play(18 * SECOND, script);
    course
}

fn probes_before_prefills() -> Course {
    let settings = Settings {
        load_reporting: LoadReporting::OnHealthCheck,
        health_checks: true,
        ..settings()
    };
    let mut course = Course::new(settings, prefill_and_decode_endpoints(), 6);
    let script = vec![
        (0, Change::SetRate(6.0)),
        (5 * SECOND, Change::SetBehaviour(4, Behaviour::Silent)),
        (8 * SECOND, Change::SetRate(25.0)),
        (10 * SECOND, Change::SetBehaviour(4, Behaviour::Normal)),
        (11 * SECOND, Change::RecordStatuses),
    ];
    course.play(14 * SECOND, script);
    course
}

fn shutdown_with_gossip() -> Course {
    let settings = Settings {
        router_count: Some(9),
        ..settings()
    };
    let mut course = Course::new(settings, prefill_and_decode_endpoints(), 7);
    let script = vec![
        (0, Change::SetRate(40.0)),
        (SECOND, Change::PeerShutsDown(2)),
        (2 * SECOND, Change::PeerShutsDown(1)),
        (3 * SECOND, Change::PeerShutsDown(3)),
        (5 * SECOND, Change::SetBehaviour(6, Behaviour::Silent)),
        (5 * SECOND, Change::PeerShutsDown(5)),
        (
            6 * SECOND,
            Change::Shutdown {
                from: 700 * MILLISECOND,
                by: 3 * SECOND,
            },
        ),
        (6_500 * MILLISECOND, Change::SetRate(4.0)),
    ];
    course.play(12 * SECOND, script);
    course
}

fn shutdown_while_all_peers_are_away() -> Course {
    let settings = Settings {
        router_count: Some(3),
        ..settings()
    };
    let mut course = Course::new(settings, prefill_and_decode_endpoints(), 8);
    let script = vec![
        (0, Change::SetRate(30.0)),
        (2 * SECOND, Change::PeerShutsDown(0)),
        (2 * SECOND, Change::PeerShutsDown(2)),
        (
            3 * SECOND,
            Change::Shutdown {
                from: 500 * MILLISECOND,
                by: 6 * SECOND,
            },
        ),
        (4 * SECOND, Change::SetRate(10.0)),
    ];
    course.play(12 * SECOND, script);
    course
}

fn nothing_optional() -> Course {
    let settings = Settings {
        classes: vec![
            Class::default(),
            Class {
                idempotency: Idempotency::Idempotent,
                ..Class::default()
            },
        ],
        kinds: settings().kinds,
        ..Settings::default()
    };
    let mut course = Course::new(settings, prefill_and_decode_endpoints(), 9);
    let script = vec![
        (0, Change::SetRate(25.0)),
        (4 * SECOND, Change::Restart(3)),
        (5 * SECOND, Change::SetBehaviour(15, Behaviour::Silent)),
        (
            8 * SECOND,
            Change::Shutdown {
                from: SECOND,
                by: 2 * SECOND,
            },
        ),
    ];
    course.play(12 * SECOND, script);
    course
}

fn many_sessions_and_prefixes_in_skewed_cells() -> Course {
    let mut endpoints = prefill_and_decode_endpoints();
    endpoints.retain(|spec| spec.cell.0 != 2 || spec.kind.0 == 0);
    endpoints.extend((31..=33).map(|n| endpoint(n, 2, 1)));
    let settings = Settings {
        zone: Some(ZoneId(1)),
        cancellation: false,
        ..settings()
    };
    let mut course = Course::new(settings, endpoints, 10);
    let script = vec![
        (0, Change::SetRate(60.0)),
        (6 * SECOND, Change::SetBehaviour(31, Behaviour::Slow)),
        (8 * SECOND, Change::SetBehaviour(4, Behaviour::Slow)),
        (10 * SECOND, Change::RecordStatuses),
    ];
    course.play(16 * SECOND, script);
    course
}

fn zones_and_kinds_that_differ_in_lateness() -> Course {
    let prefill = (1..=20).map(|n| endpoint(n, 0, (n % 4) as i64));
    let decode = (41..=52).map(|n| endpoint(n, 1, (n % 4) as i64));
    let mixed = (61..=68).map(|n| endpoint(n, 2, (n % 4) as i64));
    let endpoints = prefill.chain(decode).chain(mixed).collect();
    let mut course = Course::new(settings(), endpoints, 11);
    let mut script = vec![
        (0, Change::SetRate(50.0)),
        (18 * SECOND, Change::RecordStatuses),
    ];
    // These prefill endpoints are in cells 0 and 1, which are the local zone.
    for n in [1, 4, 5, 8, 9, 12, 13] {
        script.push((5 * SECOND, Change::SetBehaviour(n, Behaviour::Slow)));
        script.push((14 * SECOND, Change::SetBehaviour(n, Behaviour::Normal)));
    }
    for n in [61, 64, 65, 68] {
        script.push((9 * SECOND, Change::SetBehaviour(n, Behaviour::Slow)));
    }
    course.play(20 * SECOND, script);
    course
}

fn one_lane_with_more_requests_than_it_serves() -> Course {
    let endpoints = vec![endpoint(1, 0, 0), endpoint(2, 0, 0), endpoint(11, 1, 0)];
    let mut course = Course::new(settings(), endpoints, 12);
    let script = vec![
        (0, Change::SetRate(6.0)),
        (3 * SECOND, Change::SetBehaviour(1, Behaviour::Slow)),
        (5 * SECOND, Change::SetRate(12.0)),
        (9 * SECOND, Change::SetRate(3.0)),
        (12 * SECOND, Change::SetBehaviour(1, Behaviour::Normal)),
        (14 * SECOND, Change::SetRate(20.0)),
        (16 * SECOND, Change::SetBehaviour(2, Behaviour::Slow)),
        (20 * SECOND, Change::SetRate(5.0)),
    ];
    course.play(26 * SECOND, script);
    course
}

fn polls_that_fail() -> Course {
    let settings = Settings {
        endpoints_are_polled: true,
        poll_interval: Some(300 * MILLISECOND),
        ..settings()
    };
    let mut course = Course::new(settings, prefill_and_decode_endpoints(), 13);
    course.play(10 * SECOND, vec![(0, Change::SetRate(3.0))]);
    course
}

fn most_endpoints_unresponsive_to_health_checks() -> Course {
    let settings = Settings {
        load_reporting: LoadReporting::OnHealthCheck,
        health_checks: true,
        ..settings()
    };
    let mut course = Course::new(settings, prefill_and_decode_endpoints(), 14);
    let mut script = vec![
        (0, Change::SetRate(4.0)),
        (12 * SECOND, Change::SetRate(1.0)),
        (20 * SECOND, Change::SetRate(8.0)),
    ];
    for n in [1, 2, 4, 5, 6] {
        script.push((6 * SECOND, Change::SetBehaviour(n, Behaviour::Silent)));
        script.push((22 * SECOND, Change::SetBehaviour(n, Behaviour::Normal)));
    }
    course.play(28 * SECOND, script);
    course
}

fn endpoints_that_fail_for_long() -> Course {
    let endpoints = (1..=3)
        .map(|n| endpoint(n, 0, 0))
        .chain((11..=12).map(|n| endpoint(n, 1, 0)))
        .collect();
    let mut course = Course::new(settings(), endpoints, 15);
    let script = vec![
        (0, Change::SetRate(10.0)),
        (2 * SECOND, Change::SetBehaviour(1, Behaviour::Failing)),
        (3 * SECOND, Change::SetBehaviour(2, Behaviour::Full)),
        (40 * SECOND, Change::SetBehaviour(1, Behaviour::Normal)),
    ];
    course.play(60 * SECOND, script);
    course
}

fn defaults_with_endpoints_in_slow_start() -> Course {
    let settings = Settings {
        classes: vec![Class::default()],
        kinds: settings().kinds,
        ..Settings::default()
    };
    let mut course = Course::new(settings, prefill_and_decode_endpoints(), 16);
    let mut script = vec![
        (0, Change::SetRate(4.0)),
        (SECOND, Change::Snapshot),
        (3 * SECOND, Change::SetRate(12.0)),
    ];
    for n in [1, 2, 3, 4, 5, 6, 11, 12, 13, 14] {
        let at = SECOND + 200 * MILLISECOND + n as Micros * 10 * MILLISECOND;
        script.push((at, Change::Restart(n)));
    }
    course.play(30 * SECOND, script);
    course
}

fn classes_without_priorities_and_long_pauses() -> Course {
    let unweighted = Class {
        priority_weight: None,
        ..class(Idempotency::Idempotent, SECOND, 1.0)
    };
    let light = class(Idempotency::Idempotent, SECOND, 0.9);
    let heavy = class(Idempotency::Idempotent, SECOND, 1.2);
    let settings = Settings {
        classes: vec![unweighted, light, heavy],
        ..settings()
    };
    let endpoints = vec![endpoint(1, 0, 0), endpoint(2, 0, 0), endpoint(11, 1, 0)];
    let mut course = Course::new(settings, endpoints, 17);
    let script = vec![
        (0, Change::SetRate(8.0)),
        (5 * SECOND, Change::SetRate(0.0)),
        (70 * SECOND, Change::SetRate(30.0)),
    ];
    course.play(76 * SECOND, script);
    course
}

/// All courses, with their names in `recorded.txt`.
pub(crate) fn courses() -> Vec<(&'static str, Course)> {
    vec![
        ("calm_then_faults", calm_then_faults()),
        ("list_updates", list_updates()),
        ("slow_start_in_a_large_fleet", slow_start_in_a_large_fleet()),
        ("overload", overload()),
        (
            "mixed_servers_that_report_on_probes",
            mixed_servers_that_report_on_probes(),
        ),
        ("probes_before_prefills", probes_before_prefills()),
        ("shutdown_with_gossip", shutdown_with_gossip()),
        (
            "shutdown_while_all_peers_are_away",
            shutdown_while_all_peers_are_away(),
        ),
        ("nothing_optional", nothing_optional()),
        (
            "many_sessions_and_prefixes_in_skewed_cells",
            many_sessions_and_prefixes_in_skewed_cells(),
        ),
        (
            "zones_and_kinds_that_differ_in_lateness",
            zones_and_kinds_that_differ_in_lateness(),
        ),
        (
            "one_lane_with_more_requests_than_it_serves",
            one_lane_with_more_requests_than_it_serves(),
        ),
        ("polls_that_fail", polls_that_fail()),
        (
            "most_endpoints_unresponsive_to_health_checks",
            most_endpoints_unresponsive_to_health_checks(),
        ),
        (
            "endpoints_that_fail_for_long",
            endpoints_that_fail_for_long(),
        ),
        (
            "defaults_with_endpoints_in_slow_start",
            defaults_with_endpoints_in_slow_start(),
        ),
        (
            "classes_without_priorities_and_long_pauses",
            classes_without_priorities_and_long_pauses(),
        ),
    ]
}
