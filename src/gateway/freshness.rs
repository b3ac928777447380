//! Freshness proof: evidence that the configuration in force is the newest, dated from when the
//! store was queried.

use crate::clock::ClockTime;

/// Longest time from the check of the proof until the request reaches its upstream, milliseconds.
const MAX_FORWARD_MS: u64 = 400;

/// The proof counts as fresh for the bound divided by this. After that callers are directed to
/// other VMs.
const FRESH_DIVISOR: u64 = 2;

/// Time until which requests with a key may be served.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessProof {
    /// Time within which a revoked key must stop working, milliseconds. `None` if there is no
    /// bound.
    bound_ms: Option<u64>,
    proved_at: Option<ClockTime>,
}

impl FreshnessProof {
    /// Creates a state without a proof. Each proof will be valid for `bound_ms` less the time that
    /// a request needs to reach its upstream.
    pub fn new(bound_ms: Option<u64>) -> FreshnessProof {
        FreshnessProof {
            bound_ms,
            proved_at: None,
        }
    }

    /// Records that the store answered a query sent at `queried_at`, not from a stale read, and had
    /// nothing newer.
    pub fn renew(&mut self, queried_at: ClockTime) {
        self.proved_at = Some(
            self.proved_at
                .map_or(queried_at, |proved_at| proved_at.max(queried_at)),
        );
    }

    /// Time since the query of the newest proof was sent, milliseconds. `None` without a proof.
    pub fn age(&self, now: ClockTime) -> Option<u64> {
        self.proved_at.map(|proved_at| now.since(proved_at))
    }

    /// Whether new callers may be directed to this VM: it must not have to refuse them soon.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        let limit = self
            .bound_ms
            .map_or(u64::MAX, |bound| bound / FRESH_DIVISOR);
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Whether the proof permits that a request with a key is sent to an upstream now.
    pub fn is_valid(&self, now: ClockTime) -> bool {
        match (self.bound_ms, self.proved_at) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(proved_at)) => now.since(proved_at) + MAX_FORWARD_MS < bound,
        }
    }
}
