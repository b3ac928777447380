//! The gateway: accepts callers' requests and sends them to upstreams directly, without an agent
//! beside each.
//!
//! [`state`], [`placement`], [`shutdown`] and the modules that these use make the decisions and do no I/O.
//! [`listener`], [`forward`], [`upstream_attempt`], [`relay`], [`reroute`], [`response`], [`pool`],
//! [`sync`], [`discovery`], [`doubt`], [`silence_check`], [`placement_runner`], [`peer_exchange`], [`permit`], [`task`] and [`run`]
//! carry them out. The names and formats of the deployment's platform are confined to
//! [`crate::platform`].

pub mod abandoned;
pub mod attempt_ledger;
pub mod average_rate;
pub mod budget;
pub mod caller_connection;
pub mod caller_ledger;
pub mod caller_record;
pub mod caller_stream;
pub mod catalog;
pub mod chain;
pub mod chain_probe;
pub mod crash_ledger;
pub mod discovery;
pub mod doubt;
pub mod event_stream;
pub mod exchange_record;
pub mod forward;
pub mod freshness;
pub mod held_plan;
pub mod lead_time;
pub mod leaving;
pub mod listener;
pub mod member_view;
pub mod notice;
pub mod own_delay;
pub mod part_ledger;
pub mod peer;
pub mod peer_exchange;
pub mod permit;
pub mod permit_table;
pub mod placement;
pub mod placement_runner;
pub mod plan;
pub mod pool;
pub mod rate_limit;
pub mod refused_body;
pub mod relay;
pub mod repair;
pub mod request_body;
pub mod reroute;
pub mod reserved_target;
pub mod response;
pub mod response_buffer;
pub mod return_schedule;
pub mod run;
pub mod shutdown;
pub mod silence;
pub mod silence_check;
pub mod state;
pub mod stream_step;
pub mod sync;
pub mod task;
pub mod upstream;
pub mod upstream_attempt;
pub mod urgent_reserve;
pub mod wait_queue;
pub mod waiting;
