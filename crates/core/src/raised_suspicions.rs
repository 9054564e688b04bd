//! Suspicions that this node itself has raised.

use std::collections::BTreeMap;

use crate::members::{MemberState, Report};
use crate::prelude::*;

/// Maximum number of disputed instances that are tried at a time.
const MAX_DISPUTED: usize = 4;

#[derive(Clone, Copy, Debug)]
struct RaisedSuspicion {
    state: MemberState,
    /// True once the instance has refuted it while this node still cannot reach it.
    /// The suspicion is then disputed: only the path between the two is known to be
    /// broken. This node asks another one to probe the instance instead of raising the
    /// suspicion again.
    refuted: bool,
}

/// Raised suspicions by instance, each kept until there is contact with the instance.
#[derive(Clone, Debug, Default)]
pub struct RaisedSuspicions {
    map: BTreeMap<InstanceId, RaisedSuspicion>,
}

impl RaisedSuspicions {
    /// Adds a suspicion.
    pub fn raise(&mut self, report: &Report) {
        let suspicion = RaisedSuspicion {
            state: report.state,
            refuted: false,
        };
        self.map.insert(report.instance.clone(), suspicion);
    }

    /// Removes the suspicion of an instance.
    pub fn drop_for(&mut self, name: &InstanceId) {
        self.map.remove(name);
    }

    /// Processes a report. Returns true when it is the first to refute a suspicion.
    pub fn refuted_by(&mut self, report: &Report) -> bool {
        match self.map.get_mut(&report.instance) {
            Some(suspicion) if report.state > suspicion.state && !suspicion.refuted => {
                suspicion.refuted = true;
                true
            }
            _ => false,
        }
    }

    /// Whether the instance has refuted a suspicion and this node still cannot reach it.
    pub fn is_disputed(&self, name: &InstanceId) -> bool {
        self.map
            .get(name)
            .is_some_and(|suspicion| suspicion.refuted)
    }

    /// Disputed instances, at most a bounded number of them.
    pub fn disputed(&self) -> Vec<InstanceId> {
        self.map
            .iter()
            .filter(|(_, suspicion)| suspicion.refuted)
            .map(|(name, _)| name.clone())
            .take(MAX_DISPUTED)
            .collect()
    }
}
