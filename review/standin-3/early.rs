//! Case 13: a faulty server answers an upload early, without a length, and breaks the answer off.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::clients::{Answer, Call, KEYS, configuration, send};
use crate::engine::{Engine, Work, keep_registered, whole_body};
use crate::nodes;
use crate::store::Store;
use crate::{Outcome, Record, sleep_until};

const NODES: usize = 2;
const CLIENTS: usize = 8;

/// Size of a booking, far below `MaxBodyBytes`.
const BODY_BYTES: usize = 72_000;

/// One of three servers spoils one of so many of its answers.
const SPOILS_EACH: u64 = 50;

/// Times since the nodes are ready at which it is faulty, each time for 5.5 s.
const FAULTY_AT: [u64; 3] = [2_000, 10_000, 18_000];
const FAULTY_MS: u64 = 5_500;
const ENDS_AT: u64 = 25_000;

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
            let id = format!("i-{number:08x}");
            Engine::start(record, &id, "desk", zones[number], work.clone())
        })
        .collect();
    engines.iter().for_each(|engine| engine.register(&store));
    keep_registered(&engines, &store, |_| true);
    let nodes = match nodes::start(record, &store, NODES) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::Impossible(reason),
    };
    let begun = record.now_ms();
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = nodes[client % NODES].front;
            let (is_over, answers) = (is_over.clone(), answers.clone());
            std::thread::spawn(move || {
                let body = vec![b'b'; BODY_BYTES];
                while !is_over.load(Ordering::Relaxed) {
                    let answer = send(
                        record,
                        &Call {
                            node: front,
                            line: "POST /book/x",
                            key: KEYS[client % 2],
                            deadline_ms: 3_000,
                            headers: String::new(),
                            body: &body,
                        },
                    );
                    answers.lock().expect("no panic").push(answer);
                    std::thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    if with_trouble {
        for at in FAULTY_AT {
            sleep_until(record, begun + at);
            engines[1].spoil(Some(SPOILS_EACH));
            sleep_until(record, begun + at + FAULTY_MS);
            engines[1].spoil(None);
        }
    }
    sleep_until(record, begun + ENDS_AT);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().expect("no panic");
    let successes = answers.iter().filter(|answer| answer.status == 200);
    let successes: Vec<&Answer> = successes.filter(|answer| answer.is_whole).collect();
    let parts: Vec<String> = successes
        .iter()
        .filter(|answer| answer.body != whole_body(&answer.request).as_bytes())
        .map(|answer| {
            let (bytes, signed) = (answer.body.len(), answer.is_signed);
            format!(
                "{}: 200, signed {signed}, complete with {bytes} of 800 bytes",
                answer.request
            )
        })
        .collect();
    record.say(format!(
        "bookings {}, answered with 200 as complete {}, of these with a part only {}; spoilt by the server {}",
        answers.len(),
        successes.len(),
        parts.len(),
        engines[1].spoilt().len()
    ));
    parts.iter().for_each(|line| record.say(line));
    if successes.len() < 100 {
        return Outcome::Impossible("too few answers".to_owned());
    }
    if parts.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
