//! The open connections of callers: carries out what [`CallerLedger`] decides.
//!
//! Each connection is served by one task. A connection that is given up is told through a channel: if
//! its body is being read, the request is refused; otherwise the connection is closed.

use std::io;
use std::os::fd::RawFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use crate::clock::{BootClock, ClockTime};
use crate::gateway::caller_ledger::{
    CallerKey, CallerLedger, CallerPhase, CallerRoom, CallerTimeouts, Eviction, RoomDecision,
};
use crate::gateway::catalog::CallerLimits;
use crate::metric::MetricSet;

/// Smallest capacity of a body that is being read, bytes.
const MIN_BODY_CAPACITY: usize = 1024;
/// Pause in which the event loop reads what has arrived on a connection that is given up, milliseconds.
const ARRIVAL_POLL_MS: u64 = 1;

/// The open connections of a gateway's callers.
#[derive(Clone, Debug)]
pub struct CallerTable(Arc<TableState>);

#[derive(Debug)]
struct TableState {
    inner: Mutex<TableInner>,
    metrics: MetricSet,
}

#[derive(Debug)]
struct TableInner {
    ledger: CallerLedger,
    /// Tells each connection, by its index, that it was given up.
    signals: Vec<watch::Sender<Option<CallerPhase>>>,
}

impl TableInner {
    /// Takes back that a connection was given up, if it counts again; else tells it `phase`, if any.
    fn note_readmission(&mut self, key: CallerKey, phase: Option<CallerPhase>) {
        let is_told = self.signals[key.index()].borrow().is_some();
        if !is_told || self.ledger.last_request(key).is_none() {
            return;
        }
        match (self.ledger.is_evicted(key), phase) {
            (false, _) => drop(self.signals[key.index()].send_replace(None)),
            (true, Some(phase)) => drop(self.signals[key.index()].send_replace(Some(phase))),
            (true, None) => {}
        }
    }
}

impl CallerTable {
    /// Creates the table of a gateway that has room for so much.
    pub fn new(room: CallerRoom, metrics: MetricSet) -> CallerTable {
        CallerTable(Arc::new(TableState {
            inner: Mutex::new(TableInner {
                ledger: CallerLedger::new(room),
                signals: Vec::new(),
            }),
            metrics,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, TableInner> {
        self.0.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a new connection on a socket. Returns `None` if there is no room for it.
    pub fn open(&self, socket: RawFd, limits: CallerLimits) -> Option<CallerConnection> {
        let now = BootClock.now();
        let mut inner = self.lock();
        inner
            .ledger
            .ensure_room(limits.header_bytes, limits.body_bytes);
        let (key, evictions) = inner.ledger.open(now);
        self.carry_out(&inner, &evictions);
        let Some(key) = key else {
            self.0.metrics.count_caller_eviction("not_accepted");
            return None;
        };
        let (sender, evicted) = watch::channel(None);
        match inner.signals.get_mut(key.index()) {
            Some(signal) => *signal = sender,
            None => inner.signals.push(sender),
        }
        self.observe(&inner);
        Some(CallerConnection {
            table: self.clone(),
            key,
            socket,
            evicted,
        })
    }

    /// Closes the connections that took longer than the configuration allows.
    pub fn expire(&self, timeouts: CallerTimeouts) {
        let now = BootClock.now();
        let mut inner = self.lock();
        let evictions = inner.ledger.expire(now, timeouts);
        for eviction in &evictions {
            let phase: &'static str = eviction.phase.into();
            self.0.metrics.count_caller_expiry(phase);
            inner.signals[eviction.key.index()].send_replace(Some(eviction.phase));
        }
        if !evictions.is_empty() {
            let heads = evictions
                .iter()
                .filter(|one| one.phase == CallerPhase::Head);
            let heads = heads.count();
            spdlog::info!(
                "event=callers_expired idle={} head={heads} idle_ms={} header_ms={} connections={}",
                evictions.len() - heads,
                timeouts.idle_ms,
                timeouts.header_ms,
                inner.ledger.open_connections()
            );
        }
        self.observe(&inner);
    }

    /// Number of connections with an answer, or a part of one, that is not written yet.
    pub fn unwritten(&self) -> usize {
        self.lock().ledger.unwritten()
    }

    /// Number of connections on which the rest of a refused body is read and discarded, or was not read
    /// to its end.
    pub fn discarding(&self) -> usize {
        self.lock().ledger.discarding()
    }

    fn carry_out(&self, inner: &TableInner, evictions: &[Eviction]) {
        for eviction in evictions {
            let phase: &'static str = eviction.phase.into();
            self.0.metrics.count_caller_eviction(phase);
            spdlog::warn!(
                "event=caller_evicted phase={phase} held_bytes={} connections={}",
                inner.ledger.held_bytes(),
                inner.ledger.open_connections()
            );
            inner.signals[eviction.key.index()].send_replace(Some(eviction.phase));
        }
    }

    fn observe(&self, inner: &TableInner) {
        let metrics = &self.0.metrics;
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.caller_bytes.set(gauge(inner.ledger.held_bytes()));
        metrics
            .caller_connections
            .set(gauge(inner.ledger.open_connections()));
    }

    /// Lets the ledger decide, and tells the connections that it gives up.
    fn decide(&self, ask: impl FnOnce(&mut CallerLedger, ClockTime) -> RoomDecision) -> bool {
        let now = BootClock.now();
        let mut inner = self.lock();
        let decision = ask(&mut inner.ledger, now);
        self.carry_out(&inner, &decision.evictions);
        decision.is_granted
    }
}

/// One connection of a caller. Clones stand for the same connection; it is closed when
/// [`CallerConnection::close`] is called.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    table: CallerTable,
    key: CallerKey,
    socket: RawFd,
    evicted: watch::Receiver<Option<CallerPhase>>,
}

impl CallerConnection {
    /// Records that bytes were read. Returns false if there is no room for them.
    pub fn record_read(&self, bytes: usize) -> bool {
        let now = BootClock.now();
        let mut inner = self.table.lock();
        let decision = inner.ledger.record_read(now, self.key, bytes);
        inner.note_readmission(self.key, None);
        self.table.carry_out(&inner, &decision.evictions);
        decision.is_granted
    }

    /// Records whether bytes wait to be written since the caller does not read.
    pub fn set_unwritten(&self, is_unwritten: bool) {
        let now = BootClock.now();
        let mut inner = self.table.lock();
        inner.ledger.set_unwritten(now, self.key, is_unwritten);
    }

    /// Begins to read the body of a request.
    pub fn begin_request(&self) -> CallerRequest {
        let now = BootClock.now();
        let mut inner = self.table.lock();
        inner.ledger.begin_body(now, self.key);
        // The request is answered, at least with a refusal, before its connection is closed.
        inner.note_readmission(self.key, Some(CallerPhase::Body));
        CallerRequest {
            connection: self.clone(),
            number: inner.ledger.last_request(self.key),
        }
    }

    /// Whether the connection is to be read on for a while once no more will be written.
    pub fn lingers(&self) -> bool {
        self.table.lock().ledger.lingers(self.key)
    }

    /// Whether the caller has closed the connection. The event loop learns of that later when it is
    /// behind its work.
    pub fn has_left(&self) -> bool {
        match self.peek() {
            0 => true,
            -1 => io::Error::last_os_error().kind() == io::ErrorKind::ConnectionReset,
            _ => false,
        }
    }

    /// Looks for a byte that has arrived, as `recv` does.
    fn peek(&self) -> isize {
        let mut byte = 0_u8;
        // SAFETY: `byte` is valid for writes of one byte for the duration of the call, which does not
        // wait. The socket is open while its connection is served.
        unsafe {
            libc::recv(
                self.socket,
                std::ptr::from_mut(&mut byte).cast(),
                1,
                libc::MSG_PEEK | libc::MSG_DONTWAIT,
            )
        }
    }

    /// Records that the connection is closed.
    pub fn close(&self) {
        let mut inner = self.table.lock();
        inner.ledger.close(self.key);
        self.table.observe(&inner);
    }

    /// Waits until the connection is to be closed since it was given up. A request that has arrived
    /// before is read first, also if the event loop has not learned of it yet.
    pub async fn wait_for_eviction(&self) {
        loop {
            self.wait_for(|phase| phase != CallerPhase::Body).await;
            let awaits_request = self.table.lock().ledger.awaits_request(self.key);
            if !awaits_request || self.peek() <= 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(ARRIVAL_POLL_MS)).await;
        }
    }

    async fn wait_for(&self, is_meant: impl Fn(CallerPhase) -> bool) {
        let mut evicted = self.evicted.clone();
        let is_told = evicted
            .wait_for(|phase| phase.is_some_and(&is_meant))
            .await
            .is_ok();
        if !is_told {
            // Its place was taken by another connection, so that nobody tells this one any more.
            std::future::pending::<()>().await;
        }
    }
}

/// A request on a caller's connection. Dropping it ends the request.
#[derive(Debug)]
pub struct CallerRequest {
    connection: CallerConnection,
    /// Tells it from the next request on the connection, which may begin before this one is dropped.
    number: Option<u32>,
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        let now = BootClock.now();
        let (mut inner, key) = (self.connection.table.lock(), self.connection.key);
        if inner.ledger.last_request(key) == self.number {
            inner.ledger.end_request(now, key);
        }
    }
}

impl CallerRequest {
    /// The connection that the request came on.
    pub fn connection(&self) -> &CallerConnection {
        &self.connection
    }

    /// Records that the body is complete. Returns false if the request was given up.
    pub fn begin_service(&self) -> bool {
        let now = BootClock.now();
        let mut inner = self.connection.table.lock();
        inner.ledger.begin_service(now, self.connection.key)
    }

    /// Whether the connection was given up and is closed after the answer.
    pub fn is_evicted(&self) -> bool {
        let inner = self.connection.table.lock();
        inner.ledger.is_evicted(self.connection.key)
    }

    /// Records that the request is refused and the rest of its body is to be read and discarded.
    /// Returns false if there is no room for that.
    pub fn begin_discard(&self) -> bool {
        let (mut inner, key) = (self.connection.table.lock(), self.connection.key);
        let has_room = inner.ledger.begin_discard(key);
        if has_room {
            // It may be given up once more.
            inner.signals[key.index()].send_replace(None);
        }
        has_room
    }

    /// Records that the body of the refused request was read to its end.
    pub fn end_discard(&self) {
        let (mut inner, key) = (self.connection.table.lock(), self.connection.key);
        if inner.ledger.last_request(key) == self.number {
            inner.ledger.end_discard(key);
        }
    }

    /// Waits until the request is given up while its body is read.
    pub async fn wait_for_eviction(&self) {
        self.connection
            .wait_for(|phase| phase == CallerPhase::Body)
            .await;
    }
}

/// Why a body cannot be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is larger than the configuration allows.
    TooLarge,
    /// There is no room for it.
    NoRoom,
}

/// The body of a request while it is read. Chunks are joined, since each would take more than its
/// bytes.
#[derive(Debug)]
pub struct BodyBuffer<'a> {
    request: &'a CallerRequest,
    data: Vec<u8>,
    max_bytes: usize,
}

impl<'a> BodyBuffer<'a> {
    /// Creates the buffer of a body of at most `max_bytes` bytes.
    pub fn new(request: &'a CallerRequest, max_bytes: usize) -> BodyBuffer<'a> {
        BodyBuffer {
            request,
            data: Vec::new(),
            max_bytes,
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// If the body is too large or there is no room for it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyFault> {
        let len = self.data.len() + bytes.len();
        if len > self.max_bytes {
            return Err(BodyFault::TooLarge);
        }
        if len > self.data.capacity() {
            let capacity = (self.data.capacity() * 2).max(MIN_BODY_CAPACITY);
            let capacity = capacity.min(self.max_bytes).max(len);
            let added = capacity - self.data.capacity();
            let connection = &self.request.connection;
            let is_granted = connection
                .table
                .decide(|ledger, _| ledger.grow_body(connection.key, added));
            if !is_granted {
                return Err(BodyFault::NoRoom);
            }
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the complete body.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from(self.data)
    }
}

/// Bytes of an answer that are held for a connection, until it is dropped.
#[derive(Debug)]
pub struct AnswerRoom {
    connection: CallerConnection,
    bytes: usize,
}

impl AnswerRoom {
    /// Creates the room of an answer, none so far.
    pub fn new(connection: &CallerConnection) -> AnswerRoom {
        AnswerRoom {
            connection: connection.clone(),
            bytes: 0,
        }
    }

    /// Asks for room for more bytes. Returns false if there is none.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let (key, before) = (self.connection.key, self.bytes);
        let is_granted = self
            .connection
            .table
            .decide(|ledger, _| ledger.grow_answer(key, before, bytes));
        if is_granted {
            self.bytes += bytes;
        }
        is_granted
    }
}

impl Drop for AnswerRoom {
    fn drop(&mut self) {
        let mut inner = self.connection.table.lock();
        inner.ledger.release_answer(self.connection.key, self.bytes);
    }
}
