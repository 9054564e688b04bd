//! `flamingoctl manifest`: checks, publishes and shows manifests.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use flamingolock_core::fold::{Applied, Conflict};
use flamingolock_core::manifest::Manifest;
use flamingolock_core::manifest_check::{check_manifest, read_manifest};
use flamingolock_core::manifest_fault::Problem;
use flamingolock_core::record::RecordId;
use flamingolock_node::log_client::LogClient;
use flamingolock_node::publish::{self, PublishError, Published};
use serde_json::json;

use crate::exit::CommandError;

/// Subcommands of `manifest`.
#[derive(Debug, Subcommand)]
pub enum ManifestCommand {
    /// Checks a manifest file and lists every problem in it.
    Check(CheckArguments),
    /// Publishes a manifest file, which replaces the current manifest.
    Publish(PublishArguments),
    /// Shows the outcome of a published change.
    Status(StatusArguments),
    /// Prints the current manifest.
    Show(ShowArguments),
}

/// Arguments of `manifest check`.
#[derive(Debug, Args)]
pub struct CheckArguments {
    /// Manifest in TOML.
    file: PathBuf,
}

/// Arguments of the commands that use the platform.
#[derive(Debug, Args)]
pub struct PlatformArguments {
    /// Base URL of the platform.
    #[arg(long, value_name = "URL", env = "FLAMINGOLOCK_PLATFORM__URL")]
    platform: String,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// Arguments of `manifest publish`.
#[derive(Debug, Args)]
pub struct PublishArguments {
    /// Manifest in TOML.
    file: PathBuf,
    #[command(flatten)]
    platform: PlatformArguments,
    /// Name under which the change is recorded.
    #[arg(long, env = "USER", default_value = "operator")]
    author: String,
    /// Timeout for the log, in seconds.
    #[arg(long, default_value_t = 30)]
    patience: u64,
}

/// Arguments of `manifest status`.
#[derive(Debug, Args)]
pub struct StatusArguments {
    /// Id of the change.
    id: String,
    #[command(flatten)]
    platform: PlatformArguments,
}

/// Arguments of `manifest show`.
#[derive(Debug, Args)]
pub struct ShowArguments {
    #[command(flatten)]
    platform: PlatformArguments,
}

/// Runs one of the commands.
///
/// # Errors
///
/// Names the file, key and remedy, or the problem with the platform.
pub fn run(command: ManifestCommand) -> Result<(), CommandError> {
    match command {
        ManifestCommand::Check(arguments) => check(&arguments.file),
        ManifestCommand::Publish(arguments) => publish(&arguments),
        ManifestCommand::Status(arguments) => status(&arguments),
        ManifestCommand::Show(arguments) => show(&arguments.platform),
    }
}

/// Reads and checks a manifest file.
///
/// # Errors
///
/// Lists every problem with file, key and remedy.
pub fn read(file: &Path) -> Result<Manifest, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::Usage(format!("{}: {error}", file.display())))?;
    let value: serde_json::Value = toml::from_str(&text)
        .map_err(|error| CommandError::Usage(format!("{}: {error}", file.display())))?;
    let manifest = read_manifest(&value).map_err(|problems| file_error(file, &problems))?;
    check_manifest(&manifest).map_err(|problems| file_error(file, &problems))?;
    Ok(manifest)
}

fn file_error(file: &Path, problems: &[Problem]) -> CommandError {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}: {problem}", file.display()))
        .collect();
    CommandError::Usage(lines.join("\n"))
}

fn check(file: &Path) -> Result<(), CommandError> {
    let manifest = read(file)?;
    println!(
        "{}: no problems; {} workspaces, {} kinds, {} models, {} services",
        file.display(),
        manifest.workspaces.len(),
        manifest.kinds.len(),
        manifest.models.len(),
        manifest.services.len(),
    );
    Ok(())
}

fn publish(arguments: &PublishArguments) -> Result<(), CommandError> {
    let manifest = read(&arguments.file)?;
    let client = LogClient::new(&arguments.platform.platform);
    let timeout = Duration::from_secs(arguments.patience);
    let published = publish::publish(&client, &manifest, &arguments.author, timeout)
        .map_err(|error| publish_error(&arguments.file, error))?;
    match published {
        Published::Unchanged if arguments.platform.json => {
            println!("{}", json!({ "accepted": true, "entries": 0 }));
        }
        Published::Unchanged => println!("nothing to change: this is the current manifest"),
        Published::Accepted { offset, entries } if arguments.platform.json => {
            println!(
                "{}",
                json!({ "accepted": true, "offset": offset, "entries": entries })
            );
        }
        Published::Accepted { offset, entries } => {
            println!("accepted at offset {offset}: {entries} entries changed");
        }
    }
    Ok(())
}

fn publish_error(file: &Path, error: PublishError) -> CommandError {
    match error {
        PublishError::Invalid(problems) => file_error(file, &problems),
        PublishError::Conflict(conflicts) => {
            let lines: Vec<String> = conflicts.iter().map(describe_conflict).collect();
            CommandError::Refused(format!("another change came first:\n{}", lines.join("\n")))
        }
        error @ PublishError::OutsideWindow => CommandError::Refused(error.to_string()),
        error => CommandError::Unreachable(error.to_string()),
    }
}

fn describe_conflict(conflict: &Conflict) -> String {
    match &conflict.winner {
        Some(winner) => format!(
            "{}: changed by {} at offset {}; read `manifest show`, merge, publish again",
            conflict.key, winner.author, winner.offset,
        ),
        None => format!(
            "{}: changed meanwhile; read `manifest show` and publish again",
            conflict.key
        ),
    }
}

fn status(arguments: &StatusArguments) -> Result<(), CommandError> {
    let client = LogClient::new(&arguments.platform.platform);
    let change = publish::status(&client, &RecordId::from(arguments.id.as_str()))
        .map_err(|error| CommandError::Unreachable(error.to_string()))?;
    let (offset, outcome) = match &change {
        None => (
            None,
            "unknown: not among the records that the log keeps".to_owned(),
        ),
        Some((offset, Applied::Changed(_))) => (Some(*offset), "accepted".to_owned()),
        Some((offset, Applied::Refused(conflicts))) => {
            let lines: Vec<String> = conflicts.iter().map(describe_conflict).collect();
            (Some(*offset), format!("refused: {}", lines.join("; ")))
        }
        Some((offset, other)) => (Some(*offset), format!("without effect: {other:?}")),
    };
    if arguments.platform.json {
        println!(
            "{}",
            json!({ "id": arguments.id, "offset": offset, "outcome": outcome })
        );
    } else {
        println!("{}: {outcome}", arguments.id);
    }
    Ok(())
}

fn show(arguments: &PlatformArguments) -> Result<(), CommandError> {
    let client = LogClient::new(&arguments.platform);
    let fold = publish::read_fold(&client)
        .map_err(|error| CommandError::Unreachable(error.to_string()))?;
    let unprintable = |error: String| CommandError::Findings(format!("manifest: {error}"));
    let text = if arguments.json {
        let output = json!({ "offset": fold.next(), "manifest": fold.manifest() });
        serde_json::to_string_pretty(&output).map_err(|error| unprintable(error.to_string()))?
    } else {
        toml::to_string(fold.manifest()).map_err(|error| unprintable(error.to_string()))?
    };
    println!("{text}");
    Ok(())
}
