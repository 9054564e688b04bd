//! Signed tokens that bind calls to one node incarnation.
//!
//! A node issues a token with every list of entries. A caller derives its idempotency
//! keys from the token, and every node can tell from the key alone which node
//! incarnation may send the call.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::prelude::*;
use crate::record::NodeIncarnation;

/// Version of the token format.
const VERSION: u8 = 1;

/// Length of the truncated signature in a token.
const TAG_BYTES: usize = 16;

/// Length of version, incarnation, time and nonce.
const FIXED_BYTES: usize = 1 + 8 + 8 + 8;

/// Maximum length of the instance name in a token.
const MAX_INSTANCE_BYTES: usize = 128;

/// Minimum length of a fleet key.
pub const MIN_KEY_BYTES: usize = 16;

/// Content of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryToken {
    /// The only node incarnation that may send calls under the token.
    pub owner: NodeIncarnation,
    /// Time at which it was minted, by the clock of the minting node.
    pub made_at: Millis,
    /// Distinguishes tokens that were minted in the same millisecond.
    pub nonce: u64,
}

/// Why a token is rejected or cannot be minted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The text is not a token.
    #[error("the text is not an entry token")]
    Malformed,
    /// The signature does not match any key of the fleet.
    #[error("the entry token is not signed by this fleet")]
    Forged,
    /// There is no fleet key, or one is too short.
    #[error("a fleet key has at least {MIN_KEY_BYTES} bytes")]
    ShortKey,
    /// The instance name does not fit into a token.
    #[error("the instance name is empty or longer than {MAX_INSTANCE_BYTES} bytes")]
    BadInstance,
}

/// Secret keys that all nodes of the fleet share. The first key signs and all keys
/// verify, so that a key can be rotated without downtime.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<Vec<u8>>,
}

impl FleetKeys {
    /// Keys in order of preference.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::ShortKey`] if there is no key or one is too short.
    pub fn new(keys: Vec<Vec<u8>>) -> Result<Self, TokenError> {
        if keys.is_empty() || keys.iter().any(|key| key.len() < MIN_KEY_BYTES) {
            return Err(TokenError::ShortKey);
        }
        Ok(Self { keys })
    }

    /// Encodes and signs a token.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::BadInstance`] if the instance name is empty or too long.
    pub fn mint(&self, token: &EntryToken) -> Result<String, TokenError> {
        let instance = token.owner.instance.as_str().as_bytes();
        if instance.is_empty() || instance.len() > MAX_INSTANCE_BYTES {
            return Err(TokenError::BadInstance);
        }
        let mut bytes = vec![VERSION];
        bytes.extend(token.owner.incarnation.0.to_be_bytes());
        bytes.extend(token.made_at.0.to_be_bytes());
        bytes.extend(token.nonce.to_be_bytes());
        bytes.extend(instance);
        let tag = mac(&self.keys[0], &bytes).finalize().into_bytes();
        bytes.extend(&tag[..TAG_BYTES]);
        Ok(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Signature of a stream position for callers of `workspace`.
    pub(crate) fn sign_position(&self, workspace: &str, text: &str) -> String {
        let tag = position_mac(&self.keys[0], workspace, text)
            .finalize()
            .into_bytes();
        hex::encode(&tag[..TAG_BYTES])
    }

    /// Whether the signature of a stream position matches a key of the fleet.
    pub(crate) fn verify_position(&self, workspace: &str, text: &str, tag: &str) -> bool {
        let Ok(tag) = hex::decode(tag) else {
            return false;
        };
        let matches = |key: &Vec<u8>| {
            position_mac(key, workspace, text)
                .verify_truncated_left(&tag)
                .is_ok()
        };
        tag.len() == TAG_BYTES && self.keys.iter().any(matches)
    }

    /// Decodes a token and verifies its signature. The age of the token is not checked
    /// here, but where the calls under it are remembered.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a token or its signature does not match any
    /// key of the fleet.
    pub fn verify(&self, text: &str) -> Result<EntryToken, TokenError> {
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TokenError::Malformed)?;
        let split = bytes
            .len()
            .checked_sub(TAG_BYTES)
            .filter(|len| *len > FIXED_BYTES && bytes[0] == VERSION)
            .ok_or(TokenError::Malformed)?;
        let (signed, tag) = bytes.split_at(split);
        let matches = |key: &Vec<u8>| mac(key, signed).verify_truncated_left(tag).is_ok();
        if !self.keys.iter().any(matches) {
            return Err(TokenError::Forged);
        }
        let instance =
            std::str::from_utf8(&signed[FIXED_BYTES..]).map_err(|_| TokenError::Malformed)?;
        Ok(EntryToken {
            owner: NodeIncarnation {
                instance: instance.into(),
                incarnation: Incarnation(number(signed, 1)),
            },
            made_at: Millis(number(signed, 9)),
            nonce: number(signed, 17),
        })
    }
}

fn mac(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    labelled_mac(key, b"flamingolock entry token\0", bytes)
}

fn position_mac(key: &[u8], workspace: &str, text: &str) -> Hmac<Sha256> {
    let mut mac = labelled_mac(key, b"flamingolock stream position\0", workspace.as_bytes());
    mac.update(b"\0");
    mac.update(text.as_bytes());
    mac
}

/// The label separates signatures of different uses of the same key (domain
/// separation).
fn labelled_mac(key: &[u8], label: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(label);
    mac.update(bytes);
    mac
}

fn number(bytes: &[u8], start: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[start..start + 8]);
    u64::from_be_bytes(word)
}
