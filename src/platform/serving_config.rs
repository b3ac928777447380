//! Decoding of the serving configuration that operators write to the platform's store.

use eyre::WrapErr;
use serde::Deserialize;

use crate::gateway::catalog::{
    AcceleratorKind, CallerLimits, EngineRule, RouteRule, RouteTarget, ServiceRule, ServingConfig,
    TeamRule, WorkKind,
};

#[derive(Deserialize)]
struct RawConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<RawRoute>,
    #[serde(default)]
    services: Vec<RawService>,
    #[serde(default)]
    limits: RawLimits,
    tenants: Option<Vec<RawTenant>>,
}

#[derive(Deserialize)]
struct RawRoute {
    host: String,
    prefix: String,
    kind: String,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default)]
    aim_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    split: Vec<RawTarget>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default)]
    anonymous: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    gap_target_ms: f64,
}

fn default_max_attempts() -> u32 {
    1
}

#[derive(Deserialize)]
struct RawTarget {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
struct RawService {
    name: String,
    #[serde(default)]
    max_connections: u32,
    #[serde(default)]
    health_path: String,
    engine: Option<RawEngine>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawEngine {
    slots: u32,
    kv_bytes: f64,
    stride: u32,
    models: Vec<RawModel>,
    step_ms: f64,
    per_seq_ms: f64,
    context_per_k: f64,
    read_per_s: f64,
    delays: Vec<RawDelay>,
    usual: RawUsual,
    layers: u32,
    layer_mb: f64,
    act_bytes: f64,
    pipe_mbps: f64,
    kinds: Vec<RawKind>,
    loads_at_once: Option<usize>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawModel {
    load_s: f64,
}

#[derive(Deserialize)]
struct RawDelay {
    from: String,
    to: String,
    delay_ms: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawUsual {
    prompt: f64,
    answer: f64,
}

#[derive(Deserialize)]
struct RawKind {
    name: String,
    mb: f64,
    pace: f64,
    read_factor: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

#[derive(Deserialize)]
struct RawTenant {
    name: String,
    priority: Option<u8>,
    #[serde(default)]
    api_keys: Vec<String>,
}

/// Decodes a configuration from its JSON form.
///
/// # Errors
///
/// If `bytes` are not JSON of the expected form.
pub fn decode_config(bytes: &[u8]) -> eyre::Result<ServingConfig> {
    let raw: RawConfig =
        serde_json::from_slice(bytes).wrap_err("could not decode the configuration as JSON")?;
    Ok(ServingConfig {
        version: raw.version,
        routes: raw.routes.into_iter().map(RouteRule::from).collect(),
        services: raw.services.into_iter().map(ServiceRule::from).collect(),
        teams: raw
            .tenants
            .map(|teams| teams.into_iter().map(TeamRule::from).collect()),
        limits: CallerLimits::from(raw.limits),
    })
}

/// Rounds milliseconds down to a whole number. Negative values become zero.
fn whole_ms(value: f64) -> u64 {
    value.max(0.0) as u64
}

impl From<RawRoute> for RouteRule {
    fn from(raw: RawRoute) -> RouteRule {
        let kind = raw.kind.parse().unwrap_or_else(|_| {
            spdlog::warn!(
                "event=route_kind_unknown prefix={} kind={}",
                raw.prefix,
                raw.kind
            );
            // Treated as the most restrictive kind, whose requests are not retried once they may
            // have run.
            WorkKind::NonIdempotent
        });
        let single_target = raw
            .service
            .into_iter()
            .map(|service| RouteTarget { service, weight: 1 });
        let split_targets = raw.split.into_iter().map(|target| RouteTarget {
            service: target.service,
            weight: target.weight,
        });
        let targets: Vec<RouteTarget> = split_targets.collect();
        RouteRule {
            host: raw.host,
            prefix: raw.prefix,
            kind,
            timeout_ms: whole_ms(raw.timeout_ms),
            latency_target_ms: whole_ms(raw.aim_ms),
            priority: raw.priority,
            targets: if targets.is_empty() {
                single_target.collect()
            } else {
                targets
            },
            max_attempts: raw.max_attempts,
            anonymous: raw.anonymous,
            resumable: raw.resumable,
            gap_target_ms: whole_ms(raw.gap_target_ms),
        }
    }
}

impl From<RawService> for ServiceRule {
    fn from(raw: RawService) -> ServiceRule {
        let engine = raw.engine.filter(|engine| engine.layers > 0);
        ServiceRule {
            name: raw.name,
            max_connections: raw.max_connections,
            health_path: raw.health_path,
            engine: engine.map(EngineRule::from),
        }
    }
}

impl From<RawEngine> for EngineRule {
    fn from(raw: RawEngine) -> EngineRule {
        let load_s = raw
            .models
            .iter()
            .map(|model| model.load_s)
            .fold(0.0, f64::max);
        let delays = raw.delays.into_iter();
        let kinds = raw.kinds.into_iter();
        EngineRule {
            layers: raw.layers,
            layer_mb: raw.layer_mb,
            kv_bytes: raw.kv_bytes,
            step_ms: raw.step_ms,
            per_request_ms: raw.per_seq_ms,
            per_context_k_ms: raw.context_per_k,
            prefill_tokens_per_s: raw.read_per_s,
            stride: raw.stride.max(1),
            slots: raw.slots,
            load_ms: load_s * 1_000.0,
            max_concurrent_loads: raw.loads_at_once,
            mean_prompt_tokens: raw.usual.prompt as u32,
            mean_answer_tokens: raw.usual.answer as u32,
            delays: delays
                .map(|delay| (delay.from, delay.to, delay.delay_ms))
                .collect(),
            activation_bytes: raw.act_bytes,
            link_mbps: raw.pipe_mbps,
            kinds: kinds
                .map(|kind| AcceleratorKind {
                    name: kind.name,
                    memory_mb: kind.mb,
                    step_factor: kind.pace,
                    prefill_factor: kind.read_factor,
                })
                .collect(),
        }
    }
}

impl From<RawLimits> for CallerLimits {
    fn from(raw: RawLimits) -> CallerLimits {
        let default = CallerLimits::default();
        CallerLimits {
            header_bytes: raw.max_header_bytes.unwrap_or(default.header_bytes),
            body_bytes: raw.max_body_bytes.unwrap_or(default.body_bytes),
            header_timeout_ms: raw
                .header_timeout_ms
                .map_or(default.header_timeout_ms, whole_ms),
            idle_timeout_ms: raw
                .idle_timeout_ms
                .map_or(default.idle_timeout_ms, whole_ms),
        }
    }
}

impl From<RawTenant> for TeamRule {
    fn from(raw: RawTenant) -> TeamRule {
        TeamRule {
            name: raw.name,
            priority: raw.priority,
            keys: raw.api_keys,
        }
    }
}
