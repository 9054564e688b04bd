//! CPU time of membership, home look-ups and entry selection on one node.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use flamingolock_core::entries::{Caller, choose};
use flamingolock_core::heartbeat::{Heartbeat, Input, Output};
use flamingolock_core::members::{Instance, MemberState};
use flamingolock_core::membership::Membership;
use flamingolock_core::prelude::*;

const SIZES: [usize; 3] = [9, 100, 340];

const TICK: Millis = Millis(100);

fn rows(count: usize) -> Vec<Instance> {
    (0..count)
        .map(|index| {
            let address = SocketAddr::from(([10, 0, 0, 1], 1000 + index as u16));
            Instance {
                name: format!("node-{index:03}").into(),
                address,
                peer_address: address,
                zone: format!("zone-{}", index % 3).into(),
                leaving: false,
            }
        })
        .collect()
}

fn node(count: usize) -> Membership {
    let rows = rows(count);
    let mut machine = Membership::new(&rows[0], Incarnation(1), Millis(1000));
    machine.step(Input::InstanceList(rows), Millis(1000));
    machine
}

fn answer(digest: u64) -> Heartbeat {
    Heartbeat {
        state: MemberState {
            incarnation: Incarnation(1),
            ..MemberState::default()
        },
        digest,
        reports: Vec::new(),
        wants_answer: true,
        check: None,
    }
}

/// Runs one tick. Each heartbeat that it sends is answered by a heartbeat that asks for
/// an answer itself. Returns the number of outputs of the tick.
fn tick(machine: &mut Membership, now: Millis) -> usize {
    let outputs = machine.step(Input::Tick, now);
    let count = outputs.len();
    for output in outputs {
        if let Output::SendHeartbeat { to, heartbeat } = output {
            let said = Input::HeartbeatReceived {
                peer: to,
                heartbeat: answer(heartbeat.digest),
            };
            black_box(machine.step(said, now));
        }
    }
    count
}

fn bench_ticks(c: &mut Criterion) {
    let mut group = c.benchmark_group("ten ticks, one second");
    for count in SIZES {
        let mut machine = node(count);
        let mut now = Millis(1000);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                for _ in 0..10 {
                    now = now + TICK;
                    black_box(tick(&mut machine, now));
                }
            });
        });
    }
    group.finish();
}

fn bench_list(c: &mut Criterion) {
    let mut group = c.benchmark_group("instance list, unchanged");
    for count in SIZES {
        let mut machine = node(count);
        let rows = rows(count);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| machine.step(Input::InstanceList(rows.clone()), Millis(2000)));
        });
    }
    group.finish();
}

fn bench_views(c: &mut Criterion) {
    let mut group = c.benchmark_group("home of an engine");
    for count in SIZES {
        let machine = node(count);
        let engine = EngineId::from("engine-07");
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| machine.view().home_of(black_box(&engine)).clone());
        });
    }
    group.finish();
    let mut group = c.benchmark_group("entries of a workspace");
    for count in SIZES {
        let machine = node(count);
        let caller = Caller {
            workspace: &"qasr".into(),
            share: 0.1,
            zone: &"zone-1".into(),
            salt: 7,
        };
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| choose(machine.view().live_rows(), black_box(&caller)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_ticks, bench_list, bench_views);
criterion_main!(benches);
