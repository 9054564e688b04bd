//! Decisions of the router as plain functions.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. Each
//! decision takes its state, an input, the current time and, where chance is
//! involved, a seed, and returns a value that says what to do next.

pub mod append;
pub mod call_attempts;
pub mod call_desk;
pub mod call_elsewhere;
pub mod call_key;
pub mod call_message;
pub mod call_outcome;
pub mod call_table;
pub mod checkpoint;
pub mod claim_fold;
pub mod entry_token;
pub mod fold;
pub mod ids;
pub mod lease;
pub mod lease_holder;
pub mod manifest;
pub mod manifest_check;
pub mod manifest_fault;
pub mod manifest_index;
pub mod prefix;
pub mod prelude;
pub mod record;
pub mod rendezvous;
