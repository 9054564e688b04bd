//! Streams that break off, and whose next engine answers with something that is no rest of
//! them.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use entry_site::raw::{Request, listen, read_request};
use entry_site::{RawEndpoint, Site, event_ids, stream};
use flamingolock_platform_standin::EngineMode;

/// Event after which the first engine breaks off, which may be lost with its connection.
const LAST_EVENT: u64 = 3;

/// What the next engine answers, after its status line and the echoed id.
struct Answer {
    what: &'static str,
    status: &'static str,
    rest: &'static str,
    /// True if the engine then closes the connection.
    closes: bool,
}

const SIGNED: &str = "Response-Signature: signed\r\nWeight-Versions: 1\r\n";

fn answers() -> Vec<Answer> {
    let answer = |what, status, rest| Answer {
        what,
        status,
        rest,
        closes: false,
    };
    let unframed = |what, rest| Answer {
        what,
        status: "200 OK",
        rest,
        closes: true,
    };
    vec![
        answer(
            "an error",
            "500 Internal Server Error",
            "Content-Length: 14\r\n\r\nout of memory\n",
        ),
        answer(
            "an error in the shape of events",
            "502 Bad Gateway",
            "Content-Length: 15\r\n\r\ndata: an error\n",
        ),
        answer("no body", "200 OK", "Content-Length: 0\r\n\r\n"),
        answer(
            "no chunk",
            "200 OK",
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        answer(
            "a text",
            "200 OK",
            "Content-Length: 15\r\n\r\nout of memory\n\n",
        ),
        answer(
            "a field that is none of an event",
            "200 OK",
            "Content-Length: 22\r\n\r\nerror: out of memory\n\n",
        ),
        answer(
            "JSON",
            "200 OK",
            "Content-Length: 27\r\n\r\n{\"error\":\n\"out of memory\"}\n",
        ),
        answer(
            "a head",
            "200 OK",
            "Content-Length: 54\r\n\r\nHTTP/1.1 500 -\r\nContent-Length: 14\r\n\r\nout of memory\n\n\n",
        ),
        unframed("a text until the connection ends", "\r\nout of memory\n\n"),
        unframed(
            "a head until the connection ends",
            "\r\nHTTP/1.1 500 -\r\nContent-Length: 14\r\n\r\nout of memory\n",
        ),
        unframed(
            "an event without its end until the connection ends",
            "\r\nid: 4\ndata: token 4 v1\n",
        ),
    ]
}

/// An engine that refuses each request but the rest of a stream, to which it sends `answer`.
fn serve(connection: TcpStream, answer: &Answer, answered: &AtomicUsize) {
    let mut writer = connection.try_clone().expect("a second handle");
    let mut reader = BufReader::new(connection);
    while let Some(request) = read_request(&mut reader) {
        let Request { id, last_event, .. } = &request;
        let is_rest = last_event.is_some();
        let response = if request.is_own_call() {
            "HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else if is_rest {
            answered.fetch_add(1, Ordering::Relaxed);
            format!(
                "HTTP/1.1 {}\r\nRequest-Id: {id}\r\n{SIGNED}{}",
                answer.status, answer.rest
            )
        } else {
            format!(
                "HTTP/1.1 503 -\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )
        };
        if writer.write_all(response.as_bytes()).is_err() || (is_rest && answer.closes) {
            return;
        }
    }
}

fn next_engine(address: SocketAddr) -> RawEndpoint {
    RawEndpoint {
        id: "next-engine",
        service: "engines",
        address,
    }
}

/// Guards against an error's text in the middle of a stream, and against a stream that ends
/// as if it were complete.
#[test]
fn what_is_no_rest_of_a_stream_neither_reaches_its_caller_nor_ends_it() {
    for answer in answers() {
        let what = answer.what;
        let site = Site::start_with(1, Duration::from_millis(5));
        let node = site.node("node-1");
        let answered = Arc::new(AtomicUsize::new(0));
        let counted = answered.clone();
        let address = listen(move |connection| serve(connection, &answer, &counted));
        site.put_raw_entry(&next_engine(address), 1, &node);
        site.engines[0].set_mode(EngineMode::BreakAfter(LAST_EVENT));

        let received = stream(&node, "/draft/a", "r1");
        assert_eq!(received.status, 200, "{what}");
        assert!(
            answered.load(Ordering::Relaxed) > 0,
            "{what}: never asked\n{}",
            node.log()
        );
        let ids = event_ids(&received.body);
        let first: Vec<u64> = (1..=ids.len() as u64).collect();
        assert!(
            ids == first && ids.len() as u64 <= LAST_EVENT,
            "{what}: {ids:?}"
        );
        let events = first
            .iter()
            .map(|id| format!("id: {id}\ndata: token {id} v1\n\n"));
        let events = events.collect::<Vec<_>>().concat();
        assert_eq!(received.body, events, "{what}");
        assert!(
            !received.complete,
            "{what}: the stream ends as complete\n{}",
            node.log()
        );
    }
}

/// An engine that answers with nothing does not end a stream that another one can complete.
#[test]
fn stream_goes_on_at_a_third_engine_if_the_second_answers_with_nothing() {
    let site = Site::start_with(2, Duration::from_millis(5));
    let node = site.node("node-1");
    let answered = Arc::new(AtomicUsize::new(0));
    let counted = answered.clone();
    let empty = answers().remove(2);
    let address = listen(move |connection| serve(connection, &empty, &counted));
    site.put_raw_entry(&next_engine(address), 2, &node);
    let mut completed = 0;
    for number in 0..12 {
        site.engines[number % 2].set_mode(EngineMode::BreakAfter(LAST_EVENT));
        let id = format!("r{number}");
        let received = entry_site::draft(&node, number, &id, &[]);
        site.engines[number % 2].set_mode(EngineMode::Healthy);
        let ids = event_ids(&received.body);
        assert!(ids.windows(2).all(|pair| pair[1] == pair[0] + 1), "{ids:?}");
        assert!(
            !received.complete || ids.len() == 10,
            "{ids:?} ends as complete"
        );
        completed += usize::from(received.complete);
    }
    assert!(completed >= 6, "{completed} of 12 are complete");
}
