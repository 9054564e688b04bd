//! The instance list, which readers see with a lag.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of workload that an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Runs a node of the router.
    Entry,
    /// Runs a model engine.
    Engine,
    /// Runs a plain service.
    Service,
}

/// Whether an instance accepts work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Accepts work.
    #[default]
    Live,
    /// Gets no new work and is about to be removed.
    Leaving,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name; a `PUT` sets it from the path.
    #[serde(default)]
    pub name: String,
    /// Kind of workload.
    pub kind: InstanceKind,
    /// Address where callers or nodes reach the instance.
    pub address: SocketAddr,
    /// Address for other nodes of the router.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Zone,
    /// Whether the instance accepts work.
    #[serde(default)]
    pub state: InstanceState,
}

type Snapshot = BTreeMap<String, Instance>;

/// The current instance list and the older versions that readers may still see.
pub(crate) struct InstanceList {
    current: Snapshot,
    /// Versions of the list with their start times, oldest first; never empty.
    history: VecDeque<(Instant, Snapshot)>,
}

impl InstanceList {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: Snapshot::new(),
            history: VecDeque::from([(now, Snapshot::new())]),
        }
    }

    pub(crate) fn put(&mut self, instance: Instance, now: Instant) {
        self.current.insert(instance.name.clone(), instance);
        self.record(now);
    }

    pub(crate) fn remove(&mut self, name: &str, now: Instant) {
        self.current.remove(name);
        self.record(now);
    }

    /// Changes the state of an instance; false if there is none with this name.
    pub(crate) fn set_state(&mut self, name: &str, state: InstanceState, now: Instant) -> bool {
        let Some(instance) = self.current.get_mut(name) else {
            return false;
        };
        instance.state = state;
        self.record(now);
        true
    }

    fn record(&mut self, now: Instant) {
        self.history.push_back((now, self.current.clone()));
    }

    /// The list as it was `lag` ago. Readers never see an older version after a
    /// newer one, even if the lag grows.
    pub(crate) fn list_at(&mut self, now: Instant, lag: Duration) -> Vec<&Instance> {
        while self
            .history
            .get(1)
            .is_some_and(|(time, _)| *time + lag <= now)
        {
            self.history.pop_front();
        }
        let shown = self.history.front();
        shown.map_or_else(Vec::new, |(_, list)| list.values().collect())
    }
}
