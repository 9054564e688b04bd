//! Engines of a service during a roll-out: which of them load weights, and which could.

use super::engine_progress::EngineProgress;
use super::fleet::EndpointState;
use super::load::Load;
use super::load_times::{first_loads, most_at_once};
use super::rollout_status::ServiceStatus;
use crate::clock::Millis;
use crate::endpoint::EndpointKey;

/// Multiple of the time at which an engine was last seen to be loading for which it counts as
/// loading if nobody has seen the end.
const UNSEEN_END_FACTOR: Millis = 2;

/// Engine with outdated weights. The field order defines the order of loading: engines that
/// answered last time, of these the ones that are already reserved, then those with the oldest
/// weights, then those whose requests take the least memory.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadCandidate {
    /// True if it did not answer the last order or request for its report.
    pub is_silent: bool,
    /// True unless it is reserved already.
    pub is_unreserved: bool,
    /// Version of the weights that it has.
    pub loaded_version: Option<u64>,
    /// Memory that its requests take, in tokens.
    pub tokens: u64,
    /// The engine.
    pub key: EndpointKey,
    /// The model.
    pub model: String,
    /// Version that it should load.
    pub version: u64,
}

/// Engines of a service, as far as the roll-out is concerned.
#[derive(Debug, Default)]
pub struct ServiceLoads {
    /// Engines that load, or are about to.
    pub loading: Vec<EndpointKey>,
    /// Number of engines that should be done, but have not reported it.
    pub unreported: usize,
    /// Engines that may be sent an order.
    pub candidates: Vec<LoadCandidate>,
    /// Their numbers, for the log.
    pub status: ServiceStatus,
}

impl ServiceLoads {
    /// True if no more engines may load now, of which the window lets `most` do so at once. Those
    /// whose loads have not ended in time do not serve either; but however many they are, as many
    /// others may load as in a first roll-out.
    pub fn are_full(&self, most: usize) -> bool {
        let (loading, engines) = (self.loading.len(), self.status.engines);
        let half = most_at_once(engines);
        let left = half.saturating_sub(self.status.failed);
        let left = left.max(first_loads(engines).min(half));
        loading >= most || loading + self.unreported >= left
    }
}

/// True if the engine takes one of the places of those that load at once: an order to it is
/// on its way, or it was sent one and is not known to be done. An engine that only refuses
/// requests takes none.
pub fn is_loading(state: &EndpointState, progress: Option<&EngineProgress>, now: Millis) -> bool {
    let is_ordered = progress.is_some_and(|progress| progress.in_flight);
    let load = state.load.as_ref().filter(|load| !load.is_done());
    let load = load.filter(|load| load.version.is_some());
    let is_closed = now < state.loading_until && (is_ordered || load.is_some());
    is_closed
        || load.is_some_and(|load| {
            load.elapsed(now) < load.sure_ms.max(UNSEEN_END_FACTOR * load.busy_ms())
        })
}

/// True if the engine should be done with its load, but its report has not shown it yet. It may
/// still not serve.
pub fn awaits_report(state: &EndpointState, progress: Option<&EngineProgress>) -> bool {
    let load = state.load.as_ref().filter(|load| !load.is_done());
    load.is_some_and(|load| load.version.is_some())
        && progress.is_some_and(EngineProgress::awaits_report)
}

/// The engine's load that is in progress, as far as is known; none if a later order to it has no
/// answer.
pub fn load_in_progress<'a>(
    state: &'a EndpointState,
    progress: Option<&EngineProgress>,
) -> Option<&'a Load> {
    let load = state.load.as_ref().filter(|load| !load.is_done())?;
    let is_superseded = progress.is_some_and(|progress| progress.is_ordered_since(load));
    (!is_superseded).then_some(load)
}

/// True if the engine's load has not ended in time. Such an engine takes none of the places of
/// those that load at once, though it does not serve.
pub fn has_failed(
    state: &mut EndpointState,
    progress: Option<&EngineProgress>,
    failed_after: Millis,
    now: Millis,
) -> bool {
    let Some(load) = load_in_progress(state, progress) else {
        return false;
    };
    let (elapsed, was_known) = (load.elapsed(now), load.failed);
    let has_failed = elapsed > failed_after;
    if has_failed
        && !was_known
        && let Some(load) = state.load.as_mut()
    {
        load.failed = true;
        log::warn!(engine = &*state.endpoint.id, elapsed_ms = elapsed, bound_ms = failed_after;
            "engine does not finish loading weights");
    }
    has_failed
}
