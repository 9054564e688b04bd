//! How the last runs of a service ended: how rare crashes are there.

use std::collections::VecDeque;

/// Number of runs that are remembered.
const MAX_RUNS: usize = 256;

/// Factor by which a crash has to be rarer for one more unit of evidence.
const RARITY_BASE: usize = 4;

/// Ends of the last runs of one service at this node.
#[derive(Debug, Default)]
pub struct RunOutcomes {
    /// The incarnation that a run ended with before it brought an event; none for a run
    /// that brought one.
    runs: VecDeque<Option<u64>>,
}

impl RunOutcomes {
    /// Records the end of a run; `crashed` is the incarnation that it ended with, if any.
    pub fn add(&mut self, crashed: Option<u64>) {
        if self.runs.len() == MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(crashed);
    }

    /// How rare it is that a run ends with its endpoint, as the logarithm of the odds.
    /// Crashes that a suspect explains are left out; one more counts as seen, so that few
    /// runs show little.
    pub fn rarity(&self, is_explained: impl Fn(u64) -> bool) -> u32 {
        let answered = self.runs.iter().filter(|run| run.is_none()).count();
        let crashed = self.runs.iter().flatten();
        let unexplained = crashed.filter(|engine| !is_explained(**engine)).count();
        let odds = answered / (unexplained + 1);
        odds.checked_ilog(RARITY_BASE).unwrap_or(0)
    }
}
