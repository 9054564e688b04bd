//! Which reports a node still has to relay.
//!
//! A changed state is relayed a fixed number of times. Suspicions and shutdowns go
//! before anything else, and what was relayed least goes first.

use std::collections::BTreeMap;

use crate::members::{MemberState, Members, Report, Standing};
use crate::prelude::*;

/// Heartbeats that relay one change. Digests reveal the rare node that all of them
/// missed.
pub const RELAYS: u32 = 9;

/// Most reports in one heartbeat.
pub const MAX_REPORTS: usize = 4;

/// Changes that are being relayed, with the number of relays so far.
#[derive(Clone, Debug)]
pub struct News {
    sent: BTreeMap<InstanceId, u32>,
    /// The last instance that was reported in turn.
    cursor: InstanceId,
}

impl News {
    /// No changes; reports in turn start after `me`.
    pub fn new(me: &InstanceId) -> Self {
        Self {
            sent: BTreeMap::new(),
            cursor: me.clone(),
        }
    }

    /// Starts relaying the state of an instance, from the beginning if it changed
    /// again.
    pub fn add(&mut self, name: &InstanceId) {
        self.sent.insert(name.clone(), 0);
    }

    /// Stops relaying the state of an instance.
    pub fn remove(&mut self, name: &InstanceId) {
        self.sent.remove(name);
    }

    /// What to report to one peer: a suspicion against itself first, then changes,
    /// then, where the views differ, a few of all states in turn.
    pub fn reports(&mut self, members: &Members, to: &InstanceId, differs: bool) -> Vec<Report> {
        let mut names = Vec::with_capacity(MAX_REPORTS);
        if is_suspected(members, to) {
            names.push(to.clone());
        }
        for name in self.take(members, MAX_REPORTS - names.len()) {
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
    fn take(&mut self, members: &Members, count: usize) -> Vec<InstanceId> {
        let mut due: Vec<(bool, u32, &InstanceId)> = self
            .sent
            .iter()
            .map(|(name, sent)| (is_live(members, name), *sent, name))
            .collect();
        due.sort_unstable();
        let names: Vec<InstanceId> = due
            .into_iter()
            .take(count)
            .map(|(_, _, name)| name.clone())
            .collect();
        for name in &names {
            self.count(name);
        }
        names
    }

    fn count(&mut self, name: &InstanceId) {
        let Some(sent) = self.sent.get_mut(name) else {
            return;
        };
        *sent += 1;
        if *sent >= RELAYS {
            self.sent.remove(name);
        }
    }
}

fn is_suspected(members: &Members, name: &InstanceId) -> bool {
    members
        .get(name)
        .is_some_and(|member| member.state.standing == Standing::Suspected)
}

fn is_live(members: &Members, name: &InstanceId) -> bool {
    members
        .get(name)
        .is_some_and(|member| member.state.standing == Standing::Live)
}
