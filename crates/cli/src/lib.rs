//! Shared parts of the two programs.
