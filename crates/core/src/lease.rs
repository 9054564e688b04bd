//! Leases with fencing numbers, timed by the clock of the log.
//!
//! Records of the control stream request, renew and release a lease, and the fold
//! decides on them. The offset of the grant is the fencing number. In addition, the
//! holder tracks the expiry on its own monotonic clock, so that a holder that was
//! paused detects the expiry before it acts (see [`crate::lease_holder`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::record::{LeaseGrant, LeaseRelease, LeaseRenew, NodeIncarnation};

/// A lease as decided by the fold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// What the lease covers.
    pub name: String,
    /// Who holds it.
    pub holder: NodeIncarnation,
    /// Fencing number: offset of the grant.
    pub fencing: Offset,
    /// Log time at which it expires unless renewed.
    pub until: Millis,
    /// Log time at which the latest earlier lease expired that was not released; none
    /// if there is none. An order given under that lease may still be in progress for
    /// the duration of the longest order after that.
    pub previous_end: Option<Millis>,
    /// True once the holder released it.
    pub released: bool,
}

impl Lease {
    /// True when the lease is in force at log time `at`.
    pub fn in_force(&self, at: Millis) -> bool {
        !self.released && at < self.until
    }

    /// Log time from which no order of a previous holder can be in progress. The holder
    /// has to wait for it with engines that do not check fencing numbers.
    pub fn previous_orders_end(&self, longest_order: Millis) -> Millis {
        self.previous_end
            .map_or(Millis(0), |end| end + longest_order)
    }
}

/// Decision of the fold on a lease record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// Granted with this fencing number.
    Granted(Offset),
    /// Extended.
    Renewed(Offset),
    /// Released.
    Released(Offset),
    /// Denied, because this lease is in force.
    Held(Lease),
    /// The lease with this fencing number is not in force.
    Lapsed(Offset),
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

    /// Inserts a lease, for example one from a checkpoint.
    pub fn restore(&mut self, lease: Lease) {
        self.leases.insert(lease.name.clone(), lease);
    }

    /// Decides on a grant record at `offset`, at log time `at`.
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

    /// Decides on a renewal at log time `at`.
    pub fn renew(&mut self, at: Millis, renew: &LeaseRenew) -> LeaseVerdict {
        let Some(lease) = self.current(&renew.name, renew.fencing, at) else {
            return LeaseVerdict::Lapsed(renew.fencing);
        };
        lease.until = lease.until.max(at + renew.duration);
        LeaseVerdict::Renewed(renew.fencing)
    }

    /// Decides on a release at log time `at`.
    pub fn release(&mut self, at: Millis, release: &LeaseRelease) -> LeaseVerdict {
        let Some(lease) = self.current(&release.name, release.fencing, at) else {
            return LeaseVerdict::Lapsed(release.fencing);
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
