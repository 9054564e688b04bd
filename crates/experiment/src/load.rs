//! Sends a load and collects the outcomes of its requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::outcome::Outcome;
use crate::workload::Arrival;

/// Sends every request at its arrival time, regardless of how many are in progress (an
/// open-loop load). `progress` counts finished requests.
pub async fn send(
    caller: Arc<Caller>,
    arrivals: Vec<Arrival>,
    progress: Arc<AtomicU64>,
) -> Vec<Outcome> {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for arrival in arrivals {
        let due = started + Duration::from_millis(arrival.at.0);
        tokio::time::sleep_until(due.into()).await;
        let (caller, progress) = (Arc::clone(&caller), Arc::clone(&progress));
        tasks.spawn(async move {
            let outcome = caller.run(&arrival).await;
            progress.fetch_add(1, Ordering::Relaxed);
            outcome
        });
    }
    let mut outcomes = Vec::new();
    while let Some(joined) = tasks.join_next().await {
        if let Ok(outcome) = joined {
            outcomes.push(outcome);
        }
    }
    outcomes.sort_by_key(|outcome| outcome.number);
    outcomes
}
