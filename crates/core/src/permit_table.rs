//! Permits in flight on one engine, indexed by permit and by request.

use std::collections::BTreeMap;

use crate::permit::{EntryRef, PermitId};
use crate::prelude::*;

/// A permit in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// The entry node that holds the permit.
    pub entry: EntryRef,
    /// The request that runs under the permit.
    pub request: RequestId,
    /// When the permit was granted or reported.
    pub since: Millis,
    /// Leading blocks of the prompt that the prefix model contained when the permit was
    /// granted.
    pub model_blocks: u32,
}

/// Permits in flight on one engine.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
    permits: BTreeMap<PermitId, Permit>,
    by_request: BTreeMap<RequestId, PermitId>,
}

impl PermitTable {
    /// Number of permits in flight.
    pub fn len(&self) -> usize {
        self.permits.len()
    }

    /// True if no permit is in flight.
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    /// Returns the permit with this identifier.
    pub fn get(&self, permit: PermitId) -> Option<&Permit> {
        self.permits.get(&permit)
    }

    /// Returns the latest permit of a request.
    pub fn of_request(&self, request: &RequestId) -> Option<(PermitId, &Permit)> {
        let id = *self.by_request.get(request)?;
        Some((id, self.permits.get(&id)?))
    }

    /// Adds a permit; does nothing if the table already contains the identifier.
    pub fn insert(&mut self, id: PermitId, permit: Permit) {
        if self.permits.contains_key(&id) {
            return;
        }
        self.by_request.insert(permit.request.clone(), id);
        self.permits.insert(id, permit);
    }

    /// Removes a permit.
    pub fn remove(&mut self, id: PermitId) -> Option<Permit> {
        let permit = self.permits.remove(&id)?;
        if self.by_request.get(&permit.request) == Some(&id) {
            self.by_request.remove(&permit.request);
        }
        Some(permit)
    }

    /// Removes the permits of an instance that belong to this or an earlier incarnation.
    pub fn remove_entry(&mut self, entry: &EntryRef) -> Vec<PermitId> {
        let ids: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, permit)| is_same_or_earlier(&permit.entry, entry))
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    /// Returns the permits of one incarnation of a node that were granted or reported
    /// before `limit`.
    pub fn older_than(&self, entry: &EntryRef, limit: Millis) -> Vec<PermitId> {
        self.permits
            .iter()
            .filter(|(_, permit)| permit.entry == *entry && permit.since < limit)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Removes all permits.
    pub fn clear(&mut self) {
        self.permits.clear();
        self.by_request.clear();
    }
}

/// True if `entry` is the same instance as `lost` and not a later incarnation of it.
pub fn is_same_or_earlier(entry: &EntryRef, lost: &EntryRef) -> bool {
    entry.instance == lost.instance && entry.incarnation <= lost.incarnation
}
