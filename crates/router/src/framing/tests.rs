//! Tests with messages that arrive in two parts, split at each of their bytes.

use super::*;

/// Returns what is observed once all of the text has arrived, and asserts that it is the same
/// wherever the text is split between two reads.
fn observe_at_end<T: PartialEq + std::fmt::Debug>(
    new_framing: fn() -> Framing,
    text: &str,
    observe: impl Fn(&Framing) -> T,
) -> T {
    let observe_split_at = |split: usize| {
        let mut framing = new_framing();
        framing.push(&text.as_bytes()[..split]);
        framing.push(&text.as_bytes()[split..]);
        observe(&framing)
    };
    let unsplit = observe_split_at(0);
    for split in 0..=text.len() {
        assert_eq!(
            observe_split_at(split),
            unsplit,
            "{text:?} split at byte {split}"
        );
    }
    unsplit
}

/// A request with both a content length and a transfer encoding must be detected as ambiguous,
/// whichever header comes first and however it is written; otherwise a request could be smuggled in
/// its body. Headers within a body must not count.
#[test]
fn content_length_beside_transfer_encoding_is_ambiguous_and_a_body_is_not_a_head() {
    const BOTH: &str = "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n";
    for (text, is_between_messages, is_last_message, has_ambiguous_length) in [
        (format!("POST /x HTTP/1.1\r\n{BOTH}"), false, true, true),
        (
            "POST /x HTTP/1.1\nTRANSFER-Encoding:chunked\nContent-LENGTH:3\n\n".into(),
            false,
            true,
            true,
        ),
        (
            "\r\nPOST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(),
            false,
            true,
            false,
        ),
        (
            format!(
                "POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n{BOTH}",
                BOTH.len()
            ),
            true,
            false,
            false,
        ),
        (
            "GET /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\n\r\n".into(),
            true,
            false,
            false,
        ),
        (
            format!("GET /x HTTP/1.1\r\n\r\nPOST /x HTTP/1.1\r\n{BOTH}"),
            false,
            true,
            true,
        ),
        (
            "GET /x HTTP/1.1\r\nContent-Length: 5\r\n\r\n1234".into(),
            false,
            false,
            false,
        ),
        ("GET /x HT".into(), false, false, false),
    ] {
        let observe = |f: &Framing| {
            (
                f.is_between_messages(),
                f.is_last_message(),
                f.has_ambiguous_length(),
            )
        };
        assert_eq!(
            observe_at_end(Framing::of_requests, &text, observe),
            (is_between_messages, is_last_message, has_ambiguous_length),
            "{text:?}"
        );
    }
}

#[test]
fn chunks_of_a_response_are_tracked_to_its_end() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let early_hints = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
    let observe = |f: &Framing| {
        (
            f.is_between_messages(),
            f.is_in_head(),
            f.is_in_chunk(),
            f.is_invalid(),
        )
    };
    for (text, expected) in [
        (
            format!("{early_hints}{head}3;x=y\r\nabc\r\n0\r\nt: u\r\n\r\n"),
            (true, false, false, false),
        ),
        (format!("{head}3\r\nabc\r\n"), (false, false, false, false)),
        (format!("{head}3\r\nab"), (false, false, true, false)),
        (format!("{head}1f"), (false, false, true, false)),
        (
            format!("{head}c0000000\r\nabc"),
            (false, false, false, true),
        ),
        (format!("{head}zz\r\n"), (false, false, false, true)),
        (
            format!("{head}0\r\n\r\nHTTP/1.1 2"),
            (false, true, false, false),
        ),
        (
            "HTTP/1.1 204 No Content\r\n\r\n".into(),
            (true, false, false, false),
        ),
        (
            "HTTP/1.1 503 X\r\ncontent-length: 2\r\n\r\nab".into(),
            (true, false, false, false),
        ),
        (
            "HTTP/1.1 200 OK\r\n\r\nab".into(),
            (false, false, false, false),
        ),
    ] {
        assert_eq!(
            observe_at_end(Framing::of_responses, &text, observe),
            expected,
            "{text:?}"
        );
    }
}
