//! Waiting of less urgent requests at this node while the queues at the engines are long.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::placement::{free_again, own_share_ms};
use super::{Control, QueuedRequest};
use crate::catalog::Catalog;
use crate::clock::Millis;
use crate::control::dispatch::{DispatchLimits, DispatchRate, Room, Turns, Waiting};
use crate::control::fleet::Estimate;
use crate::control::quota_asks::RequestQuota;
use crate::control::{BuildRule, PlacementRequest, Refusal};
use crate::endpoint::EndpointKey;
use crate::metrics::EventKind;

/// Factor of the limit for a request that has not waited. Nodes that see the same queue become
/// shorter would otherwise send to it at the same moment.
const LIMIT_SPREAD: RangeInclusive<f64> = 0.5..=1.0;

/// Interval at which it is drawn which waiting requests are sent to an engine, in ms. Nodes have
/// heard of the runs that the others have sent by then.
const DRAW_INTERVAL_MS: Millis = 50;

/// Part of the time until its deadline for which a deferred request may wait. The rest is for the
/// response.
const LATE_SHARE: f64 = 0.5;

/// Factor of the expected wait that a request must be able to bear: the rate at which engines
/// become free fluctuates, and a request that is refused after its wait has lost that time.
const WAIT_MARGIN: f64 = 1.25;

/// Part of the expected wait, as far as the caller itself may wait, after which it may return if it
/// is refused. With a whole wait, little of its target would be left.
const RETURN_SHARE: RangeInclusive<f64> = 0.25..=0.5;

/// Shortest time after which a refused caller may return, in ms.
const MIN_RETURN_MS: f64 = 50.0;

/// What this node keeps about requests that wait for shorter queues at the engines.
#[derive(Debug, Default)]
pub(super) struct Dispatch {
    limits: DispatchLimits,
    rates: BTreeMap<Arc<str>, DispatchRate>,
    turns: BTreeMap<(Arc<str>, u8), Turns>,
    /// Most urgent priority of each service that had to wait in this pass through the queue.
    deferred_from: BTreeMap<Arc<str>, u8>,
}

impl Dispatch {
    /// Takes the limits from a new configuration.
    pub(super) fn apply_catalog(&mut self, catalog: &Catalog) {
        self.limits = DispatchLimits::of(catalog);
    }

    /// Begins a pass through the queue.
    pub(super) fn begin_pass(&mut self) {
        self.deferred_from.clear();
    }

    /// True if a request has to wait behind one that had to wait in this pass.
    pub(super) fn waits_behind(&self, queued: &QueuedRequest, now: Millis) -> bool {
        let request = &queued.request;
        let deferred_from = self.deferred_from.get(&request.service);
        queued.is_deferred
            && now < queued.deadline
            && deferred_from.is_some_and(|priority| request.priority >= *priority)
    }

    /// Place in the queue of a request that has to wait.
    pub(super) fn next_place(&mut self, request: &PlacementRequest) -> (u8, u64) {
        let key = (request.service.clone(), request.priority);
        let turns = self.turns.entry(key).or_default();
        (request.priority, turns.next(request.workspace.as_deref()))
    }

    /// Forgets the turns when nothing waits.
    pub(super) fn queue_emptied(&mut self) {
        self.turns.clear();
    }

    /// Records that a request is sent.
    pub(super) fn sent(&mut self, queued: &QueuedRequest, now: Millis) {
        let (service, priority) = (&queued.request.service, queued.request.priority);
        if let Some((_, turn)) = queued.place {
            let key = (service.clone(), priority);
            self.turns.entry(key).or_default().serve(turn);
        }
        if queued.is_deferred {
            let rate = self.rates.entry(service.clone()).or_default();
            rate.record(priority, now);
        }
    }

    fn limit_ms(&self, queued: &QueuedRequest) -> Option<f64> {
        let request = &queued.request;
        let may_wait = request.model.is_some() && request.build_rule == BuildRule::Any;
        let (priority, target) = (request.priority, request.target);
        let limit = self.limits.queue_ms(&request.service, priority, target);
        limit.filter(|_| may_wait)
    }
}

/// Longest time from the arrival of a deferred request to its first token, in ms. A late response
/// is better than none, as long as it is complete by its deadline.
fn longest_wait_ms(request: &PlacementRequest) -> f64 {
    let longest = request.target.max(request.time_limit.mul_f64(LATE_SHARE));
    longest.min(request.time_limit).as_millis() as f64
}

impl Control {
    /// Returns the estimate of a waiting request that has to go on waiting before it asks for
    /// quota again: a grant would expire meanwhile.
    pub(super) fn waits_for_quota(&self, queued: &QueuedRequest, now: Millis) -> Option<Estimate> {
        if !queued.is_deferred || !self.needs_quota(queued) {
            return None;
        }
        let (key, estimate) = self.select_endpoint(&queued.request, now).ok()?;
        let is_over = self.is_over_limit(queued, key, &estimate, now);
        is_over.then_some(estimate)
    }

    /// True if a less urgent request has to wait: the queue at the engine is too long, others that
    /// are as urgent wait already, or it is not drawn to fill the room there. One that has waited
    /// and got its quota since is sent.
    pub(super) fn is_over_limit(
        &self,
        queued: &QueuedRequest,
        key: EndpointKey,
        estimate: &Estimate,
        now: Millis,
    ) -> bool {
        let Some(limit_ms) = self.dispatch.limit_ms(queued) else {
            return false;
        };
        if !queued.is_deferred {
            let limit_ms = limit_ms * rand::rng().random_range(LIMIT_SPREAD);
            return estimate.queue_ms > limit_ms || self.has_deferred(queued);
        }
        if queued.quota.has_grant() {
            return false;
        }
        if now >= queued.deadline {
            return estimate.queue_ms > limit_ms;
        }
        if estimate.queue_ms > limit_ms {
            return true;
        }
        let room = self.room_for(queued, estimate, limit_ms, now);
        self.stable_random(&queued.request.id, key, now) >= room.send_probability()
    }

    fn room_for(
        &self,
        queued: &QueuedRequest,
        estimate: &Estimate,
        limit_ms: f64,
        now: Millis,
    ) -> Room {
        let service = &queued.request.service;
        let engines = self.fleet.values();
        let engines = engines.filter(|state| state.endpoint.service == *service);
        let peers = self.peers.alive(now);
        let others: u64 = peers.map(|peer| u64::from(peer.state.deferred)).sum();
        let own = self.deferred_count().saturating_add(1);
        Room {
            left_ms: engines.map(|state| state.room_ms(limit_ms, now)).sum(),
            cost_ms: estimate.own_ms,
            own,
            all: others + u64::from(own),
        }
    }

    /// Random number from 0 to 1 that stays the same until the next draw.
    fn stable_random(&self, request: &str, engine: EndpointKey, now: Millis) -> f64 {
        let seed = self.incarnation ^ engine ^ (now / DRAW_INTERVAL_MS);
        xxh3_64_with_seed(request.as_bytes(), seed) as f64 / u64::MAX as f64
    }

    /// Number of requests that wait at this node for shorter queues.
    pub(super) fn deferred_count(&self) -> u32 {
        self.queue
            .iter()
            .filter(|queued| queued.is_deferred)
            .count() as u32
    }

    /// True if requests that are as urgent as this one wait for shorter queues.
    pub(super) fn has_deferred(&self, queued: &QueuedRequest) -> bool {
        self.deferred_ahead(queued).next().is_some()
    }

    fn deferred_ahead<'a>(
        &'a self,
        queued: &'a QueuedRequest,
    ) -> impl Iterator<Item = &'a QueuedRequest> {
        self.queue.iter().filter(|other| {
            other.is_deferred
                && other.request.service == queued.request.service
                && other.request.priority <= queued.request.priority
        })
    }

    /// Returns a request that has to wait until a queue is short enough. Refuses one that would
    /// not begin in time.
    pub(super) fn defer(
        &mut self,
        mut queued: QueuedRequest,
        estimate: &Estimate,
        now: Millis,
    ) -> Option<QueuedRequest> {
        let longest_ms = longest_wait_ms(&queued.request);
        if queued.is_deferred && now >= queued.deadline {
            let until = free_again(estimate, now);
            self.refuse_deferred(queued, until, estimate.queue_ms);
            return None;
        }
        if !queued.is_deferred {
            let wait_ms = self.dispatch_wait_ms(&queued, now);
            let own_ms = own_share_ms(estimate, longest_ms);
            if wait_ms * WAIT_MARGIN + estimate.queue_ms + own_ms > longest_ms {
                let share = rand::rng().random_range(RETURN_SHARE);
                let return_ms = (wait_ms.min(longest_ms) * share).max(MIN_RETURN_MS);
                let until = now + return_ms as Millis;
                self.refuse_deferred(queued, until, wait_ms);
                return None;
            }
            queued.is_deferred = true;
            queued.deadline = queued.asked_at + longest_ms as Millis;
            // Its grant goes to others while it waits.
            queued.quota = RequestQuota::default();
            self.metrics.count(EventKind::Placement, "deferred");
            log::debug!(request = &*queued.request.id, priority = queued.request.priority, queue_ms = estimate.queue_ms as i64,
                wait_ms = wait_ms as i64; "request waits for a shorter queue");
        }
        let request = &queued.request;
        let deferred_from = &mut self.dispatch.deferred_from;
        let priority = deferred_from
            .entry(request.service.clone())
            .or_insert(request.priority);
        *priority = (*priority).min(request.priority);
        Some(queued)
    }

    fn refuse_deferred(&self, queued: QueuedRequest, until: Millis, queue_ms: f64) {
        let queue_ms = queue_ms as u64;
        let refusal = Refusal::Overloaded { until, queue_ms };
        self.refuse(&queued.request, refusal, queued.reply);
    }

    /// Expected time for which a request waits at this node, in ms.
    fn dispatch_wait_ms(&mut self, queued: &QueuedRequest, now: Millis) -> f64 {
        let since = self
            .deferred_ahead(queued)
            .map(|other| other.asked_at)
            .min();
        let ahead = Waiting {
            count: self.deferred_ahead(queued).count(),
            oldest_ms: since.map_or(0, |since| now.saturating_sub(since)),
        };
        let request = &queued.request;
        let rates = &mut self.dispatch.rates;
        let rate = rates.entry(request.service.clone()).or_default();
        rate.wait_ms(request.priority, ahead, now)
    }
}
