//! Behaviour of the stand-in engine at its socket.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingolock_core::prelude::*;
use flamingolock_standins::answer::ExpectedAnswer;
use flamingolock_standins::engine::{self, EngineOptions, Handle};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn salt(workspace: &str) -> String {
    PrefixSeed::new(&workspace.into(), &"model".into(), &"w1".into(), None).to_hex()
}

fn start(runtime: &Runtime, options: EngineOptions) -> Handle {
    runtime.block_on(engine::start(options, LOOPBACK)).unwrap()
}

fn request(id: &str, prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": "model",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
        "cache_salt": salt("qasr"),
        "request_id": id,
    })
}

fn url(handle: &Handle, path: &str) -> String {
    format!("http://{}{path}", handle.addr())
}

fn complete(handle: &Handle, body: &Value) -> Value {
    let mut response = ureq::post(url(handle, "/v1/completions"))
        .send_json(body)
        .unwrap();
    response.body_mut().read_json().unwrap()
}

/// Reads the data of each event, with the time since the start.
fn events(response: ureq::http::Response<ureq::Body>) -> Vec<(String, Duration)> {
    let begin = Instant::now();
    let reader = BufReader::new(response.into_body().into_reader());
    let lines = reader.lines().map_while(Result::ok);
    lines
        .filter_map(|line| line.strip_prefix("data: ").map(str::to_owned))
        .map(|data| (data, begin.elapsed()))
        .collect()
}

#[test]
fn stream_is_whole_ordered_and_flushed_as_produced() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        decode_ms: 50.0,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    let body = request("r1", "a survey", 5, true);
    let response = ureq::post(url(&handle, "/v1/completions"))
        .send_json(&body)
        .unwrap();
    assert_eq!(response.headers()["x-request-id"], "r1");
    let incarnation = handle.incarnation().to_string();
    assert_eq!(
        response.headers()["x-engine-incarnation"],
        incarnation.as_str()
    );

    let events = events(response);
    assert_eq!(events.len(), 7);
    let answer = ExpectedAnswer::new(b"a survey");
    for (index, (data, _)) in events[..5].iter().enumerate() {
        let data: Value = serde_json::from_str(data).unwrap();
        let text = answer.token(index as u32);
        assert_eq!(data, json!({ "id": "r1", "index": index, "text": text }));
    }
    let end: Value = serde_json::from_str(&events[5].0).unwrap();
    assert_eq!(
        (&end["count"], &end["finish"]),
        (&json!(5), &json!("length"))
    );
    assert_eq!(events[6].0, "[DONE]");
    let spread = events[4].1.saturating_sub(events[0].1);
    assert!(spread >= Duration::from_millis(150), "{spread:?}");
}

#[test]
fn second_request_hits_the_cache_of_its_own_salt_only() {
    let runtime = Runtime::new().unwrap();
    let handle = start(&runtime, EngineOptions::default());
    let prompt = "x".repeat(640);
    let first = complete(&handle, &request("r1", &prompt, 3, false));
    assert_eq!(
        first["text"],
        ExpectedAnswer::new(prompt.as_bytes()).text(3)
    );
    assert_eq!(first["usage"]["cached_tokens"], 0);
    let second = complete(&handle, &request("r2", &prompt, 3, false));
    assert_eq!(second["usage"]["cached_tokens"], 160);
    let mut other = request("r3", &prompt, 3, false);
    other["cache_salt"] = json!(salt("other"));
    assert_eq!(complete(&handle, &other)["usage"]["cached_tokens"], 0);

    let oracle = handle.oracle();
    assert_eq!((oracle.finished, oracle.bad_hits), (3, 0));
    assert_eq!((oracle.cached_tokens, oracle.computed_tokens), (160, 320));
    assert_eq!(oracle.executions["r1"], 1);
}
