//! Configurations that are large for the links of a node.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::net::SocketAddr;
use std::time::Duration;

use entry_site::{Node, Site, call, site_configuration, wait_for};
use flamingolock_standins::proxy::{self, Handle};
use tokio::runtime::Runtime;

/// Bandwidth of a node's connection to the store: a link of 10 Mbit/s with other
/// traffic on it.
const BYTES_PER_S: u64 = 300_000;

/// A configuration with many routes and the route `/later/`.
fn large_configuration(version: u64, routes: usize) -> String {
    let mut site: serde_json::Value =
        serde_json::from_str(&site_configuration(version, true)).expect("the site's configuration");
    let list = site["Routes"].as_array_mut().expect("routes");
    let look = list[3].clone();
    for number in 0..routes {
        let mut route = look.clone();
        route["Name"] = format!("r-{number}").into();
        route["Host"] = format!("host-{}.example", number % 50).into();
        route["PathPrefix"] = format!("/p{number}/").into();
        list.push(route);
    }
    site.to_string()
}

/// Starts a proxy with limited bandwidth in front of the store.
fn slow_link(runtime: &Runtime, store: SocketAddr) -> Handle {
    let started = proxy::start(([127, 0, 0, 1], 0).into(), store);
    let link = runtime.block_on(started).expect("a proxy starts");
    link.change_faults(|faults| faults.down.bytes_per_s = Some(BYTES_PER_S));
    link
}

fn has_route(node: &Node) -> bool {
    call(node, "/later/a", "r1", &[]).status == 200
}

#[test]
fn configuration_that_takes_seconds_to_read_comes_into_force() {
    let runtime = Runtime::new().expect("a runtime starts");
    let site = Site::start(Duration::from_millis(1));
    let link = slow_link(&runtime, site.store.address());
    let node = Node::start("node-1", link.addr(), &[]);
    node.wait_ready();
    let text = large_configuration(2, 4_200);
    assert!(text.len() as u64 > 3 * BYTES_PER_S, "{}", text.len());
    site.store.put("keyed.op", "op/config", &text);
    wait_for("the new route", || has_route(&node));
}
