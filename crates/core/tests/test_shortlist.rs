//! Candidates that remain for a request after failures.

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

fn remaining(found: &[&str], failed: &[&str]) -> Vec<String> {
    let found = found.iter().copied().map(candidate).collect();
    let failed: Vec<EngineId> = failed.iter().copied().map(EngineId::from).collect();
    without_failed(found, &failed)
        .iter()
        .map(|candidate| candidate.engine.as_str().to_owned())
        .collect()
}

#[test]
fn engines_on_which_the_request_failed_are_removed() {
    assert_eq!(remaining(&["a", "b", "c"], &["b"]), ["a", "c"]);
}

#[test]
fn request_that_failed_on_all_engines_keeps_them_all() {
    assert_eq!(remaining(&["a", "b"], &["a", "b"]), ["a", "b"]);
}
