//! Which reports a node still has to relay.
//!
//! A changed state is relayed a fixed number of times, less those in which a peer
//! relays the same first. Suspicions and shutdowns go
//! before anything else, and what was relayed least goes first.

use std::collections::{BTreeMap, BTreeSet};

use crate::members::{MemberState, Members, Report, Standing};
use crate::prelude::*;

/// Heartbeats that relay one change. Digests reveal the rare node that all of them
/// missed.
pub const RELAYS_PER_CHANGE: u32 = 9;

/// Most reports in one heartbeat.
pub const MAX_REPORTS: usize = 4;

/// Changes that are being relayed.
#[derive(Clone, Debug)]
pub struct GossipQueue {
    due: BTreeMap<InstanceId, Due>,
    order: BTreeSet<(Due, InstanceId)>,
    /// The last instance that was reported in turn.
    cursor: InstanceId,
}

/// How soon a change is relayed; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    /// Whether the instance is live, which can wait.
    live: bool,
    /// Relays so far.
    sent: u32,
}

impl GossipQueue {
    /// No changes; reports in turn start after `me`.
    pub fn new(me: &InstanceId) -> Self {
        Self {
            due: BTreeMap::new(),
            order: BTreeSet::new(),
            cursor: me.clone(),
        }
    }

    /// Starts relaying the state of an instance, from the beginning if it changed
    /// again.
    pub fn add(&mut self, name: &InstanceId, standing: Standing) {
        let live = standing == Standing::Live;
        self.set(name, Due { live, sent: 0 });
    }

    fn set(&mut self, name: &InstanceId, due: Due) {
        self.remove(name);
        self.due.insert(name.clone(), due);
        self.order.insert((due, name.clone()));
    }

    /// Stops relaying the state of an instance.
    pub fn remove(&mut self, name: &InstanceId) {
        if let Some(due) = self.due.remove(name) {
            self.order.remove(&(due, name.clone()));
        }
    }

    /// What to report to one peer: a suspicion against itself first, then changes,
    /// then, where the views differ, a few of all states in turn.
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
            self.fill_in_turn(members, &mut names);
        }
        names
            .into_iter()
            .filter_map(|instance| {
                let state = members.get(&instance)?.state;
                Some(Report { instance, state })
            })
            .collect()
    }

    fn fill_in_turn(&mut self, members: &Members, names: &mut Vec<InstanceId>) {
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

    /// Takes up to `count` instances to relay now and counts the relay.
    fn next_relays(&mut self, count: usize) -> Vec<InstanceId> {
        let first = self.order.iter().take(count);
        let names: Vec<InstanceId> = first.map(|(_, name)| name.clone()).collect();
        for name in &names {
            self.count_relay(name);
        }
        names
    }

    /// Counts a relay, or a peer that already knows, which saves one.
    pub fn count_relay(&mut self, name: &InstanceId) {
        let Some(due) = self.due.get(name).copied() else {
            return;
        };
        let sent = due.sent + 1;
        if sent >= RELAYS_PER_CHANGE {
            self.remove(name);
        } else {
            self.set(name, Due { sent, ..due });
        }
    }
}

fn is_suspected(members: &Members, name: &InstanceId) -> bool {
    members
        .get(name)
        .is_some_and(|member| member.state.standing == Standing::Suspected)
}
