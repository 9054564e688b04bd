//! Case 15: an engine crashes to which prompts of many parts have been sent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::clients::{Answer, Call, KEYS, configuration, prompt, send};
use crate::engine::{Engine, Work, keep_registered};
use crate::nodes;
use crate::store::Store;
use crate::{Outcome, Record, sleep_until};

const NODES: usize = 2;
const ENGINES: usize = 9;

/// Clients with long prompts, all at the first node, and the pause of each between two requests.
const LONG: u64 = 60;
const PAUSE: Duration = Duration::from_millis(250);

/// Shared parts of such a prompt and their tokens, and the tokens of its own part: about as many
/// as the site's prompts have.
const SHARED_PARTS: u64 = 2_600;
const SHARED_TOKENS: u32 = 2;
const OWN_TOKENS: u32 = 1_800;
const OUTPUT_TOKENS: u32 = 4;

/// `MaxHeaderBytes` of the configuration, and what the head has beside the parts at most.
const MAX_HEADER_BYTES: usize = 16_384;
const OTHER_HEADER_BYTES: usize = 500;

/// Bookings and look-ups a second at each node, about as many as on the site.
const ORDINARY_PER_S: u64 = 6;

/// `TimeoutMs` of the routes for them, and of the route for prompts.
const ORDINARY_TIMEOUT_MS: u64 = 1_500;
const PROMPT_TIMEOUT_MS: u64 = 3_000;

/// Time after its route's `TimeoutMs` by which a request has an answer, and time on the way in
/// favour of the nodes.
const ANSWER_MS: u64 = 500;
const TRANSIT_MS: u64 = 100;

/// Fewest unanswered requests that count.
const MIN_UNANSWERED: usize = 8;

/// Times since the nodes are ready.
const SILENT_AT: u64 = 6_000;
const SILENCE: Duration = Duration::from_millis(1_000);
const CRASH_AT: u64 = 7_000;
const ENDS_AT: u64 = 18_000;

/// A request that has ended, with the `TimeoutMs` of its route.
type Ended = (u64, Answer);

/// Client that sends long prompts, one after the other.
fn long_client(
    record: &'static Record,
    node: SocketAddr,
    number: u64,
    next_part: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
) -> JoinHandle<Vec<Ended>> {
    std::thread::spawn(move || {
        let mut ended = Vec::new();
        std::thread::sleep(PAUSE * number as u32 / LONG as u32);
        while !is_over.load(Ordering::Relaxed) {
            let shared = (0..SHARED_PARTS).map(|id| (format!("{:x}", 0x100 + id), SHARED_TOKENS));
            let own = next_part.fetch_add(1, Ordering::Relaxed);
            let parts: Vec<_> = shared.chain([(format!("{own:x}"), OWN_TOKENS)]).collect();
            let call = Call {
                node,
                line: "POST /check/x",
                key: KEYS[0],
                deadline_ms: PROMPT_TIMEOUT_MS,
                headers: prompt(&parts, OUTPUT_TOKENS),
                body: b"a question",
            };
            assert!(call.headers.len() + OTHER_HEADER_BYTES <= MAX_HEADER_BYTES);
            ended.push((PROMPT_TIMEOUT_MS, send(record, &call)));
            std::thread::sleep(PAUSE);
        }
        ended
    })
}

/// Bookings and look-ups in turn at one node, sent whether or not those before have an answer.
fn ordinary_clients(
    record: &'static Record,
    node: SocketAddr,
    begun: u64,
) -> JoinHandle<Vec<Ended>> {
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for number in 0..ORDINARY_PER_S * ENDS_AT / 1_000 {
            sleep_until(record, begun + number * 1_000 / ORDINARY_PER_S);
            open.push(std::thread::spawn(move || {
                let is_booking = number.is_multiple_of(2);
                let call = Call {
                    node,
                    line: if is_booking {
                        "POST /book/x"
                    } else {
                        "GET /look/x"
                    },
                    key: KEYS[1],
                    deadline_ms: 3_000,
                    headers: String::new(),
                    body: if is_booking { b"a pallet" } else { b"" },
                };
                (ORDINARY_TIMEOUT_MS, send(record, &call))
            }));
        }
        open.into_iter()
            .filter_map(|client| client.join().ok())
            .collect()
    })
}

/// Requests that had no answer at their route's `TimeoutMs`, and those of them that had none when
/// the rule asks for it.
fn unanswered(ended: &[Ended]) -> (usize, usize) {
    let later_than = |margin_ms: u64| {
        ended
            .iter()
            .filter(|(timeout_ms, answer)| {
                answer.ended_ms > answer.sent_ms + timeout_ms + margin_ms
            })
            .count()
    };
    (later_than(0), later_than(ANSWER_MS + TRANSIT_MS))
}

fn engines(record: &'static Record) -> Vec<Engine> {
    let model = Work {
        first: Duration::from_millis(10),
        tokens_per_ms: 101,
        events: 4,
        pause: Duration::from_millis(3),
        slots: 64,
        queue: 192,
    };
    let desk = Work {
        first: Duration::from_millis(60),
        tokens_per_ms: 0,
        events: 0,
        pause: Duration::ZERO,
        slots: 6,
        queue: 24,
    };
    let zones = ["karlovac-a", "karlovac-b", "zagreb-c"];
    let start = |number: usize, service, work: &Work| {
        let id = format!("i-{number:08x}");
        Engine::start(record, &id, service, zones[number % 3], work.clone())
    };
    let models = (0..ENGINES).map(|number| start(number, "llm", &model));
    let desks = (ENGINES..ENGINES + 3).map(|number| start(number, "desk", &desk));
    models.chain(desks).collect()
}

pub fn play(record: &'static Record, with_trouble: bool) -> Outcome {
    let store = Store::new(record);
    store.put("keyed.op", "op/config", &configuration());
    let weights = "{\"Model\":\"daka510000\",\"Version\":1}";
    store.put("keyed.op", "op/version/daka510000", weights);
    let engines = engines(record);
    engines.iter().for_each(|engine| engine.register(&store));
    let gone: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let ended = gone.clone();
    keep_registered(&engines, &store, move |engine| {
        !ended.lock().expect("no panic").contains(&engine.id())
    });
    let nodes = match nodes::start(record, &store, NODES) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::Impossible(reason),
    };
    let begun = record.now_ms();
    let is_over = Arc::new(AtomicBool::new(false));
    let next_part = Arc::new(AtomicU64::new(0x100_0000));
    let long: Vec<_> = (0..LONG)
        .map(|number| {
            let (next_part, is_over) = (next_part.clone(), is_over.clone());
            long_client(record, nodes[0].front, number, next_part, is_over)
        })
        .collect();
    let ordinary: Vec<_> = nodes
        .iter()
        .map(|node| ordinary_clients(record, node.front, begun))
        .collect();
    sleep_until(record, begun + SILENT_AT);
    // All prompts share their parts, so most of them go to one engine.
    let models = engines[..ENGINES].iter();
    let busiest = models
        .max_by_key(|engine| engine.arrivals().len())
        .expect("there are engines");
    busiest.fall_silent(SILENCE);
    sleep_until(record, begun + CRASH_AT);
    if with_trouble {
        gone.lock().expect("no panic").insert(busiest.id());
        busiest.crash();
    }
    sleep_until(record, begun + ENDS_AT);
    is_over.store(true, Ordering::Relaxed);
    let long: Vec<Ended> = long
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    let mut all = long.clone();
    let mut served = 0;
    for (node, clients) in nodes.iter().zip(ordinary) {
        let ended = clients.join().unwrap_or_default();
        let answered = ended.iter().filter(|(_, answer)| answer.status == 200);
        let answered = answered.count();
        let slowest = ended
            .iter()
            .map(|(_, answer)| answer.ended_ms - answer.sent_ms);
        let (due, late) = unanswered(&ended);
        record.say(format!(
            "{}: {answered} of {} bookings and look-ups served, {due} had no answer after {ORDINARY_TIMEOUT_MS} ms, {late} of them none {ANSWER_MS} ms later, the slowest {:?} ms",
            node.name,
            ended.len(),
            slowest.max()
        ));
        served += answered;
        all.extend(ended);
    }
    let answered = long.iter().filter(|(_, answer)| answer.status == 200);
    let answered = answered.count();
    let (due, late) = unanswered(&all);
    record.say(format!(
        "prompts served: {answered} of {}; of all requests {due} had no answer at their route's TimeoutMs, {late} of them none {ANSWER_MS} ms later",
        long.len()
    ));
    if served < 100 || answered < 100 {
        return Outcome::Impossible("too few requests were served".to_owned());
    }
    if late >= MIN_UNANSWERED && 2 * late > due {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
