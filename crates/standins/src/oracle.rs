//! Ground truth of an engine, which tests compare with what the engine reported.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::orders::OrderRecord;
use crate::server::lock;

/// Counters of one engine over all its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OracleReport {
    /// Cache hits in blocks, by salt in hexadecimal.
    pub hits: BTreeMap<String, u64>,
    /// Hits on blocks computed with another salt, incarnation or weights.
    pub bad_hits: u64,
    /// Tokens of all prefilled prefixes, cached or computed.
    pub prompt_tokens: u64,
    /// Tokens that prefill computed.
    pub computed_tokens: u64,
    /// Tokens that prefill found in the cache.
    pub cached_tokens: u64,
    /// Tokens of computed blocks that an engine of the fleet had computed before.
    pub recomputed_tokens: u64,
    /// Blocks evicted for capacity or age.
    pub evicted: u64,
    /// Requests accepted into the queue.
    pub started: u64,
    /// Requests whose answer was generated completely.
    pub finished: u64,
    /// Requests cancelled by a call or because no reader was left.
    pub cancelled: u64,
    /// Requests interrupted by a crash, or by a weights change without a drain.
    pub cut: u64,
    /// Number of times each request id was accepted.
    pub executions: BTreeMap<String, u64>,
    /// Executed orders, in execution order.
    pub orders: Vec<OrderRecord>,
}

/// Blocks computed by any engine of a fleet, shared by the engines of a process.
#[derive(Debug, Default)]
pub struct FleetOracle {
    computed: Mutex<BTreeSet<BlockHash>>,
}

impl FleetOracle {
    /// Creates an oracle that several engines can share.
    pub fn shared() -> Arc<Self> {
        Arc::default()
    }

    /// Records a computed block; true if it had been computed before.
    pub(crate) fn record(&self, block: BlockHash) -> bool {
        !lock(&self.computed).insert(block)
    }
}
