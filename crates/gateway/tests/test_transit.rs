//! Delays of datagrams, from the clock readings that they carry.

use flamingolock_gateway::control::transit::{LateReport, Transits};

#[test]
fn delay_is_that_beyond_the_fastest_datagram_of_its_sender() {
    let mut transits = Transits::default();
    // The clock of the first sender is 5,000 ms ahead, that of the second one 900 ms behind.
    assert_eq!(transits.delay(1, 6_003, 1_010), 0);
    assert_eq!(transits.delay(2, 100, 1_010), 0);
    assert_eq!(transits.delay(1, 6_050, 1_052), 0);
    assert_eq!(transits.delay(1, 6_100, 1_402), 300);
    assert_eq!(transits.delay(2, 200, 1_135), 25);
}

#[test]
fn offset_of_a_clock_that_drifts_is_forgotten() {
    let mut transits = Transits::default();
    let minute = 60_000;
    transits.delay(1, 50_000, 1_000);
    assert_eq!(transits.delay(1, 50_000 + minute, 1_030 + minute), 30);
    transits.delay(1, 50_000 + 10 * minute, 1_030 + 10 * minute);
    assert_eq!(
        transits.delay(1, 50_000 + 20 * minute, 1_030 + 20 * minute),
        0
    );
}

#[test]
fn late_datagrams_are_reported_once_a_second_and_once_after_the_last() {
    let mut transits = Transits::default();
    transits.delay(1, 2_000, 2_000);
    assert_eq!(transits.take_report(2_000), None);
    transits.delay(1, 2_100, 2_700);
    transits.delay(1, 2_750, 2_751);
    assert_eq!(transits.take_report(2_900), None);
    let report = LateReport {
        datagrams: 2,
        late: 1,
        max_delay: 600,
    };
    assert_eq!(transits.take_report(3_000), Some(report));
    transits.delay(1, 3_500, 3_500);
    let after = transits.take_report(4_000).map(|report| report.late);
    assert_eq!(after, Some(0));
    assert_eq!(transits.take_report(5_000), None);
}
