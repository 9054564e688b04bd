//! Case 14: an engine turns slow, and does not drop requests whose connections have closed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clients::{Call, KEYS, configuration, prompt, send};
use crate::engine::{Engine, Run, Work, keep_registered};
use crate::nodes;
use crate::store::Store;
use crate::{Outcome, Record, sleep_until};

const NODES: usize = 6;
const ENGINES: usize = 9;

/// Streams a second of all clients, as on the site.
const STREAMS_PER_S: u64 = 20;

/// Time for which both engines have to work on a request.
const BOTH_MS: u64 = 400;

/// The site's largest factor and longest time for a slow engine.
const SLOWNESS: u32 = 4;
const SLOW: (u64, u64) = (6_000, 11_000);
/// When it falls silent besides, and for how long.
const SILENT_AT: [u64; 3] = [6_400, 8_200, 9_900];
const SILENCE: Duration = Duration::from_millis(1_300);
const ENDS_AT: u64 = 14_000;

/// Tokens of a prompt that it shares with no other: each fourth is long, below the site's
/// largest prompt.
fn own_tokens(number: u64) -> u32 {
    if number.is_multiple_of(4) {
        49_000
    } else {
        4_000
    }
}

/// Requests at which an engine still worked so long after another one had begun on them.
fn doubled(runs: &[Run]) -> Vec<(Run, Run)> {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    let mut doubled = Vec::new();
    for runs in by_request.values_mut() {
        runs.sort_by_key(|run| run.arrived_ms);
        for pair in runs.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            if first.engine != second.engine && first.ended_ms > second.first_ms + BOTH_MS {
                doubled.push((first.clone(), second.clone()));
            }
        }
    }
    doubled
}

pub fn play(record: &'static Record, with_trouble: bool) -> Outcome {
    let store = Store::new(record);
    store.put("keyed.op", "op/config", &configuration());
    let weights = "{\"Model\":\"daka510000\",\"Version\":1}";
    store.put("keyed.op", "op/version/daka510000", weights);
    let work = Work {
        first: Duration::from_millis(10),
        tokens_per_ms: 101,
        events: 64,
        pause: Duration::from_millis(20),
        slots: 64,
        queue: 192,
    };
    let zones = ["karlovac-a", "karlovac-b", "zagreb-c"];
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-{number:08x}");
            Engine::start(record, &id, "llm", zones[number % 3], work.clone())
        })
        .collect();
    engines.iter().for_each(|engine| engine.register(&store));
    keep_registered(&engines, &store, |_| true);
    let nodes = match nodes::start(record, &store, NODES) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::Impossible(reason),
    };
    engines[4].go_on();
    let begun = record.now_ms();
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let clients = std::thread::spawn(move || {
        let mut open = Vec::new();
        for number in 0..STREAMS_PER_S * ENDS_AT / 1_000 {
            sleep_until(record, begun + number * 1_000 / STREAMS_PER_S);
            let front = fronts[number as usize % NODES];
            open.push(std::thread::spawn(move || {
                let parts = [
                    (format!("{:x}", 0x1000 + number % 3), 512),
                    (format!("{:x}", 0x2000 + number % 75), 4_870),
                    (format!("{:x}", 0x10_0000 + number), own_tokens(number)),
                ];
                let call = Call {
                    node: front,
                    line: "POST /draft/x",
                    key: KEYS[0],
                    deadline_ms: 15_000,
                    headers: prompt(&parts, 64),
                    body: b"a schedule",
                };
                u64::from(send(record, &call).is_whole)
            }));
        }
        open.into_iter()
            .map(|client| client.join().unwrap_or(0))
            .sum::<u64>()
    });
    if with_trouble {
        sleep_until(record, begun + SLOW.0);
        engines[4].set_slowness(SLOWNESS);
        for at in SILENT_AT {
            sleep_until(record, begun + at);
            engines[4].fall_silent(SILENCE);
        }
        sleep_until(record, begun + SLOW.1);
        engines[4].set_slowness(1);
    }
    let whole = clients.join().unwrap_or(0);
    // The last runs of an engine that goes on by itself.
    std::thread::sleep(Duration::from_secs(3));
    let runs: Vec<Run> = engines.iter().flat_map(Engine::runs).collect();
    let doubled = doubled(&runs);
    record.say(format!(
        "streams whole {whole}, runs {}; two engines worked on one request for over {BOTH_MS} ms: {}",
        runs.len(),
        doubled.len()
    ));
    for (first, second) in &doubled {
        record.say(format!("{first:?}, then {second:?}"));
    }
    if whole < 100 {
        return Outcome::Impossible("too few streams were whole".to_owned());
    }
    if doubled.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
