//! Crowds of untrusted clients that send large bodies, most of which stop short of their end: the
//! memory of a node, together with what it has received and not yet read, must stay within
//! what its settings state, however many clients there are and however late it reads.
//!
//! The tests check only that the process lives, its memory and open descriptors, and that
//! ordinary requests are answered. They run one at a time.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;
#[allow(dead_code, reason = "each test file needs a part of it")]
mod untrusted;

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use entry_site::{BODY_LIMIT, Node, Site, large_body_configuration};
use untrusted::memory_watch::MemoryWatch;
use untrusted::{
    Rig, StatedLimits, alone, ask, chunks, connect_all, crowd, head, settle, write_pieces,
};

/// The smallest limits of the deployments.
const STATED: StatedLimits = StatedLimits {
    memory_mb: 88,
    max_fds: 4_100,
};

/// Limits under which the process itself can hold too much for a small crowd.
const TIGHT: StatedLimits = StatedLimits {
    memory_mb: 48,
    max_fds: 4_100,
};

/// Untrusted clients of a port.
const CLIENTS: usize = 300;

/// Untrusted clients of each port where there are some at all of them.
const CLIENTS_PER_PORT: usize = 100;

/// One in so many clients sends its body to the end.
const WHOLE_BODY_SHARE: usize = 8;

/// Time for which a connect or a write of an untrusted client may block.
const PATIENCE: Duration = Duration::from_secs(3);

/// Time for which a process is stopped.
const STOP_TIME: Duration = Duration::from_millis(1_500);

/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// Size of a piece of a body, in bytes.
const SMALL_PIECE: usize = 1_460;

/// Sizes of chunks, in bytes, and the number of the small ones.
const LARGE_CHUNK: usize = 64 * 1024;
const TINY_CHUNK: usize = 1;
const TINY_CHUNKS: usize = 32 * 1024;

/// Multiple of the limit that bodies over it announce or send.
const EXCESS: usize = 4;

/// How untrusted clients send their bodies.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// With their length, in writes of this many bytes.
    Announced { length: usize, piece: usize },
    /// In chunks.
    Chunked { size: usize, count: usize },
}

const WHOLE: Form = Form::Announced {
    length: BODY_LIMIT,
    piece: BODY_LIMIT,
};
const PIECES: Form = Form::Announced {
    length: BODY_LIMIT,
    piece: SMALL_PIECE,
};
const LARGE_CHUNKS: Form = Form::Chunked {
    size: LARGE_CHUNK,
    count: BODY_LIMIT / LARGE_CHUNK,
};
const TINY: Form = Form::Chunked {
    size: TINY_CHUNK,
    count: TINY_CHUNKS,
};
const ANNOUNCED_OVER: Form = Form::Announced {
    length: EXCESS * BODY_LIMIT,
    piece: LARGE_CHUNK,
};
const SENT_OVER: Form = Form::Chunked {
    size: LARGE_CHUNK,
    count: EXCESS * BODY_LIMIT / LARGE_CHUNK,
};

/// What a crowd sends behind the first line of the head.
struct Message {
    framing: String,
    body: Vec<u8>,
    /// Bytes at the end of `body` that most clients keep back.
    end: usize,
    piece: usize,
}

impl Form {
    fn message(self) -> Message {
        match self {
            Self::Announced { length, piece } => Message {
                framing: format!("content-length: {length}\r\n\r\n"),
                body: vec![b'x'; length],
                end: 1,
                piece,
            },
            Self::Chunked { size, count } => {
                let last = b"0\r\n\r\n";
                let mut body = chunks(size, count);
                body.extend_from_slice(last);
                Message {
                    framing: "transfer-encoding: chunked\r\n\r\n".to_owned(),
                    body,
                    end: last.len(),
                    piece: LARGE_CHUNK,
                }
            }
        }
    }
}

/// Clients send their bodies to a port, most without the end, and keep their connections.
fn send(address: SocketAddr, clients: usize, form: Form) -> Vec<TcpStream> {
    let message = form.message();
    connect_all(crowd(clients), address, PATIENCE, |id, stream| {
        let head = head("/draft/a", id) + &message.framing;
        let end = match id % WHOLE_BODY_SHARE {
            0 => 0,
            _ => message.end,
        };
        let body = &message.body[..message.body.len() - end];
        write_pieces(stream, head.as_bytes(), head.len());
        write_pieces(stream, body, message.piece);
    })
}

/// Stops the process while clients connect and send.
fn send_while_stopped<T: Send>(node: &Node, send: impl FnOnce() -> T + Send) -> T {
    node.signal("STOP");
    std::thread::scope(|scope| {
        let clients = scope.spawn(send);
        std::thread::sleep(STOP_TIME);
        node.signal("CONT");
        clients.join().expect("the clients")
    })
}

fn check(form: Form) {
    check_number(STATED, CLIENTS, form);
}

fn check_number(stated: StatedLimits, clients: usize, form: Form) {
    let mut rig = Rig::start(stated);
    let clients = send(rig.node.front, clients, form);
    rig.check(clients);
}

fn check_stopped(form: Form) {
    let mut rig = Rig::start(STATED);
    let front = rig.node.front;
    let clients = send_while_stopped(&rig.node, || send(front, CLIENTS, form));
    rig.check(clients);
}

/// Guards against memory that grows with the number of clients whose bodies wait.
#[test]
fn crowd_of_whole_bodies_stays_within_the_memory() {
    check(WHOLE);
}

#[test]
fn crowd_of_bodies_in_pieces_stays_within_the_memory() {
    check(PIECES);
}

#[test]
fn crowd_of_large_chunks_stays_within_the_memory() {
    check(LARGE_CHUNKS);
}

#[test]
fn crowd_of_tiny_chunks_stays_within_the_memory() {
    check(TINY);
}

#[test]
fn crowd_of_bodies_announced_over_the_limit_stays_within_the_memory() {
    check(ANNOUNCED_OVER);
}

#[test]
fn crowd_of_bodies_sent_over_the_limit_stays_within_the_memory() {
    check(SENT_OVER);
}

/// Guards against memory of the process itself that grows with the number of clients: the
/// buffers of their connections, and parts of bodies that wait for memory.
#[test]
fn twice_the_crowd_of_whole_bodies_stays_within_the_memory() {
    check_number(STATED, 2 * CLIENTS, WHOLE);
}

#[test]
fn twice_the_crowd_of_bodies_in_pieces_stays_within_the_memory() {
    check_number(STATED, 2 * CLIENTS, PIECES);
}

/// Guards against growth and fragmentation of the heap beyond what is counted.
#[test]
fn whole_bodies_stay_within_a_tight_memory() {
    check_number(TIGHT, 2 * CLIENTS, WHOLE);
}

#[test]
fn bodies_in_pieces_stay_within_a_tight_memory() {
    check_number(TIGHT, 2 * CLIENTS, PIECES);
}

#[test]
fn large_chunks_stay_within_a_tight_memory() {
    check_number(TIGHT, 2 * CLIENTS, LARGE_CHUNKS);
}

#[test]
fn bodies_sent_over_the_limit_stay_within_a_tight_memory() {
    check_number(TIGHT, 2 * CLIENTS, SENT_OVER);
}

/// Guards against receive buffers that fill beyond the memory while the process reads late.
#[test]
fn whole_bodies_to_a_late_reader_stay_within_the_memory() {
    check_stopped(WHOLE);
}

#[test]
fn bodies_in_pieces_to_a_late_reader_stay_within_the_memory() {
    check_stopped(PIECES);
}

#[test]
fn large_chunks_to_a_late_reader_stay_within_the_memory() {
    check_stopped(LARGE_CHUNKS);
}

#[test]
fn tiny_chunks_to_a_late_reader_stay_within_the_memory() {
    check_stopped(TINY);
}

#[test]
fn bodies_announced_over_the_limit_to_a_late_reader_stay_within_the_memory() {
    check_stopped(ANNOUNCED_OVER);
}

#[test]
fn bodies_sent_over_the_limit_to_a_late_reader_stay_within_the_memory() {
    check_stopped(SENT_OVER);
}

/// Guards against bounds that hold for each port by itself, but not for all together, and against
/// bodies that ports without bodies keep unread.
#[test]
fn bodies_to_all_ports_of_a_late_reader_stay_within_the_memory() {
    let mut rig = Rig::start(STATED);
    let node = &rig.node;
    let ports = [
        node.front,
        node.control,
        node.directory,
        node.ready,
        node.metrics,
    ];
    let clients = send_while_stopped(&rig.node, || {
        std::thread::scope(|scope| {
            let crowds = ports.map(|port| scope.spawn(move || send(port, CLIENTS_PER_PORT, WHOLE)));
            crowds.map(|crowd| crowd.join().expect("a crowd"))
        })
    });
    rig.check(clients);
}

/// Guards against bodies that come over the port for other nodes, whose reader may be late.
#[test]
fn handed_over_bodies_stay_within_the_memory_of_both_nodes() {
    let _alone = alone();
    let site = Site::start(EVENT_PAUSE);
    site.store
        .put("keyed.op", "op/config", &large_body_configuration());
    let mut cut = site.linked_node_with("node-1", &STATED.settings());
    let mut other = site.linked_node_with("node-2", &STATED.settings());
    cut.cut_off();
    let watches = [&cut, &other].map(|linked| MemoryWatch::start(&linked.node));
    let message = WHOLE.message();
    let clients = send_while_stopped(&other.node, || {
        connect_all(crowd(CLIENTS), cut.node.front, PATIENCE, |id, stream| {
            let head = head("/draft/a", id) + &message.framing;
            write_pieces(stream, head.as_bytes(), head.len());
            write_pieces(stream, &message.body, message.piece);
        })
    });
    settle(&other.node);
    let log = other.node.log();
    assert!(log.contains("stream started"), "no request was handed over");
    drop(clients);
    for (linked, watch) in [&mut cut, &mut other].into_iter().zip(&watches) {
        ask(&linked.node, "after");
        STATED.check(&mut linked.node, watch);
    }
}
