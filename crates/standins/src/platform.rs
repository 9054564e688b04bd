//! Stand-in of the platform: log service, instance list, weight store and KV store.
//!
//! Besides the platform's API it serves these controls under `/standin/`:
//!
//! - `PUT` and `DELETE instances/{name}`, `POST instances/{name}/live|leaving`,
//!   `POST list_lag?ms=`
//! - `POST outage?ms=&mode=refuse|hang&part=log|instances|weights|kv|all` and
//!   `POST slow?ms=&part=`; both default to the log
//! - `POST lose?next=&probability=` to drop responses of appends that were applied
//! - `POST log/{stream}` to append one record, bypassing limits and outages
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

/// Configuration of a stand-in platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformOptions {
    /// Rate limit of appends.
    pub appends_per_s: f64,
    /// Rate limit of appended records.
    pub records_per_s: f64,
    /// Delay of every call to the log.
    pub log_ms: u64,
    /// Maximum number of records that a stream retains.
    pub max_records: usize,
    /// Maximum age of the records that a stream retains.
    pub max_age_ms: u64,
    /// Probability that the response to an append is dropped.
    pub lose_probability: f64,
    /// Age of the instance list that readers see.
    pub list_lag_ms: u64,
    /// Duration of a weights load while at most two run concurrently.
    pub load_ms: u64,
    /// Maximum number of concurrent weights loads; more are rejected.
    pub max_loads: u32,
    /// Seed of the random number generator.
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

/// Ground truth of what a platform has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformReport {
    /// Counters of the log service.
    pub log: LogReport,
    /// Counters of the weight store.
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

/// Handle of a running platform; dropping it stops the platform.
pub struct Handle {
    server: Server,
    platform: Arc<Platform>,
}

impl Handle {
    /// The listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds an instance to the list, or replaces the one with the same name.
    pub fn put_instance(&self, instance: Instance) {
        lock(&self.platform.instances).put(instance, Instant::now());
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        lock(&self.platform.instances).remove(name, Instant::now());
    }

    /// Changes the state of an instance; false if there is none with this name.
    pub fn set_state(&self, name: &str, state: InstanceState) -> bool {
        lock(&self.platform.instances).set_state(name, state, Instant::now())
    }

    /// Changes the age of the instance list that readers see.
    pub fn set_list_lag(&self, lag: Duration) {
        *lock(&self.platform.list_lag) = lag;
    }

    /// Starts an outage of a part for `span`; zero ends an outage.
    pub fn begin_outage(&self, part: Part, mode: OutageMode, span: Duration) {
        lock(&self.platform.outages).begin(part, mode, Instant::now() + span);
    }

    /// Sets the delay of every call to a part.
    pub fn set_delay(&self, part: Part, delay: Duration) {
        lock(&self.platform.outages).set_delay(part, delay);
    }

    /// Drops the responses of the next `count` appends, which are still applied.
    pub fn lose_next(&self, count: u64) {
        self.platform.log.lose_next(count);
    }

    /// Drops the response of each append with this probability.
    pub fn set_lose_probability(&self, probability: f64) {
        self.platform.log.set_lose_probability(probability);
    }

    /// Appends a record, bypassing limits and outages.
    pub fn inject(&self, stream: &str, record: NewRecord) -> Offset {
        self.platform.log.inject(stream, record)
    }

    /// Ground truth of what the platform has done so far.
    pub fn report(&self) -> PlatformReport {
        self.platform.report()
    }

    /// Keeps existing connections open but permanently stops their traffic.
    pub fn silence_connections(&self) {
        self.platform.connections.silence();
    }

    /// Closes all existing connections.
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
