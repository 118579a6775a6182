use super::*;

const FILE: &str = include_str!("../../../../deploy/tenants.toml");

#[test]
fn the_shipped_file_is_valid_and_errors_name_the_key() {
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
