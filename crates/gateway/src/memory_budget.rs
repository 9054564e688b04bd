//! Memory that the process holds for clients: request bodies until their request has ended,
//! answers that are read whole until they are sent, and the unread parts of streamed answers.
//!
//! Bytes are charged as they arrive and released on drop. When the budget is exhausted, the
//! body that has held the most for the longest without progress is refused. A request body that
//! has been read whole is never chosen, as its request may have run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::memory_plan::MemoryPlan;

/// Part of the budget that only small bodies may use, so that large ones cannot keep out
/// ordinary requests.
const SMALL_SHARE: f64 = 0.25;

/// Size up to which a body is small, in bytes.
const SMALL_BYTES: usize = 128 * 1024;

/// Time for which a body waits for memory before another one is refused in its favor.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// Number of such waits after which the body itself is refused.
const MAX_WAITS: u32 = 10;

/// Smallest capacity of a body's buffer, in bytes.
const MIN_CAPACITY: usize = 1024;

/// The budget cannot hold a body, or has refused it in favor of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for clients is exhausted")]
pub struct BudgetExhausted;

/// A body that is being received.
#[derive(Debug)]
struct Reading {
    held: usize,
    progress: Instant,
    refused: Arc<Notify>,
    /// True once it has been refused in favor of another one; its memory is released soon.
    is_refused: bool,
}

#[derive(Debug, Default)]
struct State {
    used: usize,
    next: u64,
    reading: BTreeMap<u64, Reading>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    state: Mutex<State>,
    released: Notify,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            let mut state = self.state();
            state.used = state.used.saturating_sub(bytes);
            drop(state);
            self.released.notify_waiters();
        }
    }
}

/// The memory budget of the process. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

impl Default for MemoryBudget {
    /// A budget without a limit.
    fn default() -> Self {
        Self::with_limit(usize::MAX)
    }
}

impl MemoryBudget {
    /// Budget of a process with this memory; without a limit if it is 0, that is, unknown.
    pub fn of_memory(memory_mb: u64) -> Self {
        Self::with_limit(MemoryPlan::of_memory(memory_mb).bodies())
    }

    /// Budget of this many bytes.
    pub fn with_limit(limit: usize) -> Self {
        Self(Arc::new(Shared {
            limit,
            state: Mutex::default(),
            released: Notify::new(),
        }))
    }

    /// Bytes that are charged.
    pub fn used(&self) -> usize {
        self.0.state().used
    }

    /// Charges bytes even if the budget is exhausted, for data that is bounded elsewhere.
    pub fn charge(&self, bytes: usize) -> Charge {
        self.0.state().used += bytes;
        Charge {
            shared: self.0.clone(),
            bytes,
        }
    }

    /// Starts to receive a body.
    pub fn body(&self, client: Option<SocketAddr>) -> BodyBuffer {
        let refused = Arc::new(Notify::new());
        let mut state = self.0.state();
        let number = state.next;
        state.next += 1;
        let reading = Reading {
            held: 0,
            progress: Instant::now(),
            refused: refused.clone(),
            is_refused: false,
        };
        state.reading.insert(number, reading);
        drop(state);
        BodyBuffer {
            buffer: BytesMut::new(),
            charge: self.charge(0),
            entry: Entry {
                shared: self.0.clone(),
                number,
            },
            refused,
            client,
        }
    }
}

/// Charged bytes, released on drop.
#[derive(Debug)]
pub struct Charge {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shared.release(self.bytes);
    }
}

/// Entry of a body among those that are being received, removed on drop.
#[derive(Debug)]
struct Entry {
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.shared.state().reading.remove(&self.number);
    }
}

/// A body that is being received into one buffer.
#[derive(Debug)]
pub struct BodyBuffer {
    buffer: BytesMut,
    charge: Charge,
    entry: Entry,
    refused: Arc<Notify>,
    client: Option<SocketAddr>,
}

impl BodyBuffer {
    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// True if no byte has been received.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Address of the client, if it is known.
    pub fn client(&self) -> Option<SocketAddr> {
        self.client
    }

    /// Completes when the body is refused in favor of another one.
    pub async fn refused(&self) {
        self.refused.notified().await;
    }

    /// Appends bytes. Waits a short time for memory, and refuses another body if there is none.
    ///
    /// # Errors
    ///
    /// If there is no memory after that either.
    pub async fn push(&mut self, bytes: &[u8], limit: usize) -> Result<(), BudgetExhausted> {
        let needed = self.buffer.len() + bytes.len();
        let mut waits = 0;
        while needed > self.charge.bytes {
            // Doubling keeps the number of copies small.
            let doubled = self.charge.bytes.saturating_mul(2).min(limit);
            let capacity = needed.max(doubled).max(MIN_CAPACITY);
            if self.grow(capacity) || self.grow(needed) {
                break;
            }
            if self.wait_for_memory(needed).await {
                break;
            }
            waits += 1;
            if waits > MAX_WAITS || !self.refuse_other() {
                return Err(BudgetExhausted);
            }
        }
        self.buffer.extend_from_slice(bytes);
        let mut state = self.entry.shared.state();
        if let Some(reading) = state.reading.get_mut(&self.entry.number) {
            reading.held = self.charge.bytes;
            reading.progress = Instant::now();
        }
        Ok(())
    }

    /// Waits a short time until the budget has this capacity left, and charges it.
    async fn wait_for_memory(&mut self, capacity: usize) -> bool {
        let until = tokio::time::Instant::now() + SHORT_WAIT;
        let shared = self.charge.shared.clone();
        loop {
            let released = shared.released.notified();
            if self.grow(capacity) {
                return true;
            }
            if timeout_at(until, released).await.is_err() {
                return self.grow(capacity);
            }
        }
    }

    /// Charges the budget up to this capacity, if it has as much left.
    fn grow(&mut self, capacity: usize) -> bool {
        let shared = &self.charge.shared;
        let more = capacity.saturating_sub(self.charge.bytes);
        let limit = if capacity <= SMALL_BYTES {
            shared.limit
        } else {
            (shared.limit as f64 * (1.0 - SMALL_SHARE)) as usize
        };
        let mut state = shared.state();
        if state.used.saturating_add(more) > limit {
            return false;
        }
        state.used += more;
        drop(state);
        self.charge.bytes += more;
        self.buffer.reserve(capacity - self.buffer.len());
        true
    }

    /// Refuses the body that has held the most for the longest without progress, unless the
    /// memory of another one is about to be released. False if that is this one.
    fn refuse_other(&self) -> bool {
        let now = Instant::now();
        let mut state = self.entry.shared.state();
        let weight = |reading: &Reading| {
            let idle = now.saturating_duration_since(reading.progress);
            idle.as_micros().saturating_mul(reading.held as u128)
        };
        let own = state.reading.get(&self.entry.number);
        if own.is_none_or(|own| own.is_refused) {
            return false;
        }
        if state.reading.values().any(|body| body.is_refused) {
            return true;
        }
        let heaviest = state.reading.iter().max_by_key(|(_, body)| weight(body));
        let Some(number) = heaviest.map(|(number, _)| *number) else {
            return false;
        };
        if number == self.entry.number {
            return false;
        }
        if let Some(body) = state.reading.get_mut(&number) {
            body.is_refused = true;
            body.refused.notify_one();
        }
        true
    }

    /// The whole body, charged until its last reference is dropped.
    pub fn finish(self) -> Bytes {
        let Self { buffer, charge, .. } = self;
        charged(buffer.freeze(), charge)
    }
}

/// Bytes with what is released when their last reference is dropped.
struct Owned<T> {
    bytes: Bytes,
    _guard: T,
}

impl<T> AsRef<[u8]> for Owned<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Ties a guard to bytes.
pub fn charged<T: Send + 'static>(bytes: Bytes, guard: T) -> Bytes {
    if bytes.is_empty() {
        return bytes;
    }
    Bytes::from_owner(Owned {
        bytes,
        _guard: guard,
    })
}
