//! Servers as the core knows them.

use std::cell::Cell;
use std::net::SocketAddr;

use cranetack_routing_policy::{CellId, HostId, KindId, Micros, Readiness, ZoneId};

/// A number for a word that is the same at every router: FNV-1a.
pub(super) fn stable(word: &str) -> u64 {
    word.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A server as the list has it now. Shared with the upstream, which must look at the moment of writing.
#[derive(Debug)]
pub struct Host {
    /// Its number.
    pub id: HostId,
    /// Its name, the same at every router.
    pub name: String,
    pub(super) address: Cell<SocketAddr>,
    pub(super) open: Cell<bool>,
    /// When it last answered us.
    pub(super) heard: Cell<Micros>,
}

impl Host {
    /// A server that takes work.
    pub fn new(name: &str, address: SocketAddr) -> Host {
        Host {
            id: HostId(stable(name)),
            name: name.to_owned(),
            address: Cell::new(address),
            open: Cell::new(true),
            heard: Cell::new(Micros::MIN),
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Whether new work may be written to it: the list says that it is up.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }
}

/// A line of the list of servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Its size beside others of its stage.
    pub weight: f64,
    /// When it last started; absent for long ago.
    pub last_start: Option<Micros>,
}
