//! Failures of starting or steering a stand-in.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a stand-in could not be started.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address could not be bound.
    #[error("cannot listen on {addr}")]
    Listen {
        /// Address that was asked for.
        addr: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// An option is out of its range.
    #[error("option {name} is out of its range")]
    Option {
        /// Name of the option.
        name: &'static str,
    },
}

/// Fails with the first option whose check does not hold.
pub(crate) fn check_options(checks: &[(&'static str, bool)]) -> Result<(), StandinError> {
    match checks.iter().find(|(_, holds)| !holds) {
        Some((name, _)) => Err(StandinError::Option { name }),
        None => Ok(()),
    }
}

/// Whether a rate or span is usable as a divisor.
pub(crate) fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}
