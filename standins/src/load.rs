//! Closed-loop load on a fleet or directly on its engines, and the measurements taken from it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;

use crate::direct::DirectChain;
use crate::fleet::Fleet;

/// Upper bound of the histograms, in microseconds. Longer times are recorded as this value.
const MAX_RECORDED_US: u64 = 60_000_000;

/// Measurements of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Time from the request to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between two tokens of a response, in microseconds.
    pub token_interval_us: Histogram<u64>,
    /// Number of tokens received in the window.
    pub tokens: u64,
    /// Number of complete responses, including those outside of the window.
    pub complete: u64,
    /// Number of requests that were refused or whose response was cut short, including those
    /// outside of the window.
    pub failed: u64,
    /// Length of the window, as planned.
    pub window_length: Duration,
    /// Start and end of the time in which tokens are counted. `None` counts all tokens; the merged
    /// report of a load has `None`.
    pub window: Option<(Instant, Instant)>,
}

impl Default for LoadReport {
    fn default() -> LoadReport {
        let histogram =
            || Histogram::new_with_max(MAX_RECORDED_US, 3).unwrap_or_else(|_| unreachable!());
        LoadReport {
            first_token_us: histogram(),
            token_interval_us: histogram(),
            tokens: 0,
            complete: 0,
            failed: 0,
            window_length: Duration::ZERO,
            window: None,
        }
    }
}

impl LoadReport {
    /// Records a token at a position of its response, `elapsed` after the request or the token
    /// before it. Tokens outside of the window are ignored.
    pub fn record_token(&mut self, position: u32, elapsed: Duration) {
        let now = Instant::now();
        if self
            .window
            .is_some_and(|(start, end)| now < start || now > end)
        {
            return;
        }
        self.tokens += 1;
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let histogram = match position {
            0 => &mut self.first_token_us,
            _ => &mut self.token_interval_us,
        };
        histogram.saturating_record(micros);
    }

    fn merge(&mut self, other: &LoadReport) {
        // Adding fails only for histograms with different bounds, and all have the same.
        let _ = self.first_token_us.add(&other.first_token_us);
        let _ = self.token_interval_us.add(&other.token_interval_us);
        self.tokens += other.tokens;
        self.complete += other.complete;
        self.failed += other.failed;
    }

    /// Returns the number of tokens received per second of the window.
    pub fn tokens_per_second(&self) -> f64 {
        self.tokens as f64 / self.window_length.as_secs_f64()
    }
}

/// Parameters of a closed-loop load: each caller sends its next request when the response to the
/// last one has ended.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Number of concurrent callers.
    pub callers: u32,
    /// Time during which callers send new requests.
    pub duration: Duration,
    /// Time from the start of the load during which tokens are not counted.
    pub warm_up: Duration,
    /// Number of tokens requested in each response.
    pub tokens: u32,
}

impl LoadPlan {
    /// Returns an empty report whose window starts after the warm-up.
    fn new_report(self) -> LoadReport {
        LoadReport {
            window: Some((
                Instant::now() + self.warm_up,
                Instant::now() + self.duration,
            )),
            ..LoadReport::default()
        }
    }
}

/// Runs a load. `send_request` gets the number of the caller, the number of the request and the
/// caller's report, and returns the report with the request added.
async fn run_load<'a, A>(
    plan: LoadPlan,
    send_request: impl Fn(u32, u32, LoadReport) -> A + 'a,
) -> LoadReport
where
    A: std::future::Future<Output = LoadReport> + 'a,
{
    let next_number = Arc::new(AtomicU32::new(0));
    let started_at = Instant::now();
    let callers = (0..plan.callers).map(|caller| {
        let (next_number, send_request) = (next_number.clone(), &send_request);
        async move {
            let mut report = plan.new_report();
            while started_at.elapsed() < plan.duration {
                let number = next_number.fetch_add(1, Ordering::Relaxed);
                report = send_request(caller, number, report).await;
            }
            report
        }
    });
    let mut total = LoadReport::default();
    join_all(callers)
        .await
        .iter()
        .for_each(|report| total.merge(report));
    total.window_length = plan.duration.saturating_sub(plan.warm_up);
    total
}

/// Pause of a caller after a failed request: the smallest value of `Retry-After` in refusals.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Runs a load on a fleet. Callers are assigned to its entries in rotation.
pub async fn load_fleet(fleet: &Fleet, plan: LoadPlan) -> LoadReport {
    run_load(plan, |caller, number, mut report| async move {
        let entry_index = (caller as usize) % fleet.entries.len();
        let prompt = format!("load {number}");
        match stream_response(fleet, entry_index, &prompt, plan.tokens, &mut report).await {
            Ok(true) => report.complete += 1,
            Ok(false) | Err(_) => {
                report.failed += 1;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
        report
    })
    .await
}

/// Sends a streaming request and records its tokens. Returns whether the response was complete.
///
/// # Errors
///
/// If the entry cannot be reached or the stream breaks off.
pub async fn stream_response(
    fleet: &Fleet,
    entry_index: usize,
    prompt: &str,
    tokens: u32,
    report: &mut LoadReport,
) -> eyre::Result<bool> {
    let mut last_token = Instant::now();
    let response = fleet.stream_completion(entry_index, prompt, tokens).await?;
    let mut body = response.into_body();
    let mut position = 0;
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        for line in String::from_utf8_lossy(&data).lines() {
            done |= line == "data: [DONE]";
            if line.starts_with("data: {") && line.contains("\"finish_reason\":null") {
                report.record_token(position, last_token.elapsed());
                last_token = Instant::now();
                position += 1;
            }
        }
    }
    Ok(done && position == tokens)
}

/// Runs a load directly on engines, without lynxcart. Callers are assigned to the chains in
/// rotation, one chain for each replica of a stage.
pub async fn load_direct(chains: &[DirectChain], plan: LoadPlan) -> LoadReport {
    run_load(plan, |caller, number, mut report| async move {
        let chain = &chains[(caller as usize) % chains.len()];
        let (sequence, prompt) = (format!("direct-{number}"), format!("load {number}"));
        match chain
            .generate(&sequence, &prompt, plan.tokens, &mut report)
            .await
        {
            Ok(()) => report.complete += 1,
            Err(_) => report.failed += 1,
        }
        report
    })
    .await
}

/// Returns the processor time that the present threads of a process have used, from `/proc`.
/// Threads that have ended are not counted.
///
/// # Errors
///
/// If the process does not exist.
pub fn cpu_time(process: u32) -> eyre::Result<Duration> {
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        // The first field is the time spent on a processor, in nanoseconds.
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let cpu_nanos = text.split_whitespace().next();
        nanos += cpu_nanos
            .and_then(|field| field.parse::<u64>().ok())
            .unwrap_or(0);
    }
    Ok(Duration::from_nanos(nanos))
}

/// Returns the resident memory of a process in KiB, from `/proc`; 0 if its status has no `VmRSS`
/// line.
///
/// # Errors
///
/// If the process does not exist.
pub fn resident_kib(process: u32) -> eyre::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    Ok(number.unwrap_or(0))
}
