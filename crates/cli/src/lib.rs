//! Shared parts of the two programs.

pub mod commands;
pub mod exit;
pub mod logging;
