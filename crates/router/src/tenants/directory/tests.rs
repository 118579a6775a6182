use super::*;

#[test]
fn digests_are_64_hexadecimal_digits() {
    assert_eq!(parse_digest(&"0f".repeat(32)), Some([15; 32]));
    assert_eq!(parse_digest(&"0F".repeat(31)), None);
    assert_eq!(parse_digest(&"é".repeat(32)), None);
    assert_eq!(parse_digest(&"+1".repeat(32)), None);
}
