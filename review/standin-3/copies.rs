//! Case 12: an engine that never reports `draining` leaves, and the store comes back from a copy
//! in which its entry still stands.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clients::{Call, KEYS, configuration, send};
use crate::engine::{Engine, Work, keep_registered};
use crate::nodes;
use crate::store::Store;
use crate::{Outcome, Record, sleep_until};

const NODES: usize = 6;

/// Bound of the settings.
const DRAIN_MS: u64 = 2_000;

/// Time that a request may take from a node to the engine, in favour of the nodes.
const TRANSIT_MS: u64 = 300;

/// Times since the nodes are ready.
const COPIED_AT: u64 = 4_000;
const LEAVES_AT: u64 = 5_000;
const AWAY: (u64, u64) = (7_400, 7_700);
/// When the operator and the engines have written again what was lost.
const WRITTEN_AGAIN_AT: u64 = 8_900;
const ENDS_AT: u64 = 12_000;

pub fn play(record: &'static Record, with_trouble: bool) -> Outcome {
    let store = Store::new(record);
    store.put("keyed.op", "op/config", &configuration());
    let work = Work {
        first: Duration::from_millis(60),
        tokens_per_ms: 0,
        events: 0,
        pause: Duration::ZERO,
        slots: 6,
        queue: 24,
    };
    let zones = ["karlovac-a", "karlovac-b", "zagreb-c"];
    let engines: Vec<Engine> = (0..3)
        .map(|number| {
            Engine::start(
                record,
                &format!("i-{number:08x}"),
                "desk",
                zones[number],
                work.clone(),
            )
        })
        .collect();
    engines.iter().for_each(|engine| engine.register(&store));
    let leaving = engines[2].clone();
    let has_left = Arc::new(AtomicBool::new(false));
    let (left, id) = (has_left.clone(), leaving.id());
    keep_registered(&engines, &store, move |engine| {
        engine.id() != id || !left.load(Ordering::Relaxed)
    });
    let nodes = match nodes::start(record, &store, NODES) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::Impossible(reason),
    };
    let begun = record.now_ms();
    let is_over = Arc::new(AtomicBool::new(false));
    // Which node each request was sent to, and when.
    let sent: Arc<Mutex<BTreeMap<String, (usize, u64)>>> = Arc::default();
    let clients: Vec<_> = (0..2 * NODES)
        .map(|client| {
            let (node, front) = (client % NODES, nodes[client % NODES].front);
            let (is_over, sent) = (is_over.clone(), sent.clone());
            std::thread::spawn(move || {
                let mut answered = 0;
                std::thread::sleep(Duration::from_millis(37 * client as u64));
                while !is_over.load(Ordering::Relaxed) {
                    let line = if client < NODES {
                        "POST /book/x"
                    } else {
                        "GET /look/x"
                    };
                    let answer = send(
                        record,
                        &Call {
                            node: front,
                            line,
                            key: KEYS[client % 2],
                            deadline_ms: 3_000,
                            headers: String::new(),
                            body: if client < NODES { b"a pallet" } else { b"" },
                        },
                    );
                    answered += u64::from(answer.status == 200);
                    sent.lock()
                        .expect("no panic")
                        .insert(answer.request, (node, answer.sent_ms));
                    // About 37 requests a second in all, as on the site.
                    std::thread::sleep(Duration::from_millis(250));
                }
                answered
            })
        })
        .collect();
    sleep_until(record, begun + COPIED_AT);
    let copy = store.copy();
    sleep_until(record, begun + LEAVES_AT);
    has_left.store(true, Ordering::Relaxed);
    leaving.leave();
    let key = format!("servers/{}", leaving.id());
    let offset = store.put("keyed.servers", &key, "");
    let left_at = record.now_ms();
    record.say(format!(
        "{} leaves: its entry is removed (offset {offset}), it goes on serving",
        leaving.id()
    ));
    sleep_until(record, begun + AWAY.0);
    let acknowledged: Vec<bool> = nodes
        .iter()
        .map(|node| {
            store
                .entries_read(&node.name)
                .is_some_and(|end| end > offset)
        })
        .collect();
    record.say(format!(
        "nodes that have read the removal: {acknowledged:?}"
    ));
    if with_trouble {
        store.set_down(true);
        sleep_until(record, begun + AWAY.1);
        store.restore(copy);
        store.set_down(false);
        engines[..2]
            .iter()
            .for_each(|engine| engine.register(&store));
        sleep_until(record, begun + WRITTEN_AGAIN_AT);
        store.put("keyed.servers", &key, "");
        record.say(format!("the removal of {} is written again", leaving.id()));
    }
    sleep_until(record, begun + ENDS_AT);
    is_over.store(true, Ordering::Relaxed);
    let answered: u64 = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    let sent = sent.lock().expect("no panic");
    let late: Vec<String> = leaving
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.at_ms > left_at + DRAIN_MS + TRANSIT_MS)
        .filter_map(|arrival| {
            let (node, sent_ms) = sent.get(&arrival.request)?;
            (acknowledged[*node] && *sent_ms > left_at + DRAIN_MS).then(|| {
                format!(
                    "{} at {} ms, {} ms after the acknowledgement, from {}",
                    arrival.request,
                    arrival.at_ms,
                    arrival.at_ms - left_at,
                    nodes[*node].name
                )
            })
        })
        .collect();
    record.say(format!(
        "requests answered: {answered}; reached {} too late: {}",
        leaving.id(),
        late.len()
    ));
    late.iter().for_each(|line| record.say(line));
    if answered < 100 || acknowledged.iter().filter(|read| **read).count() < NODES / 2 {
        return Outcome::Impossible(
            "too few answers, or nodes that have read the removal".to_owned(),
        );
    }
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
