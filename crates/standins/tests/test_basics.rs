//! First contact with the platform, the service and the proxy.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use flamingolock_standins::platform::{self, PlatformOptions};
use flamingolock_standins::proxy;
use flamingolock_standins::service::{self, ServiceOptions, expected_reply};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn get(url: &str) -> Value {
    ureq::get(url)
        .call()
        .unwrap()
        .body_mut()
        .read_json()
        .unwrap()
}

#[test]
fn log_keeps_ids_in_order_and_wakes_a_waiting_reader() {
    let runtime = Runtime::new().unwrap();
    let options = PlatformOptions::default();
    let platform = runtime
        .block_on(platform::start(options, LOOPBACK))
        .unwrap();
    let log = format!("http://{}/log/manifest", platform.addr());
    let waiting = {
        let url = format!("{log}?from=0&wait_ms=5000");
        std::thread::spawn(move || get(&url))
    };
    let records = json!({ "records": [{ "id": "a", "body": 1 }, { "id": "b", "body": 2 }] });
    let mut answer = ureq::post(&log).send_json(&records).unwrap();
    let answer: Value = answer.body_mut().read_json().unwrap();
    assert_eq!(answer, json!({ "first_offset": 0, "count": 2 }));
    let page = waiting.join().unwrap();
    assert_eq!((&page["start"], &page["end"]), (&json!(0), &json!(2)));
    let page = get(&format!("{log}?from=1"));
    assert_eq!(page["records"][0]["id"], "b");
    assert_eq!(page["records"][0]["offset"], 1);
}

#[test]
fn instance_list_shows_what_was_put() {
    let runtime = Runtime::new().unwrap();
    let options = PlatformOptions::default();
    let platform = runtime
        .block_on(platform::start(options, LOOPBACK))
        .unwrap();
    let base = format!("http://{}", platform.addr());
    let entry = json!({ "kind": "entry", "address": "127.0.0.1:1", "zone": "a" });
    let url = format!("{base}/standin/instances/node-1");
    ureq::put(&url).send_json(&entry).unwrap();
    let list = get(&format!("{base}/instances"));
    assert_eq!(list["instances"][0]["name"], "node-1");
    assert_eq!(list["instances"][0]["state"], "live");
    ureq::delete(&url).call().unwrap();
    let list = get(&format!("{base}/instances"));
    assert_eq!(list, json!({ "instances": [] }));
}

#[test]
fn service_counts_each_run_and_answers_through_the_proxy() {
    let runtime = Runtime::new().unwrap();
    let options = ServiceOptions::default();
    let service = runtime.block_on(service::start(options, LOOPBACK)).unwrap();
    let proxy = runtime
        .block_on(proxy::start(LOOPBACK, service.addr()))
        .unwrap();
    let base = format!("http://{}", proxy.addr());
    for _ in 0..2 {
        let call = ureq::post(format!("{base}/bookings")).header("x-call-id", "c1");
        let mut answer = call.send("two panels").unwrap();
        assert_eq!(answer.headers()["x-call-id"], "c1");
        let text = answer.body_mut().read_to_string().unwrap();
        assert_eq!(text, expected_reply("c1", b"two panels"));
    }
    assert_eq!(
        get(&format!("{base}/standin/executions")),
        json!({ "c1": 2 })
    );
    let found = get(&format!("{base}/lookup/c1"));
    assert_eq!(found["answer"]["call_id"], "c1");
    let missing = ureq::get(format!("{base}/lookup/c2")).call();
    assert!(matches!(missing, Err(ureq::Error::StatusCode(404))));
}
