//! Load that other gateways report, which gives all gateways nearly the same view of the load
//! without a shared counter.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::gateway::upstream::{UnreportedLoad, UpstreamKey, UpstreamTable};
use crate::wire::gen::{GatewayLoad, PipeLoad, UpstreamLoad};

/// Time between two load reports to each peer, milliseconds.
pub const LOAD_INTERVAL_MS: u64 = 250;
/// Age from which a peer's report no longer counts, milliseconds.
const REPORT_TTL_MS: u64 = 1_500;
/// Upper bound of the upstreams in one message, so that the message fits into one packet.
const MAX_LOADS_PER_MESSAGE: usize = 24;

/// Load of other gateways at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Number of requests in flight.
    pub in_flight: f64,
    /// KV memory that the peers' requests in flight are expected to need, in tokens times layers.
    pub reserved_kv: f64,
}

/// A peer's report about a replica's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerReport {
    /// The replica was reported dead to the peer by another replica, this many milliseconds ago.
    ReportedDead(UpstreamKey, u64),
    /// Factor by which the replica's work takes longer than nominal.
    Slowdown(UpstreamKey, f64),
    /// The replica said that it is leaving, to the peer or to one that told the peer.
    Leaving(UpstreamKey),
    /// An incarnation said so that is not known here: address and start, Unix milliseconds.
    LeavingElsewhere(SocketAddr, u64),
}

#[derive(Debug)]
struct ReceivedLoad {
    reported: PeerLoad,
    received_at: ClockTime,
}

/// Load reported by all peers, and this gateway's use of cross-domain links.
#[derive(Debug, Default)]
pub struct PeerTable {
    received: HashMap<(String, UpstreamKey), ReceivedLoad>,
    totals: HashMap<UpstreamKey, PeerLoad>,
    active_keys: Vec<UpstreamKey>,
    peers: HashMap<String, ClockTime>,
    own_links: HashMap<LinkKey, u32>,
    peer_links: HashMap<(String, LinkKey), (u32, ClockTime)>,
}

/// The cross-domain link between two failure domains, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LinkKey {
    /// The domain whose name sorts first.
    first_domain: String,
    second_domain: String,
}

impl LinkKey {
    /// The link between two failure domains; the order of the arguments does not matter.
    pub fn between(one: &str, other: &str) -> LinkKey {
        LinkKey {
            first_domain: one.min(other).to_owned(),
            second_domain: one.max(other).to_owned(),
        }
    }
}

impl PeerTable {
    /// Sum of the loads that the peers reported for an upstream.
    pub fn peer_load(&self, key: UpstreamKey) -> PeerLoad {
        self.totals.get(&key).copied().unwrap_or_default()
    }

    /// Estimates the load that all peers together have at an upstream now. Peers choose with the
    /// same view, so each is assumed to have added as much as this gateway since its last report.
    /// Without this estimate all gateways would fill the same free capacity.
    pub fn estimated_load(&self, key: UpstreamKey, unreported: UnreportedLoad) -> PeerLoad {
        let reported = self.peer_load(key);
        let peers = self.peers.len() as f64;
        PeerLoad {
            in_flight: (reported.in_flight + unreported.in_flight * peers).max(0.0),
            reserved_kv: (reported.reserved_kv + unreported.reserved_kv * peers).max(0.0),
        }
    }

    /// Applies a peer's load report. Loads that are too old count until [`Self::refresh_totals`] is
    /// called, which the sender of this gateway's own reports does. Returns the replicas' states
    /// that it also contains, for the caller to apply to the table.
    pub fn apply_report(
        &mut self,
        now: ClockTime,
        peer: &str,
        load: &GatewayLoad,
        table: &UpstreamTable,
    ) -> Vec<PeerReport> {
        let mut reports = Vec::new();
        self.peers.insert(peer.to_owned(), now);
        for upstream_load in &load.loads {
            let Ok(address) = upstream_load.address.parse() else {
                continue;
            };
            let found = table.by_address(address);
            // The report is about another incarnation if the start times differ.
            let Some(key) = found.filter(|key| table.get(*key).entry.born == upstream_load.born)
            else {
                if upstream_load.leaving {
                    reports.push(PeerReport::LeavingElsewhere(address, upstream_load.born));
                }
                continue;
            };
            if upstream_load.named_ago > 0 {
                let ago_ms = u64::from(upstream_load.named_ago - 1);
                reports.push(PeerReport::ReportedDead(key, ago_ms));
            }
            if upstream_load.leaving {
                reports.push(PeerReport::Leaving(key));
            }
            if upstream_load.pace_milli > 0 {
                let slowdown = f64::from(upstream_load.pace_milli) / 1_000.0;
                reports.push(PeerReport::Slowdown(key, slowdown));
            }
            let reported = PeerLoad {
                in_flight: f64::from(upstream_load.in_flight),
                reserved_kv: upstream_load.reserved as f64,
            };
            let received = ReceivedLoad {
                reported,
                received_at: now,
            };
            let previous = self.received.insert((peer.to_owned(), key), received);
            let previous = previous.map_or(PeerLoad::default(), |previous| previous.reported);
            let total = self.totals.entry(key).or_default();
            total.in_flight += reported.in_flight - previous.in_flight;
            total.reserved_kv += reported.reserved_kv - previous.reserved_kv;
        }
        for link in &load.pipes {
            let key = LinkKey::between(&link.from, &link.to);
            self.peer_links
                .insert((peer.to_owned(), key), (link.in_flight, now));
        }
        reports
    }

    /// Number of requests of all gateways on a link; a chain that uses the link twice counts twice.
    pub fn link_requests(&self, link: &LinkKey) -> u32 {
        let peers = self.peer_links.iter().filter(|((_, key), _)| key == link);
        let from_peers: u32 = peers.map(|(_, (count, _))| count).sum();
        from_peers + self.own_links.get(link).copied().unwrap_or(0)
    }

    /// Adds a request of this gateway to each link in `links`.
    pub fn add_links(&mut self, links: &[LinkKey]) {
        for link in links {
            *self.own_links.entry(link.clone()).or_default() += 1;
        }
    }

    /// Removes a request of this gateway from each link in `links`.
    pub fn remove_links(&mut self, links: &[LinkKey]) {
        for link in links {
            if let Some(count) = self.own_links.get_mut(link) {
                *count = count.saturating_sub(1);
            }
        }
    }

    fn own_links(&self) -> Vec<PipeLoad> {
        let links = self.own_links.iter();
        links
            .map(|(key, count)| PipeLoad {
                from: key.first_domain.clone(),
                to: key.second_domain.clone(),
                in_flight: *count,
            })
            .collect()
    }

    /// Drops load reports older than `REPORT_TTL_MS` and sums the others for each upstream.
    pub fn refresh_totals(&mut self, now: ClockTime) {
        self.received
            .retain(|_, load| now.since(load.received_at) < REPORT_TTL_MS);
        self.peer_links
            .retain(|_, (_, received_at)| now.since(*received_at) < REPORT_TTL_MS);
        self.peers
            .retain(|_, received_at| now.since(*received_at) < REPORT_TTL_MS);
        self.totals.clear();
        for ((_, key), load) in &self.received {
            let total = self.totals.entry(*key).or_default();
            total.in_flight += load.reported.in_flight;
            total.reserved_kv += load.reported.reserved_kv;
        }
    }

    /// Returns messages for the peers, at least one: this gateway's use of links, and the load and
    /// state of each upstream with something to report. An upstream that had something to report
    /// at the last call and has nothing now is included once more, with zeros.
    pub fn load_messages(&mut self, now: ClockTime, table: &UpstreamTable) -> Vec<GatewayLoad> {
        let mut loads = Vec::new();
        let mut active_keys = Vec::new();
        for (key, record) in table.iter() {
            let reported_dead_ago = record.reported_dead_ago(now);
            let slowdown = record.direct_slowdown(now);
            // Whoever heard it from the upstream may have ended since.
            let is_leaving = record.said_leaving || record.told_leaving;
            let active = record.in_flight > 0
                || reported_dead_ago.is_some()
                || slowdown.is_some()
                || is_leaving;
            if !active && !self.active_keys.contains(&key) {
                continue;
            }
            if active {
                active_keys.push(key);
            }
            loads.push(UpstreamLoad {
                address: record.entry.address.to_string(),
                born: record.entry.born,
                in_flight: record.in_flight,
                reserved: record.reserved_kv as u64,
                pace_milli: slowdown.map_or(0, |slowdown| (slowdown * 1_000.0) as u32),
                named_ago: reported_dead_ago
                    .map_or(0, |ago| u32::try_from(ago + 1).unwrap_or(u32::MAX)),
                leaving: is_leaving,
            });
        }
        self.active_keys = active_keys;
        let chunks = loads.chunks(MAX_LOADS_PER_MESSAGE);
        let mut messages: Vec<GatewayLoad> = chunks
            .map(|chunk| GatewayLoad {
                loads: chunk.to_vec(),
                ..GatewayLoad::default()
            })
            .collect();
        if messages.is_empty() {
            messages.push(GatewayLoad::default());
        }
        messages[0].pipes = self.own_links();
        messages
    }
}
