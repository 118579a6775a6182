//! Runs the router program with the library under test preloaded, so that system calls fail as
//! Linux documents.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cranetack_testkit::{
    endpoint_entry, run_test, test_settings, Behaviour, Client, FakeDiscovery, FakeServer,
};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Maximum time from the start of a router until it is ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum time until a request has its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Deadline that each request states, in milliseconds.
const DEADLINE_MS: u32 = 5_000;

/// A router process, which is killed when this value is dropped.
struct RouterProcess(Child);

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The files under test that cargo has built.
struct BuiltFiles {
    program: PathBuf,
    library: PathBuf,
}

impl BuiltFiles {
    /// Finds the files by the path of the test binary: the library is in the same folder, and the
    /// router program one folder above.
    fn find() -> BuiltFiles {
        let test = std::env::current_exe().unwrap();
        let folder = test.parent().unwrap();
        let built = BuiltFiles {
            program: folder.join("../cranetack"),
            library: folder.join("libcranetack_syscall_fault_shim.so"),
        };
        assert!(
            built.program.exists() && built.library.exists(),
            "{:?} and {:?} must be built before this test runs",
            built.program,
            built.library
        );
        built
    }
}

fn start_router(config: &Path, faults: &str) -> RouterProcess {
    let built = BuiltFiles::find();
    let child = Command::new(built.program)
        .arg("serve")
        .env("PROXY_CONFIG", config)
        .env("LD_PRELOAD", built.library)
        .env("SOAK_FAULTS_SEED", "7")
        .env("SOAK_FAULTS", faults)
        .stdout(Stdio::null())
        .spawn();
    RouterProcess(child.unwrap())
}

async fn wait_until_ready(address: SocketAddr) {
    while TcpStream::connect(address).await.is_err()
        || Client::connect(address).await.get("/up").await.0 != 200
    {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a router with these faults, a prefill endpoint and a decode endpoint, sends it
/// `request_count` requests, and asserts that each is served.
async fn assert_all_served(faults: &str, request_count: usize) {
    let prefill = FakeServer::start(4, Behaviour::Prefill).await;
    let decode = FakeServer::start(4, Behaviour::Answer).await;
    let discovery = FakeDiscovery::start(vec![
        endpoint_entry(&prefill, "reader", "up"),
        endpoint_entry(&decode, "writer", "up"),
    ])
    .await;
    let free_port = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free_port.local_addr().unwrap();
    drop(free_port);
    let file_name = format!("cranetack-shim-{faults}-{}.json", std::process::id());
    let config_path = std::env::temp_dir().join(file_name);
    let config = json!({
        "name": "r0",
        "listen": address.to_string(),
        "seed": "7",
        "limits": {"sockets": 128},
        "discovery": discovery.address.to_string(),
        "settings": test_settings(),
    });
    std::fs::write(&config_path, config.to_string()).unwrap();
    let _router = start_router(&config_path, faults);
    timeout(STARTUP_TIMEOUT, wait_until_ready(address))
        .await
        .expect("the router was not ready within 8 s (STARTUP_TIMEOUT)");
    let mut client = Client::connect(address).await;
    for index in 0..request_count {
        let id = format!("a{index}");
        let response = timeout(RESPONSE_TIMEOUT, client.send_chat(&id, "chat", DEADLINE_MS)).await;
        let (status, _, body) = response
            .unwrap_or_else(|_| panic!("request {index} got no response in {RESPONSE_TIMEOUT:?}"));
        assert_eq!((status, body.is_some()), (200, true), "request {index}");
    }
    std::fs::remove_file(&config_path).unwrap();
}

/// After a short read or write the socket can still be ready. The router must read or write on at
/// once: if it waited for a readiness event, none would come, and the request would hang.
#[test]
fn short_reads_and_writes_fail_no_request() {
    run_test(assert_all_served("short", 60));
}
