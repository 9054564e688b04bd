//! `flamingoctl standin`: runs stand-ins for external systems as processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand};
use flamingolock_standins::{engine, platform, proxy, service};
use serde::de::DeserializeOwned;
use tokio::runtime::Runtime;

use crate::exit::CommandError;

/// Which stand-in to run.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// The platform: log service, instance list, weight store and KV cache store.
    Platform(StandinArguments),
    /// A model engine.
    Engine(StandinArguments),
    /// A plain service.
    Service(StandinArguments),
    /// A fault-injecting TCP proxy.
    Proxy(ProxyArguments),
}

/// Arguments of most stand-ins.
#[derive(Debug, Args)]
pub struct StandinArguments {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// TOML file with the stand-in's options.
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
    /// Sets one option, e.g. `--set slots=4`; may be repeated.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
}

/// Arguments of the proxy.
#[derive(Debug, Args)]
pub struct ProxyArguments {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address to forward connections to.
    #[arg(long)]
    target: SocketAddr,
}

/// Runs a stand-in until the process is killed.
///
/// # Errors
///
/// When the options are invalid or the port is in use.
pub fn run(command: StandinCommand) -> Result<(), CommandError> {
    let runtime =
        Runtime::new().map_err(|error| CommandError::Usage(format!("threads: {error}")))?;
    match command {
        StandinCommand::Platform(arguments) => {
            let starting = platform::start(options(&arguments)?, arguments.listen);
            let handle = runtime.block_on(starting).map_err(start_error)?;
            serve(&runtime, handle.addr());
        }
        StandinCommand::Engine(arguments) => {
            let starting = engine::start(options(&arguments)?, arguments.listen);
            let handle = runtime.block_on(starting).map_err(start_error)?;
            serve(&runtime, handle.addr());
        }
        StandinCommand::Service(arguments) => {
            let starting = service::start(options(&arguments)?, arguments.listen);
            let handle = runtime.block_on(starting).map_err(start_error)?;
            serve(&runtime, handle.addr());
        }
        StandinCommand::Proxy(arguments) => {
            let starting = proxy::start(arguments.listen, arguments.target);
            let handle = runtime.block_on(starting).map_err(start_error)?;
            serve(&runtime, handle.addr());
        }
    }
    Ok(())
}

fn serve(runtime: &Runtime, address: SocketAddr) {
    println!("listening on {address}");
    runtime.block_on(std::future::pending::<()>());
}

fn start_error(error: impl std::fmt::Display) -> CommandError {
    CommandError::Usage(error.to_string())
}

/// Reads the options from the file and from `--set`.
fn options<T: DeserializeOwned>(arguments: &StandinArguments) -> Result<T, CommandError> {
    let mut text = match &arguments.options {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|error| CommandError::Usage(format!("{}: {error}", path.display())))?,
        None => String::new(),
    };
    for set in &arguments.set {
        let Some((key, value)) = set.split_once('=') else {
            return Err(CommandError::Usage(format!(
                "--set {set}: expected KEY=VALUE"
            )));
        };
        let needs_quotes = toml::from_str::<toml::Table>(&format!("{key} = {value}")).is_err();
        let line = if needs_quotes {
            format!("{key} = \"{value}\"\n")
        } else {
            format!("{key} = {value}\n")
        };
        text = format!("{line}{text}");
    }
    toml::from_str(&text).map_err(|error| {
        let origin = arguments
            .options
            .as_ref()
            .map_or_else(|| "--set".to_owned(), |path| path.display().to_string());
        CommandError::Usage(format!("{origin}: {error}"))
    })
}
