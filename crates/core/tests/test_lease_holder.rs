//! The lease as its holder sees it, compared with the lease table of the log.

mod common;

use common::node;
use flamingolock_core::lease::{LeaseTable, LeaseVerdict};
use flamingolock_core::lease_holder::{LeaseHolder, LeaseSettings, OrderDecision};
use flamingolock_core::prelude::*;
use flamingolock_core::record::{LeaseGrant, Record, RecordId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn settings() -> LeaseSettings {
    LeaseSettings {
        name: "placement".into(),
        duration: Millis(900),
        margin: Millis(100),
        longest_order: Millis(50),
    }
}

/// Applies a record of the holder to the table at one log time.
fn apply(table: &mut LeaseTable, offset: u64, at: u64, record: &Record) -> LeaseVerdict {
    let (offset, at) = (Offset(offset), Millis(at));
    match record {
        Record::LeaseGrant(grant) => table.grant(offset, at, grant),
        Record::LeaseRenew(renew) => table.renew(at, renew),
        Record::LeaseRelease(release) => table.release(at, release),
        other => panic!("{other:?}"),
    }
}

/// Sends a request at `sent`. The verdict is made at log time `logged` and reaches the
/// holder at `seen`.
fn request(holder: &mut LeaseHolder, table: &mut LeaseTable, sent: u64, logged: u64, seen: u64) {
    let id = RecordId(format!("r{sent:08}"));
    // A candidate first waits for a delay of up to a third of the duration.
    let (lease, at) = (table.get("placement").cloned(), Millis(logged));
    let early = holder.next_request(Millis(sent - 300), &id, lease.as_ref(), at);
    assert_eq!(early, None);
    let record = holder.next_request(Millis(sent), &id, lease.as_ref(), at);
    let record = record.expect("a request is due");
    let verdict = apply(table, sent, logged, &record);
    let lease = table.get("placement").unwrap();
    holder.apply_verdict(Millis(seen), &id, &verdict, lease);
}

fn may_order(holder: &LeaseHolder, now: u64) -> bool {
    matches!(
        holder.authorize_order(Millis(now), true),
        OrderDecision::Allowed(_)
    )
}

#[test]
fn the_holder_stops_before_the_log_does() {
    let mut table = LeaseTable::default();
    let mut holder = LeaseHolder::new(node("a", 1), settings());
    assert!(!may_order(&holder, 0));
    // The append was slow. The duration counts from before the append.
    request(&mut holder, &mut table, 1000, 1400, 1500);
    assert!(may_order(&holder, 1799));
    assert!(!may_order(&holder, 1800));
}

#[test]
fn a_paused_holder_detects_the_expiry() {
    let mut table = LeaseTable::default();
    let mut holder = LeaseHolder::new(node("a", 1), settings());
    request(&mut holder, &mut table, 1000, 1000, 1000);
    assert!(may_order(&holder, 1001));
    let rival = LeaseGrant {
        name: "placement".into(),
        holder: node("b", 1),
        duration: Millis(900),
    };
    let granted = table.grant(Offset(5000), Millis(1900), &rival);
    assert_eq!(granted, LeaseVerdict::Granted(Offset(5000)));
    assert!(
        !may_order(&holder, 9000),
        "the lease expires on the holder's own clock"
    );
}

#[test]
fn renewals_extend_and_late_verdicts_on_unknown_records_do_not() {
    let mut table = LeaseTable::default();
    let mut holder = LeaseHolder::new(node("a", 1), settings());
    request(&mut holder, &mut table, 1000, 1000, 1000);
    let (early, lease) = (RecordId::from("early"), table.get("placement"));
    assert_eq!(
        holder.next_request(Millis(1299), &early, lease, Millis(1299)),
        None
    );
    request(&mut holder, &mut table, 1300, 1310, 1320);
    assert!(may_order(&holder, 2099));
    let lease = table.get("placement").unwrap().clone();
    let renewed = LeaseVerdict::Renewed(Offset(1000));
    holder.apply_verdict(Millis(2050), &RecordId::from("other"), &renewed, &lease);
    assert!(!may_order(&holder, 2100));
}

#[test]
fn a_new_holder_waits_out_the_previous_ones_orders() {
    let mut table = LeaseTable::default();
    let mut old = LeaseHolder::new(node("a", 1), settings());
    request(&mut old, &mut table, 1000, 1000, 1000);
    let mut new = LeaseHolder::new(node("b", 1), settings());
    request(&mut new, &mut table, 1895, 1900, 1910);
    // The old lease ended at 1900 and an order takes 50 at most.
    let wait = new.authorize_order(Millis(1911), false);
    assert_eq!(wait, OrderDecision::WaitUntil(Millis(1960)));
    assert!(
        may_order(&new, 1911),
        "no wait is needed for an engine that checks fencing numbers"
    );
    assert!(matches!(
        new.authorize_order(Millis(1960), false),
        OrderDecision::Allowed(_)
    ));
}

#[test]
fn a_release_frees_the_lease_at_once() {
    let mut table = LeaseTable::default();
    let mut old = LeaseHolder::new(node("a", 1), settings());
    request(&mut old, &mut table, 1000, 1000, 1000);
    let release = old.release().unwrap();
    assert!(!may_order(&old, 1001));
    apply(&mut table, 1, 1100, &release);
    let mut new = LeaseHolder::new(node("b", 1), settings());
    request(&mut new, &mut table, 1100, 1100, 1100);
    assert!(matches!(
        new.authorize_order(Millis(1100), false),
        OrderDecision::Allowed(_)
    ));
}

#[test]
fn a_renewal_under_way_does_not_bring_a_released_lease_back() {
    let mut table = LeaseTable::default();
    let mut holder = LeaseHolder::new(node("a", 1), settings());
    request(&mut holder, &mut table, 1000, 1000, 1000);
    let lease = table.get("placement").cloned();
    let id = RecordId::from("renewal");
    let renewal = holder
        .next_request(Millis(1300), &id, lease.as_ref(), Millis(1300))
        .unwrap();
    holder.release().unwrap();
    let verdict = apply(&mut table, 2, 1310, &renewal);
    assert_eq!(verdict, LeaseVerdict::Renewed(Offset(1000)));
    let lease = table.get("placement").cloned().unwrap();
    holder.apply_verdict(Millis(1320), &id, &verdict, &lease);
    assert!(!may_order(&holder, 1321));
    let next = RecordId::from("next");
    assert_eq!(
        holder.next_request(Millis(1700), &next, Some(&lease), Millis(1700)),
        None
    );
}

#[test]
fn candidates_wait_while_another_holds_it_and_then_for_a_share_each() {
    let mut table = LeaseTable::default();
    let mut old = LeaseHolder::new(node("a", 1), settings());
    request(&mut old, &mut table, 1000, 1000, 1000);
    let lease = table.get("placement");
    let mut first_asks: Vec<u64> = Vec::new();
    for n in 0..100 {
        let mut candidate = LeaseHolder::new(node(&format!("n{n}"), 1), settings());
        let asks = |now: &u64| {
            let id = RecordId::from("x");
            candidate
                .next_request(Millis(*now), &id, lease, Millis(*now))
                .is_some()
        };
        first_asks.extend((1000..3000).find(asks));
    }
    first_asks.sort_unstable();
    assert_eq!(first_asks.len(), 100);
    assert!(first_asks[0] >= 1900, "the lease is in force until then");
    assert!(
        first_asks[99] <= 2200,
        "all ask within a third of the duration"
    );
    assert!(
        first_asks[50] > first_asks[0] + 50,
        "they do not ask at the same time"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two nodes with different clocks send requests at any times, with any delays and
    /// pauses. They never both hold the lease at the same true time.
    #[test]
    fn no_two_holders_act_at_once(
        steps in prop::collection::vec((0..2_usize, 1..700_u64, 0..200_u64, 0..400_u64), 1..60),
        offsets in (0..100_000_u64, 0..100_000_u64),
    ) {
        let clocks = [offsets.0, offsets.1];
        let mut table = LeaseTable::default();
        let mut holders = [
            LeaseHolder::new(node("a", 1), settings()),
            LeaseHolder::new(node("b", 1), settings()),
        ];
        let mut now = 0;
        for (step, (who, pause, to_log, to_node)) in steps.into_iter().enumerate() {
            now += pause;
            let id = RecordId(format!("r{step:04}"));
            let (lease, clock) = (table.get("placement"), Millis(now + clocks[who]));
            let Some(record) = holders[who].next_request(clock, &id, lease, Millis(now)) else {
                continue;
            };
            now += to_log;
            let verdict = apply(&mut table, step as u64, now, &record);
            now += to_node;
            if let Some(lease) = table.get("placement") {
                holders[who].apply_verdict(Millis(now + clocks[who]), &id, &verdict, lease);
            }
            let both = (0..2).all(|n| may_order(&holders[n], now + clocks[n]));
            prop_assert!(!both, "both hold the lease at {now}");
        }
    }
}
