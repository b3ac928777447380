//! Stand-in for the platform: a key-value store with compare-and-swap transactions, leases and
//! watches over the HTTP/JSON form of etcd's v3 API, and the list of VMs, which tests set.
//!
//! It also keeps the ledger in which the stand-in services record each run of an operation.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, Request};
use hyper::body::Incoming;
use lynxcart::store::etcd::{decode, EtcdItem};
use lynxcart::store::PlatformItem;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

use crate::server::{json_response, line_stream, read_body, serve, text_response, ServerResponse};

/// Interval of the checks for expired leases, in milliseconds.
const EXPIRY_CHECK_MS: u64 = 50;

/// Faults of the platform. A request to `/faults` replaces all of them at run time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Whether every request of the store's API is answered with status 503. Setting it closes the
    /// open watches.
    pub outage: bool,
    /// Delay before a request of the store's API is handled, in milliseconds.
    pub delay_ms: u64,
    /// Number of transactions from now on that take effect but are answered with status 503.
    pub lose_answers: u32,
}

/// Numbers of requests handled since the start of the process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Number of range requests.
    pub reads: u64,
    /// Number of transactions and lease requests.
    pub writes: u64,
    /// Number of watches opened.
    pub watches: u64,
}

struct StoredItem {
    item: PlatformItem,
    lease: i64,
}

struct StoredLease {
    ttl_s: i64,
    expires_at: Instant,
}

struct Watcher {
    key: String,
    range_end: String,
    sender: UnboundedSender<String>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    history: Vec<PlatformItem>,
    leases: HashMap<i64, StoredLease>,
    next_lease: i64,
    watchers: Vec<Watcher>,
    vms: Value,
    ledger: Vec<Value>,
    faults: PlatformFaults,
    stats: PlatformStats,
}

type SharedStore = Arc<Mutex<StoreState>>;

/// Serves the platform until the process exits.
///
/// # Errors
///
/// If the address cannot be bound or a connection cannot be accepted.
pub async fn run(address: SocketAddr) -> eyre::Result<()> {
    let store = SharedStore::default();
    tokio::spawn(expire_leases(store.clone()));
    serve(address, move |request| handle(store.clone(), request)).await
}

fn lock(store: &SharedStore) -> MutexGuard<'_, StoreState> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn expire_leases(store: SharedStore) {
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRY_CHECK_MS)).await;
        let mut state = lock(&store);
        let now = Instant::now();
        let expired: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            state.remove_lease(lease);
        }
    }
}

async fn handle(store: SharedStore, request: Request<Incoming>) -> ServerResponse {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = read_body(request).await;
    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if let Some(response) = handle_control(&store, &method, &path, &value) {
        return response;
    }
    let faults = lock(&store).faults.clone();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if lock(&store).faults.outage {
        return text_response(503, "outage");
    }
    let mut state = lock(&store);
    match path.as_str() {
        "/v3/kv/range" => json_response(&state.range(&value)),
        "/v3/kv/txn" => {
            let result = state.txn(&value);
            if state.faults.lose_answers > 0 {
                state.faults.lose_answers -= 1;
                return text_response(503, "answer lost");
            }
            json_response(&result)
        }
        "/v3/lease/grant" => json_response(&state.grant(&value)),
        "/v3/lease/keepalive" => json_response(&state.keep_alive(&value)),
        "/v3/lease/revoke" => {
            state.stats.writes += 1;
            state.remove_lease(read_i64(&value["ID"]));
            json_response(&json!({}))
        }
        "/v3/watch" => state.watch(&value["create_request"]),
        _ => text_response(404, ""),
    }
}

fn handle_control(
    store: &SharedStore,
    method: &Method,
    path: &str,
    value: &Value,
) -> Option<ServerResponse> {
    let mut state = lock(store);
    let response = match (method, path) {
        (&Method::POST, "/faults") => {
            state.faults = serde_json::from_value(value.clone()).unwrap_or_default();
            if state.faults.outage {
                state.watchers.clear();
            }
            text_response(200, "")
        }
        (&Method::GET, "/stats") => json_response(&state.stats),
        (&Method::GET, "/vms") => json_response(&state.vms),
        (&Method::POST, "/vms") => {
            state.vms = value.clone();
            text_response(200, "")
        }
        (&Method::GET, "/ledger") => json_response(&state.ledger),
        (&Method::POST, "/ledger") => {
            state.ledger.push(value.clone());
            text_response(200, "")
        }
        _ => return None,
    };
    Some(response)
}

impl StoreState {
    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }

    fn select(&self, key: &str, range_end: &str) -> Vec<EtcdItem> {
        let items = self.items.range(key.to_owned()..);
        items
            .take_while(|(name, _)| in_range(name, key, range_end))
            .map(|(_, stored)| EtcdItem::from(&stored.item))
            .collect()
    }

    fn range(&mut self, request: &Value) -> Value {
        self.stats.reads += 1;
        let kvs = self.select(
            &decode_key(&request["key"]),
            &decode_key(&request["range_end"]),
        );
        json!({"header": self.header(), "kvs": kvs})
    }

    fn txn(&mut self, request: &Value) -> Value {
        self.stats.writes += 1;
        let compares = request["compare"].as_array().cloned().unwrap_or_default();
        let succeeded = compares.iter().all(|compare| self.compare_holds(compare));
        let branch = if succeeded { "success" } else { "failure" };
        let operations = request[branch].as_array().cloned().unwrap_or_default();
        let has_writes = operations
            .iter()
            .any(|operation| operation.get("request_range").is_none());
        if has_writes {
            self.revision += 1;
        }
        let mut changed = Vec::new();
        let responses: Vec<Value> = operations
            .iter()
            .map(|operation| self.apply_operation(operation, &mut changed))
            .collect();
        self.notify_watchers(&changed);
        json!({"header": self.header(), "succeeded": succeeded, "responses": responses})
    }

    fn compare_holds(&self, compare: &Value) -> bool {
        let item = self
            .items
            .get(&decode_key(&compare["key"]))
            .map(|stored| &stored.item);
        match compare["target"].as_str() {
            Some("MOD") => item.map_or(0, |i| i.mod_revision) == read_u64(&compare["mod_revision"]),
            Some("CREATE") => {
                item.map_or(0, |i| i.create_revision) == read_u64(&compare["create_revision"])
            }
            Some("VALUE") => {
                let value = decode(compare["value"].as_str().unwrap_or(""));
                item.is_some_and(|item| item.value == value)
            }
            _ => false,
        }
    }

    fn apply_operation(&mut self, operation: &Value, changed: &mut Vec<PlatformItem>) -> Value {
        if let Some(put) = operation.get("request_put") {
            let key = decode_key(&put["key"]);
            let value = decode(put["value"].as_str().unwrap_or(""));
            changed.push(self.put(key, value, read_i64(&put["lease"])));
            return json!({"response_put": {}});
        }
        if let Some(delete) = operation.get("request_delete_range") {
            let (key, end) = (decode_key(&delete["key"]), decode_key(&delete["range_end"]));
            let names: Vec<String> = self
                .items
                .range(key.clone()..)
                .map(|(name, _)| name.clone())
                .take_while(|name| in_range(name, &key, &end))
                .collect();
            changed.extend(names.iter().filter_map(|name| self.delete(name)));
            return json!({"response_delete_range": {}});
        }
        let range = &operation["request_range"];
        let kvs = self.select(&decode_key(&range["key"]), &decode_key(&range["range_end"]));
        json!({"response_range": {"kvs": kvs}})
    }

    fn put(&mut self, key: String, value: Vec<u8>, lease: i64) -> PlatformItem {
        let create_revision = self
            .items
            .get(&key)
            .map(|stored| stored.item.create_revision);
        let item = PlatformItem {
            key: key.clone(),
            value,
            create_revision: create_revision.unwrap_or(self.revision),
            mod_revision: self.revision,
        };
        let stored = StoredItem {
            item: item.clone(),
            lease,
        };
        self.items.insert(key, stored);
        item
    }

    fn delete(&mut self, key: &str) -> Option<PlatformItem> {
        let mut item = self.items.remove(key)?.item;
        item.value.clear();
        item.mod_revision = self.revision;
        Some(item)
    }

    fn notify_watchers(&mut self, changed: &[PlatformItem]) {
        self.history.extend_from_slice(changed);
        let header = self.header();
        self.watchers.retain(|watcher| {
            let matching_items = changed
                .iter()
                .filter(|item| in_range(&item.key, &watcher.key, &watcher.range_end));
            let line = watch_line(&header, matching_items);
            line.is_none_or(|line| watcher.sender.send(line).is_ok())
        });
    }

    fn watch(&mut self, request: &Value) -> ServerResponse {
        self.stats.watches += 1;
        let (sender, receiver) = unbounded_channel();
        let watcher = Watcher {
            key: decode_key(&request["key"]),
            range_end: decode_key(&request["range_end"]),
            sender,
        };
        let start = read_u64(&request["start_revision"]);
        let missed_items = self.history.iter().filter(|item| {
            item.mod_revision >= start && in_range(&item.key, &watcher.key, &watcher.range_end)
        });
        if let Some(line) = watch_line(&self.header(), missed_items) {
            let _ = watcher.sender.send(line);
        }
        self.watchers.push(watcher);
        line_stream(receiver)
    }

    fn grant(&mut self, request: &Value) -> Value {
        self.stats.writes += 1;
        self.next_lease += 1;
        let ttl_s = read_i64(&request["TTL"]);
        let lease = StoredLease {
            ttl_s,
            expires_at: lease_expiry(ttl_s),
        };
        self.leases.insert(self.next_lease, lease);
        json!({"ID": self.next_lease.to_string(), "TTL": ttl_s.to_string()})
    }

    fn keep_alive(&mut self, request: &Value) -> Value {
        self.stats.writes += 1;
        let id = read_i64(&request["ID"]);
        let ttl_s = match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = lease_expiry(lease.ttl_s);
                lease.ttl_s
            }
            None => 0,
        };
        json!({"result": {"ID": id.to_string(), "TTL": ttl_s.to_string()}})
    }

    fn remove_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += 1;
        let changed: Vec<PlatformItem> = keys.iter().filter_map(|key| self.delete(key)).collect();
        self.notify_watchers(&changed);
    }
}

fn lease_expiry(ttl_s: i64) -> Instant {
    Instant::now() + Duration::from_secs(u64::try_from(ttl_s).unwrap_or(0))
}

fn watch_line<'a>(header: &Value, items: impl Iterator<Item = &'a PlatformItem>) -> Option<String> {
    let events: Vec<Value> = items
        .map(|item| {
            let kind = if item.value.is_empty() {
                "DELETE"
            } else {
                "PUT"
            };
            json!({"type": kind, "kv": EtcdItem::from(item)})
        })
        .collect();
    if events.is_empty() {
        return None;
    }
    Some(json!({"result": {"header": header, "events": events}}).to_string())
}

fn in_range(name: &str, key: &str, range_end: &str) -> bool {
    if range_end.is_empty() {
        name == key
    } else {
        name >= key && name < range_end
    }
}

/// Decodes a key, which the API encodes in base64. Returns an empty key if there is none.
fn decode_key(value: &Value) -> String {
    String::from_utf8(decode(value.as_str().unwrap_or(""))).unwrap_or_default()
}

/// Reads a number, which the API encodes as a decimal string. Returns 0 if there is none.
fn read_i64(value: &Value) -> i64 {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Reads an unsigned number, also a decimal string. Returns 0 if there is none.
fn read_u64(value: &Value) -> u64 {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
