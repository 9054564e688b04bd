//! Notices of endpoints: their incarnations, lapsed entries and pauses.

use std::sync::Arc;
use std::time::Duration;

use common::{Harness, placement_request};
use flamingolock_gateway::control::notices::Notice;
use flamingolock_gateway::control::{Event, Refusal};
use flamingolock_gateway::endpoint::Endpoint;

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

/// Places a request and returns the endpoint.
fn place(harness: &mut Harness, now: u64) -> Result<Arc<Endpoint>, Refusal> {
    harness
        .place(placement_request(None, 1), now)
        .unwrap_or(Err(Refusal::NoEndpoint))
        .map(|grant| grant.endpoint)
}

#[test]
fn leaving_holds_for_one_incarnation_though_its_entry_lapses() {
    let mut harness = Harness::with_engines(1, 0);
    let engine = place(&mut harness, 10).expect("a placement");
    harness
        .control
        .handle(Event::Noticed(engine, Notice::Leaving), 20);
    assert_eq!(place(&mut harness, 30), Err(Refusal::NoEndpoint));
    harness.entry("e0", None, 40);
    harness.engine("e0", 1, "ready", 50);
    assert_eq!(place(&mut harness, 60), Err(Refusal::NoEndpoint));
    harness.engine("e0", 2, "ready", 70);
    assert!(place(&mut harness, 80).is_ok());
}

#[test]
fn longest_pause_counts_and_ends() {
    let mut harness = Harness::with_engines(1, 0);
    let engine = place(&mut harness, 10).expect("a placement");
    for seconds in [3, 1] {
        let pause = Notice::Pause(Duration::from_secs(seconds));
        harness
            .control
            .handle(Event::Noticed(engine.clone(), pause), 1_000);
    }
    for now in [1_000, 3_999] {
        let refused = place(&mut harness, now);
        assert_eq!(refused, Err(Refusal::AllPaused { until: 4_000 }));
    }
    let mut patient = placement_request(None, 1);
    patient.max_wait = Duration::from_millis(400);
    assert!(harness.place(patient, 3_700).is_none(), "it waits");
    assert!(place(&mut harness, 4_000).is_ok());
}

#[test]
fn notices_of_listed_endpoints_are_never_forgotten() {
    let mut harness = Harness::with_engines(1, 0);
    let engine = place(&mut harness, 10).expect("a placement");
    let endless = Notice::Pause(Duration::MAX);
    harness
        .control
        .handle(Event::Noticed(engine.clone(), endless), 20);
    let refused = place(&mut harness, 30);
    assert_eq!(refused, Err(Refusal::AllPaused { until: u64::MAX }));
    harness
        .control
        .handle(Event::Noticed(engine, Notice::Leaving), 40);
    let one_hour = 3_600_000;
    harness.control.tick(one_hour);
    assert_eq!(place(&mut harness, one_hour), Err(Refusal::NoEndpoint));
}
