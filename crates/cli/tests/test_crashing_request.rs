//! A request that crashes each endpoint that begins to run it, and comes again.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::Duration;

use entry_site::{Answer, Node, Site, call, stream, wait_for};
use flamingolock_platform_standin::{CRASH_TIME, Engine, EngineMode};

const NODES: usize = 6;

/// Number of nodes of a fleet in which one of them, the hub, passes on news.
const MANY_NODES: usize = 18;

/// Crashes that the users allow before the request has to be known, and after that.
const MAX_CRASHES: usize = 3 + 3;

fn start(kind: &str) -> (Site, Vec<Node>) {
    start_nodes(kind, NODES)
}

fn start_nodes(kind: &str, count: usize) -> (Site, Vec<Node>) {
    let site = Site::start(Duration::from_millis(20));
    let nodes = (0..count)
        .map(|number| site.node(&format!("node-{number}")))
        .collect();
    for endpoint in endpoints(&site) {
        endpoint.set_crashing_path(Some(&format!("/{kind}/bad")));
    }
    (site, nodes)
}

fn endpoints(site: &Site) -> impl Iterator<Item = &Engine> {
    site.engines.iter().chain(&site.app_servers)
}

fn crashes(site: &Site) -> usize {
    endpoints(site)
        .map(|endpoint| endpoint.crashes().len())
        .sum()
}

fn wait_until_endpoints_are_back(site: &Site) {
    std::thread::sleep(CRASH_TIME / 4);
    wait_for("the endpoints", || {
        !endpoints(site).any(Engine::has_crashed)
    });
    for engine in &site.engines {
        site.put_entry(engine, "engines", "ready");
    }
    for server in &site.app_servers {
        site.put_entry(server, "desk", "ready");
    }
    std::thread::sleep(Duration::from_millis(150));
}

fn send(node: &Node, kind: &str, path: &str, id: &str) -> Answer {
    let target = format!("/{kind}/{path}");
    match kind {
        "tag" | "draft" => stream(node, &target, id),
        _ => call(node, &target, id, &[]),
    }
}

/// Sends the request to all nodes in turn, once endpoints are back.
fn repeat_in_turn(site: &Site, nodes: &[Node], kind: &str, times: usize) {
    for number in 0..times {
        send(
            &nodes[number % NODES],
            kind,
            "bad",
            &format!("bad-{number}"),
        );
        wait_until_endpoints_are_back(site);
    }
}

fn assert_stopped(site: &Site, node: &Node, kind: &str, id: &str) {
    let answer = send(node, kind, "bad", id);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("crashes_endpoints"), "{answer:?}");
    assert!(!answer.headers.contains_key("retry-after"), "{answer:?}");
    assert_eq!(site.executions(id), 0);
}

fn request_of_kind_is_stopped(kind: &str, count: usize) {
    let (site, nodes) = start_nodes(kind, count);
    repeat_in_turn(&site, &nodes, kind, 10);
    assert!(crashes(&site) <= MAX_CRASHES, "{} crashes", crashes(&site));
    let before = crashes(&site);
    for (number, node) in nodes.iter().enumerate() {
        assert_stopped(&site, node, kind, &format!("again-{number}"));
        let answer = send(node, kind, "good", &format!("good-{number}"));
        assert!(answer.status == 200 && answer.complete, "{answer:?}");
    }
    assert_eq!(crashes(&site), before);
}

#[test]
fn safe_request_that_crashes_servers_is_stopped_at_every_node() {
    request_of_kind_is_stopped("look", NODES);
}

#[test]
fn request_that_runs_once_and_crashes_servers_is_stopped_at_every_node() {
    request_of_kind_is_stopped("book", NODES);
}

#[test]
fn stream_that_crashes_engines_before_they_respond_is_stopped_at_every_node() {
    request_of_kind_is_stopped("tag", NODES);
}

#[test]
fn resumable_stream_that_crashes_engines_is_stopped_at_every_node() {
    request_of_kind_is_stopped("draft", NODES);
}

#[test]
fn request_that_crashes_servers_is_stopped_at_nodes_behind_a_hub() {
    request_of_kind_is_stopped("look", MANY_NODES);
}

#[test]
fn repeats_at_the_same_moment_at_several_nodes_are_stopped() {
    let (site, nodes) = start("look");
    for round in 0..6 {
        std::thread::scope(|scope| {
            for (number, node) in nodes.iter().enumerate() {
                let id = format!("bad-{round}-{number}");
                scope.spawn(move || send(node, "look", "bad", &id));
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        wait_until_endpoints_are_back(&site);
    }
    assert!(crashes(&site) <= MAX_CRASHES, "{} crashes", crashes(&site));
    assert_stopped(&site, &nodes[0], "look", "again");
}

#[test]
fn sound_request_that_many_callers_repeat_is_served_beside_one_that_crashes_servers() {
    let (site, nodes) = start("look");
    for (number, node) in nodes.iter().enumerate() {
        send(node, "look", "popular", &format!("before-{number}"));
    }
    for round in 0..8 {
        std::thread::scope(|scope| {
            for (number, node) in nodes.iter().enumerate() {
                let id = format!("popular-{round}-{number}");
                scope.spawn(move || send(node, "look", "popular", &id));
            }
            let node = &nodes[round % NODES];
            scope.spawn(move || send(node, "look", "bad", &format!("bad-{round}")));
        });
        wait_until_endpoints_are_back(&site);
    }
    assert_stopped(&site, &nodes[0], "look", "again");
    for (number, node) in nodes.iter().enumerate() {
        let answer = send(node, "look", "popular", &format!("after-{number}"));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[test]
fn node_that_starts_later_knows_the_request_that_crashes_servers() {
    let (site, nodes) = start("look");
    repeat_in_turn(&site, &nodes, "look", 6);
    let before = crashes(&site);
    let later = site.node("node-later");
    std::thread::sleep(Duration::from_millis(500));
    assert_stopped(&site, &later, "look", "again");
    assert_eq!(crashes(&site), before);
}

#[test]
fn request_that_crashed_servers_is_still_known_after_all_nodes_were_killed() {
    let (site, mut nodes) = start("look");
    repeat_in_turn(&site, &nodes, "look", 6);
    let before = crashes(&site);
    std::thread::sleep(Duration::from_millis(500));
    nodes.iter_mut().for_each(Node::kill);
    nodes.iter_mut().for_each(Node::restart);
    nodes.iter().for_each(Node::wait_ready);
    std::thread::sleep(Duration::from_millis(500));
    for (number, node) in nodes.iter().enumerate() {
        assert_stopped(&site, node, "look", &format!("again-{number}"));
    }
    assert_eq!(crashes(&site), before);
}

#[test]
fn request_whose_responses_break_off_is_served_again_once_the_servers_that_run_on_are_well() {
    let (site, nodes) = start("none");
    for server in &site.app_servers {
        server.set_mode(EngineMode::EndlessBody);
    }
    for number in 0..10 {
        let answer = send(
            &nodes[number % NODES],
            "look",
            "a",
            &format!("cut-{number}"),
        );
        assert_ne!(answer.status, 200, "{answer:?}");
        assert!(!answer.body.contains("crashes_endpoints"), "{answer:?}");
    }
    for server in &site.app_servers {
        server.set_mode(EngineMode::Healthy);
    }
    std::thread::sleep(Duration::from_millis(500));
    for (number, node) in nodes.iter().enumerate() {
        let answer = send(node, "look", "a", &format!("after-{number}"));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
