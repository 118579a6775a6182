//! Tests of `account`.

use super::*;

#[test]
fn bodies_leave_a_quarter_for_what_is_made_of_them() {
    let account = Account::new(100);
    let body = account.claim_body(70).unwrap();
    assert!(account.claim_body(6).is_none());
    assert!(account.claim(30).is_some());
    drop(body);
    assert!(account.claim_body(75).is_some());
}

#[test]
fn claims_never_pass_the_account_and_come_back_when_dropped() {
    let account = Account::new(100);
    let mut first = account.claim(60).unwrap();
    assert!(account.claim(41).is_none());
    let second = account.claim(40).unwrap();
    assert!(!first.grow_to(61));
    drop(second);
    assert!(first.grow_to(100));
    first.shrink_to(10);
    assert_eq!(account.held(), (10, 100));
    drop(first);
    assert_eq!(account.held(), (0, 100));
}
