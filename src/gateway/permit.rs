//! Gets permits for requests to upstreams with a limit, from this gateway's share or from the gateway
//! that collects what the others do not use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::gateway::permit_table::{PermitDecision, PermitGift, PermitReply};
use crate::gateway::run::Gateway;
use crate::gateway::state::GatewayState;
use crate::gateway::upstream::UpstreamKey;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{Envelope, PermitAnswer, PermitAsk, PermitGifts};
use crate::wire::WIRE_VERSION;

/// Longest wait for the answer of the gateway that was asked, milliseconds.
const ASK_TIMEOUT_MS: u64 = 80;
/// Time for which a gateway is not asked again that did not answer, milliseconds.
const UNANSWERED_BACKOFF_MS: u64 = 300;
/// Upper bound of the gifts in one message, so that it fits into one packet.
const MAX_GIFTS_PER_MESSAGE: usize = 24;
/// Millionths in a permit.
const MILLIONTHS: f64 = 1e6;

/// Asks for permits that were sent and not answered yet.
#[derive(Debug, Default)]
pub struct PermitAsks {
    /// Socket of the peer messages, set when it is bound.
    pub(super) socket: OnceLock<Arc<UdpSocket>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<PermitReply>>>,
}

impl PermitAsks {
    fn begin(&self) -> (u64, oneshot::Receiver<PermitReply>) {
        let (sender, receiver) = oneshot::channel();
        let number = rand::random();
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.insert(number, sender);
        (number, receiver)
    }

    fn take(&self, number: u64) -> Option<oneshot::Sender<PermitReply>> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.remove(&number)
    }
}

/// Removes an ask that is no longer awaited, also if its request was dropped.
struct AskGuard<'a>(&'a PermitAsks, u64);

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        self.0.take(self.1);
    }
}

/// Spends a permit on a request to an upstream, and asks for one if this gateway has none. Returns
/// whether the request may be sent.
pub(super) async fn acquire_permit(gateway: &Gateway, key: UpstreamKey) -> bool {
    let decision = gateway.state().permits.request(gateway.clock.now(), key);
    match decision {
        PermitDecision::Unlimited => true,
        PermitDecision::Granted => {
            gateway.metrics.count_permit("own");
            true
        }
        PermitDecision::Ask(collector) => ask_permit(gateway, key, collector).await,
        PermitDecision::Denied { ready_ms } => {
            gateway.metrics.count_permit("denied");
            let now = gateway.clock.now();
            gateway.state().record_denial(now, key, ready_ms);
            false
        }
    }
}

/// Asks the collector of a limit for a permit. Returns whether it granted one.
async fn ask_permit(gateway: &Gateway, key: UpstreamKey, collector: SocketAddr) -> bool {
    let (number, answer) = gateway.permit_asks.begin();
    let _guard = AskGuard(&gateway.permit_asks, number);
    let ask = {
        let state = gateway.state();
        let entry = &state.upstreams.get(key).entry;
        PermitAsk {
            number,
            address: entry.address.to_string(),
            born: entry.born,
        }
    };
    send(gateway, collector, Body::PermitAsk(ask)).await;
    let timeout = Duration::from_millis(ASK_TIMEOUT_MS);
    let reply = tokio::time::timeout(timeout, answer).await;
    let (result, ready_ms) = match reply {
        Ok(Ok(PermitReply::Granted)) => {
            gateway.metrics.count_permit("asked");
            return true;
        }
        Ok(Ok(PermitReply::Denied { ready_ms })) => ("denied", ready_ms),
        _ => ("unanswered", UNANSWERED_BACKOFF_MS),
    };
    gateway.metrics.count_permit(result);
    let now = gateway.clock.now();
    gateway.state().record_denial(now, key, ready_ms);
    false
}

/// Gives the permits that this gateway does not keep to the gateways that collect them.
pub(super) async fn give_permits(gateway: &Gateway) {
    let mut gifts = {
        let permits = &mut gateway.state().permits;
        let limited = i64::try_from(permits.limited_upstreams()).unwrap_or(i64::MAX);
        gateway.metrics.limited_upstreams.set(limited);
        permits.take_gifts(gateway.clock.now())
    };
    gifts.sort_by_key(|gift| gift.to);
    for gifts in gifts.chunk_by(|one, other| one.to == other.to) {
        for chunk in gifts.chunks(MAX_GIFTS_PER_MESSAGE) {
            let gifts = encode_gifts(&gateway.state(), chunk);
            send(gateway, chunk[0].to, Body::PermitGifts(gifts)).await;
        }
    }
}

fn encode_gifts(state: &GatewayState, gifts: &[PermitGift]) -> PermitGifts {
    let gifts = gifts.iter().map(|gift| {
        let entry = &state.upstreams.get(gift.upstream).entry;
        crate::wire::gen::PermitGift {
            address: entry.address.to_string(),
            born: entry.born,
            // Rounded down: what is lost was never granted.
            millionths: (gift.amount * MILLIONTHS) as u64,
        }
    });
    PermitGifts {
        gifts: gifts.collect(),
    }
}

/// The incarnation of an upstream that a peer names.
pub(super) fn named_upstream(
    state: &GatewayState,
    address: &str,
    born: u64,
) -> Option<UpstreamKey> {
    let key = state.upstreams.by_address(address.parse().ok()?)?;
    (state.upstreams.get(key).entry.born == born).then_some(key)
}

/// Answers a peer that asks for a permit.
pub(super) async fn answer_ask(gateway: &Gateway, ask: PermitAsk, from: SocketAddr) {
    let now = gateway.clock.now();
    let reply = {
        let mut state = gateway.state();
        let key = named_upstream(&state, &ask.address, ask.born);
        key.map(|key| state.permits.reply(now, key))
    };
    let (granted, ready_ms) = match reply {
        Some(PermitReply::Granted) => (true, 0),
        Some(PermitReply::Denied { ready_ms }) => (false, ready_ms),
        None => (false, UNANSWERED_BACKOFF_MS),
    };
    let answer = PermitAnswer {
        number: ask.number,
        granted,
        ready_ms: u32::try_from(ready_ms).unwrap_or(u32::MAX),
        address: ask.address,
        born: ask.born,
    };
    send(gateway, from, Body::PermitAnswer(answer)).await;
}

/// Hands the answer of a peer to the request that waits for it. A permit that comes too late is kept
/// for another request.
pub(super) fn take_answer(gateway: &Gateway, answer: &PermitAnswer) {
    let reply = match answer.granted {
        true => PermitReply::Granted,
        false => PermitReply::Denied {
            ready_ms: u64::from(answer.ready_ms),
        },
    };
    let waiting = gateway.permit_asks.take(answer.number);
    let is_taken = waiting.is_some_and(|sender| sender.send(reply).is_ok());
    if answer.granted && !is_taken {
        keep_permits(gateway, &answer.address, answer.born, 1.0);
    }
}

/// Adds the permits that a peer gives.
pub(super) fn take_gifts(gateway: &Gateway, gifts: &PermitGifts) {
    for gift in &gifts.gifts {
        let amount = gift.millionths as f64 / MILLIONTHS;
        keep_permits(gateway, &gift.address, gift.born, amount);
    }
}

fn keep_permits(gateway: &Gateway, address: &str, born: u64, amount: f64) {
    let mut state = gateway.state();
    if let Some(key) = named_upstream(&state, address, born) {
        state.permits.receive(gateway.clock.now(), key, amount);
    }
}

async fn send(gateway: &Gateway, to: SocketAddr, body: Body) {
    let Some(socket) = gateway.permit_asks.socket.get() else {
        return;
    };
    let frame = gateway.config.keys.seal(&Envelope {
        version: WIRE_VERSION,
        sender: gateway.config.message_address.to_string(),
        incarnation: 0,
        lamport: 0,
        body: Some(body),
    });
    gateway.metrics.messages_sent.inc();
    if let Err(error) = socket.send_to(&frame, to).await {
        spdlog::debug!("event=permit_message_failed peer={to} error=\"{error}\"");
    }
}
