//! Demo: runs a fleet under a mixed load and reports results.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crate::caller::Caller;
use crate::fleet::{Fleet, FleetError, FleetOptions};
use crate::load;
use crate::report::{Row, Summary, rows};
use crate::workload::Profile;

/// Options of a demo.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Requests per second.
    pub rate: f64,
    /// Seed of the load.
    pub seed: u64,
}

/// Results of a demo.
#[derive(Clone, Debug)]
pub struct DemoReport {
    /// Results by workspace and request kind.
    pub rows: Vec<Row>,
    /// Results over all requests.
    pub summary: Summary,
}

/// Runs a fleet under a mixed load. `progress` counts finished requests.
///
/// # Errors
///
/// Fails if the fleet cannot start.
pub fn run(options: &DemoOptions, progress: &Arc<AtomicU64>) -> Result<DemoReport, FleetError> {
    let profile = Profile::mixed(options.rate);
    let fleet = Fleet::start(FleetOptions::default())?;
    fleet.publish(&profile.manifest())?;
    let caller = Arc::new(Caller::new(fleet.entry_addresses()));
    let arrivals = profile.arrivals(options.seconds, options.seed);
    let sending = load::send(caller, arrivals, Arc::clone(progress));
    let outcomes = fleet.runtime().block_on(sending);
    let summary = Summary::new(&outcomes, &fleet.counts());
    Ok(DemoReport {
        rows: rows(&outcomes),
        summary,
    })
}
