//! Permits that an entry node grants itself while an engine's home does not answer.
//!
//! The reserve is a small part of the engine's slots, so that all nodes together
//! cannot overload the engine. The home learns of its use from the node's next
//! report of live permits.

use std::collections::BTreeMap;

use crate::permit::{LivePermit, PermitId, PermitIds};
use crate::prelude::*;

/// Permits in use on one engine.
#[derive(Clone, Debug, Default)]
struct EnginePermits {
    incarnation: Incarnation,
    permits: BTreeMap<PermitId, RequestId>,
}

/// Reserve of one entry node on all engines.
#[derive(Clone, Debug)]
pub struct Reserve {
    ids: PermitIds,
    used: BTreeMap<EngineId, EnginePermits>,
}

impl Reserve {
    /// An unused reserve. `seed` must differ between all lives of all nodes and
    /// from the seeds of homes.
    pub fn new(seed: u64) -> Self {
        Self {
            ids: PermitIds::new(seed),
            used: BTreeMap::new(),
        }
    }

    /// Permits that one of `entries` nodes may grant itself on an engine.
    pub fn permits_per_node(slots: u32, entries: u32) -> usize {
        (slots / entries.max(1)).max(1) as usize
    }

    /// Takes a permit for the request; `None` when `size` permits are in use. A
    /// later incarnation of the engine ends the permits of earlier ones.
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

    /// Gives a permit back; false when it is not one of the reserve.
    pub fn release(&mut self, engine: &EngineId, permit: PermitId) -> bool {
        let used = self.used.get_mut(engine);
        used.is_some_and(|used| used.permits.remove(&permit).is_some())
    }

    /// Permits in use on an engine, to report to its home.
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

    /// Forgets an engine that is no longer listed.
    pub fn forget(&mut self, engine: &EngineId) {
        self.used.remove(engine);
    }
}
