//! Command-line tool for operators and for experiments.

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use flamingolock_cli::commands::{
    bench, demo, engines, explain, load, manifest, nodes, overhead, standin,
};
use flamingolock_cli::exit::{self, CommandError};
use flamingolock_cli::logging;
use log::LevelFilter;

/// Publishes manifests, shows the state of a fleet, and runs experiments.
#[derive(Debug, Parser)]
#[command(name = "flamingoctl", version)]
struct Arguments {
    /// Minimum level of log lines.
    #[arg(long, value_name = "LEVEL", default_value = "warn", global = true)]
    log: LevelFilter,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a whole fleet in one process under a mixed load.
    Demo(demo::DemoArguments),
    /// Compares routing policies under the same load.
    Bench(bench::BenchArguments),
    /// Sends load to a running fleet.
    Load(load::LoadArguments),
    /// Checks, publishes and shows manifests.
    #[command(subcommand)]
    Manifest(manifest::ManifestCommand),
    /// Measures the latency that nodes add to the first token.
    Overhead(overhead::OverheadArguments),
    /// Shows the state of nodes.
    Nodes(nodes::NodesArguments),
    /// Shows the engines as the nodes see them.
    Engines(engines::EnginesArguments),
    /// Shows the routing decisions for one request.
    Explain(explain::ExplainArguments),
    /// Runs a stand-in for an external system.
    #[command(subcommand)]
    Standin(standin::StandinCommand),
    /// Prints a completion script for a shell.
    Completions {
        /// Target shell.
        shell: Shell,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let logging = logging::start(arguments.log, None);
    exit::finish(logging.and_then(|()| run(arguments.command)))
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Bench(arguments) => bench::run(&arguments),
        Command::Load(arguments) => load::run(&arguments),
        Command::Manifest(command) => manifest::run(command),
        Command::Overhead(arguments) => overhead::run(&arguments),
        Command::Nodes(arguments) => nodes::run(&arguments),
        Command::Engines(arguments) => engines::run(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Standin(command) => standin::run(command),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "flamingoctl", &mut std::io::stdout());
            Ok(())
        }
    }
}
