//! A model engine that holds a range of layers.
//!
//! It batches continuously at a bounded step rate, caches prompt prefixes in bounded memory,
//! streams its results, exports and imports its KV state, and takes orders with or without a
//! check of their fencing number.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Method, Request};
use hyper::body::Incoming;
use lynxcart::agent::upstream::{
    EngineBatch, EngineInfo, EnginePass, EngineResult, EngineResultOutput, EngineResultToken,
    EngineStream,
};
use lynxcart::store::etcd::{decode, encode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::model::{run_layer, token_of, LayerState};
use crate::server::{json, lines, read_body, serve, text, ServerResponse};

/// Bytes of a prompt that make one cached block.
const BLOCK_BYTES: usize = 64;
/// Positions that a block of a prompt costs.
const BLOCK_POSITIONS: u32 = 16;
/// Results kept for a reader that resumes.
const KEPT_RESULTS: usize = 4_096;
/// Cache events kept.
const KEPT_EVENTS: usize = 1_024;
/// A prompt with this text ends the process, as some requests do to real engines.
pub const CRASH_TEXT: &str = "CRASH-THE-ENGINE";

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// Where it listens.
    pub address: SocketAddr,
    /// The layers it holds and on what.
    pub info: EngineInfo,
    /// Layers of the whole model.
    pub layers: u32,
    /// Time of one step, microseconds.
    pub step_us: u64,
    /// Sequences in one step.
    pub batch: usize,
    /// Positions of a prompt or replay that one millisecond of a step runs.
    pub prefill_per_ms: u32,
    /// Prompt blocks cached.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    pub check_fence: bool,
}

/// Faults switched at run time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Run nothing.
    pub frozen: bool,
    /// Cut the result stream once.
    pub cut_stream: bool,
    /// Factor by which steps take longer; zero counts as one.
    pub slow: u64,
}

/// An order from the agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRoleOrder {
    /// Fencing number.
    pub fence: u64,
    /// The layers to hold from now on.
    pub role: EngineInfo,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct SequenceState {
    position: u32,
    states: Vec<LayerState>,
}

#[derive(Default)]
struct EngineState {
    sequences: HashMap<String, SequenceState>,
    queue: VecDeque<EnginePass>,
    results: Option<UnboundedSender<String>>,
    /// The latest results, for a reader that resumes; the first is number `kept_from`.
    kept: VecDeque<String>,
    kept_from: u64,
    cache_events: VecDeque<String>,
    cache_event: u64,
    cached: HashSet<[u8; 32]>,
    cached_order: VecDeque<[u8; 32]>,
    faults: EngineFaults,
    fence: u64,
    role: Option<EngineInfo>,
    steps: u64,
    positions: u64,
}

#[derive(Clone)]
struct Engine {
    setup: Arc<EngineSetup>,
    state: Arc<Mutex<EngineState>>,
    work: Arc<Notify>,
    /// Told apart from the engine's earlier starts by this.
    start: Arc<str>,
}

/// Runs an engine until the process ends.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn run(setup: EngineSetup) -> eyre::Result<()> {
    let address = setup.address;
    let state = EngineState {
        role: Some(setup.info.clone()),
        ..EngineState::default()
    };
    let engine = Engine {
        setup: Arc::new(setup),
        state: Arc::new(Mutex::new(state)),
        work: Arc::default(),
        start: Arc::from(start_name()),
    };
    tokio::spawn(engine.clone().step_loop());
    serve(address, move |request| engine.clone().handle(request)).await
}

fn start_name() -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    format!(
        "{}-{}",
        std::process::id(),
        now.map_or(0, |now| now.as_nanos())
    )
}

impl Engine {
    fn lock(&self) -> std::sync::MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> ServerResponse {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (&method, path.as_str()) {
            (&Method::GET, "/v1/engine") => json(&self.lock().role),
            (&Method::GET, "/v1/results") => {
                let query = request.uri().query().unwrap_or("");
                self.results(
                    query
                        .strip_prefix("after=")
                        .and_then(|after| after.parse().ok()),
                )
            }
            (&Method::GET, "/v1/stream") => self.stream(),
            (&Method::GET, "/v1/cache_events") => self.cache_events(),
            (&Method::POST, "/v1/passes") => self.passes(&read_body(request).await),
            (&Method::POST, "/v1/orders") => self.order(&read_body(request).await),
            (&Method::POST, "/faults") => {
                let faults: EngineFaults =
                    serde_json::from_slice(&read_body(request).await).unwrap_or_default();
                let mut state = self.lock();
                if faults.cut_stream {
                    state.results = None;
                }
                state.faults = faults;
                drop(state);
                self.work.notify_one();
                text(200, "")
            }
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, path) if path.starts_with("/v1/kv/") => {
                match self.lock().sequences.get(&path[7..]) {
                    Some(sequence) => json(sequence),
                    None => text(404, ""),
                }
            }
            (&Method::PUT, path) if path.starts_with("/v1/kv/") => {
                let name = path[7..].to_owned();
                match serde_json::from_slice(&read_body(request).await) {
                    Ok(sequence) => {
                        self.lock().sequences.insert(name, sequence);
                        text(200, "")
                    }
                    Err(_) => text(400, ""),
                }
            }
            _ => text(404, ""),
        }
    }

    /// A new reader of results begins with nothing in flight; one that resumes gets what it missed.
    fn results(&self, after: Option<u64>) -> ServerResponse {
        let (sender, receiver) = unbounded_channel();
        let mut state = self.lock();
        match after {
            Some(after) => {
                let missed = after.saturating_sub(state.kept_from);
                let missed = usize::try_from(missed).unwrap_or(usize::MAX);
                for line in state.kept.iter().skip(missed) {
                    let _ = sender.send(line.clone());
                }
            }
            None => {
                state.sequences.clear();
                state.queue.clear();
                state.kept.clear();
                state.kept_from = 0;
            }
        }
        state.results = Some(sender);
        let mut response = lines(receiver);
        if let Ok(start) = self.start.parse() {
            response.headers_mut().insert("engine-start", start);
        }
        response
    }

    fn stream(&self) -> ServerResponse {
        json(&EngineStream {
            engine_start: self.start.to_string(),
            oldest: self.lock().kept_from,
        })
    }

    /// The latest prompt blocks cached, a line each, late and with gaps, as engines publish them.
    fn cache_events(&self) -> ServerResponse {
        let state = self.lock();
        let mut body = String::new();
        for event in &state.cache_events {
            let _ = writeln!(body, "{event}");
        }
        text(200, body)
    }

    fn passes(&self, body: &[u8]) -> ServerResponse {
        let Ok(batch) = serde_json::from_slice::<EngineBatch>(body) else {
            return text(400, "");
        };
        let mut state = self.lock();
        for name in batch.cancel {
            state.sequences.remove(&name);
            state.queue.retain(|pass| pass.sequence != name);
        }
        state.queue.extend(batch.passes);
        drop(state);
        self.work.notify_one();
        text(202, "")
    }

    fn order(&self, body: &[u8]) -> ServerResponse {
        let Ok(order) = serde_json::from_slice::<EngineRoleOrder>(body) else {
            return text(400, "");
        };
        let mut state = self.lock();
        if self.setup.check_fence && order.fence < state.fence {
            return text(409, "old fencing number");
        }
        state.fence = order.fence;
        state.role = Some(order.role);
        text(200, "")
    }

    fn metrics(&self) -> ServerResponse {
        let state = self.lock();
        text(
            200,
            format!(
                "engine_sequences {}\nengine_waiting {}\nengine_steps_total {}\nengine_positions_total {}\n",
                state.sequences.len(),
                state.queue.len(),
                state.steps,
                state.positions
            ),
        )
    }

    async fn step_loop(self) {
        let mut due = Instant::now();
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                self.work.notified().await;
                due = Instant::now();
                continue;
            }
            due += self.step_time(&batch);
            tokio::time::sleep_until(due).await;
            // Steps are paced against the clock, so that a late timer costs no throughput.
            due = due.max(
                Instant::now()
                    .checked_sub(Duration::from_millis(5))
                    .unwrap_or(due),
            );
            self.run_batch(batch);
        }
    }

    fn next_batch(&self) -> Vec<EnginePass> {
        let mut state = self.lock();
        if state.faults.frozen {
            return Vec::new();
        }
        let count = state.queue.len().min(self.setup.batch);
        state.queue.drain(..count).collect()
    }

    fn step_time(&self, batch: &[EnginePass]) -> Duration {
        let mut state = self.lock();
        let extra: u32 = batch
            .iter()
            .map(|pass| prefill_positions(&mut state, pass, self.setup.cache_blocks))
            .sum();
        let prefill_us = u64::from(extra) * 1_000 / u64::from(self.setup.prefill_per_ms.max(1));
        let slow = state.faults.slow.max(1);
        Duration::from_micros((self.setup.step_us + prefill_us) * slow)
    }

    fn run_batch(&self, batch: Vec<EnginePass>) {
        let mut state = self.lock();
        state.steps += 1;
        for pass in batch {
            if let Some(result) = run_pass(&self.setup, &mut state, &pass) {
                let line = serde_json::to_string(&result).unwrap_or_default();
                if state.kept.len() == KEPT_RESULTS {
                    state.kept.pop_front();
                    state.kept_from += 1;
                }
                state.kept.push_back(line.clone());
                if let Some(results) = &state.results {
                    let _ = results.send(line);
                }
            }
        }
    }
}

/// Positions beyond the first that a pass costs: replayed ones, and prompt blocks not cached.
fn prefill_positions(state: &mut EngineState, pass: &EnginePass, cache_blocks: usize) -> u32 {
    let replayed = u32::try_from(pass.inputs.len())
        .unwrap_or(u32::MAX)
        .saturating_sub(1);
    if pass.position > 0 {
        return replayed;
    }
    let prompt = pass
        .inputs
        .first()
        .map(|input| decode(input))
        .unwrap_or_default();
    let mut prefix = blake3::Hasher::new();
    let mut cost = 0;
    for block in prompt.chunks(BLOCK_BYTES) {
        prefix.update(block);
        let hash = *prefix.finalize().as_bytes();
        if state.cached.insert(hash) {
            cost += BLOCK_POSITIONS;
            state.cached_order.push_back(hash);
            state.cache_event += 1;
            // One event in eight is never published.
            if state.cache_event % 8 != 0 {
                let event = blake3::Hash::from(hash).to_hex().to_string();
                state.cache_events.push_back(event);
            }
            if state.cache_events.len() > KEPT_EVENTS {
                state.cache_events.pop_front();
            }
        }
        if state.cached_order.len() > cache_blocks {
            if let Some(oldest) = state.cached_order.pop_front() {
                state.cached.remove(&oldest);
            }
        }
    }
    replayed + cost
}

fn run_pass(
    setup: &EngineSetup,
    state: &mut EngineState,
    pass: &EnginePass,
) -> Option<EngineResult> {
    let info = state.role.clone()?;
    let held = info.end_layer.saturating_sub(info.first_layer) as usize;
    let sequence = state
        .sequences
        .entry(pass.sequence.clone())
        .or_insert_with(|| SequenceState {
            position: 0,
            states: vec![[0; 32]; held],
        });
    if sequence.position != pass.position {
        return None;
    }
    let mut outputs = Vec::new();
    for input in &pass.inputs {
        let mut activation = decode(input);
        if contains(&activation, CRASH_TEXT.as_bytes()) {
            std::process::exit(86);
        }
        for (layer, state) in (info.first_layer..info.end_layer).zip(&mut sequence.states) {
            activation = run_layer(&info.model, layer, state, &activation).to_vec();
        }
        sequence.position += 1;
        let token = (info.end_layer == setup.layers).then(|| {
            let (id, text) = token_of(&activation);
            EngineResultToken {
                id,
                text,
                stop: false,
            }
        });
        outputs.push(EngineResultOutput {
            activation: encode(&activation),
            token,
        });
    }
    state.positions += u64::try_from(outputs.len()).unwrap_or(0);
    Some(EngineResult {
        sequence: pass.sequence.clone(),
        position: pass.position,
        outputs,
    })
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}
