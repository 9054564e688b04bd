//! Checkpoints: encoding, assembly and when to append one.

mod common;

use common::{at, based, change, put_workspace, remove_workspace};
use flamingolock_core::checkpoint::{
    AssemblyProgress, CheckpointAssembler, CheckpointError, CheckpointScheduler, Due, Retention,
    digest, encode, rebuild,
};
use flamingolock_core::fold::ControlFold;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{CheckpointPart, Record};

/// A fold over `count` workspaces, one of which is removed again.
fn folded(count: u64) -> ControlFold {
    let mut fold = ControlFold::default();
    for n in 0..count {
        let entry = put_workspace(&format!("w{n}"), 1.0, &[n]);
        let record = change("ann", n, vec![based(entry, None)]);
        fold.apply(&at(n, n, &format!("r{n}"), record));
    }
    let removal = vec![based(remove_workspace("w0"), Some(0))];
    fold.apply(&at(count, count, "del", change("bob", count, removal)));
    fold
}

fn part(offset: u64, part: &CheckpointPart) -> flamingolock_core::record::LogEntry {
    let id = format!("{}/{}", part.set, part.part);
    at(offset, 1000, &id, Record::Checkpoint(part.clone()))
}

#[test]
fn a_rebuilt_fold_goes_on_like_the_first_one() {
    let mut fold = folded(20);
    let parts = encode(&fold, "set", 500);
    assert!(parts.len() > 3);
    let mut copy = rebuild(&parts).unwrap();
    assert_eq!(copy, fold);
    assert_eq!(digest(&copy), parts[0].digest);
    let late = at(
        21,
        21,
        "r0",
        change("ann", 0, vec![based(put_workspace("w0", 1.0, &[]), None)]),
    );
    assert_eq!(copy.apply(&late), fold.apply(&late));
    assert_eq!(copy, fold);
}

#[test]
fn parts_keep_to_their_size() {
    let parts = encode(&folded(200), "set", 2000);
    for part in &parts {
        let items = serde_json::to_vec(&part.items).unwrap();
        assert!(items.len() < 2000 + 100, "{}", items.len());
    }
}

#[test]
fn damaged_sets_are_refused() {
    let parts = encode(&folded(20), "set", 500);
    assert_eq!(rebuild(&[]), Err(CheckpointError::Incomplete));
    assert_eq!(rebuild(&parts[1..]), Err(CheckpointError::Incomplete));
    let mut twice = parts.clone();
    twice[1] = twice[0].clone();
    assert_eq!(rebuild(&twice), Err(CheckpointError::Incomplete));
    let mut mixed = parts.clone();
    mixed[1].covers = Offset(3);
    assert_eq!(rebuild(&mixed), Err(CheckpointError::Mixed));
    let mut corrupt = parts;
    corrupt[1].items.pop();
    assert_eq!(rebuild(&corrupt), Err(CheckpointError::Corrupt));
}

#[test]
fn a_reader_takes_the_first_complete_set() {
    let fold = folded(20);
    let one = encode(&fold, "one", 500);
    let two = encode(&fold, "two", 500);
    let mut assembly = CheckpointAssembler::default();
    let start = Offset(10);
    // The first part of one set is lost; the other set is interleaved.
    let mut offset = 30;
    for (a, b) in one[1..].iter().zip(&two) {
        for piece in [a, b] {
            assert_eq!(
                assembly.add(&part(offset, piece), start),
                AssemblyProgress::Waiting
            );
            offset += 1;
        }
    }
    let last = assembly.add(&part(offset, two.last().unwrap()), start);
    assert_eq!(last, AssemblyProgress::Complete(Box::new(fold)));
}

#[test]
fn a_set_whose_next_records_are_trimmed_is_of_no_use() {
    let parts = encode(&folded(20), "set", 1 << 20);
    let mut assembly = CheckpointAssembler::default();
    assert_eq!(
        assembly.add(&part(40, &parts[0]), Offset(22)),
        AssemblyProgress::Trimmed
    );
}

fn watch(node: &str) -> CheckpointScheduler {
    let retention = Retention {
        age: Millis(60_000),
        records: 6_000,
    };
    CheckpointScheduler::new(node, retention)
}

#[test]
fn a_checkpoint_is_due_well_before_records_age_out() {
    let mut watch = watch("a");
    assert_ne!(watch.due(Millis(0), Offset(0)), Due::Now);
    watch.observe(&at(0, 0, "x", change("ann", 0, vec![])));
    assert_ne!(watch.due(Millis(19_999), Offset(1)), Due::Now);
    assert_eq!(
        watch.due(Millis(30_000), Offset(1)),
        Due::Now,
        "at half the age"
    );
    assert_eq!(
        watch.due(Millis(1), Offset(3_000)),
        Due::Now,
        "at half the count"
    );
}

#[test]
fn a_checkpoint_ages_out_too() {
    let mut watch = watch("a");
    watch.observe(&at(0, 0, "x", change("ann", 0, vec![])));
    let parts = encode(&folded(20), "set", 1 << 20);
    watch.observe(&part(21, &parts[0]));
    assert_ne!(watch.due(Millis(20_000), Offset(22)), Due::Now);
    assert_eq!(
        watch.due(Millis(31_000), Offset(22)),
        Due::Now,
        "with no new record"
    );
}

#[test]
fn others_hold_back_while_a_set_is_written_but_not_for_good() {
    let mut watch = watch("a");
    let parts = encode(&folded(20), "set", 500);
    watch.observe(&at(0, 0, "x", change("ann", 0, vec![])));
    let mut first = part(21, &parts[0]);
    first.time = Millis(31_000);
    watch.observe(&first);
    assert_ne!(watch.due(Millis(32_000), Offset(22)), Due::Now);
    assert_eq!(
        watch.due(Millis(41_000), Offset(22)),
        Due::Now,
        "the writer is gone"
    );
}

#[test]
fn nodes_differ_in_when_they_are_due() {
    let due_at = |n: u32| {
        let mut watch = watch(&format!("node{n}"));
        watch.observe(&at(0, 0, "x", change("ann", 0, vec![])));
        watch.due(Millis(0), Offset(1))
    };
    let mut times: Vec<Millis> = (0..340)
        .filter_map(|n| match due_at(n) {
            Due::At(at) => Some(at),
            Due::Now => None,
        })
        .collect();
    times.sort_unstable();
    assert_eq!(times.len(), 340);
    assert!(times[0] >= Millis(20_000));
    assert!(times[339] < Millis(30_000));
    let soon = times
        .iter()
        .filter(|at| **at < times[0] + Millis(500))
        .count();
    assert!(soon < 40, "{soon} nodes within half a second of the first");
}
