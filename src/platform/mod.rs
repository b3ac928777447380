//! Adapter to the platform that the gateways are deployed on: its names, formats and requests. It
//! makes no routing decisions. Data from the platform is decoded here, once, into the types of
//! [`crate::gateway`] and [`crate::store`].

pub mod headers;
pub mod kv;
pub mod notice;
pub mod order;
pub mod registry;
pub mod serving_config;

/// Path of the readiness probe by which the platform checks whether a VM accepts connections.
pub const READY_PATH: &str = "/api/readyz";
/// Store key of the serving configuration, written by the operators.
pub const CONFIG_KEY: &str = "op/config";
/// Prefix of the store keys under which upstreams register themselves.
pub const REGISTRY_PREFIX: &str = "servers/";
/// Store key that is written under the placement lease. Its value names the gateway that holds the
/// lease.
pub const PLACEMENT_LEASE_KEY: &str = "lynxcart/duty/placing";
/// Prefix of the store keys under which gateways register to find each other.
pub const GATEWAY_PREFIX: &str = "lynxcart/gateways/";
/// Prefix of the store keys of notices, which outlast the gateways that wrote them.
pub const NOTICE_PREFIX: &str = "lynxcart/notices/";
/// Store key of the placement plan, written by the lease holder.
pub const PLAN_KEY: &str = "lynxcart/plan";
