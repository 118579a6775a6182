//! The core's endpoints, and the entries of the endpoint list from which they come.

use std::cell::Cell;
use std::net::SocketAddr;

use cranetack_routing_policy::{CellId, EndpointId, EndpointState, KindId, Micros, ZoneId};

/// The FNV-1a hash of a name. All routers compute the same number for a name.
pub(super) fn stable_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// An endpoint with its current state. The core shares it with the upstream, which checks the state
/// right before it writes a request.
#[derive(Debug)]
pub struct Endpoint {
    /// The endpoint's id, which is the hash of its name.
    pub id: EndpointId,
    /// The endpoint's name, the same at every router.
    pub name: String,
    pub(super) address: Cell<SocketAddr>,
    pub(super) active: Cell<bool>,
    /// When this router last received a response from the endpoint.
    pub(super) last_response: Cell<Micros>,
}

impl Endpoint {
    /// Creates an endpoint that accepts new requests.
    pub fn new(name: &str, address: SocketAddr) -> Endpoint {
        Endpoint {
            id: EndpointId(stable_hash(name)),
            name: name.to_owned(),
            address: Cell::new(address),
            active: Cell::new(true),
            last_response: Cell::new(Micros::MIN),
        }
    }

    /// The address at which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Whether new requests may be written to the endpoint, that is, whether the endpoint list says
    /// that it is active.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }
}

/// An entry of the endpoint list, as discovery delivers it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's name.
    pub name: String,
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's zone.
    pub zone: ZoneId,
    /// The endpoint's kind.
    pub kind: KindId,
    /// The endpoint's cell.
    pub cell: CellId,
    /// Whether the endpoint is active, draining or removed.
    pub state: EndpointState,
    /// The size of the endpoint relative to other endpoints of its role.
    pub weight: f64,
    /// When the endpoint's current process started; absent if that was long ago.
    pub started_at: Option<Micros>,
}

/// An update of the endpoint list, as discovery delivers it.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointListUpdate {
    /// The entries that have changed.
    Delta(Vec<EndpointEntry>),
    /// All entries; an endpoint that is not among them has been removed.
    Snapshot(Vec<EndpointEntry>),
    /// All entries as this router had them before it restarted; they may be out of date.
    Restored(Vec<EndpointEntry>),
}
