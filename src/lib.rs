//! lynxcart routes model pipelines and plain services over mixed accelerators.
//!
//! The logic of an entry and of an agent is a state machine, which takes an input and the current
//! time and returns outputs. It uses no sockets, threads or clocks, so tests can run it
//! deterministically. [`entry`] and [`agent`] contain these state machines and the code that
//! connects them to threads and sockets. [`gateway`] is an entry that sends requests to upstreams
//! directly; its tasks share a locked state. [`cmd`] and [`config`] contain the command line and
//! the settings; the other modules are used by several processes.

pub mod agent;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod entry;
pub mod event;
pub mod fetch;
pub mod fingerprint;
pub mod gateway;
pub mod linger;
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
