//! Retries of nodes that are killed and start again, over all nodes together.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use entry_site::{Node, Site, request};
use flamingolock_platform_standin::{Engine, EngineMode};

const NODES: usize = 3;

/// Number of times that all nodes are killed.
const KILLS: usize = 6;

/// Time for which the nodes run between two kills.
const LIFE: Duration = Duration::from_millis(1_200);

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(50);

/// The budget in the nodes' settings.
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;

/// Sends requests until `done`. Returns when they were sent.
fn call(front: SocketAddr, caller: usize, done: &AtomicBool) -> Vec<Instant> {
    let mut sent = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let id = format!("r-{caller}-{}", sent.len());
        let headers = [
            ("host", "site.example"),
            ("authorization", "Bearer key-1"),
            ("request-id", id.as_str()),
            ("deadline-ms", "1000"),
        ];
        sent.push(Instant::now());
        request(front, "GET", "/look/a", &headers);
        sleep(PAUSE);
    }
    sent
}

fn kill_and_restart(nodes: &mut [Node]) {
    for node in nodes.iter_mut() {
        node.kill();
    }
    for node in nodes.iter_mut() {
        node.restart();
    }
    nodes.iter().for_each(Node::wait_ready);
}

/// Times at which requests reached an endpoint after they had reached another one.
fn retries(site: &Site) -> Vec<Instant> {
    let servers = site.app_servers.iter();
    let mut arrivals: Vec<_> = servers.flat_map(Engine::arrivals).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = BTreeSet::new();
    let again = arrivals
        .into_iter()
        .filter(|arrival| !seen.insert(arrival.request.clone()));
    again.map(|arrival| arrival.at).collect()
}

fn count(times: &[Instant], from: Instant) -> usize {
    let within = |at: &&Instant| **at >= from && **at < from + WINDOW;
    times.iter().filter(within).count()
}

/// Retries that are allowed in the window from `from` on: those of its requests, of the window
/// before or of the one half a window before, whichever has most, and the slack.
fn allowed(requests: &[Instant], from: Instant) -> f64 {
    let starts = [
        Some(from),
        from.checked_sub(WINDOW / 2),
        from.checked_sub(WINDOW),
    ];
    let counts = starts.iter().flatten().map(|start| count(requests, *start));
    RATIO * counts.max().unwrap_or(0) as f64 + SLACK
}

#[test]
fn nodes_that_are_killed_and_restarted_do_not_use_the_slack_of_retries_again() {
    let site = Site::start(Duration::from_millis(1));
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|number| site.node(&format!("node-{number}")))
        .collect();
    for server in &site.app_servers {
        server.set_mode(EngineMode::Failing);
    }
    let done = AtomicBool::new(false);
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let (requests, calm) = std::thread::scope(|scope| {
        let callers: Vec<_> = fronts
            .iter()
            .enumerate()
            .map(|(caller, front)| {
                let done = &done;
                scope.spawn(move || call(*front, caller, done))
            })
            .collect();
        sleep(LIFE);
        for _ in 0..KILLS {
            kill_and_restart(&mut nodes);
            sleep(LIFE);
        }
        let calm = Instant::now();
        sleep(WINDOW + WINDOW / 2);
        done.store(true, Ordering::Relaxed);
        let sent = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller ends without a panic"));
        let mut sent: Vec<Instant> = sent.collect();
        sent.sort();
        (sent, calm)
    });
    let retries = retries(&site);
    let windows = retries
        .iter()
        .map(|from| (count(&retries, *from), allowed(&requests, *from), *from));
    let most =
        windows.max_by(|one, other| (one.0 as f64 / one.1).total_cmp(&(other.0 as f64 / other.1)));
    let (sent, bound, _) = most.expect("retries");
    println!("at most {sent} retries of {bound:.0} allowed in a window");
    assert!(sent as f64 <= bound, "{sent} retries, {bound:.0} allowed");
    // The slack is used once the processes know that it is unspent.
    let from = calm + WINDOW / 2;
    let (later, bound) = (count(&retries, from), allowed(&requests, from));
    println!("at the end {later} of {bound:.0}");
    assert!(later as f64 > 0.4 * bound, "{later} of {bound:.0} used");
}
