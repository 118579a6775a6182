//! Tests of decoding requests of the platform API.

use super::*;

fn head(headers: &[(&str, &str)]) -> RequestHead {
    let request = Request::post("/v1/chat/completions?a=b");
    let request = headers
        .iter()
        .fold(request, |r, (name, value)| r.header(*name, *value));
    request.body(()).unwrap().into_parts().0
}

fn classes() -> Vec<String> {
    vec!["lookup".to_owned(), "order".to_owned()]
}

const HEADERS: [(&str, &str); 5] = [
    ("X-Request-Id", "9b1f"),
    ("X-Class", "order"),
    ("X-Key", "7f3a"),
    ("X-Deadline-Ms", "4800"),
    (
        "X-Extras",
        "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800,later=x",
    ),
];

#[test]
fn a_request_is_decoded_from_its_headers() {
    let incoming = decode(&head(&HEADERS), "{}".into(), &classes()).unwrap();
    assert_eq!(
        (&*incoming.request_id, incoming.class),
        ("9b1f", ClassId(1))
    );
    assert_eq!(incoming.session.as_deref(), Some("7f3a"));
    assert_eq!(incoming.shared_prefix.as_deref(), Some("5c0f"));
    assert_eq!(
        (
            incoming.prompt_tokens,
            incoming.shared_prefix_tokens,
            incoming.max_tokens
        ),
        (5_120, 2_048, 800)
    );
    assert_eq!(incoming.time_to_first_byte, Duration::from_millis(4_800));
    assert_eq!(incoming.message.target, "/v1/chat/completions?a=b");
    assert!(!incoming.is_retry && !incoming.is_resumed);
}

#[test]
fn invalid_headers_are_rejected_with_an_error_that_names_them() {
    for (name, value, error) in [
        (
            "X-Request-Id",
            "",
            RequestError::MissingHeader("X-Request-Id"),
        ),
        (
            "X-Request-Id",
            "a/../b",
            RequestError::InvalidHeader("X-Request-Id"),
        ),
        (
            "X-Class",
            "other",
            RequestError::UnknownClass("other".to_owned()),
        ),
        (
            "X-Deadline-Ms",
            "-1",
            RequestError::InvalidHeader("X-Deadline-Ms"),
        ),
        (
            "X-Deadline-Ms",
            "99999999999999",
            RequestError::InvalidHeader("X-Deadline-Ms"),
        ),
        (
            "X-Extras",
            "prompt_len=many",
            RequestError::InvalidHeader("X-Extras"),
        ),
    ] {
        let mut headers = HEADERS;
        for header in &mut headers {
            if header.0 == name {
                header.1 = value;
            }
        }
        assert_eq!(
            decode(&head(&headers), "{}".into(), &classes()).unwrap_err(),
            error
        );
    }
}

#[test]
fn a_resumed_stream_is_marked_as_retry_and_resumed() {
    let mut headers = HEADERS.to_vec();
    headers.push(("X-Retry", "again"));
    let incoming = decode(&head(&headers), "{}".into(), &classes()).unwrap();
    assert!(incoming.is_retry && incoming.is_resumed);
}
