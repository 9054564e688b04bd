//! `flamingoctl bench` with a short run.

use std::process::Command;

use serde_json::Value;

/// Counts of violated guarantees, all of which must be zero.
const VIOLATION_COUNTS: [&str; 6] = [
    "lost",
    "doubled",
    "mixed",
    "incomplete",
    "false_not_run",
    "bad_hits",
];

#[test]
fn short_steady_bench_has_the_documented_shape_and_breaks_no_promise() {
    let directory = tempfile::tempdir().expect("a directory");
    let output = Command::new(env!("CARGO_BIN_EXE_flamingoctl"))
        .args(["bench", "--scenario=steady", "--seconds=2", "--warm-up=0.5"])
        .args(["--seed=7", "--load=0.2", "--json"])
        .args(["--policy=round-robin", "--policy=flamingolock"])
        .args(["--without=probes"])
        .arg("--report")
        .arg(directory.path())
        .output()
        .expect("bench runs");
    let report: Value = serde_json::from_slice(&output.stdout).expect("bench prints JSON");
    assert!(output.status.success(), "{report}");
    assert_eq!(report["scenario"], "steady");
    assert_eq!(report["seed"], 7);
    let policies = report["policies"].as_object().expect("policies by name");
    let names: Vec<&str> = policies.keys().map(String::as_str).collect();
    let expected = ["flamingolock", "flamingolock-without-probes", "round-robin"];
    assert_eq!(names, expected);
    for (name, figures) in policies {
        check_figures(name, figures);
    }
    for file in ["steady.md", "steady.svg"] {
        let written = std::fs::read_to_string(directory.path().join(file));
        let text = written.expect("the report is written");
        assert!(text.contains("flamingolock-without-probes"), "{file}");
    }
}

fn check_figures(name: &str, figures: &Value) {
    let requests = figures["requests"].as_u64();
    assert!(requests > Some(20), "{name}: {figures}");
    assert_eq!(figures["answered"].as_u64(), requests, "{name}: {figures}");
    for times in ["ttft_ms", "small_ttft_ms"] {
        let p50 = figures[times]["p50"].as_f64().expect("a time");
        let p95 = figures[times]["p95"].as_f64().expect("a time");
        let p99 = figures[times]["p99"].as_f64().expect("a time");
        assert!(0.0 < p50 && p50 <= p95 && p95 <= p99, "{name}: {figures}");
    }
    assert!(figures["alone_ttft_ms"].is_null(), "{name}: {figures}");
    assert!(figures["recovery_ms"].is_null(), "{name}: {figures}");
    for rate in ["prefix_hit_rate", "best_hit_rate"] {
        let rate = figures[rate].as_f64().expect("a rate");
        assert!(0.0 < rate && rate < 1.0, "{name}: {figures}");
    }
    assert!(figures["recomputed_tokens"].is_u64(), "{name}: {figures}");
    assert!(figures["refused"].is_u64(), "{name}: {figures}");
    for count in VIOLATION_COUNTS {
        assert_eq!(figures[count], 0, "{name}: {count}: {figures}");
    }
}
