//! Starts a fleet of real processes on loopback, and speaks to it as callers do.

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

use crate::process::{free_address, start_lynxcart, start_process, FleetProcess};

/// Layers of the stand-in model.
pub const LAYERS: u32 = 12;
/// Name of the stand-in model.
pub const MODEL: &str = "cedar";
/// Profile of the model.
pub const MODEL_PROFILE: &str = "audit-assistant";
/// Profile of the service.
pub const SERVICE_PROFILE: &str = "custody";
/// Token of the team.
pub const TEAM_TOKEN: &str = "mill-7-token";
/// Token of the operator.
pub const OPERATOR_TOKEN: &str = "operator-token";
const OPERATOR: &str = "ana";
const START_MS: u64 = 15_000;
const LOOK_MS: u64 = 50;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Engines for each stage.
    pub replicas: u32,
    /// Stages that the layers are cut into.
    pub stages: u32,
    /// Replicas of the service.
    pub services: u32,
    /// Entries.
    pub entries: u32,
    /// Time of an engine's step, microseconds.
    pub step_us: u64,
    /// Sequences in an engine's step.
    pub batch: usize,
    /// Requests that an agent takes.
    pub limit: usize,
    /// Where logs go.
    pub logs: PathBuf,
}

impl FleetSetup {
    /// Six engines in three stages over three failure domains, two services and two entries.
    pub fn small(logs: PathBuf) -> FleetSetup {
        FleetSetup {
            replicas: 2,
            stages: 3,
            services: 2,
            entries: 2,
            step_us: 4_000,
            batch: 16,
            limit: 64,
            logs,
        }
    }
}

/// A running fleet. Dropping it ends every process.
#[derive(Debug)]
pub struct Fleet {
    /// The entries.
    pub entries: Vec<FleetProcess>,
    /// The agents of engines, stage by stage.
    pub agents: Vec<FleetProcess>,
    /// The engines, in the order of their agents.
    pub engines: Vec<FleetProcess>,
    /// The agents of services.
    pub service_agents: Vec<FleetProcess>,
    /// The services, in the order of their agents.
    pub services: Vec<FleetProcess>,
    /// The platform.
    pub platform: FleetProcess,
    /// A client for callers.
    pub client: HttpClient,
    setup: FleetSetup,
    mails: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts every process, accepts the profiles, and waits until both are served.
    ///
    /// # Errors
    ///
    /// When a process cannot be started or the fleet is not ready in time.
    pub async fn start(setup: FleetSetup) -> eyre::Result<Fleet> {
        std::fs::create_dir_all(&setup.logs)?;
        let address = free_address()?;
        let platform = start_process(&setup.logs, "platform", "platform", address, address, &[])?;
        let mails: Vec<SocketAddr> = (0..setup.entries)
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
            mails,
        };
        wait_for(&fleet.client, fleet.platform.http, "/stats").await?;
        fleet.put_team("mill-7", TEAM_TOKEN, 10_000).await?;
        for entry in 0..fleet.setup.entries {
            fleet.start_entry(entry)?;
        }
        for stage in 0..fleet.setup.stages {
            for replica in 0..fleet.setup.replicas {
                fleet.start_engine(stage, replica)?;
            }
        }
        for service in 0..fleet.setup.services {
            fleet.start_service(service)?;
        }
        for entry in &fleet.entries {
            wait_for(&fleet.client, entry.http, "/readyz").await?;
        }
        fleet.accept_profiles().await?;
        fleet.wait_served().await?;
        Ok(fleet)
    }

    /// Starts engines alone, stage by stage, to be driven by hand.
    ///
    /// # Errors
    ///
    /// When a process cannot be started.
    pub async fn start_engines(setup: &FleetSetup) -> eyre::Result<Vec<FleetProcess>> {
        std::fs::create_dir_all(&setup.logs)?;
        let client = fetch::client();
        let mut engines = Vec::new();
        for stage in 0..setup.stages {
            for replica in 0..setup.replicas {
                let engine = spawn_engine(setup, stage, replica)?;
                wait_for(&client, engine.http, "/v1/engine").await?;
                engines.push(engine);
            }
        }
        Ok(engines)
    }

    fn mail_list(&self) -> String {
        let mails: Vec<String> = self.mails.iter().map(ToString::to_string).collect();
        mails.join(",")
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn start_entry(&mut self, index: u32) -> eyre::Result<()> {
        let (http, mail) = (free_address()?, self.mails[index as usize]);
        let operators = format!(
            "{OPERATOR}:{},berta:{}",
            token_hash(OPERATOR_TOKEN),
            token_hash("berta-token")
        );
        let args = [
            ("--http-address", http.to_string()),
            ("--mail-address", mail.to_string()),
            ("--entries", self.mail_list()),
            ("--platform", self.platform.http.to_string()),
            ("--vm-list", self.platform.http.to_string()),
            ("--operators", operators),
        ];
        let name = format!("entry-{index}");
        let process = start_lynxcart(&self.setup.logs, &name, "entry", http, mail, &args)?;
        self.entries.push(process);
        Ok(())
    }

    /// Starts an engine and its agent.
    ///
    /// # Errors
    ///
    /// When a process cannot be started.
    pub fn start_engine(&mut self, stage: u32, replica: u32) -> eyre::Result<()> {
        let engine = spawn_engine(&self.setup, stage, replica)?;
        let address = engine.http;
        self.engines.push(engine);
        let upstream = format!("engine={address}");
        let domain = format!("domain-{}", (stage + replica) % 3);
        let agent =
            self.start_agent(&format!("agent-{stage}-{replica}"), &upstream, &domain, &[])?;
        self.agents.push(agent);
        Ok(())
    }

    /// Starts a replica of the service and its agent.
    ///
    /// # Errors
    ///
    /// When a process cannot be started.
    pub fn start_service(&mut self, index: u32) -> eyre::Result<()> {
        let address = free_address()?;
        let name = format!("service-{index}");
        let args = [
            ("--name", name.clone()),
            ("--ledger", self.platform.http.to_string()),
        ];
        let service = start_process(&self.setup.logs, "service", &name, address, address, &args)?;
        self.services.push(service);
        let upstream = format!("service={address}");
        let more = [("--service", SERVICE_PROFILE.to_owned())];
        let domain = format!("domain-{}", index % 3);
        let name = format!("service-agent-{index}");
        let agent = self.start_agent(&name, &upstream, &domain, &more)?;
        self.service_agents.push(agent);
        Ok(())
    }

    fn start_agent(
        &self,
        name: &str,
        upstream: &str,
        domain: &str,
        more: &[(&str, String)],
    ) -> eyre::Result<FleetProcess> {
        let (http, mail) = (free_address()?, free_address()?);
        let mut args = vec![
            ("--name", name.to_owned()),
            ("--upstream", upstream.to_owned()),
            ("--http-address", http.to_string()),
            ("--mail-address", mail.to_string()),
            ("--entries", self.mail_list()),
            ("--platform", self.platform.http.to_string()),
            ("--failure-domain", domain.to_owned()),
            ("--limit", self.setup.limit.to_string()),
        ];
        args.extend(more.iter().cloned());
        start_lynxcart(&self.setup.logs, name, "agent", http, mail, &args)
    }

    /// Stores a team.
    ///
    /// # Errors
    ///
    /// When the platform refuses.
    pub async fn put_team(&self, name: &str, token: &str, limit: u32) -> eyre::Result<()> {
        let record = TeamRecord {
            token_hash: token_hash(token),
            in_flight_limit: limit,
        };
        let put = json!({"request_put": {
            "key": encode(format!("{TEAM_PREFIX}{name}")),
            "value": encode(serde_json::to_vec(&record)?),
        }});
        let url = format!("http://{}/v3/kv/txn", self.platform.http);
        let (status, _) = fetch::post_json(&self.client, &url, &json!({"success": [put]})).await?;
        ensure!(status == 200, "could not store a team: status {status}");
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
            self.operate(Method::PUT, &path, OPERATOR_TOKEN, &profile)
                .await?;
            let path = format!("/admin/profiles/{name}/accept");
            self.operate(Method::POST, &path, OPERATOR_TOKEN, &Value::Null)
                .await?;
        }
        Ok(())
    }

    /// Makes an operator's request of the first entry. Returns the answer's JSON.
    ///
    /// # Errors
    ///
    /// When it is refused.
    pub async fn operate(
        &self,
        method: Method,
        path: &str,
        token: &str,
        body: &Value,
    ) -> eyre::Result<Value> {
        let url = format!("http://{}{path}", self.entries[0].http);
        let mut request = fetch::json_request(method, &url, body)?;
        let bearer = format!("Bearer {token}").parse()?;
        request.headers_mut().insert("authorization", bearer);
        let (status, answer) = fetch::send(&self.client, request).await?;
        let answer: Value = serde_json::from_slice(&answer).unwrap_or(Value::Null);
        ensure!(status == 200, "{path}: status {status}: {answer}");
        Ok(answer)
    }

    /// Waits until every entry serves the model and the service.
    async fn wait_served(&self) -> eyre::Result<()> {
        let began = Instant::now();
        for entry in 0..self.entries.len() {
            loop {
                let model = self.complete(entry, "hello", 1).await;
                let lookup = self.call(entry, "/lookup", "", "hello").await;
                let owned = self.all_partitions_owned(entry).await;
                let known = self.replicas_known(entry).await.unwrap_or(0);
                let wanted = self.agents.len() + self.service_agents.len();
                let peers = self.peers_known(entry).await;
                let served = model.is_ok() && lookup.is_ok_and(|l| l.status == 200);
                if served && owned && peers && known >= wanted {
                    break;
                }
                ensure!(
                    began.elapsed() < Duration::from_millis(START_MS),
                    "entry {entry} does not serve: {model:?}"
                );
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
        }
        Ok(())
    }

    /// The members that an entry knows.
    ///
    /// # Errors
    ///
    /// When the entry does not answer.
    pub async fn members(&self, entry: usize) -> eyre::Result<Value> {
        let url = format!("http://{}/admin/members", self.entries[entry].http);
        let request = Request::get(url)
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::default())?;
        let (_, body) = fetch::send(&self.client, request).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// The agent of the second stage with the most requests in flight.
    ///
    /// # Errors
    ///
    /// When the entry does not answer.
    pub async fn busiest_agent(&self) -> eyre::Result<&FleetProcess> {
        let members = self.members(0).await?;
        let replicas = members["replicas"].as_array().cloned().unwrap_or_default();
        let busiest = replicas
            .iter()
            .filter(|replica| {
                replica["name"]
                    .as_str()
                    .is_some_and(|n| n.starts_with("agent-1-"))
            })
            .max_by_key(|replica| replica["in_flight"].as_u64());
        let name = busiest
            .and_then(|replica| replica["name"].as_str())
            .unwrap_or("");
        let agent = self.agents.iter().find(|agent| agent.name == name);
        agent.ok_or_else(|| eyre!("no agent is busy"))
    }

    /// Whether an entry has heard of every other one.
    async fn peers_known(&self, entry: usize) -> bool {
        let url = format!("http://{}/admin/status", self.entries[entry].http);
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

    async fn replicas_known(&self, entry: usize) -> eyre::Result<usize> {
        let members = self.members(entry).await?;
        Ok(members["replicas"].as_array().map_or(0, Vec::len))
    }

    /// Whether an entry knows an owner for every partition of the service.
    pub async fn all_partitions_owned(&self, entry: usize) -> bool {
        let Ok(members) = self.members(entry).await else {
            return false;
        };
        let replicas = members["replicas"].as_array().cloned().unwrap_or_default();
        let roles = replicas
            .iter()
            .filter(|replica| replica["state"] == "serving");
        let listed: usize = roles
            .filter_map(|replica| replica["role"].as_str())
            .filter_map(|role| role.split_once('['))
            .map(|(_, list)| {
                list.split(',')
                    .filter(|p| p.trim_end_matches(']').trim() != "")
                    .count()
            })
            .sum();
        listed >= 6
    }

    /// Asks for a whole answer. Returns its text.
    ///
    /// # Errors
    ///
    /// When it is refused.
    pub async fn complete(&self, entry: usize, prompt: &str, tokens: u32) -> eyre::Result<String> {
        let body = json!({"model": MODEL_PROFILE, "prompt": prompt, "max_tokens": tokens});
        let request = self.caller_request(entry, "/v1/completions", &body)?;
        let (status, answer) = fetch::send(&self.client, request).await?;
        let answer: Value = serde_json::from_slice(&answer).unwrap_or(Value::Null);
        ensure!(status == 200, "status {status}: {answer}");
        Ok(answer["choices"][0]["text"]
            .as_str()
            .unwrap_or("")
            .to_owned())
    }

    /// Asks for a streamed answer.
    ///
    /// # Errors
    ///
    /// When the entry cannot be reached.
    pub async fn stream(
        &self,
        entry: usize,
        prompt: &str,
        tokens: u32,
    ) -> eyre::Result<Response<Incoming>> {
        let body =
            json!({"model": MODEL_PROFILE, "prompt": prompt, "max_tokens": tokens, "stream": true});
        let request = self.caller_request(entry, "/v1/completions", &body)?;
        self.client
            .request(request)
            .await
            .wrap_err("could not reach the entry")
    }

    fn caller_request(
        &self,
        entry: usize,
        path: &str,
        body: &Value,
    ) -> eyre::Result<Request<Full<Bytes>>> {
        let url = format!("http://{}{path}", self.entries[entry].http);
        let mut request = fetch::json_request(Method::POST, &url, body)?;
        let bearer = format!("Bearer {TEAM_TOKEN}").parse()?;
        request.headers_mut().insert("authorization", bearer);
        Ok(request)
    }

    /// Calls the service through an entry.
    ///
    /// # Errors
    ///
    /// When the entry cannot be reached.
    pub async fn call(
        &self,
        entry: usize,
        path: &str,
        key: &str,
        body: &str,
    ) -> eyre::Result<CallAnswer> {
        let url = format!(
            "http://{}/v1/services/{SERVICE_PROFILE}{path}",
            self.entries[entry].http
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
        Ok(CallAnswer {
            status,
            id,
            replayed,
            body,
        })
    }

    /// How many times a body was run by the service, over all replicas.
    ///
    /// # Errors
    ///
    /// When the ledger cannot be read.
    pub async fn runs(&self, body: &str) -> eyre::Result<usize> {
        let url = format!("http://{}/ledger", self.platform.http);
        let (_, ledger) = fetch::get(&self.client, &url).await?;
        let ledger: Vec<Value> = serde_json::from_slice(&ledger)?;
        Ok(ledger.iter().filter(|run| run["body"] == body).count())
    }

    /// Switches faults of a stand-in.
    ///
    /// # Errors
    ///
    /// When it cannot be reached.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Value) -> eyre::Result<()> {
        let url = format!("http://{address}/faults");
        let (status, _) = fetch::post_json(&self.client, &url, faults).await?;
        ensure!(status == 200, "could not set faults: status {status}");
        Ok(())
    }
}

/// The answer to a service call.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Identity that the entry gave the request.
    pub id: String,
    /// Whether a recorded answer was given again.
    pub replayed: bool,
    /// The body.
    pub body: Value,
}

fn spawn_engine(setup: &FleetSetup, stage: u32, replica: u32) -> eyre::Result<FleetProcess> {
    let width = LAYERS / setup.stages;
    let address = free_address()?;
    let name = format!("engine-{stage}-{replica}");
    let args = [
        ("--model", MODEL.to_owned()),
        ("--first-layer", (stage * width).to_string()),
        ("--end-layer", ((stage + 1) * width).to_string()),
        ("--layers", LAYERS.to_string()),
        ("--step-us", setup.step_us.to_string()),
        ("--batch", setup.batch.to_string()),
    ];
    start_process(&setup.logs, "engine", &name, address, address, &args)
}

async fn wait_for(client: &HttpClient, address: SocketAddr, path: &str) -> eyre::Result<()> {
    let began = Instant::now();
    let url = format!("http://{address}{path}");
    while began.elapsed() < Duration::from_millis(START_MS) {
        if let Ok((200, _)) = fetch::get(client, &url).await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    Err(eyre!("{url} does not answer"))
}
