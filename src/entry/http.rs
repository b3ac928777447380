//! Callers' HTTP: the OpenAI-compatible completions, plain services, and the answers to both.

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
use crate::entry::operator::{operator_routes, OperatorDesk};
use crate::entry::run::{EntryEvent, EntryQuestion};
use crate::entry::state::EntryInput;
use crate::entry::{AnswerEvent, CallerRequest, CallerWork, ServiceRequest};
use crate::process::{common_routes, spawn, ProcessParts};
use crate::verdict::{RefusalReason, RequestRefusal};
use crate::web::{answer, answer_json, problem, problem_json, serve, WebRequest, WebRoute};
use crate::wire::RequestKey;

/// Pieces of an answer that may wait for a slow caller.
const ANSWER_EVENTS: usize = 1_024;
/// Time allowed when the caller names none, milliseconds.
const DEFAULT_ALLOWED_MS: u64 = 60_000;
/// Most time allowed, milliseconds.
const MOST_ALLOWED_MS: u64 = 600_000;
/// Longest identity that a caller may give, bytes.
const IDENTITY_LIMIT: usize = 128;
/// When to come back if the entry's ring is full, milliseconds.
const RING_RETRY_MS: u64 = 1_000;
const DEADLINE_HEADER: &str = "x-deadline-ms";
const REQUEST_ID_HEADER: &str = "x-request-id";
const SERVICE_PATH: &str = "/v1/services/";

/// Hands callers' requests to the deciding thread.
#[derive(Clone, Debug)]
pub struct CallerDesk {
    ring: Sender<EntryEvent>,
}

/// One request under way. Dropping it before its end tells the entry that the caller is gone.
#[derive(Debug)]
struct AnswerReader {
    key: RequestKey,
    events: mpsc::Receiver<AnswerEvent>,
    ring: Sender<EntryEvent>,
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
            let gone = EntryEvent::Input(EntryInput::CallerGone(self.key));
            // A full ring leaves the request to its deadline.
            let _ = self.ring.try_send(gone);
        }
    }
}

impl CallerDesk {
    /// A desk before a deciding thread.
    pub fn new(ring: Sender<EntryEvent>) -> CallerDesk {
        CallerDesk { ring }
    }

    fn submit(&self, request: CallerRequest) -> Result<AnswerReader, RequestRefusal> {
        let (answers, events) = mpsc::channel(ANSWER_EVENTS);
        let key = request.key;
        match self.ring.try_send(EntryEvent::Caller(request, answers)) {
            Ok(()) => Ok(AnswerReader {
                key,
                events,
                ring: self.ring.clone(),
                ended: false,
            }),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                let detail = "this entry is full";
                let refusal = RequestRefusal::not_run(RefusalReason::Busy, detail);
                Err(refusal.retry_after(RING_RETRY_MS))
            }
        }
    }

    /// Asks the deciding thread a question.
    pub async fn ask(&self, question: EntryQuestion) -> Value {
        let (answer, answered) = oneshot::channel();
        if self
            .ring
            .try_send(EntryEvent::Ask(question, answer))
            .is_err()
        {
            return Value::Null;
        }
        answered.await.unwrap_or(Value::Null)
    }
}

/// Starts the HTTP threads.
///
/// # Errors
///
/// When a thread cannot be started.
pub fn start(
    config: &EntryConfig,
    parts: &ProcessParts,
    ring: Sender<EntryEvent>,
) -> eyre::Result<()> {
    let desk = CallerDesk::new(ring);
    let operators = OperatorDesk::new(config, parts.events.clone(), desk.clone());
    let router = build_simple_router(|route| {
        common_routes(route, parts);
        operator_routes(route, &operators);
        route
            .get("/readyz")
            .to_new_handler(ready_route(desk.clone()));
        let chat = completion_route(desk.clone(), CompletionShape::Chat);
        route.post("/v1/chat/completions").to_new_handler(chat);
        let text = completion_route(desk.clone(), CompletionShape::Text);
        route.post("/v1/completions").to_new_handler(text);
        let methods = vec![Method::GET, Method::POST, Method::PUT, Method::DELETE];
        let service = WebRoute::new(move |request| service_call(desk.clone(), request).boxed());
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
    spawn("http", move || {
        if let Err(error) = runtime.block_on(serve(address, router)) {
            spdlog::critical!("event=http_failed error=\"{error}\"");
            std::process::exit(1);
        }
    })
}

fn ready_route(desk: CallerDesk) -> WebRoute {
    WebRoute::new(move |_| {
        let desk = desk.clone();
        async move {
            let ready = desk.ask(EntryQuestion::Ready).await;
            let status = if ready["ready"] == true { 200 } else { 503 };
            answer_json(status, &ready)
        }
        .boxed()
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CompletionShape {
    Chat,
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

fn completion_route(desk: CallerDesk, shape: CompletionShape) -> WebRoute {
    WebRoute::new(move |request| complete(desk.clone(), request, shape).boxed())
}

async fn complete(desk: CallerDesk, request: WebRequest, shape: CompletionShape) -> Response<Body> {
    let key = RequestKey(rand::random());
    let response = match parse_completion(&request, shape) {
        Ok(parsed) => run_completion(desk, &request, key, parsed, shape).await,
        Err(refusal) => problem(&refusal),
    };
    with_identity(response, key)
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
    desk: CallerDesk,
    request: &WebRequest,
    key: RequestKey,
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
    let caller = match caller_request(request, key, model.clone(), work) {
        Ok(caller) => caller,
        Err(refusal) => return problem(&refusal),
    };
    let mut reader = match desk.submit(caller) {
        Ok(reader) => reader,
        Err(refusal) => return problem(&refusal),
    };
    // The status is not known before the first piece.
    let first = reader.next().await;
    if let AnswerEvent::Refused(refusal) = &first {
        return problem(refusal);
    }
    let form = CompletionForm { key, model, shape };
    if parsed.stream {
        stream_answer(form, first, reader)
    } else {
        whole_answer(&form, first, reader).await
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
    key: RequestKey,
    profile: String,
    work: CallerWork,
) -> Result<CallerRequest, RequestRefusal> {
    Ok(CallerRequest {
        key,
        token: request.bearer().to_owned(),
        profile,
        allowed_ms: allowed_ms(request)?,
        caller_id: identity(request, REQUEST_ID_HEADER)?,
        trace: identity(request, "traceparent")?,
        work,
    })
}

fn allowed_ms(request: &WebRequest) -> Result<u64, RequestRefusal> {
    let text = request.header(DEADLINE_HEADER);
    if text.is_empty() {
        return Ok(DEFAULT_ALLOWED_MS);
    }
    match text.parse() {
        Ok(millis) if (1..=MOST_ALLOWED_MS).contains(&millis) => Ok(millis),
        _ => {
            let detail = format!(
                "{DEADLINE_HEADER}: \"{text}\" is not a number of milliseconds from 1 to {MOST_ALLOWED_MS}"
            );
            Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail))
        }
    }
}

/// An identity that the caller gives, safe to stand in a log line.
fn identity(request: &WebRequest, header: &str) -> Result<String, RequestRefusal> {
    let text = request.header(header);
    let fits = text.len() <= IDENTITY_LIMIT && text.bytes().all(|b| b.is_ascii_graphic());
    if !fits {
        let detail = format!("{header}: expected at most {IDENTITY_LIMIT} visible characters");
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    Ok(text.to_owned())
}

fn with_identity(mut response: Response<Body>, key: RequestKey) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&key.to_string()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// What the pieces of one completion have in common.
#[derive(Clone, Debug)]
struct CompletionForm {
    key: RequestKey,
    model: String,
    shape: CompletionShape,
}

impl CompletionForm {
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
        json!({"id": self.key.to_string(), "object": object, "model": self.model, "choices": [choice]})
    }

    fn whole(&self, text: &str, finish: &str, tokens: u32) -> Value {
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
            "id": self.key.to_string(), "object": object, "model": self.model,
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

async fn whole_answer(
    form: &CompletionForm,
    first: AnswerEvent,
    mut reader: AnswerReader,
) -> Response<Body> {
    let mut text = String::new();
    let mut event = first;
    loop {
        match event {
            AnswerEvent::Token { text: piece } => text.push_str(&piece),
            AnswerEvent::Done { tokens, limited } => {
                let whole = form.whole(&text, finish_reason(limited), tokens);
                return answer_json(200, &whole);
            }
            AnswerEvent::Refused(refusal) => return problem(&refusal),
            AnswerEvent::Reply(_) => unreachable!("a completion answered by a service"),
        }
        event = reader.next().await;
    }
}

/// Server-sent events. Only a whole answer ends with `[DONE]`; a broken one ends with an error.
fn stream_answer(form: CompletionForm, first: AnswerEvent, reader: AnswerReader) -> Response<Body> {
    let state = (form, Some(first), reader);
    let events = stream::unfold(state, |(form, first, mut reader)| async move {
        let event = match first {
            Some(event) => event,
            None if reader.ended => return None,
            None => reader.next().await,
        };
        let text = sse_text(&form, &event);
        Some((Ok::<_, Infallible>(text), (form, None, reader)))
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

fn sse_text(form: &CompletionForm, event: &AnswerEvent) -> String {
    match event {
        AnswerEvent::Token { text } => format!("data: {}\n\n", form.chunk(Some(text), None)),
        AnswerEvent::Done { limited, .. } => {
            let last = form.chunk(None, Some(finish_reason(*limited)));
            format!("data: {last}\n\ndata: [DONE]\n\n")
        }
        AnswerEvent::Refused(refusal) => {
            format!(
                "event: error\ndata: {}\n\n",
                json!({"error": problem_json(refusal)})
            )
        }
        AnswerEvent::Reply(_) => unreachable!("a completion answered by a service"),
    }
}

async fn service_call(desk: CallerDesk, request: WebRequest) -> Response<Body> {
    let key = RequestKey(rand::random());
    let response = match submit_call(&desk, &request, key) {
        Ok(mut reader) => match reader.next().await {
            AnswerEvent::Reply(reply) => {
                let mut response = answer(reply.status, &reply.content_type, reply.body);
                if reply.replayed {
                    let replayed = HeaderValue::from_static("true");
                    response
                        .headers_mut()
                        .insert("idempotent-replayed", replayed);
                }
                response
            }
            AnswerEvent::Refused(refusal) => problem(&refusal),
            AnswerEvent::Token { .. } | AnswerEvent::Done { .. } => {
                unreachable!("a service call answered by a model")
            }
        },
        Err(refusal) => problem(&refusal),
    };
    with_identity(response, key)
}

fn submit_call(
    desk: &CallerDesk,
    request: &WebRequest,
    key: RequestKey,
) -> Result<AnswerReader, RequestRefusal> {
    let path = request.uri.path().strip_prefix(SERVICE_PATH).unwrap_or("");
    let (profile, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = request
        .uri
        .query()
        .map_or(String::new(), |query| format!("?{query}"));
    let work = CallerWork::Call(ServiceRequest {
        idempotency_key: identity(request, "idempotency-key")?,
        method: request.method.to_string(),
        path: format!("/{rest}{query}"),
        content_type: request.header("content-type").to_owned(),
        body: request.body.to_vec(),
    });
    desk.submit(caller_request(request, key, profile.to_owned(), work)?)
}
