//! The holder's own view of a lease.
//!
//! The log judges a lease by the time of its records. The holder counts from the
//! moment before it appended the grant or the renewal, which is never later than
//! the record's time, and stops a margin early. Both spans run at the same speed
//! but for the drift that the margin covers, so a holder that was paused finds
//! itself lapsed no later than the log does, whatever the two clocks show.

use std::collections::BTreeMap;

use crate::lease::{Lease, LeaseVerdict};
use crate::prelude::*;
use crate::record::{LeaseGrant, LeaseRelease, LeaseRenew, NodeIncarnation, Record, RecordId};
use crate::rendezvous;

/// Requests whose verdicts are awaited at once.
const MAX_PENDING: usize = 8;

/// Durations of one lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// What the lease covers.
    pub name: String,
    /// How long a grant or a renewal lasts.
    pub duration: Millis,
    /// How much earlier the holder stops.
    pub margin: Millis,
    /// Longest time that an order to an engine may be under way.
    pub longest_order: Millis,
}

/// Proof that its bearer may give orders, for a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAuthorization {
    /// Fencing number that the order carries.
    pub fencing: Offset,
    /// An order that has not left by then must not leave.
    pub until: Millis,
}

/// Whether an order may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// Now.
    Allowed(OrderAuthorization),
    /// Not before this time: an order of the previous holder may be under way.
    WaitUntil(Millis),
    /// The lease is not held, or no longer.
    Denied,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    fencing: Offset,
    until: Millis,
    previous_orders_end: Millis,
}

/// One node's view of one lease. All times are of the node's monotonic clock.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    me: NodeIncarnation,
    held: Option<Held>,
    pending: BTreeMap<RecordId, Millis>,
    next_request_at: Millis,
    /// When this node first saw that nobody holds the lease.
    free_since: Option<Millis>,
    /// Fencing number of the last lease that this node gave back.
    released: Option<Offset>,
}

impl LeaseHolder {
    /// A node that holds nothing yet.
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

    /// Whether an order may be given now. It is asked right before each order.
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

    /// The record to append now under this unique id, if one is due. A holder
    /// renews when a third of the time is over. Others ask for a grant once the
    /// lease in the fold has lapsed or was given back, each after a delay of its
    /// own, so that usually one of them is alone. `log_time` may lag: that only
    /// makes a candidate later.
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

    /// This node's share of `span`, different for each node and each lease.
    fn delay(&self, lease: Option<&Lease>, span: Millis) -> Millis {
        let fencing = lease.map_or(0, |lease| lease.fencing.0);
        let key = rendezvous::key(&self.settings.name) ^ fencing;
        let share = rendezvous::weight(key, self.me.instance.as_str()) % 1000;
        Millis(span.0 * share / 1000)
    }

    /// The fold judged the record with this id. `lease` is the lease after it.
    pub fn apply_verdict(
        &mut self,
        now: Millis,
        id: &RecordId,
        verdict: &LeaseVerdict,
        lease: &Lease,
    ) {
        // The span counts from before the append, so a verdict on a record that
        // is no longer known extends nothing.
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
            // A renewal that was under way must not bring a released lease back.
            LeaseVerdict::Renewed(fencing) if self.released == Some(*fencing) => {}
            LeaseVerdict::Renewed(fencing) => {
                let known = self.held.filter(|held| held.fencing == *fencing);
                // A renewal may come through after this view has lapsed.
                let mut held = known.unwrap_or(Held {
                    fencing: *fencing,
                    until,
                    previous_orders_end: self.previous_orders_end(now, lease),
                });
                held.until = held.until.max(until);
                self.held = Some(held);
            }
            LeaseVerdict::NotInForce(fencing) | LeaseVerdict::Released(fencing) => {
                self.drop_held(*fencing);
            }
            LeaseVerdict::Held(_) => {}
        }
    }

    /// Gives the lease back. The node has no order under way and gives no more.
    pub fn release(&mut self) -> Option<Record> {
        let held = self.held.take()?;
        self.released = Some(held.fencing);
        Some(Record::LeaseRelease(LeaseRelease {
            name: self.settings.name.clone(),
            fencing: held.fencing,
        }))
    }

    /// When the previous holder's last order is over. The verdict is seen after
    /// the grant, so a span of log time that counts from the grant is long enough
    /// when it counts from now.
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
