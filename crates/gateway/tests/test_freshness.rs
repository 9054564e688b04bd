//! Tests of when a node reads the store itself.

use std::time::Duration;

use flamingolock_gateway::control::freshness::{CopyReport, Freshness, ReadSchedule};

const BOUND: Duration = Duration::from_secs(2);

fn report(mark: u64, age: u64) -> CopyReport {
    CopyReport { mark, age }
}

/// Returns a copy that was read at 1,000 ms.
fn copy(mut copy: Freshness) -> Freshness {
    copy.read_started(990);
    copy.read_finished(1_000);
    copy
}

#[test]
fn node_without_a_copy_reads_at_once() {
    let mut copy = Freshness::default();
    assert!(copy.is_due(1_000, 5_000));
    copy.read_started(5_000);
    assert!(!copy.is_due(1_000, 9_000), "one read at a time");
    assert_eq!(copy.report(7, 5_000), None);
}

#[test]
fn node_reads_once_its_copy_is_too_old() {
    let copy = copy(Freshness::default());
    assert!(!copy.is_due(1_000, 1_999));
    assert!(copy.is_due(1_000, 2_000));
    assert_eq!(copy.report(7, 1_300), Some(report(7, 300)));
}

#[test]
fn report_of_an_equal_copy_postpones_the_read() {
    let mut copy = copy(Freshness::default());
    copy.peer_reported(report(7, 100), 7, 1_900);
    assert!(!copy.is_due(1_000, 2_700));
    assert!(copy.is_due(1_000, 2_800));
}

#[test]
fn report_of_a_different_copy_causes_a_read_only_if_it_is_newer() {
    let mut older = copy(Freshness::default());
    older.peer_reported(report(8, 500), 7, 1_200);
    assert!(!older.is_due(1_000, 1_200));
    let mut newer = copy(Freshness::default());
    newer.peer_reported(report(8, 100), 7, 1_200);
    assert!(newer.is_due(1_000, 1_200));
    newer.read_started(1_200);
    newer.read_finished(1_205);
    assert!(!newer.is_due(1_000, 1_400));
}

#[test]
fn greater_mark_of_an_ordered_copy_is_newer_whatever_its_age() {
    let mut copy = copy(Freshness::ordered());
    copy.peer_reported(report(6, 0), 7, 1_200);
    assert!(!copy.is_due(1_000, 1_200));
    copy.peer_reported(report(8, 900), 7, 1_200);
    assert!(copy.is_due(1_000, 1_200));
}

#[test]
fn failed_read_is_retried_after_a_delay() {
    let mut copy = copy(Freshness::default());
    copy.read_started(2_000);
    copy.read_failed(2_400);
    assert!(!copy.is_due(1_000, 2_399));
    assert!(copy.is_due(1_000, 2_400));
}

/// The node that reads for all others may die just after a read. Every other node
/// must then start its own read early enough for the call to return within the
/// bound.
#[test]
fn every_rank_reads_within_the_bound_less_one_call() {
    for bound in [BOUND, Duration::from_secs(3)] {
        for hops in 1..=2 {
            let pace = ReadSchedule::new(bound, 0, hops);
            assert_eq!(pace.max_age, pace.read_interval);
            for rank in [1, 2, 8, usize::MAX] {
                let other = ReadSchedule::new(bound, rank, hops);
                assert!(other.max_age + 450 <= bound.as_millis() as u64);
                assert!(other.max_age >= pace.read_interval + 250 * hops as u64);
            }
        }
    }
}
