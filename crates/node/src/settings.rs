//! Node settings. Defaults are overridden by the file, the environment and flags, in
//! this order.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use toml::{Table, Value};

/// Prefix of environment variables that set a key, as in
/// `FLAMINGOLOCK_NODE__NAME` for `node.name`.
pub const ENV_PREFIX: &str = "FLAMINGOLOCK_";

/// Shortest accepted fleet key, in bytes.
const MIN_FLEET_KEY_BYTES: usize = 16;

/// Reason why settings are rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read ({source}); give a readable file with --config", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{}: {source}\nremedy: correct the key, or remove it to use its default", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Position and kind of the error.
        source: Box<toml::de::Error>,
    },
    /// An environment variable or flag sets an unknown key or an invalid value.
    #[error("{origin}: key {key}: {source}\nremedy: correct the value, or leave it unset")]
    Override {
        /// `environment` or `--set`.
        origin: &'static str,
        /// Key in dotted form.
        key: String,
        /// Error of the value or key.
        source: Box<toml::de::Error>,
    },
    /// A `--set` argument is not of the form `key=value`.
    #[error("--set {text}: not of the form key=value; for example --set node.name=entry-1")]
    InvalidFlag {
        /// The argument.
        text: String,
    },
    /// Values that are each well-formed cannot be used together.
    #[error("{file}: key {key}: {problem}\nremedy: {remedy}")]
    Check {
        /// File that the settings were read from.
        file: String,
        /// Key in dotted form.
        key: &'static str,
        /// Description of the problem.
        problem: String,
        /// Suggested correction.
        remedy: &'static str,
    },
}

/// Configuration of a node, read once at startup.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name and addresses.
    pub node: NodeSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Settings that all nodes share.
    pub fleet: FleetSettings,
    /// Access for operators.
    pub operators: OperatorSettings,
    /// Resource limits for callers.
    pub limits: LimitSettings,
    /// Timeouts and intervals.
    pub timing: TimingSettings,
    /// Routing policy and mechanisms.
    pub routing: RoutingSettings,
}

/// Name and addresses of the node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Name in the platform's instance list.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: Zone,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Listening address for other nodes.
    pub peer_listen: SocketAddr,
    /// Number of traffic threads.
    pub threads: usize,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            name: InstanceId::default(),
            zone: Zone::default(),
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            peer_listen: SocketAddr::from(([127, 0, 0, 1], 8081)),
            threads: 2,
        }
    }
}

/// Access to the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of log service, instance list and stores.
    pub url: String,
    /// Interval between reads of the instance list, in milliseconds.
    pub list_ms: u64,
    /// This node's share of the log's append budget, in appends per second.
    pub append_rate: f64,
    /// Time that the log retains records, in milliseconds.
    pub retention_ms: u64,
    /// Number of records that the log retains per stream.
    pub retention_records: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:9000".to_owned(),
            list_ms: 500,
            append_rate: 20.0,
            retention_ms: 3_600_000,
            retention_records: 1_000_000,
        }
    }
}

/// Settings that all nodes share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// Shared secret for the handshake between nodes and for signing tokens.
    pub key: String,
    /// Peer addresses of a few nodes, contacted at startup in case the platform's
    /// instance list is unavailable.
    pub seeds: Vec<SocketAddr>,
}

/// Access for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Listening address; if absent, there is no server for operators.
    pub listen: Option<SocketAddr>,
    /// Bearer token of operators.
    pub token: String,
}

/// Resource limits for callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest number of caller connections.
    pub connections: usize,
    /// Largest number of requests in progress.
    pub inflight: usize,
    /// Memory for bodies of requests in progress, in bytes.
    pub memory_bytes: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 2 << 20,
            connections: 4096,
            inflight: 2048,
            memory_bytes: 64 << 20,
        }
    }
}

/// Timeouts and intervals, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Timeout for reading a request head.
    pub head_ms: u64,
    /// Timeout for reading a request body.
    pub body_ms: u64,
    /// Timeout for a write to a caller that does not read.
    pub caller_ms: u64,
    /// Timeout for connecting to an endpoint.
    pub connect_ms: u64,
    /// Longest silence within a stream before a new connection is tried.
    pub stall_ms: u64,
    /// Lifetime of an entries response.
    pub entries_ms: u64,
    /// Time limit for streams during a graceful shutdown.
    pub drain_ms: u64,
    /// Interval between polls of an engine's status.
    pub status_ms: u64,
    /// Timeout for probe responses.
    pub probe_ms: u64,
    /// Timeout for a home to acknowledge a permit request.
    pub home_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            head_ms: 10_000,
            body_ms: 20_000,
            caller_ms: 30_000,
            connect_ms: 1_000,
            stall_ms: 2_000,
            entries_ms: 3_000,
            drain_ms: 120_000,
            status_ms: 250,
            probe_ms: 5,
            home_ms: 20,
        }
    }
}

/// Routing policy and its disabled mechanisms.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Policy that chooses engines.
    pub policy: Policy,
    /// Disabled mechanisms, for comparisons.
    pub without: BTreeSet<Mechanism>,
}

impl RoutingSettings {
    /// Returns true if the policy uses `mechanism` and it is not disabled.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        self.policy == Policy::Flamingolock && !self.without.contains(&mechanism)
    }
}

/// A routing mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Probes homes for their exact state before choosing an engine.
    Probes,
    /// Lets homes queue requests and grant permits.
    Permits,
    /// Waits for a running prefill of the same prefix.
    SharedPrefill,
    /// Spreads hot prefixes over several engines.
    Replicas,
}

/// Policy that chooses engines. All but the first are baselines for comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Shortlists engines by prefix, then probes their homes.
    #[default]
    Flamingolock,
    /// Chooses engines in turn.
    RoundRobin,
    /// Chooses the engine with the fewest requests of this node.
    LeastLoaded,
    /// Chooses by rendezvous hashing of the first prefix level.
    PrefixHash,
}

/// Loads settings from an optional file, environment variables and `key=value` flags.
///
/// # Errors
///
/// Returns an error that names the file or other source, the key and a remedy.
pub fn load<I>(
    file: Option<&Path>,
    environment: I,
    flags: &[String],
) -> Result<Settings, SettingsError>
where
    I: IntoIterator<Item = (String, String)>,
{
    let mut table = match file {
        Some(path) => read_file(path)?,
        None => Table::new(),
    };
    for (name, text) in environment {
        if let Some(key) = environment_key(&name) {
            set_key(&mut table, "environment", &key, &text)?;
        }
    }
    for flag in flags {
        let Some((key, text)) = flag.split_once('=') else {
            return Err(SettingsError::InvalidFlag { text: flag.clone() });
        };
        set_key(&mut table, "--set", key.trim(), text.trim())?;
    }
    let settings: Settings = table
        .try_into()
        .map_err(|source| override_error("settings", "(merged)", source))?;
    let origin = file.map_or("settings".to_owned(), |path| path.display().to_string());
    settings.check(&origin)?;
    Ok(settings)
}

fn read_file(path: &Path) -> Result<Table, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    let file_error = |source| SettingsError::File {
        path: path.to_owned(),
        source: Box::new(source),
    };
    // Deserializing `Settings` from the text keeps line and column in the error.
    toml::from_str::<Settings>(&text).map_err(file_error)?;
    toml::from_str(&text).map_err(file_error)
}

fn environment_key(name: &str) -> Option<String> {
    let rest = name.strip_prefix(ENV_PREFIX)?;
    let (section, key) = rest.split_once("__")?;
    Some(format!("{}.{}", section.to_lowercase(), key.to_lowercase()))
}

/// Sets one dotted key and checks that the table still deserializes to settings.
fn set_key(
    table: &mut Table,
    origin: &'static str,
    key: &str,
    text: &str,
) -> Result<(), SettingsError> {
    let mut changed = table.clone();
    let (section, name) = key.split_once('.').unwrap_or((key, ""));
    let inner = changed
        .entry(section)
        .or_insert_with(|| Value::Table(Table::new()));
    if let Value::Table(inner) = inner {
        inner.insert(name.to_owned(), parse_value(text));
    }
    match changed.clone().try_into::<Settings>() {
        Ok(_) => {}
        Err(first) => {
            // Text that parses as another type may be meant as a string, as in a name "7".
            if let Some(Value::Table(inner)) = changed.get_mut(section) {
                inner.insert(name.to_owned(), Value::String(text.to_owned()));
            }
            if changed.clone().try_into::<Settings>().is_err() {
                return Err(override_error(origin, key, first));
            }
        }
    }
    *table = changed;
    Ok(())
}

fn parse_value(text: &str) -> Value {
    toml::from_str::<Table>(&format!("value = {text}"))
        .ok()
        .and_then(|mut table| table.remove("value"))
        .unwrap_or_else(|| Value::String(text.to_owned()))
}

fn override_error(origin: &'static str, key: &str, source: toml::de::Error) -> SettingsError {
    SettingsError::Override {
        origin,
        key: key.to_owned(),
        source: Box::new(source),
    }
}

impl Settings {
    /// Validates constraints that the types cannot express.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid key and a remedy.
    pub fn check(&self, file: &str) -> Result<(), SettingsError> {
        let reject = |key, problem: String, remedy| {
            Err(SettingsError::Check {
                file: file.to_owned(),
                key,
                problem,
                remedy,
            })
        };
        if self.node.name.as_str().is_empty() {
            return reject(
                "node.name",
                "is empty".to_owned(),
                "set the name that the platform's instance list shows",
            );
        }
        if self.node.zone.as_str().is_empty() {
            return reject(
                "node.zone",
                "is empty".to_owned(),
                "set the availability zone of this instance",
            );
        }
        if self.node.threads == 0 {
            return reject(
                "node.threads",
                "is 0".to_owned(),
                "set at least 1 traffic thread",
            );
        }
        if self.node.listen == self.node.peer_listen && self.node.listen.port() != 0 {
            return reject(
                "node.peer_listen",
                format!("equals node.listen ({})", self.node.listen),
                "give callers and nodes different ports",
            );
        }
        if !self.platform.url.starts_with("http://") {
            return reject(
                "platform.url",
                format!("`{}` is not an http:// address", self.platform.url),
                "use the form http://IP:PORT",
            );
        }
        if self.fleet.key.len() < MIN_FLEET_KEY_BYTES {
            return reject(
                "fleet.key",
                format!(
                    "has {} bytes, fewer than {MIN_FLEET_KEY_BYTES}",
                    self.fleet.key.len()
                ),
                "set the same long random key on every node, best by FLAMINGOLOCK_FLEET__KEY",
            );
        }
        if self.operators.listen.is_some() && self.operators.token.is_empty() {
            return reject(
                "operators.token",
                "is empty while operators.listen is set".to_owned(),
                "set a token, or remove operators.listen",
            );
        }
        let periods = [
            ("timing.entries_ms", self.timing.entries_ms),
            ("timing.stall_ms", self.timing.stall_ms),
            ("timing.connect_ms", self.timing.connect_ms),
            ("timing.status_ms", self.timing.status_ms),
            ("timing.head_ms", self.timing.head_ms),
            ("timing.body_ms", self.timing.body_ms),
            ("timing.caller_ms", self.timing.caller_ms),
            ("platform.list_ms", self.platform.list_ms),
        ];
        for (key, value) in periods {
            if value == 0 {
                return reject(key, "is 0".to_owned(), "set at least 1 millisecond");
            }
        }
        self.check_ports(file)?;
        self.check_limits(file)
    }

    fn check_ports(&self, file: &str) -> Result<(), SettingsError> {
        let operators = self.operators.listen.filter(|listen| listen.port() != 0);
        let others = [self.node.listen, self.node.peer_listen];
        if operators.is_some_and(|listen| others.contains(&listen)) {
            return Err(SettingsError::Check {
                file: file.to_owned(),
                key: "operators.listen",
                problem: "equals node.listen or node.peer_listen".to_owned(),
                remedy: "give callers, nodes and operators different ports",
            });
        }
        Ok(())
    }

    fn check_limits(&self, file: &str) -> Result<(), SettingsError> {
        let LimitSettings {
            body_bytes,
            memory_bytes,
            ..
        } = self.limits;
        let reject = |key, problem, remedy| {
            Err(SettingsError::Check {
                file: file.to_owned(),
                key,
                problem,
                remedy,
            })
        };
        if body_bytes < 1024 {
            return reject(
                "limits.body_bytes",
                format!("is {body_bytes}"),
                "allow at least 1024 bytes",
            );
        }
        if memory_bytes < body_bytes {
            return reject(
                "limits.memory_bytes",
                format!("is {memory_bytes}, less than limits.body_bytes"),
                "allow memory for at least one body",
            );
        }
        Ok(())
    }
}
