//! Relays an event stream to the caller, on the task that serves the caller's connection. Where the
//! route allows it, an interrupted stream is resumed at another upstream.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{stream, FutureExt};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::clock::ClockTime;
use crate::gateway::attempt_ledger::{AttemptFailure, AttemptLedger, NextStep};
use crate::gateway::event_stream::EventSplitter;
use crate::gateway::exchange_record::ExchangeEnd;
use crate::gateway::forward::{start_attempt, AttemptError, RequestContext, StreamResume};
use crate::gateway::reroute::{
    check_silent_request, reroute_from_shedding, AttemptHealth, SILENCE_CHECK_MS,
};
use crate::gateway::response::{record_completion, GatewayBody};
use crate::gateway::run::{wait_for_phase, Gateway};
use crate::gateway::shutdown::{EndingAnswer, RequestProgress, ShutdownPhase};
use crate::gateway::silence_check::note_answer;
use crate::gateway::stream_step::StreamStep;
use crate::gateway::upstream::UpstreamKey;
use crate::gateway::upstream_attempt::{FailedAttempt, OpenResponse, UpstreamAttempt};
use crate::platform::headers::{body_type, caller_headers, ResponseMeta};
use crate::verdict::{RefusalReason, RequestRefusal};

/// Interval at which the first replica of a chain is queried for stalled requests while no events
/// arrive, milliseconds.
const EVENT_REPORT_INTERVAL_MS: u64 = 300;

/// Time after which another place is looked for again for a stream on a replica that gives its layers
/// up, or is draining, milliseconds.
const SHED_RETRY_MS: u64 = 200;

/// Upper bound of what is read of a stream while a check on it is awaited.
const MAX_EARLY_STEPS: usize = 64;

struct EventRelay {
    gateway: Arc<Gateway>,
    context: RequestContext,
    ledger: AttemptLedger,
    attempt: UpstreamAttempt,
    meta: ResponseMeta,
    body: Incoming,
    /// Headers of the answer, from the run that the caller's stream begins with.
    headers: HeaderMap,
    /// Whether the caller was sent the head of the answer.
    has_begun: bool,
    /// Type of the body in these headers; empty if none.
    body_type: String,
    /// Whether the body has neither a length nor chunks, so that it ends with its connection.
    ends_with_connection: bool,
    splitter: EventSplitter,
    /// What was read while a check on the stream was awaited.
    early_steps: VecDeque<StreamStep>,
    avoid: Vec<UpstreamKey>,
    finished: bool,
    /// Whether the run that `body` belongs to has ended and none has taken its place.
    run_ended: bool,
    /// Whether what had arrived at the end of a graceful shutdown was passed on.
    is_ending: bool,
    /// Time since the last whole event, in steps of [`SILENCE_CHECK_MS`]. Bytes of an incomplete
    /// event are no progress.
    silent_ms: u64,
    /// When the last whole event arrived, or the silence was last checked.
    checked_at: ClockTime,
    /// Version of the upstream table that the chain was last checked against.
    table_version: u64,
    /// When to look again for another place for what a replica gives up. `None` if there is nothing to
    /// move.
    shed_retry_at: Option<ClockTime>,
}

/// Builds the response that relays an upstream's event stream to the caller, once there is something to
/// relay: until then the request can still be refused.
///
/// # Errors
///
/// The refusal, if no replica brings an event.
pub async fn stream(
    gateway: &Arc<Gateway>,
    context: RequestContext,
    ledger: AttemptLedger,
    opened: OpenResponse,
) -> Result<Response<GatewayBody>, RequestRefusal> {
    let deadline = context.admitted.deadline;
    let (head, body) = opened.response.into_parts();
    let splitter = EventSplitter::after(context.meta.last_event_id);
    let mut relay = EventRelay {
        gateway: gateway.clone(),
        context,
        ledger,
        attempt: opened.attempt,
        meta: opened.meta,
        body_type: body_type(&head.headers),
        ends_with_connection: ends_with_connection(&head.headers),
        headers: head.headers,
        has_begun: false,
        body,
        splitter,
        early_steps: VecDeque::new(),
        avoid: Vec::new(),
        finished: false,
        run_ended: false,
        is_ending: false,
        silent_ms: 0,
        checked_at: gateway.clock.now(),
        table_version: gateway.state().upstreams.version(),
        shed_retry_at: None,
    };
    let first = match relay.next().await {
        Some(Err(error)) => {
            let reason = match gateway.clock.now() >= deadline {
                true => RefusalReason::Deadline,
                false => RefusalReason::UpstreamLost,
            };
            return Err(RequestRefusal::may_have_run(reason, error.to_string()));
        }
        first => first,
    };
    relay.has_begun = true;
    relay
        .attempt
        .record_lead_time(&relay.context.admitted.service);
    let headers = caller_headers(&relay.headers);
    let shutdown = gateway.shutdown.subscribe();
    let start = (relay, shutdown, first);
    let frames = stream::unfold(start, |(mut relay, mut shutdown, first)| async move {
        let chunk = match first {
            Some(first) => first,
            None => {
                let next = tokio::select! {
                    biased;
                    () = wait_for_phase(&mut shutdown, ShutdownPhase::Ending) => None,
                    next = relay.next() => Some(next),
                };
                match next {
                    Some(next) => next?,
                    None => relay.end().await?,
                }
            }
        };
        Some((chunk.map(Frame::data), (relay, shutdown, None)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    // A resumed stream comes from several upstreams, so its total length is unknown.
    response.headers_mut().remove(CONTENT_LENGTH);
    Ok(response)
}

fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

impl EventRelay {
    /// Returns the next complete events, or `None` at the end of the stream. An error aborts the
    /// caller's connection, so that a truncated stream never looks complete.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.finished {
            return None;
        }
        loop {
            self.reroute_on_changes().await;
            let step = match self.early_steps.pop_front() {
                Some(step) => step,
                None => match self.read_step().await {
                    Ok(Some(step)) => step,
                    Ok(None) => continue,
                    Err(abort_reason) => return Some(self.abort(&abort_reason)),
                },
            };
            let upstream_key = self.attempt.target.upstream;
            let (end, reason) = match step {
                StreamStep::Events {
                    events,
                    is_progress,
                } => {
                    if is_progress {
                        let now = self.gateway.clock.now();
                        if self.silent_ms > 0 {
                            note_answer(&self.gateway, upstream_key);
                        }
                        self.silent_ms = 0;
                        self.checked_at = now;
                        self.attempt.record_event();
                        let end = ExchangeEnd::Whole;
                        self.attempt.record_exchange(&self.context, end);
                    }
                    self.gateway.metrics.tokens.inc();
                    return Some(Ok(events));
                }
                StreamStep::Ended if self.ended_before_first_event() => {
                    let reason = String::from("ended before the first event");
                    (ExchangeEnd::BrokenOff, reason)
                }
                StreamStep::Ended if self.splitter.is_empty_continuation() => {
                    self.attempt.settle();
                    let reason = String::from("the run that was to continue it brought no event");
                    (ExchangeEnd::NotContinued, reason)
                }
                StreamStep::Ended => {
                    self.complete();
                    return None;
                }
                StreamStep::CutOff => {
                    let reason = String::from("ended inside an event");
                    (ExchangeEnd::BrokenOff, reason)
                }
                StreamStep::Broken(error) => (ExchangeEnd::BrokenOff, error),
                StreamStep::Silenced(error) => (ExchangeEnd::Silenced, error),
                StreamStep::Invalid(reason) => (ExchangeEnd::Invalid, reason),
            };
            self.attempt.record_exchange(&self.context, end);
            self.attempt.note_failed_end(&self.context, end);
            self.run_ended = true;
            if let Err(abort_reason) = self.resume(&reason, self.gateway.clock.now()).await {
                return Some(self.abort(&abort_reason));
            }
        }
    }

    /// Whether an answer that ends now is complete.
    fn may_complete(&self) -> bool {
        !self.ended_before_first_event() && !self.splitter.is_empty_continuation()
    }

    /// Records that the answer is complete.
    fn complete(&mut self) {
        self.finished = true;
        self.attempt.record_end();
        self.attempt
            .record_exchange(&self.context, ExchangeEnd::Whole);
        self.attempt.release_connection(&self.meta);
        let upstream_key = self.attempt.target.upstream;
        record_completion(&self.gateway, &self.context, upstream_key, 200);
    }

    /// Whether the connection ended before any event of the answer, as that of a replica that crashed
    /// right after the response head does.
    fn ended_before_first_event(&self) -> bool {
        self.ends_with_connection && self.splitter.last_id().is_none()
    }

    /// Waits for the next step of the stream, and checks on a silent one. Returns `None` if there is
    /// none yet.
    ///
    /// # Errors
    ///
    /// If the stream has to end.
    async fn read_step(&mut self) -> Result<Option<StreamStep>, String> {
        let now = self.gateway.clock.now();
        let remaining = self.context.admitted.deadline.since(now);
        if remaining == 0 {
            return Err(String::from("the deadline has passed"));
        }
        let until_check = SILENCE_CHECK_MS.saturating_sub(now.since(self.checked_at));
        if until_check == 0 {
            self.silent_ms += SILENCE_CHECK_MS;
            self.handle_silence().await?;
            self.checked_at = self.gateway.clock.now();
            return Ok(None);
        }
        let wait = Duration::from_millis(remaining.min(until_check));
        let frame = tokio::time::timeout(wait, self.body.frame()).await;
        let step = frame.map(|frame| StreamStep::from_frame(&mut self.splitter, frame));
        Ok(step.unwrap_or(None))
    }

    /// Checks the chain of a silent stream. If the chain is dead or stuck and a retry is allowed,
    /// resumes the stream at another upstream; otherwise keeps waiting, since a stream is never
    /// ended for silence alone.
    ///
    /// # Errors
    ///
    /// If the stream has to end, since the request crashes replicas.
    async fn handle_silence(&mut self) -> Result<(), String> {
        let query_report = self.silent_ms % EVENT_REPORT_INTERVAL_MS < SILENCE_CHECK_MS;
        let may_retry = self.ledger.may_retry(self.gateway.clock.now());
        let health = self.await_check(query_report, may_retry).await;
        if health == AttemptHealth::Quarantined {
            return Err(String::from("replicas crashed while they ran this request"));
        }
        // What was read meanwhile shows that the stream goes on, or how it ended.
        let steps = &self.early_steps;
        if steps
            .iter()
            .any(|step| step.is_progress() || step.ends_run())
        {
            return Ok(());
        }
        if health != AttemptHealth::Alive && may_retry {
            let reason = format!("no events received, chain is {health:?}");
            // The silent upstream may recover, so the resume must not wait for free capacity: a
            // start time of zero makes its wait expire at once.
            if let Err(error) = self.resume(&reason, ClockTime(0)).await {
                // No other chain has capacity. A path over more cross-domain links is now accepted,
                // since it is better than a stalled stream.
                check_silent_request(
                    &self.gateway,
                    &self.context,
                    &mut self.attempt,
                    query_report,
                    false,
                )
                .await;
                spdlog::info!(
                    "event=stream_resume_deferred request={} reason=\"{error}\"",
                    self.context.meta.id
                );
            }
        }
        Ok(())
    }

    /// Checks the chain of a silent stream, and reads on meanwhile: a replica whose event lies unread
    /// is not silent.
    async fn await_check(&mut self, query_report: bool, may_retry: bool) -> AttemptHealth {
        let upstream_key = self.attempt.target.upstream;
        let mut check = std::pin::pin!(check_silent_request(
            &self.gateway,
            &self.context,
            &mut self.attempt,
            query_report,
            may_retry,
        ));
        loop {
            let has_ended = self.early_steps.back().is_some_and(StreamStep::ends_run);
            let may_read = !has_ended && self.early_steps.len() < MAX_EARLY_STEPS;
            let frame = tokio::select! {
                biased;
                frame = self.body.frame(), if may_read => frame,
                health = &mut check => return health,
            };
            let Some(step) = StreamStep::from_frame(&mut self.splitter, frame) else {
                continue;
            };
            if step.is_progress() {
                note_answer(&self.gateway, upstream_key);
            }
            self.early_steps.push_back(step);
        }
    }

    /// Reroutes the stream around replicas that have started draining, or to give up layers that it
    /// runs on, since the last check.
    async fn reroute_on_changes(&mut self) {
        let current_version = self.gateway.state().upstreams.version();
        let now = self.gateway.clock.now();
        let is_due = self.shed_retry_at.is_some_and(|due| now >= due);
        if current_version == self.table_version && !is_due {
            return;
        }
        self.table_version = current_version;
        let health = reroute_from_shedding(&self.gateway, &self.context, &mut self.attempt).await;
        self.shed_retry_at = match health {
            AttemptHealth::Stuck => Some(self.gateway.clock.now() + SHED_RETRY_MS),
            _ => None,
        };
    }

    /// Ends the stream since the VM stops. Returns the events that have arrived, and breaks the stream
    /// off after them unless they complete it.
    async fn end(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.finished {
            return None;
        }
        let mut arrived = BytesMut::new();
        for _ in 0..MAX_EARLY_STEPS {
            let step = match self.early_steps.pop_front() {
                Some(step) => Some(step),
                // A body that has failed reads as complete.
                None if self.run_ended => None,
                None => self.read_arrived(),
            };
            match step {
                Some(StreamStep::Events { events, .. }) => arrived.extend_from_slice(&events),
                Some(StreamStep::Ended) if arrived.is_empty() && self.may_complete() => {
                    self.complete();
                    return None;
                }
                Some(step) => {
                    self.early_steps.push_front(step);
                    break;
                }
                None => break,
            }
        }
        if !arrived.is_empty() && !std::mem::replace(&mut self.is_ending, true) {
            return Some(Ok(arrived.freeze()));
        }
        // An error discards what is not written yet.
        tokio::task::yield_now().await;
        let answer = EndingAnswer::of(RequestProgress::Streaming);
        let age_ms = self.gateway.clock.now().since(self.context.received_at);
        spdlog::warn!(
            "event=request_ended_by_stop request={} answer={answer} age_ms={age_ms}",
            self.context.meta.id
        );
        self.gateway.metrics.count_ended_by_stop(answer.into());
        Some(self.abort("this VM stops"))
    }

    /// Returns the next step if its bytes have arrived.
    fn read_arrived(&mut self) -> Option<StreamStep> {
        for _ in 0..MAX_EARLY_STEPS {
            let frame = self.body.frame().now_or_never()?;
            let step = StreamStep::from_frame(&mut self.splitter, frame);
            if step.is_some() {
                return step;
            }
        }
        None
    }

    fn abort(&mut self, reason: &str) -> Result<Bytes, io::Error> {
        self.finished = true;
        spdlog::warn!(
            "event=stream_aborted request={} last_event={:?} reason=\"{reason}\"",
            self.context.meta.id,
            self.splitter.last_id()
        );
        // One that has not begun is refused, and counted then.
        if self.has_begun {
            let requests = &self.gateway.metrics.requests;
            requests.with_label_values(&["stream_broken_off"]).inc();
        }
        Err(io::Error::other(reason.to_owned()))
    }

    /// Whether the answer of another run can go on in the caller's stream.
    fn continues(&self, opened: &OpenResponse) -> bool {
        let is_success = opened.response.status().is_success();
        let is_type_known = self.has_begun && !self.body_type.is_empty();
        let fits_type = body_type(opened.response.headers()) == self.body_type;
        is_success && (fits_type || !is_type_known)
    }

    /// Resumes the stream at another upstream after the last forwarded event. The wait for free
    /// capacity is limited and counted from `lost_at`.
    async fn resume(&mut self, reason: &str, lost_at: ClockTime) -> Result<(), String> {
        if !self.splitter.can_continue() {
            return Err(format!("{reason}; its events have no ids to go on from"));
        }
        let mut failed = FailedAttempt {
            failure: AttemptFailure::Lost,
            key: self.attempt.target.upstream,
        };
        loop {
            let now = self.gateway.clock.now();
            spdlog::info!(
                "event=stream_lost request={} upstream={} last_event={:?} reason=\"{reason}\"",
                self.context.meta.id,
                self.attempt.target.upstream_id,
                self.splitter.last_id()
            );
            if let NextStep::GiveUp(_) = self.ledger.record_attempt_failure(now, failed.failure) {
                return Err(reason.to_owned());
            }
            self.avoid.push(failed.key);
            let resume = StreamResume {
                last_event_id: self.splitter.last_id(),
                lost_at,
            };
            let ledger = &mut self.ledger;
            let opened = start_attempt(
                &self.gateway,
                &self.context,
                ledger,
                &self.avoid,
                Some(resume),
            )
            .await;
            match opened {
                Ok(opened) if self.continues(&opened) => {
                    self.attempt = opened.attempt;
                    self.meta = opened.meta;
                    let headers = opened.response.headers();
                    self.ends_with_connection = ends_with_connection(headers);
                    if !self.has_begun {
                        self.body_type = body_type(headers);
                        self.headers = headers.clone();
                    }
                    self.body = opened.response.into_body();
                    self.splitter.restart();
                    self.run_ended = false;
                    self.silent_ms = 0;
                    return Ok(());
                }
                Ok(opened) => {
                    spdlog::warn!(
                        "event=stream_continuation_rejected request={} upstream={} status={} type={:?}",
                        self.context.meta.id,
                        opened.attempt.target.upstream_id,
                        opened.response.status().as_u16(),
                        body_type(opened.response.headers())
                    );
                    failed = FailedAttempt {
                        failure: AttemptFailure::Failed,
                        key: opened.attempt.target.upstream,
                    }
                }
                Err(AttemptError::Failed(next)) => failed = next,
                Err(AttemptError::Refused(refusal)) => {
                    return Err(refusal.detail);
                }
            }
        }
    }
}
