//! Streams of engines that are slow, or stall.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::{Duration, Instant};

use entry_site::{Site, draft, event_ids, stream};
use flamingolock_platform_standin::EngineMode;

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);

/// An engine that takes longer between two events than is in time is still sound.
#[test]
fn slow_stream_is_not_cut() {
    let site = Site::start(Duration::from_millis(650));
    let node = site.node("node-1");
    for (id, path) in [("r1", "/draft/a"), ("r2", "/tag/a")] {
        let answer = stream(&node, path, id);
        assert!(answer.complete, "{id}: {}", node.log());
        assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
        assert_eq!(site.executions(id), 1, "{id}");
    }
}

/// Bytes that bring no event do not keep a stream alive beyond its timeout.
#[test]
fn stream_that_brings_a_byte_now_and_then_ends_at_its_timeout() {
    let site = Site::start(Duration::from_millis(100));
    let node = site.node("node-1");
    for engine in &site.engines {
        engine.set_mode(EngineMode::Trickling);
    }
    let started = Instant::now();
    let answer = draft(&node, 1, "r1", &[]);
    let took = started.elapsed();
    assert!(!answer.complete, "{answer:?}");
    assert!(
        took < ROUTE_TIMEOUT + Duration::from_millis(500),
        "{took:?}\n{}",
        node.log()
    );
}
