//! Tests of the limits of bodies.

use super::*;

const BOUNDS: Bounds = Bounds {
    depth: 3,
    text: 5,
    items: 9,
};

#[test]
fn nesting_and_texts_are_bounded_whatever_stands_in_texts() {
    let code = |body: &str| scan(body.as_bytes(), &BOUNDS).err().map(|e| e.code);
    assert_eq!(code("[[[1]],[[2]]]"), None);
    assert_eq!(code(r#"["[[[["]"#), None);
    assert_eq!(code(r#"["\"[[["]"#), None);
    assert_eq!(code("[[[[1]]]]"), Some("too_deep"));
    assert_eq!(code(r#"{"a":"123456"}"#), Some("text_too_long"));
    assert_eq!(code(r#"{"a":"12\"45"}"#), Some("text_too_long"));
    // What never ends is for the decoder to refuse, and does not run over the end here.
    for open in ["\"abc", "\"a\\", "[\"", "]]]]"] {
        assert_eq!(code(open), None, "{open}");
    }
    assert_eq!(code(&"[".repeat(100_000)), Some("too_deep"));
}
