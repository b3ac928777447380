//! How commands speak to an entry.

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

/// A blocking client of one entry's operator routes.
pub(super) struct EntryClient {
    runtime: Runtime,
    entry: SocketAddr,
    token: String,
}

impl EntryClient {
    /// A client of the entry that the flag or the settings name.
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

    /// Makes a request of the entry and reads the JSON answer.
    pub(super) fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Value, CommandError> {
        let url = format!("http://{}{path}", self.entry);
        let (status, answer) = self
            .send(method, &url, body)
            .map_err(CommandError::Failed)?;
        let answer: Value = serde_json::from_slice(&answer).unwrap_or(Value::Null);
        match status {
            200 => Ok(answer),
            400 | 401 | 404 => Err(CommandError::Usage(refused(status, &answer))),
            _ => Err(CommandError::Failed(refused(status, &answer))),
        }
    }

    /// Gets JSON from any process's own HTTP server.
    pub(super) fn get_from(&self, address: &str, path: &str) -> eyre::Result<Value> {
        let url = format!("http://{address}{path}");
        let (status, answer) = self.send(Method::GET, &url, Vec::new())?;
        eyre::ensure!(status == 200, "{url}: status {status}");
        serde_json::from_slice(&answer).wrap_err_with(|| format!("could not read {url}"))
    }

    /// The address of the entry.
    pub(super) fn entry(&self) -> String {
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

fn refused(status: u16, answer: &Value) -> eyre::Report {
    let reason = answer["reason"].as_str().unwrap_or("no reason given");
    let detail = answer["detail"].as_str().unwrap_or("");
    eyre!("refused: {reason} (status {status}): {detail}")
}
