//! The state machine of an agent. It handles messages from other processes, reports the upstream's
//! state to the entries and decides when a graceful shutdown is complete.

use std::collections::BTreeMap;

use crate::agent::operation::OperationTable;
use crate::agent::owner::{OwnerSetup, PartitionTable};
use crate::agent::stage::StageTable;
use crate::agent::{AgentContext, AgentOutput, EngineEvent, ServiceOutcome};
use crate::clock::ClockTime;
use crate::event::{EventKind, PendingEvent};
use crate::member::{MAX_HEARTBEAT_MS, MIN_HEARTBEAT_MS};
use crate::messaging::MessagingEvent;
use crate::store::PlatformResult;
use crate::util::rendezvous_pick;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{heartbeat::Role, Heartbeat, ModelRole, ServiceRole};
use crate::wire::IncomingMessage;

/// Maximum number of entries that one agent sends heartbeats to.
pub const MAX_HEARTBEAT_ENTRIES: usize = 14;
/// Time without an acknowledgement after which an entry gets no more heartbeats, in milliseconds.
/// Entries listed in the agent's settings always get them.
const ENTRY_TTL_MS: u64 = 60_000;

/// The kind of upstream that an agent serves.
#[derive(Clone, Debug)]
pub enum UpstreamSetup {
    /// A model engine.
    Engine {
        /// The engine's model, layer range and accelerator.
        role: ModelRole,
    },
    /// A plain service.
    Service {
        /// Settings for the ownership of the service's journal partitions.
        owner: OwnerSetup,
    },
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSetup {
    /// Name of the upstream.
    pub name: String,
    /// Address of the agent's own HTTP server, "ip:port".
    pub admin_address: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Region of the VM.
    pub region: String,
    /// Addresses of the entries to report to at first, "ip:port". Further ones are learned from
    /// their acknowledgements.
    pub entries: Vec<String>,
    /// Maximum number of requests in flight.
    pub limit: usize,
    /// The upstream that the agent serves.
    pub upstream: UpstreamSetup,
    /// Wall-clock time at which the monotonic clock read zero, in milliseconds since 1970.
    pub wall_start_ms: u64,
}

/// An input of the agent's state machine.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// A message from another process, or the loss of a connection.
    Message(MessagingEvent),
    /// A result or a state change of the engine.
    Engine(EngineEvent),
    /// The outcome of the dispatch with this number.
    Service(u64, ServiceOutcome),
    /// The response to the platform request with this number.
    Platform(u64, PlatformResult),
    /// A graceful shutdown begins.
    Drain,
    /// A timer may be due.
    Tick,
}

/// An entry that the agent knows.
#[derive(Clone, Copy, Debug)]
struct KnownEntry {
    /// Time of the entry's latest acknowledgement or, before the first one, of the acknowledgement
    /// in which another entry listed it.
    seen_at: ClockTime,
    /// Hash of the list of entries that this entry knows, from its latest acknowledgement; zero
    /// before the first. It is returned in heartbeats, so that the entry can omit an unchanged
    /// list. A large fleet's entry may also omit a changed one, so the agent may not hold the list
    /// that the hash is of.
    entries_hash: u64,
    /// Interval at which the entry wants heartbeats, in milliseconds.
    heartbeat_ms: u64,
}

impl KnownEntry {
    fn new(seen_at: ClockTime) -> KnownEntry {
        KnownEntry {
            seen_at,
            entries_hash: 0,
            heartbeat_ms: MIN_HEARTBEAT_MS,
        }
    }
}

#[derive(Debug)]
enum UpstreamTable {
    Stages(StageTable),
    Operations(Box<OperationTable>),
}

/// The state of an agent. It does no I/O: [`AgentState::handle`] returns the effects to perform.
#[derive(Debug)]
pub struct AgentState {
    setup: AgentSetup,
    cx: AgentContext,
    table: UpstreamTable,
    entries: BTreeMap<String, KnownEntry>,
    /// Time of the next heartbeat.
    heartbeat_at: ClockTime,
    /// Number of the latest heartbeat.
    heartbeat_number: u64,
    config_revision: u64,
    draining: bool,
    /// Owned partitions that accept operations, as of the latest heartbeat.
    reported_partitions: Vec<u32>,
}

impl AgentState {
    /// Creates the state of an agent that has received nothing from its upstream yet.
    pub fn new(setup: AgentSetup) -> AgentState {
        let table = match &setup.upstream {
            UpstreamSetup::Engine { role } => {
                UpstreamTable::Stages(StageTable::new(role.clone(), setup.limit))
            }
            UpstreamSetup::Service { owner } => {
                let service = owner.service.clone();
                let partitions = PartitionTable::new(owner.clone());
                let table = OperationTable::new(service, setup.limit, partitions);
                UpstreamTable::Operations(Box::new(table))
            }
        };
        let entries = setup.entries.iter();
        AgentState {
            entries: entries
                .map(|e| (e.clone(), KnownEntry::new(ClockTime::default())))
                .collect(),
            cx: AgentContext {
                wall_start_ms: setup.wall_start_ms,
                ..AgentContext::default()
            },
            setup,
            table,
            heartbeat_at: ClockTime::default(),
            heartbeat_number: 0,
            config_revision: 0,
            draining: false,
            reported_partitions: Vec::new(),
        }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        match &self.table {
            UpstreamTable::Stages(table) => table.len(),
            UpstreamTable::Operations(table) => table.len(),
        }
    }

    /// Whether a graceful shutdown has begun.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Whether a graceful shutdown has begun and no request or journal write is left.
    pub fn is_drained(&self) -> bool {
        let idle = match &self.table {
            UpstreamTable::Stages(_) => true,
            UpstreamTable::Operations(table) => table.partitions().is_idle(),
        };
        self.draining && idle && self.in_flight() == 0
    }

    /// The operations of the service. `None` if the upstream is an engine.
    pub fn operations(&mut self) -> Option<&mut OperationTable> {
        match &mut self.table {
            UpstreamTable::Operations(table) => Some(table),
            UpstreamTable::Stages(_) => None,
        }
    }

    /// Time at which [`AgentInput::Tick`] must be handled next.
    pub fn next_wake(&self) -> ClockTime {
        let table = match &self.table {
            UpstreamTable::Stages(_) => ClockTime::NEVER,
            UpstreamTable::Operations(table) => table.next_wake(),
        };
        self.heartbeat_at.min(table)
    }

    /// Handles one input, runs the timers that are due, and returns the effects to perform.
    pub fn handle(&mut self, now: ClockTime, input: AgentInput) -> Vec<AgentOutput> {
        assert!(now >= self.cx.now, "the clock went backwards");
        self.cx.now = now;
        match input {
            AgentInput::Message(MessagingEvent::Received(message)) => self.handle_message(*message),
            AgentInput::Message(MessagingEvent::PeerLost(address)) => {
                // An entry that is alive and only lost the connection suspects this agent until it
                // receives a heartbeat.
                if self.entries.contains_key(&address) {
                    self.heartbeat_at = self.cx.now;
                }
                if let UpstreamTable::Stages(table) = &mut self.table {
                    table.peer_lost(&mut self.cx, &address);
                }
            }
            AgentInput::Engine(event) => self.handle_engine_event(event),
            AgentInput::Service(dispatch, outcome) => {
                if let UpstreamTable::Operations(table) = &mut self.table {
                    table.handle_outcome(&mut self.cx, dispatch, outcome);
                }
            }
            AgentInput::Platform(number, result) => {
                if let UpstreamTable::Operations(table) = &mut self.table {
                    table.handle_platform(&mut self.cx, number, &result);
                }
            }
            AgentInput::Drain => self.start_drain(),
            AgentInput::Tick => {}
        }
        self.run_timers();
        std::mem::take(&mut self.cx.outputs)
    }

    /// Releases the agent's lease at the end of a graceful shutdown.
    pub fn release_lease(&mut self) -> Vec<AgentOutput> {
        if let UpstreamTable::Operations(table) = &mut self.table {
            table.partitions_mut().release_partitions(&mut self.cx);
        }
        std::mem::take(&mut self.cx.outputs)
    }

    fn handle_message(&mut self, message: IncomingMessage) {
        let from = message.from;
        let draining = self.draining;
        match (message.body, &mut self.table) {
            (Body::HeartbeatAck(ack), _) => {
                let entry = KnownEntry {
                    seen_at: self.cx.now,
                    entries_hash: ack.entries_hash,
                    heartbeat_ms: ack.heartbeat_ms,
                };
                self.entries.insert(from, entry);
                for address in ack.entries {
                    let entry = KnownEntry::new(self.cx.now);
                    self.entries.entry(address).or_insert(entry);
                }
                self.config_revision = self.config_revision.max(ack.config_revision);
            }
            (Body::StageOpen(open), UpstreamTable::Stages(table)) => {
                table.open(&mut self.cx, &from, open, draining);
            }
            (Body::StagePass(pass), UpstreamTable::Stages(table)) => {
                table.pass(&mut self.cx, &from, pass);
            }
            (Body::StageClose(close), UpstreamTable::Stages(table)) => {
                table.close(&mut self.cx, &close);
            }
            (Body::OperationCall(operation), UpstreamTable::Operations(table)) => {
                table.start(&mut self.cx, &from, operation, draining);
            }
            (Body::OperationStrike(cancellation), UpstreamTable::Operations(table)) => {
                table.cancel(&mut self.cx, &from, &cancellation);
            }
            // Messages for entries or for the other kind of upstream.
            _ => {}
        }
    }

    fn handle_engine_event(&mut self, event: EngineEvent) {
        let UpstreamTable::Stages(table) = &mut self.table else {
            return;
        };
        match event {
            EngineEvent::Done {
                sequence,
                position,
                outputs,
                elapsed_micros,
            } => table.engine_done(&mut self.cx, sequence, position, outputs, elapsed_micros),
            EngineEvent::Lost => {
                table.engine_lost(&mut self.cx);
                self.heartbeat_at = self.cx.now;
            }
            EngineEvent::Up => {
                table.engine_up();
                self.heartbeat_at = self.cx.now;
            }
        }
    }

    fn start_drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        // Entries learn of the drain from a heartbeat sent at once.
        self.heartbeat_at = self.cx.now;
        let facts = format!("in_flight={}", self.in_flight());
        let event = PendingEvent::new(EventKind::DrainStarted, self.setup.name.clone(), facts);
        self.cx.record_event(event);
        if let UpstreamTable::Operations(table) = &mut self.table {
            table.partitions_mut().start_drain(&mut self.cx);
        }
    }

    fn run_timers(&mut self) {
        if let UpstreamTable::Operations(table) = &mut self.table {
            table.tick(&mut self.cx);
            let partitions = table.partitions().accepting_partitions();
            if partitions != self.reported_partitions {
                // Until entries know the owner of a partition, they refuse operations on its keys.
                self.reported_partitions = partitions;
                self.heartbeat_at = self.cx.now;
            }
        }
        if self.cx.now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = self.cx.now + self.heartbeat_interval_ms();
        if let UpstreamTable::Stages(table) = &mut self.table {
            table.drop_idle(&mut self.cx);
        }
        self.send_heartbeats();
    }

    /// The longest interval that any known entry wants, within the bounds, in milliseconds.
    fn heartbeat_interval_ms(&self) -> u64 {
        let intervals = self.entries.values().map(|entry| entry.heartbeat_ms);
        let longest = intervals.max().unwrap_or(MIN_HEARTBEAT_MS);
        longest.clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS)
    }

    fn send_heartbeats(&mut self) {
        let now = self.cx.now;
        let seeds = &self.setup.entries;
        self.entries.retain(|address, entry| {
            now.since(entry.seen_at) < ENTRY_TTL_MS || seeds.contains(address)
        });
        self.heartbeat_number += 1;
        let heartbeat = self.build_heartbeat();
        let addresses: Vec<String> = self.entries.keys().cloned().collect();
        for address in rendezvous_pick(&self.setup.name, &addresses, MAX_HEARTBEAT_ENTRIES) {
            let mut heartbeat = heartbeat.clone();
            heartbeat.entries_hash = self.entries[address].entries_hash;
            self.cx.send_message(address, Body::Heartbeat(heartbeat));
        }
    }

    fn build_heartbeat(&self) -> Heartbeat {
        let (limit, pass_micros, role) = match &self.table {
            UpstreamTable::Stages(table) => {
                let role = Role::Model(table.role().clone());
                (table.limit(), table.unloaded_pass_micros(), role)
            }
            UpstreamTable::Operations(table) => {
                let role = ServiceRole {
                    service: table.service().to_owned(),
                    partitions: table.partitions().accepting_partitions(),
                    partition_count: table.partitions().partition_count(),
                };
                (table.limit(), 0, Role::Service(role))
            }
        };
        Heartbeat {
            name: self.setup.name.clone(),
            admin_address: self.setup.admin_address.clone(),
            failure_domain: self.setup.failure_domain.clone(),
            region: self.setup.region.clone(),
            sequence: self.heartbeat_number,
            draining: self.draining,
            in_flight: u32::try_from(self.in_flight()).unwrap_or(u32::MAX),
            limit: u32::try_from(limit).unwrap_or(u32::MAX),
            pass_micros,
            role: Some(role),
            config_revision: self.config_revision,
            entries_hash: 0,
        }
    }
}
