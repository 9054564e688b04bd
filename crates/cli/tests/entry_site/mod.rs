//! Real entry node processes, with stand-ins of the platform's store and endpoints.

pub mod process;
pub mod raw;

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::{Engine, Link, LinkState, Store};
use flamingolock_testutils::fleet::free_address;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Timeout of [`wait_for`] and of each request.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Polls until `done` is true.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Names the program of another build. Nodes then start with that one, and each restart
/// changes their build.
const OTHER_BUILD: &str = "FLAMINGOLOCK_OTHER_BUILD";

/// Which build of the program a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Build {
    Own,
    Other,
}

impl Build {
    fn first() -> Self {
        match std::env::var_os(OTHER_BUILD) {
            Some(_) => Self::Other,
            None => Self::Own,
        }
    }

    fn next(self) -> Self {
        match self {
            Self::Own => Self::first(),
            Self::Other => Self::Own,
        }
    }

    fn program(self) -> OsString {
        let other = std::env::var_os(OTHER_BUILD).filter(|_| self == Self::Other);
        other.unwrap_or_else(|| env!("CARGO_BIN_EXE_flamingolock").into())
    }
}

/// Bounds of the retries of all nodes, as their settings state them.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Retries for each request in a window.
    pub ratio: f64,
    pub window_s: u64,
    /// Retries in a window beside those.
    pub slack: f64,
}

/// The bounds that nodes get unless a test states others.
pub const RETRY_BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window_s: 10,
    slack: 58.0,
};

/// What differs between the settings of nodes.
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings<'a> {
    pub name: &'a str,
    pub store: SocketAddr,
    /// Control addresses of peers.
    pub seeds: &'a [SocketAddr],
    pub control: SocketAddr,
    /// A further line.
    pub more: &'a str,
    pub bounds: RetryBounds,
}

/// Number of endpoints that may run a request of the site.
pub const MAX_ATTEMPTS: usize = 2;

/// A node process, killed on drop.
pub struct Node {
    child: Child,
    build: Build,
    dir: TempDir,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    pub control: SocketAddr,
}

impl Node {
    /// Starts a node with a settings file of the platform's format. `seeds` are the
    /// control addresses of its peers.
    pub fn start(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Self::start_with(name, store, seeds, "")
    }

    /// The same with a further line of settings.
    pub fn start_with(name: &str, store: SocketAddr, seeds: &[SocketAddr], more: &str) -> Self {
        Self::start_as(&NodeSettings {
            name,
            store,
            seeds,
            control: free_address(),
            more,
            bounds: RETRY_BOUNDS,
        })
    }

    /// Starts a node with these settings, which stay as they are at each restart.
    pub fn start_as(settings: &NodeSettings) -> Self {
        let NodeSettings {
            name,
            store,
            seeds,
            control,
            more,
            bounds,
        } = *settings;
        let [front, ready, directory, metrics] = [(); 4].map(|()| free_address());
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let port = metrics.port();
        let RetryBounds {
            ratio,
            window_s,
            slack,
        } = bounds;
        let settings = format!(
            r#"
Node = "{name}"
Role = "entry"
Ip = "127.0.0.1"
Zone = "zone-a"
PortRange = [{port}, {port}]
Seeds = {seeds:?}
{more}
[Zones]
zone-a = "region"
[Listen]
Front = "{front}"
Ready = "{ready}"
Directory = "{directory}"
Control = "{control}"
[Bounds]
RetryBudgetRatio = {ratio}
BudgetWindowS = {window_s}
BudgetSlack = {slack}
LeaseMs = 600
VersionMs = 6000
ContactMs = 3000
GraceS = 6
DrainMs = 2000
ConfigMs = 2000
[Provider]
Address = "{store}"
"#
        );
        let dir = tempfile::tempdir().expect("a temporary directory can be created");
        let path = dir.path().join("node.toml");
        std::fs::write(&path, settings).expect("the settings can be written");
        let build = Build::first();
        let child = spawn(dir.path(), build);
        Self {
            child,
            build,
            dir,
            name: name.to_owned(),
            front,
            ready,
            directory,
            metrics,
            control,
        }
    }

    /// Starts the process again with the same settings, after it has exited.
    pub fn restart(&mut self) {
        self.build = self.build.next();
        self.child = spawn(self.dir.path(), self.build);
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// True once the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let status = self.child.try_wait();
        status.expect("the process can be waited for").is_some()
    }

    /// Peak resident memory of the process in kB; none once it has exited.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// HTTP status of the readiness probe; 0 when there is no response.
    pub fn readiness(&self) -> u16 {
        get(self.ready, "/readyz", &[]).status
    }

    /// Waits until the readiness probe succeeds.
    pub fn wait_ready(&self) {
        wait_for("readiness", || self.readiness() == 200);
    }

    /// Returns the node's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.dir.path().join("log")).expect("the log can be read")
    }

    /// Sends a signal, named as in `kill -NAME`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("kill can be run").success());
    }

    /// Waits for the process to exit and returns whether it succeeded.
    pub fn wait_exit(&mut self) -> bool {
        let started = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.success();
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for the node to exit"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// A node with a link to each endpoint, in the order of the site's engines and application
/// servers.
pub struct LinkedNode {
    pub node: Node,
    pub links: Vec<Link>,
}

impl LinkedNode {
    /// Sets the state of all links.
    pub fn set_links(&self, state: LinkState) {
        for link in &self.links {
            link.set(state);
        }
    }

    /// Cuts the node off from all endpoints and waits until it knows it.
    pub fn cut_off(&self) {
        self.set_links(LinkState::Reset);
        let mut number = 0;
        wait_for("the node to know that it is cut off", || {
            number += 1;
            call(&self.node, "/look/a", &format!("look-{number}"), &[]);
            stream(&self.node, "/tag/a", &format!("tag-{number}"));
            let log = self.node.log();
            log.matches("cut off from the endpoints of a service")
                .count()
                >= 2
        });
    }

    /// Number of bytes that the node has sent to endpoints.
    pub fn sent_bytes(&self) -> u64 {
        self.links.iter().map(Link::sent_bytes).sum()
    }
}

/// Starts a node with the settings file in `dir`, and appends its log to `dir/log`.
fn spawn(dir: &Path, build: Build) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(dir.join("log"))
        .expect("the log can be opened");
    Command::new(build.program())
        .arg("entry")
        .env("FLAMINGOLOCK_SETTINGS", dir.join("node.toml"))
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .expect("the node starts")
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A response as a caller sees it.
#[derive(Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 when there was no response.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    /// The part of the body that arrived.
    pub body: String,
    /// True when the body was received to its end.
    pub complete: bool,
}

/// Client that keeps up to `connections` idle ones.
pub fn client(connections: usize) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build()
        .into()
}

/// Sends a request on a new connection.
pub fn request(address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
    send(&client(0), address, method, path, headers)
}

/// Sends a request on an idle connection of the client, or on a new one if it has none.
pub fn send(
    client: &ureq::Agent,
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Answer {
    let mut builder = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body("the body").expect("a request");
    let Ok(mut response) = client.run(request) else {
        return Answer::default();
    };
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let mut body = Vec::new();
    let complete = response
        .body_mut()
        .as_reader()
        .read_to_end(&mut body)
        .is_ok();
    Answer {
        status: response.status().as_u16(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
    }
}

/// A GET without a body.
pub fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    request(address, "GET", path, headers)
}

/// Posts a request with the API key of the first workspace and a request id.
pub fn call(node: &Node, path: &str, id: &str, more: &[(&str, &str)]) -> Answer {
    let mut headers = vec![
        ("host", "site.example"),
        ("authorization", "Bearer key-1"),
        ("request-id", id),
        ("deadline-ms", "8000"),
    ];
    headers.extend_from_slice(more);
    request(node.front, "POST", path, &headers)
}

/// Headers of a prompt with two shared parts.
pub const PROMPT: [(&str, &str); 3] = [
    ("model", "planner"),
    ("token-usage", "1000,64"),
    ("prefix-hash", "aa:300,bb:400,cc:300"),
];

/// Requests a stream from a model engine.
pub fn stream(node: &Node, path: &str, id: &str) -> Answer {
    call(node, path, id, &PROMPT)
}

/// Requests a stream; prompts with different numbers are spread over the engines.
pub fn draft(node: &Node, prompt: usize, id: &str, more: &[(&str, &str)]) -> Answer {
    let parts = format!("a{prompt}:300,b{prompt}:400,c:300");
    let mut headers = vec![
        ("model", "planner"),
        ("token-usage", "1000,64"),
        ("prefix-hash", parts.as_str()),
    ];
    headers.extend_from_slice(more);
    call(node, "/draft/a", id, &headers)
}

/// The site's configuration record; `extra_route` adds the route `/later/`.
pub fn site_configuration(version: u64, extra_route: bool) -> String {
    let route = |name: &str,
                 path: &str,
                 kind: &str,
                 service: &str,
                 timeout: u64,
                 resumable: bool| {
        serde_json::json!({
            "Name": name, "Host": "site.example", "PathPrefix": path, "Kind": kind, "TimeoutMs": timeout,
            "TargetLatencyMs": 300, "Priority": 1, "Service": service, "MaxAttempts": MAX_ATTEMPTS, "Public": false,
            "Sticky": true, "Resumable": resumable, "GapAimMs": 500,
        })
    };
    let mut routes = vec![
        route("draft", "/draft/", "stream", "engines", 8000, true),
        route("tag", "/tag/", "stream", "engines", 8000, false),
        route("book", "/book/", "unsafe", "desk", 500, false),
        route("look", "/look/", "safe", "desk", 2000, false),
    ];
    if extra_route {
        routes.push(route("later", "/later/", "safe", "desk", 2000, false));
    }
    serde_json::json!({
        "Version": version, "Routes": routes,
        "Services": [
            {"Name": "engines", "HealthPath": "/healthz", "MaxConns": 100, "Engine": {
                "Slots": 8, "KvCapacityTokens": 100_000, "TokenKvBytes": 1000, "LinkMbps": 10000.0}},
            {"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [
            {"Name": "workspace-1", "ApiKeys": ["key-1"], "Priority": 1, "Isolated": true},
            {"Name": "workspace-2", "ApiKeys": ["key-2"], "Isolated": true},
        ],
    })
    .to_string()
}

/// Limit on bodies in [`large_body_configuration`], in bytes.
pub const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// The configuration of a site with large bodies, long timeouts and roomy engines.
pub fn large_body_configuration() -> String {
    let text = site_configuration(2, false);
    let mut value: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    value["Limits"]["MaxBodyBytes"] = json!(BODY_LIMIT);
    for route in value["Routes"].as_array_mut().expect("a list") {
        route["TimeoutMs"] = json!(60_000);
    }
    for service in value["Services"].as_array_mut().expect("a list") {
        if service["Engine"].is_object() {
            service["Engine"]["Slots"] = json!(256);
            service["Engine"]["KvCapacityTokens"] = json!(10_000_000);
        }
    }
    value.to_string()
}

/// An endpoint that a test writes itself.
pub struct RawEndpoint {
    pub id: &'static str,
    pub service: &'static str,
    pub address: SocketAddr,
}

/// A store with a configuration, engines and application servers, all stand-ins.
pub struct Site {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub app_servers: Vec<Engine>,
    /// Control addresses of the started nodes, the seeds of the next one.
    control_addresses: Mutex<Vec<SocketAddr>>,
}

impl Site {
    /// Starts two engines and two application servers; `pause` is the time between two
    /// events of a stream.
    pub fn start(pause: Duration) -> Self {
        Self::start_with(2, pause)
    }

    /// Starts as many engines, and two application servers.
    pub fn start_with(engines: usize, pause: Duration) -> Self {
        let store = Store::start();
        let engines: Vec<Engine> = (1..=engines)
            .map(|index| Engine::start(&format!("engine-{index}"), 10, pause))
            .collect();
        let app_servers: Vec<Engine> = (1..=2)
            .map(|index| Engine::start(&format!("desk-{index}"), 0, Duration::from_millis(5)))
            .collect();
        let site = Self {
            store,
            engines,
            app_servers,
            control_addresses: Mutex::default(),
        };
        site.store
            .put("keyed.op", "op/config", &site_configuration(1, false));
        for engine in &site.engines {
            site.put_entry(engine, "engines", "ready");
        }
        for server in &site.app_servers {
            site.put_entry(server, "desk", "ready");
        }
        site
    }

    /// Writes an endpoint's entry to the store.
    pub fn put_entry(&self, endpoint: &Engine, service: &str, state: &str) {
        let (key, value) = endpoint.entry(service, state);
        self.store.put("keyed.servers", &key, &value);
    }

    /// Adds the entry of an endpoint that is none of the site's, and waits until the node has
    /// read it, and that the site's endpoints of its service are leaving, but for `others`.
    pub fn put_raw_entry(&self, endpoint: &RawEndpoint, others: usize, node: &Node) {
        let RawEndpoint {
            id,
            service,
            address,
        } = endpoint;
        let entry = serde_json::json!({
            "Service": service, "Address": address.to_string(), "Zone": "zone-a", "Version": "v1", "Slots": 8,
            "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": 1000,
            "Models": [{"Name": "planner", "Version": 1, "Adapters": []}],
        });
        let key = format!("servers/{id}");
        self.store.put("keyed.servers", &key, &entry.to_string());
        let own = match *service {
            "engines" => &self.engines,
            _ => &self.app_servers,
        };
        let leaving = &own[others..];
        for endpoint in leaving {
            self.put_entry(endpoint, service, "draining");
        }
        wait_for("the raw endpoint", || {
            let log = node.log();
            log.contains(id) && log.matches("endpoint is leaving").count() == leaving.len()
        });
    }

    /// Starts a node and waits until it is ready and has logged all endpoints.
    pub fn node(&self, name: &str) -> Node {
        self.node_at(name, self.store.address(), "")
    }

    /// The same with settings that say that the whole system starts for the first time.
    pub fn first_node(&self, name: &str) -> Node {
        self.node_at(name, self.store.address(), "Bootstrap = true")
    }

    /// Starts a node that reaches each endpoint over a link of its own.
    pub fn linked_node(&self, name: &str) -> LinkedNode {
        self.linked_node_with(name, "")
    }

    /// The same with further lines of settings.
    pub fn linked_node_with(&self, name: &str, more: &str) -> LinkedNode {
        let links: Vec<Link> = self
            .endpoints()
            .map(|endpoint| Link::start(endpoint.address()))
            .collect();
        let addresses = self
            .endpoints()
            .zip(&links)
            .map(|(endpoint, link)| (endpoint.address(), link.address()))
            .collect();
        let node = self.node_at(name, self.store.view(addresses), more);
        LinkedNode { node, links }
    }

    fn node_at(&self, name: &str, store: SocketAddr, more: &str) -> Node {
        let mut control_addresses = self.control_addresses.lock().expect("no panic before");
        let node = Node::start_with(name, store, &control_addresses, more);
        control_addresses.push(node.control);
        drop(control_addresses);
        node.wait_ready();
        wait_for("the node to list all endpoints", || {
            node.log().matches("endpoint listed").count() >= self.endpoints().count()
        });
        node
    }

    /// All engines, then all application servers.
    fn endpoints(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().chain(&self.app_servers)
    }

    /// Number of executions of a request, over all endpoints.
    pub fn executions(&self, id: &str) -> u32 {
        self.endpoints()
            .map(|endpoint| endpoint.runs().get(id).copied().unwrap_or(0))
            .sum()
    }
}

/// Returns the ids of the events in a stream.
pub fn event_ids(body: &str) -> Vec<u64> {
    body.lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

/// Software versions of the engines that sent the events of a stream.
pub fn event_builds(body: &str) -> BTreeSet<&str> {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: token ")?.split(' ').nth(1))
        .collect()
}
