//! Entries: order, size, balance and stability of the subsets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use flamingolock_core::entries::{Caller, EntriesAnswer, Entry, LIFETIME, MIN_ENTRIES, choose};
use flamingolock_core::members::Instance;
use flamingolock_core::membership::{Input, Membership};
use flamingolock_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn instances(count: usize, zones: usize) -> Vec<Instance> {
    (0..count)
        .map(|index| {
            let address = SocketAddr::from(([10, 0, 1, 1], 1000 + index as u16));
            Instance {
                name: format!("node-{index}").into(),
                address,
                peer_address: address,
                zone: format!("zone-{}", index % zones).into(),
                leaving: false,
            }
        })
        .collect()
}

fn ask(live: &[Instance], workspace: &str, share: f64, zone: &str, salt: u64) -> Vec<Entry> {
    let caller = Caller {
        workspace: &workspace.into(),
        share,
        zone: &zone.into(),
        salt,
    };
    choose(live, &caller)
}

fn names(entries: &[Entry]) -> BTreeSet<InstanceId> {
    entries.iter().map(|entry| entry.name.clone()).collect()
}

#[test]
fn the_own_zone_comes_first_and_no_zone_is_left_out() {
    let live = instances(9, 3);
    for zone in ["zone-0", "zone-1", "zone-2"] {
        let entries = ask(&live, "qasr", 0.1, zone, 4);
        assert_eq!(entries[0].zone, zone.into());
        let zones: Vec<&Zone> = entries.iter().map(|entry| &entry.zone).collect();
        let distinct: BTreeSet<&Zone> = zones.iter().copied().collect();
        assert_eq!(distinct.len(), 3);
        assert_eq!(entries.len(), MIN_ENTRIES);
    }
}

#[test]
fn the_subset_grows_with_the_share() {
    let live = instances(90, 3);
    let sizes: Vec<usize> = [0.0, 0.1, 0.25, 0.5, 1.0]
        .into_iter()
        .map(|share| ask(&live, "w", share, "zone-0", 0).len())
        .collect();
    assert_eq!(sizes, [3, 18, 45, 90, 90]);
}

#[test]
fn few_instances_still_give_an_answer() {
    assert_eq!(ask(&[], "w", 0.5, "zone-0", 0), vec![]);
    assert_eq!(ask(&instances(1, 1), "w", 0.0, "zone-0", 0).len(), 1);
    assert_eq!(ask(&instances(2, 1), "w", 0.0, "elsewhere", 0).len(), 2);
    assert_eq!(
        ask(&instances(9, 1), "w", 0.0, "zone-0", 0).len(),
        MIN_ENTRIES
    );
    assert_eq!(ask(&instances(8, 2), "w", 0.0, "zone-0", 0).len(), 4);
}

#[test]
fn small_workspaces_spread_evenly() {
    let live = instances(9, 3);
    let mut counts: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for workspace in 0..3000 {
        let workspace = format!("workspace-{workspace}");
        for entry in ask(&live, &workspace, 0.001, "zone-0", 0) {
            *counts.entry(entry.name).or_default() += 1;
        }
    }
    // Each of three instances of a zone serves a third of 3000 workspaces.
    assert_eq!(counts.len(), 9);
    assert!(
        counts.values().all(|count| (900..=1100).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn callers_of_one_workspace_share_the_subset_but_not_the_first_place() {
    let live = instances(30, 3);
    let mut first: BTreeMap<InstanceId, usize> = BTreeMap::new();
    let subset = names(&ask(&live, "w", 0.2, "zone-1", 0));
    for salt in 0..400 {
        let entries = ask(&live, "w", 0.2, "zone-1", salt);
        assert_eq!(names(&entries), subset);
        assert_eq!(entries, ask(&live, "w", 0.2, "zone-1", salt));
        *first.entry(entries[0].name.clone()).or_default() += 1;
    }
    // Four instances of the zone are in the subset.
    assert_eq!(first.len(), 4);
    assert!(
        first.values().all(|count| (60..=140).contains(count)),
        "{first:?}"
    );
}

#[test]
fn leaving_and_suspected_instances_are_not_listed() {
    let rows = instances(9, 3);
    let now = Millis(1000);
    let mut machine = Membership::new(&rows[0], Incarnation(1), now);
    machine.step(Input::InstanceList(rows.clone()), now);
    machine.step(Input::ConnectionLost(rows[1].name.clone()), now);
    machine.step(Input::FreshConnectionFailed(rows[1].name.clone()), now);
    let leaving = Input::PeerLeaving {
        peer: rows[2].name.clone(),
        incarnation: Incarnation(1),
    };
    machine.step(leaving, now);
    let mut listed = rows.clone();
    listed[3].leaving = true;
    machine.step(Input::InstanceList(listed), now);
    machine.step(Input::Leave, now);

    let live: Vec<Instance> = machine.view().live_rows().cloned().collect();
    let entries = ask(&live, "w", 1.0, "zone-0", 0);
    let expected = rows[4..].iter().map(|row| row.name.clone()).collect();
    assert_eq!(names(&entries), expected);
}

#[test]
fn the_answer_round_trips_through_json() {
    let entries = ask(&instances(3, 3), "w", 0.1, "zone-0", 0);
    let answer = EntriesAnswer::new(entries, None);
    let text = serde_json::to_string(&answer).unwrap();
    assert!(
        text.ends_with(&format!("\"lifetime_ms\":{}}}", LIFETIME.0)),
        "{text}"
    );
    assert_eq!(
        serde_json::from_str::<EntriesAnswer>(&text).unwrap(),
        answer
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_instance_less_moves_at_most_one_entry(
        count in 4usize..60,
        zones in 1usize..4,
        share in 0.0f64..0.4,
        gone in any::<prop::sample::Index>(),
        workspace in "[a-z]{1,8}",
    ) {
        let live = instances(count, zones);
        let gone = gone.index(count);
        let mut fewer = live.clone();
        let lost = fewer.remove(gone).name;
        let before = names(&ask(&live, &workspace, share, "zone-0", 0));
        let after = names(&ask(&fewer, &workspace, share, "zone-0", 0));
        prop_assert!(!after.contains(&lost));
        let added = after.difference(&before).count();
        let removed = before.difference(&after).filter(|name| **name != lost).count();
        // At most one entry replaces the removed one. A smaller zone may also need one
        // entry fewer.
        prop_assert!(added <= usize::from(before.contains(&lost)), "{} added", added);
        prop_assert!(removed <= 1, "{} removed", removed);
    }
}
