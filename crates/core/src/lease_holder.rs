//! A lease as its holder sees it.
//!
//! The log times a lease by the time of its records. The holder measures the same
//! duration on its own monotonic clock, from before it appended the grant or the
//! renewal, which is never later than the record time, and stops a safety margin
//! early. The margin covers the clock drift over that duration. The lease of a
//! holder, even of one that was paused, therefore ends for the holder no later than
//! for the log, whatever the absolute times of the two clocks are.

use std::collections::BTreeMap;

use crate::lease::{Lease, LeaseVerdict};
use crate::prelude::*;
use crate::record::{LeaseGrant, LeaseRelease, LeaseRenew, NodeIncarnation, Record, RecordId};
use crate::rendezvous;

/// Maximum number of requests that wait for a verdict.
const MAX_PENDING: usize = 8;

/// Settings of one lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// What the lease covers.
    pub name: String,
    /// How long a grant or a renewal lasts.
    pub duration: Millis,
    /// Safety margin by which the holder stops before the lease expires.
    pub margin: Millis,
    /// Longest time that an order to an engine may be in progress.
    pub longest_order: Millis,
}

/// Authorisation to give an order, limited in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAuthorization {
    /// Fencing number that the order carries.
    pub fencing: Offset,
    /// Time from which on the order must not be sent any more.
    pub until: Millis,
}

/// Whether an order may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// Allowed now.
    Allowed(OrderAuthorization),
    /// Not before this time: an order of a previous holder may still be in progress.
    WaitUntil(Millis),
    /// This node does not hold the lease, or no longer.
    Denied,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    fencing: Offset,
    until: Millis,
    previous_orders_end: Millis,
}

/// State of one lease at one node. All times are of the node's monotonic clock, except
/// for the `log_time` parameter of [`LeaseHolder::next_request`] and the times in
/// [`Lease`].
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    me: NodeIncarnation,
    held: Option<Held>,
    pending: BTreeMap<RecordId, Millis>,
    next_request_at: Millis,
    /// Time at which this node first found the lease free.
    free_since: Option<Millis>,
    /// Fencing number of the last lease that this node released.
    released: Option<Offset>,
}

impl LeaseHolder {
    /// A node that does not hold the lease.
    pub fn new(me: NodeIncarnation, settings: LeaseSettings) -> Self {
        Self {
            settings,
            me,
            held: None,
            pending: BTreeMap::new(),
            next_request_at: Millis(0),
            free_since: None,
            released: None,
        }
    }

    /// Whether an order may be given now. To be called right before each order.
    pub fn authorize_order(&self, now: Millis, checks_fencing: bool) -> OrderDecision {
        let Some(held) = self.held.filter(|held| now < held.until) else {
            return OrderDecision::Denied;
        };
        if !checks_fencing && now < held.previous_orders_end {
            return OrderDecision::WaitUntil(held.previous_orders_end);
        }
        OrderDecision::Allowed(OrderAuthorization {
            fencing: held.fencing,
            until: held.until,
        })
    }

    /// The record to append now under the unique id `id`, if one is due. A holder
    /// renews every third of the duration. Other nodes request a grant once the lease in
    /// the fold has expired or was released, each after its own delay, so that usually
    /// only one of them does. `log_time` may lag behind the log, which only delays a
    /// candidate.
    pub fn next_request(
        &mut self,
        now: Millis,
        id: &RecordId,
        lease: Option<&Lease>,
        log_time: Millis,
    ) -> Option<Record> {
        if now < self.next_request_at {
            return None;
        }
        let third = Millis(self.settings.duration.0 / 3);
        let current = lease.filter(|lease| lease.in_force(log_time));
        let record = match current {
            Some(lease) if lease.holder != self.me || self.released == Some(lease.fencing) => {
                self.free_since = None;
                return None;
            }
            Some(lease) => self.renewal(lease),
            None => {
                let free_since = *self.free_since.get_or_insert(now);
                if now < free_since + self.delay(lease, third) {
                    return None;
                }
                self.grant()
            }
        };
        self.free_since = None;
        self.next_request_at = now + third;
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_first();
        }
        self.pending.insert(id.clone(), now);
        Some(record)
    }

    fn grant(&self) -> Record {
        Record::LeaseGrant(LeaseGrant {
            name: self.settings.name.clone(),
            holder: self.me.clone(),
            duration: self.settings.duration,
        })
    }

    fn renewal(&self, lease: &Lease) -> Record {
        Record::LeaseRenew(LeaseRenew {
            name: self.settings.name.clone(),
            fencing: lease.fencing,
            duration: self.settings.duration,
        })
    }

    /// Delay of this node within `duration`, which differs by node and by lease.
    fn delay(&self, lease: Option<&Lease>, duration: Millis) -> Millis {
        let fencing = lease.map_or(0, |lease| lease.fencing.0);
        let key = rendezvous::key(&self.settings.name) ^ fencing;
        let share = rendezvous::weight(key, self.me.instance.as_str()) % 1000;
        Millis(duration.0 * share / 1000)
    }

    /// Applies the fold's verdict on the record with this id. `lease` is the lease after
    /// that record.
    pub fn apply_verdict(
        &mut self,
        now: Millis,
        id: &RecordId,
        verdict: &LeaseVerdict,
        lease: &Lease,
    ) {
        // The duration counts from before the append. Without that time, a verdict
        // cannot extend the lease.
        let Some(requested_at) = self.pending.remove(id) else {
            return;
        };
        let until = (requested_at + self.settings.duration) - self.settings.margin;
        match verdict {
            LeaseVerdict::Granted(fencing) => {
                self.held = Some(Held {
                    fencing: *fencing,
                    until,
                    previous_orders_end: self.previous_orders_end(now, lease),
                });
            }
            // A renewal that was in flight must not revive a released lease.
            LeaseVerdict::Renewed(fencing) if self.released == Some(*fencing) => {}
            LeaseVerdict::Renewed(fencing) => {
                let known = self.held.filter(|held| held.fencing == *fencing);
                // The verdict may arrive after the lease has expired on this clock.
                let mut held = known.unwrap_or(Held {
                    fencing: *fencing,
                    until,
                    previous_orders_end: self.previous_orders_end(now, lease),
                });
                held.until = held.until.max(until);
                self.held = Some(held);
            }
            LeaseVerdict::Lapsed(fencing) | LeaseVerdict::Released(fencing) => {
                self.drop_held(*fencing);
            }
            LeaseVerdict::Held(_) => {}
        }
    }

    /// Releases the lease. The node must have no order in progress and give no more.
    pub fn release(&mut self) -> Option<Record> {
        let held = self.held.take()?;
        self.released = Some(held.fencing);
        Some(Record::LeaseRelease(LeaseRelease {
            name: self.settings.name.clone(),
            fencing: held.fencing,
        }))
    }

    /// Time at which the last order of a previous holder has ended, on this node's
    /// clock. The verdict arrives after the grant, so a duration that has to pass after
    /// the grant in log time is long enough when it counts from now.
    fn previous_orders_end(&self, now: Millis, lease: &Lease) -> Millis {
        let granted_at = lease.until - self.settings.duration;
        now + lease
            .previous_orders_end(self.settings.longest_order)
            .since(granted_at)
    }

    fn drop_held(&mut self, fencing: Offset) {
        self.held = self.held.filter(|held| held.fencing != fencing);
    }
}
