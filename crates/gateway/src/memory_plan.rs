//! How the memory of the process is divided among what clients may hold.
//!
//! What the process holds by itself comes first. The parts of the ports, of wide receive buffers
//! and of bodies add up to 88 hundredths of what is left. The rest is for connections to endpoints and
//! fragmentation of the heap.

/// Memory of the process without clients, in bytes.
const PROCESS_BYTES: u64 = 16_000_000;

/// Memory for bodies and unread answers, in hundredths.
const BODIES: u64 = 34;

/// Memory for wide receive buffers, in hundredths.
const WIDE_BUFFERS: u64 = 7;

/// Memory for the connections to each port, in hundredths.
const CALLERS: u64 = 28;
const NODES: u64 = 9;
const DIRECTORY: u64 = 6;
const INTERNAL: u64 = 2;

/// Maximum listen backlog.
const MAX_BACKLOG: usize = 1_024;

/// Smallest backlog, for settings that state hardly any memory.
const MIN_BACKLOG: usize = 16;

/// `SO_RCVBUF` of an accepted connection on which bodies come, in bytes.
pub const RECEIVE_BUFFER: usize = 16 * 1024;

/// `SO_RCVBUF` of a connection that receives a large body, in bytes.
pub const WIDE_RECEIVE_BUFFER: usize = 128 * 1024;

/// Number of unread bytes that a connection may hold for each byte of `SO_RCVBUF`: Linux
/// doubles the option.
pub const UNREAD_FACTOR: usize = 2;

/// Memory of a connection beside its buffers, in bytes.
const CONNECTION_STATE: usize = 8 * 1024;

/// Ports with a bound of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// The port for callers.
    Callers,
    /// The port for other nodes.
    Nodes,
    /// The port at which callers ask for addresses.
    Directory,
    /// The readiness or the metrics port.
    Internal,
}

impl Port {
    /// String form for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Nodes => "nodes",
            Self::Directory => "directory",
            Self::Internal => "internal",
        }
    }

    fn hundredths(self) -> u64 {
        match self {
            Self::Callers => CALLERS,
            Self::Nodes => NODES,
            Self::Directory => DIRECTORY,
            Self::Internal => INTERNAL,
        }
    }

    /// True if requests to it have bodies.
    fn has_bodies(self) -> bool {
        matches!(self, Self::Callers | Self::Nodes)
    }

    /// `SO_RCVBUF` of a connection until it is accepted, in bytes. It holds the head of an
    /// ordinary request, so that it need not be sent in parts.
    pub fn unaccepted_buffer(self) -> usize {
        if self.has_bodies() {
            8 * 1024
        } else {
            4 * 1024
        }
    }

    /// `SO_RCVBUF` of an accepted connection, in bytes.
    fn receive_buffer(self) -> usize {
        if self.has_bodies() {
            RECEIVE_BUFFER
        } else {
            self.unaccepted_buffer()
        }
    }

    /// The inverse of the part of the port's memory that is for connections that wait to be
    /// accepted. Requests without bodies are short, so that most connections are new.
    fn backlog_divisor(self) -> usize {
        if self.has_bodies() { 4 } else { 2 }
    }
}

/// The memory that clients may hold, in bytes; none if the settings do not state the memory.
#[derive(Clone, Copy, Debug)]
pub struct MemoryPlan(Option<u64>);

impl MemoryPlan {
    /// Divides the memory of the process; 0 stands for an unknown one.
    pub fn of_memory(memory_mb: u64) -> Self {
        let bytes = memory_mb.saturating_mul(1_000_000);
        Self((bytes > 0).then(|| bytes.saturating_sub(PROCESS_BYTES)))
    }

    /// Memory in bytes for bodies and unread answers.
    pub fn bodies(self) -> usize {
        self.part(BODIES)
    }

    /// Memory in bytes for what wide receive buffers hold beyond ordinary ones.
    pub fn wide_buffers(self) -> usize {
        self.part(WIDE_BUFFERS)
    }

    /// Maximum number of connections to a port that wait to be accepted.
    pub fn backlog(self, port: Port) -> usize {
        let bytes = self.part(port.hundredths()) / port.backlog_divisor();
        let backlog = bytes / (port.unaccepted_buffer() * UNREAD_FACTOR);
        backlog.clamp(MIN_BACKLOG, MAX_BACKLOG)
    }

    /// Maximum number of accepted connections to a port, each with a read buffer of up to this
    /// size in bytes.
    pub fn connections(self, port: Port, read_buffer: usize) -> usize {
        let unaccepted = self.backlog(port) * port.unaccepted_buffer() * UNREAD_FACTOR;
        let bytes = self.part(port.hundredths()).saturating_sub(unaccepted);
        let unread = port.receive_buffer() * UNREAD_FACTOR;
        bytes / (read_buffer + CONNECTION_STATE + unread)
    }

    /// A number of hundredths in bytes, without a limit if the memory is unknown.
    fn part(self, hundredths: u64) -> usize {
        let part = self.0.map(|bytes| bytes / 100 * hundredths);
        part.map_or(usize::MAX, |bytes| {
            usize::try_from(bytes).unwrap_or(usize::MAX)
        })
    }
}
