//! Startup, main loop and graceful shutdown of the gateway. All tasks run on one thread; a stream
//! event is forwarded to the caller by the task that reads it from the upstream.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use gotham::router::build_simple_router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::runtime::Builder;
use tokio::sync::{watch, Notify};

use crate::clock::{BootClock, ClockTime};
use crate::config::GatewayConfig;
use crate::fetch::{self, HttpClient};
use crate::gateway::caller_connection::CallerTable;
use crate::gateway::chain_probe::ProbeTable;
use crate::gateway::own_delay::DELAY_INTERVAL_MS;
use crate::gateway::permit::PermitAsks;
use crate::gateway::pool::ConnectionPool;
use crate::gateway::shutdown::{ShutdownPhase, ShutdownSchedule, ShutdownStep};
use crate::gateway::state::{GatewaySetup, GatewayState};
use crate::gateway::upstream::UpstreamKey;
use crate::gateway::waiting::WaitingRequests;
use crate::gateway::{listener, peer_exchange, placement_runner, sync};
use crate::metric::MetricSet;
use crate::platform::kv::KvStore;
use crate::platform::order::StalledRequest;
use crate::platform::READY_PATH;
use crate::process::{dropped_log_lines, flush_logs, spawn_thread, EXIT_CUT_SHORT};
use crate::web::{self, build_response, RouteHandler};

/// Interval at which the state of each failure domain is logged, milliseconds.
const DOMAIN_LOG_INTERVAL_MS: u64 = 2_000;
/// Interval at which a graceful shutdown checks for requests in flight, milliseconds.
const SHUTDOWN_POLL_MS: u64 = 50;

/// The stalled requests in a replica's report, cached for other requests that need it.
#[derive(Clone, Debug)]
pub struct StalledReport {
    /// When the report was requested.
    pub requested_at: ClockTime,
    /// Requests that the replica received and that make no progress there or at a later replica of
    /// their chain.
    pub stalled: Arc<Vec<StalledRequest>>,
}

/// State shared by the tasks of a gateway.
#[derive(Debug)]
pub struct Gateway {
    state: Mutex<GatewayState>,
    /// A clock that keeps running while the VM is suspended.
    pub clock: BootClock,
    /// Idle connections to upstreams, kept for reuse.
    pub pool: ConnectionPool,
    /// The open connections of callers, and what is held for them.
    pub callers: CallerTable,
    /// Requests that wait for free capacity at the upstreams.
    pub waiting: WaitingRequests,
    /// The latest probes of the replicas of silent chains.
    pub probes: ProbeTable,
    /// HTTP client for report queries and orders to replicas.
    pub client: HttpClient,
    /// HTTP client for queries whose answers must be of now, and not left from an earlier exchange.
    pub unpooled_client: HttpClient,
    /// Metrics served on the readiness address.
    pub metrics: MetricSet,
    /// Notified to send load messages to the peers at once, without waiting for the next interval.
    pub peer_update: Notify,
    /// Asks for permits of other gateways.
    pub permit_asks: PermitAsks,
    /// Notified when there is a notice to write to the store.
    pub notice_update: Notify,
    /// Notified when an upstream may be in doubt.
    pub doubt_update: Notify,
    /// Cached reports of stalled requests, by the replica that was queried.
    pub stalled_reports: Mutex<HashMap<UpstreamKey, StalledReport>>,
    /// Current phase of a graceful shutdown.
    pub shutdown: watch::Sender<ShutdownPhase>,
    /// Settings read at startup.
    pub config: GatewayConfig,
}

impl Gateway {
    /// Locks the decision state. The lock is held for one decision and never across an await.
    pub fn state(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether new requests are refused because they might not finish before this VM stops.
    pub fn rejects_new_requests(&self) -> bool {
        *self.shutdown.borrow() >= ShutdownPhase::Closing
    }

    /// Waits until the requests in flight are to be ended.
    pub(super) async fn wait_for_ending(&self) {
        wait_for_phase(&mut self.shutdown.subscribe(), ShutdownPhase::Ending).await;
    }

    /// Number of requests that are being served, whose answers are not written completely, or that were
    /// refused while their bodies are still coming.
    fn in_flight(&self) -> usize {
        let served = usize::try_from(self.metrics.in_flight.get()).unwrap_or(0);
        served + self.callers.unwritten() + self.callers.discarding()
    }

    /// Whether responses close their connection, so that callers move to another VM: during a
    /// shutdown, or while the configuration may be outdated.
    pub fn closes_connections(&self) -> bool {
        let shutting_down = *self.shutdown.borrow() != ShutdownPhase::Serving;
        shutting_down || !self.state().proof.is_fresh(self.clock.now())
    }
}

/// Runs a gateway until it receives a shutdown signal. Returns the exit code.
///
/// # Errors
///
/// When a listen address cannot be bound, or a thread cannot be started.
pub fn run(config: GatewayConfig) -> eyre::Result<i32> {
    let (signal_count_sender, signal_count) = watch::channel(0_u32);
    count_signals(signal_count_sender)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(serve(config, signal_count));
    flush_logs();
    result
}

async fn serve(config: GatewayConfig, mut signal_count: watch::Receiver<u32>) -> eyre::Result<i32> {
    let state = GatewayState::new(GatewaySetup {
        domain: config.failure_domain.clone(),
        revoke_ms: config.revoke_ms,
        budget: config.budget,
        message_address: config.message_address,
        rng_seed: rand::random(),
    });
    let store = KvStore::new(config.platform_address.to_string());
    let metrics = MetricSet::new()?;
    let (shutdown, _) = watch::channel(ShutdownPhase::Serving);
    let gateway = Arc::new(Gateway {
        state: Mutex::new(state),
        clock: BootClock,
        pool: ConnectionPool::default(),
        callers: CallerTable::new(config.caller_room, metrics.clone()),
        waiting: WaitingRequests::new(metrics.waiting_requests.clone()),
        probes: ProbeTable::default(),
        client: fetch::client(),
        unpooled_client: fetch::unpooled_client(),
        metrics,
        peer_update: Notify::new(),
        permit_asks: PermitAsks::default(),
        notice_update: Notify::new(),
        doubt_update: Notify::new(),
        stalled_reports: Mutex::default(),
        shutdown,
        config,
    });
    spdlog::info!(
        "event=started role=gateway name={} domain={} front={} platform={}",
        gateway.config.name,
        gateway.config.failure_domain,
        gateway.config.front_address,
        gateway.config.platform_address
    );
    listener::listen(gateway.clone(), gateway.config.front_address).await?;
    serve_status(&gateway);
    peer_exchange::start(gateway.clone()).await?;
    let placement = sync::start(gateway.clone(), store);
    tokio::spawn(log_domains(gateway.clone()));
    tokio::spawn(measure_delay(gateway.clone()));
    let _ = signal_count.wait_for(|count| *count > 0).await;
    spdlog::info!("event=shutdown_requested in_flight={}", gateway.in_flight());
    gateway.state().draining = true;
    gateway.shutdown.send_replace(ShutdownPhase::Leaving);
    let drain_started_at = gateway.clock.now();
    tokio::spawn(placement_runner::release(placement));
    let mut schedule = ShutdownSchedule::new(drain_started_at, gateway.config.drain_limit_ms);
    loop {
        tokio::time::sleep(Duration::from_millis(SHUTDOWN_POLL_MS)).await;
        let (signals, in_flight) = (*signal_count.borrow(), gateway.in_flight());
        match schedule.step(gateway.clock.now(), signals, in_flight) {
            ShutdownStep::Continue(phase) => enter_phase(&gateway, phase, signals, in_flight),
            ShutdownStep::Stop => {
                spdlog::info!("event=stopped code=0");
                return Ok(0);
            }
            ShutdownStep::CutShort { requests } => {
                let ended = gateway.metrics.ended_by_stop_summary();
                spdlog::error!(
                    "event=shutdown_cut_short requests={requests} unanswered={in_flight} {ended}"
                );
                return Ok(EXIT_CUT_SHORT);
            }
        }
    }
}

/// Tells all tasks that a graceful shutdown has entered a phase.
fn enter_phase(gateway: &Gateway, phase: ShutdownPhase, signals: u32, in_flight: usize) {
    let previous = gateway.shutdown.send_replace(phase);
    if previous != phase {
        spdlog::info!("event=shutdown_phase phase={phase} in_flight={in_flight} signals={signals}");
    }
}

/// Waits until a graceful shutdown has entered a phase, or a later one.
pub(super) async fn wait_for_phase(
    shutdown: &mut watch::Receiver<ShutdownPhase>,
    phase: ShutdownPhase,
) {
    // An error means that the gateway was dropped, which ends the wait as well.
    let _ = shutdown.wait_for(|current| *current >= phase).await;
}

/// Measures at a fixed interval how late this task gets its turn on the thread.
async fn measure_delay(gateway: Arc<Gateway>) {
    let mut is_behind = false;
    loop {
        let due = Instant::now() + Duration::from_millis(DELAY_INTERVAL_MS);
        tokio::time::sleep_until(due.into()).await;
        let late_ms = u64::try_from(due.elapsed().as_millis()).unwrap_or(u64::MAX);
        let delay_ms = {
            let own_delay = &mut gateway.state().own_delay;
            own_delay.record(late_ms);
            own_delay.delay_ms()
        };
        gateway
            .metrics
            .own_delay_ms
            .set(i64::try_from(delay_ms).unwrap_or(i64::MAX));
        if is_behind != (delay_ms >= DELAY_INTERVAL_MS) {
            is_behind = !is_behind;
            spdlog::warn!("event=own_delay delay_ms={delay_ms} is_behind={is_behind}");
        }
    }
}

/// At a fixed interval, logs the state of each failure domain and, if log lines were dropped since
/// the last time, their number.
async fn log_domains(gateway: Arc<Gateway>) {
    let mut tick = tokio::time::interval(Duration::from_millis(DOMAIN_LOG_INTERVAL_MS));
    let mut dropped = 0;
    loop {
        tick.tick().await;
        let now = gateway.clock.now();
        let lines = gateway.state().domain_summaries(now);
        for line in lines {
            spdlog::info!("event=domain {line}");
        }
        let total = dropped_log_lines();
        if total > dropped {
            spdlog::warn!("event=log_lines_dropped lines={}", total - dropped);
            dropped = total;
        }
    }
}

/// Starts the HTTP server for readiness and metrics.
fn serve_status(gateway: &Arc<Gateway>) {
    let ready_gateway = gateway.clone();
    let ready = RouteHandler::new(move |_| {
        let now = ready_gateway.clock.now();
        let ready = ready_gateway.state().ready(now);
        async move {
            match ready {
                true => build_response(200, "text/plain", "ready\n"),
                false => build_response(503, "text/plain", "not ready\n"),
            }
        }
        .boxed()
    });
    let metrics_gateway = gateway.clone();
    let metrics = RouteHandler::new(move |_| {
        let text = metrics_gateway.metrics.prometheus_text();
        async move { build_response(200, "text/plain; version=0.0.4", text) }.boxed()
    });
    let router = build_simple_router(|route| {
        route.get(READY_PATH).to_new_handler(ready);
        route.get("/metrics").to_new_handler(metrics);
    });
    let address = gateway.config.ready_address;
    tokio::spawn(async move {
        if let Err(error) = web::serve(address, router).await {
            spdlog::error!("event=status_server_failed error=\"{error:#}\"");
        }
    });
}

/// Starts a thread that counts the SIGTERM and SIGINT signals received. SIGHUP is only logged,
/// since settings are read at startup only.
fn count_signals(count: watch::Sender<u32>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    spawn_thread("signal", move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                spdlog::info!("event=reload_ignored settings=unchanged");
            } else {
                count.send_modify(|count| *count += 1);
            }
        }
    })
}
