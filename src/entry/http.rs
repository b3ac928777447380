//! HTTP interface for callers: OpenAI-compatible completions and plain services.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use crossbeam_channel::{Sender, TrySendError};
use futures_util::{stream, FutureExt, TryStreamExt};
use gotham::helpers::http::Body;
use gotham::router::builder::{build_simple_router, DefineSingleRoute, DrawRoutes};
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Method, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};

use crate::config::EntryConfig;
use crate::entry::operator::{operator_routes, OperatorApi};
use crate::entry::run::{EntryQuery, QueuedInput};
use crate::entry::state::EntryInput;
use crate::entry::{AnswerEvent, CallerRequest, CallerWork, ServiceRequest};
use crate::process::{common_routes, spawn_thread, ProcessContext};
use crate::verdict::{RefusalReason, RequestRefusal};
use crate::web::{
    build_response, json_response, problem_json, problem_response, serve, RouteHandler, WebRequest,
};
use crate::wire::RequestKey;

/// Maximum number of answer events queued for a slow caller.
const ANSWER_QUEUE_CAPACITY: usize = 1_024;
/// Time from admission to the deadline when the caller sets none, in milliseconds.
const DEFAULT_ALLOWED_MS: u64 = 60_000;
/// Longest time from admission to the deadline that a caller may set, in milliseconds.
const MAX_ALLOWED_MS: u64 = 600_000;
/// Maximum length of an identifier sent by a caller, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 128;
/// `Retry-After` of refusals because the input queue of the entry is full, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
const DEADLINE_HEADER: &str = "x-deadline-ms";
const REQUEST_ID_HEADER: &str = "x-request-id";
const SERVICE_PATH: &str = "/v1/services/";

/// Handle with which the HTTP threads send requests and queries to the state thread.
#[derive(Clone, Debug)]
pub struct EntryHandle {
    input_queue: Sender<QueuedInput>,
}

/// Receives the answer to one request. A request whose reader is dropped before the last event is
/// cancelled.
#[derive(Debug)]
struct AnswerReader {
    request_id: RequestKey,
    events: mpsc::Receiver<AnswerEvent>,
    input_queue: Sender<QueuedInput>,
    /// Whether the last event of the answer has been received.
    ended: bool,
}

impl AnswerReader {
    async fn next(&mut self) -> AnswerEvent {
        let event = self.events.recv().await.unwrap_or_else(|| {
            let detail = "the answer was not read fast enough";
            AnswerEvent::Refused(RequestRefusal::may_have_run(
                RefusalReason::SlowReader,
                detail,
            ))
        });
        self.ended = !matches!(event, AnswerEvent::Token { .. });
        event
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        if !self.ended {
            let disconnected = QueuedInput::Input(EntryInput::CallerDisconnected(self.request_id));
            // If the queue is full, the request runs on until its deadline.
            let _ = self.input_queue.try_send(disconnected);
        }
    }
}

impl EntryHandle {
    /// Creates a handle to the state thread that reads `input_queue`.
    pub fn new(input_queue: Sender<QueuedInput>) -> EntryHandle {
        EntryHandle { input_queue }
    }

    /// Queues a request, or refuses it if the queue is full.
    fn submit(&self, request: CallerRequest) -> Result<AnswerReader, RequestRefusal> {
        let (answer_sender, events) = mpsc::channel(ANSWER_QUEUE_CAPACITY);
        let request_id = request.request_id;
        match self
            .input_queue
            .try_send(QueuedInput::Caller(request, answer_sender))
        {
            Ok(()) => Ok(AnswerReader {
                request_id,
                events,
                input_queue: self.input_queue.clone(),
                ended: false,
            }),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                let detail = "this entry is full";
                let refusal = RequestRefusal::not_run(RefusalReason::Busy, detail);
                Err(refusal.retry_after(RETRY_AFTER_MS))
            }
        }
    }

    /// Sends a query to the state thread and returns its result; null if the queue is full or the
    /// thread has ended.
    pub async fn query(&self, query: EntryQuery) -> Value {
        let (sender, receiver) = oneshot::channel();
        if self
            .input_queue
            .try_send(QueuedInput::Query(query, sender))
            .is_err()
        {
            return Value::Null;
        }
        receiver.await.unwrap_or(Value::Null)
    }
}

/// Starts the HTTP threads.
///
/// # Errors
///
/// If a thread cannot be started.
pub fn start(
    config: &EntryConfig,
    context: &ProcessContext,
    input_queue: Sender<QueuedInput>,
) -> eyre::Result<()> {
    let entry = EntryHandle::new(input_queue);
    let operator_api = OperatorApi::new(config, context.events.clone(), entry.clone());
    let router = build_simple_router(|route| {
        common_routes(route, context);
        operator_routes(route, &operator_api);
        route
            .get("/readyz")
            .to_new_handler(ready_route(entry.clone()));
        let chat = completion_route(entry.clone(), CompletionShape::Chat);
        route.post("/v1/chat/completions").to_new_handler(chat);
        let text = completion_route(entry.clone(), CompletionShape::Text);
        route.post("/v1/completions").to_new_handler(text);
        let methods = vec![Method::GET, Method::POST, Method::PUT, Method::DELETE];
        let service =
            RouteHandler::new(move |request| run_operation(entry.clone(), request).boxed());
        route
            .request(methods, "/v1/services/*")
            .to_new_handler(service);
    });
    let address = config.http_address;
    let runtime = Builder::new_multi_thread()
        .worker_threads(config.http_threads)
        .thread_name("http")
        .enable_all()
        .build()?;
    spawn_thread("http", move || {
        if let Err(error) = runtime.block_on(serve(address, router)) {
            spdlog::critical!("event=http_failed error=\"{error}\"");
            std::process::exit(1);
        }
    })
}

fn ready_route(entry: EntryHandle) -> RouteHandler {
    RouteHandler::new(move |_| {
        let entry = entry.clone();
        async move {
            let ready = entry.query(EntryQuery::Ready).await;
            let status = if ready["ready"] == true { 200 } else { 503 };
            json_response(status, &ready)
        }
        .boxed()
    })
}

/// Format of a completion, chosen by the path of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CompletionShape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

fn completion_route(entry: EntryHandle, shape: CompletionShape) -> RouteHandler {
    RouteHandler::new(move |request| handle_completion(entry.clone(), request, shape).boxed())
}

async fn handle_completion(
    entry: EntryHandle,
    request: WebRequest,
    shape: CompletionShape,
) -> Response<Body> {
    let request_id = RequestKey(rand::random());
    let response = match parse_completion(&request, shape) {
        Ok(parsed) => run_completion(entry, &request, request_id, parsed, shape).await,
        Err(refusal) => problem_response(&refusal),
    };
    with_request_id(response, request_id)
}

fn parse_completion(
    request: &WebRequest,
    shape: CompletionShape,
) -> Result<CompletionRequest, RequestRefusal> {
    let parsed: CompletionRequest = serde_json::from_slice(&request.body).map_err(|error| {
        let detail = format!("the body is no completion request: {error}");
        RequestRefusal::not_run(RefusalReason::BadRequest, detail)
    })?;
    let empty = match shape {
        CompletionShape::Chat => parsed.messages.is_empty(),
        CompletionShape::Text => parsed.prompt.is_empty(),
    };
    if empty {
        let detail = match shape {
            CompletionShape::Chat => "messages: expected at least one",
            CompletionShape::Text => "prompt: expected a text",
        };
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    Ok(parsed)
}

async fn run_completion(
    entry: EntryHandle,
    request: &WebRequest,
    request_id: RequestKey,
    parsed: CompletionRequest,
    shape: CompletionShape,
) -> Response<Body> {
    let prompt = match shape {
        CompletionShape::Chat => chat_prompt(&parsed.messages),
        CompletionShape::Text => parsed.prompt,
    };
    let work = CallerWork::Generate {
        prompt,
        max_tokens: parsed.max_tokens,
    };
    let model = parsed.model;
    let caller = match caller_request(request, request_id, model.clone(), work) {
        Ok(caller) => caller,
        Err(refusal) => return problem_response(&refusal),
    };
    let mut reader = match entry.submit(caller) {
        Ok(reader) => reader,
        Err(refusal) => return problem_response(&refusal),
    };
    // The HTTP status depends on the first event.
    let first = reader.next().await;
    if let AnswerEvent::Refused(refusal) = &first {
        return problem_response(refusal);
    }
    let encoder = CompletionEncoder {
        request_id,
        model,
        shape,
    };
    if parsed.stream {
        stream_answer(encoder, first, reader)
    } else {
        collect_answer(&encoder, first, reader).await
    }
}

fn chat_prompt(messages: &[ChatMessage]) -> String {
    let lines = messages
        .iter()
        .map(|message| format!("{}: {}\n", message.role, message.content));
    lines.collect()
}

fn caller_request(
    request: &WebRequest,
    request_id: RequestKey,
    profile: String,
    work: CallerWork,
) -> Result<CallerRequest, RequestRefusal> {
    Ok(CallerRequest {
        request_id,
        token: request.bearer_token().to_owned(),
        profile,
        allowed_ms: allowed_ms(request)?,
        caller_id: identifier_header(request, REQUEST_ID_HEADER)?,
        trace: identifier_header(request, "traceparent")?,
        work,
    })
}

fn allowed_ms(request: &WebRequest) -> Result<u64, RequestRefusal> {
    let text = request.header(DEADLINE_HEADER);
    if text.is_empty() {
        return Ok(DEFAULT_ALLOWED_MS);
    }
    match text.parse() {
        Ok(millis) if (1..=MAX_ALLOWED_MS).contains(&millis) => Ok(millis),
        _ => {
            let detail = format!(
                "{DEADLINE_HEADER}: \"{text}\" is not a number of milliseconds from 1 to {MAX_ALLOWED_MS}"
            );
            Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail))
        }
    }
}

/// Reads an identifier from a header. Refuses one that is too long or contains anything but
/// visible ASCII characters, so that it is safe to log.
fn identifier_header(request: &WebRequest, header: &str) -> Result<String, RequestRefusal> {
    let text = request.header(header);
    let valid = text.len() <= MAX_IDENTIFIER_BYTES && text.bytes().all(|b| b.is_ascii_graphic());
    if !valid {
        let detail =
            format!("{header}: expected at most {MAX_IDENTIFIER_BYTES} visible characters");
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    Ok(text.to_owned())
}

fn with_request_id(mut response: Response<Body>, request_id: RequestKey) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&request_id.to_string()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Encodes one completion as JSON, whole or in chunks.
#[derive(Clone, Debug)]
struct CompletionEncoder {
    request_id: RequestKey,
    model: String,
    shape: CompletionShape,
}

impl CompletionEncoder {
    fn chunk(&self, text: Option<&str>, finish: Option<&str>) -> Value {
        let (object, choice) = match self.shape {
            CompletionShape::Chat => {
                let delta = text.map_or(json!({}), |text| json!({"content": text}));
                (
                    "chat.completion.chunk",
                    json!({"index": 0, "delta": delta, "finish_reason": finish}),
                )
            }
            CompletionShape::Text => {
                let text = text.unwrap_or("");
                (
                    "text_completion",
                    json!({"index": 0, "text": text, "finish_reason": finish}),
                )
            }
        };
        json!({"id": self.request_id.to_string(), "object": object, "model": self.model, "choices": [choice]})
    }

    fn complete(&self, text: &str, finish: &str, tokens: u32) -> Value {
        let (object, choice) = match self.shape {
            CompletionShape::Chat => {
                let message = json!({"role": "assistant", "content": text});
                (
                    "chat.completion",
                    json!({"index": 0, "message": message, "finish_reason": finish}),
                )
            }
            CompletionShape::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        json!({
            "id": self.request_id.to_string(), "object": object, "model": self.model,
            "choices": [choice], "usage": {"completion_tokens": tokens},
        })
    }
}

fn finish_reason(limited: bool) -> &'static str {
    if limited {
        "length"
    } else {
        "stop"
    }
}

/// Waits for the end of an answer and returns the whole answer as one JSON document.
async fn collect_answer(
    encoder: &CompletionEncoder,
    first: AnswerEvent,
    mut reader: AnswerReader,
) -> Response<Body> {
    let mut text = String::new();
    let mut event = first;
    loop {
        match event {
            AnswerEvent::Token { text: token_text } => text.push_str(&token_text),
            AnswerEvent::Done {
                token_count,
                limited,
            } => {
                let complete = encoder.complete(&text, finish_reason(limited), token_count);
                return json_response(200, &complete);
            }
            AnswerEvent::Refused(refusal) => return problem_response(&refusal),
            AnswerEvent::Response(_) => unreachable!("completion answered with a service response"),
        }
        event = reader.next().await;
    }
}

/// Streams an answer as server-sent events. Only a complete answer ends with `[DONE]`; a failed one
/// ends with an `error` event.
fn stream_answer(
    encoder: CompletionEncoder,
    first: AnswerEvent,
    reader: AnswerReader,
) -> Response<Body> {
    let state = (encoder, Some(first), reader);
    let events = stream::unfold(state, |(encoder, first, mut reader)| async move {
        let event = match first {
            Some(event) => event,
            None if reader.ended => return None,
            None => reader.next().await,
        };
        let text = sse_text(&encoder, &event);
        Some((Ok::<_, Infallible>(text), (encoder, None, reader)))
    });
    let frames = events.map_ok(|text| Frame::data(Bytes::from(text)));
    let body = BodyExt::map_err(StreamBody::new(frames), |never| -> io::Error {
        match never {}
    });
    let mut response = Response::new(Body::new(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn sse_text(encoder: &CompletionEncoder, event: &AnswerEvent) -> String {
    match event {
        AnswerEvent::Token { text } => format!("data: {}\n\n", encoder.chunk(Some(text), None)),
        AnswerEvent::Done { limited, .. } => {
            let last = encoder.chunk(None, Some(finish_reason(*limited)));
            format!("data: {last}\n\ndata: [DONE]\n\n")
        }
        AnswerEvent::Refused(refusal) => {
            format!(
                "event: error\ndata: {}\n\n",
                json!({"error": problem_json(refusal)})
            )
        }
        AnswerEvent::Response(_) => unreachable!("completion answered with a service response"),
    }
}

async fn run_operation(entry: EntryHandle, request: WebRequest) -> Response<Body> {
    let request_id = RequestKey(rand::random());
    let response = match submit_operation(&entry, &request, request_id) {
        Ok(mut reader) => match reader.next().await {
            AnswerEvent::Response(service_response) => {
                let mut response = build_response(
                    service_response.status,
                    &service_response.content_type,
                    service_response.body,
                );
                if service_response.replayed {
                    let replayed = HeaderValue::from_static("true");
                    response
                        .headers_mut()
                        .insert("idempotent-replayed", replayed);
                }
                response
            }
            AnswerEvent::Refused(refusal) => problem_response(&refusal),
            AnswerEvent::Token { .. } | AnswerEvent::Done { .. } => {
                unreachable!("operation answered with tokens")
            }
        },
        Err(refusal) => problem_response(&refusal),
    };
    with_request_id(response, request_id)
}

fn submit_operation(
    entry: &EntryHandle,
    request: &WebRequest,
    request_id: RequestKey,
) -> Result<AnswerReader, RequestRefusal> {
    let path = request.uri.path().strip_prefix(SERVICE_PATH).unwrap_or("");
    let (profile, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = request
        .uri
        .query()
        .map_or(String::new(), |query| format!("?{query}"));
    let work = CallerWork::Operation(ServiceRequest {
        idempotency_key: identifier_header(request, "idempotency-key")?,
        method: request.method.to_string(),
        path: format!("/{rest}{query}"),
        content_type: request.header("content-type").to_owned(),
        body: request.body.to_vec(),
    });
    entry.submit(caller_request(
        request,
        request_id,
        profile.to_owned(),
        work,
    )?)
}
