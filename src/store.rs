//! The platform's key-value service: what is asked of it, and the edge that asks.
//!
//! It is spoken to in one of two forms: the HTTP/JSON form of etcd's v3 API in [`etcd`], and that
//! of the users' platform in [`crate::platform::kv`].

pub mod etcd;

use std::future::Future;
use std::pin::Pin;

/// One stored key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformItem {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision at which it was created.
    pub create_revision: u64,
    /// Revision at which it was last changed.
    pub mod_revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCompare {
    /// The key was last changed at this revision; zero means that it does not exist.
    ModRevision(String, u64),
    /// The key was created at this revision; zero means that it does not exist.
    CreateRevision(String, u64),
    /// The key has this value.
    Value(String, Vec<u8>),
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformWrite {
    /// Stores a value, under a lease unless that is zero.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease, or zero.
        lease: i64,
    },
    /// Deletes keys from `key` up to but not including `range_end`; only `key` if that is empty.
    Delete {
        /// First key.
        key: String,
        /// End of the range, or empty.
        range_end: String,
    },
}

/// What is asked of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Reads keys from `key` up to but not including `range_end`; only `key` if that is empty.
    Range {
        /// First key.
        key: String,
        /// End of the range, or empty.
        range_end: String,
    },
    /// Writes if every condition holds, else reads some keys.
    Txn {
        /// The conditions.
        compares: Vec<PlatformCompare>,
        /// The writes when they hold.
        writes: Vec<PlatformWrite>,
        /// Keys to read when they do not.
        reads: Vec<String>,
    },
    /// Creates a lease.
    LeaseGrant {
        /// Time to live, seconds.
        ttl_s: i64,
    },
    /// Extends a lease.
    LeaseKeepAlive {
        /// The lease.
        lease: i64,
    },
    /// Ends a lease.
    LeaseRevoke {
        /// The lease.
        lease: i64,
    },
}

/// What the platform answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// Keys read.
    Range {
        /// Revision of the store.
        revision: u64,
        /// The keys.
        items: Vec<PlatformItem>,
    },
    /// A transaction's result.
    Txn {
        /// Whether the conditions held.
        succeeded: bool,
        /// Revision of the store.
        revision: u64,
        /// Keys read when they did not.
        items: Vec<PlatformItem>,
    },
    /// A lease's state.
    Lease {
        /// The lease.
        lease: i64,
        /// Time left, seconds; zero or less means that it is gone.
        ttl_s: i64,
    },
}

/// No answer came. A write may have taken effect all the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformError(pub String);

/// The result of a call.
pub type PlatformResult = Result<PlatformAnswer, PlatformError>;

/// The future of a call's result.
pub type PlatformFuture = Pin<Box<dyn Future<Output = PlatformResult> + Send>>;

/// The edge of a process towards the platform.
pub trait PlatformStore: Send + Sync {
    /// Makes one call.
    fn call(&self, call: PlatformCall) -> PlatformFuture;
}

/// The end of the range of all keys with a prefix.
pub fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last += 1;
    }
    String::from_utf8(bytes).unwrap_or_default()
}
