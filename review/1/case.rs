//! Engines that are full for a moment refuse requests, and one of them sends some of its
//! refusals a second time, late. Requests that may run once are sent again to the same engine.

#[path = "../standin/harness.rs"]
mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Requests that an engine runs at once, and those that wait for it.
const SLOTS: usize = 2;
const QUEUE: usize = 1;
/// Part of the faulty engine's answers that it sends a second time: `x` of `garble` in the
/// site file of kalup-karlovac.
const COPY_SHARE: f64 = 0.03;
/// Length of the disruption: `for_s` of the same line.
const TROUBLE_S: u64 = 5;
/// The disruption comes more than once, with a pause between.
const TIMES: u64 = 4;
const PAUSE_S: u64 = 6;
/// Time until an engine has read a prompt and makes the first token.
const READ_MS: u64 = 6;
const EVENTS: u64 = 2;
const EVENT_MS: u64 = 3;
const NODES: usize = 9;
/// Clients, which send in clumps, and the pause between two of these.
const CLIENTS: usize = 9;
/// Clients that send in each clump; the others send in every sixth one.
const STEADY: usize = 4;
const LARGE_CLUMP: u64 = 13;
const CLUMP_MS: u64 = 30;

struct Engine {
    id: String,
    address: SocketAddr,
    /// Requests that run, and all that are in.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    faulty: bool,
    in_trouble: Arc<AtomicBool>,
    /// Answers since the disruption began, and copies among them.
    answers: AtomicU64,
    copies: AtomicU64,
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    record: Record,
}

impl Engine {
    fn entry(&self) -> String {
        format!(
            "{{\"Service\":\"planning\",\"Address\":\"{}\",\"Zone\":\"karlovac-a\",\"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\
             \"ColdLeftMs\":0,\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"planner\",\"Version\":1,\"Adapters\":[]}}],\"Seq\":1,\"born\":1000}}",
            self.address
        )
    }

    /// True if this answer is sent a second time: no more than [`COPY_SHARE`] of all.
    fn takes_copy(&self) -> bool {
        if !self.faulty || !self.in_trouble.load(Ordering::Relaxed) {
            return false;
        }
        let (answers, copies) = (self.answers.load(Ordering::Relaxed), self.copies.load(Ordering::Relaxed));
        let takes = (copies + 1) as f64 <= COPY_SHARE * answers as f64;
        if takes {
            self.copies.fetch_add(1, Ordering::Relaxed);
        }
        takes
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        // The second copy of an answer, sent where the next answer is expected.
        let mut late_copy: Option<(String, Vec<u8>)> = None;
        while let Some(request) = read_request(&mut reader) {
            let id = request.field("request-id").unwrap_or("").to_owned();
            if let Some((of, copy)) = late_copy.take() {
                self.record.line(&format!("{} sends the refusal of {of} a second time; {id} was sent on the connection", self.id));
                if writer.write_all(&copy).is_err() {
                    return;
                }
            }
            match request.path() {
                "/report" => {
                    let running = self.load.lock().unwrap().0;
                    let body = format!("{{\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"planner\",\"Version\":1,\"Adapters\":[]}}],\"Busy\":false,\
                        \"Seq\":0,\"Queued\":0,\"Running\":{running},\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"born\":1000}}");
                    if writer.write_all(&response(200, &[("Content-Type", "application/json".into())], body.as_bytes())).is_err() {
                        return;
                    }
                    continue;
                }
                "/kv-events" => {
                    let body = b"{\"BootEpoch\":1,\"NextToken\":0,\"Lost\":false,\"Events\":[]}";
                    if writer.write_all(&response(200, &[], body)).is_err() {
                        return;
                    }
                    continue;
                }
                _ => {}
            }
            if request.field("expect-instance") != Some(self.id.as_str()) {
                let fields = [("Request-Id", id), ("Instance-Id", self.id.clone())];
                if writer.write_all(&response(421, &fields, b"")).is_err() {
                    return;
                }
                continue;
            }
            if self.in_trouble.load(Ordering::Relaxed) {
                self.answers.fetch_add(1, Ordering::Relaxed);
            }
            let is_full = {
                let mut load = self.load.lock().unwrap();
                let is_full = load.1 >= SLOTS + QUEUE;
                load.1 += usize::from(!is_full);
                is_full
            };
            if is_full {
                let refusal = response(503, &[("Request-Id", id.clone()), ("Not-Executed", "1".into())], b"");
                self.record.line(&format!("{} is full and refuses {id}", self.id));
                if self.takes_copy() {
                    late_copy = Some((id, refusal.clone()));
                }
                if writer.write_all(&refusal).is_err() {
                    return;
                }
                continue;
            }
            let goes_on = self.run(&id, reader.get_ref(), &mut writer);
            if !goes_on {
                return;
            }
        }
    }

    /// Runs a request that is in; returns false if its connection has closed.
    fn run(&self, id: &str, stream: &TcpStream, writer: &mut TcpStream) -> bool {
        {
            let mut load = self.load.lock().unwrap();
            while load.0 >= SLOTS {
                load = self.freed.wait(load).unwrap();
            }
            load.0 += 1;
        }
        let goes_on = self.write_events(id, stream, writer);
        let mut load = self.load.lock().unwrap();
        load.0 -= 1;
        load.1 -= 1;
        self.freed.notify_one();
        goes_on
    }

    fn write_events(&self, id: &str, stream: &TcpStream, writer: &mut TcpStream) -> bool {
        sleep(ms(READ_MS));
        // An engine drops a request whose connection has closed.
        if is_closed(stream) {
            self.record.line(&format!("{} drops {id}: its connection has closed", self.id));
            return false;
        }
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(self.id.clone());
        self.record.line(&format!("{} runs {id}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\n\
             Response-Signature: signed-by-{}\r\nWeight-Versions: 1\r\n\r\n",
            self.id
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            if writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
            sleep(ms(EVENT_MS));
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    closed
}

fn main() {
    let folder = Path::new(file!()).parent().unwrap_or(Path::new(".")).to_owned();
    let folder = if folder.is_dir() { folder } else { Path::new("review/1").to_owned() };
    std::process::exit(run(&folder));
}

fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or_else(unix_ms);
    let mut random = Random::new(seed);
    record.say(&format!("seed {seed}, trouble {}", trouble()));
    let temporary = Folder::new();
    let mut addresses = Addresses::new(&mut random);
    let store = Store::start(SocketAddr::new(addresses.next(), 8784));
    let in_trouble = Arc::new(AtomicBool::new(false));
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let routes = [route("tag", "/tag/", "stream", "planning", 3_000, 400, 1, false)];
    store.put("keyed.op", "config", &configuration(1, &routes).replace("\"Slots\":64", &format!("\"Slots\":{SLOTS}")));
    for number in 1..=2 {
        let engine = Arc::new(Engine {
            id: format!("i-engine{number}"),
            address: SocketAddr::new(addresses.next(), 8080),
            load: Mutex::default(),
            freed: Condvar::new(),
            faulty: number == 1,
            in_trouble: in_trouble.clone(),
            answers: AtomicU64::new(0),
            copies: AtomicU64::new(0),
            runs: runs.clone(),
            record: record.clone(),
        });
        store.put("keyed.servers", &engine.id, &engine.entry());
        serve(engine.address, move |stream| engine.serve(stream));
    }
    let mut nodes: Vec<Node> = Vec::new();
    for number in 1..=NODES {
        let ip = addresses.next();
        let seeds: Vec<SocketAddr> = nodes.iter().map(Node::control).collect();
        let seeds = &seeds[..seeds.len().min(3)];
        let name = format!("front-karlovac-a-{number}");
        let text = settings(&name, ip, "karlovac-a", seeds, store.address, true);
        nodes.push(Node::start(&temporary.0, &name, ip, &text));
    }
    nodes.iter().for_each(Node::wait_ready);
    sleep(ms(1_500));
    // Clients come until the end of the disruption.
    let begins_at = Instant::now();
    let ends_at = Instant::now() + Duration::from_secs(1 + TIMES * (TROUBLE_S + PAUSE_S));
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, answers, record) = (nodes[client % NODES].front(), answers.clone(), record.clone());
            spawn(move || {
                for number in 0.. {
                    let clump_at = begins_at + ms(CLUMP_MS * number);
                    if clump_at >= ends_at {
                        return;
                    }
                    if client >= STEADY && number % LARGE_CLUMP != 0 {
                        continue;
                    }
                    sleep(clump_at.saturating_duration_since(Instant::now()));
                    let id = format!("c{client}-{number}");
                    let head = format!(
                        "POST /tag/a HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n\
                         Model: planner\r\nToken-Usage: 40,4\r\nPrefix-Hash: {client:x}{number:04x}:40\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
                    );
                    let answer = send(front, &head, b"body", ms(3_500));
                    record.line(&format!("{id} is answered {}", answer.status()));
                    answers.lock().unwrap().push((id, answer.status()));
                }
            })
        })
        .collect();
    for _ in 0..TIMES {
        sleep(Duration::from_secs(PAUSE_S));
        if trouble() {
            record.line("the disruption begins");
            in_trouble.store(true, Ordering::Relaxed);
        }
        sleep(Duration::from_secs(TROUBLE_S));
        in_trouble.store(false, Ordering::Relaxed);
        record.line("the disruption ends");
    }
    for client in clients {
        let _ = client.join();
    }
    sleep(ms(1_000));
    drop(nodes);
    let runs = runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, at): &(&String, &Vec<String>)| at.len() > 1).collect();
    let refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(id))
        .collect();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    record.say(&format!("{} requests, {served} served, {} ran more than once, {} were refused and ran", answers.len(), twice.len(), refused.len()));
    for (id, at) in &twice {
        record.say(&format!("TWICE: {id} ran at {}", at.join(", ")));
    }
    for (id, status) in &refused {
        record.say(&format!("REFUSED: {id} was answered {status} and ran at {}", runs[id].join(", ")));
    }
    if served == 0 {
        return NOT_RUN;
    }
    if twice.is_empty() && refused.is_empty() { 0 } else { BROKEN }
}
