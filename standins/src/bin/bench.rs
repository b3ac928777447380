//! Measures, each figure beside its bound. Bounds come from the stated targets.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use hdrhistogram::Histogram;
use lynxcart::mail::{self, LamportClock, MailEvent, MailIdentity, MailPost};
use lynxcart::wire::gen::envelope::Body;
use lynxcart::wire::{FrameKeys, MailOut};
use standins::direct::DirectChain;
use standins::fleet::{Fleet, FleetSetup};
use standins::gateway_slope::gateway_slope;
use standins::heap::CountingHeap;
use standins::load::{ask, cpu_time, load_direct, load_fleet, resident_kib, LoadPlan, LoadReport};
use standins::process::{free_address, FleetProcess};
use standins::slope::{
    config_slope, heartbeat, heartbeat_bytes, journal_slope, replica_slope, request_slope,
    SlopePoint,
};

#[global_allocator]
static HEAP: CountingHeap = CountingHeap;

/// Target of letter 1: time to the first token for 95 in 100, microseconds.
const FIRST_US: u64 = 2_000_000;
/// Target of letter 1: time between tokens for 95 in 100, microseconds.
const BETWEEN_US: u64 = 26_000;
/// Target of issue 5: throughput as a share of its bound.
const THROUGHPUT_SHARE: f64 = 0.95;
/// Callers from which on every stage has a batch waiting.
const SATURATING_CALLERS: u32 = 96;
/// Target of issue 5: a stalled stream resumes within this time, milliseconds.
const RESUME_MS: u64 = 2_000;

/// Measure lynxcart on the stand-ins.
#[derive(FromArgs)]
struct BenchArgs {
    #[argh(subcommand)]
    what: BenchWhat,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum BenchWhat {
    Latency(LatencyArgs),
    Throughput(ThroughputArgs),
    Recovery(RecoveryArgs),
    Slopes(SlopesArgs),
}

/// Added latency against a client that drives the same engines by hand.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
struct LatencyArgs {}

/// Throughput against the bound of the engines' steps.
#[derive(FromArgs)]
#[argh(subcommand, name = "throughput")]
struct ThroughputArgs {}

/// Longest pause of a stream when a stage is lost.
#[derive(FromArgs)]
#[argh(subcommand, name = "recovery")]
struct RecoveryArgs {}

/// Slopes of the decision code, and costs of the running processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesArgs {}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: BenchArgs = argh::from_env();
    match args.what {
        BenchWhat::Latency(_) => latency().await,
        BenchWhat::Throughput(_) => throughput().await,
        BenchWhat::Recovery(_) => recovery().await,
        BenchWhat::Slopes(_) => slopes().await,
    }
}

fn setup() -> FleetSetup {
    let logs: PathBuf = std::env::temp_dir().join(format!("lynxcart-bench-{}", std::process::id()));
    FleetSetup {
        step_us: 5_000,
        batch: 8,
        limit: 96,
        ..FleetSetup::small(logs)
    }
}

fn load_plan(callers: u32, seconds: u64) -> LoadPlan {
    LoadPlan {
        callers,
        lasts: Duration::from_secs(seconds),
        warm_up: Duration::from_secs(2),
        tokens: 100,
    }
}

fn line(name: &str, value: f64, unit: &str, bound: &str, within: bool) {
    let verdict = if within { "within" } else { "OUTSIDE" };
    println!("{name:<44} {value:>12.2} {unit:<10} bound {bound:<16} {verdict}");
}

fn figure(name: &str, value: f64, unit: &str) {
    println!("{name:<44} {value:>12.2} {unit}");
}

fn report_lines(name: &str, report: &LoadReport) {
    let first = report.first.value_at_quantile(0.95);
    let between = report.between.value_at_quantile(0.95);
    line(
        &format!("{name}: first token, p95"),
        first as f64 / 1e3,
        "ms",
        "2000 ms",
        first <= FIRST_US,
    );
    line(
        &format!("{name}: between tokens, p95"),
        between as f64 / 1e3,
        "ms",
        "26 ms",
        between <= BETWEEN_US,
    );
    figure(
        &format!("{name}: first token, p50"),
        report.first.value_at_quantile(0.5) as f64 / 1e3,
        "ms",
    );
    figure(
        &format!("{name}: between tokens, p50"),
        report.between.value_at_quantile(0.5) as f64 / 1e3,
        "ms",
    );
    figure(&format!("{name}: tokens"), report.rate(), "tokens/s");
    let answers = report.whole as f64 / report.elapsed.as_secs_f64();
    figure(&format!("{name}: whole answers"), answers, "requests/s");
    figure(&format!("{name}: failed"), report.failed as f64, "requests");
}

async fn latency() -> eyre::Result<()> {
    for callers in [1, 8] {
        let plan = load_plan(callers, 8);
        let fleet = Fleet::start(setup()).await?;
        let routed = load_fleet(&fleet, plan).await;
        drop(fleet);
        let engines = Fleet::start_engines(&setup()).await?;
        let addresses: Vec<_> = engines.iter().map(|engine| engine.http).collect();
        // Stage by stage, two replicas of each: the chains take one of each stage.
        let mut chains = Vec::new();
        for replica in 0..2 {
            let chain: Vec<_> = addresses.iter().skip(replica).step_by(2).copied().collect();
            chains.push(DirectChain::connect(&chain).await?);
        }
        let direct = load_direct(&chains, plan).await;
        report_lines(&format!("{callers} callers, lynxcart"), &routed);
        report_lines(&format!("{callers} callers, by hand"), &direct);
        let ratio = |routed: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64| {
            routed.value_at_quantile(quantile) as f64 / direct.value_at_quantile(quantile) as f64
        };
        for quantile in [0.5, 0.95] {
            let first = ratio(&routed.first, &direct.first, quantile);
            let between = ratio(&routed.between, &direct.between, quantile);
            let percent = quantile * 100.0;
            figure(
                &format!("{callers} callers, first token p{percent}, ratio"),
                first,
                "x",
            );
            figure(
                &format!("{callers} callers, between tokens p{percent}, ratio"),
                between,
                "x",
            );
        }
        let rate = routed.rate() / direct.rate();
        figure(&format!("{callers} callers, tokens/s, ratio"), rate, "x");
        let whole = routed.whole as f64 / direct.whole as f64;
        figure(&format!("{callers} callers, requests/s, ratio"), whole, "x");
    }
    Ok(())
}

async fn throughput() -> eyre::Result<()> {
    let setup = setup();
    let fleet = Fleet::start(setup.clone()).await?;
    let steps = 1e6 / setup.step_us as f64;
    let bound = f64::from(setup.replicas) * steps * setup.batch as f64;
    println!(
        "bound: {} replicas a stage x {steps} steps/s x {} sequences = {bound} tokens/s",
        setup.replicas, setup.batch
    );
    for callers in [8, 24, 48, 96, 144] {
        let report = load_fleet(&fleet, load_plan(callers, 10)).await;
        let name = format!("{callers} callers");
        report_lines(&name, &report);
        let reached = report.rate() / bound;
        if callers >= SATURATING_CALLERS {
            line(
                &format!("{name}: share of the bound"),
                reached,
                "x",
                "0.95 x",
                reached >= THROUGHPUT_SHARE,
            );
        } else {
            figure(&format!("{name}: share of the bound"), reached, "x");
        }
    }
    Ok(())
}

async fn recovery() -> eyre::Result<()> {
    for (name, signal) in [
        ("agent killed", "KILL"),
        ("agent frozen", "STOP"),
        ("agent stopped as planned", "TERM"),
    ] {
        let fleet = Fleet::start(setup()).await?;
        let mut longest = 0;
        let mut whole = 0;
        let streams: Vec<_> = (0..8).map(|number| format!("recovery {number}")).collect();
        let asked = streams.iter().map(|prompt| async {
            let mut report = LoadReport::default();
            let whole = ask(&fleet, 0, prompt, 250, &mut report).await;
            (whole.unwrap_or(false), report)
        });
        let harm = async {
            // The heartbeats tell by then which replica has the most streams.
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            fleet.busiest_agent().await?.signal(signal)
        };
        let (answers, harmed) =
            futures_util::future::join(futures_util::future::join_all(asked), harm).await;
        harmed?;
        for (ended, report) in answers {
            whole += u32::from(ended);
            longest = longest.max(report.between.max());
        }
        let pause = longest as f64 / 1e3;
        line(
            &format!("{name}: longest pause"),
            pause,
            "ms",
            "2000 ms",
            longest <= RESUME_MS * 1_000,
        );
        line(
            &format!("{name}: whole answers of 8"),
            f64::from(whole),
            "",
            "8",
            whole == 8,
        );
    }
    owner_recovery().await
}

/// Time from the kill of an owner to the answer to the last of many new keys, sent at once and
/// again after each refusal.
async fn owner_recovery() -> eyre::Result<()> {
    let mut fleet = Fleet::start(setup()).await?;
    fleet.service_agents[0].kill()?;
    let killed = std::time::Instant::now();
    let calls = (0..24).map(|number| {
        let fleet = &fleet;
        async move {
            let (key, body) = (format!("owner-{number}"), format!("owner body {number}"));
            while fleet.call(1, "/issue", &key, &body).await?.status != 200 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            eyre::Ok(killed.elapsed())
        }
    });
    let mut last = Duration::ZERO;
    for answered in futures_util::future::join_all(calls).await {
        last = last.max(answered?);
    }
    let millis = last.as_secs_f64() * 1e3;
    figure("owner killed: last of 24 new keys answered", millis, "ms");
    Ok(())
}

fn print_points(points: &[SlopePoint]) {
    for point in points {
        println!(
            "{:<12} {:>6}  {:<34} {:>12.2} {}",
            point.of, point.count, point.what, point.value, point.unit
        );
    }
}

async fn slopes() -> eyre::Result<()> {
    figure("one heartbeat as sent", heartbeat_bytes() as f64, "bytes");
    for count in [38, 150, 750, 3_000, 12_000] {
        print_points(&gateway_slope(count));
    }
    for count in [750, 1_500, 3_000, 6_000, 12_000] {
        print_points(&replica_slope(count));
    }
    for count in [250, 500, 1_000, 2_000, 4_000] {
        print_points(&config_slope(count));
    }
    for count in [250, 500, 1_000, 2_000, 4_000] {
        print_points(&request_slope(count));
        print_points(&journal_slope(count));
    }
    process_costs().await
}

/// Processor time of a real entry for each heartbeat taken and answered.
async fn heartbeat_cost(fleet: &Fleet) -> eyre::Result<()> {
    const SENDERS: u32 = 16;
    const ROUNDS: u32 = 600;
    let entry = &fleet.entries[0];
    let keys = FrameKeys::from_secrets(&["fleet-secret".into()]);
    let keys = keys.ok_or_else(|| eyre::eyre!("no key"))?;
    let (ring, events) = crossbeam_channel::bounded::<MailEvent>(65_536);
    let mut posts = Vec::new();
    for sender in 0..SENDERS {
        let identity = MailIdentity {
            address: free_address()?.to_string(),
            incarnation: u64::from(sender),
            keys: keys.clone(),
            clock: LamportClock::default(),
        };
        mail::listen(&identity, ring.clone())?;
        posts.push(MailPost::new(identity, ring.clone()));
    }
    let mut send = |round: u32| {
        for (sender, post) in (0..).zip(&mut posts) {
            let body = Body::Heartbeat(heartbeat(sender, u64::from(round) + 1));
            post.send(MailOut {
                to: entry.mail.to_string(),
                body,
            });
        }
    };
    send(0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    while events.try_recv().is_ok() {}
    let before = cpu_time(entry.id())?;
    for round in 1..=ROUNDS {
        send(round);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let used = cpu_time(entry.id())?.saturating_sub(before);
    let answered = std::iter::from_fn(|| events.try_recv().ok()).count();
    figure("heartbeats sent", f64::from(SENDERS * ROUNDS), "");
    figure("heartbeats answered", answered as f64, "");
    let micros = used.as_secs_f64() * 1e6 / f64::from(SENDERS * ROUNDS);
    figure("entry: processor time per heartbeat", micros, "us");
    Ok(())
}

/// Costs of real processes, idle and under load.
async fn process_costs() -> eyre::Result<()> {
    let fleet = Fleet::start(setup()).await?;
    let idle_s = 10;
    let mark = Marks::take(&fleet).await?;
    tokio::time::sleep(Duration::from_secs(idle_s)).await;
    mark.print(&fleet, "idle", Some(idle_s as f64)).await?;
    let mut plan = load_plan(40, 8);
    plan.warm_up = Duration::ZERO;
    let mark = Marks::take(&fleet).await?;
    let report = load_fleet(&fleet, plan).await;
    mark.print(&fleet, "load", None).await?;
    figure("load: tokens", report.rate(), "tokens/s");
    let url = format!("http://{}/stats", fleet.platform.http);
    let (_, before) = lynxcart::fetch::get(&fleet.client, &url).await?;
    tokio::time::sleep(Duration::from_secs(idle_s)).await;
    let (_, after) = lynxcart::fetch::get(&fleet.client, &url).await?;
    let rate = |name: &str| -> eyre::Result<f64> {
        let number = |body: &[u8]| -> eyre::Result<f64> {
            let stats: serde_json::Value = serde_json::from_slice(body)?;
            Ok(stats[name].as_f64().unwrap_or(0.0))
        };
        Ok((number(&after)? - number(&before)?) / idle_s as f64)
    };
    figure(
        "platform: reads, idle, 2 service agents",
        rate("reads")?,
        "1/s",
    );
    figure(
        "platform: writes, idle, 2 service agents",
        rate("writes")?,
        "1/s",
    );
    heartbeat_cost(&fleet).await?;
    Ok(())
}

/// Processor time and tokens of some processes at one moment.
struct Marks(Vec<(Duration, f64)>);

impl Marks {
    fn processes(fleet: &Fleet) -> [&FleetProcess; 3] {
        [
            &fleet.entries[0],
            &fleet.agents[0],
            &fleet.service_agents[0],
        ]
    }

    async fn take(fleet: &Fleet) -> eyre::Result<Marks> {
        let mut marks = Vec::new();
        for process in Marks::processes(fleet) {
            let url = format!("http://{}/metrics", process.http);
            let (_, body) = lynxcart::fetch::get(&fleet.client, &url).await?;
            let text = String::from_utf8_lossy(&body).into_owned();
            let tokens = text
                .lines()
                .find_map(|line| line.strip_prefix("lynxcart_tokens_total "))
                .and_then(|number| number.parse().ok());
            marks.push((cpu_time(process.id())?, tokens.unwrap_or(0.0)));
        }
        Ok(Marks(marks))
    }

    /// Prints what has been used since, for each second or for each token of the process's own.
    async fn print(&self, fleet: &Fleet, name: &str, seconds: Option<f64>) -> eyre::Result<()> {
        let after = Marks::take(fleet).await?;
        let pairs = self.0.iter().zip(&after.0);
        for (process, (before, after)) in Marks::processes(fleet).iter().zip(pairs) {
            let micros = after.0.saturating_sub(before.0).as_secs_f64() * 1e6;
            let tokens = after.1 - before.1;
            let (per, unit) = match seconds {
                Some(seconds) => (seconds, "us per s"),
                None if tokens > 0.0 => (tokens, "us per token of its own"),
                None => continue,
            };
            let title = format!("{name}: {}: processor time", process.name);
            figure(&title, micros / per, unit);
            let memory = resident_kib(process.id())? as f64 / 1024.0;
            figure(&format!("{name}: {}: memory", process.name), memory, "MiB");
        }
        Ok(())
    }
}
