//! Drives [`AgentState`]: threads for mail, the upstream, the platform, HTTP and signals, joined
//! to the deciding thread by one bounded ring.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use eyre::eyre;
use futures_util::FutureExt;
use gotham::router::builder::{build_simple_router, DefineSingleRoute, DrawRoutes};
use tokio::runtime::Builder;
use tokio::sync::mpsc;

use crate::agent::state::{AgentInput, AgentSetup, AgentState, UpstreamSetup};
use crate::agent::upstream::{engine_loop, engine_role, service_loop};
use crate::agent::{AgentOutput, EngineOrder, ServiceDispatch};
use crate::clock::MonotonicClock;
use crate::config::{AgentConfig, UpstreamAddress};
use crate::event::{wall_millis, EventKind, EventNote};
use crate::fetch;
use crate::mail::{self, MailEvent, MailPost};
use crate::process::{common_routes, on_stop_signal, spawn, DrainWatch, ProcessParts, FLUSH_MS};
use crate::store::etcd::EtcdStore;
use crate::store::{PlatformCall, PlatformStore};
use crate::web::{answer, serve, WebRoute};

/// Inputs that may wait for the deciding thread.
const RING_INPUTS: usize = 8_192;
/// Orders that may wait for an edge.
const EDGE_ORDERS: usize = 65_536;
/// Longest sleep of the deciding thread, milliseconds.
const SLEEP_MS: u64 = 1_000;

impl From<MailEvent> for AgentInput {
    fn from(event: MailEvent) -> AgentInput {
        AgentInput::Mail(event)
    }
}

/// The ways out of the deciding thread.
struct AgentEdges {
    post: MailPost<AgentInput>,
    engine: mpsc::Sender<EngineOrder>,
    service: mpsc::Sender<ServiceDispatch>,
    platform: mpsc::Sender<(u64, PlatformCall)>,
    parts: ProcessParts,
}

/// Runs an agent until it is told to stop. Returns the exit code.
///
/// # Errors
///
/// When an address cannot be listened on, or a thread cannot be started.
pub fn run(config: AgentConfig) -> eyre::Result<i32> {
    let parts = ProcessParts::start(&config.mail_address.to_string(), config.keys.clone())?;
    let (ring, inputs) = bounded(RING_INPUTS);
    let (engine, engine_orders) = mpsc::channel(EDGE_ORDERS);
    let (service, dispatches) = mpsc::channel(EDGE_ORDERS);
    let (platform, calls) = mpsc::channel(EDGE_ORDERS);
    let draining = Arc::new(AtomicBool::new(false));
    start_http(config.http_address, &parts, draining.clone())?;
    let upstream = start_upstream(&config, ring.clone(), engine_orders, dispatches, &parts)?;
    start_platform(&config, ring.clone(), calls)?;
    mail::listen(&parts.identity, ring.clone())?;
    start_signals(ring.clone())?;
    let setup = AgentSetup {
        name: config.name.clone(),
        admin_address: config.http_address.to_string(),
        failure_domain: config.failure_domain.clone(),
        region: config.region.clone(),
        entries: config.entries.iter().map(ToString::to_string).collect(),
        limit: config.limit,
        upstream,
        wall_start_ms: wall_millis(),
    };
    let edges = AgentEdges {
        post: MailPost::new(parts.identity.clone(), ring),
        engine,
        service,
        platform,
        parts,
    };
    let facts = format!("role=agent name={}", config.name);
    edges
        .parts
        .events
        .record(EventNote::new(EventKind::ProcessStarted, "", facts));
    decide(
        AgentState::new(setup),
        edges,
        &inputs,
        &draining,
        config.drain_limit_ms,
    )
}

fn decide(
    mut state: AgentState,
    mut edges: AgentEdges,
    inputs: &Receiver<AgentInput>,
    draining: &AtomicBool,
    drain_limit_ms: u64,
) -> eyre::Result<i32> {
    let clock = MonotonicClock::start();
    let mut drain = DrainWatch::new(drain_limit_ms);
    loop {
        let sleep = state.wake().since(clock.now()).min(SLEEP_MS);
        let input = match inputs.recv_timeout(Duration::from_millis(sleep)) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => AgentInput::Tick,
            Err(RecvTimeoutError::Disconnected) => return Err(eyre!("every edge has ended")),
        };
        let now = clock.now();
        if matches!(input, AgentInput::Drain) {
            drain.signal(now);
            draining.store(true, Ordering::Relaxed);
        }
        for output in state.handle(now, input) {
            edges.carry_out(output)?;
        }
        let gauge = i64::try_from(state.in_flight()).unwrap_or(i64::MAX);
        edges.parts.metrics.in_flight.set(gauge);
        if let Some(code) = drain.code(now, state.is_drained(), state.in_flight()) {
            for output in state.finish() {
                edges.carry_out(output)?;
            }
            thread::sleep(Duration::from_millis(FLUSH_MS));
            return Ok(code);
        }
    }
}

impl AgentEdges {
    fn carry_out(&mut self, output: AgentOutput) -> eyre::Result<()> {
        match output {
            AgentOutput::Mail(mail) => {
                self.parts.metrics.mail_sent.inc();
                self.post.send(mail);
            }
            AgentOutput::Engine(order) => {
                if let EngineOrder::Pass { inputs, .. } = &order {
                    let positions = u64::try_from(inputs.len()).unwrap_or(0);
                    self.parts.metrics.tokens.inc_by(positions);
                }
                self.engine.blocking_send(order)?;
            }
            AgentOutput::Service(dispatch) => self.service.blocking_send(dispatch)?,
            AgentOutput::Platform(number, call) => {
                self.parts.metrics.platform_calls.inc();
                self.platform.blocking_send((number, call))?;
            }
            AgentOutput::Note(note) => self.parts.events.record(note),
        }
        Ok(())
    }
}

fn start_upstream(
    config: &AgentConfig,
    ring: Sender<AgentInput>,
    orders: mpsc::Receiver<EngineOrder>,
    dispatches: mpsc::Receiver<ServiceDispatch>,
    parts: &ProcessParts,
) -> eyre::Result<UpstreamSetup> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    match &config.upstream {
        UpstreamAddress::Engine(address) => {
            let address = address.to_string();
            let role = runtime.block_on(engine_role(&fetch::client(), &address));
            spawn("upstream", move || {
                runtime.block_on(engine_loop(address, orders, ring))
            })?;
            Ok(UpstreamSetup::Engine { role })
        }
        UpstreamAddress::Service(address) => {
            let address = address.to_string();
            spawn("upstream", move || {
                runtime.block_on(service_loop(address, dispatches, ring));
            })?;
            Ok(UpstreamSetup::Service {
                owner: config.owner_setup(&parts.identity),
            })
        }
    }
}

fn start_platform(
    config: &AgentConfig,
    ring: Sender<AgentInput>,
    mut calls: mpsc::Receiver<(u64, PlatformCall)>,
) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let store = EtcdStore::new(config.platform.to_string());
    spawn("platform", move || {
        runtime.block_on(async move {
            while let Some((number, call)) = calls.recv().await {
                let answer = store.call(call);
                let ring = ring.clone();
                tokio::spawn(async move {
                    let _ = ring.send(AgentInput::Platform(number, answer.await));
                });
            }
        });
    })
}

fn start_signals(ring: Sender<AgentInput>) -> eyre::Result<()> {
    on_stop_signal(move |_| {
        let _ = ring.send(AgentInput::Drain);
    })
}

fn start_http(
    address: SocketAddr,
    parts: &ProcessParts,
    draining: Arc<AtomicBool>,
) -> eyre::Result<()> {
    let router = build_simple_router(|route| {
        common_routes(route, parts);
        let ready = WebRoute::new(move |_| {
            let draining = draining.load(Ordering::Relaxed);
            async move {
                match draining {
                    true => answer(503, "text/plain", "draining\n"),
                    false => answer(200, "text/plain", "ready\n"),
                }
            }
            .boxed()
        });
        route.get("/readyz").to_new_handler(ready);
    });
    let runtime = Builder::new_current_thread().enable_all().build()?;
    spawn("http", move || {
        if let Err(error) = runtime.block_on(serve(address, router)) {
            spdlog::critical!("event=http_failed error=\"{error}\"");
            std::process::exit(1);
        }
    })
}
