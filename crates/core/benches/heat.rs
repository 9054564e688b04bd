//! Cost of heat and of the tree of recent prompts.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use flamingolock_core::heat::{Heat, HeatOptions};
use flamingolock_core::prefix_tree::PrefixTree;
use flamingolock_core::prelude::*;

const PROMPT_BLOCKS: u64 = 480;
const TREE_BLOCKS: usize = 200_000;

/// Prompts of 40 workspaces with eight documents each; every one ends differently.
fn chain(number: u64) -> PrefixChain {
    let workspace = number % 40;
    let document = workspace * 8 + number / 40 % 8;
    let hash = |block: u64| {
        let owner = match block {
            0..32 => workspace,
            32..160 => 1_000 + document,
            _ => 1_000_000 + number,
        };
        BlockHash((owner * 1000 + block).wrapping_mul(0x9e37_79b9_7f4a_7c15))
    };
    PrefixChain {
        blocks: (0..PROMPT_BLOCKS).map(hash).collect(),
        tokens: PROMPT_BLOCKS as u32 * 16,
    }
}

fn benches(criterion: &mut Criterion) {
    let options = HeatOptions::default();
    criterion.bench_function("heat/add", |bench| {
        let mut heat = Heat::new(Millis(0));
        let mut now = 0;
        bench.iter(|| {
            now += 1;
            heat.add(black_box(20.0), &options, Millis(now));
        });
    });
    let mut tree = PrefixTree::new(TREE_BLOCKS, options);
    for number in 0..10_000 {
        tree.record(&chain(number), 20.0, Millis(number));
    }
    println!("tree: {} blocks in {} nodes", tree.blocks(), tree.nodes());
    let mut number = 10_000;
    criterion.bench_function("heat/record a new prompt of 480 blocks", |bench| {
        bench.iter(|| {
            number += 1;
            black_box(tree.record(&chain(number), 20.0, Millis(number)));
        });
    });
    criterion.bench_function("heat/chain of 480 blocks alone", |bench| {
        bench.iter(|| {
            number += 1;
            black_box(chain(number));
        });
    });
    let known = chain(number);
    tree.record(&known, 20.0, Millis(number));
    criterion.bench_function("heat/record a known prompt of 480 blocks", |bench| {
        bench.iter(|| {
            number += 1;
            black_box(tree.record(&known, 20.0, Millis(number)));
        });
    });
    criterion.bench_function("heat/hottest 16", |bench| {
        bench.iter(|| black_box(tree.hottest(32, 16, Millis(number))));
    });
}

criterion_group!(group, benches);
criterion_main!(group);
