//! Drives the decision code of entries and agents with fakes at their edges: mail that is late,
//! lost, doubled and reordered; a platform with outages and lost answers; engines and services
//! that take time; crashes and pauses. One seed gives one run.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]

pub mod store;

use std::collections::{BTreeMap, HashMap};

use lynxcart::agent::owner::OwnerSetup;
use lynxcart::agent::state::{AgentInput, AgentSetup, AgentState, UpstreamSetup};
use lynxcart::agent::{
    AgentOutput, EngineEvent, EngineOrder, EngineOutput, EngineToken, SequenceKey, ServiceDispatch,
    ServiceOutcome,
};
use lynxcart::clock::ClockTime;
use lynxcart::entry::state::{EntryInput, EntrySetup, EntryState};
use lynxcart::entry::{AnswerEvent, CallerRequest, EntryOutput};
use lynxcart::mail::MailEvent;
use lynxcart::profile::{
    token_hash, ProfileRecord, ProfileSpec, TeamRecord, PROFILE_PREFIX, TEAM_PREFIX,
};
use lynxcart::store::{PlatformCall, PlatformError};
use lynxcart::wire::gen::{ConfigItem, ModelRole};
use lynxcart::wire::{MailIn, MailOut, RequestKey};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use store::FakeStore;

pub const TOKEN: &str = "team-token";
pub const MODEL: &str = "m";
/// A prompt with this text kills each engine that runs it.
pub const CRASH_TEXT: &str = "CRASH";
/// Time in which a dead engine is started again, milliseconds.
const RESTART_MS: u64 = 3_000;
/// Time after which a platform call without an answer fails, milliseconds.
const PLATFORM_MS: u64 = 1_000;

/// How the edges misbehave; shares are per thousand.
#[derive(Clone, Debug)]
pub struct WorldFaults {
    pub mail_lost: u32,
    pub mail_doubled: u32,
    pub mail_delay_ms: u64,
    pub platform_lost: u32,
    pub service_delay_ms: u64,
    pub service_unknown: u32,
    pub engine_ms: u64,
}

impl WorldFaults {
    pub fn none() -> WorldFaults {
        WorldFaults {
            mail_lost: 0,
            mail_doubled: 0,
            mail_delay_ms: 1,
            platform_lost: 0,
            service_delay_ms: 5,
            service_unknown: 0,
            engine_ms: 4,
        }
    }
}

#[derive(Clone, Debug)]
enum Delivery {
    Entry(usize, u64, EntryInput),
    Agent(usize, u64, AgentInput),
    Call(usize, u64, u64, PlatformCall, bool),
    Run(usize, u64, ServiceDispatch),
}

pub struct AgentNode {
    pub state: AgentState,
    pub address: String,
    pub incarnation: u64,
    pub alive: bool,
    pub paused_until: ClockTime,
    upstream: FakeUpstream,
    engine_down_until: ClockTime,
    tick_at: ClockTime,
}

pub struct EntryNode {
    pub state: EntryState,
    pub address: String,
    pub incarnation: u64,
    pub alive: bool,
    tick_at: ClockTime,
}

#[derive(Clone, Debug)]
enum FakeUpstream {
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
    /// Runs of each body at the service.
    pub runs: HashMap<String, u32>,
    /// The pieces of each answer.
    pub answers: HashMap<RequestKey, Vec<AnswerEvent>>,
    pub mails: u64,
    /// Engines that died of a request.
    pub engine_deaths: u32,
    pub mail_bytes: u64,
    queue: BTreeMap<(ClockTime, u64), Delivery>,
    order: u64,
    traced: bool,
}

/// One layer of the fake model: its state depends on every input so far.
pub fn run_layer(layer: u32, state: &mut u64, input: u64) -> u64 {
    let mixed = (*state ^ input.rotate_left(17)).wrapping_add(u64::from(layer) + 1);
    *state = mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (mixed >> 29);
    *state
}

fn input_number(input: &[u8]) -> u64 {
    let hash = blake3::hash(input);
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().unwrap())
}

/// The texts of the tokens that a prompt must be answered with.
pub fn expected_tokens(layers: u32, prompt: &str, count: u32) -> Vec<String> {
    let mut states = vec![0; layers as usize];
    let mut input = prompt.as_bytes().to_vec();
    let mut texts = Vec::new();
    for _ in 0..count {
        for (layer, state) in (0..layers).zip(&mut states) {
            input = run_layer(layer, state, input_number(&input))
                .to_le_bytes()
                .to_vec();
        }
        let id = u32::from_le_bytes(input[..4].try_into().unwrap());
        texts.push(format!("{id} "));
        input = id.to_le_bytes().to_vec();
    }
    texts
}

/// The seeds to run: `LYNXCART_SEEDS` of them from `LYNXCART_SEED` on, else the first `default`.
pub fn seeds(default: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("LYNXCART_SEED").unwrap_or(1);
    first..first + number("LYNXCART_SEEDS").unwrap_or(default)
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
            mails: 0,
            engine_deaths: 0,
            mail_bytes: 0,
            queue: BTreeMap::new(),
            order: 0,
            traced: std::env::var_os("LYNXCART_TRACE").is_some(),
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
            tick_at: ClockTime::NEVER,
        });
        self.push(
            0,
            Delivery::Entry(index, self.entries[index].incarnation, EntryInput::Tick),
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
            tick_at: ClockTime::NEVER,
        });
        self.begin_agent(index);
    }

    fn begin_agent(&mut self, index: usize) {
        let incarnation = self.agents[index].incarnation;
        self.push(0, Delivery::Agent(index, incarnation, AgentInput::Tick));
        if matches!(self.agents[index].upstream, FakeUpstream::Engine(..)) {
            let up = AgentInput::Engine(EngineEvent::Up);
            self.push(1, Delivery::Agent(index, incarnation, up));
        }
    }

    /// Gives every entry the configuration.
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
            self.give_entry(index, input);
        }
    }

    pub fn give_entry(&mut self, index: usize, input: EntryInput) {
        let incarnation = self.entries[index].incarnation;
        self.push(0, Delivery::Entry(index, incarnation, input));
    }

    pub fn give_agent(&mut self, index: usize, input: AgentInput) {
        let incarnation = self.agents[index].incarnation;
        self.push(0, Delivery::Agent(index, incarnation, input));
    }

    pub fn ask(&mut self, entry: usize, request: CallerRequest) {
        self.answers.insert(request.key, Vec::new());
        self.give_entry(entry, EntryInput::Caller(request));
    }

    /// The last piece of an answer, once there is one that ends it.
    pub fn ended(&self, key: RequestKey) -> Option<&AnswerEvent> {
        let last = self.answers.get(&key)?.last()?;
        (!matches!(last, AnswerEvent::Token { .. })).then_some(last)
    }

    /// Kills an agent and starts it anew with no memory.
    pub fn crash_agent(&mut self, index: usize) {
        self.kill_agent(index);
        self.revive_agent(index);
    }

    /// Kills an agent; those connected to it notice or not.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents[index].alive = false;
        self.agents[index].incarnation = self.rng.random();
        let address = self.agents[index].address.clone();
        for entry in 0..self.entries.len() {
            if self.rng.random_bool(0.5) {
                let lost = EntryInput::Mail(MailEvent::PeerLost(address.clone()));
                self.give_entry(entry, lost);
            }
        }
    }

    pub fn revive_agent(&mut self, index: usize) {
        let node = &mut self.agents[index];
        if let FakeUpstream::Engine(_, _, sequences) = &mut node.upstream {
            sequences.clear();
        }
        node.alive = true;
        node.paused_until = ClockTime::default();
        node.tick_at = ClockTime::NEVER;
        node.state = agent_state(index, &node.address, node.incarnation, &node.upstream);
        self.begin_agent(index);
    }

    pub fn pause_agent(&mut self, index: usize, millis: u64) {
        self.agents[index].paused_until = self.now + millis;
    }

    fn push(&mut self, delay_ms: u64, delivery: Delivery) {
        self.order += 1;
        self.queue
            .insert((self.now + delay_ms, self.order), delivery);
    }

    /// Prints what happens if `LYNXCART_TRACE` is set.
    fn trace(&self, node: &str, what: &impl std::fmt::Debug) {
        if self.traced {
            eprintln!("{:>7} {node} {what:?}", self.now.0);
        }
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < per_thousand
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: ClockTime) {
        while let Some((&(at, order), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some(delivery) = self.queue.remove(&(at, order)) else {
                break;
            };
            self.now = self.now.max(at);
            self.deliver(delivery);
        }
        self.now = end;
    }

    pub fn run_for(&mut self, millis: u64) {
        self.run_until(self.now + millis);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Entry(index, incarnation, input) => {
                self.step_entry(index, incarnation, input)
            }
            Delivery::Agent(index, incarnation, input) => {
                self.step_agent(index, incarnation, input)
            }
            Delivery::Call(index, incarnation, number, call, answered) => {
                self.platform(index, incarnation, number, &call, answered);
            }
            Delivery::Run(index, incarnation, dispatch) => self.serve(index, incarnation, dispatch),
        }
    }

    fn step_entry(&mut self, index: usize, incarnation: u64, input: EntryInput) {
        let now = self.now;
        let node = &mut self.entries[index];
        if !node.alive || node.incarnation != incarnation {
            return;
        }
        if matches!(input, EntryInput::Tick) && now >= node.tick_at {
            node.tick_at = ClockTime::NEVER;
        }
        let outputs = node.state.handle(now, input);
        let wake = node.state.wake().max(now + 1);
        if wake < node.tick_at {
            node.tick_at = wake;
            self.push(
                wake.since(now),
                Delivery::Entry(index, incarnation, EntryInput::Tick),
            );
        }
        let from = self.entries[index].address.clone();
        for output in outputs {
            match output {
                EntryOutput::Mail(mail) => self.mail(&from, incarnation, mail),
                EntryOutput::Answer(key, event) => {
                    self.answers.entry(key).or_default().push(event);
                }
                EntryOutput::Note(note) => self.trace(&from, &note),
                EntryOutput::Reader(_) => {}
            }
        }
    }

    fn step_agent(&mut self, index: usize, incarnation: u64, input: AgentInput) {
        let now = self.now;
        let node = &mut self.agents[index];
        if !node.alive || node.incarnation != incarnation {
            return;
        }
        if node.paused_until > now {
            let wait = node.paused_until.since(now);
            self.push(wait, Delivery::Agent(index, incarnation, input));
            return;
        }
        if matches!(input, AgentInput::Tick) && now >= node.tick_at {
            node.tick_at = ClockTime::NEVER;
        }
        let outputs = node.state.handle(now, input);
        let wake = node.state.wake().max(now + 1);
        if wake < node.tick_at {
            node.tick_at = wake;
            self.push(
                wake.since(now),
                Delivery::Agent(index, incarnation, AgentInput::Tick),
            );
        }
        let from = self.agents[index].address.clone();
        for output in outputs {
            match output {
                AgentOutput::Mail(mail) => self.mail(&from, incarnation, mail),
                AgentOutput::Engine(order) => self.engine(index, incarnation, order),
                AgentOutput::Service(dispatch) => {
                    let delay = self.rng.random_range(0..=self.faults.service_delay_ms);
                    self.push(delay, Delivery::Run(index, incarnation, dispatch));
                }
                AgentOutput::Platform(number, call) => {
                    self.send_call(index, incarnation, number, call)
                }
                AgentOutput::Note(note) => self.trace(&from, &note),
            }
        }
    }

    fn mail(&mut self, from: &str, incarnation: u64, mail: MailOut) {
        self.mails += 1;
        if self.traced {
            eprintln!("{:>7} {from} -> {}: {:?}", self.now.0, mail.to, mail.body);
        }
        if self.chance(self.faults.mail_lost) {
            return;
        }
        let copies = if self.chance(self.faults.mail_doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.faults.mail_delay_ms);
            let event = MailEvent::Received(Box::new(MailIn {
                from: from.to_owned(),
                incarnation,
                body: mail.body.clone(),
            }));
            if let Some(index) = self.entries.iter().position(|node| node.address == mail.to) {
                let to = self.entries[index].incarnation;
                self.push(delay, Delivery::Entry(index, to, EntryInput::Mail(event)));
            } else if let Some(index) = self.agents.iter().position(|node| node.address == mail.to)
            {
                let to = self.agents[index].incarnation;
                self.push(delay, Delivery::Agent(index, to, AgentInput::Mail(event)));
            }
        }
    }

    fn send_call(&mut self, index: usize, incarnation: u64, number: u64, call: PlatformCall) {
        if self.outage {
            self.fail_call(5, index, incarnation, number);
            return;
        }
        let lost = self.chance(self.faults.platform_lost);
        if !lost {
            let delay = self.rng.random_range(1..=4);
            self.push(
                delay,
                Delivery::Call(index, incarnation, number, call, true),
            );
            return;
        }
        self.fail_call(PLATFORM_MS, index, incarnation, number);
        // A lost call takes effect at once, late or never.
        match self.rng.random_range(0..3) {
            0 => self.push(2, Delivery::Call(index, incarnation, number, call, false)),
            1 => self.push(
                2_500,
                Delivery::Call(index, incarnation, number, call, false),
            ),
            _ => {}
        }
    }

    fn fail_call(&mut self, delay_ms: u64, index: usize, incarnation: u64, number: u64) {
        let failed = AgentInput::Platform(number, Err(PlatformError("lost".into())));
        self.push(delay_ms, Delivery::Agent(index, incarnation, failed));
    }

    fn platform(
        &mut self,
        index: usize,
        incarnation: u64,
        number: u64,
        call: &PlatformCall,
        answered: bool,
    ) {
        let answer = self.store.apply(self.now, call);
        if answered {
            let delay = self.rng.random_range(1..=4);
            let input = AgentInput::Platform(number, Ok(answer));
            self.push(delay, Delivery::Agent(index, incarnation, input));
        }
    }

    /// The service runs a call, even if the agent that sent it has died since.
    fn serve(&mut self, index: usize, incarnation: u64, dispatch: ServiceDispatch) {
        let body = String::from_utf8(dispatch.body).unwrap();
        *self.runs.entry(body.clone()).or_default() += 1;
        let outcome = if self.chance(self.faults.service_unknown) {
            ServiceOutcome::Unknown
        } else {
            ServiceOutcome::Answered {
                status: 200,
                content_type: "text/plain".into(),
                body: format!("done {body}").into_bytes(),
            }
        };
        let delay = self.rng.random_range(0..=self.faults.service_delay_ms);
        let input = AgentInput::Service(dispatch.dispatch, outcome);
        self.push(delay, Delivery::Agent(index, incarnation, input));
    }

    fn engine(&mut self, index: usize, incarnation: u64, order: EngineOrder) {
        if self.now < self.agents[index].engine_down_until {
            return;
        }
        let FakeUpstream::Engine(role, layers, sequences) = &mut self.agents[index].upstream else {
            return;
        };
        let (sequence, position, inputs) = match order {
            EngineOrder::Pass {
                sequence,
                position,
                inputs,
            } => (sequence, position, inputs),
            EngineOrder::Cancel { sequence } => {
                sequences.remove(&sequence);
                return;
            }
        };
        let crashes = |input: &Vec<u8>| String::from_utf8_lossy(input).contains(CRASH_TEXT);
        if inputs.iter().any(crashes) {
            sequences.clear();
            self.engine_deaths += 1;
            self.agents[index].engine_down_until = self.now + RESTART_MS;
            let input = |event| Delivery::Agent(index, incarnation, AgentInput::Engine(event));
            self.push(1, input(EngineEvent::Lost));
            self.push(RESTART_MS + 1, input(EngineEvent::Up));
            return;
        }
        let held = (role.end_layer - role.first_layer) as usize;
        let (next, states) = sequences
            .entry(sequence)
            .or_insert_with(|| (0, vec![0; held]));
        assert_eq!(*next, position, "an agent skipped or doubled a position");
        let mut outputs = Vec::new();
        for mut input in inputs {
            for (layer, state) in (role.first_layer..role.end_layer).zip(states.iter_mut()) {
                input = run_layer(layer, state, input_number(&input))
                    .to_le_bytes()
                    .to_vec();
            }
            *next += 1;
            let id = u32::from_le_bytes(input[..4].try_into().unwrap());
            let token = (role.end_layer == *layers).then(|| EngineToken {
                id,
                text: format!("{id} "),
                stop: false,
            });
            outputs.push(EngineOutput {
                activation: input,
                token,
            });
        }
        let done = EngineEvent::Done {
            sequence,
            position,
            outputs,
            micros: 1_000,
        };
        let delay = self.rng.random_range(1..=self.faults.engine_ms);
        self.push(
            delay,
            Delivery::Agent(index, incarnation, AgentInput::Engine(done)),
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
