//! Runs [`AgentState`]: threads for messages, the upstream, the platform, HTTP and signals send
//! their inputs to one event loop through a bounded channel.

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
use crate::agent::upstream::{engine_loop, fetch_engine_role, service_loop};
use crate::agent::{AgentOutput, EngineCommand, ServiceDispatch};
use crate::clock::MonotonicClock;
use crate::config::{AgentConfig, UpstreamAddress};
use crate::event::{wall_millis, EventKind, PendingEvent};
use crate::fetch;
use crate::messaging::{self, MessageSender, MessagingEvent};
use crate::process::{
    common_routes, on_shutdown_signal, spawn_thread, ProcessContext, ShutdownStep, ShutdownTracker,
    FLUSH_MS,
};
use crate::store::etcd::EtcdStore;
use crate::store::{PlatformRequest, PlatformStore};
use crate::web::{build_response, serve, RouteHandler};

/// Maximum number of inputs that wait for the event loop.
const MAX_QUEUED_INPUTS: usize = 8_192;
/// Maximum number of outputs that wait for one I/O thread.
const MAX_QUEUED_OUTPUTS: usize = 65_536;
/// Maximum time for which the event loop waits for an input, in milliseconds.
const MAX_SLEEP_MS: u64 = 1_000;

impl From<MessagingEvent> for AgentInput {
    fn from(event: MessagingEvent) -> AgentInput {
        AgentInput::Message(event)
    }
}

/// Channels on which the event loop passes the effects of [`AgentState`] to the I/O threads.
struct AgentChannels {
    message_sender: MessageSender<AgentInput>,
    engine: mpsc::Sender<EngineCommand>,
    service: mpsc::Sender<ServiceDispatch>,
    platform: mpsc::Sender<(u64, PlatformRequest)>,
    context: ProcessContext,
}

/// Runs an agent until its graceful shutdown ends. Returns the exit code.
///
/// # Errors
///
/// If the message address cannot be listened on, a thread cannot be started, or a channel is
/// closed. If the HTTP server fails, the process exits instead.
pub fn run(config: AgentConfig) -> eyre::Result<i32> {
    let context = ProcessContext::new(&config.message_address.to_string(), config.keys.clone())?;
    let (input_sender, inputs) = bounded(MAX_QUEUED_INPUTS);
    let (engine, engine_commands) = mpsc::channel(MAX_QUEUED_OUTPUTS);
    let (service, dispatches) = mpsc::channel(MAX_QUEUED_OUTPUTS);
    let (platform, requests) = mpsc::channel(MAX_QUEUED_OUTPUTS);
    let draining = Arc::new(AtomicBool::new(false));
    start_http(config.http_address, &context, draining.clone())?;
    let upstream = start_upstream(
        &config,
        input_sender.clone(),
        engine_commands,
        dispatches,
        &context,
    )?;
    start_platform(&config, input_sender.clone(), requests)?;
    messaging::listen(&context.identity, input_sender.clone())?;
    start_signals(input_sender.clone())?;
    let setup = AgentSetup {
        name: config.name.clone(),
        admin_address: config.http_address.to_string(),
        failure_domain: config.failure_domain.clone(),
        region: config.region.clone(),
        entries: config.entries.iter().map(ToString::to_string).collect(),
        limit: config.in_flight_limit,
        upstream,
        wall_start_ms: wall_millis(),
    };
    let channels = AgentChannels {
        message_sender: MessageSender::new(context.identity.clone(), input_sender),
        engine,
        service,
        platform,
        context,
    };
    let facts = format!("role=agent name={}", config.name);
    channels
        .context
        .events
        .record(PendingEvent::new(EventKind::ProcessStarted, "", facts));
    run_event_loop(
        AgentState::new(setup),
        channels,
        &inputs,
        &draining,
        config.drain_limit_ms,
    )
}

fn run_event_loop(
    mut state: AgentState,
    mut channels: AgentChannels,
    inputs: &Receiver<AgentInput>,
    draining: &AtomicBool,
    drain_limit_ms: u64,
) -> eyre::Result<i32> {
    let clock = MonotonicClock::start();
    // Entries answer the callers of an agent that has exited.
    let mut shutdown = ShutdownTracker::new(drain_limit_ms, 0);
    loop {
        let now = clock.now();
        let wake = state.next_wake().min(shutdown.next_wake(now));
        let sleep = wake.since(now).min(MAX_SLEEP_MS);
        let input = match inputs.recv_timeout(Duration::from_millis(sleep)) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => AgentInput::Tick,
            Err(RecvTimeoutError::Disconnected) => return Err(eyre!("all I/O threads ended")),
        };
        let now = clock.now();
        if matches!(input, AgentInput::Drain) {
            shutdown.record_signal(now);
            draining.store(true, Ordering::Relaxed);
        }
        for output in state.handle(now, input) {
            channels.perform(output)?;
        }
        let in_flight = i64::try_from(state.in_flight()).unwrap_or(i64::MAX);
        channels.context.metrics.in_flight.set(in_flight);
        let step = shutdown.step(now, state.is_drained(), state.in_flight());
        if let ShutdownStep::Exit(code) = step {
            for output in state.release_lease() {
                channels.perform(output)?;
            }
            thread::sleep(Duration::from_millis(FLUSH_MS));
            return Ok(code);
        }
    }
}

impl AgentChannels {
    fn perform(&mut self, output: AgentOutput) -> eyre::Result<()> {
        match output {
            AgentOutput::Message(message) => {
                self.context.metrics.messages_sent.inc();
                self.message_sender.send(message);
            }
            AgentOutput::Engine(command) => {
                if let EngineCommand::Pass { inputs, .. } = &command {
                    let positions = u64::try_from(inputs.len()).unwrap_or(0);
                    self.context.metrics.tokens.inc_by(positions);
                }
                self.engine.blocking_send(command)?;
            }
            AgentOutput::Service(dispatch) => self.service.blocking_send(dispatch)?,
            AgentOutput::Platform(number, request) => {
                self.context.metrics.platform_requests.inc();
                self.platform.blocking_send((number, request))?;
            }
            AgentOutput::Event(event) => self.context.events.record(event),
        }
        Ok(())
    }
}

fn start_upstream(
    config: &AgentConfig,
    input_sender: Sender<AgentInput>,
    commands: mpsc::Receiver<EngineCommand>,
    dispatches: mpsc::Receiver<ServiceDispatch>,
    context: &ProcessContext,
) -> eyre::Result<UpstreamSetup> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    match &config.upstream {
        UpstreamAddress::Engine(address) => {
            let address = address.to_string();
            let role = runtime.block_on(fetch_engine_role(&fetch::client(), &address));
            spawn_thread("upstream", move || {
                runtime.block_on(engine_loop(address, commands, input_sender))
            })?;
            Ok(UpstreamSetup::Engine { role })
        }
        UpstreamAddress::Service(address) => {
            let address = address.to_string();
            spawn_thread("upstream", move || {
                runtime.block_on(service_loop(address, dispatches, input_sender));
            })?;
            Ok(UpstreamSetup::Service {
                owner: config.owner_setup(&context.identity),
            })
        }
    }
}

fn start_platform(
    config: &AgentConfig,
    input_sender: Sender<AgentInput>,
    mut requests: mpsc::Receiver<(u64, PlatformRequest)>,
) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let store = EtcdStore::new(config.platform_address.to_string());
    spawn_thread("platform", move || {
        runtime.block_on(async move {
            while let Some((number, request)) = requests.recv().await {
                let response = store.send(request);
                let input_sender = input_sender.clone();
                tokio::spawn(async move {
                    let _ = input_sender.send(AgentInput::Platform(number, response.await));
                });
            }
        });
    })
}

fn start_signals(input_sender: Sender<AgentInput>) -> eyre::Result<()> {
    on_shutdown_signal(move |_| {
        let _ = input_sender.send(AgentInput::Drain);
    })
}

fn start_http(
    address: SocketAddr,
    context: &ProcessContext,
    draining: Arc<AtomicBool>,
) -> eyre::Result<()> {
    let router = build_simple_router(|route| {
        common_routes(route, context);
        let ready = RouteHandler::new(move |_| {
            let draining = draining.load(Ordering::Relaxed);
            async move {
                match draining {
                    true => build_response(503, "text/plain", "draining\n"),
                    false => build_response(200, "text/plain", "ready\n"),
                }
            }
            .boxed()
        });
        route.get("/readyz").to_new_handler(ready);
    });
    let runtime = Builder::new_current_thread().enable_all().build()?;
    spawn_thread("http", move || {
        if let Err(error) = runtime.block_on(serve(address, router)) {
            spdlog::critical!("event=http_failed error=\"{error}\"");
            std::process::exit(1);
        }
    })
}
