//! The program as it is started, with its signals.

mod common;

use std::io::Write;
use std::process::{Command, Stdio};

use common::{endpoint_entry, run, settings, Behaviour, Client, FakeDiscovery, FakeServer};
use serde_json::json;

/// Guards against a program that ends on SIGHUP, as the system has it by default: the file is read again, and
/// discovery's new address is asked.
#[test]
fn a_hangup_is_survived_and_discovery_followed() {
    run(async {
        let (old, new) = (
            FakeDiscovery::start(vec![]).await,
            FakeDiscovery::start(vec![]).await,
        );
        let path =
            std::env::temp_dir().join(format!("cranetack-program-{}.json", std::process::id()));
        let write = |discovery: &FakeDiscovery| {
            let file = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
                "seed": "7", "limits": {"sockets": 64}, "settings": settings()});
            std::fs::write(&path, file.to_string()).unwrap();
        };
        write(&old);
        let mut program = Command::new(env!("CARGO_BIN_EXE_cranetack"));
        let mut program = program
            .arg("serve")
            .env("PROXY_CONFIG", &path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let signal = |name: &str| {
            let kill = Command::new("/bin/sh")
                .args(["-c", &format!("kill -{name} {}", program.id())])
                .status();
            assert!(kill.unwrap().success());
        };
        old.wait_for_snapshot_call().await;
        for moved in [&new, &old] {
            write(moved);
            signal("HUP");
            moved.wait_for_snapshot_call().await;
        }
        signal("TERM");
        assert!(program.wait().unwrap().success());
        std::fs::remove_file(&path).unwrap();
    });
}

/// Guards against signals that cost a batch its answer: SIGHUP changes nothing of it, and SIGTERM lets it end.
#[test]
fn a_batch_is_served_through_a_hangup_and_to_its_end_after_a_termination() {
    run(async {
        let worker = FakeServer::start(4, Behaviour::Answer).await;
        worker
            .service_time
            .set(std::time::Duration::from_millis(50));
        let discovery = FakeDiscovery::start(vec![endpoint_entry(&worker, "mixed", "up")]).await;
        let folder = std::env::temp_dir().join(format!("cranetack-batch-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let [config_at, front_at] = ["config.json", "inference.toml"].map(|name| folder.join(name));
        let free = || {
            std::net::TcpListener::bind("127.0.0.1:0")
                .unwrap()
                .local_addr()
                .unwrap()
        };
        let (listen, front) = (free(), free());
        let config = json!({"name": "r0", "listen": listen.to_string(), "seed": "7", "limits": {"sockets": 64},
            "discovery": discovery.address.to_string(), "settings": settings()});
        std::fs::write(&config_at, config.to_string()).unwrap();
        let file = common::file(&[(
            "least_tokens = 16\nmost_tokens = 65536",
            "least_tokens = 256\nmost_tokens = 256",
        )]);
        std::fs::write(
            &front_at,
            file.replace("127.0.0.1:8090", &front.to_string()),
        )
        .unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_cranetack"))
            .args(["serve", "--config"])
            .arg(&config_at)
            .arg("--inference")
            .arg(&front_at)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let signal = |name: &str| {
            let kill = Command::new("kill")
                .args([name, &program.id().to_string()])
                .status();
            assert!(kill.unwrap().success());
        };
        while tokio::net::TcpStream::connect(listen).await.is_err()
            || Client::connect(listen).await.get("/up").await.0 != 200
        {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        let documents: Vec<String> = (0..18)
            .map(|n| format!("{n} {}", "x".repeat(500)))
            .collect();
        let body = json!({"model": "m", "query": "q", "documents": documents});
        let asked = tokio::task::spawn_local(async move {
            Client::connect(front).await.post("/v1/rerank", body).await
        });
        worker.wait_until(|seen| seen.len() > 2).await;
        signal("-HUP");
        worker.wait_until(|seen| seen.len() > 6).await;
        signal("-TERM");
        let (status, answer) = asked.await.unwrap();
        assert_eq!(
            (status, answer["results"].as_array().map(Vec::len)),
            (200, Some(18))
        );
        assert_eq!(worker.count_started("/v1/rerank"), 9);
        let ended = tokio::task::spawn_blocking(move || program.wait().unwrap())
            .await
            .unwrap();
        assert!(ended.success());
        std::fs::remove_dir_all(&folder).unwrap();
    });
}

/// Guards against a SIGHUP that comes while the files are read: it would end the program by default, and a new address of
/// discovery that is written just then would be missed.
#[test]
fn a_hangup_during_the_start_is_heeded() {
    run(async {
        let (old, new) = (
            FakeDiscovery::start(vec![]).await,
            FakeDiscovery::start(vec![]).await,
        );
        let folder = std::env::temp_dir().join(format!("cranetack-start-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let [path, next] = ["config.json", "next.json"].map(|name| folder.join(name));
        assert!(Command::new("mkfifo")
            .arg(&path)
            .status()
            .unwrap()
            .success());
        let config = |discovery: &FakeDiscovery| {
            let file = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
                "seed": "7", "limits": {"sockets": 64}, "settings": settings()});
            file.to_string()
        };
        let mut program = Command::new(env!("CARGO_BIN_EXE_cranetack"));
        let mut program = program
            .arg("serve")
            .env("PROXY_CONFIG", &path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let signal = |name: &str| {
            let kill = Command::new("kill")
                .args([name, &program.id().to_string()])
                .status();
            assert!(kill.unwrap().success());
        };
        // A named pipe is open once its reader is there, who reads until it is closed.
        let (opened, pipe) = (
            path.clone(),
            std::fs::OpenOptions::new().write(true).clone(),
        );
        let mut pipe = tokio::task::spawn_blocking(move || pipe.open(opened).unwrap())
            .await
            .unwrap();
        std::fs::write(&next, config(&new)).unwrap();
        std::fs::rename(&next, &path).unwrap();
        signal("-HUP");
        pipe.write_all(config(&old).as_bytes()).unwrap();
        drop(pipe);
        new.wait_for_snapshot_call().await;
        signal("-TERM");
        let ended = tokio::task::spawn_blocking(move || program.wait().unwrap())
            .await
            .unwrap();
        assert!(ended.success());
        std::fs::remove_dir_all(&folder).unwrap();
    });
}
