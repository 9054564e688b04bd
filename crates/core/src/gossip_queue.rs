//! Queue of state changes that a node still has to gossip.
//!
//! Each change is relayed a fixed number of times; reports of the same state from
//! peers count as well. Suspicions and shutdowns are relayed before other changes,
//! and then the change with the fewest relays so far.

use std::collections::{BTreeMap, BTreeSet};

use crate::members::{MemberState, Members, Report, Standing};
use crate::prelude::*;

/// Number of heartbeats that relay one change. A node that none of them reached is
/// found by its differing digest.
pub const RELAYS_PER_CHANGE: u32 = 9;

/// Maximum number of reports in one heartbeat.
pub const MAX_REPORTS: usize = 4;

/// Changes that are being relayed.
#[derive(Clone, Debug)]
pub struct GossipQueue {
    priorities: BTreeMap<InstanceId, RelayPriority>,
    order: BTreeSet<(RelayPriority, InstanceId)>,
    /// The last instance that was reported in the round over all instances.
    cursor: InstanceId,
}

/// Relay priority of a change; the smallest is relayed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RelayPriority {
    /// Whether the instance is live, which is the least urgent standing.
    live: bool,
    /// Number of relays so far.
    sent: u32,
}

impl GossipQueue {
    /// An empty queue. The round over all instances starts after `me`.
    pub fn new(me: &InstanceId) -> Self {
        Self {
            priorities: BTreeMap::new(),
            order: BTreeSet::new(),
            cursor: me.clone(),
        }
    }

    /// Starts to relay the state of an instance. If it was queued already, the number of
    /// relays starts again from zero.
    pub fn add(&mut self, name: &InstanceId, standing: Standing) {
        let live = standing == Standing::Live;
        self.set(name, RelayPriority { live, sent: 0 });
    }

    fn set(&mut self, name: &InstanceId, priority: RelayPriority) {
        self.remove(name);
        self.priorities.insert(name.clone(), priority);
        self.order.insert((priority, name.clone()));
    }

    /// Stops relaying the state of an instance.
    pub fn remove(&mut self, name: &InstanceId) {
        if let Some(priority) = self.priorities.remove(name) {
            self.order.remove(&(priority, name.clone()));
        }
    }

    /// Reports for one peer: first a suspicion against the peer itself, then queued
    /// changes, and if `differs` is set, which says that the views differ, the states
    /// of further instances in a round over all of them.
    pub fn reports(&mut self, members: &Members, to: &InstanceId, differs: bool) -> Vec<Report> {
        let mut names = Vec::with_capacity(MAX_REPORTS);
        if is_suspected(members, to) {
            names.push(to.clone());
        }
        for name in self.next_relays(MAX_REPORTS - names.len()) {
            if !names.contains(&name) {
                names.push(name);
            }
        }
        if differs {
            self.fill_round_robin(members, &mut names);
        }
        names
            .into_iter()
            .filter_map(|instance| {
                let state = members.get(&instance)?.state;
                Some(Report { instance, state })
            })
            .collect()
    }

    fn fill_round_robin(&mut self, members: &Members, names: &mut Vec<InstanceId>) {
        let cursor = self.cursor.clone();
        for (name, member) in members.iter_after(&cursor) {
            if names.len() >= MAX_REPORTS {
                break;
            }
            let known = member.row.is_some() && member.state != MemberState::default();
            if known && !names.contains(name) {
                names.push(name.clone());
                self.cursor = name.clone();
            }
        }
    }

    /// Returns up to `count` instances to relay now and counts the relay.
    fn next_relays(&mut self, count: usize) -> Vec<InstanceId> {
        let first = self.order.iter().take(count);
        let names: Vec<InstanceId> = first.map(|(_, name)| name.clone()).collect();
        for name in &names {
            self.count_relay(name);
        }
        names
    }

    /// Counts one relay, by this node or by a peer that reported the same state.
    pub fn count_relay(&mut self, name: &InstanceId) {
        let Some(priority) = self.priorities.get(name).copied() else {
            return;
        };
        let sent = priority.sent + 1;
        if sent >= RELAYS_PER_CHANGE {
            self.remove(name);
        } else {
            self.set(name, RelayPriority { sent, ..priority });
        }
    }
}

fn is_suspected(members: &Members, name: &InstanceId) -> bool {
    members
        .get(name)
        .is_some_and(|member| member.state.standing == Standing::Suspected)
}
