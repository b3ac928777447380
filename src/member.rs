//! The replicas that an entry knows, from their agents' heartbeats.

use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::wire::gen::{heartbeat::Role, Heartbeat};

/// Shortest time between two heartbeats of one agent, milliseconds.
pub const HEARTBEAT_MS: u64 = 1_000;
/// Longest time between two heartbeats of one agent, milliseconds.
pub const HEARTBEAT_MOST_MS: u64 = 20_000;
/// Heartbeats missed after which a replica gets no new work.
const SILENT_BEATS: u64 = 3;
/// Heartbeats missed after which a replica is forgotten.
const FORGET_BEATS: u64 = 30;
/// Bytes of a heartbeat and its answer with their TCP/IP headers.
const HEARTBEAT_BYTES: u64 = 400;
/// Bytes that one entry spends on heartbeats, per second.
const HEARTBEAT_BUDGET: u64 = 9_000;

/// Key of a replica in one entry's [`MemberTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaKey(u32);

/// Whether a replica may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReplicaState {
    /// It may.
    Serving,
    /// It is leaving: never again in this incarnation.
    Draining,
    /// It is silent or was found dead: not until its next heartbeat.
    Suspect,
}

/// What an entry knows of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaRecord {
    /// Mail address of its agent.
    pub address: String,
    /// Start of its agent.
    pub incarnation: u64,
    /// Its latest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that came.
    pub heard: ClockTime,
    /// Whether it may get new work.
    pub state: ReplicaState,
    /// Requests that this entry has in flight on it.
    pub own_in_flight: u32,
    /// Own requests in flight when the latest heartbeat came.
    own_at_heartbeat: u32,
    /// Time between heartbeats that this entry has asked for, milliseconds.
    beat_ms: u64,
}

impl ReplicaRecord {
    /// Requests expected to be in flight on it: what it said last, corrected by what this entry
    /// has begun and ended since.
    pub fn expected_in_flight(&self) -> f64 {
        let begun = f64::from(self.own_in_flight) - f64::from(self.own_at_heartbeat);
        (f64::from(self.heartbeat.in_flight) + begun).max(f64::from(self.own_in_flight))
    }

    /// Expected load as a share of its limit.
    pub fn load(&self) -> f64 {
        self.expected_in_flight() / f64::from(self.heartbeat.limit.max(1))
    }

    /// Whether it may get new work now.
    pub fn usable(&self, now: ClockTime) -> bool {
        self.state == ReplicaState::Serving
            && self.heartbeat.limit > 0
            && now.since(self.heard) < SILENT_BEATS * self.beat_ms
    }
}

/// How a heartbeat changed the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Nothing that matters to requests.
    None,
    /// A replica is new, or its agent has restarted.
    Joined,
    /// A replica began to drain.
    Draining,
}

/// Replicas by key, with an index by address.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    slots: Vec<Option<ReplicaRecord>>,
    by_address: HashMap<String, ReplicaKey>,
}

impl MemberTable {
    /// Takes a heartbeat in. A late one, from an earlier start or out of order, changes nothing.
    pub fn hear(
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
        let Some(record) = self.slots[key.0 as usize].as_mut() else {
            unreachable!("the index names an empty slot");
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
        record.heard = now;
        record.own_at_heartbeat = record.own_in_flight;
        let change = match (restarted, draining && !was_draining) {
            (true, _) => MemberChange::Joined,
            (false, true) => MemberChange::Draining,
            (false, false) => MemberChange::None,
        };
        (key, change)
    }

    /// Time between heartbeats that keeps this entry's traffic within its budget, milliseconds:
    /// the more replicas it knows, the longer.
    pub fn beat_ms(&self) -> u64 {
        let replicas = u64::try_from(self.by_address.len()).unwrap_or(u64::MAX);
        let wanted = replicas.saturating_mul(HEARTBEAT_BYTES) * 1_000 / HEARTBEAT_BUDGET;
        wanted.clamp(HEARTBEAT_MS, HEARTBEAT_MOST_MS)
    }

    /// Notes the time between heartbeats that a replica's agent is asked for, milliseconds.
    pub fn ask_beat(&mut self, key: ReplicaKey, beat_ms: u64) {
        if let Some(record) = self.slots[key.0 as usize].as_mut() {
            record.beat_ms = beat_ms;
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
            heard: now,
            state,
            own_in_flight: 0,
            own_at_heartbeat: 0,
            beat_ms: HEARTBEAT_MS,
        };
        let free = self.slots.iter().position(Option::is_none);
        let index = free.unwrap_or(self.slots.len());
        match free {
            Some(index) => self.slots[index] = Some(record),
            None => self.slots.push(Some(record)),
        }
        let key = ReplicaKey(u32::try_from(index).unwrap_or(u32::MAX));
        self.by_address.insert(from.to_owned(), key);
        key
    }

    /// Marks a replica as found dead, until it is heard again.
    pub fn suspect(&mut self, address: &str) -> bool {
        let record = self
            .by_address
            .get(address)
            .and_then(|key| self.slots[key.0 as usize].as_mut());
        match record {
            Some(record) if record.state == ReplicaState::Serving => {
                record.state = ReplicaState::Suspect;
                true
            }
            _ => false,
        }
    }

    /// Marks a replica as leaving, on the word of the platform's list of VMs.
    pub fn leaving(&mut self, address: &str) {
        let key = self.by_address.get(address);
        if let Some(record) = key.and_then(|key| self.slots[key.0 as usize].as_mut()) {
            record.state = ReplicaState::Draining;
        }
    }

    /// Forgets replicas that have long been silent and have no request of ours.
    pub fn forget_silent(&mut self, now: ClockTime) -> Vec<String> {
        let mut gone = Vec::new();
        for slot in &mut self.slots {
            let silent = slot.as_ref().is_some_and(|record| {
                now.since(record.heard) >= FORGET_BEATS * record.beat_ms
                    && record.own_in_flight == 0
            });
            if let Some(record) = slot.take_if(|_| silent) {
                self.by_address.remove(&record.address);
                gone.push(record.address);
            }
        }
        gone
    }

    /// Takes in what an agent said of its load beside the point, between heartbeats.
    pub fn hear_load(&mut self, address: &str, in_flight: u32) {
        if let Some(record) = self.record_mut(address) {
            record.heartbeat.in_flight = in_flight;
            record.own_at_heartbeat = record.own_in_flight;
        }
    }

    /// A request of ours began on a replica.
    pub fn begin(&mut self, address: &str) {
        if let Some(record) = self.record_mut(address) {
            record.own_in_flight += 1;
        }
    }

    /// A request of ours ended on a replica.
    pub fn end(&mut self, address: &str) {
        if let Some(record) = self.record_mut(address) {
            record.own_in_flight = record.own_in_flight.saturating_sub(1);
        }
    }

    fn record_mut(&mut self, address: &str) -> Option<&mut ReplicaRecord> {
        let key = self.by_address.get(address)?;
        self.slots[key.0 as usize].as_mut()
    }

    /// A replica by the address of its agent.
    pub fn by_address(&self, address: &str) -> Option<&ReplicaRecord> {
        let key = self.by_address.get(address)?;
        self.slots[key.0 as usize].as_ref()
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, &ReplicaRecord)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = ReplicaKey(u32::try_from(index).unwrap_or(u32::MAX));
            slot.as_ref().map(|record| (key, record))
        })
    }

    /// The replica at a key, which must come from this table.
    pub fn get(&self, key: ReplicaKey) -> &ReplicaRecord {
        match &self.slots[key.0 as usize] {
            Some(record) => record,
            None => unreachable!("a key outlived its replica"),
        }
    }

    /// Usable replicas of a plain service.
    pub fn of_service<'a>(
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
