//! Limits of requests that endpoints state, which all nodes keep to together.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use flamingolock_platform_standin::Arrival;
use tokio::time::sleep;

use crate::soak::callers::RequestRecord;
use crate::soak::checks::is_node_excused;
use crate::soak::cluster::Cluster;

/// Limit that endpoints state, in requests a second.
const LIMIT: f64 = 2.0;

/// Time for which a limit is stated at least.
const MIN_TIME: Duration = Duration::from_secs(6);

/// Time within which all nodes have to know a limit, `ContactMs` of the platform.
const CONTACT: Duration = Duration::from_secs(3);

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests beyond one and a half times the limit that may come in a window.
const SLACK: f64 = 5.0;

/// Lets endpoints state a limit for a while.
pub async fn state(cluster: Arc<Cluster>, backends: Range<usize>, time: Duration) {
    for backend in &cluster.backends[backends.clone()] {
        backend.engine.set_limit(Some(LIMIT));
    }
    sleep(MIN_TIME + time).await;
    for backend in &cluster.backends[backends] {
        backend.engine.set_limit(None);
    }
}

/// Checks how many requests reached an endpoint while it stated a limit. Requests of nodes
/// that were disturbed since it began to do so do not count.
pub fn check(cluster: &Cluster, index: usize, records: &[RequestRecord]) {
    let nodes: BTreeMap<&str, usize> = records
        .iter()
        .map(|record| (record.id.as_str(), record.node))
        .collect();
    let arrivals = cluster.backends[index].engine.arrivals();
    for period in arrivals.chunk_by(is_same_period) {
        let first = &period[0];
        if first.limit.is_none() {
            continue;
        }
        let counted: Vec<&Arrival> = period
            .iter()
            .filter(|arrival| arrival.at >= first.at + CONTACT)
            .filter(|arrival| {
                let node = nodes.get(arrival.request.as_str());
                node.is_some_and(|node| !is_node_excused(cluster, *node, first, arrival))
            })
            .collect();
        check_windows(cluster, &counted);
    }
}

/// True if an endpoint stated the same limit to two requests, one after the other.
fn is_same_period(one: &Arrival, next: &Arrival) -> bool {
    one.endpoint == next.endpoint && one.incarnation == next.incarnation && one.limit == next.limit
}

fn check_windows(cluster: &Cluster, arrivals: &[&Arrival]) {
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + SLACK;
    for (place, first) in arrivals.iter().enumerate() {
        let later = arrivals[place..].iter();
        let count = later
            .take_while(|arrival| arrival.at < first.at + WINDOW)
            .count();
        if count as f64 > allowed {
            cluster.record_violation(format!(
                "{count} requests reached {} in {WINDOW:?} though its limit is {LIMIT} a second",
                first.endpoint
            ));
            return;
        }
    }
}
