//! Maps names on the wire to the numeric ids of the policy.

use std::collections::HashMap;

/// Request names, numbered in the order of their first use.
#[derive(Default)]
pub(crate) struct RequestNames {
    ids: HashMap<String, u32>,
    names: Vec<String>,
}

impl RequestNames {
    /// Returns the id of a name, assigning the next free id to a new name.
    pub(crate) fn id(&mut self, name: &str) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    /// Returns the name with this id; empty if there is none.
    pub(crate) fn name(&self, id: u32) -> &str {
        self.names.get(id as usize).map_or("", String::as_str)
    }
}

/// Hashes a name with FNV-1a, so that the id is the same in every process.
pub(crate) fn stable_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
