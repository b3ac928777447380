//! HTTP client with which commands send requests to entries and other processes.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{eyre, WrapErr};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;
use tokio::runtime::{Builder, Runtime};

use crate::cmd::CommandError;
use crate::config;
use crate::fetch;

/// Blocking HTTP client for commands: the administration routes of one entry, and GET requests to
/// any process. All requests carry the operator's bearer token.
pub(super) struct EntryClient {
    runtime: Runtime,
    entry: SocketAddr,
    token: String,
}

impl EntryClient {
    /// Creates a client of the entry whose address is given by the flag or by LYNXCART_ENTRY.
    pub(super) fn new(flag: Option<&String>) -> Result<EntryClient, CommandError> {
        let entry = config::entry(flag).map_err(CommandError::Usage)?;
        let token = config::token().map_err(CommandError::Usage)?;
        let runtime = Builder::new_current_thread().enable_all().build();
        Ok(EntryClient {
            runtime: runtime.map_err(|error| CommandError::Failed(error.into()))?,
            entry,
            token,
        })
    }

    /// Sends a request to the entry and returns the JSON body of the response.
    pub(super) fn request_json(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Value, CommandError> {
        let url = format!("http://{}{path}", self.entry);
        let (status, body) = self
            .send(method, &url, body)
            .map_err(CommandError::Failed)?;
        let response: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        match status {
            200 => Ok(response),
            400 | 401 | 404 => Err(CommandError::Usage(refusal_error(status, &response))),
            _ => Err(CommandError::Failed(refusal_error(status, &response))),
        }
    }

    /// Sends a GET request to the HTTP server of any process and returns the JSON body of the
    /// response.
    pub(super) fn get_json(&self, address: &str, path: &str) -> eyre::Result<Value> {
        let url = format!("http://{address}{path}");
        let (status, body) = self.send(Method::GET, &url, Vec::new())?;
        eyre::ensure!(status == 200, "{url}: status {status}");
        serde_json::from_slice(&body).wrap_err_with(|| format!("could not read {url}"))
    }

    /// Returns the HTTP address of the entry, "ip:port".
    pub(super) fn entry_address(&self) -> String {
        self.entry.to_string()
    }

    fn send(&self, method: Method, url: &str, body: Vec<u8>) -> eyre::Result<(u16, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))?;
        let client = fetch::client();
        self.runtime
            .block_on(fetch::send(&client, request))
            .wrap_err_with(|| format!("could not reach {url}"))
    }
}

fn refusal_error(status: u16, response: &Value) -> eyre::Report {
    let reason = response["reason"].as_str().unwrap_or("no reason given");
    let detail = response["detail"].as_str().unwrap_or("");
    eyre!("the entry refused the request: {reason} (status {status}): {detail}")
}
