//! Small stand-ins of the systems around the router, for tests and demos.
//!
//! Each module offers `start`, which serves one outside system on a socket and
//! returns a handle. The handle changes the system's behaviour at run time, and
//! dropping it closes the socket and every connection. The same changes are
//! reachable over HTTP below `/standin/`, for tests with separate processes.

pub mod answer;
mod batch;
mod cache;
pub mod engine;
mod engine_http;
pub mod error;
mod http;
mod log_stream;
mod memory;
pub mod oracle;
pub mod platform;
pub mod proxy;
mod server;
pub mod service;

pub use error::StandinError;
