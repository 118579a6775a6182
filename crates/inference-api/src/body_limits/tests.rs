//! Tests of the limits of request bodies.

use super::*;

const LIMITS: BodyLimits = BodyLimits {
    depth: 3,
    string_bytes: 5,
    items: 9,
};

#[test]
fn nesting_and_string_lengths_are_limited_whatever_the_strings_contain() {
    let code = |body: &str| LIMITS.check(body.as_bytes()).err().map(|e| e.code);
    assert_eq!(code("[[[1]],[[2]]]"), None);
    assert_eq!(code(r#"["[[[["]"#), None);
    assert_eq!(code(r#"["\"[[["]"#), None);
    assert_eq!(code("[[[[1]]]]"), Some("too_deep"));
    assert_eq!(code(r#"{"a":"123456"}"#), Some("text_too_long"));
    assert_eq!(code(r#"{"a":"12\"45"}"#), Some("text_too_long"));
    // The check accepts unterminated and unbalanced bodies without reading past the end; decoding
    // rejects them.
    for invalid_body in ["\"abc", "\"a\\", "[\"", "]]]]"] {
        assert_eq!(code(invalid_body), None, "{invalid_body}");
    }
    assert_eq!(code(&"[".repeat(100_000)), Some("too_deep"));
}

/// Guards against a limit of bodies that the byte budget cannot hold while they are decoded.
#[test]
fn the_largest_body_can_be_decoded_within_the_budget() {
    let limits = BodyLimits::default();
    for budget in [4_000_000, 21_000_000, 32_000_000, 64_000_000, 1_000_000_000] {
        let largest = limits.largest_body(budget);
        assert!(largest > budget / 8, "{budget}: {largest}");
        assert!(
            largest + limits.decoding_bytes(largest) <= budget,
            "{budget}: {largest}"
        );
    }
    assert_eq!(limits.largest_body(1_000), 0);
}
