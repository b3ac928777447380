//! A fault soak of the gateways: callers ask without pause while replicas, gateways and the store
//! fail by turns, drawn from a seed. What callers got and what replicas ran is then checked.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use eyre::{ensure, WrapErr};
use lynxcart::fetch::{self, HttpClient};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;

use crate::replica::ReplicaFault;
use crate::site::{read_up_to, send, Site, SiteCall, SiteResponse, DEADLINE_MS, LAYERS};

/// Callers that ask at the same time.
const CALLERS: usize = 16;
/// Events of a stream.
const EVENTS: u64 = 30;
/// Bytes after which a caller that leaves does so.
const LEAVE_BYTES: usize = 60;
/// Faults under way at once.
const FAULTS_MOST: usize = 3;
/// Time after the last fault in which the site must serve again, milliseconds: the users'
/// `recover_s` of 12 s.
const RECOVER_MS: u64 = 12_000;
/// Part of the calls that must be served under the faults: the users' gate.
const SERVED_LEAST: f64 = 0.4;
/// Runs of a call at the most, by its route.
const RUNS_MOST: usize = 2;
/// Time after its start in which a process takes signals, milliseconds.
const START_MS: u64 = 500;
/// Time beyond the deadline in which a call must have ended, milliseconds.
const SLACK_MS: u64 = 500;

/// What a soak is made of.
#[derive(Clone, Debug)]
pub struct SoakSetup {
    /// Where logs go.
    pub logs: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// How long faults go on.
    pub length: Duration,
    /// Number of gateways.
    pub gateways: usize,
}

/// A fault that can be undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakFault {
    /// A model's replica stands still and comes back as it was.
    ReplicaSilent(usize),
    /// A model's replica dies and comes back empty, as another incarnation.
    ReplicaReborn(usize),
    /// A plain replica fails its calls.
    PlainFails(usize, ReplicaFault),
    /// A gateway is killed and started again.
    GatewayKilled(usize),
    /// A gateway is suspended.
    GatewayFrozen(usize),
    /// A gateway is told to read its settings again.
    GatewayReload(usize),
    /// The store answers nothing but errors.
    StoreDown,
    /// The configuration changes.
    ConfigChange,
}

/// How one call ended.
#[derive(Debug)]
struct CallRecord {
    call: SiteCall,
    took: Duration,
    left: bool,
    /// The answer, and whether it came to its end; none when no head came.
    answer: Option<(SiteResponse, bool)>,
}

impl CallRecord {
    /// When the answer says to come back; at most a third of the time that callers wait.
    fn retry_after(&self) -> Duration {
        let headers = self.answer.as_ref().map(|(answer, _)| &answer.headers);
        let value = headers.and_then(|headers| headers.get("retry-after")?.to_str().ok());
        let seconds: f64 = value.and_then(|value| value.parse().ok()).unwrap_or(0.0);
        Duration::from_secs_f64(seconds.clamp(0.0, DEADLINE_MS as f64 / 3_000.0))
    }
}

/// What a soak saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoakReport {
    /// Calls made.
    pub calls: usize,
    /// Calls that were served whole.
    pub served: usize,
    /// Calls that were refused with a promise that they have not run.
    pub refused: usize,
    /// Faults put in.
    pub faults: usize,
}

impl std::fmt::Display for SoakReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "calls={} served={} refused={} faults={}",
            self.calls, self.served, self.refused, self.faults
        )
    }
}

/// Runs a soak and checks it.
///
/// # Errors
///
/// What was broken, or that the site could not be started.
pub async fn run_soak(setup: &SoakSetup) -> eyre::Result<SoakReport> {
    let mut site = Site::start(setup.logs.clone(), setup.gateways).await?;
    let until = Instant::now() + setup.length;
    let fronts: Vec<SocketAddr> = site.gateways.iter().map(|one| one.process.http).collect();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let seed = setup.seed * CALLERS as u64 + number as u64;
        callers.spawn(ask_until(number, fronts.clone(), until, seed));
    }
    let faults = inject_until(&mut site, until, setup.seed).await?;
    let mut records = Vec::new();
    while let Some(asked) = callers.join_next().await {
        records.extend(asked?);
    }
    check_recovery(&site).await?;
    let mut report = check_calls(&site, &records)
        .wrap_err_with(|| format!("seed {}, logs in {}", setup.seed, setup.logs.display()))?;
    report.faults = faults;
    Ok(report)
}

async fn ask_until(
    caller: usize,
    fronts: Vec<SocketAddr>,
    until: Instant,
    seed: u64,
) -> Vec<CallRecord> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let client = fetch::unpooled_client();
    let mut records = Vec::new();
    for count in 0_u32.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("c{caller}-{count}");
        let call = match rng.random_range(0..4) {
            0 | 1 => SiteCall::stream(&id, EVENTS),
            2 => SiteCall::issue(&id),
            _ => SiteCall::lookup(&id),
        };
        let leaves = call.tokens > 0 && rng.random_bool(0.1);
        let front = fronts[rng.random_range(0..fronts.len())];
        let record = ask(&client, front, call, leaves).await;
        let pause = Duration::from_millis(rng.random_range(5..40));
        // Callers that were refused come back when they were told to.
        tokio::time::sleep(pause + record.retry_after()).await;
        records.push(record);
    }
    records
}

async fn ask(client: &HttpClient, front: SocketAddr, call: SiteCall, leaves: bool) -> CallRecord {
    let began = Instant::now();
    let limit = Duration::from_millis(DEADLINE_MS + 4 * SLACK_MS);
    let asked = async {
        let response = send(client, front, &call).await.ok()?;
        let most = if leaves { LEAVE_BYTES } else { usize::MAX };
        let (answer, end) = read_up_to(response, most).await;
        Some((answer, end.is_ok()))
    };
    let answer = tokio::time::timeout(limit, asked).await.ok().flatten();
    CallRecord {
        call,
        took: began.elapsed(),
        left: leaves,
        answer,
    }
}

/// Puts faults in and takes them back. Returns their number.
async fn inject_until(site: &mut Site, until: Instant, seed: u64) -> eyre::Result<usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut under_way: Vec<(Instant, SoakFault)> = Vec::new();
    let mut count = 0;
    while Instant::now() < until {
        let now = Instant::now();
        let (over, rest) = under_way.into_iter().partition(|(end, _)| now >= *end);
        under_way = rest;
        for (_, fault) in over {
            undo(site, fault)?;
        }
        let fault = draw_fault(&mut rng, site);
        check_running(site, &under_way)?;
        let busy = under_way.iter().any(|(_, other)| same_place(*other, fault))
            || is_starting(site, fault);
        if under_way.len() < FAULTS_MOST && !busy {
            apply(site, fault)?;
            let length = Duration::from_millis(rng.random_range(150..2_500));
            under_way.push((now + length, fault));
            count += 1;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
    for (_, fault) in under_way {
        undo(site, fault)?;
    }
    Ok(count)
}

/// No gateway has ended that was not killed.
fn check_running(site: &mut Site, under_way: &[(Instant, SoakFault)]) -> eyre::Result<()> {
    for number in 0..site.gateways.len() {
        let killed = under_way
            .iter()
            .any(|(_, fault)| *fault == SoakFault::GatewayKilled(number));
        let ended = site.gateways[number].process.has_ended()?;
        ensure!(killed || !ended, "gateway {number} ended by itself");
    }
    Ok(())
}

/// Whether a fault would signal a process that has not had time to take signals.
fn is_starting(site: &Site, fault: SoakFault) -> bool {
    match fault {
        SoakFault::GatewayReload(number) => {
            site.gateways[number].started_at.elapsed() < Duration::from_millis(START_MS)
        }
        _ => false,
    }
}

fn draw_fault(rng: &mut Pcg64Mcg, site: &Site) -> SoakFault {
    let model = rng.random_range(0..site.models.len());
    let gateway = rng.random_range(0..site.gateways.len());
    let plain_faults = [
        ReplicaFault::LosesAnswer,
        ReplicaFault::Full,
        ReplicaFault::AnswersAnother,
    ];
    match rng.random_range(0..8) {
        0 => SoakFault::ReplicaSilent(model),
        1 => SoakFault::ReplicaReborn(model),
        2 => SoakFault::PlainFails(
            rng.random_range(0..site.plain.len()),
            plain_faults[rng.random_range(0..plain_faults.len())],
        ),
        3 => SoakFault::GatewayKilled(gateway),
        4 => SoakFault::GatewayFrozen(gateway),
        5 => SoakFault::GatewayReload(gateway),
        6 => SoakFault::StoreDown,
        _ => SoakFault::ConfigChange,
    }
}

/// Whether two faults strike the same thing, so that one's end would end the other.
fn same_place(one: SoakFault, other: SoakFault) -> bool {
    use SoakFault as Fault;
    match (one, other) {
        (
            Fault::ReplicaSilent(a) | Fault::ReplicaReborn(a),
            Fault::ReplicaSilent(b) | Fault::ReplicaReborn(b),
        )
        | (Fault::PlainFails(a, _), Fault::PlainFails(b, _))
        | (
            Fault::GatewayKilled(a) | Fault::GatewayFrozen(a) | Fault::GatewayReload(a),
            Fault::GatewayKilled(b) | Fault::GatewayFrozen(b) | Fault::GatewayReload(b),
        ) => a == b,
        _ => one == other,
    }
}

fn apply(site: &mut Site, fault: SoakFault) -> eyre::Result<()> {
    match fault {
        SoakFault::ReplicaSilent(number) | SoakFault::ReplicaReborn(number) => {
            let address = site.models[number];
            site.replicas.change(address, |state| state.dead = true);
        }
        SoakFault::PlainFails(number, how) => {
            let address = site.plain[number];
            site.replicas.change(address, |state| state.fault = how);
        }
        SoakFault::GatewayKilled(number) => site.gateways[number].process.kill()?,
        SoakFault::GatewayFrozen(number) => site.gateways[number].process.signal("STOP")?,
        SoakFault::GatewayReload(number) => site.gateways[number].process.signal("HUP")?,
        SoakFault::StoreDown => site.store.set_down(true),
        SoakFault::ConfigChange => site.publish_config(),
    }
    Ok(())
}

fn undo(site: &mut Site, fault: SoakFault) -> eyre::Result<()> {
    match fault {
        SoakFault::ReplicaSilent(number) => {
            let address = site.models[number];
            site.replicas.change(address, |state| state.dead = false);
        }
        SoakFault::ReplicaReborn(number) => {
            let address = site.models[number];
            site.replicas.change(address, |state| {
                state.dead = false;
                state.born += 1;
                state.sequence = 0;
                state.fence = 0;
                state.layers = (0, 0);
            });
        }
        SoakFault::PlainFails(number, _) => {
            let address = site.plain[number];
            let well = ReplicaFault::None;
            site.replicas.change(address, |state| state.fault = well);
        }
        SoakFault::GatewayKilled(number) => site.restart_gateway(number)?,
        SoakFault::GatewayFrozen(number) => site.gateways[number].process.signal("CONT")?,
        SoakFault::StoreDown => site.store.set_down(false),
        SoakFault::GatewayReload(_) | SoakFault::ConfigChange => {}
    }
    Ok(())
}

/// The site serves everything again soon after the last fault.
async fn check_recovery(site: &Site) -> eyre::Result<()> {
    let began = Instant::now();
    let limit = Duration::from_millis(RECOVER_MS);
    for number in 0..site.gateways.len() {
        for count in 0_u32.. {
            let id = format!("after-{number}-{count}");
            let stream = site.call(number, &SiteCall::stream(&id, 3)).await;
            let lookup = site
                .call(number, &SiteCall::lookup(&format!("{id}-l")))
                .await;
            let served = [stream, lookup].into_iter().all(|answer| {
                answer.is_ok_and(|answer| answer.status == 200 && !answer.body.is_empty())
            });
            if served {
                break;
            }
            ensure!(
                began.elapsed() < limit,
                "gateway {number} does not serve {limit:?} after the last fault"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

fn check_calls(site: &Site, records: &[CallRecord]) -> eyre::Result<SoakReport> {
    let mut report = SoakReport {
        calls: records.len(),
        ..SoakReport::default()
    };
    for run in site.replicas.runs() {
        ensure!(run.team == "mill" && !run.has_key, "a key went on: {run:?}");
        ensure!(
            run.body == format!("body of {}", run.request),
            "another body: {run:?}"
        );
        if !run.chain.is_empty() {
            ensure!(covers_layers(&run.chain), "not every layer once: {run:?}");
        }
    }
    for record in records {
        check_call(site, record, &mut report).wrap_err_with(|| format!("{record:?}"))?;
    }
    let served = report.served as f64 / report.calls.max(1) as f64;
    ensure!(served >= SERVED_LEAST, "served only {served:.2}: {report}");
    Ok(report)
}

fn check_call(site: &Site, record: &CallRecord, report: &mut SoakReport) -> eyre::Result<()> {
    let CallRecord { call, took, .. } = record;
    let runs = site.runs(&call.id);
    let once = call.path.starts_with("/issue/");
    ensure!(!once || runs <= 1, "ran {runs} times");
    ensure!(runs <= RUNS_MOST, "ran {runs} times");
    let Some((answer, whole)) = &record.answer else {
        return Ok(());
    };
    let limit = Duration::from_millis(DEADLINE_MS + SLACK_MS);
    ensure!(*took <= limit, "took {took:?}");
    match answer.status {
        200 => {
            ensure!(runs > 0, "answered and never run");
            ensure!(
                answer
                    .headers
                    .get("x-attempt-id")
                    .is_some_and(|id| id == &call.id),
                "another's answer"
            );
            let ids = answer.event_ids();
            let in_order = ids.iter().zip(1..).all(|(id, expected)| *id == expected);
            ensure!(in_order, "events {ids:?}");
            if !whole || record.left {
                return Ok(());
            }
            let complete = match call.tokens {
                0 => answer.body == format!("body of {}", call.id),
                tokens => ids.len() as u64 == tokens,
            };
            ensure!(complete, "looks whole and is not");
            report.served += 1;
        }
        // These promise that it has not run and never will.
        408 | 421 | 429 | 503 => {
            ensure!(runs == 0, "refused, and ran {runs} times");
            report.refused += 1;
        }
        500 | 502 | 504 => {}
        status => eyre::bail!("an answer of {status} to a proper call"),
    }
    Ok(())
}

/// Whether a chain in the form `IP:PORT=FROM-TO,...` runs every layer once and in order.
fn covers_layers(chain: &str) -> bool {
    let mut next = 0;
    for hop in chain.split(',') {
        let layers = hop
            .split_once('=')
            .and_then(|(_, layers)| layers.split_once('-'));
        let bounds = layers.map(|(from, to)| (from.parse::<u64>(), to.parse::<u64>()));
        match bounds {
            Some((Ok(from), Ok(to))) if from == next && to > from => next = to,
            _ => return false,
        }
    }
    next == LAYERS
}
