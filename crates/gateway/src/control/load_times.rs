//! How long engines take to load weights, and how many may load at once, learnt from the
//! loads that were seen.

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingolock_wire::gossip::LoadTimeRecord;

use super::load::Load;
use super::load_window::{Backlog, Judgement, LoadWindow};
use crate::clock::Millis;

/// Shortest duration of a load that is learnt, in ms.
const MIN_LOAD_MS: Millis = 5;

/// Longest duration of a load that is learnt, in ms.
const MAX_LOAD_MS: Millis = 600_000;

/// Number of services whose loads are remembered.
const MAX_SERVICES: usize = 64;

/// Width of the interval that is known to contain the duration, relative to its end, from
/// which on it is narrowed no further.
const PRECISION: f64 = 0.1;

/// Position within that interval at which the next engine is used again: 0 is its start, 1
/// its end.
const TRIAL_SHARE: f64 = 0.75;

/// Part by which the lower end falls with a load that was done in the expected time, as
/// loads may take less time than they did. It doubles with each such load in turn.
const AT_LEAST_DECAY: f64 = 0.05;

/// Largest part by which it falls with one load.
const MAX_AT_LEAST_DECAY: f64 = 0.4;

/// Multiple of the longest usual duration after which a load counts as failed.
const FAILED_FACTOR: Millis = 8;

/// Multiple of the longest duration that a load may take while a larger number is on trial: the
/// number doubles at most, and so do loads that slow each other down.
const TRIAL_FACTOR: Millis = 2;

/// Fleet size per engine of the first loads, whose duration is not known.
const ENGINES_PER_FIRST_LOAD: usize = 10;

/// Number of engines among the first loads in a small fleet.
const MIN_FIRST_LOADS: usize = 2;

/// At most one engine in this many may load concurrently, so that the rest of the fleet
/// keeps serving.
const MIN_ENGINES_PER_LOAD: usize = 2;

/// A service's engines, and those that still have to load.
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    /// Number of engines.
    pub engines: usize,
    /// Loads that are still to be done.
    pub backlog: Backlog,
}

/// Largest number of so many engines that may load at once. With two or more, at least half
/// keep serving.
pub fn most_at_once(engines: usize) -> usize {
    (engines / MIN_ENGINES_PER_LOAD).max(1)
}

/// Number of so many engines that may load at once while the duration of loads is not known.
pub fn first_loads(engines: usize) -> usize {
    MIN_FIRST_LOADS.max(engines / ENGINES_PER_FIRST_LOAD)
}

/// What is known of the loads of one service's engines.
#[derive(Clone, Debug, PartialEq)]
struct LoadTime {
    /// Time after which engines were still loading, in ms.
    at_least: Millis,
    /// Time after which engines served again, in ms.
    at_most: Millis,
    /// Part by which the lower end falls with the next load.
    decay: f64,
    window: LoadWindow,
    learnt_at: Millis,
}

impl LoadTime {
    fn expected(&self) -> Millis {
        let width = self.at_most.saturating_sub(self.at_least);
        if width as f64 <= PRECISION * self.at_most as f64 {
            return self.at_most;
        }
        self.at_least + (width as f64 * TRIAL_SHARE) as Millis
    }

    /// Learns from a load that was done after `took` ms at the latest.
    fn learn(&mut self, load: &Load, took: Millis, fleet: &FleetLoad) {
        if self.window.is_slowed(load, self.at_most) {
            match self.window.learn_slowed(load, took, self.at_most) {
                Judgement::Longer(at_most) => self.set_longer(load.busy_ms(), at_most),
                Judgement::Unchanged => {}
            }
            return;
        }
        if load.busy_ms() < self.at_most {
            self.narrow(load.busy_ms(), took);
        } else if load.concurrent > 1 {
            self.window.count_done();
            return;
        } else {
            self.set_longer(load.busy_ms(), took);
        }
        let needed = fleet.backlog.needed_at_once(self.at_most);
        self.window
            .learn_usual(load, needed.min(most_at_once(fleet.engines)));
    }

    /// Learns that loads take longer than they did.
    fn set_longer(&mut self, at_least: Millis, at_most: Millis) {
        self.at_most = at_most.max(at_least);
        self.at_least = at_least;
    }

    /// Learns from a load that lasted between `busy_ms` and `took`, which may be less time than
    /// loads took before.
    fn narrow(&mut self, busy_ms: Millis, took: Millis) {
        let lower = (self.at_least as f64 * (1.0 - self.decay)) as Millis;
        self.decay = if busy_ms > lower {
            AT_LEAST_DECAY
        } else {
            (2.0 * self.decay).min(MAX_AT_LEAST_DECAY)
        };
        self.at_most = self.at_most.min(took);
        self.at_least = lower.max(busy_ms).min(self.at_most);
    }

    /// True if a record of another node says the same.
    fn says(&self, record: &LoadTimeRecord) -> bool {
        (self.at_least, self.at_most) == (record.at_least_ms, record.at_most_ms)
            && (self.window.size(), self.window.slows()) == (record.window as usize, record.slows)
    }

    /// Writes a line if another number of engines may load at once than before.
    fn log_change(&self, service: &str, before: usize) {
        let window = self.window.size();
        if window != before {
            log::info!(service, before, window, slows = self.window.slows(), usual_ms = self.at_most;
                "number of concurrent loads changed");
        }
    }
}

/// What is known of the loads of all services' engines.
#[derive(Debug, Default)]
pub struct LoadTimes {
    services: BTreeMap<Arc<str>, LoadTime>,
}

impl LoadTimes {
    /// Expected duration of a load, in ms; none if it is not known.
    pub fn expected(&self, service: &str) -> Option<Millis> {
        self.services.get(service).map(LoadTime::expected)
    }

    /// Time after which a load is surely done unless the engine says otherwise, in ms; none
    /// if it is not known.
    pub fn sure(&self, service: &str) -> Option<Millis> {
        let known = self.services.get(service)?;
        if known.window.is_on_trial() {
            return Some(known.at_most * TRIAL_FACTOR);
        }
        Some((known.at_most as f64 * (1.0 + PRECISION)) as Millis)
    }

    /// Time after which a load counts as failed, in ms. `unknown` stands for it as long as
    /// the duration is not known.
    pub fn failed_after(&self, service: &str, unknown: Millis) -> Millis {
        self.services
            .get(service)
            .map_or(unknown, |known| known.at_most * FAILED_FACTOR)
    }

    /// Number of engines of a service that may load at once. With two engines or more, at
    /// least half keep serving.
    pub fn max_concurrent(&self, service: &str, engines: usize) -> usize {
        let known = self.services.get(service);
        let window = known.map_or_else(|| first_loads(engines), |known| known.window.size());
        window.min(most_at_once(engines))
    }

    /// Learns from a load that is still in progress.
    pub fn note_progress(&mut self, service: &str, load: &Load) {
        self.note_all_progress(service, std::iter::once(load));
    }

    /// Learns from all loads of a service that are still in progress.
    pub fn note_all_progress<'a>(&mut self, service: &str, loads: impl Iterator<Item = &'a Load>) {
        if let Some(known) = self.services.get_mut(service) {
            let before = known.window.size();
            known.window.learn_from_progress(loads, known.at_most);
            known.log_change(service, before);
        }
    }

    /// Learns from a load that was done `took` ms after its start at the latest. Returns
    /// false if this says nothing about the duration.
    pub fn learn(
        &mut self,
        service: &Arc<str>,
        load: &Load,
        took: Millis,
        fleet: &FleetLoad,
        now: Millis,
    ) -> bool {
        if load.version.is_none() || load.unwatched || !(MIN_LOAD_MS..=MAX_LOAD_MS).contains(&took)
        {
            return false;
        }
        if let Some(known) = self.services.get_mut(service) {
            let before = known.window.size();
            known.learn(load, took, fleet);
            known.log_change(service, before);
            known.learnt_at = now;
            return true;
        }
        if self.services.len() == MAX_SERVICES {
            return false;
        }
        let known = LoadTime {
            at_least: load.busy_ms().min(took),
            at_most: took,
            decay: AT_LEAST_DECAY,
            window: LoadWindow::new(self.max_concurrent(service, fleet.engines), false),
            learnt_at: now,
        };
        self.services.insert(service.clone(), known);
        true
    }

    /// Returns what is known, for a node that has just started.
    pub fn list(&self, now: Millis) -> Vec<LoadTimeRecord> {
        let record = |(service, known): (&Arc<str>, &LoadTime)| LoadTimeRecord {
            service: service.to_string(),
            at_least_ms: known.at_least,
            at_most_ms: known.at_most,
            window: known.window.size() as u32,
            slows: known.window.slows(),
            age_ms: now.saturating_sub(known.learnt_at),
        };
        self.services.iter().map(record).collect()
    }

    /// Adds what another node knows, unless this node learnt something later. A lease holder
    /// that knows something hears only its own news again. Records that cannot be true are
    /// ignored.
    pub fn merge(&mut self, records: &[LoadTimeRecord], held_here: bool, now: Millis) {
        for record in records {
            let learnt_at = now.saturating_sub(record.age_ms);
            let is_sane = (MIN_LOAD_MS..=MAX_LOAD_MS).contains(&record.at_most_ms)
                && record.at_least_ms <= record.at_most_ms
                && record.window > 0;
            if !is_sane {
                log::warn!(record:? = record; "another node's duration of loads cannot be true; ignored");
                continue;
            }
            let known = self.services.get(record.service.as_str());
            let is_older = known.is_some_and(|known| {
                held_here || known.learnt_at >= learnt_at || known.says(record)
            });
            let is_full = known.is_none() && self.services.len() == MAX_SERVICES;
            if is_older || is_full {
                continue;
            }
            let known = LoadTime {
                at_least: record.at_least_ms,
                at_most: record.at_most_ms,
                decay: AT_LEAST_DECAY,
                window: LoadWindow::new(record.window as usize, record.slows),
                learnt_at,
            };
            self.services.insert(record.service.as_str().into(), known);
        }
    }
}
