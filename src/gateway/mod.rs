//! The gateway: an entry that speaks to upstreams directly, without an agent beside each.
//!
//! [`state::GatewayState`] and the modules that it is made of decide; they know no socket.
//! [`front`], [`forward`], [`flight`], [`relay`], [`rescue`], [`answer`], [`pool`], [`sync`],
//! [`directory`], [`placing`], [`gossip`] and [`run`] carry out what was decided. How the
//! deployment's platform names and writes things is known to [`crate::platform`] alone.

pub mod answer;
pub mod attempt;
pub mod budget;
pub mod catalog;
pub mod chain;
pub mod directory;
pub mod duty;
pub mod event_stream;
pub mod flight;
pub mod forward;
pub mod freshness;
pub mod front;
pub mod gossip;
pub mod peer;
pub mod placing;
pub mod plan;
pub mod pool;
pub mod relay;
pub mod repair;
pub mod rescue;
pub mod run;
pub mod state;
pub mod sync;
pub mod upstream;
