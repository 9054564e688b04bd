//! One module for each subcommand of `flamingoctl`, and what they share.

pub mod bench;
pub mod demo;
pub mod engines;
pub mod explain;
pub mod load;
pub mod manifest;
pub mod nodes;
pub mod operators;
pub mod overhead;
pub mod standin;
pub mod text_table;
