//! Versions of model weights that the operator named, and since when each one counts.
//!
//! A node that starts reads the newest version of each model from the store, but not when it
//! was named. The nodes that read it at the time tell it, and the versions before it.

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingolock_wire::gossip::NamedWeightsRecord;

use crate::clock::Millis;

/// Number of named versions that are kept per model.
const MAX_VERSIONS: usize = 16;

/// When a record of the operator was written, as far as a node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteTime {
    /// Earliest time at which it can have been written.
    pub at: Millis,
    /// True if nothing is known of it, so that the time is a choice.
    pub is_assumed: bool,
}

impl WriteTime {
    /// The time at which a record was written at the earliest.
    pub fn known(at: Millis) -> Self {
        Self {
            at,
            is_assumed: false,
        }
    }

    /// The time that an unknown one is taken for.
    pub fn assumed(at: Millis) -> Self {
        Self {
            at,
            is_assumed: true,
        }
    }

    /// Takes over what another node knows: a known time rather than an assumed one, else the
    /// earlier one of two that are assumed. Returns true if that is another time.
    fn learn(&mut self, other: Self) -> bool {
        let is_better = match (self.is_assumed, other.is_assumed) {
            (true, false) => true,
            (true, true) => other.at < self.at,
            (false, _) => false,
        };
        if is_better {
            *self = other;
        }
        is_better
    }
}

/// Version of a model's weights that the operator named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// Version of the weights.
    pub version: u64,
    /// When the operator named it.
    pub named: WriteTime,
}

/// Returns when the weights of `version` were superseded, given all versions that
/// the operator named in order.
pub fn replaced_at(versions: &[NamedVersion], version: u64) -> Option<Millis> {
    let newer = versions.iter().filter(|named| named.version > version);
    let first = newer.clone().next()?;
    let known = newer.filter(|named| !named.named.is_assumed);
    let earliest = known.map(|named| named.named.at).min();
    Some(earliest.map_or(first.named.at, |at| at.min(first.named.at)))
}

/// Named versions of each model, newest last.
pub type NamedVersions = BTreeMap<String, Vec<NamedVersion>>;

/// Named versions of all models.
#[derive(Debug, Default)]
pub struct NamedWeights {
    /// Versions of each model that this node has read.
    models: Arc<NamedVersions>,
    /// Versions of which other nodes told and that this node has not read yet.
    told: NamedVersions,
}

impl NamedWeights {
    /// Records a version that was read. Returns true if it is newer than all known versions.
    pub fn name(&mut self, model: &str, version: u64, named: WriteTime) -> bool {
        let models = Arc::make_mut(&mut self.models);
        let versions = models.entry(model.to_owned()).or_default();
        if versions.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        versions.push(NamedVersion { version, named });
        for told in self.told.remove(model).unwrap_or_default() {
            self.learn(model, told);
        }
        self.drop_surplus(model);
        true
    }

    /// All versions that this node has read.
    pub fn all(&self) -> Arc<NamedVersions> {
        self.models.clone()
    }

    /// Models of which versions were named.
    pub fn models(&self) -> impl Iterator<Item = &String> {
        self.models.keys()
    }

    /// Returns the named versions of a model, newest last.
    pub fn versions(&self, model: &str) -> &[NamedVersion] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the newest version of a model.
    pub fn newest(&self, model: &str) -> Option<u64> {
        self.versions(model).last().map(|named| named.version)
    }

    /// Takes over what another node tells. Returns the number of versions that are new to
    /// this node, or whose time is.
    pub fn merge(&mut self, records: &[NamedWeightsRecord], now: Millis) -> usize {
        let mut learnt = 0;
        for record in records {
            let version = NamedVersion {
                version: record.version,
                named: WriteTime {
                    at: now.saturating_sub(record.age_ms),
                    is_assumed: record.is_assumed,
                },
            };
            learnt += usize::from(self.learn(&record.model, version));
            self.drop_surplus(&record.model);
        }
        learnt
    }

    /// Takes over what another node tells of a version. One that this node has not read yet
    /// is kept until then.
    fn learn(&mut self, model: &str, told: NamedVersion) -> bool {
        let is_read = self
            .newest(model)
            .is_some_and(|newest| told.version <= newest);
        let lists = if is_read {
            Arc::make_mut(&mut self.models)
        } else {
            &mut self.told
        };
        let versions = lists.entry(model.to_owned()).or_default();
        match versions.binary_search_by_key(&told.version, |named| named.version) {
            Ok(place) => versions[place].named.learn(told.named),
            Err(place) => {
                versions.insert(place, told);
                true
            }
        }
    }

    /// Drops versions that are too many. The oldest one stays because it determines since when
    /// the versions before it count as superseded. The next one now does so for those dropped.
    fn drop_surplus(&mut self, model: &str) {
        let read = Arc::make_mut(&mut self.models).get_mut(model);
        let told = self.told.get_mut(model);
        for versions in read.into_iter().chain(told) {
            while versions.len() > MAX_VERSIONS {
                let removed = versions.remove(1);
                versions[1].named = removed.named;
            }
        }
    }

    /// What this node knows, for others.
    pub fn list(&self, now: Millis) -> Vec<NamedWeightsRecord> {
        let versions = self
            .models
            .iter()
            .flat_map(|(model, versions)| versions.iter().map(move |version| (model, version)));
        versions
            .map(|(model, version)| NamedWeightsRecord {
                model: model.clone(),
                version: version.version,
                age_ms: now.saturating_sub(version.named.at),
                is_assumed: version.named.is_assumed,
            })
            .collect()
    }
}
