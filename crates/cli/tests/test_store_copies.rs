//! The store comes back from a copy that is some seconds old.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::Duration;

use entry_site::{Node, Site, call, site_configuration, wait_for};
use flamingolock_platform_standin::{Engine, Order};

fn start() -> Site {
    Site::start(Duration::from_millis(1))
}

fn name_weights(site: &Site, version: u64) {
    let text = format!("{{\"Model\":\"planner\",\"Version\":{version}}}");
    site.store.put("keyed.op", "op/version/planner", &text);
}

fn orders(site: &Site) -> Vec<Order> {
    let mut orders: Vec<Order> = site.engines.iter().flat_map(Engine::orders).collect();
    orders.sort_by_key(|order| order.at);
    orders
}

fn wait_for_weights(site: &Site, version: u64) {
    wait_for("all engines to load the weights", || {
        site.engines
            .iter()
            .all(|engine| engine.weights() == version)
    });
}

fn has_route(node: &Node) -> bool {
    call(node, "/later/a", "r1", &[]).status == 200
}

#[test]
fn configuration_written_after_the_loss_is_not_skipped() {
    let site = start();
    let node = site.node("node-1");
    let copy = site.store.copy();
    for version in [2, 3] {
        site.store
            .put("keyed.op", "op/config", &site_configuration(version, false));
    }
    wait_for("the configurations", || {
        node.log().matches("applied new configuration").count() >= 2
    });
    std::thread::sleep(Duration::from_millis(300));
    site.store.restore(copy);
    // It has the offset of a record that was lost.
    site.store
        .put("keyed.op", "op/config", &site_configuration(4, true));
    for number in 0..3 {
        site.store
            .put("keyed.op", &format!("op/other-{number}"), "{}");
    }
    wait_for("the new route", || has_route(&node));
}

#[test]
fn another_holder_gets_a_greater_fencing_token_though_the_lease_was_lost() {
    let site = start();
    let mut nodes = [site.node("node-1"), site.node("node-2")];
    let copy = site.store.copy();
    name_weights(&site, 2);
    wait_for_weights(&site, 2);
    let first = orders(&site).pop().expect("an order");
    let lost = site.store.restore(copy);
    site.store.write_again(&lost);
    let holder = nodes.iter_mut().find(|node| node.name == first.holder);
    holder.expect("the holder of the lease").kill();
    name_weights(&site, 3);
    wait_for_weights(&site, 3);
    let second = orders(&site).pop().expect("an order");
    assert_ne!(first.holder, second.holder);
    assert!(
        first.fencing_token < second.fencing_token,
        "{first:?} {second:?}"
    );
}

#[test]
fn records_of_the_nodes_are_written_again() {
    let site = start();
    let _node = site.node("node-1");
    let is_written = |topic: &str| !site.store.records(topic).is_empty();
    let copy = site.store.copy();
    let topics = ["keyed.nodes", "keyed.builds"];
    wait_for("the records", || topics.into_iter().all(is_written));
    site.store.restore(copy);
    assert!(!is_written("keyed.builds"));
    wait_for("the records again", || topics.into_iter().all(is_written));
}
