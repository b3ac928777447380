//! HTTP clients for the agent's upstream: a model engine or a plain service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam_channel::Sender;
use eyre::WrapErr;
use http::header::CONTENT_TYPE;
use http::Request;
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::Receiver;

use crate::agent::state::AgentInput;
use crate::agent::{
    EngineCommand, EngineEvent, EngineToken, PositionOutput, SequenceKey, ServiceDispatch,
    ServiceOutcome,
};
use crate::fetch::{self, HttpClient, LineReader};
use crate::store::etcd::{decode, encode};
use crate::wire::gen::ModelRole;
use crate::wire::RequestKey;

/// Delay between two connection attempts to an engine that does not respond, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 100;
/// Time limit for an engine to report whether a broken result stream can be resumed, in
/// milliseconds.
const RESUME_TIMEOUT_MS: u64 = 500;

/// Response to `GET /v1/engine`: the engine's model, layer range and accelerator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineInfo {
    /// Name of the model.
    pub model: String,
    /// First layer held.
    pub first_layer: u32,
    /// One past the last layer held.
    pub end_layer: u32,
    /// Kind of accelerator, for example `a100`.
    pub accelerator: String,
}

/// Body of `POST /v1/passes`: passes and cancellations for an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineBatch {
    /// Passes to run.
    #[serde(default)]
    pub passes: Vec<EnginePass>,
    /// Names of the sequences to free.
    #[serde(default)]
    pub cancel: Vec<String>,
}

/// Inputs for consecutive positions of one sequence.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EnginePass {
    /// Name of the sequence.
    pub sequence: String,
    /// First position.
    pub position: u32,
    /// Input of each position, starting at `position`, in base64.
    pub inputs: Vec<String>,
}

/// One line of `GET /v1/results`: the outputs of a pass.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineResult {
    /// Name of the sequence.
    pub sequence: String,
    /// First position.
    pub position: u32,
    /// Output of each position, starting at `position`.
    pub outputs: Vec<EngineResultOutput>,
}

/// The output of an engine for one position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineResultOutput {
    /// Output of the engine's last layer, in base64.
    pub activation: String,
    /// The generated token. `None` unless the engine holds the model's last layer.
    #[serde(default)]
    pub token: Option<EngineResultToken>,
}

/// A generated token in an engine's result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineResultToken {
    /// Token id in the model's vocabulary.
    pub id: u32,
    /// Decoded text of the token.
    pub text: String,
    /// Whether the model ends its output with this token.
    pub stop: bool,
}

/// Reads the model, layer range and accelerator of the engine at `address`. Retries until the
/// engine responds.
pub async fn fetch_engine_role(client: &HttpClient, address: &str) -> ModelRole {
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
        tokio::time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
    }
}

/// Time at which each pass in flight was sent, by sequence name and first position.
type SentTimes = Arc<Mutex<HashMap<(String, u32), Instant>>>;

/// Sends commands to an engine until the command channel is closed, and starts a task that sends
/// the engine's results to the agent.
pub async fn engine_loop(
    address: String,
    mut commands: Receiver<EngineCommand>,
    input_sender: Sender<AgentInput>,
) {
    let client = fetch::client();
    let sent_times = SentTimes::default();
    tokio::spawn(result_loop(
        client.clone(),
        address.clone(),
        input_sender,
        sent_times.clone(),
    ));
    let url = format!("http://{address}/v1/passes");
    let mut queued = Vec::new();
    while commands.recv_many(&mut queued, 256).await > 0 {
        let batch = engine_batch(queued.drain(..), &sent_times);
        // The loss of an engine is reported by `result_loop`, whose stream ends as well. The status
        // of this response is not checked.
        if let Err(error) = fetch::post_json(&client, &url, &batch).await {
            spdlog::warn!("event=engine_batch_failed address={address} error=\"{error}\"");
        }
    }
}

fn engine_batch(
    commands: impl Iterator<Item = EngineCommand>,
    sent_times: &SentTimes,
) -> EngineBatch {
    let mut sent_times = sent_times.lock().unwrap_or_else(PoisonError::into_inner);
    let mut batch = EngineBatch::default();
    for command in commands {
        match command {
            EngineCommand::Pass {
                sequence,
                position,
                inputs,
            } => {
                let sequence = sequence_name(sequence);
                sent_times.insert((sequence.clone(), position), Instant::now());
                batch.passes.push(EnginePass {
                    sequence,
                    position,
                    inputs: inputs.iter().map(encode).collect(),
                });
            }
            EngineCommand::Cancel { sequence } => {
                let sequence = sequence_name(sequence);
                sent_times.retain(|(name, _), _| *name != sequence);
                batch.cancel.push(sequence);
            }
        }
    }
    batch
}

async fn result_loop(
    client: HttpClient,
    address: String,
    input_sender: Sender<AgentInput>,
    sent_times: SentTimes,
) {
    let mut cursor = ResultCursor::default();
    let mut up = false;
    loop {
        match read_results(
            &client,
            &address,
            &input_sender,
            &sent_times,
            &mut cursor,
            &mut up,
        )
        .await
        {
            Ok(()) => spdlog::warn!("event=engine_stream_ended address={address}"),
            Err(error) => {
                spdlog::debug!("event=engine_stream_failed address={address} error=\"{error}\"")
            }
        }
        // A broken stream is resumed if the engine still has the results that were missed.
        if up && !can_resume(&client, &address, &cursor).await {
            up = false;
            cursor = ResultCursor::default();
            sent_times
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clear();
            if input_sender
                .send(AgentInput::Engine(EngineEvent::Lost))
                .is_err()
            {
                return;
            }
        }
        if !up {
            tokio::time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
        }
    }
}

/// Position in an engine's result stream.
#[derive(Clone, Debug, Default)]
struct ResultCursor {
    /// Identity of the start of the engine, from the `engine-start` header of the stream.
    engine_start: String,
    /// Number of results read since the stream was opened without `after`. Opening it so resets the
    /// engine's sequences and results.
    results_read: u64,
}

/// Response to `GET /v1/stream`: the state of an engine's result stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineStream {
    /// Identity of this start of the engine, chosen by the engine.
    pub engine_start: String,
    /// Number of the oldest result that the engine still has, counted from 0 since its result
    /// stream was last opened without `after`.
    pub oldest: u64,
}

async fn can_resume(client: &HttpClient, address: &str, cursor: &ResultCursor) -> bool {
    let url = format!("http://{address}/v1/stream");
    let response = tokio::time::timeout(
        Duration::from_millis(RESUME_TIMEOUT_MS),
        fetch::get(client, &url),
    );
    let Ok(Ok((200, body))) = response.await else {
        return false;
    };
    let stream: EngineStream = serde_json::from_slice(&body).unwrap_or_default();
    stream.engine_start == cursor.engine_start && stream.oldest <= cursor.results_read
}

async fn read_results(
    client: &HttpClient,
    address: &str,
    input_sender: &Sender<AgentInput>,
    sent_times: &SentTimes,
    cursor: &mut ResultCursor,
    up: &mut bool,
) -> eyre::Result<()> {
    let after = match *up {
        true => format!("?after={}", cursor.results_read),
        false => String::new(),
    };
    let url = format!("http://{address}/v1/results{after}");
    let request = Request::get(url).body(Full::default())?;
    let response = client.request(request).await?;
    if !*up {
        let engine_start = response.headers().get("engine-start");
        let engine_start = engine_start
            .and_then(|value| value.to_str().ok())
            .unwrap_or("");
        cursor.engine_start = engine_start.to_owned();
        *up = true;
        input_sender.send(AgentInput::Engine(EngineEvent::Up))?;
    }
    forward_results(response.into_body(), input_sender, sent_times, cursor).await
}

async fn forward_results(
    body: hyper::body::Incoming,
    input_sender: &Sender<AgentInput>,
    sent_times: &SentTimes,
    cursor: &mut ResultCursor,
) -> eyre::Result<()> {
    let mut lines = LineReader::new(body);
    while let Some(line) = lines.next_line().await? {
        let result: EngineResult = serde_json::from_slice(&line)
            .wrap_err("could not decode a line of the engine's result stream")?;
        cursor.results_read += 1;
        if let Some(event) = engine_event(result, sent_times) {
            input_sender.send(AgentInput::Engine(event))?;
        }
    }
    Ok(())
}

fn engine_event(result: EngineResult, sent_times: &SentTimes) -> Option<EngineEvent> {
    let sequence = parse_sequence(&result.sequence)?;
    let sent = sent_times
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&(result.sequence, result.position));
    let elapsed_micros = sent.map_or(0, |sent| sent.elapsed().as_micros());
    let outputs = result.outputs.into_iter().map(|output| PositionOutput {
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
        elapsed_micros: u32::try_from(elapsed_micros).unwrap_or(u32::MAX),
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

/// Sends operations to a service and their outcomes to the agent, until the dispatch channel is
/// closed.
pub async fn service_loop(
    address: String,
    mut dispatches: Receiver<ServiceDispatch>,
    input_sender: Sender<AgentInput>,
) {
    let client = fetch::unpooled_client();
    while let Some(dispatch) = dispatches.recv().await {
        let client = client.clone();
        let address = address.clone();
        let input_sender = input_sender.clone();
        tokio::spawn(async move {
            let id = dispatch.dispatch;
            let outcome = service_outcome(&client, &address, dispatch).await;
            let _ = input_sender.send(AgentInput::Service(id, outcome));
        });
    }
}

async fn service_outcome(
    client: &HttpClient,
    address: &str,
    dispatch: ServiceDispatch,
) -> ServiceOutcome {
    let remaining = Duration::from_millis(dispatch.remaining_ms);
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
        match fetch::read_whole(response, fetch::MAX_BODY_BYTES).await {
            Ok(response) => ServiceOutcome::Answered {
                status,
                content_type,
                body: response.into_body().to_vec(),
            },
            Err(error) => {
                spdlog::warn!("event=service_answer_failed address={address} error=\"{error:#}\"");
                ServiceOutcome::Unknown
            }
        }
    };
    tokio::time::timeout(remaining, exchange)
        .await
        .unwrap_or(ServiceOutcome::Unknown)
}
