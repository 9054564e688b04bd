//! What one node knows about each entry instance.
//!
//! There are three sources: the platform's instance list (addresses and a delayed
//! leaving flag), reports that nodes gossip (incarnation, refutation counter and
//! standing), and this node's own connections to the instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// How long an instance may be missing from the list after it was first known. The
/// list shows a started instance only after a delay.
pub const LIST_GRACE: Millis = Millis(30_000);

/// How long the incarnation of an unlisted instance is remembered after the last
/// direct contact.
pub const FORGET_AFTER: Millis = Millis(600_000);

/// One entry instance as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: InstanceId,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether the list shows it as leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Standing of an instance in gossiped reports.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Not suspected and not in shutdown.
    #[default]
    Live,
    /// Some node failed to reach it, also on a fresh connection.
    Suspected,
    /// In shutdown.
    Leaving,
}

/// Gossiped state of one instance. The larger of two states takes precedence: a later
/// incarnation over an earlier one, a refutation over the suspicion that it answers,
/// and with equal counters the more severe standing.
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

/// State of a named instance, as gossiped between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The instance.
    pub instance: InstanceId,
    /// State of the instance.
    pub state: MemberState,
}

/// Status of an instance in the view of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// Not in the instance list: its address is not known.
    Unlisted,
    /// Takes new work.
    Live,
    /// Suspected by some node, or not reachable from this node.
    Suspected,
    /// In shutdown.
    Leaving,
}

/// Everything that this node knows about one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its row in the list.
    pub row: Option<Instance>,
    /// State from gossiped reports.
    pub state: MemberState,
    /// True while this node itself cannot reach it.
    pub unreachable: bool,
    /// Incarnation that was current when the list first showed it as leaving. The flag
    /// is outdated for a later incarnation, which has started since.
    list_leaving: Option<Incarnation>,
    /// Time at which it became known.
    added: Millis,
    /// Time of the last direct contact.
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

    /// Its status in the view of this node.
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

    /// Adopts a reported state if it takes precedence over the current one. Returns
    /// whether it did.
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
            // A shutdown cannot be revoked within one incarnation.
            self.state.standing = Standing::Leaving;
        }
        true
    }

    /// Records direct contact with the instance.
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

/// All instances that one node knows, including itself.
#[derive(Clone, Debug, Default)]
pub struct Members {
    map: BTreeMap<InstanceId, Member>,
    digest: u64,
}

/// Effect of a change on the status of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Status before the change.
    pub before: MemberStatus,
    /// Status after the change.
    pub after: MemberStatus,
    /// Whether its row in the instance list changed.
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

    /// Instances in the order of their names, starting after `name` and wrapping around.
    pub fn iter_after<'a>(
        &'a self,
        name: &'a InstanceId,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Member)> {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let tail = self.map.range::<InstanceId, _>((Excluded(name), Unbounded));
        let head = self.map.range::<InstanceId, _>((Unbounded, Included(name)));
        tail.chain(head)
    }

    /// Digest of the states of all listed instances. Equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Changes one instance, which is added if it is not known yet.
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

    /// Stores a row of the instance list.
    pub fn set_row(&mut self, row: &Instance, now: Millis) -> Transition {
        self.change(&row.name, now, |member| member.set_row(row))
    }

    /// Names of listed instances that are missing from `list` and past [`LIST_GRACE`].
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

    /// Removes instances that are not listed and had no contact for [`FORGET_AFTER`].
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
