//! What this node knows of each engine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use flamingolock_core::digest::EngineDigest;
use flamingolock_core::fleet::{Fleet, FleetEngine};
use flamingolock_core::home_message::EngineLoad;
use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::view::{Listed, ListedKind, ListedState};

/// Failed questions in a row after which an engine counts as lost.
const MAX_FAILED_POLLS: u32 = 2;

/// Time between two rankings of all engines while only loads change.
const FLEET_REFRESH_MS: u64 = 100;

/// Time to an engine of the same availability zone and back, in milliseconds.
const SAME_ZONE_RTT_MS: f64 = 0.5;

/// Time to an engine of another availability zone and back, in milliseconds.
const CROSS_ZONE_RTT_MS: f64 = 1.5;

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: EngineId,
    /// Life of the engine process.
    pub incarnation: Incarnation,
    /// Model that is loaded.
    pub model: ModelName,
    /// Version of the loaded weights.
    pub weights: WeightsVersion,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// `serve` or `drain`.
    pub role: String,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait.
    pub queued_tokens: u64,
    /// Blocks in the prefix cache.
    pub cached_blocks: u64,
    /// Blocks that the prefix cache can hold.
    pub capacity_blocks: u64,
    /// Speed of prefill.
    pub prefill_tokens_per_s: f64,
}

impl EngineStatus {
    /// The part that the engine's home works with.
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

/// One engine as this node knows it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// True when the platform lists it as leaving.
    pub leaving: bool,
    /// Newest status; none before the first answer or while the engine is lost.
    pub status: Option<EngineStatus>,
    /// Newest digest of its home.
    pub digest: Option<EngineDigest>,
    /// Requests of this node on the engine.
    pub inflight: u32,
    failed_polls: u32,
}

impl Engine {
    /// True when new work may go there.
    pub fn takes_work(&self) -> bool {
        let serving = self
            .status
            .as_ref()
            .is_some_and(|status| status.role != "drain");
        serving && !self.leaving
    }
}

/// What a status changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// The engine goes on as before.
    Unchanged,
    /// The engine is lost.
    Lost,
    /// The engine is known now, or again, or in another life.
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
    /// No engines yet, seen from `zone`.
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    /// The engine of this name.
    pub fn get(&self, engine: &EngineId) -> Option<&Engine> {
        self.by_name.get(engine)
    }

    /// The engine of this name, to change its counters.
    pub fn get_mut(&mut self, engine: &EngineId) -> Option<&mut Engine> {
        self.by_name.get_mut(engine)
    }

    /// All engines by name.
    pub fn iter(&self) -> impl Iterator<Item = (&EngineId, &Engine)> {
        self.by_name.iter()
    }

    /// Engines that answer.
    pub fn answering(&self) -> usize {
        self.by_name
            .values()
            .filter(|engine| engine.status.is_some())
            .count()
    }

    /// Takes in the platform's list. Returns engines that are gone or leaving.
    pub fn update_instances(&mut self, instances: &BTreeMap<String, Listed>) -> Vec<EngineId> {
        let listed: BTreeMap<EngineId, &Listed> = instances
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

    /// Takes in an engine's answer, or that there was none.
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

    /// Takes in the digest that an engine's home made.
    pub fn record_digest(&mut self, digest: EngineDigest) {
        if let Some(engine) = self.by_name.get_mut(&digest.engine) {
            let newest = engine.status.as_ref().map(|status| status.incarnation);
            // A digest of an earlier life says nothing about this one.
            if newest.is_none_or(|newest| digest.incarnation >= newest) {
                engine.digest = Some(digest);
            }
        }
    }

    /// Engines that serve `model` and take work, ready for ranking.
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
