//! Control fold: conflicts, duplicates, removals, diffs and leases.

mod common;

use common::{at, based, booking, change, node, put_kind, put_service, put_workspace};
use common::{remove_workspace, workspace};
use flamingolock_core::fold::{Applied, CHANGE_WINDOW, Conflict, ControlFold, Revision};
use flamingolock_core::lease::LeaseVerdict;
use flamingolock_core::manifest_check::check_manifest;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{
    Entry, EntryKey, LeaseGrant, LeaseRelease, LeaseRenew, LogEntry, Record, RecordId,
};
use serde_json::json;

fn acme() -> EntryKey {
    EntryKey::Workspace("acme".into())
}

fn put(offset: u64, id: &str, weight: f64, base: Option<u64>) -> LogEntry {
    let entries = vec![based(put_workspace("acme", weight, &[1]), base)];
    at(offset, 1000, id, change(id, 1000, entries))
}

#[test]
fn first_by_offset_wins_and_the_refusal_names_it() {
    let mut fold = ControlFold::default();
    assert_eq!(
        fold.apply(&put(0, "ann", 1.0, None)),
        Applied::Changed(vec![acme()])
    );
    assert_eq!(
        fold.apply(&put(1, "bob", 2.0, Some(0))),
        Applied::Changed(vec![acme()])
    );
    let conflict = Conflict {
        key: acme(),
        base: Some(Offset(0)),
        winner: Some(Revision {
            offset: Offset(1),
            author: "bob".into(),
        }),
    };
    assert_eq!(
        fold.apply(&put(2, "cid", 3.0, Some(0))),
        Applied::Refused(vec![conflict])
    );
    assert_eq!(fold.manifest().workspaces["acme"], workspace(2.0, &[1]));
}

#[test]
fn a_change_is_applied_atomically() {
    let mut fold = ControlFold::default();
    fold.apply(&put(0, "ann", 1.0, None));
    let before = fold.manifest().clone();
    let stale = vec![
        based(put_service("desk"), None),
        based(put_workspace("acme", 9.0, &[]), None),
    ];
    let applied = fold.apply(&at(1, 1000, "x", change("bob", 1000, stale)));
    assert!(matches!(applied, Applied::Refused(_)));
    let invalid = vec![
        based(put_service("desk"), None),
        based(put_kind("order", booking("missing")), None),
    ];
    let applied = fold.apply(&at(2, 1000, "y", change("bob", 1000, invalid)));
    assert!(matches!(applied, Applied::Invalid(_)));
    assert_eq!(fold.manifest(), &before);
    assert_eq!(fold.next(), Offset(3));
}

#[test]
fn a_duplicate_changes_nothing_even_after_a_removal() {
    let mut fold = ControlFold::default();
    fold.apply(&put(0, "ann", 1.0, None));
    let removal = vec![based(remove_workspace("acme"), Some(0))];
    fold.apply(&at(1, 1000, "del", change("bob", 1000, removal)));
    assert_eq!(fold.apply(&put(2, "ann", 1.0, None)), Applied::Duplicate);
    assert!(fold.manifest().workspaces.is_empty());
}

#[test]
fn a_duplicate_after_its_id_is_forgotten_is_outside_the_window() {
    let mut fold = ControlFold::default();
    fold.apply(&put(0, "ann", 1.0, None));
    let removal = vec![based(remove_workspace("acme"), Some(0))];
    fold.apply(&at(1, 1000, "del", change("bob", 1000, removal)));
    let mut late = put(2, "ann", 1.0, None);
    late.time = Millis(2000) + CHANGE_WINDOW + CHANGE_WINDOW;
    let made_at = Millis(1000);
    assert_eq!(fold.apply(&late), Applied::Untimely { made_at });
    assert!(fold.manifest().workspaces.is_empty());
}

#[test]
fn a_removed_entry_names_its_remover() {
    let mut fold = ControlFold::default();
    fold.apply(&put(0, "ann", 1.0, None));
    let removal = vec![based(remove_workspace("acme"), Some(0))];
    fold.apply(&at(1, 1000, "del", change("bob", 1000, removal)));
    let Applied::Refused(conflicts) = fold.apply(&put(2, "cid", 1.0, Some(0))) else {
        panic!("based on a removed revision");
    };
    assert_eq!(conflicts[0].winner.as_ref().unwrap().author, "bob");
}

#[test]
fn old_records_and_gaps_do_not_move_the_fold() {
    let mut fold = ControlFold::default();
    fold.apply(&put(0, "ann", 1.0, None));
    let before = fold.clone();
    assert_eq!(fold.apply(&put(0, "zed", 5.0, None)), Applied::Old);
    let expected = Offset(1);
    assert_eq!(
        fold.apply(&put(2, "cid", 5.0, None)),
        Applied::Gap { expected }
    );
    assert_eq!(fold, before);
    assert!(
        !fold.adopt(ControlFold::default()),
        "an older copy is not adopted"
    );
    assert_eq!(fold, before);
}

#[test]
fn an_unreadable_body_takes_its_offset_and_is_reported() {
    let mut fold = ControlFold::default();
    let body = json!({"type": "manifest_change", "author": 3});
    let entry = LogEntry::from_body(Offset(0), Millis(1), RecordId::from("x"), &body);
    assert!(matches!(fold.apply(&entry), Applied::Unreadable(_)));
    assert_eq!(fold.next(), Offset(1));
}

#[test]
fn records_round_trip_through_json() {
    let entries = vec![
        based(put_workspace("acme", 0.1, &[1]), Some(4)),
        based(put_kind("order", booking("desk")), None),
        based(remove_workspace("old"), Some(2)),
    ];
    let grant = LeaseGrant {
        name: "placement".into(),
        holder: node("a", 3),
        duration: Millis(5000),
    };
    for record in [change("ann", 5, entries), Record::LeaseGrant(grant)] {
        let entry = LogEntry::from_body(Offset(0), Millis(0), "x".into(), &record.to_body());
        assert_eq!(entry.record, record);
    }
}

#[test]
fn a_diff_turns_one_manifest_into_the_other() {
    let mut fold = ControlFold::default();
    fold.apply(&put(0, "ann", 1.0, None));
    let mut wanted = fold.manifest().clone();
    wanted.workspaces.clear();
    wanted.services.insert(
        "desk".into(),
        flamingolock_core::manifest::Service::default(),
    );
    let entries = fold.diff(&wanted);
    assert_eq!(entries.len(), 2);
    assert_eq!(entries[0].base, Some(Offset(0)));
    let applied = fold.apply(&at(1, 1000, "d", change("ann", 1000, entries)));
    assert!(matches!(applied, Applied::Changed(_)));
    assert_eq!(fold.manifest(), &wanted);
    assert_eq!(fold.index(), &check_manifest(&wanted).unwrap());
    assert!(matches!(fold.diff(&wanted)[..], []));
}

fn grant(offset: u64, time: u64, holder: &str) -> LogEntry {
    let record = Record::LeaseGrant(LeaseGrant {
        name: "placement".into(),
        holder: node(holder, 1),
        duration: Millis(1000),
    });
    at(offset, time, &format!("grant{offset}"), record)
}

fn renew(offset: u64, time: u64, fencing: u64) -> LogEntry {
    let record = Record::LeaseRenew(LeaseRenew {
        name: "placement".into(),
        fencing: Offset(fencing),
        duration: Millis(1000),
    });
    at(offset, time, &format!("renew{offset}"), record)
}

#[test]
fn leases_are_timed_by_log_time() {
    let mut fold = ControlFold::default();
    let granted = |n| Applied::Lease(LeaseVerdict::Granted(Offset(n)));
    assert_eq!(fold.apply(&grant(0, 1000, "a")), granted(0));
    assert!(matches!(
        fold.apply(&grant(1, 1999, "b")),
        Applied::Lease(LeaseVerdict::Held(_))
    ));
    let renewed = LeaseVerdict::Renewed(Offset(0));
    assert_eq!(fold.apply(&renew(2, 1999, 0)), Applied::Lease(renewed));
    assert_eq!(fold.apply(&grant(3, 2999, "b")), granted(3));
    let not_in_force = LeaseVerdict::Lapsed(Offset(0));
    assert_eq!(fold.apply(&renew(4, 3000, 0)), Applied::Lease(not_in_force));
    let lease = fold.leases().get("placement").unwrap();
    assert_eq!(lease.previous_orders_end(Millis(300)), Millis(2999 + 300));
    let release = Record::LeaseRelease(LeaseRelease {
        name: "placement".into(),
        fencing: Offset(3),
    });
    fold.apply(&at(5, 3001, "rel", release));
    assert_eq!(fold.apply(&grant(6, 3001, "a")), granted(6));
}

#[test]
fn a_log_clock_that_steps_back_does_not_revive_a_lease() {
    let mut fold = ControlFold::default();
    fold.apply(&grant(0, 1000, "a"));
    fold.apply(&at(1, 2500, "x", change("ann", 2500, vec![])));
    assert_eq!(
        fold.apply(&renew(2, 1500, 0)),
        Applied::Lease(LeaseVerdict::Lapsed(Offset(0)))
    );
    assert_eq!(fold.clock(), Millis(2500));
}

#[test]
fn an_engine_policy_is_an_entry_too() {
    let mut fold = ControlFold::default();
    let entry = Entry::Engine {
        name: "e1".into(),
        value: Some(flamingolock_core::manifest::EnginePolicy {
            checks_fencing: true,
        }),
    };
    fold.apply(&at(0, 0, "e", change("ann", 0, vec![based(entry, None)])));
    assert!(fold.manifest().engines["e1"].checks_fencing);
}
