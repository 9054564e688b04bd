//! Quotas of workspaces: asks for quota before a request is placed, and the buckets that
//! this node owns.
//!
//! The owner of each of a workspace's buckets is chosen by rendezvous hashing among the
//! nodes that are able to grant quota. Without a quota in the configuration nothing happens.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use flamingolock_core::rendezvous;
use flamingolock_wire::gossip::{Gossip, QuotaAnswer, QuotaRequest, QuotaReturn};
use prost::Message;

use super::{Control, QueuedRequest};
use crate::clock::Millis;
use crate::control::quota_asks::{AskStep, QuotaAsks, QuotaGrant, RequestQuota};
use crate::control::quota_buckets::{
    Ask, BucketKey, QuotaBound, QuotaBuckets, QuotaDecision, SLOTS,
};
use crate::control::{Effect, PlacementRequest, Refusal, RunEnd};
use crate::metrics::EventKind;
use crate::settings::Settings;
use crate::workspaces::Quota;

/// Interval at which the owners of buckets are determined, in ms.
const REFRESH_MS: Millis = 50;

/// Time in ms after its first start, or after it stood still, for which a node owns no buckets,
/// so that it knows the other nodes. One that starts again finds them in the registry, and
/// grants only the share of those that it hears.
const OWNER_DELAY_MS: Millis = 2_000;

/// Time in ms for which a node counts as just started. All nodes start again within this time
/// after a loss of power.
const JUST_STARTED_MS: Millis = 2_000;

/// Share of the known nodes that must be heard to tell that all of them have just started. Some may
/// never come back.
const MIN_STARTED_SHARE: f64 = 0.9;

/// Part of a request's target for which it may wait until its grant is usable.
const MAX_WAIT_SHARE: u32 = 4;

/// Longest time for which an owner reserves quota, in ms, whatever another node asks for.
const LONGEST_WAIT_MS: Millis = 2_000;

/// Time after which a client is asked to return when no owner was found, in ms.
const NO_OWNER_RETURN_MS: Millis = 1_000;

/// State of a node that concerns quotas.
pub(super) struct QuotaState {
    buckets: QuotaBuckets,
    asks: QuotaAsks,
    /// Address of the owner of each bucket, if there is one.
    owners: BTreeMap<BucketKey, SocketAddr>,
    /// When and by which version of the configuration the owners were determined.
    refreshed: (Millis, u64),
    /// Grants of the requests that were sent, by number of the run.
    sent: BTreeMap<u64, QuotaGrant>,
}

impl QuotaState {
    pub(super) fn new(settings: &Settings, incarnation: u64) -> Self {
        let bound = QuotaBound {
            window: settings.quota_window.as_millis() as Millis,
            slack: settings.quota_slack,
        };
        Self {
            buckets: QuotaBuckets::new(bound),
            asks: QuotaAsks::new(incarnation),
            owners: BTreeMap::new(),
            refreshed: (0, 0),
            sent: BTreeMap::new(),
        }
    }
}

/// How to go on with a request of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaStep {
    /// Select an endpoint.
    Place,
    /// Wait in the queue.
    Wait,
    /// Refuse it.
    Refuse(Refusal),
}

impl Control {
    /// True if this node may own buckets. It must know the registry: behind a partition, it
    /// would otherwise take the nodes that it hears for all.
    pub(super) fn grants_quota(&self, now: Millis) -> bool {
        let knows_nodes = |since: Millis| now >= since + OWNER_DELAY_MS;
        let stalled_at = self.last_stall.1;
        self.catalog.is_some()
            && self.shutdown_at.is_none()
            && self.peers.has_list()
            && (!self.is_new || self.running_since.is_some_and(knows_nodes))
            && (stalled_at == 0 || knows_nodes(stalled_at))
    }

    /// True if this node started a moment ago.
    pub(super) fn has_just_started(&self, now: Millis) -> bool {
        let since = self.running_since;
        since.is_none_or(|since| now < since + JUST_STARTED_MS)
    }

    /// True if no node owned buckets before the last moments, as nearly all have just started.
    fn all_just_started(&self, share: f64, now: Millis) -> bool {
        share >= MIN_STARTED_SHARE
            && self.has_just_started(now)
            && self.peers.alive(now).all(|peer| peer.state.just_started)
    }

    fn quota_of(&self, request: &PlacementRequest) -> Option<&Quota> {
        let catalog = self.catalog.as_ref()?;
        catalog.workspaces.quota_of(request.workspace.as_deref()?)
    }

    /// True if a request has to ask for quota before it is sent.
    pub(super) fn needs_quota(&self, queued: &QueuedRequest) -> bool {
        !queued.quota.has_grant() && self.quota_of(&queued.request).is_some()
    }

    fn has_quotas(&self) -> bool {
        let catalog = self.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.workspaces.quotas().next().is_some())
    }

    /// Determines the owners of the buckets, and returns grants that were not used.
    pub(super) fn update_quotas(&mut self, now: Millis) {
        self.return_unused(now);
        if !self.has_quotas() && self.quota.owners.is_empty() {
            self.quota.asks.forget_old(now);
            return;
        }
        self.refresh_owners(now);
    }

    fn refresh_owners(&mut self, now: Millis) {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let share = self
            .grants_quota(now)
            .then(|| self.peers.share_of_known(now));
        if share.is_none() && self.quota.buckets.count() > 0 {
            log::info!(buckets = self.quota.buckets.count(); "no longer an owner of quota buckets");
            self.quota.buckets.clear();
            self.quota.refreshed = (0, 0);
        }
        let (refreshed_at, known) = self.quota.refreshed;
        if version == known && now < refreshed_at + REFRESH_MS {
            return;
        }
        self.quota.refreshed = (now, version);
        let share = share.flatten();
        let own = self.settings.gossip;
        let mut nodes: Vec<(&str, SocketAddr)> = self
            .peers
            .alive(now)
            .filter(|peer| peer.state.grants_quota && !peer.state.leaving)
            .filter_map(|peer| Some((&*peer.state.name, peer.state.gossip.parse().ok()?)))
            .collect();
        if share.is_some() {
            nodes.push((&self.settings.node, own));
        }
        let mut owners = BTreeMap::new();
        let mut held = BTreeMap::new();
        let catalog = self.catalog.as_ref();
        for (workspace, quota) in catalog
            .iter()
            .flat_map(|catalog| catalog.workspaces.quotas())
        {
            let hash = rendezvous::key(workspace);
            for slot in 0..SLOTS {
                let key = hash.wrapping_add(slot.into());
                let owner = nodes
                    .iter()
                    .max_by_key(|(name, _)| (rendezvous::weight(key, name), *name));
                let Some((_, owner)) = owner else { continue };
                let bucket = (workspace.to_owned(), slot);
                if *owner == own {
                    held.insert(bucket.clone(), quota.clone());
                }
                owners.insert(bucket, *owner);
            }
        }
        let before = self.quota.buckets.count();
        let share = share.unwrap_or(0.0);
        self.quota.buckets.own(&held, share, now);
        if self.all_just_started(share, now) {
            self.quota.buckets.fill_from(now);
        }
        if before != held.len() {
            log::info!(buckets = held.len(), before, share, nodes = nodes.len(); "number of own quota buckets changed");
        }
        self.quota.owners = owners;
        self.quota.asks.forget_old(now);
    }

    /// Returns how to go on with a request: with a quota, it needs a grant first.
    pub(super) fn quota_step(&mut self, queued: &mut QueuedRequest, now: Millis) -> QuotaStep {
        let Some(quota) = self.quota_of(&queued.request) else {
            if self.has_quotas() {
                queued.quota = RequestQuota::default();
            }
            return QuotaStep::Place;
        };
        let cost = quota.cost(queued.request.prompt_tokens, queued.request.output_tokens);
        let preferred = self.quota.buckets.preferred_slot(quota, cost);
        loop {
            match queued.quota.next_step(now) {
                AskStep::Send => return QuotaStep::Place,
                AskStep::Wait if now < queued.deadline => return QuotaStep::Wait,
                AskStep::Wait => return self.quota_timed_out(queued, now),
                AskStep::Ask(slots) => {
                    self.ask_for_quota(queued, slots, (cost, preferred), now);
                }
                AskStep::Unanswered(number) => {
                    self.quota.asks.unanswered(number, now);
                    self.count_quota(&queued.request, "unanswered");
                    log::warn!(request = &*queued.request.id, number; "owner of a quota bucket does not answer");
                }
                AskStep::Expired => {
                    self.count_quota(&queued.request, "expired");
                    if now >= queued.deadline {
                        return QuotaStep::Refuse(Refusal::NoEndpoint);
                    }
                }
                AskStep::Refused(until) => return self.over_quota(queued, until, now),
            }
        }
    }

    fn over_quota(&self, queued: &QueuedRequest, until: Millis, now: Millis) -> QuotaStep {
        self.count_quota(&queued.request, "refused");
        log::info!(request = &*queued.request.id, workspace = queued.request.workspace.as_deref(),
            return_ms = until.saturating_sub(now), took_ms = now - queued.asked_at; "request is over the quota");
        // An owner may have answered some time ago.
        let until = until.max(now + 1);
        QuotaStep::Refuse(Refusal::OverQuota { until })
    }

    fn quota_timed_out(&self, queued: &QueuedRequest, now: Millis) -> QuotaStep {
        if let Some(until) = queued.quota.refused_until() {
            return self.over_quota(queued, until, now);
        }
        let until = now + NO_OWNER_RETURN_MS;
        self.count_quota(&queued.request, "no_owner");
        log::warn!(request = &*queued.request.id, workspace = queued.request.workspace.as_deref(),
            owners = self.quota.owners.len(), lacks_owner = queued.quota.lacks_owner(),
            took_ms = now - queued.asked_at; "no owner granted or refused quota in time");
        QuotaStep::Refuse(Refusal::NoQuotaOwner { until })
    }

    /// Asks one of these slots, rather one whose owner answers. The request waits for future
    /// quota only where the other bucket has none.
    fn ask_for_quota(
        &mut self,
        queued: &mut QueuedRequest,
        slots: [bool; SLOTS as usize],
        (cost, preferred): (u32, u32),
        now: Millis,
    ) {
        let Some(workspace) = queued.request.workspace.clone() else {
            return;
        };
        let candidates = (0..SLOTS).map(|slot| (slot + preferred) % SLOTS);
        let candidates = candidates.filter(|slot| slots[*slot as usize]);
        let asked = candidates.map(|slot| {
            let owner = self.quota.owners.get(&(workspace.clone(), slot)).copied();
            (slot, owner)
        });
        let is_last = |owner: Option<SocketAddr>| {
            owner.is_none_or(|owner| self.quota.asks.is_silent(owner, now))
        };
        let Some((slot, owner)) = asked.min_by_key(|(_, owner)| is_last(*owner)) else {
            return;
        };
        let Some(owner) = owner else {
            queued.quota.no_owner(slot);
            return;
        };
        let target_ms = queued.request.target.as_millis() as Millis;
        let left = queued.deadline.saturating_sub(now);
        let waits = slots.iter().filter(|may_ask| **may_ask).count() == 1;
        let max_wait = if waits {
            (target_ms / Millis::from(MAX_WAIT_SHARE)).min(left)
        } else {
            0
        };
        let number = self
            .quota
            .asks
            .begin(&mut queued.quota, (slot, waits), owner, now);
        let request = QuotaRequest {
            number,
            workspace,
            cost,
            max_wait_ms: u32::try_from(max_wait).unwrap_or(u32::MAX),
            slot,
        };
        if owner == self.settings.gossip {
            let decision = self.decide_quota(owner, &request, now);
            let quota = Some(&mut queued.quota);
            self.quota.asks.answered(number, decision, quota, now);
            self.log_decision(&queued.request, number, decision, 0);
        } else {
            let gossip = Gossip {
                quota_request: Some(request),
                ..Gossip::default()
            };
            self.send_quota_message(owner, &gossip);
        }
    }

    fn log_decision(
        &self,
        request: &PlacementRequest,
        number: u64,
        decision: QuotaDecision,
        took_ms: Millis,
    ) {
        let outcome = match decision {
            QuotaDecision::Granted(_) => "granted",
            QuotaDecision::Refused(_) => "denied",
            QuotaDecision::NotOwner | QuotaDecision::Repeated => "not_owner",
        };
        self.count_quota(request, outcome);
        log::info!(request = &*request.id, workspace = request.workspace.as_deref(), number, decision:? = decision, took_ms;
            "owner of a quota bucket answered");
    }

    fn count_quota(&self, request: &PlacementRequest, outcome: &'static str) {
        self.metrics.count(EventKind::Quota, outcome);
        if let Some(workspace) = &request.workspace {
            self.metrics.count_quota(workspace, outcome);
        }
    }

    fn send_quota_message(&mut self, to: SocketAddr, gossip: &Gossip) {
        let bytes = Bytes::from(gossip.encode_to_vec());
        self.effects.push(Effect::SendDatagram(vec![to], bytes));
    }

    /// Decides as the owner of a bucket.
    fn decide_quota(
        &mut self,
        from: SocketAddr,
        request: &QuotaRequest,
        now: Millis,
    ) -> QuotaDecision {
        // The node may have stalled, or be cut off, since the last tick.
        self.refresh_owners(now);
        let ask = Ask {
            workspace: &request.workspace,
            slot: request.slot,
            cost: request.cost,
            max_wait: Millis::from(request.max_wait_ms).min(LONGEST_WAIT_MS),
        };
        self.quota.buckets.decide((from, request.number), &ask, now)
    }

    /// Handles the messages about quotas in a datagram.
    pub(super) fn handle_quota_messages(&mut self, from: SocketAddr, gossip: &Gossip, now: Millis) {
        if let Some(request) = &gossip.quota_request {
            self.answer_quota_request(from, request, now);
        }
        if let Some(answer) = gossip.quota_answer {
            self.quota_answer_received(from, answer, now);
        }
        if let Some(unused) = gossip.quota_return {
            self.take_back_quota((from, unused.number), now);
        }
    }

    fn answer_quota_request(&mut self, from: SocketAddr, request: &QuotaRequest, now: Millis) {
        if request.cost == 0 || request.slot >= SLOTS {
            self.ignore_quota_message(from, request.number, "invalid request");
            return;
        }
        let decision = self.decide_quota(from, request, now);
        let to_ms = |time: Millis| Some(u32::try_from(time).unwrap_or(u32::MAX));
        let (usable_after_ms, refused_for_ms) = match decision {
            QuotaDecision::Granted(after) => (to_ms(after), None),
            QuotaDecision::Refused(after) => (None, to_ms(after)),
            QuotaDecision::NotOwner => (None, None),
            QuotaDecision::Repeated => {
                self.ignore_quota_message(from, request.number, "repeated request");
                return;
            }
        };
        log::debug!(node:% = from, number = request.number, workspace = request.workspace.as_str(), cost = request.cost,
            balance = self.quota.buckets.balance(&request.workspace, request.slot), decision:? = decision;
            "decided on quota for another node");
        let gossip = Gossip {
            quota_answer: Some(QuotaAnswer {
                number: request.number,
                usable_after_ms,
                refused_for_ms,
            }),
            ..Gossip::default()
        };
        self.send_quota_message(from, &gossip);
    }

    fn quota_answer_received(&mut self, from: SocketAddr, answer: QuotaAnswer, now: Millis) {
        let decision = match (answer.usable_after_ms, answer.refused_for_ms) {
            (Some(after), None) => QuotaDecision::Granted(after.into()),
            (None, Some(after)) => QuotaDecision::Refused(after.into()),
            (None, None) => QuotaDecision::NotOwner,
            (Some(_), Some(_)) => {
                self.ignore_quota_message(from, answer.number, "invalid answer");
                return;
            }
        };
        if !self.quota.asks.is_open(answer.number, from) {
            self.ignore_quota_message(from, answer.number, "answer to no ask");
            return;
        }
        let place = self
            .queue
            .iter()
            .position(|queued| queued.quota.awaits(answer.number));
        let Some(mut queued) = place.and_then(|place| self.queue.remove(place)) else {
            self.quota.asks.answered(answer.number, decision, None, now);
            return;
        };
        let quota = Some(&mut queued.quota);
        self.quota
            .asks
            .answered(answer.number, decision, quota, now);
        let took_ms = now - queued.asked_at;
        self.log_decision(&queued.request, answer.number, decision, took_ms);
        // Only this request can go on now.
        if let Some(queued) = self.try_place(queued, 0, now)
            && let Some(place) = place
        {
            self.queue.insert(place.min(self.queue.len()), queued);
        }
    }

    fn ignore_quota_message(&self, from: SocketAddr, number: u64, cause: &str) {
        self.metrics.count(EventKind::Quota, "ignored");
        log::info!(node:% = from, number, cause; "message about quota ignored");
    }

    fn take_back_quota(&mut self, key: (SocketAddr, u64), now: Millis) {
        if self.quota.buckets.take_back(key, now) {
            self.metrics.count(EventKind::Quota, "taken_back");
        } else {
            self.ignore_quota_message(key.0, key.1, "return of no known grant");
        }
    }

    /// Returns grants whose requests did not run.
    fn return_unused(&mut self, now: Millis) {
        for (owner, number) in self.quota.asks.take_unused() {
            self.metrics.count(EventKind::Quota, "returned");
            if owner == self.settings.gossip {
                self.take_back_quota((owner, number), now);
                continue;
            }
            let gossip = Gossip {
                quota_return: Some(QuotaReturn { number }),
                ..Gossip::default()
            };
            self.send_quota_message(owner, &gossip);
        }
    }

    /// Keeps the grant of a request that is sent until its run ends.
    pub(super) fn quota_sent(&mut self, quota: &mut RequestQuota, run: u64) {
        if let Some(grant) = quota.take_grant() {
            self.quota.sent.insert(run, grant);
        }
    }

    /// Returns the grant of a run of this node that the endpoint did not begin.
    pub(super) fn quota_run_ended(&mut self, run: u64, end: &RunEnd) {
        if let Some(grant) = self.quota.sent.remove(&run)
            && !end.is_not_run()
        {
            grant.use_up();
        }
    }
}
