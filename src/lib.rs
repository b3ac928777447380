//! lynxcart routes model pipelines and plain services over mixed accelerators.
//!
//! The logic of each process is a state machine, which takes an input and the current time and
//! returns outputs. It uses no sockets, threads or clocks, so tests can run it deterministically.
//! [`entry`] and [`agent`] contain the state machines of these processes and the drivers that
//! connect them to threads and sockets. [`gateway`] is an entry that sends requests to upstreams
//! directly. The other modules are shared.

pub mod agent;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod entry;
pub mod event;
pub mod fetch;
pub mod gateway;
pub mod member;
pub mod messaging;
pub mod metric;
pub mod platform;
pub mod process;
pub mod profile;
pub mod route;
pub mod store;
pub mod util;
pub mod verdict;
pub mod web;
pub mod wire;
