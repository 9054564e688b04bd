//! Untrusted clients that hold memory or connections: a node must neither exceed the memory and
//! descriptors that its settings state nor stop answering ordinary clients.
//!
//! The tests check only that the process lives, its peak memory and open descriptors, and that
//! ordinary requests are answered. They run one at a time.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;
#[allow(dead_code, reason = "each test file needs a part of it")]
mod untrusted;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Barrier;
use std::time::Duration;

use entry_site::raw::{listen, read_request};
use entry_site::{BODY_LIMIT, Node, get, wait_for};
use serde_json::json;
use untrusted::{
    Rig, StatedLimits, WRITE_TIMEOUT, chunks, connect, connect_all, crowd, head, write_pieces,
};

/// Clients that send large bodies.
const BODY_CLIENTS: usize = 48;

/// Clients that send chunks of one byte, and the chunks of each.
const TINY_CLIENTS: usize = 16;
const TINY_CHUNKS: usize = 256 * 1024;

/// Clients that only hold connections, more than the descriptors that the settings state.
const IDLE_CLIENTS: usize = 600;

/// Clients that send heads without an end at a port without bodies, and the bytes of each.
const HEAD_CLIENTS: usize = 300;
const HEAD_BYTES: usize = 400 * 1024;

/// Callers that do not read their streams.
const UNREAD_STREAMS: usize = 48;

/// Descriptors that the settings state.
const MAX_FDS: usize = 700;

/// Memory that the settings state, in MB.
const SMALL_MB: u64 = 88;
const MEDIUM_MB: u64 = 110;

/// Memory in MB in which few bodies of the largest legal size find room, and how many clients
/// hold it.
const TIGHT_MB: u64 = 48;
const HOLDERS: usize = 4;

/// Size of an ordinary body, in bytes.
const ORDINARY_BODY: usize = 72_000;

/// Time for the engines to fill the buffers of unread streams.
const FILL_TIME: Duration = Duration::from_secs(3);

/// Size of an event of the unread streams, in bytes.
const EVENT_BYTES: usize = 64 * 1024;

fn start(memory_mb: u64) -> Rig {
    Rig::start(StatedLimits {
        memory_mb,
        max_fds: MAX_FDS,
    })
}

/// Clients announce a body of `announced` bytes and send all of the limit but one byte.
fn send_announced(rig: &Rig, announced: usize, piece: usize) -> Vec<TcpStream> {
    let body = vec![b'x'; BODY_LIMIT - 1];
    connect_all(
        crowd(BODY_CLIENTS),
        rig.node.front,
        WRITE_TIMEOUT,
        |id, stream| {
            let head = format!(
                "{}content-length: {announced}\r\n\r\n",
                head("/draft/a", id)
            );
            write_pieces(stream, head.as_bytes(), head.len());
            write_pieces(stream, &body, piece);
        },
    )
}

fn send_chunks(rig: &Rig, clients: usize, body: &[u8]) -> Vec<TcpStream> {
    connect_all(clients, rig.node.front, WRITE_TIMEOUT, |id, stream| {
        let head = format!("{}transfer-encoding: chunked\r\n\r\n", head("/draft/a", id));
        write_pieces(stream, head.as_bytes(), head.len());
        write_pieces(stream, body, 64 * 1024);
    })
}

/// Guards against unbounded memory of bodies that stop one byte short of their end.
#[test]
fn whole_bodies_that_never_end_stay_within_the_memory() {
    for memory_mb in [SMALL_MB, MEDIUM_MB] {
        let mut rig = start(memory_mb);
        let crowd = send_announced(&rig, BODY_LIMIT, BODY_LIMIT);
        rig.check(crowd);
    }
}

/// Guards against read buffers that outlive the small pieces read into them.
#[test]
fn bodies_in_pieces_that_never_end_stay_within_the_memory() {
    let mut rig = start(SMALL_MB);
    let crowd = send_announced(&rig, BODY_LIMIT, 1_460);
    rig.check(crowd);
}

/// Guards against unbounded memory of bodies whose length is not announced.
#[test]
fn large_chunks_that_never_end_stay_within_the_memory() {
    let mut rig = start(MEDIUM_MB);
    let body = chunks(64 * 1024, BODY_LIMIT / (64 * 1024));
    let crowd = send_chunks(&rig, crowd(BODY_CLIENTS), &body);
    rig.check(crowd);
}

/// Guards against bookkeeping for each chunk that is larger than the chunk.
#[test]
fn tiny_chunks_that_never_end_stay_within_the_memory() {
    let mut rig = start(SMALL_MB);
    let body = chunks(1, TINY_CHUNKS);
    let crowd = send_chunks(&rig, crowd(TINY_CLIENTS), &body);
    rig.check(crowd);
}

/// Guards against reading a body whose announced length is over the limit.
#[test]
fn bodies_announced_over_the_limit_stay_within_the_memory() {
    let mut rig = start(MEDIUM_MB);
    let crowd = send_announced(&rig, 100 * BODY_LIMIT, 64 * 1024);
    rig.check(crowd);
}

/// Guards against unbounded memory of bodies that turn out to be over the limit.
#[test]
fn chunks_over_the_limit_stay_within_the_memory() {
    let mut rig = start(MEDIUM_MB);
    let clients = crowd(BODY_CLIENTS);
    let legal = chunks(64 * 1024, BODY_LIMIT / (64 * 1024));
    let excess = chunks(64 * 1024, 64);
    let all_at_limit = Barrier::new(clients);
    let crowd = connect_all(clients, rig.node.front, WRITE_TIMEOUT, |id, stream| {
        let head = format!("{}transfer-encoding: chunked\r\n\r\n", head("/draft/a", id));
        write_pieces(stream, head.as_bytes(), head.len());
        write_pieces(stream, &legal, 64 * 1024);
        all_at_limit.wait();
        write_pieces(stream, &excess, 64 * 1024);
    });
    rig.check(crowd);
}

/// Guards against connections without a bound that wait for the end of a request's head.
#[test]
fn heads_that_never_end_stay_within_the_descriptors() {
    let mut rig = start(SMALL_MB);
    let crowd: Vec<_> = (0..crowd(IDLE_CLIENTS))
        .filter_map(|id| {
            let mut stream = connect(rig.node.front, WRITE_TIMEOUT)?;
            let head = format!("{}filler: {}", head("/look/a", id), "x".repeat(12_000));
            write_pieces(&mut stream, head.as_bytes(), head.len());
            Some(stream)
        })
        .collect();
    rig.check(crowd);
}

/// Guards against idle connections without a bound.
#[test]
fn idle_connections_stay_within_the_descriptors() {
    let mut rig = start(SMALL_MB);
    let crowd: Vec<_> = (0..crowd(IDLE_CLIENTS))
        .filter_map(|_| connect(rig.node.front, WRITE_TIMEOUT))
        .collect();
    rig.check(crowd);
}

/// Writes a stream of large events until the connection is closed.
fn write_endless_stream(stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = std::io::BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if request.is_own_call() || !request.path.starts_with("/draft") {
            let answer = writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            if answer.is_err() {
                return;
            }
            continue;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: signed\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.id
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        let data = "x".repeat(EVENT_BYTES);
        for id in 1.. {
            let event = format!("id: {id}\ndata: {data}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Guards against unread parts of streamed answers that are queued without a common bound.
#[test]
fn unread_streams_stay_within_the_memory() {
    let mut rig = start(SMALL_MB);
    for index in 0..4 {
        let entry = json!({
            "Service": "engines", "Address": listen(write_endless_stream).to_string(), "Zone": "zone-a",
            "Version": "v1", "Slots": 256, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": 1000,
            "Models": [{"Name": "planner", "Version": 1, "Adapters": []}],
        });
        let key = format!("servers/raw-{index}");
        rig.site
            .store
            .put("keyed.servers", &key, &entry.to_string());
    }
    for engine in &rig.site.engines {
        rig.site.put_entry(engine, "engines", "draining");
    }
    wait_for("the raw engines", || {
        let log = rig.node.log();
        log.matches("endpoint listed").count() >= 7 && log.contains("endpoint is leaving")
    });
    let crowd = connect_all(
        crowd(UNREAD_STREAMS),
        rig.node.front,
        WRITE_TIMEOUT,
        |id, stream| {
            let head = format!("{}content-length: 0\r\n\r\n", head("/draft/a", id));
            write_pieces(stream, head.as_bytes(), head.len());
            // The first bytes show that the stream has begun; the rest stays unread.
            let _ = stream.set_read_timeout(Some(FILL_TIME));
            let _ = stream.read(&mut [0; 16]);
        },
    );
    std::thread::sleep(FILL_TIME);
    let started = rig.node.log().matches("stream started").count();
    assert!(started > 0, "no stream has begun");
    println!("{started} streams started");
    rig.check(crowd);
}

/// Clients send heads without an end to a port, then others hold connections to it.
fn check_port(address: impl Fn(&Node) -> SocketAddr, path: Option<&str>) {
    let mut rig = start(SMALL_MB);
    let address = address(&rig.node);
    let head = format!("GET / HTTP/1.1\r\nfiller: {}", "x".repeat(HEAD_BYTES));
    let mut crowd_streams =
        connect_all(crowd(HEAD_CLIENTS), address, WRITE_TIMEOUT, |_, stream| {
            write_pieces(stream, head.as_bytes(), 16 * 1024);
        });
    let started = "GET / HTTP/1.1\r\n";
    crowd_streams.extend((0..crowd(IDLE_CLIENTS)).filter_map(|_| {
        let mut stream = connect(address, WRITE_TIMEOUT)?;
        write_pieces(&mut stream, started.as_bytes(), started.len());
        Some(stream)
    }));
    let ask = |when: &str| {
        if let Some(path) = path {
            assert_eq!(get(address, path, &[]).status, 200, "{path} {when}");
        }
    };
    ask("during");
    rig.check(crowd_streams);
    ask("after");
}

/// Guards against connections and heads without a bound at the directory port.
#[test]
fn clients_of_the_directory_port_stay_within_the_limits() {
    check_port(|node| node.directory, Some("/resolve"));
}

/// Guards against connections and heads without a bound at the readiness port.
#[test]
fn clients_of_the_readiness_port_stay_within_the_limits() {
    check_port(|node| node.ready, Some("/readyz"));
}

/// Guards against connections and heads without a bound at the metrics port.
#[test]
fn clients_of_the_metrics_port_stay_within_the_limits() {
    check_port(|node| node.metrics, Some("/metrics"));
}

/// Guards against connections and heads without a bound at the port for other nodes.
#[test]
fn clients_of_the_port_for_other_nodes_stay_within_the_limits() {
    check_port(|node| node.control, None);
}

/// Sends the head of a request with this deadline and a part of its body, and returns the
/// status of the response; 0 if there is none.
fn status_of_part(node: &Node, deadline_ms: u32, body: &[u8]) -> u16 {
    let mut stream = connect(node.front, WRITE_TIMEOUT).expect("a connection");
    let head = format!(
        "{}deadline-ms: {deadline_ms}\r\ncontent-length: {BODY_LIMIT}\r\n\r\n",
        head("/draft/a", 0)
    );
    write_pieces(&mut stream, head.as_bytes(), head.len());
    write_pieces(&mut stream, body, body.len());
    stream
        .set_read_timeout(Some(entry_site::WAIT_TIMEOUT))
        .expect("the option can be set");
    let mut response = [0; 12];
    if stream.read_exact(&mut response).is_err() {
        return 0;
    }
    let response = String::from_utf8_lossy(&response);
    let status = response.strip_prefix("HTTP/1.1 ");
    status.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// True for a status that tells a caller that its request has not run.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 429 | 503)
}

/// Guards against telling a caller that a legal request is faulty, which it must not repeat.
#[test]
fn body_that_has_not_arrived_by_its_deadline_is_refused_as_not_run() {
    let rig = start(MEDIUM_MB);
    let status = status_of_part(&rig.node, 300, &vec![b'x'; ORDINARY_BODY]);
    assert!(promises_not_run(status), "{status}");
}

/// The same for a body that waits for memory until then.
#[test]
fn body_that_finds_no_memory_by_its_deadline_is_refused_as_not_run() {
    let rig = start(TIGHT_MB);
    let body = vec![b'x'; BODY_LIMIT - 1];
    let _holders = connect_all(HOLDERS, rig.node.front, WRITE_TIMEOUT, |id, stream| {
        let head = format!(
            "{}content-length: {BODY_LIMIT}\r\n\r\n",
            head("/draft/a", id)
        );
        write_pieces(stream, head.as_bytes(), head.len());
        write_pieces(stream, &body, body.len());
    });
    for deadline_ms in [20, 40, 60, 80, 100] {
        let status = status_of_part(&rig.node, deadline_ms, &body);
        assert!(promises_not_run(status), "{deadline_ms} ms: {status}");
    }
}
