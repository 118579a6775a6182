//! The program as it is started, with its signals.

mod common;

use std::process::{Command, Stdio};

use common::{run, settings, Discovery};
use serde_json::json;

/// Guards against a program that ends on SIGHUP, as the system has it by default: the file is read again, and
/// discovery's new address is asked.
#[test]
fn a_hangup_is_survived_and_discovery_followed() {
    run(async {
        let (old, new) = (Discovery::start(vec![]).await, Discovery::start(vec![]).await);
        let path = std::env::temp_dir().join(format!("cranetack-program-{}.json", std::process::id()));
        let write = |discovery: &Discovery| {
            let file = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
                "seed": "7", "limits": {"sockets": 64}, "settings": settings()});
            std::fs::write(&path, file.to_string()).unwrap();
        };
        write(&old);
        let mut program = Command::new(env!("CARGO_BIN_EXE_cranetack"));
        let mut program =
            program.arg("serve").env("PROXY_CONFIG", &path).stdout(Stdio::null()).spawn().unwrap();
        let signal = |name: &str| {
            let kill =
                Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", program.id())]).status();
            assert!(kill.unwrap().success());
        };
        old.asked().await;
        for moved in [&new, &old] {
            write(moved);
            signal("HUP");
            moved.asked().await;
        }
        signal("TERM");
        assert!(program.wait().unwrap().success());
        std::fs::remove_file(&path).unwrap();
    });
}
