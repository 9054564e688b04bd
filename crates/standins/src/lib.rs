//! In-process fakes of the external systems around the router, for tests and demos.
//!
//! Each public module has a `start` function that serves one external system on
//! a socket and returns a handle. The handle injects faults and changes the
//! system's behaviour at run time; dropping it closes the socket and every
//! connection. The same controls are available over HTTP under `/standin/`, for
//! tests that run the stand-ins in separate processes.

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
