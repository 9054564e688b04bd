//! Engines that are left for a request.

use flamingolock_core::prelude::*;
use flamingolock_core::shortlist::{Candidate, Source, without_failed};

fn candidate(name: &str) -> Candidate {
    Candidate {
        engine: EngineId::from(name),
        source: Source::Random,
        wait_ms: 0.0,
        missing_tokens: 0,
        prefill_ms: 0.0,
        hop_ms: 0.0,
    }
}

fn left(found: &[&str], failed: &[&str]) -> Vec<String> {
    let found = found.iter().copied().map(candidate).collect();
    let failed: Vec<EngineId> = failed.iter().copied().map(EngineId::from).collect();
    without_failed(found, &failed)
        .iter()
        .map(|candidate| candidate.engine.as_str().to_owned())
        .collect()
}

#[test]
fn engines_that_failed_a_request_are_left_out() {
    assert_eq!(left(&["a", "b", "c"], &["b"]), ["a", "c"]);
}

#[test]
fn request_that_all_engines_failed_may_go_to_one_that_is_back() {
    assert_eq!(left(&["a", "b"], &["a", "b"]), ["a", "b"]);
}
