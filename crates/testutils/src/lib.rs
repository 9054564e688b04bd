//! Helpers shared by integration tests: processes, fleets of them, and HTTP.

pub mod fleet;
pub mod http;
pub mod process;
pub mod wait;
