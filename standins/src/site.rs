//! A small site for gateway tests: a key-value store, two failure domains that each have enough
//! accelerators for one copy of a model, two replicas of a plain service, and gateways as separate
//! processes. The store and the replicas run inside the test process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use hyper::body::Incoming;
use lynxcart::fetch::{self, HttpClient};
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::kv::{KvServer, StoreCopy};
use crate::process::{free_address, start_lynxcart, FleetProcess};
use crate::proxy::TcpProxy;
use crate::replica::{ReplicaState, ReplicaTable};
pub use crate::site_request::{
    read_response, read_up_to, send, SiteRequest, SiteResponse, API_KEY, DEADLINE_MS,
    SECOND_API_KEY,
};

/// Number of layers of the model.
pub const LAYERS: u64 = 8;
/// Interval between two updates of a replica's registry entry, in milliseconds.
const HEARTBEAT_MS: u64 = 300;
/// Longest time to wait for a gateway's readiness to change, in milliseconds.
const READY_TIMEOUT_MS: u64 = 20_000;

/// A running site of a store, replicas and gateways. Dropping it kills the gateways.
#[derive(Debug)]
pub struct TestSite {
    /// Store that holds the configuration, the registry and the leases.
    pub store: KvServer,
    /// Network between the gateways and the store.
    pub store_network: TcpProxy,
    /// State of all replicas, shared with their servers.
    pub replicas: ReplicaTable,
    /// Addresses of the model's replicas: three in domain `a`, then three in domain `b`.
    pub model_addresses: Vec<SocketAddr>,
    /// Addresses of the plain service's replicas, both in domain `a`.
    pub plain_addresses: Vec<SocketAddr>,
    /// Copy of the store to which it is to go back.
    pub saved_store: Option<StoreCopy>,
    /// Gateway processes; `gateway-0` is the first.
    pub gateways: Vec<SiteGateway>,
    client: HttpClient,
    config_version: u64,
    api_keys: Vec<String>,
    /// Prefix of the route that the configuration leaves out.
    absent_route: Option<&'static str>,
    /// Limits on callers in the configuration; null for the gateways' defaults.
    limits: Value,
    log_dir: PathBuf,
    /// Environment variables of the gateways.
    settings: Vec<(&'static str, String)>,
}

/// A gateway process of a [`TestSite`].
#[derive(Debug)]
pub struct SiteGateway {
    /// The process; its HTTP address is the gateway's front address.
    pub process: FleetProcess,
    /// Address that serves `/api/readyz`.
    pub ready_address: SocketAddr,
    /// Time at which the process was started.
    pub started_at: Instant,
    /// Number of starts of this gateway so far; part of the log file's name.
    start_count: u32,
}

/// Builds a configuration document with one route of each kind.
fn config_document(
    version: u64,
    api_keys: &[String],
    absent_route: Option<&str>,
    limits: &Value,
) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, max_attempts: u64| {
        json!({
            "name": prefix, "host": "site.example", "prefix": prefix, "kind": kind,
            "timeout_ms": 10_000, "aim_ms": 500, "priority": 1, "service": service,
            "max_attempts": max_attempts, "anonymous": false, "resumable": kind == "streaming",
            "gap_target_ms": 250,
        })
    };
    let mut routes = vec![
        route("/model/", "streaming", "model", 2),
        route("/issue/", "non_idempotent", "plain", 2),
        route("/lookup/", "idempotent", "plain", 2),
    ];
    routes.retain(|route| route["prefix"].as_str() != absent_route);
    let mut document = json!({
        "version": version,
        "routes": routes,
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
        "tenants": [{"name": "mill", "api_keys": api_keys}],
    });
    if !limits.is_null() {
        document["limits"] = limits.clone();
    }
    document
}

impl TestSite {
    /// Starts a site with `gateways` gateways and waits until all of them are ready.
    ///
    /// # Errors
    ///
    /// If a process or a listener cannot be started, or a gateway is not ready in time.
    pub async fn start(log_dir: PathBuf, gateways: usize) -> eyre::Result<TestSite> {
        TestSite::start_with(log_dir, gateways, &[]).await
    }

    /// Starts a site whose gateways have the given settings, as environment variables.
    ///
    /// # Errors
    ///
    /// If a process or a listener cannot be started, or a gateway is not ready in time.
    pub async fn start_with(
        log_dir: PathBuf,
        gateways: usize,
        settings: &[(&'static str, String)],
    ) -> eyre::Result<TestSite> {
        std::fs::create_dir_all(&log_dir)?;
        let store = KvServer::default();
        // Bound here and not by the server, so that no other process can take the port.
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store_network = TcpProxy::start(listener.local_addr()?).await?;
        tokio::spawn(store.clone().run(listener));
        let mut site = TestSite {
            store,
            store_network,
            replicas: ReplicaTable::default(),
            saved_store: None,
            model_addresses: Vec::new(),
            plain_addresses: Vec::new(),
            gateways: Vec::new(),
            client: fetch::unpooled_client(),
            config_version: 1,
            api_keys: vec![API_KEY.to_owned()],
            absent_route: None,
            limits: Value::Null,
            log_dir,
            settings: settings.to_vec(),
        };
        site.store.put(
            "op/config",
            &config_document(1, &site.api_keys, None, &site.limits),
        );
        for number in 0..6 {
            let domain = if number < 3 { "a" } else { "b" };
            let address = site.add_replica("model", domain, number).await?;
            site.model_addresses.push(address);
        }
        for number in 6..8 {
            let address = site.add_replica("plain", "a", number).await?;
            site.plain_addresses.push(address);
        }
        for number in 0..gateways {
            let addresses = [free_address()?, free_address()?, free_address()?];
            let gateway = site.start_gateway(number, addresses, 1)?;
            site.gateways.push(gateway);
        }
        for number in 0..gateways {
            site.wait_until_ready(number, true).await?;
        }
        Ok(site)
    }

    /// Starts a replica and keeps its registry entry up to date while it is not dead. Returns its
    /// address.
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
            incarnation: 1,
            ..ReplicaState::default()
        };
        self.replicas.add(address, state);
        tokio::spawn(self.replicas.clone().serve(listener));
        let (store, replicas) = (self.store.clone(), self.replicas.clone());
        tokio::spawn(async move {
            for heartbeat_number in 0_u64.. {
                let state = replicas.state(address);
                if !state.dead && !state.crashed && !state.is_silent() {
                    let kind = if service == "model" { "card" } else { "" };
                    let entry = json!({
                        "service": service, "address": address.to_string(), "zone": domain,
                        "version": "v1", "slots": 64, "state": "ready", "sequence": heartbeat_number,
                        "born": state.incarnation, "kind": kind,
                        "layers": {"from": state.layers.0, "to": state.layers.1, "version": 1},
                    });
                    store.put(&format!("servers/{}", state.id), &entry);
                }
                tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            }
        });
        Ok(address)
    }

    fn start_gateway(
        &self,
        number: usize,
        addresses: [SocketAddr; 3],
        start_count: u32,
    ) -> eyre::Result<SiteGateway> {
        let [front_address, ready_address, message_address] = addresses;
        let name = format!("gateway-{number}");
        let args = [
            ("--name", name.clone()),
            ("--front-address", front_address.to_string()),
            ("--ready-address", ready_address.to_string()),
            ("--mail-address", message_address.to_string()),
            ("--platform", self.store_network.address.to_string()),
            ("--failure-domain", "a".to_owned()),
            ("--drain-limit-ms", "8000".to_owned()),
        ];
        // Each start writes a separate log file.
        let name = format!("{name}-{start_count}");
        let process = start_lynxcart(
            &self.log_dir,
            &name,
            "gateway",
            front_address,
            message_address,
            &args,
            &self.settings,
        )?;
        ensure!(
            process.http_address == front_address,
            "{name} was started with another front address than {front_address}"
        );
        Ok(SiteGateway {
            process,
            ready_address,
            started_at: Instant::now(),
            start_count,
        })
    }

    /// Restarts a killed gateway with the same addresses.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub fn restart_gateway(&mut self, number: usize) -> eyre::Result<()> {
        let previous = &self.gateways[number];
        let addresses = [
            previous.process.http_address,
            previous.ready_address,
            previous.process.message_address,
        ];
        self.gateways[number] = self.start_gateway(number, addresses, previous.start_count + 1)?;
        Ok(())
    }

    /// Kills all gateways, so that nothing is left that they knew, restarts them and waits until they
    /// are ready.
    ///
    /// # Errors
    ///
    /// If a process cannot be killed or started, or is not ready in time.
    pub async fn restart_all_gateways(&mut self) -> eyre::Result<()> {
        for gateway in &mut self.gateways {
            gateway.process.kill()?;
        }
        for number in 0..self.gateways.len() {
            self.restart_gateway(number)?;
        }
        for number in 0..self.gateways.len() {
            self.wait_until_ready(number, true).await?;
        }
        Ok(())
    }

    /// Publishes a newer configuration that accepts only these API keys.
    pub fn set_api_keys(&mut self, keys: &[&str]) {
        self.api_keys = keys.iter().map(|key| (*key).to_owned()).collect();
        self.publish_config();
    }

    /// Publishes a newer configuration that leaves out the route with a prefix, or none.
    pub fn set_absent_route(&mut self, prefix: Option<&'static str>) {
        self.absent_route = prefix;
        self.publish_config();
    }

    /// Publishes a newer configuration with these limits on callers.
    pub fn set_limits(&mut self, limits: Value) {
        self.limits = limits;
        self.publish_config();
    }

    /// Publishes the current configuration again, with its version raised by 2.
    pub fn publish_config(&mut self) {
        self.config_version += 2;
        self.rewrite_config();
    }

    /// Writes the newest configuration again, as the operator does after a restore of the store.
    pub fn rewrite_config(&self) {
        let document = config_document(
            self.config_version,
            &self.api_keys,
            self.absent_route,
            &self.limits,
        );
        self.store.put("op/config", &document);
    }

    /// Waits until a gateway reports itself ready (`ready`) or not ready (`!ready`).
    ///
    /// # Errors
    ///
    /// If the gateway does not report so in time.
    pub async fn wait_until_ready(&self, number: usize, ready: bool) -> eyre::Result<()> {
        let url = format!("http://{}/api/readyz", self.gateways[number].ready_address);
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_millis(READY_TIMEOUT_MS) {
            let response = fetch::get(&self.client, &url).await;
            if response.is_ok_and(|(status, _)| (status == 200) == ready) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(eyre!(
            "gateway {number} did not report ready={ready} at {url} within {READY_TIMEOUT_MS} ms"
        ))
    }

    /// Sends a request to a gateway. Returns the response with its body still unread.
    ///
    /// # Errors
    ///
    /// If no response head is received.
    pub async fn send(
        &self,
        gateway: usize,
        request: &SiteRequest,
    ) -> eyre::Result<http::Response<Incoming>> {
        send(
            &self.client,
            self.gateways[gateway].process.http_address,
            request,
        )
        .await
    }

    /// Sends a request to a gateway and reads the whole response.
    ///
    /// # Errors
    ///
    /// If no response head is received, or the body is cut short.
    pub async fn fetch(&self, gateway: usize, request: &SiteRequest) -> eyre::Result<SiteResponse> {
        read_response(self.send(gateway, request).await?).await
    }

    /// Returns how often replicas ran a request.
    pub fn run_count(&self, id: &str) -> usize {
        self.replicas.run_count(id)
    }

    /// Sends 20 requests to a gateway and returns how many of them reached a replica of the plain
    /// service.
    ///
    /// # Panics
    ///
    /// If one of them is not served.
    pub async fn count_arrivals(&self, gateway: usize, replica: SocketAddr) -> u32 {
        let before = self.replicas.state(replica).arrivals;
        for number in 0..20 {
            let id = format!("{gateway}-{before}-{number}");
            let answer = self.fetch(gateway, &SiteRequest::issue(&id)).await;
            assert_eq!(answer.expect("the gateway should respond").status, 200);
        }
        self.replicas.state(replica).arrivals - before
    }

    /// Waits until replicas run a stream. Returns its chain.
    ///
    /// # Errors
    ///
    /// If the stream has not started after 200 polls, 10 ms apart.
    pub async fn wait_chain(&self, id: &str) -> eyre::Result<Vec<SocketAddr>> {
        for _ in 0..200 {
            let chain = self.replicas.chain(id);
            if !chain.is_empty() {
                return Ok(chain);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(eyre!("stream {id} has not started at any replica"))
    }
}
