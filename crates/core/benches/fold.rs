//! CPU time of the folds and of checkpoints at the size of 13,000 workspaces.
//!
//! `cargo bench -p flamingolock-core --bench fold`

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use flamingolock_core::checkpoint::{PART_BYTES, encode, rebuild};
use flamingolock_core::claim_fold::{ClaimFold, ClaimRules};
use flamingolock_core::fold::ControlFold;
use flamingolock_core::manifest::Workspace;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{
    CallId, Claim, ClaimBatch, Entry, EntryChange, LogEntry, ManifestChange, NodeIncarnation,
    Record, RecordId,
};

const WORKSPACES: u64 = 13_000;
const CLAIMS: u64 = 60_000;
const CLAIMS_PER_RECORD: u64 = 20;

fn workspace(name: u64, weight: f64, base: Option<Offset>) -> EntryChange {
    let value = Some(Workspace {
        weight,
        key_hashes: vec![format!("{name:064x}")],
        request_rate: Some(50.0),
        max_inflight: Some(20),
    });
    let name = WorkspaceId::from(format!("workspace-{name:05}"));
    let entry = Entry::Workspace { name, value };
    EntryChange { entry, base }
}

fn change(offset: Offset, entries: Vec<EntryChange>) -> LogEntry {
    LogEntry {
        offset,
        time: Millis(offset.0),
        id: RecordId(format!("01HF{:022}", offset.0)),
        record: Record::ManifestChange(ManifestChange {
            author: "pipeline".into(),
            made_at: Millis(offset.0),
            entries,
        }),
    }
}

/// A fold with `workspaces` workspaces, added by changes of one hundred each.
fn filled(workspaces: u64) -> ControlFold {
    let mut fold = ControlFold::default();
    for first in (0..workspaces).step_by(100) {
        let last = workspaces.min(first + 100);
        let entries = (first..last).map(|n| workspace(n, 1.0, None)).collect();
        fold.apply(&change(fold.next(), entries));
    }
    assert_eq!(fold.manifest().workspaces.len() as u64, workspaces);
    fold
}

fn apply(c: &mut Criterion) {
    for workspaces in [130, WORKSPACES] {
        let mut fold = filled(workspaces);
        let mut weight = 1.0;
        c.bench_function(&format!("apply one change of {workspaces}"), |b| {
            b.iter(|| {
                weight += 1.0;
                let key = workspace(77, weight, None).entry.key();
                let base = fold.revision(&key).map(|revision| revision.offset);
                let entry = change(fold.next(), vec![workspace(77, weight, base)]);
                black_box(fold.apply(&entry))
            });
        });
    }
    let fold = filled(WORKSPACES);
    let mut wanted = fold.manifest().clone();
    wanted.workspaces.pop_first();
    c.bench_function("diff of 13000", |b| {
        b.iter(|| black_box(fold.diff(&wanted)));
    });
}

fn checkpoint(c: &mut Criterion) {
    let fold = filled(WORKSPACES);
    let parts = encode(&fold, "set", PART_BYTES);
    let bytes: usize = parts
        .iter()
        .map(|part| Record::Checkpoint(part.clone()).to_body().to_string().len())
        .sum();
    println!(
        "checkpoint of 13000: {bytes} bytes in {} parts",
        parts.len()
    );
    c.bench_function("checkpoint encode of 13000", |b| {
        b.iter(|| black_box(encode(&fold, "set", PART_BYTES)));
    });
    c.bench_function("checkpoint rebuild of 13000", |b| {
        b.iter(|| black_box(rebuild(&parts)));
    });
}

fn claims(offset: u64) -> LogEntry {
    let time = 1_000_000 + offset * 10;
    let claim = |n: u64| Claim {
        call: CallId(format!("{:032x}", offset * CLAIMS_PER_RECORD + n)),
        digest: "0123456789abcdef0123456789abcdef".into(),
        made_at: Millis(time),
    };
    LogEntry {
        offset: Offset(offset),
        time: Millis(time),
        id: RecordId(format!("01HF{offset:022}")),
        record: Record::Claims(ClaimBatch {
            owner: NodeIncarnation {
                instance: "entry-1".into(),
                incarnation: Incarnation(7),
            },
            claims: (0..CLAIMS_PER_RECORD).map(claim).collect(),
        }),
    }
}

fn claim_fold(c: &mut Criterion) {
    // A steady stream of 2,000 claims per second, remembered for 30 s.
    let rules = ClaimRules {
        window: Millis(CLAIMS / 2),
        skew: Millis(100),
    };
    let records: Vec<LogEntry> = (0..CLAIMS / CLAIMS_PER_RECORD).map(claims).collect();
    let mut fold = ClaimFold::new(rules);
    for entry in &records {
        fold.apply(entry);
    }
    println!("claims remembered: {}", fold.len());
    c.bench_function("read 60000 claims", |b| {
        b.iter_batched(
            || ClaimFold::new(rules),
            |mut fold| {
                for entry in &records {
                    black_box(fold.apply(entry));
                }
                fold
            },
            BatchSize::LargeInput,
        );
    });
    c.bench_function("apply a record of 20 claims", |b| {
        b.iter(|| {
            let entry = claims(fold.next().0);
            black_box(fold.apply(&entry))
        });
    });
}

criterion_group!(benches, apply, checkpoint, claim_fold);
criterion_main!(benches);
