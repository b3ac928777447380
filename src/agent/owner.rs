//! Ownership of a service's journal partitions, under a lease in the platform's key-value store.
//!
//! An agent registers itself under its lease and claims each unowned partition that
//! [`rendezvous_assign`] assigns to it among the service's registered agents. A claim writes the
//! next epoch into the partition's head, after which no earlier owner can commit. The journal is
//! read only after that write.

use std::collections::{BTreeMap, HashMap};

use prost::Message;

use crate::agent::journal::{
    head_key, journal_prefix, OperationId, PartitionJournal, WriteOutcome,
};
use crate::agent::AgentContext;
use crate::clock::ClockTime;
use crate::event::{EventKind, PendingEvent};
use crate::store::{
    prefix_end, PlatformCompare, PlatformItem, PlatformRequest, PlatformResponse, PlatformResult,
    PlatformWrite,
};
use crate::util::rendezvous_assign;
use crate::wire::gen::JournalHead;

/// Time to live of an agent's lease, in seconds. If the agent dies, its partitions become free
/// after this time.
pub const LEASE_TTL_S: i64 = 3;
/// Interval between two extensions of the lease, in milliseconds.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_000;
/// Safety margin by which the agent stops relying on its lease before the store ends it,
/// milliseconds.
const LEASE_MARGIN_MS: u64 = 500;
/// Interval between two reads of the service's registered agents and partition owners,
/// milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// A change that affects the operations of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// A write to the journal of this partition ended with this outcome.
    Journal(u32, WriteOutcome),
    /// This agent no longer owns the partition. The intents listed are not known to be committed.
    OwnershipEnded(u32, Vec<OperationId>),
}

/// Purpose of a platform request in flight. For lease requests it holds the time at which the
/// request was sent, and for requests about one partition the partition's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPurpose {
    Grant(ClockTime),
    KeepAlive(ClockTime),
    Register,
    Poll,
    ReadHead(u32),
    Claim(u32),
    LoadJournal(u32),
    WriteJournal(u32),
    Release(u32),
    Other,
}

#[derive(Debug)]
enum PartitionSlot {
    /// Owned by another agent or by no agent.
    Unowned,
    /// The claim or the read of the journal is in progress.
    Acquiring,
    Owned(Box<PartitionJournal>),
    /// Given up; the owner key in the store is not deleted yet.
    Releasing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldLease {
    id: i64,
    /// End of the time in which no other agent can own this agent's partitions.
    valid_until: ClockTime,
}

/// Settings for the ownership of journal partitions by an agent of a plain service.
#[derive(Clone, Debug)]
pub struct OwnerSetup {
    /// Name of the service.
    pub service: String,
    /// Number of partitions over which the service's idempotency keys are spread. It must be the
    /// same for all agents of the service.
    pub partition_count: u32,
    /// Address at which the agent receives messages, "ip:port".
    pub address: String,
    /// Random number by which a restarted agent differs from its predecessor.
    pub incarnation: u64,
    /// Maximum rate of journal writes, per second.
    pub writes_per_s: u32,
}

/// The journal partitions of a service, as one agent sees them.
#[derive(Debug)]
pub struct PartitionTable {
    setup: OwnerSetup,
    partitions: BTreeMap<u32, PartitionSlot>,
    /// Platform requests in flight, by number.
    requests: HashMap<u64, RequestPurpose>,
    held_lease: Option<HeldLease>,
    /// Addresses of the service's registered agents, as of the latest poll.
    agents: Vec<String>,
    keep_alive_at: ClockTime,
    poll_at: ClockTime,
    /// Earliest time of the next journal write, so that `writes_per_s` is not exceeded.
    write_at: ClockTime,
    /// Partition of the latest journal write. The next write is for the first partition after it
    /// that has one due.
    last_written: u32,
    outage: bool,
    draining: bool,
    /// Highest epoch under which each partition was owned here.
    used_epochs: HashMap<u32, u64>,
}

impl PartitionTable {
    /// Creates a table that owns no partition and holds no lease.
    pub fn new(setup: OwnerSetup) -> PartitionTable {
        let partitions = (0..setup.partition_count).map(|p| (p, PartitionSlot::Unowned));
        PartitionTable {
            partitions: partitions.collect(),
            setup,
            requests: HashMap::new(),
            held_lease: None,
            agents: Vec::new(),
            keep_alive_at: ClockTime::default(),
            poll_at: ClockTime::default(),
            write_at: ClockTime::default(),
            last_written: 0,
            outage: false,
            draining: false,
            used_epochs: HashMap::new(),
        }
    }

    /// Number of partitions over which the service's keys are spread.
    pub fn partition_count(&self) -> u32 {
        self.setup.partition_count
    }

    /// Whether the platform request that ended last failed.
    pub fn outage(&self) -> bool {
        self.outage
    }

    /// Whether the lease is certain to hold at `now`, so that no other agent can own this agent's
    /// partitions.
    pub fn lease_valid(&self, now: ClockTime) -> bool {
        self.held_lease.is_some_and(|lease| now < lease.valid_until)
    }

    /// The owned partitions that accept new operations, in ascending order. Those that are being
    /// handed over are not among them.
    pub fn accepting_partitions(&self) -> Vec<u32> {
        let partitions = self.partitions.iter();
        partitions
            .filter(|(_, slot)| matches!(slot, PartitionSlot::Owned(j) if !j.closing()))
            .map(|(partition, _)| *partition)
            .collect()
    }

    /// The journal of a partition. `None` if the partition is not owned here.
    pub fn journal(&mut self, partition: u32) -> Option<&mut PartitionJournal> {
        match self.partitions.get_mut(&partition) {
            Some(PartitionSlot::Owned(journal)) => Some(journal),
            _ => None,
        }
    }

    /// Whether no owned journal has an operation in flight or a record to write.
    pub fn is_idle(&self) -> bool {
        self.partitions.values().all(|slot| match slot {
            PartitionSlot::Owned(journal) => journal.is_idle(),
            PartitionSlot::Unowned | PartitionSlot::Acquiring | PartitionSlot::Releasing => true,
        })
    }

    /// Stops claiming partitions and deletes this agent's registration, so that other agents take
    /// over.
    pub fn start_drain(&mut self, cx: &mut AgentContext) {
        if self.draining {
            return;
        }
        self.draining = true;
        let request = PlatformRequest::Txn {
            compares: Vec::new(),
            writes: vec![PlatformWrite::Delete {
                key: self.agent_key(),
                range_end: String::new(),
            }],
            reads: Vec::new(),
        };
        self.send_platform_request(cx, request, RequestPurpose::Other);
    }

    /// Gives up all partitions by revoking the lease, at the end of a graceful shutdown.
    pub fn release_partitions(&mut self, cx: &mut AgentContext) {
        if let Some(lease) = self.held_lease.take() {
            let request = PlatformRequest::LeaseRevoke { lease: lease.id };
            self.send_platform_request(cx, request, RequestPurpose::Other);
        }
        for slot in self.partitions.values_mut() {
            *slot = PartitionSlot::Releasing;
        }
    }

    /// Time at which [`PartitionTable::tick`] must be called next.
    pub fn next_wake(&self) -> ClockTime {
        let journals = self.partitions.values().map(|slot| match slot {
            PartitionSlot::Owned(journal) => journal.next_wake(),
            PartitionSlot::Unowned | PartitionSlot::Acquiring | PartitionSlot::Releasing => {
                ClockTime::NEVER
            }
        });
        let write = journals
            .min()
            .unwrap_or(ClockTime::NEVER)
            .max(self.write_at);
        self.keep_alive_at.min(self.poll_at).min(write)
    }

    /// Runs the timers that are due at `cx.now`.
    pub fn tick(&mut self, cx: &mut AgentContext) {
        if cx.now >= self.keep_alive_at {
            self.keep_alive_at = cx.now + KEEP_ALIVE_INTERVAL_MS;
            self.extend_lease(cx);
        }
        if cx.now >= self.poll_at {
            self.poll_at = cx.now + POLL_INTERVAL_MS;
            self.poll(cx);
        }
        if cx.now >= self.write_at {
            self.start_next_write(cx);
        }
    }

    fn send_platform_request(
        &mut self,
        cx: &mut AgentContext,
        request: PlatformRequest,
        purpose: RequestPurpose,
    ) {
        let number = cx.send_platform_request(request);
        self.requests.insert(number, purpose);
    }

    fn extend_lease(&mut self, cx: &mut AgentContext) {
        let lease_request_in_flight = self.requests.values().any(|purpose| {
            matches!(
                purpose,
                RequestPurpose::Grant(_) | RequestPurpose::KeepAlive(_)
            )
        });
        if lease_request_in_flight {
            return;
        }
        match self.held_lease {
            Some(lease) => {
                let request = PlatformRequest::LeaseKeepAlive { lease: lease.id };
                self.send_platform_request(cx, request, RequestPurpose::KeepAlive(cx.now));
            }
            None if !self.draining => {
                let request = PlatformRequest::LeaseGrant { ttl_s: LEASE_TTL_S };
                self.send_platform_request(cx, request, RequestPurpose::Grant(cx.now));
            }
            None => {}
        }
    }

    fn poll(&mut self, cx: &mut AgentContext) {
        if self
            .requests
            .values()
            .any(|purpose| *purpose == RequestPurpose::Poll)
        {
            return;
        }
        let key = self.owners_prefix();
        let range_end = prefix_end(&key);
        self.send_platform_request(
            cx,
            PlatformRequest::Range { key, range_end },
            RequestPurpose::Poll,
        );
    }

    /// Starts the next journal write, if one is due. Partitions with a due write take turns.
    fn start_next_write(&mut self, cx: &mut AgentContext) {
        let now = cx.now;
        let ready: Vec<u32> = self
            .partitions
            .iter()
            .filter_map(|(partition, slot)| match slot {
                PartitionSlot::Owned(journal) if journal.next_wake() <= now => Some(*partition),
                _ => None,
            })
            .collect();
        let next = ready
            .iter()
            .find(|p| **p > self.last_written)
            .or(ready.first());
        let Some(&partition) = next else { return };
        self.last_written = partition;
        let number = self
            .journal(partition)
            .and_then(|journal| journal.write_next(cx));
        if let Some(number) = number {
            self.requests
                .insert(number, RequestPurpose::WriteJournal(partition));
            self.write_at = cx.now + 1_000 / u64::from(self.setup.writes_per_s.max(1));
        }
    }

    /// Handles the response to the platform request with this number.
    pub fn handle_response(
        &mut self,
        cx: &mut AgentContext,
        number: u64,
        result: &PlatformResult,
    ) -> Vec<OwnerEvent> {
        let Some(purpose) = self.requests.remove(&number) else {
            return Vec::new();
        };
        self.record_outage(cx, result.is_err());
        match (purpose, result) {
            (RequestPurpose::Grant(sent_at), Ok(PlatformResponse::Lease { lease, ttl_s })) => {
                self.on_lease_granted(cx, sent_at, *lease, *ttl_s);
                Vec::new()
            }
            (RequestPurpose::KeepAlive(sent_at), Ok(PlatformResponse::Lease { lease, ttl_s })) => {
                self.on_lease_extended(cx, sent_at, *lease, *ttl_s)
            }
            (RequestPurpose::Register, Ok(PlatformResponse::Txn { .. })) => {
                self.poll_at = cx.now;
                Vec::new()
            }
            (RequestPurpose::Poll, Ok(PlatformResponse::Range { revision, items })) => {
                self.on_poll(cx, *revision, items)
            }
            (RequestPurpose::ReadHead(p), Ok(PlatformResponse::Range { items, .. })) => {
                self.claim(cx, p, items.first());
                Vec::new()
            }
            (
                RequestPurpose::Claim(p),
                Ok(PlatformResponse::Txn {
                    succeeded: true, ..
                }),
            ) => {
                self.start_load(cx, p);
                Vec::new()
            }
            (RequestPurpose::LoadJournal(p), Ok(PlatformResponse::Range { items, .. })) => {
                self.finish_load(cx, p, items);
                Vec::new()
            }
            (RequestPurpose::WriteJournal(p), result) => {
                let now = cx.now;
                let outcome = self
                    .journal(p)
                    .map(|journal| journal.handle_response(now, number, result));
                self.on_journal_write(cx, p, outcome.unwrap_or(WriteOutcome::None))
            }
            (RequestPurpose::Release(p), Ok(PlatformResponse::Txn { .. })) => {
                self.partitions.insert(p, PartitionSlot::Unowned);
                Vec::new()
            }
            // The claim failed, its outcome is unknown, or a read failed. The next poll shows the
            // owner.
            (
                RequestPurpose::ReadHead(p)
                | RequestPurpose::Claim(p)
                | RequestPurpose::LoadJournal(p),
                _,
            ) => {
                self.partitions.insert(p, PartitionSlot::Unowned);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn record_outage(&mut self, cx: &mut AgentContext, outage: bool) {
        if outage == self.outage {
            return;
        }
        self.outage = outage;
        let kind = if outage {
            EventKind::PlatformLost
        } else {
            EventKind::PlatformBack
        };
        cx.record_event(PendingEvent::new(kind, self.setup.service.clone(), ""));
    }

    fn on_lease_granted(&mut self, cx: &mut AgentContext, sent_at: ClockTime, id: i64, ttl_s: i64) {
        if self.draining {
            return;
        }
        self.held_lease = Some(HeldLease {
            id,
            valid_until: valid_until(sent_at, ttl_s),
        });
        self.register(cx);
    }

    fn register(&mut self, cx: &mut AgentContext) {
        let Some(lease) = self.held_lease else { return };
        let request = PlatformRequest::Txn {
            compares: Vec::new(),
            writes: vec![PlatformWrite::Put {
                key: self.agent_key(),
                value: self.identity().into_bytes(),
                lease: lease.id,
            }],
            reads: Vec::new(),
        };
        self.send_platform_request(cx, request, RequestPurpose::Register);
    }

    fn on_lease_extended(
        &mut self,
        cx: &mut AgentContext,
        sent_at: ClockTime,
        id: i64,
        ttl_s: i64,
    ) -> Vec<OwnerEvent> {
        let Some(lease) = self.held_lease.as_mut().filter(|lease| lease.id == id) else {
            return Vec::new();
        };
        if ttl_s > 0 {
            lease.valid_until = lease.valid_until.max(valid_until(sent_at, ttl_s));
            return Vec::new();
        }
        self.held_lease = None;
        self.keep_alive_at = cx.now;
        // Partitions that are being handed over remain owned here until a poll shows the loss.
        let partitions = self.accepting_partitions();
        partitions
            .into_iter()
            .map(|p| self.end_ownership(cx, p, "lease"))
            .collect()
    }

    fn on_poll(
        &mut self,
        cx: &mut AgentContext,
        revision: u64,
        items: &[PlatformItem],
    ) -> Vec<OwnerEvent> {
        let agents_prefix = format!("{}a/", self.owners_prefix());
        self.agents = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(&agents_prefix))
            .map(str::to_owned)
            .collect();
        if self.held_lease.is_some() && !self.draining && !self.agents.contains(&self.setup.address)
        {
            self.register(cx);
        }
        let mut events = Vec::new();
        for partition in 0..self.setup.partition_count {
            let key = self.owner_key(partition);
            let owner = items.iter().find(|item| item.key == key);
            let owner = owner.map(|item| String::from_utf8_lossy(&item.value).into_owned());
            events.extend(self.reconcile(cx, partition, revision, owner.as_deref()));
        }
        events
    }

    /// Compares a partition's owner in the store, read at `revision`, with the local state and acts
    /// on a difference.
    fn reconcile(
        &mut self,
        cx: &mut AgentContext,
        partition: u32,
        revision: u64,
        owner: Option<&str>,
    ) -> Option<OwnerEvent> {
        let owned_here = owner == Some(self.identity().as_str());
        let preferred = self.preferred_owner(partition);
        let should_own =
            preferred.as_deref() == Some(self.setup.address.as_str()) && !self.draining;
        let lease_valid = self.lease_valid(cx.now);
        match self.partitions.get_mut(&partition)? {
            // A poll read before the claim was written does not show the claim. It does not mean
            // that the ownership was lost.
            PartitionSlot::Owned(journal) if !owned_here => {
                if revision >= journal.head_revision() {
                    return Some(self.end_ownership(cx, partition, "owner"));
                }
            }
            PartitionSlot::Owned(journal) => {
                journal.set_closing(!should_own && preferred.is_some());
                if journal.closing() && journal.is_idle() {
                    self.release(cx, partition);
                    return Some(OwnerEvent::OwnershipEnded(partition, Vec::new()));
                }
            }
            PartitionSlot::Releasing if owned_here => self.release(cx, partition),
            PartitionSlot::Releasing => {
                self.partitions.insert(partition, PartitionSlot::Unowned);
            }
            // The claim took effect, but its response was lost.
            PartitionSlot::Unowned if owned_here && lease_valid => self.start_load(cx, partition),
            PartitionSlot::Unowned if owner.is_none() && should_own && lease_valid => {
                self.partitions.insert(partition, PartitionSlot::Acquiring);
                let request = PlatformRequest::Range {
                    key: head_key(&self.setup.service, partition),
                    range_end: String::new(),
                };
                self.send_platform_request(cx, request, RequestPurpose::ReadHead(partition));
            }
            PartitionSlot::Unowned | PartitionSlot::Acquiring => {}
        }
        None
    }

    fn preferred_owner(&self, partition: u32) -> Option<String> {
        let count = self.setup.partition_count;
        let owners = rendezvous_assign(&self.setup.service, count, &self.agents);
        let owner = owners.get(partition as usize);
        owner.map(|address| (*address).to_owned())
    }

    fn claim(&mut self, cx: &mut AgentContext, partition: u32, head: Option<&PlatformItem>) {
        let Some(lease) = self.held_lease else {
            self.partitions.insert(partition, PartitionSlot::Unowned);
            return;
        };
        let revision = head.map_or(0, |item| item.mod_revision);
        let previous = head.and_then(|item| JournalHead::decode(item.value.as_slice()).ok());
        let new_head = JournalHead {
            epoch: previous.map_or(1, |head| head.epoch + 1),
            owner: self.setup.address.clone(),
            incarnation: self.setup.incarnation,
        };
        let request = PlatformRequest::Txn {
            compares: vec![
                PlatformCompare::CreateRevision(self.owner_key(partition), 0),
                PlatformCompare::ModRevision(head_key(&self.setup.service, partition), revision),
            ],
            writes: vec![
                PlatformWrite::Put {
                    key: self.owner_key(partition),
                    value: self.identity().into_bytes(),
                    lease: lease.id,
                },
                PlatformWrite::Put {
                    key: head_key(&self.setup.service, partition),
                    value: new_head.encode_to_vec(),
                    lease: 0,
                },
            ],
            reads: Vec::new(),
        };
        self.send_platform_request(cx, request, RequestPurpose::Claim(partition));
    }

    fn start_load(&mut self, cx: &mut AgentContext, partition: u32) {
        self.partitions.insert(partition, PartitionSlot::Acquiring);
        let key = journal_prefix(&self.setup.service, partition);
        let range_end = prefix_end(&key);
        self.send_platform_request(
            cx,
            PlatformRequest::Range { key, range_end },
            RequestPurpose::LoadJournal(partition),
        );
    }

    fn finish_load(&mut self, cx: &mut AgentContext, partition: u32, items: &[PlatformItem]) {
        let key = head_key(&self.setup.service, partition);
        let head = items.iter().find(|item| item.key == key).and_then(|item| {
            let head = JournalHead::decode(item.value.as_slice()).ok()?;
            Some((head, item.mod_revision))
        });
        let own_head = head.filter(|(head, _)| {
            head.owner == self.setup.address && head.incarnation == self.setup.incarnation
        });
        let Some((head, revision)) = own_head else {
            self.partitions.insert(partition, PartitionSlot::Unowned);
            return;
        };
        if self
            .used_epochs
            .get(&partition)
            .is_some_and(|used| head.epoch <= *used)
        {
            // Batch numbers restart at 0 with each epoch, so an epoch must not be used twice: a
            // second use could reuse the key of a stored batch.
            self.release(cx, partition);
            return;
        }
        self.used_epochs.insert(partition, head.epoch);
        let service = &self.setup.service;
        let journal = PartitionJournal::load(service, partition, head.epoch, revision, items);
        let facts = format!("epoch={} keys={}", head.epoch, journal.key_count());
        let subject = format!("{service}/{partition}");
        cx.record_event(PendingEvent::new(EventKind::PartitionTaken, subject, facts));
        let slot = PartitionSlot::Owned(Box::new(journal));
        self.partitions.insert(partition, slot);
    }

    fn on_journal_write(
        &mut self,
        cx: &mut AgentContext,
        partition: u32,
        outcome: WriteOutcome,
    ) -> Vec<OwnerEvent> {
        match outcome {
            WriteOutcome::Lost(operations) => {
                let ended_event = self.end_ownership(cx, partition, "head");
                vec![
                    OwnerEvent::Journal(partition, WriteOutcome::Lost(operations)),
                    ended_event,
                ]
            }
            WriteOutcome::None => Vec::new(),
            other => vec![OwnerEvent::Journal(partition, other)],
        }
    }

    fn end_ownership(&mut self, cx: &mut AgentContext, partition: u32, cause: &str) -> OwnerEvent {
        let slot = self.partitions.insert(partition, PartitionSlot::Unowned);
        let uncommitted = match slot {
            Some(PartitionSlot::Owned(journal)) => journal.uncommitted(),
            _ => Vec::new(),
        };
        let subject = format!("{}/{partition}", self.setup.service);
        let facts = format!("cause={cause}");
        cx.record_event(PendingEvent::new(EventKind::PartitionLost, subject, facts));
        OwnerEvent::OwnershipEnded(partition, uncommitted)
    }

    fn release(&mut self, cx: &mut AgentContext, partition: u32) {
        self.partitions.insert(partition, PartitionSlot::Releasing);
        let key = self.owner_key(partition);
        let request = PlatformRequest::Txn {
            compares: vec![PlatformCompare::Value(
                key.clone(),
                self.identity().into_bytes(),
            )],
            writes: vec![PlatformWrite::Delete {
                key,
                range_end: String::new(),
            }],
            reads: Vec::new(),
        };
        self.send_platform_request(cx, request, RequestPurpose::Release(partition));
    }

    fn identity(&self) -> String {
        format!("{}#{:x}", self.setup.address, self.setup.incarnation)
    }

    fn owners_prefix(&self) -> String {
        format!("/lynxcart/owners/{}/", self.setup.service)
    }

    fn agent_key(&self) -> String {
        format!("{}a/{}", self.owners_prefix(), self.setup.address)
    }

    fn owner_key(&self, partition: u32) -> String {
        format!("{}p/{partition}", self.owners_prefix())
    }
}

fn valid_until(sent_at: ClockTime, ttl_s: i64) -> ClockTime {
    let ttl_ms = u64::try_from(ttl_s).unwrap_or(0) * 1_000;
    sent_at + ttl_ms.saturating_sub(LEASE_MARGIN_MS)
}
