//! Fair queueing: shares, bounded waits, priorities, and that nothing is lost.

use std::collections::{BTreeMap, BTreeSet};

use flamingolock_core::fair_queue::{FairQueue, PushOutcome, QueuedRequest};
use flamingolock_core::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NEVER: Millis = Millis(u64::MAX);

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn item(number: usize, workspace: usize, weight: f64, priority: u8, cost: f64) -> QueuedRequest {
    QueuedRequest {
        request: format!("r{number:06}").into(),
        workspace: format!("w{workspace}").into(),
        weight,
        priority,
        cost,
        deadline: NEVER,
    }
}

proptest! {
    #![proptest_config(config(2))]

    /// Service of workspaces that stay backlogged differs from their shares by at
    /// most one request each.
    #[test]
    fn shares_follow_weights(
        weights in vec(1..20u32, 2..6),
        costs in vec(1..1000u32, 400),
        count in 50..200usize,
    ) {
        let mut queue = FairQueue::new();
        let mut costs = costs.into_iter().cycle();
        let mut number = 0;
        let mut push = |queue: &mut FairQueue, workspace: usize| {
            number += 1;
            let cost = f64::from(costs.next().unwrap());
            queue.push(item(number, workspace, f64::from(weights[workspace]), 0, cost));
        };
        for workspace in 0..weights.len() {
            push(&mut queue, workspace);
            push(&mut queue, workspace);
        }
        let mut served = vec![0.0; weights.len()];
        for _ in 0..count {
            let popped = queue.pop().unwrap();
            let workspace: usize = popped.workspace.as_str()[1..].parse().unwrap();
            served[workspace] += popped.cost;
            push(&mut queue, workspace);
        }
        let normal: Vec<f64> = served.iter().zip(&weights).map(|(s, w)| s / f64::from(*w)).collect();
        for (a, first) in normal.iter().enumerate() {
            for (b, second) in normal.iter().enumerate() {
                let bound = 1000.0 / f64::from(weights[a]) + 1000.0 / f64::from(weights[b]);
                prop_assert!((first - second).abs() <= bound, "{normal:?} for {weights:?}");
            }
        }
    }

    /// A newcomer waits for at most one request of each backlogged workspace,
    /// however many they have queued.
    #[test]
    fn flood_does_not_delay_newcomer(
        floods in 1..5usize,
        depth in 1..100usize,
        served in 0..50usize,
        cost in 1..1000u32,
    ) {
        let mut queue = FairQueue::new();
        for number in 0..floods * depth {
            queue.push(item(number, number % floods, 1.0, 0, f64::from(cost)));
        }
        for _ in 0..served.min(floods * depth - 1) {
            queue.pop();
        }
        let expected = queue.work_ahead(&"small".into(), 1.0, 0);
        queue.push(QueuedRequest { workspace: "small".into(), ..item(999_999, 0, 1.0, 0, 1.0) });
        let before = std::iter::from_fn(|| queue.pop())
            .take_while(|popped| popped.workspace.as_str() != "small")
            .count();
        prop_assert!(before <= floods);
        prop_assert!((expected.requests - before as f64).abs() <= floods as f64);
    }

    /// Every request leaves exactly once, by service, cancellation or expiry, and
    /// a workspace's requests are served by priority, then in order of arrival.
    #[test]
    fn nothing_is_lost_or_doubled(ops in vec((0..10u8, 0..4usize, 0..3u8, 1..50u32), 0..200)) {
        let mut queue = FairQueue::new();
        let mut waiting: BTreeMap<RequestId, QueuedRequest> = BTreeMap::new();
        let mut now = Millis(0);
        for (number, (kind, workspace, priority, cost)) in ops.into_iter().enumerate() {
            match kind {
                0..=4 => {
                    let mut new = item(number, workspace, 1.0, priority, f64::from(cost));
                    new.deadline = now + Millis(u64::from(cost));
                    prop_assert_eq!(queue.push(new.clone()), PushOutcome::Added);
                    prop_assert_eq!(queue.push(new.clone()), PushOutcome::Duplicate);
                    waiting.insert(new.request.clone(), new);
                }
                5 | 6 => {
                    let Some(popped) = queue.pop() else {
                        prop_assert!(waiting.is_empty());
                        continue;
                    };
                    let first = waiting.values()
                        .filter(|other| other.workspace == popped.workspace)
                        .min_by_key(|other| (u8::MAX - other.priority, other.request.clone()));
                    prop_assert_eq!(first, Some(&popped));
                    waiting.remove(&popped.request);
                }
                7 | 8 => {
                    let at = cost as usize % waiting.len().max(1);
                    let Some(request) = waiting.keys().nth(at).cloned() else { continue };
                    prop_assert_eq!(queue.cancel(&request), waiting.remove(&request));
                    prop_assert_eq!(queue.cancel(&request), None);
                }
                _ => {
                    now = now + Millis(u64::from(cost) / 4);
                    let expired: BTreeSet<_> =
                        queue.expire(now).into_iter().map(|gone| gone.request).collect();
                    let due: BTreeSet<_> = waiting.values()
                        .filter(|waits| waits.deadline <= now)
                        .map(|waits| waits.request.clone())
                        .collect();
                    prop_assert_eq!(&expired, &due);
                    waiting.retain(|request, _| !due.contains(request));
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            let next = waiting.values().map(|waits| waits.deadline).min();
            prop_assert_eq!(queue.next_deadline(), next);
        }
        let rest: BTreeSet<_> = queue.drain().into_iter().map(|left| left.request).collect();
        prop_assert_eq!(rest, waiting.into_keys().collect::<BTreeSet<_>>());
    }

    /// The estimate equals the service that really precedes, up to one request of
    /// each workspace.
    #[test]
    fn estimate_matches_service(
        queued in vec((0..6usize, 1..500u32), 1..100),
        served in 0..20usize,
    ) {
        let mut queue = FairQueue::new();
        for (number, &(workspace, cost)) in queued.iter().enumerate() {
            queue.push(item(number, workspace, 1.0 + workspace as f64, 0, f64::from(cost)));
        }
        for _ in 0..served.min(queued.len() - 1) {
            queue.pop();
        }
        let expected = queue.work_ahead(&"w0".into(), 1.0, 0);
        queue.push(item(999_999, 0, 1.0, 0, 1.0));
        let before: f64 = std::iter::from_fn(|| queue.pop())
            .take_while(|popped| popped.request.as_str() != "r999999")
            .map(|popped| popped.cost)
            .sum();
        prop_assert!(
            (expected.cost - before).abs() <= 6.0 * 500.0,
            "{} expected, {before} served", expected.cost,
        );
    }
}

#[test]
fn charges_what_the_request_costs_when_served() {
    let mut queue = FairQueue::new();
    for number in 0..4 {
        queue.push(item(number, number % 2, 1.0, 0, 100.0));
    }
    let order: Vec<_> = (0..4)
        .filter_map(|_| {
            queue.pop_charging(|item| {
                if item.workspace.as_str() == "w0" {
                    1.0
                } else {
                    100.0
                }
            })
        })
        .map(|popped| popped.request.to_string())
        .collect();
    assert_eq!(order, ["r000000", "r000001", "r000002", "r000003"]);
    let mut queue = FairQueue::new();
    for number in 0..6 {
        queue.push(item(number, usize::from(number >= 3), 1.0, 0, 100.0));
    }
    let cheap = |item: &QueuedRequest| {
        if item.workspace.as_str() == "w0" {
            1.0
        } else {
            100.0
        }
    };
    let order: Vec<_> = (0..4)
        .filter_map(|_| queue.pop_charging(cheap))
        .map(|popped| popped.workspace.to_string())
        .collect();
    assert_eq!(order, ["w0", "w1", "w0", "w0"]);
}

#[test]
fn estimate_leaves_out_workspaces_with_later_turns() {
    let mut queue = FairQueue::new();
    for number in 0..6 {
        let cost = if number < 3 { 100.0 } else { 150.0 };
        queue.push(item(number, number % 3, 1.0, 0, cost));
    }
    (0..3).for_each(|_| drop(queue.pop()));
    let newcomer = queue.work_ahead(&"small".into(), 1.0, 0);
    assert_eq!((newcomer.cost, newcomer.requests), (0.0, 0.0));
    let third = queue.work_ahead(&"w2".into(), 1.0, 0);
    assert_eq!((third.cost, third.requests), (450.0, 3.0));
}
