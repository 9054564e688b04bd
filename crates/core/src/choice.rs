//! Choice among the engines that were probed for one request.

use serde::{Deserialize, Serialize};

use crate::home_message::ProbeAnswer;
use crate::prelude::*;
use crate::shortlist::{Candidate, Source};

/// Added for a probe that was not answered in time, in milliseconds: the home or
/// the way to it may be slow.
const UNANSWERED_MS: f64 = 25.0;

/// Time that a request in the line of an engine takes on average, in milliseconds.
/// It turns the wait into the number of requests that a prefill delays.
const LINE_STEP_MS: f64 = 30.0;

/// What an engine's score is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Basis {
    /// The answer to a probe.
    Probe,
    /// The digest, for want of an answer.
    Digest,
    /// The home said that the engine takes no work.
    Unavailable,
}

/// An engine with all that its score consists of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoredCandidate {
    /// The engine.
    pub engine: EngineId,
    /// Why it was considered.
    pub source: Source,
    /// What the score is based on.
    pub basis: Basis,
    /// Wait before the prefill begins, in milliseconds.
    pub wait_ms: f64,
    /// Tokens that must be computed.
    pub missing_tokens: u32,
    /// Time to compute them, in milliseconds.
    pub prefill_ms: f64,
    /// Time to the engine and back, in milliseconds.
    pub hop_ms: f64,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// The score: expected time plus the price of recomputation and the delay of
    /// others, in milliseconds.
    pub cost_ms: f64,
}

/// The chosen engine and what it was chosen from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The engine.
    pub engine: EngineId,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Tokens that it must compute.
    pub missing_tokens: u32,
    /// What its score is based on.
    pub basis: Basis,
    /// All engines considered, best first; those after the first are alternatives
    /// when it refuses.
    pub candidates: Vec<ScoredCandidate>,
}

/// Chooses the engine with the least cost. `answer` returns what the home of an
/// engine answered to the probe, if it did in time. `price` is the cost of
/// recomputation relative to its time. `None` if no engine takes work.
pub fn choose(
    candidates: &[Candidate],
    answer: impl Fn(&EngineId) -> Option<ProbeAnswer>,
    price: f64,
) -> Option<Choice> {
    let mut scored: Vec<ScoredCandidate> = candidates
        .iter()
        .map(|candidate| score(candidate, answer(&candidate.engine), price))
        .collect();
    scored.sort_by(|a, b| {
        let available = (a.basis == Basis::Unavailable).cmp(&(b.basis == Basis::Unavailable));
        available.then(a.cost_ms.total_cmp(&b.cost_ms))
    });
    let best = scored
        .first()
        .filter(|best| best.basis != Basis::Unavailable)?;
    Some(Choice {
        engine: best.engine.clone(),
        expected_ms: best.expected_ms,
        missing_tokens: best.missing_tokens,
        basis: best.basis,
        candidates: scored,
    })
}

/// Price of a prefill's time at an engine with this wait, besides that time itself.
/// A prefill delays all that stand in line as well. Without that, waits that differ
/// a little outweigh prefixes under load, and copies of prefixes push each other out
/// of the caches.
pub(crate) fn shared_price(price: f64, wait_ms: f64) -> f64 {
    price + wait_ms / LINE_STEP_MS
}

fn score(candidate: &Candidate, answer: Option<ProbeAnswer>, price: f64) -> ScoredCandidate {
    let mut scored = ScoredCandidate {
        engine: candidate.engine.clone(),
        source: candidate.source,
        basis: Basis::Digest,
        wait_ms: candidate.wait_ms + UNANSWERED_MS,
        missing_tokens: candidate.missing_tokens,
        prefill_ms: candidate.prefill_ms,
        hop_ms: candidate.hop_ms,
        expected_ms: 0.0,
        cost_ms: 0.0,
    };
    if let Some(answer) = answer {
        scored.basis = if answer.available {
            Basis::Probe
        } else {
            Basis::Unavailable
        };
        scored.wait_ms = f64::from(answer.wait_ms);
        scored.missing_tokens = answer.missing_tokens;
        scored.prefill_ms = f64::from(answer.expected_ms.saturating_sub(answer.wait_ms));
    }
    scored.expected_ms = scored.wait_ms + scored.prefill_ms + scored.hop_ms;
    scored.cost_ms = scored.expected_ms + shared_price(price, scored.wait_ms) * scored.prefill_ms;
    scored
}
