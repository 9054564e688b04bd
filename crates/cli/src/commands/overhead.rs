//! `flamingoctl overhead`: measures the latency that nodes add to the first token.

use clap::Args;
use flamingolock_experiment::overhead::{self, OverheadOptions, OverheadReport};
use flamingolock_experiment::report::Percentiles;

use crate::commands::operators::print_json;
use crate::commands::text_table::TextTable;
use crate::exit::CommandError;

/// Arguments of `overhead`.
#[derive(Debug, Args)]
pub struct OverheadArguments {
    /// Length of the run in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Requests per second to the nodes, and as many directly to the engines.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Number of nodes.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Number of engines; with several, nodes route requests to the engine that holds
    /// the prompt, while direct ones are spread over all.
    #[arg(long, default_value_t = 1)]
    engines: usize,
    /// Fails when the nodes add more than this to the 99th percentile.
    #[arg(long, value_name = "MS")]
    bound_ms: Option<f64>,
    /// Prints one JSON object instead of the table.
    #[arg(long)]
    json: bool,
}

/// Runs the measurement and prints its report.
///
/// # Errors
///
/// When the fleet cannot start, a response is missing or incomplete, or the bound is
/// exceeded.
pub fn run(arguments: &OverheadArguments) -> Result<(), CommandError> {
    let positive = arguments.rate > 0.0 && arguments.seconds > 0.0;
    if !positive || arguments.nodes == 0 || arguments.engines == 0 {
        let message = "--seconds, --rate, --nodes and --engines must be above zero";
        return Err(CommandError::Usage(message.to_owned()));
    }
    let options = OverheadOptions {
        seconds: arguments.seconds,
        rate: arguments.rate,
        nodes: arguments.nodes,
        engines: arguments.engines,
    };
    let report =
        overhead::run(&options).map_err(|error| CommandError::Unreachable(error.to_string()))?;
    if arguments.json {
        print_json(&report)?;
    } else {
        print!("{}", table(&report));
    }
    check_report(&report, arguments.bound_ms)
}

fn check_report(report: &OverheadReport, bound_ms: Option<f64>) -> Result<(), CommandError> {
    if report.failed > 0 {
        let message = format!("{} requests had no complete response", report.failed);
        return Err(CommandError::Findings(message));
    }
    match bound_ms {
        Some(bound) if report.added_p99_ms > bound => Err(CommandError::Findings(format!(
            "the nodes add {:.2} ms to the 99th percentile, more than {bound} ms",
            report.added_p99_ms
        ))),
        _ => Ok(()),
    }
}

fn table(report: &OverheadReport) -> String {
    let mut table = TextTable::new(&["WAY", "P50 MS", "P95 MS", "P99 MS"]);
    let mut push = |way: &str, times: Percentiles| {
        table.push([
            way.to_owned(),
            format!("{:.2}", times.p50),
            format!("{:.2}", times.p95),
            format!("{:.2}", times.p99),
        ]);
    };
    push("direct", report.direct_ms);
    push("node", report.node_ms);
    format!(
        "{}{} requests each way, {} failed, {:.2} ms added to the 99th percentile\n",
        table.render(),
        report.requests,
        report.failed,
        report.added_p99_ms
    )
}
