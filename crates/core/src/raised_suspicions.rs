//! Suspicions that this node raised itself.

use std::collections::BTreeMap;

use crate::members::{MemberState, Report};
use crate::prelude::*;

/// Most disputed instances that are tried at a time.
const MAX_DISPUTED: usize = 4;

#[derive(Clone, Copy, Debug)]
struct RaisedSuspicion {
    state: MemberState,
    /// True once the instance has refuted it, while this node still cannot reach
    /// it: then only the way between the two is known to be broken, and another
    /// node is asked before the suspicion is raised again.
    refuted: bool,
}

/// Raised suspicions by instance, until the instance is heard again.
#[derive(Clone, Debug, Default)]
pub struct RaisedSuspicions {
    map: BTreeMap<InstanceId, RaisedSuspicion>,
}

impl RaisedSuspicions {
    /// Notes a new suspicion.
    pub fn raise(&mut self, report: &Report) {
        let suspicion = RaisedSuspicion {
            state: report.state,
            refuted: false,
        };
        self.map.insert(report.instance.clone(), suspicion);
    }

    /// Drops the suspicion of an instance.
    pub fn drop_for(&mut self, name: &InstanceId) {
        self.map.remove(name);
    }

    /// Notes a report; true when it is the first that refutes a suspicion.
    pub fn refuted_by(&mut self, report: &Report) -> bool {
        match self.map.get_mut(&report.instance) {
            Some(suspicion) if report.state > suspicion.state && !suspicion.refuted => {
                suspicion.refuted = true;
                true
            }
            _ => false,
        }
    }

    /// Whether the instance refuted a suspicion and is still out of reach.
    pub fn is_disputed(&self, name: &InstanceId) -> bool {
        self.map
            .get(name)
            .is_some_and(|suspicion| suspicion.refuted)
    }

    /// A bounded number of disputed instances.
    pub fn disputed(&self) -> Vec<InstanceId> {
        self.map
            .iter()
            .filter(|(_, suspicion)| suspicion.refuted)
            .map(|(name, _)| name.clone())
            .take(MAX_DISPUTED)
            .collect()
    }
}
