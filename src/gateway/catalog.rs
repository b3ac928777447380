//! The configuration in force: routes, services, teams and limits, and how a request finds its
//! route and its team.

use std::collections::HashMap;

use strum::{Display, EnumString, IntoStaticStr};

/// What may be done with a request once it was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WorkKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless the route allows resumption.
    Streaming,
}

/// A service that a route may send to, and its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share among the targets of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Host that callers name.
    pub host: String,
    /// Prefix of the path, from slash to slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: WorkKind,
    /// Longest time that a request is kept, milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is on time, milliseconds.
    pub aim_ms: u64,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Where its requests go.
    pub targets: Vec<RouteTarget>,
    /// Most upstreams that one attempt of the caller may be sent to.
    pub max_attempts: u32,
    /// Whether it is served without a key.
    pub anonymous: bool,
    /// Whether a stream may be resumed at another upstream.
    pub resumable: bool,
    /// Longest pause between two events that is on time, milliseconds.
    pub gap_target_ms: u64,
}

impl RouteRule {
    /// Whether a request of this route may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            WorkKind::Idempotent => true,
            WorkKind::NonIdempotent => false,
            WorkKind::Streaming => self.resumable,
        }
    }
}

/// A kind of accelerator that holds layers.
#[derive(Clone, Debug, PartialEq)]
pub struct CardKind {
    /// Name.
    pub name: String,
    /// Memory, megabytes.
    pub memory_mb: f64,
    /// Factor on the time of steps and context.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub read_factor: f64,
}

/// What is known of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Layers of the model.
    pub layers: u32,
    /// Memory of one layer's weights, megabytes.
    pub layer_mb: f64,
    /// KV memory of one token over all layers, bytes.
    pub kv_bytes: f64,
    /// Time of a step over all layers, milliseconds.
    pub step_ms: f64,
    /// Time that each writing request adds to a step, milliseconds.
    pub per_request_ms: f64,
    /// Time that each thousand tokens of context add to a step, milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read in a second over all layers.
    pub read_per_s: f64,
    /// Steps in a pass that has writers.
    pub stride: u32,
    /// Requests that run at once in one replica.
    pub slots: u32,
    /// Time to load all layers, milliseconds.
    pub load_ms: f64,
    /// Loads that may be under way at once, if it is said: more make each slower.
    pub loads_most: Option<usize>,
    /// Mean number of tokens in a prompt.
    pub usual_prompt: u32,
    /// Mean number of tokens in an answer.
    pub usual_answer: u32,
    /// One-way delay between two failure domains, milliseconds.
    pub delays: Vec<(String, String, f64)>,
    /// Bytes that a token carries from one stage to the next.
    pub activation_bytes: f64,
    /// Bandwidth between failure domains, megabits a second.
    pub pipe_mbps: f64,
    /// The kinds of accelerators.
    pub kinds: Vec<CardKind>,
}

impl EngineRule {
    /// KV memory of one token in one layer, bytes.
    pub fn layer_token_bytes(&self) -> f64 {
        self.kv_bytes / f64::from(self.layers.max(1))
    }

    /// Tokens times layers that a card of `kind` has room for beside `layers` layers.
    pub fn room(&self, kind: &CardKind, layers: u32) -> f64 {
        let free_mb = kind.memory_mb - f64::from(layers) * self.layer_mb;
        (free_mb * 1e6 / self.layer_token_bytes()).max(0.0)
    }

    /// The kind with a name.
    pub fn kind(&self, name: &str) -> Option<&CardKind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// One-way delay between two failure domains, milliseconds.
    pub fn delay_ms(&self, from: &str, to: &str) -> f64 {
        let found = self
            .delays
            .iter()
            .find(|(one, other, _)| (one == from && other == to) || (one == to && other == from));
        found.map_or(0.0, |(_, _, delay)| *delay)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: String,
    /// Connections that one replica takes from all callers together.
    pub max_connections: u32,
    /// Its engines, if it serves a model by layers.
    pub engine: Option<EngineRule>,
}

/// A team and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// Name, as upstreams are told it.
    pub name: String,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Its keys.
    pub keys: Vec<String>,
}

/// What callers may send, and for how long they may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, bytes.
    pub header_bytes: usize,
    /// Largest body of a request, bytes.
    pub body_bytes: usize,
    /// Time in which a head must have come, milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle, milliseconds.
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

/// One accepted version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingConfig {
    /// Its version; versions only grow.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<ServiceRule>,
    /// Teams; none when callers need no key.
    pub teams: Option<Vec<TeamRule>>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

/// Why a request has no route or team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteMiss {
    /// No configuration is known yet.
    NoConfig,
    /// No route has this host and path.
    NoRoute,
    /// The key belongs to no team.
    BadKey,
}

/// What the configuration says of one request.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// Its route.
    pub route: &'a RouteRule,
    /// Its team, when the route asks for one.
    pub team: Option<&'a TeamRule>,
}

impl RouteMatch<'_> {
    /// The rank that goes: the team's before the route's.
    pub fn priority(&self) -> u8 {
        let team = self.team.and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }
}

/// The newest configuration, indexed for requests.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: ServingConfig,
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
}

impl RouteTable {
    /// Puts a configuration in force unless a newer or the same one is. Returns whether it did.
    pub fn apply(&mut self, config: ServingConfig) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            // The first that fits is then the longest.
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let teams = config.teams.iter().flatten().enumerate();
        let keys = teams.flat_map(|(index, team)| team.keys.iter().map(move |key| (key, index)));
        self.keys = keys.map(|(key, index)| (key.clone(), index)).collect();
        self.hosts = hosts;
        self.config = config;
        true
    }

    /// The configuration in force.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// The service with a name.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.config.services.iter().find(|rule| rule.name == name)
    }

    /// The route and team of a request.
    ///
    /// # Errors
    ///
    /// When no route fits or the key is unknown.
    pub fn find(&self, host: &str, path: &str, key: &str) -> Result<RouteMatch<'_>, RouteMiss> {
        if self.config.version == 0 {
            return Err(RouteMiss::NoConfig);
        }
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self
                .hosts
                .get(&name.to_ascii_lowercase())
                .ok_or(RouteMiss::NoRoute)?,
        };
        let mut rules = routes.iter().map(|index| &self.config.routes[*index]);
        let route = rules
            .find(|route| path.starts_with(&route.prefix))
            .ok_or(RouteMiss::NoRoute)?;
        let team = match (&self.config.teams, route.anonymous) {
            (Some(teams), false) => {
                let index = self.keys.get(key).ok_or(RouteMiss::BadKey)?;
                Some(&teams[*index])
            }
            _ => None,
        };
        Ok(RouteMatch { route, team })
    }
}

/// The target of a route for a draw below the sum of the weights.
pub fn split_target(targets: &[RouteTarget], draw: u32) -> Option<&RouteTarget> {
    let total: u32 = targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return targets.first();
    }
    let mut rest = draw % total;
    for target in targets {
        if rest < target.weight {
            return Some(target);
        }
        rest -= target.weight;
    }
    None
}
