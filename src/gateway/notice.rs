//! What this gateway learns of replicas while it serves requests, for itself and its peers.

use crate::gateway::crash_ledger::MAX_CRASHES;
use crate::gateway::forward::RequestContext;
use crate::gateway::run::Gateway;
use crate::gateway::upstream::UpstreamKey;

/// Records that a replica says that it is leaving: it gets no new requests from this gateway, and
/// the peers are told.
pub fn note_leaving(gateway: &Gateway, key: UpstreamKey) {
    let mut state = gateway.state();
    if state.upstreams.mark_leaving(key) {
        let id = state.upstreams.get(key).entry.id.clone();
        drop(state);
        gateway.peer_update.notify_one();
        spdlog::info!("event=upstream_leaving id={id}");
    }
}

/// Records that a replica crashed, or was cut off, while it ran a request.
pub(super) fn note_crash(gateway: &Gateway, context: &RequestContext, key: UpstreamKey) {
    gateway.metrics.crashes_under_requests.inc();
    let now = gateway.clock.now();
    let mut state = gateway.state();
    let entry = &state.upstreams.get(key).entry;
    let (id, replica) = (entry.id.clone(), entry.address);
    let added = state.crashes.record_crash(
        now,
        context.fingerprint,
        &mut context.crash_series(),
        replica,
        rand::random(),
    );
    drop(state);
    spdlog::info!(
        "event=crash_under_request request={} fingerprint={} upstream={id} crashes={added:?}",
        context.meta.id,
        context.fingerprint,
    );
    if added.is_some_and(|crashes| crashes >= MAX_CRASHES) {
        spdlog::warn!(
            "event=request_quarantined request={} fingerprint={}",
            context.meta.id,
            context.fingerprint
        );
        gateway.peer_update.notify_one();
    }
}
