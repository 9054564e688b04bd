//! Records of the platform's log and the streams that carry them.
//!
//! Each stream has its own offsets and its own deterministic fold. The control
//! stream carries manifest changes, leases and checkpoints. The claims stream
//! carries claims of at-most-once calls, and closings, which fence off a node
//! incarnation.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::manifest::{EnginePolicy, Model, RequestKind, Service, Workspace};
use crate::prelude::*;

/// Stream of manifest changes, leases and checkpoints.
pub const CONTROL_STREAM: &str = "control";

/// Stream of claims and closings.
pub const CLAIMS_STREAM: &str = "claims";

/// Unique id of a record, chosen by its writer before the first append and kept
/// for all retries, so that duplicates are recognised.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub String);

impl RecordId {
    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for RecordId {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One incarnation of one node: a process between its start and its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The machine.
    pub instance: InstanceId,
    /// Incarnation of the node on it.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.incarnation)
    }
}

/// Key of one entry of the manifest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "section", content = "name", rename_all = "snake_case")]
pub enum EntryKey {
    /// A workspace.
    Workspace(WorkspaceId),
    /// A request kind.
    Kind(KindName),
    /// A model.
    Model(ModelName),
    /// A service.
    Service(ServiceName),
    /// The policy of an engine.
    Engine(EngineId),
}

impl fmt::Display for EntryKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(name) => write!(f, "workspaces.{name}"),
            Self::Kind(name) => write!(f, "kinds.{name}"),
            Self::Model(name) => write!(f, "models.{name}"),
            Self::Service(name) => write!(f, "services.{name}"),
            Self::Engine(name) => write!(f, "engines.{name}"),
        }
    }
}

/// One entry of the manifest with its name. An entry without a value is a removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "section", rename_all = "snake_case")]
pub enum Entry {
    /// A workspace.
    Workspace {
        /// Name of the workspace.
        name: WorkspaceId,
        /// The new value, or none to remove it.
        value: Option<Workspace>,
    },
    /// A request kind.
    Kind {
        /// Name of the kind.
        name: KindName,
        /// The new value, or none to remove it.
        value: Option<RequestKind>,
    },
    /// A model.
    Model {
        /// Name of the model.
        name: ModelName,
        /// The new value, or none to remove it.
        value: Option<Model>,
    },
    /// A service.
    Service {
        /// Name of the service.
        name: ServiceName,
        /// The new value, or none to remove it.
        value: Option<Service>,
    },
    /// The policy of an engine.
    Engine {
        /// Name of the engine.
        name: EngineId,
        /// The new value, or none to remove it.
        value: Option<EnginePolicy>,
    },
}

impl Entry {
    /// Key of the entry.
    pub fn key(&self) -> EntryKey {
        match self {
            Self::Workspace { name, .. } => EntryKey::Workspace(name.clone()),
            Self::Kind { name, .. } => EntryKey::Kind(name.clone()),
            Self::Model { name, .. } => EntryKey::Model(name.clone()),
            Self::Service { name, .. } => EntryKey::Service(name.clone()),
            Self::Engine { name, .. } => EntryKey::Engine(name.clone()),
        }
    }

    /// True when the entry is removed from the manifest.
    pub fn is_removal(&self) -> bool {
        match self {
            Self::Workspace { value, .. } => value.is_none(),
            Self::Kind { value, .. } => value.is_none(),
            Self::Model { value, .. } => value.is_none(),
            Self::Service { value, .. } => value.is_none(),
            Self::Engine { value, .. } => value.is_none(),
        }
    }
}

/// An entry together with the revision that its author based the change on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryChange {
    /// The entry to write or remove.
    pub entry: Entry,
    /// Offset of the change that last wrote the entry; none when the entry does not
    /// exist.
    #[serde(default)]
    pub base: Option<Offset>,
}

/// A batch of entries that is applied atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ManifestChange {
    /// Who publishes it.
    pub author: String,
    /// Time at which it was made, by the author's clock.
    pub made_at: Millis,
    /// The entries.
    pub entries: Vec<EntryChange>,
}

/// Requests a lease that nobody holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// What the lease covers, for example one controller.
    pub name: String,
    /// Requested holder.
    pub holder: NodeIncarnation,
    /// How long it lasts from the time of the record.
    pub duration: Millis,
}

/// Extends a lease that is still in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenew {
    /// What the lease covers.
    pub name: String,
    /// Offset of the grant.
    pub fencing: Offset,
    /// How long it lasts from the time of the record.
    pub duration: Millis,
}

/// Releases a lease. The holder has no order in progress any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRelease {
    /// What the lease covers.
    pub name: String,
    /// Offset of the grant.
    pub fencing: Offset,
}

/// Identifies an at-most-once call: a hash of workspace and idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub String);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Claim of one call, which only the owner of the claim may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call.
    pub call: CallId,
    /// Digest of the request body, so that a different body under the same key is
    /// detected.
    pub digest: String,
    /// Time at which the key was made, as encoded in the key.
    pub made_at: Millis,
}

/// Claims of many calls in one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The only node incarnation that may send the calls.
    pub owner: NodeIncarnation,
    /// The claimed calls.
    pub claims: Vec<Claim>,
}

/// Fences off a node incarnation: every claim that it makes after this record is
/// void.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closing {
    /// The incarnation that is lost or has finished.
    pub node: NodeIncarnation,
    /// The node that appended the closing.
    pub by: NodeIncarnation,
}

/// One part of a checkpoint, a copy of the control fold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointPart {
    /// Unique name of the checkpoint that the part belongs to.
    pub set: String,
    /// The checkpoint includes every record before this offset.
    pub covers: Offset,
    /// Index of the part, starting at 0.
    pub part: u32,
    /// Number of parts.
    pub of: u32,
    /// Digest of the copied state, equal in all parts.
    pub digest: String,
    /// The items of this part.
    pub items: Vec<CheckpointItem>,
}

/// One item of the control fold within a checkpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "item", rename_all = "snake_case")]
pub enum CheckpointItem {
    /// Counters of the fold.
    Head {
        /// Latest record time so far.
        clock: Millis,
        /// Running hash over all records so far.
        chain: u64,
    },
    /// An existing entry and the change that wrote it.
    Entry {
        /// The entry.
        entry: Entry,
        /// Offset of the change that wrote it.
        offset: Offset,
        /// Author of that change.
        author: String,
    },
    /// A removed entry, kept so that conflicts can name the change that removed it.
    Removed {
        /// Key of the entry.
        key: EntryKey,
        /// Offset of the change that removed it.
        offset: Offset,
        /// Author of that change.
        author: String,
        /// Time at which it was removed.
        at: Millis,
    },
    /// A lease.
    Lease(crate::lease::Lease),
    /// A record id that is kept for duplicate detection.
    Seen {
        /// The id.
        id: RecordId,
        /// Time of its record.
        at: Millis,
    },
}

/// Body of a log record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// Changes the manifest.
    ManifestChange(ManifestChange),
    /// Requests a lease.
    LeaseGrant(LeaseGrant),
    /// Extends a lease.
    LeaseRenew(LeaseRenew),
    /// Releases a lease.
    LeaseRelease(LeaseRelease),
    /// Claims calls.
    Claims(ClaimBatch),
    /// Closes a node incarnation.
    Closing(Closing),
    /// Part of a checkpoint.
    Checkpoint(CheckpointPart),
    /// A body that this version cannot decode. It is never written.
    #[serde(skip)]
    Unreadable(Unreadable),
}

/// Why a body could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct Unreadable {
    /// Message of the decoder.
    pub reason: String,
}

/// A record as stored in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Position in its stream.
    pub offset: Offset,
    /// Time at which the log accepted it, by the log's clock.
    pub time: Millis,
    /// Unique id, chosen by the writer.
    pub id: RecordId,
    /// The body.
    pub record: Record,
}

impl LogEntry {
    /// Decodes an entry as the log returns it. A body that cannot be decoded becomes
    /// [`Record::Unreadable`], so that every fold still advances past its offset.
    pub fn from_body(offset: Offset, time: Millis, id: RecordId, body: &Value) -> Self {
        let record = Record::deserialize(body).unwrap_or_else(|err| {
            Record::Unreadable(Unreadable {
                reason: err.to_string(),
            })
        });
        Self {
            offset,
            time,
            id,
            record,
        }
    }
}

impl Record {
    /// The body in the format of the log.
    ///
    /// # Panics
    ///
    /// Panics if the record is [`Record::Unreadable`], which is never written.
    pub fn to_body(&self) -> Value {
        serde_json::to_value(self).expect("records that are written have string keys only")
    }
}
