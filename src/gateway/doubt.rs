//! Asks upstreams that are in doubt: what was heard under the name of another incarnation may be true
//! of them, as that they are leaving. A health check tells, and is no request of a caller.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use crate::gateway::notice::{note_leaving, note_limit};
use crate::gateway::permit::acquire_permit;
use crate::gateway::run::Gateway;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::headers::{health_statement, limit_statement, rest_ms, HealthStatement};
use crate::platform::order::health_request;

/// Timeout of one health check, milliseconds.
const HEALTH_TIMEOUT_MS: u64 = 1_000;
/// Pause before an upstream is asked again that did not answer or is not healthy, milliseconds.
const ASK_AGAIN_MS: u64 = 250;

/// Asks all upstreams that come into doubt.
pub(super) async fn ask_doubted(gateway: Arc<Gateway>) {
    loop {
        let doubted = gateway.state().upstreams.take_doubted();
        for key in doubted {
            tokio::spawn(ask_until_settled(gateway.clone(), key));
        }
        gateway.doubt_update.notified().await;
    }
}

/// Asks an upstream until it has answered or takes no requests in any case.
async fn ask_until_settled(gateway: Arc<Gateway>, key: UpstreamKey) {
    let began_at = gateway.clock.now();
    let (id, born) = {
        let state = gateway.state();
        let entry = &state.upstreams.get(key).entry;
        (entry.id.clone(), entry.born)
    };
    spdlog::info!("event=upstream_doubted id={id} born={born}");
    let mut last_result = None;
    loop {
        {
            let state = gateway.state();
            let record = state.upstreams.get(key);
            if record.gone || record.entry.draining {
                return;
            }
        }
        let result = ask(&gateway, key).await;
        match result {
            Some(HealthStatement::Serving) => gateway.state().upstreams.settle(key),
            Some(HealthStatement::Leaving) => note_leaving(&gateway, key),
            Some(HealthStatement::Other) => {
                gateway.state().upstreams.mark_draining(key);
            }
            Some(HealthStatement::Failing) | None => {}
        }
        if last_result != Some(result) {
            let took_ms = gateway.clock.now().since(began_at);
            let answer = result.map_or_else(|| "none".to_owned(), |result| result.to_string());
            spdlog::info!(
                "event=upstream_asked id={id} born={born} answer={answer} took_ms={took_ms}"
            );
        }
        last_result = Some(result);
        if result == Some(HealthStatement::Serving) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(ASK_AGAIN_MS)).await;
    }
}

/// Sends one health check, and heeds what else the answer says. Returns `None` if there is no answer.
async fn ask(gateway: &Arc<Gateway>, key: UpstreamKey) -> Option<HealthStatement> {
    if !acquire_permit(gateway, key).await {
        return None;
    }
    let (id, request) = {
        let state = gateway.state();
        let entry = &state.upstreams.get(key).entry;
        let rule = state.routes.service(&entry.service);
        let path = rule.map_or("", |rule| &rule.health_path);
        (
            entry.id.clone(),
            health_request(entry.address, &entry.id, path).ok()?,
        )
    };
    let sent_at = gateway.clock.now();
    let exchange = gateway.unpooled_client.request(request);
    let timeout = Duration::from_millis(HEALTH_TIMEOUT_MS);
    let response = tokio::time::timeout(timeout, exchange).await.ok()?.ok()?;
    let (status, headers) = (response.status(), response.headers());
    let statement = health_statement(&id, status, headers);
    if statement != HealthStatement::Other {
        note_limit(gateway, key, limit_statement(headers), sent_at);
        let rest_ms = rest_ms(headers).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        if let Some(rest_ms) = rest_ms {
            let now = gateway.clock.now();
            gateway.state().upstreams.rest(now, key, rest_ms);
        }
    }
    Some(statement)
}
