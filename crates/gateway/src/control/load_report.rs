//! What an engine's report, which is some hundred milliseconds old, tells of its load.

use super::load::Load;
use crate::clock::Millis;
use crate::dialect::EngineReport;

/// Age that an engine's report may have, in ms.
pub const REPORT_AGE_MS: Millis = 400;

/// Delay after an order at which the first report is requested if the duration of loads is
/// not known, and shortest interval of the next ones, in ms.
pub const FIRST_REPORT_MS: Millis = 100;

/// A report that shows a load in progress is followed by the next one after the time since
/// the start of the load, divided by this.
const REPORTS_PER_LOAD: Millis = 4;

/// What an engine's report tells of its load.
pub enum Meaning {
    /// It is older than the end of the load, or than the order; the next one is due in so many
    /// ms.
    Outdated(Millis),
    /// The engine loads; the next report is due in so many ms.
    Loading(Millis),
    /// The load was done after so many ms at the latest.
    Loaded(Millis),
    /// The engine does not load what it was told to, and has not done so.
    NotLoaded,
    /// No load was known.
    NoLoad,
}

/// Returns what a report tells of the last known load. It supersedes what was assumed after
/// an order unless it is older.
pub fn meaning(report: &EngineReport, load: Option<&Load>, now: Millis) -> Meaning {
    let done_at = load.and_then(|load| load.done_at);
    let known = load.filter(|load| !load.is_done());
    let delay = known.map_or(FIRST_REPORT_MS, |load| {
        FIRST_REPORT_MS.max(load.elapsed(now) / REPORTS_PER_LOAD)
    });
    if report.busy && done_at.is_some_and(|at| now < at + REPORT_AGE_MS) {
        return Meaning::Outdated(REPORT_AGE_MS);
    }
    if report.busy {
        return Meaning::Loading(delay);
    }
    let Some(load) = known else {
        return Meaning::NoLoad;
    };
    let has_loaded = |version| report.weights.values().any(|has| *has == version);
    match load.version {
        Some(version) if has_loaded(version) => Meaning::Loaded(load.most_elapsed(now)),
        _ if load.elapsed(now) < REPORT_AGE_MS => Meaning::Outdated(delay),
        Some(_) => Meaning::NotLoaded,
        None => Meaning::NoLoad,
    }
}
