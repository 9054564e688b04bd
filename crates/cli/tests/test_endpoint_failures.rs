//! Engines and services that crash, stop answering or lose responses under load.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Load, assert_invariants, start_site};

/// Sends a control command to a stand-in. Its result is ignored, because a stand-in
/// that silences its connections does not answer the command either.
fn control(address: SocketAddr, action: &str) {
    let url = format!("http://{address}/standin/{action}");
    let request = ureq::post(&url)
        .config()
        .timeout_global(Some(Duration::from_millis(500)));
    let _ = request.build().send_empty();
}

/// Streams of a crashed engine are resumed on other engines, complete and in order.
#[test]
fn crashed_engine_cuts_no_answer() {
    let fleet = start_site(3, 3, &[]);
    let load = Load::start(&fleet, 6, 40, 6);
    for name in ["engine-1", "engine-2"] {
        std::thread::sleep(Duration::from_millis(1_500));
        control(fleet.engines[name].address, "crash");
    }
    let summary = load.finish();
    assert_invariants(&summary);
    assert_eq!(summary["failed"], 0, "{summary}");
}

/// All open connections to an engine stop answering while new ones work: streams are
/// resumed over new connections.
#[test]
fn silent_connections_to_an_engine_are_replaced() {
    let fleet = start_site(3, 3, &["timing.stall_ms=500"]);
    let load = Load::start(&fleet, 6, 40, 7);
    for name in ["engine-1", "engine-2", "engine-3"] {
        std::thread::sleep(Duration::from_secs(1));
        control(fleet.engines[name].address, "silence");
    }
    let summary = load.finish();
    assert_invariants(&summary);
    assert_eq!(summary["failed"], 0, "{summary}");
}

/// Calls whose responses a service loses after executing them are never sent again,
/// and never reported as not executed.
#[test]
fn lost_answers_of_a_service_double_nothing() {
    let fleet = start_site(2, 3, &[]);
    let service = fleet.services["service-1"].address;
    control(service, "lose?next=20");
    let summary = Load::start(&fleet, 5, 60, 8).finish();
    assert_invariants(&summary);
}

/// A response of a service that ends with its connection is passed on only if it is
/// whole.
#[test]
fn truncated_responses_of_a_service_are_not_reported_as_complete() {
    let fleet = start_site(2, 3, &[]);
    let service = fleet.services["service-1"].address;
    control(service, "truncate?next=20");
    let summary = Load::start(&fleet, 5, 60, 8).finish();
    assert_invariants(&summary);
}

/// A leaving engine receives no new requests after three seconds.
#[test]
fn leaving_engine_gets_no_new_work() {
    let fleet = start_site(3, 3, &[]);
    let engine = fleet.engines["engine-1"].address;
    let load = Load::start(&fleet, 9, 40, 9);
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.list_with_state("engine-1", "engine", engine, None, "leaving");
    std::thread::sleep(Duration::from_secs(3));
    let before = started_requests(engine);
    let summary = load.finish();
    assert_invariants(&summary);
    assert_eq!(
        started_requests(engine),
        before,
        "a leaving engine received new requests"
    );
}

fn started_requests(engine: SocketAddr) -> u64 {
    let url = format!("http://{engine}/standin/oracle");
    let report: serde_json::Value = ureq::get(&url)
        .call()
        .and_then(|mut answer| answer.body_mut().read_json())
        .expect("the engine reports");
    report["started"].as_u64().expect("started is counted")
}
