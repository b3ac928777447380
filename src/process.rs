//! What both processes need to run: identity, logs, signals, and the HTTP routes they share.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use eyre::{eyre, WrapErr};
use futures_util::FutureExt;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

use crate::clock::ClockTime;
use crate::event::EventRing;
use crate::mail::{LamportClock, MailIdentity};
use crate::metric::MetricSet;
use crate::web::{answer, answer_json, WebRoute};
use crate::wire::FrameKeys;

/// Exit code after a stop that cut requests short.
pub const EXIT_CUT: i32 = 3;
/// Time for the last messages and bytes to leave, milliseconds.
pub const FLUSH_MS: u64 = 300;
/// Time after the start of a planned stop in which others learn of it, milliseconds.
const LINGER_MS: u64 = 1_000;

/// The parts of a process that its threads share: its identity, its time line and its metrics.
#[derive(Clone, Debug)]
pub struct ProcessParts {
    /// Who it is, towards other processes.
    pub identity: MailIdentity,
    /// Its time line.
    pub events: EventRing,
    /// Its metrics.
    pub metrics: MetricSet,
}

impl ProcessParts {
    /// The parts of a process that starts now.
    ///
    /// # Errors
    ///
    /// When the metrics cannot be registered.
    pub fn start(address: &str, keys: FrameKeys) -> eyre::Result<ProcessParts> {
        let clock = LamportClock::default();
        let incarnation = rand::random();
        Ok(ProcessParts {
            events: EventRing::new(address.to_owned(), incarnation, clock.clone()),
            identity: MailIdentity {
                address: address.to_owned(),
                incarnation,
                keys,
                clock,
            },
            metrics: MetricSet::new()?,
        })
    }
}

/// A planned stop: begun by a signal, ended by idleness, its bound, or a second signal.
#[derive(Clone, Copy, Debug)]
pub struct DrainWatch {
    limit_ms: u64,
    began: Option<ClockTime>,
    signals: u32,
}

impl DrainWatch {
    /// No stop yet; one may take `limit_ms` milliseconds.
    pub fn new(limit_ms: u64) -> DrainWatch {
        DrainWatch {
            limit_ms,
            began: None,
            signals: 0,
        }
    }

    /// A signal to stop came.
    pub fn signal(&mut self, now: ClockTime) {
        self.began.get_or_insert(now);
        self.signals += 1;
    }

    /// The exit code, once the process should end; what is cut is logged.
    pub fn code(&self, now: ClockTime, idle: bool, in_flight: usize) -> Option<i32> {
        let taken = now.since(self.began?);
        if idle && taken >= LINGER_MS {
            spdlog::info!("event=stopped code=0");
            return Some(0);
        }
        if taken >= self.limit_ms || self.signals > 1 {
            spdlog::error!("event=stop_cut requests={in_flight}");
            return Some(EXIT_CUT);
        }
        None
    }
}

/// Starts the thread of a duty.
///
/// # Errors
///
/// When the system has no thread to give.
pub fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .spawn(duty)
        .map_err(|error| eyre!("could not start the {name} thread: {error}"))?;
    Ok(())
}

/// Log lines that may wait to be written.
const LOG_LINES: usize = 8_192;
/// Log lines that were dropped, as more came than could be written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Log lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits until the log lines so far are written.
pub fn flush_logs() {
    spdlog::default_logger().flush();
    thread::sleep(Duration::from_millis(LOG_FLUSH_MS));
}

/// Time for the last log lines to be written, milliseconds.
const LOG_FLUSH_MS: u64 = 20;

/// Sends logs to standard output, one key=value line per event. Nobody waits for a line to be
/// written; lines beyond a bound are dropped and counted.
///
/// # Errors
///
/// When the logger cannot be built.
pub fn init_logs(level: LevelFilter) -> eyre::Result<()> {
    let line = pattern!("time={date}T{time}.{millisecond} level={level} {payload}{eol}");
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(line))
        .build_arc()
        .wrap_err("could not open the log")?;
    let lines = NonZeroUsize::new(LOG_LINES).unwrap_or(NonZeroUsize::MIN);
    let writer = ThreadPool::builder()
        .capacity(lines)
        .build_arc()
        .wrap_err("could not start the log's thread")?;
    let count = |_| {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    };
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(writer)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(count)
        .build_arc()
        .wrap_err("could not open the log")?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level)
        .error_handler(count)
        .build_arc()
        .wrap_err("could not build the logger")?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Calls `stop` at each signal to stop, with the number of signals so far.
///
/// # Errors
///
/// When the signals cannot be taken over.
pub fn on_stop_signal(stop: impl Fn(u32) + Send + 'static) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("could not take over signals")?;
    spawn("signal", move || {
        for (count, _) in (1..).zip(signals.forever()) {
            stop(count);
        }
    })
}

/// Adds the routes that every process has: liveness, metrics and its time line.
pub fn common_routes<C, P>(route: &mut RouterBuilder<'_, C, P>, parts: &ProcessParts)
where
    C: gotham::pipeline::PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: Send + Sync + std::panic::RefUnwindSafe + 'static,
{
    let live = WebRoute::new(|_| async { answer(200, "text/plain", "live\n") }.boxed());
    route.get("/livez").to_new_handler(live);
    let metrics = Arc::new(parts.metrics.clone());
    let metrics = WebRoute::new(move |_| {
        let text = metrics.text();
        async move { answer(200, "text/plain; version=0.0.4", text) }.boxed()
    });
    route.get("/metrics").to_new_handler(metrics);
    let events = parts.events.clone();
    let timeline = WebRoute::new(move |request| {
        let events = events.select(request.query("request"));
        async move { answer_json(200, &events) }.boxed()
    });
    route.get("/v1/timeline").to_new_handler(timeline);
}
