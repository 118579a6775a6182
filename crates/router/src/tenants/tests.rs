use super::*;

const SHIPPED_FILE: &str = include_str!("../../../../deploy/tenants.toml");

#[test]
fn the_shipped_file_is_valid_and_errors_begin_with_the_key() {
    let check = |text: &str| toml::from_str::<Setup>(text).unwrap().check();
    assert_eq!(check(SHIPPED_FILE), Ok(()));
    for (from, to, key) in [
        ("ldap://", "http://", "url"),
        ("filter = \"(", "filter = \"((", "filter"),
        ("refresh_s = 60", "refresh_s = 0", "refresh_s"),
        ("password_file", "# password_file", "password_file"),
    ] {
        assert!(SHIPPED_FILE.contains(from));
        assert!(check(&SHIPPED_FILE.replace(from, to))
            .unwrap_err()
            .starts_with(key));
    }
}
