//! Faults injected by the proxy.

mod common;

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{Events, KeepAliveConnection, LOOPBACK, call, control, eventually, get, post, send};
use flamingolock_standins::engine::{self, EngineOptions};
use flamingolock_standins::proxy::{self, DirectionFaults, Faults, NewConnections};
use flamingolock_standins::service::{self, ServiceOptions};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

struct Setup {
    runtime: Runtime,
    service: service::Handle,
    proxy: proxy::Handle,
}

fn setup() -> Setup {
    let runtime = Runtime::new().unwrap();
    let options = ServiceOptions::default();
    let service = runtime.block_on(service::start(options, LOOPBACK)).unwrap();
    let proxy = proxy::start(LOOPBACK, service.addr());
    let proxy = runtime.block_on(proxy).unwrap();
    Setup {
        runtime,
        service,
        proxy,
    }
}

fn down(down: DirectionFaults) -> Faults {
    Faults {
        down,
        ..Faults::default()
    }
}

/// Sends a request on the connection and returns the bytes received.
fn exchange(connection: &mut KeepAliveConnection, path: &str) -> String {
    connection.send(path);
    String::from_utf8(connection.receive()).unwrap()
}

/// Sends a request on the connection and returns whether it gets no response.
fn is_silent(connection: &mut KeepAliveConnection, path: &str) -> bool {
    connection.send(path);
    connection.is_silent()
}

#[test]
fn passes_everything_without_faults() {
    let setup = setup();
    let mut connection = KeepAliveConnection::open(setup.proxy.addr());
    for _ in 0..2 {
        assert!(exchange(&mut connection, "/a").starts_with("HTTP/1.1 200"));
    }
    assert_eq!(setup.service.executions()["test"], 2);
    assert_eq!(setup.proxy.accepted(), 1);
}

#[test]
fn existing_connections_fall_silent_while_new_ones_work() {
    let setup = setup();
    let mut connection = KeepAliveConnection::open(setup.proxy.addr());
    assert!(!exchange(&mut connection, "/a").is_empty());
    setup.proxy.silence_existing();
    assert!(is_silent(&mut connection, "/a"));
    get(setup.proxy.addr(), "/a");
    assert_eq!(
        setup.service.executions()["test"],
        2,
        "the silenced call never reaches the service"
    );
    // The proxy doesn't forward the target's close either.
    setup.service.cut_connections();
    assert!(connection.is_silent());
    setup.proxy.cut_existing();
    assert!(connection.receive().is_empty());
}

#[test]
fn existing_connections_are_reset_or_end_regularly() {
    let setup = setup();
    let mut connection = TcpStream::connect(setup.proxy.addr()).unwrap();
    eventually("it is accepted", || setup.proxy.accepted() == 1);
    setup.proxy.reset_existing();
    let error = connection.read(&mut [0]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);

    let mut connection = TcpStream::connect(setup.proxy.addr()).unwrap();
    eventually("it is accepted", || setup.proxy.accepted() == 2);
    setup.proxy.cut_existing();
    assert_eq!(connection.read(&mut [0]).unwrap(), 0);
}

#[test]
fn new_connections_are_closed_or_silent() {
    let setup = setup();
    let with = |new_connections| Faults {
        new_connections,
        ..Faults::default()
    };
    setup.proxy.set_faults(with(NewConnections::Close));
    assert!(send("GET", setup.proxy.addr(), "/a", &Value::Null).is_err());
    setup.proxy.set_faults(with(NewConnections::Silence));
    assert!(is_silent(
        &mut KeepAliveConnection::open(setup.proxy.addr()),
        "/a"
    ));
    assert!(setup.service.executions().is_empty());
    setup.proxy.set_faults(Faults::default());
    get(setup.proxy.addr(), "/a");
}

#[test]
fn delay_shifts_a_stream_without_stretching_it() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions::default();
    let engine = runtime.block_on(engine::start(options, LOOPBACK)).unwrap();
    let proxy = proxy::start(LOOPBACK, engine.addr());
    let proxy = runtime.block_on(proxy).unwrap();
    proxy.set_faults(down(DirectionFaults {
        delay_ms: 200,
        ..DirectionFaults::default()
    }));
    let begin = Instant::now();
    let events = Events::start(proxy.addr(), "r1", "a survey", 30).rest();
    assert_eq!(events.last().unwrap(), "[DONE]");
    let passed = begin.elapsed().as_millis();
    assert!((490..1500).contains(&passed), "{passed} ms");
}

#[test]
fn stream_is_cut_after_some_bytes_and_only_once() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions::default();
    let engine = runtime.block_on(engine::start(options, LOOPBACK)).unwrap();
    let proxy = proxy::start(LOOPBACK, engine.addr());
    let proxy = runtime.block_on(proxy).unwrap();
    proxy.set_faults(down(DirectionFaults {
        cut_after: Some(1000),
        ..DirectionFaults::default()
    }));
    let events = Events::start(proxy.addr(), "r1", "a survey", 30).rest();
    assert!((1..30).contains(&events.len()), "{} events", events.len());
    let path = format!("/v1/streams/r1?from={}", events.len());
    let resumed = send("GET", proxy.addr(), &path, &Value::Null).unwrap();
    assert_eq!(Events::of(resumed).rest().last().unwrap(), "[DONE]");
    assert_eq!(proxy.faults(), Faults::default());
}

#[test]
fn every_connection_is_cut_at_the_same_byte() {
    let setup = setup();
    setup.proxy.set_faults(down(DirectionFaults {
        cut_each: Some(7),
        ..DirectionFaults::default()
    }));
    for _ in 0..2 {
        let mut connection = KeepAliveConnection::open(setup.proxy.addr());
        assert_eq!(exchange(&mut connection, "/a"), "HTTP/1.");
        assert!(connection.receive().is_empty());
    }
}

#[test]
fn answers_are_repeated() {
    let setup = setup();
    setup
        .proxy
        .change_faults(|faults| faults.down.repeat_next = 1);
    let mut connection = KeepAliveConnection::open(setup.proxy.addr());
    let response = exchange(&mut connection, "/a");
    assert_eq!(response.matches("HTTP/1.1 200").count(), 2);
    let response = exchange(&mut connection, "/a");
    assert_eq!(response.matches("HTTP/1.1 200").count(), 1);
}

#[test]
fn calls_are_repeated_towards_the_target() {
    let setup = setup();
    setup
        .proxy
        .change_faults(|faults| faults.up.repeat_next = 1);
    let mut connection = KeepAliveConnection::open(setup.proxy.addr());
    exchange(&mut connection, "/a");
    eventually("the call runs twice", || {
        setup.service.executions()["test"] == 2
    });
}

#[test]
fn answers_of_two_connections_are_swapped() {
    let setup = setup();
    setup.proxy.change_faults(|faults| faults.cross_next = true);
    let mut first = KeepAliveConnection::open(setup.proxy.addr());
    assert!(
        is_silent(&mut first, "/standin/nothing"),
        "the first response is held until a second one arrives"
    );
    let mut second = KeepAliveConnection::open(setup.proxy.addr());
    let swapped = exchange(&mut second, "/a");
    assert!(swapped.starts_with("HTTP/1.1 404"), "{swapped}");
    let swapped = String::from_utf8(first.receive()).unwrap();
    assert!(swapped.starts_with("HTTP/1.1 200"), "{swapped}");
    assert!(exchange(&mut second, "/a").starts_with("HTTP/1.1 200"));
}

#[test]
fn one_process_serves_many_routes() {
    let setup = setup();
    let control_handle = proxy::start_control(LOOPBACK);
    let control_handle = setup.runtime.block_on(control_handle).unwrap();
    let addr = control_handle.addr();
    let request = json!({ "listen": LOOPBACK, "target": setup.service.addr() });
    let routes: Vec<SocketAddr> = (0..2)
        .map(|_| {
            let (status, created) = post(addr, "/standin/routes", &request);
            assert_eq!(status, 200, "{created}");
            serde_json::from_value(created["listen"].clone()).unwrap()
        })
        .collect();
    let faults = json!({ "new_connections": "close" });
    let path = format!("/standin/routes/{}/faults", routes[0]);
    assert_eq!(call("PUT", addr, &path, &faults).0, 204);
    assert!(send("GET", routes[0], "/a", &Value::Null).is_err());
    let mut connection = KeepAliveConnection::open(routes[1]);
    assert!(!exchange(&mut connection, "/a").is_empty());
    control(addr, &format!("/standin/routes/{}/silence", routes[1]));
    assert!(is_silent(&mut connection, "/a"));
    let listed = get(addr, "/standin/routes");
    assert_eq!(listed["routes"].as_array().unwrap().len(), 2);
    let typo = json!({ "new_connection": "close" });
    assert_eq!(call("PUT", addr, &path, &typo).0, 400);

    let path = format!("/standin/routes/{}", routes[0]);
    assert_eq!(call("DELETE", addr, &path, &Value::Null).0, 204);
    eventually("the route is gone", || {
        TcpStream::connect(routes[0]).is_err()
    });
    assert_eq!(
        control_handle.with_route(routes[1], proxy::Handle::accepted),
        Some(1)
    );
}

#[test]
fn end_of_the_client_is_passed_on() {
    let setup = setup();
    let mut tcp = TcpStream::connect(setup.proxy.addr()).unwrap();
    tcp.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    tcp.shutdown(std::net::Shutdown::Write).unwrap();
    let mut response = Vec::new();
    tcp.read_to_end(&mut response).unwrap();
    assert!(response.is_empty());
}
