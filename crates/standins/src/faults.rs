//! Faults of one proxied route, and how they apply to each chunk.

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
    /// They are accepted and closed immediately.
    Close,
    /// They stay open, but no data is ever forwarded.
    Silence,
    /// Their request gets the head of a response that never ends.
    EndlessHead,
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

/// Faults of one direction. A chunk is the data returned by one socket read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Latency added to every byte.
    pub delay_ms: u64,
    /// Bandwidth of each connection, in bytes per second; unlimited if none.
    pub bytes_per_s: Option<u64>,
    /// Closes one connection: the one on which the route forwards the last of this
    /// many bytes, counted over all connections from now on.
    pub cut_after: Option<u64>,
    /// Closes every connection after it has forwarded this many bytes.
    pub cut_each: Option<u64>,
    /// Number of upcoming chunks that are sent twice.
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
    /// Swaps, once, the next chunks from the target between two connections.
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
    /// Forward it.
    Send(Bytes),
    /// Forward the chunk received here instead, which belongs to another connection.
    Await(oneshot::Receiver<Bytes>),
    /// Forward it, then close the connection.
    SendAndCut(Bytes),
}

/// A chunk that waits for a chunk of another connection to swap with.
struct PendingSwap {
    chunk: Bytes,
    swap_sender: oneshot::Sender<Bytes>,
}

struct State {
    faults: Faults,
    pending_swap: Option<PendingSwap>,
    silence: watch::Sender<bool>,
    cut: CancellationToken,
    reset: CancellationToken,
    accepted: u64,
}

/// Faults of one route, shared by its connections.
pub(crate) struct RouteFaults {
    state: Mutex<State>,
}

/// Fault signals of the route, as seen by one connection.
pub(crate) struct ConnectionFaults {
    /// True if it gets the head of a response that never ends.
    pub(crate) endless_head: bool,
    /// Becomes true when the connection must stop forwarding.
    pub(crate) silence: watch::Receiver<bool>,
    /// Cancelled when the connection must close.
    pub(crate) cut: CancellationToken,
    /// Cancelled when the connection must be reset.
    pub(crate) reset: CancellationToken,
}

impl RouteFaults {
    pub(crate) fn new() -> Self {
        let state = State {
            faults: Faults::default(),
            pending_swap: None,
            silence: watch::Sender::new(false),
            cut: CancellationToken::new(),
            reset: CancellationToken::new(),
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

    /// Time that a connection takes for this many bytes.
    pub(crate) fn transfer_time(&self, direction: Direction, bytes: usize) -> Duration {
        let rate = self.lock().faults.direction(direction).bytes_per_s;
        rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 / rate as f64)
        })
    }

    pub(crate) fn accepted(&self) -> u64 {
        self.lock().accepted
    }

    /// Replaces all faults. A chunk that waits for a swap is sent on its own
    /// connection.
    pub(crate) fn set(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        if let Some(pending_swap) = state.pending_swap.take() {
            // Fails only if the connection is closed; the chunk can be dropped then.
            let _ = pending_swap.swap_sender.send(pending_swap.chunk);
        }
    }

    /// Changes some of the faults.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.faults();
        change(&mut faults);
        self.set(faults);
    }

    /// Permanently stops the traffic of existing connections.
    pub(crate) fn silence_existing(&self) {
        let mut state = self.lock();
        state.silence.send_replace(true);
        state.silence = watch::Sender::new(false);
    }

    /// Closes existing connections.
    pub(crate) fn cut_existing(&self) {
        let mut state = self.lock();
        state.cut.cancel();
        state.cut = CancellationToken::new();
    }

    /// Resets existing connections.
    pub(crate) fn reset_existing(&self) {
        let mut state = self.lock();
        state.reset.cancel();
        state.reset = CancellationToken::new();
    }

    /// Admits a new connection; `None` means that it must be closed immediately.
    pub(crate) fn admit(&self) -> Option<ConnectionFaults> {
        let mut state = self.lock();
        state.accepted += 1;
        let silence = match state.faults.new_connections {
            NewConnections::Forward | NewConnections::EndlessHead => state.silence.subscribe(),
            NewConnections::Close => return None,
            NewConnections::Silence => watch::Sender::new(true).subscribe(),
        };
        Some(ConnectionFaults {
            endless_head: state.faults.new_connections == NewConnections::EndlessHead,
            silence,
            cut: state.cut.clone(),
            reset: state.reset.clone(),
        })
    }

    pub(crate) fn delay(&self, direction: Direction) -> Duration {
        let mut faults = self.faults();
        Duration::from_millis(faults.direction(direction).delay_ms)
    }

    /// Decides what to do with a chunk of a connection that has already forwarded
    /// `bytes_sent` bytes in this direction, and uses up faults that apply once.
    pub(crate) fn apply_faults(
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
        if let Some(bytes_to_send) = faults.bytes_before_cut(bytes_sent, chunk.len() as u64) {
            return ChunkAction::SendAndCut(chunk.slice(..bytes_to_send as usize));
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
                let (swap_sender, swapped_chunk) = oneshot::channel();
                self.pending_swap = Some(PendingSwap { chunk, swap_sender });
                ChunkAction::Await(swapped_chunk)
            }
            Some(other) => {
                self.faults.cross_next = false;
                // The other connection may be closed by now. Then only the chunk
                // sent on this connection is misdelivered.
                let _ = other.swap_sender.send(chunk);
                ChunkAction::Send(other.chunk)
            }
        }
    }
}

impl DirectionFaults {
    /// Number of bytes of a chunk to forward before the connection is closed;
    /// `None` if it isn't closed within this chunk.
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
