//! A client that drives the engines by hand, without lynxcart: the baseline of `bench`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use eyre::eyre;
use http::Request;
use http_body_util::{BodyExt, Full};
use lynxcart::agent::upstream::{EngineBatch, EnginePass, EngineResult, EngineResultOutput};
use lynxcart::fetch::{self, HttpClient};
use lynxcart::store::etcd::encode;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

use crate::load::LoadReport;

type Waiting = Arc<Mutex<HashMap<String, UnboundedSender<EngineResult>>>>;

/// Engines connected to, one for each stage.
pub struct DirectChain {
    client: HttpClient,
    stages: Vec<(SocketAddr, Waiting)>,
}

impl DirectChain {
    /// Connects to the result stream of each engine.
    ///
    /// # Errors
    ///
    /// When an engine does not answer.
    pub async fn connect(engines: &[SocketAddr]) -> eyre::Result<DirectChain> {
        let client = fetch::client();
        let mut stages = Vec::new();
        for address in engines {
            let url = format!("http://{address}/v1/results");
            let request = Request::get(url).body(Full::default())?;
            let mut body = client.request(request).await?.into_body();
            let waiting = Waiting::default();
            let reader = waiting.clone();
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while let Some(Ok(frame)) = body.frame().await {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    buffer.extend_from_slice(&data);
                    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                        let line: Vec<u8> = buffer.drain(..=end).collect();
                        deliver(&reader, &line);
                    }
                }
            });
            stages.push((*address, waiting));
        }
        Ok(DirectChain { client, stages })
    }

    /// Generates one answer, and times its tokens.
    ///
    /// # Errors
    ///
    /// When an engine does not answer.
    pub async fn generate(
        &self,
        name: &str,
        prompt: &str,
        tokens: u32,
        report: &mut LoadReport,
    ) -> eyre::Result<()> {
        let mut receivers = Vec::new();
        for (_, waiting) in &self.stages {
            let (sender, receiver) = unbounded_channel();
            let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
            waiting.insert(name.to_owned(), sender);
            receivers.push(receiver);
        }
        let mut input = encode(prompt);
        let mut last = Instant::now();
        for position in 0..tokens {
            let mut output = None;
            for ((address, _), receiver) in self.stages.iter().zip(&mut receivers) {
                self.pass(*address, name, position, input).await?;
                let result = receiver
                    .recv()
                    .await
                    .ok_or_else(|| eyre!("an engine ended"))?;
                let first: Option<EngineResultOutput> = result.outputs.into_iter().next();
                let first = first.ok_or_else(|| eyre!("an empty result"))?;
                input = first.activation.clone();
                output = Some(first);
            }
            let token = output.and_then(|output| output.token);
            let token = token.ok_or_else(|| eyre!("no token from the last stage"))?;
            input = encode(token.id.to_le_bytes());
            report.token(position, last.elapsed());
            last = Instant::now();
        }
        for (_, waiting) in &self.stages {
            let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
            waiting.remove(name);
        }
        Ok(())
    }

    async fn pass(
        &self,
        address: SocketAddr,
        name: &str,
        position: u32,
        input: String,
    ) -> eyre::Result<()> {
        let batch = EngineBatch {
            passes: vec![EnginePass {
                sequence: name.to_owned(),
                position,
                inputs: vec![input],
            }],
            cancel: Vec::new(),
        };
        fetch::post_json(&self.client, &format!("http://{address}/v1/passes"), &batch).await?;
        Ok(())
    }
}

fn deliver(waiting: &Waiting, line: &[u8]) {
    let Ok(result) = serde_json::from_slice::<EngineResult>(line) else {
        return;
    };
    let waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(sender) = waiting.get(&result.sequence) {
        let _ = sender.send(result);
    }
}
