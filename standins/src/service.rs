//! Stand-in for a plain service with operations that must not run twice.
//!
//! Each run of such an operation is recorded in a ledger outside the process, so that tests can
//! count the runs over all replicas, including those that have been killed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use lynxcart::fetch::{self, HttpClient};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::server::{json_response, read_body, serve, text_response, ServerResponse};

/// Faults of a service replica. A request to `/faults` replaces all of them at run time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Delay before an operation of any kind runs, in milliseconds.
    pub delay_ms: u64,
    /// Delay between the run of an operation and the response, in milliseconds.
    pub answer_delay_ms: u64,
}

#[derive(Clone)]
struct Service {
    name: Arc<String>,
    ledger_address: Option<SocketAddr>,
    client: HttpClient,
    faults: Arc<Mutex<ServiceFaults>>,
}

/// Serves a replica of the service until the process exits.
///
/// `ledger_address` is the address of the stand-in platform, which keeps the ledger; if it is
/// `None`, runs are not recorded. Operations under `/lookup` are idempotent and never recorded.
///
/// # Errors
///
/// If the address cannot be bound or a connection cannot be accepted.
pub async fn run(
    address: SocketAddr,
    name: String,
    ledger_address: Option<SocketAddr>,
) -> eyre::Result<()> {
    let service = Service {
        name: Arc::new(name),
        ledger_address,
        client: fetch::client(),
        faults: Arc::default(),
    };
    serve(address, move |request| service.clone().handle(request)).await
}

impl Service {
    async fn handle(self, request: Request<Incoming>) -> ServerResponse {
        let path = request.uri().path().to_owned();
        let body = read_body(request).await;
        let text_body = String::from_utf8_lossy(&body).into_owned();
        if path == "/faults" {
            let faults = serde_json::from_slice(&body).unwrap_or_default();
            *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
            return text_response(200, "");
        }
        let faults = self
            .faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        let mut record_id = Value::Null;
        if !path.starts_with("/lookup") {
            let ledger_entry = json!({"service": *self.name, "path": path, "body": text_body});
            record_id = blake3::hash(text_body.as_bytes()).to_hex().as_str()[..8].into();
            if let Some(ledger_address) = self.ledger_address {
                let _ = fetch::post_json(
                    &self.client,
                    &format!("http://{ledger_address}/ledger"),
                    &ledger_entry,
                )
                .await;
            }
        }
        tokio::time::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
        json_response(
            &json!({"by": *self.name, "path": path, "record": record_id, "echo": text_body}),
        )
    }
}
