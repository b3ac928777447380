//! Stand-in for a model engine that holds a range of layers.
//!
//! It batches continuously at a bounded step rate, caches prompt prefixes in bounded memory,
//! streams its results, exports and imports the KV state of sequences, and changes its layer range
//! on order. Whether it checks the fencing number of orders is configurable.

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

use crate::model::{decode_token, run_layer, LayerState};
use crate::server::{json_response, line_stream, read_body, serve, text_response, ServerResponse};

/// Size of a cached prompt block, in bytes.
const BLOCK_BYTES: usize = 64;
/// Prefill cost of a prompt block that is not cached, in positions.
const BLOCK_PREFILL_POSITIONS: u32 = 16;
/// Maximum number of results kept for a client that resumes the result stream.
const MAX_KEPT_RESULTS: usize = 4_096;
/// Maximum number of cache events kept; the oldest is dropped first.
const MAX_KEPT_EVENTS: usize = 1_024;
/// An input that contains this text makes the process exit, as some requests crash real engines.
pub const CRASH_TEXT: &str = "CRASH-THE-ENGINE";

/// Address, layer range and timing of an engine.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Model, layer range and accelerator at the start; an order replaces them.
    pub role: EngineInfo,
    /// Number of layers of the whole model; the engine with the last one emits tokens.
    pub layers: u32,
    /// Duration of a step without prefill, in microseconds.
    pub step_us: u64,
    /// Maximum number of passes in one step.
    pub max_batch: usize,
    /// Positions of a prompt or a replay that run in one millisecond of a step.
    pub prefill_per_ms: u32,
    /// Maximum number of cached prompt blocks; the oldest is dropped first.
    pub cache_blocks: usize,
    /// Whether an order is refused if its fencing number is below that of the last order.
    pub check_fence: bool,
}

/// Faults of an engine. A request to `/faults` replaces all of them at run time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Whether the engine starts no further steps. A step in progress ends normally.
    pub frozen: bool,
    /// Whether to close the open result stream once, when the faults are set.
    pub cut_stream: bool,
    /// Factor on the duration of a step; 0 means 1.
    pub slow: u64,
}

/// Order to hold another range of layers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRoleOrder {
    /// Fencing number of the sender; an order whose number is below that of the last order is out
    /// of date.
    pub fence: u64,
    /// Model, layer range and accelerator that the engine is to have.
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
    result_sender: Option<UnboundedSender<String>>,
    /// Latest results, for a client that resumes the stream; the first has the number
    /// `first_kept_number`.
    kept_results: VecDeque<String>,
    first_kept_number: u64,
    cache_events: VecDeque<String>,
    cache_event_count: u64,
    cached_blocks: HashSet<[u8; 32]>,
    cache_order: VecDeque<[u8; 32]>,
    faults: EngineFaults,
    last_fence: u64,
    role: Option<EngineInfo>,
    step_count: u64,
    position_count: u64,
}

#[derive(Clone)]
struct Engine {
    setup: Arc<EngineSetup>,
    state: Arc<Mutex<EngineState>>,
    work_ready: Arc<Notify>,
    /// Id that differs from those of the engine's earlier starts.
    start_id: Arc<str>,
}

/// Serves an engine until the process exits.
///
/// # Errors
///
/// If the address cannot be bound or a connection cannot be accepted.
pub async fn run(setup: EngineSetup) -> eyre::Result<()> {
    let address = setup.address;
    let state = EngineState {
        role: Some(setup.role.clone()),
        ..EngineState::default()
    };
    let engine = Engine {
        setup: Arc::new(setup),
        state: Arc::new(Mutex::new(state)),
        work_ready: Arc::default(),
        start_id: Arc::from(new_start_id()),
    };
    tokio::spawn(engine.clone().step_loop());
    serve(address, move |request| engine.clone().handle(request)).await
}

fn new_start_id() -> String {
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
            (&Method::GET, "/v1/engine") => json_response(&self.lock().role),
            (&Method::GET, "/v1/results") => {
                let query = request.uri().query().unwrap_or("");
                self.open_results(
                    query
                        .strip_prefix("after=")
                        .and_then(|after| after.parse().ok()),
                )
            }
            (&Method::GET, "/v1/stream") => self.stream_info(),
            (&Method::GET, "/v1/cache_events") => self.cache_events(),
            (&Method::POST, "/v1/passes") => self.enqueue_passes(&read_body(request).await),
            (&Method::POST, "/v1/orders") => self.apply_order(&read_body(request).await),
            (&Method::POST, "/faults") => {
                let faults: EngineFaults =
                    serde_json::from_slice(&read_body(request).await).unwrap_or_default();
                let mut state = self.lock();
                if faults.cut_stream {
                    state.result_sender = None;
                }
                state.faults = faults;
                drop(state);
                self.work_ready.notify_one();
                text_response(200, "")
            }
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, path) if path.starts_with("/v1/kv/") => {
                match self.lock().sequences.get(&path[7..]) {
                    Some(sequence) => json_response(sequence),
                    None => text_response(404, ""),
                }
            }
            (&Method::PUT, path) if path.starts_with("/v1/kv/") => {
                let sequence_id = path[7..].to_owned();
                match serde_json::from_slice(&read_body(request).await) {
                    Ok(sequence) => {
                        self.lock().sequences.insert(sequence_id, sequence);
                        text_response(200, "")
                    }
                    Err(_) => text_response(400, ""),
                }
            }
            _ => text_response(404, ""),
        }
    }

    /// Opens the result stream.
    ///
    /// A client that resumes after a number first gets the later results that are still kept. For
    /// a new client all sequences, queued passes and kept results are dropped.
    fn open_results(&self, after: Option<u64>) -> ServerResponse {
        let (sender, receiver) = unbounded_channel();
        let mut state = self.lock();
        match after {
            Some(after) => {
                let missed = after.saturating_sub(state.first_kept_number);
                let missed = usize::try_from(missed).unwrap_or(usize::MAX);
                for line in state.kept_results.iter().skip(missed) {
                    let _ = sender.send(line.clone());
                }
            }
            None => {
                state.sequences.clear();
                state.queue.clear();
                state.kept_results.clear();
                state.first_kept_number = 0;
            }
        }
        state.result_sender = Some(sender);
        let mut response = line_stream(receiver);
        if let Ok(start) = self.start_id.parse() {
            response.headers_mut().insert("engine-start", start);
        }
        response
    }

    fn stream_info(&self) -> ServerResponse {
        json_response(&EngineStream {
            engine_start: self.start_id.to_string(),
            oldest: self.lock().first_kept_number,
        })
    }

    /// Returns the hashes of the latest cached prompt blocks, one per line.
    ///
    /// As with real engines, the list differs from the cache: it leaves out every eighth block and
    /// keeps blocks that the cache has dropped.
    fn cache_events(&self) -> ServerResponse {
        let state = self.lock();
        let mut body = String::new();
        for event in &state.cache_events {
            let _ = writeln!(body, "{event}");
        }
        text_response(200, body)
    }

    fn enqueue_passes(&self, body: &[u8]) -> ServerResponse {
        let Ok(batch) = serde_json::from_slice::<EngineBatch>(body) else {
            return text_response(400, "");
        };
        let mut state = self.lock();
        for sequence in batch.cancel {
            state.sequences.remove(&sequence);
            state.queue.retain(|pass| pass.sequence != sequence);
        }
        state.queue.extend(batch.passes);
        drop(state);
        self.work_ready.notify_one();
        text_response(202, "")
    }

    fn apply_order(&self, body: &[u8]) -> ServerResponse {
        let Ok(order) = serde_json::from_slice::<EngineRoleOrder>(body) else {
            return text_response(400, "");
        };
        let mut state = self.lock();
        if self.setup.check_fence && order.fence < state.last_fence {
            return text_response(409, "old fencing number");
        }
        state.last_fence = order.fence;
        state.role = Some(order.role);
        text_response(200, "")
    }

    fn metrics(&self) -> ServerResponse {
        let state = self.lock();
        text_response(
            200,
            format!(
                "engine_sequences {}\nengine_waiting {}\nengine_steps_total {}\nengine_positions_total {}\n",
                state.sequences.len(),
                state.queue.len(),
                state.step_count,
                state.position_count
            ),
        )
    }

    async fn step_loop(self) {
        let mut step_end = Instant::now();
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                self.work_ready.notified().await;
                step_end = Instant::now();
                continue;
            }
            step_end += self.step_time(&batch);
            tokio::time::sleep_until(step_end).await;
            // The next step is timed from the scheduled end of this one, so that a late timer costs
            // no throughput; at most 5 ms are made up for.
            step_end = step_end.max(
                Instant::now()
                    .checked_sub(Duration::from_millis(5))
                    .unwrap_or(step_end),
            );
            self.run_batch(batch);
        }
    }

    fn next_batch(&self) -> Vec<EnginePass> {
        let mut state = self.lock();
        if state.faults.frozen {
            return Vec::new();
        }
        let count = state.queue.len().min(self.setup.max_batch);
        state.queue.drain(..count).collect()
    }

    fn step_time(&self, batch: &[EnginePass]) -> Duration {
        let mut state = self.lock();
        let prefill: u32 = batch
            .iter()
            .map(|pass| prefill_positions(&mut state, pass, self.setup.cache_blocks))
            .sum();
        let prefill_us = u64::from(prefill) * 1_000 / u64::from(self.setup.prefill_per_ms.max(1));
        let slowdown = state.faults.slow.max(1);
        Duration::from_micros((self.setup.step_us + prefill_us) * slowdown)
    }

    fn run_batch(&self, batch: Vec<EnginePass>) {
        let mut state = self.lock();
        state.step_count += 1;
        for pass in batch {
            if let Some(result) = run_pass(&self.setup, &mut state, &pass) {
                let line = serde_json::to_string(&result).unwrap_or_default();
                if state.kept_results.len() == MAX_KEPT_RESULTS {
                    state.kept_results.pop_front();
                    state.first_kept_number += 1;
                }
                state.kept_results.push_back(line.clone());
                if let Some(sender) = &state.result_sender {
                    let _ = sender.send(line);
                }
            }
        }
    }
}

/// Returns the prefill cost of a pass, in positions, for replayed inputs and uncached prompt
/// blocks.
///
/// Adds the blocks of the prompt to the cache.
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
        let prefix_hash = *prefix.finalize().as_bytes();
        if state.cached_blocks.insert(prefix_hash) {
            cost += BLOCK_PREFILL_POSITIONS;
            state.cache_order.push_back(prefix_hash);
            state.cache_event_count += 1;
            // Every eighth event is left out, so that the list has gaps.
            if state.cache_event_count % 8 != 0 {
                let event = blake3::Hash::from(prefix_hash).to_hex().to_string();
                state.cache_events.push_back(event);
            }
            if state.cache_events.len() > MAX_KEPT_EVENTS {
                state.cache_events.pop_front();
            }
        }
        if state.cache_order.len() > cache_blocks {
            if let Some(oldest) = state.cache_order.pop_front() {
                state.cached_blocks.remove(&oldest);
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
    let role = state.role.clone()?;
    let layer_count = role.end_layer.saturating_sub(role.first_layer) as usize;
    let sequence = state
        .sequences
        .entry(pass.sequence.clone())
        .or_insert_with(|| SequenceState {
            position: 0,
            states: vec![[0; 32]; layer_count],
        });
    if sequence.position != pass.position {
        return None;
    }
    let mut outputs = Vec::new();
    for input in &pass.inputs {
        let mut activation = decode(input);
        if contains_bytes(&activation, CRASH_TEXT.as_bytes()) {
            std::process::exit(86);
        }
        for (layer, layer_state) in (role.first_layer..role.end_layer).zip(&mut sequence.states) {
            activation = run_layer(&role.model, layer, layer_state, &activation).to_vec();
        }
        sequence.position += 1;
        let token = (role.end_layer == setup.layers).then(|| {
            let (id, text) = decode_token(&activation);
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
    state.position_count += u64::try_from(outputs.len()).unwrap_or(0);
    Some(EngineResult {
        sequence: pass.sequence.clone(),
        position: pass.position,
        outputs,
    })
}

fn contains_bytes(bytes: &[u8], pattern: &[u8]) -> bool {
    bytes.windows(pattern.len()).any(|window| window == pattern)
}
