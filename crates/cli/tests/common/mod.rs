//! A small fleet of real processes with a manifest and a load generator.

use std::process::{Child, Command, Stdio};

use flamingolock_experiment::workload::{MODEL, Profile, WEIGHTS, workspace_key};
use flamingolock_testutils::fleet::{ProcessFleet, Programs};
use serde_json::Value;

/// The programs of this build.
pub fn programs() -> Programs {
    Programs::new(
        env!("CARGO_BIN_EXE_flamingolock"),
        env!("CARGO_BIN_EXE_flamingoctl"),
    )
}

/// Node settings with shorter intervals and a shorter drain, for tests.
pub const SHORT_INTERVALS: [&str; 3] = [
    "timing.entries_ms=1000",
    "timing.drain_ms=20000",
    "platform.list_ms=100",
];

/// Starts engines, a service and nodes, publishes a manifest, and waits until every
/// node answers a completion.
pub fn start_site(engines: usize, nodes: usize, settings: &[&str]) -> ProcessFleet {
    let mut fleet = ProcessFleet::start(programs());
    for index in 1..=engines {
        add_engine(&mut fleet, &format!("engine-{index}"));
    }
    fleet.add_service("service-1", &[]);
    let settings: Vec<&str> = SHORT_INTERVALS.iter().chain(settings).copied().collect();
    for index in 1..=nodes {
        fleet.add_node(&format!("entry-{index}"), &settings);
    }
    publish(&fleet, &Profile::mixed(40.0));
    let names: Vec<String> = fleet.nodes.keys().cloned().collect();
    for name in names {
        wait_serving(&fleet, &name);
    }
    fleet
}

/// Starts an engine with the model and weights of the load.
pub fn add_engine(fleet: &mut ProcessFleet, name: &str) {
    let (model, weights) = (
        format!("model=\"{MODEL}\""),
        format!("weights=\"{WEIGHTS}\""),
    );
    fleet.add_engine(name, &[&model, &weights]);
}

/// Publishes the manifest of a load.
pub fn publish(fleet: &ProcessFleet, profile: &Profile) {
    fleet.publish_manifest(&profile.manifest());
}

/// Waits until a node answers a completion.
pub fn wait_serving(fleet: &ProcessFleet, name: &str) {
    let profile = Profile::mixed(1.0);
    fleet.wait_serving(name, &workspace_key(&profile.workspaces[0].id), MODEL);
}

/// A `flamingoctl load` process in the background.
pub struct Load {
    child: Child,
}

impl Load {
    /// Starts a load of `rate` requests a second for `seconds` on all nodes.
    pub fn start(fleet: &ProcessFleet, seconds: u32, rate: u32, seed: u32) -> Self {
        let mut command = Command::new(&fleet.programs.tool);
        command.args(["load", "--json"]);
        command.arg(format!("--seconds={seconds}"));
        command.arg(format!("--rate={rate}"));
        command.arg(format!("--seed={seed}"));
        for node in fleet.nodes.values() {
            command.arg(format!("--entry={}", node.address));
        }
        for service in fleet.services.values() {
            command.arg(format!("--service={}", service.address));
        }
        let child = command.stdout(Stdio::piped()).spawn().expect("load starts");
        Self { child }
    }

    /// Waits for the end of the load and returns its summary.
    pub fn finish(self) -> Value {
        let output = self.child.wait_with_output().expect("load ends");
        serde_json::from_slice(&output.stdout).expect("load prints JSON")
    }
}

/// Checks the guarantees that must hold under every fault, and that the load sent more
/// than 20 requests.
pub fn assert_invariants(summary: &Value) {
    for count in [
        "lost",
        "doubled",
        "mixed",
        "incomplete",
        "false_not_run",
        "bad_hits",
    ] {
        assert_eq!(summary[count], 0, "{count}: {summary}");
    }
    assert!(summary["requests"].as_u64() > Some(20), "{summary}");
}
