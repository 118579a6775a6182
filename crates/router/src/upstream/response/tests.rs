use super::*;

#[test]
fn a_head_decides_whether_the_request_may_have_been_executed() {
    let mut not_executed = HeaderMap::new();
    not_executed.insert("x-not-run", "1".parse().unwrap());
    let no_headers = HeaderMap::new();
    let error = || ResponseKind::Ended(Outcome::ServerError);
    let invalid = || ResponseKind::Ended(Outcome::InvalidRequest);
    let rejected = |reason| ResponseKind::Ended(Outcome::Rejected(reason));
    for (expected, status, headers, kind) in [
        (Expected::Stream, 200, &no_headers, ResponseKind::Stream),
        (Expected::KvState, 202, &no_headers, ResponseKind::Prefilled),
        // Not what was requested: KV state instead of a stream, a stream instead of KV state.
        (Expected::Stream, 202, &no_headers, error()),
        (Expected::KvState, 200, &no_headers, error()),
        (Expected::Stream, 500, &no_headers, error()),
        (Expected::Stream, 500, &not_executed, error()),
        (Expected::Stream, 503, &no_headers, error()),
        (
            Expected::Stream,
            503,
            &not_executed,
            rejected(RejectReason::Overloaded),
        ),
        (
            Expected::KvState,
            503,
            &not_executed,
            rejected(RejectReason::Overloaded),
        ),
        (
            Expected::Stream,
            504,
            &not_executed,
            rejected(RejectReason::Overloaded),
        ),
        (
            Expected::Stream,
            410,
            &not_executed,
            rejected(RejectReason::NoKvState),
        ),
        (Expected::Stream, 410, &no_headers, error()),
        // The protocol does not define the header for these statuses.
        (Expected::Stream, 200, &not_executed, ResponseKind::Stream),
        (Expected::Stream, 202, &not_executed, error()),
        (Expected::Stream, 400, &not_executed, invalid()),
        (Expected::KvState, 422, &no_headers, invalid()),
        (Expected::Stream, 429, &not_executed, error()),
        (Expected::Stream, 502, &not_executed, error()),
    ] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(
            ResponseKind::decode(expected, status, headers),
            kind,
            "response with status {status} where {expected:?} is expected"
        );
    }
}

#[test]
fn the_body_of_a_prefill_response_contains_the_number_of_cached_tokens() {
    assert_eq!(cached_tokens(b"{\"cached_tokens\":4096}"), 4_096);
    assert_eq!(cached_tokens(b"odd"), 0);
}
