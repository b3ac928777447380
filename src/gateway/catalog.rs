//! The configuration in force: routes, services, teams and limits, and the lookup of a request's
//! route and team.

use std::collections::HashMap;

use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request may run more than once, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WorkKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request of the caller.
    NonIdempotent,
    /// Answered by a stream of events. Runs at most once unless the route is resumable.
    Streaming,
}

/// A service that a route sends requests to, and its share of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other targets of the route.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Host that requests name.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// Whether requests of the route may run more than once, and whether their answer is a stream.
    pub kind: WorkKind,
    /// Longest time from the arrival of a request to the end of its answer, milliseconds.
    pub timeout_ms: u64,
    /// Latency target for the answer, or for its first event if it is a stream, milliseconds.
    pub latency_target_ms: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Services that requests of the route are split among.
    pub targets: Vec<RouteTarget>,
    /// Upper bound of the attempts for one request. Attempts that fail before a byte is sent do not
    /// count.
    pub max_attempts: u32,
    /// Whether requests of the route need no key.
    pub anonymous: bool,
    /// Whether a stream may be resumed at another upstream.
    pub resumable: bool,
    /// Target for the longest pause between two events of a stream, milliseconds; zero if there is
    /// none.
    pub gap_target_ms: u64,
}

impl RouteRule {
    /// Whether a request of this route may be sent again after it may have run.
    pub fn retryable(&self) -> bool {
        match self.kind {
            WorkKind::Idempotent => true,
            WorkKind::NonIdempotent => false,
            WorkKind::Streaming => self.resumable,
        }
    }
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Name of the kind, as in registry entries.
    pub name: String,
    /// Memory for weights and KV cache, megabytes.
    pub memory_mb: f64,
    /// Factor on `step_ms`, `per_request_ms` and `per_context_k_ms` of [`EngineRule`]: 2 is half as
    /// fast.
    pub step_factor: f64,
    /// Factor on the time to read a prompt, which follows from `prefill_tokens_per_s` of
    /// [`EngineRule`].
    pub prefill_factor: f64,
}

/// A service's model, its kinds of accelerators, and the figures from which the costs of chains and
/// placements are computed.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory of one layer's weights, megabytes.
    pub layer_mb: f64,
    /// KV memory of one token over all layers, bytes.
    pub kv_bytes: f64,
    /// Time of a decode step over all layers without what requests and their context add to it,
    /// milliseconds.
    pub step_ms: f64,
    /// Time that each request being decoded adds to a step, milliseconds.
    pub per_request_ms: f64,
    /// Time that each thousand tokens of context add to a step, milliseconds.
    pub per_context_k_ms: f64,
    /// Prompt tokens read each second over all layers.
    pub prefill_tokens_per_s: f64,
    /// Number of decode steps that a replica runs in one pass. Decoded from the configuration; the
    /// gateway's decisions do not use it.
    pub stride: u32,
    /// Number of requests that run at once in one replica. Decoded from the configuration; the
    /// gateway's decisions do not use it.
    pub slots: u32,
    /// Time to load all layers, milliseconds.
    pub load_ms: f64,
    /// Upper bound of the loads under way at once, since each further one slows the others. `None`
    /// if the configuration sets no bound.
    pub max_concurrent_loads: Option<usize>,
    /// Mean number of tokens in a prompt.
    pub mean_prompt_tokens: u32,
    /// Mean number of tokens in an answer.
    pub mean_answer_tokens: u32,
    /// Pairs of failure domains and the one-way delay between them, milliseconds.
    pub delays: Vec<(String, String, f64)>,
    /// Bytes of activations sent from one stage to the next for each token.
    pub activation_bytes: f64,
    /// Bandwidth of the link between two failure domains, megabits each second.
    pub link_mbps: f64,
    /// The kinds of accelerators that hold its layers.
    pub kinds: Vec<AcceleratorKind>,
}

impl EngineRule {
    /// KV memory of one token in one layer, bytes.
    pub fn layer_token_bytes(&self) -> f64 {
        self.kv_bytes / f64::from(self.layers.max(1))
    }

    /// KV capacity of an accelerator of `kind` that holds `layers` layers, in tokens times layers.
    pub fn kv_capacity(&self, kind: &AcceleratorKind, layers: u32) -> f64 {
        let free_mb = kind.memory_mb - f64::from(layers) * self.layer_mb;
        (free_mb * 1e6 / self.layer_token_bytes()).max(0.0)
    }

    /// Returns the kind of accelerator called `name`, if the configuration has it.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// One-way delay between two failure domains, milliseconds; zero if the configuration has none.
    pub fn delay_ms(&self, from: &str, to: &str) -> f64 {
        let found = self
            .delays
            .iter()
            .find(|(one, other, _)| (one == from && other == to) || (one == to && other == from));
        found.map_or(0.0, |(_, _, delay)| *delay)
    }
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Number of connections that one replica accepts from all callers together. Decoded from the
    /// configuration; the gateway's decisions do not use it.
    pub max_connections: u32,
    /// Path of the health check of its replicas; empty if there is none.
    pub health_path: String,
    /// Model and accelerators. `None` for a plain service.
    pub engine: Option<EngineRule>,
}

/// A team and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// Name of the team, as sent to upstreams.
    pub name: String,
    /// Priority that replaces the route's. `None` if the route's applies.
    pub priority: Option<u8>,
    /// API keys that identify the team.
    pub keys: Vec<String>,
}

/// Limits on what callers may send and on how long their connections may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, bytes.
    pub header_bytes: usize,
    /// Largest body of a request, bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive, milliseconds. The gateway applies the
    /// larger of this and `idle_timeout_ms`: a caller that has begun a head is not closed sooner than one
    /// that is idle.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle before the next request, milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 64 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// A complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingConfig {
    /// Version number; it only increases. Zero means that no configuration is known.
    pub version: u64,
    /// Routes, in the order of the configuration.
    pub routes: Vec<RouteRule>,
    /// Services that routes can send requests to.
    pub services: Vec<ServiceRule>,
    /// All teams. `None` if the configuration has none; then no route needs a key.
    pub teams: Option<Vec<TeamRule>>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

/// Why a request has no route or team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteError {
    /// No configuration has been read yet.
    NoConfig,
    /// No route matches the host and path.
    NoRoute,
    /// The key belongs to no team.
    BadKey,
}

/// Route and team of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The route that matches the request.
    pub route: &'a RouteRule,
    /// The team that the key belongs to. `None` if the route needs no key.
    pub team: Option<&'a TeamRule>,
}

impl RouteMatch<'_> {
    /// The team's priority, or the route's if the team has none.
    pub fn priority(&self) -> u8 {
        let team = self.team.and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }
}

/// The configuration in force, indexed by host and key.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: ServingConfig,
    /// Indexes of each host's routes, those with the longest prefix first.
    routes_by_host: HashMap<String, Vec<usize>>,
    /// Index of the team that each API key belongs to.
    teams_by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Puts `config` in force unless the present version is the same or newer. Returns whether it
    /// did.
    pub fn apply(&mut self, config: ServingConfig) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes_by_host.entry(host).or_default().push(index);
        }
        for route_indexes in routes_by_host.values_mut() {
            // The first route that matches a path is then the one with the longest prefix.
            route_indexes
                .sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let teams = config.teams.iter().flatten().enumerate();
        let keys = teams.flat_map(|(index, team)| team.keys.iter().map(move |key| (key, index)));
        self.teams_by_key = keys.map(|(key, index)| (key.clone(), index)).collect();
        self.routes_by_host = routes_by_host;
        self.config = config;
        true
    }

    /// The configuration in force.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Returns the service called `name`, if the configuration has it.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.config.services.iter().find(|rule| rule.name == name)
    }

    /// Finds the route and team of a request. The longest matching prefix wins.
    ///
    /// # Errors
    ///
    /// If no configuration is known, no route matches or the key belongs to no team.
    pub fn find(&self, host: &str, path: &str, key: &str) -> Result<RouteMatch<'_>, RouteError> {
        if self.config.version == 0 {
            return Err(RouteError::NoConfig);
        }
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let route_indexes = match self.routes_by_host.get(name) {
            Some(route_indexes) => route_indexes,
            None => self
                .routes_by_host
                .get(&name.to_ascii_lowercase())
                .ok_or(RouteError::NoRoute)?,
        };
        let mut routes = route_indexes
            .iter()
            .map(|index| &self.config.routes[*index]);
        let route = routes
            .find(|route| path.starts_with(&route.prefix))
            .ok_or(RouteError::NoRoute)?;
        let team = match (&self.config.teams, route.anonymous) {
            (Some(teams), false) => {
                let index = self.teams_by_key.get(key).ok_or(RouteError::BadKey)?;
                Some(&teams[*index])
            }
            _ => None,
        };
        Ok(RouteMatch { route, team })
    }
}

/// Picks a target in proportion to the weights, by a random `draw`. Returns `None` if there are no
/// targets, and the first target if all weights are zero.
pub fn pick_target(targets: &[RouteTarget], draw: u32) -> Option<&RouteTarget> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return targets.first();
    }
    let mut remainder = u64::from(draw) % total;
    for target in targets {
        let weight = u64::from(target.weight);
        if remainder < weight {
            return Some(target);
        }
        remainder -= weight;
    }
    None
}
