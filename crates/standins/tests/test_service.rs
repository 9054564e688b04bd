//! Calls, look-ups and faults of the stand-in service.

mod common;

use std::time::{Duration, Instant};

use common::{LOOPBACK, agent, call, control, eventually, get};
use flamingolock_standins::service::{self, Handle, ServiceOptions, expected_reply};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

fn start(runtime: &Runtime, options: ServiceOptions) -> Handle {
    runtime.block_on(service::start(options, LOOPBACK)).unwrap()
}

/// Sends a booking with a call id and returns the response body.
fn book(service: &Handle, id: &str, body: &str) -> Result<String, ureq::Error> {
    let url = format!("http://{}/bookings", service.addr());
    let mut response = agent().post(url).header("x-call-id", id).send(body)?;
    assert_eq!(response.headers()["x-call-id"], id);
    response.body_mut().read_to_string()
}

#[test]
fn each_run_is_counted_and_answered_by_id_and_body() {
    let runtime = Runtime::new().unwrap();
    let service = start(&runtime, ServiceOptions::default());
    for _ in 0..2 {
        let reply = book(&service, "c1", "two panels").unwrap();
        assert_eq!(reply, expected_reply("c1", b"two panels"));
    }
    assert_ne!(expected_reply("c1", b"two"), expected_reply("c2", b"two"));
    assert_ne!(expected_reply("c1", b"two"), expected_reply("c1", b"one"));
    let counts = json!({ "c1": 2 });
    assert_eq!(get(service.addr(), "/standin/executions"), counts);
    assert_eq!(json!(service.executions()), counts);

    let found = get(service.addr(), "/lookup/c1");
    let answer: Value = serde_json::from_str(&expected_reply("c1", b"two panels")).unwrap();
    let expected = json!({ "call_id": "c1", "status": "done", "answer": answer });
    assert_eq!(found, expected);
    assert_eq!(
        call("GET", service.addr(), "/lookup/c2", &Value::Null).0,
        404
    );
}

#[test]
fn call_runs_to_its_end_when_nobody_hears_the_answer() {
    let runtime = Runtime::new().unwrap();
    let service = start(&runtime, ServiceOptions::default());
    control(service.addr(), "/standin/lose?next=1");
    assert!(book(&service, "lost", "x").is_err());
    assert_eq!(service.executions()["lost"], 1);
    service.set_delay(Duration::from_millis(300));
    std::thread::scope(|scope| {
        let begin = Instant::now();
        let booking = scope.spawn(|| book(&service, "cut", "x"));
        eventually("the call begins", || {
            service.executions().contains_key("cut")
        });
        assert_eq!(
            call("GET", service.addr(), "/lookup/cut", &Value::Null).0,
            404
        );
        service.cut_connections();
        assert!(booking.join().unwrap().is_err());
        eventually("the call ends", || {
            call("GET", service.addr(), "/lookup/cut", &Value::Null).0 == 200
        });
        assert!(begin.elapsed() >= Duration::from_millis(300));
    });
}

#[test]
fn crash_refuses_connections_for_a_time() {
    let runtime = Runtime::new().unwrap();
    let service = start(&runtime, ServiceOptions::default());
    service.crash(Duration::from_millis(300));
    eventually("connections are refused", || {
        book(&service, "a", "x").is_err()
    });
    eventually("the service is back", || book(&service, "b", "x").is_ok());
    assert!(!service.executions().contains_key("a"));
}

#[test]
fn dropping_the_handle_closes_the_socket() {
    let runtime = Runtime::new().unwrap();
    let service = start(&runtime, ServiceOptions::default());
    let addr = service.addr();
    let mut connection = common::KeepAliveConnection::open(addr);
    connection.send("/standin/executions");
    assert!(!connection.receive().is_empty());
    drop(service);
    assert!(
        connection.receive().is_empty(),
        "the open connection closes"
    );
    eventually("connections are refused", || {
        std::net::TcpStream::connect(addr).is_err()
    });
}
