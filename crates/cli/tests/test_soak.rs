//! Soak tests: a short one in every test run, a long one by hand.
//!
//! `FLAMINGOLOCK_SOAK_SEEDS=1..51 FLAMINGOLOCK_SOAK_SECONDS=20 cargo test --release -p
//! flamingolock-cli --test test_soak -- --ignored --nocapture` runs those seeds, four
//! at a time; the logs of a failed seed are written to `target/soak`.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;
mod soak;

use std::ops::Range;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

/// Number of seeds that run in parallel.
const PARALLEL_RUNS: usize = 4;

/// Runs seeds and returns their violations.
fn run_seeds(seeds: Range<u64>, time: Duration) -> Vec<String> {
    let seeds = Mutex::new(seeds);
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let next = seeds.lock().expect("no panic before").next();
                    let Some(seed) = next else { return };
                    let found_violations = run_and_report(seed, time);
                    violations
                        .lock()
                        .expect("no panic before")
                        .extend(found_violations);
                }
            });
        }
    });
    violations.into_inner().expect("no panic before")
}

fn run_and_report(seed: u64, time: Duration) -> Vec<String> {
    let report = soak::run_seed(seed, time);
    let (requests, served) = report.requests;
    println!(
        "seed {seed}: {served} of {requests} served, {} violations",
        report.violations.len()
    );
    assert!(served > 0, "seed {seed} served nothing");
    if !report.violations.is_empty() {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("../soak");
        std::fs::create_dir_all(&dir).expect("the log directory can be created");
        std::fs::write(dir.join(format!("seed-{seed}.txt")), report.log)
            .expect("the log can be written");
    }
    let named = report.violations.into_iter();
    named.map(|what| format!("seed {seed}: {what}")).collect()
}

#[test]
fn promises_hold_under_random_faults() {
    let violations = run_seeds(1..5, Duration::from_secs(10));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Streams continued at another software version, within an answer (7) and resumed by
/// their callers (6, 7).
#[test]
fn streams_keep_their_build_under_random_faults() {
    let violations = run_seeds(6..8, Duration::from_secs(10));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Streams without a length or chunks were reported as complete when their engine
/// crashed between two events.
#[test]
fn streams_of_crashed_engines_are_not_reported_as_complete() {
    let violations = run_seeds(439..440, Duration::from_secs(10));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Drains of one endpoint overlapped, and requests at its replacement were taken for late.
#[test]
fn replacements_of_drained_endpoints_serve() {
    let violations = run_seeds(576..577, Duration::from_secs(10));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Parts that crash engines, bytes that are no answer and narrow links come as well.
#[test]
fn promises_hold_while_parts_crash_engines() {
    let violations = run_seeds(700..702, Duration::from_secs(10));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Endpoints state limits, up to all engines at a time, and requests crash endpoints.
#[test]
fn promises_hold_under_limits_of_endpoints_and_requests_that_crash_them() {
    let violations = run_seeds(801..803, Duration::from_secs(10));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// A node whose connections to all endpoints were reset refused its callers.
#[test]
fn node_cut_off_from_endpoints_serves_under_random_faults() {
    let violations = run_seeds(876..877, Duration::from_secs(15));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// The same among nodes behind a hub.
#[test]
fn node_behind_a_hub_that_is_cut_off_from_endpoints_serves_under_random_faults() {
    let violations = run_seeds(927..928, Duration::from_secs(15));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Brittle engines fell over under nodes that do not know that they are.
#[test]
fn promises_hold_while_engines_are_brittle() {
    let violations = run_seeds(890..891, Duration::from_secs(15));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Nodes that start again, by the settings that they had, spend the slack of retries again.
#[test]
fn retries_keep_to_the_budget_while_nodes_start_again() {
    let violations = run_seeds(1010..1011, Duration::from_secs(15));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Nodes that start again believed that the whole system starts for the first time.
#[test]
fn resumed_streams_keep_their_version_while_nodes_start_again() {
    let violations = run_seeds(1007..1008, Duration::from_secs(15));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
#[ignore = "by hand: seeds and time come from the environment"]
fn soak_by_hand() {
    let text = |name: &str, default: &str| std::env::var(name).unwrap_or(default.to_owned());
    let seeds = text("FLAMINGOLOCK_SOAK_SEEDS", "1..51");
    let (from, to) = seeds.split_once("..").expect("seeds as FROM..TO");
    let seeds = from.parse().expect("a number")..to.parse().expect("a number");
    let seconds = text("FLAMINGOLOCK_SOAK_SECONDS", "20");
    let violations = run_seeds(
        seeds,
        Duration::from_secs(seconds.parse().expect("seconds")),
    );
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
