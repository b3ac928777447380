//! Relays an event stream to the caller, on the task that serves the caller's connection. Where the
//! route allows it, an interrupted stream is resumed at another upstream.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::clock::ClockTime;
use crate::gateway::attempt_ledger::{AttemptFailure, AttemptLedger, NextStep};
use crate::gateway::event_stream::EventSplitter;
use crate::gateway::forward::{start_attempt, AttemptError, RequestContext, StreamResume};
use crate::gateway::reroute::{
    check_silent_request, reroute_from_draining, AttemptHealth, SILENCE_CHECK_MS,
};
use crate::gateway::response::{record_completion, GatewayBody};
use crate::gateway::run::Gateway;
use crate::gateway::upstream::UpstreamKey;
use crate::gateway::upstream_attempt::{FailedAttempt, OpenResponse, UpstreamAttempt};
use crate::platform::headers::{caller_headers, ResponseMeta};

/// Interval at which the first replica of a chain is queried for stalled requests while no events
/// arrive, milliseconds.
const EVENT_REPORT_INTERVAL_MS: u64 = 300;

struct EventRelay {
    gateway: Arc<Gateway>,
    context: RequestContext,
    ledger: AttemptLedger,
    attempt: UpstreamAttempt,
    meta: ResponseMeta,
    body: Incoming,
    splitter: EventSplitter,
    avoid: Vec<UpstreamKey>,
    finished: bool,
    /// Time since the last whole event, in steps of [`SILENCE_CHECK_MS`]. Bytes of an incomplete
    /// event are no progress.
    silent_ms: u64,
    /// When the last whole event arrived, or the silence was last checked.
    checked_at: ClockTime,
    /// Version of the upstream table that the chain was last checked against.
    table_version: u64,
}

/// Builds the response that relays an upstream's event stream to the caller.
pub fn stream(
    gateway: &Arc<Gateway>,
    context: RequestContext,
    ledger: AttemptLedger,
    opened: OpenResponse,
) -> Response<GatewayBody> {
    let (head, body) = opened.response.into_parts();
    let relay = EventRelay {
        gateway: gateway.clone(),
        context,
        ledger,
        attempt: opened.attempt,
        meta: opened.meta,
        body,
        splitter: EventSplitter::default(),
        avoid: Vec::new(),
        finished: false,
        silent_ms: 0,
        checked_at: gateway.clock.now(),
        table_version: gateway.state().upstreams.version(),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk.map(Frame::data), relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = head.status;
    *response.headers_mut() = caller_headers(&head.headers);
    // A resumed stream comes from several upstreams, so its total length is unknown.
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
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
            let now = self.gateway.clock.now();
            let remaining = self.context.admitted.deadline.since(now);
            if remaining == 0 {
                return Some(self.abort("the deadline has passed"));
            }
            let until_check = SILENCE_CHECK_MS.saturating_sub(now.since(self.checked_at));
            if until_check == 0 {
                self.silent_ms += SILENCE_CHECK_MS;
                if let Err(abort_reason) = self.handle_silence().await {
                    return Some(self.abort(&abort_reason));
                }
                self.checked_at = self.gateway.clock.now();
                continue;
            }
            let wait = Duration::from_millis(remaining.min(until_check));
            let reason = match tokio::time::timeout(wait, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let last_id = self.splitter.last_id();
                    match self.splitter.push(data) {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => {
                            // Comments that keep a connection alive have no id.
                            if self.splitter.last_id() != last_id || last_id.is_none() {
                                if self.silent_ms > 0 {
                                    let upstream_key = self.attempt.target.upstream;
                                    let now = self.gateway.clock.now();
                                    let mut state = self.gateway.state();
                                    state.upstreams.record_answer(now, upstream_key);
                                }
                                self.silent_ms = 0;
                                self.checked_at = self.gateway.clock.now();
                            }
                            self.attempt.record_event();
                            self.gateway.metrics.tokens.inc();
                            return Some(Ok(events));
                        }
                        Err(fault) => format!("invalid event stream: {fault:?}"),
                    }
                }
                Ok(None) if self.splitter.has_partial_event() => {
                    let upstream_key = self.attempt.target.upstream;
                    self.attempt.note_crash(&self.context, upstream_key);
                    String::from("ended inside an event")
                }
                Ok(None) => {
                    self.finished = true;
                    self.attempt.record_end();
                    self.attempt.release_connection(&self.meta);
                    let upstream_key = self.attempt.target.upstream;
                    record_completion(&self.gateway, &self.context, upstream_key, 200);
                    return None;
                }
                Ok(Some(Err(error))) => {
                    let upstream_key = self.attempt.target.upstream;
                    let now = self.gateway.clock.now();
                    self.gateway
                        .state()
                        .upstreams
                        .record_exchange_failure(now, upstream_key);
                    self.attempt.note_crash(&self.context, upstream_key);
                    error.to_string()
                }
                Err(_) => continue,
            };
            if let Err(abort_reason) = self.resume(&reason, self.gateway.clock.now()).await {
                return Some(self.abort(&abort_reason));
            }
        }
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
        let attempt = &mut self.attempt;
        let health = check_silent_request(
            &self.gateway,
            &self.context,
            attempt,
            query_report,
            may_retry,
        )
        .await;
        if health == AttemptHealth::Quarantined {
            return Err(String::from("replicas crashed while they ran this request"));
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

    /// Reroutes the stream around replicas that have started draining since the last check.
    async fn reroute_on_changes(&mut self) {
        let current_version = self.gateway.state().upstreams.version();
        if current_version != self.table_version {
            self.table_version = current_version;
            reroute_from_draining(&self.gateway, &self.context, &mut self.attempt).await;
        }
    }

    fn abort(&mut self, reason: &str) -> Result<Bytes, io::Error> {
        self.finished = true;
        spdlog::warn!(
            "event=stream_aborted request={} last_event={:?} reason=\"{reason}\"",
            self.context.meta.id,
            self.splitter.last_id()
        );
        let result = "stream_broken_off";
        self.gateway
            .metrics
            .requests
            .with_label_values(&[result])
            .inc();
        Err(io::Error::other(reason.to_owned()))
    }

    /// Resumes the stream at another upstream after the last forwarded event. The wait for free
    /// capacity is limited and counted from `lost_at`.
    async fn resume(&mut self, reason: &str, lost_at: ClockTime) -> Result<(), String> {
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
                last_event_id: self.splitter.last_id().or(self.context.meta.last_event_id),
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
                Ok(opened) if opened.response.status().is_success() => {
                    self.attempt = opened.attempt;
                    self.meta = opened.meta;
                    self.body = opened.response.into_body();
                    self.splitter.restart();
                    self.silent_ms = 0;
                    return Ok(());
                }
                Ok(opened) => {
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
