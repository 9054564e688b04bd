//! Nodes that are cut off from endpoints, while callers, the store and the other nodes still
//! reach them.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{ScopedJoinHandle, sleep};
use std::time::{Duration, Instant};

use entry_site::{LinkedNode, Site, client, send};
use flamingolock_platform_standin::{LinkState, Room};

const NODES: usize = 6;

const ENGINES: usize = 4;

/// Time within which a cut node has to serve again, `ContactMs` of the platform.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which requests are counted after that.
const WINDOW: Duration = Duration::from_secs(4);

/// Time within which a node that is no longer cut has to use its own connections again.
const RETURN: Duration = Duration::from_secs(4);

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(250);

/// Failures at cut nodes that are allowed beside one in [`FAILURE_SHARE`].
const FAILURES: usize = 10;
const FAILURE_SHARE: usize = 50;

/// Size of the smallest request to an endpoint, in bytes.
const REQUEST_BYTES: u64 = 100;

/// Statuses that promise that the request was not and will not be executed.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Safe,
    Unsafe,
    Stream,
}

/// A request as its caller saw it.
#[derive(Debug)]
struct Record {
    node: usize,
    kind: Kind,
    id: String,
    sent_at: Instant,
    ended_at: Instant,
    status: u16,
    served: bool,
}

/// Number of requests, and how many were served.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn of<'a>(records: impl Iterator<Item = &'a Record>) -> Self {
        records.fold(Self::default(), |count, record| Self {
            sent: count.sent + 1,
            served: count.served + usize::from(record.served),
        })
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

fn start_nodes(site: &Site) -> Vec<LinkedNode> {
    (0..NODES)
        .map(|number| site.linked_node(&format!("node-{number}")))
        .collect()
}

/// Sends requests of one kind to a node until `done`, on one kept connection or on new ones.
fn send_requests(
    node: (usize, &LinkedNode),
    (caller, kind): (usize, Kind),
    is_kept: bool,
    done: &AtomicBool,
) -> Vec<Record> {
    let (index, node) = node;
    let client = client(usize::from(is_kept));
    let name = format!("{index}-{kind:?}-{caller}-{is_kept}-{}", node.sent_bytes());
    let mut records = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let number = records.len();
        let sent_at = Instant::now();
        let id = format!("{name}-{number}");
        let parts = format!("a{number:x}:300,b{index:x}{caller:x}:400,c:300");
        let mut headers = vec![
            ("host", "site.example"),
            ("authorization", "Bearer key-1"),
            ("request-id", id.as_str()),
            ("deadline-ms", "3000"),
        ];
        if kind == Kind::Stream {
            headers.extend([("model", "planner"), ("token-usage", "1000,64")]);
            headers.push(("prefix-hash", parts.as_str()));
        }
        let path = match kind {
            Kind::Safe => "/look/a",
            Kind::Unsafe => "/book/a",
            Kind::Stream => ["/draft/a", "/tag/a"][number % 2],
        };
        let answer = send(&client, node.node.front, "POST", path, &headers);
        records.push(Record {
            node: index,
            kind,
            sent_at,
            ended_at: Instant::now(),
            status: answer.status,
            served: answer.status == 200 && answer.complete,
            id,
        });
        sleep(PAUSE);
    }
    records
}

/// Sends requests of these kinds to all nodes while `during` runs.
fn send_during(nodes: &[LinkedNode], kinds: &[Kind], during: impl FnOnce()) -> Vec<Record> {
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let mut callers = Vec::new();
        for node in nodes.iter().enumerate() {
            for (caller, kind) in kinds.iter().enumerate() {
                let kind = (caller, *kind);
                for is_kept in [true, false] {
                    let done = &done;
                    callers.push(scope.spawn(move || send_requests(node, kind, is_kept, done)));
                }
            }
        }
        during();
        done.store(true, Ordering::Relaxed);
        let ended = callers.into_iter().map(ScopedJoinHandle::join);
        ended
            .flat_map(|records| records.expect("a caller ends without a panic"))
            .collect()
    })
}

/// Checks that no unsafe request ran twice, and that none ran that was answered as not run.
fn check_executions(site: &Site, records: &[Record]) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for endpoint in site.engines.iter().chain(&site.app_servers) {
        for (id, count) in endpoint.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    for record in records {
        let runs = runs.get(&record.id).copied().unwrap_or(0);
        assert!(record.kind != Kind::Unsafe || runs <= 1, "{record:?}");
        let is_promised = NOT_RUN_STATUSES.contains(&record.status);
        assert!(!is_promised || runs == 0, "{runs} runs of {record:?}");
    }
}

/// Cuts one node off from all endpoints, then half of the nodes.
fn cut_nodes_serve_through_others(state: LinkState) {
    let site = Site::start_with(ENGINES, Duration::from_millis(2));
    let nodes = start_nodes(&site);
    cut_off(&site, &nodes, 0..1, state);
    cut_off(&site, &nodes, 0..NODES / 2, state);
}

fn set_links(nodes: &[LinkedNode], state: LinkState) {
    for node in nodes {
        node.set_links(state);
    }
}

fn cut_off(site: &Site, nodes: &[LinkedNode], cut: Range<usize>, state: LinkState) {
    let sent_bytes = || -> Vec<u64> { nodes.iter().map(LinkedNode::sent_bytes).collect() };
    let mut counted = Instant::now()..Instant::now();
    let mut returned = Instant::now()..Instant::now();
    let mut bytes = Vec::new();
    let kinds = [Kind::Safe, Kind::Unsafe, Kind::Stream];
    let records = send_during(nodes, &kinds, || {
        sleep(Duration::from_secs(1));
        set_links(&nodes[cut.clone()], state);
        sleep(CONTACT);
        counted.start = Instant::now();
        sleep(WINDOW);
        counted.end = Instant::now();
        set_links(&nodes[cut.clone()], LinkState::Up);
        sleep(RETURN);
        let before = sent_bytes();
        returned.start = Instant::now();
        sleep(Duration::from_secs(2));
        returned.end = Instant::now();
        let sent = before.iter().zip(sent_bytes());
        bytes = sent.map(|(before, after)| after - before).collect();
    });
    check_executions(site, &records);
    let what = format!("{state:?}, {} nodes cut", cut.len());
    check_cut_nodes(&records, &cut, &counted, &what);
    for node in cut {
        let own = records.iter().filter(|record| {
            record.node == node
                && record.sent_at >= returned.start
                && record.ended_at <= returned.end
        });
        let count = Count::of(own);
        assert!(
            count.sent > 0 && count.sent - count.served <= 1,
            "{what}, then up again: {count:?} at node {node}\n{}",
            around(&records, node, &returned)
        );
        assert!(
            bytes[node] >= REQUEST_BYTES * count.served as u64,
            "{what}, then up again: {count:?}, but only {} bytes of node {node}",
            bytes[node]
        );
    }
}

/// The requests to a node that were open at some time of a period, a line each: when they were
/// sent after its start, how long they took, and their status.
fn around(records: &[Record], node: usize, period: &Range<Instant>) -> String {
    let open = records.iter().filter(|record| {
        record.node == node && record.sent_at < period.end && record.ended_at > period.start
    });
    let line = |record: &Record| {
        let after = record.sent_at.saturating_duration_since(period.start);
        let before = period.start.saturating_duration_since(record.sent_at);
        let took = record.ended_at - record.sent_at;
        let (id, status) = (&record.id, record.status);
        format!("{id}: {after:?} after, {before:?} before, took {took:?}, status {status}")
    };
    open.map(line).collect::<Vec<_>>().join("\n")
}

fn check_cut_nodes(records: &[Record], cut: &Range<usize>, counted: &Range<Instant>, what: &str) {
    let count = |is_cut: bool| {
        let counted = records.iter().filter(|record| {
            counted.contains(&record.sent_at) && cut.contains(&record.node) == is_cut
        });
        Count::of(counted)
    };
    let (at_cut, at_others) = (count(true), count(false));
    println!("{what}: {at_cut:?} there, {at_others:?} at the others");
    assert!(
        at_cut.share() * 3.0 >= at_others.share() * 2.0,
        "{what}: {at_cut:?} there, {at_others:?} at the others"
    );
    let failures = at_cut.sent - at_cut.served;
    assert!(
        failures <= FAILURES + at_cut.sent / FAILURE_SHARE,
        "{what}: {failures} failures, {at_cut:?} there"
    );
}

#[test]
fn nodes_cut_off_silently_serve_through_others() {
    cut_nodes_serve_through_others(LinkState::Silent);
}

#[test]
fn nodes_cut_off_by_resets_serve_through_others() {
    cut_nodes_serve_through_others(LinkState::Reset);
}

#[test]
fn nodes_whose_new_connections_are_refused_serve_through_others() {
    cut_nodes_serve_through_others(LinkState::NewRefused);
}

#[test]
fn nodes_whose_new_connections_are_unanswered_serve_through_others() {
    cut_nodes_serve_through_others(LinkState::NewUnanswered);
}

/// Cuts one node off from these of its links. The other nodes have to serve three quarters
/// of what they served before, at engines that are busy.
fn others_serve_as_before(cut: &[usize], state: LinkState) {
    let site = Site::start_with(ENGINES, Duration::from_millis(20));
    for engine in &site.engines {
        engine.set_room(Room {
            slots: 8,
            queue: 100,
        });
        site.put_entry(engine, "engines", "ready");
    }
    let nodes = start_nodes(&site);
    let mut before = Instant::now()..Instant::now();
    let mut during = Instant::now()..Instant::now();
    let records = send_during(&nodes, &[Kind::Stream; 4], || {
        sleep(Duration::from_secs(1));
        before.start = Instant::now();
        sleep(WINDOW);
        before.end = Instant::now();
        for link in cut {
            nodes[0].links[*link].set(state);
        }
        during.start = Instant::now();
        sleep(CONTACT + WINDOW);
        during.end = Instant::now();
        nodes[0].set_links(LinkState::Up);
    });
    check_executions(&site, &records);
    let count = |period: &Range<Instant>| {
        Count::of(
            records
                .iter()
                .filter(|record| record.node > 0 && period.contains(&record.sent_at)),
        )
    };
    let (before, during) = (count(&before), count(&during));
    println!("{state:?} at {cut:?}: {before:?} before, {during:?} during the cut");
    assert!(before.share() >= 0.9, "{before:?} before the cut");
    assert!(
        during.share() >= before.share() * 0.75,
        "{state:?} at {cut:?}: {before:?} before, {during:?} during the cut"
    );
}

#[test]
fn node_cut_off_from_most_engines_by_resets_does_not_halve_what_others_serve() {
    others_serve_as_before(&[0, 1, 2], LinkState::Reset);
}

#[test]
fn node_cut_off_from_most_engines_silently_does_not_halve_what_others_serve() {
    others_serve_as_before(&[0, 1, 2], LinkState::Silent);
}

#[test]
fn node_cut_off_from_some_endpoints_does_not_halve_what_others_serve() {
    others_serve_as_before(&[0, ENGINES], LinkState::Reset);
}
