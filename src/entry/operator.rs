//! HTTP interface for operators: drafts, their acceptance, and the state of the fleet as known to
//! one entry.
//!
//! A draft is accepted by a compare-and-swap on the revision of the profile that it was based on.
//! The profile record contains a write id, by which the write is recognised if its response was
//! lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::FutureExt;
use gotham::helpers::http::Body;
use gotham::pipeline::PipelineHandleChain;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder};
use http::Response;
use serde_json::json;

use crate::config::EntryConfig;
use crate::entry::http::EntryHandle;
use crate::entry::run::EntryQuery;
use crate::event::{wall_millis, EventKind, EventRing, PendingEvent};
use crate::profile::{
    token_hash, DraftRecord, ProfileRecord, ProfileSpec, DRAFT_PREFIX, PROFILE_PREFIX,
};
use crate::store::etcd::EtcdStore;
use crate::store::{
    prefix_end, PlatformCompare, PlatformItem, PlatformRequest, PlatformResponse, PlatformStore,
    PlatformWrite,
};
use crate::verdict::{RefusalReason, RequestRefusal};
use crate::web::{json_response, problem_response, RouteHandler, WebRequest};

/// Maximum number of attempts for a write that gets no response from the store.
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// `Retry-After` during an outage of the platform, in milliseconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 2_000;
const PROFILE_PATH: &str = "/admin/profiles/";
const DRAFT_PATH: &str = "/admin/drafts/";

/// State shared by the handlers of the operators' routes.
#[derive(Clone)]
pub struct OperatorApi {
    /// Name of each operator by the hash of the bearer token.
    operators: Arc<BTreeMap<String, String>>,
    store: EtcdStore,
    events: EventRing,
    entry: EntryHandle,
}

type ApiResult = Result<Response<Body>, RequestRefusal>;

impl OperatorApi {
    /// Creates the interface for the operators listed in the settings.
    pub fn new(config: &EntryConfig, events: EventRing, entry: EntryHandle) -> OperatorApi {
        let operators = config.operators.iter();
        let names_by_hash =
            operators.map(|operator| (operator.token_hash.clone(), operator.name.clone()));
        OperatorApi {
            operators: Arc::new(names_by_hash.collect()),
            store: EtcdStore::new(config.platform_address.to_string()),
            events,
            entry,
        }
    }

    /// Returns the name of the operator to whom the bearer token of the request belongs. Refuses a
    /// request without such a token.
    fn authenticate(&self, request: &WebRequest) -> Result<String, RequestRefusal> {
        let name = self.operators.get(&token_hash(request.bearer_token()));
        name.cloned().ok_or_else(|| {
            RequestRefusal::not_run(
                RefusalReason::BadToken,
                "the bearer token names no operator",
            )
        })
    }

    async fn show_query(&self, request: WebRequest, query: EntryQuery) -> ApiResult {
        self.authenticate(&request)?;
        Ok(json_response(200, &self.entry.query(query).await))
    }

    async fn read(&self, key: &str) -> Result<Option<PlatformItem>, RequestRefusal> {
        let request = PlatformRequest::Range {
            key: key.to_owned(),
            range_end: String::new(),
        };
        match self.store.send(request).await {
            Ok(PlatformResponse::Range { mut items, .. }) => Ok(items.pop()),
            Ok(_) | Err(_) => Err(outage_refusal(RequestRefusal::not_run)),
        }
    }

    async fn save_draft(&self, request: WebRequest) -> ApiResult {
        let operator = self.authenticate(&request)?;
        let spec = parse_spec(&request, DRAFT_PATH)?;
        let current = self.read(&format!("{PROFILE_PREFIX}{}", spec.name)).await?;
        let base_revision = current.as_ref().map_or(0, |item| item.mod_revision);
        let draft = DraftRecord {
            spec,
            base_revision,
            operator: operator.clone(),
            saved_ms: wall_millis(),
        };
        let key = draft_key(&draft.spec.name, &operator);
        let write = PlatformWrite::Put {
            key: key.clone(),
            value: serde_json::to_vec(&draft).unwrap_or_default(),
            lease: 0,
        };
        let request = PlatformRequest::Txn {
            compares: Vec::new(),
            writes: vec![write],
            reads: Vec::new(),
        };
        self.store
            .send(request)
            .await
            .map_err(|_| outage_refusal(RequestRefusal::may_have_run))?;
        let facts = format!("operator={operator} base_revision={base_revision}");
        let event = PendingEvent::new(EventKind::DraftSaved, draft.spec.name.clone(), facts);
        self.events.record(event);
        let accepted = current.and_then(|item| parse_record(&item.value));
        Ok(json_response(
            200,
            &json!({"draft": draft, "accepted": accepted}),
        ))
    }

    async fn accept(&self, request: WebRequest) -> ApiResult {
        let operator = self.authenticate(&request)?;
        let path = request.uri.path().strip_prefix(PROFILE_PATH).unwrap_or("");
        let name = path.strip_suffix("/accept").unwrap_or(path);
        let draft_key = draft_key(name, &operator);
        let Some(item) = self.read(&draft_key).await? else {
            return self.find_accepted(&operator, name).await;
        };
        let draft: DraftRecord = serde_json::from_slice(&item.value).map_err(|error| {
            let detail = format!("could not read the draft: {error}");
            RequestRefusal::not_run(RefusalReason::BadRequest, detail)
        })?;
        let record = ProfileRecord {
            spec: draft.spec,
            operator,
            accepted_ms: wall_millis(),
            write_id: format!("{:032x}", rand::random::<u128>()),
        };
        let revision = self.write(&record, draft.base_revision, &draft_key).await?;
        let facts = format!("operator={} revision={revision}", record.operator);
        let event = PendingEvent::new(EventKind::ProfileAccepted, name, facts);
        self.events.record(event);
        Ok(json_response(
            200,
            &json!({"revision": revision, "record": record}),
        ))
    }

    /// Handles an acceptance without a draft: an earlier acceptance whose response was lost may
    /// have deleted it.
    async fn find_accepted(&self, operator: &str, name: &str) -> ApiResult {
        let item = self.read(&format!("{PROFILE_PREFIX}{name}")).await?;
        let stored = item.and_then(|item| Some((item.mod_revision, parse_record(&item.value)?)));
        match stored {
            Some((revision, record)) if record.operator == operator => Ok(json_response(
                200,
                &json!({"revision": revision, "record": record}),
            )),
            _ => {
                let detail = format!("operator \"{operator}\" has no draft of profile \"{name}\"");
                Err(RequestRefusal::not_run(RefusalReason::NotFound, detail))
            }
        }
    }

    /// Stores an accepted profile and deletes its draft, if the stored profile still has the base
    /// revision. Returns the revision of the write.
    async fn write(
        &self,
        record: &ProfileRecord,
        base_revision: u64,
        draft_key: &str,
    ) -> Result<u64, RequestRefusal> {
        let key = format!("{PROFILE_PREFIX}{}", record.spec.name);
        let request = accept_transaction(&key, record, base_revision, draft_key);
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.store.send(request.clone()).await {
                Ok(PlatformResponse::Txn {
                    succeeded: true,
                    revision,
                    ..
                }) => return Ok(revision),
                Ok(PlatformResponse::Txn { items, .. }) => {
                    return resolve_cas(record, items.first())
                }
                // Retried unchanged: the compare-and-swap succeeds at most once, and the write id
                // shows whether it did.
                Ok(_) | Err(_) => {}
            }
        }
        Err(outage_refusal(RequestRefusal::may_have_run))
    }

    async fn drafts(&self, request: WebRequest) -> ApiResult {
        self.authenticate(&request)?;
        let request = PlatformRequest::Range {
            key: DRAFT_PREFIX.to_owned(),
            range_end: prefix_end(DRAFT_PREFIX),
        };
        match self.store.send(request).await {
            Ok(PlatformResponse::Range { items, .. }) => {
                let drafts = items.iter().filter_map(|item| parse_draft(&item.value));
                Ok(json_response(
                    200,
                    &json!({"drafts": drafts.collect::<Vec<_>>()}),
                ))
            }
            Ok(_) | Err(_) => Err(outage_refusal(RequestRefusal::not_run)),
        }
    }
}

/// Builds the compare-and-swap that accepts a profile and deletes its draft.
fn accept_transaction(
    key: &str,
    record: &ProfileRecord,
    base_revision: u64,
    draft_key: &str,
) -> PlatformRequest {
    PlatformRequest::Txn {
        compares: vec![PlatformCompare::ModRevision(key.to_owned(), base_revision)],
        writes: vec![
            PlatformWrite::Put {
                key: key.to_owned(),
                value: serde_json::to_vec(record).unwrap_or_default(),
                lease: 0,
            },
            PlatformWrite::Delete {
                key: draft_key.to_owned(),
                range_end: String::new(),
            },
        ],
        reads: vec![key.to_owned()],
    }
}

/// Resolves a failed compare-and-swap: either an earlier attempt of the same write succeeded, whose
/// revision is returned, or the profile was changed or removed since.
fn resolve_cas(record: &ProfileRecord, item: Option<&PlatformItem>) -> Result<u64, RequestRefusal> {
    let stored = item.and_then(|item| Some((item.mod_revision, parse_record(&item.value)?)));
    match stored {
        Some((revision, stored)) if stored.write_id == record.write_id => Ok(revision),
        Some((revision, stored)) => {
            let detail = format!(
                "profile \"{}\" was changed by {} at {} (revision {revision}) after this draft was \
                 made; the draft is kept: compare, save it again and accept",
                stored.spec.name, stored.operator, stored.accepted_ms
            );
            Err(RequestRefusal::not_run(RefusalReason::Conflict, detail))
        }
        None => {
            let detail = "the profile was removed after this draft was made; the draft is kept";
            Err(RequestRefusal::not_run(RefusalReason::Conflict, detail))
        }
    }
}

fn outage_refusal(refusal: fn(RefusalReason, String) -> RequestRefusal) -> RequestRefusal {
    let detail = String::from("the platform's service does not answer");
    refusal(RefusalReason::PlatformOutage, detail).retry_after(OUTAGE_RETRY_AFTER_MS)
}

fn draft_key(name: &str, operator: &str) -> String {
    format!("{DRAFT_PREFIX}{name}/{operator}")
}

fn parse_record(value: &[u8]) -> Option<ProfileRecord> {
    serde_json::from_slice(value).ok()
}

fn parse_draft(value: &[u8]) -> Option<DraftRecord> {
    serde_json::from_slice(value).ok()
}

fn parse_spec(request: &WebRequest, prefix: &str) -> Result<ProfileSpec, RequestRefusal> {
    let bad_request = |detail: String| RequestRefusal::not_run(RefusalReason::BadRequest, detail);
    let spec: ProfileSpec = serde_json::from_slice(&request.body)
        .map_err(|error| bad_request(format!("the body is no profile: {error}")))?;
    spec.check().map_err(bad_request)?;
    let name = request.uri.path().strip_prefix(prefix).unwrap_or("");
    if spec.name != name {
        return Err(bad_request(format!(
            "name: \"{}\" is not \"{name}\" of the path",
            spec.name
        )));
    }
    Ok(spec)
}

fn operator_route<F>(api: &OperatorApi, action: F) -> RouteHandler
where
    F: Fn(OperatorApi, WebRequest) -> futures_util::future::BoxFuture<'static, ApiResult>
        + Send
        + Sync
        + 'static,
{
    let api = api.clone();
    RouteHandler::new(move |request| {
        let result = action(api.clone(), request);
        async move {
            result
                .await
                .unwrap_or_else(|refusal| problem_response(&refusal))
        }
        .boxed()
    })
}

/// Registers the operators' routes.
pub fn operator_routes<C, P>(route: &mut RouterBuilder<'_, C, P>, api: &OperatorApi)
where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: Send + Sync + std::panic::RefUnwindSafe + 'static,
{
    let queries = [
        ("/admin/status", EntryQuery::Status),
        ("/admin/members", EntryQuery::Members),
        ("/admin/profiles", EntryQuery::Profiles),
    ];
    for (path, query) in queries {
        let show_query = operator_route(api, move |api, request| {
            async move { api.show_query(request, query).await }.boxed()
        });
        route.get(path).to_new_handler(show_query);
    }
    let draft = operator_route(api, |api, request| {
        async move { api.save_draft(request).await }.boxed()
    });
    route.put("/admin/drafts/*").to_new_handler(draft);
    let drafts = operator_route(api, |api, request| {
        async move { api.drafts(request).await }.boxed()
    });
    route.get("/admin/drafts").to_new_handler(drafts);
    let accept = operator_route(api, |api, request| {
        async move { api.accept(request).await }.boxed()
    });
    route.post("/admin/profiles/*").to_new_handler(accept);
}
