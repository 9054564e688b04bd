//! Requests with a prompt part that crashes each engine that begins to answer them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::Engine;
use tokio::time::sleep;

use crate::entry_site::request;
use crate::soak::cluster::{Cluster, ENDPOINTS, Scope};

/// Number of requests, and the pause between two.
const REQUESTS: usize = 90;
const PAUSE: Duration = Duration::from_millis(100);

/// Number of crashes from which on the part has to be known.
const KNOWN_AFTER: usize = 5;

/// Time within which all nodes have to know it, `ContactMs` of the platform.
const CONTACT: Duration = Duration::from_secs(3);

/// Number of requests that may reach engines after that.
const MAX_LATE: usize = 3;

/// Requests by id: the node that each was sent to, and when.
type Sent = BTreeMap<String, (usize, Instant)>;

/// Sends requests with a part of their own to the nodes in turn, and checks how many reach
/// engines. Does nothing while another part crashes engines or an endpoint drains.
pub async fn send(cluster: Arc<Cluster>) {
    let Ok(mut number) = cluster.crashing_parts.try_write() else {
        return;
    };
    *number += 1;
    let part = 0x00ba_d000 + *number;
    let faults: Vec<usize> = (0..ENDPOINTS)
        .map(|index| cluster.begin_fault(Scope::Endpoint(index)))
        .collect();
    let engines = || {
        cluster.backends[..ENDPOINTS]
            .iter()
            .map(|backend| &backend.engine)
    };
    let crashes_before: usize = engines().map(|engine| engine.crashes().len()).sum();
    engines().for_each(|engine| engine.set_crashing_part(Some(part)));
    let mut sent = Sent::new();
    let mut running = tokio::task::JoinSet::new();
    for index in 0..REQUESTS {
        let node = index % cluster.nodes.len();
        let id = format!("probe-{part:x}-{index}");
        sent.insert(id.clone(), (node, Instant::now()));
        running.spawn_blocking({
            let address = cluster.addresses[node].0;
            move || send_one(address, part, index, &id)
        });
        sleep(PAUSE).await;
        write_entries(&cluster);
    }
    while let Some(ended) = running.join_next().await {
        ended.expect("a request ends without a panic");
    }
    engines().for_each(|engine| engine.set_crashing_part(None));
    write_entries(&cluster);
    for fault in faults {
        cluster.end_fault(fault);
    }
    check(&cluster, part, crashes_before, &sent);
}

fn send_one(address: std::net::SocketAddr, part: u64, index: usize, id: &str) {
    let parts = format!("aa:300,{part:x}:200,{index:x}00:100");
    let headers = [
        ("host", "site.example"),
        ("authorization", "Bearer key-1"),
        ("request-id", id),
        ("deadline-ms", "1500"),
        ("model", "planner"),
        ("token-usage", "1000,64"),
        ("prefix-hash", parts.as_str()),
    ];
    let path = ["/tag/a", "/draft/a"][index % 2];
    request(address, "POST", path, &headers);
}

/// Writes the entries of engines that run, as they do after a start.
fn write_entries(cluster: &Cluster) {
    for backend in &cluster.backends[..ENDPOINTS] {
        let (key, value) = backend.entry("ready");
        if !backend.engine.has_crashed() && !cluster.is_listed(&value) {
            cluster.store.put("keyed.servers", &key, &value);
        }
    }
}

fn check(cluster: &Cluster, part: u64, crashes_before: usize, sent: &Sent) {
    let engines = || {
        cluster.backends[..ENDPOINTS]
            .iter()
            .map(|backend| &backend.engine)
    };
    let mut crashes: Vec<Instant> = engines()
        .flat_map(Engine::crashes)
        .filter(|crash| sent.contains_key(&crash.request))
        .map(|crash| crash.at)
        .collect();
    crashes.sort();
    cluster.record_event(format!(
        "part {part:x}: {} crashes, {crashes_before} before",
        crashes.len()
    ));
    let Some(fifth) = crashes.get(KNOWN_AFTER - 1) else {
        return;
    };
    let known = *fifth + CONTACT;
    let late: Vec<String> = engines()
        .flat_map(Engine::started_runs)
        .filter(|run| run.at > known)
        .filter(|run| {
            let node = sent.get(&run.request);
            node.is_some_and(|(node, at)| *at > known && is_in_touch(cluster, *node, *at))
        })
        .map(|run| run.request)
        .collect();
    if late.len() > MAX_LATE {
        cluster.record_violation(format!(
            "{} requests with part {part:x} reached engines after {KNOWN_AFTER} had crashed: {late:?}",
            late.len()
        ));
    }
}

fn is_in_touch(cluster: &Cluster, node: usize, at: Instant) -> bool {
    let concerns = |scope| {
        matches!(scope, Scope::Store)
            || matches!(scope, Scope::Node(index) | Scope::Planned(index) if index == node)
    };
    !cluster.any_fault_between(concerns, at, at)
}
