//! Free ports for the routers.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;

use crate::run_state::RunState;

/// Ports below those that the system gives to outgoing connections, so that none of these takes one
/// before its router listens on it.
const PORTS: Range<u16> = 12_000..30_000;

/// Different addresses on loopback that are free now, both for TCP and for UDP.
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
