//! Operators' HTTP: drafts, acceptance, and the state of the fleet as this entry sees it.
//!
//! Accepting is one compare-and-swap on the revision that the draft was made from. Its record
//! carries a write id, by which a write whose answer was lost is found again.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::FutureExt;
use gotham::helpers::http::Body;
use gotham::pipeline::PipelineHandleChain;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder};
use http::Response;
use serde_json::json;

use crate::config::EntryConfig;
use crate::entry::http::CallerDesk;
use crate::entry::run::EntryQuestion;
use crate::event::{wall_millis, EventKind, EventNote, EventRing};
use crate::profile::{
    token_hash, DraftRecord, ProfileRecord, ProfileSpec, DRAFT_PREFIX, PROFILE_PREFIX,
};
use crate::store::etcd::EtcdStore;
use crate::store::{
    prefix_end, PlatformAnswer, PlatformCall, PlatformCompare, PlatformItem, PlatformStore,
    PlatformWrite,
};
use crate::verdict::{RefusalReason, RequestRefusal};
use crate::web::{answer_json, problem, WebRequest, WebRoute};

/// Times that a write without an answer is sent again.
const WRITE_TRIES: u32 = 3;
/// When to come back during an outage of the platform, milliseconds.
const OUTAGE_RETRY_MS: u64 = 2_000;
const PROFILE_PATH: &str = "/admin/profiles/";
const DRAFT_PATH: &str = "/admin/drafts/";

/// What operators' routes share.
#[derive(Clone)]
pub struct OperatorDesk {
    operators: Arc<BTreeMap<String, String>>,
    store: EtcdStore,
    events: EventRing,
    desk: CallerDesk,
}

type DeskResult = Result<Response<Body>, RequestRefusal>;

impl OperatorDesk {
    /// A desk that knows the operators of the settings.
    pub fn new(config: &EntryConfig, events: EventRing, desk: CallerDesk) -> OperatorDesk {
        let operators = config.operators.iter();
        let by_hash =
            operators.map(|operator| (operator.token_hash.clone(), operator.name.clone()));
        OperatorDesk {
            operators: Arc::new(by_hash.collect()),
            store: EtcdStore::new(config.platform.to_string()),
            events,
            desk,
        }
    }

    fn operator(&self, request: &WebRequest) -> Result<String, RequestRefusal> {
        let name = self.operators.get(&token_hash(request.bearer()));
        name.cloned().ok_or_else(|| {
            RequestRefusal::not_run(
                RefusalReason::BadToken,
                "the bearer token names no operator",
            )
        })
    }

    async fn show(&self, request: WebRequest, question: EntryQuestion) -> DeskResult {
        self.operator(&request)?;
        Ok(answer_json(200, &self.desk.ask(question).await))
    }

    async fn read(&self, key: &str) -> Result<Option<PlatformItem>, RequestRefusal> {
        let call = PlatformCall::Range {
            key: key.to_owned(),
            range_end: String::new(),
        };
        match self.store.call(call).await {
            Ok(PlatformAnswer::Range { mut items, .. }) => Ok(items.pop()),
            Ok(_) | Err(_) => Err(outage(RequestRefusal::not_run)),
        }
    }

    async fn save_draft(&self, request: WebRequest) -> DeskResult {
        let operator = self.operator(&request)?;
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
        let call = PlatformCall::Txn {
            compares: Vec::new(),
            writes: vec![write],
            reads: Vec::new(),
        };
        self.store
            .call(call)
            .await
            .map_err(|_| outage(RequestRefusal::may_have_run))?;
        let facts = format!("operator={operator} base_revision={base_revision}");
        let note = EventNote::new(EventKind::DraftSaved, draft.spec.name.clone(), facts);
        self.events.record(note);
        let before = current.and_then(|item| parse_record(&item.value));
        Ok(answer_json(
            200,
            &json!({"draft": draft, "accepted": before}),
        ))
    }

    async fn accept(&self, request: WebRequest) -> DeskResult {
        let operator = self.operator(&request)?;
        let path = request.uri.path().strip_prefix(PROFILE_PATH).unwrap_or("");
        let name = path.strip_suffix("/accept").unwrap_or(path);
        let draft_key = draft_key(name, &operator);
        let Some(item) = self.read(&draft_key).await? else {
            return self.accepted_before(&operator, name).await;
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
        let note = EventNote::new(EventKind::ProfileAccepted, name, facts);
        self.events.record(note);
        Ok(answer_json(
            200,
            &json!({"revision": revision, "record": record}),
        ))
    }

    /// There is no draft: an acceptance whose answer was lost may have ended it.
    async fn accepted_before(&self, operator: &str, name: &str) -> DeskResult {
        let item = self.read(&format!("{PROFILE_PREFIX}{name}")).await?;
        let stored = item.and_then(|item| Some((item.mod_revision, parse_record(&item.value)?)));
        match stored {
            Some((revision, record)) if record.operator == operator => Ok(answer_json(
                200,
                &json!({"revision": revision, "record": record}),
            )),
            _ => {
                let detail = format!("operator \"{operator}\" has no draft of profile \"{name}\"");
                Err(RequestRefusal::not_run(RefusalReason::NotFound, detail))
            }
        }
    }

    /// Writes a record if its base is still in force. Returns the revision of the write.
    async fn write(
        &self,
        record: &ProfileRecord,
        base_revision: u64,
        draft_key: &str,
    ) -> Result<u64, RequestRefusal> {
        let key = format!("{PROFILE_PREFIX}{}", record.spec.name);
        let call = accept_call(&key, record, base_revision, draft_key);
        for _ in 0..WRITE_TRIES {
            match self.store.call(call.clone()).await {
                Ok(PlatformAnswer::Txn {
                    succeeded: true,
                    revision,
                    ..
                }) => return Ok(revision),
                Ok(PlatformAnswer::Txn { items, .. }) => return settled(record, items.first()),
                // Sent again as it was: it takes effect once, and its write id tells.
                Ok(_) | Err(_) => {}
            }
        }
        Err(outage(RequestRefusal::may_have_run))
    }

    async fn drafts(&self, request: WebRequest) -> DeskResult {
        self.operator(&request)?;
        let call = PlatformCall::Range {
            key: DRAFT_PREFIX.to_owned(),
            range_end: prefix_end(DRAFT_PREFIX),
        };
        match self.store.call(call).await {
            Ok(PlatformAnswer::Range { items, .. }) => {
                let drafts = items.iter().filter_map(|item| parse_draft(&item.value));
                Ok(answer_json(
                    200,
                    &json!({"drafts": drafts.collect::<Vec<_>>()}),
                ))
            }
            Ok(_) | Err(_) => Err(outage(RequestRefusal::not_run)),
        }
    }
}

/// The compare-and-swap that accepts a profile and ends its draft.
fn accept_call(
    key: &str,
    record: &ProfileRecord,
    base_revision: u64,
    draft_key: &str,
) -> PlatformCall {
    PlatformCall::Txn {
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

/// The base is no longer in force: by this very write, sent before, or by another's.
fn settled(record: &ProfileRecord, item: Option<&PlatformItem>) -> Result<u64, RequestRefusal> {
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

fn outage(refusal: fn(RefusalReason, String) -> RequestRefusal) -> RequestRefusal {
    let detail = String::from("the platform's service does not answer");
    refusal(RefusalReason::PlatformOutage, detail).retry_after(OUTAGE_RETRY_MS)
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
    let bad = |detail: String| RequestRefusal::not_run(RefusalReason::BadRequest, detail);
    let spec: ProfileSpec = serde_json::from_slice(&request.body)
        .map_err(|error| bad(format!("the body is no profile: {error}")))?;
    spec.check().map_err(bad)?;
    let name = request.uri.path().strip_prefix(prefix).unwrap_or("");
    if spec.name != name {
        return Err(bad(format!(
            "name: \"{}\" is not \"{name}\" of the path",
            spec.name
        )));
    }
    Ok(spec)
}

fn route_to<F>(desk: &OperatorDesk, action: F) -> WebRoute
where
    F: Fn(OperatorDesk, WebRequest) -> futures_util::future::BoxFuture<'static, DeskResult>
        + Send
        + Sync
        + 'static,
{
    let desk = desk.clone();
    WebRoute::new(move |request| {
        let result = action(desk.clone(), request);
        async move { result.await.unwrap_or_else(|refusal| problem(&refusal)) }.boxed()
    })
}

/// Adds the operators' routes.
pub fn operator_routes<C, P>(route: &mut RouterBuilder<'_, C, P>, desk: &OperatorDesk)
where
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: Send + Sync + std::panic::RefUnwindSafe + 'static,
{
    let questions = [
        ("/admin/status", EntryQuestion::Status),
        ("/admin/members", EntryQuestion::Members),
        ("/admin/profiles", EntryQuestion::Profiles),
    ];
    for (path, question) in questions {
        let show = route_to(desk, move |desk, request| {
            async move { desk.show(request, question).await }.boxed()
        });
        route.get(path).to_new_handler(show);
    }
    let draft = route_to(desk, |desk, request| {
        async move { desk.save_draft(request).await }.boxed()
    });
    route.put("/admin/drafts/*").to_new_handler(draft);
    let drafts = route_to(desk, |desk, request| {
        async move { desk.drafts(request).await }.boxed()
    });
    route.get("/admin/drafts").to_new_handler(drafts);
    let accept = route_to(desk, |desk, request| {
        async move { desk.accept(request).await }.boxed()
    });
    route.post("/admin/profiles/*").to_new_handler(accept);
}
