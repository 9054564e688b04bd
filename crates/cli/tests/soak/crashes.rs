//! Requests that crash each endpoint: a prompt part that others have as well, or one request
//! that comes again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::Engine;
use tokio::time::sleep;

use crate::entry_site::request;
use crate::soak::attempts::Sent as SentRequest;
use crate::soak::checks::PROBE_TIME_LIMIT;
use crate::soak::cluster::{Backend, Cluster, ENDPOINTS, Scope};

/// Number of requests, and the pause between two.
const REQUESTS: usize = 90;
const PAUSE: Duration = Duration::from_millis(100);

/// Time within which all nodes have to know what crashes endpoints, `ContactMs` of the
/// platform.
const CONTACT: Duration = Duration::from_secs(3);

/// Number of requests that may reach endpoints after that.
const MAX_LATE: usize = 3;

/// What crashes endpoints.
#[derive(Clone, Copy, Debug)]
pub enum Culprit {
    /// A part of prompts that differ otherwise.
    Part,
    /// One request.
    Request,
}

impl Culprit {
    /// Number of crashes from which on it has to be known.
    fn known_after(self) -> usize {
        match self {
            Self::Part => 5,
            Self::Request => 3,
        }
    }
}

/// A culprit under test, and the endpoints that it crashes.
#[derive(Clone, Copy, Debug)]
struct Trial {
    culprit: Culprit,
    /// Distinguishes it from earlier ones.
    number: u64,
}

impl Trial {
    fn part(self) -> u64 {
        0x00ba_d000 + self.number
    }

    /// Engines, or application servers for every other request.
    fn backends(self) -> Range<usize> {
        match self.culprit {
            Culprit::Request if self.number % 2 == 1 => ENDPOINTS..2 * ENDPOINTS,
            _ => 0..ENDPOINTS,
        }
    }

    fn path(self, index: usize) -> String {
        let kind = match self.culprit {
            Culprit::Part => return ["/tag/a", "/draft/a"][index % 2].to_owned(),
            Culprit::Request => ["tag", "look"][(self.number % 2) as usize],
        };
        format!("/{kind}/bad-{}", self.number)
    }

    fn set(self, engine: &Engine) {
        match self.culprit {
            Culprit::Part => engine.set_crashing_part(Some(self.part())),
            Culprit::Request => engine.set_crashing_path(Some(&self.path(0))),
        }
    }

    fn send_one(self, address: SocketAddr, index: usize, id: &str) {
        let parts = match self.culprit {
            Culprit::Part => format!("aa:300,{:x}:200,{index:x}00:100", self.part()),
            Culprit::Request => "aa:300,bb:200,cc:100".to_owned(),
        };
        let time_limit = PROBE_TIME_LIMIT.as_millis().to_string();
        let mut headers = vec![
            ("host", "site.example"),
            ("authorization", "Bearer key-1"),
            ("request-id", id),
            ("deadline-ms", time_limit.as_str()),
        ];
        if self.backends().start == 0 {
            headers.extend([("model", "planner"), ("token-usage", "1000,64")]);
            headers.push(("prefix-hash", parts.as_str()));
        }
        request(address, "POST", &self.path(index), &headers);
    }
}

/// Requests by id: the node that each was sent to, and when.
type Sent = BTreeMap<String, (usize, Instant)>;

/// Sends requests that crash endpoints to the nodes in turn, and checks how many reach
/// endpoints. Does nothing while another culprit is under test or an endpoint drains.
pub async fn send(cluster: Arc<Cluster>, culprit: Culprit) {
    let Ok(mut number) = cluster.culprits.try_write() else {
        return;
    };
    *number += 1;
    let trial = Trial {
        culprit,
        number: *number,
    };
    let backends = &cluster.backends[trial.backends()];
    let faults: Vec<usize> = trial
        .backends()
        .map(|index| cluster.begin_fault(Scope::Endpoint(index)))
        .collect();
    for backend in backends {
        trial.set(&backend.engine);
    }
    let mut sent = Sent::new();
    let mut running = tokio::task::JoinSet::new();
    for index in 0..REQUESTS {
        let node = index % cluster.nodes.len();
        let id = format!("probe-bad-{}-{index}", trial.number);
        sent.insert(id.clone(), (node, Instant::now()));
        let address = cluster.addresses[node].0;
        let service = backends[0].service;
        cluster.record_probe(SentRequest::probe(&id, service, node, PROBE_TIME_LIMIT));
        running.spawn_blocking(move || trial.send_one(address, index, &id));
        sleep(PAUSE).await;
        write_entries(&cluster, backends);
    }
    while let Some(ended) = running.join_next().await {
        ended.expect("a request ends without a panic");
    }
    for backend in backends {
        backend.engine.set_crashing_part(None);
        backend.engine.set_crashing_path(None);
    }
    write_entries(&cluster, backends);
    for fault in faults {
        cluster.end_fault(fault);
    }
    check(&cluster, trial, &sent);
}

/// Writes the entries of endpoints that run, as they do after a start.
pub fn write_entries(cluster: &Cluster, backends: &[Backend]) {
    for backend in backends {
        let (key, value) = backend.entry("ready");
        if !backend.engine.has_crashed() && !cluster.is_listed(&value) {
            cluster.store.put("keyed.servers", &key, &value);
        }
    }
}

fn check(cluster: &Cluster, trial: Trial, sent: &Sent) {
    let engines = || {
        let backends = cluster.backends[trial.backends()].iter();
        backends.map(|backend| &backend.engine)
    };
    let mut crashes: Vec<Instant> = engines()
        .flat_map(Engine::crashes)
        .filter(|crash| sent.contains_key(&crash.request))
        .map(|crash| crash.at)
        .collect();
    crashes.sort();
    cluster.record_event(format!("{trial:?}: {} crashes", crashes.len()));
    let known_after = trial.culprit.known_after();
    let Some(last) = crashes.get(known_after - 1) else {
        return;
    };
    let known = *last + CONTACT;
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
            "{} requests of {trial:?} reached endpoints after {known_after} had crashed: {late:?}",
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
