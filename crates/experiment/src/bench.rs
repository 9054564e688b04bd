//! Comparison of routing policies under the same load, each on a new fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use flamingolock_core::prelude::*;
use flamingolock_node::settings::{Mechanism, Policy, RoutingSettings};
use flamingolock_standins::platform::{OutageMode, Part};
use serde::Serialize;

use crate::caller::Caller;
use crate::fleet::{Fleet, FleetError};
use crate::load;
use crate::outcome::{End, Outcome};
use crate::replay::{Demand, best_hit_rate};
use crate::report::{EndpointCounts, Percentiles, Summary};
use crate::scenario::Scenario;
use crate::workload::Arrival;

/// Time of the disturbance, as a fraction of the measured time.
const DISTURBANCE_FRACTION: f64 = 0.4;

/// Duration of a log outage, as a fraction of the measured time.
const OUTAGE_FRACTION: f64 = 0.25;

/// Rate per second and duration in seconds of the sample load from which the demand per
/// request is estimated.
const SAMPLE_RATE: f64 = 200.0;
const SAMPLE_SECONDS: f64 = 20.0;

/// Window whose 99th percentile decides whether the fleet has recovered.
const RECOVERY_WINDOW: Millis = Millis(1_000);

/// Distance between the starts of two windows.
const RECOVERY_STEP: Millis = Millis(250);

/// Maximum ratio to the 99th percentile before the disturbance at which the fleet counts
/// as recovered.
const RECOVERY_RATIO: f64 = 1.10;

/// A routing policy, optionally with one mechanism disabled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variant {
    /// Policy of the nodes.
    pub policy: Policy,
    /// Mechanism that is disabled.
    pub without: Option<Mechanism>,
}

impl Variant {
    /// Returns a policy with all its mechanisms.
    pub fn full(policy: Policy) -> Self {
        Self {
            policy,
            without: None,
        }
    }

    /// Returns the Flamingolock policy with one mechanism disabled.
    pub fn without_mechanism(mechanism: Mechanism) -> Self {
        Self {
            policy: Policy::Flamingolock,
            without: Some(mechanism),
        }
    }

    /// Returns the name used in reports.
    pub fn name(&self) -> String {
        let policy = policy_name(self.policy);
        match self.without {
            None => policy.to_owned(),
            Some(mechanism) => format!("{policy}-without-{}", mechanism_name(mechanism)),
        }
    }

    fn routing(&self) -> RoutingSettings {
        RoutingSettings {
            policy: self.policy,
            without: self.without.into_iter().collect(),
        }
    }
}

/// All policies, baselines first.
pub const POLICIES: [Policy; 4] = [
    Policy::RoundRobin,
    Policy::LeastLoaded,
    Policy::PrefixHash,
    Policy::Flamingolock,
];

/// All mechanisms that can be disabled.
pub const MECHANISMS: [Mechanism; 4] = [
    Mechanism::Probes,
    Mechanism::Permits,
    Mechanism::SharedPrefill,
    Mechanism::Replicas,
];

/// Returns the name of a policy in the settings.
pub fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::RoundRobin => "round-robin",
        Policy::LeastLoaded => "least-loaded",
        Policy::PrefixHash => "prefix-hash",
        Policy::Flamingolock => "flamingolock",
    }
}

/// Returns the name of a mechanism in the settings.
pub fn mechanism_name(mechanism: Mechanism) -> &'static str {
    match mechanism {
        Mechanism::Probes => "probes",
        Mechanism::Permits => "permits",
        Mechanism::SharedPrefill => "shared-prefill",
        Mechanism::Replicas => "replicas",
    }
}

/// Options of a benchmark.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// Scenario, which sets the fleet, the load and the disturbance.
    pub scenario: Scenario,
    /// Measured time per policy in seconds.
    pub seconds: f64,
    /// Time under load before the measurement, in seconds.
    pub warm_up: f64,
    /// Seed of the load.
    pub seed: u64,
    /// Fleet load, as a fraction of its capacity.
    pub load: f64,
    /// Policies to compare.
    pub variants: Vec<Variant>,
}

/// Results of one policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PolicyFigures {
    /// Requests sent in the measured time.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Time to the first token of completions.
    pub ttft_ms: Percentiles,
    /// Time to the first token for the small workspaces.
    pub small_ttft_ms: Percentiles,
    /// Time to the first token for the small workspaces when the large ones send nothing;
    /// absent if the scenario does not measure this.
    pub alone_ttft_ms: Option<Percentiles>,
    /// Fraction of prompt tokens that were cached.
    pub prefix_hit_rate: f64,
    /// The same fraction for a single LRU cache with the capacity of all engines.
    pub best_hit_rate: f64,
    /// Prompt tokens that were computed although some engine had computed them before.
    pub recomputed_tokens: u64,
    /// Time from the disturbance until the tail latency has recovered; absent if there was
    /// no disturbance or no recovery.
    pub recovery_ms: Option<u64>,
    /// Requests refused explicitly, including calls reported as not run.
    pub refused: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Streams that ended with an explicit error.
    pub failed: u64,
    /// Requests without an outcome.
    pub lost: u64,
    /// Calls that were executed more than once although they must not be.
    pub doubled: u64,
    /// Answers that don't match their request, and calls that were answered but never
    /// executed.
    pub mixed: u64,
    /// Answers that are incomplete and ended without an error.
    pub incomplete: u64,
    /// Calls that were reported as not run but were executed.
    pub false_not_run: u64,
    /// Incorrect cache hits: on blocks of another workspace, of older weights or of an
    /// earlier incarnation of the engine.
    pub bad_hits: u64,
}

impl PolicyFigures {
    /// Returns true if no guarantee was violated.
    pub fn guarantees_held(&self) -> bool {
        let broken = self.lost
            + self.doubled
            + self.mixed
            + self.incomplete
            + self.false_not_run
            + self.bad_hits;
        broken == 0
    }
}

/// Results of all policies under one load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchReport {
    /// Scenario.
    pub scenario: Scenario,
    /// Seed of the load.
    pub seed: u64,
    /// Fleet load, as a fraction of its capacity.
    pub load: f64,
    /// Requests per second over all workspaces.
    pub rate: f64,
    /// Measured time per policy in seconds.
    pub seconds: f64,
    /// Time under load before the measurement, in seconds.
    pub warm_up: f64,
    /// Results by policy.
    pub policies: BTreeMap<String, PolicyFigures>,
}

impl BenchReport {
    /// Returns true if no guarantee was violated under any policy.
    pub fn guarantees_held(&self) -> bool {
        self.policies.values().all(PolicyFigures::guarantees_held)
    }
}

/// Load that is prepared once for all policies.
struct Plan {
    scenario: Scenario,
    rate: f64,
    arrivals: Vec<Arrival>,
    /// Start of the measurement.
    measured_from: Millis,
    /// Time of the disturbance.
    disturbed_at: Millis,
    seconds: f64,
    best_hit_rate: f64,
    small_workspaces: BTreeSet<WorkspaceId>,
}

/// Runs the load on each policy in turn. `progress` counts finished requests.
///
/// # Errors
///
/// Fails if a fleet cannot start.
pub fn run(options: &BenchOptions, progress: &Arc<AtomicU64>) -> Result<BenchReport, FleetError> {
    let plan = Plan::new(options);
    let mut policies = BTreeMap::new();
    for variant in &options.variants {
        let figures = plan.measure(variant, progress)?;
        policies.insert(variant.name(), figures);
    }
    Ok(BenchReport {
        scenario: options.scenario,
        seed: options.seed,
        load: options.load,
        rate: plan.rate,
        seconds: options.seconds,
        warm_up: options.warm_up,
        policies,
    })
}

impl Plan {
    fn new(options: &BenchOptions) -> Self {
        let scenario = options.scenario;
        let (fleet, profile) = (scenario.fleet(), scenario.profile());
        let sample = scenario.arrivals(SAMPLE_RATE, SAMPLE_SECONDS, SAMPLE_SECONDS, options.seed);
        let rate = Demand::estimate(&sample, &profile.kinds, &fleet).rate(options.load, &fleet);
        let disturbed_at = options.warm_up + options.seconds * DISTURBANCE_FRACTION;
        let total = options.warm_up + options.seconds;
        let arrivals = scenario.arrivals(rate, total, disturbed_at, options.seed);
        let measured_from = Millis((options.warm_up * 1000.0) as u64);
        let blocks = fleet.engines * fleet.engine.capacity_blocks;
        Self {
            scenario,
            rate,
            best_hit_rate: best_hit_rate(&arrivals, blocks, measured_from),
            arrivals,
            measured_from,
            disturbed_at: Millis((disturbed_at * 1000.0) as u64),
            seconds: options.seconds,
            small_workspaces: scenario.small_workspaces(),
        }
    }

    fn measure(
        &self,
        variant: &Variant,
        progress: &Arc<AtomicU64>,
    ) -> Result<PolicyFigures, FleetError> {
        let (outcomes, counts) = self.run_load(variant, self.arrivals.clone(), progress)?;
        let mut figures = self.figures(&outcomes, &counts);
        if self.scenario.measures_small_alone() {
            let mut alone = self.arrivals.clone();
            alone.retain(|arrival| self.small_workspaces.contains(&arrival.workspace));
            let (outcomes, _) = self.run_load(variant, alone, progress)?;
            figures.alone_ttft_ms = Some(first_tokens(outcomes.iter()));
        }
        Ok(figures)
    }

    /// Sends a load to a new fleet. Returns the outcomes of the requests after the warm-up
    /// and the counts of the endpoints, of which only `recomputed_tokens` excludes the
    /// warm-up.
    fn run_load(
        &self,
        variant: &Variant,
        arrivals: Vec<Arrival>,
        progress: &Arc<AtomicU64>,
    ) -> Result<(Vec<Outcome>, EndpointCounts), FleetError> {
        let mut options = self.scenario.fleet();
        options.routing = variant.routing();
        let mut fleet = Fleet::start(options)?;
        fleet.publish(&self.scenario.profile().manifest())?;
        let caller = Arc::new(Caller::new(fleet.entry_addresses()));
        let started = Instant::now();
        let sending = load::send(caller, arrivals, Arc::clone(progress));
        let sending = fleet.runtime().spawn(sending);
        sleep_until(started, self.measured_from);
        let warm_up_tokens = fleet.counts().recomputed_tokens;
        if self.scenario.is_disturbed() {
            sleep_until(started, self.disturbed_at);
            self.disturb(&mut fleet)?;
        }
        let mut outcomes = fleet.runtime().block_on(sending).unwrap_or_default();
        outcomes.retain(|outcome| outcome.at >= self.measured_from);
        let mut counts = fleet.counts();
        counts.recomputed_tokens -= warm_up_tokens;
        Ok((outcomes, counts))
    }

    fn disturb(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        match self.scenario {
            Scenario::EngineCrash => {
                if let Some(engine) = fleet.engines.values().next() {
                    engine.crash();
                }
            }
            Scenario::Herd => fleet.restart_nodes()?,
            Scenario::LogOutage => {
                let span = Duration::from_secs_f64(self.seconds * OUTAGE_FRACTION);
                fleet
                    .platform
                    .begin_outage(Part::Log, OutageMode::Refuse, span);
            }
            _ => {}
        }
        Ok(())
    }

    fn figures(&self, outcomes: &[Outcome], counts: &EndpointCounts) -> PolicyFigures {
        let summary = Summary::new(outcomes, counts);
        let small = outcomes
            .iter()
            .filter(|outcome| self.small_workspaces.contains(&outcome.workspace));
        let recovery = self.scenario.is_disturbed();
        PolicyFigures {
            requests: summary.requests,
            answered: summary.answered,
            ttft_ms: summary.ttft_ms,
            small_ttft_ms: first_tokens(small),
            alone_ttft_ms: None,
            prefix_hit_rate: summary.prefix_hit_rate,
            best_hit_rate: self.best_hit_rate,
            recomputed_tokens: summary.recomputed_tokens,
            recovery_ms: recovery
                .then(|| recovery_ms(outcomes, self.disturbed_at))
                .flatten(),
            refused: summary.refused,
            unknown: summary.unknown,
            failed: summary.failed,
            lost: summary.lost,
            doubled: summary.doubled,
            mixed: summary.mixed,
            incomplete: summary.incomplete,
            false_not_run: summary.false_not_run,
            bad_hits: summary.bad_hits,
        }
    }
}

/// Returns the time from `disturbed_at` to the start of the first window whose 99th
/// percentile is within [`RECOVERY_RATIO`] of that of all requests before `disturbed_at`;
/// none if there is no such window.
fn recovery_ms(outcomes: &[Outcome], disturbed_at: Millis) -> Option<u64> {
    let before = outcomes.iter().filter(|outcome| outcome.at < disturbed_at);
    let limit = first_tokens(before).p99 * RECOVERY_RATIO;
    let end = outcomes.iter().map(|outcome| outcome.at).max()?;
    let mut from = disturbed_at;
    while from + RECOVERY_WINDOW <= end {
        let window = from..from + RECOVERY_WINDOW;
        let within = outcomes
            .iter()
            .filter(|outcome| window.contains(&outcome.at));
        if first_tokens(within).p99 <= limit {
            return Some(from.0 - disturbed_at.0);
        }
        from = from + RECOVERY_STEP;
    }
    None
}

fn first_tokens<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Percentiles {
    Percentiles::from_micros(
        outcomes
            .filter(|outcome| outcome.prompt_tokens > 0 && outcome.end == End::Answered)
            .map(|outcome| outcome.response_us),
    )
}

fn sleep_until(started: Instant, at: Millis) {
    let due = started + Duration::from_millis(at.0);
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
}
