//! The edge to the platform over the HTTP/JSON form of etcd's v3 API.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::fetch::{post_json, post_stream, HttpClient};
use crate::store::{
    PlatformAnswer, PlatformCall, PlatformCompare, PlatformError, PlatformFuture, PlatformItem,
    PlatformResult, PlatformStore, PlatformWrite,
};

/// Time that one call may take, milliseconds.
const CALL_MS: u64 = 1_000;

/// The platform's service at one address.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    client: HttpClient,
    address: String,
}

impl EtcdStore {
    /// A store at "ip:port".
    pub fn new(address: String) -> EtcdStore {
        EtcdStore {
            client: crate::fetch::client(),
            address,
        }
    }

    async fn exchange(&self, path: &str, body: Value) -> Result<Value, PlatformError> {
        let url = format!("http://{}{path}", self.address);
        let call = post_json(&self.client, &url, &body);
        match tokio::time::timeout(Duration::from_millis(CALL_MS), call).await {
            Ok(Ok((200, answer))) => serde_json::from_slice(&answer)
                .map_err(|error| PlatformError(format!("could not read an answer: {error}"))),
            Ok(Ok((status, _))) => Err(PlatformError(format!("status {status}"))),
            Ok(Err(error)) => Err(PlatformError(error.to_string())),
            Err(_) => Err(PlatformError(format!("no answer in {CALL_MS} ms"))),
        }
    }

    async fn make(&self, call: PlatformCall) -> PlatformResult {
        match call {
            PlatformCall::Range { key, range_end } => {
                let body = json!({"key": encode(key), "range_end": encode(range_end)});
                let answer: RangeAnswer = parse(self.exchange("/v3/kv/range", body).await?)?;
                Ok(PlatformAnswer::Range {
                    revision: number(&answer.header.revision),
                    items: answer.kvs.into_iter().map(PlatformItem::from).collect(),
                })
            }
            PlatformCall::Txn {
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
                let answer: TxnAnswer = parse(self.exchange("/v3/kv/txn", body).await?)?;
                let ranges = answer
                    .responses
                    .into_iter()
                    .filter_map(|r| r.response_range);
                Ok(PlatformAnswer::Txn {
                    succeeded: answer.succeeded,
                    revision: number(&answer.header.revision),
                    items: ranges.flat_map(|r| r.kvs).map(PlatformItem::from).collect(),
                })
            }
            PlatformCall::LeaseGrant { ttl_s } => {
                let body = json!({"TTL": ttl_s.to_string()});
                let answer: LeaseAnswer = parse(self.exchange("/v3/lease/grant", body).await?)?;
                Ok(answer.into())
            }
            PlatformCall::LeaseKeepAlive { lease } => {
                let body = json!({"ID": lease.to_string()});
                let answer: KeepAliveAnswer =
                    parse(self.exchange("/v3/lease/keepalive", body).await?)?;
                Ok(answer.result.into())
            }
            PlatformCall::LeaseRevoke { lease } => {
                let body = json!({"ID": lease.to_string()});
                self.exchange("/v3/lease/revoke", body).await?;
                Ok(PlatformAnswer::Lease { lease, ttl_s: 0 })
            }
        }
    }

    /// Watches keys from a revision on; `take` gets the revision and the changed keys of each
    /// batch. Returns when the stream ends.
    ///
    /// # Errors
    ///
    /// When the stream cannot be opened or breaks.
    pub async fn watch(
        &self,
        key: &str,
        range_end: &str,
        start_revision: u64,
        mut take: impl FnMut(u64, Vec<PlatformItem>),
    ) -> eyre::Result<()> {
        let body = json!({"create_request": {
            "key": encode(key),
            "range_end": encode(range_end),
            "start_revision": start_revision.to_string(),
        }});
        let url = format!("http://{}/v3/watch", self.address);
        let mut stream = post_stream(&self.client, &url, &body).await?;
        let mut buffer = Vec::new();
        while let Some(frame) = stream.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let answer: WatchAnswer = serde_json::from_slice(&line)?;
                let events = answer.result.events.into_iter();
                let items = events.map(|event| PlatformItem::from(event.kv)).collect();
                take(number(&answer.result.header.revision), items);
            }
        }
        Ok(())
    }
}

impl PlatformStore for EtcdStore {
    fn call(&self, call: PlatformCall) -> PlatformFuture {
        let store = self.clone();
        Box::pin(async move { store.make(call).await })
    }
}

/// Metadata of an answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EtcdHeader {
    /// Revision of the store, in decimal.
    #[serde(default)]
    pub revision: String,
}

/// One key as etcd's JSON gives it: bytes in base64, numbers in decimal.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EtcdItem {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Revision at which it was created.
    pub create_revision: String,
    /// Revision at which it was last changed.
    pub mod_revision: String,
}

impl From<EtcdItem> for PlatformItem {
    fn from(item: EtcdItem) -> PlatformItem {
        PlatformItem {
            key: String::from_utf8(decode(&item.key)).unwrap_or_default(),
            value: decode(&item.value),
            create_revision: number(&item.create_revision),
            mod_revision: number(&item.mod_revision),
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
struct RangeAnswer {
    header: EtcdHeader,
    kvs: Vec<EtcdItem>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct TxnAnswer {
    header: EtcdHeader,
    succeeded: bool,
    responses: Vec<TxnResponse>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct TxnResponse {
    response_range: Option<RangeAnswer>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LeaseAnswer {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "TTL")]
    ttl: String,
}

impl From<LeaseAnswer> for PlatformAnswer {
    fn from(answer: LeaseAnswer) -> PlatformAnswer {
        PlatformAnswer::Lease {
            lease: answer.id.parse().unwrap_or(0),
            ttl_s: answer.ttl.parse().unwrap_or(0),
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct KeepAliveAnswer {
    result: LeaseAnswer,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchAnswer {
    result: WatchResult,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchResult {
    header: EtcdHeader,
    events: Vec<WatchEvent>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchEvent {
    kv: EtcdItem,
}

fn parse<T: for<'de> Deserialize<'de>>(value: Value) -> Result<T, PlatformError> {
    serde_json::from_value(value)
        .map_err(|error| PlatformError(format!("could not read an answer: {error}")))
}

/// Bytes in base64, as etcd's JSON carries them.
pub fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64.encode(bytes)
}

/// Bytes out of base64; none if it is malformed.
pub fn decode(text: &str) -> Vec<u8> {
    BASE64.decode(text).unwrap_or_default()
}

fn number(text: &str) -> u64 {
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
