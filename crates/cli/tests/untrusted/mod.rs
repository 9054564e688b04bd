//! A node with stated limits, and crowds of untrusted clients that hold its memory and
//! connections.

pub mod memory_watch;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::entry_site::{self, Node, Site, large_body_configuration, wait_for};
use memory_watch::MemoryWatch;

/// Environment variable for the factor by which there are more untrusted clients.
const CROWD_FACTOR: &str = "FLAMINGOLOCK_CROWD_FACTOR";

/// Size of an ordinary body, in bytes.
const ORDINARY_BODY: usize = 72_000;

/// Descriptors that are reserved for files.
const FILE_FDS: usize = 200;

/// Time for which a write of an untrusted client may block.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without growth after which a node has read what clients sent, and how often that is
/// waited for.
const SETTLE_PAUSE: Duration = Duration::from_secs(1);
const MAX_SETTLE_S: usize = 20;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Limits that the settings of a node state.
#[derive(Clone, Copy, Debug)]
pub struct StatedLimits {
    pub memory_mb: u64,
    pub max_fds: usize,
}

impl StatedLimits {
    /// The lines of the settings that state them.
    pub fn settings(self) -> String {
        let Self { memory_mb, max_fds } = self;
        format!("[Limits]\nMemoryMb = {memory_mb}\nMaxFds = {max_fds}\n")
    }

    /// Checks that a node lives and has stayed within them.
    pub fn check(self, node: &mut Node, watch: &MemoryWatch) {
        assert!(!node.has_exited(), "the node has exited");
        let peak = node.peak_memory_kb().expect("the node runs");
        let held = watch.peak_kb();
        let fds = std::fs::read_dir(format!("/proc/{}/fd", node.id()))
            .expect("the node runs")
            .count();
        println!("peak {peak} kB, {held} kB with unread bytes, {fds} descriptors");
        let bound = self.memory_mb * 1_000_000 / 1024;
        assert!(peak <= bound, "peak of {peak} kB, bound {bound} kB");
        assert!(
            held <= bound,
            "peak of {held} kB with unread bytes, bound {bound} kB"
        );
        let bound = self.max_fds - FILE_FDS;
        assert!(fds <= bound, "{fds} open descriptors, bound {bound}");
    }
}

/// A node with stated limits, and a site with large bodies and long timeouts.
pub struct Rig {
    pub site: Site,
    pub node: Node,
    stated: StatedLimits,
    watch: MemoryWatch,
    _alone: MutexGuard<'static, ()>,
}

/// Number of untrusted clients.
pub fn crowd(base: usize) -> usize {
    let factor = std::env::var(CROWD_FACTOR).ok();
    base * factor.map_or(1, |text| text.parse().expect("a number"))
}

impl Rig {
    pub fn start(stated: StatedLimits) -> Self {
        let alone = alone();
        let site = Site::start_with(1, Duration::from_millis(5));
        site.store
            .put("keyed.op", "op/config", &large_body_configuration());
        let node = Node::start_with("node-1", site.store.address(), &[], &stated.settings());
        node.wait_ready();
        wait_for("the node to list all endpoints", || {
            node.log().matches("endpoint listed").count() >= 3
        });
        let watch = MemoryWatch::start(&node);
        Self {
            site,
            node,
            stated,
            watch,
            _alone: alone,
        }
    }

    /// Sends one ordinary request, whose answer must be whole.
    pub fn ask(&self, when: &str) {
        ask(&self.node, when);
    }

    /// Checks the bounds while the clients of `crowd` are connected, and after they have left.
    pub fn check<T>(&mut self, crowd: T) {
        settle(&self.node);
        self.ask("during");
        self.stated.check(&mut self.node, &self.watch);
        drop(crowd);
        self.ask("after");
        self.stated.check(&mut self.node, &self.watch);
    }
}

/// Waits until no other test of this file runs.
pub fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends one ordinary request, whose answer must be whole.
pub fn ask(node: &Node, when: &str) {
    let request = http::Request::builder()
        .method("POST")
        .uri(format!("http://{}/look/a", node.front))
        .header("host", "site.example")
        .header("authorization", "Bearer key-1")
        .header("request-id", when)
        .header("deadline-ms", "8000")
        .body(vec![b'x'; ORDINARY_BODY])
        .expect("a request");
    let answer = entry_site::client(0).run(request);
    let status = answer.map(|answer| answer.status().as_u16());
    assert!(
        matches!(status, Ok(200)),
        "ordinary request {when}: {status:?}"
    );
}

/// Waits until a node has read what the clients sent: its peak memory no longer grows.
pub fn settle(node: &Node) {
    let mut peaks = vec![0];
    for _ in 0..MAX_SETTLE_S {
        std::thread::sleep(SETTLE_PAUSE);
        peaks.extend(node.peak_memory_kb());
        if peaks[peaks.len() - 1] == peaks[peaks.len().saturating_sub(2)] {
            break;
        }
    }
}

/// Connects to a node. The connect, and each write later, may block for `patience`.
pub fn connect(address: SocketAddr, patience: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, patience).ok()?;
    stream.set_write_timeout(Some(patience)).ok()?;
    Some(stream)
}

/// Head of a request without the line that tells the length of its body.
pub fn head(path: &str, id: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-1\r\nrequest-id: crowd-{id}\r\n\
         model: planner\r\ntoken-usage: 1000,64\r\nprefix-hash: a{id}:300,c:300\r\n"
    )
}

/// Writes `data` in pieces of at most `piece` bytes. A node may close the connection.
pub fn write_pieces(stream: &mut TcpStream, data: &[u8], piece: usize) {
    for piece in data.chunks(piece) {
        if stream.write_all(piece).is_err() {
            return;
        }
    }
}

/// Encodes chunks of `size` bytes.
pub fn chunks(size: usize, count: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(count)
}

/// Connects clients that each send something on a thread of its own, and keeps what is open.
pub fn connect_all(
    count: usize,
    address: SocketAddr,
    patience: Duration,
    send: impl Fn(usize, &mut TcpStream) + Sync,
) -> Vec<TcpStream> {
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..count)
            .map(|id| {
                let send = &send;
                scope.spawn(move || {
                    let mut stream = connect(address, patience)?;
                    send(id, &mut stream);
                    Some(stream)
                })
            })
            .collect();
        let clients = clients.into_iter();
        clients
            .filter_map(|client| client.join().expect("a client"))
            .collect()
    })
}
