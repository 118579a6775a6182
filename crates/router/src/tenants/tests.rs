//! Tests of `tenants`.

use super::*;

const FILE: &str = include_str!("../../../../deploy/tenants.toml");

#[test]
fn the_operators_file_as_shipped_can_be_used_and_a_wrong_one_names_its_key() {
    let check = |text: &str| toml::from_str::<Setup>(text).unwrap().check();
    assert_eq!(check(FILE), Ok(()));
    for (from, to, key) in [
        ("ldap://", "http://", "url"),
        ("filter = \"(", "filter = \"((", "filter"),
        ("refresh_s = 60", "refresh_s = 0", "refresh_s"),
        ("password_file", "# password_file", "password_file"),
    ] {
        assert!(FILE.contains(from));
        assert!(check(&FILE.replace(from, to)).unwrap_err().starts_with(key));
    }
}

#[test]
fn digests_are_64_hexadecimal_digits() {
    assert_eq!(digest(&"0f".repeat(32)), Some([15; 32]));
    assert_eq!(digest(&"0F".repeat(31)), None);
    assert_eq!(digest(&"é".repeat(32)), None);
    assert_eq!(digest(&"+1".repeat(32)), None);
}
