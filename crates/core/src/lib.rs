//! Decisions of the router as plain functions.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. Each
//! decision takes its state, an input, the current time and, where chance is
//! involved, a seed, and returns a value that says what to do next.

pub mod choice;
pub mod claims;
pub mod digest;
pub mod engine_state;
pub mod fair_queue;
pub mod fleet;
pub mod heat;
pub mod home;
pub mod home_message;
pub mod ids;
pub mod kept;
pub mod levels;
pub mod limits;
pub mod manifest;
pub mod permit;
pub mod permit_table;
pub mod placement;
pub mod prefill_rate;
pub mod prefills;
pub mod prefix;
pub mod prefix_model;
pub mod prefix_tree;
pub mod prelude;
pub mod rendezvous;
pub mod reserve;
pub mod retry_budget;
pub mod shortlist;
