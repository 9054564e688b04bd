//! Load generator, demo, benchmark scenarios and overhead measurement.

pub mod bench;
pub mod bench_page;
pub mod caller;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod outcome;
pub mod overhead;
pub mod replay;
pub mod report;
pub mod scenario;
pub mod workload;
