//! Faults, delayed reports, orders and KV transfer of the stand-in engine.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{
    Events, KeepAliveConnection, LOOPBACK, complete, completion, eventually, get, post, salt,
};
use flamingolock_core::prelude::*;
use flamingolock_standins::engine::{self, EngineOptions, Handle};
use flamingolock_standins::platform::{self, PlatformOptions};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

const TEN_BLOCKS: usize = 640;

fn start(runtime: &Runtime, options: EngineOptions) -> Handle {
    runtime.block_on(engine::start(options, LOOPBACK)).unwrap()
}

fn start_platform(runtime: &Runtime, options: PlatformOptions) -> platform::Handle {
    runtime
        .block_on(platform::start(options, LOOPBACK))
        .unwrap()
}

fn order(addr: SocketAddr, fencing: u64, order: &Value) -> (u16, Value) {
    let body = json!({ "id": format!("o{fencing}"), "fencing": fencing, "order": order });
    post(addr, "/v1/orders", &body)
}

fn load(version: &str) -> Value {
    json!({ "load_weights": { "version": version } })
}

#[test]
fn crash_cuts_streams_and_brings_a_larger_incarnation_with_a_cold_cache() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        cold_start_ms: 200,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    let prompt = "x".repeat(TEN_BLOCKS);
    complete(handle.addr(), "r1", &prompt, 1);
    let mut stream = Events::start(handle.addr(), "r2", &prompt, 1000);
    stream.next().unwrap();
    let before = handle.incarnation();
    let begin = Instant::now();
    handle.crash();
    assert!(!stream.rest().contains(&"[DONE]".to_owned()));
    assert!(handle.incarnation() > before);
    assert_eq!(handle.oracle().cut, 1);
    let listens = || std::net::TcpStream::connect(handle.addr()).is_ok();
    eventually("connections are refused", || !listens());
    eventually("connections are accepted again", listens);
    assert!(begin.elapsed() >= Duration::from_millis(200));
    let again = complete(handle.addr(), "r3", &prompt, 1);
    assert_eq!(again["usage"]["cached_tokens"], 0);
    assert_eq!(handle.oracle().recomputed_tokens, 160);
}

#[test]
fn frozen_engine_accepts_connections_but_neither_answers_nor_computes() {
    let runtime = Runtime::new().unwrap();
    let handle = start(&runtime, EngineOptions::default());
    let begin = Instant::now();
    let mut stream = Events::start(handle.addr(), "r1", "a survey", 60);
    stream.next().unwrap();
    handle.freeze(Duration::from_millis(700));
    let mut connection = KeepAliveConnection::open(handle.addr());
    connection.send("/v1/status");
    assert!(connection.is_silent());
    get(handle.addr(), "/v1/status");
    let frozen = begin.elapsed();
    assert!(frozen >= Duration::from_millis(700), "{frozen:?}");
    assert_eq!(stream.rest().last().unwrap(), "[DONE]");
    let whole = begin.elapsed();
    assert!(whole >= Duration::from_millis(1250), "{whole:?}");
}

#[test]
fn crash_may_bring_back_the_weights_of_the_start() {
    let runtime = Runtime::new().unwrap();
    for forgets in [true, false] {
        let options = EngineOptions {
            forgets_weights: forgets,
            load_ms: 1,
            ..EngineOptions::default()
        };
        let handle = start(&runtime, options);
        assert_eq!(order(handle.addr(), 1, &load("w2")).0, 200);
        handle.crash();
        let expected = if forgets { "w1" } else { "w2" };
        assert_eq!(handle.weights().as_str(), expected);
    }
}

#[test]
fn silent_connections_stay_open_while_new_ones_work() {
    let runtime = Runtime::new().unwrap();
    let handle = start(&runtime, EngineOptions::default());
    let mut connection = KeepAliveConnection::open(handle.addr());
    connection.send("/v1/status");
    assert!(!connection.receive().is_empty());
    handle.silence_connections();
    connection.send("/v1/status");
    assert!(connection.is_silent());
    get(handle.addr(), "/v1/status");
    handle.cut_connections();
    assert!(connection.receive().is_empty());
}

#[test]
fn cache_events_are_late() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        event_delay_ms: 200,
        capacity_blocks: 10,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    let prompt = "a".repeat(TEN_BLOCKS);
    complete(handle.addr(), "r1", &prompt, 1);
    let begin = Instant::now();
    assert_eq!(
        get(handle.addr(), "/v1/events?after=0")["events"],
        json!([])
    );
    let page = get(handle.addr(), "/v1/events?after=0&wait_ms=5000");
    assert!(begin.elapsed() >= Duration::from_millis(100));
    let chain = PrefixChain::new(salt("qasr"), prompt.as_bytes());
    let blocks = chain.blocks.iter().map(|block| format!("{:016x}", block.0));
    let blocks: Vec<String> = blocks.collect();
    let stored = json!([{ "seq": 1, "kind": "stored", "blocks": blocks }]);
    assert_eq!(page["events"], stored);
    assert_eq!(page["incarnation"], json!(handle.incarnation()));

    complete(handle.addr(), "r2", &"b".repeat(TEN_BLOCKS), 1);
    eventually("eviction is told", || {
        let page = get(handle.addr(), "/v1/events?after=2");
        page["events"][0]["kind"] == "evicted" && page["last_seq"] == 3
    });
}

#[test]
fn cache_events_have_gaps() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        event_delay_ms: 0,
        event_gap: 0.5,
        seed: 7,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    for prompt in 0..20 {
        let prompt = format!("{prompt:02}").repeat(TEN_BLOCKS / 2);
        complete(handle.addr(), "r", &prompt, 1);
    }
    let page = get(handle.addr(), "/v1/events?after=0");
    let seen = page["events"].as_array().unwrap().len();
    assert_eq!(page["last_seq"], 20);
    assert!((5..=15).contains(&seen), "{seen} of 20 events");
}

#[test]
fn status_lags() {
    let runtime = Runtime::new().unwrap();
    let options = EngineOptions {
        status_lag_ms: 300,
        ..EngineOptions::default()
    };
    let handle = start(&runtime, options);
    get(handle.addr(), "/v1/status");
    std::thread::sleep(Duration::from_millis(350));
    let mut stream = Events::start(handle.addr(), "r1", "a survey", 200);
    stream.next().unwrap();
    assert_eq!(get(handle.addr(), "/v1/status")["running"], 0);
    eventually("status shows the request", || {
        get(handle.addr(), "/v1/status")["running"] == 1
    });
}

#[test]
fn orders_with_old_numbers_are_refused_only_by_engines_that_check() {
    let runtime = Runtime::new().unwrap();
    for checks in [true, false] {
        let options = EngineOptions {
            checks_fencing: checks,
            load_ms: 10,
            ..EngineOptions::default()
        };
        let handle = start(&runtime, options);
        assert_eq!(order(handle.addr(), 5, &load("w2")).0, 200);
        let (status, response) = order(handle.addr(), 4, &load("w1"));
        if checks {
            assert_eq!(status, 409);
            assert_eq!(response["error"]["code"], "stale_fencing");
            assert_eq!(handle.weights().as_str(), "w2");
        } else {
            assert_eq!(status, 200);
            assert_eq!(handle.weights().as_str(), "w1");
        }
        let stale = handle.oracle().orders.iter().filter(|o| o.stale).count();
        assert_eq!(stale, usize::from(!checks));
    }
}

#[test]
fn new_weights_clear_the_cache_and_cut_what_was_not_drained() {
    let runtime = Runtime::new().unwrap();
    let handle = start(&runtime, EngineOptions::default());
    let addr = handle.addr();
    let prompt = "x".repeat(TEN_BLOCKS);
    complete(addr, "r1", &prompt, 1);
    let mut stream = Events::start(addr, "r2", &prompt, 1000);
    stream.next().unwrap();
    let begin = Instant::now();
    let loading = std::thread::spawn(move || order(addr, 1, &load("w2")));
    assert!(!stream.rest().contains(&"[DONE]".to_owned()));
    let (status, response) = post(
        addr,
        "/v1/completions",
        &completion("r3", &prompt, 1, false),
    );
    assert_eq!(status, 409);
    assert_eq!(response["error"]["code"], "weights_not_loaded");
    assert_eq!(loading.join().unwrap().0, 200);
    assert!(begin.elapsed() >= Duration::from_millis(300));
    let fresh = complete(addr, "r4", &prompt, 1);
    assert_eq!(fresh["usage"]["cached_tokens"], 0);
    let oracle = handle.oracle();
    assert_eq!((oracle.cut, oracle.orders[0].cut), (1, 1));
    let page = get(addr, "/v1/events?after=1&wait_ms=1000");
    assert_eq!(page["events"][0]["kind"], "cleared");
}

#[test]
fn draining_engine_finishes_its_streams_and_refuses_new_ones() {
    let runtime = Runtime::new().unwrap();
    let handle = start(&runtime, EngineOptions::default());
    let mut stream = Events::start(handle.addr(), "r1", "a survey", 20);
    stream.next().unwrap();
    let drain = json!({ "set_role": { "role": "drain" } });
    assert_eq!(order(handle.addr(), 1, &drain).0, 200);
    let body = completion("r2", "a survey", 1, false);
    let (status, response) = post(handle.addr(), "/v1/completions", &body);
    assert_eq!(
        (status, &response["error"]["code"]),
        (409, &json!("draining"))
    );
    assert_eq!(stream.rest().last().unwrap(), "[DONE]");
    let adapter = json!({ "load_adapter": { "name": "tooling" } });
    assert_eq!(order(handle.addr(), 2, &adapter).0, 200);
    eventually("status shows the orders", || {
        let status = get(handle.addr(), "/v1/status");
        status["role"] == "drain" && status["adapters"] == json!(["tooling"])
    });
}

#[test]
fn loads_slow_down_beyond_two_and_are_limited() {
    let runtime = Runtime::new().unwrap();
    let options = PlatformOptions {
        max_loads: 4,
        ..PlatformOptions::default()
    };
    let platform = start_platform(&runtime, options);
    let engines: Vec<Handle> = (0..5)
        .map(|_| {
            let store = format!("http://{}", platform.addr());
            let options = EngineOptions {
                weight_store: Some(store),
                ..EngineOptions::default()
            };
            start(&runtime, options)
        })
        .collect();
    let begin = Instant::now();
    let orders = engines.iter().map(|engine| {
        let addr = engine.addr();
        std::thread::spawn(move || (order(addr, 1, &load("w2")), begin.elapsed()))
    });
    let orders: Vec<_> = orders.collect();
    let outcomes = orders.into_iter().map(|order| order.join().unwrap());
    let mut outcomes: Vec<(u16, Duration)> = outcomes.map(|((s, _), t)| (s, t)).collect();
    outcomes.sort();
    let statuses: Vec<u16> = outcomes.iter().map(|(status, _)| *status).collect();
    assert_eq!(statuses, [200, 200, 200, 200, 503]);
    assert!(outcomes[0].1 >= Duration::from_millis(300), "{outcomes:?}");
    assert!(outcomes[3].1 >= Duration::from_millis(600), "{outcomes:?}");
    let spread = outcomes[3].1.saturating_sub(outcomes[1].1);
    assert!(spread >= Duration::from_millis(200), "{outcomes:?}");
    let report = platform.report().weights;
    assert_eq!((report.loads, report.refused, report.peak), (4, 1, 4));
}

#[test]
fn exported_blocks_are_hits_after_import_and_old_weights_are_noticed() {
    let runtime = Runtime::new().unwrap();
    let platform = start_platform(&runtime, PlatformOptions::default());
    let options = EngineOptions {
        load_ms: 1,
        ..EngineOptions::default()
    };
    let (first, second) = (start(&runtime, options.clone()), start(&runtime, options));
    let prompt = "x".repeat(TEN_BLOCKS);
    complete(first.addr(), "r1", &prompt, 1);
    let chain = PrefixChain::new(salt("qasr"), prompt.as_bytes());
    let blocks = chain.blocks.iter().map(|block| format!("{:016x}", block.0));
    let mut blocks: Vec<String> = blocks.collect();
    blocks.push("00000000000000ff".to_owned());
    let url = format!("http://{}/kv/survey", platform.addr());
    let export = json!({ "cache_salt": salt("qasr").to_hex(), "blocks": blocks, "url": url });
    assert_eq!(
        post(first.addr(), "/v1/kv/export", &export),
        (200, json!({ "exported": 10 }))
    );

    let import = json!({ "cache_salt": salt("other").to_hex(), "url": url });
    let (status, response) = post(second.addr(), "/v1/kv/import", &import);
    assert_eq!(
        (status, &response["error"]["code"]),
        (400, &json!("other_salt"))
    );
    let import = json!({ "cache_salt": salt("qasr").to_hex(), "url": url });
    assert_eq!(
        post(second.addr(), "/v1/kv/import", &import),
        (200, json!({ "imported": 10 }))
    );
    let hit = complete(second.addr(), "r2", &prompt, 1);
    assert_eq!(hit["usage"]["cached_tokens"], 160);
    assert_eq!(second.oracle().bad_hits, 0);

    assert_eq!(order(second.addr(), 1, &load("w2")).0, 200);
    assert_eq!(post(second.addr(), "/v1/kv/import", &import).0, 200);
    complete(second.addr(), "r3", &prompt, 1);
    assert_eq!(second.oracle().bad_hits, 10);
}
