//! Tests of `platform`.

use super::*;

fn head(headers: &[(&str, &str)]) -> Head {
    let request = Request::post("/v1/chat/completions?a=b");
    let request = headers
        .iter()
        .fold(request, |r, (name, value)| r.header(*name, *value));
    request.body(()).unwrap().into_parts().0
}

fn classes() -> Vec<String> {
    vec!["lookup".to_owned(), "order".to_owned()]
}

const WHOLE: [(&str, &str); 5] = [
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
    let incoming = decode(&head(&WHOLE), "{}".into(), &classes()).unwrap();
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
fn bad_input_is_told_plainly() {
    for (name, value, wrong) in [
        ("X-Request-Id", "", Wrong::Missing("X-Request-Id")),
        ("X-Request-Id", "a/../b", Wrong::Unreadable("X-Request-Id")),
        ("X-Class", "other", Wrong::Class("other".to_owned())),
        ("X-Deadline-Ms", "-1", Wrong::Unreadable("X-Deadline-Ms")),
        (
            "X-Deadline-Ms",
            "99999999999999",
            Wrong::Unreadable("X-Deadline-Ms"),
        ),
        ("X-Extras", "prompt_len=many", Wrong::Unreadable("X-Extras")),
    ] {
        let mut headers = WHOLE;
        headers
            .iter_mut()
            .filter(|(n, _)| *n == name)
            .for_each(|h| h.1 = value);
        assert_eq!(
            decode(&head(&headers), "{}".into(), &classes()).unwrap_err(),
            wrong
        );
    }
}

#[test]
fn a_client_that_asks_for_the_rest_is_marked() {
    let mut headers = WHOLE.to_vec();
    headers.push(("X-Retry", "again"));
    let incoming = decode(&head(&headers), "{}".into(), &classes()).unwrap();
    assert!(incoming.is_retry && incoming.is_resumed);
}
