//! Tests of `window`.

use super::*;

#[test]
fn it_shrinks_once_for_a_crowd_and_grows_back() {
    let mut window = Window::new(10);
    (0..20).for_each(|n| window.refused(n));
    assert_eq!(window.size(), 7);
    (1..40).for_each(|n| window.refused(n * SAME));
    assert_eq!(window.size(), 1);
    let served = (0..1_000).take_while(|_| {
        window.served();
        window.size() < 10
    });
    assert!((30..60).contains(&served.count()));
    (0..99).for_each(|_| window.served());
    assert_eq!(window.size(), 10);
}
