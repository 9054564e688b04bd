//! Copies of the store's topics that a node gets from other nodes.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use common::Harness;
use flamingolock_gateway::control::{Effect, Event};

fn fetches(effects: &[Effect]) -> usize {
    effects
        .iter()
        .filter(|effect| matches!(effect, Effect::SyncFromPeers(_)))
        .count()
}

#[test]
fn node_does_not_start_another_fetch_of_copies_while_one_is_in_progress() {
    let mut harness = Harness::new();
    harness.control.handle(Event::StoreFailed, 20_000);
    let mut started = 0;
    for now in (20_000..25_000).step_by(50) {
        started += fetches(&harness.effects(now));
    }
    assert_eq!(started, 1);
}

#[test]
fn fetches_of_copies_become_rarer_while_they_fail() {
    let mut harness = Harness::new();
    harness.control.handle(Event::StoreFailed, 20_000);
    let mut started = Vec::new();
    for now in (20_000..60_000).step_by(50) {
        if fetches(&harness.effects(now)) > 0 {
            started.push(now);
            harness.control.handle(Event::PeerSyncFailed, now);
        }
    }
    assert!((5..=12).contains(&started.len()), "{started:?}");
    let gaps: Vec<_> = started.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        gaps.iter().skip(4).all(|gap| (4_000..=8_100).contains(gap)),
        "{gaps:?}"
    );
}
