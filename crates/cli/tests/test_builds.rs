//! Engines of several software versions serve side by side: a stream stays at the one
//! that began it.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::collections::BTreeSet;
use std::time::Duration;

use entry_site::{
    Answer, Node, Site, draft, event_builds, event_ids, site_configuration, wait_for,
};
use flamingolock_platform_standin::{Engine, EngineMode};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// A site with an engine of v1 that breaks streams off, one of v1.1, and `more`.
fn start(more: &[Engine]) -> Site {
    let mut site = Site::start(EVENT_INTERVAL);
    site.engines[0].set_mode(EngineMode::BreakAfter(4));
    site.engines[1].set_build("v1.1");
    site.engines.extend(more.iter().cloned());
    for engine in &site.engines {
        site.put_entry(engine, "engines", "ready");
    }
    site
}

fn started_node(site: &Site, name: &str) -> Node {
    let node = site.node(name);
    let endpoints = site.engines.len() + site.app_servers.len();
    wait_for("the node to list all endpoints", || {
        node.log().matches("endpoint listed").count() >= endpoints
    });
    node
}

/// A stream that broke off.
struct Broken {
    id: &'static str,
    build: String,
    last_event: u64,
}

/// Requests a stream that breaks off at every engine around its fourth event.
fn broken_stream(site: &Site, node: &Node, id: &'static str) -> Broken {
    broken_stream_of(site, node, 1, id)
}

/// The same for a prompt, which decides the engine.
fn broken_stream_of(site: &Site, node: &Node, prompt: usize, id: &'static str) -> Broken {
    let set_modes = |mode| site.engines.iter().for_each(|engine| engine.set_mode(mode));
    set_modes(EngineMode::BreakAfter(4));
    let answer = draft(node, prompt, id, &[]);
    set_modes(EngineMode::Healthy);
    assert!(!answer.complete, "{}", node.log());
    let builds = event_builds(&answer.body);
    assert_eq!(builds.len(), 1, "{}", answer.body);
    Broken {
        id,
        build: builds.into_iter().collect(),
        last_event: *event_ids(&answer.body).last().expect("an event"),
    }
}

/// Resumes the stream several times, with prompts that are spread over the engines, and
/// checks that it continues at the software version that began it.
fn assert_continues(node: &Node, broken: &Broken) {
    let last_event = broken.last_event.to_string();
    let more = [("resumes", broken.id), ("last-event-id", &last_event)];
    for prompt in 0..6 {
        let answer = draft(node, prompt, &format!("again-{prompt}"), &more);
        let expected = BTreeSet::from([broken.build.as_str()]);
        assert_eq!(event_builds(&answer.body), expected, "{}", answer.body);
        let events: Vec<u64> = (broken.last_event + 1..=10).collect();
        assert_eq!(event_ids(&answer.body), events);
    }
}

#[test]
fn broken_stream_does_not_continue_at_another_build() {
    let site = start(&[]);
    let node = started_node(&site, "node-1");
    let answers: Vec<Answer> = (0..8)
        .map(|prompt| draft(&node, prompt, &format!("r{prompt}"), &[]))
        .collect();
    for answer in &answers {
        assert_eq!(event_builds(&answer.body).len(), 1, "{}", answer.body);
    }
    assert!(answers.iter().any(|answer| !answer.complete));
}

#[test]
fn broken_stream_continues_at_another_engine_of_its_build() {
    let spare = Engine::start("engine-3", 10, EVENT_INTERVAL);
    let site = start(&[spare]);
    let node = started_node(&site, "node-1");
    for prompt in 0..8 {
        let answer = draft(&node, prompt, &format!("r{prompt}"), &[]);
        assert!(answer.complete, "{}", node.log());
        assert_eq!(event_builds(&answer.body).len(), 1, "{}", answer.body);
        assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
    }
    assert!(node.log().contains("\"end\":\"broken\""), "no stream broke");
}

/// The node that began the stream is killed before the caller resumes it elsewhere.
#[test]
fn resumed_stream_continues_at_the_build_that_began_it() {
    let site = start(&[]);
    let mut first = started_node(&site, "node-1");
    let second = started_node(&site, "node-2");
    let broken = broken_stream(&site, &first, "r1");
    first.kill();
    assert_continues(&second, &broken);
}

/// A node that starts after the stream began hears from the others what began it.
#[test]
fn node_that_starts_later_resumes_a_stream_at_the_build_that_began_it() {
    let site = start(&[]);
    let mut first = started_node(&site, "node-1");
    let broken = broken_stream(&site, &first, "r1");
    let second = started_node(&site, "node-2");
    std::thread::sleep(Duration::from_millis(500));
    first.kill();
    assert_continues(&second, &broken);
}

/// No node is left that knows the stream, but only one software version can have begun
/// it.
#[test]
fn resumed_stream_continues_after_all_nodes_were_killed() {
    let site = Site::start(EVENT_INTERVAL);
    let mut node = started_node(&site, "node-1");
    wait_for("the record of the software versions", || {
        !site.store.records("keyed.builds").is_empty()
    });
    let broken = broken_stream(&site, &node, "r1");
    node.kill();
    node.restart();
    node.wait_ready();
    wait_for("the node to read the record", || {
        node.log().contains("read the recorded software versions")
    });
    assert_continues(&node, &broken);
}

/// No node is left that knows the streams, and two software versions can have begun them.
#[test]
fn streams_of_two_builds_continue_after_all_nodes_were_killed() {
    let spare = Engine::start("engine-3", 10, EVENT_INTERVAL);
    let site = start(&[spare]);
    let mut nodes = [started_node(&site, "node-1"), started_node(&site, "node-2")];
    let broken: Vec<Broken> = ["r1", "r2", "r3", "r4", "r5", "r6"]
        .into_iter()
        .enumerate()
        .map(|(prompt, id)| broken_stream_of(&site, &nodes[prompt % 2], prompt, id))
        .collect();
    let builds: BTreeSet<&str> = broken.iter().map(|broken| broken.build.as_str()).collect();
    assert_eq!(builds.len(), 2, "both software versions began streams");
    std::thread::sleep(Duration::from_millis(300));
    nodes.iter_mut().for_each(Node::kill);
    nodes.iter_mut().for_each(Node::restart);
    for node in &nodes {
        node.wait_ready();
        wait_for("the node to read the streams", || {
            node.log().matches("read the recorded streams").count() > 0
        });
    }
    for (place, broken) in broken.iter().enumerate() {
        assert_continues(&nodes[place % 2], broken);
    }
}

#[test]
fn resumed_stream_of_an_unknown_build_is_not_run() {
    let site = start(&[]);
    let node = started_node(&site, "node-1");
    let more = [("resumes", "unheard-of"), ("last-event-id", "4")];
    let answer = draft(&node, 1, "r1", &more);
    assert_eq!((answer.status, site.executions("r1")), (503, 0));
    assert!(answer.headers.contains_key("retry-after"));
}

/// The route's traffic is shared by two services, with an engine each.
#[test]
fn resumed_stream_continues_at_the_service_that_began_it() {
    let site = Site::start(EVENT_INTERVAL);
    let mut config: serde_json::Value =
        serde_json::from_str(&site_configuration(2, false)).expect("the site's configuration");
    let mut other = config["Services"][0].clone();
    other["Name"] = "others".into();
    let services = config["Services"].as_array_mut().expect("services");
    services.push(other);
    config["Routes"][0]["Backends"] = serde_json::json!([
        {"Service": "engines", "Weight": 1}, {"Service": "others", "Weight": 1},
    ]);
    site.store.put("keyed.op", "op/config", &config.to_string());
    site.put_entry(&site.engines[1], "others", "ready");
    let node = site.node("node-1");
    let ran_at = |id: &str| {
        let mut engines = site.engines.iter();
        engines.position(|engine| engine.runs().contains_key(id))
    };
    for prompt in 0..8 {
        let id = format!("r{prompt}");
        let set_modes = |mode| site.engines.iter().for_each(|engine| engine.set_mode(mode));
        set_modes(EngineMode::BreakAfter(4));
        let begun = draft(&node, prompt, &id, &[]);
        set_modes(EngineMode::Healthy);
        let last_event = event_ids(&begun.body).last().expect("an event").to_string();
        let more = [("resumes", id.as_str()), ("last-event-id", &last_event)];
        let again = format!("again-{prompt}");
        assert!(draft(&node, prompt, &again, &more).complete);
        assert_eq!(ran_at(&again), ran_at(&id), "{id}");
    }
}
