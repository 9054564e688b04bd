//! State of a request that waits for a permit.

use std::collections::BTreeMap;

use flamingolock_core::choice::ScoredCandidate;
use flamingolock_core::home_message::{PermitRequest, ProbeAnswer, Prompt};
use flamingolock_core::levels;
use flamingolock_core::permit::EntryRef;
use flamingolock_core::prefix_tree::{HeatLevel, PrefixTree};
use flamingolock_core::prelude::*;
use flamingolock_core::shortlist::Candidate;

use crate::control::messages::RequestNumber;
use crate::control::permit::{AdmissionSender, RouteRequest};

/// Rounds of choosing before a request is refused.
pub const MAX_ROUNDS: u32 = 3;

/// Stage of an admission.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Probes have been sent.
    Probing {
        /// Time at which an engine is chosen with the answers received by then.
        until: Millis,
    },
    /// A permit has been requested from the home of an engine.
    AwaitingPermit {
        /// The engine.
        engine: EngineId,
        /// The home node.
        home: InstanceId,
        /// Time at which the home counts as unresponsive; `None` if it has acknowledged the
        /// request or is on this node.
        home_timeout_at: Option<Millis>,
    },
}

/// A request that waits for its permit.
#[derive(Debug)]
pub struct WaitingRequest {
    /// The request to route.
    pub route_request: RouteRequest,
    /// Channel on which the admission is returned.
    pub reply: AdmissionSender,
    /// Number of the request at this node.
    pub request_number: RequestNumber,
    /// Weight of the workspace.
    pub weight: f64,
    /// Price of computing prompt tokens again, relative to the time that it takes.
    pub price: f64,
    /// Engines to choose from.
    pub candidates: Vec<Candidate>,
    /// Engines that were probed, by the index in the numbers of their probes.
    pub probed: Vec<EngineId>,
    /// Answers to probes so far.
    pub answers: BTreeMap<EngineId, ProbeAnswer>,
    /// Scored candidates, best first, without those that refused.
    pub scored: Vec<ScoredCandidate>,
    /// Stage of the admission.
    pub stage: Stage,
    /// Rounds of choosing so far.
    pub rounds: u32,
    /// Prefix levels of the prompt with their heat.
    pub heat: Vec<HeatLevel>,
    /// Prefix levels of the prompt for each version of the weights.
    pub prompts: PromptsByWeights,
}

impl WaitingRequest {
    /// Returns the permit request or probe to the home of an engine with these weights.
    pub fn permit_request(
        &mut self,
        entry: &EntryRef,
        weights: &WeightsVersion,
        now: Millis,
    ) -> PermitRequest {
        PermitRequest {
            entry: entry.clone(),
            id: self.request_number.request_id(&entry.instance),
            workspace: self.route_request.workspace.clone(),
            weight: self.weight,
            priority: self.route_request.priority,
            prompt: self.prompts.get(&self.route_request, weights),
            answer_tokens: self.route_request.answer_tokens,
            within: self.route_request.deadline.since(now),
        }
    }

    /// Returns true if every candidate's probe has been answered.
    pub fn is_answered(&self) -> bool {
        self.answers.len() >= self.candidates.len()
    }
}

/// Prefix levels of one prompt, cached for each version of the weights.
#[derive(Debug, Default)]
pub struct PromptsByWeights {
    by_weights: BTreeMap<WeightsVersion, Prompt>,
    /// Block hashes under the model's current weights in the manifest.
    chain: PrefixChain,
}

impl PromptsByWeights {
    /// Records the prompt in the prefix tree and returns its prefix levels, which are the
    /// blocks at which recent prompts branch, with their heat.
    pub fn record(
        &mut self,
        tree: &mut PrefixTree,
        route_request: &RouteRequest,
        weights: &WeightsVersion,
        cost_ms: f64,
        now: Millis,
    ) -> Vec<HeatLevel> {
        let seed = PrefixSeed::new(
            &route_request.workspace,
            &route_request.model,
            weights,
            None,
        );
        let chain = PrefixChain::new(seed, &route_request.prompt);
        let heat = tree.record(&chain, cost_ms, now);
        let levels = heat.iter().map(|heat| heat.level).collect();
        self.by_weights.insert(
            weights.clone(),
            Prompt {
                levels,
                tokens: chain.tokens,
            },
        );
        self.chain = chain;
        heat
    }

    /// Records in the prefix tree that the prompt was sent to `engine`, which will cache
    /// its prefixes.
    pub fn dispatched(&self, tree: &mut PrefixTree, engine: &EngineId) {
        tree.record_dispatch(&self.chain, engine);
    }

    /// Returns the prompt with its levels under `weights`. They are at the same blocks as
    /// those under other weights.
    fn get(&mut self, route_request: &RouteRequest, weights: &WeightsVersion) -> Prompt {
        if let Some(prompt) = self.by_weights.get(weights) {
            return prompt.clone();
        }
        let seed = PrefixSeed::new(
            &route_request.workspace,
            &route_request.model,
            weights,
            None,
        );
        let chain = PrefixChain::new(seed, &route_request.prompt);
        let levels = match self.by_weights.values().next() {
            Some(known) => known
                .levels
                .iter()
                .filter_map(|level| levels::at(&chain, level.blocks))
                .collect(),
            None => levels::geometric(&chain),
        };
        let prompt = Prompt {
            levels,
            tokens: chain.tokens,
        };
        self.by_weights.insert(weights.clone(), prompt.clone());
        prompt
    }
}
