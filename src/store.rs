//! Interface of a key-value store: requests, responses and the trait that its clients implement.
//!
//! There are two clients: [`etcd::EtcdStore`] for the HTTP/JSON form of etcd's v3 API, and
//! [`KvStore`](crate::platform::kv::KvStore) for the store of the deployment's platform.

pub mod etcd;
pub mod position;

use std::future::Future;
use std::pin::Pin;

/// A key-value pair of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformItem {
    /// The key, unique in the store.
    pub key: String,
    /// The stored value.
    pub value: Vec<u8>,
    /// Store revision at which the key was created.
    pub create_revision: u64,
    /// Store revision at which the key was last written.
    pub mod_revision: u64,
}

/// A condition of a transaction. [`KvStore`](crate::platform::kv::KvStore) supports only
/// [`PlatformCompare::ModRevision`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCompare {
    /// The key was last written at this revision; zero requires that the key does not exist.
    ModRevision(String, u64),
    /// The key was created at this revision; zero requires that the key does not exist.
    CreateRevision(String, u64),
    /// The key exists and has this value.
    Value(String, Vec<u8>),
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformWrite {
    /// Stores a value. The key is removed when its lease expires, if it has one.
    Put {
        /// The key to write.
        key: String,
        /// The value to store.
        value: Vec<u8>,
        /// Id of the lease, or zero for none.
        lease: i64,
    },
    /// Deletes the keys from `key` up to `range_end`, exclusive, or only `key` if `range_end` is
    /// empty. [`KvStore`](crate::platform::kv::KvStore) supports only an empty `range_end`.
    Delete {
        /// First key of the range.
        key: String,
        /// End of the range, exclusive, or empty.
        range_end: String,
    },
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Reads the keys from `key` up to `range_end`, exclusive, or only `key` if `range_end` is
    /// empty. [`KvStore`](crate::platform::kv::KvStore) ignores the value of a `range_end` that is
    /// not empty and reads all keys with the prefix `key`.
    Range {
        /// First key of the range.
        key: String,
        /// End of the range, exclusive, or empty.
        range_end: String,
    },
    /// A transaction: applies the writes if every condition holds, else returns the current state
    /// of the keys in `reads`.
    Txn {
        /// Conditions that must all hold for the writes.
        compares: Vec<PlatformCompare>,
        /// Writes to apply if the conditions hold.
        writes: Vec<PlatformWrite>,
        /// Keys to return if the conditions do not hold. [`KvStore`](crate::platform::kv::KvStore)
        /// ignores them and returns the keys that the conditions name.
        reads: Vec<String>,
    },
    /// Creates a lease.
    LeaseGrant {
        /// Time to live, seconds.
        ttl_s: i64,
    },
    /// Renews a lease, whose time to live then starts again.
    LeaseKeepAlive {
        /// Id of the lease.
        lease: i64,
    },
    /// Revokes a lease, which removes the keys stored under it.
    LeaseRevoke {
        /// Id of the lease.
        lease: i64,
    },
}

/// The store's response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformResponse {
    /// Result of a range read.
    Range {
        /// Store revision at the time of the read.
        revision: u64,
        /// The key-value pairs in the range.
        items: Vec<PlatformItem>,
    },
    /// Result of a transaction.
    Txn {
        /// Whether the conditions held and the writes were applied.
        succeeded: bool,
        /// Store revision after the transaction. If the conditions did not hold,
        /// [`KvStore`](crate::platform::kv::KvStore) returns zero.
        revision: u64,
        /// Key-value pairs that were read because the conditions did not hold.
        items: Vec<PlatformItem>,
    },
    /// State of a lease.
    Lease {
        /// Id of the lease; zero if the response states none.
        lease: i64,
        /// Remaining time to live, seconds; zero or less if the lease does not exist.
        ttl_s: i64,
    },
}

/// Why a request to the store brought no usable response, as text for the log. A write may have
/// taken effect nevertheless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformError(pub String);

/// Response of the store, or why there is no usable one.
pub type PlatformResult = Result<PlatformResponse, PlatformError>;

/// Pending result of a request to the store; it borrows nothing from the client.
pub type PlatformFuture = Pin<Box<dyn Future<Output = PlatformResult> + Send>>;

/// A client of a key-value store.
pub trait PlatformStore: Send + Sync {
    /// Sends one request and waits for its response.
    fn send(&self, request: PlatformRequest) -> PlatformFuture;
}

/// Returns the exclusive end of the range of all keys with a prefix: the prefix with its last byte
/// incremented. The result is empty if that is not valid UTF-8.
pub fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last += 1;
    }
    String::from_utf8(bytes).unwrap_or_default()
}
