//! Case 13: engines start again under their ids with another version of their software while the
//! store is down, and streams go on.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clients::{Call, KEYS, configuration, prompt, send};
use crate::engine::{Engine, Work, keep_registered};
use crate::nodes;
use crate::store::Store;
use crate::{Outcome, Record, sleep_until};

const NODES: usize = 6;
const ENGINES: usize = 9;

/// Streams a second of all clients, as on the site.
const STREAMS_PER_S: u64 = 20;

/// The rule allows so many streams with events of two versions.
const ALLOWED: usize = 2;

/// Times since the nodes are ready.
const DOWN: (u64, u64) = (6_000, 10_500);
/// When each engine in turn ends, and how long it takes to start again.
const RESTARTS_AT: [u64; 4] = [6_200, 7_300, 8_400, 9_500];
const RESTART_MS: u64 = 500;
const ENDS_AT: u64 = 18_000;

pub fn play(record: &'static Record, with_trouble: bool) -> Outcome {
    let store = Store::new(record);
    store.put("keyed.op", "op/config", &configuration());
    store.put(
        "keyed.op",
        "op/version/daka510000",
        "{\"Model\":\"daka510000\",\"Version\":1}",
    );
    let work = Work {
        first: Duration::from_millis(100),
        events: 64,
        pause: Duration::from_millis(40),
        slots: 64,
        queue: 192,
    };
    let zones = ["karlovac-a", "karlovac-b", "zagreb-c"];
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            Engine::start(
                record,
                &format!("i-{number:08x}"),
                "llm",
                zones[number % 3],
                work.clone(),
            )
        })
        .collect();
    engines.iter().for_each(|engine| engine.register(&store));
    let heard = store.clone();
    keep_registered(&engines, &store, move |_| !heard.is_down());
    let nodes = match nodes::start(record, &store, NODES) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::Impossible(reason),
    };
    let begun = record.now_ms();
    let streams: Arc<Mutex<Vec<(String, bool, BTreeSet<String>)>>> = Arc::default();
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let clients = {
        let streams = streams.clone();
        std::thread::spawn(move || {
            let mut open = Vec::new();
            for number in 0..STREAMS_PER_S * (ENDS_AT - 4_000) / 1_000 {
                sleep_until(record, begun + number * 1_000 / STREAMS_PER_S);
                let (fronts, streams) = (fronts.clone(), streams.clone());
                open.push(std::thread::spawn(move || {
                    let parts = [
                        (format!("{:x}", 0x1000 + number % 3), 512),
                        (format!("{:x}", 0x2000 + number % 75), 4_870),
                        (format!("{:x}", 0x10_0000 + number), 1_228),
                    ];
                    let call = |node: u64, more: String| Call {
                        node: fronts[node as usize % NODES],
                        line: "POST /draft/x",
                        key: KEYS[0],
                        deadline_ms: 15_000,
                        headers: prompt(&parts, 64) + &more,
                        body: b"a schedule",
                    };
                    let first = send(record, &call(number, String::new()));
                    let mut builds: BTreeSet<String> =
                        first.events.iter().map(|event| event.1.clone()).collect();
                    let mut is_whole = first.is_whole;
                    if let Some((last, _)) = first.events.last().filter(|_| !is_whole) {
                        let more =
                            format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", first.request);
                        let second = send(record, &call(number + 1, more));
                        builds.extend(second.events.iter().map(|event| event.1.clone()));
                        is_whole = second.is_whole;
                    }
                    streams
                        .lock()
                        .expect("no panic")
                        .push((first.request, is_whole, builds));
                }));
            }
            for client in open {
                let _ = client.join();
            }
        })
    };
    if with_trouble {
        sleep_until(record, begun + DOWN.0);
        store.set_down(true);
        for (engine, at) in engines.iter().zip(RESTARTS_AT) {
            sleep_until(record, begun + at);
            engine.crash();
            sleep_until(record, begun + at + RESTART_MS);
            engine.start_again("v2");
        }
        sleep_until(record, begun + DOWN.1);
        store.set_down(false);
        engines.iter().for_each(|engine| engine.register(&store));
    }
    let _ = clients.join();
    let streams = streams.lock().expect("no panic");
    let whole = streams.iter().filter(|(_, is_whole, _)| *is_whole).count();
    let joined: Vec<&str> = streams
        .iter()
        .filter(|(_, _, builds)| builds.len() > 1)
        .map(|(request, ..)| request.as_str())
        .collect();
    record.say(format!(
        "streams {}, whole {whole}, with events of two versions: {} {joined:?}",
        streams.len(),
        joined.len()
    ));
    if whole < 100 {
        return Outcome::Impossible("too few streams were whole".to_owned());
    }
    if joined.len() > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
