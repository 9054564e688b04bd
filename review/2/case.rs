//! A node that is cut off from the store and from the other nodes does not hear that engines
//! of another software version serve, and goes on with streams of theirs at its own version.

#[path = "../standin/harness.rs"]
mod harness;

use harness::*;
use std::collections::BTreeSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Events of a stream: the longest of `press-schedule-draft` in the site file.
const EVENTS: u64 = 187;
/// Pause between two events; the route allows 400 ms.
const EVENT_MS: u64 = 60;
/// Length of the cut: `for_s` of `node_cut` on the site's day scale-2.
const CUT_MS: u64 = 12_000;
const STREAMS: usize = 12;
const DEADLINE_MS: u64 = 15_000;
/// Streams of two software versions up to which the rule holds.
const ALLOWED: usize = 2;

struct Engine {
    id: String,
    address: SocketAddr,
    build: &'static str,
    record: Record,
}

impl Engine {
    fn entry(&self, state: &str, beat: u64) -> String {
        format!(
            "{{\"Service\":\"planning\",\"Address\":\"{}\",\"Zone\":\"karlovac-a\",\"Version\":\"{}\",\"Slots\":64,\"State\":\"{state}\",\
             \"ColdLeftMs\":0,\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"planner\",\"Version\":1,\"Adapters\":[]}}],\"Seq\":{beat},\"born\":1000}}",
            self.address, self.build
        )
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let id = request.field("request-id").unwrap_or("").to_owned();
            let written = match request.path() {
                "/report" => {
                    let body = "{\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"planner\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,\
                        \"Seq\":0,\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"born\":1000}";
                    writer.write_all(&response(200, &[("Content-Type", "application/json".into())], body.as_bytes()))
                }
                "/kv-events" => writer.write_all(&response(200, &[], b"{\"BootEpoch\":1,\"NextToken\":0,\"Lost\":false,\"Events\":[]}")),
                _ if request.field("expect-instance") != Some(self.id.as_str()) => {
                    writer.write_all(&response(421, &[("Request-Id", id), ("Instance-Id", self.id.clone())], b""))
                }
                _ => self.write_events(&id, &request, &mut writer),
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn write_events(&self, id: &str, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let after: u64 = request.field("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        self.record.line(&format!("{} ({}) runs {id} from event {} on", self.id, self.build, after + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\n\
             Response-Signature: signed-by-{}\r\nWeight-Versions: 1\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            sleep(ms(EVENT_MS));
            let event = format!("id: {number}\ndata: {} {number}\n\n", self.build);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// What a client has of a stream.
#[derive(Clone, Debug, Default)]
struct Received {
    last: u64,
    builds: BTreeSet<String>,
    complete: bool,
    status: u16,
}

impl Received {
    /// Takes the events of a body in chunks.
    fn take(&mut self, text: &str) {
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("id: ").and_then(|id| id.parse().ok()) {
                self.last = id;
            } else if let Some(data) = line.strip_prefix("data: ") {
                self.builds.insert(data.split(' ').next().unwrap_or("").to_owned());
            }
        }
    }
}

/// Sends one attempt and reads its events until its end.
fn attempt(address: SocketAddr, id: &str, more: &str, deadline: Instant, prompt: &str, received: &mut Received) {
    let left = deadline.saturating_duration_since(Instant::now());
    let head = format!(
        "POST /draft/a HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer key-1\r\n\
         Model: planner\r\nToken-Usage: 1000,187\r\nPrefix-Hash: {prompt}\r\n{more}Content-Length: 4\r\n\r\nbody",
        left.as_millis()
    );
    received.status = 0;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(1_000)) else { return };
    let _ = stream.set_read_timeout(Some(left.max(ms(1))));
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(answer)) = read_head(&mut reader) else { return };
    received.status = answer.status();
    let mut text = String::new();
    let mut part = [0; 4096];
    while let Ok(count) = reader.read(&mut part) {
        if count == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&part[..count]));
        if text.ends_with("\r\n0\r\n\r\n") {
            received.complete = answer.status() == 200;
            break;
        }
    }
    if answer.status() == 200 {
        // Only whole events count.
        let whole = text.rfind("\n\n").map_or(0, |end| end + 2);
        received.take(&text[..whole]);
    }
}

/// The addresses that the directory of a node names.
fn resolve(ip: std::net::IpAddr) -> Vec<SocketAddr> {
    let head = "GET /resolve?Name=site.example&Region=hr-central&Zone=zagreb-c HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    let answer = send(SocketAddr::new(ip, DIRECTORY), head, b"", ms(1_000));
    let text = answer.text();
    let addresses = text.split('"').filter_map(|part| part.parse().ok());
    if answer.status() == 200 { addresses.collect() } else { Vec::new() }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(Path::new("review/2"));
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or_else(unix_ms);
    let mut random = Random::new(seed);
    record.say(&format!("seed {seed}, trouble {}", trouble()));
    let temporary = Folder::new();
    let mut addresses = Addresses::new(&mut random);
    let store = Store::start(SocketAddr::new(addresses.next(), 8784));
    let routes = [route("draft", "/draft/", "stream", "planning", DEADLINE_MS, 600, 2, true)];
    store.put("keyed.op", "config", &configuration(1, &routes));
    let mut engine = |id: &str, build: &'static str| {
        let engine = Arc::new(Engine { id: id.to_owned(), address: SocketAddr::new(addresses.next(), 8080), build, record: record.clone() });
        let served = engine.clone();
        serve(engine.address, move |stream| served.serve(stream));
        engine
    };
    let old = [engine("i-old1", "v1"), engine("i-old2", "v1"), engine("i-old3", "v1")];
    let new = [engine("i-new1", "v2"), engine("i-new2", "v2")];
    for engine in &old {
        store.put("keyed.servers", &engine.id, &engine.entry("ready", 1));
    }
    let links = Links::default();
    let cuts = [Cut::default(), Cut::default(), Cut::default()];
    let mut nodes: Vec<Node> = Vec::new();
    let mut texts = Vec::new();
    for (number, zone) in ["karlovac-a", "karlovac-b", "zagreb-c"].into_iter().enumerate() {
        let (ip, link, path) = (addresses.next(), addresses.next(), SocketAddr::new(addresses.next(), 8784));
        let (machine, link) = (SocketAddr::new(ip, 7340), SocketAddr::new(link, 7340));
        links.add(machine, link, cuts[number].clone());
        store.links.lock().unwrap().insert(machine.to_string(), link.to_string());
        store.serve_at(path, cuts[number].clone());
        let name = format!("front-{zone}-1");
        // Seeds may be down; nodes find each other through the store.
        let text = settings(&name, ip, zone, &[], path, true);
        nodes.push(Node::start(&temporary.0, &name, ip, &text));
        texts.push(text.replace("Bootstrap = true", "Bootstrap = false"));
    }
    nodes.iter().for_each(Node::wait_ready);
    sleep(ms(3_000));
    let cut_at = Instant::now();
    if trouble() {
        record.line(&format!("{} is cut off from the store and the other machines", nodes[2].name));
        cuts[2].set(true);
    }
    sleep(ms(300));
    record.line("release: two engines of version v2 start, then one of v1 drains");
    for engine in &new {
        store.put("keyed.servers", &engine.id, &engine.entry("ready", 1));
    }
    sleep(ms(500));
    store.put("keyed.servers", &old[0].id, &old[0].entry("draining", 2));
    sleep(ms(1_000));
    let (first, third) = (nodes[0].front(), nodes[2].ip);
    let results: Arc<Mutex<Vec<(String, Received)>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (results, record) = (results.clone(), record.clone());
            spawn(move || {
                let deadline = Instant::now() + ms(DEADLINE_MS);
                let (id, mut received) = (format!("d{number}"), Received::default());
                let prompt = format!("a{number}:300,b{number}:400,c{number}:300");
                attempt(first, &id, "", deadline, &prompt, &mut received);
                record.line(&format!("{id}: {received:?}"));
                if !received.complete && received.last > 0 {
                    // The client asks the nearest directory, that of its own zone.
                    sleep(ms(100));
                    let address = resolve(third).first().copied();
                    let Some(address) = address else { return };
                    let more = format!("Resumes: {id}\r\nLast-Event-Id: {}\r\n", received.last);
                    record.line(&format!("{id} is taken up as {id}-2 at {address} behind event {}", received.last));
                    attempt(address, &format!("{id}-2"), &more, deadline, &prompt, &mut received);
                    record.line(&format!("{id}-2: {received:?}"));
                }
                results.lock().unwrap().push((id, received));
            })
        })
        .collect();
    sleep(ms(600));
    record.line(&format!("planned: SIGTERM to {}", nodes[0].name));
    nodes[0].signal("TERM");
    let stopped_at = Instant::now();
    while !nodes[0].has_ended() && stopped_at.elapsed() < Duration::from_secs(8) {
        sleep(ms(10));
    }
    nodes[0].kill();
    record.line(&format!("{} has ended after {} ms; it starts again", nodes[0].name, stopped_at.elapsed().as_millis()));
    nodes[0].restart(Some(&texts[0]));
    sleep(ms(CUT_MS).saturating_sub(cut_at.elapsed()));
    cuts[2].set(false);
    record.line("the cut ends");
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    let results = results.lock().unwrap();
    let mixed: Vec<_> = results.iter().filter(|(_, received)| received.builds.len() > 1).collect();
    let begun = results.iter().filter(|(_, received)| received.last > 0).count();
    record.say(&format!("{begun} of {STREAMS} streams begun, {} hold events of two software versions, {ALLOWED} allowed", mixed.len()));
    for (id, received) in &mixed {
        record.say(&format!("ORDER: {id} holds events of {:?}, whole: {}", received.builds, received.complete));
    }
    if begun < STREAMS / 2 {
        return NOT_RUN;
    }
    if mixed.len() > ALLOWED { BROKEN } else { 0 }
}
