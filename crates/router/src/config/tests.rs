//! Tests of reloading the configuration file at a hangup (SIGHUP).

use serde_json::json;
use tokio::sync::mpsc;

use super::*;
use cranetack_testkit::{run_test, test_settings};

/// Returns the text of a configuration file with this address of discovery.
fn file_text(discovery: &str) -> String {
    let config = json!({
        "name": "r0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "7",
        "settings": test_settings(),
    });
    config.to_string()
}

/// A file that is read while it is being written must take effect without a further signal.
#[test]
fn a_file_that_is_incomplete_at_the_hangup_takes_effect_once_it_is_complete() {
    run_test(async {
        let path = std::env::temp_dir().join(format!("cranetack-half-{}.json", std::process::id()));
        let text = file_text("127.0.0.1:4");
        std::fs::write(&path, &text[..text.len() / 2]).unwrap();
        let (sender, mut address) = watch::channel(([127, 0, 0, 1], 1).into());
        let (hangup, mut hangups) = mpsc::channel(1);
        let received_count = std::cell::Cell::new(0);
        // Only the first hangup starts a reload. The channel has room for one hangup, so that the
        // second can be sent only once the first has been received.
        let receive = async || {
            let hangup = hangups.recv().await;
            if received_count.replace(received_count.get() + 1) > 0 {
                std::future::pending::<()>().await;
            }
            hangup
        };
        let reloading = reload_on_hangup(&path, receive, sender);
        let steps = async {
            hangup.send(()).await.unwrap();
            hangup.send(()).await.unwrap();
            std::fs::write(&path, &text).unwrap();
            address.changed().await.unwrap();
            assert_eq!(address.borrow().port(), 4);
            drop(address);
        };
        tokio::join!(reloading, steps);
        std::fs::remove_file(&path).unwrap();
    });
}

/// An invalid file neither takes effect nor ends the reloads.
#[test]
fn a_hangup_reloads_the_address_and_an_invalid_file_changes_nothing() {
    run_test(async {
        let path =
            std::env::temp_dir().join(format!("cranetack-config-{}.json", std::process::id()));
        let write = |discovery: &str| {
            std::fs::write(&path, file_text(discovery)).unwrap();
        };
        let (sender, mut address) = watch::channel(([127, 0, 0, 1], 1).into());
        let (hangup, mut hangups) = mpsc::channel(1);
        let reloading = reload_on_hangup(&path, async || hangups.recv().await, sender);
        let steps = async {
            write("127.0.0.1:2");
            hangup.send(()).await.unwrap();
            address.changed().await.unwrap();
            assert_eq!(address.borrow_and_update().port(), 2);
            write("nowhere");
            // The channel has room for one hangup. When the third can be sent, the second has been
            // received, so that the reload at the first has ended.
            for _ in 0..3 {
                hangup.send(()).await.unwrap();
            }
            assert!(!address.has_changed().unwrap());
            write("127.0.0.1:3");
            hangup.send(()).await.unwrap();
            address.changed().await.unwrap();
            assert_eq!(address.borrow().port(), 3);
            drop(hangup);
        };
        tokio::join!(reloading, steps);
        std::fs::remove_file(&path).unwrap();
    });
}
