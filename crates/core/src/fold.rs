//! Deterministic fold of the control stream.
//!
//! Every node applies the same records in offset order and therefore reaches the
//! same manifest and the same leases without running a consensus protocol.
//! Manifest changes use optimistic concurrency control: each entry names the
//! revision it is based on, the first change by offset wins, and a later change
//! that is based on an older revision is rejected as a whole.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::lease::{LeaseTable, LeaseVerdict};
use crate::manifest::Manifest;
use crate::manifest_check;
use crate::manifest_fault::Problem;
use crate::manifest_index::ManifestIndex;
use crate::prelude::*;
use crate::record::{
    Entry, EntryChange, EntryKey, LogEntry, ManifestChange, Record, RecordId, Unreadable,
};

/// A change that the log accepts later than this after it was made is rejected.
/// Record ids therefore have to be kept for duplicate detection only for this long
/// plus [`MAX_SKEW`].
pub const CHANGE_WINDOW: Millis = Millis(10 * 60 * 1000);

/// How far the clock of an author may be ahead of the clock of the log.
pub const MAX_SKEW: Millis = Millis(60 * 1000);

/// The change that last wrote an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Offset of the change.
    pub offset: Offset,
    /// Author of the change.
    pub author: String,
}

/// An entry of a change that is not based on its current revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The entry.
    pub key: EntryKey,
    /// Revision that the rejected change is based on.
    pub base: Option<Offset>,
    /// The change that wrote or removed the entry; none when a removal is too old to
    /// be remembered or the entry never existed.
    pub winner: Option<Revision>,
}

/// Effect of a record on the fold.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The manifest has new values for these keys.
    Changed(Vec<EntryKey>),
    /// The change conflicts with earlier ones; nothing changed.
    Refused(Vec<Conflict>),
    /// The change would make the manifest invalid; nothing changed.
    Invalid(Vec<Problem>),
    /// The change was made too long before or after the time of its record; nothing
    /// changed.
    Untimely {
        /// When it was made, by its author's clock.
        made_at: Millis,
    },
    /// A record with the same id was applied before; nothing changed.
    Duplicate,
    /// The verdict on a lease record.
    Lease(LeaseVerdict),
    /// Part of a checkpoint, which changes nothing.
    Checkpoint,
    /// A record that belongs to another stream; nothing changed.
    Misplaced,
    /// A record that this version cannot decode; nothing changed.
    Unreadable(Unreadable),
    /// The record was applied before; the fold did not advance.
    Old,
    /// Records before this one are missing; the fold did not advance.
    Gap {
        /// The next offset to apply.
        expected: Offset,
    },
}

/// State of the control stream at one offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlFold {
    pub(crate) next: Offset,
    pub(crate) clock: Millis,
    pub(crate) chain: u64,
    pub(crate) manifest: Manifest,
    pub(crate) index: ManifestIndex,
    pub(crate) revisions: BTreeMap<EntryKey, Revision>,
    pub(crate) removed: Removals,
    pub(crate) leases: LeaseTable,
    pub(crate) seen: RecentIds,
}

/// The change that removed an entry, kept for [`CHANGE_WINDOW`] plus [`MAX_SKEW`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Removal {
    pub(crate) revision: Revision,
    pub(crate) at: Millis,
}

impl ControlFold {
    /// The next offset to apply; every record before it is applied.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Latest record time so far. It never decreases.
    pub fn clock(&self) -> Millis {
        self.clock
    }

    /// Running hash over the id, offset and time of all applied records. Two folds at
    /// the same offset have equal hashes exactly when they applied the same records,
    /// hash collisions aside.
    pub fn chain(&self) -> u64 {
        self.chain
    }

    /// The current manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Index of the references within the manifest, for checking further changes.
    pub fn index(&self) -> &ManifestIndex {
        &self.index
    }

    /// The change that last wrote an existing entry.
    pub fn revision(&self, key: &EntryKey) -> Option<&Revision> {
        self.revisions.get(key)
    }

    /// The leases, in force or not.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, entry: &LogEntry) -> Applied {
        if entry.offset < self.next {
            return Applied::Old;
        }
        if entry.offset > self.next {
            return Applied::Gap {
                expected: self.next,
            };
        }
        self.advance(entry);
        match &entry.record {
            Record::ManifestChange(change) => self.apply_once(entry, |fold| {
                fold.apply_change(entry.offset, entry.time, change)
            }),
            Record::LeaseGrant(grant) => self.apply_once(entry, |fold| {
                Applied::Lease(fold.leases.grant(entry.offset, fold.clock, grant))
            }),
            Record::LeaseRenew(renew) => Applied::Lease(self.leases.renew(self.clock, renew)),
            Record::LeaseRelease(release) => {
                Applied::Lease(self.leases.release(self.clock, release))
            }
            Record::Checkpoint(_) => Applied::Checkpoint,
            Record::Claims(_) | Record::Closing(_) => Applied::Misplaced,
            Record::Unreadable(unreadable) => Applied::Unreadable(unreadable.clone()),
        }
    }

    /// Replaces the fold by a copy from a peer or a checkpoint if the copy is at a
    /// later offset. Returns whether it did.
    pub fn adopt(&mut self, copy: ControlFold) -> bool {
        if copy.next <= self.next {
            return false;
        }
        *self = copy;
        true
    }

    /// The change that turns the current manifest into `new`, with each entry based on
    /// its current revision.
    pub fn diff(&self, new: &Manifest) -> Vec<EntryChange> {
        let based = |entry: Entry| EntryChange {
            base: self.revision(&entry.key()).map(|revision| revision.offset),
            entry,
        };
        diff(&self.manifest, new).into_iter().map(based).collect()
    }

    fn advance(&mut self, entry: &LogEntry) {
        self.next = entry.offset.next();
        self.clock = self.clock.max(entry.time);
        let position = (self.chain ^ entry.offset.0).rotate_left(17) ^ entry.time.0;
        self.chain = xxh3_64_with_seed(entry.id.as_str().as_bytes(), position);
        let horizon = self.clock.since(CHANGE_WINDOW + MAX_SKEW);
        self.seen.forget_before(horizon);
        self.removed.forget_before(horizon);
    }

    fn apply_once(
        &mut self,
        entry: &LogEntry,
        decide: impl FnOnce(&mut Self) -> Applied,
    ) -> Applied {
        if !self.seen.insert(self.clock, &entry.id) {
            return Applied::Duplicate;
        }
        decide(self)
    }

    fn apply_change(&mut self, offset: Offset, time: Millis, change: &ManifestChange) -> Applied {
        let made_at = change.made_at;
        if made_at > time + MAX_SKEW || time.max(self.clock) > made_at + CHANGE_WINDOW {
            return Applied::Untimely { made_at };
        }
        let conflicts = self.conflicts(&change.entries);
        if !conflicts.is_empty() {
            return Applied::Refused(conflicts);
        }
        let problems = self.check(&change.entries);
        if !problems.is_empty() {
            return Applied::Invalid(problems);
        }
        let revision = Revision {
            offset,
            author: change.author.clone(),
        };
        for item in &change.entries {
            self.put(&item.entry, &revision);
        }
        Applied::Changed(change.entries.iter().map(|item| item.entry.key()).collect())
    }

    /// Problems of a change itself, regardless of the revisions it is based on.
    pub fn check(&self, changes: &[EntryChange]) -> Vec<Problem> {
        manifest_check::check_change(&self.manifest, &self.index, changes)
    }

    /// The entries of a change that are not based on their current revisions.
    pub fn conflicts(&self, changes: &[EntryChange]) -> Vec<Conflict> {
        changes
            .iter()
            .filter_map(|change| self.conflict(change))
            .collect()
    }

    fn conflict(&self, change: &EntryChange) -> Option<Conflict> {
        let key = change.entry.key();
        let current = self.revisions.get(&key);
        if current.map(|revision| revision.offset) == change.base {
            return None;
        }
        let removal = self
            .removed
            .by_key
            .get(&key)
            .map(|removal| &removal.revision);
        let winner = current.or(removal).cloned();
        let base = change.base;
        Some(Conflict { key, base, winner })
    }

    pub(crate) fn put(&mut self, entry: &Entry, revision: &Revision) {
        self.index.replace(&self.manifest, entry);
        let key = entry.key();
        if entry.is_removal() {
            let removal = Removal {
                revision: revision.clone(),
                at: self.clock,
            };
            self.revisions.remove(&key);
            self.removed.insert(&key, removal);
        } else {
            self.removed.remove(&key);
            self.revisions.insert(key, revision.clone());
        }
        put_entry(&mut self.manifest, entry);
    }
}

/// Inserts, replaces or removes one entry of a manifest.
pub fn put_entry(manifest: &mut Manifest, entry: &Entry) {
    match entry {
        Entry::Workspace { name, value } => set(&mut manifest.workspaces, name, value.as_ref()),
        Entry::Kind { name, value } => set(&mut manifest.kinds, name, value.as_ref()),
        Entry::Model { name, value } => set(&mut manifest.models, name, value.as_ref()),
        Entry::Service { name, value } => set(&mut manifest.services, name, value.as_ref()),
        Entry::Engine { name, value } => set(&mut manifest.engines, name, value.as_ref()),
    }
}

fn set<K: Ord + Clone, V: Clone>(section: &mut BTreeMap<K, V>, name: &K, value: Option<&V>) {
    match value {
        Some(value) => section.insert(name.clone(), value.clone()),
        None => section.remove(name),
    };
}

/// The entries that differ between two manifests: the new value of each added or
/// changed entry, and a removal of each entry that `new` does not have.
pub fn diff(old: &Manifest, new: &Manifest) -> Vec<Entry> {
    let mut entries = Vec::new();
    diff_section(&old.workspaces, &new.workspaces, |name, value| {
        entries.push(Entry::Workspace { name, value });
    });
    diff_section(&old.kinds, &new.kinds, |name, value| {
        entries.push(Entry::Kind { name, value });
    });
    diff_section(&old.models, &new.models, |name, value| {
        entries.push(Entry::Model { name, value });
    });
    diff_section(&old.services, &new.services, |name, value| {
        entries.push(Entry::Service { name, value });
    });
    diff_section(&old.engines, &new.engines, |name, value| {
        entries.push(Entry::Engine { name, value });
    });
    entries
}

fn diff_section<K: Ord + Clone, V: Clone + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    mut found: impl FnMut(K, Option<V>),
) {
    for (name, value) in new {
        if old.get(name) != Some(value) {
            found(name.clone(), Some(value.clone()));
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        found(name.clone(), None);
    }
}

/// Recent removals by key and by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Removals {
    pub(crate) by_key: BTreeMap<EntryKey, Removal>,
    order: BTreeSet<(Millis, EntryKey)>,
}

impl Removals {
    pub(crate) fn insert(&mut self, key: &EntryKey, removal: Removal) {
        self.remove(key);
        self.order.insert((removal.at, key.clone()));
        self.by_key.insert(key.clone(), removal);
    }

    fn remove(&mut self, key: &EntryKey) {
        if let Some(removal) = self.by_key.remove(key) {
            self.order.remove(&(removal.at, key.clone()));
        }
    }

    fn forget_before(&mut self, horizon: Millis) {
        while self.order.first().is_some_and(|(at, _)| *at < horizon) {
            if let Some((_, key)) = self.order.pop_first() {
                self.by_key.remove(&key);
            }
        }
    }
}

/// Ids of recent records in the order of their times, for duplicate detection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecentIds {
    pub(crate) order: VecDeque<(Millis, RecordId)>,
    ids: BTreeSet<RecordId>,
}

impl RecentIds {
    /// Adds an id. Returns false when it was present already.
    pub(crate) fn insert(&mut self, at: Millis, id: &RecordId) -> bool {
        if !self.ids.insert(id.clone()) {
            return false;
        }
        self.order.push_back((at, id.clone()));
        true
    }

    fn forget_before(&mut self, horizon: Millis) {
        while self.order.front().is_some_and(|(at, _)| *at < horizon) {
            if let Some((_, id)) = self.order.pop_front() {
                self.ids.remove(&id);
            }
        }
    }
}
