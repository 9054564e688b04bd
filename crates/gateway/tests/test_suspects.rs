//! Prompt parts that crash engines: which evidence stops a part, and what clears it.

use flamingolock_gateway::control::suspect::Subject;
use flamingolock_gateway::control::suspects::{Clearance, CrashedRun, RunSubjects, Suspects};
use flamingolock_wire::gossip::SuspectRecord;
use proptest::prelude::*;

/// Service of all engines.
const SERVICE: &str = "planning";

/// A part that other requests have as well, and one that crashes engines.
const COMMON: u64 = 1;
const CULPRIT: u64 = 2;

fn run(engine: u64, parts: &[u64], sent_at: u64) -> CrashedRun {
    CrashedRun {
        engine,
        service: SERVICE.into(),
        subjects: RunSubjects {
            parts: parts.to_vec(),
            requests: Vec::new(),
        },
        sent_at,
        ended_at: sent_at,
        begun: true,
    }
}

/// Records a crash at a time.
fn crash(suspects: &mut Suspects, run: &CrashedRun, at: u64) {
    let run = CrashedRun {
        ended_at: at,
        ..run.clone()
    };
    suspects.record_crash(&run, at);
}

/// Records crashes of engines one after the other, each under another request.
fn crash_in_turn(suspects: &mut Suspects, parts: &[u64], count: u64, from: u64) {
    for number in 0..count {
        let at = from + number * 1_000;
        crash(suspects, &run(from + number, parts, at), at + 100);
    }
}

fn stopped(suspects: &Suspects) -> Vec<u64> {
    let parts = suspects.stopped();
    parts.into_iter().map(|part| part.id).collect()
}

fn clearance(suspects: &mut Suspects, part: u64, may_try: bool, now: u64) -> Clearance {
    suspects.clearance([part].into_iter(), may_try, false, now)
}

#[test]
fn third_crash_in_a_row_stops_the_part_that_was_never_answered() {
    let mut suspects = Suspects::new(Subject::Part);
    suspects.record_answer(&SERVICE.into(), &[COMMON], 0);
    crash_in_turn(&mut suspects, &[COMMON, CULPRIT], 2, 1_000);
    assert!(stopped(&suspects).is_empty());
    crash_in_turn(&mut suspects, &[COMMON, CULPRIT], 1, 9_000);
    assert_eq!(stopped(&suspects), [CULPRIT]);
}

#[test]
fn engines_that_crash_at_the_same_moment_stop_no_part() {
    let mut suspects = Suspects::new(Subject::Part);
    for engine in 0..20 {
        crash(
            &mut suspects,
            &run(engine, &[COMMON], 1_000 + engine),
            1_200 + engine,
        );
    }
    assert!(stopped(&suspects).is_empty());
}

/// Many requests with the part run at the same time, and one engine after another crashes.
#[test]
fn part_is_stopped_soon_though_engines_crash_at_a_high_rate() {
    let mut suspects = Suspects::new(Subject::Part);
    for number in 0..40 {
        let sent_at = 1_000 + number * 50;
        crash(
            &mut suspects,
            &run(number, &[CULPRIT], sent_at),
            sent_at + 300,
        );
    }
    assert_eq!(stopped(&suspects), [CULPRIT]);
}

/// Engines that go down and up, or lose connections, have not begun to answer.
#[test]
fn runs_that_had_no_response_stop_no_part_where_engines_go_down_and_up() {
    let mut suspects = Suspects::new(Subject::Part);
    for number in 0..60 {
        let mut run = run(number % 6, &[CULPRIT], 1_000 + number * 100);
        run.begun = false;
        crash(&mut suspects, &run, run.sent_at + 10);
    }
    assert!(stopped(&suspects).is_empty());
}

#[test]
fn runs_that_had_no_response_do_not_hide_those_that_had_begun() {
    let mut suspects = Suspects::new(Subject::Part);
    for number in 0..3 {
        let sent_at = 1_000 + number * 1_000;
        let mut waiting = run(100 + number, &[CULPRIT], sent_at);
        waiting.begun = false;
        crash(&mut suspects, &waiting, sent_at + 50);
        crash(
            &mut suspects,
            &run(number, &[CULPRIT], sent_at),
            sent_at + 100,
        );
    }
    assert_eq!(stopped(&suspects), [CULPRIT]);
}

/// A run that ends with its engine before a response.
fn crash_waiting(suspects: &mut Suspects, engine: u64, parts: &[u64], sent_at: u64) {
    let mut run = run(engine, parts, sent_at);
    run.begun = false;
    crash(suspects, &run, sent_at + 50);
}

fn answer_others(suspects: &mut Suspects, count: u64, now: u64) {
    for number in 0..count {
        suspects.record_answer(&SERVICE.into(), &[COMMON, 1_000_000 + number], now);
    }
}

/// Each crash ends other waiting runs as well.
#[test]
fn part_that_crashes_engines_before_they_respond_is_stopped_by_the_fifth_crash() {
    let mut suspects = Suspects::new(Subject::Part);
    answer_others(&mut suspects, 100, 500);
    for number in 0..5 {
        let sent_at = 1_000 + number * 1_000;
        for waiting in 0..4 {
            let parts = [COMMON, 100 * (waiting + 1) + number];
            crash_waiting(&mut suspects, number, &parts, sent_at);
        }
        crash_waiting(&mut suspects, number, &[COMMON, CULPRIT], sent_at);
        answer_others(&mut suspects, 30, sent_at + 500);
    }
    assert_eq!(stopped(&suspects), [CULPRIT]);
}

/// Of four runs one ends with its engine, and those of one part do so eight times in turn.
#[test]
fn sound_part_is_not_stopped_where_engines_crash_often_before_they_respond() {
    let mut suspects = Suspects::new(Subject::Part);
    for number in 0..200 {
        let sent_at = 1_000 + number * 100;
        crash_waiting(&mut suspects, number, &[10_000 + number], sent_at);
        answer_others(&mut suspects, 3, sent_at + 60);
        if number % 20 == 0 && number < 160 {
            crash_waiting(&mut suspects, 1_000 + number, &[CULPRIT], sent_at + 70);
        }
    }
    assert!(stopped(&suspects).is_empty());
}

/// All engines of one service crash under what waits, and another service answers.
#[test]
fn answers_of_another_service_stop_no_part_of_one_whose_engines_crash() {
    let mut suspects = Suspects::new(Subject::Part);
    for number in 0..8 {
        let sent_at = 1_000 + number * 1_000;
        crash_waiting(&mut suspects, number, &[CULPRIT], sent_at);
        for _ in 0..200 {
            suspects.record_answer(&"tagging".into(), &[COMMON], sent_at + 500);
        }
    }
    assert!(stopped(&suspects).is_empty());
}

/// Without other runs the node cannot tell such a crash from one by chance.
#[test]
fn waiting_runs_count_little_where_nothing_else_was_answered() {
    let mut suspects = Suspects::new(Subject::Part);
    for number in 0..11 {
        crash_waiting(&mut suspects, number, &[CULPRIT], 1_000 + number * 1_000);
    }
    assert!(stopped(&suspects).is_empty());
}

#[test]
fn run_that_brings_an_event_clears_the_parts_it_has() {
    let mut suspects = Suspects::new(Subject::Part);
    for round in 0..10 {
        crash_in_turn(&mut suspects, &[COMMON], 2, round * 10_000);
        suspects.record_answer(&SERVICE.into(), &[COMMON], round * 10_000 + 5_000);
    }
    assert!(stopped(&suspects).is_empty());
    crash_in_turn(&mut suspects, &[COMMON], 6, 200_000);
    assert_eq!(stopped(&suspects), [COMMON]);
    assert_eq!(
        suspects.record_answer(&SERVICE.into(), &[COMMON], 210_000),
        [COMMON]
    );
    assert!(stopped(&suspects).is_empty());
}

#[test]
fn request_is_not_sent_again_after_the_second_crash_of_its_part() {
    let mut suspects = Suspects::new(Subject::Part);
    let retry =
        |suspects: &mut Suspects| suspects.clearance([CULPRIT].into_iter(), false, true, 5_000);
    crash_in_turn(&mut suspects, &[CULPRIT], 1, 1_000);
    assert_eq!(retry(&mut suspects), Clearance::Clear);
    crash_in_turn(&mut suspects, &[CULPRIT], 1, 3_000);
    assert!(matches!(
        retry(&mut suspects),
        Clearance::Stopped(CULPRIT, _)
    ));
    let first = clearance(&mut suspects, CULPRIT, false, 5_000);
    assert_eq!(first, Clearance::Clear);
}

#[test]
fn stopped_part_is_tried_by_one_node_and_ever_more_rarely() {
    let mut suspects = Suspects::new(Subject::Part);
    crash_in_turn(&mut suspects, &[CULPRIT], 3, 1_000);
    let mut trials = Vec::new();
    for now in (4_000..1_000_000).step_by(1_000) {
        assert!(matches!(
            clearance(&mut suspects, CULPRIT, false, now),
            Clearance::Stopped(CULPRIT, _)
        ));
        if clearance(&mut suspects, CULPRIT, true, now) == Clearance::Trial(CULPRIT) {
            trials.push(now);
            crash(
                &mut suspects,
                &run(1_000_000 + now, &[CULPRIT], now),
                now + 100,
            );
        }
    }
    let gaps: Vec<u64> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(trials[0] >= 63_000, "{trials:?}");
    assert!(
        gaps.windows(2).all(|pair| pair[1] > pair[0] * 3 / 2),
        "{gaps:?}"
    );
    assert!((2..5).contains(&trials.len()), "{trials:?}");
}

#[test]
fn evidence_against_many_parts_takes_bounded_memory_and_keeps_the_stopped_ones() {
    let mut suspects = Suspects::new(Subject::Part);
    crash_in_turn(&mut suspects, &[CULPRIT], 3, 1_000);
    for number in 0..10_000 {
        let parts = [100_000 + number];
        crash(&mut suspects, &run(number, &parts, 10_000), 10_100);
        suspects.record_answer(&SERVICE.into(), &[200_000 + number], 10_100);
    }
    assert!(suspects.list(10_200).len() <= 512);
    assert_eq!(stopped(&suspects), [CULPRIT]);
}

/// A node that still holds a part for crashing is told that it was cleared.
#[test]
fn clearing_reaches_a_node_that_missed_it() {
    let (mut one, mut other) = (Suspects::new(Subject::Part), Suspects::new(Subject::Part));
    crash_in_turn(&mut one, &[CULPRIT], 3, 1_000);
    for part in one.take_news(4_000) {
        other.merge(&part, false, 4_000);
    }
    assert_eq!(stopped(&other), [CULPRIT]);
    one.record_answer(&SERVICE.into(), &[CULPRIT], 5_000);
    let lost = one.take_news(5_000);
    assert_eq!(lost.len(), 1);
    for part in other.take_news(8_000) {
        one.merge(&part, false, 8_000);
    }
    for part in one.take_news(8_010) {
        other.merge(&part, false, 8_010);
    }
    assert!(stopped(&other).is_empty());
}

fn deliver(to: &mut Suspects, parts: &[SuspectRecord], now: u64) {
    for part in parts {
        to.merge(part, false, now);
    }
}

proptest! {
    /// Nodes that have all evidence agree, whatever its order and however often it comes.
    #[test]
    fn nodes_agree_once_they_have_the_same_evidence(
        events in prop::collection::vec((0..3_usize, 0..4_u64, any::<bool>()), 1..40),
    ) {
        let mut nodes = [(); 3].map(|()| Suspects::new(Subject::Part));
        for (number, (node, part, is_crash)) in events.into_iter().enumerate() {
            let now = 1_000 + number as u64 * 1_000;
            if is_crash {
                crash(&mut nodes[node], &run(number as u64, &[part], now), now + 100);
            } else {
                nodes[node].record_answer(&SERVICE.into(), &[part], now);
            }
        }
        for _ in 0..3 {
            for from in 0..3 {
                let parts = nodes[from].list(100_000);
                for node in &mut nodes {
                    deliver(node, &parts, 100_000);
                }
            }
        }
        prop_assert_eq!(stopped(&nodes[0]), stopped(&nodes[1]));
        prop_assert_eq!(stopped(&nodes[0]), stopped(&nodes[2]));
    }
}
