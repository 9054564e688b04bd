//! Which entry instances a caller should use.
//!
//! Each workspace is assigned a subset of the instances in every availability zone
//! (subsetting by rendezvous hash). A traffic spike of one workspace therefore reaches
//! few instances, and an instance that is added or removed changes few subsets. The
//! size of the subset grows with the workspace's share of the sum of all weights.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::members::Instance;
use crate::prelude::*;
use crate::rendezvous;

/// How long callers use an answer before they ask again.
pub const LIFETIME: Millis = Millis(5000);

/// Minimum number of instances in an answer, if there are that many.
pub const MIN_ENTRIES: usize = 3;

/// Size of a subset relative to the workspace's share of the instances.
const SPARE_FACTOR: f64 = 2.0;

/// One address that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The instance.
    pub name: InstanceId,
    /// Address for callers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}

/// Answer to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// Entries in the order in which to try them.
    pub entries: Vec<Entry>,
    /// How long to use them before asking again.
    pub lifetime_ms: u64,
    /// Token from which the caller may mint idempotency keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
}

impl EntriesAnswer {
    /// An answer that is valid for [`LIFETIME`].
    pub fn new(entries: Vec<Entry>, token: Option<String>) -> Self {
        Self {
            entries,
            lifetime_ms: LIFETIME.0,
            token,
        }
    }
}

/// Who asks for entries.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The workspace.
    pub workspace: &'a WorkspaceId,
    /// The workspace's share of the sum of all weights, from 0 to 1.
    pub share: f64,
    /// The caller's zone or, if unknown, the zone of the answering instance.
    pub zone: &'a Zone,
    /// Value that differs between callers of one workspace, for example a hash of the
    /// caller's address, so that they do not all try the same instance first.
    pub salt: u64,
}

/// Chooses and orders entries out of the live instances: the caller's zone first,
/// then the other zones in an order that depends on the workspace and the salt.
pub fn choose<'a, I>(live: I, caller: &Caller<'_>) -> Vec<Entry>
where
    I: IntoIterator<Item = &'a Instance>,
{
    let mut zones: BTreeMap<&Zone, BTreeMap<&str, &Instance>> = BTreeMap::new();
    for instance in live {
        zones
            .entry(&instance.zone)
            .or_default()
            .insert(instance.name.as_str(), instance);
    }
    let least = MIN_ENTRIES.div_ceil(zones.len().max(1));
    let key = rendezvous::key(caller.workspace.as_str());
    let mut names: Vec<&Zone> = zones.keys().copied().collect();
    names.sort_by_key(|zone| {
        let other = *zone != caller.zone;
        (other, rendezvous::weight(key ^ caller.salt, zone.as_str()))
    });
    names
        .into_iter()
        .flat_map(|zone| choose_in_zone(&zones[zone], caller, key, least))
        .collect()
}

fn choose_in_zone(
    zone: &BTreeMap<&str, &Instance>,
    caller: &Caller<'_>,
    key: u64,
    least: usize,
) -> Vec<Entry> {
    let share = caller.share.clamp(0.0, 1.0);
    let wanted = (zone.len() as f64 * share * SPARE_FACTOR).ceil() as usize;
    let count = wanted.clamp(least, zone.len().max(least));
    let mut chosen = rendezvous::top(key, zone.keys().copied(), count);
    chosen.sort_by_key(|name| rendezvous::weight(key ^ caller.salt, name));
    chosen
        .into_iter()
        .map(|name| {
            let instance = zone[name];
            Entry {
                name: instance.name.clone(),
                address: instance.address,
                zone: instance.zone.clone(),
            }
        })
        .collect()
}
