//! Misbehaving callers: invalid requests, oversized or endless bodies and headers, slow
//! senders, and callers that do not read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use flamingolock_experiment::workload::{MODEL, Profile, WEIGHTS, workspace_key};
use flamingolock_testutils::fleet::{ProcessFleet, Programs, free_address};
use flamingolock_testutils::http::{EventReader, call, connect, exchange, request};
use flamingolock_testutils::wait;
use serde_json::json;

/// Bound of a node's peak memory with many slow callers, in KiB.
const MAX_MEMORY_KIB: u64 = 256 << 10;

/// What many slow callers may add to other callers' median time to the first token.
const MAX_SLOWDOWN: Duration = Duration::from_millis(25);

struct Fixture {
    fleet: ProcessFleet,
    bearer: String,
    entry: SocketAddr,
}

fn fixture(settings: &[&str], engine: &[&str]) -> Fixture {
    let mut fleet = ProcessFleet::start(Programs::new(
        env!("CARGO_BIN_EXE_flamingolock"),
        env!("CARGO_BIN_EXE_flamingoctl"),
    ));
    let model = format!("model=\"{MODEL}\"");
    let weights = format!("weights=\"{WEIGHTS}\"");
    let mut options = vec![model.as_str(), weights.as_str()];
    options.extend(engine);
    fleet.add_engine("engine-1", &options);
    fleet.add_node("entry-1", settings);
    let profile = Profile::mixed(10.0);
    let mut manifest = profile.manifest();
    for workspace in manifest.workspaces.values_mut() {
        workspace.request_rate = None;
        workspace.max_inflight = None;
    }
    fleet.publish_manifest(&manifest);
    let key = workspace_key(&profile.workspaces[0].id);
    fleet.wait_serving("entry-1", &key, MODEL);
    Fixture {
        entry: fleet.nodes["entry-1"].address,
        bearer: format!("Bearer {key}"),
        fleet,
    }
}

impl Fixture {
    fn headers(&self) -> [(&str, &str); 1] {
        [("authorization", self.bearer.as_str())]
    }

    fn completion(&self, answer_tokens: u32) -> String {
        let body = json!({
            "model": MODEL, "prompt": "why?", "max_tokens": answer_tokens, "stream": true,
        });
        request(
            "POST",
            "/v1/completions",
            &self.headers(),
            &body.to_string(),
        )
    }

    /// Median time to the first token of 41 sequential requests.
    fn first_token(&self) -> Duration {
        let mut times: Vec<Duration> = (0..41)
            .map(|_| {
                let started = Instant::now();
                let mut events = EventReader::open(self.entry, &self.completion(1));
                let first = events.next_data().expect("a token");
                assert!(first.contains("\"text\""), "{first}");
                started.elapsed()
            })
            .collect();
        times.sort();
        times[times.len() / 2]
    }
}

#[test]
fn each_wrong_request_gets_its_own_clear_error() {
    let fixture = fixture(&["limits.body_bytes=4096", "timing.body_ms=300"], &[]);
    let path = "/v1/completions";
    let key = fixture.headers();
    let other = [("authorization", "Bearer nobody")];
    let good = json!({ "model": MODEL, "prompt": "x", "max_tokens": 1 }).to_string();
    let no_model = json!({ "model": "other", "prompt": "x" }).to_string();
    let large = json!({ "model": MODEL, "prompt": "x".repeat(5000) }).to_string();
    let cases = [
        ("POST", path, &[][..], good.as_str(), 401, "missing_key"),
        ("POST", path, &other[..], &good, 401, "unknown_key"),
        ("GET", "/v1/models", &other[..], "", 401, "unknown_key"),
        (
            "POST",
            "/v2/completions",
            &key[..],
            &good,
            404,
            "no_such_path",
        ),
        ("DELETE", path, &key[..], "", 405, "method_not_allowed"),
        ("POST", path, &key[..], "{\"model\":", 400, "bad_json"),
        ("POST", path, &key[..], "", 400, "bad_json"),
        ("POST", path, &key[..], &no_model, 404, "model_not_found"),
        ("POST", path, &key[..], &large, 413, "body_too_large"),
        (
            "POST",
            "/v1/calls/nothing",
            &key[..],
            "{}",
            404,
            "kind_not_found",
        ),
    ];
    for (method, path, headers, body, status, code) in cases {
        let answer = call(fixture.entry, method, path, headers, body);
        assert_eq!(answer.status, status, "{method} {path} {code}: {answer:?}");
        let error = &answer.json()["error"];
        assert_eq!(error["code"], code, "{answer:?}");
        assert!(error["message"].as_str() > Some(""), "{answer:?}");
        assert!(answer.headers.contains_key("x-request-id"), "{answer:?}");
    }
    let answer = call(fixture.entry, "POST", path, &key, &good);
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn bodies_and_heads_without_end_are_cut_off() {
    let settings = [
        "limits.body_bytes=65536",
        "timing.body_ms=400",
        "timing.head_ms=400",
    ];
    let fixture = fixture(&settings, &[]);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: {}\r\n",
        fixture.bearer
    );
    // A chunked body larger than the limit.
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let chunked = format!(
        "{head}transfer-encoding: chunked\r\n\r\n{}",
        chunk.repeat(6)
    );
    let answer = exchange(fixture.entry, &chunked).expect("an answer");
    assert_eq!(answer.status, 413, "{answer:?}");
    // A body that stops before its declared length.
    let late = format!("{head}connection: close\r\ncontent-length: 100\r\n\r\n{{");
    let answer = exchange(fixture.entry, &late).expect("an answer");
    assert_eq!(answer.status, 408, "{answer:?}");
    // Headers larger than the limit.
    let huge = format!("{head}x-filler: {}\r\n\r\n", "y".repeat(100_000));
    let answer = exchange(fixture.entry, &huge);
    assert!(
        answer.as_ref().is_none_or(|answer| answer.status == 431),
        "{answer:?}"
    );
    // Headers that never end.
    let mut stream = connect(fixture.entry);
    stream.write_all(head.as_bytes()).expect("it can be sent");
    let started = Instant::now();
    let _ = stream.read_to_end(&mut Vec::new());
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_crowd_of_slow_callers_slows_nobody_else() {
    let fixture = fixture(&[], &["slots=32", "decode_ms=2.0"]);
    let alone = fixture.first_token();
    let mut slow_connections: Vec<TcpStream> = Vec::new();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: {}\r\n",
        fixture.bearer
    );
    let body = format!("{head}content-length: 1000000\r\n\r\n{}", "x".repeat(1000));
    let unauthenticated =
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\nx";
    for start in [head.as_str(), body.as_str(), unauthenticated] {
        for _ in 0..200 {
            let mut stream = connect(fixture.entry);
            stream.write_all(start.as_bytes()).expect("it can be sent");
            slow_connections.push(stream);
        }
    }
    for stream in &mut slow_connections {
        // Each sends a little more now and then.
        let _ = stream.write_all(b"x");
    }
    let under_load = fixture.first_token();
    println!("first token: {alone:?} alone, {under_load:?} with slow callers");
    assert!(
        under_load < alone + MAX_SLOWDOWN,
        "{alone:?} {under_load:?}"
    );
    let peak = fixture.fleet.nodes["entry-1"].peak_memory_kib();
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB");
}

#[test]
fn bodies_take_no_more_memory_than_is_set() {
    let settings = ["limits.body_bytes=1048576", "limits.memory_bytes=2097152"];
    let fixture = fixture(&settings, &[]);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: {}\r\n",
        fixture.bearer
    );
    let start = format!(
        "{head}content-length: 1000000\r\n\r\n{}",
        "x".repeat(900_000)
    );
    let slow_connections: Vec<TcpStream> = (0..8)
        .map(|_| {
            let mut stream = connect(fixture.entry);
            let _ = stream.write_all(start.as_bytes());
            stream
        })
        .collect();
    let body = json!({ "model": MODEL, "prompt": "x".repeat(900_000), "max_tokens": 1 });
    wait::until("the body memory is used up", Duration::from_secs(5), || {
        let headers = fixture.headers();
        let answer = call(
            fixture.entry,
            "POST",
            "/v1/completions",
            &headers,
            &body.to_string(),
        );
        answer.status == 503 && answer.json()["error"]["code"] == "busy"
    });
    // Small requests still find room, and what the crowd held comes back.
    drop(slow_connections);
    wait::until("the memory is free", Duration::from_secs(5), || {
        let headers = fixture.headers();
        call(
            fixture.entry,
            "POST",
            "/v1/completions",
            &headers,
            &body.to_string(),
        )
        .status
            == 200
    });
}

#[test]
fn a_caller_that_does_not_read_loses_its_stream() {
    let operator = free_address();
    let listen = format!("operators.listen={operator}");
    let settings = [listen.as_str(), "operators.token=t", "timing.caller_ms=500"];
    let fixture = fixture(&settings, &["decode_ms=0.05"]);
    let mut stream = connect(fixture.entry);
    let text = fixture.completion(32_000);
    stream.write_all(text.as_bytes()).expect("it can be sent");
    let engine = fixture.fleet.engines["engine-1"].address;
    wait::until("the engine runs it", Duration::from_secs(5), || {
        call(engine, "GET", "/v1/status", &[], "").json()["running"] == 1
    });
    let label = "outcome=\"CallerLeft\"} 1";
    wait::until("the node ends the stream", Duration::from_secs(20), || {
        let headers = [("authorization", "Bearer t")];
        let metrics = call(operator, "GET", "/metrics", &headers, "").body;
        metrics.lines().any(|line| line.ends_with(label))
    });
    wait::until("the engine is free", Duration::from_secs(5), || {
        call(engine, "GET", "/v1/status", &[], "").json()["running"] == 0
    });
    // The connection is closed too, although the caller still reads nothing.
    let caller = stream.local_addr().expect("the socket has an address");
    wait::until("the connection is closed", Duration::from_secs(5), || {
        !established(fixture.entry, caller)
    });
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    assert!(!String::from_utf8_lossy(&rest).contains("[DONE]"));
}

/// True while `/proc/net/tcp` lists an established connection from `caller` at the
/// socket of `server`.
fn established(server: SocketAddr, caller: SocketAddr) -> bool {
    const ESTABLISHED: &str = "01";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system lists sockets");
    let port = |address: SocketAddr| format!(":{:04X}", address.port());
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 3
            && fields[1].ends_with(&port(server))
            && fields[2].ends_with(&port(caller))
            && fields[3] == ESTABLISHED
    })
}
