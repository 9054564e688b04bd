//! Stand-ins of the platform's store, of endpoints and of clients, and the start of nodes, for
//! the cases of the second review. It uses the standard library alone.
//!
//! The store is a thread of the case. Endpoints are processes: the program of a case starts
//! itself again with the word `endpoint`, so that they can be killed, stopped and continued.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Exit status: the rule held.
pub const HELD: i32 = 0;
/// Exit status: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status: the case could not run.
pub const NOT_RUN: i32 = 2;

/// Time for which a case waits for something that has to come.
const WAIT_TIME: Duration = Duration::from_secs(15);

/// Word of the deploy file's command that starts a node, and its arguments.
const NODE_PROGRAM: &str = "target/release/flamingolock";
const NODE_ARGUMENTS: [&str; 3] = ["entry", "--metrics-port", "9464"];

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// True unless the variable `TROUBLE` is 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:8.3} {text}");
    }
}

/// Polls until `done` is true. False if that takes too long.
pub fn wait_for(mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + WAIT_TIME;
    while Instant::now() < until {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

// ---- HTTP ----

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers by name in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

fn is_chunked(message: &Message) -> bool {
    message.header("transfer-encoding").is_some()
}

fn content_length(message: &Message) -> usize {
    let length = message.header("content-length");
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if is_chunked(&message) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    } else {
        message.body = vec![0; content_length(&message)];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Serves each connection by a thread of its own, until the handler returns false.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !matches!(handler(&request, &mut writer), Ok(true)) {
                        let _ = writer.shutdown(Shutdown::Write);
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

fn json_response(stream: &mut TcpStream, status: &str, era: u64, body: &str) -> io::Result<bool> {
    let era = era.to_string();
    let headers = [
        ("Content-Type", "application/json"),
        ("Store-Era", era.as_str()),
    ];
    respond(stream, status, &headers, body.as_bytes())
}

/// Parameters of a query.
fn query(target: &str) -> HashMap<&str, String> {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name, decoded(value))).collect()
}

fn decoded(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        if *first == b'%' && after.len() >= 2 {
            let code = std::str::from_utf8(&after[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(code, 16).unwrap_or(b' '));
            rest = &after[2..];
        } else {
            bytes.push(*first);
            rest = after;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for place in 0..4 {
            if place <= group.len() {
                text.push(char::from(SIGNS[(word >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---- the platform's store ----

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
    era: u64,
    is_down: bool,
    /// Ports of clients, and when each last read a topic.
    reads: BTreeMap<String, Instant>,
}

/// The platform's store, which keeps all records.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(StoreState::default()));
        let shared = state.clone();
        serve(listener, move |request, stream| {
            handle_store(&shared, request, stream)
        });
        Ok(Self { address, state })
    }

    /// Writes a keyed record, as the operator and the endpoints do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = lock(&self.state);
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push(keyed(key, value.as_bytes()));
    }

    /// Rejects all calls, or serves them again.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.state).is_down = is_down;
    }

    /// When a topic was last read by a node.
    pub fn read_at(&self, topic: &str) -> Option<Instant> {
        lock(&self.state).reads.get(topic).copied()
    }

    /// Number of records of a topic.
    pub fn len(&self, topic: &str) -> usize {
        lock(&self.state).topics.get(topic).map_or(0, Vec::len)
    }
}

fn handle_store(
    state: &Mutex<StoreState>,
    request: &Message,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let (_, target) = request.request();
    let path = target.split('?').next().unwrap_or("");
    let query = query(target);
    let topic = query.get("Topic").cloned().unwrap_or_default();
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let era = {
        let mut state = lock(state);
        if state.is_down {
            drop(state);
            return json_response(stream, "503 Service Unavailable", 0, "{}");
        }
        if path != "/log-append" && path != "/endpoint-entry" {
            state.reads.insert(topic.clone(), Instant::now());
        }
        state.era
    };
    match path {
        "/log-newest" => {
            let after = query.get("after").cloned();
            let body = newest_page(&lock(state), &topic, after.as_deref());
            json_response(stream, "200 OK", era, &body)
        }
        "/log-read" => {
            let from = number("From").unwrap_or(0) as usize;
            let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
            loop {
                let page = read_page(&lock(state), &topic, from, Instant::now() >= until);
                match page {
                    Err(()) => return json_response(stream, "410 Gone", era, "{\"First\":0}"),
                    Ok(Some(page)) => {
                        let era = era.to_string();
                        return respond(stream, "200 OK", &[("Store-Era", &era)], &page);
                    }
                    Ok(None) => thread::sleep(Duration::from_millis(5)),
                }
            }
        }
        "/log-append" => {
            if matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
                return json_response(stream, "403 Forbidden", era, "{}");
            }
            let (status, body) = append(&mut lock(state), topic, number("At"), &request.body);
            json_response(stream, status, era, &body)
        }
        // How the stand-ins of endpoints write their entries.
        "/endpoint-entry" => {
            let key = query.get("Key").cloned().unwrap_or_default();
            let mut state = lock(state);
            let records = state.topics.entry("keyed.servers".to_owned()).or_default();
            records.push(keyed(&key, &request.body));
            drop(state);
            json_response(stream, "200 OK", era, "{}")
        }
        _ => json_response(stream, "404 Not Found", era, "{}"),
    }
}

fn newest_page(state: &StoreState, topic: &str, after: Option<&str>) -> String {
    let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
    let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            newest.remove(&key);
        } else {
            newest.insert(key, (offset, value));
        }
    }
    let left = newest
        .iter()
        .filter(|(key, _)| after.map_or(true, |after| key.as_str() > after));
    let items: Vec<String> = left
        .map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
        })
        .collect();
    let (items, end) = (items.join(","), records.len());
    format!("{{\"items\":[{items}],\"HasMore\":false,\"End\":{end}}}")
}

/// Records from an offset on; none if there are none yet and the call has time left.
fn read_page(
    state: &StoreState,
    topic: &str,
    from: usize,
    is_due: bool,
) -> Result<Option<Vec<u8>>, ()> {
    let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
    if from > records.len() {
        return Err(());
    }
    if from == records.len() && !is_due {
        return Ok(None);
    }
    let mut page = (records.len() as u64).to_be_bytes().to_vec();
    page.extend_from_slice(&0u64.to_be_bytes());
    for record in &records[from..] {
        page.extend_from_slice(&(record.len() as u32).to_be_bytes());
        page.extend_from_slice(record);
    }
    Ok(Some(page))
}

fn append(
    state: &mut StoreState,
    topic: String,
    at: Option<u64>,
    mut body: &[u8],
) -> (&'static str, String) {
    let records = state.topics.entry(topic).or_default();
    let offset = records.len() as u64;
    if at.is_some_and(|at| at != offset) {
        return ("412 Precondition Failed", format!("{{\"End\":{offset}}}"));
    }
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        records.push(body[4..4 + length].to_vec());
        body = &body[4 + length..];
    }
    let end = records.len();
    ("200 OK", format!("{{\"Offset\":{offset},\"End\":{end}}}"))
}

// ---- endpoints ----

/// How an endpoint process is started.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    pub id: String,
    pub service: String,
    /// Software version, which each event states.
    pub build: String,
    /// Start time in Unix milliseconds.
    pub born: u64,
    /// Address in its entry.
    pub address: SocketAddr,
    /// Address at which it listens: the same, unless a link stands before it.
    pub listen: SocketAddr,
    /// Number of events of a stream; 0 for an application server.
    pub events: u64,
    pub pause_ms: u64,
    pub slots: u64,
    /// Time in the middle of the body of a whole answer whose end only the end of its
    /// connection marks; 0 if its length is stated.
    pub unframed_ms: u64,
    /// How it behaves when it is full; none if it takes any number of requests.
    pub full: Option<FullSpec>,
}

/// An engine that takes as many streams at once as it has slots. It refuses those beyond, and
/// sends some of these refusals a second time, where the next response on the connection is due.
#[derive(Clone, Copy, Debug)]
pub struct FullSpec {
    /// Time from the start of a run to its head and first event.
    pub prefill_ms: u64,
    /// One answer in so many may be sent twice; 0 if none is.
    pub answers_per_copy: u64,
}

/// Interval at which an endpoint writes its entry: `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Failed writes of its entry in a row after which an endpoint ends.
const MOST_FAILURES: u32 = 5;

/// An endpoint that is a process of its own, killed on drop.
pub struct EndpointProcess {
    pub spec: EndpointSpec,
    child: Option<Child>,
    store: SocketAddr,
    log: PathBuf,
}

impl EndpointProcess {
    /// Starts the process and waits until it listens.
    pub fn start(spec: EndpointSpec, store: SocketAddr, dir: &Path) -> io::Result<Self> {
        let log = dir.join(format!("{}.log", spec.id));
        let mut process = Self {
            spec,
            child: None,
            store,
            log,
        };
        process.spawn()?;
        Ok(process)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let spec = &self.spec;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(std::env::current_exe()?)
            .args(["endpoint", &spec.id, &spec.service, &spec.build])
            .args([spec.born.to_string(), spec.address.to_string()])
            .arg(spec.listen.to_string())
            .args([spec.events, spec.pause_ms, spec.slots].map(|number| number.to_string()))
            .args([spec.unframed_ms.to_string(), self.store.to_string()])
            .args(spec.full.map_or(Vec::new(), |full| {
                [full.prefill_ms, full.answers_per_copy]
                    .map(|number| number.to_string())
                    .to_vec()
            }))
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        let address = self.spec.listen;
        if !wait_for(|| TcpStream::connect(address).is_ok()) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts it again at its address and under its id, with this software version.
    pub fn restart(&mut self, build: &str, born: u64) -> io::Result<()> {
        self.kill();
        self.spec.build = build.to_owned();
        self.spec.born = born;
        self.spawn()
    }

    /// Sends a signal, named as in `kill -NAME`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            send_signal(child.id(), name);
        }
    }

    /// What the process has written: a line for each run, order and end.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for EndpointProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn send_signal(process: u32, name: &str) {
    let process = process.to_string();
    let _ = Command::new("kill")
        .args([&format!("-{name}"), &process])
        .status();
}

fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// Current time as an endpoint states it.
pub fn born_now() -> u64 {
    unix_ms() as u64
}

/// State of an endpoint process.
struct Endpoint {
    spec: EndpointSpec,
    weights: u64,
    accepted: u64,
    running: u64,
    /// Number of its answers to requests, and of second copies among them.
    answers: u64,
    copies: u64,
    /// Clients' ends of the connections on which a second copy comes next.
    due_copies: BTreeMap<SocketAddr, String>,
    started: Instant,
}

/// An engine sends second copies for so long of each period: `for_s` of the site.
const COPIES_TIME: Duration = Duration::from_secs(5);
const COPIES_PERIOD: Duration = Duration::from_secs(8);

const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Serves a stream at an engine that may be full.
fn serve_full(
    endpoint: &Mutex<Endpoint>,
    full: FullSpec,
    id: &str,
    after: u64,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let client = stream.peer_addr()?;
    let (spec, weights, copy, is_full) = {
        let mut endpoint = lock(endpoint);
        endpoint.answers += 1;
        let is_full = endpoint.running >= endpoint.spec.slots;
        // The copy is late: it comes where the engine runs the next request.
        let copy = if is_full {
            None
        } else {
            endpoint.running += 1;
            due_copy(&mut endpoint, full, client)
        };
        (endpoint.spec.clone(), endpoint.weights, copy, is_full)
    };
    if let Some(refused) = copy {
        println!(
            "{} second copy of the refusal of {refused}, where the answer to {id} is due",
            unix_ms()
        );
        stream.write_all(REFUSAL)?;
    }
    if is_full {
        println!("{} refused {id}", unix_ms());
        lock(endpoint).due_copies.insert(client, id.to_owned());
        stream.write_all(REFUSAL)?;
        return Ok(true);
    }
    println!(
        "{} run {id} at {} {} after {after}",
        unix_ms(),
        spec.id,
        spec.build
    );
    let is_left = is_left_within(stream, Duration::from_millis(full.prefill_ms));
    let outcome = match is_left {
        true => Err(io::ErrorKind::ConnectionAborted.into()),
        false => write_events(stream, &spec, id, weights, after),
    };
    lock(endpoint).running -= 1;
    println!("{} end {id} {}", unix_ms(), outcome.is_ok());
    outcome
}

/// Returns whose refusal comes a second time on this connection now, if any may.
fn due_copy(endpoint: &mut Endpoint, full: FullSpec, client: SocketAddr) -> Option<String> {
    let elapsed = endpoint.started.elapsed().as_millis();
    let is_time = elapsed % COPIES_PERIOD.as_millis() < COPIES_TIME.as_millis();
    let refused = endpoint.due_copies.remove(&client);
    let per_copy = full.answers_per_copy;
    let is_due = per_copy > 0 && is_time && (endpoint.copies + 1) * per_copy <= endpoint.answers;
    let refused = refused.filter(|_| is_due);
    endpoint.copies += u64::from(refused.is_some());
    refused
}

/// True if the client closes the connection within this time.
fn is_left_within(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let _ = stream.set_nonblocking(true);
    let mut is_left = false;
    while !is_left && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
        is_left = match stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
    }
    let _ = stream.set_nonblocking(false);
    is_left
}

/// Serves as an endpoint if the program was started as one. It ends with its parent.
pub fn serve_if_endpoint() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).map(String::as_str) != Some("endpoint") {
        return;
    }
    let number = |place: usize| arguments[place].parse::<u64>().expect("a number");
    let spec = EndpointSpec {
        id: arguments[2].clone(),
        service: arguments[3].clone(),
        build: arguments[4].clone(),
        born: number(5),
        address: arguments[6].parse().expect("an address"),
        listen: arguments[7].parse().expect("an address"),
        events: number(8),
        pause_ms: number(9),
        slots: number(10),
        unframed_ms: number(11),
        full: (arguments.len() > 14).then(|| FullSpec {
            prefill_ms: number(13),
            answers_per_copy: number(14),
        }),
    };
    let store: SocketAddr = arguments[12].parse().expect("an address");
    let listener = TcpListener::bind(spec.listen).expect("the address is free");
    let endpoint = Arc::new(Mutex::new(Endpoint {
        spec,
        weights: 1,
        accepted: 0,
        running: 0,
        answers: 0,
        copies: 0,
        due_copies: BTreeMap::new(),
        started: Instant::now(),
    }));
    let shared = endpoint.clone();
    // The entry stands before the first request is served.
    let mut beat = 1;
    write_entry(&endpoint, store, beat);
    serve(listener, move |request, stream| {
        handle_endpoint(&shared, request, stream)
    });
    let mut failures = 0;
    // The store is a part of the case, so when it is away for long, the case has ended.
    while failures < MOST_FAILURES {
        thread::sleep(HEARTBEAT);
        beat += 1;
        failures = if write_entry(&endpoint, store, beat) {
            0
        } else {
            failures + 1
        };
    }
    std::process::exit(0);
}

fn models(endpoint: &Endpoint) -> String {
    if endpoint.spec.events == 0 {
        return "[]".to_owned();
    }
    format!(
        "[{{\"Name\":\"planner\",\"Version\":{},\"Adapters\":[]}}]",
        endpoint.weights
    )
}

fn write_entry(endpoint: &Mutex<Endpoint>, store: SocketAddr, beat: u64) -> bool {
    let (id, entry) = {
        let endpoint = lock(endpoint);
        let EndpointSpec {
            id,
            service,
            build,
            born,
            address,
            slots,
            ..
        } = &endpoint.spec;
        let models = models(&endpoint);
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\"Version\":\"{build}\",\
             \"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"colocated\",\"Models\":{models},\
             \"Seq\":{beat},\"born\":{born}}}"
        );
        (id.clone(), entry)
    };
    let target = format!("/endpoint-entry?Key=servers/{id}");
    call(store, "POST", &target, &[], entry.as_bytes()).is_ok()
}

fn handle_endpoint(
    endpoint: &Mutex<Endpoint>,
    request: &Message,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let (_, target) = request.request();
    let (spec, weights) = {
        let endpoint = lock(endpoint);
        (endpoint.spec.clone(), endpoint.weights)
    };
    if request
        .header("expect-instance")
        .is_some_and(|id| id != spec.id)
    {
        return respond(
            stream,
            "421 Misdirected Request",
            &[("Instance-Id", &spec.id)],
            b"",
        );
    }
    let json = [("Content-Type", "application/json")];
    match target.split('?').next().unwrap_or("") {
        "/report" if spec.events > 0 => {
            let body = report(&lock(endpoint));
            return respond(stream, "200 OK", &json, body.as_bytes());
        }
        "/order" if spec.events > 0 => {
            let (status, body) = order(&mut lock(endpoint), &request.body);
            return respond(stream, status, &json, body.as_bytes());
        }
        "/kv-events" => {
            let body = b"{\"BootEpoch\":1,\"NextToken\":0,\"Lost\":false,\"Events\":[]}";
            return respond(stream, "200 OK", &json, body);
        }
        "/healthz" => return respond(stream, "200 OK", &[("Instance-Id", &spec.id)], b""),
        "/report" | "/order" => return respond(stream, "400 Bad Request", &[], b""),
        _ => {}
    }
    if request
        .header("expect-version")
        .is_some_and(|version| version != weights.to_string())
    {
        return respond(
            stream,
            "421 Misdirected Request",
            &[("Instance-Id", &spec.id)],
            b"",
        );
    }
    let id = request.header("request-id").unwrap_or("").to_owned();
    let tenant = request.header("tenant").unwrap_or("-").to_owned();
    let salt = request.header("cache-salt").unwrap_or("-").to_owned();
    let parts = request.header("prefix-hash").unwrap_or("-").to_owned();
    let after = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    if let Some(full) = spec.full {
        return serve_full(endpoint, full, &id, after, stream);
    }
    println!(
        "{} run {id} at {} {} tenant {tenant} salt {salt} parts {parts} after {after}",
        unix_ms(),
        spec.id,
        spec.build
    );
    let outcome = if spec.events == 0 {
        thread::sleep(Duration::from_millis(spec.pause_ms));
        let signature = format!("signed-by-{}", spec.id);
        if spec.unframed_ms > 0 {
            write_unframed(stream, &id, &signature, spec.unframed_ms)
        } else {
            let headers = [
                ("Request-Id", id.as_str()),
                ("Response-Signature", &signature),
            ];
            respond(stream, "200 OK", &headers, &whole_body(&id))
        }
    } else {
        write_events(stream, &spec, &id, weights, after)
    };
    println!("{} end {id} {}", unix_ms(), outcome.is_ok());
    outcome
}

/// Body of a whole answer to a request.
pub fn whole_body(id: &str) -> Vec<u8> {
    format!("done {id} ").repeat(40).into_bytes()
}

/// Writes a whole answer that ends with its connection.
fn write_unframed(
    stream: &mut TcpStream,
    id: &str,
    signature: &str,
    pause_ms: u64,
) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {signature}\r\nConnection: close\r\n\r\n"
    );
    let body = whole_body(id);
    let (first, rest) = body.split_at(body.len() / 2);
    stream.write_all(&[head.as_bytes(), first].concat())?;
    thread::sleep(Duration::from_millis(pause_ms));
    stream.write_all(rest)?;
    Ok(false)
}

fn report(endpoint: &Endpoint) -> String {
    format!(
        "{{\"Stage\":\"colocated\",\"Models\":{},\"Busy\":false,\"Seq\":{},\"Queued\":0,\"Running\":0,\
         \"KvUsed\":0,\"KvTotal\":100000,\"Handles\":0,\"born\":{}}}",
        models(endpoint), endpoint.accepted, endpoint.spec.born
    )
}

/// Returns a number of a JSON object that has no nested ones.
fn json_number(text: &str, field: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{field}\":"))?.1.trim_start();
    let end = rest
        .find(|sign: char| !sign.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn json_text<'a>(text: &'a str, field: &str) -> Option<&'a str> {
    let rest = text.split_once(&format!("\"{field}\":\""))?.1;
    rest.split('"').next()
}

fn order(endpoint: &mut Endpoint, body: &[u8]) -> (&'static str, String) {
    let text = String::from_utf8_lossy(body).into_owned();
    let (holder, token) = (
        json_text(&text, "Holder"),
        json_number(&text, "FencingToken"),
    );
    let version = json_number(&text, "Version");
    let (Some(holder), Some(token), Some(version)) = (holder, token, version) else {
        return ("400 Bad Request", "{}".to_owned());
    };
    let expected = json_number(&text, "Expect");
    println!(
        "{} order holder {holder} token {token} version {version} expect {expected:?} accepted {}",
        unix_ms(),
        endpoint.accepted
    );
    if expected.is_some_and(|expected| expected != endpoint.accepted) {
        return ("409 Conflict", "{}".to_owned());
    }
    if endpoint.weights == version {
        return ("200 OK", "{}".to_owned());
    }
    endpoint.weights = version;
    endpoint.accepted += 1;
    ("202 Accepted", "{}".to_owned())
}

fn write_events(
    stream: &mut TcpStream,
    spec: &EndpointSpec,
    id: &str,
    weights: u64,
    after: u64,
) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Request-Id: {id}\r\nResponse-Signature: signed-by-{}\r\nWeight-Versions: {weights}\r\n\r\n",
        spec.id
    );
    stream.write_all(head.as_bytes())?;
    for number in after + 1..=spec.events {
        thread::sleep(Duration::from_millis(spec.pause_ms));
        let event = format!(
            "id: {number}\ndata: token {number} {} {}\n\n",
            spec.build, spec.id
        );
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

// ---- links ----

/// A link to an endpoint, which can be cut: then it holds the bytes of both directions up, and the
/// ends of connections, until it heals.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    /// Number of bytes that have been passed on to the endpoint.
    passed: Arc<AtomicUsize>,
}

/// Interval at which a cut link looks whether it has healed.
const HEAL_INTERVAL: Duration = Duration::from_millis(1);

impl Link {
    /// Opens a link to the endpoint that listens at this address.
    pub fn start(endpoint: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let link = Self {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
            passed: Arc::default(),
        };
        let shared = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = shared.clone();
                thread::spawn(move || link.connect(near, endpoint));
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Number of bytes that have been passed on to the endpoint.
    pub fn passed(&self) -> usize {
        self.passed.load(Ordering::SeqCst)
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(HEAL_INTERVAL);
        }
    }

    fn connect(&self, near: TcpStream, endpoint: SocketAddr) {
        self.wait();
        let Ok(far) = TcpStream::connect(endpoint) else {
            return;
        };
        let (Ok(from_near), Ok(from_far)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let link = self.clone();
        thread::spawn(move || link.pass_on(from_near, far, &link.passed));
        self.pass_on(from_far, near, &AtomicUsize::default());
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream, passed: &AtomicUsize) {
        let _ = to.set_nodelay(true);
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            self.wait();
            match read {
                Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {
                    passed.fetch_add(count, Ordering::SeqCst);
                }
                _ => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
            }
        }
    }
}

// ---- clients ----

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Message> {
    let mut received = Received::default();
    let message = exchange(
        address,
        method,
        target,
        headers,
        body,
        WAIT_TIME,
        &mut received,
    )?;
    if !received.complete {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(message)
}

/// What a client has of a response.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// 0 without a response.
    pub status: u16,
    pub body: Vec<u8>,
    /// True if the body was received to its end.
    pub complete: bool,
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time: Duration,
    received: &mut Received,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    received.status = message.status();
    if is_chunked(&message) {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            received.body.extend(chunk);
        }
    } else {
        let mut rest = vec![0; content_length(&message)];
        reader.read_exact(&mut rest)?;
        received.body.extend(rest);
    }
    received.complete = true;
    message.body.clone_from(&received.body);
    Ok(message)
}

/// Requests something from a node as a client does, and returns what it has at the end.
pub fn request(
    node: SocketAddr,
    path: &str,
    id: &str,
    more: &[(&str, &str)],
    time: Duration,
) -> Received {
    let deadline = time.as_millis().to_string();
    let mut headers = vec![
        ("Host", "site.example"),
        ("Request-Id", id),
        ("Deadline-Ms", deadline.as_str()),
    ];
    headers.extend_from_slice(more);
    let mut received = Received::default();
    let _ = exchange(node, "POST", path, &headers, b"{}", time, &mut received);
    received
}

/// Number, software version and endpoint of an event.
pub type StreamEvent = (u64, String, String);

/// Returns the whole events of a body.
pub fn events(body: &[u8]) -> Vec<StreamEvent> {
    let text = String::from_utf8_lossy(body);
    let end = text.rfind("\n\n").map_or(0, |end| end + 2);
    let lines = text[..end]
        .lines()
        .filter_map(|line| line.strip_prefix("data: token "));
    let event = |line: &str| {
        let mut words = line.split(' ').map(str::to_owned);
        Some((words.next()?.parse().ok()?, words.next()?, words.next()?))
    };
    lines.filter_map(event).collect()
}

// ---- nodes ----

/// A node process, started with the command of the deploy file and killed on drop.
pub struct Node {
    child: Option<Child>,
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    ready: SocketAddr,
    pub front: SocketAddr,
    pub control: SocketAddr,
}

/// Address of the machine with this number; machines of cases that run side by side differ.
pub fn machine_ip(number: u8) -> IpAddr {
    let process = std::process::id();
    let (high, low) = (64 + (process >> 8) % 64, process % 254 + 1);
    Ipv4Addr::new(127, high as u8, low as u8, number).into()
}

impl Node {
    /// Starts the node with this number. `seeds` are control addresses of other nodes.
    pub fn start(
        number: u8,
        store: SocketAddr,
        seeds: &[SocketAddr],
        dir: &Path,
    ) -> io::Result<Self> {
        let ip = machine_ip(number);
        let [front, ready, control, directory, first] = free_ports(ip)?;
        let last = first.saturating_add(15);
        let name = format!("front-{number}");
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let text = format!(
            r#"Node = "{name}"
Role = "entry"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = "{ip}"
Zone = "zone-a"
Region = "region"
PortRange = [{first},{last}]
Seeds = [{seeds}]
Bootstrap = false
InTolerance = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[Zones]
zone-a = "region"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
Directory = "{ip}:{directory}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
SkewMaxMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 58
RecoveryS = 12
TransitMs = 120
ReuseWindowS = 10
RequireFence = false
LeaseMs = 3000
ThawMs = 300
VersionMs = 6000
VersionAllMs = 8400
ttl_max_s = 5
[Provider]
Address = "{store}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 16
AppendMs = 3.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"#
        );
        let settings = dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let mut node = Self {
            child: None,
            log: dir.join(format!("{name}.log")),
            settings,
            ready: SocketAddr::new(ip, ready),
            front: SocketAddr::new(ip, front),
            control: SocketAddr::new(ip, control),
            name,
        };
        node.spawn()?;
        Ok(node)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(NODE_PROGRAM)
            .args(NODE_ARGUMENTS)
            .env("FLAMINGOLOCK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// True once the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/readyz", &[], b"").is_ok_and(|message| message.status() == 200)
    }

    /// What the node has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal, named as in `kill -NAME`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            send_signal(child.id(), name);
        }
    }

    /// True while the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process again with its settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.spawn()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A route of the configuration, with its timeout and its target for the latency.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, target_ms: u64) -> String {
    let resumable = kind == "stream";
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"site.example\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{target_ms},\"Priority\":1,\"Service\":\"{service}\",\
         \"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":{resumable},\"GapAimMs\":600}}"
    )
}

/// A service of model engines.
pub fn engine_service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Engine\":{{\"Slots\":64,\
         \"KvCapacityTokens\":225338,\"TokenKvBytes\":163840.0,\"LinkMbps\":550000.0}}}}"
    )
}

/// A service of application servers.
pub fn plain_service(name: &str) -> String {
    format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":110}}")
}

/// A configuration with these routes and services, and two tenants that share nothing.
pub fn configuration(version: u64, routes: &[String], services: &[String]) -> String {
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[{services}],\"Limits\":{{\
         \"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"tenant-1\",\"ApiKeys\":[\"key-1\"],\"Isolated\":true}},\
         {{\"Name\":\"tenant-2\",\"ApiKeys\":[\"key-2\"],\"Isolated\":false}}]}}"
    )
}

// ---- a case ----

/// A temporary folder, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Free ports of an address.
fn free_ports<const COUNT: usize>(ip: IpAddr) -> io::Result<[u16; COUNT]> {
    let mut ports = [0; COUNT];
    // All are held until the last one is drawn, so that they differ.
    let mut listeners = Vec::new();
    for port in &mut ports {
        let listener = TcpListener::bind((ip, 0))?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    Ok(ports)
}

/// A free port of the local machine.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// Runs a case: `play` returns whether the rule was broken. The first argument is the path of
/// the record.
pub fn run_case(play: impl FnOnce(&Record, &Path) -> io::Result<bool>) -> ! {
    serve_if_endpoint();
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    let outcome = (|| {
        let record = Record::create(Path::new(&path))?;
        let folder = Folder::create()?;
        let is_broken = play(&record, &folder.0);
        match &is_broken {
            Ok(true) => record.line("RULE BROKEN"),
            Ok(false) => record.line("rule held"),
            Err(error) => record.line(&format!("the case could not run: {error}")),
        }
        is_broken
    })();
    match outcome {
        Ok(true) => std::process::exit(BROKEN),
        Ok(false) => std::process::exit(HELD),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(NOT_RUN)
        }
    }
}

/// Error of a case that could not run.
pub fn cannot_run(what: &str) -> io::Error {
    io::Error::other(what.to_owned())
}
