//! Soak test: real nodes under random faults, while callers and endpoints check the
//! guarantees of the product.

mod attempts;
mod brittle;
mod callers;
mod checks;
mod cluster;
mod crashes;
mod cuts;
mod disruptions;
mod limits;
mod restarts;
mod retries;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use cluster::{Cluster, has_low_rate};

/// Number of concurrent callers, and at low rates.
const CALLERS: usize = 16;
const FEW_CALLERS: usize = 5;

/// Result of one seed.
pub struct Report {
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// The event log, followed by the logs of the nodes.
    pub log: String,
    /// Number of requests, and of those that were served.
    pub requests: (usize, usize),
}

/// Runs a seed, with disruptions for `time`.
pub fn run_seed(seed: u64, time: Duration) -> Report {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(run_seed_in_runtime(seed, time))
}

async fn run_seed_in_runtime(seed: u64, time: Duration) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let pause_probability = rng.random_range(0.1..0.9);
    let cluster = Arc::new(Cluster::start(seed).await);
    let stop = Arc::new(AtomicBool::new(false));
    let callers = if has_low_rate(seed) {
        FEW_CALLERS
    } else {
        CALLERS
    };
    let callers: Vec<_> = (0..callers)
        .map(|name| {
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            tokio::spawn(callers::run_caller(
                cluster.clone(),
                name,
                rng,
                stop.clone(),
            ))
        })
        .collect();
    let until = Instant::now() + time;
    let (configuration, weights) =
        disruptions::inject(&cluster, seed, &mut rng, until, pause_probability).await;
    cluster.record_event("end of the disruptions");
    checks::check_recovery(&cluster, configuration, weights).await;
    stop.store(true, Ordering::Relaxed);
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.expect("a caller ends without a panic"));
    }
    checks::check_history(&cluster, &records);
    let mut log = cluster.event_log();
    for node in &cluster.nodes {
        let node = node.lock().expect("no panic before");
        log = format!("{log}\n--- {}\n{}", node.name, node.log());
    }
    let served = records.iter().filter(|record| record.served).count();
    Report {
        violations: cluster.violations(),
        log,
        requests: (records.len(), served),
    }
}
