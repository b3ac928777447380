//! The journal of one partition of a service's idempotency keys.
//!
//! Records are committed in batches. Each batch is written under a new key, in a transaction that
//! succeeds only while the partition's head is the one that this owner wrote. An owner whose lease
//! has expired can therefore commit nothing once another agent has claimed the partition. A commit
//! that got no response is sent again unchanged. If an earlier attempt took effect, the store
//! returns the stored batch. Otherwise the new attempt takes effect, unless the head has changed.

use std::collections::HashMap;

use prost::Message;

use crate::agent::AgentContext;
use crate::clock::ClockTime;
use crate::store::{
    PlatformCompare, PlatformItem, PlatformRequest, PlatformResponse, PlatformResult, PlatformWrite,
};
use crate::wire::gen::{JournalBatch, JournalRecord, JournalStep};

/// Maximum size of a response body that is stored for resends, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 4096;
/// Minimum time for which a key is kept after its latest record, in milliseconds. Expired keys are
/// removed when a later write is prepared.
pub const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Maximum number of records in one commit.
const MAX_BATCH_RECORDS: usize = 256;
/// Number of stored segments at or above which small ones are merged.
const MERGE_SEGMENTS: usize = 32;
/// Maximum size of a merged segment, in bytes. A segment of at least half this size is not merged
/// again.
const MAX_MERGED_BYTES: usize = 512 * 1024;
/// Delay before a write that got no response is sent again, in milliseconds. The first retry of a
/// commit is not delayed.
const RETRY_MS: u64 = 200;

/// Number that identifies an operation within one agent.
pub type OperationId = u64;

/// The state of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Started by this owner and not finished.
    Active(OperationId),
    /// Started, but its outcome is not recorded: it may have run. This is the state of operations
    /// that an earlier owner left unfinished or to which the service sent no complete response.
    Unknown,
    /// Started, but not sent to the service: it was cancelled, or the connection to the service
    /// failed. The key may be used again.
    Cancelled,
    /// Finished with this response.
    Done(ServiceResponse),
}

/// The response of the service to an operation. Not every response is recorded in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u32,
    /// Value of the response's `Content-Type` header.
    pub content_type: String,
    /// Response body. `None` in a recorded response whose body was larger than
    /// [`MAX_STORED_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// The latest record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRecord {
    /// Hash of the operation sent with the key, 16 bytes.
    pub digest: Vec<u8>,
    /// Number of intents recorded for the key. It exceeds 1 if earlier ones were cancelled.
    pub serial: u32,
    /// Time of the latest record, in milliseconds since 1970.
    pub at_ms: u64,
    /// State of the key.
    pub state: KeyState,
}

/// What a journal write, or the lack of a response to it, means for operations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// No operation is affected.
    None,
    /// The intents of these operations are durable.
    Committed(Vec<OperationId>),
    /// A commit got no response twice, so it is unknown whether the intents of these operations are
    /// stored. The operations must not be dispatched.
    InDoubt(Vec<OperationId>),
    /// The partition's head has changed, so another owner has claimed it. The intents of these
    /// operations can no longer be committed.
    Lost(Vec<OperationId>),
}

/// A batch of records that is being written.
#[derive(Debug)]
struct JournalCommit {
    /// Store key of the batch.
    key: String,
    /// Encoded batch.
    bytes: Vec<u8>,
    /// Time of the newest record, in milliseconds since 1970.
    newest_ms: u64,
    /// Operations whose intents are in the batch.
    operations: Vec<OperationId>,
    /// Number of attempts that got no response.
    failures: u32,
}

#[derive(Debug)]
enum JournalWrite {
    Commit(JournalCommit),
    /// Replaces `count` segments, starting with the first that is not full, by a single one.
    Merge {
        count: usize,
        bytes: Vec<u8>,
    },
    /// Deletes the oldest segment.
    Expire,
}

/// One stored value of the journal: a batch or several merged batches.
#[derive(Debug)]
struct JournalSegment {
    /// Store key of the segment.
    key: String,
    /// The stored value, or empty once the segment is full.
    bytes: Vec<u8>,
    /// Whether the segment is too large to be merged again.
    full: bool,
    /// Time of the newest record, in milliseconds since 1970.
    newest_ms: u64,
}

impl JournalSegment {
    fn new(key: String, bytes: Vec<u8>, newest_ms: u64) -> JournalSegment {
        let full = bytes.len() >= MAX_MERGED_BYTES / 2;
        JournalSegment {
            key,
            bytes: if full { Vec::new() } else { bytes },
            full,
            newest_ms,
        }
    }
}

/// The journal of one partition, in the memory of its owner.
#[derive(Debug)]
pub struct PartitionJournal {
    /// Prefix of the store keys of the segments.
    log_prefix: String,
    epoch: u64,
    head_revision: u64,
    /// Number of the next batch within the epoch.
    next_batch: u64,
    /// Records of the idempotency keys, by the hash of the key.
    key_records: HashMap<Vec<u8>, KeyRecord>,
    /// Records that are not part of a write yet.
    pending_records: Vec<JournalRecord>,
    /// Operations of the intents in `pending_records`, in the same order.
    pending_operations: Vec<OperationId>,
    /// The write that is in progress or waits to be retried.
    current_write: Option<JournalWrite>,
    /// Number of the platform request in flight for `current_write`.
    request_number: Option<u64>,
    retry_at: ClockTime,
    segments: Vec<JournalSegment>,
    /// Number of keys in [`KeyState::Active`].
    active_operations: usize,
    closing: bool,
}

/// Prefix of the store keys of a partition's journal.
pub fn journal_prefix(service: &str, partition: u32) -> String {
    format!("/lynxcart/journal/{service}/{partition}/")
}

/// Store key of a partition's head, which names its owner and epoch.
pub fn head_key(service: &str, partition: u32) -> String {
    format!("{}head", journal_prefix(service, partition))
}

impl PartitionJournal {
    /// Restores a journal from all stored items under [`journal_prefix`], given in key order.
    ///
    /// `epoch` is the epoch in the head that this owner wrote, and `head_revision` the store
    /// revision of that write.
    pub fn load(
        service: &str,
        partition: u32,
        epoch: u64,
        head_revision: u64,
        items: &[PlatformItem],
    ) -> PartitionJournal {
        let log_prefix = format!("{}log/", journal_prefix(service, partition));
        let mut journal = PartitionJournal {
            log_prefix,
            epoch,
            head_revision,
            next_batch: 0,
            key_records: HashMap::new(),
            pending_records: Vec::new(),
            pending_operations: Vec::new(),
            current_write: None,
            request_number: None,
            retry_at: ClockTime::default(),
            segments: Vec::new(),
            active_operations: 0,
            closing: false,
        };
        for item in items
            .iter()
            .filter(|item| item.key.starts_with(&journal.log_prefix))
        {
            let batch = JournalBatch::decode(item.value.as_slice()).unwrap_or_default();
            let newest_ms = batch.records.iter().map(|record| record.at_ms).max();
            for record in batch.records {
                insert_record(&mut journal.key_records, record);
            }
            let (key, bytes) = (item.key.clone(), item.value.clone());
            let segment = JournalSegment::new(key, bytes, newest_ms.unwrap_or(0));
            journal.segments.push(segment);
        }
        journal
    }

    /// The epoch under which the partition is owned.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Store revision at which this owner wrote the head.
    pub fn head_revision(&self) -> u64 {
        self.head_revision
    }

    /// Whether the partition is being handed over to another agent. No operation is started then.
    pub fn closing(&self) -> bool {
        self.closing
    }

    /// Starts (`true`) or cancels (`false`) the handover of the partition to another agent.
    pub fn set_closing(&mut self, closing: bool) {
        self.closing = closing;
    }

    /// Number of idempotency keys in memory. Some may have expired without being removed yet.
    pub fn key_count(&self) -> usize {
        self.key_records.len()
    }

    /// The record of the key with this hash. `None` if the key is unused or was removed after its
    /// retention time.
    pub fn lookup(&self, hash: &[u8]) -> Option<&KeyRecord> {
        self.key_records.get(hash)
    }

    /// Whether no operation is in flight and no record waits to be committed.
    pub fn is_idle(&self) -> bool {
        self.active_operations == 0
            && self.pending_records.is_empty()
            && self.current_write.is_none()
    }

    /// Records the intent to run an operation, which may be dispatched once the intent is
    /// committed.
    ///
    /// # Panics
    ///
    /// If the key was used before and its operation was not cancelled.
    pub fn record_intent(
        &mut self,
        hash: &[u8],
        digest: Vec<u8>,
        operation: OperationId,
        wall_ms: u64,
    ) {
        let previous = self.key_records.get(hash);
        assert!(
            previous.is_none_or(|record| record.state == KeyState::Cancelled),
            "recorded an intent for a key whose operation may have run"
        );
        let serial = previous.map_or(1, |record| record.serial + 1);
        let record = KeyRecord {
            digest: digest.clone(),
            serial,
            at_ms: wall_ms,
            state: KeyState::Active(operation),
        };
        self.key_records.insert(hash.to_vec(), record);
        self.active_operations += 1;
        self.pending_records.push(JournalRecord {
            step: JournalStep::Intent.into(),
            key_hash: hash.to_vec(),
            serial,
            digest,
            at_ms: wall_ms,
            ..JournalRecord::default()
        });
        self.pending_operations.push(operation);
    }

    /// Records that an operation was not sent to the service and never will be.
    pub fn cancel(&mut self, hash: &[u8], wall_ms: u64) {
        let Some(record) = self.key_records.get_mut(hash) else {
            return;
        };
        assert!(
            matches!(record.state, KeyState::Active(_)),
            "only an active operation can be cancelled"
        );
        record.state = KeyState::Cancelled;
        self.active_operations -= 1;
        record.at_ms = wall_ms;
        self.pending_records.push(JournalRecord {
            step: JournalStep::Struck.into(),
            key_hash: hash.to_vec(),
            serial: record.serial,
            digest: record.digest.clone(),
            at_ms: wall_ms,
            ..JournalRecord::default()
        });
    }

    /// Records the response to an operation.
    pub fn record_response(&mut self, hash: &[u8], response: ServiceResponse, wall_ms: u64) {
        let Some(record) = self.key_records.get_mut(hash) else {
            return;
        };
        assert!(
            matches!(record.state, KeyState::Active(_)),
            "only an active operation can finish"
        );
        self.pending_records.push(JournalRecord {
            step: JournalStep::Done.into(),
            key_hash: hash.to_vec(),
            serial: record.serial,
            digest: record.digest.clone(),
            at_ms: wall_ms,
            status: response.status,
            content_type: response.content_type.clone(),
            body: response.body.clone().unwrap_or_default(),
            body_dropped: response.body.is_none(),
        });
        record.at_ms = wall_ms;
        record.state = KeyState::Done(response);
        self.active_operations -= 1;
    }

    /// Marks the outcome of an operation as unknown. Nothing is written: the stored intent alone
    /// has the same meaning.
    pub fn mark_unknown(&mut self, hash: &[u8]) {
        if let Some(record) = self.key_records.get_mut(hash) {
            record.state = KeyState::Unknown;
            self.active_operations -= 1;
        }
    }

    /// Time at which [`PartitionJournal::write_next`] must be called next.
    pub fn next_wake(&self) -> ClockTime {
        if self.request_number.is_some()
            || (self.current_write.is_none() && self.pending_records.is_empty())
        {
            return ClockTime::NEVER;
        }
        self.retry_at
    }

    /// Starts the next write and returns the number of its platform request. Returns `None` if a
    /// write is in flight, is not due yet, or is not needed.
    pub fn write_next(&mut self, cx: &mut AgentContext) -> Option<u64> {
        if self.request_number.is_some() || cx.now < self.retry_at {
            return None;
        }
        if self.current_write.is_none() {
            self.current_write = self.prepare_write(cx.wall_ms());
        }
        let request = self.write_request()?;
        let number = cx.send_platform_request(request);
        self.request_number = Some(number);
        Some(number)
    }

    fn prepare_write(&mut self, wall_ms: u64) -> Option<JournalWrite> {
        if let Some(expiry) = self.prepare_expiry(wall_ms) {
            return Some(expiry);
        }
        if self.segments.len() >= MERGE_SEGMENTS {
            if let Some(merge) = self.prepare_merge() {
                return Some(merge);
            }
        }
        if self.pending_records.is_empty() {
            return None;
        }
        let count = self.pending_records.len().min(MAX_BATCH_RECORDS);
        let records: Vec<JournalRecord> = self.pending_records.drain(..count).collect();
        let intents = records
            .iter()
            .filter(|record| record.step() == JournalStep::Intent)
            .count();
        let key = format!(
            "{}{:016x}-{:016x}",
            self.log_prefix, self.epoch, self.next_batch
        );
        self.next_batch += 1;
        let newest_ms = records.iter().map(|record| record.at_ms).max().unwrap_or(0);
        Some(JournalWrite::Commit(JournalCommit {
            key,
            bytes: JournalBatch { records }.encode_to_vec(),
            newest_ms,
            operations: self.pending_operations.drain(..intents).collect(),
            failures: 0,
        }))
    }

    /// Prepares the deletion of the oldest segment once all keys in it have expired, and removes
    /// the expired keys from memory.
    fn prepare_expiry(&mut self, wall_ms: u64) -> Option<JournalWrite> {
        let oldest = self.segments.first()?;
        if wall_ms.saturating_sub(oldest.newest_ms) < KEY_RETENTION_MS {
            return None;
        }
        self.key_records
            .retain(|_, record| wall_ms.saturating_sub(record.at_ms) < KEY_RETENTION_MS);
        Some(JournalWrite::Expire)
    }

    /// Prepares a merge of the segments that are not full, if enough of them fit into one.
    fn prepare_merge(&self) -> Option<JournalWrite> {
        let mut bytes = Vec::new();
        let mut count = 0;
        for segment in &self.segments[self.merge_start()..] {
            if segment.full || bytes.len() + segment.bytes.len() > MAX_MERGED_BYTES {
                break;
            }
            // Concatenated Protobuf messages decode as one merged message.
            bytes.extend_from_slice(&segment.bytes);
            count += 1;
        }
        (count >= MERGE_SEGMENTS / 2).then_some(JournalWrite::Merge { count, bytes })
    }

    /// Index of the first segment that is not full.
    fn merge_start(&self) -> usize {
        let first = self.segments.iter().position(|segment| !segment.full);
        first.unwrap_or(self.segments.len())
    }

    fn write_request(&self) -> Option<PlatformRequest> {
        let head = self.head_compare();
        match self.current_write.as_ref()? {
            JournalWrite::Commit(commit) => Some(PlatformRequest::Txn {
                compares: vec![head, PlatformCompare::CreateRevision(commit.key.clone(), 0)],
                writes: vec![put(&commit.key, &commit.bytes)],
                reads: vec![commit.key.clone()],
            }),
            JournalWrite::Merge { count, bytes } => {
                let start = self.merge_start();
                let first = &self.segments[start].key;
                let second = &self.segments[start + 1].key;
                let last = &self.segments[start + count - 1].key;
                let delete = PlatformWrite::Delete {
                    key: second.clone(),
                    range_end: format!("{last}\0"),
                };
                Some(PlatformRequest::Txn {
                    compares: vec![head],
                    writes: vec![put(first, bytes), delete],
                    reads: Vec::new(),
                })
            }
            JournalWrite::Expire => Some(PlatformRequest::Txn {
                compares: vec![head],
                writes: vec![PlatformWrite::Delete {
                    key: self.segments.first()?.key.clone(),
                    range_end: String::new(),
                }],
                reads: Vec::new(),
            }),
        }
    }

    fn head_compare(&self) -> PlatformCompare {
        let key = format!("{}head", self.log_prefix.trim_end_matches("log/"));
        PlatformCompare::ModRevision(key, self.head_revision)
    }

    /// Handles the response to the write whose platform request has this number.
    pub fn handle_response(
        &mut self,
        now: ClockTime,
        number: u64,
        result: &PlatformResult,
    ) -> WriteOutcome {
        if self.request_number != Some(number) {
            return WriteOutcome::None;
        }
        self.request_number = None;
        let Some(write) = self.current_write.take() else {
            return WriteOutcome::None;
        };
        match result {
            Ok(PlatformResponse::Txn {
                succeeded: true, ..
            }) => self.on_success(write),
            Ok(PlatformResponse::Txn { items, .. }) => self.on_failed_condition(write, items),
            Ok(_) | Err(_) => self.on_no_response(now, write),
        }
    }

    fn on_success(&mut self, write: JournalWrite) -> WriteOutcome {
        match write {
            JournalWrite::Commit(commit) => {
                let JournalCommit {
                    key,
                    bytes,
                    newest_ms,
                    operations,
                    ..
                } = commit;
                self.segments
                    .push(JournalSegment::new(key, bytes, newest_ms));
                WriteOutcome::Committed(operations)
            }
            JournalWrite::Merge { count, bytes } => {
                let start = self.merge_start();
                let merged: Vec<JournalSegment> =
                    self.segments.drain(start..start + count).collect();
                let newest_ms = merged.iter().map(|segment| segment.newest_ms).max();
                let key = merged[0].key.clone();
                let segment = JournalSegment::new(key, bytes, newest_ms.unwrap_or(0));
                self.segments.insert(start, segment);
                WriteOutcome::None
            }
            JournalWrite::Expire => {
                self.segments.remove(0);
                WriteOutcome::None
            }
        }
    }

    /// Handles a transaction whose conditions did not hold: either an earlier attempt of the same
    /// write took effect, or the head has changed.
    fn on_failed_condition(&mut self, write: JournalWrite, items: &[PlatformItem]) -> WriteOutcome {
        let JournalWrite::Commit(commit) = write else {
            return WriteOutcome::Lost(Vec::new());
        };
        let stored = items.iter().find(|item| item.key == commit.key);
        match stored {
            Some(item) => {
                assert_eq!(
                    item.value, commit.bytes,
                    "a batch of this owner was written by another process"
                );
                self.on_success(JournalWrite::Commit(commit))
            }
            None => WriteOutcome::Lost(commit.operations),
        }
    }

    fn on_no_response(&mut self, now: ClockTime, write: JournalWrite) -> WriteOutcome {
        let JournalWrite::Commit(mut commit) = write else {
            self.current_write = Some(write);
            self.retry_at = now + RETRY_MS;
            return WriteOutcome::None;
        };
        commit.failures += 1;
        // The first retry is sent at once: the operations still wait for the commit, and the retry
        // shows whether the first attempt took effect.
        let first_failure = commit.failures == 1;
        self.retry_at = if first_failure { now } else { now + RETRY_MS };
        let in_doubt = if first_failure {
            Vec::new()
        } else {
            std::mem::take(&mut commit.operations)
        };
        self.current_write = Some(JournalWrite::Commit(commit));
        match in_doubt.is_empty() {
            true => WriteOutcome::None,
            false => WriteOutcome::InDoubt(in_doubt),
        }
    }

    /// Returns the operations whose intents are not known to be committed, except those already
    /// reported as [`WriteOutcome::InDoubt`].
    pub fn uncommitted(&self) -> Vec<OperationId> {
        let mut operations = self.pending_operations.clone();
        if let Some(JournalWrite::Commit(commit)) = &self.current_write {
            operations.extend(&commit.operations);
        }
        operations
    }
}

fn put(key: &str, bytes: &[u8]) -> PlatformWrite {
    PlatformWrite::Put {
        key: key.to_owned(),
        value: bytes.to_vec(),
        lease: 0,
    }
}

/// Adds a record read from the store. A record with a higher serial supersedes one with a lower
/// serial, and a later step supersedes an earlier one with the same serial.
fn insert_record(key_records: &mut HashMap<Vec<u8>, KeyRecord>, record: JournalRecord) {
    let state = match record.step() {
        JournalStep::Intent | JournalStep::Unspecified => KeyState::Unknown,
        JournalStep::Struck => KeyState::Cancelled,
        JournalStep::Done => KeyState::Done(ServiceResponse {
            status: record.status,
            content_type: record.content_type.clone(),
            body: (!record.body_dropped).then(|| record.body.clone()),
        }),
    };
    let superseded = key_records.get(&record.key_hash).is_some_and(|known| {
        known.serial > record.serial
            || (known.serial == record.serial && step_rank(&known.state) >= step_rank(&state))
    });
    if superseded {
        return;
    }
    let key_record = KeyRecord {
        digest: record.digest,
        serial: record.serial,
        at_ms: record.at_ms,
        state,
    };
    key_records.insert(record.key_hash, key_record);
}

fn step_rank(state: &KeyState) -> u8 {
    match state {
        KeyState::Active(_) | KeyState::Unknown => 1,
        KeyState::Cancelled => 2,
        KeyState::Done(_) => 3,
    }
}
