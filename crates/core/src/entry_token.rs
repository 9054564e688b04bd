//! Signed tokens that bind calls to one node incarnation.
//!
//! A node hands tokens out together with its list of entries. A caller makes its
//! idempotency keys from one, and every node can read from the key which
//! incarnation alone may send the call, without asking anybody.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::prelude::*;
use crate::record::NodeIncarnation;

/// Layout of the token, and what its signature is for.
const VERSION: u8 = 1;

/// Bytes of the signature that a token carries.
const TAG_BYTES: usize = 16;

/// Version, incarnation, time and nonce.
const FIXED_BYTES: usize = 1 + 8 + 8 + 8;

/// Longest name of an instance in a token.
const MAX_INSTANCE_BYTES: usize = 128;

/// Shortest fleet key that is accepted.
pub const MIN_KEY_BYTES: usize = 16;

/// What a token says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryToken {
    /// The only node incarnation that may send calls under the token.
    pub owner: NodeIncarnation,
    /// When it was minted, by the minting node's clock.
    pub made_at: Millis,
    /// Keeps tokens of one millisecond apart.
    pub nonce: u64,
}

/// Why a token is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The text is not a token.
    #[error("the text is not an entry token")]
    Malformed,
    /// No key of the fleet signed it.
    #[error("the entry token is not signed by this fleet")]
    Forged,
    /// The fleet key is too short to sign with.
    #[error("a fleet key has at least {MIN_KEY_BYTES} bytes")]
    ShortKey,
    /// The instance name does not fit into a token.
    #[error("the instance name is empty or longer than {MAX_INSTANCE_BYTES} bytes")]
    BadInstance,
}

/// Secrets that all nodes of the fleet share. The first one signs and all of
/// them verify, so that a key can be replaced without a gap.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<Vec<u8>>,
}

impl FleetKeys {
    /// Keys in the order of preference.
    ///
    /// # Errors
    ///
    /// When there is no key or one is too short.
    pub fn new(keys: Vec<Vec<u8>>) -> Result<Self, TokenError> {
        if keys.is_empty() || keys.iter().any(|key| key.len() < MIN_KEY_BYTES) {
            return Err(TokenError::ShortKey);
        }
        Ok(Self { keys })
    }

    /// Signs a token.
    ///
    /// # Errors
    ///
    /// When the instance name does not fit.
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

    /// Whether a key of the fleet signed the stream position.
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

    /// Reads a token and checks its signature. Its age is judged by whoever
    /// remembers the calls under it.
    ///
    /// # Errors
    ///
    /// When the text is no token or no key of the fleet signed it.
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

/// The label keeps the signature apart from other uses of the same key.
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
