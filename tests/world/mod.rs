//! Deterministic simulation of a fleet. It runs the state machines of entries and agents against
//! fakes: messages may be delayed, lost, duplicated and reordered; the platform loses requests and
//! responses; engines and services take time. Tests may also crash and pause agents and start
//! outages of the platform. A seed determines the whole run.

#![allow(dead_code, unreachable_pub, reason = "no test file uses all of it")]

pub mod store;

use std::collections::{BTreeMap, HashMap};

use lynxcart::agent::owner::OwnerSetup;
use lynxcart::agent::state::{AgentInput, AgentSetup, AgentState, UpstreamSetup};
use lynxcart::agent::{
    AgentOutput, EngineCommand, EngineEvent, EngineToken, PositionOutput, SequenceKey,
    ServiceDispatch, ServiceOutcome,
};
use lynxcart::clock::ClockTime;
use lynxcart::entry::state::{EntryInput, EntrySetup, EntryState};
use lynxcart::entry::{AnswerEvent, CallerRequest, EntryOutput};
use lynxcart::messaging::MessagingEvent;
use lynxcart::profile::{
    token_hash, ProfileRecord, ProfileSpec, TeamRecord, PROFILE_PREFIX, TEAM_PREFIX,
};
use lynxcart::store::{PlatformError, PlatformRequest};
use lynxcart::wire::gen::{ConfigItem, ModelRole};
use lynxcart::wire::{IncomingMessage, OutgoingMessage, RequestKey};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use store::FakeStore;

pub const TOKEN: &str = "team-token";
pub const MODEL: &str = "m";
/// A prompt that contains this text crashes every engine that runs it.
pub const CRASH_TEXT: &str = "CRASH";
/// Time until a crashed engine runs again, in milliseconds.
const ENGINE_RESTART_MS: u64 = 3_000;
/// Time after which an unanswered platform request fails, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 1_000;

/// Faults and delays of the simulated messages, platform, services and engines.
#[derive(Clone, Debug)]
pub struct WorldFaults {
    /// Messages lost, per thousand.
    pub messages_lost: u32,
    /// Messages delivered twice, per thousand.
    pub messages_duplicated: u32,
    /// Maximum delay of a message, in milliseconds.
    pub max_message_delay_ms: u64,
    /// Platform requests whose response is lost, per thousand. Each may still take effect.
    pub platform_requests_lost: u32,
    /// Maximum delay of an operation on its way to the service and of the response on its way back,
    /// in milliseconds.
    pub max_service_delay_ms: u64,
    /// Operations that run but have an unknown outcome, per thousand.
    pub unknown_outcomes: u32,
    /// Maximum duration of an engine pass, in milliseconds.
    pub max_pass_ms: u64,
}

impl WorldFaults {
    pub fn none() -> WorldFaults {
        WorldFaults {
            messages_lost: 0,
            messages_duplicated: 0,
            max_message_delay_ms: 1,
            platform_requests_lost: 0,
            max_service_delay_ms: 5,
            unknown_outcomes: 0,
            max_pass_ms: 4,
        }
    }
}

/// Event of the simulation, with the index and incarnation of the node concerned.
#[derive(Clone, Debug)]
enum WorldEvent {
    EntryInput(usize, u64, EntryInput),
    AgentInput(usize, u64, AgentInput),
    /// A platform request with its number arrives at the store. The last field says whether its
    /// response is delivered.
    PlatformRequest(usize, u64, u64, PlatformRequest, bool),
    /// An operation arrives at the service.
    ServiceRequest(usize, u64, ServiceDispatch),
}

pub struct AgentNode {
    pub state: AgentState,
    pub address: String,
    pub incarnation: u64,
    pub alive: bool,
    pub paused_until: ClockTime,
    upstream: FakeUpstream,
    engine_down_until: ClockTime,
    /// Time of the earliest queued tick.
    next_tick: ClockTime,
}

pub struct EntryNode {
    pub state: EntryState,
    pub address: String,
    pub incarnation: u64,
    pub alive: bool,
    /// Time of the earliest queued tick.
    next_tick: ClockTime,
}

#[derive(Clone, Debug)]
enum FakeUpstream {
    /// An engine with its role, the number of layers of the model and, for each sequence, the next
    /// position and the state of each layer.
    Engine(ModelRole, u32, BTreeMap<SequenceKey, (u32, Vec<u64>)>),
    Service(OwnerSetup),
}

pub struct World {
    pub now: ClockTime,
    pub rng: Pcg64Mcg,
    pub faults: WorldFaults,
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub store: FakeStore,
    pub outage: bool,
    /// Number of runs of an operation by the service, by body of the operation.
    pub runs: HashMap<String, u32>,
    /// Events of the answer to each request, in the order received.
    pub answers: HashMap<RequestKey, Vec<AnswerEvent>>,
    /// Number of messages sent, including lost ones.
    pub message_count: u64,
    /// Number of engine crashes caused by [`CRASH_TEXT`].
    pub engine_crashes: u32,
    pub message_bytes: u64,
    queue: BTreeMap<(ClockTime, u64), WorldEvent>,
    /// Number of the latest queued event; events at the same time are handled in this order.
    event_number: u64,
    /// Whether `LYNXCART_TRACE` is set.
    trace_enabled: bool,
}

/// Runs a layer of the fake model. Its state and output depend on all inputs so far, so a skipped,
/// repeated or reordered input changes the tokens that follow.
pub fn run_layer(layer: u32, state: &mut u64, input: u64) -> u64 {
    let mixed = (*state ^ input.rotate_left(17)).wrapping_add(u64::from(layer) + 1);
    *state = mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (mixed >> 29);
    *state
}

fn input_hash(input: &[u8]) -> u64 {
    let hash = blake3::hash(input);
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().unwrap())
}

/// Returns the texts of the first `count` tokens of the correct answer to a prompt.
pub fn expected_tokens(layers: u32, prompt: &str, count: u32) -> Vec<String> {
    let mut states = vec![0; layers as usize];
    let mut input = prompt.as_bytes().to_vec();
    let mut texts = Vec::new();
    for _ in 0..count {
        for (layer, state) in (0..layers).zip(&mut states) {
            input = run_layer(layer, state, input_hash(&input))
                .to_le_bytes()
                .to_vec();
        }
        let id = u32::from_le_bytes(input[..4].try_into().unwrap());
        texts.push(format!("{id} "));
        input = id.to_le_bytes().to_vec();
    }
    texts
}

/// Returns the seeds to run: as many as `LYNXCART_SEEDS` (default: `default`) says, starting at
/// `LYNXCART_SEED` (default: 1).
pub fn seeds(default: u64) -> std::ops::Range<u64> {
    let variable = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = variable("LYNXCART_SEED").unwrap_or(1);
    first..first + variable("LYNXCART_SEEDS").unwrap_or(default)
}

impl World {
    pub fn new(seed: u64, faults: WorldFaults) -> World {
        World {
            now: ClockTime(1),
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults,
            entries: Vec::new(),
            agents: Vec::new(),
            store: FakeStore::default(),
            outage: false,
            runs: HashMap::new(),
            answers: HashMap::new(),
            message_count: 0,
            engine_crashes: 0,
            message_bytes: 0,
            queue: BTreeMap::new(),
            event_number: 0,
            trace_enabled: std::env::var_os("LYNXCART_TRACE").is_some(),
        }
    }

    pub fn add_entry(&mut self) {
        let index = self.entries.len();
        let address = format!("entry-{index}");
        let state = EntryState::new(EntrySetup {
            address: address.clone(),
            seeds: (0..4).map(|i| format!("entry-{i}")).collect(),
            rng_seed: self.rng.random(),
        });
        self.entries.push(EntryNode {
            state,
            address,
            incarnation: self.rng.random(),
            alive: true,
            next_tick: ClockTime::NEVER,
        });
        self.push(
            0,
            WorldEvent::EntryInput(index, self.entries[index].incarnation, EntryInput::Tick),
        );
    }

    pub fn add_engine(&mut self, first_layer: u32, end_layer: u32, layers: u32) {
        let role = ModelRole {
            model: MODEL.into(),
            first_layer,
            end_layer,
            accelerator: "a".into(),
        };
        self.add_agent(FakeUpstream::Engine(role, layers, BTreeMap::new()));
    }

    pub fn add_service(&mut self) {
        self.add_agent(FakeUpstream::Service(OwnerSetup {
            service: "s".into(),
            partition_count: 4,
            address: String::new(),
            incarnation: 0,
            writes_per_s: 50,
        }));
    }

    fn add_agent(&mut self, upstream: FakeUpstream) {
        let index = self.agents.len();
        let address = format!("agent-{index}");
        let incarnation = self.rng.random();
        let state = agent_state(index, &address, incarnation, &upstream);
        self.agents.push(AgentNode {
            state,
            address,
            incarnation,
            alive: true,
            paused_until: ClockTime::default(),
            upstream,
            engine_down_until: ClockTime::default(),
            next_tick: ClockTime::NEVER,
        });
        self.start_agent(index);
    }

    fn start_agent(&mut self, index: usize) {
        let incarnation = self.agents[index].incarnation;
        self.push(
            0,
            WorldEvent::AgentInput(index, incarnation, AgentInput::Tick),
        );
        if matches!(self.agents[index].upstream, FakeUpstream::Engine(..)) {
            let engine_up = AgentInput::Engine(EngineEvent::Up);
            self.push(1, WorldEvent::AgentInput(index, incarnation, engine_up));
        }
    }

    /// Sends every entry a configuration with one team and the given profiles.
    pub fn configure(&mut self, specs: &[ProfileSpec]) {
        let mut items = vec![ConfigItem {
            key: format!("{TEAM_PREFIX}team"),
            revision: 1,
            value: serde_json::to_vec(&TeamRecord {
                token_hash: token_hash(TOKEN),
                in_flight_limit: 1_000,
            })
            .unwrap(),
        }];
        items.extend(specs.iter().map(|spec| {
            ConfigItem {
                key: format!("{PROFILE_PREFIX}{}", spec.name),
                revision: 2,
                value: serde_json::to_vec(&ProfileRecord {
                    spec: spec.clone(),
                    operator: "ana".into(),
                    accepted_ms: 0,
                    write_id: "w".into(),
                })
                .unwrap(),
            }
        }));
        for index in 0..self.entries.len() {
            let input = EntryInput::Config {
                after: 0,
                complete_to: 2,
                items: items.clone(),
            };
            self.push_entry_input(index, input);
        }
    }

    pub fn push_entry_input(&mut self, index: usize, input: EntryInput) {
        let incarnation = self.entries[index].incarnation;
        self.push(0, WorldEvent::EntryInput(index, incarnation, input));
    }

    pub fn push_agent_input(&mut self, index: usize, input: AgentInput) {
        let incarnation = self.agents[index].incarnation;
        self.push(0, WorldEvent::AgentInput(index, incarnation, input));
    }

    pub fn submit_request(&mut self, entry: usize, request: CallerRequest) {
        self.answers.insert(request.request_id, Vec::new());
        self.push_entry_input(entry, EntryInput::Caller(request));
    }

    /// Returns the final event of an answer, or `None` if the answer is not complete.
    pub fn final_event(&self, request_id: RequestKey) -> Option<&AnswerEvent> {
        let last = self.answers.get(&request_id)?.last()?;
        (!matches!(last, AnswerEvent::Token { .. })).then_some(last)
    }

    /// Crashes an agent and restarts it at once with empty state.
    pub fn crash_and_restart_agent(&mut self, index: usize) {
        self.stop_agent(index);
        self.restart_agent(index);
    }

    /// Stops an agent without notice. Each entry observes the lost connection with probability 1/2.
    pub fn stop_agent(&mut self, index: usize) {
        self.agents[index].alive = false;
        self.agents[index].incarnation = self.rng.random();
        let address = self.agents[index].address.clone();
        for entry in 0..self.entries.len() {
            if self.rng.random_bool(0.5) {
                let lost = EntryInput::Message(MessagingEvent::PeerLost(address.clone()));
                self.push_entry_input(entry, lost);
            }
        }
    }

    pub fn restart_agent(&mut self, index: usize) {
        let node = &mut self.agents[index];
        if let FakeUpstream::Engine(_, _, sequences) = &mut node.upstream {
            sequences.clear();
        }
        node.alive = true;
        node.paused_until = ClockTime::default();
        node.next_tick = ClockTime::NEVER;
        node.state = agent_state(index, &node.address, node.incarnation, &node.upstream);
        self.start_agent(index);
    }

    pub fn pause_agent(&mut self, index: usize, millis: u64) {
        self.agents[index].paused_until = self.now + millis;
    }

    fn push(&mut self, delay_ms: u64, event: WorldEvent) {
        self.event_number += 1;
        self.queue
            .insert((self.now + delay_ms, self.event_number), event);
    }

    /// Prints a timeline event to standard error if tracing is enabled.
    fn trace(&self, node: &str, event: &impl std::fmt::Debug) {
        if self.trace_enabled {
            eprintln!("{:>7} {node} {event:?}", self.now.0);
        }
    }

    fn random_fault(&mut self, per_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < per_thousand
    }

    /// Handles all events up to and including the time `end`.
    pub fn run_until(&mut self, end: ClockTime) {
        while let Some((&(at, number), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some(event) = self.queue.remove(&(at, number)) else {
                break;
            };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    pub fn run_for(&mut self, millis: u64) {
        self.run_until(self.now + millis);
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::EntryInput(index, incarnation, input) => {
                self.handle_entry_input(index, incarnation, input)
            }
            WorldEvent::AgentInput(index, incarnation, input) => {
                self.handle_agent_input(index, incarnation, input)
            }
            WorldEvent::PlatformRequest(index, incarnation, number, request, respond) => {
                self.run_platform_request(index, incarnation, number, &request, respond);
            }
            WorldEvent::ServiceRequest(index, incarnation, dispatch) => {
                self.run_operation(index, incarnation, dispatch)
            }
        }
    }

    fn handle_entry_input(&mut self, index: usize, incarnation: u64, input: EntryInput) {
        let now = self.now;
        let node = &mut self.entries[index];
        if !node.alive || node.incarnation != incarnation {
            return;
        }
        if matches!(input, EntryInput::Tick) && now >= node.next_tick {
            node.next_tick = ClockTime::NEVER;
        }
        let outputs = node.state.handle(now, input);
        let next_wake = node.state.next_wake().max(now + 1);
        if next_wake < node.next_tick {
            node.next_tick = next_wake;
            self.push(
                next_wake.since(now),
                WorldEvent::EntryInput(index, incarnation, EntryInput::Tick),
            );
        }
        let from = self.entries[index].address.clone();
        for output in outputs {
            match output {
                EntryOutput::Message(message) => self.send_message(&from, incarnation, message),
                EntryOutput::Answer(request_id, event) => {
                    self.answers.entry(request_id).or_default().push(event);
                }
                EntryOutput::Event(event) => self.trace(&from, &event),
                EntryOutput::ReadConfig(_) => {}
            }
        }
    }

    fn handle_agent_input(&mut self, index: usize, incarnation: u64, input: AgentInput) {
        let now = self.now;
        let node = &mut self.agents[index];
        if !node.alive || node.incarnation != incarnation {
            return;
        }
        if node.paused_until > now {
            let wait_ms = node.paused_until.since(now);
            self.push(wait_ms, WorldEvent::AgentInput(index, incarnation, input));
            return;
        }
        if matches!(input, AgentInput::Tick) && now >= node.next_tick {
            node.next_tick = ClockTime::NEVER;
        }
        let outputs = node.state.handle(now, input);
        let next_wake = node.state.next_wake().max(now + 1);
        if next_wake < node.next_tick {
            node.next_tick = next_wake;
            self.push(
                next_wake.since(now),
                WorldEvent::AgentInput(index, incarnation, AgentInput::Tick),
            );
        }
        let from = self.agents[index].address.clone();
        for output in outputs {
            match output {
                AgentOutput::Message(message) => self.send_message(&from, incarnation, message),
                AgentOutput::Engine(command) => self.run_engine(index, incarnation, command),
                AgentOutput::Service(dispatch) => {
                    let delay_ms = self.rng.random_range(0..=self.faults.max_service_delay_ms);
                    self.push(
                        delay_ms,
                        WorldEvent::ServiceRequest(index, incarnation, dispatch),
                    );
                }
                AgentOutput::Platform(number, request) => {
                    self.send_platform_request(index, incarnation, number, request)
                }
                AgentOutput::Event(event) => self.trace(&from, &event),
            }
        }
    }

    fn send_message(&mut self, from: &str, incarnation: u64, message: OutgoingMessage) {
        self.message_count += 1;
        if self.trace_enabled {
            eprintln!(
                "{:>7} {from} -> {}: {:?}",
                self.now.0, message.to, message.body
            );
        }
        if self.random_fault(self.faults.messages_lost) {
            return;
        }
        let copies = if self.random_fault(self.faults.messages_duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(0..=self.faults.max_message_delay_ms);
            let event = MessagingEvent::Received(Box::new(IncomingMessage {
                from: from.to_owned(),
                incarnation,
                body: message.body.clone(),
            }));
            if let Some(index) = self
                .entries
                .iter()
                .position(|node| node.address == message.to)
            {
                let to = self.entries[index].incarnation;
                self.push(
                    delay_ms,
                    WorldEvent::EntryInput(index, to, EntryInput::Message(event)),
                );
            } else if let Some(index) = self
                .agents
                .iter()
                .position(|node| node.address == message.to)
            {
                let to = self.agents[index].incarnation;
                self.push(
                    delay_ms,
                    WorldEvent::AgentInput(index, to, AgentInput::Message(event)),
                );
            }
        }
    }

    fn send_platform_request(
        &mut self,
        index: usize,
        incarnation: u64,
        number: u64,
        request: PlatformRequest,
    ) {
        if self.outage {
            self.fail_platform_request(5, index, incarnation, number);
            return;
        }
        let lost = self.random_fault(self.faults.platform_requests_lost);
        if !lost {
            let delay_ms = self.rng.random_range(1..=4);
            self.push(
                delay_ms,
                WorldEvent::PlatformRequest(index, incarnation, number, request, true),
            );
            return;
        }
        self.fail_platform_request(PLATFORM_TIMEOUT_MS, index, incarnation, number);
        // A request whose response is lost takes effect before the timeout, after it or never.
        match self.rng.random_range(0..3) {
            0 => self.push(
                2,
                WorldEvent::PlatformRequest(index, incarnation, number, request, false),
            ),
            1 => self.push(
                2_500,
                WorldEvent::PlatformRequest(index, incarnation, number, request, false),
            ),
            _ => {}
        }
    }

    fn fail_platform_request(
        &mut self,
        delay_ms: u64,
        index: usize,
        incarnation: u64,
        number: u64,
    ) {
        let failed = AgentInput::Platform(number, Err(PlatformError("lost".into())));
        self.push(delay_ms, WorldEvent::AgentInput(index, incarnation, failed));
    }

    fn run_platform_request(
        &mut self,
        index: usize,
        incarnation: u64,
        number: u64,
        request: &PlatformRequest,
        respond: bool,
    ) {
        let response = self.store.apply(self.now, request);
        if respond {
            let delay_ms = self.rng.random_range(1..=4);
            let input = AgentInput::Platform(number, Ok(response));
            self.push(delay_ms, WorldEvent::AgentInput(index, incarnation, input));
        }
    }

    /// Runs an operation at the service, even if the agent that sent it has crashed since.
    fn run_operation(&mut self, index: usize, incarnation: u64, dispatch: ServiceDispatch) {
        let body = String::from_utf8(dispatch.body).unwrap();
        *self.runs.entry(body.clone()).or_default() += 1;
        let outcome = if self.random_fault(self.faults.unknown_outcomes) {
            ServiceOutcome::Unknown
        } else {
            ServiceOutcome::Answered {
                status: 200,
                content_type: "text/plain".into(),
                body: format!("done {body}").into_bytes(),
            }
        };
        let delay_ms = self.rng.random_range(0..=self.faults.max_service_delay_ms);
        let input = AgentInput::Service(dispatch.dispatch, outcome);
        self.push(delay_ms, WorldEvent::AgentInput(index, incarnation, input));
    }

    fn run_engine(&mut self, index: usize, incarnation: u64, command: EngineCommand) {
        if self.now < self.agents[index].engine_down_until {
            return;
        }
        let FakeUpstream::Engine(role, layers, sequences) = &mut self.agents[index].upstream else {
            return;
        };
        let (sequence, position, inputs) = match command {
            EngineCommand::Pass {
                sequence,
                position,
                inputs,
            } => (sequence, position, inputs),
            EngineCommand::Cancel { sequence } => {
                sequences.remove(&sequence);
                return;
            }
        };
        let has_crash_text = |input: &Vec<u8>| String::from_utf8_lossy(input).contains(CRASH_TEXT);
        if inputs.iter().any(has_crash_text) {
            sequences.clear();
            self.engine_crashes += 1;
            self.agents[index].engine_down_until = self.now + ENGINE_RESTART_MS;
            let engine_input =
                |event| WorldEvent::AgentInput(index, incarnation, AgentInput::Engine(event));
            self.push(1, engine_input(EngineEvent::Lost));
            self.push(ENGINE_RESTART_MS + 1, engine_input(EngineEvent::Up));
            return;
        }
        let layer_count = (role.end_layer - role.first_layer) as usize;
        let (next_position, states) = sequences
            .entry(sequence)
            .or_insert_with(|| (0, vec![0; layer_count]));
        assert_eq!(
            *next_position, position,
            "an agent skipped or repeated a position"
        );
        let mut outputs = Vec::new();
        for mut input in inputs {
            for (layer, state) in (role.first_layer..role.end_layer).zip(states.iter_mut()) {
                input = run_layer(layer, state, input_hash(&input))
                    .to_le_bytes()
                    .to_vec();
            }
            *next_position += 1;
            let id = u32::from_le_bytes(input[..4].try_into().unwrap());
            let token = (role.end_layer == *layers).then(|| EngineToken {
                id,
                text: format!("{id} "),
                stop: false,
            });
            outputs.push(PositionOutput {
                activation: input,
                token,
            });
        }
        let done = EngineEvent::Done {
            sequence,
            position,
            outputs,
            elapsed_micros: 1_000,
        };
        let delay_ms = self.rng.random_range(1..=self.faults.max_pass_ms);
        self.push(
            delay_ms,
            WorldEvent::AgentInput(index, incarnation, AgentInput::Engine(done)),
        );
    }
}

fn agent_state(
    index: usize,
    address: &str,
    incarnation: u64,
    upstream: &FakeUpstream,
) -> AgentState {
    let upstream = match upstream {
        FakeUpstream::Engine(role, ..) => UpstreamSetup::Engine { role: role.clone() },
        FakeUpstream::Service(owner) => UpstreamSetup::Service {
            owner: OwnerSetup {
                address: address.to_owned(),
                incarnation,
                ..owner.clone()
            },
        },
    };
    AgentState::new(AgentSetup {
        name: format!("a{index}"),
        admin_address: String::new(),
        failure_domain: format!("d{}", index % 3),
        region: "r".into(),
        entries: vec!["entry-0".into(), "entry-1".into()],
        limit: 64,
        upstream,
        wall_start_ms: 1_000_000,
    })
}
