//! Tests of the program as a process, and of the signals that it handles.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{
    config_file, endpoint_entry, run_test, test_settings, Behaviour, Client, FakeDiscovery,
    FakeServer,
};
use serde_json::json;
use tokio::net::TcpStream;

/// A process that runs the program.
struct Program(Child);

/// Returns a command that runs the program with the subcommand `serve`.
fn serve_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranetack"));
    command.arg("serve").stdout(Stdio::null());
    command
}

impl Program {
    fn start(command: &mut Command) -> Program {
        Program(command.spawn().unwrap())
    }

    /// Sends a signal, such as `-HUP`.
    fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status();
        assert!(kill.unwrap().success());
    }

    /// Waits for the end of the process and asserts that it is a success.
    async fn assert_succeeds(mut self) {
        let status = tokio::task::spawn_blocking(move || self.0.wait().unwrap())
            .await
            .unwrap();
        assert!(status.success());
    }
}

/// Returns an address on which nothing listens.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Waits until the router at this address is ready.
async fn wait_until_ready(address: SocketAddr) {
    while TcpStream::connect(address).await.is_err()
        || Client::connect(address).await.get("/up").await.0 != 200
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// At SIGHUP, which ends a program by default, the router must read its configuration file again
/// and call discovery at the new address.
#[test]
fn a_hangup_changes_the_address_of_discovery() {
    run_test(async {
        let old = FakeDiscovery::start(vec![]).await;
        let new = FakeDiscovery::start(vec![]).await;
        let path =
            std::env::temp_dir().join(format!("cranetack-program-{}.json", std::process::id()));
        let write = |discovery: &FakeDiscovery| {
            let file = config_file(discovery.address, test_settings());
            std::fs::write(&path, file.to_string()).unwrap();
        };
        write(&old);
        let program = Program::start(serve_command().env("PROXY_CONFIG", &path));
        old.wait_for_snapshot_call().await;
        for current in [&new, &old] {
            write(current);
            program.signal("-HUP");
            current.wait_for_snapshot_call().await;
        }
        program.signal("-TERM");
        program.assert_succeeds().await;
        std::fs::remove_file(&path).unwrap();
    });
}

/// SIGHUP must not affect a batch in progress, and SIGTERM must let it finish.
#[test]
fn a_batch_is_served_across_a_hangup_and_finished_after_a_termination() {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        server.service_time.set(Duration::from_millis(50));
        let discovery = FakeDiscovery::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        let folder = std::env::temp_dir().join(format!("cranetack-batch-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let [config_path, inference_path] =
            ["config.json", "inference.toml"].map(|name| folder.join(name));
        let listen = free_address();
        let inference_listen = free_address();
        let mut config = config_file(discovery.address, test_settings());
        config["listen"] = listen.to_string().into();
        std::fs::write(&config_path, config.to_string()).unwrap();
        let file = common::inference_file(&[(
            "least_tokens = 16\nmost_tokens = 65536",
            "least_tokens = 256\nmost_tokens = 256",
        )]);
        std::fs::write(
            &inference_path,
            file.replace("127.0.0.1:8090", &inference_listen.to_string()),
        )
        .unwrap();
        let mut command = serve_command();
        command.arg("--config").arg(&config_path);
        command.arg("--inference").arg(&inference_path);
        let program = Program::start(&mut command);
        wait_until_ready(listen).await;
        let documents: Vec<String> = (0..18)
            .map(|n| format!("{n} {}", "x".repeat(500)))
            .collect();
        let body = json!({"model": "m", "query": "q", "documents": documents});
        let call = tokio::task::spawn_local(async move {
            Client::connect(inference_listen)
                .await
                .post("/v1/rerank", body)
                .await
        });
        server.wait_until(|seen| seen.len() > 2).await;
        program.signal("-HUP");
        server.wait_until(|seen| seen.len() > 6).await;
        program.signal("-TERM");
        let (status, response) = call.await.unwrap();
        assert_eq!(
            (status, response["results"].as_array().map(Vec::len)),
            (200, Some(18))
        );
        assert_eq!(server.count_started("/v1/rerank"), 9);
        program.assert_succeeds().await;
        std::fs::remove_dir_all(&folder).unwrap();
    });
}

/// SIGHUP ends a program by default. If the router ignored it during the start, it would miss a
/// change of discovery's address in the configuration file at that time.
#[test]
fn a_hangup_during_the_start_is_handled() {
    run_test(async {
        let old = FakeDiscovery::start(vec![]).await;
        let new = FakeDiscovery::start(vec![]).await;
        let folder = std::env::temp_dir().join(format!("cranetack-start-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let [path, new_path] = ["config.json", "next.json"].map(|name| folder.join(name));
        assert!(Command::new("mkfifo")
            .arg(&path)
            .status()
            .unwrap()
            .success());
        let config_text =
            |discovery: &FakeDiscovery| config_file(discovery.address, test_settings()).to_string();
        let program = Program::start(serve_command().env("PROXY_CONFIG", &path));
        // Opening the named pipe blocks until the program opens it too. The program then reads
        // until the pipe is closed.
        let pipe_path = path.clone();
        let open = move || std::fs::OpenOptions::new().write(true).open(pipe_path);
        let mut pipe = tokio::task::spawn_blocking(open).await.unwrap().unwrap();
        std::fs::write(&new_path, config_text(&new)).unwrap();
        std::fs::rename(&new_path, &path).unwrap();
        program.signal("-HUP");
        pipe.write_all(config_text(&old).as_bytes()).unwrap();
        drop(pipe);
        new.wait_for_snapshot_call().await;
        program.signal("-TERM");
        program.assert_succeeds().await;
        std::fs::remove_dir_all(&folder).unwrap();
    });
}
