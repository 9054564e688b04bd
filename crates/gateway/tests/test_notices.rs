//! Notices of endpoints: their incarnations, lapsed entries and pauses.

use std::sync::Arc;
use std::time::Duration;

use common::{Harness, placement_request};
use flamingolock_gateway::control::notices::Notice;
use flamingolock_gateway::control::{Effect, Event, Refusal};
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

/// Returns an engine as its entry described it at this start.
fn engine_born(harness: &mut Harness, born: u64, now: u64) -> Arc<Endpoint> {
    harness.engine("e0", born, "ready", now);
    place(harness, now).expect("a placement")
}

#[test]
fn late_answer_of_an_earlier_incarnation_does_not_undo_a_notice() {
    let mut harness = Harness::with_engines(0, 0);
    let before = engine_born(&mut harness, 1, 10);
    let after = engine_born(&mut harness, 2, 20);
    let pause = Notice::Pause(Duration::from_millis(1));
    for (engine, notice, now) in [(after, Notice::Leaving, 30), (before, pause, 40)] {
        harness.control.handle(Event::Noticed(engine, notice), now);
    }
    assert_eq!(place(&mut harness, 3_000), Err(Refusal::NoEndpoint));
}

#[test]
fn entry_of_an_earlier_incarnation_does_not_undo_a_notice() {
    for old_born in [0, 1] {
        let mut harness = Harness::with_engines(0, 0);
        let engine = engine_born(&mut harness, 2, 10);
        let leaving = Event::Noticed(engine, Notice::Leaving);
        harness.control.handle(leaving, 20);
        harness.entry("e0", None, 30);
        harness.engine("e0", old_born, "ready", 40);
        let placed = place(&mut harness, 3_000);
        assert_eq!(placed, Err(Refusal::NoEndpoint), "born {old_born}");
    }
}

/// Returns the endpoints that are asked whether they are leaving.
fn asked(harness: &mut Harness, now: u64) -> Vec<Arc<Endpoint>> {
    let effects = harness.effects(now).into_iter();
    effects
        .filter_map(|effect| match effect {
            Effect::AskLeaving(endpoint) => Some(endpoint),
            _ => None,
        })
        .collect()
}

/// The endpoint has restarted behind a cut from the store, so its notice came in a response to a
/// request that was placed at the entry of the incarnation before.
#[test]
fn notice_of_an_incarnation_that_is_not_listed_yet_holds_when_it_is() {
    for (answer, is_used) in [(Notice::Leaving, false), (Notice::Staying, true)] {
        let mut harness = Harness::with_engines(0, 0);
        let before = engine_born(&mut harness, 1, 10);
        let leaving = Event::Noticed(before, Notice::Leaving);
        harness.control.handle(leaving, 1_000);
        harness.entry("e0", None, 3_000);
        harness.engine("e0", 2, "ready", 4_000);
        let ask = asked(&mut harness, 4_000).pop().expect("a question");
        assert_eq!(ask.start_time_ms, 2);
        let placed = place(&mut harness, 4_010);
        assert_eq!(placed, Err(Refusal::NoEndpoint));
        harness.control.handle(Event::Noticed(ask, answer), 4_020);
        harness.engine("e0", 2, "ready", 5_200);
        assert_eq!(place(&mut harness, 5_300).is_ok(), is_used, "{answer:?}");
        assert_eq!(asked(&mut harness, 6_000), []);
    }
}

#[test]
fn endpoint_that_may_be_leaving_is_asked_until_it_answers() {
    let mut harness = Harness::with_engines(0, 0);
    let before = engine_born(&mut harness, 1, 10);
    let leaving = Event::Noticed(before, Notice::Leaving);
    harness.control.handle(leaving, 1_000);
    harness.engine("e0", 2, "ready", 4_000);
    for now in [4_000, 5_000, 6_000] {
        assert!(!asked(&mut harness, now).is_empty(), "at {now}");
    }
    assert_eq!(place(&mut harness, 6_010), Err(Refusal::NoEndpoint));
}

#[test]
fn restarted_endpoint_is_used_at_once_if_the_incarnation_before_said_that_it_leaves() {
    let mut harness = Harness::with_engines(0, 0);
    let before = engine_born(&mut harness, 1, 10);
    let leaving = Event::Noticed(before, Notice::Leaving);
    harness.control.handle(leaving, 1_000);
    harness.engine("e0", 1, "ready", 2_000);
    harness.engine("e0", 2, "ready", 4_000);
    assert!(place(&mut harness, 4_000).is_ok());
    assert_eq!(asked(&mut harness, 4_000), []);
}

/// The store comes back from a copy that is older than the entry's removal.
#[test]
fn endpoint_that_was_draining_when_it_was_removed_is_not_used_when_its_entry_comes_back() {
    let mut harness = Harness::with_engines(1, 0);
    harness.engine("e0", 1, "draining", 1_000);
    harness.entry("e0", None, 4_000);
    harness.engine("e0", 1, "ready", 6_000);
    assert_eq!(place(&mut harness, 6_010), Err(Refusal::NoEndpoint));
    harness.engine("e0", 2, "ready", 8_000);
    assert!(place(&mut harness, 8_010).is_ok());
}
