//! How many engines of a service may load weights at once.
//!
//! The number is judged by rounds: as many loads as may run at once. A round without a
//! slowdown lets more load at once if the roll-out is behind. A round in which loads slow each
//! other down lets fewer load, on probation: if those last as long, their number was not the
//! cause, and the reduction is undone.

use super::load::Load;
use crate::clock::Millis;

/// Multiple of the usual duration from which on concurrent loads count as slowed down by
/// each other.
const SLOWED_FACTOR: f64 = 1.1;

/// The number of concurrent loads grows by itself divided by this once a slowdown was met;
/// before that, it doubles.
const GROWTH_DIVISOR: usize = 4;

/// One engine less may load at once if one in this many loads of a round, or more, lasts
/// longer than usual. An engine that crashes or has no room while it loads says nothing about
/// the others.
const LOADS_PER_SLOWED: usize = 4;

/// If one in this many lasts longer, the loads themselves show how many are too many.
const LOADS_PER_CERTAIN: usize = 2;

/// Multiple of the time for a roll-out that it may take before more engines load at once.
const TOLERATED_DELAY: f64 = 1.25;

/// Engines that have to load by the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueLoads {
    /// Number of engines.
    pub engines: usize,
    /// Time in which they should be done, in ms.
    pub within_ms: Millis,
}

/// Loads that are still to be done, those that are due first first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog(Vec<DueLoads>);

impl Backlog {
    /// The loads of these engines.
    pub fn new(mut due: Vec<DueLoads>) -> Self {
        due.sort_unstable_by_key(|due| due.within_ms);
        Self(due)
    }

    /// Number of engines that must load at once so that all are done in time, if a load takes
    /// `load_ms`. Those that are late already should all load at once.
    pub fn needed_at_once(&self, load_ms: Millis) -> usize {
        let mut engines = 0;
        let needed = self.0.iter().map(|due| {
            engines += due.engines as Millis;
            (engines * load_ms).div_ceil(due.within_ms.max(load_ms).max(1))
        });
        needed.max().unwrap_or(0) as usize
    }
}

/// Loads since the number of concurrent ones was last judged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Round {
    done: usize,
    /// Loads that lasted longer than usual.
    slowed: usize,
    /// Largest number of engines that may have loaded at once in the usual time, by the loads
    /// that lasted longer.
    sustainable: usize,
    /// Shortest time for which one of those was seen to last, in ms.
    lasted_ms: Option<Millis>,
    /// Shortest time after which one of those was surely done, in ms.
    took_ms: Option<Millis>,
}

impl Round {
    fn add(&mut self, load: &Load, sustainable: usize, took_ms: Option<Millis>) {
        let shorter = |known: Option<Millis>, ms| Some(known.map_or(ms, |known| known.min(ms)));
        self.slowed += 1;
        self.sustainable = self.sustainable.max(sustainable);
        self.lasted_ms = shorter(self.lasted_ms, load.busy_ms());
        if let Some(took_ms) = took_ms {
            self.took_ms = shorter(self.took_ms, took_ms);
        }
    }
}

/// A reduction that the next round has to confirm.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Reduction {
    /// Number of concurrent loads before.
    before: usize,
    /// How long the loads lasted that led to it, in ms.
    lasted_ms: Millis,
}

/// What the loads of a round mean for the usual duration of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// Nothing.
    Unchanged,
    /// Loads last longer whatever their number: this long at most, in ms.
    Longer(Millis),
}

/// Number of engines that may load at once.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadWindow {
    size: usize,
    /// True once more loads at once were found to slow each other down.
    slows: bool,
    /// Number that may load at once if the last growth was too much.
    proven: usize,
    /// True until a round was done since the last growth.
    on_trial: bool,
    /// Loads without a slowdown since the number changed.
    steady: usize,
    round: Round,
    /// When fewer engines were let load at once; loads that began before say nothing more.
    reduced_at: Millis,
    reduction: Option<Reduction>,
}

impl LoadWindow {
    /// A number that has not been judged yet. `slows` is true if more were found to slow each
    /// other down.
    pub fn new(size: usize, slows: bool) -> Self {
        Self {
            size,
            slows,
            proven: 1,
            on_trial: false,
            steady: 0,
            round: Round::default(),
            reduced_at: 0,
            reduction: None,
        }
    }

    /// Number of engines that may load at once.
    pub fn size(&self) -> usize {
        self.size
    }

    /// True once more loads at once were found to slow each other down.
    pub fn slows(&self) -> bool {
        self.slows
    }

    /// True until a round was done since the number grew.
    pub fn is_on_trial(&self) -> bool {
        self.on_trial
    }

    /// True if a load lasts longer than `usual` ms and its round should judge it: others were in
    /// progress, or the last reduction is on probation, which even a load alone can refute.
    pub fn is_slowed(&self, load: &Load, usual: Millis) -> bool {
        let is_longer = load.busy_ms() as f64 > usual as f64 * SLOWED_FACTOR;
        is_longer && (load.concurrent > 1 || self.reduction.is_some())
    }

    /// Number of concurrent loads at which a slowed load would have taken the usual time.
    fn sustainable_by(load: &Load, usual: Millis) -> usize {
        let sustainable = load.concurrent as f64 * usual as f64 / load.busy_ms() as f64;
        (sustainable.round() as usize).clamp(1, load.concurrent.saturating_sub(1).max(1))
    }

    /// Judges the loads of a round, the last of which was seen at `now`.
    fn judge(&mut self, round: Round, now: Millis) -> Judgement {
        let is_certain = round.slowed * LOADS_PER_CERTAIN >= self.size;
        let is_likely = round.slowed * LOADS_PER_SLOWED >= self.size;
        let Some(lasted_ms) = round.lasted_ms.filter(|_| is_likely) else {
            return Judgement::Unchanged;
        };
        let reduction = self.reduction.take();
        if let Some(reduction) = reduction.filter(|it| !self.has_helped(*it, lasted_ms)) {
            return self.undo(reduction, round, now);
        }
        self.reduce(round, lasted_ms, is_certain, now);
        Judgement::Unchanged
    }

    /// True if loads became shorter with their number.
    fn has_helped(&self, reduction: Reduction, lasted_ms: Millis) -> bool {
        let share = self.size as f64 / reduction.before as f64;
        let midway = reduction.lasted_ms as f64 * (1.0 + share) / 2.0;
        (lasted_ms as f64) < midway
    }

    fn undo(&mut self, reduction: Reduction, round: Round, now: Millis) -> Judgement {
        self.size = reduction.before;
        self.slows = false;
        self.restart(now);
        round
            .took_ms
            .map_or(Judgement::Unchanged, Judgement::Longer)
    }

    fn reduce(&mut self, round: Round, lasted_ms: Millis, is_certain: bool, now: Millis) {
        let most = self.size.saturating_sub(1).max(1);
        let size = if self.on_trial {
            round.sustainable.max(self.proven)
        } else if is_certain {
            round.sustainable
        } else {
            most
        };
        self.reduction = Some(Reduction {
            before: self.size,
            lasted_ms,
        });
        self.size = size.clamp(1, most);
        self.slows = true;
        self.restart(now);
    }

    /// Begins to count anew after the number was reduced, or restored.
    fn restart(&mut self, now: Millis) {
        self.on_trial = false;
        self.steady = 0;
        self.reduced_at = now;
        self.round = Round::default();
    }

    /// Learns from loads that are still in progress. Whether a reduction was right is seen when
    /// loads are done.
    pub fn learn_from_progress<'a>(
        &mut self,
        loads: impl Iterator<Item = &'a Load>,
        usual: Millis,
    ) {
        if self.reduction.is_some() {
            return;
        }
        let mut round = self.round;
        let mut seen_at = 0;
        for load in loads {
            if load.started_at >= self.reduced_at && !load.unwatched && self.is_slowed(load, usual)
            {
                round.add(load, Self::sustainable_by(load, usual), None);
                seen_at = seen_at.max(load.started_at + load.busy_ms());
            }
        }
        if round != self.round {
            self.judge(round, seen_at);
        }
    }

    /// Learns from a load that lasted longer than usual and was done after `took` ms at the
    /// latest.
    pub fn learn_slowed(&mut self, load: &Load, took: Millis, usual: Millis) -> Judgement {
        let mut judgement = Judgement::Unchanged;
        if load.started_at >= self.reduced_at {
            self.round
                .add(load, Self::sustainable_by(load, usual), Some(took));
            judgement = self.judge(self.round, load.started_at + load.busy_ms());
        }
        self.count_done();
        judgement
    }

    /// Counts a load that was done. Too little is known of one that lasted hardly longer than
    /// usual to tell whether loads slow each other down.
    pub fn count_done(&mut self) {
        self.round.done += 1;
        if self.round.done >= self.size {
            self.round = Round::default();
        }
    }

    /// Learns from a load that took the usual time: after a round of such loads, more engines
    /// may load at once if so many need to.
    pub fn learn_usual(&mut self, load: &Load, needed: usize) {
        self.count_done();
        if load.started_at < self.reduced_at {
            return;
        }
        self.steady += 1;
        if self.steady < self.size {
            return;
        }
        self.on_trial = false;
        self.reduction = None;
        if needed as f64 <= self.size as f64 * TOLERATED_DELAY {
            return;
        }
        let more = if self.slows {
            (self.size / GROWTH_DIVISOR).max(1)
        } else {
            self.size
        };
        self.proven = self.size;
        self.size = needed.min(self.size + more);
        self.steady = 0;
        self.on_trial = true;
        self.round = Round::default();
    }
}
