//! One try of a request at an upstream: sent, and answered up to the head.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::clock::ClockTime;
use crate::gateway::attempt::TryFailure;
use crate::gateway::forward::CallContext;
use crate::gateway::pool::{connect, UpstreamConnection};
use crate::gateway::rescue::{look_after, FlightHealth, QUIET_MS};
use crate::gateway::run::Gateway;
use crate::gateway::state::SendTarget;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::headers::{answer_meta, upstream_request, AnswerMeta, PassOn};

/// Idle time after which non-idempotent work is not given to a kept connection, milliseconds: the
/// upstream may be closing it.
const KEPT_ONCE_MS: u64 = 500;
/// Silence before the first event after which the first replica is asked why, milliseconds.
const HEAD_SILENCE_MS: u64 = 400;

/// One try at an upstream; what it held is given back when it is dropped.
#[derive(Debug)]
pub struct CallFlight {
    pub(super) gateway: Arc<Gateway>,
    /// Where the request went.
    pub target: SendTarget,
    connection: Option<UpstreamConnection>,
}

impl Drop for CallFlight {
    fn drop(&mut self) {
        self.gateway.state().release(&self.target);
    }
}

impl CallFlight {
    /// The answer was whole: the connection may serve another request.
    pub fn keep_connection(&mut self, meta: &AnswerMeta) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if !meta.closes {
            let now = self.gateway.clock.now();
            let key = self.target.upstream;
            self.gateway.pool.put(now, key, connection, meta.idle_ms);
        }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct OpenAnswer {
    /// The try that it answers.
    pub flight: CallFlight,
    /// Its head and its body to come.
    pub response: Response<Incoming>,
    /// What its head says.
    pub meta: AnswerMeta,
}

/// How a try failed, and the replica to go round.
#[derive(Clone, Copy, Debug)]
pub struct FailedTry {
    /// How it failed.
    pub failure: TryFailure,
    /// The replica at fault.
    pub at: UpstreamKey,
}

/// Sends a request to a target and waits for the head of the answer.
///
/// # Errors
///
/// How the try failed.
pub async fn open(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    target: SendTarget,
    last_event: Option<u64>,
    may_repeat: bool,
) -> Result<OpenAnswer, FailedTry> {
    let at = target.upstream;
    let failed = |failure| FailedTry { failure, at };
    let mut flight = CallFlight {
        gateway: gateway.clone(),
        target,
        connection: None,
    };
    let now = gateway.clock.now();
    let most_idle = match context.call.repeatable {
        true => u64::MAX,
        false => KEPT_ONCE_MS,
    };
    let kept = gateway.pool.take(now, at, most_idle);
    let fresh = kept.is_none();
    let mut connection = match kept {
        Some(connection) => connection,
        None => match connect(flight.target.address).await {
            Ok(connection) => connection,
            Err(error) => {
                spdlog::warn!(
                    "event=connect_failed request={} upstream={} error=\"{error}\"",
                    context.meta.id,
                    flight.target.id
                );
                gateway.state().upstreams.suspect(now, at);
                return Err(failed(TryFailure::NotSent));
            }
        },
    };
    let now = gateway.clock.now();
    let request = build_request(context, &flight.target, now, last_event);
    let exchange = connection.sender.try_send_request(request);
    let answered = wait_for_head(gateway, context, &mut flight, may_repeat, exchange).await;
    let response = match answered {
        Some(Ok(response)) => response,
        Some(Err(mut error)) => {
            let sent = error.take_message().is_none();
            spdlog::warn!(
                "event=exchange_failed request={} upstream={} sent={sent} error=\"{}\"",
                context.meta.id,
                flight.target.id,
                error.error()
            );
            if !sent {
                return Err(failed(TryFailure::NotSent));
            }
            gateway.state().upstreams.fail(gateway.clock.now(), at);
            return Err(failed(TryFailure::Lost));
        }
        None => return Err(failed(TryFailure::Lost)),
    };
    flight.connection = Some(connection);
    let meta = answer_meta(&context.meta.id, response.headers());
    check_head(gateway, context, flight, response, meta, fresh)
}

/// Whether the head of an answer is one of this request, and what a refusal says.
fn check_head(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    mut flight: CallFlight,
    response: Response<Incoming>,
    meta: AnswerMeta,
    fresh: bool,
) -> Result<OpenAnswer, FailedTry> {
    let status = response.status();
    let at = flight.target.upstream;
    let not_run = meta.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    // On a connection that served others before, an answer without an identity may be theirs.
    let ours = meta.is_ours || (fresh && not_run && !meta.names_another);
    if ours && not_run {
        let mut state = gateway.state();
        let named = meta.at.and_then(|address| state.upstreams.at(address));
        let now = gateway.clock.now();
        match named {
            Some(key) => state.upstreams.shun(now, key),
            None if status == StatusCode::MISDIRECTED_REQUEST && flight.target.chain.is_empty() => {
                state.upstreams.misplaced(at);
            }
            None if status == StatusCode::MISDIRECTED_REQUEST => state.upstreams.suspect(now, at),
            None => state.upstreams.shun(now, at),
        }
        drop(state);
        spdlog::info!(
            "event=upstream_refused request={} upstream={} status={} at={:?}",
            context.meta.id,
            flight.target.id,
            status.as_u16(),
            meta.at
        );
        flight.keep_connection(&AnswerMeta {
            closes: true,
            ..meta
        });
        return Err(FailedTry {
            failure: TryFailure::Refused,
            at: named.unwrap_or(at),
        });
    }
    let sound = meta.is_ours && !meta.encoded && (meta.signed || !status.is_success());
    if !sound {
        spdlog::warn!(
            "event=answer_spoilt request={} upstream={} status={} meta={meta:?}",
            context.meta.id,
            flight.target.id,
            status.as_u16()
        );
        gateway.state().upstreams.fail(gateway.clock.now(), at);
        return Err(FailedTry {
            failure: TryFailure::Lost,
            at,
        });
    }
    gateway.state().upstreams.praise(at);
    Ok(OpenAnswer {
        flight,
        response,
        meta,
    })
}

fn build_request(
    context: &CallContext,
    target: &SendTarget,
    now: ClockTime,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let call = &context.call;
    let pass = PassOn {
        left_ms: call.ends.since(now),
        upstream: &target.id,
        team: call.team.as_deref(),
        priority: (!target.chain.is_empty()).then_some(call.priority),
        chain: &target.path,
        last_event,
    };
    upstream_request(&context.parts, &pass, Full::new(context.body.clone()))
}

/// Waits for the head of an answer, and looks after a request that does not get on.
async fn wait_for_head<T>(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    flight: &mut CallFlight,
    may_repeat: bool,
    exchange: impl std::future::Future<Output = T>,
) -> Option<T> {
    let mut exchange = std::pin::pin!(exchange);
    let mut silent_ms = 0;
    loop {
        let left = context.call.ends.since(gateway.clock.now());
        let layered = !flight.target.chain.is_empty();
        let wait = if layered { left.min(QUIET_MS) } else { left };
        match tokio::time::timeout(Duration::from_millis(wait), exchange.as_mut()).await {
            Ok(answer) => return Some(answer),
            Err(_) if !layered || left <= wait => return None,
            Err(_) => silent_ms += wait,
        }
        let asks = silent_ms % HEAD_SILENCE_MS < QUIET_MS;
        // Silence alone is no reason to end a request that can go nowhere else.
        let health = look_after(gateway, context, flight, asks, may_repeat).await;
        if health != FlightHealth::Alive && may_repeat {
            return None;
        }
    }
}
