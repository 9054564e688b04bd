//! Endpoints that stop inside the head of their response, or right behind it, and close the
//! connection.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use entry_site::raw::{Request, listen, read_request};
use entry_site::{Node, PROMPT, RawEndpoint, Site, call};

/// Where an endpoint stops, as the text up to which it sends its response. The id of the
/// request stands for `ID`.
const STOPS: [(&str, &str); 10] = [
    ("before its first byte", ""),
    ("inside the status line", "HTTP/1.1 20"),
    ("before the status line's end", "HTTP/1.1 200 OK\r"),
    ("behind the status line", "HTTP/1.1 200 OK\r\n"),
    (
        "inside a field",
        "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signa",
    ),
    (
        "inside the length",
        "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: signed\r\nContent-Length: 2",
    ),
    (
        "before the blank line",
        "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: signed\r\nContent-Length: 24\r\n",
    ),
    (
        "before the blank line of an unframed response",
        "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: signed\r\n",
    ),
    (
        "before the first byte of the body",
        "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: signed\r\nContent-Length: 24\r\n\r\n",
    ),
    (
        "behind an interim response",
        "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nResponse-Signature: signed\r\n",
    ),
];

/// Which request of a connection an endpoint stops at.
#[derive(Clone, Copy, Debug)]
enum StopsAt {
    First,
    Second,
}

/// An endpoint that stops inside its response to some requests.
struct StoppingEndpoint {
    stops_at: StopsAt,
    text: &'static str,
    /// Number of runs by request id, and whether one was cut.
    runs: Mutex<BTreeMap<String, (u32, bool)>>,
}

impl StoppingEndpoint {
    fn serve(&self, connection: TcpStream) {
        let mut writer = connection.try_clone().expect("a second handle");
        let mut reader = BufReader::new(connection);
        let mut served = 0;
        while let Some(request) = read_request(&mut reader) {
            if request.is_own_call() {
                let response = "HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n";
                // The node may have closed the connection.
                let _ = writer.write_all(response.as_bytes());
                continue;
            }
            let stops = match self.stops_at {
                StopsAt::First => true,
                StopsAt::Second => served == 1,
            };
            let mut runs = self.runs.lock().expect("no panic before");
            let run = runs.entry(request.id.clone()).or_default();
            *run = (run.0 + 1, run.1 || stops);
            drop(runs);
            let response = if stops {
                self.text.replace("ID", &request.id)
            } else {
                whole_response(&request)
            };
            if writer.write_all(response.as_bytes()).is_err() || stops {
                return;
            }
            served += 1;
        }
    }

    fn run(&self, id: &str) -> (u32, bool) {
        let runs = self.runs.lock().expect("no panic before");
        runs.get(id).copied().unwrap_or_default()
    }
}

fn whole_response(request: &Request) -> String {
    let event = "id: 1\ndata: token 1 v1\n\n";
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: signed\r\nWeight-Versions: 1\r\n\
         Content-Length: {}\r\n\r\n{event}",
        request.id,
        event.len()
    )
}

fn start(
    service: &'static str,
    stops_at: StopsAt,
    text: &'static str,
) -> (Site, Node, Arc<StoppingEndpoint>) {
    let endpoint = Arc::new(StoppingEndpoint {
        stops_at,
        text,
        runs: Mutex::default(),
    });
    let served = endpoint.clone();
    let address = listen(move |connection| served.serve(connection));
    let site = Site::start(Duration::from_millis(5));
    let node = site.node("node-1");
    let raw = RawEndpoint {
        id: "stopping",
        service,
        address,
    };
    site.put_raw_entry(&raw, 0, &node);
    (site, node, endpoint)
}

/// Sends requests to an endpoint that stops, and checks that no answer is whole whose response
/// was not, and that nothing that may run once ran twice or was called not run.
fn assert_not_whole(service: &'static str, paths: &[&str], stops_at: StopsAt) {
    for (what, text) in STOPS {
        let (_site, node, endpoint) = start(service, stops_at, text);
        let mut cut = 0;
        for number in 0..6 {
            let path = paths[number % paths.len()];
            let id = format!("r{number}");
            let prompt: &[(&str, &str)] = if service == "engines" { &PROMPT } else { &[] };
            let answer = call(&node, path, &id, prompt);
            let (runs, was_cut) = endpoint.run(&id);
            let what = format!("{what}, {stops_at:?}, {path}: {answer:?}, {runs} runs");
            if answer.status == 200 && answer.complete {
                assert_eq!(answer.body, "id: 1\ndata: token 1 v1\n\n", "{what}");
            }
            let runs_once = matches!(path, "/book/a" | "/tag/a");
            if runs_once {
                assert!(runs <= 1, "{what}");
                assert!(answer.status != 503 || runs == 0, "{what}");
                assert!(
                    !(was_cut && answer.complete && answer.status == 200),
                    "{what}"
                );
            }
            cut += usize::from(was_cut);
        }
        assert!(cut > 0, "{what}, {stops_at:?}: no response was cut");
    }
}

#[test]
fn first_response_of_a_connection_that_is_cut_inside_its_head_is_not_whole() {
    assert_not_whole("desk", &["/book/a", "/look/a"], StopsAt::First);
    assert_not_whole("engines", &["/tag/a", "/draft/a"], StopsAt::First);
}

#[test]
fn later_response_of_a_connection_that_is_cut_inside_its_head_is_not_whole() {
    assert_not_whole("desk", &["/look/a", "/book/a"], StopsAt::Second);
    assert_not_whole("engines", &["/draft/a", "/tag/a"], StopsAt::Second);
}
