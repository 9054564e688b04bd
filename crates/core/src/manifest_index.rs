//! What the entries of a manifest refer to, indexed for checks of changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::manifest::{Manifest, Target, Workspace};
use crate::prelude::*;
use crate::record::{Entry, EntryKey};

/// What a manifest refers to, kept so that a change is checked by its own size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ManifestIndex {
    hash_owners: BTreeMap<String, WorkspaceId>,
    target_users: BTreeMap<EntryKey, BTreeSet<KindName>>,
}

impl ManifestIndex {
    /// The workspace whose callers present a key with this hash.
    pub fn hash_owner(&self, hash: &str) -> Option<&WorkspaceId> {
        self.hash_owners.get(hash)
    }

    /// The kinds that go to a model or a service.
    pub fn users(&self, target: &EntryKey) -> impl Iterator<Item = &KindName> {
        self.target_users.get(target).into_iter().flatten()
    }

    /// Follows an entry that is about to replace `manifest`'s.
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
            // Another workspace of the same change may have taken it over already.
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

/// The key of the entry that a kind goes to.
pub fn target_key(target: &Target) -> EntryKey {
    match target {
        Target::Model(name) => EntryKey::Model(name.clone()),
        Target::Service(name) => EntryKey::Service(name.clone()),
    }
}
