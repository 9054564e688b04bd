//! HTTP helpers and assertions shared by the stand-in tests.
#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use flamingolock_core::prelude::*;
use serde_json::{Value, json};
use ureq::http::{Request, Response};
use ureq::{Agent, Body};

/// Loopback address with an ephemeral port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// An HTTP client that opens a connection per call and accepts any status.
pub fn agent() -> Agent {
    let config = Agent::config_builder()
        .max_idle_connections(0)
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(10)));
    config.build().new_agent()
}

/// Sends a request and returns the response with its body unread.
pub fn send(
    method: &str,
    addr: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<Response<Body>, ureq::Error> {
    let url = format!("http://{addr}{path}");
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let request = Request::builder().method(method).uri(url);
    agent().run(request.header("x-call-id", "test").body(text).unwrap())
}

/// Sends a request and returns the status and JSON body; null if it isn't JSON.
pub fn call(method: &str, addr: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let mut response = send(method, addr, path, body).unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let value = serde_json::from_str(&text).unwrap_or_default();
    (response.status().as_u16(), value)
}

/// Sends a `GET` that must succeed and returns the JSON body.
pub fn get(addr: SocketAddr, path: &str) -> Value {
    let (status, value) = call("GET", addr, path, &Value::Null);
    assert_eq!(status, 200, "{path}: {value}");
    value
}

/// Posts JSON and returns the status and JSON body.
pub fn post(addr: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    call("POST", addr, path, body)
}

/// Posts a control without a body.
pub fn control(addr: SocketAddr, path: &str) {
    let (status, value) = post(addr, path, &Value::Null);
    assert_eq!(status, 204, "{path}: {value}");
}

/// The cache salt of a workspace for weights `w1`.
pub fn salt(workspace: &str) -> PrefixSeed {
    PrefixSeed::new(&workspace.into(), &"model".into(), &"w1".into(), None)
}

/// Body of a completion request.
pub fn completion(id: &str, prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": "model",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
        "cache_salt": salt("qasr").to_hex(),
        "request_id": id,
    })
}

/// Sends a non-streaming completion that must succeed and returns its body.
pub fn complete(addr: SocketAddr, id: &str, prompt: &str, max_tokens: u32) -> Value {
    let body = completion(id, prompt, max_tokens, false);
    let (status, value) = post(addr, "/v1/completions", &body);
    assert_eq!(status, 200, "{value}");
    value
}

/// Reader of a server-sent event stream.
pub struct Events {
    reader: BufReader<ureq::BodyReader<'static>>,
}

impl Events {
    /// Starts a streamed completion.
    pub fn start(addr: SocketAddr, id: &str, prompt: &str, max_tokens: u32) -> Self {
        let body = completion(id, prompt, max_tokens, true);
        let response = send("POST", addr, "/v1/completions", &body).unwrap();
        assert_eq!(response.status(), 200);
        Self::of(response)
    }

    /// Reads the events of a response.
    pub fn of(response: Response<Body>) -> Self {
        let reader = BufReader::new(response.into_body().into_reader());
        Self { reader }
    }

    /// The data of the next event; `None` at the end or if the stream breaks.
    pub fn next(&mut self) -> Option<String> {
        let mut line = String::new();
        loop {
            line.clear();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if let Some(data) = line.trim_end().strip_prefix("data: ") {
                return Some(data.to_owned());
            }
        }
    }

    /// The data of all remaining events.
    pub fn rest(mut self) -> Vec<String> {
        std::iter::from_fn(|| self.next()).collect()
    }
}

/// Polls a condition until it holds; panics after 5 s.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// One HTTP connection that is reused for several requests.
pub struct KeepAliveConnection {
    tcp: TcpStream,
}

impl KeepAliveConnection {
    pub fn open(addr: SocketAddr) -> Self {
        let tcp = TcpStream::connect(addr).unwrap();
        Self { tcp }
    }

    /// Sends a `GET` on the connection.
    pub fn send(&mut self, path: &str) {
        let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nx-call-id: test\r\n\r\n");
        self.tcp.write_all(request.as_bytes()).unwrap();
    }

    /// The next bytes received; empty if the connection is closed.
    pub fn receive(&mut self) -> Vec<u8> {
        let arrived = self.receive_within(Duration::from_secs(5));
        arrived.expect("data or a close within the timeout")
    }

    /// Whether the connection stays open and receives nothing for 300 ms.
    pub fn is_silent(&mut self) -> bool {
        self.receive_within(Duration::from_millis(300)).is_none()
    }

    fn receive_within(&mut self, timeout: Duration) -> Option<Vec<u8>> {
        self.tcp.set_read_timeout(Some(timeout)).unwrap();
        let mut buffer = vec![0; 4096];
        match self.tcp.read(&mut buffer) {
            Ok(len) => Some(buffer[..len].to_vec()),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Some(Vec::new()),
            Err(_) => None,
        }
    }
}
