//! Faults of a manifest, and how an operator can fix them.

use std::fmt;

use crate::prelude::*;
use crate::record::EntryKey;

/// Maximum length of the name of an entry in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Placeholder of the call id in a look-up path.
pub const LOOKUP_ID: &str = "{id}";

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text cannot be decoded as the type of the entry.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// There is no such section.
    #[error("is not a section of the manifest")]
    UnknownSection,
    /// The name is empty, too long, or has white space or control characters.
    #[error("has an invalid name")]
    BadName,
    /// The change has more than one entry with this key.
    #[error("appears more than once in the change")]
    Repeated,
    /// The change has no entries.
    #[error("has no entries")]
    Empty,
    /// The entry to remove does not exist.
    #[error("is to be removed but does not exist")]
    Absent,
    /// A number is zero, negative or not finite.
    #[error("must be a finite number above zero")]
    NotPositive,
    /// A price is negative or not finite.
    #[error("must be a finite number, zero or above")]
    Negative,
    /// The hash is not made of 64 lower-case hexadecimal digits.
    #[error("has {0:?}, which is not a SHA-256 hash in lower-case hexadecimal digits")]
    BadHash(String),
    /// The hash is used more than once, by another workspace or by this one.
    #[error("has key hash {hash}, which workspace {owner} has too")]
    SharedHash {
        /// The hash.
        hash: String,
        /// The workspace that already uses it.
        owner: WorkspaceId,
    },
    /// The target is not in the manifest.
    #[error("refers to {0}, which is not in the manifest")]
    MissingTarget(EntryKey),
    /// A kind still refers to the removed entry.
    #[error("is to be removed while kinds.{0} refers to it")]
    StillUsed(KindName),
    /// Requests that may run at most once would be sent to an engine.
    #[error("is not repeatable but goes to a model")]
    UnrepeatableModel,
    /// The look-up path is invalid.
    #[error("has look-up path {0:?}, which does not start with / or lacks {LOOKUP_ID}")]
    BadLookup(String),
    /// The text must not be empty.
    #[error("must not be empty")]
    EmptyText,
    /// The adapter is listed twice.
    #[error("lists adapter {0:?} twice")]
    RepeatedAdapter(String),
}

impl Fault {
    /// How an operator can fix the fault.
    pub fn remedy(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "correct the field that the message names",
            Self::UnknownSection => "use workspaces, kinds, models, services or engines",
            Self::BadName => "use 1 to 128 bytes without white space or control characters",
            Self::Repeated => "keep only one of the entries",
            Self::Empty => "write or remove at least one entry",
            Self::Absent => "omit the removal, or correct the name",
            Self::NotPositive => "set a value above zero, or leave an optional limit out",
            Self::Negative => "set zero or more",
            Self::BadHash(_) => "hash the key with SHA-256 and write it as 64 digits 0-9a-f",
            Self::SharedHash { .. } => "give each workspace keys of its own",
            Self::MissingTarget(_) => "add the target in the same change, or correct its name",
            Self::StillUsed(_) => "remove or redirect that kind in the same change",
            Self::UnrepeatableModel => "target a service, or set repeatable = true",
            Self::BadLookup(_) => "write a path such as /calls/{id}",
            Self::EmptyText => "write a value",
            Self::RepeatedAdapter(_) => "list it once",
        }
    }
}

/// A fault and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path within the manifest, such as `workspaces.acme.weight`.
    pub path: String,
    /// The fault.
    pub fault: Fault,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, fault } = self;
        write!(f, "{path} {fault}; {}", fault.remedy())
    }
}

impl std::error::Error for Problem {}
