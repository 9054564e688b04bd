//! Load generator, demo and benchmark scenarios.

pub mod caller;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod outcome;
pub mod overhead;
pub mod report;
pub mod workload;
