//! What one node knows of each entry instance.
//!
//! Facts come from three sides: the platform's instance list (addresses, and a
//! leaving flag that lags), reports that nodes relay (incarnation, refutation
//! counter, standing), and this node's own attempts to reach the instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// How long an instance may be missing from the list after it was first known;
/// the list lags behind the start of an instance.
pub const LIST_GRACE: Millis = Millis(30_000);

/// How long the incarnation of an instance that the list dropped is remembered.
pub const FORGET_AFTER: Millis = Millis(600_000);

/// One entry instance as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: InstanceId,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for nodes.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether the list shows it as leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Standing of an instance in relayed reports.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Nothing speaks against it.
    #[default]
    Live,
    /// Silent on an open and on a fresh connection.
    Suspected,
    /// In shutdown.
    Leaving,
}

/// What reports say of one instance. The larger of two states is the one to
/// believe: a later incarnation beats an earlier one, a refutation beats the
/// suspicion that it answers, and within one counter the graver standing wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberState {
    /// Incarnation; 0 when unknown.
    pub incarnation: Incarnation,
    /// Raised by the instance itself to refute a suspicion.
    pub counter: u32,
    /// Standing at that counter.
    pub standing: Standing,
}

/// State of a named instance, as relayed between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The instance.
    pub instance: InstanceId,
    /// What is known of it.
    pub state: MemberState,
}

/// How an instance appears in the views of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// Not in the list: no address is known.
    Unlisted,
    /// Takes new work.
    Live,
    /// Silent, or out of this node's reach.
    Suspected,
    /// In shutdown.
    Leaving,
}

/// Everything known of one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its row in the list.
    pub row: Option<Instance>,
    /// What reports say.
    pub state: MemberState,
    /// True while this node itself cannot reach it.
    pub unreachable: bool,
    /// Incarnation that was current when the list began to show it as leaving. A
    /// later incarnation has restarted since, and the flag is out of date.
    list_leaving: Option<Incarnation>,
    /// When it was first known.
    added: Millis,
    /// When this node last heard from it directly.
    last_contact: Millis,
}

impl Member {
    fn new(now: Millis) -> Self {
        Self {
            row: None,
            state: MemberState::default(),
            unreachable: false,
            list_leaving: None,
            added: now,
            last_contact: now,
        }
    }

    /// How it appears in the views.
    pub fn status(&self) -> MemberStatus {
        if self.row.is_none() {
            MemberStatus::Unlisted
        } else if self.leaving() {
            MemberStatus::Leaving
        } else if self.unreachable || self.state.standing == Standing::Suspected {
            MemberStatus::Suspected
        } else {
            MemberStatus::Live
        }
    }

    fn leaving(&self) -> bool {
        self.state.standing == Standing::Leaving
            || self.list_leaving == Some(self.state.incarnation)
    }

    /// Takes a report's state if it is newer, and says whether it was.
    pub fn merge(&mut self, state: MemberState) -> bool {
        if state <= self.state {
            return false;
        }
        let same_life = state.incarnation == self.state.incarnation;
        let first_seen = self.state.incarnation == Incarnation(0);
        if first_seen && self.list_leaving.is_some() {
            self.list_leaving = Some(state.incarnation);
        }
        let was_leaving = same_life && self.state.standing == Standing::Leaving;
        self.state = state;
        if was_leaving {
            // A shutdown is never taken back within one incarnation.
            self.state.standing = Standing::Leaving;
        }
        true
    }

    /// Notes that the instance itself was heard.
    pub fn record_contact(&mut self, now: Millis) {
        self.last_contact = now;
        self.unreachable = false;
    }

    fn set_row(&mut self, row: &Instance) {
        self.list_leaving = match (row.leaving, self.list_leaving) {
            (false, _) => None,
            (true, Some(incarnation)) => Some(incarnation),
            (true, None) => Some(self.state.incarnation),
        };
        self.row = Some(row.clone());
    }

    fn silent_for(&self, now: Millis) -> Millis {
        now.since(self.added.max(self.last_contact))
    }
}

/// All instances that one node knows, itself included.
#[derive(Clone, Debug, Default)]
pub struct Members {
    map: BTreeMap<InstanceId, Member>,
    digest: u64,
}

/// What a change did to one instance's appearance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Appearance before.
    pub before: MemberStatus,
    /// Appearance after.
    pub after: MemberStatus,
    /// Whether the row differs.
    pub moved: bool,
}

impl Members {
    /// The instance with this name.
    pub fn get(&self, name: &InstanceId) -> Option<&Member> {
        self.map.get(name)
    }

    /// All instances in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Member)> {
        self.map.iter()
    }

    /// Instances in the order of their names, from the one after `name` round to it.
    pub fn iter_after<'a>(
        &'a self,
        name: &'a InstanceId,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Member)> {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let tail = self.map.range::<InstanceId, _>((Excluded(name), Unbounded));
        let head = self.map.range::<InstanceId, _>((Unbounded, Included(name)));
        tail.chain(head)
    }

    /// Digest of the states of all listed instances; equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Changes one instance, which is added if it is new.
    pub fn change<F>(&mut self, name: &InstanceId, now: Millis, edit: F) -> Transition
    where
        F: FnOnce(&mut Member),
    {
        let member = match self.map.get_mut(name) {
            Some(member) => member,
            None => self
                .map
                .entry(name.clone())
                .or_insert_with(|| Member::new(now)),
        };
        let (before, row) = (member.status(), member.row.clone());
        self.digest ^= member_digest(name, member);
        edit(member);
        self.digest ^= member_digest(name, member);
        Transition {
            before,
            after: member.status(),
            moved: row != member.row,
        }
    }

    /// Takes a row of the list.
    pub fn set_row(&mut self, row: &Instance, now: Millis) -> Transition {
        self.change(&row.name, now, |member| member.set_row(row))
    }

    /// Names of the instances that a list without them removes.
    pub fn absent_from(&self, list: &[Instance], now: Millis) -> Vec<InstanceId> {
        let listed: std::collections::BTreeSet<&InstanceId> =
            list.iter().map(|row| &row.name).collect();
        self.map
            .iter()
            .filter(|(name, member)| {
                member.row.is_some()
                    && !listed.contains(name)
                    && now.since(member.added) >= LIST_GRACE
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Forgets instances that have been out of the list for long.
    pub fn forget_old(&mut self, now: Millis) {
        self.map
            .retain(|_, member| member.row.is_some() || member.silent_for(now) < FORGET_AFTER);
    }
}

fn member_digest(name: &InstanceId, member: &Member) -> u64 {
    if member.row.is_none() {
        return 0;
    }
    let state = member.state;
    let seed = xxh3_64_with_seed(&state.incarnation.0.to_le_bytes(), u64::from(state.counter));
    xxh3_64_with_seed(name.as_str().as_bytes(), seed ^ state.standing as u64)
}
