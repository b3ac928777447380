//! Stand-ins for the systems that lynxcart depends on, and drivers for tests and benchmarks.
//!
//! The platform, the engines and the services of a fleet are separate processes whose faults are
//! switched over HTTP at run time. The store and the replicas behind the gateways run as tasks
//! inside the driver.

pub mod counting_allocator;
pub mod direct;
pub mod engine;
pub mod fleet;
pub mod gateway_slope;
pub mod kv;
pub mod load;
pub mod model;
pub mod platform;
pub mod process;
pub mod replica;
pub mod server;
pub mod service;
pub mod site;
pub mod slope;
pub mod soak;
