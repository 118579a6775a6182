//! Tests of the checks of a request body's headers.

use super::*;

#[test]
fn only_json_in_a_supported_content_coding_is_accepted() {
    let coding_with = |name: http::HeaderName, value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(name, value.parse().unwrap());
        content_coding(&headers)
    };
    assert_eq!(
        content_coding(&HeaderMap::new()),
        Ok(ContentCoding::Identity)
    );
    assert_eq!(
        coding_with(CONTENT_TYPE, "Application/JSON; charset=\"UTF-8\""),
        Ok(ContentCoding::Identity)
    );
    for other in [
        "text/plain",
        "application/json; charset=latin1",
        "application/jsonl",
        "",
    ] {
        assert_eq!(
            coding_with(CONTENT_TYPE, other),
            Err(BodyError::UnsupportedMediaType),
            "{other}"
        );
    }
    assert_eq!(
        coding_with(CONTENT_ENCODING, "gzip"),
        Ok(ContentCoding::Gzip)
    );
    for other in ["br", "gzip, gzip", "deflate"] {
        assert_eq!(
            coding_with(CONTENT_ENCODING, other),
            Err(BodyError::UnsupportedEncoding),
            "{other}"
        );
    }
}
