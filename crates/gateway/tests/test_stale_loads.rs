//! Loads whose end a node has not heard of.

use flamingolock_gateway::control::fleet::EndpointState;
use flamingolock_gateway::control::load::Load;
use flamingolock_gateway::endpoint::Endpoint;
use flamingolock_wire::gossip::Run;

/// An engine that began to load version 2 at 1 s, as far as is known. Loads take 900 ms.
fn loading() -> EndpointState {
    let mut state = EndpointState::new(Endpoint {
        id: "e".into(),
        start_time_ms: 1,
        heartbeat: None,
        service: "engines".into(),
        address: ([10, 0, 0, 1], 80).into(),
        build: "v1".into(),
        zone: "a".to_owned(),
        slots: 8,
        leaving: false,
        weights: [("m".to_owned(), 1)].into(),
    });
    let mut load = Load::new(Some(2), 1, 1_000);
    load.sure_ms = 900;
    state.load = Some(load);
    state
}

#[test]
fn first_token_with_newer_weights_ends_an_older_load() {
    let mut state = loading();
    let run = Run {
        weights: Some(3),
        ..Run::default()
    };
    state.run_sent((1, 1), &run, 61_000, 0);
    let first = state.first_token((1, 1), 61_100).expect("a first token");
    assert!(first.loaded_ms.is_some());
}

#[test]
fn refusal_long_after_a_load_closes_its_engine_for_a_moment_only() {
    let pause = loading().refused_while_loading(None, 61_000);
    assert!(pause < 900, "{pause} ms");
}

/// Guards against a load that its engine still refuses requests for being given up.
#[test]
fn refusals_without_a_break_close_an_engine_for_longer_and_longer() {
    let mut state = loading();
    let mut now = 1_000;
    let mut pause = 0;
    while now < 61_000 {
        pause = state.refused_while_loading(None, now);
        // The next request comes somewhat after the engine is open again.
        now += pause + 300;
    }
    assert!(pause > 5_000, "{pause} ms");
    assert_eq!(state.load.and_then(|load| load.version), Some(2));
}
