//! Tests of the limits of bodies.

use super::*;

const LIMITS: BodyLimits = BodyLimits {
    depth: 3,
    string_bytes: 5,
    items: 9,
};

#[test]
fn nesting_and_string_lengths_are_limited_whatever_the_strings_hold() {
    let code = |body: &str| LIMITS.check(body.as_bytes()).err().map(|e| e.code);
    assert_eq!(code("[[[1]],[[2]]]"), None);
    assert_eq!(code(r#"["[[[["]"#), None);
    assert_eq!(code(r#"["\"[[["]"#), None);
    assert_eq!(code("[[[[1]]]]"), Some("too_deep"));
    assert_eq!(code(r#"{"a":"123456"}"#), Some("text_too_long"));
    assert_eq!(code(r#"{"a":"12\"45"}"#), Some("text_too_long"));
    // Decoding rejects what is not closed; the check does not read past the end.
    for open in ["\"abc", "\"a\\", "[\"", "]]]]"] {
        assert_eq!(code(open), None, "{open}");
    }
    assert_eq!(code(&"[".repeat(100_000)), Some("too_deep"));
}
