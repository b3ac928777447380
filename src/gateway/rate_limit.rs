//! Limits on requests a second that upstreams name in their answers.

use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::wire::gen::UpstreamLimit;

/// Seconds for which peers are told the number of requests.
const MILLION: f64 = 1e6;

/// Largest limit that is believed, requests a second. A larger one is taken for a garbled header.
const MAX_LIMIT_PER_S: f64 = 1e6;

/// What an answer says of the requests that its upstream takes from all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// Nothing: the upstream names no limit.
    #[default]
    Absent,
    /// Something that is no limit.
    Garbled,
    /// This many requests a second.
    PerSecond(f64),
}

impl LimitStatement {
    /// Reads the values of the header that names a limit: decimal numbers without sign or exponent.
    /// Of several the smallest counts.
    pub fn from_values<'a>(values: impl Iterator<Item = &'a str>) -> LimitStatement {
        let mut statement = LimitStatement::Absent;
        for value in values {
            let limit = parse_limit(value.trim());
            statement = match (statement, limit) {
                (LimitStatement::PerSecond(known), Some(limit)) => {
                    LimitStatement::PerSecond(known.min(limit))
                }
                (_, Some(limit)) => LimitStatement::PerSecond(limit),
                (LimitStatement::Absent, None) => LimitStatement::Garbled,
                (known, None) => known,
            };
        }
        statement
    }
}

fn parse_limit(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let limit: f64 = text.parse().ok().filter(|_| is_decimal)?;
    (limit <= MAX_LIMIT_PER_S).then_some(limit)
}

/// What an upstream said of its limit, and when it may have said so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// Requests a second; `None` if the upstream named no limit.
    pub per_second: Option<f64>,
    /// When the request was sent that it answered.
    pub asked_at: ClockTime,
    /// When the answer arrived.
    pub heard_at: ClockTime,
}

impl StatedLimit {
    /// Whether this takes the place of another statement of the same upstream. Answers overtake each
    /// other: of two that were under way at the same time the stricter counts.
    pub fn replaces(self, other: StatedLimit) -> bool {
        let is_later = self.asked_at >= other.heard_at;
        let is_earlier = self.heard_at <= other.asked_at;
        is_later || (!is_earlier && self.rank() <= other.rank())
    }

    /// The statement in a peer's message.
    pub fn decode(now: ClockTime, limit: &UpstreamLimit) -> StatedLimit {
        let per_second = limit.per_million_seconds as f64 / MILLION;
        let heard_at = now - u64::from(limit.heard_ago_ms);
        StatedLimit {
            per_second: (!limit.ended).then_some(per_second.min(MAX_LIMIT_PER_S)),
            asked_at: heard_at.min(now - u64::from(limit.asked_ago_ms)),
            heard_at,
        }
    }

    /// The statement as told to the peers, for an upstream at `address` that started at `born`.
    pub fn encode(self, now: ClockTime, address: SocketAddr, born: u64) -> UpstreamLimit {
        let ago_ms = |at| u32::try_from(now.since(at)).unwrap_or(u32::MAX);
        UpstreamLimit {
            address: address.to_string(),
            born,
            per_million_seconds: (self.per_second.unwrap_or(0.0) * MILLION) as u64,
            ended: self.per_second.is_none(),
            asked_ago_ms: ago_ms(self.asked_at),
            heard_ago_ms: ago_ms(self.heard_at),
        }
    }

    /// The requests a second, infinite without a limit.
    fn rank(self) -> f64 {
        self.per_second.unwrap_or(f64::INFINITY)
    }
}
