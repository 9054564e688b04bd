//! Endpoints and the store send bytes without end that are no response.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entry_site::{Answer, Node, Site, call, stream, wait_for};
use flamingolock_platform_standin::EngineMode;
use flamingolock_standins::proxy::{self, Handle, NewConnections};
use tokio::runtime::Runtime;

/// Memory of a small node, in kB.
const MAX_MEMORY_KB: u64 = 88 * 1024;

/// Time within which a caller has its answer, well before its deadline of 8 s.
const ANSWER_TIME: Duration = Duration::from_secs(3);

fn proxy(runtime: &Runtime, target: SocketAddr) -> Handle {
    let started = proxy::start(([127, 0, 0, 1], 0).into(), target);
    runtime.block_on(started).expect("a proxy starts")
}

fn assert_failed_soon(node: &Node, request: impl Fn() -> Answer) {
    let started = Instant::now();
    for _ in 0..4 {
        let answer = request();
        assert!(
            answer.status == 502 || !answer.complete,
            "{answer:?}\n{}",
            node.log()
        );
    }
    assert!(
        started.elapsed() < 4 * ANSWER_TIME,
        "{:?}",
        started.elapsed()
    );
    let peak = node.peak_memory_kb().expect("the node runs");
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
}

#[test]
fn stream_that_never_brings_an_event_fails_and_takes_little_memory() {
    let site = Site::start(Duration::from_millis(1));
    let node = site.node("node-1");
    for engine in &site.engines {
        engine.set_mode(EngineMode::EndlessBody);
    }
    assert_failed_soon(&node, || stream(&node, "/tag/a", "r1"));
}

#[test]
fn whole_body_without_end_fails_and_takes_little_memory() {
    let site = Site::start(Duration::from_millis(1));
    let node = site.node("node-1");
    for server in &site.app_servers {
        server.set_mode(EngineMode::EndlessBody);
    }
    assert_failed_soon(&node, || call(&node, "/look/a", "r1", &[]));
}

#[test]
fn whole_bodies_without_end_of_many_callers_take_little_memory_and_end_no_other_request() {
    let site = Site::start(Duration::from_millis(1));
    let limits = format!("[Limits]\nMemoryMb = {}\n", MAX_MEMORY_KB / 1024);
    let node = Node::start_with("node-1", site.store.address(), &[], &limits);
    node.wait_ready();
    for server in &site.app_servers {
        server.set_mode(EngineMode::EndlessBody);
    }
    std::thread::scope(|scope| {
        for caller in 0..48 {
            let node = &node;
            scope.spawn(move || {
                let answer = call(node, "/look/a", &format!("look-{caller}"), &[]);
                assert_ne!(answer.status, 200, "{answer:?}");
            });
        }
        std::thread::sleep(Duration::from_millis(200));
        let answer = stream(&node, "/tag/a", "tag");
        assert!(answer.status == 200 && answer.complete, "{answer:?}");
    });
    let peak = node.peak_memory_kb().expect("the node runs");
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
}

#[test]
fn response_head_without_end_fails_and_takes_little_memory() {
    let runtime = Runtime::new().expect("a runtime starts");
    let site = Site::start(Duration::from_millis(1));
    let node = site.node("node-1");
    let mut proxies = Vec::new();
    for engine in &site.engines {
        let proxy = proxy(&runtime, engine.address());
        proxy.change_faults(|faults| faults.new_connections = NewConnections::EndlessHead);
        let (key, value) = engine.entry_at(proxy.addr(), "engines", "ready");
        site.store.put("keyed.servers", &key, &value);
        proxies.push(proxy);
    }
    // Connections to the engines themselves are not used any more by then.
    std::thread::sleep(Duration::from_secs(3));
    assert_failed_soon(&node, || stream(&node, "/tag/a", "r1"));
    assert!(proxies.iter().any(|proxy| proxy.accepted() > 0));
}

#[test]
fn store_that_sends_bytes_without_end_is_read_again_once_it_answers() {
    let runtime = Runtime::new().expect("a runtime starts");
    let site = Site::start(Duration::from_millis(1));
    let link = proxy(&runtime, site.store.address());
    let node = Node::start("node-1", link.addr(), &[]);
    node.wait_ready();
    link.change_faults(|faults| faults.new_connections = NewConnections::EndlessHead);
    link.cut_existing();
    std::thread::sleep(Duration::from_secs(3));
    let peak = node.peak_memory_kb().expect("the node runs");
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
    link.change_faults(|faults| faults.new_connections = NewConnections::Forward);
    let text = entry_site::site_configuration(2, true);
    site.store.put("keyed.op", "op/config", &text);
    wait_for("the configuration", || {
        call(&node, "/later/a", "r2", &[]).status == 200
    });
}
