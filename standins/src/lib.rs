//! Stand-ins for the systems that lynxcart depends on, and programs that test and measure lynxcart
//! on them.
//!
//! There are two sets. For entries and agents (`fleet`), the platform, the engines and the services
//! are processes of their own, whose faults are switched over HTTP at run time. For gateways
//! (`site`), the key-value store and the replicas are tasks of the test or benchmark process.

pub mod connection;
pub mod counting_allocator;
mod cut;
pub mod direct;
pub mod engine;
pub mod fleet;
mod flood;
pub mod gateway_scaling;
pub mod kv;
pub mod load;
pub mod model;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod raw;
pub mod replica;
mod replica_state;
pub mod scaling;
pub mod server;
pub mod service;
pub mod site;
mod site_request;
pub mod soak;
mod soak_caller;
mod soak_check;
mod soak_connection;
mod soak_fault;
mod soak_limit;
mod soak_schedule;
