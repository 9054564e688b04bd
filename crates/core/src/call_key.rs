//! Idempotency keys of at-most-once calls.
//!
//! Every key contains the time at which it was made, so that all nodes can forget it
//! after the same time and reject it from then on. The accepted forms are:
//!
//! - `e.<entry token>.<suffix>`: only the node incarnation in the token may send the
//!   call;
//! - `j.<entry token>.<suffix>`: the same, and only after its claim is in the log;
//! - a ULID, a version 7 UUID or `<Unix milliseconds>-<suffix>`, made by the caller:
//!   the node whose claim is first in the log may send the call.

use sha2::{Digest, Sha256};
use ulid::Ulid;

use crate::entry_token::{FleetKeys, TokenError};
use crate::prelude::*;
use crate::record::{CallId, NodeIncarnation};

/// Maximum length of a key.
pub const MAX_KEY_BYTES: usize = 512;

/// Length of the hash that identifies a call.
const CALL_ID_BYTES: usize = 16;

/// Length of the digest of a body.
const DIGEST_BYTES: usize = 16;

/// Number of digits of the time in a `<Unix milliseconds>-<suffix>` key.
const TIME_DIGITS: usize = 13;

/// Which node may send a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// The owner in the token, without a claim.
    Entry {
        /// The node incarnation in the token.
        owner: NodeIncarnation,
    },
    /// The owner in the token, after a claim in the log.
    Journalled {
        /// The node incarnation in the token.
        owner: NodeIncarnation,
    },
    /// The node that claims the call first.
    Plain,
}

/// A parsed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallKey {
    /// Identity of the call: a hash of workspace and key.
    pub id: CallId,
    /// Which node may send the call.
    pub kind: KeyKind,
    /// Time at which the key was made, as encoded in the key.
    pub made_at: Millis,
}

/// Why a key is rejected. No node accepts such a key, so its call never runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is empty, too long or has characters that are not visible ASCII.
    #[error("the key must be 1 to {MAX_KEY_BYTES} visible ASCII characters")]
    Malformed,
    /// The entry token in the key is invalid.
    #[error("the key's entry token is not accepted")]
    Token(#[from] TokenError),
    /// The key does not contain the time at which it was made.
    #[error(
        "a key must be a ULID, a version 7 UUID, start with 13 digits of Unix milliseconds and '-', or be made from an entry token"
    )]
    Undated,
}

/// Parses the key of a caller of `workspace`.
///
/// # Errors
///
/// Returns an error if the key has none of the accepted forms.
pub fn parse_key(
    keys: &FleetKeys,
    workspace: &WorkspaceId,
    text: &str,
) -> Result<CallKey, KeyError> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
        return Err(KeyError::Malformed);
    }
    let id = call_id(workspace, text);
    if let Some(rest) = text.strip_prefix("e.") {
        let token = keys.verify(token_part(rest))?;
        let (owner, made_at) = (token.owner, token.made_at);
        let kind = KeyKind::Entry { owner };
        return Ok(CallKey { id, kind, made_at });
    }
    if let Some(rest) = text.strip_prefix("j.") {
        let token = keys.verify(token_part(rest))?;
        let (owner, made_at) = (token.owner, token.made_at);
        let kind = KeyKind::Journalled { owner };
        return Ok(CallKey { id, kind, made_at });
    }
    let kind = KeyKind::Plain;
    let made_at = plain_time(text).ok_or(KeyError::Undated)?;
    Ok(CallKey { id, kind, made_at })
}

/// Digest of a request body, as used in claims and in call ids towards a service.
pub fn body_digest(body: &[u8]) -> String {
    hex::encode(&Sha256::digest(body)[..DIGEST_BYTES])
}

/// Id of a call towards its service. It includes the digest of the body, so that a
/// look-up never returns the answer to a different body under the same key.
pub fn service_call_id(call: &CallId, digest: &str) -> String {
    format!("{call}-{digest}")
}

fn token_part(rest: &str) -> &str {
    rest.split_once('.').map_or(rest, |(token, _)| token)
}

fn call_id(workspace: &WorkspaceId, text: &str) -> CallId {
    let mut sha = Sha256::new();
    // The length prefix distinguishes ("ab", "c") from ("a", "bc").
    sha.update((workspace.as_str().len() as u64).to_be_bytes());
    sha.update(workspace.as_str().as_bytes());
    sha.update(text.as_bytes());
    CallId(hex::encode(&sha.finalize()[..CALL_ID_BYTES]))
}

fn plain_time(text: &str) -> Option<Millis> {
    ulid_time(text)
        .or_else(|| uuid_time(text))
        .or_else(|| prefix_time(text))
}

fn ulid_time(text: &str) -> Option<Millis> {
    let ulid = Ulid::from_string(text).ok()?;
    Some(Millis(ulid.timestamp_ms()))
}

fn uuid_time(text: &str) -> Option<Millis> {
    let groups: Vec<&str> = text.split('-').collect();
    let lens: Vec<usize> = groups.iter().map(|group| group.len()).collect();
    if lens != [8, 4, 4, 4, 12] || !groups[2].starts_with('7') {
        return None;
    }
    let digits = groups.concat();
    if !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    // The first 48 bits of a version 7 UUID are Unix milliseconds.
    u64::from_str_radix(&digits[..12], 16).ok().map(Millis)
}

fn prefix_time(text: &str) -> Option<Millis> {
    let (digits, _) = text.split_once('-')?;
    let is_time = digits.len() == TIME_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_time.then(|| digits.parse().ok().map(Millis))?
}
