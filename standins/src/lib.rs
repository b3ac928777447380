//! Small stand-ins for what lynxcart meets, and the drivers that start a fleet of them.
//!
//! Each stand-in is a process of its own with faults that are switched over HTTP at run time.

pub mod direct;
pub mod engine;
pub mod fleet;
pub mod gateway_slope;
pub mod heap;
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
