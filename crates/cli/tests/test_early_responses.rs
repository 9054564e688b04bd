//! Endpoints that answer a long upload before they have read it, and responses whose status is
//! none of an answer. A part of a response must never reach a caller as a whole one.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use entry_site::raw::{Request, listen, read_head, read_request};
use entry_site::{Answer, Node, RawEndpoint, Site, large_body_configuration};

/// Requests of each kind.
const REQUESTS: usize = 4;

/// Sizes of uploads, in bytes. Buffers of both sides do not hold the smaller one.
const UPLOADS: [usize; 2] = [400_000, 3_000_000];

/// Size of an ordinary body, in bytes.
const ORDINARY_BODY: usize = 72_000;

/// Sizes of uploads that the buffers of both sides hold unread, in bytes.
const HELD_UPLOADS: [usize; 2] = [ORDINARY_BODY, 150_000];

/// Sizes of uploads that also the window of a new connection holds unread, in bytes.
const SMALL_UPLOADS: [usize; 2] = [700, 20_000];

/// Bytes that an endpoint reads at once, so that it reads little beyond the head.
const HEAD_PART: usize = 64;

/// Times after the end of its part at which an endpoint resets the connection.
const RESET_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(200),
];

/// Events of a stream, of which an early response has the first half.
const EVENTS: usize = 10;

/// How an endpoint ends its early part.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It resets the connection.
    Reset,
    /// It ends its side, and resets the connection later.
    FinishThenReset,
}

/// A response without a marked end.
fn response(request: &Request, body: &str) -> String {
    let content_type = match request.path.as_str() {
        path if is_stream(path) => "text/event-stream",
        _ => "text/plain",
    };
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: signed\r\nWeight-Versions: 1\r\n\
         Content-Type: {content_type}\r\n\r\n{body}",
        request.id
    )
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/draft") || path.starts_with("/tag")
}

/// The first `count` events of a stream, or lines of another response.
fn events(path: &str, count: usize) -> String {
    let event = |id| {
        if is_stream(path) {
            format!("id: {id}\ndata: token\n\n")
        } else {
            format!("line {id}\n")
        }
    };
    (1..=count).map(event).collect()
}

/// Answers what the node itself asks for, and each other request with `respond`, which ends the
/// connection.
fn serve(stream: TcpStream, respond: impl Fn(&Request, TcpStream)) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::with_capacity(HEAD_PART, stream);
    while let Some(request) = read_head(&mut reader) {
        if !request.is_own_call() {
            respond(&request, writer);
            return;
        }
        let own = writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        if own.is_err() {
            return;
        }
    }
}

/// Answers the head of a request with half of a response.
fn respond_early(request: &Request, mut stream: TcpStream, end: End, pause: Duration) {
    let half = response(request, &events(&request.path, EVENTS / 2));
    // The node may have closed the connection.
    let _ = stream.write_all(half.as_bytes());
    if matches!(end, End::FinishThenReset) {
        let _ = stream.shutdown(Shutdown::Write);
    }
    std::thread::sleep(pause);
    // Closing a connection with unread bytes resets it.
}

/// Reads the first request of a connection and answers it with a length, and answers the head of
/// the second one with half of a response.
fn serve_then_respond_early(stream: TcpStream, pause: Duration) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::with_capacity(HEAD_PART, stream);
    let mut has_answered = false;
    while let Some(request) = read_head(&mut reader) {
        let is_own = request.is_own_call();
        if has_answered && !is_own {
            respond_early(&request, writer, End::FinishThenReset, pause);
            return;
        }
        if !request.read_body(&mut reader) {
            return;
        }
        has_answered |= !is_own;
        let whole = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: signed\r\n\
             Content-Length: 4\r\n\r\nbody",
            request.id
        );
        if writer.write_all(whole.as_bytes()).is_err() {
            return;
        }
    }
}

/// A node for whose requests with this path there is one endpoint, at this address.
fn start(path: &str, address: SocketAddr) -> (Site, Node) {
    let site = Site::start(Duration::from_millis(5));
    site.store
        .put("keyed.op", "op/config", &large_body_configuration());
    let node = site.node("node-1");
    let endpoint = RawEndpoint {
        id: "raw-1",
        service: if is_stream(path) { "engines" } else { "desk" },
        address,
    };
    site.put_raw_entry(&endpoint, 0, &node);
    (site, node)
}

/// Posts a body of this size.
fn upload(node: &Node, path: &str, id: &str, size: usize) -> Answer {
    let request = http::Request::builder()
        .method("POST")
        .uri(format!("http://{}{path}", node.front))
        .header("host", "site.example")
        .header("authorization", "Bearer key-1")
        .header("request-id", id)
        .header("deadline-ms", "4000")
        .header("model", "planner")
        .header("token-usage", "1000,64")
        .header("prefix-hash", "a1:300,b1:400,c:300")
        .body(vec![b'x'; size])
        .expect("a request");
    let Ok(mut response) = entry_site::client(0).run(request) else {
        return Answer::default();
    };
    let body = response.body_mut().read_to_string();
    Answer {
        status: response.status().as_u16(),
        complete: body.is_ok(),
        body: body.unwrap_or_default(),
        ..Answer::default()
    }
}

/// Uploads to an endpoint that answers early. No response may be whole, and none may promise that
/// the request has not run.
fn check_early(path: &str, end: End) {
    check_uploads(path, end, &UPLOADS);
}

/// The same with uploads of these sizes, in bytes.
fn check_uploads(path: &str, end: End, uploads: &[usize]) {
    for pause in RESET_PAUSES {
        let address = listen(move |stream| {
            serve(stream, |request, stream| {
                respond_early(request, stream, end, pause);
            });
        });
        let (_site, node) = start(path, address);
        for &size in uploads {
            for index in 0..REQUESTS {
                let answer = upload(&node, path, &format!("r{size}-{index}"), size);
                let is_whole = answer.status == 200 && answer.complete;
                let promises_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
                assert!(
                    !is_whole && !promises_not_run,
                    "{size} bytes, {end:?} after {pause:?}: {answer:?}"
                );
            }
        }
    }
}

/// Guards against a part that is taken for the whole because its end looks like any other.
#[test]
fn early_part_that_ends_regularly_is_not_the_response_to_a_request_that_may_run_once() {
    check_early("/book/a", End::FinishThenReset);
}

#[test]
fn early_part_that_ends_regularly_is_not_a_response() {
    check_early("/look/a", End::FinishThenReset);
}

#[test]
fn early_part_that_ends_regularly_is_not_a_stream() {
    check_early("/tag/a", End::FinishThenReset);
}

/// Guards against taking an upload for read because the buffers of both sides hold it.
#[test]
fn early_part_that_ends_regularly_before_its_upload_is_read_is_not_a_response() {
    for path in ["/book/a", "/look/a", "/tag/a"] {
        check_uploads(path, End::FinishThenReset, &HELD_UPLOADS);
    }
}

/// Guards against the same where nothing shows how much of the upload was read.
#[test]
fn early_part_that_ends_regularly_before_its_small_upload_is_read_is_not_a_response() {
    for path in ["/book/a", "/look/a", "/tag/a", "/draft/a"] {
        check_uploads(path, End::FinishThenReset, &SMALL_UPLOADS);
    }
}

/// Guards against taking the requests that a connection has carried before for this one.
#[test]
fn early_part_on_a_kept_connection_is_not_a_response() {
    for path in ["/book/a", "/look/a"] {
        for pause in RESET_PAUSES {
            let address = listen(move |stream| serve_then_respond_early(stream, pause));
            let (_site, node) = start(path, address);
            for size in SMALL_UPLOADS.into_iter().chain(HELD_UPLOADS) {
                let first = upload(&node, path, &format!("first{size}"), size);
                assert_eq!((first.status, first.complete), (200, true), "{first:?}");
                let answer = upload(&node, path, &format!("second{size}"), size);
                assert_eq!(
                    answer.status, 502,
                    "{path}, {size} bytes after {pause:?}: {answer:?}"
                );
            }
        }
    }
}

#[test]
fn early_part_that_is_reset_is_not_a_response() {
    check_early("/book/a", End::Reset);
    check_early("/look/a", End::Reset);
}

#[test]
fn early_part_that_is_reset_is_not_a_stream() {
    check_early("/tag/a", End::Reset);
}

/// Guards against refusing the responses of endpoints that read the whole request.
#[test]
fn unframed_response_to_a_whole_upload_is_passed_on() {
    let address = listen(|stream| {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !request.is_own_call() {
                let whole = response(&request, &events(&request.path, EVENTS));
                let _ = writer.write_all(whole.as_bytes());
                return;
            }
            let own = writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            if own.is_err() {
                return;
            }
        }
    });
    for path in ["/book/a", "/look/a", "/tag/a"] {
        let (_site, node) = start(path, address);
        for size in [0, ORDINARY_BODY].into_iter().chain(UPLOADS) {
            let answer = upload(&node, path, &format!("{path}-{size}"), size);
            assert_eq!(
                (answer.status, answer.complete),
                (200, true),
                "{path} {size}"
            );
            assert_eq!(answer.body, events(path, EVENTS), "{path} {size}");
        }
    }
}

/// Endpoints answer with this status. No caller may get it.
fn check_status(path: &str, status: u16) {
    let asked = Arc::new(AtomicU32::new(0));
    let counter = asked.clone();
    let address = listen(move |stream| {
        serve(stream, |request, mut stream| {
            counter.fetch_add(1, Ordering::Relaxed);
            let head = format!(
                "HTTP/1.1 {status:03} Odd\r\nRequest-Id: {}\r\nResponse-Signature: signed\r\n\
                 Content-Length: 4\r\n\r\nbody",
                request.id
            );
            let _ = stream.write_all(head.as_bytes());
        });
    });
    let (_site, node) = start(path, address);
    let answer = upload(&node, path, "r1", 0);
    assert_eq!(answer.status, 502, "{status} {path}: {answer:?}");
    assert!(asked.load(Ordering::Relaxed) > 0, "{status} {path}");
}

/// Guards against passing on what is no answer of the protocol.
#[test]
fn status_beyond_those_of_answers_is_not_passed_on() {
    for path in ["/book/a", "/look/a", "/tag/a", "/draft/a"] {
        for status in [600, 700, 999] {
            check_status(path, status);
        }
    }
}

#[test]
fn status_below_those_of_answers_is_not_passed_on() {
    for path in ["/book/a", "/look/a", "/tag/a", "/draft/a"] {
        for status in [0, 99, 199] {
            check_status(path, status);
        }
    }
}

/// Guards against a change of the protocol that nobody asked for.
#[test]
fn unasked_upgrade_is_not_passed_on() {
    for path in ["/book/a", "/look/a", "/tag/a", "/draft/a"] {
        check_status(path, 101);
    }
}
