//! Load on a fleet, and what it measures.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;

use crate::direct::DirectChain;
use crate::fleet::Fleet;

/// Longest time that a histogram tells apart, microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What a load measured.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Time to the first token, microseconds.
    pub first: Histogram<u64>,
    /// Time between tokens, microseconds.
    pub between: Histogram<u64>,
    /// Tokens given.
    pub tokens: u64,
    /// Whole answers.
    pub whole: u64,
    /// Answers refused or cut.
    pub failed: u64,
    /// Time over which tokens were counted.
    pub elapsed: Duration,
    /// When tokens are counted; always, if not given.
    pub window: Option<(Instant, Instant)>,
}

impl Default for LoadReport {
    fn default() -> LoadReport {
        let histogram =
            || Histogram::new_with_max(LONGEST_US, 3).unwrap_or_else(|_| unreachable!());
        LoadReport {
            first: histogram(),
            between: histogram(),
            tokens: 0,
            whole: 0,
            failed: 0,
            elapsed: Duration::ZERO,
            window: None,
        }
    }
}

impl LoadReport {
    /// Takes one token in.
    pub fn token(&mut self, position: u32, since: Duration) {
        let now = Instant::now();
        if self
            .window
            .is_some_and(|(start, end)| now < start || now > end)
        {
            return;
        }
        self.tokens += 1;
        let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
        let histogram = match position {
            0 => &mut self.first,
            _ => &mut self.between,
        };
        histogram.saturating_record(micros);
    }

    fn add(&mut self, other: &LoadReport) {
        // Both have the same bounds.
        let _ = self.first.add(&other.first);
        let _ = self.between.add(&other.between);
        self.tokens += other.tokens;
        self.whole += other.whole;
        self.failed += other.failed;
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.tokens as f64 / self.elapsed.as_secs_f64()
    }
}

/// A closed loop: so many callers, each of whom asks again when answered.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Callers.
    pub callers: u32,
    /// Time in which new requests begin.
    pub lasts: Duration,
    /// Time at the start in which nothing is measured.
    pub warm_up: Duration,
    /// Tokens of each answer.
    pub tokens: u32,
}

impl LoadPlan {
    fn report(self) -> LoadReport {
        LoadReport {
            window: Some((Instant::now() + self.warm_up, Instant::now() + self.lasts)),
            ..LoadReport::default()
        }
    }
}

async fn load<'a, A>(plan: LoadPlan, ask: impl Fn(u32, u32, LoadReport) -> A + 'a) -> LoadReport
where
    A: std::future::Future<Output = LoadReport> + 'a,
{
    let numbers = Arc::new(AtomicU32::new(0));
    let began = Instant::now();
    let callers = (0..plan.callers).map(|caller| {
        let (numbers, ask) = (numbers.clone(), &ask);
        async move {
            let mut report = plan.report();
            while began.elapsed() < plan.lasts {
                let number = numbers.fetch_add(1, Ordering::Relaxed);
                report = ask(caller, number, report).await;
            }
            report
        }
    });
    let mut total = LoadReport::default();
    join_all(callers)
        .await
        .iter()
        .for_each(|report| total.add(report));
    total.elapsed = plan.lasts.saturating_sub(plan.warm_up);
    total
}

/// Pause after a refusal, as its `Retry-After` asks for at the least.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// Loads a fleet through its entries in turn.
pub async fn load_fleet(fleet: &Fleet, plan: LoadPlan) -> LoadReport {
    load(plan, |caller, number, mut report| async move {
        let entry = (caller as usize) % fleet.entries.len();
        let prompt = format!("load {number}");
        match ask(fleet, entry, &prompt, plan.tokens, &mut report).await {
            Ok(true) => report.whole += 1,
            Ok(false) | Err(_) => {
                report.failed += 1;
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
        }
        report
    })
    .await
}

/// Streams one answer and times its tokens. Returns whether it was whole.
///
/// # Errors
///
/// When the entry cannot be reached or the stream breaks.
pub async fn ask(
    fleet: &Fleet,
    entry: usize,
    prompt: &str,
    tokens: u32,
    report: &mut LoadReport,
) -> eyre::Result<bool> {
    let mut last = Instant::now();
    let response = fleet.stream(entry, prompt, tokens).await?;
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
                report.token(position, last.elapsed());
                last = Instant::now();
                position += 1;
            }
        }
    }
    Ok(done && position == tokens)
}

/// Loads engines by hand, one chain for each replica.
pub async fn load_direct(chains: &[DirectChain], plan: LoadPlan) -> LoadReport {
    load(plan, |caller, number, mut report| async move {
        let chain = &chains[(caller as usize) % chains.len()];
        let (name, prompt) = (format!("direct-{number}"), format!("load {number}"));
        match chain
            .generate(&name, &prompt, plan.tokens, &mut report)
            .await
        {
            Ok(()) => report.whole += 1,
            Err(_) => report.failed += 1,
        }
        report
    })
    .await
}

/// Processor time that the threads of a process have used, from `/proc`.
///
/// # Errors
///
/// When the process is gone.
pub fn cpu_time(process: u32) -> eyre::Result<Duration> {
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        // The first field counts nanoseconds on a processor.
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let first = text.split_whitespace().next();
        nanos += first
            .and_then(|field| field.parse::<u64>().ok())
            .unwrap_or(0);
    }
    Ok(Duration::from_nanos(nanos))
}

/// Memory that a process holds, KiB, from `/proc`.
///
/// # Errors
///
/// When the process is gone.
pub fn resident_kib(process: u32) -> eyre::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    Ok(number.unwrap_or(0))
}
