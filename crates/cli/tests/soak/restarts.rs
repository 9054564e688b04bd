//! Nodes that are killed in series and started again with the settings that they had, while
//! endpoints refuse requests or are replaced.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use flamingolock_platform_standin::EngineMode;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::soak::cluster::{Backend, Cluster, ENDPOINTS, Scope};
use crate::soak::disruptions::restart_if_exited;

/// Rounds of a series.
const ROUNDS: RangeInclusive<usize> = 2..=6;

/// Time for which killed nodes are away, in ms, and the pause between two rounds.
const AWAY_MS: RangeInclusive<u64> = 30..=500;
const PAUSE_MS: RangeInclusive<u64> = 100..=1_800;

/// Share of requests that endpoints refuse, in percent.
const REFUSED_PERCENT: RangeInclusive<u32> = 50..=60;

/// Time for which they do so at least.
const MIN_REFUSING: Duration = Duration::from_secs(5);

/// Time for which the engines of a version are away until others take their place, in ms.
const REPLACEMENT_MS: RangeInclusive<u64> = 0..=200;

/// What happens beside each other.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    Kills,
    Refusals,
    RefusalsAndKills,
    Replacement,
    ReplacementAndKills,
}

impl Trouble {
    /// What seeds draw from; some are drawn more often.
    pub const ALL: [Self; 8] = [
        Self::Kills,
        Self::Refusals,
        Self::RefusalsAndKills,
        Self::RefusalsAndKills,
        Self::RefusalsAndKills,
        Self::Replacement,
        Self::ReplacementAndKills,
        Self::ReplacementAndKills,
    ];
}

/// Which nodes are killed in each round.
#[derive(Clone, Copy, Debug)]
enum Share {
    One,
    Half,
    All,
}

impl Share {
    fn choose(self, nodes: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let count = match self {
            Self::One => 1,
            Self::Half => nodes / 2,
            Self::All => nodes,
        };
        let all: Vec<usize> = (0..nodes).collect();
        all.choose_multiple(rng, count).copied().collect()
    }
}

/// Plays a trouble; `time` is added to that of refusals.
pub async fn run(cluster: Arc<Cluster>, trouble: Trouble, number: u64, time: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut others = ChaCha8Rng::seed_from_u64(rng.random());
    match trouble {
        Trouble::Kills => kill_in_series(&cluster, &mut rng).await,
        Trouble::Refusals => refuse(&cluster, time, &mut rng).await,
        Trouble::RefusalsAndKills => {
            let kills = kill_in_series(&cluster, &mut others);
            tokio::join!(refuse(&cluster, time, &mut rng), kills);
        }
        Trouble::Replacement => replace(&cluster, &mut rng).await,
        Trouble::ReplacementAndKills => {
            let kills = kill_in_series(&cluster, &mut others);
            tokio::join!(replace(&cluster, &mut rng), kills);
        }
    }
}

async fn kill_in_series(cluster: &Cluster, rng: &mut ChaCha8Rng) {
    let share = *[Share::One, Share::Half, Share::All, Share::All]
        .choose(rng)
        .expect("shares");
    for _ in 0..rng.random_range(ROUNDS) {
        let nodes = share.choose(cluster.nodes.len(), rng);
        cluster.record_event(format!("kill {nodes:?}"));
        let faults: Vec<usize> = nodes
            .iter()
            .map(|node| cluster.begin_fault(Scope::Node(*node)))
            .collect();
        for node in &nodes {
            cluster.nodes[*node].lock().expect("no panic before").kill();
        }
        sleep(Duration::from_millis(rng.random_range(AWAY_MS))).await;
        for node in &nodes {
            restart_if_exited(cluster, *node);
        }
        for fault in faults {
            cluster.end_fault(fault);
        }
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

/// All endpoints refuse a share of their requests.
async fn refuse(cluster: &Cluster, time: Duration, rng: &mut ChaCha8Rng) {
    let faults: Vec<usize> = (0..cluster.backends.len())
        .map(|index| cluster.begin_fault(Scope::Refusals(index)))
        .collect();
    for backend in &cluster.backends {
        let percent = rng.random_range(REFUSED_PERCENT);
        let mode = EngineMode::RefusingPercent(percent);
        backend.engine.set_mode(mode);
    }
    sleep(MIN_REFUSING + time).await;
    for backend in &cluster.backends {
        backend.engine.set_mode(EngineMode::Healthy);
    }
    for fault in faults {
        cluster.end_fault(fault);
    }
}

/// The engines of a version end, and others of another version take their place; one engine
/// if all have the same version. Does nothing while an endpoint drains or a culprit is under
/// test, which write entries as well.
async fn replace(cluster: &Cluster, rng: &mut ChaCha8Rng) {
    let Ok(_alone) = cluster.culprits.try_write() else {
        return;
    };
    let engines = &cluster.backends[..ENDPOINTS];
    let index = rng.random_range(0..ENDPOINTS);
    let build = engines[index].engine.build();
    let is_only = engines.iter().all(|other| other.engine.build() == build);
    let ended: Vec<usize> = (0..ENDPOINTS)
        .filter(|other| engines[*other].engine.build() == build)
        .filter(|other| !is_only || *other == index)
        .collect();
    cluster.record_event(format!("replace {ended:?} of {build}"));
    let faults: Vec<usize> = ended
        .iter()
        .flat_map(|index| [Scope::Endpoint(*index), Scope::Ended(*index)])
        .map(|scope| cluster.begin_fault(scope))
        .collect();
    let other = if build == "v1" { "v2" } else { "v1" };
    for index in &ended {
        let Backend { engine, proxy, .. } = &engines[*index];
        proxy.cut_existing();
        let (key, _) = engines[*index].entry("ready");
        cluster.store.put("keyed.servers", &key, "");
        engine.replace(other);
    }
    sleep(Duration::from_millis(rng.random_range(REPLACEMENT_MS))).await;
    for index in &ended {
        let (key, value) = engines[*index].entry("ready");
        cluster.store.put("keyed.servers", &key, &value);
    }
    for fault in faults {
        cluster.end_fault(fault);
    }
}
