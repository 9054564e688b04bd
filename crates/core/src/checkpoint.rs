//! Checkpoints: copies of the control fold within its own stream.
//!
//! The log keeps records for a limited time. Before they age out, a node appends
//! the whole state as a set of parts. A reader that finds its offset trimmed
//! starts from the first complete set, and so does a restarted node. All sets
//! that cover the same offset are equal, so racing writers only waste appends.

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};

use crate::fold::{ControlFold, Removal, Revision};
use crate::manifest_check::{self, entries};
use crate::prelude::*;
use crate::record::{CheckpointItem, CheckpointPart, Entry, LogEntry, Record};
use crate::rendezvous;

/// Bytes of JSON that one part holds at most, unless a single item is larger.
pub const PART_BYTES: usize = 256 * 1024;

/// Sets that a reader gathers at once; the oldest is dropped beyond that.
const MAX_OPEN_SETS: usize = 4;

/// After a part was seen, other writers hold back for this long.
const WRITER_BACKOFF: Millis = Millis(10_000);

/// Why parts do not make a fold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CheckpointError {
    /// There is no part, or one is missing or there twice.
    #[error("the parts are not a complete set")]
    Incomplete,
    /// The parts belong to different sets.
    #[error("the parts belong to different sets")]
    Mixed,
    /// The items do not match the digest.
    #[error("the items do not match the digest")]
    Corrupt,
    /// The manifest in the checkpoint does not pass its check.
    #[error("the manifest in the checkpoint is invalid")]
    Invalid,
}

/// Copies `fold` into parts of at most `part_bytes` each, under a unique name.
pub fn encode(fold: &ControlFold, set: &str, part_bytes: usize) -> Vec<CheckpointPart> {
    let mut sha = start_digest(fold.next);
    let mut chunks: Vec<Vec<CheckpointItem>> = vec![Vec::new()];
    let mut bytes = 0;
    for item in items(fold) {
        let len = hash_item(&mut sha, &item);
        if bytes > 0 && bytes + len > part_bytes {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += len;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(item);
        }
    }
    let digest = hex::encode(sha.finalize());
    let of = chunks.len() as u32;
    let part = |(i, items): (usize, Vec<CheckpointItem>)| CheckpointPart {
        set: set.to_owned(),
        covers: fold.next,
        part: i as u32,
        of,
        digest: digest.clone(),
        items,
    };
    chunks.into_iter().enumerate().map(part).collect()
}

/// Digest of the whole fold, equal on every node at the same offset.
pub fn digest(fold: &ControlFold) -> String {
    let mut sha = start_digest(fold.next);
    for item in items(fold) {
        hash_item(&mut sha, &item);
    }
    hex::encode(sha.finalize())
}

/// Rebuilds the fold from all parts of one set, in any order.
///
/// # Errors
///
/// When the parts are not one whole set, or do not match their digest.
pub fn rebuild(parts: &[CheckpointPart]) -> Result<ControlFold, CheckpointError> {
    let mut parts: Vec<&CheckpointPart> = parts.iter().collect();
    parts.sort_by_key(|part| part.part);
    check_set(&parts)?;
    let (covers, digest) = (parts[0].covers, &parts[0].digest);
    let mut sha = start_digest(covers);
    let mut fold = ControlFold {
        next: covers,
        ..ControlFold::default()
    };
    for item in parts.iter().flat_map(|part| &part.items) {
        hash_item(&mut sha, item);
        restore(&mut fold, item);
    }
    if hex::encode(sha.finalize()) != *digest {
        return Err(CheckpointError::Corrupt);
    }
    fold.index =
        manifest_check::check_manifest(&fold.manifest).map_err(|_| CheckpointError::Invalid)?;
    Ok(fold)
}

fn check_set(parts: &[&CheckpointPart]) -> Result<(), CheckpointError> {
    let first = parts.first().ok_or(CheckpointError::Incomplete)?;
    let same = |part: &&CheckpointPart| {
        part.set == first.set
            && part.covers == first.covers
            && part.of == first.of
            && part.digest == first.digest
    };
    if !parts.iter().all(same) {
        return Err(CheckpointError::Mixed);
    }
    let in_order = parts.iter().zip(0..).all(|(part, i)| part.part == i);
    if !in_order || parts.len() != first.of as usize {
        return Err(CheckpointError::Incomplete);
    }
    Ok(())
}

fn start_digest(covers: Offset) -> Sha256 {
    let mut sha = Sha256::new();
    sha.update(covers.0.to_be_bytes());
    sha
}

fn hash_item(sha: &mut Sha256, item: &CheckpointItem) -> usize {
    let bytes = serde_json::to_vec(item).expect("items have string keys only");
    sha.update(&bytes);
    bytes.len()
}

fn items(fold: &ControlFold) -> impl Iterator<Item = CheckpointItem> + '_ {
    let head = CheckpointItem::Head {
        clock: fold.clock,
        chain: fold.chain,
    };
    let entries = entries(&fold.manifest).filter_map(|entry| entry_item(fold, entry));
    let removed = fold
        .removed
        .by_key
        .iter()
        .map(|(key, removal)| CheckpointItem::Removed {
            key: key.clone(),
            offset: removal.revision.offset,
            author: removal.revision.author.clone(),
            at: removal.at,
        });
    let leases = fold.leases.iter().cloned().map(CheckpointItem::Lease);
    let seen = fold.seen.order.iter().map(|(at, id)| CheckpointItem::Seen {
        id: id.clone(),
        at: *at,
    });
    std::iter::once(head)
        .chain(entries)
        .chain(removed)
        .chain(leases)
        .chain(seen)
}

fn entry_item(fold: &ControlFold, entry: Entry) -> Option<CheckpointItem> {
    let revision = fold.revision(&entry.key())?;
    Some(CheckpointItem::Entry {
        entry,
        offset: revision.offset,
        author: revision.author.clone(),
    })
}

fn restore(fold: &mut ControlFold, item: &CheckpointItem) {
    match item {
        CheckpointItem::Head { clock, chain } => {
            fold.clock = *clock;
            fold.chain = *chain;
        }
        CheckpointItem::Entry {
            entry,
            offset,
            author,
        } => {
            let (offset, author) = (*offset, author.clone());
            fold.put(entry, &Revision { offset, author });
        }
        CheckpointItem::Removed {
            key,
            offset,
            author,
            at,
        } => {
            let (offset, author) = (*offset, author.clone());
            let revision = Revision { offset, author };
            fold.removed.insert(key, Removal { revision, at: *at });
        }
        CheckpointItem::Lease(lease) => fold.leases.restore(lease.clone()),
        CheckpointItem::Seen { id, at } => {
            fold.seen.insert(*at, id);
        }
    }
}

/// What a part completed.
#[derive(Clone, Debug, PartialEq)]
pub enum AssemblyProgress {
    /// More parts are needed.
    Waiting,
    /// The set is complete. The reader goes on at the fold's next offset.
    Complete(Box<ControlFold>),
    /// Records after the covered offset are trimmed already.
    Trimmed,
    /// The set is complete but cannot be used.
    Invalid(CheckpointError),
}

/// Gathers the parts of checkpoints for a reader whose offset is trimmed.
#[derive(Clone, Debug, Default)]
pub struct CheckpointAssembler {
    sets: BTreeMap<String, OpenSet>,
}

#[derive(Clone, Debug)]
struct OpenSet {
    first: Offset,
    parts: BTreeMap<u32, CheckpointPart>,
}

impl CheckpointAssembler {
    /// Adds a record of the control stream, whose oldest kept offset is `start`.
    pub fn add(&mut self, entry: &LogEntry, start: Offset) -> AssemblyProgress {
        let Record::Checkpoint(part) = &entry.record else {
            return AssemblyProgress::Waiting;
        };
        if part.covers < start {
            return AssemblyProgress::Trimmed;
        }
        let open = self
            .sets
            .entry(part.set.clone())
            .or_insert_with(|| OpenSet {
                first: entry.offset,
                parts: BTreeMap::new(),
            });
        open.parts.insert(part.part, part.clone());
        if open.parts.len() < part.of as usize {
            self.drop_oldest();
            return AssemblyProgress::Waiting;
        }
        let parts: Vec<CheckpointPart> = self
            .sets
            .remove(&part.set)
            .into_iter()
            .flat_map(|open| open.parts.into_values())
            .collect();
        match rebuild(&parts) {
            Ok(fold) => AssemblyProgress::Complete(Box::new(fold)),
            Err(err) => AssemblyProgress::Invalid(err),
        }
    }

    fn drop_oldest(&mut self) {
        if self.sets.len() <= MAX_OPEN_SETS {
            return;
        }
        let oldest = self.sets.iter().min_by_key(|(_, open)| open.first);
        if let Some(set) = oldest.map(|(set, _)| set.clone()) {
            self.sets.remove(&set);
        }
    }
}

/// How long the log keeps records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Age at which a record may be trimmed.
    pub age: Millis,
    /// Number of records beyond which the oldest may be trimmed.
    pub records: u64,
}

/// Whether this node should append a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Now.
    Now,
    /// Not before this time, as far as age counts.
    At(Millis),
}

/// Decides when this node appends a checkpoint.
///
/// The state has to stand in the log at every moment, so a checkpoint is due
/// again at a third of the retention also when nothing changed. Nodes differ by
/// up to another sixth, so that usually one of them is alone.
#[derive(Clone, Debug)]
pub struct CheckpointScheduler {
    retention: Retention,
    node: String,
    covers: Offset,
    since: Option<Millis>,
    jitter_seed: u64,
    open: BTreeMap<String, BTreeSet<u32>>,
    opened: Option<Millis>,
}

impl CheckpointScheduler {
    /// A watch for the node of that name.
    pub fn new(node: &str, retention: Retention) -> Self {
        Self {
            retention,
            node: node.to_owned(),
            covers: Offset(0),
            since: None,
            jitter_seed: 0,
            open: BTreeMap::new(),
            opened: None,
        }
    }

    /// Takes note of a record of the control stream.
    pub fn observe(&mut self, entry: &LogEntry) {
        // Without a checkpoint the oldest record is what ages out first.
        self.since.get_or_insert(entry.time);
        let Record::Checkpoint(part) = &entry.record else {
            return;
        };
        if part.covers < self.covers {
            return;
        }
        self.opened = Some(entry.time);
        let parts = self.open.entry(part.set.clone()).or_default();
        parts.insert(part.part);
        if parts.len() == part.of as usize {
            self.complete(part, entry.time);
        }
    }

    /// Takes note of a complete copy that was read from a peer or the log.
    pub fn adopted(&mut self, covers: Offset, at: Millis) {
        self.covers = self.covers.max(covers);
        self.since.get_or_insert(at);
    }

    fn complete(&mut self, part: &CheckpointPart, at: Millis) {
        self.covers = part.covers;
        self.since = Some(at);
        self.jitter_seed = rendezvous::key(&part.set);
        self.open.clear();
        self.opened = None;
    }

    /// Whether a checkpoint is due when the stream is applied up to `next`.
    pub fn due(&self, now: Millis, next: Offset) -> Due {
        let Some(since) = self.since else {
            return Due::At(now + self.retention.age);
        };
        if let Some(opened) = self.opened.filter(|opened| now < *opened + WRITER_BACKOFF) {
            return Due::At(opened + WRITER_BACKOFF);
        }
        let records = next.0.saturating_sub(self.covers.0);
        if records >= self.third_with_jitter(self.retention.records) {
            return Due::Now;
        }
        let at = since + Millis(self.third_with_jitter(self.retention.age.0));
        if now >= at { Due::Now } else { Due::At(at) }
    }

    /// A third of `whole`, and for this node up to a sixth more.
    fn third_with_jitter(&self, whole: u64) -> u64 {
        let share = rendezvous::weight(self.jitter_seed, &self.node) % 1000;
        whole / 3 + (whole / 6).saturating_mul(share) / 1000
    }
}
