//! Proof that the configuration in force is the newest, dated from when the question was sent.

use crate::clock::ClockTime;

/// Time that a request needs at most from the check to its upstream, milliseconds.
const PASS_ON_MS: u64 = 400;

/// Part of the bound after which callers are led elsewhere.
const FRESH_PART: u64 = 2;

/// Until when requests with a key may be served.
#[derive(Clone, Copy, Debug)]
pub struct ConfigProof {
    /// Bound within which a revoked key must not work any more; none where keys may lag.
    bound_ms: Option<u64>,
    proved: Option<ClockTime>,
}

impl ConfigProof {
    /// No proof yet; proofs hold for `bound_ms` less what a request needs on its way.
    pub fn new(bound_ms: Option<u64>) -> ConfigProof {
        ConfigProof {
            bound_ms,
            proved: None,
        }
    }

    /// The store answered, not from a stale read, that nothing newer existed after `asked`.
    pub fn renew(&mut self, asked: ClockTime) {
        self.proved = Some(self.proved.map_or(asked, |proved| proved.max(asked)));
    }

    /// Milliseconds since the last proof was asked for.
    pub fn age(&self, now: ClockTime) -> Option<u64> {
        self.proved.map(|proved| now.since(proved))
    }

    /// Whether new callers may be sent to this VM: they should not come to one that will have
    /// to refuse them soon.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        let limit = self.bound_ms.map_or(u64::MAX, |bound| bound / FRESH_PART);
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Whether a request with a key may be sent on.
    pub fn holds(&self, now: ClockTime) -> bool {
        match (self.bound_ms, self.proved) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(proved)) => now.since(proved) + PASS_ON_MS < bound,
        }
    }
}
