//! Case 11: clients that name many prompt parts, within the limits of the configuration.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::clients::{Call, KEYS, configuration, prompt, send};
use crate::engine::{Engine, Work, keep_registered};
use crate::nodes::{self, MEMORY_MB};
use crate::store::Store;
use crate::{Outcome, Record, sleep_until};

/// Ordinary clients, clients that name many parts, and the pause of each between two requests.
const ORDINARY: usize = 6;
const NAMING_MANY: usize = 6;
const PAUSE: Duration = Duration::from_millis(60);

/// Parts of such a prompt: with them the head of the request is below `MaxHeaderBytes`, 16,384.
const PARTS: u64 = 1_650;

/// Time at which these clients begin and end, since the nodes are ready.
const TROUBLE_MS: (u64, u64) = (3_000, 23_000);

/// Memory of a process, in bytes.
fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

pub fn play(record: &'static Record, with_trouble: bool) -> Outcome {
    let store = Store::new(record);
    store.put("keyed.op", "op/config", &configuration());
    store.put(
        "keyed.op",
        "op/version/daka510000",
        "{\"Model\":\"daka510000\",\"Version\":1}",
    );
    let work = Work {
        first: Duration::from_millis(80),
        tokens_per_ms: 0,
        events: 4,
        pause: Duration::from_millis(20),
        slots: 64,
        queue: 192,
    };
    let zones = ["karlovac-a", "karlovac-b", "zagreb-c"];
    let engines: Vec<Engine> = (0..9)
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
    keep_registered(&engines, &store, |_| true);
    let mut nodes = match nodes::start(record, &store, 2) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::Impossible(reason),
    };
    let begun = record.now_ms();
    let is_over = Arc::new(AtomicBool::new(false));
    let is_trouble = Arc::new(AtomicBool::new(false));
    let part = Arc::new(AtomicU64::new(0x100_0000));
    let front = nodes[0].front;
    let mut clients = Vec::new();
    for client in 0..ORDINARY + NAMING_MANY {
        let (is_over, is_trouble, part) = (is_over.clone(), is_trouble.clone(), part.clone());
        let (is_ordinary, count) = if client < ORDINARY {
            (true, 3)
        } else {
            (false, PARTS)
        };
        clients.push(std::thread::spawn(move || {
            let mut answered = 0;
            while !is_over.load(Ordering::Relaxed) {
                if !is_ordinary && !is_trouble.load(Ordering::Relaxed) {
                    std::thread::sleep(PAUSE);
                    continue;
                }
                let first = part.fetch_add(count, Ordering::Relaxed);
                let parts: Vec<_> = (first..first + count)
                    .map(|id| (format!("{id:x}"), 1))
                    .collect();
                let answer = send(
                    record,
                    &Call {
                        node: front,
                        line: "POST /check/x",
                        key: KEYS[client % 2],
                        deadline_ms: 3_000,
                        headers: prompt(&parts, 4),
                        body: b"a question",
                    },
                );
                answered += u64::from(is_ordinary && answer.status == 200);
                std::thread::sleep(PAUSE);
            }
            answered
        }));
    }
    let mut most = vec![0; nodes.len()];
    let mut ended = false;
    let mut at = 0;
    while at < TROUBLE_MS.1 && !ended {
        at += 250;
        sleep_until(record, begun + at);
        is_trouble.store(with_trouble && at >= TROUBLE_MS.0, Ordering::Relaxed);
        for (node, most) in nodes.iter_mut().zip(&mut most) {
            let bytes = resident_bytes(node.pid());
            *most = bytes.max(*most);
            if at % 1_000 == 0 {
                record.say(format!("{} holds {} KB", node.name, bytes / 1024));
            }
            if node.has_ended() {
                record.say(format!("{} has ended by itself", node.name));
                ended = true;
            }
        }
        // The platform would have ended the process long ago.
        ended |= most.iter().any(|most| *most > MEMORY_MB * 1024 * 1024 * 2);
    }
    is_over.store(true, Ordering::Relaxed);
    let answered: u64 = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    record.say(format!(
        "ordinary requests answered: {answered}; most memory of each node in KB: {:?}",
        most.iter().map(|bytes| bytes / 1024).collect::<Vec<_>>()
    ));
    if answered < 50 && !with_trouble {
        return Outcome::Impossible("hardly any request was answered".to_owned());
    }
    if ended || most.iter().any(|most| *most > MEMORY_MB * 1024 * 1024) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
