//! Callers of real nodes while engines load weights.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::{Duration, Instant};

use entry_site::{Answer, Node, Site, call, draft, wait_for};
use flamingolock_platform_standin::{Engine, EngineMode};

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

/// `VersionMs` of the nodes' settings.
const WEIGHTS_BOUND: Duration = Duration::from_secs(6);

/// Requests a stream that may run once; prompts are spread over the engines.
fn tag(node: &Node, number: usize) -> Answer {
    let parts = format!("a{number}:300,b{number}:400,c:300");
    let headers = [
        ("model", "planner"),
        ("token-usage", "1000,64"),
        ("prefix-hash", parts.as_str()),
    ];
    call(node, "/tag/a", &format!("r{number}"), &headers)
}

/// A run that has not begun by then might begin too late.
#[test]
fn run_that_waits_at_an_engine_is_ended_before_its_superseded_weights_expire() {
    let site = Site::start(EVENT_INTERVAL);
    let waits_at = &site.engines[0];
    waits_at.set_mode(EngineMode::Silent);
    waits_at.set_order_delay(Some(Duration::from_mins(1)));
    let node = site.node("node-1");
    let answers = std::thread::scope(|scope| {
        let mut calls = Vec::new();
        for number in 0..8 {
            let node = &node;
            calls.push(scope.spawn(move || (tag(node, number), Instant::now())));
        }
        wait_for("a request at the engine", || {
            !waits_at.arrivals().is_empty()
        });
        let named = r#"{"Model":"planner","Version":2}"#;
        let named_at = Instant::now();
        site.store.put("keyed.op", "op/version/planner", named);
        let calls = calls.into_iter().map(|call| call.join().expect("no panic"));
        calls
            .map(|(answer, at)| (answer.status, at.saturating_duration_since(named_at)))
            .collect::<Vec<_>>()
    });
    let waited = answers.iter().max_by_key(|(_, at)| *at).expect("a call");
    assert_eq!(waited.0, 502, "it may have run: {answers:?}");
    assert!(waited.1 < WEIGHTS_BOUND, "{answers:?}");
    assert!(waited.1 > WEIGHTS_BOUND / 2, "{answers:?}");
}
