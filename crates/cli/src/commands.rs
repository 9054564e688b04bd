//! One module for each subcommand of `flamingoctl`.

pub mod bench;
pub mod demo;
pub mod load;
pub mod manifest;
pub mod standin;
