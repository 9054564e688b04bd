//! Endpoints that are processes of their own, killed, stopped and started again in the middle
//! of their responses.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use entry_site::process::{EndpointProcess, EndpointSpec, Received, read_stream};
use entry_site::{Node, Site, wait_for};

const FRAMINGS: [&str; 3] = ["chunked", "length", "close"];

const STREAMS: usize = 12;
const EVENTS: u64 = 40;

/// Time in which a caller takes its stream up again: the timeout of the route.
const CALLER_TIME: Duration = Duration::from_secs(8);

fn engine(framing: &'static str) -> EndpointSpec {
    EndpointSpec {
        service: "engines",
        build: "v1",
        events: EVENTS,
        pause_ms: 25,
        framing,
    }
}

/// A site with engine processes `engine-0`, … and as many nodes.
struct Rig {
    site: Site,
    engines: Vec<EndpointProcess>,
    nodes: Vec<Node>,
}

impl Rig {
    fn start(nodes: usize, specs: &[EndpointSpec]) -> Self {
        let site = Site::start_with(0, Duration::from_millis(5));
        let specs = specs.iter().enumerate();
        let engines: Vec<EndpointProcess> = specs
            .map(|(place, spec)| EndpointProcess::start(&format!("engine-{place}"), *spec))
            .collect();
        for engine in &engines {
            engine.put_entry(&site, "ready");
        }
        let names = (1..=nodes).map(|number| format!("node-{number}"));
        let nodes: Vec<Node> = names.map(|name| site.node(&name)).collect();
        let listed = engines.len() + site.app_servers.len();
        let rig = Self {
            site,
            engines,
            nodes,
        };
        rig.wait_log("endpoint listed", listed);
        rig
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.front).collect()
    }

    /// Waits until each node has written the text as often.
    fn wait_log(&self, text: &str, count: usize) {
        wait_for(text, || {
            let mut nodes = self.nodes.iter();
            nodes.all(|node| node.log().matches(text).count() >= count)
        });
    }

    /// Callers read streams at a path while `trouble` goes on, which begins once the nodes
    /// have started streams.
    fn streams(&mut self, path: &str, trouble: impl FnOnce(&mut Self)) -> Vec<Received> {
        let fronts = self.fronts();
        std::thread::scope(|scope| {
            let callers: Vec<_> = (0..STREAMS)
                .map(|place| {
                    let (fronts, id) = (&fronts, format!("r{place}"));
                    scope.spawn(move || read_stream(fronts, path, &id, place, CALLER_TIME))
                })
                .collect();
            self.wait_log("stream started", 1);
            std::thread::sleep(Duration::from_millis(200));
            trouble(self);
            let streams = callers.into_iter().map(std::thread::ScopedJoinHandle::join);
            streams.map(|stream| stream.expect("a caller")).collect()
        })
    }
}

/// Checks that each stream has each event at most once and in order, of one version, and that
/// those that are complete lack none. Returns how many are complete.
fn check(what: &str, streams: &[Received]) -> usize {
    for stream in streams {
        let first: Vec<u64> = (1..=stream.ids.len() as u64).collect();
        assert_eq!(stream.ids, first, "{what}: {stream:?}");
        assert!(stream.builds.len() <= 1, "{what}: {stream:?}");
        assert!(
            !stream.complete || stream.is_whole(EVENTS),
            "{what}: {stream:?}"
        );
    }
    streams.iter().filter(|stream| stream.complete).count()
}

/// The engine of half of the streams is killed for good; they go on at the other one.
#[test]
fn streams_of_an_engine_process_that_is_killed_do_not_end_early() {
    for framing in FRAMINGS {
        let mut rig = Rig::start(2, &[engine(framing); 2]);
        let streams = rig.streams("/draft/a", |rig| rig.engines[0].kill());
        let complete = check(framing, &streams);
        assert_eq!(complete, STREAMS, "{framing}: {streams:?}");
    }
}

/// The same without a second engine, with streams that no other may continue.
#[test]
fn streams_of_the_only_engine_process_are_not_complete_once_it_is_killed() {
    for framing in FRAMINGS {
        let mut rig = Rig::start(2, &[engine(framing)]);
        let streams = rig.streams("/draft/a", |rig| rig.engines[0].kill());
        assert_eq!(check(framing, &streams), 0, "{streams:?}");
    }
}

/// A supervisor starts the engine again at its address and with its id, before its entry is
/// written anew.
#[test]
fn streams_of_an_engine_process_that_is_back_at_once_do_not_end_early() {
    for framing in FRAMINGS {
        let mut rig = Rig::start(2, &[engine(framing); 2]);
        let streams = rig.streams("/draft/a", |rig| {
            for _ in 0..3 {
                rig.engines[0].kill();
                rig.engines[0].restart("v1");
                std::thread::sleep(Duration::from_millis(100));
            }
            rig.engines[0].put_entry(&rig.site, "ready");
        });
        let complete = check(framing, &streams);
        assert!(complete > 0, "{framing}: {streams:?}");
    }
}

/// A stopped engine that is killed: what it had sent is in its sockets.
#[test]
fn streams_of_an_engine_process_that_is_stopped_and_killed_do_not_end_early() {
    for framing in FRAMINGS {
        let mut rig = Rig::start(2, &[engine(framing); 2]);
        let streams = rig.streams("/draft/a", |rig| {
            rig.engines[0].signal("STOP");
            std::thread::sleep(Duration::from_millis(300));
            rig.engines[0].kill();
            rig.engines[0].restart("v1");
        });
        check(framing, &streams);
    }
}

/// Callers ask for whole bodies at a path while a server is killed and started again at once.
fn bodies_of_killed_server(framing: &'static str, path: &str) -> Vec<Received> {
    let server = EndpointSpec {
        service: "desk",
        pause_ms: 8,
        ..engine(framing)
    };
    let mut rig = Rig::start(2, &[server; 2]);
    for own in &rig.site.app_servers {
        rig.site.put_entry(own, "desk", "draining");
    }
    rig.wait_log("endpoint is leaving", 2);
    let fronts = rig.fronts();
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..STREAMS)
            .map(|place| {
                let (fronts, id) = (&fronts, format!("r{place}"));
                scope.spawn(move || read_stream(fronts, path, &id, place, CALLER_TIME))
            })
            .collect();
        for _ in 0..3 {
            std::thread::sleep(Duration::from_millis(150));
            rig.engines[0].kill();
            rig.engines[0].restart("v1");
        }
        let bodies = callers.into_iter().map(std::thread::ScopedJoinHandle::join);
        bodies.map(|body| body.expect("a caller")).collect()
    })
}

/// An answer that is passed on is whole; those that may run only once are not repeated by the
/// nodes, so their callers see that they were cut.
#[test]
fn whole_bodies_of_a_server_process_that_is_killed_do_not_end_early() {
    for framing in FRAMINGS {
        for path in ["/look/a", "/book/a"] {
            let bodies = bodies_of_killed_server(framing, path);
            let what = format!("{framing} {path}");
            assert_eq!(check(&what, &bodies), STREAMS, "{what}: {bodies:?}");
            let was_cut = bodies.iter().any(|body| body.statuses.len() > 1);
            assert!(path == "/look/a" || was_cut, "{what}: {bodies:?}");
        }
    }
}

/// Two versions serve, and nodes are killed one after the other, or all of them, and started
/// again within milliseconds at their addresses.
#[test]
fn streams_of_two_versions_are_not_mixed_by_nodes_that_are_back_within_milliseconds() {
    for at_once in [1, 3] {
        let other = EndpointSpec {
            build: "v2",
            ..engine("chunked")
        };
        let specs = [engine("chunked"), other, engine("chunked"), other];
        let mut rig = Rig::start(3, &specs);
        let streams = rig.streams("/draft/a", |rig| {
            for round in 0..6 {
                for place in 0..at_once {
                    let node = &mut rig.nodes[(round + place) % 3];
                    node.kill();
                    node.restart();
                }
                std::thread::sleep(Duration::from_millis(250));
            }
        });
        let what = format!("{at_once} at once");
        let complete = check(&what, &streams);
        assert!(complete * 2 >= STREAMS, "{what}: {streams:?}");
        let builds: BTreeSet<&String> = streams.iter().flat_map(|stream| &stream.builds).collect();
        assert_eq!(builds.len(), 2, "{what}: both versions began streams");
    }
}

/// An idle engine is started again with another version under its id and address. Streams
/// begin there before its new entry is read, and break off when it is killed.
#[test]
fn streams_begun_before_the_entry_of_another_version_is_read_hold_one_version() {
    let mut rig = Rig::start(2, &[engine("chunked"); 2]);
    rig.engines[0].kill();
    rig.engines[0].restart("v2");
    let streams = rig.streams("/draft/a", |rig| {
        rig.engines[0].put_entry(&rig.site, "ready");
        rig.wait_log("endpoint listed", 5);
        rig.engines[0].kill();
    });
    check("entry read", &streams);
}

/// The same with a node that is killed instead of the engine.
#[test]
fn streams_begun_before_the_entry_of_another_version_is_read_hold_one_version_at_another_node() {
    let mut rig = Rig::start(2, &[engine("chunked"); 2]);
    rig.engines[0].kill();
    rig.engines[0].restart("v2");
    let streams = rig.streams("/draft/a", |rig| {
        rig.engines[0].put_entry(&rig.site, "ready");
        rig.wait_log("endpoint listed", 5);
        rig.nodes[0].kill();
    });
    check("entry read", &streams);
}
