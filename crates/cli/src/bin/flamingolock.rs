//! The node: an entry instance that forwards callers' requests to endpoints.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use flamingolock_cli::exit::{self, CommandError};
use flamingolock_cli::logging;
use flamingolock_node::node::Node;
use flamingolock_node::settings::{self, Settings};
use log::LevelFilter;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Runs one node. Settings: defaults, then --config, then `FLAMINGOLOCK_SECTION__KEY`
/// variables, then --set.
#[derive(Debug, Parser)]
#[command(name = "flamingolock", version)]
struct Arguments {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// Sets one key, e.g. `--set node.name=entry-1`; may be repeated.
    #[arg(long, value_name = "KEY=VALUE", global = true)]
    set: Vec<String>,
    /// Minimum level of log lines.
    #[arg(long, value_name = "LEVEL", default_value = "info", global = true)]
    log: LevelFilter,
    /// Writes the log to this file instead of standard error.
    #[arg(long, value_name = "FILE", global = true)]
    log_file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Action>,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Serves until SIGTERM, then finishes the requests in progress (the default).
    Run,
    /// Checks the settings and prints their effective values.
    Check,
    /// Runs one node on the users' platform, with the platform's settings file.
    Entry {
        /// Only checks the settings file and prints the settings.
        #[arg(long)]
        check: bool,
        /// Port for metrics; by default the last port of the range for nodes.
        #[arg(long, value_name = "PORT")]
        metrics_port: Option<u16>,
    },
}

fn main() -> ExitCode {
    exit::finish(run(&Arguments::parse()))
}

fn run(arguments: &Arguments) -> Result<(), CommandError> {
    if let Some(Action::Entry {
        check,
        metrics_port,
    }) = arguments.command
    {
        return entry(arguments.log, check, metrics_port);
    }
    let settings = settings::load(
        arguments.config.as_deref(),
        std::env::vars(),
        &arguments.set,
    )
    .map_err(|error| CommandError::Usage(error.to_string()))?;
    match arguments.command {
        Some(Action::Check) => print_settings(settings),
        Some(Action::Run | Action::Entry { .. }) | None => serve(arguments, settings),
    }
}

/// Runs a node with the platform's settings.
fn entry(level: LevelFilter, check: bool, metrics_port: Option<u16>) -> Result<(), CommandError> {
    let usage_error = |error: &dyn std::fmt::Display| CommandError::Usage(error.to_string());
    let path = flamingolock_platform::settings::path();
    let mut settings =
        flamingolock_platform::settings::load(&path).map_err(|error| usage_error(&error))?;
    if let Some(port) = metrics_port {
        settings.metrics.set_port(port);
    }
    if check {
        print!(
            "{}",
            toml::to_string(&settings).map_err(|error| usage_error(&error))?
        );
        return Ok(());
    }
    flamingolock_gateway::logs::start(level).map_err(|error| usage_error(&error))?;
    let reload = move || {
        let loaded = flamingolock_platform::settings::load(&path);
        loaded.map(|_| ()).map_err(|error| error.to_string())
    };
    flamingolock_gateway::node::run(settings, &flamingolock_platform::DIALECT, reload)
        .map_err(|error| usage_error(&error))
}

fn print_settings(mut settings: Settings) -> Result<(), CommandError> {
    // Secrets must not be printed to terminals or logs.
    "(set)".clone_into(&mut settings.fleet.key);
    if !settings.operators.token.is_empty() {
        "(set)".clone_into(&mut settings.operators.token);
    }
    let text =
        toml::to_string(&settings).map_err(|error| CommandError::Usage(error.to_string()))?;
    print!("{text}");
    Ok(())
}

fn serve(arguments: &Arguments, settings: Settings) -> Result<(), CommandError> {
    logging::start(arguments.log, arguments.log_file.as_deref())?;
    // Install the handlers before printing the address: a process that waits for that
    // line may send a signal immediately.
    let signals = Signals::listen()?;
    let node = Node::start(settings).map_err(|error| CommandError::Usage(error.to_string()))?;
    println!("listening on {}", node.address());
    signals.wait();
    log::info!("shutting down");
    node.shutdown();
    Ok(())
}

/// Handlers of SIGTERM and SIGINT, installed by [`Signals::listen`].
struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> Result<Self, CommandError> {
        let failed = |error: std::io::Error| CommandError::Usage(format!("signals: {error}"));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(failed)?;
        let guard = runtime.enter();
        let terminate = signal(SignalKind::terminate()).map_err(failed)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        drop(guard);
        Ok(Self {
            runtime,
            terminate,
            interrupt,
        })
    }

    /// Blocks until one of the signals arrives.
    fn wait(mut self) {
        self.runtime.block_on(async {
            tokio::select! {
                _ = self.terminate.recv() => {}
                _ = self.interrupt.recv() => {}
            }
        });
    }
}
