//! Freshness proof: evidence that the configuration in force is the newest, dated from when the
//! store was queried.

use crate::clock::ClockTime;

/// Longest time from the check of the proof until the request reaches its upstream, milliseconds.
const MAX_FORWARD_MS: u64 = 400;

/// A proof counts as fresh for its bound divided by this. After that, new callers are directed to
/// other VMs, while requests with a key are still served until the proof becomes invalid.
const FRESH_DIVISOR: u64 = 2;

/// Time of the newest proof that the configuration is the newest, and the bound on its age.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessProof {
    /// Time within which a revoked key must stop working, milliseconds. `None` if there is no
    /// bound.
    bound_ms: Option<u64>,
    /// When the query of the newest proof was sent. `None` if nothing was proved yet.
    proved_at: Option<ClockTime>,
}

impl FreshnessProof {
    /// Creates a proof that has not been established yet. Once renewed, it is valid for `bound_ms`
    /// less `MAX_FORWARD_MS`, or indefinitely if there is no bound.
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

    /// Time since the query of the newest proof was sent, milliseconds. `None` if nothing was
    /// proved yet.
    pub fn age(&self, now: ClockTime) -> Option<u64> {
        self.proved_at.map(|proved_at| now.since(proved_at))
    }

    /// Whether the proof is recent enough for new callers to be directed to this VM. This is
    /// stricter than [`Self::is_valid`], so that the VM need not refuse them soon.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        let limit = self
            .bound_ms
            .map_or(u64::MAX, |bound| bound / FRESH_DIVISOR);
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Whether a request with a key may be sent to an upstream now.
    pub fn is_valid(&self, now: ClockTime) -> bool {
        match (self.bound_ms, self.proved_at) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(proved_at)) => now.since(proved_at) + MAX_FORWARD_MS < bound,
        }
    }
}
