//! Request routing on a shared platform.
//!
//! Callers connect to any node. A node looks up the route and the workspace of a
//! request, lets the control thread choose an endpoint, and relays the response.
//! Durable state is kept in the platform's log; nodes exchange load information
//! in UDP datagrams. The formats of the platform's API are behind [`dialect`].

pub mod attempt;
pub mod body_end;
pub mod catalog;
pub mod clock;
pub mod connection_end;
pub mod connection_limit;
pub mod connection_pool;
pub mod control;
pub mod copies;
pub mod dialect;
pub mod directory;
pub mod endpoint;
pub mod endpoint_statements;
pub mod event_stream;
pub mod exchange;
pub mod fingerprint;
pub mod forward;
pub mod gossip;
pub mod handover;
pub mod http_client;
pub mod limited_log;
pub mod link_probe;
pub mod logs;
pub mod memory_budget;
pub mod memory_plan;
pub mod metrics;
pub mod node;
pub mod node_port;
pub mod observed_stream;
pub mod orders;
pub mod packing;
pub mod payload;
pub mod peer_sync;
pub mod prelude;
pub mod receive_buffer;
pub mod relay;
pub mod request_handler;
pub mod response;
pub mod response_body;
pub mod run_guard;
pub mod run_verdict;
pub mod server;
pub mod settings;
pub mod store;
pub mod upload;
pub mod workspaces;
