//! Engines known to this node, with their status and load digests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use flamingolock_core::digest::EngineDigest;
use flamingolock_core::fleet::{Fleet, FleetEngine};
use flamingolock_core::home_message::EngineLoad;
use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::view::{ListedInstance, ListedKind, ListedState};

/// Consecutive failed status polls after which an engine counts as lost.
const MAX_FAILED_POLLS: u32 = 2;

/// Interval between rebuilds of the fleets while only the loads of engines change, in
/// milliseconds.
const FLEET_REFRESH_MS: u64 = 100;

/// Assumed round-trip time to an engine in the same availability zone, in milliseconds.
const SAME_ZONE_RTT_MS: f64 = 0.5;

/// Assumed round-trip time to an engine in another availability zone, in milliseconds.
const CROSS_ZONE_RTT_MS: f64 = 1.5;

/// Status that an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: EngineId,
    /// Incarnation of the engine process.
    pub incarnation: Incarnation,
    /// Name of the loaded model.
    pub model: ModelName,
    /// Version of the loaded weights.
    pub weights: WeightsVersion,
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// `serve` or `drain`.
    pub role: String,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub queued_tokens: u64,
    /// Blocks in the prefix cache.
    pub cached_blocks: u64,
    /// Capacity of the prefix cache, in blocks.
    pub capacity_blocks: u64,
    /// Prefill throughput, in tokens per second.
    pub prefill_tokens_per_s: f64,
}

impl EngineStatus {
    /// Returns the part of the status that the engine's home uses.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            incarnation: self.incarnation,
            weights: self.weights.clone(),
            slots: self.slots,
            capacity_blocks: u32::try_from(self.capacity_blocks).unwrap_or(u32::MAX),
            prefill_rate: self.prefill_tokens_per_s,
            draining: self.role == "drain",
        }
    }
}

/// State of one engine as known to this node.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// True if the platform lists the engine as leaving.
    pub leaving: bool,
    /// Latest status; `None` before the first answer and while the engine is lost.
    pub status: Option<EngineStatus>,
    /// Latest load digest made by the engine's home.
    pub digest: Option<EngineDigest>,
    /// Requests of this node in flight on the engine.
    pub inflight: u32,
    failed_polls: u32,
}

impl Engine {
    /// Returns true if the engine accepts new requests.
    pub fn takes_work(&self) -> bool {
        let serving = self
            .status
            .as_ref()
            .is_some_and(|status| status.role != "drain");
        serving && !self.leaving
    }
}

/// Effect of a status poll on the state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// Nothing that matters for routing has changed.
    Unchanged,
    /// The engine has failed enough polls to count as lost.
    Lost,
    /// The engine answered for the first time or after it was lost, or with another
    /// incarnation, weights version or role.
    Changed,
}

/// All engines by name.
#[derive(Debug, Default)]
pub struct Engines {
    by_name: BTreeMap<EngineId, Engine>,
    fleets: BTreeMap<ModelName, Fleet>,
    fleets_built_at: Millis,
    fleets_stale: bool,
    zone: Zone,
}

impl Engines {
    /// Creates an empty table for a node in `zone`.
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    /// Returns the engine of this name.
    pub fn get(&self, engine: &EngineId) -> Option<&Engine> {
        self.by_name.get(engine)
    }

    /// Returns the engine of this name for modification.
    pub fn get_mut(&mut self, engine: &EngineId) -> Option<&mut Engine> {
        self.by_name.get_mut(engine)
    }

    /// Iterates over all engines in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&EngineId, &Engine)> {
        self.by_name.iter()
    }

    /// Returns the number of engines that answer status polls.
    pub fn answering(&self) -> usize {
        self.by_name
            .values()
            .filter(|engine| engine.status.is_some())
            .count()
    }

    /// Applies the instance list. Returns the engines that were removed or have begun to
    /// leave.
    pub fn update_instances(
        &mut self,
        instances: &BTreeMap<String, ListedInstance>,
    ) -> Vec<EngineId> {
        let listed: BTreeMap<EngineId, &ListedInstance> = instances
            .values()
            .filter(|listed| listed.kind == ListedKind::Engine)
            .map(|listed| (EngineId::from(listed.name.as_str()), listed))
            .collect();
        let gone: BTreeSet<EngineId> = self
            .by_name
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .cloned()
            .collect();
        self.by_name.retain(|name, _| listed.contains_key(name));
        let mut changed: Vec<EngineId> = gone.into_iter().collect();
        for (name, listed) in listed {
            let leaving = listed.state == ListedState::Leaving;
            let engine = self.by_name.entry(name.clone()).or_insert_with(|| Engine {
                address: listed.address,
                zone: listed.zone.clone(),
                leaving,
                status: None,
                digest: None,
                inflight: 0,
                failed_polls: 0,
            });
            if leaving && !engine.leaving {
                changed.push(name);
            }
            engine.leaving = leaving;
            engine.address = listed.address;
        }
        self.fleets_stale = true;
        changed
    }

    /// Records the result of a status poll; `None` if the engine did not answer.
    pub fn record_status(&mut self, name: &EngineId, status: Option<EngineStatus>) -> StatusChange {
        let Some(engine) = self.by_name.get_mut(name) else {
            return StatusChange::Unchanged;
        };
        let Some(status) = status else {
            engine.failed_polls += 1;
            if engine.failed_polls < MAX_FAILED_POLLS || engine.status.take().is_none() {
                return StatusChange::Unchanged;
            }
            engine.digest = None;
            self.fleets_stale = true;
            return StatusChange::Lost;
        };
        engine.failed_polls = 0;
        let before = engine.status.replace(status);
        let status = engine.status.as_ref();
        let same = before.as_ref().zip(status).is_some_and(|(before, status)| {
            before.incarnation == status.incarnation
                && before.weights == status.weights
                && before.role == status.role
        });
        if same {
            return StatusChange::Unchanged;
        }
        self.fleets_stale = true;
        StatusChange::Changed
    }

    /// Records the digest that an engine's home made.
    pub fn record_digest(&mut self, digest: EngineDigest) {
        if let Some(engine) = self.by_name.get_mut(&digest.engine) {
            let newest = engine.status.as_ref().map(|status| status.incarnation);
            // A digest of an earlier incarnation does not describe this one.
            if newest.is_none_or(|newest| digest.incarnation >= newest) {
                engine.digest = Some(digest);
            }
        }
    }

    /// Returns the engines that serve `model` and take work, prepared for ranking.
    pub fn fleet(&mut self, model: &ModelName, now: Millis) -> &Fleet {
        if self.fleets_stale || now.since(self.fleets_built_at) >= Millis(FLEET_REFRESH_MS) {
            self.rebuild_fleets(now);
        }
        self.fleets.entry(model.clone()).or_default()
    }

    fn rebuild_fleets(&mut self, now: Millis) {
        self.fleets_stale = false;
        self.fleets_built_at = now;
        let mut groups: BTreeMap<ModelName, Vec<FleetEngine>> = BTreeMap::new();
        for (name, engine) in &self.by_name {
            let Some(status) = engine.status.as_ref().filter(|_| engine.takes_work()) else {
                continue;
            };
            let same_zone = engine.zone == self.zone;
            groups
                .entry(status.model.clone())
                .or_default()
                .push(FleetEngine {
                    engine: name.clone(),
                    hop_ms: if same_zone {
                        SAME_ZONE_RTT_MS
                    } else {
                        CROSS_ZONE_RTT_MS
                    },
                    digest: engine.digest.clone(),
                });
        }
        self.fleets = groups
            .into_iter()
            .map(|(model, group)| (model, Fleet::new(group)))
            .collect();
    }
}
