//! Membership view of one node: which instances are live, suspected or leaving.

use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

use crate::members::{Instance, Member, MemberState, MemberStatus, Members, Transition};
use crate::prelude::*;
use crate::rendezvous;
use crate::ring::Ring;

/// All known instances, indexed by their status.
#[derive(Clone, Debug)]
pub struct View {
    me: InstanceId,
    members: Members,
    ring: Ring,
    live: BTreeSet<InstanceId>,
    suspected: BTreeSet<InstanceId>,
}

impl View {
    /// An empty view of the node `me`.
    pub fn new(me: &InstanceId) -> Self {
        Self {
            me: me.clone(),
            members: Members::default(),
            ring: Ring::default(),
            live: BTreeSet::new(),
            suspected: BTreeSet::new(),
        }
    }

    /// Stores a row of the instance list.
    pub(crate) fn set_row(&mut self, row: &Instance, now: Millis) -> Transition {
        let transition = self.members.set_row(row, now);
        self.index(&row.name, transition);
        transition
    }

    /// Changes one instance, which is added if it is not known yet.
    pub(crate) fn edit<F>(&mut self, name: &InstanceId, now: Millis, edit: F) -> Transition
    where
        F: FnOnce(&mut Member),
    {
        let transition = self.members.change(name, now, edit);
        self.index(name, transition);
        transition
    }

    pub(crate) fn forget_old(&mut self, now: Millis) {
        self.members.forget_old(now);
    }

    fn index(&mut self, name: &InstanceId, transition: Transition) {
        if transition.before == transition.after {
            return;
        }
        match transition.before {
            MemberStatus::Live => {
                self.live.remove(name);
                self.ring.remove(name);
            }
            MemberStatus::Suspected => {
                self.suspected.remove(name);
            }
            MemberStatus::Leaving | MemberStatus::Unlisted => {}
        }
        match transition.after {
            MemberStatus::Live => {
                self.live.insert(name.clone());
                self.ring.insert(name);
            }
            MemberStatus::Suspected => {
                self.suspected.insert(name.clone());
            }
            MemberStatus::Leaving | MemberStatus::Unlisted => {}
        }
    }

    /// The peers to exchange heartbeats with.
    pub(crate) fn neighbours(&self) -> BTreeSet<InstanceId> {
        self.ring.neighbours(&self.me)
    }

    /// The next suspected instance after `name` in the order of the names, wrapping
    /// around.
    pub(crate) fn suspected_after(&self, name: &InstanceId) -> Option<&InstanceId> {
        self.suspected
            .range::<InstanceId, _>((Excluded(name), Unbounded))
            .next()
            .or_else(|| self.suspected.first())
    }

    /// The next live instance after `name` that is none of `others`, in the order of the
    /// names, wrapping around.
    pub(crate) fn live_after(
        &self,
        name: &InstanceId,
        others: &[&InstanceId],
    ) -> Option<&InstanceId> {
        let tail = self
            .live
            .range::<InstanceId, _>((Excluded(name), Unbounded));
        tail.chain(self.live.iter())
            .find(|live| !others.contains(live))
    }

    /// All known instances.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Instances that take new work.
    pub fn live(&self) -> impl Iterator<Item = &InstanceId> {
        self.live.iter()
    }

    /// Instances that some node suspects or that this node cannot reach.
    pub fn suspected(&self) -> impl Iterator<Item = &InstanceId> {
        self.suspected.iter()
    }

    /// Instances in shutdown.
    pub fn leaving(&self) -> impl Iterator<Item = &InstanceId> {
        self.members
            .iter()
            .filter(|(_, member)| member.status() == MemberStatus::Leaving)
            .map(|(name, _)| name)
    }

    /// Rows of the live instances.
    pub fn live_rows(&self) -> impl Iterator<Item = &Instance> {
        self.live
            .iter()
            .filter_map(|name| self.members.get(name)?.row.as_ref())
    }

    /// Rows of all listed instances, for a peer that requests the list.
    pub fn rows(&self) -> impl Iterator<Item = &Instance> {
        self.members
            .iter()
            .filter_map(|(_, member)| member.row.as_ref())
    }

    /// Row of one instance.
    pub fn row(&self, name: &InstanceId) -> Option<&Instance> {
        self.members.get(name)?.row.as_ref()
    }

    /// Gossiped state of one instance.
    pub fn state(&self, name: &InstanceId) -> Option<MemberState> {
        self.members.get(name).map(|member| member.state)
    }

    /// The home of an engine, which is the node that holds the engine's state: the live
    /// node with the highest rendezvous hash, or this node if there is no live one.
    pub fn home_of(&self, engine: &EngineId) -> &InstanceId {
        let key = rendezvous::key(engine.as_str());
        self.live
            .iter()
            .max_by_key(|name| (rendezvous::weight(key, name.as_str()), *name))
            .unwrap_or(&self.me)
    }
}
