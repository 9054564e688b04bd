//! The subcommands of `flamingoctl`, one module each, and their shared helpers.

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
