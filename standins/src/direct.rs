//! A client that sends passes directly to the engines, without lynxcart: the baseline of `bench`.

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

/// For each sequence, the channel on which its [`DirectChain::generate`] call receives results.
type ResultSenders = Arc<Mutex<HashMap<String, UnboundedSender<EngineResult>>>>;

/// Connections to the engines of a chain. Each stage has one engine.
pub struct DirectChain {
    client: HttpClient,
    stages: Vec<(SocketAddr, ResultSenders)>,
}

impl DirectChain {
    /// Connects to the result stream of each engine, in the order of the stages.
    ///
    /// # Errors
    ///
    /// If an engine cannot be reached.
    pub async fn connect(engines: &[SocketAddr]) -> eyre::Result<DirectChain> {
        let client = fetch::client();
        let mut stages = Vec::new();
        for address in engines {
            let url = format!("http://{address}/v1/results");
            let request = Request::get(url).body(Full::default())?;
            let mut body = client.request(request).await?.into_body();
            let result_senders = ResultSenders::default();
            let reader_senders = result_senders.clone();
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while let Some(Ok(frame)) = body.frame().await {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    buffer.extend_from_slice(&data);
                    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                        let line: Vec<u8> = buffer.drain(..=end).collect();
                        dispatch_result(&reader_senders, &line);
                    }
                }
            });
            stages.push((*address, result_senders));
        }
        Ok(DirectChain { client, stages })
    }

    /// Generates `tokens` tokens for a prompt and records each in `report`. `sequence` identifies
    /// the generation at the engines and must be unique.
    ///
    /// # Errors
    ///
    /// If an engine cannot be reached, its result stream ends or a result is incomplete.
    pub async fn generate(
        &self,
        sequence: &str,
        prompt: &str,
        tokens: u32,
        report: &mut LoadReport,
    ) -> eyre::Result<()> {
        let mut receivers = Vec::new();
        for (_, result_senders) in &self.stages {
            let (sender, receiver) = unbounded_channel();
            let mut result_senders = result_senders
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            result_senders.insert(sequence.to_owned(), sender);
            receivers.push(receiver);
        }
        let mut input = encode(prompt);
        let mut last_token = Instant::now();
        for position in 0..tokens {
            let mut output = None;
            for ((address, _), receiver) in self.stages.iter().zip(&mut receivers) {
                self.send_pass(*address, sequence, position, input).await?;
                let result = receiver
                    .recv()
                    .await
                    .ok_or_else(|| eyre!("engine {address}: no more results for {sequence}"))?;
                let engine_output: Option<EngineResultOutput> = result.outputs.into_iter().next();
                let engine_output = engine_output
                    .ok_or_else(|| eyre!("engine {address}: result of {sequence} has no output"))?;
                input = engine_output.activation.clone();
                output = Some(engine_output);
            }
            let token = output.and_then(|output| output.token);
            let token =
                token.ok_or_else(|| eyre!("no token from the last stage for {sequence}"))?;
            input = encode(token.id.to_le_bytes());
            report.record_token(position, last_token.elapsed());
            last_token = Instant::now();
        }
        for (_, result_senders) in &self.stages {
            let mut result_senders = result_senders
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            result_senders.remove(sequence);
        }
        Ok(())
    }

    async fn send_pass(
        &self,
        address: SocketAddr,
        sequence: &str,
        position: u32,
        input: String,
    ) -> eyre::Result<()> {
        let batch = EngineBatch {
            passes: vec![EnginePass {
                sequence: sequence.to_owned(),
                position,
                inputs: vec![input],
            }],
            cancel: Vec::new(),
        };
        fetch::post_json(&self.client, &format!("http://{address}/v1/passes"), &batch).await?;
        Ok(())
    }
}

/// Passes a line of an engine's result stream to the generation that waits for it. Lines that are
/// not results, and results for unknown sequences, are ignored.
fn dispatch_result(result_senders: &ResultSenders, line: &[u8]) {
    let Ok(result) = serde_json::from_slice::<EngineResult>(line) else {
        return;
    };
    let result_senders = result_senders
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if let Some(sender) = result_senders.get(&result.sequence) {
        let _ = sender.send(result);
    }
}
