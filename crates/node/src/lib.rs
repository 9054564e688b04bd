//! The node: an entry proxy between callers and endpoints.
//!
//! One control thread owns all state that nodes share and runs the controllers.
//! Traffic threads run the filter chain of each request. They send events to the
//! control thread over channels and read the view that it publishes.

pub mod api;
pub mod call_task;
pub mod caller_body;
pub mod completion_request;
pub mod control;
pub mod decisions;
pub mod endpoint_client;
pub mod engine_poll;
pub mod filters;
pub mod log_client;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod publish;
pub mod relay;
pub mod scope;
pub mod server;
pub mod settings;
pub mod sse;
pub mod status;
pub mod view;
pub mod write_timeout;
