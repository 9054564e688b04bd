//! Decisions of the router as plain functions.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. Each
//! decision takes its state, an input, the current time and, where chance is
//! involved, a seed, and returns a value that says what to do next.

pub mod answer_stream;
pub mod append;
pub mod call_coordinator;
pub mod call_forwarding;
pub mod call_key;
pub mod call_message;
pub mod call_outcome;
pub mod call_submissions;
pub mod call_table;
pub mod checkpoint;
pub mod choice;
pub mod claim_fold;
pub mod claims;
pub mod digest;
pub mod drain;
pub mod engine_state;
pub mod entries;
pub mod entry_token;
pub mod fair_queue;
pub mod fleet;
pub mod fold;
pub mod gossip_queue;
pub mod heartbeat;
pub mod heat;
pub mod home;
pub mod home_message;
pub mod ids;
pub mod lease;
pub mod lease_holder;
pub mod levels;
pub mod limits;
pub mod log_sync;
pub mod manifest;
pub mod manifest_check;
pub mod manifest_fault;
pub mod manifest_index;
pub mod members;
pub mod membership;
pub mod neighbours;
pub mod permit;
pub mod permit_table;
pub mod placement;
pub mod prefill_rate;
pub mod prefills;
pub mod prefix;
pub mod prefix_model;
pub mod prefix_store;
pub mod prefix_tree;
pub mod prelude;
pub mod raised_suspicions;
pub mod record;
pub mod rendezvous;
pub mod reserve;
pub mod retry_budget;
pub mod ring;
pub mod shortlist;
pub mod stream_position;
pub mod tail;
pub mod view;
