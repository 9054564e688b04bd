//! A prompt part that crashes each engine that begins to answer a request with it.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::Duration;

use entry_site::{Answer, Node, Site, call, wait_for};
use flamingolock_platform_standin::{CRASH_TIME, Engine};

/// The part that crashes engines.
const CRASHING_PART: u64 = 0xbad;

/// Crashes that the users allow before the part has to be known, and after that.
const MAX_CRASHES: usize = 5 + 3;

fn start() -> Site {
    let site = Site::start(Duration::from_millis(10));
    for engine in &site.engines {
        engine.set_crashing_part(Some(CRASHING_PART));
    }
    site
}

fn prompt(node: &Node, path: &str, id: &str, parts: &str) -> Answer {
    let headers = [
        ("model", "planner"),
        ("token-usage", "1000,64"),
        ("prefix-hash", parts),
    ];
    call(node, path, id, &headers)
}

/// Sends a request that has the crashing part between parts that others share.
fn crashing_request(node: &Node, number: usize) -> Answer {
    let path = ["/tag/a", "/draft/a"][number % 2];
    let parts = format!("aa:300,bad:200,{number:x}00:100");
    prompt(node, path, &format!("crash-{number}"), &parts)
}

fn sound_request(node: &Node, number: usize) -> Answer {
    let parts = format!("aa:300,bb:400,{number:x}01:100");
    prompt(node, "/tag/a", &format!("sound-{number}"), &parts)
}

fn crashes(site: &Site) -> usize {
    let engines = site.engines.iter();
    engines.map(|engine| engine.crashes().len()).sum()
}

fn wait_until_engines_are_back(site: &Site) {
    std::thread::sleep(CRASH_TIME / 4);
    wait_for("the engines", || {
        !site.engines.iter().any(Engine::has_crashed)
    });
    for engine in &site.engines {
        site.put_entry(engine, "engines", "ready");
    }
}

/// Sends crashing requests to the nodes in turn until they are refused.
fn teach(site: &Site, nodes: &[Node]) {
    for number in 0..12 {
        crashing_request(&nodes[number % nodes.len()], number);
        wait_until_engines_are_back(site);
    }
}

#[test]
fn part_that_crashes_engines_is_stopped_at_every_node_and_the_rest_is_served() {
    let site = start();
    let nodes = [site.node("node-1"), site.node("node-2")];
    for number in 0..5 {
        sound_request(&nodes[number % 2], number);
    }
    teach(&site, &nodes);
    assert!(crashes(&site) <= MAX_CRASHES, "{} crashes", crashes(&site));
    let before = crashes(&site);
    for number in 100..110 {
        let answer = crashing_request(&nodes[number % 2], number);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(site.executions(&format!("crash-{number}")), 0);
        let answer = sound_request(&nodes[number % 2], number);
        assert!(answer.status == 200 && answer.complete, "{answer:?}");
    }
    assert_eq!(crashes(&site), before);
}

#[test]
fn node_that_starts_later_knows_the_part_that_crashes_engines() {
    let site = start();
    let nodes = [site.node("node-1"), site.node("node-2")];
    teach(&site, &nodes);
    let before = crashes(&site);
    let later = site.node("node-3");
    std::thread::sleep(Duration::from_millis(500));
    let answer = crashing_request(&later, 200);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(crashes(&site), before);
}

#[test]
fn part_that_crashed_engines_is_still_known_after_all_nodes_were_killed() {
    let site = start();
    let mut nodes = [site.node("node-1"), site.node("node-2")];
    teach(&site, &nodes);
    let before = crashes(&site);
    std::thread::sleep(Duration::from_millis(500));
    nodes.iter_mut().for_each(Node::kill);
    nodes.iter_mut().for_each(Node::restart);
    nodes.iter().for_each(Node::wait_ready);
    std::thread::sleep(Duration::from_millis(500));
    for (number, node) in nodes.iter().enumerate() {
        let answer = crashing_request(node, 200 + number);
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(crashes(&site), before);
}

/// Sound requests beside the crashing ones show that crashes are rare.
#[test]
fn part_that_crashes_engines_before_they_respond_is_stopped_and_the_rest_is_served() {
    let site = start();
    site.engines.iter().for_each(Engine::crash_unanswered);
    let nodes = [site.node("node-1"), site.node("node-2")];
    let serve = |numbers: std::ops::Range<usize>| {
        for number in numbers {
            let answer = sound_request(&nodes[number % 2], number);
            assert!(answer.status == 200 && answer.complete, "{answer:?}");
        }
    };
    serve(1_000..1_040);
    for number in 0..=MAX_CRASHES {
        crashing_request(&nodes[number % 2], number);
        wait_until_engines_are_back(&site);
        serve(2_000 + 10 * number..2_010 + 10 * number);
    }
    assert!(crashes(&site) <= MAX_CRASHES, "{} crashes", crashes(&site));
    let before = crashes(&site);
    for number in 200..210 {
        let answer = crashing_request(&nodes[number % 2], number);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert_eq!(site.executions(&format!("crash-{number}")), 0);
    }
    serve(4_000..4_010);
    assert_eq!(crashes(&site), before);
}

#[test]
fn crashes_count_on_though_all_nodes_are_killed_after_each_second_one() {
    let site = start();
    let mut nodes = [site.node("node-1"), site.node("node-2")];
    for round in 0..5 {
        for (number, node) in nodes.iter().enumerate() {
            // Requests of the first route run once.
            crashing_request(node, 10 * round + 2 * number);
            wait_until_engines_are_back(&site);
        }
        std::thread::sleep(Duration::from_millis(1_200));
        nodes.iter_mut().for_each(Node::kill);
        nodes.iter_mut().for_each(Node::restart);
        nodes.iter().for_each(Node::wait_ready);
        std::thread::sleep(Duration::from_millis(500));
    }
    assert!(crashes(&site) <= MAX_CRASHES, "{} crashes", crashes(&site));
}
