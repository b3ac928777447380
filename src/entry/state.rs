//! State machine of an entry: admits requests, keeps the configuration up to date by gossip, and
//! dispatches each message to the table that handles it.

use std::collections::HashMap;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::ClockTime;
use crate::entry::crash::CrashTable;
use crate::entry::generate::{refuse, GenerationTable, GenerationWork};
use crate::entry::operation::{OperationTable, OperationWork};
use crate::entry::peer::{PeerTable, MAX_PEERS};
use crate::entry::{AnswerEvent, CallerRequest, CallerWork, EntryContext, EntryOutput};
use crate::event::{EventKind, PendingEvent};
use crate::member::{MemberChange, MemberTable};
use crate::messaging::MessagingEvent;
use crate::profile::{ConfigTable, KeylessPolicy, ProfileTarget};
use crate::util::addresses_hash;
use crate::verdict::{RefusalReason, RequestRefusal};
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{ConfigDigest, ConfigItem, HeartbeatAck};
use crate::wire::{IncomingMessage, OutgoingMessage, RequestKey};

/// Interval between configuration digests sent to peers, in milliseconds.
pub const GOSSIP_INTERVAL_MS: u64 = 1_000;
/// Number of peers that receive a digest in each interval.
const GOSSIP_FANOUT: usize = 2;
/// When the peer table is full, an agent that already has a list of entries gets a new one with
/// about one in this many heartbeats.
const ENTRY_LIST_RESEND_ONE_IN: u32 = 16;
/// Maximum number of requests in flight at one entry.
const MAX_IN_FLIGHT: usize = 4096;
/// `Retry-After` of refusals because of a limit or a shutdown, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum EntryInput {
    /// A new request from a caller.
    Caller(CallerRequest),
    /// The caller disconnected or reads the response too slowly.
    CallerDisconnected(RequestKey),
    /// A message from another process, or the loss of a connection.
    Message(MessagingEvent),
    /// Configuration read from the platform: the keys written after `after` and up to
    /// `complete_to`. The result of a read contains no deletions; a watch reports those that happen
    /// during it.
    Config {
        /// Revision after which `items` contains every written key.
        after: u64,
        /// Revision up to which `items` contains every written key.
        complete_to: u64,
        /// The written keys with their latest values; a deleted key has an empty value.
        items: Vec<ConfigItem>,
    },
    /// Message addresses of agents on VMs that the platform lists as leaving.
    VmsLeaving(Vec<String>),
    /// A graceful shutdown begins: new requests are refused.
    Drain,
    /// A graceful shutdown ends: the requests in flight are answered.
    EndRequests,
    /// Nothing but the passing of time: only the timers that are due are run.
    Tick,
}

/// Parameters with which the state machine of an entry is created.
#[derive(Clone, Debug)]
pub struct EntrySetup {
    /// Message address of this entry, "ip:port".
    pub address: String,
    /// Message addresses of the other entries to contact first.
    pub seeds: Vec<String>,
    /// Seed of the random number generator.
    pub rng_seed: u64,
}

/// State machine of an entry, without I/O: [`EntryState::handle`] takes an input and returns the
/// outputs to execute.
#[derive(Debug)]
pub struct EntryState {
    cx: EntryContext,
    config: ConfigTable,
    generations: GenerationTable,
    operations: OperationTable,
    /// Number of requests in flight by team.
    team_in_flight: HashMap<String, u32>,
    /// Team of each request in flight.
    team_by_request: HashMap<RequestKey, String>,
    peers: PeerTable,
    next_gossip_at: ClockTime,
    /// Whether this entry reads the configuration from the platform.
    config_reader: bool,
    draining: bool,
}

impl EntryState {
    /// Creates an entry without configuration, replicas or requests.
    pub fn new(setup: EntrySetup) -> EntryState {
        EntryState {
            cx: EntryContext {
                now: ClockTime::default(),
                members: MemberTable::default(),
                crash_table: CrashTable::default(),
                rng: Pcg64Mcg::seed_from_u64(setup.rng_seed),
                outputs: Vec::new(),
            },
            config: ConfigTable::default(),
            generations: GenerationTable::default(),
            operations: OperationTable::default(),
            team_in_flight: HashMap::new(),
            team_by_request: HashMap::new(),
            peers: PeerTable::new(setup.address, setup.seeds),
            next_gossip_at: ClockTime::default(),
            config_reader: false,
            draining: false,
        }
    }

    /// Configuration that this entry applies to requests.
    pub fn config(&self) -> &ConfigTable {
        &self.config
    }

    /// Replicas known from heartbeats.
    pub fn members(&self) -> &MemberTable {
        &self.cx.members
    }

    /// Other entries known to this one.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Number of requests in flight, for models and plain services together.
    pub fn in_flight(&self) -> usize {
        self.generations.len() + self.operations.len()
    }

    /// Whether a graceful shutdown has begun, so that new requests are refused.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Whether this entry reads the configuration from the platform.
    pub fn is_config_reader(&self) -> bool {
        self.config_reader
    }

    /// Time at which the next timer is due; [`EntryInput::Tick`] must be passed in by then.
    pub fn next_wake(&self) -> ClockTime {
        self.next_gossip_at
            .min(self.generations.next_wake())
            .min(self.operations.next_wake())
    }

    /// Handles one input, runs the timers that are due and returns the side effects to execute.
    pub fn handle(&mut self, now: ClockTime, input: EntryInput) -> Vec<EntryOutput> {
        assert!(now >= self.cx.now, "the clock went backwards");
        self.cx.now = now;
        match input {
            EntryInput::Caller(request) => self.handle_request(request),
            EntryInput::CallerDisconnected(request_id) => self.cancel_request(request_id),
            EntryInput::Message(MessagingEvent::Received(message)) => self.handle_message(*message),
            EntryInput::Message(MessagingEvent::PeerLost(address)) => {
                self.handle_peer_lost(&address)
            }
            EntryInput::Config {
                after,
                complete_to,
                items,
            } => self.apply_config("platform", after, complete_to, items),
            EntryInput::VmsLeaving(addresses) => {
                for address in addresses {
                    self.cx.members.mark_draining(&address);
                }
            }
            EntryInput::Drain => self.start_drain(),
            EntryInput::EndRequests => {
                self.generations.end_all(&mut self.cx);
                self.operations.end_all(&mut self.cx);
            }
            EntryInput::Tick => {}
        }
        self.run_timers();
        self.send_crash_notices();
        self.release_ended_requests();
        std::mem::take(&mut self.cx.outputs)
    }

    fn handle_request(&mut self, request: CallerRequest) {
        let request_id = request.request_id;
        let event = PendingEvent::new(
            EventKind::RequestReceived,
            request.profile.clone(),
            format!(
                "allowed_ms={} caller_id={} trace={}",
                request.allowed_ms, request.caller_id, request.trace
            ),
        );
        self.cx.record(event.with_request(request_id));
        if let Err(refusal) = self.admit(request) {
            refuse(&mut self.cx, request_id, refusal);
        }
    }

    /// Checks a request against the configuration and the limits, and starts it or returns the
    /// refusal.
    fn admit(&mut self, request: CallerRequest) -> Result<(), RequestRefusal> {
        if self.draining {
            let refusal =
                RequestRefusal::not_run(RefusalReason::Draining, "this entry is stopping");
            return Err(refusal.retry_after(RETRY_AFTER_MS));
        }
        let Some((team, record)) = self.config.team_by_token(&request.token) else {
            return Err(RequestRefusal::not_run(
                RefusalReason::BadToken,
                "the bearer token names no team",
            ));
        };
        let Some(profile) = self.config.profile(&request.profile) else {
            let detail = format!("no accepted profile is named \"{}\"", request.profile);
            return Err(RequestRefusal::not_run(
                RefusalReason::UnknownProfile,
                detail,
            ));
        };
        if self.in_flight() >= MAX_IN_FLIGHT {
            let refusal = RequestRefusal::not_run(RefusalReason::Busy, "this entry is full");
            return Err(refusal.retry_after(RETRY_AFTER_MS));
        }
        let team = team.to_owned();
        if self.team_in_flight.get(&team).copied().unwrap_or(0) >= record.in_flight_limit {
            let detail = format!(
                "team \"{team}\" has {} requests in flight",
                record.in_flight_limit
            );
            return Err(RequestRefusal::not_run(RefusalReason::TeamLimit, detail)
                .retry_after(RETRY_AFTER_MS));
        }
        let deadline = self.cx.now + request.allowed_ms;
        let request_id = request.request_id;
        match (request.work, profile.spec.target.clone()) {
            (
                CallerWork::Generate { prompt, max_tokens },
                ProfileTarget::Model {
                    model,
                    layers,
                    max_tokens: token_limit,
                },
            ) => {
                let work = GenerationWork {
                    team: team.clone(),
                    model,
                    layers,
                    prompt,
                    max_tokens: max_tokens.unwrap_or(token_limit).clamp(1, token_limit),
                    deadline,
                };
                self.track_request(request_id, team);
                self.generations.start(&mut self.cx, request_id, work);
            }
            (
                CallerWork::Operation(operation),
                ProfileTarget::Service {
                    service,
                    idempotent_paths,
                    keyless,
                },
            ) => {
                let idempotent = idempotent_paths
                    .iter()
                    .any(|path| operation.path.starts_with(path.as_str()));
                if !idempotent
                    && operation.idempotency_key.is_empty()
                    && keyless == KeylessPolicy::Refuse
                {
                    let detail = "the profile asks for an Idempotency-Key on this path";
                    return Err(RequestRefusal::not_run(RefusalReason::KeyRequired, detail));
                }
                let work = OperationWork {
                    team: team.clone(),
                    service,
                    idempotent,
                    request: operation,
                    trace: request.trace,
                    deadline,
                };
                self.track_request(request_id, team);
                self.operations.start(&mut self.cx, request_id, work);
            }
            (CallerWork::Generate { .. }, ProfileTarget::Service { .. }) => {
                let detail = format!("profile \"{}\" is a service, not a model", request.profile);
                return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
            }
            (CallerWork::Operation(_), ProfileTarget::Model { .. }) => {
                let detail = format!("profile \"{}\" is a model, not a service", request.profile);
                return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
            }
        }
        Ok(())
    }

    fn track_request(&mut self, request_id: RequestKey, team: String) {
        *self.team_in_flight.entry(team.clone()).or_default() += 1;
        self.team_by_request.insert(request_id, team);
    }

    /// Lowers the in-flight counts of the teams whose requests ended while the input was handled.
    fn release_ended_requests(&mut self) {
        let ended_requests: Vec<RequestKey> = self
            .cx
            .outputs
            .iter()
            .filter_map(|output| match output {
                EntryOutput::Answer(_, AnswerEvent::Token { .. }) => None,
                EntryOutput::Answer(request_id, _) => Some(*request_id),
                _ => None,
            })
            .collect();
        for request_id in ended_requests {
            self.release_request(request_id);
        }
    }

    fn release_request(&mut self, request_id: RequestKey) {
        let Some(team) = self.team_by_request.remove(&request_id) else {
            return;
        };
        if let Some(count) = self.team_in_flight.get_mut(&team) {
            *count -= 1;
            if *count == 0 {
                self.team_in_flight.remove(&team);
            }
        }
    }

    fn cancel_request(&mut self, request_id: RequestKey) {
        let cancelled = self.generations.cancel(&mut self.cx, request_id)
            || self.operations.forget(&mut self.cx, request_id);
        if cancelled {
            self.cx
                .record(PendingEvent::new(EventKind::CallerGone, "", "").with_request(request_id));
            self.release_request(request_id);
        }
    }

    fn handle_message(&mut self, message: IncomingMessage) {
        let from = message.from;
        match message.body {
            Body::Heartbeat(heartbeat) => {
                let entries_hash = heartbeat.entries_hash;
                let now = self.cx.now;
                let members = &mut self.cx.members;
                let (key, change) =
                    members.apply_heartbeat(now, &from, message.incarnation, heartbeat);
                self.handle_member_change(&from, change);
                self.operations.owner_changed(&mut self.cx, &from);
                let heartbeat_interval_ms = self.cx.members.heartbeat_interval_ms();
                self.cx.members.set_heartbeat_interval(key, heartbeat_interval_ms);
                let ack = self.build_heartbeat_ack(entries_hash, heartbeat_interval_ms);
                self.cx.send_message(&from, Body::HeartbeatAck(ack));
            }
            Body::ConfigDigest(digest) => self.handle_config_digest(&from, digest),
            Body::ConfigDelta(delta) => {
                self.peers
                    .record_contact(self.cx.now, &from, delta.complete_to, &mut self.cx.rng);
                self.apply_config(&from, delta.after, delta.complete_to, delta.items);
            }
            Body::CrashNotice(notice) => {
                let facts = format!("requests={}", notice.records.len());
                self.cx
                    .record(PendingEvent::new(EventKind::BlameHeard, from, facts));
                self.cx.crash_table.apply_notice(self.cx.now, notice);
            }
            Body::StageOpened(message) => {
                self.generations.stage_opened(&mut self.cx, &from, &message)
            }
            Body::StageRefused(message) => {
                self.generations.stage_refused(&mut self.cx, &from, &message)
            }
            Body::TokenReady(message) => {
                self.generations.token_ready(&mut self.cx, &from, message);
            }
            Body::OperationReply(reply) => self
                .operations
                .operation_reply(&mut self.cx, &from, reply),
            Body::OperationStruck(message) => self
                .operations
                .operation_struck(&mut self.cx, &from, &message),
            // Only agents handle these.
            Body::HeartbeatAck(_)
            | Body::StageOpen(_)
            | Body::StagePass(_)
            | Body::StageClose(_)
            | Body::OperationCall(_)
            | Body::OperationStrike(_)
            // Only gateways handle these.
            | Body::GatewayLoad(_)
            | Body::PermitAsk(_)
            | Body::PermitAnswer(_)
            | Body::PermitGifts(_) => {}
        }
    }

    fn build_heartbeat_ack(&mut self, agent_hash: u64, heartbeat_ms: u64) -> HeartbeatAck {
        let mut entries = self.peers.active_with_self();
        let entries_hash = addresses_hash(&entries);
        // The peer table of a large fleet changes constantly, so its hash rarely matches. An agent
        // that already has a list gets a new one only occasionally.
        let has_list = agent_hash != 0 && !self.cx.rng.random_ratio(1, ENTRY_LIST_RESEND_ONE_IN);
        if agent_hash == entries_hash || (has_list && entries.len() > MAX_PEERS) {
            entries.clear();
        }
        HeartbeatAck {
            entries,
            config_revision: self.config.complete_to(),
            entries_hash,
            heartbeat_ms,
        }
    }

    fn handle_member_change(&mut self, from: &str, change: MemberChange) {
        let kind = match change {
            MemberChange::None => return,
            MemberChange::Joined => EventKind::ReplicaJoined,
            MemberChange::Draining => EventKind::ReplicaDraining,
        };
        self.cx.record(PendingEvent::new(kind, from, ""));
        if change == MemberChange::Joined {
            // A restarted agent has lost the state of all its requests.
            self.generations.peer_lost(&mut self.cx, from);
            self.operations.peer_lost(&mut self.cx, from);
        }
    }

    fn handle_peer_lost(&mut self, address: &str) {
        if self.cx.members.mark_suspect(address) {
            self.cx
                .record(PendingEvent::new(EventKind::ReplicaLost, address, ""));
        }
        self.generations.peer_lost(&mut self.cx, address);
        self.operations.peer_lost(&mut self.cx, address);
    }

    fn handle_config_digest(&mut self, from: &str, digest: ConfigDigest) {
        let peer_revision = digest.complete_to;
        let now = self.cx.now;
        self.peers
            .record_contact(now, from, peer_revision, &mut self.cx.rng);
        for peer in digest.peers {
            self.peers.merge_peer(now, peer, &mut self.cx.rng);
        }
        let own_revision = self.config.complete_to();
        if peer_revision < own_revision {
            let delta = self.config.delta_after(peer_revision);
            self.cx.send_message(from, Body::ConfigDelta(delta));
        } else if peer_revision > own_revision {
            let digest = self.config_digest();
            self.cx.send_message(from, Body::ConfigDigest(digest));
        }
    }

    fn config_digest(&mut self) -> ConfigDigest {
        ConfigDigest {
            complete_to: self.config.complete_to(),
            peers: self.peers.sample(self.cx.now, &mut self.cx.rng),
        }
    }

    fn apply_config(&mut self, source: &str, after: u64, complete_to: u64, items: Vec<ConfigItem>) {
        for key in self.config.apply(after, complete_to, items) {
            let facts = format!("revision={} source={source}", self.config.complete_to());
            self.cx
                .record(PendingEvent::new(EventKind::ConfigApplied, key, facts));
        }
    }

    fn start_drain(&mut self) {
        if !self.draining {
            self.draining = true;
            let facts = format!("in_flight={}", self.in_flight());
            self.cx
                .record(PendingEvent::new(EventKind::DrainStarted, "", facts));
        }
    }

    fn run_timers(&mut self) {
        self.generations.tick(&mut self.cx);
        self.operations.tick(&mut self.cx);
        if self.cx.now < self.next_gossip_at {
            return;
        }
        self.next_gossip_at = self.cx.now + GOSSIP_INTERVAL_MS;
        for address in self.cx.members.remove_silent(self.cx.now) {
            self.cx.record(PendingEvent::new(
                EventKind::ReplicaLost,
                address,
                "forgotten=true",
            ));
        }
        self.gossip_config();
    }

    /// Sends new crash records to the known peers, ahead of the answers, so that they usually
    /// arrive before a resent request.
    fn send_crash_notices(&mut self) {
        let Some(notice) = self.cx.crash_table.take_unsent(self.cx.now) else {
            return;
        };
        let notices = self.peers.known_addresses().into_iter().map(|to| {
            let body = Body::CrashNotice(notice.clone());
            EntryOutput::Message(OutgoingMessage { to, body })
        });
        // Placed before the answers, because a caller may resend as soon as it has received one.
        let notices: Vec<EntryOutput> = notices.collect();
        self.cx.outputs.splice(0..0, notices);
    }

    fn gossip_config(&mut self) {
        let now = self.cx.now;
        self.peers.remove_silent(now);
        let addresses = self.peers.known_addresses();
        let targets: Vec<String> = addresses
            .choose_multiple(&mut self.cx.rng, GOSSIP_FANOUT)
            .cloned()
            .collect();
        let quarantine = self.cx.crash_table.quarantine_notice(now);
        for peer in targets {
            if let Some(notice) = &quarantine {
                self.cx
                    .send_message(&peer, Body::CrashNotice(notice.clone()));
            }
            let digest = self.config_digest();
            self.cx.send_message(&peer, Body::ConfigDigest(digest));
        }
        self.update_config_reader();
    }

    /// Starts or stops reading the configuration from the platform. Each entry derives from its own
    /// peer table whether it is one of the few that read.
    fn update_config_reader(&mut self) {
        let config_reader = self.peers.is_config_reader();
        if config_reader != self.config_reader {
            self.config_reader = config_reader;
            self.cx.outputs.push(EntryOutput::ReadConfig(config_reader));
        }
    }
}
