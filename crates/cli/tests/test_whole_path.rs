//! Requests from end to end through separate processes.

use std::process::Command;

use flamingolock_experiment::workload::{MODEL, Profile, WEIGHTS, workspace_key};
use flamingolock_testutils::fleet::{ProcessFleet, Programs};
use serde_json::Value;

fn programs() -> Programs {
    Programs::new(
        env!("CARGO_BIN_EXE_flamingolock"),
        env!("CARGO_BIN_EXE_flamingoctl"),
    )
}

#[test]
fn load_through_three_node_processes_keeps_every_promise() {
    let mut fleet = ProcessFleet::start(programs());
    let (model, weights) = (
        format!("model=\"{MODEL}\""),
        format!("weights=\"{WEIGHTS}\""),
    );
    for name in ["engine-1", "engine-2", "engine-3"] {
        fleet.add_engine(name, &[&model, &weights]);
    }
    fleet.add_service("service-1", &[]);
    for name in ["entry-1", "entry-2", "entry-3"] {
        fleet.add_node(name, &[]);
    }
    let profile = Profile::mixed(40.0);
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("manifest.toml");
    let text = toml::to_string(&profile.manifest()).expect("manifests are TOML");
    std::fs::write(&file, text).expect("the file can be written");
    fleet.publish(&file);
    let key = workspace_key(&profile.workspaces[0].id);
    for name in ["entry-1", "entry-2", "entry-3"] {
        fleet.wait_serving(name, &key, MODEL);
    }
    let mut arguments = vec![
        "load".to_owned(),
        "--seconds=3".to_owned(),
        "--json".to_owned(),
    ];
    for node in fleet.nodes.values() {
        arguments.push(format!("--entry={}", node.address));
    }
    arguments.push(format!("--service={}", fleet.services["service-1"].address));
    let output = Command::new(&fleet.programs.tool)
        .args(&arguments)
        .output()
        .expect("load runs");
    let summary: Value = serde_json::from_slice(&output.stdout).expect("load prints JSON");
    assert!(output.status.success(), "{summary}");
    assert!(summary["requests"].as_u64() > Some(60), "{summary}");
    assert_eq!(summary["answered"], summary["requests"], "{summary}");
}
