//! Permits in flight on one engine, by permit, request and entry node.

use std::collections::BTreeMap;

use crate::permit::{EntryRef, PermitId};
use crate::prelude::*;

/// A permit in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// The node that holds it.
    pub entry: EntryRef,
    /// The request that runs under it.
    pub request: RequestId,
    /// When it was granted or reported.
    pub since: Millis,
    /// Blocks that the prefix model held for the request.
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

    /// True when no permit is in flight.
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    /// The permit with this identifier.
    pub fn get(&self, permit: PermitId) -> Option<&Permit> {
        self.permits.get(&permit)
    }

    /// The latest permit of a request.
    pub fn of_request(&self, request: &RequestId) -> Option<(PermitId, &Permit)> {
        let id = *self.by_request.get(request)?;
        Some((id, self.permits.get(&id)?))
    }

    /// Adds a permit; one that is in the table already stays as it is.
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

    /// Removes the permits of an instance up to this incarnation.
    pub fn remove_entry(&mut self, entry: &EntryRef) -> Vec<PermitId> {
        let lost: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, permit)| is_same_or_earlier(&permit.entry, entry))
            .map(|(id, _)| *id)
            .collect();
        for id in &lost {
            self.remove(*id);
        }
        lost
    }

    /// Permits of one life of a node that were granted before `limit`.
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

/// True when `entry` is the same instance as `lost` and not a later life of it.
pub fn is_same_or_earlier(entry: &EntryRef, lost: &EntryRef) -> bool {
    entry.instance == lost.instance && entry.incarnation <= lost.incarnation
}
