//! A complete fleet in one process, on loopback addresses: nodes, and stand-ins for the
//! platform, engines and services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingolock_core::manifest::Manifest;
use flamingolock_core::prelude::*;
use flamingolock_node::log_client::LogClient;
use flamingolock_node::node::{Node, NodeError};
use flamingolock_node::publish::{self, PublishError};
use flamingolock_node::settings::{RoutingSettings, Settings};
use flamingolock_standins::engine::{self, EngineOptions};
use flamingolock_standins::error::StandinError;
use flamingolock_standins::oracle::FleetOracle;
use flamingolock_standins::platform::{
    self, Instance, InstanceKind, InstanceState, PlatformOptions,
};
use flamingolock_standins::service::{self, ServiceOptions};
use thiserror::Error;
use tokio::runtime::Runtime;

use crate::report::EndpointCounts;
use crate::workload::{MODEL, WEIGHTS};

/// Fleet key of fleets in one process.
const FLEET_KEY: &str = "fleet-key-for-one-process";

/// Bearer token of the operators' port.
const OPERATOR_TOKEN: &str = "operator-token-for-one-process";

/// Timeout for a manifest to be accepted.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a fleet could not start.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A stand-in could not start.
    #[error("cannot start a stand-in: {0}")]
    Standin(#[from] StandinError),
    /// A node could not start.
    #[error("cannot start a node: {0}")]
    Node(#[from] NodeError),
    /// A thread of the runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Thread(#[from] std::io::Error),
    /// The manifest could not be published.
    #[error("cannot publish the manifest: {0}")]
    Publish(#[from] PublishError),
    /// The nodes were not ready in time.
    #[error("nodes were not ready within {ms} ms")]
    NotReady {
        /// Timeout.
        ms: u64,
    },
}

/// Size and behaviour of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of service instances.
    pub services: usize,
    /// Number of availability zones; instances are assigned to them in turn.
    pub zones: usize,
    /// Behaviour of the engines; the name is overwritten for each.
    pub engine: EngineOptions,
    /// Behaviour of the services.
    pub service: ServiceOptions,
    /// Behaviour of the platform.
    pub platform: PlatformOptions,
    /// Routing policy of the nodes.
    pub routing: RoutingSettings,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let engine = EngineOptions {
            model: ModelName::from(MODEL),
            weights: WeightsVersion::from(WEIGHTS),
            ..EngineOptions::default()
        };
        Self {
            nodes: 3,
            engines: 3,
            services: 1,
            zones: 3,
            engine,
            service: ServiceOptions::default(),
            platform: PlatformOptions::default(),
            routing: RoutingSettings::default(),
        }
    }
}

/// A running fleet. Dropping it stops all its components.
pub struct Fleet {
    /// Nodes by name.
    pub nodes: BTreeMap<String, Node>,
    /// Engines by name.
    pub engines: BTreeMap<String, engine::Handle>,
    /// Services by name.
    pub services: BTreeMap<String, service::Handle>,
    /// The platform.
    pub platform: platform::Handle,
    options: FleetOptions,
    runtime: Runtime,
}

impl Fleet {
    /// Starts the platform, engines, services and nodes, and registers them in the
    /// instance list.
    ///
    /// # Errors
    ///
    /// Fails if a component cannot start.
    pub fn start(options: FleetOptions) -> Result<Self, FleetError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(3)
            .thread_name("standins")
            .enable_all()
            .build()?;
        let platform = runtime.block_on(platform::start(options.platform.clone(), loopback()))?;
        let mut fleet = Self {
            nodes: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            platform,
            options,
            runtime,
        };
        fleet.start_engines()?;
        fleet.start_services()?;
        for index in 0..fleet.options.nodes {
            fleet.start_node(&format!("entry-{}", index + 1), index)?;
        }
        Ok(fleet)
    }

    fn start_engines(&mut self) -> Result<(), FleetError> {
        let oracle = FleetOracle::shared();
        for index in 0..self.options.engines {
            let name = format!("engine-{}", index + 1);
            let options = EngineOptions {
                engine: EngineId::from(name.as_str()),
                fleet: Some(Arc::clone(&oracle)),
                ..self.options.engine.clone()
            };
            let handle = self.runtime.block_on(engine::start(options, loopback()))?;
            self.register_instance(&name, InstanceKind::Engine, handle.addr(), None, index);
            self.engines.insert(name, handle);
        }
        Ok(())
    }

    fn start_services(&mut self) -> Result<(), FleetError> {
        for index in 0..self.options.services {
            let name = format!("service-{}", index + 1);
            let options = self.options.service.clone();
            let handle = self.runtime.block_on(service::start(options, loopback()))?;
            self.register_instance(&name, InstanceKind::Service, handle.addr(), None, index);
            self.services.insert(name, handle);
        }
        Ok(())
    }

    /// Starts one node and registers it in the instance list.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot start.
    pub fn start_node(&mut self, name: &str, index: usize) -> Result<(), FleetError> {
        let node = Node::start(self.settings(name, index))?;
        self.add_node(name, index, node);
        Ok(())
    }

    fn add_node(&mut self, name: &str, index: usize, node: Node) {
        self.register_instance(
            name,
            InstanceKind::Entry,
            node.address(),
            Some(node.peer_address()),
            index,
        );
        self.nodes.insert(name.to_owned(), node);
    }

    /// Drains all nodes at the same time, then starts them again on their old addresses.
    ///
    /// # Errors
    ///
    /// Fails if a node cannot start again.
    pub fn restart_nodes(&mut self) -> Result<(), FleetError> {
        let mut settings = Vec::new();
        let mut shutdowns = Vec::new();
        for (index, (name, node)) in std::mem::take(&mut self.nodes).into_iter().enumerate() {
            let mut node_settings = self.settings(&name, index);
            node_settings.node.listen = node.address();
            node_settings.node.peer_listen = node.peer_address();
            settings.push((name, index, node_settings));
            shutdowns.push(std::thread::spawn(move || node.shutdown()));
        }
        for thread in shutdowns {
            // If the thread panicked, its node has stopped as well.
            let _ = thread.join();
        }
        for (name, index, settings) in settings {
            let node = Node::start(settings)?;
            self.add_node(&name, index, node);
        }
        Ok(())
    }

    fn settings(&self, name: &str, index: usize) -> Settings {
        let mut settings = Settings::default();
        settings.node.name = InstanceId::from(name);
        settings.node.zone = self.zone(index);
        settings.node.listen = loopback();
        settings.node.peer_listen = loopback();
        settings.platform.url = format!("http://{}", self.platform.addr());
        FLEET_KEY.clone_into(&mut settings.fleet.key);
        settings.operators.listen = Some(loopback());
        OPERATOR_TOKEN.clone_into(&mut settings.operators.token);
        settings.routing = self.options.routing.clone();
        settings
    }

    fn zone(&self, index: usize) -> Zone {
        Zone::from(format!("zone-{}", index % self.options.zones.max(1) + 1))
    }

    fn register_instance(
        &self,
        name: &str,
        kind: InstanceKind,
        address: SocketAddr,
        peer_address: Option<SocketAddr>,
        index: usize,
    ) {
        self.platform.put_instance(Instance {
            name: name.to_owned(),
            kind,
            address,
            peer_address,
            zone: self.zone(index),
            state: InstanceState::Live,
        });
    }

    /// Returns the addresses of the nodes' callers' ports.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(Node::address).collect()
    }

    /// Publishes a manifest and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// Fails if the manifest is not accepted or the nodes are not ready in time.
    pub fn publish(&self, manifest: &Manifest) -> Result<(), FleetError> {
        let client = LogClient::new(&format!("http://{}", self.platform.addr()));
        publish::publish(&client, manifest, "experiment", PUBLISH_TIMEOUT)?;
        self.wait_ready()
    }

    fn wait_ready(&self) -> Result<(), FleetError> {
        const READY_TIMEOUT_MS: u64 = 10_000;
        const POLL_INTERVAL_MS: u64 = 20;
        for _ in 0..READY_TIMEOUT_MS / POLL_INTERVAL_MS {
            if self
                .nodes
                .values()
                .all(|node| node.ready(self.options.engines))
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        Err(FleetError::NotReady {
            ms: READY_TIMEOUT_MS,
        })
    }

    /// Returns the counts of all endpoints so far.
    pub fn counts(&self) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for service in self.services.values() {
            for (body, runs) in service.bodies() {
                *counts.executions.entry(body).or_default() += runs;
            }
        }
        for engine in self.engines.values() {
            let report = engine.oracle();
            counts.recomputed_tokens += report.recomputed_tokens;
            counts.bad_hits += report.bad_hits;
        }
        counts
    }

    /// Returns the runtime of the stand-ins, which also sends the load.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
