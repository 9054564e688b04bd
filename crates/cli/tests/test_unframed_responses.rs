//! Responses of endpoints that have neither a length nor chunks and end with their
//! connection.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use entry_site::{Node, Site, call, draft, event_ids, stream, wait_for};
use flamingolock_platform_standin::{Engine, EngineMode};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

fn start(engines: EngineMode, app_servers: EngineMode) -> (Site, Node) {
    let site = Site::start(EVENT_INTERVAL);
    for engine in &site.engines {
        engine.set_mode(engines);
    }
    for server in &site.app_servers {
        server.set_mode(app_servers);
    }
    let node = site.node("node-1");
    (site, node)
}

#[test]
fn whole_responses_without_framing_are_complete() {
    let (_site, node) = start(EngineMode::Unframed, EngineMode::Unframed);
    for path in ["/draft/a", "/tag/a"] {
        let answer = stream(&node, path, path);
        assert!(answer.complete, "{path}: {}", node.log());
        assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
    }
    for path in ["/book/a", "/look/a"] {
        let answer = call(&node, path, path, &[]);
        assert_eq!((answer.status, answer.complete), (200, true), "{path}");
        assert_eq!(answer.body, format!("done {path}"));
    }
}

#[test]
fn stream_cut_inside_an_event_is_not_reported_as_complete() {
    let (site, node) = start(EngineMode::UnframedCutAfter(4), EngineMode::Healthy);
    let answer = stream(&node, "/tag/a", "r1");
    assert!(!answer.complete, "{:?}", answer.body);
    assert_eq!(site.executions("r1"), 1);
}

#[test]
fn stream_cut_inside_an_event_continues_at_another_engine() {
    let (site, node) = start(EngineMode::Healthy, EngineMode::Healthy);
    site.engines[0].set_mode(EngineMode::UnframedCutAfter(4));
    for index in 0..8 {
        let answer = draft(&node, index, &format!("r{index}"), &[]);
        assert!(answer.complete, "{}", node.log());
        assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
    }
    assert!(!site.engines[0].runs().is_empty(), "no stream was cut");
}

#[test]
fn stream_that_every_engine_cuts_inside_an_event_is_not_reported_as_complete() {
    let (_site, node) = start(EngineMode::UnframedCutAfter(4), EngineMode::Healthy);
    let answer = stream(&node, "/draft/a", "r1");
    assert!(!answer.complete, "{:?}", answer.body);
}

#[test]
fn stream_of_an_engine_that_crashes_between_events_is_not_reported_as_complete() {
    let (site, node) = start(EngineMode::UnframedCrashAfter(4), EngineMode::Healthy);
    let answer = stream(&node, "/tag/a", "r1");
    assert!(!answer.complete, "{:?}", answer.body);
    assert_eq!(event_ids(&answer.body), (1..=4).collect::<Vec<_>>());
    assert_eq!(site.executions("r1"), 1);
}

#[test]
fn stream_of_an_engine_that_restarts_between_events_is_not_reported_as_complete() {
    let (site, node) = start(EngineMode::UnframedCrashAfter(4), EngineMode::Healthy);
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            let crashed = || site.engines.iter().any(Engine::has_crashed);
            wait_for("a crash", crashed);
            site.engines.iter().for_each(Engine::restart);
        });
        stream(&node, "/tag/a", "r1")
    });
    assert!(!answer.complete, "{:?}", answer.body);
}

#[test]
fn stream_of_an_engine_that_crashes_between_events_continues_at_another_engine() {
    let (site, node) = start(EngineMode::Healthy, EngineMode::Healthy);
    site.engines[0].set_mode(EngineMode::UnframedCrashAfter(4));
    for index in 0..8 {
        let answer = draft(&node, index, &format!("r{index}"), &[]);
        assert!(answer.complete, "{}", node.log());
        assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
    }
    assert!(site.engines[0].has_crashed(), "no stream was cut");
}

#[test]
fn stream_without_an_event_is_not_reported_as_complete() {
    let (site, node) = start(EngineMode::UnframedEmpty, EngineMode::Healthy);
    let answer = stream(&node, "/tag/a", "r1");
    assert_eq!((answer.status, site.executions("r1")), (502, 1));
}

#[test]
fn whole_body_that_was_reset_is_not_reported_as_complete() {
    let (site, node) = start(EngineMode::Healthy, EngineMode::UnframedCutAfter(0));
    let answer = call(&node, "/book/a", "r1", &[]);
    assert_eq!((answer.status, site.executions("r1")), (502, 1));
}

#[test]
fn whole_body_of_a_server_that_crashes_is_not_reported_as_complete() {
    let (site, node) = start(EngineMode::Healthy, EngineMode::UnframedCrashAfter(0));
    let answer = call(&node, "/book/a", "r1", &[]);
    assert_eq!((answer.status, site.executions("r1")), (502, 1));
}

#[test]
fn look_up_at_a_server_that_crashes_is_answered_by_another() {
    let (site, node) = start(EngineMode::Healthy, EngineMode::Healthy);
    site.app_servers[0].set_mode(EngineMode::UnframedCrashAfter(0));
    for index in 0..8 {
        let id = format!("r{index}");
        let answer = call(&node, "/look/a", &id, &[]);
        assert_eq!((answer.status, answer.body), (200, format!("done {id}")));
    }
    assert!(site.app_servers[0].has_crashed(), "no body was cut");
}

#[test]
fn broken_stream_is_not_reported_as_complete_to_a_caller_without_chunks() {
    let (site, node) = start(EngineMode::BreakAfter(4), EngineMode::Healthy);
    let mut connection = TcpStream::connect(node.front).expect("the node listens");
    let request = "POST /tag/a HTTP/1.0\r\nhost: site.example\r\nrequest-id: r1\r\n\
                   authorization: Bearer key-1\r\nmodel: planner\r\ncontent-length: 0\r\n\r\n";
    connection
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut response = String::new();
    connection
        .read_to_string(&mut response)
        .expect("the response ends");
    assert!(response.starts_with("HTTP/1.0 505"), "{response}");
    assert_eq!(site.executions("r1"), 0);
}
