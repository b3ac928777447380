//! Bytes and connections that a gateway holds for its callers: which of them go when there is no
//! room. This answers the load of clients that keep to no limit over all their connections together:
//! many large bodies at once, most of which never end.
//!
//! Only requests that have not been read completely are given up, the largest first, so that a caller
//! with a small request always finds room. Requests that are served keep what they have.

use crate::clock::ClockTime;
use crate::gateway::caller_record::CallerRecord;
pub use crate::gateway::caller_record::{CallerKey, CallerPhase, Eviction, CONNECTION_BYTES};

/// Part of an answer for which there is always room, bytes: refusing an answer that an upstream has
/// made serves nobody.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;
/// Size up to which bodies may use all of the room, bytes. Larger ones leave a quarter of it to them.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Time after which a request that is still being read goes before idle connections when there are
/// too many connections, milliseconds. Callers give up a connection that takes a second to open.
const SLOW_READ_MS: u64 = 1_000;

/// Upper bounds of what is held for all callers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerRoom {
    /// Bytes of connections, heads, bodies and answers.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
}

/// Times after which connections are closed, from the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerTimeouts {
    /// Time within which the head of a request must arrive, milliseconds.
    pub header_ms: u64,
    /// Time for which a connection may be idle before the next request, milliseconds.
    pub idle_ms: u64,
}

/// Who asks for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoomUser {
    /// A new connection.
    Connection,
    /// A request that is being read and would then hold `size` bytes.
    Request { key: CallerKey, size: usize },
    /// The answer of a request.
    Answer,
}

impl RoomUser {
    /// Whether a request that is being read and holds `held_bytes` goes for this.
    fn displaces(self, key: CallerKey, held_bytes: usize) -> bool {
        match self {
            RoomUser::Connection | RoomUser::Answer => true,
            RoomUser::Request { key: own, size } => key != own && held_bytes >= size,
        }
    }
}

/// Whether there is room, and who is given up for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomDecision {
    /// Whether the bytes or the connection may be held.
    pub is_granted: bool,
    /// Connections that have to be given up. What they held is free for others at once.
    pub evictions: Vec<Eviction>,
}

#[derive(Clone, Copy, Debug)]
struct CallerSlot {
    generation: u32,
    record: Option<CallerRecord>,
}

/// The open connections of a gateway's callers and what is held for them.
#[derive(Clone, Debug)]
pub struct CallerLedger {
    room: CallerRoom,
    slots: Vec<CallerSlot>,
    free: Vec<u32>,
    open: usize,
    evicted: usize,
    held_bytes: usize,
    /// Those of `held_bytes` that are of answers.
    answer_bytes: usize,
}

impl CallerLedger {
    /// Creates the ledger of a gateway without connections.
    pub fn new(room: CallerRoom) -> CallerLedger {
        CallerLedger {
            room,
            slots: Vec::new(),
            free: Vec::new(),
            open: 0,
            evicted: 0,
            held_bytes: 0,
            answer_bytes: 0,
        }
    }

    /// Bytes that are held for all callers.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open
    }

    /// Number of connections with an answer, or a part of one, that is not written yet.
    pub fn unwritten(&self) -> usize {
        let records = self.slots.iter().filter_map(|slot| slot.record);
        records.filter(|record| record.is_unwritten).count()
    }

    /// Number of connections on which the rest of a refused body is read and discarded, or was not read
    /// to its end.
    pub fn discarding(&self) -> usize {
        let records = self.slots.iter().filter_map(|slot| slot.record);
        records.filter(|record| record.is_discarding).count()
    }

    /// Makes room for one request of the largest size that the configuration allows, whatever the
    /// bound says: alone it is always served.
    pub fn ensure_room(&mut self, header_bytes: usize, body_bytes: usize) {
        // Larger bodies leave a quarter of the room free.
        let request_bytes = (CONNECTION_BYTES + header_bytes + body_bytes) / 3 * 4;
        self.room.bytes = self.room.bytes.max(request_bytes + CONNECTION_BYTES);
    }

    /// Records a new connection, if there is room for it. Returns its key, and the connections that
    /// are given up for it.
    pub fn open(&mut self, now: ClockTime) -> (Option<CallerKey>, Vec<Eviction>) {
        let mut evictions = Vec::new();
        while self.open - self.evicted >= self.room.connections {
            match self.most_dispensable(now) {
                Some(key) => evictions.push(self.evict(key)),
                None => return (None, evictions),
            }
        }
        let bound = self.room.bytes;
        if !self.make_room(
            CONNECTION_BYTES,
            bound,
            RoomUser::Connection,
            &mut evictions,
        ) {
            return (None, evictions);
        }
        let record = CallerRecord {
            phase: CallerPhase::Idle,
            since: now,
            requests: 0,
            request_bytes: 0,
            answer_bytes: 0,
            is_unwritten: false,
            is_discarding: false,
            is_evicted: false,
        };
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(CallerSlot {
                generation: 0,
                record: None,
            });
            u32::try_from(self.slots.len() - 1).expect("fewer connections than descriptors")
        });
        let slot = &mut self.slots[index as usize];
        assert!(slot.record.is_none(), "a connection's place was taken");
        slot.record = Some(record);
        slot.generation = slot.generation.wrapping_add(1);
        let generation = slot.generation;
        self.open += 1;
        self.held_bytes += CONNECTION_BYTES;
        (Some(CallerKey { index, generation }), evictions)
    }

    /// Records that a connection is closed. An answer that is still held for it counts until
    /// [`Self::release_answer`].
    pub fn close(&mut self, key: CallerKey) {
        let Some(record) = self.record(key) else {
            return;
        };
        let freed = record.held_bytes() - record.answer_bytes;
        self.held_bytes -= freed;
        self.evicted -= usize::from(record.is_evicted);
        self.open -= 1;
        self.slots[key.index()].record = None;
        self.free.push(key.index);
    }

    /// Records that bytes of a connection were read. They count while they belong to an incomplete
    /// head; those of bodies count by [`Self::grow_body`]. A connection that was given up while idle
    /// is kept if there is room: the request crosses its close.
    pub fn record_read(&mut self, now: ClockTime, key: CallerKey, bytes: usize) -> RoomDecision {
        let phase = self.record(key).map(|record| record.phase);
        if phase == Some(CallerPhase::Idle) {
            self.set_phase(now, key, CallerPhase::Head);
            if !self.readmit(key) {
                // If its head is whole, the request is refused, else the connection is closed.
                return RoomDecision {
                    is_granted: true,
                    evictions: Vec::new(),
                };
            }
        }
        match phase {
            Some(CallerPhase::Idle | CallerPhase::Head) => self.grow(key, bytes),
            Some(CallerPhase::Body | CallerPhase::Served) => RoomDecision {
                is_granted: true,
                evictions: Vec::new(),
            },
            None => RoomDecision {
                is_granted: false,
                evictions: Vec::new(),
            },
        }
    }

    /// Records that a head is complete. Its bytes belong to the request now. A connection that was given
    /// up is kept if there is room.
    pub fn begin_body(&mut self, now: ClockTime, key: CallerKey) {
        self.set_phase(now, key, CallerPhase::Body);
        if let Some(record) = self.record_mut(key) {
            record.is_discarding = false;
            record.requests = record.requests.wrapping_add(1);
            self.readmit(key);
        }
    }

    /// Whether the next request may come on a connection, of which nothing was read so far.
    pub fn awaits_request(&self, key: CallerKey) -> bool {
        let record = self.record(key);
        record.is_some_and(|record| record.phase == CallerPhase::Idle && !record.is_discarding)
    }

    /// Whether a connection was given up and is not closed yet.
    pub fn is_evicted(&self, key: CallerKey) -> bool {
        self.record(key).is_some_and(|record| record.is_evicted)
    }

    /// Number of the request that was begun last on a connection.
    pub fn last_request(&self, key: CallerKey) -> Option<u32> {
        self.record(key).map(|record| record.requests)
    }

    /// Asks for room for more bytes of a body.
    pub fn grow_body(&mut self, key: CallerKey, bytes: usize) -> RoomDecision {
        self.grow(key, bytes)
    }

    /// Records that a body is complete. From now on the request is not given up. Returns false if it
    /// was before.
    pub fn begin_service(&mut self, now: ClockTime, key: CallerKey) -> bool {
        let is_open = self.record(key).is_some_and(|record| !record.is_evicted);
        if is_open {
            self.set_phase(now, key, CallerPhase::Served);
        }
        is_open
    }

    /// Records that a request was refused before its body was read, the rest of which is to be read and
    /// discarded. What it held is free. Returns false if the connection was given up and there is no
    /// room for it.
    pub fn begin_discard(&mut self, key: CallerKey) -> bool {
        let Some(record) = self.record_mut(key) else {
            return false;
        };
        assert_eq!(record.phase, CallerPhase::Body, "a request was refused");
        let freed = std::mem::take(&mut record.request_bytes);
        if !record.is_evicted {
            self.held_bytes -= freed;
        }
        let has_room = self.readmit(key);
        if has_room {
            let record = self.record_mut(key).expect("the connection is open");
            record.is_discarding = true;
        }
        has_room
    }

    /// Records that a body which is discarded was read to its end.
    pub fn end_discard(&mut self, key: CallerKey) {
        if let Some(record) = self.record_mut(key) {
            record.is_discarding = false;
        }
    }

    /// Whether the connection is to be read on for a while once its answer is written and no more will
    /// be, since the rest of a refused body may still come.
    pub fn lingers(&self, key: CallerKey) -> bool {
        let record = self.record(key);
        record.is_some_and(|record| record.is_discarding && !record.is_evicted)
    }

    /// Records that a request has ended and its bytes are free. What is still to be written of its
    /// answer counts separately.
    pub fn end_request(&mut self, now: ClockTime, key: CallerKey) {
        let Some(record) = self.record_mut(key) else {
            return;
        };
        record.phase = CallerPhase::Idle;
        record.since = now;
        let freed = std::mem::take(&mut record.request_bytes);
        if !record.is_evicted {
            self.held_bytes -= freed;
        }
    }

    /// Asks for room for more bytes of an answer, of which `before` are held already. All answers
    /// together take up to half of the room.
    pub fn grow_answer(&mut self, key: CallerKey, before: usize, bytes: usize) -> RoomDecision {
        let mut evictions = Vec::new();
        let bound = self.room.bytes;
        let has_room = self.answer_bytes + bytes <= bound / 2
            && self.make_room(bytes, bound, RoomUser::Answer, &mut evictions);
        let is_granted = has_room || before + bytes <= SMALL_ANSWER_BYTES;
        if is_granted {
            self.held_bytes += bytes;
            self.answer_bytes += bytes;
            if let Some(record) = self.record_mut(key) {
                record.answer_bytes += bytes;
            }
        }
        RoomDecision {
            is_granted,
            evictions,
        }
    }

    /// Records that bytes of an answer were written, or are not needed any more.
    pub fn release_answer(&mut self, key: CallerKey, bytes: usize) {
        self.held_bytes -= bytes;
        self.answer_bytes -= bytes;
        if let Some(record) = self.record_mut(key) {
            record.answer_bytes -= bytes;
        }
    }

    /// Records whether bytes wait to be written since the caller does not read.
    pub fn set_unwritten(&mut self, now: ClockTime, key: CallerKey, is_unwritten: bool) {
        if let Some(record) = self.record_mut(key) {
            record.is_unwritten = is_unwritten;
            if record.phase == CallerPhase::Idle {
                record.since = now;
            }
        }
    }

    /// Gives up the connections that have been idle, or whose heads have been incomplete, for longer
    /// than the configuration allows.
    pub fn expire(&mut self, now: ClockTime, timeouts: CallerTimeouts) -> Vec<Eviction> {
        let expired = self.live_records().filter(|(_, record)| {
            let phase_ms = now.since(record.since);
            match record.phase {
                CallerPhase::Idle => record.can_be_idle() && phase_ms >= timeouts.idle_ms,
                CallerPhase::Head => phase_ms >= timeouts.header_ms,
                CallerPhase::Body | CallerPhase::Served => false,
            }
        });
        let expired: Vec<CallerKey> = expired.map(|(key, _)| key).collect();
        expired.into_iter().map(|key| self.evict(key)).collect()
    }

    /// Asks for room for more bytes of a request that is being read.
    fn grow(&mut self, key: CallerKey, bytes: usize) -> RoomDecision {
        let mut evictions = Vec::new();
        let record = self.record(key).filter(|record| !record.is_evicted);
        let is_granted = record.is_some_and(|record| {
            let size = record.request_bytes + bytes;
            let bound = match size <= SMALL_BODY_BYTES {
                true => self.room.bytes,
                false => self.room.bytes / 4 * 3,
            };
            self.make_room(
                bytes,
                bound,
                RoomUser::Request { key, size },
                &mut evictions,
            )
        });
        if is_granted {
            self.held_bytes += bytes;
            let record = self.record_mut(key).expect("the connection is open");
            record.request_bytes += bytes;
        }
        RoomDecision {
            is_granted,
            evictions,
        }
    }

    /// Gives up requests that are being read until `bytes` more fit into `bound`, the largest first; if
    /// there is none, idle connections. Returns whether they fit.
    fn make_room(
        &mut self,
        bytes: usize,
        bound: usize,
        user: RoomUser,
        evictions: &mut Vec<Eviction>,
    ) -> bool {
        while self.held_bytes + bytes > bound {
            let victim = self.largest_reading(user).or_else(|| self.longest_idle());
            match victim {
                Some(key) => evictions.push(self.evict(key)),
                None => return false,
            }
        }
        true
    }

    /// The request being read that holds most, the oldest of several alike.
    fn largest_reading(&self, user: RoomUser) -> Option<CallerKey> {
        let reading = self.live_records().filter(|(key, record)| {
            record.phase.is_reading() && user.displaces(*key, record.request_bytes)
        });
        let largest = reading
            .max_by_key(|(_, record)| (record.request_bytes, std::cmp::Reverse(record.since)));
        largest.map(|(key, _)| key)
    }

    fn longest_idle(&self) -> Option<CallerKey> {
        let idle = self
            .live_records()
            .filter(|(_, record)| record.can_be_idle());
        let longest = idle.min_by_key(|(_, record)| record.since);
        longest.map(|(key, _)| key)
    }

    /// The connection that goes first when there are too many: a request that has been read for long,
    /// then an idle connection, then any request that is being read.
    fn most_dispensable(&self, now: ClockTime) -> Option<CallerKey> {
        let reading = self
            .live_records()
            .filter(|(_, record)| record.phase.is_reading());
        let oldest = reading.min_by_key(|(_, record)| record.since);
        match oldest {
            Some((key, record)) if now.since(record.since) >= SLOW_READ_MS => Some(key),
            oldest => self.longest_idle().or(oldest.map(|(key, _)| key)),
        }
    }

    fn evict(&mut self, key: CallerKey) -> Eviction {
        let record = self.record_mut(key).expect("open connections are evicted");
        let phase = record.phase;
        assert!(
            phase != CallerPhase::Served && !record.is_evicted,
            "a request that is served was given up"
        );
        let before = record.held_bytes();
        record.is_evicted = true;
        let after = record.held_bytes();
        self.held_bytes -= before - after;
        self.evicted += 1;
        Eviction { key, phase }
    }

    /// Counts a connection that was given up again, if there is room for it. Returns whether it counts.
    fn readmit(&mut self, key: CallerKey) -> bool {
        let record = self.record(key).expect("the connection is open");
        if !record.is_evicted {
            return true;
        }
        let bytes = CONNECTION_BYTES + record.request_bytes;
        let has_room = self.open - self.evicted < self.room.connections
            && self.held_bytes + bytes <= self.room.bytes;
        if has_room {
            self.held_bytes += bytes;
            self.evicted -= 1;
            let record = self.record_mut(key).expect("the connection is open");
            record.is_evicted = false;
        }
        has_room
    }

    fn set_phase(&mut self, now: ClockTime, key: CallerKey, phase: CallerPhase) {
        if let Some(record) = self.record_mut(key) {
            record.phase = phase;
            record.since = now;
        }
    }

    /// The connections that were not given up.
    fn live_records(&self) -> impl Iterator<Item = (CallerKey, &CallerRecord)> {
        self.records().filter(|(_, record)| !record.is_evicted)
    }

    fn records(&self) -> impl Iterator<Item = (CallerKey, &CallerRecord)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = CallerKey {
                index: u32::try_from(index).ok()?,
                generation: slot.generation,
            };
            Some((key, slot.record.as_ref()?))
        })
    }

    fn record(&self, key: CallerKey) -> Option<CallerRecord> {
        let slot = self.slots.get(key.index())?;
        slot.record.filter(|_| slot.generation == key.generation)
    }

    fn record_mut(&mut self, key: CallerKey) -> Option<&mut CallerRecord> {
        let slot = self.slots.get_mut(key.index())?;
        slot.record
            .as_mut()
            .filter(|_| slot.generation == key.generation)
    }

    /// Checks that what is counted is what the connections hold. Answers may outlast theirs.
    ///
    /// # Panics
    ///
    /// If the totals do not fit the connections.
    pub fn check_totals(&self) {
        let held: usize = self.records().map(|(_, record)| record.held_bytes()).sum();
        assert!(
            self.held_bytes >= held,
            "connections hold {held} bytes, {} are counted",
            self.held_bytes
        );
        assert_eq!(self.open, self.records().count(), "open connections");
        let evicted = self.records().count() - self.live_records().count();
        assert_eq!(self.evicted, evicted, "connections given up");
    }
}
