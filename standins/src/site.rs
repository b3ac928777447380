//! A small site like the users': a store, two failure domains with cards for one copy of a model
//! each, two replicas of a plain service, and gateways as processes of their own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use lynxcart::fetch::{self, HttpClient};
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::kv::KvServer;
use crate::process::{free_address, start_lynxcart, FleetProcess};
use crate::replica::{ReplicaState, ReplicaTable};

/// Layers of the model.
pub const LAYERS: u64 = 8;
/// The team's key.
pub const KEY: &str = "key-of-mill";
/// Time that callers wait, milliseconds.
pub const DEADLINE_MS: u64 = 8_000;
/// Time between two heartbeats of a replica, milliseconds.
const BEAT_MS: u64 = 300;
/// Time in which a site must be ready, milliseconds.
const READY_MS: u64 = 20_000;

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// Its store.
    pub store: KvServer,
    /// Its replicas.
    pub replicas: ReplicaTable,
    /// Addresses of the model's replicas: three of domain a, then three of domain b.
    pub models: Vec<SocketAddr>,
    /// Addresses of the plain service's replicas.
    pub plain: Vec<SocketAddr>,
    /// Its gateways.
    pub gateways: Vec<SiteGateway>,
    client: HttpClient,
    version: u64,
    keys: Vec<String>,
    logs: PathBuf,
    store_address: SocketAddr,
}

/// One gateway.
#[derive(Debug)]
pub struct SiteGateway {
    /// Its process.
    pub process: FleetProcess,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// When it was started.
    pub started: Instant,
    /// Times that it was started.
    starts: u32,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct SiteCall {
    /// Identity of the attempt.
    pub id: String,
    /// The path.
    pub path: &'static str,
    /// The key.
    pub key: &'static str,
    /// Tokens of the answer, for the model.
    pub tokens: u64,
}

impl SiteCall {
    /// A request for a stream of so many events.
    pub fn stream(id: &str, tokens: u64) -> SiteCall {
        SiteCall {
            id: id.to_owned(),
            path: "/model/x",
            key: KEY,
            tokens,
        }
    }

    /// A call of the plain service that must not be repeated.
    pub fn issue(id: &str) -> SiteCall {
        SiteCall {
            id: id.to_owned(),
            path: "/issue/x",
            key: KEY,
            tokens: 0,
        }
    }

    /// A call of the plain service that may be repeated.
    pub fn lookup(id: &str) -> SiteCall {
        SiteCall {
            path: "/lookup/x",
            ..SiteCall::issue(id)
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct SiteAnswer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: String,
    /// Longest pause between two pieces of the body.
    pub longest_pause: Duration,
}

impl SiteAnswer {
    /// Ids of the events of a stream, in order.
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        lines.filter_map(|id| id.parse().ok()).collect()
    }
}

fn config(version: u64, keys: &[String]) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u64| {
        json!({
            "name": prefix, "host": "site.example", "prefix": prefix, "kind": kind,
            "timeout_ms": 10_000, "aim_ms": 500, "priority": 1, "service": service,
            "max_attempts": attempts, "anonymous": false, "resumable": kind == "streaming",
            "gap_target_ms": 250,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/model/", "streaming", "model", 2),
            route("/issue/", "non_idempotent", "plain", 2),
            route("/lookup/", "idempotent", "plain", 2),
        ],
        "services": [
            {"name": "model", "health_path": "/healthz", "max_connections": 1_000, "engine": {
                "slots": 64, "kv_bytes": 8_000_000, "stride": 4, "step_ms": 1.0, "per_seq_ms": 0.01,
                "context_per_k": 0.01, "read_per_s": 100_000.0, "models": [{"load_s": 0.4}],
                "delays": [{"from": "a", "to": "b", "delay_ms": 0.5}],
                "usual": {"prompt": 20, "answer": 20}, "layers": LAYERS, "layer_mb": 1_000.0,
                "act_bytes": 1_000, "pipe_mbps": 10_000.0,
                "kinds": [{"name": "card", "mb": 9_000.0, "pace": 1.0, "read_factor": 1.0}],
            }},
            {"name": "plain", "health_path": "/healthz", "max_connections": 100},
        ],
        "tenants": [{"name": "mill", "api_keys": keys}],
    })
}

impl Site {
    /// Starts a site with so many gateways and waits until all are ready.
    ///
    /// # Errors
    ///
    /// When something cannot be started or is not ready in time.
    pub async fn start(logs: PathBuf, gateways: usize) -> eyre::Result<Site> {
        std::fs::create_dir_all(&logs)?;
        let store = KvServer::default();
        // Bound before anybody can take its port.
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store_address = listener.local_addr()?;
        tokio::spawn(store.clone().run(listener));
        let mut site = Site {
            store,
            replicas: ReplicaTable::default(),
            models: Vec::new(),
            plain: Vec::new(),
            gateways: Vec::new(),
            client: fetch::unpooled_client(),
            version: 1,
            keys: vec![KEY.to_owned()],
            logs,
            store_address,
        };
        site.store.put("op/config", &config(1, &site.keys));
        for number in 0..6 {
            let domain = if number < 3 { "a" } else { "b" };
            let address = site.add_replica("model", domain, number).await?;
            site.models.push(address);
        }
        for number in 6..8 {
            let address = site.add_replica("plain", "a", number).await?;
            site.plain.push(address);
        }
        for number in 0..gateways {
            let addresses = [free_address()?, free_address()?, free_address()?];
            let gateway = site.start_gateway(number, addresses, 1)?;
            site.gateways.push(gateway);
        }
        for number in 0..gateways {
            site.wait_ready(number, true).await?;
        }
        Ok(site)
    }

    async fn add_replica(
        &self,
        service: &'static str,
        domain: &'static str,
        number: u64,
    ) -> eyre::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = ReplicaState {
            id: format!("i-{number}"),
            born: 1,
            ..ReplicaState::default()
        };
        self.replicas.add(address, state);
        tokio::spawn(self.replicas.clone().run(listener));
        let (store, replicas) = (self.store.clone(), self.replicas.clone());
        tokio::spawn(async move {
            for beat in 0_u64.. {
                let state = replicas.state(address);
                if !state.dead {
                    let kind = if service == "model" { "card" } else { "" };
                    let entry = json!({
                        "service": service, "address": address.to_string(), "zone": domain,
                        "version": "v1", "slots": 64, "state": "ready", "sequence": beat,
                        "born": state.born, "kind": kind,
                        "layers": {"from": state.layers.0, "to": state.layers.1, "version": 1},
                    });
                    store.put(&format!("servers/{}", state.id), &entry);
                }
                tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
            }
        });
        Ok(address)
    }

    fn start_gateway(
        &self,
        number: usize,
        addresses: [SocketAddr; 3],
        starts: u32,
    ) -> eyre::Result<SiteGateway> {
        let [front, ready, mail] = addresses;
        let name = format!("gateway-{number}");
        let args = [
            ("--name", name.clone()),
            ("--front-address", front.to_string()),
            ("--ready-address", ready.to_string()),
            ("--mail-address", mail.to_string()),
            ("--platform", self.store_address.to_string()),
            ("--failure-domain", "a".to_owned()),
            ("--drain-limit-ms", "8000".to_owned()),
        ];
        // Each start has a log of its own.
        let name = format!("{name}-{starts}");
        let process = start_lynxcart(&self.logs, &name, "gateway", front, mail, &args)?;
        ensure!(process.http == front, "the gateway has another address");
        Ok(SiteGateway {
            process,
            ready,
            started: Instant::now(),
            starts,
        })
    }

    /// Starts a gateway that was killed again, at its old addresses.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn restart_gateway(&mut self, number: usize) -> eyre::Result<()> {
        let old = &self.gateways[number];
        let addresses = [old.process.http, old.ready, old.process.mail];
        self.gateways[number] = self.start_gateway(number, addresses, old.starts + 1)?;
        Ok(())
    }

    /// Puts a newer configuration in force that holds just these keys.
    pub fn accept_keys(&mut self, keys: &[&str]) {
        self.keys = keys.iter().map(|key| (*key).to_owned()).collect();
        self.change_config();
    }

    /// Puts a newer configuration in force that says the same.
    pub fn change_config(&mut self) {
        self.version += 2;
        let newer = config(self.version, &self.keys);
        self.store.put("op/config", &newer);
    }

    /// Waits until a gateway says that it is ready, or that it is not.
    ///
    /// # Errors
    ///
    /// When it does not in time.
    pub async fn wait_ready(&self, number: usize, ready: bool) -> eyre::Result<()> {
        let url = format!("http://{}/api/readyz", self.gateways[number].ready);
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(READY_MS) {
            let asked = fetch::get(&self.client, &url).await;
            if asked.is_ok_and(|(status, _)| (status == 200) == ready) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(eyre!("gateway {number} is not ready={ready} in time"))
    }

    /// Sends a request to a gateway. The body of the answer is still to come.
    ///
    /// # Errors
    ///
    /// When no head of an answer comes.
    pub async fn open(
        &self,
        gateway: usize,
        call: &SiteCall,
    ) -> eyre::Result<http::Response<Incoming>> {
        send(&self.client, self.gateways[gateway].process.http, call).await
    }

    /// Sends a request to a gateway and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When the answer is not whole.
    pub async fn call(&self, gateway: usize, call: &SiteCall) -> eyre::Result<SiteAnswer> {
        read_answer(self.open(gateway, call).await?).await
    }

    /// How often a request ran.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.replicas.runs();
        runs.iter().filter(|run| run.request == id).count()
    }

    /// Waits until a stream runs over a chain. Returns it.
    ///
    /// # Errors
    ///
    /// When it does not in time.
    pub async fn wait_chain(&self, id: &str) -> eyre::Result<Vec<SocketAddr>> {
        for _ in 0..200 {
            let chain = self.replicas.chain(id);
            if !chain.is_empty() {
                return Ok(chain);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(eyre!("{id} does not run"))
    }
}

/// Sends a request to the gateway at an address. The body of the answer is still to come.
///
/// # Errors
///
/// When no head of an answer comes.
pub async fn send(
    client: &HttpClient,
    address: SocketAddr,
    call: &SiteCall,
) -> eyre::Result<http::Response<Incoming>> {
    let request = Request::post(format!("http://{address}{}", call.path))
        .header("host", "site.example")
        .header("x-attempt-id", &call.id)
        .header("x-api-key", call.key)
        .header("x-tenant", "forged")
        .header("x-deadline-ms", DEADLINE_MS.to_string())
        .header("x-token-count", format!("20,{}", call.tokens))
        .body(Full::from(format!("body of {}", call.id)))?;
    Ok(client.request(request).await?)
}

/// Reads the whole body of an answer.
///
/// # Errors
///
/// When it breaks off.
pub async fn read_answer(response: http::Response<Incoming>) -> eyre::Result<SiteAnswer> {
    let (answer, end) = read_part(response, usize::MAX).await;
    end?;
    Ok(answer)
}

/// Reads the body of an answer until it ends, breaks off or has so many bytes. Returns what came
/// and how it ended.
pub async fn read_part(
    response: http::Response<Incoming>,
    most: usize,
) -> (SiteAnswer, eyre::Result<()>) {
    let (head, mut incoming) = response.into_parts();
    let (mut body, mut longest_pause) = (Vec::new(), Duration::ZERO);
    let mut last = Instant::now();
    let mut end = Ok(());
    while let Some(frame) = incoming.frame().await {
        longest_pause = longest_pause.max(last.elapsed());
        last = Instant::now();
        match frame {
            Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(error) => {
                end = Err(error.into());
                break;
            }
        }
        if body.len() >= most {
            break;
        }
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    if end.is_ok() {
        end = std::str::from_utf8(&body).map(|_| ()).map_err(Into::into);
    }
    let answer = SiteAnswer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: text,
        longest_pause,
    };
    (answer, end)
}
