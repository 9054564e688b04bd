//! Positions within streamed answers, as callers give them back to resume.
//!
//! A position names the attempt, the engine's life and the index of the last piece.
//! It is signed together with the workspace, so that a caller cannot reach the
//! stream of another workspace by making one up.

use thiserror::Error;

use crate::entry_token::FleetKeys;
use crate::prelude::*;

/// First part of every position, so that the format can change.
const VERSION: &str = "1";

/// Parts before the signature.
const PARTS: usize = 5;

/// Last piece that a caller has of one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// Attempt at the engine.
    pub attempt: String,
    /// The engine.
    pub engine: EngineId,
    /// Life of the engine.
    pub incarnation: Incarnation,
    /// Index of the piece.
    pub index: u32,
}

/// Why a position is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PositionError {
    /// It has not the shape of a position.
    #[error("it is no event id of this system")]
    Malformed,
    /// The fleet did not sign it for this workspace.
    #[error("it does not belong to this workspace")]
    Forged,
}

impl StreamPosition {
    /// The position as text, for a caller of `workspace`.
    pub fn sign(&self, keys: &FleetKeys, workspace: &WorkspaceId) -> String {
        let text = format!(
            "{VERSION}~{}~{}~{}~{}",
            self.index, self.incarnation, self.attempt, self.engine,
        );
        let tag = keys.sign_position(workspace.as_str(), &text);
        format!("{text}~{tag}")
    }

    /// Reads what [`StreamPosition::sign`] wrote for the same workspace.
    ///
    /// # Errors
    ///
    /// When the text is no position, or one of another workspace.
    pub fn verify(
        keys: &FleetKeys,
        workspace: &WorkspaceId,
        signed: &str,
    ) -> Result<Self, PositionError> {
        let (text, tag) = signed.rsplit_once('~').ok_or(PositionError::Malformed)?;
        let parts: Vec<&str> = text.splitn(PARTS, '~').collect();
        let [version, index, incarnation, attempt, engine] = parts[..] else {
            return Err(PositionError::Malformed);
        };
        let index = index.parse().map_err(|_| PositionError::Malformed)?;
        let incarnation = incarnation.parse().map_err(|_| PositionError::Malformed)?;
        if version != VERSION {
            return Err(PositionError::Malformed);
        }
        if !keys.verify_position(workspace.as_str(), text, tag) {
            return Err(PositionError::Forged);
        }
        Ok(Self {
            attempt: attempt.to_owned(),
            engine: EngineId::from(engine),
            incarnation: Incarnation(incarnation),
            index,
        })
    }
}
