//! Index of the references between the entries of a manifest.

use std::collections::{BTreeMap, BTreeSet};

use crate::manifest::{Manifest, Target, Workspace};
use crate::prelude::*;
use crate::record::{Entry, EntryKey};

/// References within a manifest, so that the cost of checking a change depends on the
/// size of the change only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ManifestIndex {
    hash_owners: BTreeMap<String, WorkspaceId>,
    target_users: BTreeMap<EntryKey, BTreeSet<KindName>>,
}

impl ManifestIndex {
    /// The workspace that has this key hash.
    pub fn hash_owner(&self, hash: &str) -> Option<&WorkspaceId> {
        self.hash_owners.get(hash)
    }

    /// The kinds whose target is this model or service.
    pub fn users(&self, target: &EntryKey) -> impl Iterator<Item = &KindName> {
        self.target_users.get(target).into_iter().flatten()
    }

    /// Updates the index for an entry that is about to be written to `manifest`.
    pub fn replace(&mut self, manifest: &Manifest, entry: &Entry) {
        match entry {
            Entry::Workspace { name, value } => {
                let old = manifest.workspaces.get(name);
                self.forget_hashes(name, old);
                for hash in value.iter().flat_map(|new| &new.key_hashes) {
                    self.hash_owners.insert(hash.clone(), name.clone());
                }
            }
            Entry::Kind { name, value } => {
                if let Some(old) = manifest.kinds.get(name) {
                    self.forget_user(&target_key(&old.target), name);
                }
                if let Some(new) = value {
                    let users = self.target_users.entry(target_key(&new.target));
                    users.or_default().insert(name.clone());
                }
            }
            Entry::Model { .. } | Entry::Service { .. } | Entry::Engine { .. } => {}
        }
    }

    fn forget_hashes(&mut self, name: &WorkspaceId, old: Option<&Workspace>) {
        for hash in old.iter().flat_map(|old| &old.key_hashes) {
            // Another workspace of the same change may already own the hash.
            if self.hash_owners.get(hash) == Some(name) {
                self.hash_owners.remove(hash);
            }
        }
    }

    fn forget_user(&mut self, target: &EntryKey, kind: &KindName) {
        let Some(users) = self.target_users.get_mut(target) else {
            return;
        };
        users.remove(kind);
        if users.is_empty() {
            self.target_users.remove(target);
        }
    }
}

/// Key of the entry that a target refers to.
pub fn target_key(target: &Target) -> EntryKey {
    match target {
        Target::Model(name) => EntryKey::Model(name.clone()),
        Target::Service(name) => EntryKey::Service(name.clone()),
    }
}
