//! lynxcart routes model pipelines and plain services over mixed accelerators.
//!
//! Decisions are state machines that take a message and the time and give messages back; they
//! know no socket, thread or clock. [`entry`] and [`agent`] hold those of the two processes with
//! the thin drivers round them; the rest is what both share.

pub mod agent;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod entry;
pub mod event;
pub mod fetch;
pub mod gateway;
pub mod mail;
pub mod member;
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
