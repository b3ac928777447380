//! Tests of the gateway's decisions, without a network.

mod adapter;
mod attempt_ledger;
mod budget;
mod caller_ledger;
mod catalog;
mod chain;
mod config;
mod crash_ledger;
mod event_stream;
mod fixture;
mod freshness;
mod malformed;
mod notice;
mod part_ledger;
mod peer;
mod permit_table;
mod placement;
mod plan;
mod repair;
mod return_schedule;
mod stampede;
mod state;
mod store_position;
mod task;
mod upstream;
