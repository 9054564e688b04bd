//! End-to-end tests of entry node processes, with stand-ins of the store and the
//! endpoints.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::{Duration, Instant};

use entry_site::{
    Node, Site, call, draft, event_ids, get, request, site_configuration, stream, wait_for,
};
use flamingolock_platform_standin::{Engine, EngineMode, Store, StoreMode};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

#[test]
fn requests_of_all_kinds_are_answered_by_endpoints() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    let answer = stream(&node, "/draft/a", "r1");
    assert_eq!(
        (answer.status, answer.complete),
        (200, true),
        "{}",
        node.log()
    );
    assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
    assert!(answer.headers["response-signature"].starts_with("signed-by-engine"));
    assert_eq!(call(&node, "/book/a", "r2", &[]).body, "done r2");
    assert_eq!(call(&node, "/look/a", "r3", &[]).body, "done r3");
    for id in ["r1", "r2", "r3"] {
        assert_eq!(site.executions(id), 1, "{id}");
    }
    let head = site
        .engines
        .iter()
        .flat_map(Engine::request_headers)
        .next()
        .expect("a run");
    assert_eq!(head["tenant"], "workspace-1");
    assert_eq!(head["expect-version"], "1");
    assert!(head.contains_key("expect-instance") && head.contains_key("cache-salt"));
    assert!(!head.contains_key("authorization"));
}

#[test]
fn headers_that_only_the_system_may_set_are_not_taken_from_callers() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    let forged = [
        ("tenant", "other"),
        ("hold", "h"),
        ("pin-ms", "9"),
        ("kv-from", "x"),
        ("cache-salt", "mine"),
    ];
    assert_eq!(call(&node, "/book/a", "r1", &forged).status, 200);
    let head = site
        .app_servers
        .iter()
        .flat_map(Engine::request_headers)
        .next()
        .expect("a run");
    assert_eq!(head["tenant"], "workspace-1");
    for name in ["hold", "pin-ms", "kv-from", "cache-salt"] {
        assert!(!head.contains_key(name), "{name}");
    }
}

#[test]
fn unknown_keys_and_routes_are_refused() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    assert_eq!(call(&node, "/nowhere/a", "r1", &[]).status, 404);
    let headers = [
        ("host", "site.example"),
        ("authorization", "Bearer wrong"),
        ("request-id", "r2"),
    ];
    assert_eq!(request(node.front, "POST", "/book/a", &headers).status, 401);
    assert_eq!(site.executions("r1") + site.executions("r2"), 0);
}

#[test]
fn node_without_a_configuration_is_not_ready_and_says_when_to_come_back() {
    let store = Store::start();
    store.set_mode(StoreMode::Refusing);
    let node = Node::start("node-1", store.address(), &[]);
    wait_for("the readiness port", || node.readiness() == 503);
    let answer = call(&node, "/book/a", "r1", &[]);
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    store.put("keyed.op", "op/config", &site_configuration(1, false));
    store.set_mode(StoreMode::Up);
    node.wait_ready();
}

#[test]
fn request_that_an_endpoint_refused_runs_once_at_another() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    site.app_servers[0].set_mode(EngineMode::Refusing);
    for index in 0..10 {
        let id = format!("r{index}");
        assert_eq!(call(&node, "/book/a", &id, &[]).status, 200);
        assert_eq!(site.executions(&id), 1);
    }
}

#[test]
fn refused_by_all_is_answered_as_not_run() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    site.app_servers
        .iter()
        .for_each(|server| server.set_mode(EngineMode::Refusing));
    let answer = call(&node, "/book/a", "r1", &[]);
    assert_eq!((answer.status, site.executions("r1")), (503, 0));
    assert!(answer.headers.contains_key("retry-after"));
}

#[test]
fn booking_without_an_answer_is_never_repeated_nor_called_not_run() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    for mode in [EngineMode::WrongRequestId, EngineMode::Silent] {
        site.app_servers
            .iter()
            .for_each(|server| server.set_mode(mode));
        let id = format!("{mode:?}");
        let started = Instant::now();
        let answer = call(&node, "/book/a", &id, &[]);
        assert!(
            matches!(answer.status, 502 | 504),
            "{mode:?}: {}",
            answer.status
        );
        assert_eq!(site.executions(&id), 1, "{mode:?}");
        // The timeout of the route is 500 ms.
        assert!(started.elapsed() < Duration::from_secs(1), "{mode:?}");
    }
}

#[test]
fn lookup_that_failed_is_tried_at_another_endpoint() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    site.app_servers[0].set_mode(EngineMode::Failing);
    for index in 0..6 {
        assert_eq!(
            call(&node, "/look/a", &format!("r{index}"), &[]).status,
            200
        );
    }
}

#[test]
fn stream_that_breaks_goes_on_at_another_engine() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    site.engines[0].set_mode(EngineMode::BreakAfter(4));
    for index in 0..8 {
        let answer = draft(&node, index, &format!("r{index}"), &[]);
        assert!(answer.complete, "{}", node.log());
        assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
    }
    assert!(node.log().contains("\"end\":\"broken\""), "no stream broke");
}

#[test]
fn stream_that_may_not_go_on_breaks_visibly_and_runs_once() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    site.engines
        .iter()
        .for_each(|engine| engine.set_mode(EngineMode::BreakAfter(4)));
    let answer = stream(&node, "/tag/a", "r1");
    assert!(!answer.complete, "{}", answer.body);
    assert_eq!(site.executions("r1"), 1);
}

#[test]
fn leaving_endpoint_gets_no_more_requests() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    site.put_entry(&site.app_servers[0], "desk", "draining");
    wait_for("the node to log the drain", || {
        node.log().contains("endpoint is leaving")
    });
    for index in 0..10 {
        assert_eq!(
            call(&node, "/book/a", &format!("r{index}"), &[]).status,
            200
        );
    }
    assert!(site.app_servers[0].runs().is_empty());
}

#[test]
fn configuration_is_in_force_at_once_and_never_goes_back() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    assert_eq!(call(&node, "/later/a", "r1", &[]).status, 404);
    site.store
        .put("keyed.op", "op/config", &site_configuration(5, true));
    let started = Instant::now();
    wait_for("the new route", || {
        call(&node, "/later/a", "r2", &[]).status == 200
    });
    assert!(started.elapsed() < Duration::from_millis(1_200));
    // Neither an older configuration nor an invalid one may replace it.
    site.store
        .put("keyed.op", "op/config", &site_configuration(3, false));
    site.store
        .put("keyed.op", "op/config", "{\"Version\":\"nine\"}");
    site.store.compact("keyed.op");
    wait_for("the unreadable record", || {
        node.log().contains("operator's record ignored")
    });
    assert_eq!(call(&node, "/later/a", "r3", &[]).status, 200);
}

#[test]
fn configuration_is_in_force_in_time_though_the_store_splits_its_pages() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    site.store.set_mode(StoreMode::ShortPages);
    for version in 2..40 {
        let text = site_configuration(version, version == 39);
        site.store.put("keyed.op", "op/config", &text);
    }
    let started = Instant::now();
    wait_for("the new route", || {
        call(&node, "/later/a", "r1", &[]).status == 200
    });
    assert!(started.elapsed() < Duration::from_millis(1_500));
}

#[test]
fn requests_go_on_while_the_store_is_away() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    site.store.set_mode(StoreMode::Refusing);
    wait_for("the node to log the outage", || {
        node.log().contains("store does not answer")
    });
    assert_eq!(call(&node, "/book/a", "r1", &[]).status, 200);
    assert_eq!(stream(&node, "/draft/a", "r2").status, 200);
    site.store.set_mode(StoreMode::Up);
    wait_for("the node to log the recovery", || {
        node.log().contains("store answers again")
    });
}

#[test]
fn new_weights_are_ordered_by_one_node_and_used_at_once() {
    let site = Site::start(EVENT_INTERVAL);
    let nodes = [site.node("node-1"), site.node("node-2")];
    site.store.put(
        "keyed.op",
        "op/version/planner",
        "{\"Model\":\"planner\",\"Version\":2}",
    );
    let mut index = 0;
    wait_for("the new weights", || {
        index += 1;
        let answer = stream(&nodes[index % 2], "/draft/a", &format!("r{index}"));
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "while engines load weights"
        );
        site.engines.iter().all(|engine| engine.weights() == 2)
    });
    let holders: Vec<String> = site
        .engines
        .iter()
        .flat_map(Engine::orders)
        .map(|order| order.holder)
        .collect();
    assert_eq!(holders.len(), 2);
    assert_eq!(holders[0], holders[1], "one holder at a time");
    for node in &nodes {
        assert_eq!(
            stream(node, "/draft/a", "last").headers["weight-versions"],
            "2"
        );
    }
}

#[test]
fn weights_are_ordered_though_the_answer_about_the_lease_was_lost() {
    let site = Site::start(EVENT_INTERVAL);
    let _node = site.node("node-1");
    site.store.set_mode(StoreMode::DroppingResponses);
    site.store.put(
        "keyed.op",
        "op/version/planner",
        "{\"Model\":\"planner\",\"Version\":2}",
    );
    wait_for("a lease record", || !site.store.records("lease").is_empty());
    site.store.set_mode(StoreMode::Up);
    wait_for("the new weights", || {
        site.engines.iter().all(|engine| engine.weights() == 2)
    });
}

#[test]
fn shutdown_finishes_streams_and_refuses_late_ones_as_not_run() {
    let site = Site::start(Duration::from_millis(330));
    let mut node = site.node("node-1");
    let front = node.front;
    let running = std::thread::spawn(move || {
        let headers = [
            ("host", "site.example"),
            ("authorization", "Bearer key-1"),
            ("request-id", "r1"),
            ("model", "planner"),
        ];
        request(front, "POST", "/draft/a", &headers)
    });
    wait_for("the start of the stream", || site.executions("r1") == 1);
    node.signal("TERM");
    wait_for("the end of readiness", || node.readiness() == 503);
    std::thread::sleep(Duration::from_millis(2_100));
    let late = stream(&node, "/draft/a", "r2");
    assert_eq!((late.status, site.executions("r2")), (503, 0));
    let answer = running.join().expect("the caller ends");
    assert_eq!(event_ids(&answer.body), (1..=10).collect::<Vec<_>>());
    assert!(answer.complete);
    assert!(node.wait_exit());
}

#[test]
fn directory_names_nodes_that_stay_and_metrics_count() {
    let site = Site::start(EVENT_INTERVAL);
    let node = site.node("node-1");
    let leaving = site.node("node-2");
    let both = |node: &Node| {
        let answer = get(
            node.directory,
            "/resolve?Name=site.example&Zone=zone-a",
            &[],
        );
        answer.body
    };
    wait_for("both nodes", || {
        both(&node).contains(&leaving.front.to_string())
    });
    leaving.signal("TERM");
    wait_for("one node", || {
        !both(&node).contains(&leaving.front.to_string())
    });
    assert!(both(&node).contains(&node.front.to_string()));
    call(&node, "/book/a", "r1", &[]);
    let metrics = get(node.metrics, "/metrics", &[]).body;
    assert!(
        metrics.contains("flamingolock_requests_total{kind=\"once\",status=\"200\"} 1"),
        "{metrics}"
    );
}

#[test]
fn one_node_reads_the_store_for_all() {
    let site = Site::start(EVENT_INTERVAL);
    let nodes: Vec<Node> = (1..=4)
        .map(|index| site.node(&format!("node-{index}")))
        .collect();
    wait_for("the nodes to know each other", || {
        nodes.iter().all(|node| node.log().contains("\"nodes\":4"))
    });
    std::thread::sleep(Duration::from_secs(1));
    let before = site.store.calls();
    std::thread::sleep(Duration::from_secs(5));
    let calls = site.store.calls() - before;
    // One node reads both topics every 750 ms, which is 14 calls; the bound leaves a
    // margin.
    assert!(calls <= 22, "{calls} calls in five seconds");
    for node in &nodes {
        assert_eq!(call(node, "/look/a", "r1", &[]).status, 200);
    }
}

#[test]
fn configuration_is_in_force_in_time_though_any_one_node_is_frozen() {
    let site = Site::start(EVENT_INTERVAL);
    let nodes: Vec<Node> = (1..=3)
        .map(|index| site.node(&format!("node-{index}")))
        .collect();
    let mut version = 1;
    for frozen in 0..nodes.len() {
        nodes[frozen].signal("STOP");
        version += 1;
        site.store.put(
            "keyed.op",
            "op/config",
            &site_configuration(version, version % 2 == 0),
        );
        let started = Instant::now();
        let wanted = if version % 2 == 0 { 200 } else { 404 };
        for (index, node) in nodes.iter().enumerate() {
            while index != frozen && call(node, "/later/a", "r1", &[]).status != wanted {
                assert!(started.elapsed() < Duration::from_secs(2), "node {index}");
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        nodes[frozen].signal("CONT");
        std::thread::sleep(Duration::from_millis(1_500));
    }
}

#[test]
fn node_that_restarts_while_the_store_is_away_is_taught_by_another() {
    let site = Site::start(EVENT_INTERVAL);
    let _first = site.node("node-1");
    let mut second = site.node("node-2");
    site.store.set_mode(StoreMode::Refusing);
    second.kill();
    second.restart();
    second.wait_ready();
    wait_for("an answer", || {
        call(&second, "/look/a", "r1", &[]).status == 200
    });
    assert_eq!(stream(&second, "/draft/a", "r2").status, 200);
    // Once the store is back, the node must not treat the records that it learned from
    // its peer as new.
    site.store.set_mode(StoreMode::Up);
    site.store
        .put("keyed.op", "op/config", &site_configuration(2, true));
    wait_for("the new configuration", || {
        call(&second, "/later/a", "r3", &[]).status == 200
    });
}
