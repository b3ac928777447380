//! Benchmarks of lynxcart on the stand-ins. A figure that has a target is printed beside it.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use hdrhistogram::Histogram;
use lynxcart::messaging::{self, LamportClock, MessageSender, MessagingEvent, ProcessIdentity};
use lynxcart::wire::gen::envelope::Body;
use lynxcart::wire::{FrameKeys, OutgoingMessage};
use standins::counting_allocator::CountingAllocator;
use standins::direct::DirectChain;
use standins::fleet::{Fleet, FleetSetup};
use standins::gateway_scaling::gateway_scaling;
use standins::load::{
    cpu_time, load_direct, load_fleet, resident_kib, stream_response, LoadPlan, LoadReport,
};
use standins::process::{free_address, FleetProcess};
use standins::scaling::{
    config_scaling, heartbeat, heartbeat_bytes, journal_scaling, replica_scaling, request_scaling,
    ScalingPoint,
};

#[global_allocator]
static HEAP: CountingAllocator = CountingAllocator;

/// The users' target: 95th percentile of the time to the first token, at most this many
/// microseconds (2 s).
const MAX_FIRST_TOKEN_US: u64 = 2_000_000;
/// The users' target: 95th percentile of the time between tokens, at most this many microseconds
/// (26 ms).
const MAX_TOKEN_INTERVAL_US: u64 = 26_000;
/// The project's target (issue 5): minimum throughput under saturating load, as a share of the
/// engines' bound.
const MIN_THROUGHPUT_SHARE: f64 = 0.95;
/// Minimum number of callers at which every stage always has a batch waiting.
const MIN_SATURATING_CALLERS: u32 = 96;
/// The project's target (issue 5): maximum pause of a stream whose stage is lost, in milliseconds.
const MAX_RESUME_MS: u64 = 2_000;

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

fn fleet_setup() -> FleetSetup {
    let log_dir: PathBuf =
        std::env::temp_dir().join(format!("lynxcart-bench-{}", std::process::id()));
    FleetSetup {
        step_us: 5_000,
        max_batch: 8,
        in_flight_limit: 96,
        ..FleetSetup::small(log_dir)
    }
}

fn load_plan(callers: u32, seconds: u64) -> LoadPlan {
    LoadPlan {
        callers,
        duration: Duration::from_secs(seconds),
        warm_up: Duration::from_secs(2),
        tokens: 100,
    }
}

/// Prints a figure, its bound and whether the figure is within the bound.
fn print_bounded(name: &str, value: f64, unit: &str, bound: &str, within: bool) {
    let verdict = if within { "within" } else { "OUTSIDE" };
    println!("{name:<44} {value:>12.2} {unit:<10} bound {bound:<16} {verdict}");
}

fn print_figure(name: &str, value: f64, unit: &str) {
    println!("{name:<44} {value:>12.2} {unit}");
}

fn print_report(name: &str, report: &LoadReport) {
    let first_token_us = report.first_token_us.value_at_quantile(0.95);
    let token_interval_us = report.token_interval_us.value_at_quantile(0.95);
    print_bounded(
        &format!("{name}: first token, p95"),
        first_token_us as f64 / 1e3,
        "ms",
        "2000 ms",
        first_token_us <= MAX_FIRST_TOKEN_US,
    );
    print_bounded(
        &format!("{name}: between tokens, p95"),
        token_interval_us as f64 / 1e3,
        "ms",
        "26 ms",
        token_interval_us <= MAX_TOKEN_INTERVAL_US,
    );
    print_figure(
        &format!("{name}: first token, p50"),
        report.first_token_us.value_at_quantile(0.5) as f64 / 1e3,
        "ms",
    );
    print_figure(
        &format!("{name}: between tokens, p50"),
        report.token_interval_us.value_at_quantile(0.5) as f64 / 1e3,
        "ms",
    );
    print_figure(
        &format!("{name}: tokens"),
        report.tokens_per_second(),
        "tokens/s",
    );
    let complete_rate = report.complete as f64 / report.window_length.as_secs_f64();
    print_figure(
        &format!("{name}: whole answers"),
        complete_rate,
        "requests/s",
    );
    print_figure(&format!("{name}: failed"), report.failed as f64, "requests");
}

async fn latency() -> eyre::Result<()> {
    for callers in [1, 8] {
        let plan = load_plan(callers, 8);
        let fleet = Fleet::start(fleet_setup()).await?;
        let routed = load_fleet(&fleet, plan).await;
        drop(fleet);
        let engines = Fleet::start_engines(&fleet_setup()).await?;
        let addresses: Vec<_> = engines.iter().map(|engine| engine.http_address).collect();
        // Engines are listed by stage, two replicas of each. Each chain has one replica of every
        // stage.
        let mut chains = Vec::new();
        for replica in 0..2 {
            let chain: Vec<_> = addresses.iter().skip(replica).step_by(2).copied().collect();
            chains.push(DirectChain::connect(&chain).await?);
        }
        let direct = load_direct(&chains, plan).await;
        print_report(&format!("{callers} callers, lynxcart"), &routed);
        print_report(&format!("{callers} callers, by hand"), &direct);
        let ratio = |routed: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64| {
            routed.value_at_quantile(quantile) as f64 / direct.value_at_quantile(quantile) as f64
        };
        for quantile in [0.5, 0.95] {
            let first_token = ratio(&routed.first_token_us, &direct.first_token_us, quantile);
            let token_interval = ratio(
                &routed.token_interval_us,
                &direct.token_interval_us,
                quantile,
            );
            let percent = quantile * 100.0;
            print_figure(
                &format!("{callers} callers, first token p{percent}, ratio"),
                first_token,
                "x",
            );
            print_figure(
                &format!("{callers} callers, between tokens p{percent}, ratio"),
                token_interval,
                "x",
            );
        }
        let token_rate = routed.tokens_per_second() / direct.tokens_per_second();
        print_figure(
            &format!("{callers} callers, tokens/s, ratio"),
            token_rate,
            "x",
        );
        let request_rate = routed.complete as f64 / direct.complete as f64;
        print_figure(
            &format!("{callers} callers, requests/s, ratio"),
            request_rate,
            "x",
        );
    }
    Ok(())
}

async fn throughput() -> eyre::Result<()> {
    let setup = fleet_setup();
    let fleet = Fleet::start(setup.clone()).await?;
    let steps = 1e6 / setup.step_us as f64;
    let bound = f64::from(setup.replicas) * steps * setup.max_batch as f64;
    println!(
        "bound: {} replicas a stage x {steps} steps/s x {} sequences = {bound} tokens/s",
        setup.replicas, setup.max_batch
    );
    for callers in [8, 24, 48, 96, 144] {
        let report = load_fleet(&fleet, load_plan(callers, 10)).await;
        let name = format!("{callers} callers");
        print_report(&name, &report);
        let share = report.tokens_per_second() / bound;
        if callers >= MIN_SATURATING_CALLERS {
            print_bounded(
                &format!("{name}: share of the bound"),
                share,
                "x",
                "0.95 x",
                share >= MIN_THROUGHPUT_SHARE,
            );
        } else {
            print_figure(&format!("{name}: share of the bound"), share, "x");
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
        let fleet = Fleet::start(fleet_setup()).await?;
        let mut longest_pause_us = 0;
        let mut complete_count = 0;
        let prompts: Vec<_> = (0..8).map(|number| format!("recovery {number}")).collect();
        let requests = prompts.iter().map(|prompt| async {
            let mut report = LoadReport::default();
            let complete = stream_response(&fleet, 0, prompt, 250, &mut report).await;
            (complete.unwrap_or(false), report)
        });
        let fault = async {
            // By then heartbeats have reported which replica has the most streams.
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            fleet.busiest_second_stage_agent().await?.signal(signal)
        };
        let (responses, fault_result) =
            futures_util::future::join(futures_util::future::join_all(requests), fault).await;
        fault_result?;
        for (complete, report) in responses {
            complete_count += u32::from(complete);
            longest_pause_us = longest_pause_us.max(report.token_interval_us.max());
        }
        let longest_pause_ms = longest_pause_us as f64 / 1e3;
        print_bounded(
            &format!("{name}: longest pause"),
            longest_pause_ms,
            "ms",
            "2000 ms",
            longest_pause_us <= MAX_RESUME_MS * 1_000,
        );
        print_bounded(
            &format!("{name}: whole answers of 8"),
            f64::from(complete_count),
            "",
            "8",
            complete_count == 8,
        );
    }
    owner_recovery().await
}

/// Measures the time from the kill of a partition owner to the last response to 24 requests with
/// new keys. All are sent at once, and each is retried 50 ms after a refusal.
async fn owner_recovery() -> eyre::Result<()> {
    let mut fleet = Fleet::start(fleet_setup()).await?;
    fleet.service_agents[0].kill()?;
    let killed_at = std::time::Instant::now();
    let requests = (0..24).map(|number| {
        let fleet = &fleet;
        async move {
            let (key, body) = (format!("owner-{number}"), format!("owner body {number}"));
            while fleet.send_operation(1, "/issue", &key, &body).await?.status != 200 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            eyre::Ok(killed_at.elapsed())
        }
    });
    let mut last_response = Duration::ZERO;
    for response_time in futures_util::future::join_all(requests).await {
        last_response = last_response.max(response_time?);
    }
    let millis = last_response.as_secs_f64() * 1e3;
    print_figure("owner killed: last of 24 new keys answered", millis, "ms");
    Ok(())
}

fn print_points(points: &[ScalingPoint]) {
    for point in points {
        println!(
            "{:<12} {:>6}  {:<34} {:>12.2} {}",
            point.parameter, point.count, point.quantity, point.value, point.unit
        );
    }
}

async fn slopes() -> eyre::Result<()> {
    print_figure("one heartbeat as sent", heartbeat_bytes() as f64, "bytes");
    for count in [38, 150, 750, 3_000, 12_000] {
        print_points(&gateway_scaling(count));
    }
    for count in [750, 1_500, 3_000, 6_000, 12_000] {
        print_points(&replica_scaling(count));
    }
    for count in [250, 500, 1_000, 2_000, 4_000] {
        print_points(&config_scaling(count));
    }
    for count in [250, 500, 1_000, 2_000, 4_000] {
        print_points(&request_scaling(count));
        print_points(&journal_scaling(count));
    }
    process_costs().await
}

/// Measures the processor time that an entry process uses to receive and acknowledge a heartbeat.
async fn heartbeat_cost(fleet: &Fleet) -> eyre::Result<()> {
    const SENDERS: u32 = 16;
    const ROUNDS: u32 = 600;
    let entry = &fleet.entries[0];
    let keys = FrameKeys::from_secrets(&["fleet-secret".into()]);
    let keys = keys.ok_or_else(|| eyre::eyre!("could not derive frame keys: no secret given"))?;
    let (event_sender, events) = crossbeam_channel::bounded::<MessagingEvent>(65_536);
    let mut senders = Vec::new();
    for number in 0..SENDERS {
        let identity = ProcessIdentity {
            address: free_address()?.to_string(),
            incarnation: u64::from(number),
            keys: keys.clone(),
            clock: LamportClock::default(),
        };
        messaging::listen(&identity, event_sender.clone())?;
        senders.push(MessageSender::new(identity, event_sender.clone()));
    }
    let mut send_round = |round: u32| {
        for (number, sender) in (0..).zip(&mut senders) {
            let body = Body::Heartbeat(heartbeat(number, u64::from(round) + 1));
            sender.send(OutgoingMessage {
                to: entry.message_address.to_string(),
                body,
            });
        }
    };
    send_round(0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    while events.try_recv().is_ok() {}
    let before = cpu_time(entry.id())?;
    for round in 1..=ROUNDS {
        send_round(round);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let cpu_used = cpu_time(entry.id())?.saturating_sub(before);
    let acknowledged = std::iter::from_fn(|| events.try_recv().ok()).count();
    print_figure("heartbeats sent", f64::from(SENDERS * ROUNDS), "");
    print_figure("heartbeats answered", acknowledged as f64, "");
    let micros = cpu_used.as_secs_f64() * 1e6 / f64::from(SENDERS * ROUNDS);
    print_figure("entry: processor time per heartbeat", micros, "us");
    Ok(())
}

/// Measures the processor time and memory of the processes of a fleet, idle and under load.
async fn process_costs() -> eyre::Result<()> {
    let fleet = Fleet::start(fleet_setup()).await?;
    let idle_s = 10;
    let snapshot = UsageSnapshot::take(&fleet).await?;
    tokio::time::sleep(Duration::from_secs(idle_s)).await;
    snapshot.print(&fleet, "idle", Some(idle_s as f64)).await?;
    let mut plan = load_plan(40, 8);
    plan.warm_up = Duration::ZERO;
    let snapshot = UsageSnapshot::take(&fleet).await?;
    let report = load_fleet(&fleet, plan).await;
    snapshot.print(&fleet, "load", None).await?;
    print_figure("load: tokens", report.tokens_per_second(), "tokens/s");
    let url = format!("http://{}/stats", fleet.platform.http_address);
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
    print_figure(
        "platform: reads, idle, 2 service agents",
        rate("reads")?,
        "1/s",
    );
    print_figure(
        "platform: writes, idle, 2 service agents",
        rate("writes")?,
        "1/s",
    );
    heartbeat_cost(&fleet).await?;
    Ok(())
}

/// Processor time and value of `lynxcart_tokens_total` of an entry, an agent and a service agent at
/// one moment.
struct UsageSnapshot(Vec<(Duration, f64)>);

impl UsageSnapshot {
    fn processes(fleet: &Fleet) -> [&FleetProcess; 3] {
        [
            &fleet.entries[0],
            &fleet.agents[0],
            &fleet.service_agents[0],
        ]
    }

    async fn take(fleet: &Fleet) -> eyre::Result<UsageSnapshot> {
        let mut usages = Vec::new();
        for process in UsageSnapshot::processes(fleet) {
            let url = format!("http://{}/metrics", process.http_address);
            let (_, body) = lynxcart::fetch::get(&fleet.client, &url).await?;
            let text = String::from_utf8_lossy(&body).into_owned();
            let tokens = text
                .lines()
                .find_map(|line| line.strip_prefix("lynxcart_tokens_total "))
                .and_then(|number| number.parse().ok());
            usages.push((cpu_time(process.id())?, tokens.unwrap_or(0.0)));
        }
        Ok(UsageSnapshot(usages))
    }

    /// Prints the processor time used since the snapshot and the memory in use. The time is per
    /// second if `seconds` is given, and otherwise per token that the process has counted;
    /// processes without tokens are left out.
    async fn print(&self, fleet: &Fleet, name: &str, seconds: Option<f64>) -> eyre::Result<()> {
        let after = UsageSnapshot::take(fleet).await?;
        let pairs = self.0.iter().zip(&after.0);
        for (process, (before, after)) in UsageSnapshot::processes(fleet).iter().zip(pairs) {
            let micros = after.0.saturating_sub(before.0).as_secs_f64() * 1e6;
            let tokens = after.1 - before.1;
            let (per, unit) = match seconds {
                Some(seconds) => (seconds, "us per s"),
                None if tokens > 0.0 => (tokens, "us per token of its own"),
                None => continue,
            };
            let title = format!("{name}: {}: processor time", process.name);
            print_figure(&title, micros / per, unit);
            let memory_mib = resident_kib(process.id())? as f64 / 1024.0;
            print_figure(
                &format!("{name}: {}: memory", process.name),
                memory_mib,
                "MiB",
            );
        }
        Ok(())
    }
}
