//! Endpoints as processes of their own, and callers that take their streams up again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use flamingolock_testutils::fleet::free_address;
use flamingolock_testutils::process::Process;

use super::{Site, request};

/// Pause of a caller before it asks again, in ms.
const RESUME_PAUSE: Duration = Duration::from_millis(2);

/// What an endpoint process serves as.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSpec {
    pub service: &'static str,
    pub build: &'static str,
    pub events: u64,
    pub pause_ms: u64,
    /// `chunked`, `length` or `close`.
    pub framing: &'static str,
}

/// An endpoint that is a process of its own, killed on drop.
pub struct EndpointProcess {
    process: Process,
    spec: EndpointSpec,
    id: String,
    address: SocketAddr,
    born: u64,
}

impl EndpointProcess {
    /// Starts a process at a free port.
    pub fn start(id: &str, spec: EndpointSpec) -> Self {
        let address = free_address();
        let born = 1_000;
        Self {
            process: spawn(id, spec, address, born),
            spec,
            id: id.to_owned(),
            address,
            born,
        }
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Starts the process again at its address, with its id and this software version.
    pub fn restart(&mut self, build: &'static str) {
        self.born += 1;
        self.spec.build = build;
        self.process = spawn(&self.id, self.spec, self.address, self.born);
    }

    /// Sends a signal, named as in `kill -NAME`.
    pub fn signal(&self, name: &str) {
        self.process.signal(name);
    }

    /// Writes its entry.
    pub fn put_entry(&self, site: &Site, state: &str) {
        let EndpointSpec { service, build, .. } = self.spec;
        let entry = serde_json::json!({
            "Service": service, "Address": self.address.to_string(), "Zone": "zone-a", "Version": build,
            "Slots": 64, "State": state, "ColdLeftMs": 0, "Seq": 1, "born": self.born,
            "Models": [{"Name": "planner", "Version": 1, "Adapters": []}],
        });
        let key = format!("servers/{}", self.id);
        site.store.put("keyed.servers", &key, &entry.to_string());
    }

    /// Deletes its entry.
    pub fn delete_entry(&self, site: &Site) {
        let key = format!("servers/{}", self.id);
        site.store.put("keyed.servers", &key, "");
    }
}

fn spawn(id: &str, spec: EndpointSpec, address: SocketAddr, born: u64) -> Process {
    let (events, pause) = (spec.events.to_string(), spec.pause_ms.to_string());
    let (address, born) = (address.to_string(), born.to_string());
    let arguments = [
        ["--id", id],
        ["--address", &address],
        ["--build", spec.build],
        ["--born", &born],
        ["--events", &events],
        ["--pause-ms", &pause],
        ["--framing", spec.framing],
    ];
    let program = Path::new(env!("CARGO_BIN_EXE_endpoint-standin"));
    Process::start(program, &arguments.concat())
}

/// What a caller has of a stream.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Ids of its events.
    pub ids: Vec<u64>,
    /// Software versions that sent them.
    pub builds: BTreeSet<String>,
    pub complete: bool,
    /// Status of each attempt; 0 if there was no response.
    pub statuses: Vec<u16>,
    /// Request that brought the first event.
    begun_by: Option<String>,
}

impl Received {
    /// True if it is complete and has each of its events once.
    pub fn is_whole(&self, events: u64) -> bool {
        self.complete && self.ids.iter().copied().eq(1..=events)
    }

    /// Adds the whole events of a body.
    fn take(&mut self, request: &str, body: &str) {
        let end = body.rfind("\n\n").map_or(0, |end| end + 2);
        let whole = &body[..end];
        self.ids.extend(super::event_ids(whole));
        let builds = super::event_builds(whole).into_iter().map(str::to_owned);
        self.builds.extend(builds);
        if !self.ids.is_empty() {
            self.begun_by.get_or_insert(request.to_owned());
        }
    }
}

/// Requests a stream, and takes it up at the next node within milliseconds when it breaks
/// off, until it is complete or `time` has passed.
pub fn read_stream(
    nodes: &[SocketAddr],
    path: &str,
    id: &str,
    prompt: usize,
    time: Duration,
) -> Received {
    let until = Instant::now() + time;
    let parts = format!("a{prompt}:300,b{prompt}:400,c:300");
    let mut received = Received::default();
    for attempt in 0.. {
        let left = until.saturating_duration_since(Instant::now());
        if received.complete || left.is_zero() {
            break;
        }
        let request_id = format!("{id}-{attempt}");
        let (deadline, last) = (left.as_millis().to_string(), received.ids.last().copied());
        let last = last.unwrap_or(0).to_string();
        let mut headers = vec![
            ("host", "site.example"),
            ("authorization", "Bearer key-1"),
            ("request-id", request_id.as_str()),
            ("deadline-ms", &deadline),
            ("model", "planner"),
            ("token-usage", "1000,64"),
            ("prefix-hash", &parts),
        ];
        let begun_by = received.begun_by.clone();
        if let Some(begun_by) = &begun_by {
            headers.extend([("resumes", begun_by.as_str()), ("last-event-id", &last)]);
        }
        let node = nodes[(prompt + attempt) % nodes.len()];
        let answer = request(node, "POST", path, &headers);
        received.statuses.push(answer.status);
        if answer.status == 200 {
            received.complete = answer.complete;
            received.take(&request_id, &answer.body);
        }
        std::thread::sleep(RESUME_PAUSE);
    }
    received
}
