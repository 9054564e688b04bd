//! Load and health of endpoints.

mod estimate;
mod load_evidence;
mod speed;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use flamingolock_wire::gossip::Run;

pub use self::estimate::{Estimate, EstimateContext};
pub use self::speed::first_guess;
use self::speed::{PrefillTime, Speed};
use crate::clock::Millis;
use crate::control::RunEnd;
use crate::control::cache_index::PartKey;
use crate::control::known_runs::KnownRuns;
use crate::control::load::Load;
use crate::control::reachability::Reachability;
use crate::endpoint::Endpoint;

/// Time from the end of prefill to the first token, in ms.
const FIRST_STEP_MS: f64 = 20.0;

/// Shortest prefill from which the speed of an engine is learned, in ms.
const MIN_PREFILL_MS: f64 = 5.0;

/// Assumed priority of runs that older builds announce, which state none; for metrics only.
const DEFAULT_PRIORITY: u8 = 5;

/// Time after which a run without a first token no longer counts towards the
/// prefill queue, in ms.
const PREFILL_TIMEOUT_MS: Millis = 6_000;

/// Time after which a run whose end was not reported no longer counts, in ms.
const RUN_TIMEOUT_MS: Millis = 20_000;

/// Weight of the newest outcome in the moving average of an endpoint's failure
/// rate.
const FAILURE_SMOOTHING: f64 = 0.12;

/// Weight of the newest run in the moving average of their duration.
const RUN_TIME_SMOOTHING: f64 = 0.1;

/// Number of mean durations after which the news of a run's end may be lost.
const LOST_END_RUNS: f64 = 2.0;

/// Time after the start of a load within which news may still arrive of requests that were
/// sent before, in ms.
const NEWS_DELAY_MS: Millis = 100;

/// Time for which an endpoint without room is avoided, in ms.
const FULL_MS: Millis = 60;

/// First time that an endpoint is avoided after a failure, in ms.
const BACKOFF_MIN_MS: Millis = 250;

/// Maximum backoff, in ms.
const BACKOFF_MAX_MS: Millis = 2_500;

/// Identifies a run across the fleet: the incarnation of its node and its number at
/// that node.
pub type RunId = (u64, u64);

/// Request that is running at an endpoint.
#[derive(Clone, Debug)]
pub struct RunningRequest {
    sent_at: Millis,
    prefill_ms: f64,
    tokens: u32,
    has_first_token: bool,
    is_long_answer: bool,
    is_stored: bool,
    parts: Vec<PartKey>,
    /// Version of the weights that it asked for, if any.
    weights: Option<u64>,
    priority: u8,
    /// Number of requests without a first token when it was sent.
    ahead: usize,
    /// Id of the request and its expected wait in ms, for runs of this node at engines.
    expected: Option<(Arc<str>, f64)>,
}

/// Expected and actual wait of a run of this node for its first token.
#[derive(Clone, Debug, PartialEq)]
pub struct Wait {
    /// Id of the request.
    pub request: Arc<str>,
    /// Priority of the request.
    pub priority: u8,
    /// Wait that was expected when the request was placed, in ms.
    pub expected_ms: f64,
    /// Time from sending the request to its first token, in ms.
    pub actual_ms: Millis,
    /// Number of requests without a first token when it was sent.
    pub ahead: usize,
}

impl RunningRequest {
    /// Tokens that it takes in the memory of its engine.
    pub fn tokens(&self) -> u64 {
        self.tokens.into()
    }

    /// True if its first token shows that the engine's load is done. News of a run that was sent
    /// before can arrive long after; it asked for older weights.
    fn tries(&self, load: &Load) -> bool {
        match load.version {
            Some(version) => self.weights >= Some(version) && self.sent_at >= load.started_at,
            None => self.sent_at >= load.started_at + NEWS_DELAY_MS,
        }
    }

    /// Time of `took` that it waited for others at an engine with this slowdown, in ms.
    fn waited_ms(&self, took: Millis, slowdown: f64) -> f64 {
        (took as f64 - self.prefill_ms * slowdown - FIRST_STEP_MS).max(0.0)
    }
}

/// Longest waits of requests for their first token, in descending order: a newer one replaces
/// those that were shorter.
#[derive(Debug, Default)]
struct RecentWaits(VecDeque<(Millis, f64)>);

impl RecentWaits {
    fn record(&mut self, waited_ms: f64, now: Millis) {
        self.0
            .retain(|(at, ms)| *ms > waited_ms && now < at + RUN_TIMEOUT_MS);
        self.0.push_back((now, waited_ms));
    }

    /// The longest one since `from`, in ms.
    fn longest(&self, from: Millis) -> f64 {
        let recent = self.0.iter().find(|(at, _)| *at >= from);
        recent.map_or(0.0, |(_, ms)| *ms)
    }
}

/// What the first token of a run tells.
#[derive(Debug, PartialEq)]
pub struct FirstToken {
    /// Parts of its prompt, which are now prefilled.
    pub parts: Vec<PartKey>,
    /// True if they were sent to the KV cache store.
    pub is_stored: bool,
    /// Time from the start of the engine's load to the sending of the request, in ms, if
    /// it is the first one since.
    pub loaded_ms: Option<Millis>,
    /// How long it waited, if it is a run of this node at an engine.
    pub wait: Option<Wait>,
}

/// Known state of an endpoint.
#[derive(Debug)]
pub struct EndpointState {
    /// Entry that the endpoint wrote about itself.
    pub endpoint: Arc<Endpoint>,
    /// Time at which the endpoint is removed unless its entry is written again. Set
    /// when the entry disappeared while the store was unreachable.
    pub removal_due_at: Option<Millis>,
    /// Newest known version of the weights of each model.
    pub weights: BTreeMap<String, u64>,
    /// Time until which the engine is loading weights.
    pub loading_until: Millis,
    /// Its last load.
    pub load: Option<Load>,
    /// When it last refused a request though no load was known to be in progress.
    refused_idle_at: Option<Millis>,
    /// Time until which the engine is reserved for loading weights.
    pub reserved_until: Millis,
    /// Time until which the endpoint is avoided after failures of this node's requests.
    pub avoid_until: Millis,
    /// Who reaches it.
    pub reachability: Reachability,
    backoff_level: u32,
    failure_rate: f64,
    speed: Speed,
    slowdown: f64,
    /// Time of the last first token.
    first_token_at: Millis,
    /// Moving average of the duration of complete runs, in ms.
    run_ms: Option<f64>,
    waits: RecentWaits,
    runs: KnownRuns,
    /// Runs that are taken not to have arrived, though they have not ended.
    withdrawn: KnownRuns,
}

impl EndpointState {
    /// State of a newly discovered endpoint.
    pub fn new(endpoint: Endpoint) -> Self {
        Self {
            weights: endpoint.weights.clone(),
            endpoint: Arc::new(endpoint),
            removal_due_at: None,
            loading_until: 0,
            load: None,
            refused_idle_at: None,
            reserved_until: 0,
            avoid_until: 0,
            reachability: Reachability::default(),
            backoff_level: 0,
            failure_rate: 0.0,
            speed: Speed::new(1.0),
            slowdown: 1.0,
            first_token_at: 0,
            run_ms: None,
            waits: RecentWaits::default(),
            runs: KnownRuns::default(),
            withdrawn: KnownRuns::default(),
        }
    }

    /// The same with a first guess of the factor by which its prefill is slower than assumed.
    pub fn with_slowdown(endpoint: Endpoint, guess: f64) -> Self {
        Self {
            speed: Speed::new(guess),
            slowdown: guess,
            ..Self::new(endpoint)
        }
    }

    /// Factor by which its prefill is slower than assumed.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// The same, if it was learned from the requests of this incarnation.
    pub fn learned_slowdown(&self) -> Option<f64> {
        self.speed.learned()
    }

    /// Applies a newer entry of the same incarnation of the endpoint.
    pub fn update(&mut self, endpoint: Endpoint) {
        for (model, version) in &endpoint.weights {
            self.update_weights(model, *version);
        }
        self.endpoint = Arc::new(endpoint);
        self.removal_due_at = None;
    }

    /// Records the version of a model's weights. Versions never decrease within one
    /// incarnation of an engine, so an older one is ignored. Returns true if the
    /// version is newer, in which case the engine has dropped the cache of the previous
    /// one.
    pub fn update_weights(&mut self, model: &str, version: u64) -> bool {
        let known = self.weights.entry(model.to_owned()).or_insert(version);
        let newer = version > *known;
        *known = (*known).max(version);
        newer
    }

    /// True if the endpoint is avoided after failures.
    pub fn is_avoided(&self, now: Millis) -> bool {
        now < self.avoid_until || self.reachability.is_told_down(now)
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Number of tokens in memory that the running requests take.
    pub fn memory_tokens(&self) -> u64 {
        self.runs.tokens()
    }

    /// The same, with the runs that may not have arrived.
    pub fn max_memory_tokens(&self) -> u64 {
        self.runs.tokens() + self.withdrawn.tokens()
    }

    /// Number of long answers that are being decoded.
    fn decoding_streams(&self) -> usize {
        self.runs
            .values()
            .filter(|run| run.has_first_token && run.is_long_answer)
            .count()
    }

    /// Estimated time to prefill all prompts that are queued, in ms.
    fn prefill_queue_ms(&self, now: Millis) -> f64 {
        let mut total = 0.0;
        let mut oldest = now;
        for run in self.runs.values() {
            if !run.has_first_token && now < run.sent_at + PREFILL_TIMEOUT_MS {
                total += run.prefill_ms;
                oldest = oldest.min(run.sent_at);
            }
        }
        // The time until the last first token was spent on prompts that are done.
        let gone = (now - oldest.max(self.first_token_at).min(now)) as f64;
        (total * self.slowdown - gone).max(total * 0.15)
    }

    /// Time by which the queue may grow up to this limit, in ms; 0 if the engine takes no requests.
    pub fn room_ms(&self, limit_ms: f64, now: Millis) -> f64 {
        let is_loading = now < self.loading_until || self.awaits_trial(now);
        if is_loading || self.is_avoided(now) || self.endpoint.leaving {
            return 0.0;
        }
        (limit_ms - self.prefill_queue_ms(now)).max(0.0)
    }

    /// Longest time that requests have waited for others at the engine, of those that got their
    /// first token since `from` and of those that still wait, in ms.
    fn longest_wait_ms(&self, from: Millis, now: Millis) -> f64 {
        let waiting = self
            .runs
            .values()
            .filter(|run| !run.has_first_token && now < run.sent_at + PREFILL_TIMEOUT_MS);
        waiting
            .map(|run| run.waited_ms(now.saturating_sub(run.sent_at), self.slowdown))
            .fold(self.waits.longest(from), f64::max)
    }

    /// Records that a request was sent to the endpoint at this time, of which news is `late_ms`
    /// late.
    pub fn run_sent(&mut self, id: RunId, run: &Run, sent_at: Millis, late_ms: Millis) {
        self.runs
            .retain(|_, run| sent_at < run.sent_at + RUN_TIMEOUT_MS);
        let read_ms = f64::from(run.prefill_us) / 1000.0 * self.slowdown;
        // Others that were ahead may be done by the time at which such late news comes.
        let is_unsure = late_ms as f64 > read_ms;
        let ahead = self.waiting(sent_at).max(usize::from(is_unsure));
        self.runs.insert(
            id,
            RunningRequest {
                sent_at,
                prefill_ms: f64::from(run.prefill_us) / 1000.0,
                tokens: run.tokens,
                has_first_token: false,
                is_long_answer: run.is_long_answer,
                is_stored: run.is_stored,
                parts: run.parts.clone(),
                weights: run.weights,
                priority: run
                    .priority
                    .and_then(|priority| u8::try_from(priority).ok())
                    .unwrap_or(DEFAULT_PRIORITY),
                ahead,
                expected: None,
            },
        );
    }

    /// Records the expected wait of a run of this node, in ms; 0 if none is expected.
    pub fn expect_wait(&mut self, id: RunId, request: &Arc<str>, expected_ms: f64) {
        if let Some(run) = self.runs.get_mut(&id).filter(|_| expected_ms > 0.0) {
            run.expected = Some((request.clone(), expected_ms));
        }
    }

    /// Number of requests that wait for their first token, as far as is known.
    fn waiting(&self, now: Millis) -> usize {
        let waits =
            |run: &&RunningRequest| !run.has_first_token && now < run.sent_at + PREFILL_TIMEOUT_MS;
        self.runs.values().filter(waits).count()
    }

    /// Time of a first token of which late news tells: after the sending of its request, and not
    /// before the last first token that is known.
    pub fn token_time(&self, id: RunId, told: Millis) -> Millis {
        let run = self.runs.get(&id).or_else(|| self.withdrawn.get(&id));
        let sent_at = run.map_or(0, |run| run.sent_at);
        told.max(sent_at).max(self.first_token_at)
    }

    /// Records the first token of a request. A withdrawn one counts again.
    pub fn first_token(&mut self, id: RunId, now: Millis) -> Option<FirstToken> {
        if let Some(run) = self.withdrawn.remove(&id) {
            self.runs.insert(id, run);
        }
        let run = self.runs.get_mut(&id)?;
        if run.has_first_token {
            return None;
        }
        run.has_first_token = true;
        let previous_at = std::mem::replace(&mut self.first_token_at, now);
        let interval_ms = (previous_at > run.sent_at).then(|| (now - previous_at) as f64);
        let took = (now - run.sent_at) as f64;
        let waited_ms = run.waited_ms(now - run.sent_at, self.slowdown);
        self.waits.record(waited_ms, now);
        let time = PrefillTime {
            took_ms: took,
            prefill_ms: run.prefill_ms,
            interval_ms,
            step_ms: FIRST_STEP_MS,
            ahead: run.ahead,
        };
        let wait = run.expected.take().map(|(request, expected_ms)| Wait {
            request,
            priority: run.priority,
            expected_ms,
            actual_ms: now - run.sent_at,
            ahead: run.ahead,
        });
        let load = self.load.as_ref().filter(|load| !load.is_done());
        let loaded_ms = load
            .filter(|load| run.tries(load))
            .map(|load| load.most_elapsed(run.sent_at));
        let first = FirstToken {
            parts: std::mem::take(&mut run.parts),
            is_stored: run.is_stored,
            loaded_ms,
            wait,
        };
        if run.prefill_ms > MIN_PREFILL_MS {
            self.speed.record(&time);
            self.slowdown = self.speed.slowdown();
        }
        Some(first)
    }

    /// Records how long a run took that ends now, if its response is complete.
    pub fn record_run_time(&mut self, id: RunId, is_complete: bool, now: Millis) {
        let Some(run) = self.runs.get(&id).filter(|_| is_complete) else {
            return;
        };
        let took = now.saturating_sub(run.sent_at) as f64;
        let mean = self.run_ms.unwrap_or(took);
        self.run_ms = Some(mean + RUN_TIME_SMOOTHING * (took - mean));
    }

    /// Mean duration of complete runs in ms, if there were any.
    pub fn mean_run_ms(&self) -> Option<f64> {
        self.run_ms
    }

    /// Number of running requests of a node.
    pub fn running_of(&self, incarnation: u64) -> usize {
        let nodes = self.runs.keys().filter(|(node, _)| *node == incarnation);
        nodes.count()
    }

    /// Removes the oldest runs of a node that says that only `running` of its runs go on:
    /// the news of their end was lost. It may be on its way for younger runs.
    pub fn drop_ended_runs_of(&mut self, incarnation: u64, running: usize, now: Millis) {
        let Some(mean) = self.run_ms else { return };
        let excess = self.running_of(incarnation).saturating_sub(running);
        let oldest = now.saturating_sub((LOST_END_RUNS * mean) as Millis);
        let lost: Vec<RunId> = self
            .runs
            .iter()
            .filter(|((node, _), run)| *node == incarnation && run.sent_at < oldest)
            .map(|(id, _)| *id)
            .take(excess)
            .collect();
        for id in lost {
            self.runs.remove(&id);
        }
    }

    /// True if it is known to load weights.
    pub fn is_loading(&self) -> bool {
        let load = self.load.as_ref();
        load.is_some_and(|load| load.version.is_some() && !load.is_done())
    }

    /// Records the end of a request. Returns its parts if they were not prefilled.
    pub fn run_ended(&mut self, id: RunId) -> Vec<PartKey> {
        self.withdrawn.remove(&id);
        match self.runs.remove(&id) {
            Some(run) if !run.has_first_token => run.parts,
            _ => Vec::new(),
        }
    }

    /// Withdraws the runs of a node that have not brought a token and were sent after
    /// `heard_at`. Returns their numbers and the parts of their prompts.
    pub fn withdraw_runs_of(
        &mut self,
        incarnation: u64,
        heard_at: Option<Millis>,
    ) -> Vec<(u64, Vec<PartKey>)> {
        let withdrawn = self.runs.take_if(|(node, _), run| {
            let is_unheard = heard_at.is_none_or(|at| at < run.sent_at);
            *node == incarnation && !run.has_first_token && is_unheard
        });
        let told = withdrawn
            .iter()
            .map(|((_, number), run)| (*number, run.parts.clone()))
            .collect();
        for (id, run) in withdrawn {
            self.withdrawn.insert(id, run);
        }
        told
    }

    /// Removes the runs of a node that is gone.
    pub fn drop_runs_of(&mut self, incarnation: u64) {
        self.runs.retain(|(node, _), _| *node != incarnation);
    }

    /// Removes the runs of all nodes except these.
    pub fn retain_runs_of(&mut self, nodes: &BTreeSet<u64>) {
        self.runs.retain(|(node, _), _| nodes.contains(node));
    }

    /// Updates the health of the endpoint with the outcome of a request. Returns how
    /// long other nodes should avoid the endpoint, if at all, in ms.
    pub fn record_outcome(&mut self, end: &RunEnd, now: Millis) -> Option<Millis> {
        match end {
            RunEnd::NeverConnected => self.reachability.failed(now),
            RunEnd::Complete
            | RunEnd::ErrorAnswer
            | RunEnd::Full
            | RunEnd::Reloading
            | RunEnd::WrongWeights(_) => self.reachability.answered(now),
            RunEnd::WrongInstance
            | RunEnd::Broken
            | RunEnd::Silent
            | RunEnd::Expired
            | RunEnd::CallerLeft
            | RunEnd::NoMemory => {}
        }
        match end {
            RunEnd::Complete => {
                self.backoff_level = 0;
                self.failure_rate *= 1.0 - FAILURE_SMOOTHING;
                None
            }
            RunEnd::ErrorAnswer => {
                self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
                None
            }
            RunEnd::NeverConnected | RunEnd::WrongInstance => {
                self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
                Some(self.back_off(2, now))
            }
            RunEnd::Broken | RunEnd::Silent => {
                self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
                (self.backoff_level > 0)
                    .then(|| self.back_off(1, now))
                    .or_else(|| {
                        self.backoff_level += 1;
                        None
                    })
            }
            RunEnd::Full => {
                self.avoid_until = self.avoid_until.max(now + FULL_MS);
                None
            }
            RunEnd::Reloading if self.may_be_full(now) => {
                self.refused_idle_at = Some(now);
                self.avoid_until = self.avoid_until.max(now + FULL_MS);
                None
            }
            RunEnd::Reloading => Some(self.refused_while_loading(None, now)),
            RunEnd::WrongWeights(version) => {
                if version.is_none() {
                    self.refused_while_loading(None, now);
                }
                None
            }
            RunEnd::CallerLeft | RunEnd::Expired | RunEnd::NoMemory => None,
        }
    }

    fn back_off(&mut self, weight: u32, now: Millis) -> Millis {
        self.backoff_level = (self.backoff_level + weight).min(12);
        let time = (BACKOFF_MIN_MS << (self.backoff_level / 2)).min(BACKOFF_MAX_MS);
        self.avoid_until = self.avoid_until.max(now + time);
        time
    }
}
