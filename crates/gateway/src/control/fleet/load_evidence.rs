//! What refusals, first tokens and news of other nodes tell of an engine's load of weights.

use super::{EndpointState, NEWS_DELAY_MS};
use crate::clock::Millis;
use crate::control::load::Load;

/// Shortest time for which an engine gets no requests after it refused one while loading
/// weights, in ms.
const MIN_RECHECK_MS: Millis = 20;

/// Part of the time since the start of a load for which its engine gets no requests after
/// it refused one, if the duration of loads is known.
const RECHECKS_PER_LOAD: Millis = 8;

/// The same for a load whose start is not known, which therefore lasts longer than it
/// seems.
const RECHECKS_PER_UNKNOWN_LOAD: Millis = 2;

/// Multiple of the time for which a load was seen or expected to last, after which another refusal
/// tells of something else.
const LOAD_LAPSE: Millis = 8;

/// Multiple of the time since the start of a load for which an earlier refusal without one makes
/// those during the load doubtful: one 7 s before the start does so from 1 s after it on.
const DOUBT_FACTOR: Millis = 8;

impl EndpointState {
    /// Records that another node tells of a load. Returns false if it is already done.
    pub fn load_told(&mut self, load: Load) -> bool {
        match &mut self.load {
            Some(known) if known.version == load.version => {
                known.concurrent = known.concurrent.max(load.concurrent);
                !known.is_done()
            }
            _ => {
                self.load = Some(load);
                true
            }
        }
    }

    /// True if a request is on its way that will show whether the engine's load is done.
    /// Others follow once it has got an answer, or the load is surely done.
    pub(super) fn awaits_trial(&self, now: Millis) -> bool {
        let load = self.load.as_ref().filter(|load| load.may_last(now));
        load.is_some_and(|load| self.runs.values().any(|run| run.tries(load)))
    }

    /// Records that the engine is done with its load, and returns it; none if it is not
    /// loading.
    pub fn load_done(&mut self, now: Millis) -> Option<Load> {
        let load = self.load.as_mut().filter(|load| !load.is_done())?;
        load.done_at = Some(now);
        self.loading_until = self.loading_until.min(now);
        Some(load.clone())
    }

    /// True if an engine that refused a request may have done so for want of room: others wait
    /// there, which it would have refused as well if it were loading, and no load is known
    /// that should still be in progress.
    pub(super) fn may_be_full(&self, now: Millis) -> bool {
        let is_loading = self.load.as_ref().is_some_and(|load| load.may_last(now));
        !is_loading && self.waiting(now) > 0
    }

    /// Time since the start of the load in progress at which a refusal last showed it, in ms; 0
    /// if none did.
    pub fn busy_ms(&self) -> Millis {
        let load = self.load.as_ref().filter(|load| !load.is_done());
        let load = load.filter(|load| load.version.is_some());
        load.map_or(0, |load| load.refused_ms)
    }

    /// True if nothing was heard of a load for several times as long as it was seen or expected to
    /// last: a refusal then tells of something else. A load of which neither is known does not
    /// lapse.
    fn has_lapsed(&self, load: &Load, now: Millis) -> bool {
        let closed_ms = self.loading_until.saturating_sub(load.started_at);
        let known_ms = closed_ms.max(load.sure_ms).max(load.busy_ms());
        let silent_ms = load.elapsed(now).saturating_sub(known_ms);
        known_ms > 0 && silent_ms > LOAD_LAPSE * known_ms
    }

    /// Records that the engine refused a request as it would while it loads weights, `busy_ms`
    /// after the start of its load; none if that is now. Returns how long it gets no others, in
    /// ms.
    pub fn refused_while_loading(&mut self, busy_ms: Option<Millis>, now: Millis) -> Millis {
        if busy_ms.is_some() && self.was_loading(now) {
            return 0;
        }
        let known = self.load.take();
        let known = known.filter(|load| !load.is_done() && !self.has_lapsed(load, now));
        let mut load = known.unwrap_or_else(|| Load::new(None, 0, now));
        let elapsed = load.elapsed(now);
        let rechecks = if load.version.is_none() {
            self.refused_idle_at = Some(now);
            RECHECKS_PER_UNKNOWN_LOAD
        } else {
            RECHECKS_PER_LOAD
        };
        if !self.refuses_idle(elapsed, now) {
            load.saw_refusal(busy_ms.unwrap_or(elapsed).min(elapsed));
        }
        let pause = (elapsed / rechecks).max(MIN_RECHECK_MS);
        self.load = Some(load);
        self.loading_until = self.loading_until.max(now + pause);
        pause
    }

    /// True if its load was done so short a time ago that news from before may still arrive.
    fn was_loading(&self, now: Millis) -> bool {
        let done_at = self.load.as_ref().and_then(|load| load.done_at);
        done_at.is_some_and(|at| now < at + NEWS_DELAY_MS)
    }

    /// True if it has refused requests for other reasons than a load a short time ago, compared
    /// with the time since its load began. Refusals then say nothing about the load.
    fn refuses_idle(&self, elapsed: Millis, now: Millis) -> bool {
        let refused_at = self.refused_idle_at;
        refused_at.is_some_and(|at| now <= at + DOUBT_FACTOR * elapsed)
    }
}
