//! What truly happened at an engine, for tests to compare with what it said.

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
    /// Cached blocks used, by salt in hexadecimal.
    pub hits: BTreeMap<String, u64>,
    /// Cached blocks used whose salt, incarnation or weights did not fit.
    pub bad_hits: u64,
    /// Tokens of all prefixes that were prefilled.
    pub prompt_tokens: u64,
    /// Tokens that prefill computed.
    pub computed_tokens: u64,
    /// Tokens that prefill took from the cache.
    pub cached_tokens: u64,
    /// Tokens computed although they had been computed before.
    pub recomputed_tokens: u64,
    /// Blocks that the cache dropped for space or age.
    pub evicted: u64,
    /// Requests taken into the waiting line.
    pub started: u64,
    /// Requests whose answer was generated to its end.
    pub finished: u64,
    /// Requests that were cancelled, by call or for lack of a reader.
    pub cancelled: u64,
    /// Requests that a crash or an undrained weights change ended.
    pub cut: u64,
    /// How often each request id was started.
    pub executions: BTreeMap<String, u64>,
    /// Orders that were carried out, in their order.
    pub orders: Vec<OrderRecord>,
}

/// Blocks that any engine of a fleet has computed, shared by those in a process.
#[derive(Debug, Default)]
pub struct FleetOracle {
    computed: Mutex<BTreeSet<BlockHash>>,
}

impl FleetOracle {
    /// An oracle that several engines can share.
    pub fn shared() -> Arc<Self> {
        Arc::default()
    }

    /// Records a computed block; true when it had been computed before.
    pub(crate) fn record(&self, block: BlockHash) -> bool {
        !lock(&self.computed).insert(block)
    }
}
