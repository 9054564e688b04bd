//! The cluster under test: real node processes, and stand-ins of the store and the
//! endpoints behind fault-injecting proxies.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::{Engine, Link, Store};
use flamingolock_standins::proxy::{self, Handle};
use flamingolock_testutils::fleet::free_address;

use crate::entry_site::{Node, NodeSettings, RETRY_BOUNDS, RetryBounds, site_configuration};
use crate::soak::attempts::Sent;
use crate::soak::brittle::BrittleTime;
use crate::soak::cuts::WholeCut;

/// Number of nodes. From 18 on one of them, the hub, passes on news.
fn node_count(seed: u64) -> usize {
    match seed {
        ..800 => 3,
        800..900 | 1000..1500 => 6,
        900.. => 18,
    }
}

/// True if nodes of the seed are started as by a supervisor, with settings that stay as they
/// are, and killed in series.
pub fn restarts_nodes(seed: u64) -> bool {
    matches!(seed, 1000..2000)
}

/// True if few callers send, and the slack of the retry budget is small.
pub fn has_low_rate(seed: u64) -> bool {
    matches!(seed, 1400..1500 | 1900..2000) || restarts_nodes(seed) && seed % 4 == 1
}

/// Slack of the retry budget at low rates.
const LOW_RATE_SLACK: f64 = 12.0;

/// Number of nodes that all know from their settings.
const SEED_NODES: usize = 3;

/// Time between two events of a stream, in ms, and where nodes are killed in series.
const EVENT_PAUSE_MS: u64 = 20;
const LONG_EVENT_PAUSE_MS: u64 = 80;

fn retry_bounds(seed: u64) -> RetryBounds {
    let slack = if has_low_rate(seed) {
        LOW_RATE_SLACK
    } else {
        RETRY_BOUNDS.slack
    };
    RetryBounds {
        slack,
        ..RETRY_BOUNDS
    }
}

/// True if nodes of the seed are cut off from endpoints. Earlier seeds stay as they were.
pub fn cuts_links(seed: u64) -> bool {
    matches!(seed, 870..900 | 924..)
}

/// True if engines of the seed are brittle at times, or silent for a second.
pub fn has_brittle_engines(seed: u64) -> bool {
    matches!(seed, 884..900 | 936..)
}

/// First seed whose engines take time to load weights.
const FIRST_SEED_WITH_LOADS: u64 = 866;

/// Unit of that time.
const LOAD_TIME_STEP: Duration = Duration::from_millis(250);

/// Number of engines, and of application servers.
pub const ENDPOINTS: usize = 3;

/// `Retry-After` of the refusals of every other endpoint, in seconds.
const RETRY_AFTER_S: f64 = 1.5;

/// Time after its end for which a fault still excuses violations, by the platform's
/// rules.
pub const FAULT_AFTERMATH: Duration = Duration::from_secs(3);

/// The component that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The store, for all nodes.
    Store,
    /// One node, or its connections to the store.
    Node(usize),
    /// The connections of one node to endpoints; the node is in touch otherwise.
    Links(usize),
    /// One endpoint, or the connections to it.
    Endpoint(usize),
    /// One endpoint ends, or the connections to it do or are silent; `Endpoint` as well.
    Ended(usize),
    /// One endpoint refuses requests; its responses arrive as usual.
    Refusals(usize),
    /// A planned shutdown of one node, which must not interrupt requests.
    Planned(usize),
}

/// The period of a fault; `to` is none while it lasts.
#[derive(Clone, Copy, Debug)]
struct Fault {
    scope: Scope,
    from: Instant,
    to: Option<Instant>,
}

/// An endpoint stand-in behind a proxy.
pub struct Backend {
    pub engine: Engine,
    pub proxy: Handle,
    pub service: &'static str,
}

impl Backend {
    /// Key and value of the endpoint's entry in the store, with the address of the
    /// proxy.
    pub fn entry(&self, state: &str) -> (String, String) {
        self.engine.entry_at(self.proxy.addr(), self.service, state)
    }
}

/// State of one run, shared by its tasks.
pub struct Cluster {
    pub started: Instant,
    pub store: Store,
    /// The proxy of each node in front of the store.
    pub store_proxies: Vec<Handle>,
    pub backends: Vec<Backend>,
    /// The links of each node, one to each endpoint; none before the first seed that cuts
    /// them.
    pub links: Vec<Vec<Link>>,
    /// Bounds of retries in the nodes' settings.
    pub retry_bounds: RetryBounds,
    /// True if callers return to a stream again and again, at any node.
    pub callers_return: bool,
    /// Requests of the checks.
    pub probes: Mutex<Vec<Sent>>,
    /// Nodes that were cut off from all endpoints.
    pub whole_cuts: Mutex<Vec<WholeCut>>,
    /// Times in which engines were brittle.
    pub brittle_times: Mutex<Vec<BrittleTime>>,
    pub nodes: Vec<Mutex<Node>>,
    /// Addresses of each node: front listener and directory.
    pub addresses: Vec<(std::net::SocketAddr, std::net::SocketAddr)>,
    /// Number of prompt parts and requests that have crashed endpoints; locked for writing
    /// while one does, and for reading while an endpoint drains.
    pub culprits: tokio::sync::RwLock<u64>,
    faults: Mutex<Vec<Fault>>,
    violations: Mutex<Vec<String>>,
    event_log: Mutex<Vec<String>>,
}

/// Configuration number `version`: the routes of the site, and a route for each
/// version since the second, by which a probe tells which version a node has applied.
pub fn configuration(version: u64) -> String {
    let mut site: serde_json::Value = serde_json::from_str(&site_configuration(version, false))
        .expect("the site's configuration");
    let routes = site["Routes"].as_array_mut().expect("routes");
    let look = routes[3].clone();
    for number in 2..=version {
        let mut route = look.clone();
        route["Name"] = format!("v{number}").into();
        route["PathPrefix"] = format!("/v{number}/").into();
        routes.push(route);
    }
    site.to_string()
}

/// Time that an engine takes to load weights: none before [`FIRST_SEED_WITH_LOADS`].
fn load_time(seed: u64) -> Duration {
    let steps = if seed < FIRST_SEED_WITH_LOADS {
        0
    } else {
        1 + seed % 6
    };
    LOAD_TIME_STEP * steps as u32
}

fn start_links(seed: u64, backends: &[Backend]) -> Vec<Link> {
    let linked = backends.iter().filter(|_| cuts_links(seed));
    linked
        .map(|backend| Link::start(backend.proxy.addr()))
        .collect()
}

impl Cluster {
    /// Starts the stand-ins and nodes, and waits until every node has logged every
    /// endpoint.
    pub async fn start(seed: u64) -> Self {
        let store = Store::start();
        let restarts = restarts_nodes(seed);
        let event_pause = if restarts {
            LONG_EVENT_PAUSE_MS
        } else {
            EVENT_PAUSE_MS
        };
        store.put("keyed.op", "op/config", &configuration(1));
        let loopback = ([127, 0, 0, 1], 0).into();
        let mut backends = Vec::new();
        for index in 0..2 * ENDPOINTS {
            let (id, events, pause, service) = if index < ENDPOINTS {
                (format!("engine-{index}"), 10, event_pause, "engines")
            } else {
                (format!("desk-{index}"), 0, 40, "desk")
            };
            let engine = Engine::start(&id, events, Duration::from_millis(pause));
            if index % 2 == 1 && !restarts {
                engine.set_retry_after(Some(RETRY_AFTER_S));
            }
            engine.set_load_time(load_time(seed));
            // Two software versions serve side by side.
            if index == ENDPOINTS - 1 {
                engine.set_build("v2");
            }
            let proxy = proxy::start(loopback, engine.address())
                .await
                .expect("a proxy starts");
            let backend = Backend {
                engine,
                proxy,
                service,
            };
            let (key, value) = backend.entry("ready");
            store.put("keyed.servers", &key, &value);
            backends.push(backend);
        }
        let mut store_proxies = Vec::new();
        let mut nodes = Vec::new();
        let mut links = Vec::new();
        let controls: Vec<_> = (0..node_count(seed)).map(|_| free_address()).collect();
        for (index, control) in controls.iter().enumerate() {
            let own_links = start_links(seed, &backends);
            let addresses = own_links.iter().zip(&backends);
            let addresses = addresses
                .map(|(link, backend)| (backend.proxy.addr(), link.address()))
                .collect();
            let proxy = proxy::start(loopback, store.view(addresses))
                .await
                .expect("a proxy starts");
            let seeds = if restarts {
                &controls[..SEED_NODES]
            } else {
                &controls[..index]
            };
            nodes.push(Node::start_as(&NodeSettings {
                name: &format!("node-{index}"),
                store: proxy.addr(),
                seeds,
                control: *control,
                more: if restarts { "Bootstrap = true" } else { "" },
                bounds: retry_bounds(seed),
            }));
            store_proxies.push(proxy);
            links.push(own_links);
        }
        let addresses = nodes
            .iter()
            .map(|node| (node.front, node.directory))
            .collect();
        let cluster = Self {
            started: Instant::now(),
            store,
            store_proxies,
            backends,
            links,
            retry_bounds: retry_bounds(seed),
            callers_return: restarts,
            probes: Mutex::default(),
            whole_cuts: Mutex::default(),
            brittle_times: Mutex::default(),
            nodes: nodes.into_iter().map(Mutex::new).collect(),
            addresses,
            culprits: tokio::sync::RwLock::default(),
            faults: Mutex::default(),
            violations: Mutex::default(),
            event_log: Mutex::default(),
        };
        let waiting = Instant::now();
        while !cluster.all_endpoints_listed() {
            assert!(
                waiting.elapsed() < Duration::from_secs(20),
                "a node has not listed all endpoints"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        cluster
    }

    fn all_endpoints_listed(&self) -> bool {
        self.nodes.iter().all(|node| {
            let node = node.lock().expect("no panic before");
            node.log().matches("endpoint listed").count() >= self.backends.len()
        })
    }

    /// Adds a line to the event log, with the time since the start.
    pub fn record_event(&self, what: impl std::fmt::Display) {
        let line = format!("{:7.3} {what}", self.started.elapsed().as_secs_f64());
        self.event_log.lock().expect("no panic before").push(line);
    }

    /// Records a violated guarantee.
    pub fn record_violation(&self, what: impl std::fmt::Display) {
        let line = format!("{:7.3} {what}", self.started.elapsed().as_secs_f64());
        self.record_event(format!("VIOLATION: {line}"));
        self.violations.lock().expect("no panic before").push(line);
    }

    /// Violations so far.
    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("no panic before").clone()
    }

    /// The whole event log.
    pub fn event_log(&self) -> String {
        self.event_log.lock().expect("no panic before").join("\n")
    }

    /// Records the start of a fault and returns its index for [`Cluster::end_fault`].
    pub fn begin_fault(&self, scope: Scope) -> usize {
        let mut faults = self.faults.lock().expect("no panic before");
        faults.push(Fault {
            scope,
            from: Instant::now(),
            to: None,
        });
        faults.len() - 1
    }

    /// Records the end of a fault.
    pub fn end_fault(&self, fault: usize) {
        self.faults.lock().expect("no panic before")[fault].to = Some(Instant::now());
    }

    /// True when a fault whose scope matches was active at some time between `from`
    /// and `to`, or ended at most [`FAULT_AFTERMATH`] before `from`.
    pub fn any_fault_between(
        &self,
        matches_scope: impl Fn(Scope) -> bool,
        from: Instant,
        to: Instant,
    ) -> bool {
        let faults = self.faults.lock().expect("no panic before");
        faults.iter().any(|fault| {
            matches_scope(fault.scope)
                && fault.from <= to
                && fault.to.is_none_or(|end| end + FAULT_AFTERMATH >= from)
        })
    }

    /// True when a fault whose scope matches was active at some time between `from` and `to`.
    pub fn any_fault_during(
        &self,
        matches_scope: impl Fn(Scope) -> bool,
        from: Instant,
        to: Instant,
    ) -> bool {
        let faults = self.faults.lock().expect("no panic before");
        faults.iter().any(|fault| {
            matches_scope(fault.scope) && fault.from <= to && fault.to.is_none_or(|end| end >= from)
        })
    }

    /// Records a request of the checks, before it is sent.
    pub fn record_probe(&self, probe: Sent) {
        self.probes.lock().expect("no panic before").push(probe);
    }

    /// True when no fault of the node, its connections to the store or the store was
    /// active since [`FAULT_AFTERMATH`] before `from`.
    pub fn unaffected_since(&self, node: usize, from: Instant) -> bool {
        let concerns = |scope| {
            matches!(scope, Scope::Store)
                || matches!(scope, Scope::Node(index) | Scope::Planned(index) if index == node)
        };
        !self.any_fault_between(concerns, from, Instant::now())
    }

    /// True if the store has this entry of an endpoint.
    pub fn is_listed(&self, entry: &str) -> bool {
        let records = self.store.records("keyed.servers");
        records
            .iter()
            .any(|record| record.ends_with(entry.as_bytes()))
    }

    /// Number of executions of a request, over all endpoints.
    pub fn executions(&self, id: &str) -> u32 {
        self.backends
            .iter()
            .map(|backend| backend.engine.runs().get(id).copied().unwrap_or(0))
            .sum()
    }
}
