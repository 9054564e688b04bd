//! Nodes that are killed, replaced, suspended or restarted, mostly under load.

mod common;

use std::time::{Duration, Instant};

use common::{Load, SHORT_INTERVALS, assert_invariants, start_site, wait_serving};
use flamingolock_testutils::wait;

/// The other nodes take over from a killed one: callers use other entries, and the
/// streams of the killed node are resumed there.
#[test]
fn killed_node_loses_no_request() {
    let mut fleet = start_site(3, 3, &[]);
    let load = Load::start(&fleet, 6, 40, 2);
    std::thread::sleep(Duration::from_secs(2));
    fleet.nodes.get_mut("entry-2").expect("entry-2 runs").kill();
    let summary = load.finish();
    assert_invariants(&summary);
    assert_eq!(summary["failed"], 0, "{summary}");
}

/// SIGTERM interrupts no stream: the node leaves the list of entries, serves requests
/// that still arrive, finishes its streams and exits.
#[test]
fn rolling_replacement_cuts_no_stream() {
    let mut fleet = start_site(3, 3, &[]);
    let load = Load::start(&fleet, 12, 40, 3);
    for name in ["entry-1", "entry-2", "entry-3"] {
        let mut old = fleet.nodes.remove(name).expect("the node runs");
        old.signal("TERM");
        let status = old.wait(Duration::from_secs(15));
        assert!(status.success(), "{name} exited with {status}");
        fleet.add_node(name, &SHORT_INTERVALS);
        wait_serving(&fleet, name);
    }
    let summary = load.finish();
    assert_invariants(&summary);
    assert_eq!(summary["failed"], 0, "{summary}");
    assert_eq!(summary["unknown"], 0, "{summary}");
}

/// All nodes are killed and restarted at once; each answers within a second of its
/// listener being up.
#[test]
fn restarted_herd_serves_within_a_second() {
    let mut fleet = start_site(3, 5, &[]);
    let names: Vec<String> = fleet.nodes.keys().cloned().collect();
    for name in &names {
        fleet.nodes.remove(name).expect("the node runs").kill();
    }
    for name in &names {
        fleet.add_node(name, &SHORT_INTERVALS);
    }
    let started = Instant::now();
    for name in &names {
        wait_serving(&fleet, name);
    }
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
}

/// A node that is suspended for longer than its peers' failure timeout is suspected
/// and removed from the list of entries, and listed again once it continues.
#[test]
fn frozen_node_is_left_out_and_taken_back() {
    let fleet = start_site(2, 3, &[]);
    let frozen = &fleet.nodes["entry-3"];
    let listed = |fleet: &flamingolock_testutils::fleet::ProcessFleet| {
        let url = format!("http://{}/v1/entries", fleet.nodes["entry-1"].address);
        let body: serde_json::Value = ureq::get(&url)
            .call()
            .and_then(|mut answer| answer.body_mut().read_json())
            .expect("entries are answered");
        body["entries"]
            .to_string()
            .contains(&fleet.nodes["entry-3"].address.to_string())
    };
    wait::until("entry-3 is listed", Duration::from_secs(5), || {
        listed(&fleet)
    });
    frozen.signal("STOP");
    wait::until(
        "entry-3 is no longer listed",
        Duration::from_secs(10),
        || !listed(&fleet),
    );
    let load = Load::start(&fleet, 3, 30, 4);
    let summary = load.finish();
    frozen.signal("CONT");
    assert_invariants(&summary);
    wait::until("entry-3 is listed again", Duration::from_secs(10), || {
        listed(&fleet)
    });
}
