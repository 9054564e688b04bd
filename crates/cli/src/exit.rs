//! Exit codes that scripts can rely on.

use std::process::ExitCode;

use thiserror::Error;

/// A check or experiment found something wrong.
pub const FINDINGS: u8 = 1;
/// The command line, a file or settings cannot be used.
pub const USAGE: u8 = 2;
/// The system refused what was asked for.
pub const REFUSED: u8 = 3;
/// The system cannot be reached, or its answer cannot be read.
pub const UNREACHABLE: u8 = 4;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Input cannot be used.
    #[error("{0}")]
    Usage(String),
    /// The system refused.
    #[error("{0}")]
    Refused(String),
    /// No usable answer.
    #[error("{0}")]
    Unreachable(String),
    /// The command ran and found something wrong.
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

/// Prints an error and gives the code to exit with.
pub fn finish(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.code())
        }
    }
}
