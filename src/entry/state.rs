//! The decisions of an entry: who may ask, what the configuration is, and which table a message
//! belongs to.

use std::collections::HashMap;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::ClockTime;
use crate::entry::call::{CallTable, CallWork};
use crate::entry::crash::CrashTable;
use crate::entry::generate::{refuse, GenerateTable, GenerateWork};
use crate::entry::peer::{PeerTable, PEER_VIEW};
use crate::entry::{AnswerEvent, CallerRequest, CallerWork, EntryContext, EntryOutput};
use crate::event::{EventKind, EventNote};
use crate::mail::MailEvent;
use crate::member::{MemberChange, MemberTable};
use crate::profile::{ConfigTable, KeylessPolicy, ProfileTarget};
use crate::util::addresses_hash;
use crate::verdict::{RefusalReason, RequestRefusal};
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{ConfigDigest, ConfigItem, HeartbeatAck};
use crate::wire::{MailIn, MailOut, RequestKey};

/// Time between two exchanges of configuration with peers, milliseconds.
pub const GOSSIP_MS: u64 = 1_000;
/// Peers asked in one exchange.
const GOSSIP_PEERS: usize = 2;
/// Heartbeats of which one is answered with the entries when the view is full.
const TELL_ENTRIES_ONE_IN: u32 = 16;
/// Requests in flight at one entry.
const IN_FLIGHT_LIMIT: usize = 4096;
/// When to come back after a refusal for a limit, milliseconds.
const LIMIT_RETRY_MS: u64 = 1_000;

/// What an entry has to handle.
#[derive(Clone, Debug)]
pub enum EntryInput {
    /// A caller's request.
    Caller(CallerRequest),
    /// A caller went away or stopped reading.
    CallerGone(RequestKey),
    /// News from the mail edge.
    Mail(MailEvent),
    /// Configuration read from the platform: every change after `after`, up to `complete_to`.
    Config {
        /// Revision after which `items` is whole.
        after: u64,
        /// Revision up to which `items` is whole.
        complete_to: u64,
        /// The changed keys.
        items: Vec<ConfigItem>,
    },
    /// VMs that the platform lists as leaving, by agent mail address.
    VmsLeaving(Vec<String>),
    /// A planned stop begins.
    Drain,
    /// Nothing but the time.
    Tick,
}

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct EntrySetup {
    /// Its mail address.
    pub address: String,
    /// Mail addresses of other entries to begin with.
    pub seeds: Vec<String>,
    /// Seed of its randomness.
    pub rng_seed: u64,
}

/// The state of an entry.
#[derive(Debug)]
pub struct EntryState {
    cx: EntryContext,
    config: ConfigTable,
    generates: GenerateTable,
    calls: CallTable,
    teams: HashMap<String, u32>,
    team_of: HashMap<RequestKey, String>,
    peers: PeerTable,
    gossip_at: ClockTime,
    reader: bool,
    draining: bool,
}

impl EntryState {
    /// An entry that knows nothing yet.
    pub fn new(setup: EntrySetup) -> EntryState {
        EntryState {
            cx: EntryContext {
                now: ClockTime::default(),
                members: MemberTable::default(),
                crashes: CrashTable::default(),
                rng: Pcg64Mcg::seed_from_u64(setup.rng_seed),
                outputs: Vec::new(),
            },
            config: ConfigTable::default(),
            generates: GenerateTable::default(),
            calls: CallTable::default(),
            teams: HashMap::new(),
            team_of: HashMap::new(),
            peers: PeerTable::new(setup.address, setup.seeds),
            gossip_at: ClockTime::default(),
            reader: false,
            draining: false,
        }
    }

    /// The configuration in force here.
    pub fn config(&self) -> &ConfigTable {
        &self.config
    }

    /// The replicas known.
    pub fn members(&self) -> &MemberTable {
        &self.cx.members
    }

    /// Other entries known.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.generates.len() + self.calls.len()
    }

    /// Whether new requests are refused because of a planned stop.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Whether this entry reads the platform.
    pub fn reader(&self) -> bool {
        self.reader
    }

    /// When [`EntryInput::Tick`] is wanted next.
    pub fn wake(&self) -> ClockTime {
        self.gossip_at
            .min(self.generates.wake())
            .min(self.calls.wake())
    }

    /// Handles one input and fires the timers that are due.
    pub fn handle(&mut self, now: ClockTime, input: EntryInput) -> Vec<EntryOutput> {
        assert!(now >= self.cx.now, "the clock went back");
        self.cx.now = now;
        match input {
            EntryInput::Caller(request) => self.caller(request),
            EntryInput::CallerGone(key) => self.caller_gone(key),
            EntryInput::Mail(MailEvent::Received(mail)) => self.mail(*mail),
            EntryInput::Mail(MailEvent::PeerLost(address)) => self.peer_lost(&address),
            EntryInput::Config {
                after,
                complete_to,
                items,
            } => self.apply_config("platform", after, complete_to, items),
            EntryInput::VmsLeaving(addresses) => {
                for address in addresses {
                    self.cx.members.leaving(&address);
                }
            }
            EntryInput::Drain => self.drain(),
            EntryInput::Tick => {}
        }
        self.fire();
        self.tell_crashes();
        self.release_teams();
        std::mem::take(&mut self.cx.outputs)
    }

    fn caller(&mut self, request: CallerRequest) {
        let key = request.key;
        let note = EventNote::new(
            EventKind::RequestReceived,
            request.profile.clone(),
            format!(
                "allowed_ms={} caller_id={} trace={}",
                request.allowed_ms, request.caller_id, request.trace
            ),
        );
        self.cx.note(note.about(key));
        if let Err(refusal) = self.admit(request) {
            refuse(&mut self.cx, key, refusal);
        }
    }

    fn admit(&mut self, request: CallerRequest) -> Result<(), RequestRefusal> {
        if self.draining {
            let refusal =
                RequestRefusal::not_run(RefusalReason::Draining, "this entry is stopping");
            return Err(refusal.retry_after(LIMIT_RETRY_MS));
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
        if self.in_flight() >= IN_FLIGHT_LIMIT {
            let refusal = RequestRefusal::not_run(RefusalReason::Busy, "this entry is full");
            return Err(refusal.retry_after(LIMIT_RETRY_MS));
        }
        let team = team.to_owned();
        if self.teams.get(&team).copied().unwrap_or(0) >= record.in_flight_limit {
            let detail = format!(
                "team \"{team}\" has {} requests in flight",
                record.in_flight_limit
            );
            return Err(RequestRefusal::not_run(RefusalReason::TeamLimit, detail)
                .retry_after(LIMIT_RETRY_MS));
        }
        let deadline = self.cx.now + request.allowed_ms;
        let key = request.key;
        match (request.work, profile.spec.target.clone()) {
            (
                CallerWork::Generate { prompt, max_tokens },
                ProfileTarget::Model {
                    model,
                    layers,
                    max_tokens: most,
                },
            ) => {
                let work = GenerateWork {
                    team: team.clone(),
                    model,
                    layers,
                    prompt,
                    max_tokens: max_tokens.unwrap_or(most).clamp(1, most),
                    deadline,
                };
                self.enter(key, team);
                self.generates.start(&mut self.cx, key, work);
            }
            (
                CallerWork::Call(call),
                ProfileTarget::Service {
                    service,
                    idempotent_paths,
                    keyless,
                },
            ) => {
                let idempotent = idempotent_paths
                    .iter()
                    .any(|path| call.path.starts_with(path.as_str()));
                if !idempotent
                    && call.idempotency_key.is_empty()
                    && keyless == KeylessPolicy::Refuse
                {
                    let detail = "the profile asks for an Idempotency-Key on this path";
                    return Err(RequestRefusal::not_run(RefusalReason::KeyRequired, detail));
                }
                let work = CallWork {
                    team: team.clone(),
                    service,
                    idempotent,
                    request: call,
                    trace: request.trace,
                    deadline,
                };
                self.enter(key, team);
                self.calls.start(&mut self.cx, key, work);
            }
            (CallerWork::Generate { .. }, ProfileTarget::Service { .. }) => {
                let detail = format!("profile \"{}\" is a service, not a model", request.profile);
                return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
            }
            (CallerWork::Call(_), ProfileTarget::Model { .. }) => {
                let detail = format!("profile \"{}\" is a model, not a service", request.profile);
                return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
            }
        }
        Ok(())
    }

    fn enter(&mut self, key: RequestKey, team: String) {
        *self.teams.entry(team.clone()).or_default() += 1;
        self.team_of.insert(key, team);
    }

    /// Gives back the places of requests that ended while the input was handled.
    fn release_teams(&mut self) {
        let ended: Vec<RequestKey> = self
            .cx
            .outputs
            .iter()
            .filter_map(|output| match output {
                EntryOutput::Answer(_, AnswerEvent::Token { .. }) => None,
                EntryOutput::Answer(key, _) => Some(*key),
                _ => None,
            })
            .collect();
        for key in ended {
            self.release_team(key);
        }
    }

    fn release_team(&mut self, key: RequestKey) {
        let Some(team) = self.team_of.remove(&key) else {
            return;
        };
        if let Some(count) = self.teams.get_mut(&team) {
            *count -= 1;
            if *count == 0 {
                self.teams.remove(&team);
            }
        }
    }

    fn caller_gone(&mut self, key: RequestKey) {
        let known =
            self.generates.cancel(&mut self.cx, key) || self.calls.cancel(&mut self.cx, key);
        if known {
            self.cx
                .note(EventNote::new(EventKind::CallerGone, "", "").about(key));
            self.release_team(key);
        }
    }

    fn mail(&mut self, mail: MailIn) {
        let from = mail.from;
        match mail.body {
            Body::Heartbeat(heartbeat) => {
                let entries_hash = heartbeat.entries_hash;
                let now = self.cx.now;
                let members = &mut self.cx.members;
                let (key, change) = members.hear(now, &from, mail.incarnation, heartbeat);
                self.note_change(&from, change);
                let beat_ms = self.cx.members.beat_ms();
                self.cx.members.ask_beat(key, beat_ms);
                let ack = self.heartbeat_ack(entries_hash, beat_ms);
                self.cx.mail(&from, Body::HeartbeatAck(ack));
            }
            Body::ConfigDigest(digest) => self.digest(&from, digest),
            Body::ConfigDelta(delta) => {
                self.peers
                    .hear(self.cx.now, &from, delta.complete_to, &mut self.cx.rng);
                self.apply_config(&from, delta.after, delta.complete_to, delta.items);
            }
            Body::CrashNotice(notice) => {
                let facts = format!("requests={}", notice.records.len());
                self.cx
                    .note(EventNote::new(EventKind::BlameHeard, from, facts));
                self.cx.crashes.hear(self.cx.now, notice);
            }
            Body::StageOpened(message) => {
                self.generates.stage_opened(&mut self.cx, &from, &message)
            }
            Body::StageRefused(message) => {
                self.generates.stage_refused(&mut self.cx, &from, &message)
            }
            Body::TokenReady(message) => {
                self.generates.token_ready(&mut self.cx, &from, message);
            }
            Body::OperationReply(reply) => self.calls.reply(&mut self.cx, &from, reply),
            Body::OperationStruck(struck) => self.calls.struck(&mut self.cx, &from, &struck),
            // Addressed to agents.
            Body::HeartbeatAck(_)
            | Body::StageOpen(_)
            | Body::StagePass(_)
            | Body::StageClose(_)
            | Body::OperationCall(_)
            | Body::OperationStrike(_)
            // Addressed to gateways.
            | Body::GatewayLoad(_) => {}
        }
    }

    fn heartbeat_ack(&mut self, known_hash: u64, heartbeat_ms: u64) -> HeartbeatAck {
        let mut entries = self.peers.with_self();
        let entries_hash = addresses_hash(&entries);
        // A large view changes all the time: an agent that has one is told of it now and then.
        let known = known_hash != 0 && !self.cx.rng.random_ratio(1, TELL_ENTRIES_ONE_IN);
        if known_hash == entries_hash || (known && entries.len() > PEER_VIEW) {
            entries.clear();
        }
        HeartbeatAck {
            entries,
            config_revision: self.config.complete_to(),
            entries_hash,
            heartbeat_ms,
        }
    }

    fn note_change(&mut self, from: &str, change: MemberChange) {
        let kind = match change {
            MemberChange::None => return,
            MemberChange::Joined => EventKind::ReplicaJoined,
            MemberChange::Draining => EventKind::ReplicaDraining,
        };
        self.cx.note(EventNote::new(kind, from, ""));
        if change == MemberChange::Joined {
            // A restarted agent has lost the state of its requests.
            self.generates.peer_lost(&mut self.cx, from);
            self.calls.peer_lost(&mut self.cx, from);
        }
    }

    fn peer_lost(&mut self, address: &str) {
        if self.cx.members.suspect(address) {
            self.cx
                .note(EventNote::new(EventKind::ReplicaLost, address, ""));
        }
        self.generates.peer_lost(&mut self.cx, address);
        self.calls.peer_lost(&mut self.cx, address);
    }

    fn digest(&mut self, from: &str, digest: ConfigDigest) {
        let theirs = digest.complete_to;
        let now = self.cx.now;
        self.peers.hear(now, from, theirs, &mut self.cx.rng);
        for peer in digest.peers {
            self.peers.learn(now, peer, &mut self.cx.rng);
        }
        let ours = self.config.complete_to();
        if theirs < ours {
            let delta = self.config.delta_after(theirs);
            self.cx.mail(from, Body::ConfigDelta(delta));
        } else if theirs > ours {
            let digest = self.config_digest();
            self.cx.mail(from, Body::ConfigDigest(digest));
        }
    }

    fn config_digest(&mut self) -> ConfigDigest {
        ConfigDigest {
            complete_to: self.config.complete_to(),
            peers: self.peers.some(self.cx.now, &mut self.cx.rng),
        }
    }

    fn apply_config(&mut self, source: &str, after: u64, complete_to: u64, items: Vec<ConfigItem>) {
        for key in self.config.apply(after, complete_to, items) {
            let facts = format!("revision={} source={source}", self.config.complete_to());
            self.cx
                .note(EventNote::new(EventKind::ConfigApplied, key, facts));
        }
    }

    fn drain(&mut self) {
        if !self.draining {
            self.draining = true;
            let facts = format!("in_flight={}", self.in_flight());
            self.cx
                .note(EventNote::new(EventKind::DrainStarted, "", facts));
        }
    }

    fn fire(&mut self) {
        self.generates.tick(&mut self.cx);
        self.calls.tick(&mut self.cx);
        if self.cx.now < self.gossip_at {
            return;
        }
        self.gossip_at = self.cx.now + GOSSIP_MS;
        for address in self.cx.members.forget_silent(self.cx.now) {
            self.cx.note(EventNote::new(
                EventKind::ReplicaLost,
                address,
                "forgotten=true",
            ));
        }
        self.gossip();
    }

    /// Tells every other entry of upstreams that died, before a resend reaches it.
    fn tell_crashes(&mut self) {
        let Some(notice) = self.cx.crashes.news(self.cx.now) else {
            return;
        };
        let notices = self.peers.known().into_iter().map(|to| {
            let body = Body::CrashNotice(notice.clone());
            EntryOutput::Mail(MailOut { to, body })
        });
        // Before the caller has the answer and sends again.
        let notices: Vec<EntryOutput> = notices.collect();
        self.cx.outputs.splice(0..0, notices);
    }

    fn gossip(&mut self) {
        let now = self.cx.now;
        self.peers.forget_silent(now);
        let known = self.peers.known();
        let chosen: Vec<String> = known
            .choose_multiple(&mut self.cx.rng, GOSSIP_PEERS)
            .cloned()
            .collect();
        let quarantined = self.cx.crashes.quarantined(now);
        for peer in chosen {
            if let Some(notice) = &quarantined {
                self.cx.mail(&peer, Body::CrashNotice(notice.clone()));
            }
            let digest = self.config_digest();
            self.cx.mail(&peer, Body::ConfigDigest(digest));
        }
        self.choose_readers();
    }

    /// A few entries read the platform, found by each from the peers it has heard.
    fn choose_readers(&mut self) {
        let reader = self.peers.is_reader();
        if reader != self.reader {
            self.reader = reader;
            self.cx.outputs.push(EntryOutput::Reader(reader));
        }
    }
}
