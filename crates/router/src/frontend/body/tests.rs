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

/// Guards against bodies that take many times their size as they arrive in very small parts, and
/// against one large buffer for each body.
#[test]
fn a_body_is_held_in_segments_however_it_arrives() {
    let data: Vec<u8> = (0..3 * SEGMENT_BYTES).map(|byte| byte as u8).collect();
    for (declared_length, part_bytes, most_segments) in [
        (data.len(), 7_000, 3),
        (data.len(), 1, 3),
        (0, 1, data.len() / MIN_SEGMENT_BYTES),
    ] {
        let mut segments = SegmentBuilder::new(declared_length);
        for part in data.chunks(part_bytes) {
            segments.push(part);
        }
        let payload = segments.finish();
        assert_eq!(payload.segments().concat(), data);
        assert_eq!(payload.len(), data.len());
        assert!(payload.segments().len() <= most_segments);
        assert!(payload
            .segments()
            .iter()
            .all(|segment| segment.len() <= SEGMENT_BYTES));
    }
}
