//! Client of the platform's key-value store over its HTTP/JSON interface.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use percent_encoding::{utf8_percent_encode, AsciiSet, CONTROLS};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

use crate::fetch::{json_request, send_whole, HttpClient};
use crate::platform::headers::store_era;
use crate::store::position::{EraFault, EraStatement, EraTracker, StorePosition};
use crate::store::{
    PlatformCompare, PlatformError, PlatformFuture, PlatformItem, PlatformRequest,
    PlatformResponse, PlatformStore, PlatformWrite,
};

/// Timeout of one request, milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1_200;

/// Time after which an answer to a watch is overdue, counted from the end of its wait, milliseconds.
/// Its connection may have gone silent, so that the store is asked on another one as well.
const WATCH_OVERDUE_MS: u64 = 400;

/// Characters of a key that a query cannot contain as they are.
const KEY_ESCAPES: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'&')
    .add(b'+')
    .add(b'<')
    .add(b'>');

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// A key was written; carries its new value and revisions.
    Put(PlatformItem),
    /// A key was removed.
    Removed {
        /// The removed key.
        key: String,
        /// Store revision of the removal.
        revision: u64,
    },
}

/// Result of a watch request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes, in order, and the position from which to continue. Empty if the wait ended
    /// without a change.
    Changes(Vec<StoreChange>, StorePosition),
    /// The store no longer keeps all changes after the requested position.
    Compacted,
    /// The store was restored from an older copy: what was read before must be read again.
    Restored,
}

/// The latest era of the store. The tasks that use the store share it, so that each learns of a
/// restore from the first answer to any of them.
#[derive(Debug, Default)]
struct SharedEra {
    tracker: Mutex<(EraTracker, Option<EraFault>)>,
    changes: watch::Sender<u64>,
}

impl SharedEra {
    /// Records the era that an answer states and logs a restore, and the first of several faults of
    /// the same kind. Returns the era of the answer.
    fn observe(&self, statement: EraStatement) -> Result<u64, PlatformError> {
        let mut tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = tracker.0.era();
        match tracker.0.observe(statement) {
            Ok(era) => {
                tracker.1 = None;
                if era != previous {
                    spdlog::warn!("event=store_era_changed era={era} previous={previous}");
                    self.changes.send_replace(era);
                }
                Ok(era)
            }
            Err(fault) => {
                if tracker.1 != Some(fault) {
                    spdlog::warn!(
                        "event=store_answer_rejected fault={fault} era={statement:?} known={previous}"
                    );
                }
                tracker.1 = Some(fault);
                Err(PlatformError(format!(
                    "the answer's era is not believed: {fault}"
                )))
            }
        }
    }
}

/// A response and the era of the store that gave it, or why there is no usable one.
pub type PositionedResult = Result<(PlatformResponse, u64), PlatformError>;

/// The pool of connections to the store. It is replaced when a request is not answered in time: the
/// idle connections may have gone silent as well, and each would cost a timeout.
#[derive(Debug)]
struct StorePool(Mutex<(HttpClient, u64)>);

impl StorePool {
    fn new() -> StorePool {
        StorePool(Mutex::new((crate::fetch::client(), 0)))
    }

    /// The present client, and its number.
    fn client(&self) -> (HttpClient, u64) {
        let current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Replaces the client with this number, unless it was replaced before.
    fn replace(&self, number: u64) {
        let mut current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if current.1 == number {
            *current = (crate::fetch::client(), number + 1);
            spdlog::info!("event=store_connections_replaced");
        }
    }
}

/// Client of the platform's store at one address. Clones share the connections and what is known of the
/// store's era.
#[derive(Clone, Debug)]
pub struct KvStore {
    pool: Arc<StorePool>,
    address: String,
    era: Arc<SharedEra>,
}

impl KvStore {
    /// Creates a client of the store at `address`, as "ip:port".
    pub fn new(address: String) -> KvStore {
        KvStore {
            pool: Arc::new(StorePool::new()),
            address,
            era: Arc::default(),
        }
    }

    /// The latest era of the store; zero if it states none.
    pub fn era(&self) -> u64 {
        *self.era.changes.borrow()
    }

    /// Waits until the era of the store is not `era`.
    pub async fn era_changed(&self, era: u64) {
        let mut changes = self.era.changes.subscribe();
        // The sender lives as long as this client.
        let _ = changes.wait_for(|latest| *latest != era).await;
    }

    /// Sends a request. Returns the status, the body and the era of the response. An answer without
    /// a believable era is an error, unless its status is one that says nothing of the store.
    async fn send_request(
        &self,
        request: eyre::Result<Request<Full<Bytes>>>,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes, u64), PlatformError> {
        let (client, number) = self.pool.client();
        self.send_with(&client, Some(number), request, timeout_ms)
            .await
    }

    /// Sends a request on a connection of a client. `number` is that of its pool, which is replaced
    /// after a timeout.
    async fn send_with(
        &self,
        client: &HttpClient,
        number: Option<u64>,
        request: eyre::Result<Request<Full<Bytes>>>,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes, u64), PlatformError> {
        let request = request.map_err(|error| PlatformError(error.to_string()))?;
        let response = send_whole(client, request);
        match tokio::time::timeout(Duration::from_millis(timeout_ms), response).await {
            Ok(Ok(response)) => {
                let status = response.status().as_u16();
                let era = match status {
                    200..=299 | 404 | 410 | 412 => {
                        self.era.observe(store_era(response.headers()))?
                    }
                    _ => self.era(),
                };
                Ok((status, response.into_body(), era))
            }
            Ok(Err(error)) => Err(PlatformError(error.to_string())),
            Err(_) => {
                if let Some(number) = number {
                    self.pool.replace(number);
                }
                let text = format!("no response within {timeout_ms} ms");
                Err(PlatformError(text))
            }
        }
    }

    fn get(&self, path_and_query: &str) -> eyre::Result<Request<Full<Bytes>>> {
        let url = format!("http://{}{path_and_query}", self.address);
        Ok(Request::get(url).body(Full::default())?)
    }

    fn post<T: Serialize>(&self, path: &str, value: &T) -> eyre::Result<Request<Full<Bytes>>> {
        let url = format!("http://{}{path}", self.address);
        json_request(Method::POST, &url, value)
    }

    async fn read(&self, key: &str) -> PositionedResult {
        let request = self.get(&format!("/api/kv-key?key={key}"));
        match self.send_request(request, REQUEST_TIMEOUT_MS).await? {
            (200, body, era) => {
                let item: RawItem = decode(&body)?;
                let response = PlatformResponse::Range {
                    revision: item.store_revision,
                    items: vec![item.try_into()?],
                };
                Ok((response, era))
            }
            (404, body, era) => {
                let response: RawRevision = decode(&body).unwrap_or_default();
                let response = PlatformResponse::Range {
                    revision: response.store_revision,
                    items: Vec::new(),
                };
                Ok((response, era))
            }
            (status, ..) => Err(unexpected_status(status)),
        }
    }

    /// Reads all keys with a prefix, page by page. Returns the revision of the first page, so that
    /// a watch from that revision misses no change. The watch may report changes that a later page
    /// already contains. Fails if the store is restored between two pages.
    async fn read_prefix(&self, prefix: &str) -> PositionedResult {
        let mut items = Vec::new();
        let mut first = None;
        let mut page_query = String::new();
        loop {
            let query = format!("/api/kv-range?prefix={prefix}{page_query}");
            let (status, body, era) = self
                .send_request(self.get(&query), REQUEST_TIMEOUT_MS)
                .await?;
            if status != 200 {
                return Err(unexpected_status(status));
            }
            let page: RawPage = decode(&body)?;
            let (revision, first_era) = *first.get_or_insert((page.store_revision, era));
            if era != first_era {
                return Err(PlatformError(
                    "the store was restored between two pages".into(),
                ));
            }
            for item in page.items {
                items.push(PlatformItem::try_from(item)?);
            }
            match items.last() {
                Some(last) if page.truncated => {
                    let after = utf8_percent_encode(&last.key, KEY_ESCAPES);
                    page_query = format!("&after={after}");
                }
                _ => return Ok((PlatformResponse::Range { revision, items }, era)),
            }
        }
    }

    /// Returns the changes of keys with a prefix that were made after a position. If there is none,
    /// waits up to `wait_ms` milliseconds for one. The wait ends at once when any answer of the
    /// store shows that it was restored: the changes after the position would be those of other
    /// writes.
    ///
    /// # Errors
    ///
    /// If the request fails or times out, or the response cannot be decoded.
    pub async fn watch(
        &self,
        prefix: &str,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<WatchOutcome, PlatformError> {
        tokio::select! {
            biased;
            () = self.era_changed(after.era) => Ok(WatchOutcome::Restored),
            outcome = self.watch_in_era(prefix, after, wait_ms) => outcome,
        }
    }

    async fn watch_in_era(
        &self,
        prefix: &str,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<WatchOutcome, PlatformError> {
        let (status, body, era) = self.send_watch(prefix, after, wait_ms).await?;
        match (status, body, era) {
            (_, _, era) if era != after.era => Ok(WatchOutcome::Restored),
            (200, body, era) => {
                let response: RawWatch = decode(&body)?;
                let changes = response.events.into_iter().map(StoreChange::try_from);
                let changes = changes.collect::<Result<_, _>>()?;
                let position = StorePosition::new(era, response.store_revision);
                Ok(WatchOutcome::Changes(changes, position.max(after)))
            }
            (410, ..) => Ok(WatchOutcome::Compacted),
            (status, ..) => Err(unexpected_status(status)),
        }
    }

    /// Sends a watch. If its answer is overdue, sends another one on a new connection that does not
    /// wait, and returns the first answer of the two.
    async fn send_watch(
        &self,
        prefix: &str,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<(u16, Bytes, u64), PlatformError> {
        let revision = after.revision;
        let query = |wait_ms: u64| {
            let path = "/api/kv-watch";
            self.get(&format!(
                "{path}?prefix={prefix}&after={revision}&wait_ms={wait_ms}"
            ))
        };
        let (client, number) = self.pool.client();
        let first = self.send_with(
            &client,
            Some(number),
            query(wait_ms),
            REQUEST_TIMEOUT_MS + wait_ms,
        );
        let mut first = std::pin::pin!(first);
        let overdue = Duration::from_millis(wait_ms + WATCH_OVERDUE_MS);
        if let Ok(answer) = tokio::time::timeout(overdue, first.as_mut()).await {
            return answer;
        }
        let another = crate::fetch::client();
        let second = self.send_with(&another, None, query(0), REQUEST_TIMEOUT_MS);
        tokio::select! {
            answer = first.as_mut() => answer,
            answer = second => match answer {
                Ok(answer) => {
                    self.pool.replace(number);
                    Ok(answer)
                }
                Err(_) => first.await,
            },
        }
    }

    /// Applies the writes if every condition holds. Otherwise returns the existing keys among those
    /// that the conditions name.
    async fn txn(
        &self,
        compares: &[PlatformCompare],
        writes: &[PlatformWrite],
    ) -> PositionedResult {
        let mut expected = Vec::new();
        for compare in compares {
            match compare {
                PlatformCompare::ModRevision(key, revision) => {
                    expected.push(json!({"key": key, "revision": revision}));
                }
                other => return Err(PlatformError(format!("unsupported condition: {other:?}"))),
            }
        }
        let mut puts = Vec::new();
        let mut removals = Vec::new();
        for write in writes {
            match write {
                PlatformWrite::Put { key, value, lease } => {
                    puts.push(json!({"key": key, "value": BASE64.encode(value), "lease": lease}));
                }
                PlatformWrite::Delete { key, range_end } if range_end.is_empty() => {
                    removals.push(key.clone());
                }
                other => return Err(PlatformError(format!("unsupported write: {other:?}"))),
            }
        }
        let body = json!({"expected": expected, "puts": puts, "remove": removals});
        match self
            .send_request(self.post("/api/kv-txn", &body), REQUEST_TIMEOUT_MS)
            .await?
        {
            (200, body, era) => {
                let response = PlatformResponse::Txn {
                    succeeded: true,
                    revision: decode::<RawRevision>(&body)?.revision,
                    items: Vec::new(),
                };
                Ok((response, era))
            }
            (412, body, era) => {
                let conflict: RawConflict = decode(&body)?;
                let items = conflict.items.into_iter().filter(|item| item.revision > 0);
                let response = PlatformResponse::Txn {
                    succeeded: false,
                    revision: 0,
                    items: items
                        .map(PlatformItem::try_from)
                        .collect::<Result<_, _>>()?,
                };
                Ok((response, era))
            }
            (status, ..) => Err(unexpected_status(status)),
        }
    }

    async fn lease_request(&self, path: &str, method: Method) -> PositionedResult {
        let url = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(url);
        let request = request.body(Full::default()).map_err(eyre::Report::from);
        match self.send_request(request, REQUEST_TIMEOUT_MS).await? {
            (200..=299, body, era) => {
                Ok((decode::<RawLease>(&body).unwrap_or_default().into(), era))
            }
            (404, _, era) => Ok((PlatformResponse::Lease { lease: 0, ttl_s: 0 }, era)),
            (status, ..) => Err(unexpected_status(status)),
        }
    }

    /// Sends one request. Returns the response and the era of the store that gave it.
    ///
    /// # Errors
    ///
    /// If the request fails or times out, or its response cannot be decoded or believed.
    pub async fn request(&self, request: PlatformRequest) -> PositionedResult {
        match request {
            PlatformRequest::Range { key, range_end } if range_end.is_empty() => {
                self.read(&key).await
            }
            PlatformRequest::Range { key, .. } => self.read_prefix(&key).await,
            PlatformRequest::Txn {
                compares, writes, ..
            } => self.txn(&compares, &writes).await,
            PlatformRequest::LeaseGrant { ttl_s } => {
                let body = json!({"ttl_ms": ttl_s * 1_000});
                match self
                    .send_request(self.post("/api/kv-lease", &body), REQUEST_TIMEOUT_MS)
                    .await?
                {
                    (200, body, era) => Ok((decode::<RawLease>(&body)?.into(), era)),
                    (status, ..) => Err(unexpected_status(status)),
                }
            }
            PlatformRequest::LeaseKeepAlive { lease } => {
                self.lease_request(&format!("/api/kv-keep/{lease}"), Method::POST)
                    .await
            }
            PlatformRequest::LeaseRevoke { lease } => {
                self.lease_request(&format!("/api/kv-lease-end/{lease}"), Method::DELETE)
                    .await
            }
        }
    }
}

impl PlatformStore for KvStore {
    fn send(&self, request: PlatformRequest) -> PlatformFuture {
        let store = self.clone();
        Box::pin(async move { store.request(request).await.map(|(response, _)| response) })
    }
}

fn unexpected_status(status: u16) -> PlatformError {
    PlatformError(format!("unexpected status {status}"))
}

fn decode<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError(format!("could not decode the response: {error}")))
}

#[derive(Deserialize)]
struct RawItem {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    created: u64,
    #[serde(default)]
    removed: bool,
    #[serde(default)]
    store_revision: u64,
}

impl TryFrom<RawItem> for PlatformItem {
    type Error = PlatformError;

    fn try_from(item: RawItem) -> Result<PlatformItem, PlatformError> {
        let value = BASE64.decode(&item.value).map_err(|error| {
            PlatformError(format!(
                "could not decode the base64 value of key {}: {error}",
                item.key
            ))
        })?;
        Ok(PlatformItem {
            key: item.key,
            value,
            create_revision: item.created,
            mod_revision: item.revision,
        })
    }
}

impl TryFrom<RawItem> for StoreChange {
    type Error = PlatformError;

    fn try_from(item: RawItem) -> Result<StoreChange, PlatformError> {
        match item.removed {
            true => Ok(StoreChange::Removed {
                key: item.key,
                revision: item.revision,
            }),
            false => Ok(StoreChange::Put(item.try_into()?)),
        }
    }
}

#[derive(Deserialize)]
struct RawPage {
    items: Vec<RawItem>,
    #[serde(default)]
    truncated: bool,
    store_revision: u64,
}

#[derive(Deserialize)]
struct RawWatch {
    events: Vec<RawItem>,
    store_revision: u64,
}

#[derive(Deserialize)]
struct RawConflict {
    #[serde(default)]
    items: Vec<RawItem>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawRevision {
    revision: u64,
    store_revision: u64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawLease {
    lease: i64,
    ttl_ms: i64,
}

impl From<RawLease> for PlatformResponse {
    fn from(lease: RawLease) -> PlatformResponse {
        PlatformResponse::Lease {
            lease: lease.lease,
            ttl_s: lease.ttl_ms.div_euclid(1_000),
        }
    }
}
