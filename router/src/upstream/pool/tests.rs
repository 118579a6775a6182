use super::*;
use cranetack_standins::{run, Behaviour, Worker};

/// Guards against descriptors and buffers held for connections that a burst has left behind.
#[test]
fn few_connections_are_kept_to_a_worker() {
    run(async {
        let worker = Worker::start(1, Behaviour::Answer).await;
        let host = Host::new("a", worker.address);
        let pool = ConnectionPool::new(9, Duration::from_secs(1), Duration::from_secs(60));
        let until = Instant::now() + Duration::from_secs(9);
        let mut taken = Vec::new();
        for _ in 0..2 * IDLE_LIMIT {
            taken.push(pool.acquire(&host, until).await.unwrap());
        }
        for connection in taken {
            pool.release(connection).await;
        }
        assert_eq!(pool.available(), 9 - IDLE_LIMIT);
    });
}
