//! `flamingoctl bench`: compares routing policies under the same load.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use clap::Args;
use clap::builder::PossibleValuesParser;
use flamingolock_experiment::bench::{
    self, BenchOptions, MECHANISMS, POLICIES, Variant, mechanism_name, policy_name,
};
use flamingolock_experiment::bench_page;
use flamingolock_experiment::scenario::Scenario;
use flamingolock_node::settings::{Mechanism, Policy};

use crate::commands::demo::ProgressReporter;
use crate::exit::CommandError;

/// Arguments of `bench`.
#[derive(Debug, Args)]
pub struct BenchArguments {
    /// Scenario: the fleet, its load and its disturbance.
    #[arg(long, value_name = "NAME", value_parser = PossibleValuesParser::new(Scenario::ALL.map(Scenario::name)))]
    scenario: String,
    /// Length of the measurement of each policy in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Length of the warm-up in seconds, which is not measured.
    #[arg(long, default_value_t = 3.0)]
    warm_up: f64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Load as a fraction of the fleet's capacity.
    #[arg(long)]
    load: Option<f64>,
    /// Policy to measure; may be repeated. All when no policy or mechanism is named.
    #[arg(long, value_name = "NAME", value_parser = PossibleValuesParser::new(POLICIES.map(policy_name)))]
    policy: Vec<String>,
    /// Mechanism to disable in an additional run; may be repeated.
    #[arg(long, value_name = "MECHANISM", value_parser = PossibleValuesParser::new(MECHANISMS.map(mechanism_name)))]
    without: Vec<String>,
    /// Prints one JSON object instead of the table.
    #[arg(long)]
    json: bool,
    /// Directory to write a Markdown table and a plot to.
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
}

/// Measures the policies; fails when a guarantee was violated.
///
/// # Errors
///
/// When a fleet cannot start, a report cannot be written or a guarantee was violated.
pub fn run(arguments: &BenchArguments) -> Result<(), CommandError> {
    let scenario = Scenario::from_name(&arguments.scenario)
        .ok_or_else(|| CommandError::Usage(format!("no scenario {}", arguments.scenario)))?;
    let options = BenchOptions {
        scenario,
        seconds: arguments.seconds,
        warm_up: arguments.warm_up,
        seed: arguments.seed,
        load: arguments.load.unwrap_or(scenario.default_load()),
        variants: variants(arguments),
    };
    let progress = Arc::new(AtomicU64::new(0));
    let bar = ProgressReporter::start(0, Arc::clone(&progress));
    let report = bench::run(&options, &progress)
        .map_err(|error| CommandError::Unreachable(error.to_string()))?;
    drop(bar);
    if let Some(directory) = &arguments.report {
        bench_page::write(&report, directory)
            .map_err(|error| CommandError::Usage(error.to_string()))?;
    }
    if arguments.json {
        let text = serde_json::to_string(&report)
            .map_err(|error| CommandError::Findings(error.to_string()))?;
        println!("{text}");
    } else {
        print!("{}", bench_page::markdown(&report));
    }
    if report.guarantees_held() {
        return Ok(());
    }
    Err(CommandError::Findings(
        "a guarantee was violated; see the counts above".to_owned(),
    ))
}

fn variants(arguments: &BenchArguments) -> Vec<Variant> {
    let all = arguments.policy.is_empty() && arguments.without.is_empty();
    let policy = |policy: &Policy| {
        let named = arguments
            .policy
            .iter()
            .any(|name| name == policy_name(*policy));
        all || named
    };
    let mechanism = |mechanism: &Mechanism| {
        let named = arguments
            .without
            .iter()
            .any(|name| name == mechanism_name(*mechanism));
        all || named
    };
    let full = POLICIES.into_iter().filter(policy).map(Variant::full);
    let reduced = MECHANISMS
        .into_iter()
        .filter(mechanism)
        .map(Variant::without_mechanism);
    full.chain(reduced).collect()
}
