//! Soak test of the gateways under faults: concurrent callers send requests while replicas,
//! gateways and the store fail in an order drawn from a seed. Afterwards the responses that callers
//! received are checked against the requests that replicas ran.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use tokio::task::JoinSet;

use crate::site::{TestSite, API_KEY, SECOND_API_KEY};
use crate::soak_caller::{crashes_by_part, run_caller, SoakBalancer};
use crate::soak_check::{check_crashes, check_leaving, check_lost, check_recovery, check_requests};
use crate::soak_limit::{check_limits, name_limits, names_limits};
use crate::soak_schedule::{inject_faults, FaultLog};

/// Number of concurrent callers.
const CALLERS: usize = 16;

/// Parameters of one run of the soak test: its log directory, its seed, its duration and the number
/// of gateways.
#[derive(Clone, Debug)]
pub struct SoakSetup {
    /// Directory for the logs of the gateways; created if it does not exist.
    pub log_dir: PathBuf,
    /// Seed of the faults and of the callers' requests.
    pub seed: u64,
    /// Time during which faults are injected and callers send requests.
    pub duration: Duration,
    /// Number of gateways.
    pub gateways: usize,
}

/// Totals of a soak.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoakReport {
    /// Number of requests sent by the callers.
    pub requests: usize,
    /// Number of requests whose caller received a complete response of status 200.
    pub served: usize,
    /// Number of requests refused with a status that guarantees that they did not run.
    pub refused: usize,
    /// Number of faults injected.
    pub faults: usize,
}

impl std::fmt::Display for SoakReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "calls={} served={} refused={} faults={}",
            self.requests, self.served, self.refused, self.faults
        )
    }
}

/// Runs a soak and checks its results.
///
/// # Errors
///
/// If a check fails or the site cannot be started. The error of a failed check names the request,
/// run or gateway concerned, or the share of requests that were served.
pub async fn run_soak(setup: &SoakSetup) -> eyre::Result<SoakReport> {
    let mut site = TestSite::start(setup.log_dir.clone(), setup.gateways).await?;
    let faults = FaultLog::new(Instant::now());
    site.set_api_keys(&[API_KEY, SECOND_API_KEY]);
    let end = Instant::now() + setup.duration;
    let gateways = site.gateways.iter();
    let balancer = SoakBalancer::new(gateways.map(|gateway| gateway.process.http_address));
    let balancer = Arc::new(balancer);
    let mut callers = JoinSet::new();
    let by_part = crashes_by_part(setup.seed);
    for number in 0..CALLERS {
        let seed = setup.seed * CALLERS as u64 + number as u64;
        callers.spawn(run_caller(number, balancer.clone(), end, seed, by_part));
    }
    let mut limited = site.plain_addresses.clone();
    limited.extend_from_slice(&site.model_addresses);
    if names_limits(setup.seed) {
        let table = site.replicas.clone();
        tokio::spawn(name_limits(table, limited.clone(), end, setup.seed));
    }
    let faults = inject_faults(&mut site, &balancer, faults, end, setup.seed).await?;
    let mut records = Vec::new();
    while let Some(joined) = callers.join_next().await {
        records.extend(joined?);
    }
    faults.write(&setup.log_dir.join("faults.log"))?;
    check_lost(&site, &records, &faults)
        .wrap_err_with(|| format!("seed {}, logs in {}", setup.seed, setup.log_dir.display()))?;
    check_recovery(&site).await?;
    check_crashes(&site, &faults, by_part)?;
    check_leaving(&site, &records)?;
    check_limits(&site.replicas, &limited)
        .wrap_err_with(|| format!("seed {}, logs in {}", setup.seed, setup.log_dir.display()))?;
    let mut report = check_requests(&site, &records, &faults)
        .wrap_err_with(|| format!("seed {}, logs in {}", setup.seed, setup.log_dir.display()))?;
    report.faults = faults.count();
    Ok(report)
}
