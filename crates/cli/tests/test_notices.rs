//! What endpoints ask of a node in the headers of their responses.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::{Duration, Instant};

use entry_site::{Node, Site, call, draft, wait_for};
use flamingolock_platform_standin::{Engine, EngineMode, StoreMode};

fn start() -> (Site, Node) {
    let site = Site::start(Duration::from_millis(1));
    let node = site.node("node-1");
    (site, node)
}

fn arrivals_after(endpoint: &Engine, time: Instant) -> usize {
    let arrivals = endpoint.arrivals();
    arrivals.iter().filter(|arrival| arrival.at > time).count()
}

fn look_up(node: &Node, index: usize) -> entry_site::Answer {
    call(node, "/look/a", &format!("look-{index}"), &[])
}

#[test]
fn server_that_says_it_is_leaving_gets_no_more_requests() {
    let (site, node) = start();
    site.store.set_mode(StoreMode::Refusing);
    site.app_servers[0].set_leaving(true);
    let told = (0..20).find(|index| {
        let answer = look_up(&node, *index);
        answer.headers.contains_key("server-leaving")
    });
    assert!(told.is_some(), "no response of the server that is leaving");
    let told_at = Instant::now();
    for index in 100..130 {
        assert_eq!(look_up(&node, index).status, 200);
    }
    assert_eq!(arrivals_after(&site.app_servers[0], told_at), 0);
}

#[test]
fn engine_that_says_it_is_leaving_in_a_refusal_gets_no_more_requests() {
    let (site, node) = start();
    site.engines[0].set_mode(EngineMode::Refusing);
    site.engines[0].set_leaving(true);
    for index in 0..8 {
        assert_eq!(draft(&node, index, &format!("r{index}"), &[]).status, 200);
    }
    let told_at = Instant::now();
    assert_eq!(site.engines[0].arrivals().len(), 1);
    for index in 8..16 {
        assert_eq!(draft(&node, index, &format!("r{index}"), &[]).status, 200);
    }
    assert_eq!(arrivals_after(&site.engines[0], told_at), 0);
}

#[test]
fn engine_that_says_it_is_leaving_in_a_response_to_another_request_gets_no_more_requests() {
    let (site, node) = start();
    site.engines[0].set_mode(EngineMode::WrongRequestId);
    site.engines[0].set_leaving(true);
    let mut index = 0;
    wait_for("a request at the engine", || {
        index += 1;
        draft(&node, index, &format!("r{index}"), &[]);
        !site.engines[0].arrivals().is_empty()
    });
    let told_at = Instant::now();
    for index in index + 1..index + 17 {
        assert_eq!(draft(&node, index, &format!("r{index}"), &[]).status, 200);
    }
    assert_eq!(arrivals_after(&site.engines[0], told_at), 0);
}

#[test]
fn engine_that_says_it_is_leaving_in_a_response_to_an_order_gets_no_more_requests() {
    let (site, node) = start();
    site.engines[0].set_leaving(true);
    let named = r#"{"Model":"planner","Version":2}"#;
    site.store.put("keyed.op", "op/version/planner", named);
    wait_for("the weights to be loaded", || {
        site.engines.iter().all(|engine| engine.weights() == 2)
    });
    wait_for("the answer to the order", || {
        node.log().matches("outcome of weight load order").count() >= 2
    });
    for index in 0..16 {
        assert_eq!(draft(&node, index, &format!("r{index}"), &[]).status, 200);
    }
    assert_eq!(site.engines[0].arrivals().len(), 0);
}

/// The address of an engine that is gone is that of another one, which leaves.
#[test]
fn engine_does_not_count_as_leaving_because_another_one_at_its_address_does() {
    let site = Site::start(Duration::from_millis(1));
    let gone = &site.engines[0];
    let other = Engine::start("engine-3", 10, Duration::from_millis(1));
    other.set_leaving(true);
    let (key, value) = gone.entry_at(other.address(), "engines", "ready");
    site.store.put("keyed.servers", &key, &value);
    let node = site.node("node-1");
    let mut index = 0;
    wait_for("a request at the address", || {
        index += 1;
        draft(&node, index, &format!("r{index}"), &[]);
        other.arrivals().len() > 1
    });
    let log = node.log();
    assert!(!log.contains("endpoint wants no requests"), "{log}");
}

#[test]
fn server_that_asked_for_a_pause_gets_no_requests_until_its_end() {
    let (site, node) = start();
    let server = &site.app_servers[0];
    server.set_mode(EngineMode::Refusing);
    server.set_retry_after(Some(1.5));
    let mut index = 0;
    while server.arrivals().is_empty() {
        assert_eq!(look_up(&node, index).status, 200);
        index += 1;
    }
    let asked_at = server.arrivals()[0].at;
    while asked_at.elapsed() < Duration::from_millis(1_400) {
        assert_eq!(look_up(&node, index).status, 200);
        index += 1;
    }
    assert_eq!(arrivals_after(server, asked_at), 0);
    server.set_mode(EngineMode::Healthy);
    while asked_at.elapsed() < Duration::from_millis(2_500) {
        look_up(&node, index);
        index += 1;
    }
    assert!(arrivals_after(server, asked_at) > 0, "it is used again");
}

#[test]
fn request_is_refused_at_once_while_all_servers_want_a_pause() {
    let (site, node) = start();
    for server in &site.app_servers {
        server.set_mode(EngineMode::Refusing);
        server.set_retry_after(Some(3.0));
    }
    look_up(&node, 0);
    let started = Instant::now();
    let answer = look_up(&node, 1);
    assert_eq!(answer.status, 503);
    assert!(started.elapsed() < Duration::from_millis(300));
    let seconds: f64 = answer.headers["retry-after"].parse().expect("seconds");
    assert!((2.0..=3.0).contains(&seconds), "{seconds}");
}
