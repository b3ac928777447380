//! Starts a fleet of processes on loopback and sends requests to it as callers and operators do.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{ensure, eyre, WrapErr};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use lynxcart::fetch::{self, HttpClient};
use lynxcart::profile::{token_hash, TeamRecord, TEAM_PREFIX};
use lynxcart::store::etcd::encode;
use serde_json::{json, Value};

use crate::process::{free_address, start_lynxcart, start_stand_in, FleetProcess};

/// Number of layers of the stand-in model.
pub const LAYERS: u32 = 12;
/// Name of the stand-in model.
pub const MODEL: &str = "cedar";
/// Name of the profile that serves the model.
pub const MODEL_PROFILE: &str = "audit-assistant";
/// Name of the profile that serves the plain service, and of the service itself.
pub const SERVICE_PROFILE: &str = "custody";
/// Bearer token of the team `mill-7`, which callers use.
pub const TEAM_TOKEN: &str = "mill-7-token";
/// Bearer token of the operator `ana`.
pub const OPERATOR_TOKEN: &str = "operator-token";
const OPERATOR_NAME: &str = "ana";
const START_TIMEOUT_MS: u64 = 15_000;
const POLL_INTERVAL_MS: u64 = 50;

/// Size and timing of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Number of engines in each stage.
    pub replicas: u32,
    /// Number of stages among which the layers are divided; must divide [`LAYERS`].
    pub stages: u32,
    /// Number of replicas of the plain service.
    pub services: u32,
    /// Number of entries.
    pub entries: u32,
    /// Duration of an engine's step, in microseconds.
    pub step_us: u64,
    /// Maximum number of sequences in an engine's step.
    pub max_batch: usize,
    /// Maximum number of requests that an agent has in flight; it refuses more.
    pub in_flight_limit: usize,
    /// Directory of the log files, one for each process; created if it does not exist.
    pub log_dir: PathBuf,
}

impl FleetSetup {
    /// Returns a setup of six engines in three stages over three failure domains, two replicas of
    /// the service and two entries.
    pub fn small(log_dir: PathBuf) -> FleetSetup {
        FleetSetup {
            replicas: 2,
            stages: 3,
            services: 2,
            entries: 2,
            step_us: 4_000,
            max_batch: 16,
            in_flight_limit: 64,
            log_dir,
        }
    }
}

/// A running fleet. Dropping it kills every process.
#[derive(Debug)]
pub struct Fleet {
    /// Entries, in the order of their start.
    pub entries: Vec<FleetProcess>,
    /// Agents of the engines, ordered by stage.
    pub agents: Vec<FleetProcess>,
    /// Engines, in the order of their agents.
    pub engines: Vec<FleetProcess>,
    /// Agents of the service replicas.
    pub service_agents: Vec<FleetProcess>,
    /// Service replicas, in the order of their agents.
    pub services: Vec<FleetProcess>,
    /// Stand-in of the platform.
    pub platform: FleetProcess,
    /// HTTP client for requests to the fleet.
    pub client: HttpClient,
    setup: FleetSetup,
    message_addresses: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts every process, accepts both profiles and waits until every entry serves them.
    ///
    /// # Errors
    ///
    /// If a process cannot be started or the fleet is not ready in time.
    pub async fn start(setup: FleetSetup) -> eyre::Result<Fleet> {
        std::fs::create_dir_all(&setup.log_dir)?;
        let address = free_address()?;
        let platform = start_stand_in(
            &setup.log_dir,
            "platform",
            "platform",
            address,
            address,
            &[],
        )?;
        let message_addresses: Vec<SocketAddr> = (0..setup.entries)
            .map(|_| free_address())
            .collect::<eyre::Result<_>>()?;
        let mut fleet = Fleet {
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            service_agents: Vec::new(),
            services: Vec::new(),
            platform,
            client: fetch::client(),
            setup,
            message_addresses,
        };
        wait_until_ready(&fleet.client, fleet.platform.http_address, "/stats").await?;
        fleet.put_team("mill-7", TEAM_TOKEN, 10_000).await?;
        for index in 0..fleet.setup.entries {
            fleet.start_entry(index)?;
        }
        for stage in 0..fleet.setup.stages {
            for replica in 0..fleet.setup.replicas {
                fleet.start_engine(stage, replica)?;
            }
        }
        for index in 0..fleet.setup.services {
            fleet.start_service(index)?;
        }
        for entry in &fleet.entries {
            wait_until_ready(&fleet.client, entry.http_address, "/readyz").await?;
        }
        fleet.accept_profiles().await?;
        fleet.wait_until_served().await?;
        Ok(fleet)
    }

    /// Starts only the engines, ordered by stage, for a client that sends them passes itself.
    ///
    /// # Errors
    ///
    /// If a process cannot be started or is not ready in time.
    pub async fn start_engines(setup: &FleetSetup) -> eyre::Result<Vec<FleetProcess>> {
        std::fs::create_dir_all(&setup.log_dir)?;
        let client = fetch::client();
        let mut engines = Vec::new();
        for stage in 0..setup.stages {
            for replica in 0..setup.replicas {
                let engine = spawn_engine(setup, stage, replica)?;
                wait_until_ready(&client, engine.http_address, "/v1/engine").await?;
                engines.push(engine);
            }
        }
        Ok(engines)
    }

    fn entries_arg(&self) -> String {
        let addresses: Vec<String> = self
            .message_addresses
            .iter()
            .map(ToString::to_string)
            .collect();
        addresses.join(",")
    }

    /// Starts the entry with this index.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub fn start_entry(&mut self, index: u32) -> eyre::Result<()> {
        let (http_address, message_address) =
            (free_address()?, self.message_addresses[index as usize]);
        let operators = format!(
            "{OPERATOR_NAME}:{},berta:{}",
            token_hash(OPERATOR_TOKEN),
            token_hash("berta-token")
        );
        let args = [
            ("--http-address", http_address.to_string()),
            ("--mail-address", message_address.to_string()),
            ("--entries", self.entries_arg()),
            ("--platform", self.platform.http_address.to_string()),
            ("--vm-list", self.platform.http_address.to_string()),
            ("--operators", operators),
        ];
        let name = format!("entry-{index}");
        let process = start_lynxcart(
            &self.setup.log_dir,
            &name,
            "entry",
            http_address,
            message_address,
            &args,
            &[],
        )?;
        self.entries.push(process);
        Ok(())
    }

    /// Starts an engine for a stage, and its agent.
    ///
    /// # Errors
    ///
    /// If a process cannot be started.
    pub fn start_engine(&mut self, stage: u32, replica: u32) -> eyre::Result<()> {
        let engine = spawn_engine(&self.setup, stage, replica)?;
        let address = engine.http_address;
        self.engines.push(engine);
        let upstream = format!("engine={address}");
        let domain = format!("domain-{}", (stage + replica) % 3);
        let agent =
            self.start_agent(&format!("agent-{stage}-{replica}"), &upstream, &domain, &[])?;
        self.agents.push(agent);
        Ok(())
    }

    /// Starts a replica of the plain service, and its agent.
    ///
    /// # Errors
    ///
    /// If a process cannot be started.
    pub fn start_service(&mut self, index: u32) -> eyre::Result<()> {
        let address = free_address()?;
        let name = format!("service-{index}");
        let args = [
            ("--name", name.clone()),
            ("--ledger", self.platform.http_address.to_string()),
        ];
        let service = start_stand_in(
            &self.setup.log_dir,
            "service",
            &name,
            address,
            address,
            &args,
        )?;
        self.services.push(service);
        let upstream = format!("service={address}");
        let extra_args = [("--service", SERVICE_PROFILE.to_owned())];
        let domain = format!("domain-{}", index % 3);
        let name = format!("service-agent-{index}");
        let agent = self.start_agent(&name, &upstream, &domain, &extra_args)?;
        self.service_agents.push(agent);
        Ok(())
    }

    fn start_agent(
        &self,
        name: &str,
        upstream: &str,
        domain: &str,
        extra_args: &[(&str, String)],
    ) -> eyre::Result<FleetProcess> {
        let (http_address, message_address) = (free_address()?, free_address()?);
        let mut args = vec![
            ("--name", name.to_owned()),
            ("--upstream", upstream.to_owned()),
            ("--http-address", http_address.to_string()),
            ("--mail-address", message_address.to_string()),
            ("--entries", self.entries_arg()),
            ("--platform", self.platform.http_address.to_string()),
            ("--failure-domain", domain.to_owned()),
            ("--limit", self.setup.in_flight_limit.to_string()),
        ];
        args.extend(extra_args.iter().cloned());
        start_lynxcart(
            &self.setup.log_dir,
            name,
            "agent",
            http_address,
            message_address,
            &args,
            &[],
        )
    }

    /// Stores a team with its token and its limit of requests in flight.
    ///
    /// # Errors
    ///
    /// If the platform cannot be reached or refuses the write.
    pub async fn put_team(
        &self,
        name: &str,
        token: &str,
        in_flight_limit: u32,
    ) -> eyre::Result<()> {
        let record = TeamRecord {
            token_hash: token_hash(token),
            in_flight_limit,
        };
        let request = json!({"request_put": {
            "key": encode(format!("{TEAM_PREFIX}{name}")),
            "value": encode(serde_json::to_vec(&record)?),
        }});
        let url = format!("http://{}/v3/kv/txn", self.platform.http_address);
        let (status, _) =
            fetch::post_json(&self.client, &url, &json!({"success": [request]})).await?;
        ensure!(
            status == 200,
            "could not store team {name:?}: status {status}, expected 200"
        );
        Ok(())
    }

    async fn accept_profiles(&self) -> eyre::Result<()> {
        let model = json!({"name": MODEL_PROFILE, "target": {
            "kind": "model", "model": MODEL, "layers": LAYERS, "max_tokens": 512,
        }});
        let service = json!({"name": SERVICE_PROFILE, "target": {
            "kind": "service", "service": SERVICE_PROFILE, "idempotent_paths": ["/lookup"],
        }});
        for profile in [model, service] {
            let name = profile["name"].as_str().unwrap_or("").to_owned();
            let path = format!("/admin/drafts/{name}");
            self.send_admin_request(Method::PUT, &path, OPERATOR_TOKEN, &profile)
                .await?;
            let path = format!("/admin/profiles/{name}/accept");
            self.send_admin_request(Method::POST, &path, OPERATOR_TOKEN, &Value::Null)
                .await?;
        }
        Ok(())
    }

    /// Sends an operator's request to the first entry. Returns the JSON of the response.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or refuses the request.
    pub async fn send_admin_request(
        &self,
        method: Method,
        path: &str,
        token: &str,
        body: &Value,
    ) -> eyre::Result<Value> {
        let url = format!("http://{}{path}", self.entries[0].http_address);
        let mut request = fetch::json_request(method, &url, body)?;
        let bearer = format!("Bearer {token}").parse()?;
        request.headers_mut().insert("authorization", bearer);
        let (status, response) = fetch::send(&self.client, request).await?;
        let response: Value = serde_json::from_slice(&response).unwrap_or(Value::Null);
        ensure!(status == 200, "{path}: status {status}: {response}");
        Ok(response)
    }

    /// Waits until every entry serves both profiles and knows all peers, replicas and partition
    /// owners.
    async fn wait_until_served(&self) -> eyre::Result<()> {
        let started_at = Instant::now();
        for entry_index in 0..self.entries.len() {
            loop {
                let model = self.complete(entry_index, "hello", 1).await;
                let lookup = self
                    .send_operation(entry_index, "/lookup", "", "hello")
                    .await;
                let partitions = self.all_partitions_owned(entry_index).await;
                let replicas = self.known_replica_count(entry_index).await.unwrap_or(0);
                let expected = self.agents.len() + self.service_agents.len();
                let peers = self.knows_all_peers(entry_index).await;
                let served = model.is_ok() && lookup.is_ok_and(|response| response.status == 200);
                if served && partitions && peers && replicas >= expected {
                    break;
                }
                ensure!(
                    started_at.elapsed() < Duration::from_millis(START_TIMEOUT_MS),
                    "entry {entry_index} not ready after {START_TIMEOUT_MS} ms; completion: {model:?}"
                );
                tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
        }
        Ok(())
    }

    /// Reads the members that an entry knows, as JSON.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or its response is not JSON.
    pub async fn members(&self, entry_index: usize) -> eyre::Result<Value> {
        let url = format!(
            "http://{}/admin/members",
            self.entries[entry_index].http_address
        );
        let request = Request::get(url)
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::default())?;
        let (_, body) = fetch::send(&self.client, request).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns the agent of the second stage with the most requests in flight according to the
    /// first entry.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or lists no agent of that stage.
    pub async fn busiest_second_stage_agent(&self) -> eyre::Result<&FleetProcess> {
        let members = self.members(0).await?;
        let replicas = members["replicas"].as_array().cloned().unwrap_or_default();
        let busiest = replicas
            .iter()
            .filter(|replica| {
                replica["name"]
                    .as_str()
                    .is_some_and(|name| name.starts_with("agent-1-"))
            })
            .max_by_key(|replica| replica["in_flight"].as_u64());
        let name = busiest
            .and_then(|replica| replica["name"].as_str())
            .unwrap_or("");
        let agent = self.agents.iter().find(|agent| agent.name == name);
        agent.ok_or_else(|| eyre!("entry 0 lists no agent of the second stage"))
    }

    /// Whether an entry lists every other entry among its peers.
    async fn knows_all_peers(&self, entry_index: usize) -> bool {
        let url = format!(
            "http://{}/admin/status",
            self.entries[entry_index].http_address
        );
        let request = Request::get(url)
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::default());
        let Ok(request) = request else { return false };
        let Ok((_, body)) = fetch::send(&self.client, request).await else {
            return false;
        };
        let status: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let peers = status["peers"].as_object().map_or(0, serde_json::Map::len);
        peers + 1 >= self.entries.len()
    }

    async fn known_replica_count(&self, entry_index: usize) -> eyre::Result<usize> {
        let members = self.members(entry_index).await?;
        Ok(members["replicas"].as_array().map_or(0, Vec::len))
    }

    /// Whether an entry knows owners for all partitions of the service. Agents divide a service
    /// into six partitions by default.
    pub async fn all_partitions_owned(&self, entry_index: usize) -> bool {
        let Ok(members) = self.members(entry_index).await else {
            return false;
        };
        let replicas = members["replicas"].as_array().cloned().unwrap_or_default();
        let serving = replicas
            .iter()
            .filter(|replica| replica["state"] == "serving");
        let owned: usize = serving
            .filter_map(|replica| replica["role"].as_str())
            .filter_map(|role| role.split_once('['))
            .map(|(_, list)| {
                list.split(',')
                    .filter(|partition| partition.trim_end_matches(']').trim() != "")
                    .count()
            })
            .sum();
        owned >= 6
    }

    /// Requests a completion in one response. Returns its text.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or refuses the request.
    pub async fn complete(
        &self,
        entry_index: usize,
        prompt: &str,
        tokens: u32,
    ) -> eyre::Result<String> {
        let body = json!({"model": MODEL_PROFILE, "prompt": prompt, "max_tokens": tokens});
        let request = self.team_request(entry_index, "/v1/completions", &body)?;
        let (status, response) = fetch::send(&self.client, request).await?;
        let response: Value = serde_json::from_slice(&response).unwrap_or(Value::Null);
        ensure!(status == 200, "status {status}: {response}");
        Ok(response["choices"][0]["text"]
            .as_str()
            .unwrap_or("")
            .to_owned())
    }

    /// Requests a streamed completion.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached.
    pub async fn stream_completion(
        &self,
        entry_index: usize,
        prompt: &str,
        tokens: u32,
    ) -> eyre::Result<Response<Incoming>> {
        let body =
            json!({"model": MODEL_PROFILE, "prompt": prompt, "max_tokens": tokens, "stream": true});
        let request = self.team_request(entry_index, "/v1/completions", &body)?;
        self.client
            .request(request)
            .await
            .wrap_err("could not request a stream from the entry")
    }

    fn team_request(
        &self,
        entry_index: usize,
        path: &str,
        body: &Value,
    ) -> eyre::Result<Request<Full<Bytes>>> {
        let url = format!("http://{}{path}", self.entries[entry_index].http_address);
        let mut request = fetch::json_request(Method::POST, &url, body)?;
        let bearer = format!("Bearer {TEAM_TOKEN}").parse()?;
        request.headers_mut().insert("authorization", bearer);
        Ok(request)
    }

    /// Sends an operation to the service through an entry.
    ///
    /// An empty `key` sends no idempotency key.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or its response cannot be read.
    pub async fn send_operation(
        &self,
        entry_index: usize,
        path: &str,
        key: &str,
        body: &str,
    ) -> eyre::Result<OperationResponse> {
        let url = format!(
            "http://{}/v1/services/{SERVICE_PROFILE}{path}",
            self.entries[entry_index].http_address
        );
        let mut request = Request::post(url)
            .header("authorization", format!("Bearer {TEAM_TOKEN}"))
            .header("content-type", "text/plain")
            .header("x-deadline-ms", "5000");
        if !key.is_empty() {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
        let response = self.client.request(request).await?;
        let header = |name: &str| {
            let value = response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (id, replayed) = (
            header("x-request-id"),
            header("idempotent-replayed") == "true",
        );
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Ok(OperationResponse {
            status,
            id,
            replayed,
            body,
        })
    }

    /// Returns how often operations with this body ran, over all replicas of the service.
    ///
    /// # Errors
    ///
    /// If the ledger cannot be read.
    pub async fn run_count(&self, body: &str) -> eyre::Result<usize> {
        let url = format!("http://{}/ledger", self.platform.http_address);
        let (_, ledger) = fetch::get(&self.client, &url).await?;
        let ledger: Vec<Value> = serde_json::from_slice(&ledger)?;
        Ok(ledger.iter().filter(|run| run["body"] == body).count())
    }

    /// Replaces the active faults of a stand-in.
    ///
    /// # Errors
    ///
    /// If the stand-in cannot be reached or refuses the request.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Value) -> eyre::Result<()> {
        let url = format!("http://{address}/faults");
        let (status, _) = fetch::post_json(&self.client, &url, faults).await?;
        ensure!(
            status == 200,
            "could not set the faults of {address}: status {status}, expected 200"
        );
        Ok(())
    }
}

/// Response to an operation.
#[derive(Clone, Debug)]
pub struct OperationResponse {
    /// HTTP status code.
    pub status: u16,
    /// Request id that the entry assigned.
    pub id: String,
    /// Whether the response is a recorded one, returned without running the operation again.
    pub replayed: bool,
    /// JSON of the response body; null if the body is not JSON.
    pub body: Value,
}

fn spawn_engine(setup: &FleetSetup, stage: u32, replica: u32) -> eyre::Result<FleetProcess> {
    let layers_per_stage = LAYERS / setup.stages;
    let address = free_address()?;
    let name = format!("engine-{stage}-{replica}");
    let args = [
        ("--model", MODEL.to_owned()),
        ("--first-layer", (stage * layers_per_stage).to_string()),
        ("--end-layer", ((stage + 1) * layers_per_stage).to_string()),
        ("--layers", LAYERS.to_string()),
        ("--step-us", setup.step_us.to_string()),
        ("--batch", setup.max_batch.to_string()),
    ];
    start_stand_in(&setup.log_dir, "engine", &name, address, address, &args)
}

async fn wait_until_ready(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> eyre::Result<()> {
    let started_at = Instant::now();
    let url = format!("http://{address}{path}");
    while started_at.elapsed() < Duration::from_millis(START_TIMEOUT_MS) {
        if let Ok((200, _)) = fetch::get(client, &url).await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    Err(eyre!(
        "{url} did not answer with status 200 within {START_TIMEOUT_MS} ms"
    ))
}
