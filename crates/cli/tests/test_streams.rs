//! Streams as they arrive at the caller's socket.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flamingolock_experiment::workload::{MODEL, Profile, WEIGHTS, workspace_key};
use flamingolock_testutils::fleet::{ProcessFleet, Programs};
use flamingolock_testutils::http::{EventReader, call, request};
use flamingolock_testutils::wait;
use serde_json::{Value, json};

/// Number of concurrent streams on one node.
const STREAMS: usize = 500;

/// Bound of the node's peak memory with these streams, in KiB.
const MAX_MEMORY_KIB: u64 = 256 << 10;

fn start_fleet() -> (ProcessFleet, Profile) {
    let fleet = ProcessFleet::start(Programs::new(
        env!("CARGO_BIN_EXE_flamingolock"),
        env!("CARGO_BIN_EXE_flamingoctl"),
    ));
    (fleet, Profile::mixed(10.0))
}

fn completion(key: &str, prompt: &str, answer_tokens: u32) -> String {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": answer_tokens, "stream": true,
        "temperature": 0.5,
    });
    request("POST", "/v1/completions", &headers, &body.to_string())
}

/// An engine that sends its second token only after a message on `gate`.
struct GatedEngine {
    address: SocketAddr,
    gate: Sender<()>,
}

fn gated_engine() -> GatedEngine {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the port has an address");
    let (gate, opened) = channel();
    let opened = Arc::new(Mutex::new(opened));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let opened = Arc::clone(&opened);
            std::thread::spawn(move || serve_gated(stream, &opened));
        }
    });
    GatedEngine { address, gate }
}

fn serve_gated(mut stream: TcpStream, opened: &Mutex<Receiver<()>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be shared"));
    let (mut first, mut length) = (String::new(), 0);
    let _ = reader.read_line(&mut first);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) <= 2 {
            break;
        }
        if let Some(text) = line.to_lowercase().strip_prefix("content-length:") {
            length = text.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body arrives");
    if first.starts_with("GET /v1/status") {
        let status = json!({
            "engine": "engine-1", "incarnation": 5, "model": MODEL, "weights": WEIGHTS,
            "role": "serve", "slots": 8, "capacity_blocks": 1000,
            "prefill_tokens_per_s": 20000.0,
        })
        .to_string();
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length:";
        let _ = write!(stream, "{head} {}\r\n\r\n{status}", status.len());
        return;
    }
    let body: Value = serde_json::from_slice(&body).expect("a JSON body");
    // The caller's sampling parameters are forwarded to the engine.
    assert_eq!(body["temperature"], 0.5, "{body}");
    let id = &body["request_id"];
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\nx-engine-incarnation: 5\r\n";
    let _ = write!(stream, "{head}content-type: text/event-stream\r\n\r\n");
    let piece = |index: u32| json!({ "id": id, "index": index, "text": format!("t{index}") });
    let _ = write!(stream, "id: 0\ndata: {}\n\n", piece(0));
    if opened.lock().expect("no panic before").recv().is_err() {
        return;
    }
    let end = json!({ "id": id, "finish": "length", "count": 2, "usage": {} });
    let _ = write!(
        stream,
        "data: {}\n\ndata: {end}\n\ndata: [DONE]\n\n",
        piece(1)
    );
}

#[test]
fn the_first_token_leaves_before_the_engine_has_the_second() {
    let (mut fleet, profile) = start_fleet();
    let engine = gated_engine();
    fleet.list("engine-1", "engine", engine.address, None);
    // The node must not treat the stream as stalled while the gate is closed.
    fleet.add_node("entry-1", &["timing.stall_ms=60000"]);
    fleet.publish_manifest(&profile.manifest());
    let key = workspace_key(&profile.workspaces[0].id);
    let entry = fleet.nodes["entry-1"].address;
    let bearer = format!("Bearer {key}");
    wait::until("the node has an engine", Duration::from_secs(10), || {
        let headers = [("authorization", bearer.as_str())];
        call(entry, "GET", "/v1/models", &headers, "").status == 200
    });
    // Requests may fail until the node has read the engine's status.
    let mut first = None;
    let mut events = None;
    wait::until("a stream begins", Duration::from_secs(10), || {
        let mut reader = EventReader::open(entry, &completion(&key, "gate", 2));
        first = reader.next_data();
        events = Some(reader);
        first.is_some()
    });
    // Nothing has opened the gate, so the engine has only one token so far.
    let first: Value = serde_json::from_str(&first.expect("a token")).expect("JSON");
    assert_eq!(first["choices"][0]["text"], "t0", "{first}");
    engine.gate.send(()).expect("the engine waits");
    let mut events = events.expect("a stream");
    let second: Value = serde_json::from_str(&events.next_data().expect("a token")).expect("JSON");
    assert_eq!(second["choices"][0]["text"], "t1", "{second}");
    assert!(
        events.next_data().is_some(),
        "the event that ends the answer"
    );
    assert_eq!(events.next_data().as_deref(), Some("[DONE]"));
}

#[test]
fn one_node_carries_500_streams_in_bounded_memory() {
    let (mut fleet, profile) = start_fleet();
    let options = [
        format!("model=\"{MODEL}\""),
        format!("weights=\"{WEIGHTS}\""),
        "slots=600".to_owned(),
        "max_waiting=600".to_owned(),
        "prefill_tokens_per_s=10000000.0".to_owned(),
        "decode_ms=100.0".to_owned(),
    ];
    let options: Vec<&str> = options.iter().map(String::as_str).collect();
    fleet.add_engine("engine-1", &options);
    fleet.add_node("entry-1", &[]);
    let mut manifest = profile.manifest();
    for workspace in manifest.workspaces.values_mut() {
        workspace.max_inflight = None;
        workspace.request_rate = None;
    }
    fleet.publish_manifest(&manifest);
    let key = workspace_key(&profile.workspaces[0].id);
    fleet.wait_serving("entry-1", &key, MODEL);
    let entry = fleet.nodes["entry-1"].address;
    let engine = fleet.engines["engine-1"].address;
    let streams: Vec<EventReader> = (0..STREAMS)
        .map(|number| {
            // A few pages of text, different for each caller.
            let prompt = format!("caller {number} ").repeat(700);
            EventReader::open(entry, &completion(&key, &prompt, 100))
        })
        .collect();
    wait::until("all streams run at once", Duration::from_secs(9), || {
        let status = call(engine, "GET", "/v1/status", &[], "").json();
        status["running"].as_u64() == Some(STREAMS as u64)
    });
    for (number, mut events) in streams.into_iter().enumerate() {
        let (mut tokens, mut last) = (0, String::new());
        while let Some(data) = events.next_data() {
            tokens += usize::from(data.contains("\"finish_reason\":null"));
            last = data;
        }
        assert_eq!((tokens, last.as_str()), (100, "[DONE]"), "stream {number}");
    }
    let peak = fleet.nodes["entry-1"].peak_memory_kib();
    println!("peak memory of the node: {peak} KiB");
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB");
}
