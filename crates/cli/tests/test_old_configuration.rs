//! A node whose copy of the configuration may be out of date.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::Duration;

use entry_site::{Node, Site, call, wait_for};
use flamingolock_standins::proxy::{self, NewConnections};
use tokio::runtime::Runtime;

#[test]
fn node_that_may_lack_a_route_does_not_say_that_it_is_missing() {
    let runtime = Runtime::new().expect("a runtime starts");
    let site = Site::start(Duration::from_millis(1));
    let started = proxy::start(([127, 0, 0, 1], 0).into(), site.store.address());
    let link = runtime.block_on(started).expect("a proxy starts");
    let node = Node::start("node-1", link.addr(), &[]);
    node.wait_ready();
    wait_for("a copy that is current", || {
        call(&node, "/later/a", "r1", &[]).status == 404
    });
    link.change_faults(|faults| faults.new_connections = NewConnections::Close);
    link.cut_existing();
    let text = entry_site::site_configuration(2, true);
    site.store.put("keyed.op", "op/config", &text);
    // Longer than the bound for a new configuration.
    std::thread::sleep(Duration::from_secs(3));
    let answer = call(&node, "/later/a", "r2", &[]);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(call(&node, "/look/a", "r3", &[]).status, 200);
    link.change_faults(|faults| faults.new_connections = NewConnections::Forward);
    wait_for("the configuration", || {
        call(&node, "/later/a", "r4", &[]).status == 200
    });
}
