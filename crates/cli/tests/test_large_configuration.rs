//! Configurations that are large for the links of a node.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use entry_site::{Node, Site, call, site_configuration, wait_for};
use flamingolock_standins::proxy::{self, Handle, NewConnections};
use tokio::runtime::Runtime;

/// Bandwidth of a node's connection to the store: a link of 10 Mbit/s with other
/// traffic on it.
const BYTES_PER_S: u64 = 300_000;

/// A configuration with many routes and the route `/vVERSION/`.
fn large_configuration(version: u64, routes: usize) -> String {
    let mut site: serde_json::Value = serde_json::from_str(&site_configuration(version, false))
        .expect("the site's configuration");
    let list = site["Routes"].as_array_mut().expect("routes");
    let look = list[3].clone();
    let mut probe = look.clone();
    probe["Name"] = "probe".into();
    probe["PathPrefix"] = format!("/v{version}/").into();
    list.push(probe);
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

fn has_version(node: &Node, version: u64) -> bool {
    call(node, &format!("/v{version}/a"), "r1", &[]).status == 200
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
    wait_for("the configuration", || has_version(&node, 2));
}

/// Only the newest of the versions that were written meanwhile is read.
#[test]
fn versions_that_were_replaced_while_the_store_was_out_of_reach_are_not_read() {
    let runtime = Runtime::new().expect("a runtime starts");
    let site = Site::start(Duration::from_millis(1));
    let started = proxy::start(([127, 0, 0, 1], 0).into(), site.store.address());
    let link = runtime.block_on(started).expect("a proxy starts");
    let node = Node::start("node-1", link.addr(), &[]);
    node.wait_ready();
    link.change_faults(|faults| faults.new_connections = NewConnections::Close);
    link.cut_existing();
    let mut bytes = 0;
    for version in 2..12 {
        let text = large_configuration(version, 2_000);
        bytes = text.len() as u64;
        site.store.put("keyed.op", "op/config", &text);
    }
    let served = site.store.served_bytes();
    link.change_faults(|faults| faults.new_connections = NewConnections::Forward);
    wait_for("the configuration", || has_version(&node, 11));
    let served = site.store.served_bytes() - served;
    assert!(served < 4 * bytes, "{served} bytes for {bytes}");
}

/// A node that reads the store gives the others the change, which is small.
#[test]
fn change_reaches_a_node_whose_link_cannot_carry_the_whole_configuration() {
    let runtime = Runtime::new().expect("a runtime starts");
    let site = Site::start(Duration::from_millis(1));
    site.store
        .put("keyed.op", "op/config", &large_configuration(1, 4_200));
    let reader = site.node("node-1");
    let link = slow_link(&runtime, site.store.address());
    let node = Node::start("node-2", link.addr(), &[reader.control]);
    node.wait_ready();
    for version in 2..6 {
        let routes = 4_200 + version as usize;
        site.store.put(
            "keyed.op",
            "op/config",
            &large_configuration(version, routes),
        );
        std::thread::sleep(Duration::from_millis(300));
        let started = Instant::now();
        wait_for("the configuration", || has_version(&node, version));
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "{:?}",
            started.elapsed()
        );
    }
}

/// Nodes that do not read what they asked for hold up few others.
#[test]
fn node_serves_few_transfers_at_the_same_time_and_refuses_the_rest() {
    let site = Site::start(Duration::from_millis(1));
    let node = site.node("node-1");
    let mut connections: Vec<TcpStream> = (0..120)
        .map(|_| TcpStream::connect(node.control).expect("a connection"))
        .collect();
    // The node waits a second for their first bytes.
    std::thread::sleep(Duration::from_millis(1_500));
    let first_frame = |connection: &mut TcpStream| {
        connection
            .set_read_timeout(Some(Duration::from_millis(20)))
            .expect("a timeout");
        let mut head = [0; 6];
        connection.read_exact(&mut head).is_ok().then_some(head)
    };
    let refused = connections.iter_mut().filter_map(first_frame);
    // Length of the frame, and the field that says that the node is busy.
    let busy = refused
        .filter(|head| *head == [0, 0, 0, 2, 0x10, 1])
        .count();
    assert_eq!(busy, 120 - 96);
}
