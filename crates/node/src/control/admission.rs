//! One request between its arrival and its permit.

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

/// Where an admission stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Probes are out until this time.
    Probing {
        /// When the choice is made with the answers that came.
        until: Millis,
    },
    /// A home has been asked for a permit.
    AwaitingPermit {
        /// The engine.
        engine: EngineId,
        /// The home that was asked.
        home: InstanceId,
        /// When the home counts as silent; none once it answered.
        home_timeout_at: Option<Millis>,
    },
}

/// A request that waits for its permit.
#[derive(Debug)]
pub struct WaitingRequest {
    /// What was asked for.
    pub route_request: RouteRequest,
    /// Where the admission goes.
    pub reply: AdmissionSender,
    /// Number of the request at this node.
    pub request_number: RequestNumber,
    /// Share of the workspace.
    pub weight: f64,
    /// Price of recomputation.
    pub price: f64,
    /// Engines worth a probe.
    pub candidates: Vec<Candidate>,
    /// Engines that were probed, by the places in their probes' numbers.
    pub probed: Vec<EngineId>,
    /// Answers to probes so far.
    pub answers: BTreeMap<EngineId, ProbeAnswer>,
    /// Candidates as scored, best first; those that refused are taken out.
    pub scored: Vec<ScoredCandidate>,
    /// Where it stands.
    pub stage: Stage,
    /// Rounds of choosing so far.
    pub rounds: u32,
    /// Levels of the prompt with their heat.
    pub heat: Vec<HeatLevel>,
    /// Levels of the prompt by the weights that engines serve.
    pub prompts: PromptsByWeights,
}

impl WaitingRequest {
    /// The question to the home of an engine with these weights.
    pub fn home_ask(
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

    /// True when every probe has been answered.
    pub fn is_answered(&self) -> bool {
        self.answers.len() >= self.candidates.len()
    }
}

/// The levels of one prompt under each version of the weights.
#[derive(Debug, Default)]
pub struct PromptsByWeights {
    by_weights: BTreeMap<WeightsVersion, Prompt>,
    /// Blocks under the weights that are in force.
    chain: PrefixChain,
}

impl PromptsByWeights {
    /// Finds the levels at which prompts like this one branch, and counts its heat.
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

    /// Remembers in the tree that the prompt went to `engine`, which will thus hold
    /// its prefixes.
    pub fn dispatched(&self, tree: &mut PrefixTree, engine: &EngineId) {
        tree.record_dispatch(&self.chain, engine);
    }

    /// Levels under other weights stand at the same blocks.
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
