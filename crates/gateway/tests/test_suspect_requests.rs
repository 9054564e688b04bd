//! Requests that crash endpoints: which evidence stops one, and what it costs sound ones.

use flamingolock_gateway::control::suspect::Subject;
use flamingolock_gateway::control::suspects::{Clearance, CrashedRun, RunSubjects, Suspects};

/// Service of all endpoints.
const SERVICE: &str = "planning";

const CULPRIT: u64 = 1;
const SOUND: u64 = 2;

fn run(endpoint: u64, request: u64, sent_at: u64) -> CrashedRun {
    CrashedRun {
        engine: endpoint,
        service: SERVICE.into(),
        subjects: RunSubjects {
            parts: Vec::new(),
            requests: vec![request],
        },
        sent_at,
        ended_at: sent_at + 100,
        begun: false,
    }
}

fn new() -> Suspects {
    Suspects::new(Subject::Request)
}

fn stopped(suspects: &Suspects) -> Vec<u64> {
    let stopped = suspects.stopped().into_iter();
    stopped.map(|suspect| suspect.id).collect()
}

fn clearance(suspects: &mut Suspects, request: u64, may_try: bool, now: u64) -> Clearance {
    suspects.clearance([request].into_iter(), may_try, false, now)
}

#[test]
fn third_crash_in_turn_stops_the_request_though_no_response_had_begun() {
    let mut suspects = new();
    for number in 0..3 {
        assert!(stopped(&suspects).is_empty());
        let sent_at = 1_000 + number * 500;
        suspects.record_crash(&run(number, CULPRIT, sent_at), sent_at + 100);
    }
    assert_eq!(stopped(&suspects), [CULPRIT]);
    let refused = clearance(&mut suspects, CULPRIT, true, 2_200);
    assert_eq!(refused, Clearance::Stopped(CULPRIT, None));
}

#[test]
fn endpoints_that_crash_at_the_same_moment_stop_no_request() {
    let mut suspects = new();
    for endpoint in 0..10 {
        suspects.record_crash(&run(endpoint, SOUND, 1_000 + endpoint), 1_100 + endpoint);
    }
    assert!(stopped(&suspects).is_empty());
}

#[test]
fn request_that_is_answered_now_and_then_is_not_stopped_by_crashes_under_others() {
    let mut suspects = new();
    for number in 0..100 {
        let sent_at = 1_000 + number * 500;
        suspects.record_crash(&run(number, SOUND, sent_at), sent_at + 100);
        if number % 5 == 0 {
            suspects.record_answer(&SERVICE.into(), &[SOUND], sent_at + 200);
        }
        assert!(stopped(&suspects).is_empty(), "after {number}");
    }
}

#[test]
fn stopped_request_is_tried_twice_and_then_never_again() {
    let mut suspects = new();
    for number in 0..3 {
        let sent_at = 1_000 + number * 500;
        suspects.record_crash(&run(number, CULPRIT, sent_at), sent_at + 100);
    }
    let mut trials = 0;
    for now in (2_200..600_000).step_by(100) {
        assert!(clearance(&mut suspects, CULPRIT, false, now) != Clearance::Clear);
        if clearance(&mut suspects, CULPRIT, true, now) == Clearance::Trial(CULPRIT) {
            trials += 1;
            suspects.record_crash(&run(now, CULPRIT, now), now + 100);
        }
    }
    assert_eq!(trials, 2);
}

/// Which node may try a request changes, and a new one does not know of earlier trials.
#[test]
fn trials_of_all_nodes_together_are_two() {
    let (mut first, mut second) = (new(), new());
    for number in 0..4 {
        let sent_at = 1_000 + number * 500;
        first.record_crash(&run(number, CULPRIT, sent_at), sent_at + 100);
    }
    for record in first.list(3_000) {
        second.merge(&record, false, 3_000);
    }
    let trial = clearance(&mut second, CULPRIT, true, 60_000);
    assert_eq!(trial, Clearance::Trial(CULPRIT));
    second.record_crash(&run(9, CULPRIT, 60_000), 60_100);
    for record in second.list(60_200) {
        first.merge(&record, false, 60_200);
    }
    for suspects in [&mut first, &mut second] {
        let refused = clearance(suspects, CULPRIT, true, 500_000);
        assert_eq!(refused, Clearance::Stopped(CULPRIT, None));
    }
}

#[test]
fn trial_that_is_answered_clears_the_request() {
    let mut suspects = new();
    for number in 0..3 {
        let sent_at = 1_000 + number * 500;
        suspects.record_crash(&run(number, SOUND, sent_at), sent_at + 100);
    }
    let trial = clearance(&mut suspects, SOUND, true, 13_000);
    assert_eq!(trial, Clearance::Trial(SOUND));
    assert_eq!(
        suspects.record_answer(&SERVICE.into(), &[SOUND], 13_100),
        [SOUND]
    );
    assert_eq!(
        clearance(&mut suspects, SOUND, false, 13_200),
        Clearance::Clear
    );
}

#[test]
fn stopped_request_is_forgotten_an_hour_after_its_last_crash() {
    let mut suspects = new();
    for number in 0..3 {
        let sent_at = 1_000 + number * 500;
        suspects.record_crash(&run(number, CULPRIT, sent_at), sent_at + 100);
    }
    let hour = 3_600_000;
    suspects.forget_old(2_100 + hour - 1);
    assert_eq!(stopped(&suspects), [CULPRIT]);
    // Callers that go on asking do not prolong a wrong verdict.
    clearance(&mut suspects, CULPRIT, false, hour);
    suspects.forget_old(2_100 + hour);
    assert!(stopped(&suspects).is_empty());
}

#[test]
fn memory_is_bounded_and_keeps_what_is_stopped() {
    let mut suspects = new();
    for number in 0..3 {
        let sent_at = 1_000 + number * 500;
        suspects.record_crash(&run(number, CULPRIT, sent_at), sent_at + 100);
    }
    for number in 0..50_000 {
        suspects.record_crash(&run(number, 1_000 + number, 10_000), 10_100);
        suspects.record_answer(&SERVICE.into(), &[200_000 + number], 10_100);
    }
    assert!(suspects.list(10_200).len() <= 512);
    assert_eq!(stopped(&suspects), [CULPRIT]);
}
