//! Log, instance list and stores of the stand-in platform, and their faults.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{KeepAliveConnection, LOOPBACK, call, control, eventually, get, post, send};
use flamingolock_standins::platform::{
    self, Handle, InstanceState, NewRecord, OutageMode, Part, PlatformOptions,
};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

fn start(runtime: &Runtime, options: PlatformOptions) -> Handle {
    runtime
        .block_on(platform::start(options, LOOPBACK))
        .unwrap()
}

fn append(addr: SocketAddr, ids: &[&str]) -> (u16, Value) {
    let records = ids
        .iter()
        .map(|id| json!({ "id": id, "body": { "of": id } }));
    let records: Vec<Value> = records.collect();
    post(addr, "/log/manifest", &json!({ "records": records }))
}

fn ids(page: &Value) -> Vec<&str> {
    let records = page["records"].as_array().unwrap().iter();
    records
        .map(|record| record["id"].as_str().unwrap())
        .collect()
}

#[test]
fn log_keeps_ids_in_order_and_wakes_a_waiting_reader() {
    let runtime = Runtime::new().unwrap();
    let platform = start(&runtime, PlatformOptions::default());
    let addr = platform.addr();
    let begin = Instant::now();
    let waiting = std::thread::spawn(move || get(addr, "/log/manifest?from=0&wait_ms=5000"));
    std::thread::sleep(Duration::from_millis(50));
    let appended = json!({ "first_offset": 0, "count": 2 });
    assert_eq!(append(addr, &["a", "b"]), (200, appended));
    let page = waiting.join().unwrap();
    assert!(begin.elapsed() < Duration::from_secs(4));
    assert_eq!((&page["start"], &page["end"]), (&json!(0), &json!(2)));
    assert_eq!(ids(&page), ["a", "b"]);
    assert_eq!(append(addr, &["c"]).1["first_offset"], 2);
    let page = get(addr, "/log/manifest?from=1&max=1");
    assert_eq!(ids(&page), ["b"]);
    assert_eq!(page["records"][0]["offset"], 1);
    assert_eq!(page["records"][0]["body"], json!({ "of": "b" }));
    assert_eq!(ids(&get(addr, "/log/other")), [""; 0]);
}

#[test]
fn log_limits_the_append_rate() {
    let runtime = Runtime::new().unwrap();
    let options = PlatformOptions {
        appends_per_s: 20.0,
        ..PlatformOptions::default()
    };
    let platform = start(&runtime, options);
    let statuses: Vec<u16> = (0..6).map(|_| append(platform.addr(), &["a"]).0).collect();
    assert_eq!(statuses[..2], [200, 200]);
    let refused = statuses.iter().filter(|status| **status == 429).count() as u64;
    assert!(refused >= 2, "{statuses:?}");
    assert_eq!(platform.report().log.refused, refused);
    assert_eq!(platform.report().log.records, 6 - refused);
    eventually("the rate recovers", || {
        append(platform.addr(), &["b"]).0 == 200
    });
}

#[test]
fn log_trims_by_count_and_by_age() {
    let runtime = Runtime::new().unwrap();
    let options = PlatformOptions {
        max_records: 2,
        max_age_ms: 300,
        ..PlatformOptions::default()
    };
    let platform = start(&runtime, options);
    append(platform.addr(), &["a", "b", "c"]);
    let trimmed = call("GET", platform.addr(), "/log/manifest?from=0", &Value::Null);
    assert_eq!(trimmed, (410, json!({ "start": 1, "end": 3 })));
    assert_eq!(
        ids(&get(platform.addr(), "/log/manifest?from=1")),
        ["b", "c"]
    );
    eventually("records age out", || {
        get(platform.addr(), "/log/manifest?from=3")["start"] == 3
    });
}

#[test]
fn lost_answers_follow_appends_that_took_effect() {
    let runtime = Runtime::new().unwrap();
    let platform = start(&runtime, PlatformOptions::default());
    let addr = platform.addr();
    control(addr, "/standin/lose?next=1");
    let record = json!({ "records": [{ "id": "lost", "body": 0 }] });
    assert!(send("POST", addr, "/log/manifest", &record).is_err());
    assert_eq!(ids(&get(addr, "/log/manifest")), ["lost"]);
    assert_eq!(append(addr, &["next"]).0, 200);
    platform.set_lose_probability(1.0);
    assert!(send("POST", addr, "/log/manifest", &record).is_err());
    let log = platform.report().log;
    assert_eq!((log.appends, log.lost_answers), (3, 2));
}

#[test]
fn outages_refuse_or_hang_one_part() {
    let runtime = Runtime::new().unwrap();
    let platform = start(&runtime, PlatformOptions::default());
    let addr = platform.addr();
    control(addr, "/standin/outage?ms=60000&mode=refuse&part=log");
    assert_eq!(append(addr, &["a"]).0, 503);
    assert_eq!(call("GET", addr, "/log/manifest", &Value::Null).0, 503);
    get(addr, "/instances");
    assert_eq!(
        post(addr, "/standin/outage?ms=1&part=lock", &Value::Null).0,
        400
    );
    platform.begin_outage(Part::Log, OutageMode::Hang, Duration::from_millis(500));
    let mut connection = KeepAliveConnection::open(addr);
    connection.send("/log/manifest");
    assert!(connection.is_silent());
    assert!(connection.receive().is_empty());
    assert_eq!(append(addr, &["b"]).0, 200);
    assert_eq!(ids(&get(addr, "/log/manifest")), ["b"]);
}

#[test]
fn outage_reaches_a_reader_that_waits_and_not_an_injected_record() {
    let runtime = Runtime::new().unwrap();
    let platform = start(&runtime, PlatformOptions::default());
    let addr = platform.addr();
    let waiting =
        std::thread::spawn(move || call("GET", addr, "/log/manifest?wait_ms=5000", &Value::Null).0);
    std::thread::sleep(Duration::from_millis(100));
    platform.begin_outage(Part::Log, OutageMode::Refuse, Duration::from_mins(1));
    let record = NewRecord {
        id: "raw".to_owned(),
        body: json!("not a manifest"),
    };
    platform.inject("manifest", record);
    assert_eq!(waiting.join().unwrap(), 503);
    let record = json!({ "id": "again", "body": 1 });
    let (status, injected) = post(addr, "/standin/log/manifest", &record);
    assert_eq!((status, injected), (200, json!({ "offset": 1 })));
    platform.begin_outage(Part::Log, OutageMode::Refuse, Duration::ZERO);
    assert_eq!(ids(&get(addr, "/log/manifest")), ["raw", "again"]);
}

#[test]
fn slow_append_takes_effect_after_its_writer_has_left() {
    let runtime = Runtime::new().unwrap();
    let platform = start(&runtime, PlatformOptions::default());
    let addr = platform.addr();
    control(addr, "/standin/slow?ms=300");
    let begin = Instant::now();
    assert_eq!(append(addr, &["a"]).0, 200);
    assert!(begin.elapsed() >= Duration::from_millis(300));
    let leaving = std::thread::spawn(move || append(addr, &["b"]));
    std::thread::sleep(Duration::from_millis(150));
    platform.cut_connections();
    assert!(leaving.join().is_err(), "the writer hears nothing");
    eventually("the append takes effect", || {
        platform.report().log.records == 2
    });
}

#[test]
fn instance_list_lags_and_tells_who_leaves() {
    let runtime = Runtime::new().unwrap();
    let platform = start(&runtime, PlatformOptions::default());
    let addr = platform.addr();
    let entry = json!({ "kind": "entry", "address": "127.0.0.1:1", "zone": "a" });
    let path = "/standin/instances/node-1";
    assert_eq!(call("PUT", addr, path, &entry).0, 204);
    let line = get(addr, "/instances")["instances"][0].clone();
    let expected = json!({
        "name": "node-1", "kind": "entry", "address": "127.0.0.1:1", "peer_address": null,
        "zone": "a", "state": "live",
    });
    assert_eq!(line, expected);

    control(addr, "/standin/list_lag?ms=300");
    let begin = Instant::now();
    assert!(platform.set_state("node-1", InstanceState::Leaving));
    assert_eq!(get(addr, "/instances")["instances"][0]["state"], "live");
    eventually("the list catches up", || {
        get(addr, "/instances")["instances"][0]["state"] == "leaving"
    });
    assert!(begin.elapsed() >= Duration::from_millis(300));
    control(addr, &format!("{path}/live"));
    assert_eq!(call("DELETE", addr, path, &Value::Null).0, 204);
    eventually("the instance goes", || {
        get(addr, "/instances") == json!({ "instances": [] })
    });
    assert!(!platform.set_state("node-1", InstanceState::Live));
}

#[test]
fn kv_store_keeps_bytes_by_key() {
    let runtime = Runtime::new().unwrap();
    let platform = start(&runtime, PlatformOptions::default());
    let addr = platform.addr();
    assert_eq!(call("PUT", addr, "/kv/a/b", &json!([1, 2])).0, 204);
    assert_eq!(get(addr, "/kv/a/b"), json!([1, 2]));
    let keys = json!({ "keys": [{ "key": "a/b", "bytes": 5 }] });
    assert_eq!(get(addr, "/kv"), keys);
    assert_eq!(call("DELETE", addr, "/kv/a/b", &Value::Null).0, 204);
    assert_eq!(call("GET", addr, "/kv/a/b", &Value::Null).0, 404);
}
