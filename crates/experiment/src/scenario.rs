//! Benchmark scenarios: the size of the fleet, its load and a disturbance.

use std::collections::BTreeSet;

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fleet::FleetOptions;
use crate::workload::{Arrival, KindLoad, Profile, WorkspaceLoad, call_kind, completion_kind};

/// Shares of the eight workspaces in the load: a few large and several small ones.
const SHARES: [f64; 8] = [0.30, 0.22, 0.14, 0.10, 0.08, 0.07, 0.05, 0.04];

/// Fraction of the requests that the flooding workspace sends.
const FLOOD_SHARE: f64 = 0.60;

/// Fraction of the flooding workspace's requests that share its hottest prefix.
const FLOOD_HOT: f64 = 0.95;

/// A load on a fleet, and a disturbance during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// A steady mixed load without disturbance.
    Steady,
    /// One workspace floods the fleet with requests that share a hot prefix (a noisy
    /// neighbour).
    HotNeighbour,
    /// The flood shifts to another workspace during the run.
    HotShift,
    /// An engine crashes and restarts with an empty cache.
    EngineCrash,
    /// All nodes restart at the same time.
    Herd,
    /// The log service refuses all calls for some time.
    LogOutage,
    /// Qasr's fleet and request kinds.
    Qasr,
    /// Kalup's fleet and request kinds.
    Kalup,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 8] = [
        Scenario::Steady,
        Scenario::HotNeighbour,
        Scenario::HotShift,
        Scenario::EngineCrash,
        Scenario::Herd,
        Scenario::LogOutage,
        Scenario::Qasr,
        Scenario::Kalup,
    ];

    /// Returns the name used on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady",
            Scenario::HotNeighbour => "hot-neighbour",
            Scenario::HotShift => "hot-shift",
            Scenario::EngineCrash => "engine-crash",
            Scenario::Herd => "herd",
            Scenario::LogOutage => "log-outage",
            Scenario::Qasr => "qasr",
            Scenario::Kalup => "kalup",
        }
    }

    /// Returns the scenario with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name)
    }

    /// Returns the default fleet load, as a fraction of its capacity.
    pub fn default_load(self) -> f64 {
        match self {
            Scenario::HotNeighbour | Scenario::HotShift => 0.66,
            _ => 0.60,
        }
    }

    /// Returns true if a disturbance occurs during the run.
    pub fn is_disturbed(self) -> bool {
        matches!(
            self,
            Scenario::HotShift | Scenario::EngineCrash | Scenario::Herd | Scenario::LogOutage
        )
    }

    /// Returns true if the small workspaces are measured a second time without the
    /// others, as a baseline.
    pub fn measures_small_alone(self) -> bool {
        self == Scenario::HotNeighbour
    }

    /// Returns the size and behaviour of the fleet.
    pub fn fleet(self) -> FleetOptions {
        let mut options = FleetOptions::default();
        (options.engines, options.nodes, options.services) = match self {
            Scenario::Qasr => (12, 9, 3),
            Scenario::Kalup => (9, 9, 3),
            _ => (6, 4, 1),
        };
        options.engine.slots = 12;
        options.engine.decode_ms = 8.0;
        // Prefill at full rate replaces a cache of this size within three seconds, so
        // unused blocks are evicted within seconds under load.
        options.engine.capacity_blocks = if self == Scenario::Kalup {
            3_072
        } else {
            2_048
        };
        options
    }

    /// Returns the load at one request per second over all workspaces.
    pub fn profile(self) -> Profile {
        match self {
            Scenario::HotNeighbour | Scenario::HotShift => flood_profile(0),
            Scenario::Kalup => Profile {
                workspaces: mixed_workspaces(4, 6),
                kinds: kalup_kinds(),
                recompute_price: 2.0,
            },
            _ => Profile {
                workspaces: mixed_workspaces(4, 6),
                kinds: qasr_kinds(),
                recompute_price: 0.5,
            },
        }
    }

    /// Returns the requests of `seconds` seconds at `rate` per second. If the disturbance
    /// is a change of the load, requests after `disturbed_at` come from the changed load.
    pub fn arrivals(self, rate: f64, seconds: f64, disturbed_at: f64, seed: u64) -> Vec<Arrival> {
        let before = scaled(self.profile(), rate).arrivals(seconds, seed);
        if self != Scenario::HotShift {
            return before;
        }
        let disturbed_at = Millis((disturbed_at * 1000.0) as u64);
        let after = scaled(flood_profile(1), rate).arrivals(seconds, seed);
        let mut arrivals: Vec<Arrival> = before
            .into_iter()
            .filter(|arrival| arrival.at < disturbed_at)
            .chain(
                after
                    .into_iter()
                    .filter(|arrival| arrival.at >= disturbed_at),
            )
            .collect();
        for (number, arrival) in arrivals.iter_mut().enumerate() {
            arrival.number = number as u64;
        }
        arrivals
    }

    /// Returns the workspaces that send fewer requests than the average workspace.
    pub fn small_workspaces(self) -> BTreeSet<WorkspaceId> {
        let workspaces = self.profile().workspaces;
        let mean = 1.0 / workspaces.len() as f64;
        workspaces
            .into_iter()
            .filter(|load| load.rate < mean)
            .map(|load| load.id)
            .collect()
    }
}

fn scaled(mut profile: Profile, rate: f64) -> Profile {
    for load in &mut profile.workspaces {
        load.rate *= rate;
    }
    profile
}

fn workspace(
    index: usize,
    rate: f64,
    documents: usize,
    sheets: usize,
    hot_share: f64,
) -> WorkspaceLoad {
    WorkspaceLoad {
        id: WorkspaceId::from(format!("workspace-{}", index + 1)),
        weight: 1.0,
        rate,
        documents,
        sheets,
        hot_share,
    }
}

fn mixed_workspaces(documents: usize, sheets: usize) -> Vec<WorkspaceLoad> {
    let shares = SHARES.iter().enumerate();
    // Only the large workspaces have very hot prefixes.
    let hot_share = |index| if index < 3 { 0.4 } else { 0.1 };
    shares
        .map(|(index, share)| workspace(index, *share, documents, sheets, hot_share(index)))
        .collect()
}

/// Returns the load in which the workspace with index `neighbour` floods the fleet.
fn flood_profile(neighbour: usize) -> Profile {
    let rest = (1.0 - FLOOD_SHARE) / (SHARES.len() - 1) as f64;
    let load = |index| {
        if index == neighbour {
            workspace(index, FLOOD_SHARE, 3, 4, FLOOD_HOT)
        } else {
            workspace(index, rest, 3, 4, 0.2)
        }
    };
    Profile {
        workspaces: (0..SHARES.len()).map(load).collect(),
        kinds: vec![
            completion_kind("survey-review", 5, 0.85, [256, 768, 512, 96], 24, 20_000),
            completion_kind("part-tag", 8, 0.15, [128, 128, 0, 32], 4, 10_000),
        ],
        recompute_price: 0.5,
    }
}

fn qasr_kinds() -> Vec<KindLoad> {
    vec![
        completion_kind("survey-review", 5, 0.55, [256, 1024, 768, 96], 24, 20_000),
        completion_kind("part-tag", 8, 0.25, [256, 256, 0, 32], 4, 10_000),
        call_kind("order-booking", false, 0.10),
        call_kind("job-lookup", true, 0.10),
    ]
}

fn kalup_kinds() -> Vec<KindLoad> {
    vec![
        completion_kind("press-schedule", 5, 0.50, [512, 2048, 1536, 96], 32, 30_000),
        completion_kind("moisture-check", 8, 0.25, [256, 256, 0, 32], 1, 10_000),
        call_kind("pallet-release", false, 0.15),
        call_kind("order-status", true, 0.10),
    ]
}
