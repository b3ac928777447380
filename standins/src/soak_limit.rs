//! Limits that replicas name during a soak, and the check that they were kept.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::ensure;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::replica::{Arrival, ReplicaTable};

/// Window in which arrivals are counted. It is the users'.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer with a limit until it holds. It is that of the users' large sites.
const CONTACT: Duration = Duration::from_secs(4);
/// Values that replicas name, some of them garbled or more than one.
const LIMITS: [&[&str]; 7] = [
    &["0"],
    &["0.5"],
    &["1"],
    &["3.5"],
    &["12"],
    &["2", "5"],
    &["4", "x"],
];
/// Time for which a replica names the same limit, in milliseconds.
const LIMIT_MS: std::ops::Range<u64> = 6_000..16_000;

/// Whether replicas name limits in the run of a seed.
pub(crate) fn names_limits(seed: u64) -> bool {
    seed % 5 == 4
}

/// Has one replica of `replicas` after the other name limits until `end`.
pub(crate) async fn name_limits(
    table: ReplicaTable,
    replicas: Vec<SocketAddr>,
    end: Instant,
    seed: u64,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while Instant::now() < end {
        let replica = replicas[rng.random_range(0..replicas.len())];
        let limits = LIMITS[rng.random_range(0..LIMITS.len())];
        table.change(replica, |state| state.limits = limits);
        let length = Duration::from_millis(rng.random_range(LIMIT_MS));
        let left = end.saturating_duration_since(Instant::now());
        tokio::time::sleep(length.min(left)).await;
        table.change(replica, |state| state.limits = &[]);
    }
}

/// The smallest number among the values, as gateways are to read them.
fn smallest(limits: &[&str]) -> Option<f64> {
    let numbers = limits.iter().filter_map(|limit| limit.parse().ok());
    numbers.min_by(f64::total_cmp)
}

/// Checks that replicas got no more requests than the limits that they named for at least [`CONTACT`].
pub(crate) fn check_limits(table: &ReplicaTable, replicas: &[SocketAddr]) -> eyre::Result<()> {
    for replica in replicas {
        let arrivals = table.state(*replica).arrivals_at;
        let is_same = |one: &Arrival, other: &Arrival| {
            (one.incarnation, one.limits) == (other.incarnation, other.limits)
        };
        for same in arrivals.chunk_by(is_same) {
            if let Some(limit) = smallest(same[0].limits) {
                check_limit(*replica, limit, same)?;
            }
        }
    }
    Ok(())
}

fn check_limit(replica: SocketAddr, limit: f64, arrivals: &[Arrival]) -> eyre::Result<()> {
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
    let holds_from = arrivals[0].at + CONTACT;
    let later = arrivals.iter().map(|arrival| arrival.at);
    let later: Vec<Instant> = later.filter(|at| *at >= holds_from).collect();
    for (first, from) in later.iter().enumerate() {
        let count = later[first..].partition_point(|at| *at < *from + WINDOW);
        ensure!(
            count as f64 <= allowed,
            "{replica} named a limit of {limit} and got {count} requests in 4 s, {allowed} allowed"
        );
    }
    Ok(())
}
