//! Client of an etcd-compatible key-value store over the HTTP/JSON form of etcd's v3 API.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::fetch::{post_json, post_stream, HttpClient, LineReader};
use crate::store::{
    PlatformCompare, PlatformError, PlatformFuture, PlatformItem, PlatformRequest,
    PlatformResponse, PlatformResult, PlatformStore, PlatformWrite,
};

/// Timeout of one request, milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1_000;

/// Client of an etcd-compatible store at one address.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    client: HttpClient,
    address: String,
}

impl EtcdStore {
    /// Creates a client of the store at `address`, as "ip:port".
    pub fn new(address: String) -> EtcdStore {
        EtcdStore {
            client: crate::fetch::client(),
            address,
        }
    }

    /// Posts a JSON body and decodes the JSON body of the response.
    async fn post(&self, path: &str, body: Value) -> Result<Value, PlatformError> {
        let url = format!("http://{}{path}", self.address);
        let response = post_json(&self.client, &url, &body);
        match tokio::time::timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), response).await {
            Ok(Ok((200, response))) => serde_json::from_slice(&response)
                .map_err(|error| PlatformError(format!("could not decode JSON of {url}: {error}"))),
            Ok(Ok((status, _))) => Err(PlatformError(format!(
                "unexpected status {status} from {url}, expected 200"
            ))),
            Ok(Err(error)) => Err(PlatformError(error.to_string())),
            Err(_) => Err(PlatformError(format!(
                "no response from {url} within {REQUEST_TIMEOUT_MS} ms"
            ))),
        }
    }

    async fn execute(&self, request: PlatformRequest) -> PlatformResult {
        match request {
            PlatformRequest::Range { key, range_end } => {
                let body = json!({"key": encode(key), "range_end": encode(range_end)});
                let response: RangeResponse =
                    decode_response(self.post("/v3/kv/range", body).await?)?;
                Ok(PlatformResponse::Range {
                    revision: parse_number(&response.header.revision),
                    items: response.kvs.into_iter().map(PlatformItem::from).collect(),
                })
            }
            PlatformRequest::Txn {
                compares,
                writes,
                reads,
            } => {
                let body = json!({
                    "compare": compares.iter().map(compare_json).collect::<Vec<_>>(),
                    "success": writes.iter().map(write_json).collect::<Vec<_>>(),
                    "failure": reads
                        .iter()
                        .map(|key| json!({"request_range": {"key": encode(key)}}))
                        .collect::<Vec<_>>(),
                });
                let response: TxnResponse = decode_response(self.post("/v3/kv/txn", body).await?)?;
                let ranges = response
                    .responses
                    .into_iter()
                    .filter_map(|operation| operation.response_range);
                Ok(PlatformResponse::Txn {
                    succeeded: response.succeeded,
                    revision: parse_number(&response.header.revision),
                    items: ranges
                        .flat_map(|range| range.kvs)
                        .map(PlatformItem::from)
                        .collect(),
                })
            }
            PlatformRequest::LeaseGrant { ttl_s } => {
                let body = json!({"TTL": ttl_s.to_string()});
                let response: LeaseResponse =
                    decode_response(self.post("/v3/lease/grant", body).await?)?;
                Ok(response.into())
            }
            PlatformRequest::LeaseKeepAlive { lease } => {
                let body = json!({"ID": lease.to_string()});
                let message: KeepAliveMessage =
                    decode_response(self.post("/v3/lease/keepalive", body).await?)?;
                Ok(message.result.into())
            }
            PlatformRequest::LeaseRevoke { lease } => {
                let body = json!({"ID": lease.to_string()});
                self.post("/v3/lease/revoke", body).await?;
                Ok(PlatformResponse::Lease { lease, ttl_s: 0 })
            }
        }
    }

    /// Watches the keys from `key` up to `range_end`, exclusive, for changes from `start_revision`
    /// on. Calls `on_batch` with the store revision and the changed items of each message. Returns
    /// when the stream ends.
    ///
    /// # Errors
    ///
    /// If the stream cannot be opened or breaks, or an event cannot be decoded.
    pub async fn watch(
        &self,
        key: &str,
        range_end: &str,
        start_revision: u64,
        mut on_batch: impl FnMut(u64, Vec<PlatformItem>),
    ) -> eyre::Result<()> {
        let body = json!({"create_request": {
            "key": encode(key),
            "range_end": encode(range_end),
            "start_revision": start_revision.to_string(),
        }});
        let url = format!("http://{}/v3/watch", self.address);
        let mut lines = LineReader::new(post_stream(&self.client, &url, &body).await?);
        while let Some(line) = lines.next_line().await? {
            let message: WatchMessage = serde_json::from_slice(&line)?;
            let events = message.result.events.into_iter();
            let items = events.map(|event| PlatformItem::from(event.kv)).collect();
            on_batch(parse_number(&message.result.header.revision), items);
        }
        Ok(())
    }
}

impl PlatformStore for EtcdStore {
    fn send(&self, request: PlatformRequest) -> PlatformFuture {
        let store = self.clone();
        Box::pin(async move { store.execute(request).await })
    }
}

/// The part that all responses of etcd have in common.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EtcdHeader {
    /// Store revision, as a decimal string.
    #[serde(default)]
    pub revision: String,
}

/// A key-value pair in etcd's JSON form: bytes in base64, numbers as decimal strings.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EtcdItem {
    /// The key, in base64.
    pub key: String,
    /// The stored value, in base64.
    pub value: String,
    /// Store revision at which the key was created, as a decimal string.
    pub create_revision: String,
    /// Store revision at which the key was last written, as a decimal string.
    pub mod_revision: String,
}

impl From<EtcdItem> for PlatformItem {
    fn from(item: EtcdItem) -> PlatformItem {
        PlatformItem {
            key: String::from_utf8(decode(&item.key)).unwrap_or_default(),
            value: decode(&item.value),
            create_revision: parse_number(&item.create_revision),
            mod_revision: parse_number(&item.mod_revision),
        }
    }
}

impl From<&PlatformItem> for EtcdItem {
    fn from(item: &PlatformItem) -> EtcdItem {
        EtcdItem {
            key: encode(&item.key),
            value: encode(&item.value),
            create_revision: item.create_revision.to_string(),
            mod_revision: item.mod_revision.to_string(),
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RangeResponse {
    header: EtcdHeader,
    kvs: Vec<EtcdItem>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct TxnResponse {
    header: EtcdHeader,
    succeeded: bool,
    responses: Vec<ResponseOp>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ResponseOp {
    response_range: Option<RangeResponse>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LeaseResponse {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "TTL")]
    ttl: String,
}

impl From<LeaseResponse> for PlatformResponse {
    fn from(response: LeaseResponse) -> PlatformResponse {
        PlatformResponse::Lease {
            lease: response.id.parse().unwrap_or(0),
            ttl_s: response.ttl.parse().unwrap_or(0),
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct KeepAliveMessage {
    result: LeaseResponse,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchMessage {
    result: WatchResponse,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchResponse {
    header: EtcdHeader,
    events: Vec<WatchEvent>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchEvent {
    kv: EtcdItem,
}

fn decode_response<T: for<'de> Deserialize<'de>>(value: Value) -> Result<T, PlatformError> {
    serde_json::from_value(value)
        .map_err(|error| PlatformError(format!("could not decode the response: {error}")))
}

/// Encodes bytes in base64, the form of keys and values in etcd's JSON.
pub fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64.encode(bytes)
}

/// Decodes base64. Returns no bytes if the text is malformed.
pub fn decode(text: &str) -> Vec<u8> {
    BASE64.decode(text).unwrap_or_default()
}

/// Parses a decimal number. Returns zero if the text is malformed or empty.
fn parse_number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

fn compare_json(compare: &PlatformCompare) -> Value {
    match compare {
        PlatformCompare::ModRevision(key, revision) => json!({
            "key": encode(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        PlatformCompare::CreateRevision(key, revision) => json!({
            "key": encode(key), "target": "CREATE", "result": "EQUAL",
            "create_revision": revision.to_string(),
        }),
        PlatformCompare::Value(key, value) => json!({
            "key": encode(key), "target": "VALUE", "result": "EQUAL",
            "value": encode(value),
        }),
    }
}

fn write_json(write: &PlatformWrite) -> Value {
    match write {
        PlatformWrite::Put { key, value, lease } => json!({"request_put": {
            "key": encode(key), "value": encode(value), "lease": lease.to_string(),
        }}),
        PlatformWrite::Delete { key, range_end } => json!({"request_delete_range": {
            "key": encode(key), "range_end": encode(range_end),
        }}),
    }
}
