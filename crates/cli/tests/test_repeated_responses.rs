//! Endpoints that send an earlier response once more on a connection that is in use again.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use entry_site::raw::{Request, listen, read_request};
use entry_site::{Node, PROMPT, RawEndpoint, Site, call};

/// Time after a response at which its copy follows.
const COPY_DELAYS_MS: [u64; 4] = [0, 2, 10, 40];

/// Which responses of a server that sends each one twice bear the id of their request.
#[derive(Clone, Copy, Debug)]
enum Named {
    All,
    None,
    /// All but the second copies.
    Originals,
}

fn serve_connection(stream: TcpStream, named: Named, copy_delay: Duration) {
    let mut writer = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    while let Some(Request { id, .. }) = read_request(&mut reader) {
        let body = format!("done {id}");
        let id = format!("Request-Id: {id}\r\n");
        let (id, copied_id) = match named {
            Named::All => (id.as_str(), id.as_str()),
            Named::None => ("", ""),
            Named::Originals => (id.as_str(), ""),
        };
        let response = |id: &str| {
            format!(
                "HTTP/1.1 200 OK\r\n{id}Response-Signature: signed\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if writer.write_all(response(id).as_bytes()).is_err() {
            return;
        }
        let copy = response(copied_id);
        let mut copies = writer.try_clone().expect("another handle");
        std::thread::spawn(move || {
            std::thread::sleep(copy_delay);
            // The node may have closed the connection.
            let _ = copies.write_all(copy.as_bytes());
        });
    }
}

/// Starts an application server that sends each response twice.
fn start_repeating(named: Named, copy_delay: Duration) -> SocketAddr {
    listen(move |stream| serve_connection(stream, named, copy_delay))
}

/// Whether the refusals of an endpoint bear the id of their request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusals {
    WithId,
    WithoutId,
}

/// An endpoint that refuses each request that is the first one to come over a kept
/// connection, and writes each refusal once more where the next response is expected.
#[derive(Clone)]
struct RepeatingRefusals {
    refusals: Refusals,
    /// Number of runs by request id.
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    /// Number of refusals over kept connections, each of which is to be repeated.
    refused: Arc<AtomicUsize>,
}

impl RepeatingRefusals {
    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        let mut copy: Option<String> = None;
        let mut served = 0;
        while let Some(request) = read_request(&mut reader) {
            let mut response = String::new();
            if let Some(copy) = copy.take() {
                response.push_str(&copy);
            }
            let refusal = self.refusal(&request);
            if request.is_own_call() {
                response.push_str("HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n");
            } else if served > 0 && served % 2 == 1 && self.is_new(&request) {
                response.push_str(&refusal);
                copy = Some(refusal);
                self.refused.fetch_add(1, Ordering::Relaxed);
            } else {
                response.push_str(&self.run(&request));
            }
            served += 1;
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// True if the request did not come before.
    fn is_new(&self, request: &Request) -> bool {
        let mut runs = self.runs.lock().expect("no panic before");
        runs.insert(request.id.clone(), 0).is_none()
    }

    fn refusal(&self, request: &Request) -> String {
        let id = match self.refusals {
            Refusals::WithId => format!("Request-Id: {}\r\n", request.id),
            Refusals::WithoutId => String::new(),
        };
        format!("HTTP/1.1 503 -\r\nNot-Executed: 1\r\n{id}Content-Length: 0\r\n\r\n")
    }

    fn run(&self, request: &Request) -> String {
        let mut runs = self.runs.lock().expect("no panic before");
        *runs.entry(request.id.clone()).or_default() += 1;
        let event = "id: 1\ndata: token 1 v1\n\n";
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: signed\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{event}",
            request.id,
            event.len()
        )
    }
}

fn repeating(service: &'static str, address: SocketAddr) -> RawEndpoint {
    RawEndpoint {
        id: "repeating",
        service,
        address,
    }
}

/// Starts a node at which the engine that repeats refusals, and `others` engines beside it,
/// serve.
fn start(refusals: Refusals, others: usize) -> (Site, Node, RepeatingRefusals) {
    let site = Site::start(Duration::from_millis(5));
    let engine = RepeatingRefusals {
        refusals,
        runs: Arc::default(),
        refused: Arc::default(),
    };
    let served = engine.clone();
    let address = listen(move |stream| served.serve(stream));
    let node = site.node("node-1");
    site.put_raw_entry(&repeating("engines", address), others, &node);
    (site, node, engine)
}

/// Sends requests that may run once, every third one after a stream that may be resumed,
/// and checks that they run once at most and that none of those is refused that ran.
fn assert_run_once(site: &Site, node: &Node, engine: &RepeatingRefusals) {
    let mut ran = 0;
    for number in 0..40 {
        // Prompts with different parts are spread over the engines.
        let parts = format!("a{number}:300,b{number}:400,c:300");
        let prompt = [PROMPT[0], PROMPT[1], ("prefix-hash", parts.as_str())];
        if number % 3 == 0 {
            call(node, "/draft/a", &format!("d{number}"), &prompt);
        }
        let id = format!("r{number}");
        let answer = call(node, "/tag/a", &id, &prompt);
        let runs = engine.runs.lock().expect("no panic before");
        let runs = runs.get(&id).copied().unwrap_or(0) + site.executions(&id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(
            answer.status != 503 || runs == 0,
            "{id} was refused and ran"
        );
        ran += runs;
    }
    assert!(ran >= 36, "{ran} of 40 ran");
    assert_refused(engine);
}

/// Checks that there were refusals whose copies could mislead.
fn assert_refused(engine: &RepeatingRefusals) {
    let refused = engine.refused.load(Ordering::Relaxed);
    assert!(refused > 0, "no request was refused over a kept connection");
}

#[test]
fn repeated_refusal_of_a_request_does_not_make_it_run_twice() {
    let (site, node, engine) = start(Refusals::WithId, 0);
    assert_run_once(&site, &node, &engine);
}

#[test]
fn repeated_refusal_without_an_id_does_not_make_another_request_run_twice() {
    let (site, node, engine) = start(Refusals::WithoutId, 1);
    assert_run_once(&site, &node, &engine);
}

/// Guards against a stream that goes on at another engine while the first one still runs it.
#[test]
fn repeated_refusal_without_an_id_does_not_make_a_stream_run_at_two_engines() {
    let (site, node, engine) = start(Refusals::WithoutId, 1);
    for number in 0..60 {
        let parts = format!("a{number}:300,b{number}:400,c:300");
        let prompt = [PROMPT[0], PROMPT[1], ("prefix-hash", parts.as_str())];
        let id = format!("d{number}");
        call(&node, "/draft/a", &id, &prompt);
        let runs = engine.runs.lock().expect("no panic before");
        let runs = runs.get(&id).copied().unwrap_or(0) + site.executions(&id);
        assert!(runs <= 1, "{id} ran {runs} times");
    }
    assert_refused(&engine);
}

/// Sends requests to a server that sends each response twice, and checks that no caller gets
/// the response to another request.
fn assert_own_responses(named: Named, delay_ms: u64) {
    let site = Site::start(Duration::from_millis(5));
    let node = site.node("node-1");
    let address = start_repeating(named, Duration::from_millis(delay_ms));
    site.put_raw_entry(&repeating("desk", address), 0, &node);
    let mut served = 0;
    for number in 0..60 {
        let id = format!("d{delay_ms}-{number}");
        let path = if number % 2 == 0 {
            "/look/a"
        } else {
            "/book/a"
        };
        let answer = call(&node, path, &id, &[]);
        if answer.status == 200 {
            assert_eq!(
                answer.body,
                format!("done {id}"),
                "{named:?}, {delay_ms} ms"
            );
            served += 1;
        }
    }
    assert!(
        served > 0,
        "{named:?}, {delay_ms} ms: none was served\n{}",
        node.log()
    );
}

#[test]
fn callers_never_get_the_copy_of_another_response() {
    for delay_ms in COPY_DELAYS_MS {
        assert_own_responses(Named::All, delay_ms);
    }
}

/// Guards against a success of another request: a copy that bears no id is no proof of
/// whose response it is.
#[test]
fn callers_never_get_the_copy_of_another_response_without_an_id() {
    for named in [Named::None, Named::Originals] {
        for delay_ms in COPY_DELAYS_MS {
            assert_own_responses(named, delay_ms);
        }
    }
}
