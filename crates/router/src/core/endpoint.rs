//! Endpoints as the core knows them.

use std::cell::Cell;
use std::net::SocketAddr;

use cranetack_routing_policy::{CellId, EndpointId, EndpointState, KindId, Micros, ZoneId};

/// A number for a name that is the same at every router: FNV-1a.
pub(super) fn stable_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// An endpoint with its present state. The upstream shares it, as it must look at the state at the
/// moment of writing.
#[derive(Debug)]
pub struct Endpoint {
    /// Its number.
    pub id: EndpointId,
    /// Its name, the same at every router.
    pub name: String,
    pub(super) address: Cell<SocketAddr>,
    pub(super) active: Cell<bool>,
    /// When this router last had a response from it.
    pub(super) last_response: Cell<Micros>,
}

impl Endpoint {
    /// An endpoint that takes requests.
    pub fn new(name: &str, address: SocketAddr) -> Endpoint {
        Endpoint {
            id: EndpointId(stable_hash(name)),
            name: name.to_owned(),
            address: Cell::new(address),
            active: Cell::new(true),
            last_response: Cell::new(Micros::MIN),
        }
    }

    /// The address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Whether new requests may be written to it: the endpoint list says that it is active.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }
}

/// An entry of the endpoint list, as discovery delivers it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's name.
    pub name: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its size relative to other endpoints of its role.
    pub weight: f64,
    /// When its present process started; absent for long ago.
    pub started_at: Option<Micros>,
}

/// An update of the endpoint list, as discovery delivers it.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointListUpdate {
    /// The entries that have changed.
    Delta(Vec<EndpointEntry>),
    /// All entries; an endpoint that is missing has been removed.
    Snapshot(Vec<EndpointEntry>),
    /// All entries as this router last had them before its restart.
    Restored(Vec<EndpointEntry>),
}
