//! Decisions of the router as plain functions.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. Each
//! decision takes its state, an input, the current time and, where chance is
//! involved, a seed, and returns a value that says what to do next.

pub mod accusations;
pub mod drain;
pub mod entries;
pub mod heartbeat;
pub mod ids;
pub mod manifest;
pub mod members;
pub mod membership;
pub mod neighbours;
pub mod news;
pub mod prefix;
pub mod prelude;
pub mod rendezvous;
pub mod ring;
pub mod spread;
pub mod tail;
pub mod view;
