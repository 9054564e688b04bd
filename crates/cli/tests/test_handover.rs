//! Requests that a node hands to another one because it reaches no endpoint itself.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use entry_site::{
    LinkedNode, Site, WAIT_TIMEOUT, call, draft, event_ids, request, stream, wait_for,
};
use flamingolock_platform_standin::{Engine, EngineMode, LinkState};

/// Pause between two of the ten events of a stream.
const PAUSE: Duration = Duration::from_millis(150);

/// Time within which the run of a caller that left has to end.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// Starts two nodes, the first of which is cut off from all endpoints and knows it.
fn start() -> (Site, LinkedNode, LinkedNode) {
    start_with(PAUSE)
}

/// The same with another pause between two events.
fn start_with(pause: Duration) -> (Site, LinkedNode, LinkedNode) {
    let site = Site::start(pause);
    let cut = site.linked_node("node-1");
    let other = site.linked_node("node-2");
    cut.cut_off();
    (site, cut, other)
}

/// Sends a request for a stream, and returns once the first bytes of its body are there.
fn open_stream(node: &LinkedNode, path: &str, id: &str) -> TcpStream {
    let mut connection = TcpStream::connect(node.node.front).expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-1\r\nrequest-id: {id}\r\n\
         deadline-ms: 8000\r\nmodel: planner\r\ntoken-usage: 1000,64\r\nprefix-hash: aa:300,bb:400,cc:300\r\n\
         content-length: 0\r\n\r\n"
    );
    connection
        .write_all(head.as_bytes())
        .expect("the request can be sent");
    connection
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout can be set");
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains("id: 1\n") {
        let mut buffer = [0; 1024];
        let length = connection.read(&mut buffer).expect("a part of the stream");
        assert!(length > 0, "{}", String::from_utf8_lossy(&bytes));
        bytes.extend_from_slice(&buffer[..length]);
    }
    connection
}

#[test]
fn handed_request_reaches_the_endpoint_as_its_caller_sent_it() {
    let (site, cut, _other) = start();
    let more = [("x-own", "kept"), ("last-event-id", "4")];
    let answer = call(&cut.node, "/look/a?b=1", "whole", &more);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.headers.contains_key("response-signature"));
    assert!(!answer.headers.contains_key("flamingolock-refused"));
    let starts = site.app_servers.iter().flat_map(Engine::started_runs);
    let starts: Vec<_> = starts.filter(|start| start.request == "whole").collect();
    assert_eq!(starts.len(), 1);
    let text = |name: &str| starts[0].headers.get(name)?.to_str().ok();
    assert_eq!(text("x-own"), Some("kept"));
    assert_eq!(text("last-event-id"), Some("4"));
    assert_eq!(text("tenant"), Some("workspace-1"));
    assert_eq!(text("authorization"), None);
    let left: u64 = text("deadline-ms")
        .and_then(|left| left.parse().ok())
        .expect("a deadline");
    assert!(left <= 2_000, "{left} ms");
    let own = starts[0]
        .headers
        .keys()
        .filter(|name| name.as_str().starts_with("flamingolock"));
    assert_eq!(own.count(), 0);
}

#[test]
fn handed_stream_passes_on_event_by_event() {
    let (_site, cut, _other) = start();
    let started = Instant::now();
    let mut connection = open_stream(&cut, "/tag/a", "events");
    assert!(started.elapsed() < 6 * PAUSE, "{:?}", started.elapsed());
    let mut rest = Vec::new();
    while !String::from_utf8_lossy(&rest).contains("id: 10\n") {
        let mut buffer = [0; 1024];
        let length = connection
            .read(&mut buffer)
            .expect("the rest of the stream");
        assert!(length > 0);
        rest.extend_from_slice(&buffer[..length]);
    }
}

#[test]
fn half_of_a_handed_stream_never_looks_complete() {
    for path in ["/tag/a", "/draft/a"] {
        let (site, cut, mut other) = start();
        let id = "half";
        let answer = std::thread::scope(|scope| {
            let answer = scope.spawn(|| stream(&cut.node, path, id));
            wait_for("the run", || site.executions(id) == 1);
            std::thread::sleep(3 * PAUSE);
            other.node.kill();
            answer.join().expect("an answer")
        });
        assert!(!answer.complete, "{path}: {answer:?}");
        assert!(event_ids(&answer.body).len() < 10, "{path}: {answer:?}");
    }
}

#[test]
fn handed_stream_is_finished_by_a_node_that_is_stopped_as_planned() {
    let (site, cut, mut other) = start();
    let answer = std::thread::scope(|scope| {
        let answer = scope.spawn(|| stream(&cut.node, "/tag/a", "stopped"));
        wait_for("the run", || site.executions("stopped") == 1);
        std::thread::sleep(PAUSE);
        other.node.signal("TERM");
        answer.join().expect("an answer")
    });
    assert!(answer.complete, "{answer:?}");
    assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
    assert!(other.node.wait_exit());
}

#[test]
fn run_of_a_handed_request_ends_when_its_caller_leaves() {
    let (_site, cut, other) = start();
    drop(open_stream(&cut, "/tag/a", "left"));
    let left_at = Instant::now();
    wait_for("the end of the run", || {
        let log = other.node.log();
        let mut lines = log.lines();
        lines.any(|line| line.contains("\"left\"") && line.contains("caller left"))
    });
    assert!(left_at.elapsed() < CANCEL_TIME, "{:?}", left_at.elapsed());
}

#[test]
fn run_ends_when_its_caller_leaves_before_the_first_byte() {
    let (site, cut, other) = start();
    for server in &site.app_servers {
        server.set_mode(EngineMode::Silent);
    }
    let mut connection = TcpStream::connect(cut.node.front).expect("a connection");
    let head = "POST /look/a HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-1\r\n\
                request-id: early\r\ndeadline-ms: 2000\r\ncontent-length: 0\r\n\r\n";
    connection
        .write_all(head.as_bytes())
        .expect("the request can be sent");
    wait_for("the run", || site.executions("early") == 1);
    drop(connection);
    let left_at = Instant::now();
    wait_for("the end of the run", || {
        let metrics = request(other.node.metrics, "GET", "/metrics", &[]).body;
        metrics
            .lines()
            .any(|line| line.contains("run_end") && line.contains("caller_left"))
    });
    assert!(left_at.elapsed() < CANCEL_TIME, "{:?}", left_at.elapsed());
}

#[test]
fn request_that_may_run_again_leaves_a_frozen_node() {
    let site = Site::start(PAUSE);
    let cut = site.linked_node("node-1");
    let frozen = site.linked_node("node-2");
    let other = site.linked_node("node-3");
    cut.cut_off();
    frozen.node.signal("STOP");
    let answers: Vec<_> = (0..8)
        .map(|number| call(&cut.node, "/look/a", &format!("frozen-{number}"), &[]))
        .collect();
    frozen.node.signal("CONT");
    assert!(
        answers.iter().all(|answer| answer.status == 200),
        "{answers:?}"
    );
    drop(other);
}

/// Guards against requests to an endpoint that is leaving: a node that had passed on its
/// notice for another node used it once its own cut was over.
#[test]
fn node_that_passed_on_the_notice_of_a_leaving_endpoint_does_not_use_it() {
    let (site, cut, _other) = start_with(Duration::from_millis(10));
    let leaving = &site.engines[0];
    leaving.set_leaving(true);
    let mut number = 0;
    wait_for("its notice over the other node", || {
        number += 1;
        let answer = draft(&cut.node, number, &format!("before-{number}"), &[]);
        answer.headers.contains_key("server-leaving")
    });
    cut.set_links(LinkState::Up);
    wait_for("the end of the cut", || {
        let log = cut.node.log();
        log.matches("reaches the endpoints of a service again")
            .count()
            >= 1
    });
    let mut served = 0;
    for number in 0..20 {
        let answer = draft(&cut.node, number, &format!("after-{number}"), &[]);
        served += usize::from(answer.status == 200);
    }
    let late = leaving.arrivals().into_iter();
    let late: Vec<String> = late.map(|arrival| arrival.request).collect();
    let late = late.iter().filter(|id| id.starts_with("after"));
    assert_eq!(late.count(), 0);
    assert!(served > 10, "{served} of 20 served");
    let answer = draft(&cut.node, 1, "header", &[]);
    let own = answer.headers.keys();
    let mut own = own.filter(|name| name.starts_with("flamingolock"));
    assert_eq!(own.next(), None);
}

#[test]
fn caller_that_claims_to_be_a_node_gains_nothing() {
    let (site, cut, other) = start();
    let headers = [
        ("host", "site.example"),
        ("authorization", "Bearer key-1"),
        ("request-id", "forged"),
        ("deadline-ms", "3000"),
        ("flamingolock-node-key", "0000000000000000"),
        ("flamingolock-catalog-version", "1"),
        ("flamingolock-possible-runs", "9"),
    ];
    let answer = request(other.node.control, "POST", "/look/a", &headers);
    assert_eq!(answer.status, 403, "{answer:?}");
    assert_eq!(site.executions("forged"), 0);
    for node in [&cut, &other] {
        let answer = request(node.node.front, "POST", "/look/a", &headers);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
