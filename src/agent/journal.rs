//! The journal of one partition of the idempotency keys of a service.
//!
//! Records are committed in groups, each as one new key, in a transaction that holds only while
//! the partition's head is the one this owner wrote. So an owner whose lease has lapsed can
//! commit nothing. A commit without an answer is sent again as it was: either it had taken
//! effect, and the store says so, or it takes effect now.

use std::collections::HashMap;

use prost::Message;

use crate::agent::AgentContext;
use crate::clock::ClockTime;
use crate::store::{
    PlatformAnswer, PlatformCall, PlatformCompare, PlatformItem, PlatformResult, PlatformWrite,
};
use crate::wire::gen::{JournalBatch, JournalRecord, JournalStep};

/// Largest answer kept for a resend, bytes.
pub const KEEP_BYTES: usize = 4096;
/// How long a key is remembered, milliseconds.
pub const REMEMBER_MS: u64 = 24 * 60 * 60 * 1000;
/// Records in one commit.
const BATCH_RECORDS: usize = 256;
/// Batches after which the oldest are merged into one.
const MERGE_BATCHES: usize = 32;
/// Largest merged batch, bytes.
const MERGE_BYTES: usize = 512 * 1024;
/// Pause before a commit without an answer is sent again, milliseconds.
const RETRY_MS: u64 = 200;

/// Identity of an operation within one agent.
pub type OperationId = u64;

/// What the journal knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Begun by this owner, and not ended.
    Active(OperationId),
    /// Begun by an earlier owner; how it ended is not recorded.
    Unknown,
    /// Begun and struck out before it ran.
    Struck,
    /// It ran.
    Done(KeyAnswer),
}

/// The recorded answer of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyAnswer {
    /// HTTP status.
    pub status: u32,
    /// Content type of the body.
    pub content_type: String,
    /// The body, unless it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// A key and what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRecord {
    /// Hash of the request.
    pub digest: Vec<u8>,
    /// Tries begun.
    pub serial: u32,
    /// When the latest step was, milliseconds since 1970.
    pub at_ms: u64,
    /// What is known.
    pub state: KeyState,
}

/// What came of a platform answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalNews {
    /// Nothing that matters to operations.
    None,
    /// These intents are durable.
    Committed(Vec<OperationId>),
    /// A commit has failed twice: these intents are in doubt and must not be dispatched.
    Doubtful(Vec<OperationId>),
    /// Another owner has the partition. These intents are not in the journal and never will be.
    Lost(Vec<OperationId>),
}

#[derive(Debug)]
struct JournalCommit {
    key: String,
    bytes: Vec<u8>,
    newest_ms: u64,
    operations: Vec<OperationId>,
    failures: u32,
}

#[derive(Debug)]
enum JournalWrite {
    Commit(JournalCommit),
    Merge { count: usize, bytes: Vec<u8> },
    Expire,
}

#[derive(Debug)]
struct JournalSegment {
    key: String,
    /// What is stored, until the segment is too large to be merged again.
    bytes: Vec<u8>,
    full: bool,
    newest_ms: u64,
}

impl JournalSegment {
    fn new(key: String, bytes: Vec<u8>, newest_ms: u64) -> JournalSegment {
        let full = bytes.len() >= MERGE_BYTES / 2;
        JournalSegment {
            key,
            bytes: if full { Vec::new() } else { bytes },
            full,
            newest_ms,
        }
    }
}

/// The journal of one partition, as its owner holds it.
#[derive(Debug)]
pub struct PartitionJournal {
    prefix: String,
    epoch: u64,
    head_revision: u64,
    next_batch: u64,
    index: HashMap<Vec<u8>, KeyRecord>,
    pending: Vec<JournalRecord>,
    pending_operations: Vec<OperationId>,
    write: Option<JournalWrite>,
    call: Option<u64>,
    retry_at: ClockTime,
    segments: Vec<JournalSegment>,
    active: usize,
    closing: bool,
}

/// Key prefix of a partition's journal.
pub fn journal_prefix(service: &str, partition: u32) -> String {
    format!("/lynxcart/journal/{service}/{partition}/")
}

/// Key of a partition's head.
pub fn head_key(service: &str, partition: u32) -> String {
    format!("{}head", journal_prefix(service, partition))
}

impl PartitionJournal {
    /// Takes a journal over from its stored batches, in key order.
    pub fn load(
        service: &str,
        partition: u32,
        epoch: u64,
        head_revision: u64,
        items: &[PlatformItem],
    ) -> PartitionJournal {
        let prefix = format!("{}log/", journal_prefix(service, partition));
        let mut journal = PartitionJournal {
            prefix,
            epoch,
            head_revision,
            next_batch: 0,
            index: HashMap::new(),
            pending: Vec::new(),
            pending_operations: Vec::new(),
            write: None,
            call: None,
            retry_at: ClockTime::default(),
            segments: Vec::new(),
            active: 0,
            closing: false,
        };
        for item in items
            .iter()
            .filter(|item| item.key.starts_with(&journal.prefix))
        {
            let batch = JournalBatch::decode(item.value.as_slice()).unwrap_or_default();
            let newest_ms = batch.records.iter().map(|record| record.at_ms).max();
            for record in batch.records {
                index_record(&mut journal.index, record);
            }
            let (key, bytes) = (item.key.clone(), item.value.clone());
            let segment = JournalSegment::new(key, bytes, newest_ms.unwrap_or(0));
            journal.segments.push(segment);
        }
        journal
    }

    /// The epoch under which it is owned.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Revision at which this owner wrote the head.
    pub fn head_revision(&self) -> u64 {
        self.head_revision
    }

    /// Whether the partition is about to go to another owner, so that nothing new begins.
    pub fn closing(&self) -> bool {
        self.closing
    }

    /// Sets [`PartitionJournal::closing`].
    pub fn set_closing(&mut self, closing: bool) {
        self.closing = closing;
    }

    /// Keys remembered.
    pub fn key_count(&self) -> usize {
        self.index.len()
    }

    /// What is known of a key.
    pub fn lookup(&self, hash: &[u8]) -> Option<&KeyRecord> {
        self.index.get(hash)
    }

    /// Whether nothing runs and nothing waits to be committed.
    pub fn is_quiet(&self) -> bool {
        self.active == 0 && self.pending.is_empty() && self.write.is_none()
    }

    /// Records the intent to run an operation; it may be dispatched once that is committed.
    pub fn intend(&mut self, hash: &[u8], digest: Vec<u8>, operation: OperationId, wall_ms: u64) {
        let known = self.index.get(hash);
        assert!(
            known.is_none_or(|record| record.state == KeyState::Struck),
            "an intent for a key that may have run"
        );
        let serial = known.map_or(1, |record| record.serial + 1);
        let record = KeyRecord {
            digest: digest.clone(),
            serial,
            at_ms: wall_ms,
            state: KeyState::Active(operation),
        };
        self.index.insert(hash.to_vec(), record);
        self.active += 1;
        self.pending.push(JournalRecord {
            step: JournalStep::Intent.into(),
            key_hash: hash.to_vec(),
            serial,
            digest,
            at_ms: wall_ms,
            ..JournalRecord::default()
        });
        self.pending_operations.push(operation);
    }

    /// Records that an operation was struck out before it ran.
    pub fn strike(&mut self, hash: &[u8], wall_ms: u64) {
        let Some(record) = self.index.get_mut(hash) else {
            return;
        };
        assert!(
            matches!(record.state, KeyState::Active(_)),
            "only what is active can be struck"
        );
        record.state = KeyState::Struck;
        self.active -= 1;
        record.at_ms = wall_ms;
        self.pending.push(JournalRecord {
            step: JournalStep::Struck.into(),
            key_hash: hash.to_vec(),
            serial: record.serial,
            digest: record.digest.clone(),
            at_ms: wall_ms,
            ..JournalRecord::default()
        });
    }

    /// Records the answer of an operation.
    pub fn finish(&mut self, hash: &[u8], answer: KeyAnswer, wall_ms: u64) {
        let Some(record) = self.index.get_mut(hash) else {
            return;
        };
        assert!(
            matches!(record.state, KeyState::Active(_)),
            "only what is active can end"
        );
        self.pending.push(JournalRecord {
            step: JournalStep::Done.into(),
            key_hash: hash.to_vec(),
            serial: record.serial,
            digest: record.digest.clone(),
            at_ms: wall_ms,
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone().unwrap_or_default(),
            body_dropped: answer.body.is_none(),
        });
        record.at_ms = wall_ms;
        record.state = KeyState::Done(answer);
        self.active -= 1;
    }

    /// Records that how an operation ended cannot be known.
    pub fn lose_outcome(&mut self, hash: &[u8]) {
        if let Some(record) = self.index.get_mut(hash) {
            record.state = KeyState::Unknown;
            self.active -= 1;
        }
    }

    /// When [`PartitionJournal::write_next`] is wanted next.
    pub fn wake(&self) -> ClockTime {
        if self.call.is_some() || (self.write.is_none() && self.pending.is_empty()) {
            return ClockTime::NEVER;
        }
        self.retry_at
    }

    /// Begins the next write if there is one and none is under way. Returns the call's number.
    pub fn write_next(&mut self, cx: &mut AgentContext) -> Option<u64> {
        if self.call.is_some() || cx.now < self.retry_at {
            return None;
        }
        if self.write.is_none() {
            self.write = self.next_write(cx.wall_ms());
        }
        let call = self.platform_call()?;
        let number = cx.platform(call);
        self.call = Some(number);
        Some(number)
    }

    fn next_write(&mut self, wall_ms: u64) -> Option<JournalWrite> {
        if let Some(expired) = self.expired(wall_ms) {
            return Some(expired);
        }
        if self.segments.len() >= MERGE_BATCHES {
            if let Some(merge) = self.merge() {
                return Some(merge);
            }
        }
        if self.pending.is_empty() {
            return None;
        }
        let count = self.pending.len().min(BATCH_RECORDS);
        let records: Vec<JournalRecord> = self.pending.drain(..count).collect();
        let intents = records
            .iter()
            .filter(|record| record.step() == JournalStep::Intent)
            .count();
        let key = format!(
            "{}{:016x}-{:016x}",
            self.prefix, self.epoch, self.next_batch
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

    /// Drops the oldest segment once every key in it may be forgotten.
    fn expired(&mut self, wall_ms: u64) -> Option<JournalWrite> {
        let oldest = self.segments.first()?;
        if wall_ms.saturating_sub(oldest.newest_ms) < REMEMBER_MS {
            return None;
        }
        self.index
            .retain(|_, record| wall_ms.saturating_sub(record.at_ms) < REMEMBER_MS);
        Some(JournalWrite::Expire)
    }

    /// Merges the run of segments that are not full, if it is worth a write.
    fn merge(&self) -> Option<JournalWrite> {
        let mut bytes = Vec::new();
        let mut count = 0;
        for segment in &self.segments[self.merge_start()..] {
            if segment.full || bytes.len() + segment.bytes.len() > MERGE_BYTES {
                break;
            }
            // Concatenated batches decode as one.
            bytes.extend_from_slice(&segment.bytes);
            count += 1;
        }
        (count >= MERGE_BATCHES / 2).then_some(JournalWrite::Merge { count, bytes })
    }

    /// The first segment that is not full.
    fn merge_start(&self) -> usize {
        let first = self.segments.iter().position(|segment| !segment.full);
        first.unwrap_or(self.segments.len())
    }

    fn platform_call(&self) -> Option<PlatformCall> {
        let head = self.head_compare();
        match self.write.as_ref()? {
            JournalWrite::Commit(commit) => Some(PlatformCall::Txn {
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
                Some(PlatformCall::Txn {
                    compares: vec![head],
                    writes: vec![put(first, bytes), delete],
                    reads: Vec::new(),
                })
            }
            JournalWrite::Expire => Some(PlatformCall::Txn {
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
        let key = format!("{}head", self.prefix.trim_end_matches("log/"));
        PlatformCompare::ModRevision(key, self.head_revision)
    }

    /// Takes the answer of a write in.
    pub fn answer(&mut self, now: ClockTime, number: u64, result: &PlatformResult) -> JournalNews {
        if self.call != Some(number) {
            return JournalNews::None;
        }
        self.call = None;
        let Some(write) = self.write.take() else {
            return JournalNews::None;
        };
        match result {
            Ok(PlatformAnswer::Txn {
                succeeded: true, ..
            }) => self.written(write),
            Ok(PlatformAnswer::Txn { items, .. }) => self.not_written(write, items),
            Ok(_) | Err(_) => self.unanswered(now, write),
        }
    }

    fn written(&mut self, write: JournalWrite) -> JournalNews {
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
                JournalNews::Committed(operations)
            }
            JournalWrite::Merge { count, bytes } => {
                let start = self.merge_start();
                let merged: Vec<JournalSegment> =
                    self.segments.drain(start..start + count).collect();
                let newest_ms = merged.iter().map(|segment| segment.newest_ms).max();
                let key = merged[0].key.clone();
                let segment = JournalSegment::new(key, bytes, newest_ms.unwrap_or(0));
                self.segments.insert(start, segment);
                JournalNews::None
            }
            JournalWrite::Expire => {
                self.segments.remove(0);
                JournalNews::None
            }
        }
    }

    /// The conditions did not hold: either an earlier sending took effect, or the head changed.
    fn not_written(&mut self, write: JournalWrite, items: &[PlatformItem]) -> JournalNews {
        let JournalWrite::Commit(commit) = write else {
            return JournalNews::Lost(Vec::new());
        };
        let stored = items.iter().find(|item| item.key == commit.key);
        match stored {
            Some(item) => {
                assert_eq!(item.value, commit.bytes, "another wrote this owner's batch");
                self.written(JournalWrite::Commit(commit))
            }
            None => JournalNews::Lost(commit.operations),
        }
    }

    fn unanswered(&mut self, now: ClockTime, write: JournalWrite) -> JournalNews {
        let JournalWrite::Commit(mut commit) = write else {
            self.write = Some(write);
            self.retry_at = now + RETRY_MS;
            return JournalNews::None;
        };
        commit.failures += 1;
        // The first sending again is also the read-back, and is not put off.
        let first = commit.failures == 1;
        self.retry_at = if first { now } else { now + RETRY_MS };
        let doubtful = if first {
            Vec::new()
        } else {
            std::mem::take(&mut commit.operations)
        };
        self.write = Some(JournalWrite::Commit(commit));
        match doubtful.is_empty() {
            true => JournalNews::None,
            false => JournalNews::Doubtful(doubtful),
        }
    }

    /// Operations whose intents are not known to be committed.
    pub fn uncommitted(&self) -> Vec<OperationId> {
        let mut operations = self.pending_operations.clone();
        if let Some(JournalWrite::Commit(commit)) = &self.write {
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

/// Takes one record in: a later try outweighs an earlier, and within a try a later step.
fn index_record(index: &mut HashMap<Vec<u8>, KeyRecord>, record: JournalRecord) {
    let state = match record.step() {
        JournalStep::Intent | JournalStep::Unspecified => KeyState::Unknown,
        JournalStep::Struck => KeyState::Struck,
        JournalStep::Done => KeyState::Done(KeyAnswer {
            status: record.status,
            content_type: record.content_type.clone(),
            body: (!record.body_dropped).then(|| record.body.clone()),
        }),
    };
    let outweighed = index.get(&record.key_hash).is_some_and(|known| {
        known.serial > record.serial
            || (known.serial == record.serial && step_rank(&known.state) >= step_rank(&state))
    });
    if outweighed {
        return;
    }
    let known = KeyRecord {
        digest: record.digest,
        serial: record.serial,
        at_ms: record.at_ms,
        state,
    };
    index.insert(record.key_hash, known);
}

fn step_rank(state: &KeyState) -> u8 {
    match state {
        KeyState::Active(_) | KeyState::Unknown => 1,
        KeyState::Struck => 2,
        KeyState::Done(_) => 3,
    }
}
