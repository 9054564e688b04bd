//! Random, overlapping faults, planned shutdowns and configuration changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingolock_platform_standin::{EngineMode, StoreMode};
use flamingolock_standins::proxy::{Faults, Handle, NewConnections};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::soak::brittle;
use crate::soak::checks;
use crate::soak::cluster::{
    Backend, Cluster, ENDPOINTS, FAULT_AFTERMATH, Scope, cuts_links, has_brittle_engines,
    restarts_nodes,
};
use crate::soak::crashes::{self, Culprit};
use crate::soak::cuts::{self, Cut};
use crate::soak::limits;
use crate::soak::restarts::{self, Trouble};

/// Delay longer than any run, so that no byte arrives in the delayed direction.
const BLACKHOLE_DELAY_MS: u64 = 3_600_000;

/// Time from SIGTERM to SIGKILL, as `GraceS` of the nodes' settings.
const TERMINATION_GRACE: Duration = Duration::from_secs(6);

/// Time after which what the store lost is written again.
const REWRITE_DELAY: Duration = Duration::from_millis(400);

/// First seed that draws from [`Disruption::LATER`].
const FIRST_LATER_SEED: u64 = 700;

/// First seed that draws from [`Disruption::LATEST`] too.
const FIRST_LATEST_SEED: u64 = 800;

/// How often seeds that draw from all disruptions have each of those around restarts.
const RESTARTS_WEIGHT: usize = 5;

/// Time for which a sound endpoint may be silent.
const ENDPOINT_PAUSE: Duration = Duration::from_secs(1);

/// Bandwidth of a narrow connection to the store, in bytes per second.
const NARROW_BYTES_PER_S: u64 = 20_000;

/// A fault, planned shutdown or change.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    Kill,
    Freeze,
    Terminate,
    Reload,
    StoreConnectionsRefused,
    StoreConnectionsSilent,
    StoreRefuses,
    StoreLosesAnswers,
    StoreSlow,
    StoreCompacts,
    EndpointMode(EngineMode),
    EndpointCrash,
    EndpointResets,
    EndpointSilent,
    EndpointRepliesBlackholed,
    EndpointSlow,
    EndpointDrains,
    OrdersDelayed,
    Configuration,
    Weights,
    EndpointEndlessHead,
    CrashingPart,
    StoreLinkNarrow,
    EndpointLimit,
    EngineLimits,
    CrashingRequest,
    NodeCutFromEndpoints,
    NodeCutAlone,
    EnginesBrittle,
    EndpointPauses,
    Restarts(Trouble),
}

impl Disruption {
    const ALL: [Self; 28] = [
        Self::Kill,
        Self::Freeze,
        Self::Terminate,
        Self::Reload,
        Self::StoreConnectionsRefused,
        Self::StoreConnectionsSilent,
        Self::StoreRefuses,
        Self::StoreLosesAnswers,
        Self::StoreSlow,
        Self::StoreCompacts,
        Self::EndpointMode(EngineMode::Refusing),
        Self::EndpointMode(EngineMode::Failing),
        Self::EndpointMode(EngineMode::WrongRequestId),
        Self::EndpointMode(EngineMode::BreakAfter(4)),
        Self::EndpointMode(EngineMode::Unframed),
        Self::EndpointMode(EngineMode::UnframedCutAfter(4)),
        Self::EndpointMode(EngineMode::UnframedEmpty),
        Self::EndpointMode(EngineMode::Silent),
        Self::EndpointMode(EngineMode::DroppingResponses),
        Self::EndpointCrash,
        Self::EndpointResets,
        Self::EndpointSilent,
        Self::EndpointRepliesBlackholed,
        Self::EndpointSlow,
        Self::EndpointDrains,
        Self::OrdersDelayed,
        Self::Configuration,
        Self::Weights,
    ];

    /// Drawn as well by seeds from [`FIRST_LATER_SEED`] on, so that earlier seeds stay what
    /// they were.
    const LATER: [Self; 5] = [
        Self::EndpointMode(EngineMode::EndlessBody),
        Self::EndpointEndlessHead,
        Self::CrashingPart,
        Self::CrashingPart,
        Self::StoreLinkNarrow,
    ];

    /// Drawn as well by seeds from [`FIRST_LATEST_SEED`] on.
    const LATEST: [Self; 5] = [
        Self::EndpointLimit,
        Self::EndpointLimit,
        Self::EngineLimits,
        Self::CrashingRequest,
        Self::CrashingRequest,
    ];

    /// Drawn as well by seeds that cut links.
    const CUTS: [Self; 6] = [
        Self::NodeCutFromEndpoints,
        Self::NodeCutFromEndpoints,
        Self::NodeCutFromEndpoints,
        Self::NodeCutAlone,
        Self::NodeCutAlone,
        Self::NodeCutAlone,
    ];

    /// Drawn as well by seeds with brittle engines.
    const BRITTLE: [Self; 5] = [
        Self::EnginesBrittle,
        Self::EnginesBrittle,
        Self::EnginesBrittle,
        Self::EndpointPauses,
        Self::EndpointPauses,
    ];

    /// True if the endpoint ends or connections to it end or fall silent.
    fn ends_endpoint(self) -> bool {
        matches!(
            self,
            Self::EndpointCrash
                | Self::EndpointResets
                | Self::EndpointSilent
                | Self::EndpointRepliesBlackholed
                | Self::EndpointEndlessHead
        )
    }

    fn choose(seed: u64, rng: &mut ChaCha8Rng) -> Self {
        let restarts = Trouble::ALL.map(Self::Restarts);
        if restarts_nodes(seed) && seed.is_multiple_of(2) {
            return *restarts.choose(rng).expect("disruptions");
        }
        let mut all = Self::ALL.to_vec();
        if restarts_nodes(seed) {
            all.extend(restarts.repeat(RESTARTS_WEIGHT));
        }
        if seed >= FIRST_LATER_SEED {
            all.extend(Self::LATER);
        }
        if seed >= FIRST_LATEST_SEED {
            all.extend(Self::LATEST);
        }
        if cuts_links(seed) {
            all.extend(Self::CUTS);
        }
        if has_brittle_engines(seed) {
            all.extend(Self::BRITTLE);
        }
        *all.choose(rng).expect("disruptions")
    }
}

/// Injects disruptions until `until`, with a pause after each series with probability
/// `pause_probability`. Returns the last published versions of the configuration and
/// of the weights.
pub async fn inject(
    cluster: &Arc<Cluster>,
    seed: u64,
    rng: &mut ChaCha8Rng,
    until: Instant,
    pause_probability: f64,
) -> (u64, u64) {
    let (mut configuration, mut weights) = (1, 1);
    let mut running = tokio::task::JoinSet::new();
    while Instant::now() < until {
        let series = if rng.random_bool(0.25) { 3 } else { 1 };
        let disruption = Disruption::choose(seed, rng);
        for _ in 0..series {
            let index = rng.random_range(0..6);
            let time = Duration::from_millis(rng.random_range(150..2_500));
            cluster.record_event(format!("{disruption:?} at {index} for {time:?}"));
            match disruption {
                Disruption::Configuration => {
                    configuration += 1;
                    publish(cluster, configuration, &mut running);
                }
                Disruption::Weights => {
                    weights += 1;
                    publish_weights(cluster, weights);
                }
                Disruption::CrashingPart => {
                    running.spawn(crashes::send(cluster.clone(), Culprit::Part));
                }
                Disruption::CrashingRequest => {
                    running.spawn(crashes::send(cluster.clone(), Culprit::Request));
                }
                Disruption::NodeCutFromEndpoints => {
                    let cut = *Cut::ALL.choose(rng).expect("cuts");
                    running.spawn(cut_off(cluster.clone(), index, cut, time));
                }
                Disruption::NodeCutAlone => {
                    let cut = *Cut::ALL.choose(rng).expect("cuts");
                    await_end(&mut running).await;
                    sleep(FAULT_AFTERMATH).await;
                    cut_off(cluster.clone(), index, cut, time).await;
                }
                Disruption::EnginesBrittle => {
                    running.spawn(brittle::state(cluster.clone(), time));
                }
                // A sound endpoint does so, which excuses nothing.
                Disruption::EndpointPauses => {
                    let engine = &cluster.backends[index].engine;
                    engine.fall_silent(ENDPOINT_PAUSE);
                }
                Disruption::EndpointLimit => {
                    running.spawn(limits::state(cluster.clone(), index..index + 1, time));
                }
                Disruption::EngineLimits => {
                    running.spawn(limits::state(cluster.clone(), 0..ENDPOINTS, time));
                }
                Disruption::Restarts(trouble) => {
                    let number = rng.random();
                    running.spawn(restarts::run(cluster.clone(), trouble, number, time));
                }
                _ => {
                    running.spawn(record_and_run(cluster.clone(), disruption, index, time));
                }
            }
            sleep(Duration::from_millis(rng.random_range(50..500))).await;
        }
        if rng.random_bool(pause_probability) {
            sleep(Duration::from_millis(rng.random_range(500..4_500))).await;
        }
    }
    await_end(&mut running).await;
    (configuration, weights)
}

async fn await_end(running: &mut tokio::task::JoinSet<()>) {
    while let Some(ended) = running.join_next().await {
        ended.expect("a disruption ends without a panic");
    }
}

async fn cut_off(cluster: Arc<Cluster>, index: usize, cut: Cut, time: Duration) {
    let node = index % cluster.nodes.len();
    cluster.record_event(format!("{cut:?} of node {node}"));
    cuts::cut_off(cluster, node, cut, time).await;
}

fn publish(cluster: &Arc<Cluster>, version: u64, running: &mut tokio::task::JoinSet<()>) {
    let text = crate::soak::cluster::configuration(version);
    cluster.store.put("keyed.op", "op/config", &text);
    running.spawn(checks::check_configuration_applied(
        cluster.clone(),
        version,
        Instant::now(),
    ));
}

fn publish_weights(cluster: &Cluster, version: u64) {
    let text = format!("{{\"Model\":\"planner\",\"Version\":{version}}}");
    cluster.store.put("keyed.op", "op/version/planner", &text);
}

async fn record_and_run(
    cluster: Arc<Cluster>,
    disruption: Disruption,
    index: usize,
    time: Duration,
) {
    let end = disruption
        .ends_endpoint()
        .then(|| cluster.begin_fault(Scope::Ended(index)));
    run_disruption(cluster.clone(), disruption, index, time).await;
    if let Some(end) = end {
        cluster.end_fault(end);
    }
}

async fn run_disruption(
    cluster: Arc<Cluster>,
    disruption: Disruption,
    index: usize,
    time: Duration,
) {
    let (node, backend) = (index % cluster.nodes.len(), &cluster.backends[index]);
    let scope = match disruption {
        Disruption::Kill
        | Disruption::Freeze
        | Disruption::StoreConnectionsRefused
        | Disruption::StoreConnectionsSilent
        | Disruption::StoreLinkNarrow => Scope::Node(node),
        Disruption::Terminate => Scope::Planned(node),
        Disruption::Reload => {
            signal(&cluster, node, "HUP");
            return;
        }
        Disruption::StoreRefuses
        | Disruption::StoreLosesAnswers
        | Disruption::StoreSlow
        | Disruption::StoreCompacts => Scope::Store,
        Disruption::EndpointMode(EngineMode::Refusing) => Scope::Refusals(index),
        _ => Scope::Endpoint(index),
    };
    let fault = cluster.begin_fault(scope);
    match disruption {
        Disruption::Kill => kill(&cluster, node, time).await,
        Disruption::Freeze => freeze(&cluster, node, time).await,
        Disruption::Terminate => terminate(&cluster, node).await,
        Disruption::StoreConnectionsRefused => {
            let proxy = &cluster.store_proxies[node];
            proxy.cut_existing();
            refuse_connections(proxy, time).await;
        }
        Disruption::StoreConnectionsSilent => cluster.store_proxies[node].silence_existing(),
        Disruption::StoreRefuses => set_store_mode_for(&cluster, StoreMode::Refusing, time).await,
        Disruption::StoreLosesAnswers => {
            set_store_mode_for(&cluster, StoreMode::DroppingResponses, time).await;
        }
        Disruption::StoreSlow => {
            for proxy in &cluster.store_proxies {
                proxy.change_faults(|faults| faults.down.delay_ms = 200);
            }
            sleep(time).await;
            for proxy in &cluster.store_proxies {
                proxy.change_faults(|faults| faults.down.delay_ms = 0);
            }
        }
        // Half of them, and no disruption of its own: earlier seeds stay what they were.
        Disruption::StoreCompacts if index >= ENDPOINTS => restore_store(&cluster, time).await,
        Disruption::StoreCompacts => {
            cluster.store.compact("keyed.op");
            cluster.store.compact("keyed.servers");
        }
        Disruption::EndpointMode(mode) => {
            backend.engine.set_mode(mode);
            sleep(time).await;
            backend.engine.set_mode(EngineMode::Healthy);
        }
        Disruption::EndpointCrash => crash_endpoint(&cluster, backend, time).await,
        Disruption::EndpointResets => backend.proxy.reset_existing(),
        Disruption::EndpointSilent => backend.proxy.silence_existing(),
        Disruption::EndpointRepliesBlackholed => {
            backend
                .proxy
                .change_faults(|faults| faults.down.delay_ms = BLACKHOLE_DELAY_MS);
            sleep(time).await;
            backend.proxy.set_faults(Faults::default());
        }
        Disruption::EndpointSlow => {
            backend
                .proxy
                .change_faults(|faults| faults.up.delay_ms = 150);
            sleep(time).await;
            backend.proxy.change_faults(|faults| faults.up.delay_ms = 0);
        }
        Disruption::EndpointDrains => drain_endpoint(&cluster, index, time).await,
        Disruption::OrdersDelayed => {
            let delay = Duration::from_millis(900);
            backend.engine.set_order_delay(Some(delay));
            sleep(time).await;
            backend.engine.set_order_delay(None);
        }
        Disruption::EndpointEndlessHead => send_endless_heads(&backend.proxy, time).await,
        Disruption::StoreLinkNarrow => narrow_link(&cluster.store_proxies[node], time).await,
        Disruption::Reload
        | Disruption::Configuration
        | Disruption::Weights
        | Disruption::CrashingPart
        | Disruption::CrashingRequest
        | Disruption::EndpointLimit
        | Disruption::EngineLimits
        | Disruption::NodeCutFromEndpoints
        | Disruption::NodeCutAlone
        | Disruption::EnginesBrittle
        | Disruption::EndpointPauses
        | Disruption::Restarts(_) => {}
    }
    cluster.end_fault(fault);
}

async fn set_store_mode_for(cluster: &Cluster, mode: StoreMode, time: Duration) {
    cluster.store.set_mode(mode);
    sleep(time).await;
    cluster.store.set_mode(StoreMode::Up);
}

async fn refuse_connections(proxy: &Handle, time: Duration) {
    proxy.change_faults(|faults| faults.new_connections = NewConnections::Close);
    sleep(time).await;
    proxy.change_faults(|faults| faults.new_connections = NewConnections::Forward);
}

async fn send_endless_heads(proxy: &Handle, time: Duration) {
    proxy.cut_existing();
    proxy.change_faults(|faults| faults.new_connections = NewConnections::EndlessHead);
    sleep(time).await;
    proxy.change_faults(|faults| faults.new_connections = NewConnections::Forward);
}

async fn narrow_link(proxy: &Handle, time: Duration) {
    proxy.change_faults(|faults| faults.down.bytes_per_s = Some(NARROW_BYTES_PER_S));
    sleep(time).await;
    proxy.change_faults(|faults| faults.down.bytes_per_s = None);
}

async fn kill(cluster: &Cluster, node: usize, time: Duration) {
    cluster.nodes[node].lock().expect("no panic before").kill();
    sleep(time / 4).await;
    restart_if_exited(cluster, node);
}

async fn freeze(cluster: &Cluster, node: usize, time: Duration) {
    signal(cluster, node, "STOP");
    sleep(time).await;
    signal(cluster, node, "CONT");
}

async fn terminate(cluster: &Cluster, node: usize) {
    let process = || cluster.nodes[node].lock().expect("no panic before");
    let process_id = process().id();
    signal(cluster, node, "TERM");
    let signalled_at = Instant::now();
    // Another disruption may kill and restart the process meanwhile.
    while process().id() == process_id && !process().has_exited() {
        if signalled_at.elapsed() > TERMINATION_GRACE {
            process().kill();
        }
        sleep(Duration::from_millis(20)).await;
    }
    restart_if_exited(cluster, node);
}

/// Sends a signal to a node, unless its process has exited.
fn signal(cluster: &Cluster, node: usize, name: &str) {
    let mut process = cluster.nodes[node].lock().expect("no panic before");
    if !process.has_exited() {
        process.signal(name);
    }
}

/// Restarts a node whose process has exited.
pub fn restart_if_exited(cluster: &Cluster, node: usize) {
    let mut process = cluster.nodes[node].lock().expect("no panic before");
    if process.has_exited() {
        process.restart();
    }
}

/// Takes the store back to its content before `time`. The operator and the endpoints
/// write what they had written since again.
async fn restore_store(cluster: &Cluster, time: Duration) {
    let copy = cluster.store.copy();
    sleep(time).await;
    let lost = cluster.store.restore(copy);
    sleep(REWRITE_DELAY).await;
    cluster.store.write_again(&lost);
}

/// Crashes an endpoint: its connections are closed and new ones refused for `time`.
/// Then it is back with a new incarnation, which is written to its entry.
async fn crash_endpoint(cluster: &Cluster, backend: &Backend, time: Duration) {
    backend.proxy.cut_existing();
    refuse_connections(&backend.proxy, time).await;
    backend.engine.restart();
    let (key, value) = backend.entry("ready");
    cluster.store.put("keyed.servers", &key, &value);
}

/// Drains an endpoint and replaces it by one of the other software version.
async fn drain_endpoint(cluster: &Arc<Cluster>, index: usize, time: Duration) {
    // The first engine and the first application server never drain, so that requests
    // of every kind can be served.
    if index.is_multiple_of(ENDPOINTS) {
        return;
    }
    // Engines that crash write their entries again.
    let Ok(_no_crashes) = cluster.culprits.try_read() else {
        return;
    };
    let backend = &cluster.backends[index];
    let id = backend.engine.id();
    let (key, value) = backend.entry("draining");
    cluster.store.put("keyed.servers", &key, &value);
    backend.engine.set_leaving(true);
    let drain_started = Instant::now();
    sleep(Duration::from_secs(2) + time).await;
    checks::check_endpoint_drained(cluster, index, &id, drain_started);
    cluster.store.put("keyed.servers", &key, "");
    let other = if backend.engine.build() == "v1" {
        "v2"
    } else {
        "v1"
    };
    let end = cluster.begin_fault(Scope::Ended(index));
    backend.engine.replace(other);
    cluster.end_fault(end);
    let (key, value) = backend.entry("ready");
    cluster.store.put("keyed.servers", &key, &value);
}
