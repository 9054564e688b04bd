//! Responses of endpoints that have neither a length nor chunks and end with their
//! connection.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use entry_site::{Node, Site, call, draft, event_ids, site_configuration, stream, wait_for};
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

/// Time that a server works on a request before it begins to answer.
const WORK_TIME: Duration = Duration::from_millis(200);

/// Time from the crash of a server to the end of its connections as the node sees it. The
/// server is back by then.
const HELD_UP: Duration = Duration::from_millis(150);

/// The same if the whole answer arrives no sooner: 5 times the latency target.
const ALL_HELD_UP: Duration = Duration::from_millis(1_500);

/// What of an answer reaches the node only after its server is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldUp {
    End,
    All,
}

/// An application server that crashes in the middle of each answer, and is back under its
/// id before the end of the answer's connection reaches the node.
#[derive(Clone)]
struct RebornServer {
    address: SocketAddr,
    held_up: HeldUp,
    /// Number of its life.
    life: Arc<AtomicU64>,
    requests: Arc<AtomicU64>,
}

impl RebornServer {
    fn start(held_up: HeldUp) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            held_up,
            life: Arc::default(),
            requests: Arc::default(),
        };
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream) {
        let life = self.life.load(Ordering::Relaxed);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        let Some(head) = read_head(&mut reader) else {
            return;
        };
        // A connection does not outlive the server.
        if self.life.load(Ordering::Relaxed) != life {
            return;
        }
        let Some(id) = header(&head, "request-id") else {
            // It may have ended the connection already.
            let _ = writer.write_all(b"HTTP/1.1 400 -\r\nContent-Length: 0\r\n\r\n");
            return;
        };
        self.requests.fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(WORK_TIME);
        if self.held_up == HeldUp::All {
            self.life.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(ALL_HELD_UP);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: signed\r\nConnection: close\r\n\r\nhalf of"
        );
        let _ = writer.write_all(answer.as_bytes());
        if self.held_up == HeldUp::End {
            std::thread::sleep(HELD_UP);
            self.life.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(HELD_UP);
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            return Some(lines);
        }
        lines.push(line.trim().to_ascii_lowercase());
    }
}

fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    let mut lines = head.iter().filter_map(|line| line.split_once(':'));
    let (_, value) = lines.find(|(found, _)| *found == name)?;
    Some(value.trim())
}

/// A node at which the reborn server alone serves.
fn start_reborn(held_up: HeldUp) -> (Site, Node, RebornServer) {
    let site = Site::start(EVENT_INTERVAL);
    let server = RebornServer::start(held_up);
    let mut config: serde_json::Value =
        serde_json::from_str(&site_configuration(2, false)).expect("the site's configuration");
    // A booking is not given up while the node stands still.
    config["Routes"][2]["TimeoutMs"] = 5_000.into();
    site.store.put("keyed.op", "op/config", &config.to_string());
    let node = site.node("node-1");
    let entry = serde_json::json!({
        "Service": "desk", "Address": server.address.to_string(), "Zone": "zone-a", "Version": "v1", "Slots": 8,
        "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": 1000,
    });
    site.store
        .put("keyed.servers", "servers/reborn", &entry.to_string());
    for server in &site.app_servers {
        site.put_entry(server, "desk", "draining");
    }
    wait_for("the reborn server", || {
        let log = node.log();
        log.contains("reborn") && log.matches("endpoint is leaving").count() == 2
    });
    (site, node, server)
}

#[test]
fn half_of_a_body_whose_server_is_back_before_its_end_arrives_is_not_reported_as_complete() {
    let (_site, node, server) = start_reborn(HeldUp::End);
    for number in 0..3 {
        let answer = call(&node, "/look/a", &format!("r{number}"), &[]);
        assert_ne!(answer.status, 200, "{:?}", answer.body);
    }
    assert!(server.requests.load(Ordering::Relaxed) > 0);
}

#[test]
fn half_of_a_body_that_arrives_after_its_server_is_back_is_not_reported_as_complete() {
    let (_site, node, server) = start_reborn(HeldUp::All);
    let answer = call(&node, "/book/a", "r1", &[]);
    assert_ne!(answer.status, 200, "{:?}", answer.body);
    assert_eq!(server.requests.load(Ordering::Relaxed), 1);
}

#[test]
fn half_of_a_body_is_not_reported_as_complete_by_a_node_that_stood_still_while_its_server_restarted()
 {
    let (_site, node, server) = start_reborn(HeldUp::End);
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            wait_for("the request", || {
                server.requests.load(Ordering::Relaxed) > 0
            });
            node.signal("STOP");
            std::thread::sleep(Duration::from_millis(1_300));
            node.signal("CONT");
        });
        call(&node, "/book/a", "r1", &[])
    });
    assert_ne!(answer.status, 200, "{:?}", answer.body);
}
