//! Bound on the connections to a port. When it is reached, the one that has been idle the
//! longest is closed: one without a request, then one whose request has not arrived in full.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::memory_plan::{MemoryPlan, Port};

/// Descriptors that are kept free for files.
const FILE_FDS: u64 = 200;

/// Number of parts into which the descriptors are divided, and how many of them callers get.
const PARTS: u64 = 32;
const CALLER_PARTS: u64 = 12;

/// Smallest bound, for settings that state hardly any memory or descriptors.
const MIN_CONNECTIONS: usize = 8;

/// Part of the descriptors that connections to a port may use, in units of 1 / [`PARTS`]. What
/// remains is for endpoints, as many as there are callers, and for the store.
fn descriptor_parts(port: Port) -> u64 {
    match port {
        Port::Callers => CALLER_PARTS,
        Port::Nodes => 4,
        Port::Directory | Port::Internal => 1,
    }
}

/// What a connection is doing, the first to be closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Activity {
    /// It has no request whose head has arrived.
    Idle,
    /// The body of a request arrives.
    Reading,
    /// The request may run, or its response is sent.
    Running,
}

#[derive(Debug)]
struct Open {
    activity: Activity,
    since: Instant,
    close: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: BTreeMap<u64, Open>,
}

#[derive(Debug)]
struct Shared {
    port: Port,
    plan: MemoryPlan,
    /// Bound by the descriptors.
    by_fds: usize,
    state: Mutex<State>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The connections to one port. Clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionLimit(Arc<Shared>);

/// What happened to a new connection.
#[derive(Debug)]
pub enum Entered {
    /// There was a place for it.
    Free(Slot),
    /// Another connection is closed in its favor.
    Replaced(Slot),
    /// All connections have running requests.
    Full,
}

impl ConnectionLimit {
    /// Bound of a port of a process with these limits, each 0 when unknown.
    pub fn of(port: Port, max_fds: u64, memory_mb: u64) -> Self {
        let by_fds = match max_fds {
            0 => u64::MAX,
            _ => max_fds.saturating_sub(FILE_FDS) * descriptor_parts(port) / PARTS,
        };
        Self(Arc::new(Shared {
            port,
            plan: MemoryPlan::of_memory(memory_mb),
            by_fds: usize::try_from(by_fds).unwrap_or(usize::MAX),
            state: Mutex::default(),
        }))
    }

    /// Name of the port, for logs.
    pub fn port(&self) -> &'static str {
        self.0.port.as_str()
    }

    /// Takes a place for a new connection, whose read buffer may grow to this size in bytes.
    pub fn enter(&self, read_buffer: usize) -> Entered {
        let by_memory = self.0.plan.connections(self.0.port, read_buffer);
        let limit = by_memory.min(self.0.by_fds).max(MIN_CONNECTIONS);
        let mut state = self.0.state();
        let mut replaced = false;
        if state.open.len() >= limit {
            let open = state.open.iter();
            let idle = open.filter(|(_, open)| open.activity < Activity::Running);
            let longest = idle.min_by_key(|(_, open)| (open.activity, open.since));
            let Some(number) = longest.map(|(number, _)| *number) else {
                return Entered::Full;
            };
            if let Some(open) = state.open.remove(&number) {
                open.close.notify_one();
            }
            replaced = true;
        }
        let number = state.next;
        state.next += 1;
        let close = Arc::new(Notify::new());
        let open = Open {
            activity: Activity::Idle,
            since: Instant::now(),
            close: close.clone(),
        };
        state.open.insert(number, open);
        drop(state);
        let slot = Slot {
            shared: self.0.clone(),
            number,
            close,
        };
        if replaced {
            Entered::Replaced(slot)
        } else {
            Entered::Free(slot)
        }
    }
}

/// Place of an open connection, given up on drop.
#[derive(Debug)]
pub struct Slot {
    shared: Arc<Shared>,
    number: u64,
    close: Arc<Notify>,
}

impl Slot {
    /// Completes when the connection must be closed in favor of another one.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    /// Notes that the head of a request has arrived.
    pub fn request(&self, client: Option<SocketAddr>) -> RequestMark {
        let mark = RequestMark {
            shared: self.shared.clone(),
            number: self.number,
            client,
        };
        mark.set(Activity::Reading);
        mark
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.state().open.remove(&self.number);
    }
}

/// Mark of a request on its connection.
#[derive(Clone, Debug)]
pub struct RequestMark {
    shared: Arc<Shared>,
    number: u64,
    client: Option<SocketAddr>,
}

impl RequestMark {
    /// Address of the client.
    pub fn client(&self) -> Option<SocketAddr> {
        self.client
    }

    /// Notes that a part of the body has arrived.
    pub fn progress(&self) {
        self.set(Activity::Reading);
    }

    /// Notes that the request has arrived in full and may run.
    pub fn running(&self) {
        self.set(Activity::Running);
    }

    /// Notes that the response has been sent.
    pub fn ended(&self) {
        self.set(Activity::Idle);
    }

    fn set(&self, activity: Activity) {
        if let Some(open) = self.shared.state().open.get_mut(&self.number) {
            open.activity = activity;
            open.since = Instant::now();
        }
    }
}
