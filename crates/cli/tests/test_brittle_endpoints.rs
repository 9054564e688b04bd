//! Engines that fall over when they have to refuse many requests for want of room.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::thread::ScopedJoinHandle;
use std::time::{Duration, Instant};

use entry_site::{Node, Site, draft};
use flamingolock_platform_standin::{Engine, Room};

const NODES: usize = 6;

const ENGINES: usize = 4;

/// Time within which all nodes have to know that engines are brittle, `ContactMs` of the
/// platform.
const CONTACT: Duration = Duration::from_secs(3);

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(20);

/// Refusals for want of room in a second that engines bear.
const REFUSALS: usize = 4;

/// Callers of each node, many times as many as the engines run requests.
const CALLERS: usize = 8;

fn start() -> (Site, Vec<Node>) {
    let site = Site::start_with(ENGINES, Duration::from_millis(20));
    set_room(&site, 8);
    let nodes = (0..NODES)
        .map(|number| site.node(&format!("node-{number}")))
        .collect();
    (site, nodes)
}

/// Gives each engine three slots.
fn set_room(site: &Site, queue: usize) {
    for engine in &site.engines {
        engine.set_room(Room { slots: 3, queue });
        site.put_entry(engine, "engines", "ready");
    }
}

/// Sends streams to all nodes. Returns their number and how many were served.
fn send_streams(nodes: &[Node], callers: usize, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    std::thread::scope(|scope| {
        let callers: Vec<_> = nodes
            .iter()
            .flat_map(|node| (0..callers).map(move |caller| (node, caller)))
            .map(|(node, caller)| {
                scope.spawn(move || {
                    let (mut sent, mut served) = (0, 0);
                    while Instant::now() < until {
                        let id = format!("{}-{caller}-{sent}", node.name);
                        let answer = draft(node, 1000 * caller + sent, &id, &[]);
                        served += usize::from(answer.status == 200 && answer.complete);
                        sent += 1;
                        std::thread::sleep(PAUSE);
                    }
                    (sent, served)
                })
            })
            .collect();
        let ended = callers.into_iter().map(ScopedJoinHandle::join);
        ended.fold((0, 0), |(sent, served), counts| {
            let counts = counts.expect("a caller ends without a panic");
            (sent + counts.0, served + counts.1)
        })
    })
}

#[test]
fn brittle_engines_do_not_fall_over_in_a_burst_and_are_used() {
    let (site, nodes) = start();
    send_streams(&nodes, 1, Duration::from_secs(1));
    for engine in &site.engines {
        engine.set_brittle(Some(REFUSALS));
    }
    send_streams(&nodes, 1, CONTACT);
    set_room(&site, 1);
    let time = Duration::from_secs(6);
    let (sent, served) = send_streams(&nodes, CALLERS, time);
    let falls: usize = site.engines.iter().map(|engine| engine.falls().len()).sum();
    let refusals: usize = site.engines.iter().map(Engine::room_refusals).sum();
    println!("{served} of {sent} served, {refusals} refusals, {falls} falls");
    assert!(falls <= 2 + ENGINES / 10, "{falls} falls");
    // Streams of 0.2 s, each on one of twelve slots.
    let capacity = 5.0 * 3.0 * ENGINES as f64 * time.as_secs_f64();
    assert!(
        served as f64 >= capacity * 0.6,
        "{served} of {sent} served, room for {capacity}"
    );
}
