//! Tests of which connections stay idle in the pool, and which are reused.

mod model;

use std::io::Write;

use super::*;
use cranetack_testkit::{run_test, run_test_with_paused_clock, Behaviour, FakeServer};

/// Idle connections after a burst must not hold many file descriptors and buffers.
#[test]
fn few_idle_connections_to_an_endpoint_stay_open() {
    run_test(async {
        let server = FakeServer::start(1, Behaviour::Answer).await;
        let endpoint = Endpoint::new("a", server.address);
        let pool = ConnectionPool::new(
            9,
            Duration::from_secs(1),
            Duration::from_secs(60),
            MemoryLedger::unlimited(),
        );
        let deadline = Instant::now() + Duration::from_secs(9);
        let mut connections = Vec::new();
        for _ in 0..2 * MAX_IDLE_PER_ENDPOINT {
            connections.push(pool.acquire(&endpoint, deadline).await.unwrap());
        }
        for connection in connections {
            pool.release(connection).await;
        }
        assert_eq!(pool.available_permits(), 9 - MAX_IDLE_PER_ENDPOINT);
    });
}

/// Returns a pool with one idle connection, the connection's endpoint, and the endpoint's side of
/// the connection. That side is a blocking socket, which the test uses without the async runtime.
async fn pool_with_idle_connection() -> (ConnectionPool, Endpoint, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = Endpoint::new("a", listener.local_addr().unwrap());
    let pool = ConnectionPool::new(
        9,
        Duration::from_secs(1),
        Duration::from_secs(60),
        MemoryLedger::unlimited(),
    );
    let connection = pool
        .connect(&endpoint, Instant::now() + Duration::from_secs(9))
        .await
        .unwrap();
    let (accepted, _) = listener.accept().unwrap();
    pool.release(connection).await;
    (pool, endpoint, accepted)
}

/// A faulty endpoint may send a second response shortly after the first. It must not be taken for
/// the response to the next request.
#[test]
fn an_idle_connection_is_reused_only_after_a_delay() {
    run_test_with_paused_clock(async {
        let (pool, endpoint, _accepted) = pool_with_idle_connection().await;
        assert!(pool.acquire_idle(&endpoint).is_none());
        tokio::time::advance(REUSE_DELAY).await;
        assert!(pool.acquire_idle(&endpoint).is_some());
    });
}

/// The async runtime may not have processed the latest input when a connection is acquired.
#[test]
fn an_idle_connection_with_unread_data_or_closed_by_its_endpoint_is_not_reused() {
    for unread in [Some("HTTP/1.1 200 OK\r\n"), None] {
        run_test_with_paused_clock(async {
            let (pool, endpoint, accepted) = pool_with_idle_connection().await;
            tokio::time::advance(REUSE_DELAY).await;
            match unread {
                Some(text) => (&accepted).write_all(text.as_bytes()).unwrap(),
                None => accepted.shutdown(std::net::Shutdown::Both).unwrap(),
            }
            assert!(
                pool.acquire_idle(&endpoint).is_none(),
                "reused with unread data {unread:?} (None: closed by the endpoint)"
            );
        });
    }
}

/// The machine at the former address may have vanished without closing the connection.
#[test]
fn an_idle_connection_to_a_former_address_is_not_reused() {
    run_test_with_paused_clock(async {
        let (pool, endpoint, _accepted) = pool_with_idle_connection().await;
        tokio::time::advance(REUSE_DELAY).await;
        let moved = Endpoint::new("a", "127.0.0.1:1".parse().unwrap());
        assert_eq!(moved.id, endpoint.id);
        assert!(pool.acquire_idle(&moved).is_none());
    });
}
