//! Exit codes that scripts can rely on.

use std::process::ExitCode;

use thiserror::Error;

/// A check or experiment found a problem.
pub const FINDINGS: u8 = 1;
/// The command line, a file or the settings are invalid.
pub const USAGE: u8 = 2;
/// The system refused the request.
pub const REFUSED: u8 = 3;
/// The system cannot be reached, or its response cannot be read.
pub const UNREACHABLE: u8 = 4;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Invalid input.
    #[error("{0}")]
    Usage(String),
    /// The system refused the request.
    #[error("{0}")]
    Refused(String),
    /// No usable response.
    #[error("{0}")]
    Unreachable(String),
    /// The command ran and found a problem.
    #[error("{0}")]
    Findings(String),
}

impl CommandError {
    fn code(&self) -> u8 {
        match self {
            CommandError::Usage(_) => USAGE,
            CommandError::Refused(_) => REFUSED,
            CommandError::Unreachable(_) => UNREACHABLE,
            CommandError::Findings(_) => FINDINGS,
        }
    }
}

/// Prints the error, if any, and returns the exit code.
pub fn finish(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.code())
        }
    }
}
