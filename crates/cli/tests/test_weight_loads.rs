//! Callers of real nodes while engines load weights.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::{Duration, Instant};

use entry_site::{Site, draft, wait_for};
use flamingolock_platform_standin::Engine;

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Duration of a load, which no node is told.
const LOAD_TIME: Duration = Duration::from_millis(1_200);

/// Number of engines.
const ENGINES: usize = 6;

#[test]
fn callers_are_served_while_engines_load() {
    let mut site = Site::start(EVENT_INTERVAL);
    for number in 3..=ENGINES {
        site.engines.push(Engine::start(
            &format!("engine-{number}"),
            10,
            EVENT_INTERVAL,
        ));
    }
    for engine in &site.engines {
        engine.set_load_time(LOAD_TIME);
        site.put_entry(engine, "engines", "ready");
    }
    let nodes = [site.node("node-1"), site.node("node-2")];
    for node in &nodes {
        wait_for("the node to list all endpoints", || {
            node.log().matches("endpoint listed").count() >= ENGINES + site.app_servers.len()
        });
    }
    let named = r#"{"Model":"planner","Version":2}"#;
    site.store.put("keyed.op", "op/version/planner", named);
    let started = Instant::now();
    let mut requests = 0;
    while !site.engines.iter().all(|engine| engine.weights() == 2) {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "roll-out takes too long"
        );
        let answer = draft(
            &nodes[requests % 2],
            requests % 7,
            &format!("r{requests}"),
            &[],
        );
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "{}",
            nodes[requests % 2].log()
        );
        requests += 1;
    }
    let refusals: usize = site.engines.iter().map(Engine::loading_refusals).sum();
    // A request is tried at an engine when its load should be done, and may be early.
    assert!(
        refusals <= ENGINES,
        "{refusals} of {requests} requests were sent to loading engines"
    );
    assert!(requests > 20, "{requests} requests");
}
