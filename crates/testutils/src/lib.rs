//! Helpers for integration tests: child processes, fleets of processes, and HTTP.

pub mod fleet;
pub mod http;
pub mod process;
pub mod wait;
