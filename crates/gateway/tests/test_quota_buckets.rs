//! Token buckets of a workspace's quota, at one owner and at successive ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flamingolock_gateway::control::quota_buckets::{
    Ask, AskKey, BucketKey, QuotaBound, QuotaBuckets, QuotaDecision,
};
use flamingolock_gateway::workspaces::{Quota, QuotaUnit};
use proptest::prelude::*;

const WINDOW_MS: u64 = 8_000;

/// Bound that the platform states.
const BOUND: QuotaBound = QuotaBound {
    window: WINDOW_MS,
    slack: 140_000.0,
};

/// Time from the gain of a bucket until it begins to fill, in ms.
const TAKEOVER_MS: u64 = 1_000;

/// Longest wait that the asks state, in ms.
const MAX_WAIT_MS: u64 = 200;

/// Part of the slack of the bound that each bucket may use, in tokens.
const SLACK: f64 = 70_000.0;

fn tokens(per_second: f64, burst: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Tokens { plain: 200 },
        per_second,
        burst,
    }
}

fn owned(quota: &Quota) -> BTreeMap<BucketKey, Quota> {
    BTreeMap::from([(("w".to_owned(), 0), quota.clone())])
}

fn node() -> SocketAddr {
    ([10, 0, 0, 1], 7_000).into()
}

fn key(number: u64) -> AskKey {
    (node(), number)
}

fn ask(cost: u32, max_wait: u64) -> Ask<'static> {
    Ask {
        workspace: "w",
        slot: 0,
        cost,
        max_wait,
    }
}

fn is_granted(decision: QuotaDecision) -> bool {
    matches!(decision, QuotaDecision::Granted(_))
}

/// Guards against a new owner that grants again what the former one has granted.
#[test]
fn bucket_starts_empty_on_each_gain() {
    let quota = tokens(10_000.0, 20_000.0);
    let mut buckets = QuotaBuckets::new(BOUND);
    for start in [0, 100_000] {
        buckets.own(&owned(&quota), 1.0, start);
        let early = buckets.decide(key(start), &ask(100, 0), start + TAKEOVER_MS);
        assert!(matches!(early, QuotaDecision::Refused(_)), "{early:?}");
        let at = start + TAKEOVER_MS + 2_000;
        assert!(is_granted(buckets.decide(
            key(start + 1),
            &ask(10_000, 0),
            at
        )));
        assert!(!is_granted(buckets.decide(
            key(start + 2),
            &ask(1_000, 0),
            at
        )));
        buckets.own(&BTreeMap::new(), 1.0, at);
        let lost = buckets.decide(key(start + 3), &ask(1, 0), at);
        assert_eq!(lost, QuotaDecision::NotOwner);
    }
}

/// Guards against grants that are returned twice, and those of an earlier ownership.
#[test]
fn grant_is_taken_back_once_and_in_the_same_ownership() {
    let quota = tokens(10_000.0, 20_000.0);
    let mut buckets = QuotaBuckets::new(BOUND);
    buckets.own(&owned(&quota), 1.0, 0);
    assert!(is_granted(buckets.decide(key(1), &ask(5_000, 0), 2_000)));
    assert!(!buckets.take_back(key(2), 2_000));
    assert!(buckets.take_back(key(1), 2_000));
    assert!(!buckets.take_back(key(1), 2_000));
    assert!(is_granted(buckets.decide(key(3), &ask(5_000, 0), 2_000)));
    let repeated = buckets.decide(key(3), &ask(5_000, 0), 9_000);
    assert_eq!(repeated, QuotaDecision::Repeated);
    buckets.own(&BTreeMap::new(), 1.0, 9_000);
    buckets.own(&owned(&quota), 1.0, 9_000);
    assert!(!buckets.take_back(key(3), 9_000));
}

/// Guards against refusals of requests that the quota allows but half of its burst does not.
#[test]
fn request_larger_than_half_of_the_burst_is_granted() {
    let quota = tokens(36_000.0, 36_000.0);
    let mut buckets = QuotaBuckets::new(BOUND);
    buckets.own(&owned(&quota), 1.0, 0);
    assert!(is_granted(buckets.decide(key(1), &ask(70_000, 0), 20_000)));
    let large = ask(110_000, 0);
    assert!(!is_granted(buckets.decide(key(2), &large, 21_000)));
    assert!(is_granted(buckets.decide(key(3), &large, 40_000)));
    // The balance is negative now.
    assert!(!is_granted(buckets.decide(key(4), &ask(100, 0), 41_000)));
}

/// Guards against an overdraft on both sides of a partition, and just after a gain.
#[test]
fn bucket_is_not_overdrawn_in_a_partition_or_after_a_gain() {
    let quota = tokens(36_000.0, 36_000.0);
    let mut buckets = QuotaBuckets::new(BOUND);
    buckets.own(&owned(&quota), 0.5, 0);
    assert!(!is_granted(buckets.decide(key(1), &ask(70_000, 0), 40_000)));
    assert!(is_granted(buckets.decide(key(2), &ask(30_000, 0), 40_000)));
    buckets.clear();
    buckets.own(&owned(&quota), 1.0, 50_000);
    assert!(!is_granted(buckets.decide(
        key(3),
        &ask(110_000, 0),
        58_000
    )));
}

/// Guards against clients that all return at the moment at which there is quota for one.
#[test]
fn refused_clients_return_one_after_the_other() {
    let quota = tokens(20_000.0, 1_000.0);
    let mut buckets = QuotaBuckets::new(BOUND);
    buckets.own(&owned(&quota), 1.0, 0);
    let mut times = Vec::new();
    for number in 0..4 {
        match buckets.decide(key(number), &ask(10_000, 0), TAKEOVER_MS) {
            QuotaDecision::Refused(after) => times.push(after),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(times, [1_000, 2_000, 3_000, 4_000]);
}

/// Guards against a quota in requests that the size of a prompt changes.
#[test]
fn requests_are_counted_by_number() {
    let quota = Quota {
        unit: QuotaUnit::Requests,
        per_second: 2.0,
        burst: 8.0,
    };
    assert_eq!(quota.cost(5_000, 64), 1);
    let mut buckets = QuotaBuckets::new(BOUND);
    buckets.own(&owned(&quota), 1.0, 0);
    let granted = (0..20).filter(|number| {
        let decision = buckets.decide(key(*number), &ask(1, 0), 60_000);
        is_granted(decision)
    });
    assert_eq!(granted.count(), 4);
}

#[test]
fn no_request_is_free() {
    assert_eq!(tokens(1.0, 1.0).cost(0, 0), 200);
    assert_eq!(tokens(1.0, 1.0).cost(500, 64), 564);
    let mut free = tokens(1.0, 1.0);
    free.unit = QuotaUnit::Tokens { plain: 0 };
    assert_eq!(free.cost(0, 0), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Ask {
        cost: u32,
        max_wait: u64,
    },
    /// Returns a grant that was made so many grants before.
    Return(usize),
    Pass(u64),
    ChangeOwner,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (1u32..20_000, 0..=MAX_WAIT_MS).prop_map(|(cost, max_wait)| Step::Ask { cost, max_wait }),
        3 => (0usize..40).prop_map(Step::Return),
        8 => (1u64..400).prop_map(Step::Pass),
        1 => Just(Step::ChangeOwner),
    ]
}

proptest! {
    /// Guards against any sequence of owners and returns with which a window holds more than
    /// the quota.
    #[test]
    fn successive_owners_grant_no_more_than_the_quota(
        steps in prop::collection::vec(step(), 1..400),
        per_second in 1_000.0f64..200_000.0,
    ) {
        let quota = tokens(per_second, per_second);
        let mut owners = [QuotaBuckets::new(BOUND), QuotaBuckets::new(BOUND)];
        let (mut owner, mut now, mut number) = (0, 10_000, 0);
        owners[owner].own(&owned(&quota), 1.0, now);
        // Time at which it is usable, cost and number of each grant.
        let mut granted: Vec<(u64, u32, u64)> = Vec::new();
        for step in steps {
            match step {
                Step::Ask { cost, max_wait } => {
                    number += 1;
                    let decision = owners[owner].decide(key(number), &ask(cost, max_wait), now);
                    if let QuotaDecision::Granted(after) = decision {
                        prop_assert!(after <= max_wait);
                        granted.push((now + after, cost, number));
                    }
                }
                Step::Return(back) => {
                    let place = granted.len().checked_sub(back + 1);
                    if let Some(place) = place {
                        let (_, _, number) = granted.remove(place);
                        owners[owner].take_back(key(number), now);
                    }
                }
                Step::Pass(time) => {
                    now += time;
                    owners[owner].own(&owned(&quota), 1.0, now);
                }
                Step::ChangeOwner => {
                    owners[owner].own(&BTreeMap::new(), 1.0, now);
                    owner = 1 - owner;
                    owners[owner].own(&owned(&quota), 1.0, now);
                }
            }
        }
        let capacity = per_second / 2.0 + SLACK;
        let time = (WINDOW_MS + MAX_WAIT_MS + 2) as f64 / 1_000.0;
        for (from, _, _) in &granted {
            let window = granted.iter().filter(|(at, _, _)| (*from..from + WINDOW_MS).contains(at));
            let sum: f64 = window.map(|(_, cost, _)| f64::from(*cost)).sum();
            prop_assert!(sum <= capacity + per_second / 2.0 * time, "{sum}");
        }
    }
}
