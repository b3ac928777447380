//! Process-wide facilities: identity, logging, signals, graceful shutdown and the common HTTP
//! routes.

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
use spdlog::formatter::{pattern, Pattern, PatternContext, PatternFormatter};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, Record, StringBuf, ThreadPool};

use crate::clock::ClockTime;
use crate::event::EventRing;
use crate::messaging::{LamportClock, ProcessIdentity};
use crate::metric::MetricSet;
use crate::web::{build_response, json_response, RouteHandler};
use crate::wire::FrameKeys;

/// Exit code of a graceful shutdown that was cut short by its time limit or a second signal.
pub const EXIT_CUT_SHORT: i32 = 3;
/// Time before the exit in which the last messages and bytes are sent, in milliseconds.
pub const FLUSH_MS: u64 = 300;
/// Minimum duration of a graceful shutdown that is not cut short, in milliseconds. Other processes
/// learn of the shutdown in this time.
const MIN_SHUTDOWN_MS: u64 = 1_000;

/// Identity, timeline and metrics of a process, shared by its threads.
#[derive(Clone, Debug)]
pub struct ProcessContext {
    /// Identity in messages to other processes.
    pub identity: ProcessIdentity,
    /// Timeline of the process.
    pub events: EventRing,
    /// Metrics of the process.
    pub metrics: MetricSet,
}

impl ProcessContext {
    /// Creates the context of the process with the message address `address`: a random incarnation,
    /// an empty timeline and new metrics.
    ///
    /// # Errors
    ///
    /// If the metrics cannot be registered.
    pub fn new(address: &str, keys: FrameKeys) -> eyre::Result<ProcessContext> {
        let clock = LamportClock::default();
        let incarnation = rand::random();
        Ok(ProcessContext {
            events: EventRing::new(address.to_owned(), incarnation, clock.clone()),
            identity: ProcessIdentity {
                address: address.to_owned(),
                incarnation,
                keys,
                clock,
            },
            metrics: MetricSet::new()?,
        })
    }
}

/// What a graceful shutdown does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// The process runs on.
    Continue,
    /// The requests in flight are ended, each with an answer. Returned once.
    EndRequests,
    /// The process exits with this code.
    Exit(i32),
}

/// State of a graceful shutdown. The shutdown starts with a signal. It ends when the process is
/// idle, but not before a minimum duration; when the time limit is reached; or at a second signal.
/// In the last two cases the requests in flight are ended first.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTracker {
    limit_ms: u64,
    /// Time that the answers to the requests in flight may take, in milliseconds.
    ending_ms: u64,
    /// Time of the first signal; `None` before it.
    started_at: Option<ClockTime>,
    /// Time at which the requests in flight were ended, and their number.
    ending: Option<(ClockTime, usize)>,
    signal_count: u32,
}

impl ShutdownTracker {
    /// Creates the state before any signal. A shutdown may take at most `limit_ms` milliseconds, the
    /// last `ending_ms` of which are for the answers to requests that outlast it.
    pub fn new(limit_ms: u64, ending_ms: u64) -> ShutdownTracker {
        ShutdownTracker {
            limit_ms,
            ending_ms,
            started_at: None,
            ending: None,
            signal_count: 0,
        }
    }

    /// Records a termination signal.
    pub fn record_signal(&mut self, now: ClockTime) {
        self.started_at.get_or_insert(now);
        self.signal_count += 1;
    }

    /// Decides what to do at `now`, and logs how the shutdown ends. `in_flight` is the number of
    /// requests that an exit would leave without an answer.
    pub fn step(&mut self, now: ClockTime, idle: bool, in_flight: usize) -> ShutdownStep {
        let Some(started_at) = self.started_at else {
            return ShutdownStep::Continue;
        };
        if let Some((ending_since, requests)) = self.ending {
            if in_flight > 0 && now.since(ending_since) < self.ending_ms {
                return ShutdownStep::Continue;
            }
            spdlog::error!("event=shutdown_cut_short requests={requests} unanswered={in_flight}");
            return ShutdownStep::Exit(EXIT_CUT_SHORT);
        }
        let elapsed_ms = now.since(started_at);
        if idle && elapsed_ms >= MIN_SHUTDOWN_MS {
            spdlog::info!("event=stopped code=0");
            return ShutdownStep::Exit(0);
        }
        if elapsed_ms >= self.limit_ms.saturating_sub(self.ending_ms) || self.signal_count > 1 {
            let signals = self.signal_count;
            spdlog::warn!("event=shutdown_ending in_flight={in_flight} signals={signals}");
            self.ending = Some((now, in_flight));
            return ShutdownStep::EndRequests;
        }
        ShutdownStep::Continue
    }

    /// Time at which [`Self::step`] is due next, while `now` is the present time.
    pub fn next_wake(&self, now: ClockTime) -> ClockTime {
        let Some(started_at) = self.started_at else {
            return ClockTime::NEVER;
        };
        let ending_at = started_at + self.limit_ms.saturating_sub(self.ending_ms);
        let exit_at = self.ending.map(|(since, _)| since + self.ending_ms);
        let idle_at = started_at + MIN_SHUTDOWN_MS;
        match exit_at.unwrap_or(ending_at) {
            due if now < idle_at => due.min(idle_at),
            due => due,
        }
    }
}

/// Starts a named thread that runs `task`.
///
/// # Errors
///
/// If the operating system cannot create the thread.
pub fn spawn_thread(name: &str, task: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .spawn(task)
        .map_err(|error| eyre!("could not start the {name} thread: {error}"))?;
    Ok(())
}

/// Maximum number of log lines queued for the log thread.
const LOG_QUEUE_CAPACITY: usize = 8_192;
/// Number of log lines that were dropped because the queue was full or writing failed.
static DROPPED_LOG_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped since the process started.
pub fn dropped_log_lines() -> u64 {
    DROPPED_LOG_LINES.load(Ordering::Relaxed)
}

/// Flushes the queued log lines and waits for a fixed time in which the log thread writes them.
pub fn flush_logs() {
    spdlog::default_logger().flush();
    thread::sleep(Duration::from_millis(LOG_FLUSH_MS));
}

/// Time given to the log thread to write the last lines, in milliseconds.
const LOG_FLUSH_MS: u64 = 20;

/// Longest text of a log line, bytes; the rest is cut off. What others write may be of any length.
const MAX_LINE_BYTES: usize = 4_096;

/// The text of a log line, with control characters escaped, so that it stays one line.
#[derive(Clone, Debug, Default)]
struct BoundedLine;

impl Pattern for BoundedLine {
    fn format(
        &self,
        record: &Record<'_>,
        line: &mut StringBuf,
        _context: &mut PatternContext<'_, '_>,
    ) -> spdlog::Result<()> {
        let mut length = 0;
        for letter in record.payload().chars() {
            length += letter.len_utf8();
            if length > MAX_LINE_BYTES {
                line.push_str("...");
                break;
            }
            match letter.is_control() {
                true => line.extend(letter.escape_default()),
                false => line.push(letter),
            }
        }
        Ok(())
    }
}

/// Sets up logging to standard output, with one line of key=value pairs per event. A log thread
/// writes the lines, so logging never blocks; lines that do not fit its queue are dropped and
/// counted.
///
/// # Errors
///
/// If the log thread cannot be started or the logger cannot be built.
pub fn init_logs(level: LevelFilter) -> eyre::Result<()> {
    let line_pattern = pattern!("time={date}T{time}.{millisecond} level={level} {$bounded}{eol}",
        {$bounded} => BoundedLine::default);
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(line_pattern))
        .build_arc()
        .wrap_err("could not open the log on standard output")?;
    let capacity = NonZeroUsize::new(LOG_QUEUE_CAPACITY).unwrap_or(NonZeroUsize::MIN);
    let thread_pool = ThreadPool::builder()
        .capacity(capacity)
        .build_arc()
        .wrap_err("could not start the log thread")?;
    let count_dropped = |_| {
        DROPPED_LOG_LINES.fetch_add(1, Ordering::Relaxed);
    };
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(thread_pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(count_dropped)
        .build_arc()
        .wrap_err("could not create the log queue")?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level)
        .error_handler(count_dropped)
        .build_arc()
        .wrap_err("could not build the logger")?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Calls `handler` at each SIGTERM or SIGINT with the number of such signals so far.
///
/// # Errors
///
/// If the signal handlers cannot be installed or the signal thread cannot be started.
pub fn on_shutdown_signal(handler: impl Fn(u32) + Send + 'static) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .wrap_err("could not install handlers for SIGTERM and SIGINT")?;
    spawn_thread("signal", move || {
        for (count, _) in (1..).zip(signals.forever()) {
            handler(count);
        }
    })
}

/// Adds the routes that entries and agents have in common: liveness, metrics and timeline.
pub fn common_routes<C, P>(router: &mut RouterBuilder<'_, C, P>, context: &ProcessContext)
where
    C: gotham::pipeline::PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: Send + Sync + std::panic::RefUnwindSafe + 'static,
{
    let liveness =
        RouteHandler::new(|_| async { build_response(200, "text/plain", "live\n") }.boxed());
    router.get("/livez").to_new_handler(liveness);
    let metrics = Arc::new(context.metrics.clone());
    let metrics = RouteHandler::new(move |_| {
        let text = metrics.prometheus_text();
        async move { build_response(200, "text/plain; version=0.0.4", text) }.boxed()
    });
    router.get("/metrics").to_new_handler(metrics);
    let events = context.events.clone();
    let timeline = RouteHandler::new(move |request| {
        let events = events.select(request.query_param("request"));
        async move { json_response(200, &events) }.boxed()
    });
    router.get("/v1/timeline").to_new_handler(timeline);
}

/// Memory of the machine as the system reports it, megabytes.
pub fn system_memory_mb() -> u64 {
    // SAFETY: Both calls take a constant and return a number.
    let (pages, page_bytes) = unsafe {
        (
            libc::sysconf(libc::_SC_PHYS_PAGES),
            libc::sysconf(libc::_SC_PAGE_SIZE),
        )
    };
    let bytes = u64::try_from(pages).unwrap_or(0) * u64::try_from(page_bytes).unwrap_or(0);
    bytes / 1_000_000
}

/// Number of descriptors that the process may have open.
pub fn descriptor_limit() -> u64 {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: `limit` is valid for writes of an rlimit for the duration of the call.
    let result = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit) };
    match result {
        0 => limit.rlim_cur,
        _ => 0,
    }
}
