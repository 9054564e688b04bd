//! Code shared by the programs `flamingolock` and `flamingoctl`.

pub mod commands;
pub mod exit;
pub mod logging;
