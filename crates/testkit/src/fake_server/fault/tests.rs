//! Tests of decoding the faults that requests ask for.

use super::*;

fn decode(id: &str, requested: &str) -> RequestedFault {
    RequestedFault::decode(id, format!("{{\"toy\": {requested}}}").as_bytes())
}

#[test]
fn behaviours_and_malformed_responses_keep_their_wire_names() {
    for (name, behaviour) in [
        ("answer", Behaviour::Answer),
        ("read", Behaviour::Prefill),
        ("hang", Behaviour::Hang),
        ("break", Behaviour::CloseConnection),
        ("break_stream", Behaviour::TruncateStream),
        ("stream_on", Behaviour::StreamEndlessly),
        ("full", Behaviour::Reject),
        ("error", Behaviour::Error),
    ] {
        let requested = decode("a", &format!("{{\"does\": \"{name}\"}}"));
        assert_eq!(requested.behaviour, Some(behaviour), "{name}");
    }
    for (name, malformed) in [
        ("missing", MalformedResponse::MissingItem),
        ("doubled", MalformedResponse::DuplicateItem),
        ("out_of_range", MalformedResponse::IndexOutOfRange),
        ("nan", MalformedResponse::NotANumber),
        ("not_json", MalformedResponse::NotJson),
    ] {
        let requested = decode("a", &format!("{{\"spoils\": \"{name}\"}}"));
        assert_eq!(requested.malformed, Some(malformed), "{name}");
    }
}

#[test]
fn a_fault_for_one_slice_keeps_the_service_time_of_other_slices() {
    let requested = "{\"does\": \"break\", \"on\": 6, \"times\": 1, \"ms\": 5}";
    let slice = decode("batch.6", requested);
    assert_eq!(slice.behaviour, Some(Behaviour::CloseConnection));
    assert_eq!(slice.repetitions, Some(1));
    for id in ["batch.5", "batch"] {
        let other = decode(id, requested);
        assert_eq!(other.behaviour, None, "{id}");
        assert_eq!(other.service_time(), Some(Duration::from_millis(5)), "{id}");
    }
}
