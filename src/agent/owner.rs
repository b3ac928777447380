//! Ownership of a service's journal partitions, under a lease of the platform.
//!
//! An agent registers itself under its lease and takes the free partitions for which it ranks
//! first among the registered agents of its service with room for one more. To take one is to write the next epoch
//! into its head, after which no earlier owner can commit; only then is the journal read.

use std::collections::{BTreeMap, HashMap};

use prost::Message;

use crate::agent::journal::{head_key, journal_prefix, JournalNews, OperationId, PartitionJournal};
use crate::agent::AgentContext;
use crate::clock::ClockTime;
use crate::event::{EventKind, EventNote};
use crate::store::{
    prefix_end, PlatformAnswer, PlatformCall, PlatformCompare, PlatformItem, PlatformResult,
    PlatformWrite,
};
use crate::util::rendezvous_share;
use crate::wire::gen::JournalHead;

/// Time to live of an agent's lease, seconds.
pub const LEASE_TTL_S: i64 = 3;
/// Time between two extensions of the lease, milliseconds.
const KEEP_ALIVE_MS: u64 = 1_000;
/// Part of the lease that is not relied on, milliseconds.
const LEASE_MARGIN_MS: u64 = 500;
/// Time between two looks at who owns what, milliseconds.
const POLL_MS: u64 = 500;

/// What an owner's work came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerNews {
    /// A partition's journal has news.
    Journal(u32, JournalNews),
    /// A partition is no longer owned here; these intents were not known to be committed.
    Gone(u32, Vec<OperationId>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    Grant(ClockTime),
    KeepAlive(ClockTime),
    Register,
    Poll,
    ReadHead(u32),
    Take(u32),
    Load(u32),
    Write(u32),
    Release(u32),
    Other,
}

#[derive(Debug)]
enum PartitionSlot {
    Idle,
    Busy,
    Owned(Box<PartitionJournal>),
    /// Given up in favour of another agent once the store has heard of it.
    Releasing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaseHold {
    lease: i64,
    valid_until: ClockTime,
}

/// Who an agent is, towards the platform.
#[derive(Clone, Debug)]
pub struct OwnerSetup {
    /// The service.
    pub service: String,
    /// Partitions of the service's keys.
    pub partition_count: u32,
    /// Mail address.
    pub address: String,
    /// Start of the agent.
    pub incarnation: u64,
    /// Journal writes allowed, per second.
    pub writes_per_s: u32,
}

/// The partitions that one agent owns or may own.
#[derive(Debug)]
pub struct OwnerTable {
    setup: OwnerSetup,
    partitions: BTreeMap<u32, PartitionSlot>,
    calls: HashMap<u64, CallPurpose>,
    hold: Option<LeaseHold>,
    agents: Vec<String>,
    keep_alive_at: ClockTime,
    poll_at: ClockTime,
    write_at: ClockTime,
    write_turn: u32,
    outage: bool,
    draining: bool,
    /// Highest epoch under which each partition was owned here.
    used_epochs: HashMap<u32, u64>,
}

impl OwnerTable {
    /// A table that owns nothing yet.
    pub fn new(setup: OwnerSetup) -> OwnerTable {
        let partitions = (0..setup.partition_count).map(|p| (p, PartitionSlot::Idle));
        OwnerTable {
            partitions: partitions.collect(),
            setup,
            calls: HashMap::new(),
            hold: None,
            agents: Vec::new(),
            keep_alive_at: ClockTime::default(),
            poll_at: ClockTime::default(),
            write_at: ClockTime::default(),
            write_turn: 0,
            outage: false,
            draining: false,
            used_epochs: HashMap::new(),
        }
    }

    /// Partitions of the service's keys.
    pub fn partition_count(&self) -> u32 {
        self.setup.partition_count
    }

    /// Whether the platform's last answer failed to come.
    pub fn outage(&self) -> bool {
        self.outage
    }

    /// Whether nobody else can own this agent's partitions now.
    pub fn vouches(&self, now: ClockTime) -> bool {
        self.hold.is_some_and(|hold| now < hold.valid_until)
    }

    /// The partitions owned.
    pub fn owned(&self) -> Vec<u32> {
        let owned = self.partitions.iter();
        owned
            .filter(|(_, slot)| matches!(slot, PartitionSlot::Owned(j) if !j.closing()))
            .map(|(partition, _)| *partition)
            .collect()
    }

    /// The journal of an owned partition.
    pub fn journal(&mut self, partition: u32) -> Option<&mut PartitionJournal> {
        match self.partitions.get_mut(&partition) {
            Some(PartitionSlot::Owned(journal)) => Some(journal),
            _ => None,
        }
    }

    /// Whether every owned journal has nothing left to write.
    pub fn is_quiet(&self) -> bool {
        self.partitions.values().all(|slot| match slot {
            PartitionSlot::Owned(journal) => journal.is_quiet(),
            PartitionSlot::Idle | PartitionSlot::Busy | PartitionSlot::Releasing => true,
        })
    }

    /// Takes no more partitions, and withdraws from the agents of the service.
    pub fn drain(&mut self, cx: &mut AgentContext) {
        if self.draining {
            return;
        }
        self.draining = true;
        let call = PlatformCall::Txn {
            compares: Vec::new(),
            writes: vec![PlatformWrite::Delete {
                key: self.agent_key(),
                range_end: String::new(),
            }],
            reads: Vec::new(),
        };
        self.call(cx, call, CallPurpose::Other);
    }

    /// Gives every partition up; the lease ends with it. For the end of a planned stop.
    pub fn release_all(&mut self, cx: &mut AgentContext) {
        if let Some(hold) = self.hold.take() {
            let call = PlatformCall::LeaseRevoke { lease: hold.lease };
            self.call(cx, call, CallPurpose::Other);
        }
        for slot in self.partitions.values_mut() {
            *slot = PartitionSlot::Releasing;
        }
    }

    /// When [`OwnerTable::tick`] is wanted next.
    pub fn wake(&self) -> ClockTime {
        let journals = self.partitions.values().map(|slot| match slot {
            PartitionSlot::Owned(journal) => journal.wake(),
            PartitionSlot::Idle | PartitionSlot::Busy | PartitionSlot::Releasing => {
                ClockTime::NEVER
            }
        });
        let write = journals
            .min()
            .unwrap_or(ClockTime::NEVER)
            .max(self.write_at);
        self.keep_alive_at.min(self.poll_at).min(write)
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, cx: &mut AgentContext) {
        if cx.now >= self.keep_alive_at {
            self.keep_alive_at = cx.now + KEEP_ALIVE_MS;
            self.keep_alive(cx);
        }
        if cx.now >= self.poll_at {
            self.poll_at = cx.now + POLL_MS;
            self.poll(cx);
        }
        if cx.now >= self.write_at {
            self.write_one(cx);
        }
    }

    fn call(&mut self, cx: &mut AgentContext, call: PlatformCall, purpose: CallPurpose) {
        let number = cx.platform(call);
        self.calls.insert(number, purpose);
    }

    fn keep_alive(&mut self, cx: &mut AgentContext) {
        let busy = self
            .calls
            .values()
            .any(|purpose| matches!(purpose, CallPurpose::Grant(_) | CallPurpose::KeepAlive(_)));
        if busy {
            return;
        }
        match self.hold {
            Some(hold) => {
                let call = PlatformCall::LeaseKeepAlive { lease: hold.lease };
                self.call(cx, call, CallPurpose::KeepAlive(cx.now));
            }
            None if !self.draining => {
                let call = PlatformCall::LeaseGrant { ttl_s: LEASE_TTL_S };
                self.call(cx, call, CallPurpose::Grant(cx.now));
            }
            None => {}
        }
    }

    fn poll(&mut self, cx: &mut AgentContext) {
        if self
            .calls
            .values()
            .any(|purpose| *purpose == CallPurpose::Poll)
        {
            return;
        }
        let key = self.owners_prefix();
        let range_end = prefix_end(&key);
        self.call(
            cx,
            PlatformCall::Range { key, range_end },
            CallPurpose::Poll,
        );
    }

    /// Begins at most one journal write, each partition in its turn.
    fn write_one(&mut self, cx: &mut AgentContext) {
        let now = cx.now;
        let ready: Vec<u32> = self
            .partitions
            .iter()
            .filter_map(|(partition, slot)| match slot {
                PartitionSlot::Owned(journal) if journal.wake() <= now => Some(*partition),
                _ => None,
            })
            .collect();
        let next = ready
            .iter()
            .find(|p| **p > self.write_turn)
            .or(ready.first());
        let Some(&partition) = next else { return };
        self.write_turn = partition;
        let number = self
            .journal(partition)
            .and_then(|journal| journal.write_next(cx));
        if let Some(number) = number {
            self.calls.insert(number, CallPurpose::Write(partition));
            self.write_at = cx.now + 1_000 / u64::from(self.setup.writes_per_s.max(1));
        }
    }

    /// Takes a platform answer in.
    pub fn answer(
        &mut self,
        cx: &mut AgentContext,
        number: u64,
        result: &PlatformResult,
    ) -> Vec<OwnerNews> {
        let Some(purpose) = self.calls.remove(&number) else {
            return Vec::new();
        };
        self.note_outage(cx, result.is_err());
        match (purpose, result) {
            (CallPurpose::Grant(sent), Ok(PlatformAnswer::Lease { lease, ttl_s })) => {
                self.granted(cx, sent, *lease, *ttl_s);
                Vec::new()
            }
            (CallPurpose::KeepAlive(sent), Ok(PlatformAnswer::Lease { lease, ttl_s })) => {
                self.kept_alive(cx, sent, *lease, *ttl_s)
            }
            (CallPurpose::Register, Ok(PlatformAnswer::Txn { .. })) => {
                self.poll_at = cx.now;
                Vec::new()
            }
            (CallPurpose::Poll, Ok(PlatformAnswer::Range { revision, items })) => {
                self.polled(cx, *revision, items)
            }
            (CallPurpose::ReadHead(p), Ok(PlatformAnswer::Range { items, .. })) => {
                self.take(cx, p, items.first());
                Vec::new()
            }
            (
                CallPurpose::Take(p),
                Ok(PlatformAnswer::Txn {
                    succeeded: true, ..
                }),
            ) => {
                self.load(cx, p);
                Vec::new()
            }
            (CallPurpose::Load(p), Ok(PlatformAnswer::Range { items, .. })) => {
                self.loaded(cx, p, items);
                Vec::new()
            }
            (CallPurpose::Write(p), result) => {
                let now = cx.now;
                let news = self
                    .journal(p)
                    .map(|journal| journal.answer(now, number, result));
                self.journal_news(cx, p, news.unwrap_or(JournalNews::None))
            }
            (CallPurpose::Release(p), Ok(PlatformAnswer::Txn { .. })) => {
                self.partitions.insert(p, PartitionSlot::Idle);
                Vec::new()
            }
            // Without an answer it is not known what took effect: the next poll tells.
            (CallPurpose::ReadHead(p) | CallPurpose::Take(p) | CallPurpose::Load(p), _) => {
                self.partitions.insert(p, PartitionSlot::Idle);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn note_outage(&mut self, cx: &mut AgentContext, outage: bool) {
        if outage == self.outage {
            return;
        }
        self.outage = outage;
        let kind = if outage {
            EventKind::PlatformLost
        } else {
            EventKind::PlatformBack
        };
        cx.note(EventNote::new(kind, self.setup.service.clone(), ""));
    }

    fn granted(&mut self, cx: &mut AgentContext, sent: ClockTime, lease: i64, ttl_s: i64) {
        if self.draining {
            return;
        }
        self.hold = Some(LeaseHold {
            lease,
            valid_until: valid_until(sent, ttl_s),
        });
        self.register(cx);
    }

    fn register(&mut self, cx: &mut AgentContext) {
        let Some(hold) = self.hold else { return };
        let call = PlatformCall::Txn {
            compares: Vec::new(),
            writes: vec![PlatformWrite::Put {
                key: self.agent_key(),
                value: self.identity().into_bytes(),
                lease: hold.lease,
            }],
            reads: Vec::new(),
        };
        self.call(cx, call, CallPurpose::Register);
    }

    fn kept_alive(
        &mut self,
        cx: &mut AgentContext,
        sent: ClockTime,
        lease: i64,
        ttl_s: i64,
    ) -> Vec<OwnerNews> {
        let Some(hold) = self.hold.as_mut().filter(|hold| hold.lease == lease) else {
            return Vec::new();
        };
        if ttl_s > 0 {
            hold.valid_until = hold.valid_until.max(valid_until(sent, ttl_s));
            return Vec::new();
        }
        self.hold = None;
        self.keep_alive_at = cx.now;
        let owned = self.owned();
        owned
            .into_iter()
            .map(|p| self.lose(cx, p, "lease"))
            .collect()
    }

    fn polled(
        &mut self,
        cx: &mut AgentContext,
        revision: u64,
        items: &[PlatformItem],
    ) -> Vec<OwnerNews> {
        let agents_prefix = format!("{}a/", self.owners_prefix());
        self.agents = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(&agents_prefix))
            .map(str::to_owned)
            .collect();
        if self.hold.is_some() && !self.draining && !self.agents.contains(&self.setup.address) {
            self.register(cx);
        }
        let mut news = Vec::new();
        for partition in 0..self.setup.partition_count {
            let key = self.owner_key(partition);
            let owner = items.iter().find(|item| item.key == key);
            let owner = owner.map(|item| String::from_utf8_lossy(&item.value).into_owned());
            news.extend(self.settle(cx, partition, revision, owner.as_deref()));
        }
        news
    }

    /// Acts on who owns a partition according to the store.
    fn settle(
        &mut self,
        cx: &mut AgentContext,
        partition: u32,
        revision: u64,
        owner: Option<&str>,
    ) -> Option<OwnerNews> {
        let mine = owner == Some(self.identity().as_str());
        let preferred = self.preferred(partition);
        let wanted = preferred.as_deref() == Some(self.setup.address.as_str()) && !self.draining;
        let vouches = self.vouches(cx.now);
        match self.partitions.get_mut(&partition)? {
            // What was read before the partition was taken says nothing of it.
            PartitionSlot::Owned(journal) if !mine => {
                if revision >= journal.head_revision() {
                    return Some(self.lose(cx, partition, "owner"));
                }
            }
            PartitionSlot::Owned(journal) => {
                journal.set_closing(!wanted && preferred.is_some());
                if journal.closing() && journal.is_quiet() {
                    self.release(cx, partition);
                    return Some(OwnerNews::Gone(partition, Vec::new()));
                }
            }
            PartitionSlot::Releasing if mine => self.release(cx, partition),
            PartitionSlot::Releasing => {
                self.partitions.insert(partition, PartitionSlot::Idle);
            }
            // A taking whose answer was lost.
            PartitionSlot::Idle if mine && vouches => self.load(cx, partition),
            PartitionSlot::Idle if owner.is_none() && wanted && vouches => {
                self.partitions.insert(partition, PartitionSlot::Busy);
                let call = PlatformCall::Range {
                    key: head_key(&self.setup.service, partition),
                    range_end: String::new(),
                };
                self.call(cx, call, CallPurpose::ReadHead(partition));
            }
            PartitionSlot::Idle | PartitionSlot::Busy => {}
        }
        None
    }

    fn preferred(&self, partition: u32) -> Option<String> {
        let count = self.setup.partition_count;
        let owners = rendezvous_share(&self.setup.service, count, &self.agents);
        let owner = owners.get(partition as usize);
        owner.map(|address| (*address).to_owned())
    }

    fn take(&mut self, cx: &mut AgentContext, partition: u32, head: Option<&PlatformItem>) {
        let Some(hold) = self.hold else {
            self.partitions.insert(partition, PartitionSlot::Idle);
            return;
        };
        let revision = head.map_or(0, |item| item.mod_revision);
        let before = head.and_then(|item| JournalHead::decode(item.value.as_slice()).ok());
        let next = JournalHead {
            epoch: before.map_or(1, |head| head.epoch + 1),
            owner: self.setup.address.clone(),
            incarnation: self.setup.incarnation,
        };
        let call = PlatformCall::Txn {
            compares: vec![
                PlatformCompare::CreateRevision(self.owner_key(partition), 0),
                PlatformCompare::ModRevision(head_key(&self.setup.service, partition), revision),
            ],
            writes: vec![
                PlatformWrite::Put {
                    key: self.owner_key(partition),
                    value: self.identity().into_bytes(),
                    lease: hold.lease,
                },
                PlatformWrite::Put {
                    key: head_key(&self.setup.service, partition),
                    value: next.encode_to_vec(),
                    lease: 0,
                },
            ],
            reads: Vec::new(),
        };
        self.call(cx, call, CallPurpose::Take(partition));
    }

    fn load(&mut self, cx: &mut AgentContext, partition: u32) {
        self.partitions.insert(partition, PartitionSlot::Busy);
        let key = journal_prefix(&self.setup.service, partition);
        let range_end = prefix_end(&key);
        self.call(
            cx,
            PlatformCall::Range { key, range_end },
            CallPurpose::Load(partition),
        );
    }

    fn loaded(&mut self, cx: &mut AgentContext, partition: u32, items: &[PlatformItem]) {
        let key = head_key(&self.setup.service, partition);
        let head = items.iter().find(|item| item.key == key).and_then(|item| {
            let head = JournalHead::decode(item.value.as_slice()).ok()?;
            Some((head, item.mod_revision))
        });
        let mine = head.filter(|(head, _)| {
            head.owner == self.setup.address && head.incarnation == self.setup.incarnation
        });
        let Some((head, revision)) = mine else {
            self.partitions.insert(partition, PartitionSlot::Idle);
            return;
        };
        if self
            .used_epochs
            .get(&partition)
            .is_some_and(|used| head.epoch <= *used)
        {
            // Batches are numbered within an epoch, so that one is never entered twice.
            self.release(cx, partition);
            return;
        }
        self.used_epochs.insert(partition, head.epoch);
        let service = &self.setup.service;
        let journal = PartitionJournal::load(service, partition, head.epoch, revision, items);
        let facts = format!("epoch={} keys={}", head.epoch, journal.key_count());
        let subject = format!("{service}/{partition}");
        cx.note(EventNote::new(EventKind::PartitionTaken, subject, facts));
        let slot = PartitionSlot::Owned(Box::new(journal));
        self.partitions.insert(partition, slot);
    }

    fn journal_news(
        &mut self,
        cx: &mut AgentContext,
        partition: u32,
        news: JournalNews,
    ) -> Vec<OwnerNews> {
        match news {
            JournalNews::Lost(operations) => {
                let gone = self.lose(cx, partition, "head");
                vec![
                    OwnerNews::Journal(partition, JournalNews::Lost(operations)),
                    gone,
                ]
            }
            JournalNews::None => Vec::new(),
            other => vec![OwnerNews::Journal(partition, other)],
        }
    }

    fn lose(&mut self, cx: &mut AgentContext, partition: u32, cause: &str) -> OwnerNews {
        let slot = self.partitions.insert(partition, PartitionSlot::Idle);
        let uncommitted = match slot {
            Some(PartitionSlot::Owned(journal)) => journal.uncommitted(),
            _ => Vec::new(),
        };
        let subject = format!("{}/{partition}", self.setup.service);
        let facts = format!("cause={cause}");
        cx.note(EventNote::new(EventKind::PartitionLost, subject, facts));
        OwnerNews::Gone(partition, uncommitted)
    }

    fn release(&mut self, cx: &mut AgentContext, partition: u32) {
        self.partitions.insert(partition, PartitionSlot::Releasing);
        let key = self.owner_key(partition);
        let call = PlatformCall::Txn {
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
        self.call(cx, call, CallPurpose::Release(partition));
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

fn valid_until(sent: ClockTime, ttl_s: i64) -> ClockTime {
    let ttl_ms = u64::try_from(ttl_s).unwrap_or(0) * 1_000;
    sent + ttl_ms.saturating_sub(LEASE_MARGIN_MS)
}
