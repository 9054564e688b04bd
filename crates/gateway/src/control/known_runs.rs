//! Runs at an endpoint, with a running sum of the tokens that they take in its memory.

use std::collections::BTreeMap;
use std::ops::Deref;

use crate::control::fleet::{RunId, RunningRequest};

/// Runs by their id. Reads go to the map, changes keep the sum.
#[derive(Debug, Default)]
pub struct KnownRuns {
    runs: BTreeMap<RunId, RunningRequest>,
    tokens: u64,
}

impl Deref for KnownRuns {
    type Target = BTreeMap<RunId, RunningRequest>;

    fn deref(&self) -> &Self::Target {
        &self.runs
    }
}

impl KnownRuns {
    /// Number of tokens that the runs take.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Adds a run, or replaces the one with this id.
    pub fn insert(&mut self, id: RunId, run: RunningRequest) {
        self.tokens += run.tokens();
        if let Some(before) = self.runs.insert(id, run) {
            self.tokens -= before.tokens();
        }
    }

    /// Removes a run.
    pub fn remove(&mut self, id: &RunId) -> Option<RunningRequest> {
        let run = self.runs.remove(id)?;
        self.tokens -= run.tokens();
        Some(run)
    }

    /// Returns a run for changes. Its tokens must stay as they are, or the sum becomes wrong.
    pub fn get_mut(&mut self, id: &RunId) -> Option<&mut RunningRequest> {
        self.runs.get_mut(id)
    }

    /// Keeps only the runs for which this is true.
    pub fn retain(&mut self, mut keeps: impl FnMut(&RunId, &RunningRequest) -> bool) {
        self.take_if(|id, run| !keeps(id, run));
    }

    /// Removes and returns the runs for which this is true.
    pub fn take_if(
        &mut self,
        mut is_taken: impl FnMut(&RunId, &RunningRequest) -> bool,
    ) -> BTreeMap<RunId, RunningRequest> {
        let taken = self.runs.extract_if(.., |id, run| is_taken(id, run));
        let taken: BTreeMap<RunId, RunningRequest> = taken.collect();
        self.tokens -= taken.values().map(RunningRequest::tokens).sum::<u64>();
        taken
    }
}
