//! Roll-out of weights by this node: whether it seeks the lease, and what it orders.

use super::Control;
use crate::clock::Millis;
use crate::control::Effect;
use crate::control::lease::LeaseStep;
use crate::control::rollout::{PendingLoads, Task};
use crate::control::rollout_status::LeaseState;
use crate::dialect::{OrderOutcome, WeightsOrder};
use crate::metrics::EventKind;

/// Time for which a node whose orders brought nothing about leaves the lease to others,
/// relative to the time that another one takes to take over.
const ABSTENTION_FACTOR: Millis = 2;

/// Interval at which the lease holder looks whether engines are done or may be ordered, in ms.
/// Events do not tell it all: the time of reports and of reservations passes by itself.
const HOLDER_TICK_INTERVAL_MS: Millis = 10;

impl Control {
    pub(super) fn lease_appended(&mut self, offset: u64) {
        if !self.lease.held_by_me() {
            self.rollout.forget_stall();
        }
        self.lease.appended(offset);
        log::info!(fencing = offset; "acquired lease for engine orders");
    }

    pub(super) fn order_answered(
        &mut self,
        order: &WeightsOrder,
        outcome: OrderOutcome,
        now: Millis,
    ) {
        log::info!(engine = &*order.engine.id, model = order.model.as_str(), version = order.version,
            fencing = order.fencing_token, accepted = order.accepted, outcome:? = outcome; "outcome of weight load order");
        self.metrics.count(EventKind::Order, outcome.as_str());
        if self
            .rollout
            .order_answered(&mut self.fleet, order, outcome, now)
        {
            self.parts.remove_engine(order.engine.key());
        }
        self.gossip_pending_at.get_or_insert(now);
    }

    /// Marks the loads in progress, whose end this process has not seen in time.
    pub(super) fn mark_loads_unwatched(&mut self) {
        let loads = self
            .fleet
            .values_mut()
            .filter_map(|state| state.load.as_mut());
        loads.for_each(|load| load.unwatched = true);
    }

    pub(super) fn advance_rollout(&mut self, now: Millis) {
        self.rollout_due_at = None;
        if self.shutdown_at.is_some() || self.catalog.is_none() {
            return;
        }
        let pending = self.rollout.pending_loads(&self.fleet, now);
        let is_pending = pending == PendingLoads::Reachable;
        if !is_pending {
            self.rollout.forget_stall();
        }
        let may_lead = self.may_lead(now);
        let rank = self.rank(now);
        let holder_alive = self.lease.held_by_other()
            && self
                .lease
                .holder()
                .is_some_and(|name| self.peers.is_named_alive(name, now));
        let may_seek =
            self.rollout
                .may_seek_lease(rank, self.lease.held_by_me(), holder_alive, now);
        let step = self.lease.step(is_pending && may_lead && may_seek, now);
        match step {
            LeaseStep::Read(from) => self.effects.push(Effect::LeaseRead(from)),
            LeaseStep::Append(at) => self.effects.push(Effect::LeaseAppend(at)),
            LeaseStep::Hold { .. } | LeaseStep::Wait => {}
        }
        let holds = matches!(step, LeaseStep::Hold { .. });
        self.rollout_due_at = (holds && is_pending).then_some(now + HOLDER_TICK_INTERVAL_MS);
        let state = self.lease_state(pending, may_lead, may_seek, now);
        self.rollout
            .status_log
            .lease(state, self.lease.holder(), rank, now);
        let mut tasks = self.rollout.due_reports(&self.fleet, now);
        tasks.extend(
            self.rollout
                .plan(&mut self.fleet, step, &self.settings.node, now),
        );
        for task in tasks {
            self.gossip_pending_at.get_or_insert(now);
            match task {
                Task::Order(order) => self.effects.push(Effect::SendOrder(order)),
                Task::Report(key) => {
                    if let Some(state) = self.fleet.get(&key) {
                        self.effects
                            .push(Effect::RequestReport(state.endpoint.clone()));
                    }
                }
            }
        }
    }

    /// True if this node may send orders to engines: its orders bring something about, or
    /// have not been tried, and it does not miss more engines that others reach than it
    /// reaches itself.
    fn may_lead(&mut self, now: Millis) -> bool {
        if now < self.abstains_until && !self.lease.held_by_other() {
            return false;
        }
        let patience = self.lease.takeover_wait();
        let has_others = self.peers.alive(now).any(|peer| peer.state.ready);
        if has_others && self.lease.held_by_me() && self.rollout.is_stalled(patience, now) {
            log::warn!("orders bring nothing about; leaving the lease to another node");
            self.abstains_until = now + ABSTENTION_FACTOR * patience;
            self.rollout.forget_stall();
            return false;
        }
        let engines = || {
            self.fleet
                .values()
                .filter(|state| !state.weights.is_empty())
        };
        let cut = engines().filter(|state| state.reachability.is_cut(now));
        let reached = engines().filter(|state| state.reachability.is_reached(now));
        let cut = cut.count();
        cut == 0 || cut <= reached.count()
    }

    fn lease_state(
        &self,
        pending: PendingLoads,
        may_lead: bool,
        may_seek: bool,
        now: Millis,
    ) -> LeaseState {
        if pending == PendingLoads::None {
            LeaseState::NotWanted
        } else if now < self.abstains_until && !may_lead {
            LeaseState::Stalled
        } else if pending == PendingLoads::Unreached || !may_lead {
            LeaseState::Unreached
        } else if !may_seek {
            LeaseState::AwaitsProgress
        } else if self.lease.held_by_me() {
            LeaseState::Held
        } else if self.lease.held_by_other() {
            LeaseState::HeldByOther
        } else {
            LeaseState::Seeking
        }
    }

    /// Returns the rank of this node among those that may send orders.
    pub(super) fn rank(&self, now: Millis) -> usize {
        self.peers
            .alive(now)
            .filter(|peer| {
                peer.state.ready && !peer.state.leaving && peer.state.incarnation < self.incarnation
            })
            .count()
    }
}
