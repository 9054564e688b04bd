//! Nodes that a supervisor starts again with the settings of their first start.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::net::SocketAddr;
use std::time::Duration;

use entry_site::process::{EndpointProcess, EndpointSpec, Received, read_stream};
use entry_site::{Node, Site, wait_for};

const STREAMS: usize = 12;
const EVENTS: u64 = 100;

/// Time in which a caller takes its stream up again: the timeout of the route.
const CALLER_TIME: Duration = Duration::from_secs(8);

fn engines(ids: [&str; 3], build: &'static str) -> Vec<EndpointProcess> {
    let spec = EndpointSpec {
        service: "engines",
        build,
        events: EVENTS,
        pause_ms: 40,
        framing: "chunked",
    };
    let ids = ids.into_iter();
    ids.map(|id| EndpointProcess::start(id, spec)).collect()
}

/// Three nodes whose settings say that the whole fleet starts for the first time.
fn first_nodes(site: &Site) -> Vec<Node> {
    let names = ["node-1", "node-2", "node-3"].into_iter();
    names.map(|name| site.first_node(name)).collect()
}

fn put_entries(site: &Site, engines: &[EndpointProcess]) {
    for engine in engines {
        engine.put_entry(site, "ready");
    }
}

fn wait_log(nodes: &[Node], text: &str, count: usize) {
    wait_for(text, || {
        let mut nodes = nodes.iter();
        nodes.all(|node| node.log().matches(text).count() >= count)
    });
}

/// Streams begin at v1, whose engines are replaced by those of v2; then all nodes are killed
/// and start again, and the callers take their streams up.
#[test]
fn streams_hold_one_version_if_all_nodes_start_again_with_the_settings_of_their_first_start() {
    let site = Site::start_with(0, Duration::from_millis(5));
    let old = engines(["old-1", "old-2", "old-3"], "v1");
    put_entries(&site, &old);
    let mut nodes = first_nodes(&site);
    wait_log(&nodes, "endpoint listed", 5);
    let new = engines(["new-1", "new-2", "new-3"], "v2");
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let streams: Vec<Received> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..STREAMS)
            .map(|place| {
                let (fronts, id) = (&fronts, format!("r{place}"));
                scope.spawn(move || read_stream(fronts, "/draft/a", &id, place, CALLER_TIME))
            })
            .collect();
        wait_log(&nodes, "stream started", 2);
        put_entries(&site, &new);
        wait_log(&nodes, "endpoint listed", 8);
        std::thread::sleep(Duration::from_millis(700));
        for engine in &old {
            engine.delete_entry(&site);
        }
        wait_log(&nodes, "endpoint dropped", 3);
        nodes.iter_mut().for_each(Node::kill);
        nodes.iter_mut().for_each(Node::restart);
        let streams = callers.into_iter().map(std::thread::ScopedJoinHandle::join);
        streams.map(|stream| stream.expect("a caller")).collect()
    });
    let begun = streams.iter().filter(|stream| !stream.ids.is_empty());
    assert_eq!(begun.count(), STREAMS, "{streams:?}");
    let mixed: Vec<&Received> = streams
        .iter()
        .filter(|stream| stream.builds.len() > 1)
        .collect();
    assert!(
        mixed.is_empty(),
        "{} of {STREAMS} streams hold events of two versions, {} of them are complete",
        mixed.len(),
        mixed.iter().filter(|stream| stream.complete).count()
    );
}
