//! The schedule of a soak's faults: when they are injected and removed, and what that excuses.

use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use eyre::ensure;
use lynxcart::fetch;
use lynxcart::process::EXIT_CUT_SHORT;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::site::TestSite;
use crate::soak_caller::SoakBalancer;
use crate::soak_fault::{
    disturbs_gateways, draw_fault, inject_fault, is_too_early, remove_fault, same_target, SoakFault,
};

/// Maximum number of faults active at the same time.
const MAX_FAULTS: usize = 3;
/// Time that gateways have to tell each other, in milliseconds. The bound does not hold for it
/// after a fault of a gateway or of the store either.
pub(crate) const CONTACT_MS: u64 = 4_000;
/// Time after which a gateway in contact uses a newer configuration, in milliseconds. It is the users'.
const CONFIG_MS: u64 = 2_000;
/// Time within which a gateway exits after SIGTERM, in milliseconds. It is the users' `grace_s`.
const STOP_LIMIT_MS: u64 = 8_000;
/// Time after SIGTERM from which a gateway gets no new connections, in milliseconds: the users'
/// balancer leaves out one that was not ready twice in a row.
const BALANCER_MS: u64 = 2_000;

/// A fault that was injected.
#[derive(Clone, Copy, Debug)]
struct FaultSpan {
    fault: SoakFault,
    began: Instant,
    /// When it was to end.
    due: Instant,
    /// When it was removed.
    ended: Option<Instant>,
}

/// Faults that were injected.
#[derive(Clone, Debug)]
pub(crate) struct FaultLog {
    spans: Vec<FaultSpan>,
    /// When the second API key was added to the configuration.
    second_key_added: Instant,
}

impl FaultLog {
    pub(crate) fn new(second_key_added: Instant) -> FaultLog {
        FaultLog {
            spans: Vec::new(),
            second_key_added,
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.spans.len()
    }

    /// Whether gateways and store were sound for [`CONTACT_MS`] before `at`.
    pub(crate) fn in_contact(&self, at: Instant) -> bool {
        let contact = Duration::from_millis(CONTACT_MS);
        let spans = self.spans.iter();
        let mut disturbances = spans.filter(|span| disturbs_gateways(span.fault));
        disturbances.all(|span| at < span.began || at > span.due + contact)
    }

    /// Time between two times for which the process of a gateway was killed or suspended, `None` if
    /// it never was. A planned stop does not count.
    pub(crate) fn halted_time(
        &self,
        number: usize,
        from: Instant,
        to: Instant,
    ) -> Option<Duration> {
        use SoakFault as Fault;
        let halts = [
            Fault::GatewayKilled(number),
            Fault::GatewaySuspended(number),
        ];
        let halts = self.spans.iter().filter(|span| halts.contains(&span.fault));
        let overlaps = halts.filter_map(|span| {
            let ended = span.ended.unwrap_or(to).min(to);
            ended.checked_duration_since(span.began.max(from))
        });
        overlaps.reduce(|sum, overlap| sum + overlap)
    }

    /// Writes a line for each fault to a file.
    pub(crate) fn write(&self, path: &Path) -> eyre::Result<()> {
        let (now, now_unix) = (Instant::now(), SystemTime::now());
        let mut lines = String::new();
        for span in &self.spans {
            let began = now_unix - now.duration_since(span.began);
            let began = began.duration_since(SystemTime::UNIX_EPOCH)?;
            let length = span.ended.unwrap_or(now).duration_since(span.began);
            writeln!(
                lines,
                "unix_s={:.3} length_ms={} {:?}",
                began.as_secs_f64(),
                length.as_millis(),
                span.fault
            )?;
        }
        Ok(std::fs::write(path, lines)?)
    }

    /// Whether a configuration with a fault may be in force at a gateway that got a request between
    /// two times.
    pub(crate) fn may_be_in_force(&self, fault: SoakFault, from: Instant, to: Instant) -> bool {
        let spans = self.spans.iter().filter(|span| span.fault == fault);
        let mut times: Vec<(Instant, Option<Instant>)> =
            spans.map(|span| (span.began, span.ended)).collect();
        if fault == SoakFault::KeyAbsent {
            times.push((self.second_key_added, Some(self.second_key_added)));
        }
        let config_time = Duration::from_millis(CONFIG_MS);
        times.into_iter().any(|(began, ended)| {
            let is_old = ended.is_some_and(|ended| from > ended + config_time);
            began <= to && (!is_old || !self.in_contact(from))
        })
    }
}

/// Injects and removes faults until `end`, then removes the rest.
pub(crate) async fn inject_faults(
    site: &mut TestSite,
    balancer: &Arc<SoakBalancer>,
    mut log: FaultLog,
    end: Instant,
    seed: u64,
) -> eyre::Result<FaultLog> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while Instant::now() < end {
        let followers = remove_faults(site, balancer, &mut log, false)?;
        let fault = draw_fault(&mut rng, site);
        check_gateways_running(site, &log)?;
        for fault in followers.into_iter().chain([fault]) {
            let mut active = log.spans.iter().filter(|span| span.ended.is_none());
            let is_full = active.clone().count() >= MAX_FAULTS;
            let blocked = active.any(|span| same_target(span.fault, fault));
            if is_full || blocked || is_too_early(site, fault) {
                continue;
            }
            let began = Instant::now();
            inject_fault(site, fault)?;
            let length_ms = match fault {
                SoakFault::PlainLeaving(_) | SoakFault::PlainReborn(_) => {
                    rng.random_range(2_000..8_000)
                }
                SoakFault::ModelSilent(_) | SoakFault::PlainSilent(_) => {
                    rng.random_range(600..1_100)
                }
                SoakFault::GatewayStopped(..) => STOP_LIMIT_MS,
                _ => rng.random_range(150..2_500),
            };
            log.spans.push(FaultSpan {
                fault,
                began,
                due: began + Duration::from_millis(length_ms),
                ended: None,
            });
        }
        stop_again(site, &log, &mut rng)?;
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
    remove_faults(site, balancer, &mut log, true)?;
    while log.spans.iter().any(|span| span.ended.is_none()) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        remove_faults(site, balancer, &mut log, true)?;
    }
    Ok(log)
}

/// Removes the faults that are due, or all that can be. Returns the planned stops that follow.
fn remove_faults(
    site: &mut TestSite,
    balancer: &Arc<SoakBalancer>,
    log: &mut FaultLog,
    all: bool,
) -> eyre::Result<Vec<SoakFault>> {
    let mut followers = Vec::new();
    for span in log.spans.iter_mut().filter(|span| span.ended.is_none()) {
        let is_due = Instant::now() >= span.due;
        if let SoakFault::GatewayStopped(number, following) = span.fault {
            if span.began.elapsed() >= Duration::from_millis(BALANCER_MS) {
                balancer.set_used(number, false);
            }
            if !site.gateways[number].process.has_exited()? {
                ensure!(
                    !is_due,
                    "gateway {number} still runs {STOP_LIMIT_MS} ms after SIGTERM"
                );
                continue;
            }
            restart_stopped(site, balancer, number)?;
            span.due = Instant::now();
            let next = (number + 1) % site.gateways.len();
            followers
                .extend((following > 0).then(|| SoakFault::GatewayStopped(next, following - 1)));
        } else if is_due || all {
            remove_fault(site, span.fault)?;
        } else {
            continue;
        }
        span.ended = Some(Instant::now());
    }
    Ok(followers)
}

/// Restarts a gateway that has exited by itself. It gets new connections once it is ready.
fn restart_stopped(
    site: &mut TestSite,
    balancer: &Arc<SoakBalancer>,
    number: usize,
) -> eyre::Result<()> {
    let process = &mut site.gateways[number].process;
    let code = process.wait_for_exit(Duration::from_millis(STOP_LIMIT_MS))?;
    ensure!(
        code == 0 || code == EXIT_CUT_SHORT,
        "gateway {number} exited with code {code} after SIGTERM"
    );
    site.restart_gateway(number)?;
    balancer.set_used(number, false);
    let url = format!("http://{}/api/readyz", site.gateways[number].ready_address);
    let balancer = balancer.clone();
    tokio::spawn(async move {
        let client = fetch::unpooled_client();
        while !matches!(fetch::get(&client, &url).await, Ok((200, _))) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        balancer.set_used(number, true);
    });
    Ok(())
}

/// Sometimes sends SIGTERM once more to a gateway that is stopping.
fn stop_again(site: &mut TestSite, log: &FaultLog, rng: &mut Pcg64Mcg) -> eyre::Result<()> {
    let active = log.spans.iter().filter(|span| span.ended.is_none());
    for span in active {
        if let SoakFault::GatewayStopped(number, _) = span.fault {
            let process = &mut site.gateways[number].process;
            if rng.random_bool(0.03) && !process.has_exited()? {
                process.signal("TERM")?;
            }
        }
    }
    Ok(())
}

/// Checks that no gateway has exited except those that a fault has killed or stopped.
fn check_gateways_running(site: &mut TestSite, log: &FaultLog) -> eyre::Result<()> {
    for number in 0..site.gateways.len() {
        let mut active = log.spans.iter().filter(|span| span.ended.is_none());
        let killed = active.any(|span| match span.fault {
            SoakFault::GatewayKilled(other) | SoakFault::GatewayStopped(other, _) => {
                other == number
            }
            _ => false,
        });
        let exited = site.gateways[number].process.has_exited()?;
        ensure!(
            killed || !exited,
            "gateway {number} exited without being killed"
        );
    }
    Ok(())
}
