//! Stand-in of an engine that streams events, or of an application server.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Record;
use crate::http::{Message, read_body, read_head, respond};
use crate::store::Store;

/// Model of all engines.
pub const MODEL: &str = "daka510000";

/// Time for which a connection with a spoilt answer stays open before it is closed, with bytes that
/// were not read, and so is reset.
const SPOILT_OPEN: Duration = Duration::from_millis(20);

/// Body of the answer of an application server, 800 bytes.
pub fn whole_body(request: &str) -> String {
    format!("done {request} {:.<800}", "")[..800].to_owned()
}

/// A request that reached it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub request: String,
}

/// What an engine made of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub request: String,
    pub arrived_ms: u64,
    /// When its first token was made.
    pub first_ms: u64,
    /// When the engine was done with it, or dropped it.
    pub ended_ms: u64,
}

/// How it works.
#[derive(Clone, Debug)]
pub struct Work {
    /// Time until the head of a response, or until the whole one of an application server.
    pub first: Duration,
    /// Prompt tokens that it reads in a ms, one prompt after the other; 0 if that takes no time.
    pub tokens_per_ms: u64,
    /// Events of a stream; 0 for an application server.
    pub events: u64,
    /// Time between two events.
    pub pause: Duration,
    pub slots: usize,
    /// Requests that wait beside those.
    pub queue: usize,
}

struct State {
    id: String,
    born: u64,
    /// Version of its software.
    build: String,
    is_leaving: bool,
    heartbeat: u64,
    running: usize,
    /// Requests that it has and has not begun to answer.
    waiting: usize,
    arrivals: Vec<Arrival>,
    /// While it is faulty, one of so many of its answers is spoilt.
    spoils_each: Option<u64>,
    answers: u64,
    spoilt: Vec<String>,
    /// Factor by which it is slower than usual.
    slowness: u32,
    /// Time until which it is silent.
    silent_until_ms: u64,
    /// True if it goes on with requests whose connections have closed.
    goes_on: bool,
    runs: Vec<Run>,
    /// True once it has crashed: its connections are closed and none is accepted.
    has_crashed: bool,
    connections: Vec<TcpStream>,
}

/// An engine. Clones are the same one.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    work: Work,
    state: Arc<Mutex<State>>,
    /// Held while a prompt is read.
    reading: Arc<Mutex<()>>,
    record: &'static Record,
}

impl Engine {
    pub fn start(
        record: &'static Record,
        id: &str,
        service: &'static str,
        zone: &'static str,
        work: Work,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let state = State {
            id: id.to_owned(),
            born: 1_700_000_000_000,
            build: "v1".to_owned(),
            is_leaving: false,
            heartbeat: 0,
            running: 0,
            waiting: 0,
            arrivals: Vec::new(),
            spoils_each: None,
            answers: 0,
            spoilt: Vec::new(),
            slowness: 1,
            silent_until_ms: 0,
            goes_on: false,
            runs: Vec::new(),
            has_crashed: false,
            connections: Vec::new(),
        };
        let engine = Self {
            address,
            service,
            zone,
            work,
            state: Arc::new(Mutex::new(state)),
            reading: Arc::default(),
            record,
        };
        engine.accept(listener);
        engine
    }

    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Makes it slower by a factor.
    pub fn set_slowness(&self, slowness: u32) {
        self.record
            .say(format!("{} takes {slowness} times as long", self.id()));
        self.lock().slowness = slowness;
    }

    /// Falls silent for a while, and goes on then.
    pub fn fall_silent(&self, time: Duration) {
        self.record
            .say(format!("{} falls silent for {time:?}", self.id()));
        self.lock().silent_until_ms = self.record.now_ms() + time.as_millis() as u64;
    }

    fn wait_while_silent(&self) {
        loop {
            let until_ms = self.lock().silent_until_ms;
            if self.record.now_ms() >= until_ms {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Lets it go on with requests whose connections have closed.
    pub fn go_on(&self) {
        self.lock().goes_on = true;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Reads a prompt once those before it have been read.
    fn read_prompt(&self, call: &Message) {
        if self.work.tokens_per_ms == 0 {
            return;
        }
        let parts = call.header("prefix-hash").unwrap_or_default();
        let own = parts.rsplit_once(':').map_or("0", |(_, tokens)| tokens);
        let own: u64 = own.parse().unwrap_or(0);
        let _turn = self.reading.lock().expect("no panic");
        let slowness = u64::from(self.lock().slowness);
        let time = own * slowness / self.work.tokens_per_ms;
        std::thread::sleep(Duration::from_millis(time));
        self.wait_while_silent();
    }

    /// Ends as its process would in a crash: the system closes its connections and refuses others.
    pub fn crash(&self) {
        let (connections, waiting) = {
            let mut state = self.lock();
            state.has_crashed = true;
            (std::mem::take(&mut state.connections), state.waiting)
        };
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, which closes the port.
        let _ = TcpStream::connect(self.address);
        self.record.say(format!(
            "{} crashes with {waiting} requests that it has not begun to answer",
            self.id()
        ));
    }

    /// States in all its answers that it is leaving.
    pub fn leave(&self) {
        self.lock().is_leaving = true;
    }

    /// Spoils one of so many answers from now on, or none.
    pub fn spoil(&self, each: Option<u64>) {
        let mut state = self.lock();
        state.spoils_each = each;
        self.record
            .say(format!("{} spoils one answer of {each:?}", state.id));
    }

    /// Requests whose answers it has spoilt.
    pub fn spoilt(&self) -> Vec<String> {
        self.lock().spoilt.clone()
    }

    /// Writes its entry, as it does at each heartbeat.
    pub fn register(&self, store: &Store) {
        let mut state = self.lock();
        state.heartbeat += 1;
        let models = if self.work.events > 0 {
            format!("[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}]")
        } else {
            "[]".to_owned()
        };
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"{}\",\"Slots\":{},\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"colocated\",\"Models\":{models},\"Seq\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            state.build,
            self.work.slots,
            state.heartbeat,
            state.born
        );
        let key = format!("servers/{}", state.id);
        drop(state);
        store.put("keyed.servers", &key, &entry);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    fn accept(&self, listener: TcpListener) {
        let engine = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !engine.keep_connection(&stream) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                let engine = engine.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
    }

    /// Returns false if it has crashed.
    fn keep_connection(&self, stream: &TcpStream) -> bool {
        let mut state = self.lock();
        let copy = stream.try_clone();
        state.connections.extend(copy.ok());
        !state.has_crashed
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let born = self.lock().born;
        let mut reader = BufReader::new(stream);
        while let Some(mut call) = read_head(&mut reader) {
            if self.is_spoilt(&call) {
                self.write_spoilt(&mut writer, &call);
                return;
            }
            read_body(&mut reader, &mut call);
            if !self.answer(&mut writer, &call, born) {
                return;
            }
        }
    }

    /// True if the answer to this request is to be spoilt.
    fn is_spoilt(&self, call: &Message) -> bool {
        if !call.first.starts_with("POST /book/") {
            return false;
        }
        let mut state = self.lock();
        state.answers += 1;
        state
            .spoils_each
            .is_some_and(|each| state.answers % each == 0)
    }

    /// Answers before it has read the body, without a length, and breaks the answer off: it ends
    /// its side of the connection after a half, and the rest of the upload is never read.
    fn write_spoilt(&self, writer: &mut TcpStream, call: &Message) {
        let request = call.header("request-id").unwrap_or("").to_owned();
        let body = whole_body(&request);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: signed-by-{}\r\n\r\n",
            self.id()
        );
        self.record
            .write(format!("{} spoils the answer to {request}", self.id()));
        self.lock().spoilt.push(request);
        let _ = writer.write_all(head.as_bytes());
        let _ = writer.write_all(&body.as_bytes()[..body.len() / 2]);
        let _ = writer.shutdown(Shutdown::Write);
        std::thread::sleep(SPOILT_OPEN);
    }

    /// Headers that all its answers have.
    fn common_headers(&self) -> String {
        let state = self.lock();
        let mut headers = String::new();
        if state.is_leaving {
            headers.push_str("Server-Leaving: 1\r\n");
        }
        headers
    }

    /// Answers a call. Returns false if the connection is over.
    fn answer(&self, writer: &mut TcpStream, call: &Message, born: u64) -> bool {
        let common = self.common_headers();
        let id = self.id();
        let expected = call.header("expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return respond(writer, 421, &format!("{common}Instance-Id: {id}\r\n"), b"");
        }
        match call.path() {
            "/report" if self.work.events > 0 => {
                let report = format!(
                    "{{\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}],\"Busy\":false,\"Seq\":0,\"Queued\":0,\"Running\":{},\"KvUsed\":0,\"KvTotal\":258372,\"Handles\":0,\"born\":{born}}}",
                    self.lock().running
                );
                let headers = format!("{common}Content-Type: application/json\r\n");
                return respond(writer, 200, &headers, report.as_bytes());
            }
            "/kv-events" => {
                let events = format!(
                    "{{\"BootEpoch\":{born},\"NextToken\":0,\"Lost\":false,\"Events\":[]}}"
                );
                return respond(writer, 200, &common, events.as_bytes());
            }
            "/healthz" => {
                return respond(writer, 200, &format!("{common}Instance-Id: {id}\r\n"), b"");
            }
            "/report" | "/order" => return respond(writer, 404, &common, b""),
            _ => {}
        }
        self.run(writer, call, &common)
    }

    fn run(&self, writer: &mut TcpStream, call: &Message, common: &str) -> bool {
        let request = call.header("request-id").unwrap_or("").to_owned();
        let id = self.id();
        let is_full = {
            let mut state = self.lock();
            let at_ms = self.record.now_ms();
            state.arrivals.push(Arrival {
                at_ms,
                request: request.clone(),
            });
            let is_full = state.running >= self.work.slots + self.work.queue;
            if !is_full {
                state.running += 1;
            }
            is_full
        };
        self.record
            .write(format!("{id} gets {request}, full: {is_full}"));
        if is_full {
            return respond(writer, 503, &format!("{common}Not-Executed: 1\r\n"), b"");
        }
        let goes_on = self.write_response(writer, call, &request, common);
        self.lock().running -= 1;
        goes_on
    }

    fn write_response(
        &self,
        writer: &mut TcpStream,
        call: &Message,
        request: &str,
        common: &str,
    ) -> bool {
        let arrived_ms = self.record.now_ms();
        self.lock().waiting += 1;
        self.read_prompt(call);
        std::thread::sleep(self.work.first);
        self.lock().waiting -= 1;
        if self.lock().has_crashed {
            return false;
        }
        let (id, build, goes_on) = {
            let state = self.lock();
            (state.id.clone(), state.build.clone(), state.goes_on)
        };
        let headers = format!(
            "{common}Request-Id: {request}\r\nResponse-Signature: signed-by-{id}\r\nWeight-Versions: 1\r\n"
        );
        if self.work.events == 0 {
            return respond(writer, 200, &headers, whole_body(request).as_bytes());
        }
        let first_ms = self.record.now_ms();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{headers}\r\n"
        );
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        let after = call.header("last-event-id");
        let after: u64 = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        for event in after + 1..=self.work.events {
            if event > after + 1 {
                let slowness = self.lock().slowness;
                std::thread::sleep(self.work.pause * slowness);
            }
            self.wait_while_silent();
            if !is_open && !goes_on {
                break;
            }
            let text = format!("id: {event}\ndata: {id} {build} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_open &= writer.write_all(chunk.as_bytes()).is_ok();
        }
        let run = Run {
            engine: id,
            request: request.to_owned(),
            arrived_ms,
            first_ms,
            ended_ms: self.record.now_ms(),
        };
        self.record.write(format!("{run:?}"));
        self.lock().runs.push(run);
        is_open && writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Keeps the entries of engines fresh while the store is up, a heartbeat each 1.2 s.
pub fn keep_registered(
    engines: &[Engine],
    store: &Store,
    goes_on: impl Fn(&Engine) -> bool + Send + 'static,
) {
    let (engines, store) = (engines.to_vec(), store.clone());
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(1_200));
            for engine in engines.iter().filter(|engine| goes_on(engine)) {
                engine.register(&store);
            }
        }
    });
}
