//! How the file descriptors and the memory of a router are divided among its parts.

use crate::config::Limits;
use crate::frontend::ConnectionLimiter;
use crate::memory::MemoryLedger;
use crate::upstream;

/// File descriptors that are reserved for everything except connections to clients and endpoints:
/// listeners, discovery, logs, the runtime, and connections that are accepted to be rejected.
const RESERVED_DESCRIPTORS: usize = 32;
/// Memory that the program itself takes, with its tables of endpoints, in bytes.
const PROGRAM_BYTES: usize = 8_000_000;
/// Part of the other memory that is not given out: what the allocator keeps between connections, and
/// what is too small to be reserved, such as lines of the log.
const UNRESERVED_DIVISOR: usize = 5;
/// Minimum memory that is given out, in bytes.
const MIN_LEDGER_BYTES: usize = 4 * 1024 * 1024;
/// The bodies of the inference API may take the memory divided by this.
const INFERENCE_MEMORY_DIVISOR: usize = 3;

/// What each part of a router may use at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Capacity {
    /// Maximum number of connections to all endpoints together.
    pub(super) endpoint_connections: usize,
    /// Maximum number of connections to clients, over all frontends. A frontend whose clients hold
    /// few connections leaves the rest to the other one.
    pub(super) client_connections: usize,
    /// Memory of all connections, requests and responses together, in bytes.
    pub(super) ledger_bytes: usize,
    /// Memory that all connections with a request each need, in bytes.
    pub(super) connection_bytes: usize,
    /// Maximum number of bytes of all bodies of the inference API, which are a part of the ledger.
    pub(super) inference_body_bytes: usize,
}

impl Capacity {
    /// Divides the resources of a router with these limits.
    pub(super) fn new(limits: &Limits) -> Capacity {
        let connections = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let memory_bytes = limits.memory_bytes();
        let other_bytes = memory_bytes.saturating_sub(PROGRAM_BYTES);
        let ledger_bytes = other_bytes - other_bytes / UNRESERVED_DIVISOR;
        let client_connections = connections.max(1);
        Capacity {
            endpoint_connections: connections,
            client_connections,
            ledger_bytes: ledger_bytes.max(MIN_LEDGER_BYTES),
            connection_bytes: client_connections * ConnectionLimiter::BYTES_PER_REQUEST
                + connections * upstream::CONNECTION_BYTES,
            inference_body_bytes: memory_bytes / INFERENCE_MEMORY_DIVISOR,
        }
    }

    /// Creates the ledger of the memory.
    pub(super) fn memory_ledger(&self) -> MemoryLedger {
        MemoryLedger::with_fixed_need(self.ledger_bytes, self.connection_bytes)
    }
}

#[cfg(test)]
mod tests;
