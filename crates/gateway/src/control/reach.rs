//! Which endpoints this node reaches, from its own observations only.
//!
//! A failed connect marks an endpoint; only a connect that succeeds unmarks it, as
//! connections that were opened before may live on while new ones fail. A mark on one
//! endpoint leads to probes of others: if most of a service are unreachable, the cause is
//! this node's own path, unless the other nodes see the same.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::clock::Millis;
use crate::endpoint::EndpointKey;

/// Maximum number of endpoints of a service that are probed at once. As many reveal a cut
/// of a service that has more.
const MAX_PROBES: usize = 8;

/// Shortest interval of the probes of one endpoint, and of the regular probes of the
/// unreachable endpoints of a service, in ms.
const PROBE_INTERVAL_MS: Millis = 500;

/// Time for which a success counts among those of a sample of endpoints, in ms.
const RECENT_MS: Millis = 2_000;

/// Failures in a row that speak against the path if no second endpoint fails.
const MIN_FAILURES: u32 = 2;

/// What is known of the path to one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// Failed connects since the last one that succeeded.
    failures: u32,
    /// Time of the last connect whose outcome is known.
    judged_at: Option<Millis>,
    /// Time of its last response to a run.
    heard_at: Option<Millis>,
    /// Start of the last probe.
    probed_at: Option<Millis>,
    /// True while a probe is in progress.
    is_probed: bool,
    /// True if a run gives reason to probe it.
    is_doubted: bool,
}

impl Link {
    fn is_unreachable(&self) -> bool {
        self.failures > 0
    }

    fn may_probe(&self, now: Millis) -> bool {
        let paused = self
            .probed_at
            .is_some_and(|at| now < at + PROBE_INTERVAL_MS);
        !self.is_probed && !paused
    }

    fn is_judged_since(&self, since: Millis) -> bool {
        self.judged_at.is_some_and(|at| at >= since)
    }
}

/// A run that has not brought a byte.
#[derive(Clone, Copy, Debug)]
struct AwaitedRun {
    endpoint: EndpointKey,
    sent_at: Millis,
    due_at: Millis,
}

/// Endpoints of one service.
#[derive(Debug, Default)]
struct ServiceReach {
    links: BTreeMap<EndpointKey, Link>,
    awaited: BTreeMap<u64, AwaitedRun>,
    /// Time of the last byte from any of them.
    heard_at: Option<Millis>,
    /// Since when at least one of them is unreachable.
    failing_since: Option<Millis>,
    /// Time of the last regular probe.
    probed_at: Millis,
    /// True if all unreachable endpoints are to be probed at once.
    is_returning: bool,
    is_cut: bool,
}

impl ServiceReach {
    fn unreachable(&self) -> usize {
        self.links
            .values()
            .filter(|link| link.is_unreachable())
            .count()
    }

    /// True if the failures may be due to the path from this node.
    fn is_suspected(&self) -> bool {
        let repeated = |link: &Link| link.failures >= MIN_FAILURES;
        match self.unreachable() {
            0 => false,
            1 => self.links.len() == 1 && self.links.values().all(repeated),
            _ => true,
        }
    }

    fn is_mostly_unreachable(&self, now: Millis) -> bool {
        let unreachable = self.unreachable();
        let since = now.saturating_sub(RECENT_MS);
        let reached = self
            .links
            .values()
            .filter(|link| !link.is_unreachable() && link.is_judged_since(since));
        let sample = unreachable + reached.count();
        unreachable * 2 > self.links.len() || (sample >= MAX_PROBES && unreachable * 2 > sample)
    }

    /// True if the run is due and no endpoint has sent a byte since it was sent.
    fn is_silent(&self, run: &AwaitedRun, now: Millis) -> bool {
        now >= run.due_at && self.heard_at.is_none_or(|at| at < run.sent_at)
    }

    /// Doubts the endpoints of silent runs.
    fn doubt_silent(&mut self, now: Millis) {
        let runs = self.awaited.values();
        let silent: Vec<EndpointKey> = runs
            .filter(|run| self.is_silent(run, now))
            .map(|run| run.endpoint)
            .collect();
        for endpoint in silent {
            if let Some(link) = self.links.get_mut(&endpoint) {
                link.is_doubted = !link.is_unreachable();
            }
        }
    }

    fn due_probes(&mut self, now: Millis) -> Vec<EndpointKey> {
        let busy = self.links.values().filter(|link| link.is_probed).count();
        let regular = now >= self.probed_at + PROBE_INTERVAL_MS;
        let is_returning = std::mem::take(&mut self.is_returning);
        let failing_since = self.failing_since;
        let mut due: Vec<(bool, Option<Millis>, EndpointKey)> = self
            .links
            .iter()
            .filter(|(_, link)| link.may_probe(now) || (is_returning && !link.is_probed))
            .filter_map(|(key, link)| {
                let is_unjudged = failing_since.is_some_and(|since| !link.is_judged_since(since));
                let is_wanted = link.is_doubted
                    || is_unjudged
                    || (link.is_unreachable() && (regular || is_returning));
                is_wanted.then_some((link.is_unreachable(), link.probed_at, *key))
            })
            .collect();
        due.sort_unstable();
        if !is_returning {
            // Unreachable endpoints take turns.
            let first = due.iter().position(|(is_unreachable, ..)| *is_unreachable);
            due.truncate(first.map_or(due.len(), |first| first + 1));
        }
        due.truncate(MAX_PROBES.saturating_sub(busy));
        if due.iter().any(|(is_unreachable, ..)| *is_unreachable) {
            self.probed_at = now;
        }
        for (_, _, key) in &due {
            if let Some(link) = self.links.get_mut(key) {
                link.probed_at = Some(now);
                link.is_probed = true;
                link.is_doubted = false;
            }
        }
        due.into_iter().map(|(_, _, key)| key).collect()
    }
}

/// What follows from the observations of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReachStep {
    /// Endpoints to probe with a connect.
    pub probes: Vec<EndpointKey>,
    /// New belief whether this node is cut off from the service, if it has changed.
    pub is_cut: Option<bool>,
}

/// Observations of all services.
#[derive(Debug, Default)]
pub struct Reach {
    services: BTreeMap<Arc<str>, ServiceReach>,
}

impl Reach {
    fn service(&mut self, service: &Arc<str>) -> &mut ServiceReach {
        self.services.entry(service.clone()).or_default()
    }

    fn link(&mut self, service: &Arc<str>, endpoint: EndpointKey) -> &mut Link {
        self.service(service).links.entry(endpoint).or_default()
    }

    /// Records that a request was sent; its response should begin by `due_at`.
    pub fn run_sent(
        &mut self,
        service: &Arc<str>,
        endpoint: EndpointKey,
        run: u64,
        (sent_at, due_at): (Millis, Millis),
    ) {
        let awaited = AwaitedRun {
            endpoint,
            sent_at,
            due_at,
        };
        self.service(service).awaited.insert(run, awaited);
    }

    /// Records that a run ended without a response, or its caller left.
    pub fn run_ended(&mut self, service: &Arc<str>, run: u64) {
        self.service(service).awaited.remove(&run);
    }

    /// Records that the response to a run has begun.
    pub fn heard(&mut self, service: &Arc<str>, run: u64, now: Millis) {
        let state = self.service(service);
        state.awaited.remove(&run);
        state.heard_at = Some(now);
    }

    /// Records that the endpoint answers a run, maybe over a connection from before a cut.
    pub fn answered(&mut self, service: &Arc<str>, endpoint: EndpointKey, now: Millis) {
        self.link(service, endpoint).heard_at = Some(now);
    }

    /// Time of the last response of the endpoint to a run.
    pub fn heard_at(&self, service: &str, endpoint: EndpointKey) -> Option<Millis> {
        let link = self.services.get(service)?.links.get(&endpoint)?;
        link.heard_at
    }

    /// Records that a connect to an endpoint failed.
    pub fn connect_failed(&mut self, service: &Arc<str>, endpoint: EndpointKey, now: Millis) {
        let link = self.link(service, endpoint);
        link.failures += 1;
        link.judged_at = Some(now);
        link.is_probed = false;
        let state = self.service(service);
        state.failing_since.get_or_insert(now);
    }

    /// Records that a connect to an endpoint succeeded.
    pub fn connected(&mut self, service: &Arc<str>, endpoint: EndpointKey, now: Millis) {
        let link = self.link(service, endpoint);
        let was_unreachable = link.is_unreachable();
        link.failures = 0;
        link.judged_at = Some(now);
        link.is_probed = false;
        link.is_doubted = false;
        let state = self.service(service);
        if state.is_cut && was_unreachable {
            state.is_returning = true;
        }
    }

    /// Records that a run broke off, or was silent for too long.
    pub fn doubted(&mut self, service: &Arc<str>, endpoint: EndpointKey) {
        let link = self.link(service, endpoint);
        link.is_doubted = !link.is_unreachable();
    }

    /// True if a service needs [`Reach::update`].
    pub fn is_active(&self, now: Millis) -> bool {
        self.services.values().any(|state| {
            state.failing_since.is_some()
                || state.is_cut
                || state.links.values().any(|link| link.is_doubted)
                || state.awaited.values().any(|run| state.is_silent(run, now))
        })
    }

    /// Names of the services with observations.
    pub fn services(&self) -> Vec<Arc<str>> {
        self.services.keys().cloned().collect()
    }

    /// Draws the conclusions for a service, given all its endpoints.
    pub fn update(
        &mut self,
        service: &Arc<str>,
        listed: &BTreeSet<EndpointKey>,
        now: Millis,
    ) -> ReachStep {
        let state = self.service(service);
        state.links.retain(|key, _| listed.contains(key));
        for key in listed {
            state.links.entry(*key).or_default();
        }
        if state.unreachable() == 0 {
            state.failing_since = None;
        }
        state.doubt_silent(now);
        let is_cut = state.is_suspected() && state.is_mostly_unreachable(now);
        let changed = is_cut != state.is_cut;
        state.is_cut = is_cut;
        ReachStep {
            probes: state.due_probes(now),
            is_cut: changed.then_some(is_cut),
        }
    }

    /// True if most endpoints of the service are unreachable from here.
    pub fn is_cut(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|state| state.is_cut)
    }

    /// True if failures at endpoints of the service may be due to the path from here.
    pub fn is_suspected(&self, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(ServiceReach::is_suspected)
    }

    /// True if connects to the endpoint fail.
    pub fn is_unreachable(&self, service: &str, endpoint: EndpointKey) -> bool {
        self.services
            .get(service)
            .and_then(|state| state.links.get(&endpoint))
            .is_some_and(Link::is_unreachable)
    }

    /// Services whose endpoints are mostly unreachable from here.
    pub fn cut_services(&self) -> Vec<Arc<str>> {
        let cut = self.services.iter().filter(|(_, state)| state.is_cut);
        cut.map(|(name, _)| name.clone()).collect()
    }
}
