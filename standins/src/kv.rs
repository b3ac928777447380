//! Stand-in for the users' key-value store: keys with revisions, leases, transactions and
//! long-poll watches over HTTP/JSON.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use http::{Method, Request};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::server::{json_response, read_body, serve_on, text_response, ServerResponse};

/// Header that states the era in every answer.
const ERA_HEADER: &str = "store-era";

#[derive(Clone, Debug)]
struct KvItem {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: i64,
}

#[derive(Clone, Debug, Default)]
struct KvData {
    /// How often the store was restored from a copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, KvItem>,
    changes: Vec<Value>,
    /// Time to live and time of expiry, by lease id.
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
    /// Number of watches answered, by prefix.
    answered_watches: HashMap<String, u64>,
    outage: bool,
}

/// A copy of the whole store, from which it can be restored.
#[derive(Debug)]
pub struct StoreCopy(KvData);

/// Key-value store that runs as a task of the test or benchmark process. Clones share the same
/// data.
#[derive(Clone, Debug, Default)]
pub struct KvServer {
    data: Arc<Mutex<KvData>>,
    changed: Arc<Notify>,
}

fn item_json(key: &str, item: &KvItem) -> Value {
    json!({
        "key": key, "value": BASE64.encode(&item.value), "revision": item.revision,
        "created": item.created, "lease": item.lease,
    })
}

impl KvData {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = KvItem {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.changes.push(item_json(key, &item));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let change = json!({"key": key, "revision": self.revision, "removed": true});
            self.changes.push(change);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| now >= *expires_at)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }

    fn remove_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }
}

impl KvServer {
    fn data(&self) -> MutexGuard<'_, KvData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key without a lease, as an operator or an upstream does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes any bytes under a key, as a writer may that knows nothing of its form.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let mut data = self.data();
        data.revision += 1;
        data.put(key, value.to_vec(), 0);
        self.changed.notify_waiters();
    }

    /// Removes a key. The revision rises also if the key does not exist.
    pub fn remove(&self, key: &str) {
        let mut data = self.data();
        data.revision += 1;
        data.remove(key);
        self.changed.notify_waiters();
    }

    /// Starts or ends an outage, in which every request is answered with status 503.
    pub fn set_outage(&self, outage: bool) {
        self.data().outage = outage;
        self.changed.notify_waiters();
    }

    /// Returns the revision of the store.
    pub fn revision(&self) -> u64 {
        self.data().revision
    }

    /// Returns a copy of the store as it is now.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.data().clone())
    }

    /// Goes back to a copy: writes and leases made since are lost, revisions are given out again,
    /// and the era rises. An outage that is in force goes on.
    pub fn restore(&self, copy: StoreCopy) {
        let mut data = self.data();
        let (era, outage) = (data.era + 1, data.outage);
        *data = KvData {
            era,
            outage,
            ..copy.0
        };
        self.changed.notify_waiters();
    }

    /// Serves the store on `listener` until accepting a connection fails.
    ///
    /// # Errors
    ///
    /// If a connection cannot be accepted.
    pub async fn run(self, listener: TcpListener) -> eyre::Result<()> {
        serve_on(listener, move |request| self.clone().handle(request)).await
    }

    async fn handle(self, request: Request<Incoming>) -> ServerResponse {
        // An answer belongs to the era in which its request arrived.
        let era = self.data().era;
        let mut response = self.handle_in_era(request).await;
        let headers = response.headers_mut();
        headers.insert(ERA_HEADER, http::HeaderValue::from(era));
        response
    }

    async fn handle_in_era(self, request: Request<Incoming>) -> ServerResponse {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or("").to_owned();
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name);
            let value = values.next().map_or("", |(_, value)| value);
            percent_decode_str(value).decode_utf8_lossy().into_owned()
        };
        let method = request.method().clone();
        let body = read_body(request).await;
        self.data().expire_leases();
        if self.data().outage {
            return text_response(503, "");
        }
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        match (method, path.as_str()) {
            (Method::GET, "/api/kv-key") => self.read_key(&param("key")),
            (Method::GET, "/api/kv-range") => self.read_range(&param("prefix"), &param("after")),
            (Method::GET, "/api/kv-watch") => {
                let after = param("after").parse().unwrap_or(0);
                let wait_ms = param("wait_ms").parse().unwrap_or(0);
                self.watch(&param("prefix"), after, wait_ms).await
            }
            (Method::POST, "/api/kv-txn") => self.txn(&value),
            (Method::POST, "/api/kv-lease") => {
                let mut data = self.data();
                data.next_lease += 1;
                let lease = data.next_lease;
                let ttl = Duration::from_millis(value["ttl_ms"].as_u64().unwrap_or(1_000));
                data.leases.insert(lease, (ttl, Instant::now() + ttl));
                json_response(&json!({"lease": lease, "ttl_ms": value["ttl_ms"]}))
            }
            (_, path) => self.handle_lease(path),
        }
    }

    fn handle_lease(&self, path: &str) -> ServerResponse {
        let (endpoint, id) = path.rsplit_once('/').unwrap_or((path, ""));
        let lease: i64 = id.parse().unwrap_or(0);
        let mut data = self.data();
        let Some((ttl, expires_at)) = data.leases.get_mut(&lease) else {
            return text_response(404, "");
        };
        if endpoint == "/api/kv-keep" {
            *expires_at = Instant::now() + *ttl;
            let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(0);
            return json_response(&json!({"ttl_ms": ttl_ms}));
        }
        data.remove_lease(lease);
        self.changed.notify_waiters();
        json_response(&json!({}))
    }

    fn read_key(&self, key: &str) -> ServerResponse {
        let data = self.data();
        let Some(item) = data.items.get(key) else {
            return text_response(404, json!({"store_revision": data.revision}).to_string());
        };
        let mut body = item_json(key, item);
        body["store_revision"] = data.revision.into();
        json_response(&body)
    }

    fn read_range(&self, prefix: &str, after: &str) -> ServerResponse {
        // Small, so that clients have to request several pages.
        const PAGE_ITEMS: usize = 3;
        let data = self.data();
        let mut items = data
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item));
        let page: Vec<Value> = items.by_ref().take(PAGE_ITEMS).collect();
        let truncated = items.next().is_some();
        json_response(&json!({
            "items": page, "truncated": truncated, "store_revision": data.revision,
        }))
    }

    /// Number of watches on keys with a prefix that were answered.
    pub fn answered_watches(&self, prefix: &str) -> u64 {
        let data = self.data();
        data.answered_watches.get(prefix).copied().unwrap_or(0)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> ServerResponse {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let era = self.data().era;
        loop {
            let changed = self.changed.notified();
            let (events, revision, outage) = {
                let data = self.data();
                if data.era != era || data.revision < after {
                    return text_response(410, "");
                }
                let events: Vec<Value> = data
                    .changes
                    .iter()
                    .filter(|change| change["revision"].as_u64() > Some(after))
                    .filter(|change| {
                        change["key"]
                            .as_str()
                            .is_some_and(|key| key.starts_with(prefix))
                    })
                    .cloned()
                    .collect();
                (events, data.revision, data.outage)
            };
            if outage {
                return text_response(503, "");
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let answered = &mut self.data().answered_watches;
                *answered.entry(prefix.to_owned()).or_default() += 1;
                return json_response(&json!({"events": events, "store_revision": revision}));
            }
            // Whether the wait timed out or data changed is checked at the start of the loop.
            let _ = tokio::time::timeout(remaining.min(Duration::from_millis(100)), changed).await;
        }
    }

    fn txn(&self, value: &Value) -> ServerResponse {
        let mut data = self.data();
        let rows = |name: &str| value[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| row["key"].as_str().unwrap_or("").to_owned();
        let expected = rows("expected");
        let unchanged = expected.iter().all(|row| {
            let revision = data.items.get(&key(row)).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        });
        if !unchanged {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| Some(item_json(&key(row), data.items.get(&key(row))?)))
                .collect();
            return text_response(412, json!({"items": items}).to_string());
        }
        let puts = rows("puts");
        let lease = |row: &Value| row["lease"].as_i64().unwrap_or(0);
        if puts
            .iter()
            .any(|row| lease(row) != 0 && !data.leases.contains_key(&lease(row)))
        {
            return text_response(404, "");
        }
        data.revision += 1;
        for row in &puts {
            let bytes = BASE64
                .decode(row["value"].as_str().unwrap_or(""))
                .unwrap_or_default();
            data.put(&key(row), bytes, lease(row));
        }
        for row in rows("remove") {
            data.remove(row.as_str().unwrap_or(""));
        }
        self.changed.notify_waiters();
        json_response(&json!({"revision": data.revision}))
    }
}
