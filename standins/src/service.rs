//! A plain service with calls that must not be repeated.
//!
//! Every run of such a call is written to a ledger that outlives the process, so that tests can
//! count runs over all replicas, the dead ones included.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use lynxcart::fetch::{self, HttpClient};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::server::{json as answer_json, read_body, serve, text, ServerResponse};

/// Faults switched at run time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Delay before a call runs, milliseconds.
    pub delay_ms: u64,
    /// Delay after a call has run and before it is answered, milliseconds.
    pub answer_delay_ms: u64,
}

#[derive(Clone)]
struct Service {
    name: Arc<String>,
    ledger: Option<SocketAddr>,
    client: HttpClient,
    faults: Arc<Mutex<ServiceFaults>>,
}

/// Runs a service until the process ends; runs are written to the platform's ledger.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn run(
    address: SocketAddr,
    name: String,
    ledger: Option<SocketAddr>,
) -> eyre::Result<()> {
    let service = Service {
        name: Arc::new(name),
        ledger,
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
            return text(200, "");
        }
        let faults = self
            .faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        let mut number = Value::Null;
        if !path.starts_with("/lookup") {
            let run = json!({"service": *self.name, "path": path, "body": text_body});
            number = blake3::hash(text_body.as_bytes()).to_hex().as_str()[..8].into();
            if let Some(ledger) = self.ledger {
                let _ =
                    fetch::post_json(&self.client, &format!("http://{ledger}/ledger"), &run).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
        answer_json(&json!({"by": *self.name, "path": path, "record": number, "echo": text_body}))
    }
}
