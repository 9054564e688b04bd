//! Completions, streams and the prefix cache of the stand-in engine.

mod common;

use std::time::{Duration, Instant};

use common::{Events, LOOPBACK, call, complete, completion, eventually, get, post, salt, send};
use flamingolock_standins::answer::ExpectedAnswer;
use flamingolock_standins::engine::{self, EngineOptions, Handle};
use flamingolock_standins::oracle::FleetOracle;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// Size of a prompt of ten cache blocks (160 tokens), in bytes.
const TEN_BLOCKS: usize = 640;

fn start(runtime: &Runtime, options: EngineOptions) -> Handle {
    runtime.block_on(engine::start(options, LOOPBACK)).unwrap()
}

fn index(data: &str) -> u64 {
    let data: Value = serde_json::from_str(data).unwrap();
    data["index"].as_u64().unwrap()
}

#[test]
fn stream_is_whole_ordered_and_flushed_as_produced() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        decode_ms: 50.0,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    let body = completion("r1", "a survey", 5, true);
    let response = send("POST", handle.addr(), "/v1/completions", &body).unwrap();
    assert_eq!(response.headers()["x-request-id"], "r1");
    let incarnation = handle.incarnation().to_string();
    assert_eq!(
        response.headers()["x-engine-incarnation"],
        incarnation.as_str()
    );

    let mut events = Events::of(response);
    let answer = ExpectedAnswer::new(b"a survey");
    let mut arrivals = Vec::new();
    for index in 0..5 {
        let data: Value = serde_json::from_str(&events.next().unwrap()).unwrap();
        arrivals.push(Instant::now());
        let text = answer.token(index);
        let usage = json!({ "prompt_tokens": 2, "completion_tokens": 5, "cached_tokens": 0 });
        let expected = json!({ "id": "r1", "index": index, "text": text, "usage": usage });
        assert_eq!(data, expected);
    }
    let end: Value = serde_json::from_str(&events.next().unwrap()).unwrap();
    assert_eq!(
        (&end["count"], &end["finish"]),
        (&json!(5), &json!("length"))
    );
    assert_eq!(events.rest(), ["[DONE]"]);
    let spread = arrivals[4] - arrivals[0];
    assert!(spread >= Duration::from_millis(150), "{spread:?}");
}

#[test]
fn second_request_hits_the_cache_of_its_own_salt_only() {
    let runtime = Runtime::new().unwrap();
    let handle = start(&runtime, EngineOptions::default());
    let prompt = "x".repeat(TEN_BLOCKS);
    let first = complete(handle.addr(), "r1", &prompt, 3);
    assert_eq!(
        first["text"],
        ExpectedAnswer::new(prompt.as_bytes()).text(3)
    );
    assert_eq!(first["usage"]["cached_tokens"], 0);
    let second = complete(handle.addr(), "r2", &prompt, 3);
    assert_eq!(second["usage"]["cached_tokens"], 160);
    let mut other = completion("r3", &prompt, 3, false);
    other["cache_salt"] = json!(salt("other").to_hex());
    let (_, other) = post(handle.addr(), "/v1/completions", &other);
    assert_eq!(other["usage"]["cached_tokens"], 0);

    let oracle = handle.oracle();
    assert_eq!((oracle.finished, oracle.bad_hits), (3, 0));
    assert_eq!((oracle.cached_tokens, oracle.computed_tokens), (160, 320));
    assert_eq!(oracle.hits, [(salt("qasr").to_hex(), 10)].into());
    assert_eq!(oracle.executions["r1"], 1);
    assert_eq!(get(handle.addr(), "/standin/oracle"), json!(oracle));
}

#[test]
fn stream_resumes_from_an_index_and_is_forgotten_without_a_reader() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        remember_ms: 300,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    let mut events = Events::start(handle.addr(), "r1", "a survey", 20);
    assert_eq!(index(&events.next().unwrap()), 0);
    drop(events);
    let path = "/v1/streams/r1?from=3";
    let resumed = Events::of(send("GET", handle.addr(), path, &Value::Null).unwrap()).rest();
    assert_eq!(index(&resumed[0]), 3);
    assert_eq!(index(&resumed[16]), 19);
    assert_eq!(resumed.len(), 19);

    let mut abandoned = Events::start(handle.addr(), "r2", "a survey", 1000);
    abandoned.next().unwrap();
    drop(abandoned);
    eventually("abandoned stream ends", || handle.oracle().cancelled == 1);
    let (status, _) = call("GET", handle.addr(), "/v1/streams/r2", &Value::Null);
    assert_eq!(status, 404);
}

#[test]
fn cancel_frees_the_only_slot() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        slots: 1,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    let mut long = Events::start(handle.addr(), "long", "a survey", 10_000);
    long.next().unwrap();
    let begin = Instant::now();
    let (status, _) = call("DELETE", handle.addr(), "/v1/streams/long", &Value::Null);
    assert_eq!(status, 204);
    complete(handle.addr(), "short", "a tag", 2);
    assert!(begin.elapsed() < Duration::from_secs(2));
    let rest = long.rest();
    assert!(
        !rest.contains(&"[DONE]".to_owned()),
        "cancelled streams have no end"
    );
    let oracle = handle.oracle();
    assert_eq!((oracle.cancelled, oracle.finished), (1, 1));
}

#[test]
fn waiting_requests_go_by_priority_and_the_line_is_bounded() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        slots: 1,
        max_waiting: 2,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    let mut running = Events::start(handle.addr(), "running", "a", 40);
    running.next().unwrap();
    let submit = |id: &'static str, priority: u8| {
        let mut body = completion(id, "b", 20, false);
        body["priority"] = json!(priority);
        let addr = handle.addr();
        let waiting = handle.oracle().started + 1;
        let thread = std::thread::spawn(move || {
            post(addr, "/v1/completions", &body);
            Instant::now()
        });
        eventually("request waits", || handle.oracle().started == waiting);
        thread
    };
    let low = submit("low", 0);
    let high = submit("high", 5);
    let body = completion("refused", "c", 1, false);
    let response = send("POST", handle.addr(), "/v1/completions", &body).unwrap();
    assert_eq!(response.status(), 429);
    assert!(response.headers().contains_key("retry-after"));
    assert!(high.join().unwrap() < low.join().unwrap());
    assert!(!handle.oracle().executions.contains_key("refused"));
}

#[test]
fn prefill_is_serial_and_takes_time_per_token() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        prefill_tokens_per_s: 1000.0,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    let begin = Instant::now();
    let mut streams = ["a", "b"].map(|text| {
        let prompt = text.repeat(TEN_BLOCKS);
        Events::start(handle.addr(), text, &prompt, 1)
    });
    let first = streams.each_mut().map(|stream| {
        stream.next().unwrap();
        begin.elapsed().as_millis()
    });
    assert!((160..1000).contains(&first[0]), "{first:?}");
    assert!((320..2000).contains(&first[1]), "{first:?}");
}

#[test]
fn cache_evicts_for_space_and_counts_recomputation_over_the_fleet() {
    let runtime = Runtime::new().unwrap();
    let fleet = FleetOracle::shared();
    let options = EngineOptions {
        capacity_blocks: 12,
        fleet: Some(fleet),
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options.clone());
    let (a, b) = ("a".repeat(TEN_BLOCKS), "b".repeat(TEN_BLOCKS));
    complete(handle.addr(), "r1", &a, 1);
    complete(handle.addr(), "r2", &b, 1);
    let oracle = handle.oracle();
    assert_eq!((oracle.evicted, oracle.recomputed_tokens), (8, 0));
    let third = complete(handle.addr(), "r3", &a, 1);
    assert_eq!(
        third["usage"]["cached_tokens"], 32,
        "the first blocks stay longest"
    );
    assert_eq!(handle.oracle().recomputed_tokens, 128);

    let other = start(&runtime, options);
    complete(other.addr(), "r4", &b, 1);
    assert_eq!(other.oracle().recomputed_tokens, 160);
}

#[test]
fn unused_blocks_expire() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        block_ttl_ms: 100,
        status_lag_ms: 0,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    complete(handle.addr(), "r1", &"a".repeat(TEN_BLOCKS), 1);
    assert_eq!(get(handle.addr(), "/v1/status")["cached_blocks"], 10);
    eventually("blocks expire", || {
        get(handle.addr(), "/v1/status")["cached_blocks"] == 0
    });
    assert_eq!(handle.oracle().evicted, 10);
}

#[test]
fn continuation_goes_on_where_another_engine_stopped() {
    let runtime = Runtime::new().unwrap();
    let handle = start(&runtime, EngineOptions::default());
    let answer = ExpectedAnswer::new(b"a survey");
    let mut body = completion("r1", "a survey", 6, true);
    body["start_index"] = json!(4);
    body["answer_so_far"] = json!(answer.text(4));
    let response = send("POST", handle.addr(), "/v1/completions", &body).unwrap();
    let events = Events::of(response).rest();
    assert_eq!((index(&events[0]), index(&events[1])), (4, 5));
    let end: Value = serde_json::from_str(&events[2]).unwrap();
    assert_eq!(end["count"], 6);

    body["answer_so_far"] = json!("something else");
    let (status, refused) = post(handle.addr(), "/v1/completions", &body);
    assert_eq!(
        (status, &refused["error"]["code"]),
        (400, &json!("bad_answer"))
    );
}

#[test]
fn bad_requests_and_options_are_refused() {
    let runtime = Runtime::new().unwrap();
    let handle = start(&runtime, EngineOptions::default());
    let refusals = [
        ("model", json!("other"), "unknown_model"),
        ("cache_salt", json!("short"), "bad_salt"),
        ("max_tokens", json!(0), "bad_length"),
        ("prompt", json!(1), "invalid_json"),
    ];
    for (field, value, code) in refusals {
        let mut body = completion("r1", "p", 1, false);
        body[field] = value;
        let (status, response) = post(handle.addr(), "/v1/completions", &body);
        assert_eq!((status, &response["error"]["code"]), (400, &json!(code)));
    }
    let options = EngineOptions {
        prefill_tokens_per_s: 0.0,
        ..EngineOptions::default()
    };
    assert!(runtime.block_on(engine::start(options, LOOPBACK)).is_err());
    assert!(serde_json::from_value::<EngineOptions>(json!({ "slot": 1 })).is_err());
}
