//! Small stand-ins of the systems around the router, for tests and demos.
//!
//! Each module offers `start`, which serves one outside system on a socket and
//! returns a handle. The handle changes the system's behaviour at run time, and
//! dropping it closes the socket and every connection. The same changes are
//! reachable over HTTP below `/standin/`, for tests with separate processes.

pub mod answer;
mod batch;
mod cache;
mod client;
mod clock;
pub mod engine;
mod engine_cache;
mod engine_http;
mod engine_sse;
mod engine_state;
pub mod error;
mod events;
mod faults;
mod http;
mod instances;
mod log_service;
mod log_stream;
pub mod oracle;
mod orders;
mod outage;
pub mod platform;
mod platform_http;
pub mod proxy;
mod proxy_control;
mod rate_limit;
mod server;
pub mod service;
mod status;
mod stores;
mod transfer;

pub use error::StandinError;
