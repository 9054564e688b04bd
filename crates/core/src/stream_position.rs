//! Positions within streamed answers, which callers present to resume a stream.
//!
//! A position contains the attempt, the engine incarnation and the index of the last
//! chunk. It is signed together with the workspace, so that a caller cannot forge a
//! position to read the stream of another workspace.

use thiserror::Error;

use crate::entry_token::FleetKeys;
use crate::prelude::*;

/// Format version, the first part of every position.
const VERSION: &str = "1";

/// Number of parts before the signature.
const PARTS: usize = 5;

/// The last chunk of an answer that a caller has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// Attempt at the engine.
    pub attempt: String,
    /// The engine.
    pub engine: EngineId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Index of the chunk.
    pub index: u32,
}

/// Why a position is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PositionError {
    /// The text does not have the format of a position.
    #[error("it is no event id of this system")]
    Malformed,
    /// The signature does not match the fleet's keys and this workspace.
    #[error("it does not belong to this workspace")]
    Forged,
}

impl StreamPosition {
    /// Encodes and signs the position for a caller of `workspace`.
    pub fn sign(&self, keys: &FleetKeys, workspace: &WorkspaceId) -> String {
        let text = format!(
            "{VERSION}~{}~{}~{}~{}",
            self.index, self.incarnation, self.attempt, self.engine,
        );
        let tag = keys.sign_position(workspace.as_str(), &text);
        format!("{text}~{tag}")
    }

    /// Decodes a position that [`StreamPosition::sign`] made for the same workspace.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a position or is not signed for `workspace`.
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
