//! The platform's store over its HTTP/JSON calls.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::fetch::{json_request, send, HttpClient};
use crate::store::{
    PlatformAnswer, PlatformCall, PlatformCompare, PlatformError, PlatformFuture, PlatformItem,
    PlatformResult, PlatformStore, PlatformWrite,
};

/// Time that one call may take, milliseconds.
const CALL_MS: u64 = 1_200;

/// One change that a watch tells of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// A key was written.
    Put(PlatformItem),
    /// A key was removed at a revision.
    Removed {
        /// The key.
        key: String,
        /// The revision.
        revision: u64,
    },
}

/// The answer of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAnswer {
    /// What changed, and the revision to go on from.
    Changes(Vec<StoreChange>, u64),
    /// The history after the revision asked for is no longer kept.
    Forgotten,
}

/// The platform's store at one address.
#[derive(Clone, Debug)]
pub struct KvStore {
    client: HttpClient,
    address: String,
}

impl KvStore {
    /// A store at "ip:port".
    pub fn new(address: String) -> KvStore {
        KvStore {
            client: crate::fetch::client(),
            address,
        }
    }

    async fn exchange(
        &self,
        request: eyre::Result<Request<Full<Bytes>>>,
        limit_ms: u64,
    ) -> Result<(u16, Bytes), PlatformError> {
        let request = request.map_err(|error| PlatformError(error.to_string()))?;
        let call = send(&self.client, request);
        match tokio::time::timeout(Duration::from_millis(limit_ms), call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(PlatformError(error.to_string())),
            Err(_) => Err(PlatformError(format!("no answer in {limit_ms} ms"))),
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

    async fn key(&self, key: &str) -> PlatformResult {
        let request = self.get(&format!("/api/kv-key?key={key}"));
        match self.exchange(request, CALL_MS).await? {
            (200, body) => {
                let item: RawItem = parse(&body)?;
                Ok(PlatformAnswer::Range {
                    revision: item.store_revision,
                    items: vec![item.try_into()?],
                })
            }
            (404, body) => {
                let answer: RawRevision = parse(&body).unwrap_or_default();
                Ok(PlatformAnswer::Range {
                    revision: answer.store_revision,
                    items: Vec::new(),
                })
            }
            (status, _) => Err(status_error(status)),
        }
    }

    /// Reads all keys with a prefix. The revision is that of the first page: changes after it
    /// may be seen twice, but none is missed by a watch from there.
    async fn range(&self, prefix: &str) -> PlatformResult {
        let mut items = Vec::new();
        let mut first = None;
        let mut after = String::new();
        loop {
            let query = format!("/api/kv-range?prefix={prefix}{after}");
            let (status, body) = self.exchange(self.get(&query), CALL_MS).await?;
            if status != 200 {
                return Err(status_error(status));
            }
            let page: RawPage = parse(&body)?;
            let revision = *first.get_or_insert(page.store_revision);
            for item in page.items {
                items.push(PlatformItem::try_from(item)?);
            }
            match items.last() {
                Some(last) if page.truncated => after = format!("&after={}", last.key),
                _ => return Ok(PlatformAnswer::Range { revision, items }),
            }
        }
    }

    /// Asks what has changed under a prefix after a revision, and waits for it.
    ///
    /// # Errors
    ///
    /// When no answer came or it cannot be read.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchAnswer, PlatformError> {
        let query = format!("/api/kv-watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        match self.exchange(self.get(&query), CALL_MS + wait_ms).await? {
            (200, body) => {
                let answer: RawWatch = parse(&body)?;
                let changes = answer.events.into_iter().map(StoreChange::try_from);
                let changes = changes.collect::<Result<_, _>>()?;
                Ok(WatchAnswer::Changes(changes, answer.store_revision))
            }
            (410, _) => Ok(WatchAnswer::Forgotten),
            (status, _) => Err(status_error(status)),
        }
    }

    async fn txn(&self, compares: &[PlatformCompare], writes: &[PlatformWrite]) -> PlatformResult {
        let mut expected = Vec::new();
        for compare in compares {
            match compare {
                PlatformCompare::ModRevision(key, revision) => {
                    expected.push(json!({"key": key, "revision": revision}));
                }
                other => return Err(PlatformError(format!("no such condition: {other:?}"))),
            }
        }
        let mut puts = Vec::new();
        let mut removed = Vec::new();
        for write in writes {
            match write {
                PlatformWrite::Put { key, value, lease } => {
                    puts.push(json!({"key": key, "value": BASE64.encode(value), "lease": lease}));
                }
                PlatformWrite::Delete { key, range_end } if range_end.is_empty() => {
                    removed.push(key.clone());
                }
                other => return Err(PlatformError(format!("no such write: {other:?}"))),
            }
        }
        let body = json!({"expected": expected, "puts": puts, "remove": removed});
        match self
            .exchange(self.post("/api/kv-txn", &body), CALL_MS)
            .await?
        {
            (200, body) => Ok(PlatformAnswer::Txn {
                succeeded: true,
                revision: parse::<RawRevision>(&body)?.revision,
                items: Vec::new(),
            }),
            (412, body) => {
                let answer: RawConflict = parse(&body)?;
                let items = answer.items.into_iter().filter(|item| item.revision > 0);
                Ok(PlatformAnswer::Txn {
                    succeeded: false,
                    revision: 0,
                    items: items
                        .map(PlatformItem::try_from)
                        .collect::<Result<_, _>>()?,
                })
            }
            (status, _) => Err(status_error(status)),
        }
    }

    async fn lease_call(&self, path: &str, method: Method) -> PlatformResult {
        let url = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(url);
        let request = request.body(Full::default()).map_err(eyre::Report::from);
        match self.exchange(request, CALL_MS).await? {
            (200..=299, body) => Ok(parse::<RawLease>(&body).unwrap_or_default().into()),
            (404, _) => Ok(PlatformAnswer::Lease { lease: 0, ttl_s: 0 }),
            (status, _) => Err(status_error(status)),
        }
    }

    async fn make(&self, call: PlatformCall) -> PlatformResult {
        match call {
            PlatformCall::Range { key, range_end } if range_end.is_empty() => self.key(&key).await,
            PlatformCall::Range { key, .. } => self.range(&key).await,
            PlatformCall::Txn {
                compares, writes, ..
            } => self.txn(&compares, &writes).await,
            PlatformCall::LeaseGrant { ttl_s } => {
                let body = json!({"ttl_ms": ttl_s * 1_000});
                match self
                    .exchange(self.post("/api/kv-lease", &body), CALL_MS)
                    .await?
                {
                    (200, body) => Ok(parse::<RawLease>(&body)?.into()),
                    (status, _) => Err(status_error(status)),
                }
            }
            PlatformCall::LeaseKeepAlive { lease } => {
                self.lease_call(&format!("/api/kv-keep/{lease}"), Method::POST)
                    .await
            }
            PlatformCall::LeaseRevoke { lease } => {
                self.lease_call(&format!("/api/kv-lease-end/{lease}"), Method::DELETE)
                    .await
            }
        }
    }
}

impl PlatformStore for KvStore {
    fn call(&self, call: PlatformCall) -> PlatformFuture {
        let store = self.clone();
        Box::pin(async move { store.make(call).await })
    }
}

fn status_error(status: u16) -> PlatformError {
    PlatformError(format!("status {status}"))
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError(format!("could not read an answer: {error}")))
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
            PlatformError(format!("could not read the value of {}: {error}", item.key))
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

impl From<RawLease> for PlatformAnswer {
    fn from(lease: RawLease) -> PlatformAnswer {
        PlatformAnswer::Lease {
            lease: lease.lease,
            ttl_s: lease.ttl_ms.div_euclid(1_000),
        }
    }
}
