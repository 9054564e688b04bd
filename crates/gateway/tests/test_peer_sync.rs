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
