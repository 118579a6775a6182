//! Tests of `body`.

use super::*;

#[test]
fn only_json_in_a_known_coding_is_read() {
    let of = |name: http::HeaderName, value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(name, value.parse().unwrap());
        coding(&headers)
    };
    assert_eq!(coding(&HeaderMap::new()), Ok(Coding::Plain));
    assert_eq!(
        of(CONTENT_TYPE, "Application/JSON; charset=\"UTF-8\""),
        Ok(Coding::Plain)
    );
    for other in [
        "text/plain",
        "application/json; charset=latin1",
        "application/jsonl",
        "",
    ] {
        assert_eq!(
            of(CONTENT_TYPE, other),
            Err(BodyError::MediaType),
            "{other}"
        );
    }
    assert_eq!(of(CONTENT_ENCODING, "gzip"), Ok(Coding::Gzip));
    for other in ["br", "gzip, gzip", "deflate"] {
        assert_eq!(
            of(CONTENT_ENCODING, other),
            Err(BodyError::Encoding),
            "{other}"
        );
    }
}
