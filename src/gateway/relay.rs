//! Passes a stream of events on as it comes, on the task that serves the caller, and goes on
//! with another run where the route allows it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::clock::ClockTime;
use crate::gateway::answer::{log_end, GatewayBody};
use crate::gateway::attempt::{NextStep, TryFailure, TryLedger};
use crate::gateway::event_stream::EventCutter;
use crate::gateway::flight::{CallFlight, FailedTry, OpenAnswer};
use crate::gateway::forward::{next_try, CallContext, StreamResume, TryEnd};
use crate::gateway::rescue::{leave_draining, look_after, FlightHealth, QUIET_MS};
use crate::gateway::run::Gateway;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::headers::{caller_headers, AnswerMeta};

/// Silence between two events after which the first replica is asked why, milliseconds.
const EVENT_SILENCE_MS: u64 = 300;

struct EventRelay {
    gateway: Arc<Gateway>,
    context: CallContext,
    ledger: TryLedger,
    flight: CallFlight,
    meta: AnswerMeta,
    body: Incoming,
    cutter: EventCutter,
    avoid: Vec<UpstreamKey>,
    over: bool,
    silent_ms: u64,
    /// The changes of upstreams that the chain was checked against.
    version: u64,
}

/// The answer that passes on the stream that was opened.
pub fn stream(
    gateway: &Arc<Gateway>,
    context: CallContext,
    ledger: TryLedger,
    opened: OpenAnswer,
) -> Response<GatewayBody> {
    let (head, body) = opened.response.into_parts();
    let relay = EventRelay {
        gateway: gateway.clone(),
        context,
        ledger,
        flight: opened.flight,
        meta: opened.meta,
        body,
        cutter: EventCutter::default(),
        avoid: Vec::new(),
        over: false,
        silent_ms: 0,
        version: gateway.state().upstreams.version(),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece.map(Frame::data), relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = head.status;
    *response.headers_mut() = caller_headers(&head.headers);
    // The length of what several runs give together is not known.
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}

impl EventRelay {
    /// The next whole events; none at the end of the answer. An error breaks the caller's
    /// connection, so that an answer cut short never looks whole.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.over {
            return None;
        }
        loop {
            self.follow_changes().await;
            let left = self.context.call.ends.since(self.gateway.clock.now());
            if left == 0 {
                return Some(self.break_off("the time is up"));
            }
            let wait = left.min(QUIET_MS);
            let frame = self.body.frame();
            let failure = match tokio::time::timeout(Duration::from_millis(wait), frame).await {
                Ok(Some(Ok(frame))) => {
                    self.silent_ms = 0;
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.cutter.push(data) {
                        Ok(whole) if whole.is_empty() => continue,
                        Ok(whole) => {
                            self.gateway.metrics.tokens.inc();
                            return Some(Ok(whole));
                        }
                        Err(fault) => format!("the stream is faulty: {fault:?}"),
                    }
                }
                Ok(None) if self.cutter.holds_part() => String::from("it ended inside an event"),
                Ok(None) => {
                    self.over = true;
                    self.flight.keep_connection(&self.meta);
                    let at = self.flight.target.upstream;
                    log_end(&self.gateway, &self.context, at, 200);
                    return None;
                }
                Ok(Some(Err(error))) => {
                    let at = self.flight.target.upstream;
                    let now = self.gateway.clock.now();
                    self.gateway.state().upstreams.fail(now, at);
                    error.to_string()
                }
                Err(_) => {
                    self.silent_ms += wait;
                    self.look_after_silence().await;
                    continue;
                }
            };
            if let Err(why) = self.resume(&failure, self.gateway.clock.now()).await {
                return Some(self.break_off(&why));
            }
        }
    }

    /// Looks after a silent run. It goes on being waited for unless another run takes its place:
    /// silence alone is no reason to end an answer.
    async fn look_after_silence(&mut self) {
        let asks = self.silent_ms % EVENT_SILENCE_MS < QUIET_MS;
        let may_repeat = self.ledger.may_repeat(self.gateway.clock.now());
        let flight = &mut self.flight;
        let health = look_after(&self.gateway, &self.context, flight, asks, may_repeat).await;
        if health != FlightHealth::Alive && may_repeat {
            let why = format!("it is silent: {health:?}");
            // The silent run may come to itself: nothing is waited for meanwhile.
            if let Err(error) = self.resume(&why, ClockTime(0)).await {
                // Nobody else has room: a detour is better than to stand still.
                look_after(&self.gateway, &self.context, &mut self.flight, asks, false).await;
                spdlog::info!(
                    "event=stream_waits request={} why=\"{error}\"",
                    self.context.meta.id
                );
            }
        }
    }

    /// Leads the run round replicas that have begun to leave.
    async fn follow_changes(&mut self) {
        let version = self.gateway.state().upstreams.version();
        if version != self.version {
            self.version = version;
            leave_draining(&self.gateway, &self.context, &mut self.flight).await;
        }
    }

    fn break_off(&mut self, why: &str) -> Result<Bytes, io::Error> {
        self.over = true;
        spdlog::warn!(
            "event=stream_broken_off request={} last_event={:?} why=\"{why}\"",
            self.context.meta.id,
            self.cutter.last()
        );
        let result = "stream_broken_off";
        self.gateway
            .metrics
            .requests
            .with_label_values(&[result])
            .inc();
        Err(io::Error::other(why.to_owned()))
    }

    /// Goes on with another run after the last event that was passed on. Room for it is waited
    /// for, for a while from `lost` on.
    async fn resume(&mut self, why: &str, lost: ClockTime) -> Result<(), String> {
        let mut failed = FailedTry {
            failure: TryFailure::Lost,
            at: self.flight.target.upstream,
        };
        loop {
            let now = self.gateway.clock.now();
            spdlog::info!(
                "event=stream_lost request={} upstream={} last_event={:?} why=\"{why}\"",
                self.context.meta.id,
                self.flight.target.id,
                self.cutter.last()
            );
            if let NextStep::GiveUp(_) = self.ledger.fail(now, failed.failure) {
                return Err(why.to_owned());
            }
            self.avoid.push(failed.at);
            let resume = StreamResume {
                last_event: self.cutter.last().or(self.context.meta.last_event),
                lost,
            };
            let ledger = &mut self.ledger;
            let opened = next_try(
                &self.gateway,
                &self.context,
                ledger,
                &self.avoid,
                Some(resume),
            )
            .await;
            match opened {
                Ok(opened) if opened.response.status().is_success() => {
                    self.flight = opened.flight;
                    self.meta = opened.meta;
                    self.body = opened.response.into_body();
                    self.cutter.restart();
                    return Ok(());
                }
                Ok(opened) => {
                    failed = FailedTry {
                        failure: TryFailure::Failed,
                        at: opened.flight.target.upstream,
                    }
                }
                Err(TryEnd::Failed(next)) => failed = next,
                Err(TryEnd::Refused(refusal)) => {
                    return Err(refusal.detail);
                }
            }
        }
    }
}
