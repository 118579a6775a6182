//! Endpoint list entries of fake servers.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Returns the endpoint list entry of the model server at `address`. `server_type` and `status` are
/// values of the wire format, such as `mixed` and `up`.
pub fn endpoint_entry_at(address: SocketAddr, server_type: &str, status: &str) -> Value {
    json!({
        "name": format!("w{}", address.port()),
        "address": address.to_string(),
        "zone": "here",
        "type": server_type,
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    })
}
