//! What must hold, as seen by callers and endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::Order;
use tokio::time::sleep;

use crate::entry_site::{Answer, request};
use crate::soak::callers::RequestRecord;
use crate::soak::cluster::{Cluster, ENDPOINTS, Scope};

/// Time within which a configuration is in force.
const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(2);

/// Time within which a leaving endpoint gets no more requests.
const DRAIN_DEADLINE: Duration = Duration::from_secs(2);

/// Time that lies between the orders of two nodes.
const LEASE_DURATION: Duration = Duration::from_millis(600);

/// Time within which all is well again once the faults are over.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(12);

/// Memory of a node, in kB.
const MAX_MEMORY_KB: u64 = 110 * 1024;

/// Statuses that say that the request never runs.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

async fn send_probe(cluster: &Cluster, node: usize, path: String, id: String) -> Answer {
    let address = cluster.addresses[node].0;
    let probe = tokio::task::spawn_blocking(move || {
        let headers = [
            ("host", "site.example"),
            ("authorization", "Bearer key-1"),
            ("request-id", id.as_str()),
            ("deadline-ms", "1500"),
        ];
        request(address, "POST", &path, &headers)
    });
    probe.await.expect("the probe ends without a panic")
}

/// A configuration is in force within its time on each node in touch.
pub async fn check_configuration_applied(cluster: Arc<Cluster>, version: u64, published: Instant) {
    sleep(CONFIGURATION_DEADLINE).await;
    for node in 0..cluster.nodes.len() {
        let id = format!("probe-{version}-{node}");
        let answer = send_probe(&cluster, node, format!("/v{version}/a"), id).await;
        if answer.status == 404 && cluster.unaffected_since(node, published) {
            cluster.record_violation(format!("node {node} does not know version {version}"));
        }
    }
}

/// A leaving endpoint gets nothing from nodes in touch once its time is over.
pub fn check_endpoint_drained(cluster: &Cluster, index: usize, drain_started: Instant) {
    if (0..cluster.nodes.len()).any(|node| !cluster.unaffected_since(node, drain_started)) {
        return;
    }
    let late = cluster.backends[index]
        .engine
        .started_runs()
        .into_iter()
        .find(|start| start.at > drain_started + DRAIN_DEADLINE);
    if let Some(start) = late {
        cluster.record_violation(format!("{} at a leaving endpoint", start.request));
    }
}

/// Checks of all that endpoints and callers saw, once all is over.
pub fn check_history(cluster: &Cluster, records: &[RequestRecord]) {
    for record in records {
        let runs = cluster.executions(&record.id);
        if record.kind.runs_once() && runs > 1 {
            cluster.record_violation(format!("{} ran {runs} times", record.id));
        }
        if NOT_RUN_STATUSES.contains(&record.status) && runs > 0 {
            cluster.record_violation(format!("{} ran and got {}", record.id, record.status));
        }
        if record.served && runs == 0 {
            cluster.record_violation(format!("{} was answered by nobody", record.id));
        }
    }
    check_executions(cluster, records);
    for index in 0..ENDPOINTS {
        check_order_leases(cluster, index);
    }
    for (index, node) in cluster.nodes.iter().enumerate() {
        let node = node.lock().expect("no panic before");
        if node
            .peak_memory_kb()
            .is_some_and(|peak| peak > MAX_MEMORY_KB)
        {
            cluster.record_violation(format!("memory of node {index}"));
        }
    }
}

/// What runs was asked for, for the right workspace, and with memory of its own
/// weights and workspace only.
fn check_executions(cluster: &Cluster, records: &[RequestRecord]) {
    let requested_ids: BTreeSet<&str> = records.iter().map(|record| record.id.as_str()).collect();
    let mut salt_owners: BTreeMap<String, (u64, String)> = BTreeMap::new();
    for start in cluster
        .backends
        .iter()
        .flat_map(|backend| backend.engine.started_runs())
    {
        let text = |name: &str| {
            let value = start.headers.get(name)?;
            value.to_str().ok().map(ToOwned::to_owned)
        };
        let id = start.request.as_str();
        if id.starts_with("probe") || id.starts_with("end") {
            continue;
        }
        let workspace = text("tenant").unwrap_or_default();
        let caller: usize = id[1..]
            .split('-')
            .next()
            .and_then(|name| name.parse().ok())
            .unwrap_or_default();
        if !requested_ids.contains(id) {
            cluster.record_violation(format!("{id} was never asked for"));
        }
        if workspace != format!("workspace-{}", 1 + caller % 2) || text("authorization").is_some() {
            cluster.record_violation(format!("{id} ran for {workspace:?}"));
        }
        let Some(salt) = text("cache-salt") else {
            continue;
        };
        let owner = (start.weights, workspace);
        let known = salt_owners.entry(salt).or_insert_with(|| owner.clone());
        if *known != owner {
            cluster.record_violation(format!("{id}: memory of {known:?} for {owner:?}"));
        }
    }
}

/// Orders to an engine come from one node at a time.
fn check_order_leases(cluster: &Cluster, index: usize) {
    let orders = cluster.backends[index].engine.orders();
    for pair in orders.windows(2) {
        let [before, after] = pair else { continue };
        if before.holder == after.holder || is_excused(cluster, index, before, after) {
            continue;
        }
        let gap = after.at - before.at;
        if after.fencing_token <= before.fencing_token || gap < LEASE_DURATION {
            cluster.record_violation(format!(
                "engine {index}: orders of {} ({}) and {} ({}) {gap:?} apart",
                before.holder, before.fencing_token, after.holder, after.fencing_token
            ));
        }
    }
}

/// True when an order may have been held up on its way, or by its engine.
fn is_excused(cluster: &Cluster, index: usize, before: &Order, after: &Order) -> bool {
    let held_up = |scope| scope == Scope::Endpoint(index);
    cluster.any_fault_between(held_up, before.at, after.at)
}

/// After the last fault all requests are served again, and all engines get the
/// newest weights.
pub async fn check_recovery(cluster: &Cluster, configuration: u64, weights: u64) {
    let faults_ended = Instant::now();
    let mut failures: Vec<String> = Vec::new();
    while faults_ended.elapsed() < RECOVERY_DEADLINE {
        failures.clear();
        for node in 0..cluster.nodes.len() {
            let number = faults_ended.elapsed().as_millis();
            for path in ["/book/a".to_owned(), format!("/v{configuration}/a")] {
                if configuration == 1 && path.starts_with("/v") {
                    continue;
                }
                let id = format!("end-{node}-{}-{number}", &path[1..3]);
                let answer = send_probe(cluster, node, path.clone(), id).await;
                if answer.status != 200 {
                    failures.push(format!("node {node} {path}: {}", answer.status));
                }
            }
        }
        for backend in &cluster.backends[..ENDPOINTS] {
            if backend.engine.weights() != weights {
                failures.push(format!("weights {}", backend.engine.weights()));
            }
        }
        if failures.is_empty() {
            cluster.record_event(format!("all is well after {:?}", faults_ended.elapsed()));
            return;
        }
        sleep(Duration::from_millis(200)).await;
    }
    cluster.record_violation(format!(
        "not well {RECOVERY_DEADLINE:?} after the last fault: {failures:?}"
    ));
}
