//! Free addresses for the routers.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;

use crate::run_state::RunState;

/// Range of the ports that routers listen on. It lies below the ephemeral ports, so that no
/// outgoing connection takes a port before its router listens on it.
const PORTS: Range<u16> = 12_000..30_000;

/// Returns `count` different loopback addresses that are free now, both for TCP and for UDP.
pub fn free_addresses(state: &RunState, count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let port = state.draw(PORTS.start.into(), PORTS.end.into()) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if free && !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    Ok(addresses)
}
