//! Nodes are stopped as planned while callers send requests.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use entry_site::{Answer, Node, PROMPT, Site, call, draft, stream, wait_for};
use flamingolock_platform_standin::EngineMode;

/// Callers that send one request after the other.
const CALLERS: usize = 12;

/// A request that an endpoint has run was answered: the node took it, so its stop is no
/// reason to cut it off.
#[test]
fn requests_that_were_accepted_just_before_a_stop_are_answered() {
    let site = Site::start(Duration::from_millis(20));
    let mut node = site.node("node-1");
    let stopped = AtomicBool::new(false);
    let answers: Vec<(String, Answer)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (node, stopped) = (&node, &stopped);
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    for number in 0.. {
                        let id = format!("c{caller}-{number}");
                        let answer = match caller % 3 {
                            0 => call(node, "/look/a", &id, &[]),
                            1 => call(node, "/book/a", &id, &[]),
                            _ => draft(node, caller, &id, &[]),
                        };
                        let refused = answer.status == 0;
                        answers.push((id, answer));
                        if refused && stopped.load(Ordering::Relaxed) {
                            return answers;
                        }
                    }
                    answers
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(700));
        node.signal("TERM");
        stopped.store(true, Ordering::Relaxed);
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller ends"))
            .collect()
    });
    assert!(node.wait_exit());
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for endpoint in site.engines.iter().chain(&site.app_servers) {
        runs.extend(endpoint.runs());
    }
    let mut answered = 0;
    for (id, answer) in &answers {
        let has_run = runs.contains_key(id);
        let is_whole = answer.complete && answer.status == 200;
        let is_refused = answer.status == 503 && !has_run;
        let was_not_taken = answer.status == 0 && !has_run;
        assert!(
            is_whole || is_refused || was_not_taken,
            "{id}: {answer:?}, run: {has_run}"
        );
        answered += usize::from(is_whole);
    }
    assert!(answered > 100, "{answered} of {} answered", answers.len());
}

/// Sends the head of a request whose body of 8 bytes follows later.
fn send_head(node: &Node, path: &str, id: &str) -> TcpStream {
    let mut connection = TcpStream::connect(node.front).expect("the node listens");
    let prompt = PROMPT.map(|(name, value)| format!("{name}: {value}\r\n"));
    let prompt = prompt.concat();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-1\r\nrequest-id: {id}\r\n\
         deadline-ms: 8000\r\n{prompt}content-length: 8\r\n\r\n"
    );
    connection
        .write_all(head.as_bytes())
        .expect("the head is sent");
    connection
}

/// Everything that arrives until the connection ends.
fn receive(mut connection: TcpStream) -> String {
    let mut received = Vec::new();
    // What arrived before an error counts.
    let _ = connection.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against requests that are taken late in the grace and cut at its end: the body of a
/// stream came long after its head, and the stream began then.
#[test]
fn stream_whose_body_arrives_late_in_a_stop_is_refused_as_not_run() {
    let site = Site::start(Duration::from_millis(700));
    let mut node = site.node("node-1");
    node.signal("TERM");
    wait_for("the end of readiness", || node.readiness() == 503);
    let mut connection = send_head(&node, "/tag/a", "r1");
    std::thread::sleep(Duration::from_millis(2_500));
    connection.write_all(b"the body").expect("it is sent");
    let received = receive(connection);
    assert!(received.starts_with("HTTP/1.1 503"), "{received}");
    assert_eq!(site.executions("r1"), 0);
    assert!(node.wait_exit());
}

/// Guards against requests that are cut with no answer at the end of the grace.
#[test]
fn what_is_open_at_the_end_of_a_stop_is_answered() {
    let site = Site::start(Duration::from_millis(20));
    let mut node = site.node("node-1");
    for engine in &site.engines {
        engine.set_mode(EngineMode::Silent);
    }
    let silent = std::thread::scope(|scope| {
        let silent = scope.spawn(|| stream(&node, "/tag/a", "r1"));
        wait_for("the run", || site.executions("r1") == 1);
        let half_read = send_head(&node, "/tag/a", "r2");
        std::thread::sleep(Duration::from_millis(100));
        node.signal("TERM");
        let half_read = receive(half_read);
        assert!(half_read.starts_with("HTTP/1.1 503"), "{half_read}");
        silent.join().expect("the caller ends")
    });
    // It may have run.
    assert_eq!(silent.status, 502, "{silent:?}");
    assert!(node.wait_exit());
    assert_eq!((site.executions("r1"), site.executions("r2")), (1, 0));
}
