//! The gateways among which limits are divided, as one of them knows them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::clock::ClockTime;

/// Age up to which a message shows that a gateway is there, milliseconds.
const HEARD_MS: u64 = 1_500;
/// Time for which a gateway counts that is no longer registered, milliseconds. After an outage of the
/// store gateways register again within it.
const MEMBER_RETENTION_MS: u64 = 5_000;
/// Time from the start after which a gateway has a share, milliseconds. By then the others count it.
const JOIN_MS: u64 = 2_000;
/// A gateway that has heard none of the others for this time has no share, milliseconds: they may no
/// longer count it.
const ISOLATION_MS: u64 = 10_000;

/// The members: the gateways that are registered in the store, and those that are heard.
#[derive(Clone, Debug)]
pub struct MemberView {
    own: SocketAddr,
    /// The other registered gateways.
    registered: BTreeSet<SocketAddr>,
    /// When the others were last heard.
    heard: BTreeMap<SocketAddr, ClockTime>,
    /// Numbers of members at earlier times, for [`MEMBER_RETENTION_MS`].
    counts: VecDeque<(ClockTime, usize)>,
    /// When the members were first known.
    joined_at: Option<ClockTime>,
    /// When any of the others was last heard.
    last_heard: Option<ClockTime>,
    /// Number of the members that were heard lately, this one included.
    live_count: usize,
}

impl MemberView {
    /// Creates the view of the gateway with this address, which knows of no other.
    pub fn new(own: SocketAddr) -> MemberView {
        MemberView {
            own,
            registered: BTreeSet::new(),
            heard: BTreeMap::new(),
            counts: VecDeque::new(),
            joined_at: None,
            last_heard: None,
            live_count: 1,
        }
    }

    /// Address of this gateway.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Sets the other gateways that are registered. Returns whether there are new ones.
    pub fn set_registered(&mut self, now: ClockTime, others: &[SocketAddr]) -> bool {
        self.joined_at.get_or_insert(now);
        let mut all = others.iter();
        let has_new = all.any(|other| !self.registered.contains(other));
        self.registered = others.iter().copied().collect();
        self.registered.remove(&self.own);
        self.update(now);
        has_new
    }

    /// Records that a message of another gateway arrived.
    pub fn record_heard(&mut self, now: ClockTime, other: SocketAddr) {
        self.last_heard = Some(now);
        if self.heard.insert(other, now).is_none() {
            self.update(now);
        }
    }

    /// Counts the members anew. To be called at least once a second.
    pub fn update(&mut self, now: ClockTime) {
        self.heard.retain(|_, at| now.since(*at) < ISOLATION_MS);
        let count = self.count(now);
        let is_kept = |(at, _): &(ClockTime, usize)| now.since(*at) < MEMBER_RETENTION_MS;
        self.counts.retain(is_kept);
        self.counts.push_back((now, count));
        self.live_count = self.live(now).count();
    }

    fn live(&self, now: ClockTime) -> impl Iterator<Item = SocketAddr> + '_ {
        let heard = self.heard.iter();
        let live = heard.filter(move |(_, at)| now.since(**at) < HEARD_MS);
        live.map(|(member, _)| *member).chain([self.own])
    }

    fn count(&self, now: ClockTime) -> usize {
        let unregistered = self
            .live(now)
            .filter(|member| *member != self.own && !self.registered.contains(member));
        1 + self.registered.len() + unregistered.count()
    }

    /// Number of members among which limits are divided.
    pub fn divisor(&self) -> f64 {
        let counts = self.counts.iter().map(|(_, count)| *count);
        counts.max().unwrap_or(1) as f64
    }

    /// Number of the members that were heard lately, this one included.
    pub fn live_count(&self) -> f64 {
        self.live_count as f64
    }

    /// Whether this gateway has a share: the others count it.
    pub fn has_share(&self, now: ClockTime) -> bool {
        let has_joined = self
            .joined_at
            .is_some_and(|joined_at| now >= joined_at + JOIN_MS);
        let last_heard = self.last_heard.or(self.joined_at).unwrap_or_default();
        has_joined && (self.registered.is_empty() || now.since(last_heard) < ISOLATION_MS)
    }

    /// The member that collects the permits of the incarnation of an upstream that `digest` stands
    /// for, of those that are heard.
    pub fn collector(&self, now: ClockTime, digest: u64) -> SocketAddr {
        let rank = |member: &SocketAddr| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&digest.to_be_bytes());
            hasher.update(member.to_string().as_bytes());
            *hasher.finalize().as_bytes()
        };
        self.live(now).max_by_key(rank).unwrap_or(self.own)
    }
}
