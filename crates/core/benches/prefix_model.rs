//! Time of prefix model operations and memory per cached block.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use flamingolock_core::levels::{self, Level};
use flamingolock_core::prefix_model::{CacheChange, CacheEvent, PrefixModel};
use flamingolock_core::prelude::*;

/// Blocks per engine: 17 million blocks on 750 engines.
const ENGINE_BLOCKS: u32 = 22_700;

/// Blocks tracked by one node: 17 million blocks on 340 nodes.
const HOME_BLOCKS: usize = 50_000;

/// Blocks of one prompt.
const PROMPT_BLOCKS: u64 = 480;

fn chain(number: u64) -> PrefixChain {
    // Unordered hashes; the first 160 blocks are shared by eight prompts.
    let hash = |block: u64| {
        let owner = if block < 160 { number / 8 } else { number };
        BlockHash((owner * 1000 + block).wrapping_mul(0x9e37_79b9_7f4a_7c15))
    };
    PrefixChain {
        blocks: (0..PROMPT_BLOCKS).map(hash).collect(),
        tokens: PROMPT_BLOCKS as u32 * 16,
    }
}

fn model() -> PrefixModel {
    PrefixModel::new(Incarnation(1), "w1".into(), ENGINE_BLOCKS)
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}

/// Fills many models and prints the memory per block.
fn report_size() {
    const MODELS: usize = 200;
    let before = resident_bytes();
    let models: Vec<PrefixModel> = (0..MODELS)
        .map(|_| {
            let mut model = model();
            for number in 0..200 {
                model.insert(&levels::all(&chain(number)));
            }
            model
        })
        .collect();
    let bytes = resident_bytes() - before;
    let blocks: usize = models.iter().map(PrefixModel::len).sum();
    let per_block = bytes as f64 / blocks as f64;
    let home = per_block * HOME_BLOCKS as f64 / f64::from(1 << 20);
    println!("{per_block:.1} bytes per block over {blocks} blocks; {home:.2} MiB per home");
}

fn benches(criterion: &mut Criterion) {
    report_size();
    let mut model = model();
    let mut number = 0;
    criterion.bench_function("prefix_model/insert 480 blocks", |bench| {
        bench.iter(|| {
            number += 1;
            model.insert(&levels::all(&chain(number)));
        });
    });
    criterion.bench_function("prefix_model/levels of 480 blocks alone", |bench| {
        bench.iter(|| {
            number += 1;
            black_box(levels::all(&chain(number)));
        });
    });
    let warm = chain(number);
    model.insert(&levels::all(&warm));
    criterion.bench_function("prefix_model/longest_prefix 480 blocks", |bench| {
        bench.iter(|| black_box(model.longest_prefix(black_box(&warm))));
    });
    let levels_of_prompt: Vec<Level> = [32, 160, 480]
        .iter()
        .filter_map(|&at| levels::at(&warm, at))
        .collect();
    criterion.bench_function("prefix_model/longest_level 3 levels", |bench| {
        bench.iter(|| black_box(model.longest_level(black_box(&levels_of_prompt))));
    });
    let mut seq = 0;
    criterion.bench_function("prefix_model/event of 16 blocks", |bench| {
        bench.iter(|| {
            seq += 1;
            let blocks = (0..16).map(|n| BlockHash((seq * 16 + n) << 20)).collect();
            let kind = CacheChange::Stored;
            model.apply(Incarnation(1), &[CacheEvent { seq, kind, blocks }])
        });
    });
}

criterion_group!(group, benches);
criterion_main!(group);
