//! What both processes need to run: identity, logs, signals, and the HTTP routes they share.

use std::sync::Arc;
use std::thread;

use eyre::{eyre, WrapErr};
use futures_util::FutureExt;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::sink::StdStreamSink;
use spdlog::{LevelFilter, Logger};

use crate::event::EventRing;
use crate::mail::{LamportClock, MailIdentity};
use crate::metric::MetricSet;
use crate::web::{answer, answer_json, WebRoute};
use crate::wire::FrameKeys;

/// Exit code after a stop that cut requests short.
pub const EXIT_CUT: i32 = 3;

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

/// Sends logs to standard error, one key=value line per event.
///
/// # Errors
///
/// When the logger cannot be built.
pub fn init_logs(level: LevelFilter) -> eyre::Result<()> {
    let line = pattern!("time={date}T{time}.{millisecond} level={level} {payload}{eol}");
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(PatternFormatter::new(line))
        .build_arc()
        .wrap_err("could not open the log")?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level)
        .flush_level_filter(LevelFilter::All)
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
    thread::Builder::new()
        .name("signal".into())
        .spawn(move || {
            for (count, _) in (1..).zip(signals.forever()) {
                stop(count);
            }
        })
        .map_err(|error| eyre!("could not start the signal thread: {error}"))?;
    Ok(())
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
