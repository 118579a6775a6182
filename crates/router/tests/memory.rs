//! The memory of the program as a process while it decodes large requests.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{
    config_file, endpoint_entry, inference_file, run_test, test_settings, Behaviour, Client,
    FakeDiscovery, FakeServer, RawClient,
};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// `limits.memory_mb` of the router. Its platform ends a router that exceeds it.
const MEMORY_MB: u64 = 64;
/// Size of the bodies, which is below the limit that follows from the memory.
const BODY_BYTES: usize = 3_000_000;
/// Number of clients that send the same body at the same time.
const CLIENTS: usize = 2;

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns an address on which nothing listens.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn start_program(
    folder: &Path,
    discovery: SocketAddr,
    listen: SocketAddr,
) -> (Program, SocketAddr) {
    let inference_listen = free_address();
    let mut config = config_file(discovery, test_settings());
    config["listen"] = listen.to_string().into();
    config["limits"] = json!({"sockets": 1_024, "memory_mb": MEMORY_MB});
    std::fs::create_dir_all(folder).unwrap();
    let [config_path, inference_path] =
        ["config.json", "inference.toml"].map(|name| folder.join(name));
    std::fs::write(&config_path, config.to_string()).unwrap();
    let file = inference_file(&[("127.0.0.1:8090", &inference_listen.to_string())]);
    std::fs::write(&inference_path, file).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranetack"));
    command.args(["serve", "--config"]).arg(&config_path);
    command.arg("--inference").arg(&inference_path);
    let child = command.stdout(Stdio::null()).spawn().unwrap();
    (Program(child), inference_listen)
}

/// Returns the largest memory that a process has held so far, in bytes.
fn peak_memory_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .unwrap();
    let kib: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib * 1024
}

/// Returns a body in which `item` is repeated until it has [`BODY_BYTES`].
fn body(start: &str, item: &str, end: &str) -> String {
    let count = (BODY_BYTES - start.len() - end.len()) / (item.len() + 1);
    format!("{start}{}{end}", vec![item; count].join(","))
}

const CHAT: &str = "/v1/chat/completions";

/// Sends each of the bodies from several clients at once, and checks the memory of the program.
fn check_memory(name: &str, bodies: Vec<(&'static str, String)>) {
    run_test(async {
        let server = FakeServer::start(4, Behaviour::Answer).await;
        let discovery = FakeDiscovery::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        let folder = std::env::temp_dir().join(format!("cranetack-{name}-{}", std::process::id()));
        let listen = free_address();
        let (program, inference) = start_program(&folder, discovery.address, listen);
        while TcpStream::connect(listen).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for (path, body) in bodies {
            let head = format!(
                "POST {path} HTTP/1.1\r\nhost: app\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let mut clients = Vec::new();
            for _ in 0..CLIENTS {
                let (head, body) = (head.clone(), body.clone());
                clients.push(spawn_local(async move {
                    let mut client = RawClient::connect(inference).await;
                    client.exchange(&[head.as_bytes(), body.as_bytes()]).await
                }));
            }
            for client in clients {
                let response = client.await.unwrap();
                assert!(
                    response.starts_with("HTTP/1.1 "),
                    "{path} {body:.60}: {response:.200}"
                );
            }
            let peak = peak_memory_bytes(program.0.id());
            assert!(
                peak <= MEMORY_MB * 1_000_000,
                "{path} {body:.60}: {} MB",
                peak / 1_000_000
            );
        }
        assert_eq!(Client::connect(listen).await.get("/up").await.0, 200);
        drop(program);
        std::fs::remove_dir_all(&folder).unwrap();
    });
}

/// Guards against a router that is ended for its memory, with all requests that it serves: a body
/// with many small items took up to 17 times its size while it was decoded.
#[test]
fn decoding_the_lists_of_chats_stays_within_the_memory_limit() {
    let user = r#""model":"m","messages":[{"role":"user","content":"x"}]"#;
    let parts = r#"{"model":"m","messages":[{"role":"user","content":["#;
    let bodies = vec![
        (CHAT, body(parts, "{}", "]}]}")),
        (CHAT, body(r#"{"model":"m","messages":["#, "{}", "]}")),
        (CHAT, body(&format!(r#"{{{user},"stop":["#), r#""""#, "]}")),
        (CHAT, body(&format!(r#"{{{user},"tools":["#), "1", "]}")),
    ];
    check_memory("chat-lists", bodies);
}

/// Guards against the same fault: strings with escapes are decoded into copies, and the fields of a
/// chat are encoded anew.
#[test]
fn decoding_the_texts_and_unknown_fields_of_chats_stays_within_the_memory_limit() {
    let user = r#""model":"m","messages":[{"role":"user","content":"x"}]"#;
    let escapes = r"\u0041".repeat(BODY_BYTES / 6 - 100);
    let nested = "[[[[[[[[[[]]]]]]]]]]";
    let bodies = vec![
        (
            CHAT,
            body(&format!(r#"{{{user},"unknown":["#), nested, "]}"),
        ),
        (
            CHAT,
            format!(r#"{{"model":"m","messages":[{{"role":"user","content":"{escapes}"}}]}}"#),
        ),
        (CHAT, format!(r#"{{"model":"{escapes}","messages":[]}}"#)),
    ];
    check_memory("chat-texts", bodies);
}

/// Guards against the same fault in embeddings and rerank requests.
#[test]
fn decoding_batches_stays_within_the_memory_limit() {
    let documents = r#"{"model":"m","query":"q","documents":["#;
    let bodies = vec![
        (
            "/v1/embeddings",
            body(r#"{"model":"m","input":["#, r#""""#, "]}"),
        ),
        (
            "/v1/embeddings",
            body(r#"{"model":"m","input":["#, "1", "]}"),
        ),
        (
            "/v1/embeddings",
            body(r#"{"model":"m","input":["#, "[1]", "]}"),
        ),
        ("/v1/rerank", body(documents, "{}", "]}")),
        ("/v2/rerank", body(documents, r#""""#, "]}")),
    ];
    check_memory("batches", bodies);
}

/// Guards against a router that is ended for its memory as many clients send large bodies to the
/// platform API: beyond its share of the memory, requests are rejected.
#[test]
fn many_connections_with_large_bodies_stay_within_the_memory_limit() {
    /// A third of the program's descriptors.
    const CONNECTIONS: usize = 1_024 / 3;
    const BODY_BYTES: usize = 250_000;
    run_test(async {
        let server = FakeServer::start(64, Behaviour::Answer).await;
        server.service_time.set(Duration::from_millis(100));
        let discovery = FakeDiscovery::start(vec![endpoint_entry(&server, "mixed", "up")]).await;
        let folder = std::env::temp_dir().join(format!("cranetack-many-{}", std::process::id()));
        let listen = free_address();
        let (program, _) = start_program(&folder, discovery.address, listen);
        while TcpStream::connect(listen).await.is_err()
            || Client::connect(listen).await.get("/up").await.0 != 200
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let body = "x".repeat(BODY_BYTES);
        let mut clients = Vec::new();
        for number in 0..CONNECTIONS {
            let head = format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\nconnection: close\r\nx-request-id: m{number}\r\n\
                 x-class: chat\r\nx-deadline-ms: 6000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
            );
            let body = body.clone();
            clients.push(spawn_local(async move {
                let mut client = RawClient::connect(listen).await;
                client.exchange(&[head.as_bytes(), body.as_bytes()]).await
            }));
        }
        for client in clients {
            let response = client.await.unwrap();
            let is_answered = ["200", "503"]
                .iter()
                .any(|status| response.starts_with(&format!("HTTP/1.1 {status} ")));
            assert!(is_answered, "{response:.200}");
        }
        let peak = peak_memory_bytes(program.0.id());
        assert!(peak <= MEMORY_MB * 1_000_000, "{} MB", peak / 1_000_000);
        drop(program);
        std::fs::remove_dir_all(&folder).unwrap();
    });
}
