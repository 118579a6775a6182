//! How the file descriptors and the memory of a router are divided among its parts.

use crate::config::Limits;

/// File descriptors that are reserved for everything except connections to clients and endpoints:
/// listeners, discovery, logs, the runtime, and connections that are accepted to be rejected.
const RESERVED_DESCRIPTORS: usize = 32;
/// Memory that the program itself takes, with its tables of endpoints and requests, in bytes.
const PROGRAM_BYTES: usize = 24_000_000;
/// Memory that a client connection takes beside its request body, in bytes: the buffers of the HTTP
/// library and of what is read ahead.
const CLIENT_CONNECTION_BYTES: usize = 32 * 1024;
/// Client connections may take the memory divided by this.
const CONNECTION_MEMORY_DIVISOR: usize = 4;
/// The bodies of the inference API may take the memory divided by this.
const INFERENCE_MEMORY_DIVISOR: usize = 3;
/// Minimum memory for the bodies of the platform API, in bytes.
const MIN_PLATFORM_BODY_BYTES: usize = 4 * 1024 * 1024;

/// What each part of a router may use at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Capacity {
    /// Maximum number of connections to all endpoints together.
    pub(super) endpoint_connections: usize,
    /// Maximum number of connections to clients, over all frontends. A frontend whose clients hold
    /// few connections leaves the rest to the other one.
    pub(super) client_connections: usize,
    /// Maximum number of bytes of all request bodies of the platform API.
    pub(super) platform_body_bytes: usize,
    /// Maximum number of bytes of all bodies of the inference API.
    pub(super) inference_body_bytes: usize,
}

impl Capacity {
    /// Divides the resources of a router with these limits.
    pub(super) fn new(limits: &Limits, has_inference: bool) -> Capacity {
        let memory_bytes = limits.memory_bytes();
        let connections = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let connection_memory = memory_bytes / CONNECTION_MEMORY_DIVISOR;
        let client_connections = connections.min(connection_memory / CLIENT_CONNECTION_BYTES);
        let inference_body_bytes = memory_bytes / INFERENCE_MEMORY_DIVISOR;
        let inference_share = if has_inference {
            inference_body_bytes
        } else {
            0
        };
        let platform_body_bytes = memory_bytes
            .saturating_sub(PROGRAM_BYTES)
            .saturating_sub(client_connections * CLIENT_CONNECTION_BYTES)
            .saturating_sub(inference_share)
            .max(MIN_PLATFORM_BODY_BYTES);
        Capacity {
            endpoint_connections: connections,
            client_connections: client_connections.max(1),
            platform_body_bytes,
            inference_body_bytes,
        }
    }
}

#[cfg(test)]
mod tests;
