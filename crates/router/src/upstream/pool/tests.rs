//! Which connections stay idle in the pool, and which are used again.

mod model;

use std::io::Write;

use super::*;
use cranetack_testkit::{run, run_paused, Behaviour, FakeServer};

/// A burst must not leave many descriptors and buffers in use.
#[test]
fn few_idle_connections_to_an_endpoint_stay_open() {
    run(async {
        let server = FakeServer::start(1, Behaviour::Answer).await;
        let endpoint = Endpoint::new("a", server.address);
        let pool = ConnectionPool::new(9, Duration::from_secs(1), Duration::from_secs(60));
        let until = Instant::now() + Duration::from_secs(9);
        let mut connections = Vec::new();
        for _ in 0..2 * IDLE_LIMIT {
            connections.push(pool.acquire(&endpoint, until).await.unwrap());
        }
        for connection in connections {
            pool.release(connection).await;
        }
        assert_eq!(pool.available_permits(), 9 - IDLE_LIMIT);
    });
}

/// A pool with one idle connection, its endpoint, and the endpoint's side of the connection, which
/// the test drives without the runtime.
async fn pool_with_idle_connection() -> (ConnectionPool, Endpoint, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = Endpoint::new("a", listener.local_addr().unwrap());
    let pool = ConnectionPool::new(9, Duration::from_secs(1), Duration::from_secs(60));
    let connection = pool
        .connect(&endpoint, Instant::now() + Duration::from_secs(9))
        .await
        .unwrap();
    let (accepted, _) = listener.accept().unwrap();
    pool.release(connection).await;
    (pool, endpoint, accepted)
}

/// A faulty endpoint may send a second response shortly after the first.
#[test]
fn an_idle_connection_is_used_again_only_after_a_delay() {
    run_paused(async {
        let (pool, endpoint, _accepted) = pool_with_idle_connection().await;
        assert!(pool.acquire_idle(&endpoint).is_none());
        tokio::time::advance(REUSE_DELAY).await;
        assert!(pool.acquire_idle(&endpoint).is_some());
    });
}

/// The runtime may not have seen yet what arrived last.
#[test]
fn an_idle_connection_with_unread_data_or_closed_by_its_endpoint_is_not_used() {
    for unread in [Some("HTTP/1.1 200 OK\r\n"), None] {
        run_paused(async {
            let (pool, endpoint, accepted) = pool_with_idle_connection().await;
            tokio::time::advance(REUSE_DELAY).await;
            match unread {
                Some(text) => (&accepted).write_all(text.as_bytes()).unwrap(),
                None => accepted.shutdown(std::net::Shutdown::Both).unwrap(),
            }
            assert!(pool.acquire_idle(&endpoint).is_none(), "{unread:?}");
        });
    }
}

/// The machine at the former address may have vanished.
#[test]
fn an_idle_connection_to_a_former_address_is_not_used() {
    run_paused(async {
        let (pool, endpoint, _accepted) = pool_with_idle_connection().await;
        tokio::time::advance(REUSE_DELAY).await;
        let moved = Endpoint::new("a", "127.0.0.1:1".parse().unwrap());
        assert_eq!(moved.id, endpoint.id);
        assert!(pool.acquire_idle(&moved).is_none());
    });
}
