//! Runs a fleet of processes on loopback ports.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use flamingolock_core::manifest::Manifest;
use serde_json::json;

use crate::process::Process;
use crate::wait;

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of the node.
    pub node: PathBuf,
    /// Path of the operators' tool, which also runs the stand-ins.
    pub tool: PathBuf,
}

/// A fleet of processes. Dropping it kills them all.
pub struct ProcessFleet {
    /// Paths of the programs.
    pub programs: Programs,
    /// Stand-in of the platform.
    pub platform: Process,
    /// Engines by name.
    pub engines: BTreeMap<String, Process>,
    /// Services by name.
    pub services: BTreeMap<String, Process>,
    /// Nodes by name.
    pub nodes: BTreeMap<String, Process>,
    peers: BTreeMap<String, SocketAddr>,
}

impl ProcessFleet {
    /// Starts a fleet that consists of the platform only.
    pub fn start(programs: Programs) -> Self {
        let platform = Process::start(&programs.tool, &["standin", "platform"]);
        Self {
            programs,
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            nodes: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Starts an engine and adds it to the instance list.
    pub fn add_engine(&mut self, name: &str, options: &[&str]) {
        let named = format!("engine=\"{name}\"");
        let mut arguments = vec!["standin", "engine", "--set", &named];
        for option in options {
            arguments.extend(["--set", option]);
        }
        let process = Process::start(&self.programs.tool, &arguments);
        self.list(name, "engine", process.address, None);
        self.engines.insert(name.to_owned(), process);
    }

    /// Starts a service and adds it to the instance list.
    pub fn add_service(&mut self, name: &str, options: &[&str]) {
        let mut arguments = vec!["standin", "service"];
        for option in options {
            arguments.extend(["--set", option]);
        }
        let process = Process::start(&self.programs.tool, &arguments);
        self.list(name, "service", process.address, None);
        self.services.insert(name.to_owned(), process);
    }

    /// Starts a node and adds it to the instance list. `settings` are `key=value` pairs.
    pub fn add_node(&mut self, name: &str, settings: &[&str]) {
        let process = self.start_node(name, settings);
        let peer = self.peers[name];
        self.list(name, "entry", process.address, Some(peer));
        self.nodes.insert(name.to_owned(), process);
    }

    /// Starts a node with the peer address `peer`, without adding it to the instance
    /// list.
    pub fn start_unlisted(&mut self, name: &str, peer: SocketAddr, settings: &[&str]) {
        let process = self.start_node_at(name, peer, settings);
        self.nodes.insert(name.to_owned(), process);
    }

    /// Returns the peer address of a node.
    pub fn peer_address(&self, name: &str) -> SocketAddr {
        self.peers[name]
    }

    fn start_node(&mut self, name: &str, settings: &[&str]) -> Process {
        self.start_node_at(name, free_address(), settings)
    }

    fn start_node_at(&mut self, name: &str, peer: SocketAddr, settings: &[&str]) -> Process {
        self.peers.insert(name.to_owned(), peer);
        let mut pairs = vec![
            format!("node.name={name}"),
            "node.zone=zone-1".to_owned(),
            "node.listen=127.0.0.1:0".to_owned(),
            format!("node.peer_listen={peer}"),
            format!("platform.url=http://{}", self.platform.address),
            "fleet.key=a-fleet-key-for-process-tests".to_owned(),
        ];
        pairs.extend(settings.iter().map(ToString::to_string));
        let mut arguments = vec!["--log".to_owned(), "warn".to_owned()];
        for pair in pairs {
            arguments.extend(["--set".to_owned(), pair]);
        }
        Process::start(&self.programs.node, &arguments)
    }

    /// Adds a live instance to the platform's list.
    ///
    /// # Panics
    ///
    /// Panics if the platform rejects it.
    pub fn list(&self, name: &str, kind: &str, address: SocketAddr, peer: Option<SocketAddr>) {
        self.list_with_state(name, kind, address, peer, "live");
    }

    /// Adds an instance with a given state to the platform's list.
    ///
    /// # Panics
    ///
    /// Panics if the platform rejects it.
    pub fn list_with_state(
        &self,
        name: &str,
        kind: &str,
        address: SocketAddr,
        peer: Option<SocketAddr>,
        state: &str,
    ) {
        let url = format!("http://{}/standin/instances/{name}", self.platform.address);
        let body = json!({
            "name": name, "kind": kind, "address": address, "peer_address": peer,
            "zone": "zone-1", "state": state,
        });
        ureq::put(&url)
            .send_json(body)
            .expect("the platform lists the instance");
    }

    /// Publishes a manifest with the operators' tool.
    ///
    /// # Panics
    ///
    /// Panics if it is not accepted.
    pub fn publish_manifest(&self, manifest: &Manifest) {
        let directory = tempfile::tempdir().expect("a directory");
        let file = directory.path().join("manifest.toml");
        let text = toml::to_string(manifest).expect("manifests are TOML");
        std::fs::write(&file, text).expect("the file can be written");
        self.publish(&file);
    }

    /// Publishes the manifest in `file` with the operators' tool.
    ///
    /// # Panics
    ///
    /// Panics if it is not accepted.
    pub fn publish(&self, file: &Path) {
        let output = self.try_publish(file, "test");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "publishing failed: {error}");
    }

    /// Publishes the manifest in `file` and returns the output of the tool.
    ///
    /// # Panics
    ///
    /// Panics if the tool cannot be run.
    pub fn try_publish(&self, file: &Path, author: &str) -> Output {
        Command::new(&self.programs.tool)
            .args(["manifest", "publish", "--author", author, "--platform"])
            .arg(format!("http://{}", self.platform.address))
            .arg(file)
            .output()
            .expect("the tool can be run")
    }

    /// Waits until a node serves a completion with the API key `key`.
    ///
    /// # Panics
    ///
    /// Panics if it does not within ten seconds.
    pub fn wait_serving(&self, node: &str, key: &str, model: &str) {
        let url = format!("http://{}/v1/completions", self.nodes[node].address);
        let body = json!({ "model": model, "prompt": "ready?", "max_tokens": 1 });
        wait::until("the node serves", Duration::from_secs(10), || {
            agent()
                .post(&url)
                .header("authorization", format!("Bearer {key}"))
                .send_json(&body)
                .is_ok()
        });
    }
}

/// Creates an HTTP client with a timeout.
fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(5)));
    config.build().new_agent()
}

impl Programs {
    /// Creates the paths from those that the build passes to tests.
    pub fn new(node: impl AsRef<Path>, tool: impl AsRef<Path>) -> Self {
        Self {
            node: node.as_ref().to_owned(),
            tool: tool.as_ref().to_owned(),
        }
    }
}

/// First port of the range. The range lies below the ephemeral ports, because an
/// outgoing connection could take such a port between the check and its use.
const FIRST_PORT: u32 = 10_000;

/// Number of ports in the range.
const PORT_COUNT: u32 = 20_000;

/// Distance between the first ports of processes with consecutive ids.
const PORT_STEP: u32 = 97;

/// Returns a loopback address at which nothing listened when checked and that this
/// process has not returned before.
///
/// The check connects instead of binding: a child that another thread starts meanwhile
/// would hold a copy of a bound socket until its exec, and the port with it.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PORT_STEP);
    for _ in 0..PORT_COUNT {
        let next = start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + next % PORT_COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("no port is free");
}
