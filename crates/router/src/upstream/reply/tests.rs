//! Tests of `reply`.

use super::*;

fn columns() -> Report {
    let (memory, pending) = (Some("x0".to_owned()), Some("x1".to_owned()));
    Report {
        memory_column: memory,
        pending_column: pending,
        ..Report::default()
    }
}

#[test]
fn heads_tell_what_may_have_run() {
    let mut not_run = HeaderMap::new();
    not_run.insert("x-not-run", "1".parse().unwrap());
    let none = HeaderMap::new();
    let error = || Reply::Ended(Outcome::ServerError);
    let full = |reason| Reply::Ended(Outcome::Rejected(reason));
    for (expected, status, headers, reply) in [
        (Expected::Answer, 200, &none, Reply::Stream),
        (Expected::State, 202, &none, Reply::Read),
        // Not what was asked for: a state from a writer, an answer from a reader.
        (Expected::Answer, 202, &none, error()),
        (Expected::State, 200, &none, error()),
        (Expected::Answer, 500, &none, error()),
        (Expected::Answer, 500, &not_run, error()),
        (Expected::Answer, 503, &none, error()),
        (
            Expected::Answer,
            503,
            &not_run,
            full(RejectReason::Overloaded),
        ),
        (
            Expected::State,
            503,
            &not_run,
            full(RejectReason::Overloaded),
        ),
        (
            Expected::Answer,
            504,
            &not_run,
            full(RejectReason::Overloaded),
        ),
        (
            Expected::Answer,
            410,
            &not_run,
            full(RejectReason::NoKvState),
        ),
        (Expected::Answer, 410, &none, error()),
        // The promise counts beside these statuses alone.
        (Expected::Answer, 200, &not_run, Reply::Stream),
        (Expected::Answer, 202, &not_run, error()),
        (Expected::Answer, 400, &not_run, error()),
        (Expected::Answer, 429, &not_run, error()),
        (Expected::Answer, 502, &not_run, error()),
    ] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(
            Reply::decode(expected, status, headers),
            reply,
            "{expected:?} {status}"
        );
    }
}

#[test]
fn reports_are_read_by_the_names_of_the_settings_and_nonsense_is_left_out() {
    let report = load(
        "TEXT inflight=7, queue=2, util=0.61, x0=0.4, x1=12.5, new=3",
        &columns(),
    );
    let whole = LoadReport {
        in_flight: Some(7.0),
        queued: Some(2.0),
        slot_utilization: Some(0.61),
        memory_utilization: Some(0.4),
        pending_kilotokens: Some(12.5),
    };
    assert_eq!(report, Some(whole));
    assert_eq!(load("x0=NaN,x1=,=5, util", &columns()), None);
}

#[test]
fn the_end_of_a_stream_tells_kept_tokens_and_load_however_it_is_split() {
    let text = "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n\
                : X-LoadReport: TEXT x0=0.25\n\n";
    let mut tail = Tail::default();
    tail.push(&vec![b'x'; 5_000]);
    text.as_bytes().chunks(7).for_each(|part| tail.push(part));
    let ended = tail.ended(&columns());
    assert_eq!(
        (
            ended.cached_tokens,
            ended.load.and_then(|l| l.memory_utilization)
        ),
        (4_096, Some(0.25))
    );
}

#[test]
fn a_readers_body_tells_kept_tokens() {
    assert_eq!(kept_tokens(b"{\"cached_tokens\":4096}"), 4_096);
    assert_eq!(kept_tokens(b"odd"), 0);
}
