//! The gateway: accepts callers' requests and sends them to upstreams directly, without an agent
//! beside each.
//!
//! [`state::GatewayState`] and the modules that it consists of make the decisions and do no I/O.
//! [`front`], [`forward`], [`flight`], [`relay`], [`rescue`], [`answer`], [`pool`], [`sync`],
//! [`directory`], [`placement_runner`], [`gossip`] and [`run`] carry them out. The names and formats
//! of the
//! deployment's platform are confined to [`crate::platform`].

pub mod answer;
pub mod attempt;
pub mod budget;
pub mod catalog;
pub mod chain;
pub mod directory;
pub mod event_stream;
pub mod flight;
pub mod forward;
pub mod freshness;
pub mod front;
pub mod gossip;
pub mod peer;
pub mod placement;
pub mod placement_runner;
pub mod plan;
pub mod pool;
pub mod relay;
pub mod repair;
pub mod rescue;
pub mod run;
pub mod state;
pub mod sync;
pub mod upstream;
