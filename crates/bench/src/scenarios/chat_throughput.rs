//! Measures how many chats a router serves per second of its processor time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cranetack_testkit::Client;
use tokio::task::spawn_local;

use crate::environment::TestEnvironment;
use crate::requests::chat_request;

const CLIENTS: usize = 8;
const MEASUREMENT_DURATION: Duration = Duration::from_secs(2);
/// Lower bound of the processor time by which the number of chats is divided, in seconds.
const MIN_CPU_TIME_S: f64 = 0.01;

/// Returns the number of chats served per second of the router's processor time.
pub(crate) async fn measure(environment: &TestEnvironment) -> f64 {
    environment.set_service_time(Duration::ZERO, Duration::ZERO);
    let address = environment.router.inference_address;
    let cpu_time_before = environment.router.cpu_time_s();
    let end = Instant::now() + MEASUREMENT_DURATION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| spawn_local(send_chats(address, client, end)))
        .collect();
    let mut served = 0;
    for client in clients {
        served += client.await.unwrap_or(0);
    }
    let cpu_time = environment.router.cpu_time_s() - cpu_time_before;
    served as f64 / cpu_time.max(MIN_CPU_TIME_S)
}

/// Sends one chat after another until `end`, and returns how many were served.
async fn send_chats(address: SocketAddr, client: usize, end: Instant) -> u64 {
    let mut connection = Client::connect(address).await;
    let mut served = 0;
    while Instant::now() < end {
        let request = chat_request(&format!("q{client}-{served}"));
        let (status, _, _) = connection.send(request).await;
        if status == 200 {
            served += 1;
        }
    }
    served
}
