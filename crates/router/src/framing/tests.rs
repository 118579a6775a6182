//! Tests of `framing`.

use super::*;

/// What holds at the end, wherever reads split the text.
fn at_end<T: PartialEq + std::fmt::Debug>(
    new: fn() -> Framing,
    text: &str,
    seen: impl Fn(&Framing) -> T,
) -> T {
    let one = |split: usize| {
        let mut framing = new();
        framing.take(&text.as_bytes()[..split]);
        framing.take(&text.as_bytes()[split..]);
        seen(&framing)
    };
    let whole = one(0);
    (0..=text.len()).for_each(|split| assert_eq!(one(split), whole, "{text:?} split at {split}"));
    whole
}

/// Guards against a hidden request: whichever header comes first, however written, wherever reads split.
#[test]
fn a_length_beside_an_encoding_is_seen_and_a_body_is_not_taken_for_a_head() {
    const BOTH: &str = "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n";
    for (text, between, last, ambiguous) in [
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
        let seen = |f: &Framing| (f.is_between(), f.is_last(), f.is_ambiguous());
        assert_eq!(
            at_end(Framing::of_requests, &text, seen),
            (between, last, ambiguous),
            "{text:?}"
        );
    }
}

/// Guards against a part without end, and against an answer's end that is missed or found too early.
#[test]
fn an_answers_parts_are_followed_to_its_end() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let early = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
    let seen = |f: &Framing| {
        (
            f.is_between(),
            f.is_in_head(),
            f.is_in_part(),
            f.is_spoilt(),
        )
    };
    for (text, expected) in [
        (
            format!("{early}{head}3;x=y\r\nabc\r\n0\r\nt: u\r\n\r\n"),
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
            at_end(Framing::of_answers, &text, seen),
            expected,
            "{text:?}"
        );
    }
}
