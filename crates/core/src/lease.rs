//! Leases with fencing numbers, judged by the log's clock.
//!
//! A lease is granted, renewed and released by records of the control stream;
//! the fold decides. The offset of the grant is the fencing number. The holder
//! besides keeps its own monotonic view, so that a holder that was paused finds
//! itself lapsed before it acts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::record::{LeaseGrant, LeaseRelease, LeaseRenew, NodeIncarnation};

/// A lease as the log decided it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// What the lease covers.
    pub name: String,
    /// Who holds it.
    pub holder: NodeIncarnation,
    /// Fencing number: offset of the grant.
    pub fencing: Offset,
    /// Log time at which it lapses unless renewed.
    pub until: Millis,
    /// Log time at which the lease before this one ended; an order given under
    /// it may still be under way for the longest order after that.
    pub previous_end: Option<Millis>,
    /// True once the holder gave it back.
    pub released: bool,
}

impl Lease {
    /// True when the lease is in force at log time `at`.
    pub fn in_force(&self, at: Millis) -> bool {
        !self.released && at < self.until
    }

    /// Log time from which no order of an earlier holder can be under way, for
    /// engines that do not check fencing numbers.
    pub fn previous_orders_end(&self, longest_order: Millis) -> Millis {
        self.previous_end
            .map_or(Millis(0), |end| end + longest_order)
    }
}

/// What the fold decided about a lease record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// Granted under this fencing number.
    Granted(Offset),
    /// Extended.
    Renewed(Offset),
    /// Given back.
    Released(Offset),
    /// Another lease is in force.
    Held(Lease),
    /// The lease that the record names is not in force any more.
    NotInForce(Offset),
}

/// All leases by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseTable {
    leases: BTreeMap<String, Lease>,
}

impl LeaseTable {
    /// The lease of that name, in force or not.
    pub fn get(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// All leases, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Lease> {
        self.leases.values()
    }

    /// Puts a lease back that a checkpoint holds.
    pub fn restore(&mut self, lease: Lease) {
        self.leases.insert(lease.name.clone(), lease);
    }

    /// Judges a grant that the log took at `offset` and `at`.
    pub fn grant(&mut self, offset: Offset, at: Millis, grant: &LeaseGrant) -> LeaseVerdict {
        let old = self.leases.get(&grant.name);
        if let Some(old) = old.filter(|old| old.in_force(at)) {
            return LeaseVerdict::Held(old.clone());
        }
        let previous_end = old.and_then(|old| {
            if old.released {
                old.previous_end
            } else {
                Some(old.until)
            }
        });
        self.restore(Lease {
            name: grant.name.clone(),
            holder: grant.holder.clone(),
            fencing: offset,
            until: at + grant.duration,
            previous_end,
            released: false,
        });
        LeaseVerdict::Granted(offset)
    }

    /// Judges a renewal that the log took at `at`.
    pub fn renew(&mut self, at: Millis, renew: &LeaseRenew) -> LeaseVerdict {
        let Some(lease) = self.current(&renew.name, renew.fencing, at) else {
            return LeaseVerdict::NotInForce(renew.fencing);
        };
        lease.until = lease.until.max(at + renew.duration);
        LeaseVerdict::Renewed(renew.fencing)
    }

    /// Judges a release that the log took at `at`.
    pub fn release(&mut self, at: Millis, release: &LeaseRelease) -> LeaseVerdict {
        let Some(lease) = self.current(&release.name, release.fencing, at) else {
            return LeaseVerdict::NotInForce(release.fencing);
        };
        lease.released = true;
        LeaseVerdict::Released(release.fencing)
    }

    fn current(&mut self, name: &str, fencing: Offset, at: Millis) -> Option<&mut Lease> {
        self.leases
            .get_mut(name)
            .filter(|lease| lease.fencing == fencing && lease.in_force(at))
    }
}
