//! `flamingoctl load`: sends load to a running fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use clap::Args;
use flamingolock_experiment::caller::Caller;
use flamingolock_experiment::load;
use flamingolock_experiment::report::{EndpointCounts, Summary, rows, table};
use flamingolock_experiment::workload::Profile;

use crate::commands::demo::ProgressReporter;
use crate::exit::CommandError;

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArguments {
    /// Address of a node's listener for callers; may be repeated.
    #[arg(long, value_name = "IP:PORT", required = true)]
    entry: Vec<SocketAddr>,
    /// Address of a service stand-in whose executions are checked; may be repeated.
    #[arg(long, value_name = "IP:PORT")]
    service: Vec<SocketAddr>,
    /// Length of the load in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Requests per second.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints one JSON object instead of the table.
    #[arg(long)]
    json: bool,
    /// Prints the manifest for this load and exits without sending it.
    #[arg(long)]
    print_manifest: bool,
}

/// Sends the load; fails when a guarantee was violated.
///
/// # Errors
///
/// When a stand-in cannot be reached or a guarantee was violated.
pub fn run(arguments: &LoadArguments) -> Result<(), CommandError> {
    let profile = Profile::mixed(arguments.rate);
    if arguments.print_manifest {
        let text = toml::to_string(&profile.manifest())
            .map_err(|error| CommandError::Usage(error.to_string()))?;
        print!("{text}");
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| CommandError::Usage(format!("threads: {error}")))?;
    let caller = Arc::new(Caller::new(arguments.entry.clone()));
    let arrivals = profile.arrivals(arguments.seconds, arguments.seed);
    let progress = Arc::new(AtomicU64::new(0));
    let bar = ProgressReporter::start(arrivals.len() as u64, Arc::clone(&progress));
    let outcomes = runtime.block_on(load::send(caller, arrivals, progress));
    drop(bar);
    let summary = Summary::new(&outcomes, &counts(arguments)?);
    if arguments.json {
        let text = serde_json::to_string(&summary)
            .map_err(|error| CommandError::Findings(error.to_string()))?;
        println!("{text}");
    } else {
        print!("{}", table(&rows(&outcomes), &summary));
    }
    if summary.guarantees_held() {
        return Ok(());
    }
    Err(CommandError::Findings(
        "a guarantee was violated; see the counts above".to_owned(),
    ))
}

fn counts(arguments: &LoadArguments) -> Result<EndpointCounts, CommandError> {
    let mut counts = EndpointCounts::default();
    for service in &arguments.service {
        let url = format!("http://{service}/standin/bodies");
        let unreachable =
            |error: ureq::Error| CommandError::Unreachable(format!("service {service}: {error}"));
        let bodies: std::collections::BTreeMap<String, u64> = ureq::get(&url)
            .call()
            .and_then(|mut answer| answer.body_mut().read_json())
            .map_err(unreachable)?;
        for (body, runs) in bodies {
            *counts.executions.entry(body).or_default() += runs;
        }
    }
    Ok(counts)
}
