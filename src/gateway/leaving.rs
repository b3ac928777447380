//! Words that an upstream is leaving, and whether an incarnation may have spoken them: an answer does
//! not say which incarnation gave it, and one that has just started answers before the registry has
//! its entry.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::gateway::upstream::UpstreamEntry;

/// Whether what was heard from an upstream under the name of another incarnation may be true of this
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing was heard under the name of another incarnation.
    Clear,
    /// It gets no requests until it has answered a query.
    Doubted {
        /// Whether a query is under way.
        asked: bool,
    },
    /// It has answered since, and speaks for itself.
    Settled,
}

/// Incarnations that are known to be leaving, by their start in Unix milliseconds.
#[derive(Clone, Debug, Default)]
pub struct LeavingTable {
    /// Those that the store names, by id of the upstream.
    ids: HashMap<String, u64>,
    /// Those that peers name and this gateway does not know, by address of the upstream.
    addresses: HashMap<SocketAddr, u64>,
}

impl LeavingTable {
    /// Adds an incarnation that the store names.
    pub fn insert_id(&mut self, id: &str, born: u64) {
        self.ids.insert(id.to_owned(), born);
    }

    /// Adds an incarnation that a peer names.
    pub fn insert_address(&mut self, address: SocketAddr, born: u64) {
        self.addresses.insert(address, born);
    }

    /// Forgets what the store names, before all of it is read again.
    pub fn forget_ids(&mut self) {
        self.ids.clear();
    }

    /// Whether the incarnation of an entry is known to be leaving.
    pub fn names(&self, entry: &UpstreamEntry) -> bool {
        let mut known = self.known(entry);
        // Incarnations of unknown start cannot be told apart.
        entry.born != 0 && known.any(|born| born == entry.born)
    }

    /// Whether another incarnation of the upstream is known to be leaving, or one that may be another.
    pub fn names_another(&self, entry: &UpstreamEntry) -> bool {
        let mut known = self.known(entry);
        known.any(|born| born != entry.born || entry.born == 0)
    }

    fn known(&self, entry: &UpstreamEntry) -> impl Iterator<Item = u64> + '_ {
        let by_id = self.ids.get(&entry.id);
        let by_address = self.addresses.get(&entry.address);
        by_id.into_iter().chain(by_address).copied()
    }
}
