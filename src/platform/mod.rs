//! The adapter to the deployment's platform: its names, formats and calls, and nothing that
//! decides. What comes from the platform is decoded here once, into the product's own types.

pub mod headers;
pub mod kv;
pub mod manifest;
pub mod order;
pub mod registry;

/// Path at which the platform asks whether a VM takes connections.
pub const READY_PATH: &str = "/api/readyz";
/// Key under which the operators' configuration lies.
pub const CONFIG_KEY: &str = "op/config";
/// Prefix of the keys under which upstreams register themselves.
pub const REGISTRY_PREFIX: &str = "servers/";
/// Key of the placing duty; ours.
pub const DUTY_KEY: &str = "lynxcart/duty/placing";
/// Prefix of the keys under which gateways find each other; ours.
pub const GATEWAY_PREFIX: &str = "lynxcart/gateways/";
/// Key of the kept plan; ours.
pub const PLAN_KEY: &str = "lynxcart/plan";
