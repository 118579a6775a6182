//! Tests of `config`.

use serde_json::json;
use tokio::sync::mpsc;

use super::*;
use cranetack_testkit::{run, settings};

/// Guards against a file that is read while it is being written, after which no further signal comes.
#[test]
fn a_file_that_is_half_written_at_the_hangup_takes_effect_once_it_is_whole() {
    run(async {
        let path = std::env::temp_dir().join(format!("cranetack-half-{}.json", std::process::id()));
        let file = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:4", "seed": "7",
            "settings": settings()});
        let text = file.to_string();
        std::fs::write(&path, &text[..text.len() / 2]).unwrap();
        let (tx, mut address) = watch::channel(([127, 0, 0, 1], 1).into());
        let (hangup, mut hangups) = mpsc::channel(1);
        let heard = std::cell::Cell::new(0);
        // Only the first counts: that there is room for another says that it is being dealt with.
        let hear = async || {
            let hangup = hangups.recv().await;
            if heard.replace(heard.get() + 1) > 0 {
                std::future::pending::<()>().await;
            }
            hangup
        };
        let followed = follow(&path, hear, tx);
        let steps = async {
            hangup.send(()).await.unwrap();
            hangup.send(()).await.unwrap();
            std::fs::write(&path, &text).unwrap();
            address.changed().await.unwrap();
            assert_eq!(address.borrow().port(), 4);
            drop(address);
        };
        tokio::join!(followed, steps);
        std::fs::remove_file(&path).unwrap();
    });
}

/// Guards against a bad file that takes effect, or that ends the following of later good ones.
#[test]
fn a_hangup_brings_a_new_address_and_a_bad_file_changes_nothing() {
    run(async {
        let path =
            std::env::temp_dir().join(format!("cranetack-config-{}.json", std::process::id()));
        let write = |discovery: &str| {
            let file = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "7",
                "settings": settings()});
            std::fs::write(&path, file.to_string()).unwrap();
        };
        let (tx, mut address) = watch::channel(([127, 0, 0, 1], 1).into());
        let (hangup, mut hangups) = mpsc::channel(1);
        let followed = follow(&path, async || hangups.recv().await, tx);
        let steps = async {
            write("127.0.0.1:2");
            hangup.send(()).await.unwrap();
            address.changed().await.unwrap();
            assert_eq!(address.borrow_and_update().port(), 2);
            write("nowhere");
            // Once the third is taken the second has been dealt with.
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
        tokio::join!(followed, steps);
        std::fs::remove_file(&path).unwrap();
    });
}
