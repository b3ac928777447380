//! Drives the gateway: one thread with one event loop serves callers, upstreams and the store,
//! so that an event of a stream is passed on by the task that read it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

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
use crate::gateway::pool::ConnectionPool;
use crate::gateway::state::{GatewaySetup, GatewayState};
use crate::gateway::upstream::UpstreamKey;
use crate::gateway::{front, gossip, placing, sync};
use crate::metric::MetricSet;
use crate::platform::kv::KvStore;
use crate::platform::order::StalledRequest;
use crate::platform::READY_PATH;
use crate::process::{dropped_lines, flush_logs, spawn, EXIT_CUT};
use crate::web::{self, answer, WebRoute};

/// Time after the signal to stop in which the balancer learns of it, milliseconds.
const LEAVE_MS: u64 = 2_500;
/// Time before the bound of a planned stop at which it ends, milliseconds.
const STOP_MARGIN_MS: u64 = 400;
/// Time between two lines on each failure domain in the log, milliseconds.
const DOMAIN_LOG_MS: u64 = 2_000;
/// Time between two looks whether all requests have ended, milliseconds.
const STOP_LOOK_MS: u64 = 50;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop was asked for.
    Serving,
    /// New connections may still come; each answer closes its connection.
    Leaving,
    /// Idle connections are closed and new requests refused.
    Closing,
}

/// What a replica said of requests that do not get on.
#[derive(Clone, Debug)]
pub struct StalledReport {
    /// When it was asked.
    pub asked: ClockTime,
    /// Those requests.
    pub stalled: Arc<Vec<StalledRequest>>,
}

/// What the tasks of a gateway share.
#[derive(Debug)]
pub struct Gateway {
    state: Mutex<GatewayState>,
    /// The clock that counts suspension.
    pub clock: BootClock,
    /// Idle connections to upstreams.
    pub pool: ConnectionPool,
    /// Asks replicas for reports and gives them orders.
    pub client: HttpClient,
    /// Its metrics.
    pub metrics: MetricSet,
    /// Wakes the task that tells peers, when there is news for them.
    pub news: Notify,
    /// What replicas said of requests that do not get on, and when.
    pub reports: Mutex<HashMap<UpstreamKey, StalledReport>>,
    /// How far a planned stop has come.
    pub stop: watch::Sender<StopPhase>,
    /// Its settings.
    pub config: GatewayConfig,
}

impl Gateway {
    /// The deciding state. It is held for one decision and never across a wait.
    pub fn state(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether new requests are refused, since they might not end before this VM stops.
    pub fn refuses_new(&self) -> bool {
        *self.stop.borrow() == StopPhase::Closing
    }

    /// Whether callers are better served elsewhere: their connections end with the answer.
    pub fn leads_away(&self) -> bool {
        let stopping = *self.stop.borrow() != StopPhase::Serving;
        stopping || !self.state().proof.is_fresh(self.clock.now())
    }
}

/// Runs a gateway until it is told to stop. Returns the exit code.
///
/// # Errors
///
/// When an address cannot be listened on, or a thread cannot be started.
pub fn run(config: GatewayConfig) -> eyre::Result<i32> {
    let (signals, signalled) = watch::channel(0_u32);
    on_signal(signals)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(serve(config, signalled));
    flush_logs();
    result
}

async fn serve(config: GatewayConfig, mut signalled: watch::Receiver<u32>) -> eyre::Result<i32> {
    let state = GatewayState::new(GatewaySetup {
        domain: config.failure_domain.clone(),
        revoke_ms: config.revoke_ms,
        budget: config.budget,
        rng_seed: rand::random(),
    });
    let store = KvStore::new(config.platform.to_string());
    let (stop, _) = watch::channel(StopPhase::Serving);
    let gateway = Arc::new(Gateway {
        state: Mutex::new(state),
        clock: BootClock,
        pool: ConnectionPool::default(),
        client: fetch::client(),
        metrics: MetricSet::new()?,
        news: Notify::new(),
        reports: Mutex::default(),
        stop,
        config,
    });
    spdlog::info!(
        "event=started role=gateway name={} domain={} front={} platform={}",
        gateway.config.name,
        gateway.config.failure_domain,
        gateway.config.front_address,
        gateway.config.platform
    );
    front::listen(gateway.clone(), gateway.config.front_address).await?;
    serve_ready(&gateway);
    gossip::start(gateway.clone()).await?;
    let duty = sync::start(gateway.clone(), store);
    tokio::spawn(log_domains(gateway.clone()));
    let _ = signalled.wait_for(|count| *count > 0).await;
    spdlog::info!(
        "event=stop_asked in_flight={}",
        gateway.metrics.in_flight.get()
    );
    gateway.state().draining = true;
    gateway.stop.send_replace(StopPhase::Leaving);
    let began = gateway.clock.now();
    placing::release(duty).await;
    let limit = gateway.config.drain_limit_ms.saturating_sub(STOP_MARGIN_MS);
    loop {
        tokio::time::sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        let taken = gateway.clock.now().since(began);
        if taken >= LEAVE_MS.min(limit) {
            gateway.stop.send_replace(StopPhase::Closing);
        }
        let in_flight = gateway.metrics.in_flight.get();
        if in_flight == 0 && taken >= LEAVE_MS + STOP_LOOK_MS * 2 {
            spdlog::info!("event=stopped code=0");
            return Ok(0);
        }
        if taken >= limit || *signalled.borrow() > 1 {
            spdlog::error!("event=stop_cut requests={in_flight}");
            return Ok(EXIT_CUT);
        }
    }
}

/// Logs how each failure domain does.
async fn log_domains(gateway: Arc<Gateway>) {
    let mut tick = tokio::time::interval(Duration::from_millis(DOMAIN_LOG_MS));
    let mut dropped = 0;
    loop {
        tick.tick().await;
        let now = gateway.clock.now();
        let lines = gateway.state().domain_lines(now);
        for line in lines {
            spdlog::info!("event=domain {line}");
        }
        let all = dropped_lines();
        if all > dropped {
            spdlog::warn!("event=log_dropped lines={}", all - dropped);
            dropped = all;
        }
    }
}

fn serve_ready(gateway: &Arc<Gateway>) {
    let asked = gateway.clone();
    let ready = WebRoute::new(move |_| {
        let now = asked.clock.now();
        let ready = asked.state().ready(now);
        async move {
            match ready {
                true => answer(200, "text/plain", "ready\n"),
                false => answer(503, "text/plain", "not ready\n"),
            }
        }
        .boxed()
    });
    let measured = gateway.clone();
    let metrics = WebRoute::new(move |_| {
        let text = measured.metrics.text();
        async move { answer(200, "text/plain; version=0.0.4", text) }.boxed()
    });
    let router = build_simple_router(|route| {
        route.get(READY_PATH).to_new_handler(ready);
        route.get("/metrics").to_new_handler(metrics);
    });
    let address = gateway.config.ready_address;
    tokio::spawn(async move {
        if let Err(error) = web::serve(address, router).await {
            spdlog::error!("event=ready_ended error=\"{error:#}\"");
        }
    });
}

/// Counts signals to stop; a signal that settings have changed is logged, since all settings are
/// read at the start only.
fn on_signal(count: watch::Sender<u32>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    spawn("signal", move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                spdlog::info!("event=reload settings=unchanged");
            } else {
                count.send_modify(|count| *count += 1);
            }
        }
    })
}
