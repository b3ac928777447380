//! The edge to the upstream: a model engine or a plain service, over HTTP.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam_channel::Sender;
use eyre::WrapErr;
use http::header::CONTENT_TYPE;
use http::Request;
use http_body_util::{BodyExt, Full};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::Receiver;

use crate::agent::state::AgentInput;
use crate::agent::{
    EngineEvent, EngineOrder, EngineOutput, EngineToken, SequenceKey, ServiceDispatch,
    ServiceOutcome,
};
use crate::fetch::{self, HttpClient};
use crate::store::etcd::{decode, encode};
use crate::wire::gen::ModelRole;
use crate::wire::RequestKey;

/// Pause before an engine that does not answer is tried again, milliseconds.
const RECONNECT_MS: u64 = 100;
/// Time that an engine has to say whether a broken stream can be resumed, milliseconds.
const RESUME_MS: u64 = 500;

/// What an engine says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineInfo {
    /// The model.
    pub model: String,
    /// First layer held.
    pub first_layer: u32,
    /// One past the last layer held.
    pub end_layer: u32,
    /// Kind of accelerator.
    pub accelerator: String,
}

/// Passes and cancellations for an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineBatch {
    /// Passes to run.
    #[serde(default)]
    pub passes: Vec<EnginePass>,
    /// Sequences to free.
    #[serde(default)]
    pub cancel: Vec<String>,
}

/// Consecutive positions of one sequence.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EnginePass {
    /// The sequence.
    pub sequence: String,
    /// First position.
    pub position: u32,
    /// Input of each position, in base64.
    pub inputs: Vec<String>,
}

/// The engine's outputs for a pass.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineResult {
    /// The sequence.
    pub sequence: String,
    /// First position.
    pub position: u32,
    /// Output of each position.
    pub outputs: Vec<EngineResultOutput>,
}

/// The engine's output for one position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineResultOutput {
    /// Output of the layers held, in base64.
    pub activation: String,
    /// The token, from the last layer.
    #[serde(default)]
    pub token: Option<EngineResultToken>,
}

/// A token as an engine gives it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineResultToken {
    /// Its number.
    pub id: u32,
    /// Its text.
    pub text: String,
    /// Whether the model ends here.
    pub stop: bool,
}

/// Asks an engine what it holds, until it answers.
pub async fn engine_role(client: &HttpClient, address: &str) -> ModelRole {
    loop {
        if let Ok((200, body)) = fetch::get(client, &format!("http://{address}/v1/engine")).await {
            if let Ok(info) = serde_json::from_slice::<EngineInfo>(&body) {
                return ModelRole {
                    model: info.model,
                    first_layer: info.first_layer,
                    end_layer: info.end_layer,
                    accelerator: info.accelerator,
                };
            }
        }
        tokio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
    }
}

type SentTimes = Arc<Mutex<HashMap<(String, u32), Instant>>>;

/// Carries orders to an engine and its results back, for as long as the process runs.
pub async fn engine_loop(
    address: String,
    mut orders: Receiver<EngineOrder>,
    ring: Sender<AgentInput>,
) {
    let client = fetch::client();
    let times = SentTimes::default();
    tokio::spawn(result_loop(
        client.clone(),
        address.clone(),
        ring,
        times.clone(),
    ));
    let url = format!("http://{address}/v1/passes");
    let mut waiting = Vec::new();
    while orders.recv_many(&mut waiting, 256).await > 0 {
        let batch = engine_batch(waiting.drain(..), &times);
        // A failure shows as the end of the result stream too.
        if let Err(error) = fetch::post_json(&client, &url, &batch).await {
            spdlog::warn!("event=engine_order_failed error=\"{error}\"");
        }
    }
}

fn engine_batch(orders: impl Iterator<Item = EngineOrder>, times: &SentTimes) -> EngineBatch {
    let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
    let mut batch = EngineBatch::default();
    for order in orders {
        match order {
            EngineOrder::Pass {
                sequence,
                position,
                inputs,
            } => {
                let sequence = sequence_name(sequence);
                times.insert((sequence.clone(), position), Instant::now());
                batch.passes.push(EnginePass {
                    sequence,
                    position,
                    inputs: inputs.iter().map(encode).collect(),
                });
            }
            EngineOrder::Cancel { sequence } => {
                let sequence = sequence_name(sequence);
                times.retain(|(name, _), _| *name != sequence);
                batch.cancel.push(sequence);
            }
        }
    }
    batch
}

async fn result_loop(
    client: HttpClient,
    address: String,
    ring: Sender<AgentInput>,
    times: SentTimes,
) {
    let mut place = ResultPlace::default();
    let mut up = false;
    loop {
        match read_results(&client, &address, &ring, &times, &mut place, &mut up).await {
            Ok(()) => spdlog::warn!("event=engine_stream_ended"),
            Err(error) => spdlog::debug!("event=engine_unreachable error=\"{error}\""),
        }
        // A stream that broke is resumed if the engine still has what was missed.
        if up && !resumable(&client, &address, &place).await {
            up = false;
            place = ResultPlace::default();
            times.lock().unwrap_or_else(PoisonError::into_inner).clear();
            if ring.send(AgentInput::Engine(EngineEvent::Lost)).is_err() {
                return;
            }
        }
        if !up {
            tokio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
        }
    }
}

/// How far the results of one start of an engine have been read.
#[derive(Clone, Debug, Default)]
struct ResultPlace {
    engine_start: String,
    read: u64,
}

/// What an engine says of its result stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineStream {
    /// Chosen by the engine at its start.
    pub engine_start: String,
    /// Number of the oldest result that it still has.
    pub oldest: u64,
}

async fn resumable(client: &HttpClient, address: &str, place: &ResultPlace) -> bool {
    let url = format!("http://{address}/v1/stream");
    let answer = tokio::time::timeout(Duration::from_millis(RESUME_MS), fetch::get(client, &url));
    let Ok(Ok((200, body))) = answer.await else {
        return false;
    };
    let stream: EngineStream = serde_json::from_slice(&body).unwrap_or_default();
    stream.engine_start == place.engine_start && stream.oldest <= place.read
}

async fn read_results(
    client: &HttpClient,
    address: &str,
    ring: &Sender<AgentInput>,
    times: &SentTimes,
    place: &mut ResultPlace,
    up: &mut bool,
) -> eyre::Result<()> {
    let after = match *up {
        true => format!("?after={}", place.read),
        false => String::new(),
    };
    let url = format!("http://{address}/v1/results{after}");
    let request = Request::get(url).body(Full::default())?;
    let response = client.request(request).await?;
    if !*up {
        let start = response.headers().get("engine-start");
        let start = start.and_then(|start| start.to_str().ok()).unwrap_or("");
        place.engine_start = start.to_owned();
        *up = true;
        ring.send(AgentInput::Engine(EngineEvent::Up))?;
    }
    forward_results(&mut response.into_body(), ring, times, place).await
}

async fn forward_results(
    body: &mut hyper::body::Incoming,
    ring: &Sender<AgentInput>,
    times: &SentTimes,
    place: &mut ResultPlace,
) -> eyre::Result<()> {
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let result: EngineResult =
                serde_json::from_slice(&line).wrap_err("could not read an engine's result")?;
            place.read += 1;
            if let Some(event) = engine_event(result, times) {
                ring.send(AgentInput::Engine(event))?;
            }
        }
    }
    Ok(())
}

fn engine_event(result: EngineResult, times: &SentTimes) -> Option<EngineEvent> {
    let sequence = parse_sequence(&result.sequence)?;
    let sent = times
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&(result.sequence, result.position));
    let micros = sent.map_or(0, |sent| sent.elapsed().as_micros());
    let outputs = result.outputs.into_iter().map(|output| EngineOutput {
        activation: decode(&output.activation),
        token: output.token.map(|token| EngineToken {
            id: token.id,
            text: token.text,
            stop: token.stop,
        }),
    });
    Some(EngineEvent::Done {
        sequence,
        position: result.position,
        outputs: outputs.collect(),
        micros: u32::try_from(micros).unwrap_or(u32::MAX),
    })
}

fn sequence_name(sequence: SequenceKey) -> String {
    format!("{}-{}", sequence.request, sequence.opening)
}

fn parse_sequence(name: &str) -> Option<SequenceKey> {
    let (request, opening) = name.split_once('-')?;
    Some(SequenceKey {
        request: RequestKey(u128::from_str_radix(request, 16).ok()?),
        opening: opening.parse().ok()?,
    })
}

/// Carries dispatches to a service and their outcomes back, for as long as the process runs.
pub async fn service_loop(
    address: String,
    mut dispatches: Receiver<ServiceDispatch>,
    ring: Sender<AgentInput>,
) {
    let client = fetch::unpooled_client();
    while let Some(dispatch) = dispatches.recv().await {
        let client = client.clone();
        let address = address.clone();
        let ring = ring.clone();
        tokio::spawn(async move {
            let id = dispatch.dispatch;
            let outcome = service_outcome(&client, &address, dispatch).await;
            let _ = ring.send(AgentInput::Service(id, outcome));
        });
    }
}

async fn service_outcome(
    client: &HttpClient,
    address: &str,
    dispatch: ServiceDispatch,
) -> ServiceOutcome {
    let allowed = Duration::from_millis(dispatch.allowed_ms);
    let mut request = Request::builder()
        .method(dispatch.method.as_str())
        .uri(format!("http://{address}{}", dispatch.path))
        .header(CONTENT_TYPE, dispatch.content_type);
    if !dispatch.trace.is_empty() {
        request = request.header("traceparent", dispatch.trace);
    }
    let request = request.body(Full::new(Bytes::from(dispatch.body)));
    let Ok(request) = request else {
        return ServiceOutcome::NotSent;
    };
    let exchange = async {
        let response = match client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return ServiceOutcome::NotSent,
            Err(_) => return ServiceOutcome::Unknown,
        };
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        match response.into_body().collect().await {
            Ok(body) => ServiceOutcome::Answered {
                status,
                content_type,
                body: body.to_bytes().to_vec(),
            },
            Err(_) => ServiceOutcome::Unknown,
        }
    };
    tokio::time::timeout(allowed, exchange)
        .await
        .unwrap_or(ServiceOutcome::Unknown)
}
