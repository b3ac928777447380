//! The faults of a soak: drawn from its seed, injected and removed.

use std::time::{Duration, Instant};

use eyre::ensure;
use lynxcart::platform::{GATEWAY_PREFIX, NOTICE_PREFIX, REGISTRY_PREFIX};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::replica::ReplicaFault;
use crate::site::TestSite;

/// Maximum number of faults active at the same time.
const MAX_FAULTS: usize = 3;
/// Time that gateways have to tell each other, in milliseconds. The bound does not hold for it
/// after a fault of a gateway or of the store either.
pub(crate) const CONTACT_MS: u64 = 4_000;
/// Time from the start of a replica until its entry is written, in milliseconds. It is longer than
/// [`LEAVE_MS`].
const UNREGISTERED_MS: u64 = 2_500;
/// Time after the start of a gateway until its signal handlers are installed, in milliseconds. An
/// earlier SIGHUP would end the process.
const SIGNAL_READY_MS: u64 = 500;

/// A fault that [`inject_fault`] injects and [`remove_fault`] removes. The number in a variant is
/// the index of the replica or gateway concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakFault {
    /// A model's replica is marked dead (see [`ReplicaState::dead`]) and returns with its state
    /// unchanged.
    ///
    /// [`ReplicaState::dead`]: crate::replica::ReplicaState::dead
    ReplicaLost(usize),
    /// A model's replica is marked dead and returns as a new incarnation without layers.
    ReplicaRestarted(usize),
    /// A replica of the plain service has a [`ReplicaFault`].
    PlainReplica(usize, ReplicaFault),
    /// A gateway is killed with SIGKILL and restarted.
    GatewayKilled(usize),
    /// A gateway is stopped with SIGSTOP and continued with SIGCONT.
    GatewaySuspended(usize),
    /// A gateway receives SIGHUP, which it must ignore.
    GatewayHangup(usize),
    /// The store responds to every request with an error.
    StoreOutage,
    /// The same configuration is published under a newer version.
    ConfigChange,
    /// The store goes back to a copy from the time of injection. The operator then writes the
    /// newest configuration again, and replicas their entries.
    StoreRestored,
    /// A replica of the plain service says in its answers that it is leaving, and returns as a new
    /// incarnation.
    PlainLeaving(usize),
    /// A replica of the plain service starts anew and says that it is leaving; the registry has its new
    /// incarnation [`UNREGISTERED_MS`] later. It returns as another one.
    PlainReborn(usize),
    /// A model's replica answers streams with the text of an error and status 200.
    ModelErrors(usize),
    /// The open connections between gateways and store go silent, and new ones work.
    StoreSilent,
    /// Another writer leaves odd entries in the lists that gateways read.
    OddEntries,
    /// A replica of the plain service refuses and asks to be left alone for 0.4 s.
    PlainResting(usize),
}

/// Faults that were injected.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultLog {
    pub(crate) count: usize,
    /// When faults of gateways and of the store began and ended.
    disturbances: Vec<(Instant, Instant)>,
}

impl FaultLog {
    /// Whether gateways and store were sound for [`CONTACT_MS`] before `at`.
    pub(crate) fn in_contact(&self, at: Instant) -> bool {
        let contact = Duration::from_millis(CONTACT_MS);
        let mut disturbances = self.disturbances.iter();
        disturbances.all(|(began, ended)| at < *began || at > *ended + contact)
    }
}

/// Injects and removes faults until `end`, then removes the rest.
pub(crate) async fn inject_faults(
    site: &mut TestSite,
    end: Instant,
    seed: u64,
) -> eyre::Result<FaultLog> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut active: Vec<(Instant, SoakFault)> = Vec::new();
    let mut log = FaultLog::default();
    while Instant::now() < end {
        let now = Instant::now();
        let (expired, remaining) = active
            .into_iter()
            .partition(|(fault_end, _)| now >= *fault_end);
        active = remaining;
        for (_, fault) in expired {
            remove_fault(site, fault)?;
        }
        let fault = draw_fault(&mut rng, site);
        check_gateways_running(site, &active)?;
        let blocked =
            active.iter().any(|(_, other)| same_target(*other, fault)) || is_too_early(site, fault);
        if active.len() < MAX_FAULTS && !blocked {
            inject_fault(site, fault)?;
            let length_ms = match fault {
                SoakFault::PlainLeaving(_) | SoakFault::PlainReborn(_) => {
                    rng.random_range(2_000..8_000)
                }
                _ => rng.random_range(150..2_500),
            };
            let length = Duration::from_millis(length_ms);
            active.push((now + length, fault));
            log.count += 1;
            if disturbs_gateways(fault) {
                log.disturbances.push((now, now + length));
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
    for (_, fault) in active {
        remove_fault(site, fault)?;
    }
    Ok(log)
}

fn disturbs_gateways(fault: SoakFault) -> bool {
    use SoakFault as Fault;
    matches!(
        fault,
        Fault::GatewayKilled(_)
            | Fault::GatewaySuspended(_)
            | Fault::StoreOutage
            | Fault::StoreRestored
            | Fault::StoreSilent
    )
}

/// Checks that no gateway has exited except those that a fault has killed.
fn check_gateways_running(
    site: &mut TestSite,
    active: &[(Instant, SoakFault)],
) -> eyre::Result<()> {
    for number in 0..site.gateways.len() {
        let killed = active
            .iter()
            .any(|(_, fault)| *fault == SoakFault::GatewayKilled(number));
        let exited = site.gateways[number].process.has_exited()?;
        ensure!(
            killed || !exited,
            "gateway {number} exited without being killed"
        );
    }
    Ok(())
}

/// Whether a fault would send SIGHUP to a gateway before [`SIGNAL_READY_MS`] have passed since its
/// start.
fn is_too_early(site: &TestSite, fault: SoakFault) -> bool {
    match fault {
        SoakFault::GatewayHangup(number) => {
            site.gateways[number].started_at.elapsed() < Duration::from_millis(SIGNAL_READY_MS)
        }
        _ => false,
    }
}

/// Draws a fault; all kinds are equally likely.
fn draw_fault(rng: &mut Pcg64Mcg, site: &TestSite) -> SoakFault {
    let model = rng.random_range(0..site.model_addresses.len());
    let gateway = rng.random_range(0..site.gateways.len());
    let plain_faults = [
        ReplicaFault::LosesResponse,
        ReplicaFault::Refuses,
        ReplicaFault::WrongRequestId,
    ];
    let plain = rng.random_range(0..site.plain_addresses.len());
    match rng.random_range(0..15) {
        0 => SoakFault::ReplicaLost(model),
        1 => SoakFault::ReplicaRestarted(model),
        2 => SoakFault::PlainReplica(plain, plain_faults[rng.random_range(0..plain_faults.len())]),
        3 => SoakFault::GatewayKilled(gateway),
        4 => SoakFault::GatewaySuspended(gateway),
        5 => SoakFault::GatewayHangup(gateway),
        6 => SoakFault::StoreOutage,
        7 => SoakFault::StoreRestored,
        8 => SoakFault::PlainLeaving(plain),
        9 => SoakFault::PlainResting(plain),
        10 => SoakFault::PlainReborn(plain),
        11 => SoakFault::ModelErrors(model),
        12 => SoakFault::OddEntries,
        13 => SoakFault::StoreSilent,
        _ => SoakFault::ConfigChange,
    }
}

/// Whether two faults affect the same target, so that the removal of one would remove the other.
fn same_target(one: SoakFault, other: SoakFault) -> bool {
    use SoakFault as Fault;
    match (one, other) {
        (
            Fault::ReplicaLost(a) | Fault::ReplicaRestarted(a) | Fault::ModelErrors(a),
            Fault::ReplicaLost(b) | Fault::ReplicaRestarted(b) | Fault::ModelErrors(b),
        )
        | (
            Fault::PlainReplica(a, _)
            | Fault::PlainLeaving(a)
            | Fault::PlainReborn(a)
            | Fault::PlainResting(a),
            Fault::PlainReplica(b, _)
            | Fault::PlainLeaving(b)
            | Fault::PlainReborn(b)
            | Fault::PlainResting(b),
        )
        | (
            Fault::GatewayKilled(a) | Fault::GatewaySuspended(a) | Fault::GatewayHangup(a),
            Fault::GatewayKilled(b) | Fault::GatewaySuspended(b) | Fault::GatewayHangup(b),
        ) => a == b,
        _ => one == other,
    }
}

/// Injects a fault.
fn inject_fault(site: &mut TestSite, fault: SoakFault) -> eyre::Result<()> {
    match fault {
        SoakFault::ReplicaLost(number) | SoakFault::ReplicaRestarted(number) => {
            let address = site.model_addresses[number];
            site.replicas.change(address, |state| state.dead = true);
        }
        SoakFault::PlainReplica(number, replica_fault) => {
            let address = site.plain_addresses[number];
            site.replicas
                .change(address, |state| state.fault = replica_fault);
        }
        SoakFault::GatewayKilled(number) => site.gateways[number].process.kill()?,
        SoakFault::GatewaySuspended(number) => site.gateways[number].process.signal("STOP")?,
        SoakFault::GatewayHangup(number) => site.gateways[number].process.signal("HUP")?,
        SoakFault::StoreOutage => site.store.set_outage(true),
        SoakFault::StoreSilent => site.store_network.silence_open_connections(),
        SoakFault::ConfigChange => site.publish_config(),
        SoakFault::StoreRestored => site.saved_store = Some(site.store.copy()),
        SoakFault::PlainLeaving(number) => {
            let address = site.plain_addresses[number];
            site.replicas.change(address, |state| state.leaving = true);
        }
        SoakFault::PlainReborn(number) => {
            let address = site.plain_addresses[number];
            site.replicas.change(address, |state| {
                state.dead = true;
                state.leaving = true;
                state.incarnation += 1;
            });
            let replicas = site.replicas.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(UNREGISTERED_MS)).await;
                replicas.change(address, |state| state.dead = false);
            });
        }
        SoakFault::ModelErrors(number) => {
            let address = site.model_addresses[number];
            site.replicas
                .change(address, |state| state.answers_error = true);
        }
        SoakFault::OddEntries => {
            for prefix in [REGISTRY_PREFIX, GATEWAY_PREFIX, NOTICE_PREFIX] {
                site.store
                    .put_bytes(&format!("{prefix}odd & {prefix}"), b"[1e999");
            }
        }
        SoakFault::PlainResting(number) => {
            let address = site.plain_addresses[number];
            site.replicas.change(address, |state| state.rest = "0.4");
        }
    }
    Ok(())
}

/// Removes a fault. After a SIGHUP, a configuration change or a silence there is nothing to remove.
fn remove_fault(site: &mut TestSite, fault: SoakFault) -> eyre::Result<()> {
    match fault {
        SoakFault::ReplicaLost(number) => {
            let address = site.model_addresses[number];
            site.replicas.change(address, |state| state.dead = false);
        }
        SoakFault::ReplicaRestarted(number) => {
            let address = site.model_addresses[number];
            site.replicas.change(address, |state| {
                state.dead = false;
                state.incarnation += 1;
                state.accepted_orders = 0;
                state.fencing_token = 0;
                state.layers = (0, 0);
            });
        }
        SoakFault::PlainReplica(number, _) => {
            let address = site.plain_addresses[number];
            let no_fault = ReplicaFault::None;
            site.replicas
                .change(address, |state| state.fault = no_fault);
        }
        SoakFault::GatewayKilled(number) => site.restart_gateway(number)?,
        SoakFault::GatewaySuspended(number) => site.gateways[number].process.signal("CONT")?,
        SoakFault::StoreOutage => site.store.set_outage(false),
        SoakFault::StoreRestored => {
            if let Some(copy) = site.saved_store.take() {
                site.store.restore(copy);
                site.rewrite_config();
            }
        }
        SoakFault::PlainLeaving(number) | SoakFault::PlainReborn(number) => {
            let address = site.plain_addresses[number];
            site.replicas.change(address, |state| {
                state.leaving = false;
                state.incarnation += 1;
            });
        }
        SoakFault::ModelErrors(number) => {
            let address = site.model_addresses[number];
            site.replicas
                .change(address, |state| state.answers_error = false);
        }
        SoakFault::OddEntries => {
            for prefix in [REGISTRY_PREFIX, GATEWAY_PREFIX, NOTICE_PREFIX] {
                site.store.remove(&format!("{prefix}odd & {prefix}"));
            }
        }
        SoakFault::PlainResting(number) => {
            let address = site.plain_addresses[number];
            site.replicas.change(address, |state| state.rest = "");
        }
        SoakFault::GatewayHangup(_) | SoakFault::ConfigChange | SoakFault::StoreSilent => {}
    }
    Ok(())
}
