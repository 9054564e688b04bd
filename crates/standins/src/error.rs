//! Errors of starting a stand-in.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a stand-in could not be started.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address could not be bound.
    #[error("cannot listen on {addr}")]
    Listen {
        /// Requested address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An option is out of range.
    #[error("option {name} is out of its range")]
    Option {
        /// Name of the option.
        name: &'static str,
    },
}

/// Fails with the first option whose check is false.
pub(crate) fn check_options(checks: &[(&'static str, bool)]) -> Result<(), StandinError> {
    match checks.iter().find(|(_, holds)| !holds) {
        Some((name, _)) => Err(StandinError::Option { name }),
        None => Ok(()),
    }
}

/// Whether a rate or duration is finite and greater than zero.
pub(crate) fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}
