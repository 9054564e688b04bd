//! Faults of one proxied route, and the decisions about its bytes.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::server::lock;

/// What happens to new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NewConnections {
    /// They are forwarded.
    #[default]
    Forward,
    /// They are closed at once.
    Close,
    /// They stay open, and nothing passes for good.
    Silence,
}

/// Direction of bytes through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

/// Faults of one direction. A chunk is what one read from the socket returns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Extra latency of every byte.
    pub delay_ms: u64,
    /// Cuts, once, the connection that carries the last of this many bytes to come.
    pub cut_after: Option<u64>,
    /// Cuts every connection after this many of its bytes.
    pub cut_each: Option<u64>,
    /// Number of coming chunks that are sent twice.
    pub repeat_next: u32,
}

/// All faults of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// What happens to new connections.
    pub new_connections: NewConnections,
    /// Faults from the client to the target.
    pub up: DirectionFaults,
    /// Faults from the target to the client.
    pub down: DirectionFaults,
    /// Swaps, once, the next chunks of two connections from the target.
    pub cross_next: bool,
}

impl Faults {
    fn direction(&mut self, direction: Direction) -> &mut DirectionFaults {
        match direction {
            Direction::Up => &mut self.up,
            Direction::Down => &mut self.down,
        }
    }
}

/// What to do with a chunk.
pub(crate) enum ChunkAction {
    /// Send it.
    Send(Bytes),
    /// Send what arrives here, which belongs to another connection.
    Await(oneshot::Receiver<Bytes>),
    /// Send it, then close the connection.
    SendAndCut(Bytes),
}

/// A chunk that waits for another one to be swapped with.
struct PendingSwap {
    chunk: Bytes,
    partner: oneshot::Sender<Bytes>,
}

struct State {
    faults: Faults,
    pending_swap: Option<PendingSwap>,
    silence: watch::Sender<bool>,
    cut: CancellationToken,
    accepted: u64,
}

/// Faults of one route, shared by its connections.
pub(crate) struct RouteFaults {
    state: Mutex<State>,
}

/// What a connection needs to know of its route.
pub(crate) struct ConnectionFaults {
    /// Turns true when nothing may pass any more.
    pub(crate) silence: watch::Receiver<bool>,
    /// Fires when the connection must close.
    pub(crate) cut: CancellationToken,
}

impl RouteFaults {
    pub(crate) fn new() -> Self {
        let state = State {
            faults: Faults::default(),
            pending_swap: None,
            silence: watch::Sender::new(false),
            cut: CancellationToken::new(),
            accepted: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub(crate) fn faults(&self) -> Faults {
        self.lock().faults
    }

    pub(crate) fn accepted(&self) -> u64 {
        self.lock().accepted
    }

    /// Replaces all faults. A chunk that waits to be swapped goes its own way.
    pub(crate) fn set(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        if let Some(pending_swap) = state.pending_swap.take() {
            // The connection may be gone, and then nobody misses the chunk.
            let _ = pending_swap.partner.send(pending_swap.chunk);
        }
    }

    /// Changes the faults in place.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.faults();
        change(&mut faults);
        self.set(faults);
    }

    /// Lets nothing pass on present connections for good.
    pub(crate) fn silence_existing(&self) {
        let mut state = self.lock();
        state.silence.send_replace(true);
        state.silence = watch::Sender::new(false);
    }

    /// Closes present connections.
    pub(crate) fn cut_existing(&self) {
        let mut state = self.lock();
        state.cut.cancel();
        state.cut = CancellationToken::new();
    }

    /// Admits a new connection; none means that it is to be closed at once.
    pub(crate) fn admit(&self) -> Option<ConnectionFaults> {
        let mut state = self.lock();
        state.accepted += 1;
        let silence = match state.faults.new_connections {
            NewConnections::Forward => state.silence.subscribe(),
            NewConnections::Close => return None,
            NewConnections::Silence => watch::Sender::new(true).subscribe(),
        };
        Some(ConnectionFaults {
            silence,
            cut: state.cut.clone(),
        })
    }

    pub(crate) fn delay(&self, direction: Direction) -> Duration {
        let mut faults = self.faults();
        Duration::from_millis(faults.direction(direction).delay_ms)
    }

    /// Decides about a chunk of a connection that has carried `bytes_sent` bytes in
    /// this direction before.
    pub(crate) fn decide(
        &self,
        direction: Direction,
        chunk: Bytes,
        bytes_sent: u64,
    ) -> ChunkAction {
        let mut state = self.lock();
        if direction == Direction::Down && state.faults.cross_next {
            return state.swap(chunk);
        }
        let faults = state.faults.direction(direction);
        if let Some(keep) = faults.bytes_before_cut(bytes_sent, chunk.len() as u64) {
            return ChunkAction::SendAndCut(chunk.slice(..keep as usize));
        }
        if faults.repeat_next == 0 {
            return ChunkAction::Send(chunk);
        }
        faults.repeat_next -= 1;
        ChunkAction::Send([&chunk[..], &chunk[..]].concat().into())
    }
}

impl State {
    fn swap(&mut self, chunk: Bytes) -> ChunkAction {
        match self.pending_swap.take() {
            None => {
                let (partner, arrival) = oneshot::channel();
                self.pending_swap = Some(PendingSwap { chunk, partner });
                ChunkAction::Await(arrival)
            }
            Some(other) => {
                self.faults.cross_next = false;
                // The other connection may be gone by now, and then only the
                // answer that went to this one is misplaced.
                let _ = other.partner.send(chunk);
                ChunkAction::Send(other.chunk)
            }
        }
    }
}

impl DirectionFaults {
    /// How much of a chunk still passes if the connection is cut within it.
    fn bytes_before_cut(&mut self, bytes_sent: u64, len: u64) -> Option<u64> {
        if let Some(limit) = self.cut_each
            && bytes_sent + len >= limit
        {
            return Some(limit.saturating_sub(bytes_sent));
        }
        let left = self.cut_after?;
        if left > len {
            self.cut_after = Some(left - len);
            return None;
        }
        self.cut_after = None;
        Some(left)
    }
}
