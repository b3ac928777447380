//! The faults of a soak: drawn from its seed, injected and removed.

use std::time::Duration;

use lynxcart::platform::{GATEWAY_PREFIX, NOTICE_PREFIX, REGISTRY_PREFIX};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use crate::replica::ReplicaFault;
use crate::site::{TestSite, API_KEY, SECOND_API_KEY};

/// Time from the start of a replica until its entry is written, in milliseconds. It is longer than
/// the time in which gateways have to leave alone a replica that leaves.
const UNREGISTERED_MS: u64 = 2_500;
/// Time after the start of a gateway until its signal handlers are installed, in milliseconds. An
/// earlier SIGHUP would end the process.
const SIGNAL_READY_MS: u64 = 500;

/// Longest silence of a sound replica.
const LONGEST_SILENCE: Duration = Duration::from_millis(1_500);
/// Number of SIGHUPs in a row.
const HANGUPS: usize = 3;
/// Largest body while the configuration lowers the limits, in bytes.
pub(crate) const LOWERED_BODY_BYTES: usize = 100_000;
/// Time for which a connection may be idle meanwhile, in milliseconds.
const LOWERED_IDLE_MS: u64 = 300;

/// A fault that [`inject_fault`] injects and [`remove_fault`] removes. The number in a variant is
/// the index of the replica or gateway concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SoakFault {
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
    /// A gateway receives SIGHUP several times, which it must ignore.
    GatewayHangup(usize),
    /// A gateway receives SIGTERM and is restarted once it has exited. As many gateways as the second
    /// number says follow it.
    GatewayStopped(usize, usize),
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
    /// A model's replica is sound but silent.
    ModelSilent(usize),
    /// A replica of the plain service is sound but silent.
    PlainSilent(usize),
    /// The open connections to a model's replica go silent, and new ones work.
    ModelConnectionsSilent(usize),
    /// The open connections to a replica of the plain service go silent, and new ones work.
    PlainConnectionsSilent(usize),
    /// The configuration leaves out the route of lookups.
    RouteAbsent,
    /// The configuration leaves out the second API key.
    KeyAbsent,
    /// The configuration allows only short idle times and small bodies.
    LimitsLowered,
}

/// Whether a fault would send a signal to a gateway before [`SIGNAL_READY_MS`] have passed since its
/// start.
pub(crate) fn is_too_early(site: &TestSite, fault: SoakFault) -> bool {
    match fault {
        SoakFault::GatewayHangup(number) | SoakFault::GatewayStopped(number, _) => {
            site.gateways[number].started_at.elapsed() < Duration::from_millis(SIGNAL_READY_MS)
        }
        _ => false,
    }
}

pub(crate) fn disturbs_gateways(fault: SoakFault) -> bool {
    use SoakFault as Fault;
    matches!(
        fault,
        Fault::GatewayKilled(_)
            | Fault::GatewaySuspended(_)
            | Fault::StoreOutage
            | Fault::StoreRestored
            | Fault::StoreSilent
            | Fault::GatewayStopped(..)
            | Fault::ModelConnectionsSilent(_)
            | Fault::PlainConnectionsSilent(_)
    )
}

/// Draws a fault; all kinds are equally likely.
pub(crate) fn draw_fault(rng: &mut Pcg64Mcg, site: &TestSite) -> SoakFault {
    let model = rng.random_range(0..site.model_addresses.len());
    let gateway = rng.random_range(0..site.gateways.len());
    let plain_faults = [
        ReplicaFault::LosesResponse,
        ReplicaFault::Refuses,
        ReplicaFault::WrongRequestId,
        ReplicaFault::EndlessBody,
        ReplicaFault::CutsHead,
        ReplicaFault::CutsBody,
    ];
    let plain = rng.random_range(0..site.plain_addresses.len());
    match rng.random_range(0..24) {
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
        14 => SoakFault::ModelSilent(model),
        15 => SoakFault::PlainSilent(plain),
        16 => SoakFault::ModelConnectionsSilent(model),
        17 => SoakFault::PlainConnectionsSilent(plain),
        18 => SoakFault::RouteAbsent,
        19 => SoakFault::KeyAbsent,
        20 => SoakFault::LimitsLowered,
        21 => SoakFault::GatewayStopped(gateway, 0),
        22 => SoakFault::GatewayStopped(gateway, site.gateways.len() - 1),
        _ => SoakFault::ConfigChange,
    }
}

/// Whether two faults affect the same target, so that the removal of one would remove the other.
pub(crate) fn same_target(one: SoakFault, other: SoakFault) -> bool {
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
            Fault::GatewayKilled(a)
            | Fault::GatewaySuspended(a)
            | Fault::GatewayHangup(a)
            | Fault::GatewayStopped(a, _),
            Fault::GatewayKilled(b)
            | Fault::GatewaySuspended(b)
            | Fault::GatewayHangup(b)
            | Fault::GatewayStopped(b, _),
        ) => {
            a == b
                || matches!(
                    (one, other),
                    (Fault::GatewayStopped(..), Fault::GatewayStopped(..))
                )
        }
        _ => one == other,
    }
}

/// Injects a fault.
pub(crate) fn inject_fault(site: &mut TestSite, fault: SoakFault) -> eyre::Result<()> {
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
        SoakFault::GatewayHangup(number) => {
            for _ in 0..HANGUPS {
                site.gateways[number].process.signal("HUP")?;
            }
        }
        SoakFault::GatewayStopped(number, _) => site.gateways[number].process.signal("TERM")?,
        SoakFault::ModelSilent(number) => {
            let address = site.model_addresses[number];
            site.replicas.silence(address, LONGEST_SILENCE);
        }
        SoakFault::PlainSilent(number) => {
            let address = site.plain_addresses[number];
            site.replicas.silence(address, LONGEST_SILENCE);
        }
        SoakFault::ModelConnectionsSilent(number) => {
            let state = site.replicas.state(site.model_addresses[number]);
            state.silences.silence_open_connections();
        }
        SoakFault::PlainConnectionsSilent(number) => {
            let state = site.replicas.state(site.plain_addresses[number]);
            state.silences.silence_open_connections();
        }
        SoakFault::RouteAbsent => site.set_absent_route(Some("/lookup/")),
        SoakFault::KeyAbsent => site.set_api_keys(&[API_KEY]),
        SoakFault::LimitsLowered => site.set_limits(json!({
            "max_body_bytes": LOWERED_BODY_BYTES, "idle_timeout_ms": LOWERED_IDLE_MS,
        })),
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

/// Removes a fault. After signals, a change of the version or connections that went silent there is
/// nothing to remove.
pub(crate) fn remove_fault(site: &mut TestSite, fault: SoakFault) -> eyre::Result<()> {
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
        SoakFault::ModelSilent(number) => {
            let address = site.model_addresses[number];
            site.replicas
                .change(address, |state| state.silent_until = None);
        }
        SoakFault::PlainSilent(number) => {
            let address = site.plain_addresses[number];
            site.replicas
                .change(address, |state| state.silent_until = None);
        }
        SoakFault::RouteAbsent => site.set_absent_route(None),
        SoakFault::KeyAbsent => site.set_api_keys(&[API_KEY, SECOND_API_KEY]),
        SoakFault::LimitsLowered => site.set_limits(Value::Null),
        SoakFault::GatewayHangup(_)
        | SoakFault::GatewayStopped(..)
        | SoakFault::ConfigChange
        | SoakFault::StoreSilent
        | SoakFault::ModelConnectionsSilent(_)
        | SoakFault::PlainConnectionsSilent(_) => {}
    }
    Ok(())
}
