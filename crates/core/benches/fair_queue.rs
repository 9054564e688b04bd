//! Cost of fair queue operations with 13,000 backlogged workspaces.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use flamingolock_core::fair_queue::{FairQueue, QueuedRequest};
use flamingolock_core::prelude::*;

const WORKSPACES: u64 = 13_000;

fn item(number: u64) -> QueuedRequest {
    let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
    QueuedRequest {
        request: format!("01JF8Q{number:020}").into(),
        workspace: format!("workspace-{:05}", number % WORKSPACES).into(),
        weight: 1.0 + (number % 7) as f64,
        priority: (random % 3) as u8,
        cost: (random % 5000) as f64,
        deadline: Millis(random),
    }
}

fn full(per_workspace: u64) -> FairQueue {
    let mut queue = FairQueue::new();
    for number in 0..per_workspace * WORKSPACES {
        queue.push(item(number));
    }
    queue
}

fn benches(criterion: &mut Criterion) {
    for depth in [1, 4] {
        let mut queue = full(depth);
        let mut number = depth * WORKSPACES;
        criterion.bench_function(
            &format!("fair_queue/push+pop/{depth} queued each"),
            |bench| {
                bench.iter(|| {
                    number += 1;
                    queue.push(item(number));
                    black_box(queue.pop());
                });
            },
        );
        criterion.bench_function(
            &format!("fair_queue/push+cancel/{depth} queued each"),
            |bench| {
                bench.iter(|| {
                    number += 1;
                    let new = item(number);
                    let request = new.request.clone();
                    queue.push(new);
                    black_box(queue.cancel(&request));
                });
            },
        );
        let newcomer = WorkspaceId::from("newcomer");
        criterion.bench_function(&format!("fair_queue/ahead/{depth} queued each"), |bench| {
            bench.iter(|| black_box(queue.work_ahead(&newcomer, 1.0, 0)));
        });
    }
    criterion.bench_function("fair_queue/item alone", |bench| {
        let mut number = 0;
        bench.iter(|| {
            number += 1;
            black_box(item(number));
        });
    });
}

criterion_group!(group, benches);
criterion_main!(group);
