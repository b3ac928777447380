//! Keeps the limits that upstreams name as sums over all gateways.
//!
//! Each gateway accrues an equal share of a limit as permits, fractions of one included. A whole
//! permit allows one arrival at the upstream. A permit is spent, given away or dropped but never
//! copied, so that all gateways together accrue no more than the limit, whichever of their messages
//! are late or lost and whatever they believe of each other.
//!
//! A share may be far below one request a second. What a gateway does not keep for itself goes to the
//! collector of the limit, one of the gateways that it hears, and from there to whichever gateway asks
//! for a permit. Two collectors at the same time do no harm: they divide what was accrued.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::gateway::member_view::MemberView;
use crate::gateway::rate_limit::StatedLimit;
use crate::gateway::upstream::UpstreamKey;

/// Interval at which a gateway gives away the permits that it does not keep, milliseconds.
pub const GIFT_INTERVAL_MS: u64 = 500;
/// Smallest amount of permits that is given away.
const MIN_GIFT: f64 = 0.01;
/// A gateway keeps the permits of its share for this time, if that is at least one, seconds.
const HOLD_S: f64 = 0.5;
/// A gateway that gives permits away has at most those of its share for this time beside, seconds.
const MAX_UNGIVEN_S: f64 = 0.75;
/// A collector keeps the permits of the shares of those it hears for this time, beside one or two,
/// seconds.
const COLLECT_S: f64 = 0.5;
/// A gateway collects only if it hears one gateway in this many, so that the permits which all
/// collectors keep are few.
const MAX_COLLECTORS: f64 = 4.0;
/// Limits below this are taken for this, requests a second: the end of a limit of zero is heard only
/// if the upstream is asked now and then.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// Longest time for which permits accrue at once, milliseconds. A VM that was suspended for longer
/// does not make up for it.
const MAX_ACCRUAL_MS: u64 = 1_000;
/// Shortest time after a denial until a gateway asks again, milliseconds.
const MIN_BACKOFF_MS: u64 = 50;
/// Longest time after a denial until a gateway asks again, milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;
/// Time after which an upstream is preferred from which no answer was heard, milliseconds.
const UNHEARD_MS: u64 = 4_000;
/// Interval at which the limits that a gateway collects for are told to the peers, milliseconds.
const REPORT_ALL_MS: u64 = 2_000;
/// Number of times that a change of a limit is told to the peers, since datagrams get lost.
const REPORT_REPEATS: u32 = 3;
/// Time from the last answer for which the limit of an upstream that is gone is remembered,
/// milliseconds.
const GONE_RETENTION_MS: u64 = 60_000;
/// Time from the last answer for which the end of a limit is remembered, milliseconds.
const ENDED_RETENTION_MS: u64 = 30_000;

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The upstream names no limit.
    Unlimited,
    /// A permit was spent on it.
    Granted,
    /// If the collector at this address grants a permit.
    Ask(SocketAddr),
    /// No permit may be had now.
    Denied {
        /// Time until there is expected to be one, milliseconds.
        ready_ms: u64,
    },
}

/// What a gateway replies to one that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitReply {
    /// One permit, which is no longer the sender's.
    Granted,
    /// No permit.
    Denied {
        /// Time until the sender is expected to have one, milliseconds.
        ready_ms: u64,
    },
}

/// Permits that change hands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitGift {
    /// The gateway that gets them.
    pub to: SocketAddr,
    /// The upstream that they are for.
    pub upstream: UpstreamKey,
    /// Number of permits, which may be a fraction.
    pub amount: f64,
}

/// Where a gateway heard of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// In an answer of the upstream.
    Upstream,
    /// In a message of another gateway.
    Peer,
}

/// A change of the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Requests a second before; `None` for no limit.
    pub previous: Option<f64>,
    /// Requests a second now; `None` for no limit.
    pub current: Option<f64>,
}

/// A limit, and what this gateway has of it.
#[derive(Clone, Debug)]
struct PermitShare {
    stated: StatedLimit,
    /// Tells the upstream's incarnation from others, at all gateways alike.
    digest: u64,
    /// Permits that this gateway keeps for itself. Negative if it sent something that could not wait
    /// for one.
    held: f64,
    /// Permits that it collects for all gateways, or is to give to the one that does.
    surplus: f64,
    accrued_at: ClockTime,
    collector: SocketAddr,
    /// Until when this gateway asks for no permit after a denial.
    denied_until: ClockTime,
    reports_left: u32,
}

impl PermitShare {
    /// The limit for all gateways together, requests a second; `None` if there is none.
    fn limit(&self) -> Option<f64> {
        self.stated
            .per_second
            .map(|limit| limit.max(MIN_LIMIT_PER_S))
    }
}

/// The limits that upstreams name, and what one gateway has of each.
#[derive(Clone, Debug)]
pub struct PermitTable {
    members: MemberView,
    shares: BTreeMap<UpstreamKey, PermitShare>,
    /// Until when this gateway asks for no permits at all.
    asks_paused_until: ClockTime,
    /// When all limits were last told to the peers.
    reported_at: ClockTime,
}

impl PermitTable {
    /// Creates the table of the gateway with this address, which knows of no other and no limit.
    pub fn new(own: SocketAddr) -> PermitTable {
        PermitTable {
            members: MemberView::new(own),
            shares: BTreeMap::new(),
            asks_paused_until: ClockTime::default(),
            reported_at: ClockTime::default(),
        }
    }

    /// Sets the other gateways that are registered. New ones are told the limits.
    pub fn set_registered(&mut self, now: ClockTime, others: &[SocketAddr]) {
        let has_new = self.members.set_registered(now, others);
        if has_new {
            self.reported_at = ClockTime::default();
        }
    }

    /// Records that a message of another gateway arrived.
    pub fn record_heard(&mut self, now: ClockTime, other: SocketAddr) {
        self.members.record_heard(now, other);
    }

    /// Applies what an upstream said. `digest` tells its incarnation from others, at all gateways
    /// alike. Returns the change, if there is any; only one that was heard here is told to the peers.
    pub fn apply(
        &mut self,
        now: ClockTime,
        key: UpstreamKey,
        digest: u64,
        stated: StatedLimit,
        source: LimitSource,
    ) -> Option<LimitChange> {
        let reports = match source {
            LimitSource::Upstream => REPORT_REPEATS,
            LimitSource::Peer => 0,
        };
        assert!(
            stated.per_second.is_none_or(|limit| limit >= 0.0),
            "a limit below zero was not rejected"
        );
        let Some(share) = self.shares.get_mut(&key) else {
            if stated.per_second.is_some() {
                let share = PermitShare {
                    stated,
                    digest,
                    held: 0.0,
                    surplus: 0.0,
                    accrued_at: now,
                    collector: self.members.collector(now, digest),
                    denied_until: now,
                    reports_left: reports,
                };
                self.shares.insert(key, share);
            }
            return stated.per_second.map(|limit| LimitChange {
                previous: None,
                current: Some(limit),
            });
        };
        if !stated.replaces(share.stated) {
            return None;
        }
        let previous = share.stated.per_second;
        let current = stated.per_second;
        if previous == current {
            share.stated.asked_at = share.stated.asked_at.max(stated.asked_at);
            share.stated.heard_at = share.stated.heard_at.max(stated.heard_at);
            return None;
        }
        accrue(&self.members, share, now);
        share.stated = stated;
        share.reports_left = reports;
        share.denied_until = now;
        trim(&self.members, share);
        Some(LimitChange { previous, current })
    }

    /// Whether an upstream names a limit, or did so lately.
    pub fn is_known(&self, key: UpstreamKey) -> bool {
        self.shares.contains_key(&key)
    }

    /// Whether an upstream names a limit.
    pub fn is_limited(&self, key: UpstreamKey) -> bool {
        self.limit(key).is_some()
    }

    /// The requests a second that an upstream takes from all gateways together; `None` if it names no
    /// limit.
    pub fn limit(&self, key: UpstreamKey) -> Option<f64> {
        self.shares.get(&key)?.stated.per_second
    }

    /// This gateway's share of the limit of an upstream, requests a second; `None` if it has no limit.
    pub fn share_per_s(&self, key: UpstreamKey) -> Option<f64> {
        let limit = self.shares.get(&key)?.limit()?;
        Some(limit / self.members.divisor())
    }

    /// Number of upstreams that name a limit.
    pub fn limited_upstreams(&self) -> usize {
        let shares = self.shares.values();
        shares.filter(|share| share.limit().is_some()).count()
    }

    /// Whether a request may be planned for an upstream: it has no limit, or a permit may be had.
    pub fn may_request(&self, now: ClockTime, key: UpstreamKey) -> bool {
        let Some(share) = self.shares.get(&key) else {
            return true;
        };
        let is_collector = share.collector == self.members.own();
        let share = accrued(&self.members, share, now);
        let has_own = share.held >= 1.0 || (!is_collector && share.held + share.surplus >= 1.0);
        share.limit().is_none() || has_own || self.may_ask(now, &share)
    }

    /// Whether what is collected may be asked for a permit. The collector waits after a denial as the
    /// others do, else it would leave them none.
    fn may_ask(&self, now: ClockTime, share: &PermitShare) -> bool {
        now >= share.denied_until && now >= self.asks_paused_until
    }

    /// Whether a limited upstream was not heard for so long that its limit may have ended.
    pub fn is_unheard(&self, now: ClockTime, key: UpstreamKey) -> bool {
        self.shares.get(&key).is_some_and(|share| {
            share.limit().is_some() && now.since(share.stated.heard_at) >= UNHEARD_MS
        })
    }

    /// Time until a permit for an upstream may be had at the earliest, milliseconds; zero if it has
    /// no limit.
    pub fn wait_ms(&self, now: ClockTime, key: UpstreamKey) -> u64 {
        let Some(share) = self.shares.get(&key) else {
            return 0;
        };
        let backoff = share.denied_until.max(self.asks_paused_until);
        match share.limit() {
            Some(_) => backoff.since(now),
            None => 0,
        }
    }

    /// Decides whether a request may be sent to an upstream now, and spends a permit on it if this
    /// gateway has one.
    pub fn request(&mut self, now: ClockTime, key: UpstreamKey) -> PermitDecision {
        let Some(share) = self.shares.get_mut(&key) else {
            return PermitDecision::Unlimited;
        };
        if share.limit().is_none() {
            return PermitDecision::Unlimited;
        }
        accrue(&self.members, share, now);
        let is_collector = share.collector == self.members.own();
        if take_held(share) || (!is_collector && take_any(share)) {
            return PermitDecision::Granted;
        }
        let share = &self.shares[&key];
        if !self.may_ask(now, share) {
            let ready_ms = share.denied_until.max(self.asks_paused_until).since(now);
            return PermitDecision::Denied { ready_ms };
        }
        if !is_collector {
            return PermitDecision::Ask(share.collector);
        }
        match self.reply(now, key) {
            PermitReply::Granted => PermitDecision::Granted,
            PermitReply::Denied { ready_ms } => PermitDecision::Denied { ready_ms },
        }
    }

    /// Spends a permit on something that cannot wait, and on one of the next if there is none.
    pub fn spend(&mut self, now: ClockTime, key: UpstreamKey) {
        if let Some(share) = self.shares.get_mut(&key) {
            accrue(&self.members, share, now);
            share.held -= 1.0;
        }
    }

    /// Grants one of this gateway's permits to another gateway, if it has any.
    pub fn reply(&mut self, now: ClockTime, key: UpstreamKey) -> PermitReply {
        let Some(share) = self.shares.get_mut(&key) else {
            return PermitReply::Denied {
                ready_ms: MAX_BACKOFF_MS,
            };
        };
        accrue(&self.members, share, now);
        if share.surplus >= 1.0 {
            share.surplus -= 1.0;
            return PermitReply::Granted;
        }
        let ready_ms = self.ready_ms(now, &self.shares[&key]);
        PermitReply::Denied { ready_ms }
    }

    /// Records that no permit was granted. `draw` is a random number from 0 to 1, which keeps gateways
    /// from asking again at the same moment.
    pub fn record_denial(&mut self, now: ClockTime, key: UpstreamKey, ready_ms: u64, draw: f64) {
        if let Some(share) = self.shares.get_mut(&key) {
            let backoff_ms = ready_ms.clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS) as f64;
            share.denied_until = now + (backoff_ms * (0.5 + draw)) as u64;
        }
    }

    /// Asks for no permits for a while, after one request was denied several.
    pub fn pause_asks(&mut self, now: ClockTime) {
        self.asks_paused_until = now + MIN_BACKOFF_MS;
    }

    /// Adds permits that another gateway gave, or that were granted and not used.
    pub fn receive(&mut self, now: ClockTime, key: UpstreamKey, amount: f64) {
        if let Some(share) = self.shares.get_mut(&key) {
            accrue(&self.members, share, now);
            share.surplus += amount.clamp(0.0, share.limit().unwrap_or(0.0).max(1.0));
            trim(&self.members, share);
        }
    }

    /// Returns the permits that are for other gateways, which are no longer this one's. To be called
    /// every [`GIFT_INTERVAL_MS`].
    pub fn take_gifts(&mut self, now: ClockTime) -> Vec<PermitGift> {
        self.members.update(now);
        self.shares.retain(|_, share| {
            share.limit().is_some() || now.since(share.stated.heard_at) < ENDED_RETENTION_MS
        });
        let mut gifts = Vec::new();
        for (key, share) in &mut self.shares {
            accrue(&self.members, share, now);
            share.collector = self.members.collector(now, share.digest);
            if share.collector != self.members.own() && share.surplus >= MIN_GIFT {
                gifts.push(PermitGift {
                    to: share.collector,
                    upstream: *key,
                    amount: std::mem::take(&mut share.surplus),
                });
            }
            trim(&self.members, share);
        }
        gifts
    }

    /// Returns the limits to tell the peers: those that changed, and now and then those that this
    /// gateway collects for, so that each is told by one of them.
    pub fn take_reports(&mut self, now: ClockTime) -> Vec<(UpstreamKey, StatedLimit)> {
        let all = now.since(self.reported_at) >= REPORT_ALL_MS;
        if all {
            self.reported_at = now;
        }
        let mut reports = Vec::new();
        for (key, share) in &mut self.shares {
            let is_collected = share.collector == self.members.own();
            if share.reports_left > 0 || (all && is_collected) {
                share.reports_left = share.reports_left.saturating_sub(1);
                reports.push((*key, share.stated));
            }
        }
        reports
    }

    /// Forgets the upstreams for which `is_gone` holds and that were not heard for a minute: the
    /// registry entry of one that still runs may lapse and return.
    pub fn forget(&mut self, now: ClockTime, is_gone: impl Fn(UpstreamKey) -> bool) {
        self.shares.retain(|key, share| {
            !is_gone(*key) || now.since(share.stated.heard_at) < GONE_RETENTION_MS
        });
    }

    /// Time until this gateway has a whole permit if the others give it theirs, milliseconds.
    fn ready_ms(&self, now: ClockTime, share: &PermitShare) -> u64 {
        let missing = 1.0 - accrued(&self.members, share, now).surplus;
        let live = self.members.live_count();
        let inflow = share.limit().unwrap_or(MIN_LIMIT_PER_S) * live / self.members.divisor();
        (missing.max(0.0) / inflow * 1_000.0).ceil() as u64
    }
}

/// Adds what accrued since the last time.
fn accrue(members: &MemberView, share: &mut PermitShare, now: ClockTime) {
    let elapsed_ms = now.since(share.accrued_at).min(MAX_ACCRUAL_MS);
    share.accrued_at = share.accrued_at.max(now);
    if let (Some(limit), true) = (share.limit(), members.has_share(now)) {
        let share_per_s = limit / members.divisor();
        share.held += share_per_s * elapsed_ms as f64 / 1_000.0;
    }
    trim(members, share);
}

/// The share as it is at `now`.
fn accrued(members: &MemberView, share: &PermitShare, now: ClockTime) -> PermitShare {
    let mut share = share.clone();
    accrue(members, &mut share, now);
    share
}

/// Makes a surplus of what this gateway does not keep for itself, and drops what is too much.
fn trim(members: &MemberView, share: &mut PermitShare) {
    let Some(limit) = share.limit() else {
        (share.held, share.surplus) = (share.held.min(0.0), 0.0);
        return;
    };
    let divisor = members.divisor();
    let share_per_s = limit / divisor;
    let max_held = match HOLD_S * share_per_s {
        held if held >= 1.0 => held,
        _ => 0.0,
    };
    share.surplus += (share.held - max_held).max(0.0);
    share.held = share.held.min(max_held);
    let live_part = members.live_count() / divisor;
    let max_surplus = if share.collector != members.own() {
        (MAX_UNGIVEN_S * share_per_s).max(MIN_GIFT)
    } else if live_part * MAX_COLLECTORS >= 1.0 {
        1.0 + live_part * (1.0 + COLLECT_S * limit)
    } else {
        0.0
    };
    share.surplus = share.surplus.min(max_surplus);
    assert!(share.surplus >= 0.0, "permits were given away twice");
}

/// Spends one of the permits that a gateway keeps for itself. Returns false if it has no whole one.
fn take_held(share: &mut PermitShare) -> bool {
    let is_whole = share.held >= 1.0;
    if is_whole {
        share.held -= 1.0;
    }
    is_whole
}

/// Spends a permit of a gateway that is not the collector, of which it may have kept a part. Returns
/// false if it has no whole one.
fn take_any(share: &mut PermitShare) -> bool {
    let is_whole = share.held + share.surplus >= 1.0;
    if is_whole {
        let from_surplus = share.surplus.min(1.0);
        share.surplus -= from_surplus;
        share.held -= 1.0 - from_surplus;
    }
    is_whole
}
