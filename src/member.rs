//! Member table: the replicas known to an entry from the heartbeats of their agents.

use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::wire::gen::{heartbeat::Role, Heartbeat};

/// Shortest interval between the heartbeats of one agent, in milliseconds.
pub const MIN_HEARTBEAT_MS: u64 = 1_000;
/// Longest interval between the heartbeats of one agent, in milliseconds.
pub const MAX_HEARTBEAT_MS: u64 = 20_000;
/// Number of missed heartbeats after which a replica gets no new requests.
const SILENT_AFTER_HEARTBEATS: u64 = 3;
/// Number of missed heartbeats after which a replica without requests of this entry is removed.
const REMOVE_AFTER_HEARTBEATS: u64 = 30;
/// Size of a heartbeat and its acknowledgement with their TCP/IP headers, in bytes.
const HEARTBEAT_BYTES: u64 = 400;
/// Heartbeat traffic that one entry accepts from all agents together, in bytes per second.
const HEARTBEAT_BYTES_PER_S: u64 = 9_000;

/// Key of a replica in the [`MemberTable`] of one entry, reused after the replica is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaKey(u32);

/// Whether a replica may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReplicaState {
    /// The replica may get new requests.
    Serving,
    /// The replica is leaving, and gets no new requests until its agent restarts.
    Draining,
    /// The replica did not respond or its connection broke. It gets no new requests until its next
    /// heartbeat.
    Suspect,
}

/// State of one replica as known to an entry.
#[derive(Clone, Debug)]
pub struct ReplicaRecord {
    /// Message address of the replica's agent, "ip:port".
    pub address: String,
    /// Incarnation of the replica's agent, chosen when the agent starts.
    pub incarnation: u64,
    /// The latest heartbeat, with the load updated by later messages.
    pub heartbeat: Heartbeat,
    /// Time at which the latest heartbeat was received.
    pub received_at: ClockTime,
    /// Whether the replica may get new requests.
    pub state: ReplicaState,
    /// Number of requests that this entry has in flight on the replica.
    pub own_in_flight: u32,
    /// Value of `own_in_flight` when the agent last reported its load.
    own_in_flight_at_report: u32,
    /// Interval between heartbeats that this entry has requested, in milliseconds.
    heartbeat_interval_ms: u64,
}

impl ReplicaRecord {
    /// Number of requests expected to be in flight on the replica: the reported number, corrected
    /// by the requests that this entry has started and ended since, but at least this entry's own.
    pub fn expected_in_flight(&self) -> f64 {
        let change = f64::from(self.own_in_flight) - f64::from(self.own_in_flight_at_report);
        (f64::from(self.heartbeat.in_flight) + change).max(f64::from(self.own_in_flight))
    }

    /// Expected requests in flight as a fraction of the replica's limit.
    pub fn load(&self) -> f64 {
        self.expected_in_flight() / f64::from(self.heartbeat.limit.max(1))
    }

    /// Whether the replica may get new requests: it is serving, its limit is not zero, and its
    /// heartbeats have not stopped.
    pub fn usable(&self, now: ClockTime) -> bool {
        self.state == ReplicaState::Serving
            && self.heartbeat.limit > 0
            && now.since(self.received_at) < SILENT_AFTER_HEARTBEATS * self.heartbeat_interval_ms
    }
}

/// Effect of a heartbeat on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The replica neither joined nor began to drain.
    None,
    /// The replica is new, or its agent has restarted.
    Joined,
    /// The replica began to drain.
    Draining,
}

/// Replicas by key, with an index by message address. The keys of removed replicas are reused.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    records: Vec<Option<ReplicaRecord>>,
    by_address: HashMap<String, ReplicaKey>,
}

impl MemberTable {
    /// Applies a heartbeat and returns the key of its replica. A duplicate, or a heartbeat older
    /// than the latest one of the same incarnation, changes nothing.
    pub fn apply_heartbeat(
        &mut self,
        now: ClockTime,
        from: &str,
        incarnation: u64,
        heartbeat: Heartbeat,
    ) -> (ReplicaKey, MemberChange) {
        let Some(&key) = self.by_address.get(from) else {
            return (
                self.insert(now, from, incarnation, heartbeat),
                MemberChange::Joined,
            );
        };
        let Some(record) = self.records[key.0 as usize].as_mut() else {
            unreachable!("the address index refers to an empty slot");
        };
        let restarted = record.incarnation != incarnation;
        if !restarted && heartbeat.sequence <= record.heartbeat.sequence {
            return (key, MemberChange::None);
        }
        let was_draining = record.state == ReplicaState::Draining && !restarted;
        let draining = heartbeat.draining || was_draining;
        record.state = if draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Serving
        };
        record.incarnation = incarnation;
        record.heartbeat = heartbeat;
        record.received_at = now;
        record.own_in_flight_at_report = record.own_in_flight;
        let change = match (restarted, draining && !was_draining) {
            (true, _) => MemberChange::Joined,
            (false, true) => MemberChange::Draining,
            (false, false) => MemberChange::None,
        };
        (key, change)
    }

    /// Interval at which each agent should send heartbeats, in milliseconds. It grows with the
    /// number of replicas, so that their traffic at this entry is bounded.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        let replica_count = u64::try_from(self.by_address.len()).unwrap_or(u64::MAX);
        let interval_ms =
            replica_count.saturating_mul(HEARTBEAT_BYTES) * 1_000 / HEARTBEAT_BYTES_PER_S;
        interval_ms.clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS)
    }

    /// Records the heartbeat interval that this entry has requested from a replica's agent, in
    /// milliseconds.
    pub fn set_heartbeat_interval(&mut self, key: ReplicaKey, heartbeat_interval_ms: u64) {
        if let Some(record) = self.records[key.0 as usize].as_mut() {
            record.heartbeat_interval_ms = heartbeat_interval_ms;
        }
    }

    fn insert(
        &mut self,
        now: ClockTime,
        from: &str,
        incarnation: u64,
        heartbeat: Heartbeat,
    ) -> ReplicaKey {
        let state = if heartbeat.draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Serving
        };
        let record = ReplicaRecord {
            address: from.to_owned(),
            incarnation,
            heartbeat,
            received_at: now,
            state,
            own_in_flight: 0,
            own_in_flight_at_report: 0,
            heartbeat_interval_ms: MIN_HEARTBEAT_MS,
        };
        let free = self.records.iter().position(Option::is_none);
        let index = free.unwrap_or(self.records.len());
        match free {
            Some(index) => self.records[index] = Some(record),
            None => self.records.push(Some(record)),
        }
        let key = ReplicaKey(u32::try_from(index).unwrap_or(u32::MAX));
        self.by_address.insert(from.to_owned(), key);
        key
    }

    /// Marks a serving replica as suspect until its next heartbeat. Returns whether it was serving.
    pub fn mark_suspect(&mut self, address: &str) -> bool {
        let record = self
            .by_address
            .get(address)
            .and_then(|key| self.records[key.0 as usize].as_mut());
        match record {
            Some(record) if record.state == ReplicaState::Serving => {
                record.state = ReplicaState::Suspect;
                true
            }
            _ => false,
        }
    }

    /// Marks a replica as draining because its VM is listed as leaving.
    pub fn mark_draining(&mut self, address: &str) {
        let key = self.by_address.get(address);
        if let Some(record) = key.and_then(|key| self.records[key.0 as usize].as_mut()) {
            record.state = ReplicaState::Draining;
        }
    }

    /// Removes replicas that have been silent for too long and have no request of this entry in
    /// flight. Returns their addresses.
    pub fn remove_silent(&mut self, now: ClockTime) -> Vec<String> {
        let mut removed = Vec::new();
        for slot in &mut self.records {
            let silent = slot.as_ref().is_some_and(|record| {
                now.since(record.received_at)
                    >= REMOVE_AFTER_HEARTBEATS * record.heartbeat_interval_ms
                    && record.own_in_flight == 0
            });
            if let Some(record) = slot.take_if(|_| silent) {
                self.by_address.remove(&record.address);
                removed.push(record.address);
            }
        }
        removed
    }

    /// Applies the number of requests in flight that an agent reported outside a heartbeat.
    pub fn apply_load_report(&mut self, address: &str, in_flight: u32) {
        if let Some(record) = self.record_mut(address) {
            record.heartbeat.in_flight = in_flight;
            record.own_in_flight_at_report = record.own_in_flight;
        }
    }

    /// Counts a request that this entry started on a replica.
    pub fn request_started(&mut self, address: &str) {
        if let Some(record) = self.record_mut(address) {
            record.own_in_flight += 1;
        }
    }

    /// Counts a request of this entry that ended on a replica.
    pub fn request_ended(&mut self, address: &str) {
        if let Some(record) = self.record_mut(address) {
            record.own_in_flight = record.own_in_flight.saturating_sub(1);
        }
    }

    fn record_mut(&mut self, address: &str) -> Option<&mut ReplicaRecord> {
        let key = self.by_address.get(address)?;
        self.records[key.0 as usize].as_mut()
    }

    /// Returns the replica whose agent has this message address; `None` when it is unknown.
    pub fn by_address(&self, address: &str) -> Option<&ReplicaRecord> {
        let key = self.by_address.get(address)?;
        self.records[key.0 as usize].as_ref()
    }

    /// Iterates over all replicas, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, &ReplicaRecord)> {
        self.records.iter().enumerate().filter_map(|(index, slot)| {
            let key = ReplicaKey(u32::try_from(index).unwrap_or(u32::MAX));
            slot.as_ref().map(|record| (key, record))
        })
    }

    /// Returns the replica with a key, which must not have been removed since the key was returned.
    pub fn get(&self, key: ReplicaKey) -> &ReplicaRecord {
        match &self.records[key.0 as usize] {
            Some(record) => record,
            None => unreachable!("the replica of this key has been removed"),
        }
    }

    /// Iterates over the usable replicas of a plain service.
    pub fn replicas_of_service<'a>(
        &'a self,
        now: ClockTime,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ReplicaRecord> {
        self.iter()
            .map(|(_, record)| record)
            .filter(move |record| record.usable(now))
            .filter(move |record| match &record.heartbeat.role {
                Some(Role::Service(role)) => role.service == service,
                _ => false,
            })
    }
}
