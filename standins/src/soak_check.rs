//! The checks at the end of a soak.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use eyre::{ensure, WrapErr};

use crate::replica::ReplicaFault;
use crate::site::{SiteRequest, TestSite, DEADLINE_MS, LAYERS, SECOND_API_KEY};
use crate::soak::SoakReport;
use crate::soak_caller::{
    is_crashing, RequestRecord, ABSENT_PATH, DEADLINE_SLACK_MS, UNKNOWN_API_KEY,
};
use crate::soak_fault::{SoakFault, LOWERED_BODY_BYTES};
use crate::soak_schedule::{FaultLog, CONTACT_MS};

/// Time after the last fault within which every gateway must serve requests again, in milliseconds.
/// The users require `recover_s` = 12 s.
const RECOVERY_LIMIT_MS: u64 = 12_000;
/// Minimum share of the requests that must be served in full while faults are active. It is the
/// users' acceptance threshold.
const MIN_SERVED_SHARE: f64 = 0.4;
/// Maximum number of runs of a request: `max_attempts` of the site's routes.
const MAX_RUNS: usize = 2;
/// Crashes under the same request from which on all gateways have to know of it.
const MAX_CRASHES: usize = 3;
/// Crashes under the same part of prompts from which on all gateways have to know of it.
const MAX_PART_CRASHES: usize = 5;
/// Replicas that the request may reach after that. It is the users' bound.
const MAX_LATE_RETRIES: usize = 3;
/// Time after which a gateway that passed on that a replica is leaving sends it no request, in
/// milliseconds. It is the shortest of the users' sites.
const LEAVE_MS: u64 = 2_000;

/// Number of lost requests that an error shows.
const MAX_LOST_SHOWN: usize = 5;
/// Time after the end of a request within which the close of its connection may have crossed it, in
/// milliseconds. It is the users'.
const LOSS_SLACK_MS: u64 = 200;

/// Checks that each gateway serves a stream and a plain request within [`RECOVERY_LIMIT_MS`] after
/// the last fault.
pub(crate) async fn check_recovery(site: &TestSite) -> eyre::Result<()> {
    let started_at = Instant::now();
    let limit = Duration::from_millis(RECOVERY_LIMIT_MS);
    for number in 0..site.gateways.len() {
        for count in 0_u32.. {
            let id = format!("after-{number}-{count}");
            let stream = site.fetch(number, &SiteRequest::stream(&id, 3)).await;
            let lookup = site
                .fetch(number, &SiteRequest::lookup(&format!("{id}-l")))
                .await;
            let served = [stream, lookup].into_iter().all(|response| {
                response.is_ok_and(|response| response.status == 200 && !response.body.is_empty())
            });
            if served {
                break;
            }
            ensure!(
                started_at.elapsed() < limit,
                "gateway {number} still fails a stream or a lookup {limit:?} after the last fault"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

/// Checks that what crashes replicas reached few of them once it was known.
pub(crate) fn check_crashes(site: &TestSite, faults: &FaultLog, by_part: bool) -> eyre::Result<()> {
    let crashes = site.replicas.crashes();
    let allowed = match by_part {
        true => MAX_PART_CRASHES,
        false => MAX_CRASHES,
    };
    let Some(last_allowed) = crashes.get(allowed - 1) else {
        return Ok(());
    };
    let known_at = *last_allowed + Duration::from_millis(CONTACT_MS);
    let late = crashes
        .iter()
        .filter(|at| **at > known_at && faults.in_contact(**at));
    let late = late.count();
    ensure!(
        late <= MAX_LATE_RETRIES,
        "what had crashed {allowed} replicas crashed {late} more"
    );
    Ok(())
}

/// Checks that no gateway sends a request to a replica later than [`LEAVE_MS`] after it passed on an
/// answer in which that said that it is leaving, whatever has happened to the gateway in between.
pub(crate) fn check_leaving(site: &TestSite, records: &[RequestRecord]) -> eyre::Result<()> {
    let by_id = records
        .iter()
        .map(|record| (&record.request.id[..], record));
    let by_id: HashMap<&str, &RequestRecord> = by_id.collect();
    let mut passed_on: HashMap<(SocketAddr, SocketAddr, u64), Instant> = HashMap::new();
    let runs = site.replicas.runs();
    let last_runs: HashMap<&str, SocketAddr> = runs
        .iter()
        .map(|run| (&run.request_id[..], run.replica))
        .collect();
    let leaving = runs.iter().filter_map(|run| {
        let record = by_id.get(&run.request_id[..])?;
        Some((record, (record.gateway, run.replica, run.leaving?)))
    });
    for (record, key) in leaving.clone() {
        let answered = matches!(&record.response, Some((response, true)) if response.status == 200);
        // The answer is that of the last run.
        if answered && last_runs.get(&record.request.id[..]) == Some(&key.1) {
            let at = record.started_at + record.elapsed;
            let first = passed_on.entry(key).or_insert(at);
            *first = at.min(*first);
        }
    }
    for (record, key) in leaving {
        let first = passed_on.get(&key);
        let late = first.map(|first| record.started_at.saturating_duration_since(*first));
        ensure!(
            late.is_none_or(|late| late <= Duration::from_millis(LEAVE_MS)),
            "{} reached {} {late:?} after its gateway {} had passed on that it is leaving",
            record.request.id,
            key.1,
            key.0
        );
    }
    Ok(())
}

/// Checks that each request on a connection to a running gateway ended with an answer or a refusal, or
/// a stream with a body that broke off. A gateway that refuses a request early reads on, so that its
/// caller gets the refusal.
pub(crate) fn check_lost(
    site: &TestSite,
    records: &[RequestRecord],
    faults: &FaultLog,
) -> eyre::Result<()> {
    let lost = records
        .iter()
        .filter(|record| is_lost(site, record, faults));
    let lost: Vec<String> = lost.map(|record| describe_lost(site, record)).collect();
    ensure!(
        lost.is_empty(),
        "{} of {} requests ended with neither an answer nor a refusal:\n{}",
        lost.len(),
        records.len(),
        lost[..lost.len().min(MAX_LOST_SHOWN)].join("\n")
    );
    Ok(())
}

fn describe_lost(site: &TestSite, record: &RequestRecord) -> String {
    let RequestRecord {
        request, response, ..
    } = record;
    let age_s = record.started_at.elapsed().as_secs_f64();
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now_s = now.map_or(0.0, |now| now.as_secs_f64());
    let status = response.as_ref().map_or(0, |(response, _)| response.status);
    format!(
        "id={} unix_s={:.3} gateway={} path={} body_bytes={} elapsed_ms={} runs={} on_kept={} sent_whole={} status={status}",
        request.id,
        now_s - age_s,
        gateway_number(site, record),
        request.path,
        request.body_text().len(),
        record.elapsed.as_millis(),
        site.run_count(&request.id),
        record.on_kept,
        record.progress.sent_whole,
    )
}

fn gateway_number(site: &TestSite, record: &RequestRecord) -> usize {
    let mut gateways = site.gateways.iter();
    let number = gateways.position(|gateway| gateway.process.http_address == record.gateway);
    number.unwrap_or(usize::MAX)
}

fn is_lost(site: &TestSite, record: &RequestRecord, faults: &FaultLog) -> bool {
    let ended_at = record.started_at + record.elapsed;
    let number = gateway_number(site, record);
    let halted = faults.halted_time(number, record.started_at, ended_at);
    if !record.is_connected || halted.is_some() {
        return false;
    }
    let is_quick = record.elapsed <= Duration::from_millis(LOSS_SLACK_MS);
    match &record.response {
        // A request that crosses the close of an idle connection and is not passed on is not lost.
        None if record.on_kept && record.progress.received == 0 && is_quick => {
            site.run_count(&record.request.id) > 0
        }
        None => true,
        Some((_, is_whole)) if *is_whole || record.disconnects_early => false,
        Some(_) if record.request.event_count > 0 => false,
        // An answer may end early where its replica broke off or the deadline has passed.
        Some(_) => {
            record.elapsed < Duration::from_millis(DEADLINE_MS)
                && !was_broken_off(site, &record.request)
        }
    }
}

/// Whether a replica broke off its answer to a request.
fn was_broken_off(site: &TestSite, request: &SiteRequest) -> bool {
    let runs = site.replicas.runs();
    let mut runs = runs.iter().filter(|run| run.request_id == request.id);
    runs.any(|run| {
        matches!(
            run.fault,
            ReplicaFault::LosesResponse
                | ReplicaFault::EndlessBody
                | ReplicaFault::CutsHead
                | ReplicaFault::CutsBody
        )
    })
}

/// Checks all runs and all received responses, and that enough requests were served.
pub(crate) fn check_requests(
    site: &TestSite,
    records: &[RequestRecord],
    faults: &FaultLog,
) -> eyre::Result<SoakReport> {
    let mut report = SoakReport {
        requests: records.len(),
        ..SoakReport::default()
    };
    let bodies = records
        .iter()
        .map(|record| (&record.request.id[..], record.request.body_text()));
    let bodies: HashMap<&str, String> = bodies.collect();
    for run in site.replicas.runs() {
        ensure!(
            run.team == "mill" && !run.has_api_key,
            "expected team \"mill\" and no API key: {run:?}"
        );
        ensure!(
            match bodies.get(&run.request_id[..]) {
                Some(body) => run.body == *body,
                None => run.body == format!("body of {}", run.request_id),
            },
            "expected the body of the request: {run:?}"
        );
        if !run.chain.is_empty() {
            ensure!(
                covers_layers(&run.chain),
                "expected each of {LAYERS} layers once, in order: {run:?}"
            );
        }
    }
    for record in records {
        check_request(site, record, faults, &mut report)
            .wrap_err_with(|| format!("{:.2000}", format!("{record:?}")))?;
    }
    // A request that crashes replicas, or that the configuration does not allow, is not owed an answer.
    let owed = records.iter().filter(|record| {
        let response = record.response.as_ref();
        let is_allowed = response.is_none_or(|(response, _)| !is_denial(response.status));
        !is_crashing(&record.request) && !is_improper(&record.request) && is_allowed
    });
    let served_share = report.served as f64 / owed.count().max(1) as f64;
    ensure!(
        served_share >= MIN_SERVED_SHARE,
        "served a share of {served_share:.2}, expected at least {MIN_SERVED_SHARE}: {report}"
    );
    Ok(report)
}

/// Checks the runs of a request and its response, if one was received, and counts the response in
/// the report. Without a response, only the number of runs is checked.
fn check_request(
    site: &TestSite,
    record: &RequestRecord,
    faults: &FaultLog,
    report: &mut SoakReport,
) -> eyre::Result<()> {
    let RequestRecord {
        request, elapsed, ..
    } = record;
    let runs = site.run_count(&request.id);
    let at_most_once = request.path.starts_with("/issue/");
    ensure!(
        !at_most_once || runs <= 1,
        "ran {runs} times, expected at most 1"
    );
    ensure!(
        runs <= MAX_RUNS,
        "ran {runs} times, expected at most {MAX_RUNS}"
    );
    let Some((response, complete_body)) = &record.response else {
        return Ok(());
    };
    let limit = Duration::from_millis(DEADLINE_MS + DEADLINE_SLACK_MS);
    let ended_at = record.started_at + *elapsed;
    let number = gateway_number(site, record);
    let halted = faults.halted_time(number, record.started_at, ended_at);
    // A gateway cannot answer while it is suspended.
    let ran_for = elapsed.saturating_sub(halted.unwrap_or_default());
    ensure!(
        ran_for <= limit,
        "took {elapsed:?}, {ran_for:?} of them while the gateway ran, expected at most {limit:?}"
    );
    match response.status {
        200 => {
            ensure!(
                !is_improper(request),
                "served without a route or with an unknown key"
            );
            ensure!(runs > 0, "status 200, but no replica ran the request");
            ensure!(
                response
                    .headers
                    .get("x-attempt-id")
                    .is_some_and(|id| id == &request.id),
                "x-attempt-id of the response is missing or of another request"
            );
            let ids = response.event_ids();
            let in_order = ids.iter().zip(1..).all(|(id, expected)| *id == expected);
            ensure!(in_order, "event ids not consecutive from 1: {ids:?}");
            let is_event_line = |line: &str| {
                let fields = ["id: ", "data: "];
                line.is_empty() || fields.iter().any(|field| line.starts_with(field))
            };
            // The last line of a body that ends early may be part of one.
            let is_whole = *complete_body && !record.disconnects_early;
            let foreign = response.body.lines().find(|line| !is_event_line(line));
            ensure!(
                foreign.is_none() || request.event_count == 0 || !is_whole,
                "a line of the stream is no event: {foreign:?}"
            );
            if !complete_body || record.disconnects_early {
                return Ok(());
            }
            let complete = match request.event_count {
                0 => response.body == request.body_text(),
                event_count => ids.len() as u64 == event_count,
            };
            ensure!(complete, "body ended without error, but is incomplete");
            report.served += 1;
        }
        // These statuses guarantee that the request did not run and will not run.
        408 | 421 | 429 | 503 => {
            ensure!(
                runs == 0,
                "refused with a guarantee that it did not run, but ran {runs} times"
            );
            report.refused += 1;
        }
        status if is_denial(status) => {
            ensure!(runs == 0, "denied with {status}, but ran {runs} times");
            ensure!(
                may_deny(record, faults, status),
                "denied with {status} though the configuration allows it"
            );
        }
        500 | 502 | 504 => {}
        status => eyre::bail!("unexpected status {status}"),
    }
    Ok(())
}

/// Whether a status says that the configuration does not allow the request.
fn is_denial(status: u16) -> bool {
    matches!(status, 401 | 403 | 404 | 413)
}

/// Whether no configuration allows the request.
fn is_improper(request: &SiteRequest) -> bool {
    request.path == ABSENT_PATH || request.api_key == UNKNOWN_API_KEY
}

/// Whether a configuration that may have been in force denies the request with this status.
fn may_deny(record: &RequestRecord, faults: &FaultLog, status: u16) -> bool {
    let request = &record.request;
    let (is_concerned, fault) = match status {
        401 | 403 => (request.api_key == SECOND_API_KEY, SoakFault::KeyAbsent),
        404 => (request.path == "/lookup/x", SoakFault::RouteAbsent),
        _ => (
            request.body_text().len() > LOWERED_BODY_BYTES,
            SoakFault::LimitsLowered,
        ),
    };
    let ended_at = record.started_at + record.elapsed;
    let in_force = faults.may_be_in_force(fault, record.started_at, ended_at);
    let is_improper = match status {
        401 | 403 => request.api_key == UNKNOWN_API_KEY,
        404 => request.path == ABSENT_PATH,
        _ => false,
    };
    is_improper || (is_concerned && in_force)
}

/// Whether a chain in the form `IP:PORT=FROM-TO,...` covers every layer once and in order.
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
