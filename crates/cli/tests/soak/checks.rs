//! Checks of the guarantees of the system, from what callers and endpoints observed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::{Arrival, Order};
use tokio::time::sleep;

use crate::entry_site::{Answer, request};
use crate::soak::attempts::Sent as SentRequest;
use crate::soak::callers::RequestRecord;
use crate::soak::cluster::{Cluster, ENDPOINTS, Scope};
use crate::soak::{attempts, brittle, cuts, limits};

/// Time within which every unaffected node must apply a published configuration.
const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(2);

/// Time after which a draining endpoint must receive no more requests.
const DRAIN_DEADLINE: Duration = Duration::from_secs(2);

/// Time after a response that asks for a pause from which on it counts.
const PAUSE_REACTION: Duration = Duration::from_millis(500);

/// Number of requests of a node that may reach an endpoint in a pause.
const MAX_LATE_ARRIVALS: usize = 2;

/// Shortest time between orders of two holders to the same engine: one lease, as
/// `LeaseMs` of the nodes' settings.
const LEASE_DURATION: Duration = Duration::from_millis(600);

/// Time within which the cluster must recover after the last fault.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(12);

/// Bound of a node's peak resident memory, in kB.
const MAX_MEMORY_KB: u64 = 110 * 1024;

/// Statuses that promise that the request was not and will not be executed.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Deadline of the checks' own requests.
pub const PROBE_TIME_LIMIT: Duration = Duration::from_millis(1_500);

async fn send_probe(cluster: &Cluster, node: usize, path: String, id: String) -> Answer {
    let address = cluster.addresses[node].0;
    let probe = SentRequest::probe(&id, "desk", node, PROBE_TIME_LIMIT);
    cluster.record_probe(probe);
    let time_limit = PROBE_TIME_LIMIT.as_millis().to_string();
    let probe = tokio::task::spawn_blocking(move || {
        let headers = [
            ("host", "site.example"),
            ("authorization", "Bearer key-1"),
            ("request-id", id.as_str()),
            ("deadline-ms", time_limit.as_str()),
        ];
        request(address, "POST", &path, &headers)
    });
    probe.await.expect("the probe ends without a panic")
}

/// Checks that each node without faults since `published` knows the routes of
/// `version` after [`CONFIGURATION_DEADLINE`].
pub async fn check_configuration_applied(cluster: Arc<Cluster>, version: u64, published: Instant) {
    sleep(CONFIGURATION_DEADLINE).await;
    for node in 0..cluster.nodes.len() {
        let id = format!("probe-{version}-{node}");
        let answer = send_probe(&cluster, node, format!("/v{version}/a"), id).await;
        if answer.status == 404 && cluster.unaffected_since(node, published) {
            cluster.record_violation(format!(
                "node {node} has not applied configuration {version}"
            ));
        }
    }
}

/// Checks that the draining endpoint with this id received no request after
/// [`DRAIN_DEADLINE`]. One that has taken its place meanwhile has another id. Skipped when a fault affected any node meanwhile, as it may not know of the drain.
pub fn check_endpoint_drained(cluster: &Cluster, index: usize, id: &str, drain_started: Instant) {
    let is_link = |scope| matches!(scope, Scope::Links(_));
    if (0..cluster.nodes.len()).any(|node| !cluster.unaffected_since(node, drain_started))
        || cluster.any_fault_between(is_link, drain_started, Instant::now())
    {
        return;
    }
    let late = cluster.backends[index]
        .engine
        .arrivals()
        .into_iter()
        .find(|arrival| arrival.endpoint == id && arrival.at > drain_started + DRAIN_DEADLINE);
    if let Some(arrival) = late {
        cluster.record_violation(format!("{} sent to a draining endpoint", arrival.request));
    }
}

/// Checks the records of all callers against those of all endpoints, after the end of
/// the load.
pub fn check_history(cluster: &Cluster, records: &[RequestRecord]) {
    for record in records {
        let runs = cluster.executions(&record.id);
        if record.kind.runs_once() && runs > 1 {
            cluster.record_violation(format!("{} was executed {runs} times", record.id));
        }
        if NOT_RUN_STATUSES.contains(&record.status) && runs > 0 {
            cluster.record_violation(format!(
                "{} was executed but answered with status {}",
                record.id, record.status
            ));
        }
        if record.served && runs == 0 {
            cluster.record_violation(format!(
                "{} succeeded but no endpoint executed it",
                record.id
            ));
        }
    }
    check_executions(cluster, records);
    attempts::check(cluster, records);
    cuts::check(cluster, records);
    brittle::check(cluster, records);
    for index in 0..cluster.backends.len() {
        check_notices(cluster, index, records);
        limits::check(cluster, index, records);
    }
    for index in 0..ENDPOINTS {
        check_order_leases(cluster, index);
    }
    for (index, node) in cluster.nodes.iter().enumerate() {
        let node = node.lock().expect("no panic before");
        if node
            .peak_memory_kb()
            .is_some_and(|peak| peak > MAX_MEMORY_KB)
        {
            cluster.record_violation(format!(
                "peak memory of node {index} is above {MAX_MEMORY_KB} kB"
            ));
        }
    }
}

/// Checks that each execution belongs to a request that was sent, carries the
/// workspace of its caller and no API key, and that a cache salt is never shared by
/// two workspaces or two versions of the weights.
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
            cluster.record_violation(format!("{id} was executed but never sent"));
        }
        if workspace != format!("workspace-{}", 1 + caller % 2) || text("authorization").is_some() {
            cluster.record_violation(format!(
                "{id} was executed for {workspace:?} or with an API key"
            ));
        }
        let Some(salt) = text("cache-salt") else {
            continue;
        };
        let owner = (start.weights, workspace);
        let known = salt_owners.entry(salt).or_insert_with(|| owner.clone());
        if *known != owner {
            cluster.record_violation(format!("{id}: cache salt of {known:?} used for {owner:?}"));
        }
    }
}

/// Checks that nodes heed what an endpoint asked in its responses: that it is leaving,
/// from [`DRAIN_DEADLINE`] after a caller had such a response, and to pause, from
/// [`PAUSE_REACTION`] on but for [`MAX_LATE_ARRIVALS`].
fn check_notices(cluster: &Cluster, index: usize, records: &[RequestRecord]) {
    let records: BTreeMap<&str, &RequestRecord> = records
        .iter()
        .map(|record| (record.id.as_str(), record))
        .collect();
    let arrivals = cluster.backends[index].engine.arrivals();
    let sent: Vec<Sent> = arrivals
        .iter()
        .filter_map(|arrival| Some((arrival, *records.get(arrival.request.as_str())?)))
        .collect();
    for (place, told) in sent.iter().enumerate() {
        let later: Vec<Sent> = sent[place + 1..]
            .iter()
            .filter(|other| is_same_route(told, other))
            .copied()
            .collect();
        check_leaving(cluster, *told, &later);
        check_pause(cluster, index, *told, &later);
    }
}

/// A request at an endpoint, and its caller's record.
type Sent<'a> = (&'a Arrival, &'a RequestRecord);

/// True when both requests went from one node to one incarnation of an endpoint.
fn is_same_route((arrival, record): &Sent, (other, other_record): &Sent) -> bool {
    record.node == other_record.node
        && arrival.endpoint == other.endpoint
        && arrival.incarnation == other.incarnation
}

fn check_leaving(cluster: &Cluster, (told, told_by): Sent, later: &[Sent]) {
    if !told.leaving || !told_by.served {
        return;
    }
    let limit = told_by.ended_at + DRAIN_DEADLINE;
    let late = later.iter().find(|(arrival, record)| {
        record.sent_at > limit && !may_have_restarted(cluster, told_by.node, told, arrival)
    });
    if let Some((late, _)) = late {
        cluster.record_violation(format!(
            "{} reached {} long after node {} passed on that it is leaving",
            late.request, late.endpoint, told_by.node
        ));
    }
}

fn check_pause(cluster: &Cluster, index: usize, (told, told_by): Sent, later: &[Sent]) {
    let Some(pause) = told.pause else { return };
    let paused = told.at + PAUSE_REACTION..told.at + pause;
    let is_endpoint = |scope| scope == Scope::Endpoint(index);
    let late = later.iter().filter(|(arrival, _)| {
        paused.contains(&arrival.at)
            && !is_node_excused(cluster, told_by.node, told, arrival)
            && !cluster.any_fault_between(is_endpoint, told.at, arrival.at)
    });
    let late = late.count();
    if late > MAX_LATE_ARRIVALS {
        cluster.record_violation(format!(
            "{late} requests of node {} reached {} in a pause that it asked for",
            told_by.node, told.endpoint
        ));
    }
}

/// True when the node may have restarted, stood still or been cut off between two arrivals.
pub fn is_node_excused(cluster: &Cluster, node: usize, from: &Arrival, to: &Arrival) -> bool {
    let is_cut = |scope| scope == Scope::Links(node);
    may_have_restarted(cluster, node, from, to) || cluster.any_fault_between(is_cut, from.at, to.at)
}

fn may_have_restarted(cluster: &Cluster, node: usize, from: &Arrival, to: &Arrival) -> bool {
    let concerns = |scope| scope == Scope::Node(node) || scope == Scope::Planned(node);
    cluster.any_fault_between(concerns, from.at, to.at)
}

/// Checks that orders to an engine come from one lease holder at a time, with rising
/// fencing tokens.
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

/// True when a fault of the endpoint, its proxy or a link may have delayed one of the
/// orders.
fn is_excused(cluster: &Cluster, index: usize, before: &Order, after: &Order) -> bool {
    let held_up = |scope| scope == Scope::Endpoint(index) || matches!(scope, Scope::Links(_));
    cluster.any_fault_between(held_up, before.at, after.at)
}

/// Checks that within [`RECOVERY_DEADLINE`] after the last fault every node serves
/// requests, also on the newest route, and all engines have the newest weights.
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
                failures.push(format!("engine with weights {}", backend.engine.weights()));
            }
        }
        if failures.is_empty() {
            cluster.record_event(format!("recovered after {:?}", faults_ended.elapsed()));
            return;
        }
        sleep(Duration::from_millis(200)).await;
    }
    cluster.record_violation(format!(
        "not recovered {RECOVERY_DEADLINE:?} after the last fault: {failures:?}"
    ));
}
