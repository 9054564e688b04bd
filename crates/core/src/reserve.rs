//! Permits that an entry node grants itself while the home of an engine does not answer.
//!
//! The reserve is a small part of the slots of the engine, so that all nodes together
//! cannot overload it. The home learns of these permits from the next report of live
//! permits that the node sends.

use std::collections::BTreeMap;

use crate::permit::{LivePermit, PermitId, PermitIds};
use crate::prelude::*;

/// Reserve permits in use on one engine.
#[derive(Clone, Debug, Default)]
struct EnginePermits {
    incarnation: Incarnation,
    permits: BTreeMap<PermitId, RequestId>,
}

/// Reserve permits of one entry node on all engines.
#[derive(Clone, Debug)]
pub struct Reserve {
    ids: PermitIds,
    used: BTreeMap<EngineId, EnginePermits>,
}

impl Reserve {
    /// Creates an unused reserve. `seed` must be unique among all incarnations of all
    /// nodes and must differ from the seeds of homes.
    pub fn new(seed: u64) -> Self {
        Self {
            ids: PermitIds::new(seed),
            used: BTreeMap::new(),
        }
    }

    /// Number of permits that one of `entries` nodes may grant itself on an engine with
    /// `slots` slots; at least one.
    pub fn permits_per_node(slots: u32, entries: u32) -> usize {
        (slots / entries.max(1)).max(1) as usize
    }

    /// Takes a permit for the request; `None` if `size` permits are in use or a later
    /// incarnation of the engine is known. A later incarnation ends the permits of
    /// earlier ones.
    pub fn take(
        &mut self,
        engine: &EngineId,
        incarnation: Incarnation,
        size: usize,
        request: &RequestId,
    ) -> Option<LivePermit> {
        let used = self.used.entry(engine.clone()).or_default();
        if incarnation < used.incarnation {
            return None;
        }
        if incarnation > used.incarnation {
            used.permits.clear();
            used.incarnation = incarnation;
        }
        if used.permits.len() >= size {
            return None;
        }
        let permit = self.ids.issue();
        used.permits.insert(permit, request.clone());
        Some(LivePermit {
            permit,
            request: request.clone(),
            incarnation,
        })
    }

    /// Returns a permit to the reserve; false if the permit is not one of the reserve.
    pub fn release(&mut self, engine: &EngineId, permit: PermitId) -> bool {
        let used = self.used.get_mut(engine);
        used.is_some_and(|used| used.permits.remove(&permit).is_some())
    }

    /// Returns the permits in use on an engine, to be reported to its home.
    pub fn live(&self, engine: &EngineId) -> Vec<LivePermit> {
        let Some(used) = self.used.get(engine) else {
            return Vec::new();
        };
        let incarnation = used.incarnation;
        used.permits
            .iter()
            .map(|(&permit, request)| LivePermit {
                permit,
                request: request.clone(),
                incarnation,
            })
            .collect()
    }

    /// Removes the state of an engine that is no longer listed.
    pub fn forget(&mut self, engine: &EngineId) {
        self.used.remove(engine);
    }
}
