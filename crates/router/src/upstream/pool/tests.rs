use std::io::Write;

use super::*;
use cranetack_testkit::{run, run_paused, Behaviour, FakeServer};

/// Guards against descriptors and buffers held for connections that a burst has left behind.
#[test]
fn few_connections_are_kept_to_a_worker() {
    run(async {
        let worker = FakeServer::start(1, Behaviour::Answer).await;
        let endpoint = Endpoint::new("a", worker.address);
        let pool = ConnectionPool::new(9, Duration::from_secs(1), Duration::from_secs(60));
        let until = Instant::now() + Duration::from_secs(9);
        let mut taken = Vec::new();
        for _ in 0..2 * IDLE_LIMIT {
            taken.push(pool.acquire(&endpoint, until).await.unwrap());
        }
        for connection in taken {
            pool.release(connection).await;
        }
        assert_eq!(pool.available(), 9 - IDLE_LIMIT);
    });
}

/// A pool, a server whose connections the test drives without the runtime, and a connection that has been answered and
/// kept there.
async fn with_kept_connection() -> (ConnectionPool, Endpoint, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Endpoint::new("a", listener.local_addr().unwrap());
    let pool = ConnectionPool::new(9, Duration::from_secs(1), Duration::from_secs(60));
    let connection = pool
        .connect(&server, Instant::now() + Duration::from_secs(9))
        .await
        .unwrap();
    let (accepted, _) = listener.accept().unwrap();
    pool.release(connection).await;
    (pool, server, accepted)
}

/// Guards against a second answer some milliseconds behind a spoilt one, which the next request would be given.
#[test]
fn a_connection_rests_before_it_is_used_again() {
    run_paused(async {
        let (pool, server, _accepted) = with_kept_connection().await;
        assert!(pool.acquire_idle(&server).is_none());
        tokio::time::advance(REST).await;
        assert!(pool.acquire_idle(&server).is_some());
    });
}

/// Guards against a request that is written to a connection on which something waits that the runtime has not seen: the
/// rest of an answer, or the connection's end.
#[test]
fn a_connection_is_not_used_once_its_server_has_said_something_or_closed() {
    for said in [Some("HTTP/1.1 200 OK\r\n"), None] {
        run_paused(async {
            let (pool, server, accepted) = with_kept_connection().await;
            tokio::time::advance(REST).await;
            match said {
                Some(text) => (&accepted).write_all(text.as_bytes()).unwrap(),
                None => accepted.shutdown(std::net::Shutdown::Both).unwrap(),
            }
            assert!(pool.acquire_idle(&server).is_none(), "{said:?}");
        });
    }
}

/// Guards against a request that is written to a machine that has vanished, while its server is back at another address.
#[test]
fn a_connection_to_a_former_address_is_not_used() {
    run_paused(async {
        let (pool, server, _accepted) = with_kept_connection().await;
        tokio::time::advance(REST).await;
        let moved = Endpoint::new("a", "127.0.0.1:1".parse().unwrap());
        assert_eq!(moved.id, server.id);
        assert!(pool.acquire_idle(&moved).is_none());
    });
}
