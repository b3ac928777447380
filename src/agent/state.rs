//! The decisions of an agent: what its upstream is, whom it reports to, and when it may stop.

use std::collections::BTreeMap;

use crate::agent::operation::OperationTable;
use crate::agent::owner::{OwnerSetup, OwnerTable};
use crate::agent::stage::StageTable;
use crate::agent::{AgentContext, AgentOutput, EngineEvent, ServiceOutcome};
use crate::clock::ClockTime;
use crate::event::{EventKind, EventNote};
use crate::mail::MailEvent;
use crate::member::{HEARTBEAT_MOST_MS, HEARTBEAT_MS};
use crate::store::PlatformResult;
use crate::util::rendezvous_pick;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{heartbeat::Role, Heartbeat, ModelRole, ServiceRole};
use crate::wire::MailIn;

/// Most entries that one agent reports to.
pub const ENTRY_SUBSET: usize = 14;
/// An entry that has not answered for this long is no longer reported to, milliseconds.
const ENTRY_FORGET_MS: u64 = 60_000;

/// What stands beside an agent.
#[derive(Clone, Debug)]
pub enum UpstreamSetup {
    /// A model engine.
    Engine {
        /// The layers it holds.
        role: ModelRole,
    },
    /// A plain service.
    Service {
        /// Who the agent is, towards the platform.
        owner: OwnerSetup,
    },
}

/// What an agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentSetup {
    /// Name of the upstream.
    pub name: String,
    /// Address of the agent's own HTTP server, "ip:port".
    pub admin_address: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Mail addresses of entries to begin with.
    pub entries: Vec<String>,
    /// Requests that may be in flight.
    pub limit: usize,
    /// What stands beside it.
    pub upstream: UpstreamSetup,
    /// Wall clock at time zero, milliseconds since 1970.
    pub wall_start_ms: u64,
}

/// What an agent has to handle.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// News from the mail edge.
    Mail(MailEvent),
    /// News of the engine.
    Engine(EngineEvent),
    /// A dispatch ended.
    Service(u64, ServiceOutcome),
    /// The platform's answer to a call.
    Platform(u64, PlatformResult),
    /// A planned stop begins.
    Drain,
    /// Nothing but the time.
    Tick,
}

/// What an agent knows of an entry.
#[derive(Clone, Copy, Debug)]
struct EntryPeer {
    heard: ClockTime,
    /// Hash of the entries that it last told.
    entries_hash: u64,
    /// Time that it wants between heartbeats, milliseconds.
    heartbeat_ms: u64,
}

impl EntryPeer {
    fn new(heard: ClockTime) -> EntryPeer {
        EntryPeer {
            heard,
            entries_hash: 0,
            heartbeat_ms: HEARTBEAT_MS,
        }
    }
}

#[derive(Debug)]
enum UpstreamTable {
    Stages(StageTable),
    Operations(Box<OperationTable>),
}

/// The state of an agent.
#[derive(Debug)]
pub struct AgentState {
    setup: AgentSetup,
    cx: AgentContext,
    table: UpstreamTable,
    entries: BTreeMap<String, EntryPeer>,
    heartbeat_at: ClockTime,
    sequence: u64,
    config_revision: u64,
    draining: bool,
    /// Partitions as the last heartbeat gave them.
    said_owned: Vec<u32>,
}

impl AgentState {
    /// An agent whose upstream has not been heard of yet.
    pub fn new(setup: AgentSetup) -> AgentState {
        let table = match &setup.upstream {
            UpstreamSetup::Engine { role } => {
                UpstreamTable::Stages(StageTable::new(role.clone(), setup.limit))
            }
            UpstreamSetup::Service { owner } => {
                let service = owner.service.clone();
                let owner = OwnerTable::new(owner.clone());
                let table = OperationTable::new(service, setup.limit, owner);
                UpstreamTable::Operations(Box::new(table))
            }
        };
        let entries = setup.entries.iter();
        AgentState {
            entries: entries
                .map(|e| (e.clone(), EntryPeer::new(ClockTime::default())))
                .collect(),
            cx: AgentContext {
                wall_start_ms: setup.wall_start_ms,
                ..AgentContext::default()
            },
            setup,
            table,
            heartbeat_at: ClockTime::default(),
            sequence: 0,
            config_revision: 0,
            draining: false,
            said_owned: Vec::new(),
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        match &self.table {
            UpstreamTable::Stages(table) => table.len(),
            UpstreamTable::Operations(table) => table.len(),
        }
    }

    /// Whether a planned stop has begun.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Whether nothing is left to do before a planned stop can end.
    pub fn is_drained(&self) -> bool {
        let quiet = match &self.table {
            UpstreamTable::Stages(_) => true,
            UpstreamTable::Operations(table) => table.owner().is_quiet(),
        };
        self.draining && quiet && self.in_flight() == 0
    }

    /// The service's calls, if the upstream is a service.
    pub fn operations(&mut self) -> Option<&mut OperationTable> {
        match &mut self.table {
            UpstreamTable::Operations(table) => Some(table),
            UpstreamTable::Stages(_) => None,
        }
    }

    /// When [`AgentInput::Tick`] is wanted next.
    pub fn wake(&self) -> ClockTime {
        let table = match &self.table {
            UpstreamTable::Stages(_) => ClockTime::NEVER,
            UpstreamTable::Operations(table) => table.wake(),
        };
        self.heartbeat_at.min(table)
    }

    /// Handles one input and fires the timers that are due.
    pub fn handle(&mut self, now: ClockTime, input: AgentInput) -> Vec<AgentOutput> {
        assert!(now >= self.cx.now, "the clock went back");
        self.cx.now = now;
        match input {
            AgentInput::Mail(MailEvent::Received(mail)) => self.mail(*mail),
            AgentInput::Mail(MailEvent::PeerLost(address)) => {
                // An entry that only lost the connection waits for word of this agent.
                if self.entries.contains_key(&address) {
                    self.heartbeat_at = self.cx.now;
                }
                if let UpstreamTable::Stages(table) = &mut self.table {
                    table.peer_lost(&mut self.cx, &address);
                }
            }
            AgentInput::Engine(event) => self.engine(event),
            AgentInput::Service(dispatch, outcome) => {
                if let UpstreamTable::Operations(table) = &mut self.table {
                    table.outcome(&mut self.cx, dispatch, outcome);
                }
            }
            AgentInput::Platform(number, result) => {
                if let UpstreamTable::Operations(table) = &mut self.table {
                    table.platform(&mut self.cx, number, &result);
                }
            }
            AgentInput::Drain => self.drain(),
            AgentInput::Tick => {}
        }
        self.fire();
        std::mem::take(&mut self.cx.outputs)
    }

    /// Gives back what the platform holds for this agent, at the end of a planned stop.
    pub fn finish(&mut self) -> Vec<AgentOutput> {
        if let UpstreamTable::Operations(table) = &mut self.table {
            table.owner_mut().release_all(&mut self.cx);
        }
        std::mem::take(&mut self.cx.outputs)
    }

    fn mail(&mut self, mail: MailIn) {
        let from = mail.from;
        let draining = self.draining;
        match (mail.body, &mut self.table) {
            (Body::HeartbeatAck(ack), _) => {
                let peer = EntryPeer {
                    heard: self.cx.now,
                    entries_hash: ack.entries_hash,
                    heartbeat_ms: ack.heartbeat_ms,
                };
                self.entries.insert(from, peer);
                for entry in ack.entries {
                    let known = EntryPeer::new(self.cx.now);
                    self.entries.entry(entry).or_insert(known);
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
            (Body::OperationCall(call), UpstreamTable::Operations(table)) => {
                table.call(&mut self.cx, &from, call, draining);
            }
            (Body::OperationStrike(strike), UpstreamTable::Operations(table)) => {
                table.strike(&mut self.cx, &from, &strike);
            }
            // Addressed to entries, or to an upstream of the other kind.
            _ => {}
        }
    }

    fn engine(&mut self, event: EngineEvent) {
        let UpstreamTable::Stages(table) = &mut self.table else {
            return;
        };
        match event {
            EngineEvent::Done {
                sequence,
                position,
                outputs,
                micros,
            } => table.engine_done(&mut self.cx, sequence, position, outputs, micros),
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

    fn drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        // The next heartbeat, sent at once, says so.
        self.heartbeat_at = self.cx.now;
        let facts = format!("in_flight={}", self.in_flight());
        let note = EventNote::new(EventKind::DrainStarted, self.setup.name.clone(), facts);
        self.cx.note(note);
        if let UpstreamTable::Operations(table) = &mut self.table {
            table.owner_mut().drain(&mut self.cx);
        }
    }

    fn fire(&mut self) {
        if let UpstreamTable::Operations(table) = &mut self.table {
            table.tick(&mut self.cx);
            let owned = table.owner().owned();
            if owned != self.said_owned {
                // Callers of these keys wait for the news.
                self.said_owned = owned;
                self.heartbeat_at = self.cx.now;
            }
        }
        if self.cx.now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = self.cx.now + self.heartbeat_ms();
        if let UpstreamTable::Stages(table) = &mut self.table {
            table.drop_idle(&mut self.cx);
        }
        self.send_heartbeats();
    }

    /// The longest time that an entry of the last round has asked for, milliseconds.
    fn heartbeat_ms(&self) -> u64 {
        let asked = self.entries.values().map(|peer| peer.heartbeat_ms);
        let longest = asked.max().unwrap_or(HEARTBEAT_MS);
        longest.clamp(HEARTBEAT_MS, HEARTBEAT_MOST_MS)
    }

    fn send_heartbeats(&mut self) {
        let now = self.cx.now;
        let seeds = &self.setup.entries;
        self.entries
            .retain(|entry, peer| now.since(peer.heard) < ENTRY_FORGET_MS || seeds.contains(entry));
        self.sequence += 1;
        let heartbeat = self.heartbeat();
        let known: Vec<String> = self.entries.keys().cloned().collect();
        for entry in rendezvous_pick(&self.setup.name, &known, ENTRY_SUBSET) {
            let mut heartbeat = heartbeat.clone();
            heartbeat.entries_hash = self.entries[entry].entries_hash;
            self.cx.mail(entry, Body::Heartbeat(heartbeat));
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let (limit, pass_micros, role) = match &self.table {
            UpstreamTable::Stages(table) => {
                let role = Role::Model(table.role().clone());
                (table.limit(), table.pass_micros(), role)
            }
            UpstreamTable::Operations(table) => {
                let role = ServiceRole {
                    service: table.service().to_owned(),
                    partitions: table.owner().owned(),
                    partition_count: table.owner().partition_count(),
                };
                (table.limit(), 0, Role::Service(role))
            }
        };
        Heartbeat {
            name: self.setup.name.clone(),
            admin_address: self.setup.admin_address.clone(),
            failure_domain: self.setup.failure_domain.clone(),
            region: self.setup.region.clone(),
            sequence: self.sequence,
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
