//! The platform: log service, instance list, weight store and KV store.
//!
//! Beside the platform's own paths it serves, below `/standin/`:
//!
//! - `PUT` and `DELETE instances/{name}`, `POST instances/{name}/live|leaving`,
//!   `POST list_lag?ms=`
//! - `POST outage?ms=&mode=refuse|hang&part=log|instances|weights|kv|all` and
//!   `POST slow?ms=&part=`; both concern the log when no part is named
//! - `POST lose?next=&probability=` for answers of appends that took effect
//! - `POST log/{stream}` with one record, past all limits and outages
//! - `GET report`, and `POST silence`, `cut` and `freeze?ms=` for connections

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::error::{StandinError, check_options, is_positive};
use crate::instances::InstanceList;
pub use crate::instances::{Instance, InstanceKind, InstanceState};
pub use crate::log_service::LogReport;
use crate::log_service::{LogLimits, LogService};
pub use crate::log_stream::{LogRecord, NewRecord};
use crate::outage::Outages;
pub use crate::outage::{OutageMode, Part};
use crate::platform_http::handle;
use crate::server::{Connections, Server, lock};
pub use crate::stores::WeightsReport;
use crate::stores::{KvStore, WeightStore};

/// How a platform behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformOptions {
    /// Appends that the log takes in a second.
    pub appends_per_s: f64,
    /// Records that the log takes in a second.
    pub records_per_s: f64,
    /// Time that a call to the log takes.
    pub log_ms: u64,
    /// Records that a stream keeps.
    pub max_records: usize,
    /// Time that a stream keeps a record.
    pub max_age_ms: u64,
    /// Probability that the answer to an append is lost.
    pub lose_probability: f64,
    /// Age of what the instance list shows.
    pub list_lag_ms: u64,
    /// Time that one load of weights takes when at most two run at once.
    pub load_ms: u64,
    /// Loads of weights at once; more are refused.
    pub max_loads: u32,
    /// Seed of all chance.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            appends_per_s: 500.0,
            records_per_s: 50_000.0,
            log_ms: 0,
            max_records: 1_000_000,
            max_age_ms: 3_600_000,
            lose_probability: 0.0,
            list_lag_ms: 0,
            load_ms: 300,
            max_loads: 8,
            seed: 0,
        }
    }
}

impl PlatformOptions {
    fn check(&self) -> Result<(), StandinError> {
        check_options(&[
            ("appends_per_s", is_positive(self.appends_per_s)),
            ("records_per_s", is_positive(self.records_per_s)),
            (
                "lose_probability",
                (0.0..=1.0).contains(&self.lose_probability),
            ),
        ])
    }
}

/// What truly happened at a platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformReport {
    /// What the log has seen.
    pub log: LogReport,
    /// What the weight store has seen.
    pub weights: WeightsReport,
}

/// A platform, shared by its connections.
pub(crate) struct Platform {
    pub(crate) log: LogService,
    pub(crate) instances: Mutex<InstanceList>,
    pub(crate) list_lag: Mutex<Duration>,
    pub(crate) weights: Arc<WeightStore>,
    pub(crate) kv: KvStore,
    pub(crate) outages: Mutex<Outages>,
    pub(crate) connections: Connections,
}

impl Platform {
    fn new(options: &PlatformOptions, connections: Connections) -> Self {
        let limits = LogLimits {
            appends_per_s: options.appends_per_s,
            records_per_s: options.records_per_s,
            max_records: options.max_records,
            max_age: Millis(options.max_age_ms),
        };
        let load = Duration::from_millis(options.load_ms);
        let mut outages = Outages::default();
        outages.set_delay(Part::Log, Duration::from_millis(options.log_ms));
        Self {
            log: LogService::new(limits, options.lose_probability, options.seed),
            instances: Mutex::new(InstanceList::new(Instant::now())),
            list_lag: Mutex::new(Duration::from_millis(options.list_lag_ms)),
            weights: Arc::new(WeightStore::new(load, options.max_loads)),
            kv: KvStore::default(),
            outages: Mutex::new(outages),
            connections,
        }
    }

    pub(crate) fn report(&self) -> PlatformReport {
        PlatformReport {
            log: self.log.report(),
            weights: self.weights.report(),
        }
    }
}

/// A running platform; dropping it stops the platform.
pub struct Handle {
    server: Server,
    platform: Arc<Platform>,
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds an instance to the list, or replaces the one of the same name.
    pub fn put_instance(&self, instance: Instance) {
        lock(&self.platform.instances).put(instance, Instant::now());
    }

    /// Takes an instance off the list.
    pub fn remove_instance(&self, name: &str) {
        lock(&self.platform.instances).remove(name, Instant::now());
    }

    /// Changes the state of an instance; false when there is none of this name.
    pub fn set_state(&self, name: &str, state: InstanceState) -> bool {
        lock(&self.platform.instances).set_state(name, state, Instant::now())
    }

    /// Changes the age of what the instance list shows.
    pub fn set_list_lag(&self, lag: Duration) {
        *lock(&self.platform.list_lag) = lag;
    }

    /// Takes a part out of service for `span`; zero ends an outage.
    pub fn begin_outage(&self, part: Part, mode: OutageMode, span: Duration) {
        lock(&self.platform.outages).begin(part, mode, Instant::now() + span);
    }

    /// Makes every call to a part take this much longer.
    pub fn set_delay(&self, part: Part, delay: Duration) {
        lock(&self.platform.outages).set_delay(part, delay);
    }

    /// Loses the answers of the next `count` appends, which still take effect.
    pub fn lose_next(&self, count: u64) {
        self.platform.log.lose_next(count);
    }

    /// Loses the answer of each append with this probability.
    pub fn set_lose_probability(&self, probability: f64) {
        self.platform.log.set_lose_probability(probability);
    }

    /// Writes a record past all limits and outages.
    pub fn inject(&self, stream: &str, record: NewRecord) -> Offset {
        self.platform.log.inject(stream, record)
    }

    /// What truly happened so far.
    pub fn report(&self) -> PlatformReport {
        self.platform.report()
    }

    /// Keeps present connections open with nothing passing for good.
    pub fn silence_connections(&self) {
        self.platform.connections.silence();
    }

    /// Closes all present connections.
    pub fn cut_connections(&self) {
        self.platform.connections.cut();
    }
}

/// Starts a platform on `listen`.
///
/// # Errors
///
/// Fails when `listen` cannot be bound or an option is out of its range.
pub async fn start(options: PlatformOptions, listen: SocketAddr) -> Result<Handle, StandinError> {
    options.check()?;
    let connections = Connections::new();
    let platform = Arc::new(Platform::new(&options, connections.clone()));
    let shared = platform.clone();
    let handler = move |request| handle(shared.clone(), request);
    let server = Server::start(listen, connections, handler).await?;
    Ok(Handle { server, platform })
}
