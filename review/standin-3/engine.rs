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

/// A request that reached it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub request: String,
}

/// How it works.
#[derive(Clone, Debug)]
pub struct Work {
    /// Time until the head of a response, or until the whole one of an application server.
    pub first: Duration,
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
    is_up: bool,
    is_leaving: bool,
    heartbeat: u64,
    running: usize,
    arrivals: Vec<Arrival>,
    open: Vec<TcpStream>,
}

/// An engine. Clones are the same one.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    work: Work,
    state: Arc<Mutex<State>>,
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
            is_up: true,
            is_leaving: false,
            heartbeat: 0,
            running: 0,
            arrivals: Vec::new(),
            open: Vec::new(),
        };
        let engine = Self {
            address,
            service,
            zone,
            work,
            state: Arc::new(Mutex::new(state)),
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

    /// States in all its answers that it is leaving.
    pub fn leave(&self) {
        self.lock().is_leaving = true;
    }

    /// Crashes: all its connections end and its port is closed.
    pub fn crash(&self) {
        let mut state = self.lock();
        self.record.say(format!("{} crashes", state.id));
        state.is_up = false;
        state.running = 0;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // Its accepting thread closes the port meanwhile.
        std::thread::sleep(Duration::from_millis(60));
    }

    /// Starts again under its id and at its address, with this version of its software.
    pub fn start_again(&self, build: &str) {
        let listener = TcpListener::bind(self.address).expect("its own port");
        let mut state = self.lock();
        state.is_up = true;
        state.born += self.record.now_ms().max(1);
        state.build = build.to_owned();
        state.heartbeat = 0;
        self.record.say(format!(
            "{} has started again, version {build}, born {}",
            state.id, state.born
        ));
        drop(state);
        self.accept(listener);
    }

    /// Writes its entry, as it does at each heartbeat.
    pub fn register(&self, store: &Store) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
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
        listener.set_nonblocking(true).expect("a socket");
        std::thread::spawn(move || {
            while engine.lock().is_up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(open) = stream.try_clone() {
                            engine.lock().open.push(open);
                        }
                        let engine = engine.clone();
                        std::thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let born = self.lock().born;
        let mut reader = BufReader::new(stream);
        while let Some(mut call) = read_head(&mut reader) {
            read_body(&mut reader, &mut call);
            if !self.answer(&mut writer, &call, born) {
                return;
            }
        }
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
        self.run(writer, call, born, &common)
    }

    fn run(&self, writer: &mut TcpStream, call: &Message, born: u64, common: &str) -> bool {
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
        let mut state = self.lock();
        if state.born == born {
            state.running = state.running.saturating_sub(1);
        }
        goes_on
    }

    fn write_response(
        &self,
        writer: &mut TcpStream,
        call: &Message,
        request: &str,
        common: &str,
    ) -> bool {
        std::thread::sleep(self.work.first);
        let (id, build) = {
            let state = self.lock();
            (state.id.clone(), state.build.clone())
        };
        let headers = format!(
            "{common}Request-Id: {request}\r\nResponse-Signature: signed-by-{id}\r\nWeight-Versions: 1\r\n"
        );
        if self.work.events == 0 {
            return respond(writer, 200, &headers, format!("done {request}").as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{headers}\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let after = call.header("last-event-id");
        let after: u64 = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        for event in after + 1..=self.work.events {
            if event > after + 1 {
                std::thread::sleep(self.work.pause);
            }
            let text = format!("id: {event}\ndata: {id} {build} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
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
