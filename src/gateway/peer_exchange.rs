//! Exchanges load messages with the other gateways in authenticated datagrams.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::UdpSocket;

use crate::clock::ClockTime;
use crate::gateway::notice::{judge_parts, keep_part, log_limit_change, KeptNotice};
use crate::gateway::part_ledger::ReplicaEnd;
use crate::gateway::peer::{PeerReport, LOAD_INTERVAL_MS};
use crate::gateway::permit::{answer_ask, give_permits, named_upstream, take_answer, take_gifts};
use crate::gateway::permit_table::{LimitSource, GIFT_INTERVAL_MS};
use crate::gateway::rate_limit::StatedLimit;
use crate::gateway::run::Gateway;
use crate::gateway::silence_check::note_end;
use crate::gateway::state::GatewayState;
use crate::gateway::task::spawn_lasting;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{Envelope, GatewayLoad, PermitAsk, UpstreamLimit};
use crate::wire::WIRE_VERSION;

/// Gap between two runs of the sending task from which the process counts as paused, milliseconds.
/// A gateway that is merely short of processor time comes later than its interval.
const MAX_PULSE_GAP_MS: u64 = 10 * LOAD_INTERVAL_MS;
/// Upper bound of the requests with crashes in one message, so that it fits into one packet.
const MAX_CRASHES_PER_MESSAGE: usize = 10;
/// Upper bound of the parts of prompts with crashes in one message, so that those with most crashes
/// fit into the receive buffer.
const MAX_PARTS_PER_MESSAGE: usize = 6;
/// Upper bound of the limits in one message, so that it fits into one packet.
const MAX_LIMITS_PER_MESSAGE: usize = 24;
/// Size of the receive buffer, bytes. The rest of a larger datagram is cut off.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Starts the tasks that send and receive load messages.
///
/// # Errors
///
/// When the socket cannot be bound.
pub async fn start(gateway: Arc<Gateway>) -> eyre::Result<()> {
    let address = gateway.config.message_address;
    let socket = UdpSocket::bind(address)
        .await
        .wrap_err_with(|| format!("could not bind the peer address {address}"))?;
    // The socket is bound once.
    let socket = gateway
        .permit_asks
        .socket
        .get_or_init(|| Arc::new(socket))
        .clone();
    let incarnation = rand::random();
    let pulse = Arc::new(LoopPulse::default());
    pulse.beat(gateway.clock.now());
    let (receiving_gateway, receiving_socket) = (gateway.clone(), socket.clone());
    let receiving_pulse = pulse.clone();
    spawn_lasting("peer_receive", move || {
        receive(
            receiving_gateway.clone(),
            receiving_socket.clone(),
            receiving_pulse.clone(),
        )
    });
    let giving_gateway = gateway.clone();
    spawn_lasting("permit_gifts", move || {
        give_permits_lastingly(giving_gateway.clone())
    });
    spawn_lasting("peer_send", move || {
        send_loads(gateway.clone(), socket.clone(), pulse.clone(), incarnation)
    });
    Ok(())
}

async fn send_loads(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    pulse: Arc<LoopPulse>,
    incarnation: u64,
) {
    let mut tick = tokio::time::interval(Duration::from_millis(LOAD_INTERVAL_MS));
    loop {
        pulse.beat(gateway.clock.now());
        tokio::select! {
            _ = tick.tick() => {}
            () = gateway.peer_update.notified() => {}
        }
        broadcast(&gateway, &socket, incarnation).await;
    }
}

async fn give_permits_lastingly(gateway: Arc<Gateway>) {
    let mut tick = tokio::time::interval(Duration::from_millis(GIFT_INTERVAL_MS));
    loop {
        tick.tick().await;
        give_permits(&gateway).await;
    }
}

/// When the sending task last ran. Messages that arrive long after it were held up with the whole
/// process: they lay in the socket while the VM was suspended or starved, and tell of the past.
#[derive(Debug, Default)]
struct LoopPulse(AtomicU64);

impl LoopPulse {
    fn beat(&self, now: ClockTime) {
        self.0.store(now.0, Ordering::Relaxed);
    }

    fn was_paused(&self, now: ClockTime) -> bool {
        now.since(ClockTime(self.0.load(Ordering::Relaxed))) > MAX_PULSE_GAP_MS
    }
}

/// Sends all known peers this gateway's load at its upstreams and on links, the deaths and
/// slowdowns that replicas reported to it, and the replicas that crashed under requests.
async fn broadcast(gateway: &Gateway, socket: &UdpSocket, incarnation: u64) {
    let now = gateway.clock.now();
    let (messages, peers) = {
        let state = &mut *gateway.state();
        state.peers.refresh_totals(now);
        let mut messages = state.peers.load_messages(now, &state.upstreams);
        messages[0].config_version = state.routes.config().version;
        messages[0].demands = state.reserve.take_report(now);
        let own_address = gateway.config.message_address;
        let earlier = state
            .peer_addresses
            .iter()
            .filter(|peer| **peer < own_address);
        state.parts.set_probe_rank(earlier.count());
        judge_parts(gateway, now, state);
        let part_crashes = state.parts.take_reports(now);
        let chunks = part_crashes.chunks(MAX_PARTS_PER_MESSAGE);
        messages.extend(chunks.map(|chunk| GatewayLoad {
            part_crashes: chunk.to_vec(),
            ..GatewayLoad::default()
        }));
        let crashes = state.crashes.take_reports(now);
        let chunks = crashes.chunks(MAX_CRASHES_PER_MESSAGE);
        messages.extend(chunks.map(|chunk| GatewayLoad {
            crashes: chunk.to_vec(),
            ..GatewayLoad::default()
        }));
        let limits = limit_reports(now, state);
        let chunks = limits.chunks(MAX_LIMITS_PER_MESSAGE);
        messages.extend(chunks.map(|chunk| GatewayLoad {
            limits: chunk.to_vec(),
            ..GatewayLoad::default()
        }));
        state.upstreams.reset_unreported();
        (messages, state.peer_addresses.clone())
    };
    for message in messages {
        let frame = gateway.config.keys.seal(&Envelope {
            version: WIRE_VERSION,
            sender: gateway.config.message_address.to_string(),
            incarnation,
            lamport: 0,
            body: Some(Body::GatewayLoad(message)),
        });
        for peer in &peers {
            if let Err(error) = socket.send_to(&frame, peer).await {
                spdlog::debug!("event=load_send_failed peer={peer} error=\"{error}\"");
            }
        }
        gateway.metrics.messages_sent.inc_by(peers.len() as u64);
    }
}

/// The limits to tell the peers.
fn limit_reports(now: ClockTime, state: &mut GatewayState) -> Vec<UpstreamLimit> {
    let reports = state.permits.take_reports(now);
    let reports = reports.into_iter().map(|(key, stated)| {
        let entry = &state.upstreams.get(key).entry;
        stated.encode(now, entry.address, entry.born)
    });
    reports.collect()
}

/// Applies what a peer heard from an upstream.
fn apply_limit(now: ClockTime, state: &mut GatewayState, limit: &UpstreamLimit, from: SocketAddr) {
    let Some(key) = named_upstream(state, &limit.address, limit.born) else {
        return;
    };
    let stated = StatedLimit::decode(now, limit);
    if let Some(change) = state.apply_stated_limit(now, key, stated, LimitSource::Peer) {
        log_limit_change(state, key, change, &format!("peer={from}"));
    }
}

async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, pulse: Arc<LoopPulse>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            // The peers send the same again within an interval.
            Ok((_, from)) if pulse.was_paused(gateway.clock.now()) => {
                spdlog::debug!("event=load_dropped peer={from} error=held_up");
            }
            Ok((length, from)) => {
                if let Some(ask) = handle_frame(&gateway, &buffer[..length], from) {
                    answer_ask(&gateway, ask, from).await;
                }
            }
            Err(error) => {
                spdlog::debug!("event=load_receive_failed error=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(LOAD_INTERVAL_MS)).await;
            }
        }
    }
}

/// The crashes of which a peer tells.
fn crash_ends(now: ClockTime, load: &GatewayLoad) -> Vec<ReplicaEnd> {
    let of_requests = load.crashes.iter().flat_map(|report| &report.crashes);
    let of_parts = load.part_crashes.iter().flat_map(|report| &report.crashes);
    let of_requests = of_requests.map(|crash| (&crash.address, crash.ago_ms));
    let of_parts = of_parts.map(|crash| (&crash.address, crash.ago_ms));
    let ends = of_requests.chain(of_parts).filter_map(|(address, ago_ms)| {
        Some(ReplicaEnd {
            replica: address.parse().ok()?,
            at: now - u64::from(ago_ms),
        })
    });
    ends.collect()
}

/// Applies a message. Returns the ask for a permit that it contains, which is to be answered.
fn handle_frame(gateway: &Gateway, frame: &[u8], from: SocketAddr) -> Option<PermitAsk> {
    let envelope = match gateway.config.keys.open(frame) {
        Ok(envelope) => envelope,
        Err(error) => {
            spdlog::warn!("event=load_dropped peer={from} error={error}");
            return None;
        }
    };
    let now = gateway.clock.now();
    gateway.state().permits.record_heard(now, from);
    match envelope.body {
        Some(Body::GatewayLoad(load)) => {
            apply_load(gateway, &envelope.sender, &load, from);
            note_silent_ends(gateway, now, &load);
        }
        Some(Body::PermitAsk(ask)) => return Some(ask),
        Some(Body::PermitAnswer(answer)) => take_answer(gateway, &answer),
        Some(Body::PermitGifts(gifts)) => take_gifts(gateway, &gifts),
        _ => spdlog::warn!("event=load_dropped peer={from} error=unexpected_message"),
    }
    None
}

/// Heeds that a peer saw the crash of a replica that is silent.
fn note_silent_ends(gateway: &Gateway, now: ClockTime, load: &GatewayLoad) {
    for end in crash_ends(now, load) {
        let key = gateway.state().upstreams.by_address(end.replica);
        if let Some(key) = key {
            note_end(gateway, key, end.at);
        }
    }
}

fn apply_load(gateway: &Gateway, sender: &str, load: &GatewayLoad, from: SocketAddr) {
    let now = gateway.clock.now();
    let state = &mut *gateway.state();
    if !load.demands.is_empty() {
        state.reserve.apply_report(now, sender, &load.demands);
    }
    for limit in &load.limits {
        apply_limit(now, state, limit, from);
    }
    for report in &load.crashes {
        if let Some(fingerprint) = state.crashes.apply_report(now, report) {
            spdlog::warn!("event=request_quarantined fingerprint={fingerprint} peer={from}");
            // Where gateways see crashes at the same time, none of them records the last one: it
            // is known only once their reports are merged.
            if state.crashes.observed_here(fingerprint) {
                state.notices.add(KeptNotice::Quarantine(fingerprint));
                gateway.notice_update.notify_one();
            }
        }
    }
    for report in &load.part_crashes {
        if let Some((part, certainty)) = state.parts.apply_report(now, report) {
            spdlog::warn!(
                "event=prompt_part_quarantined part={part} certainty={certainty} peer={from}"
            );
            keep_part(gateway, state, part, Some(certainty));
        }
    }
    for end in crash_ends(now, load) {
        if state.blame_abandoned(end) {
            gateway.peer_update.notify_one();
        }
    }
    if state.apply_peer_version(load.config_version) {
        spdlog::debug!(
            "event=peer_has_newer_config version={} peer={from}",
            load.config_version
        );
    }
    for update in state
        .peers
        .apply_report(now, sender, load, &state.upstreams)
    {
        match update {
            PeerReport::ReportedDead(key, ago_ms) => {
                if state.upstreams.apply_peer_death(now, key, ago_ms) {
                    let id = &state.upstreams.get(key).entry.id;
                    spdlog::info!(
                        "event=peer_reported_upstream_dead id={id} peer={from} ago_ms={ago_ms}"
                    );
                }
            }
            PeerReport::Leaving(key) => {
                if state.upstreams.mark_told_leaving(key) {
                    let entry = &state.upstreams.get(key).entry;
                    let (id, born) = (&entry.id, entry.born);
                    spdlog::info!("event=upstream_leaving id={id} born={born} peer={from}");
                }
            }
            PeerReport::LeavingElsewhere(address, born) => {
                state.upstreams.apply_told_elsewhere(address, born);
                gateway.doubt_update.notify_one();
            }
            PeerReport::Slowdown(key, slowdown) => {
                if state.upstreams.apply_slowdown(now, key, slowdown, false) {
                    let id = &state.upstreams.get(key).entry.id;
                    spdlog::info!(
                        "event=upstream_slowdown_changed id={id} slowdown={slowdown} peer={from}"
                    );
                }
            }
        }
    }
}
