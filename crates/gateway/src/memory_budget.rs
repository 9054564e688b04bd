//! Memory that the process holds for clients: request bodies until their request has ended,
//! answers that are read whole until they are sent, and the unread parts of streamed answers.
//!
//! Bytes are charged as they arrive and released on drop, and so are the buffers of the
//! connections from which bodies are read. When the budget is exhausted, the
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
use crate::payload::Payload;

/// Part of the budget that only small bodies may use, so that large ones cannot keep out
/// ordinary requests.
const SMALL_SHARE: f64 = 0.25;

/// Size up to which a body is small, in bytes.
const SMALL_BYTES: usize = 128 * 1024;

/// Time for which a body waits for memory before another one is refused in its favor.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// Number of such waits after which the body itself is refused.
const MAX_WAITS: u32 = 10;

/// Smallest capacity of a part of a body, in bytes.
const MIN_CAPACITY: usize = 1024;

/// Largest capacity of a part of a body, in bytes. Parts of one size fill the holes that others
/// leave in the heap.
const PART_BYTES: usize = 32 * 1024;

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

    /// Charges bytes of a body that will hold `total` bytes, if the budget has as many left.
    fn try_charge(self: &Arc<Self>, bytes: usize, total: usize) -> Option<Charge> {
        let limit = if total <= SMALL_BYTES {
            self.limit
        } else {
            (self.limit as f64 * (1.0 - SMALL_SHARE)) as usize
        };
        let mut state = self.state();
        let used = state.used.saturating_add(bytes);
        if used > limit {
            return None;
        }
        state.used = used;
        let shared = self.clone();
        Some(Charge { shared, bytes })
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
            full: Vec::new(),
            full_bytes: 0,
            part: BytesMut::new(),
            part_charge: self.charge(0),
            read_charge: self.charge(0),
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

impl Charge {
    /// Adds the bytes of another charge.
    fn absorb(&mut self, mut other: Charge) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
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

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    /// Full parts, each charged until its last reference is dropped.
    full: Vec<Bytes>,
    full_bytes: usize,
    /// The part that is being filled.
    part: BytesMut,
    part_charge: Charge,
    /// Charge for the buffers of the connection.
    read_charge: Charge,
    entry: Entry,
    refused: Arc<Notify>,
    client: Option<SocketAddr>,
}

impl BodyBuffer {
    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.full_bytes + self.part.len()
    }

    /// True if no byte has been received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Address of the client, if it is known.
    pub fn client(&self) -> Option<SocketAddr> {
        self.client
    }

    /// Completes when the body is refused in favor of another one.
    pub async fn refused(&self) {
        self.refused.notified().await;
    }

    /// Charges the buffers of the connection from which the body is read, until it has been
    /// read. Waits for memory like [`Self::push`].
    ///
    /// # Errors
    ///
    /// If there is no memory.
    pub async fn start_reading(&mut self, buffers: usize) -> Result<(), BudgetExhausted> {
        self.find_memory(|body| body.charge_buffers(buffers))
            .await?;
        self.note_progress();
        Ok(())
    }

    /// Appends bytes of a body of at most `limit` bytes. Waits a short time for memory, and
    /// refuses another body if there is none.
    ///
    /// # Errors
    ///
    /// If there is no memory after that either.
    pub async fn push(&mut self, mut bytes: &[u8], limit: usize) -> Result<(), BudgetExhausted> {
        while !bytes.is_empty() {
            if self.part.len() == self.part_charge.bytes {
                let left = limit.saturating_sub(self.len()).max(bytes.len());
                self.find_memory(|body| body.grow(bytes.len(), left))
                    .await?;
            }
            let room = self.part_charge.bytes - self.part.len();
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.part.extend_from_slice(now);
            bytes = later;
        }
        self.note_progress();
        Ok(())
    }

    fn note_progress(&mut self) {
        let mut state = self.entry.shared.state();
        if let Some(reading) = state.reading.get_mut(&self.entry.number) {
            reading.held = self.full_bytes + self.part_charge.bytes + self.read_charge.bytes;
            reading.progress = Instant::now();
        }
    }

    /// Takes memory with `take`, which fails if there is none. Then waits a short time, and
    /// refuses another body.
    async fn find_memory(
        &mut self,
        mut take: impl FnMut(&mut Self) -> bool,
    ) -> Result<(), BudgetExhausted> {
        for _ in 0..=MAX_WAITS {
            if self.wait_for_memory(&mut take).await {
                return Ok(());
            }
            if !self.refuse_other() {
                break;
            }
        }
        Err(BudgetExhausted)
    }

    /// Waits a short time until `take` succeeds.
    async fn wait_for_memory(&mut self, take: &mut impl FnMut(&mut Self) -> bool) -> bool {
        if take(self) {
            return true;
        }
        let until = tokio::time::Instant::now() + SHORT_WAIT;
        let shared = self.entry.shared.clone();
        loop {
            let released = shared.released.notified();
            if take(self) {
                return true;
            }
            if timeout_at(until, released).await.is_err() {
                return take(self);
            }
        }
    }

    /// Charges the buffers of the connection, if the budget has as much left.
    fn charge_buffers(&mut self, bytes: usize) -> bool {
        let charge = self.entry.shared.try_charge(bytes, self.len());
        charge
            .map(|charge| self.read_charge.absorb(charge))
            .is_some()
    }

    /// Makes room behind a part that is full to its capacity, for some of the `left` bytes that
    /// may come, `needed` of which have. False if the budget has not as much left.
    fn grow(&mut self, needed: usize, left: usize) -> bool {
        let held = self.part_charge.bytes;
        let goes_on = held < PART_BYTES;
        let capacity = match (goes_on, self.full.is_empty()) {
            // Small bodies get what they need. Doubling keeps the number of copies small.
            (true, true) => (held + needed).max(held * 2).max(MIN_CAPACITY),
            _ => PART_BYTES,
        };
        let kept = if goes_on { held } else { 0 };
        let more = capacity.min(kept + left).min(PART_BYTES) - kept;
        let total = self.len() + more;
        let Some(charge) = self.entry.shared.try_charge(more, total) else {
            return false;
        };
        if !goes_on {
            self.seal_part();
        }
        self.part_charge.absorb(charge);
        self.part.reserve(more);
        true
    }

    /// Appends the part that is being filled to the full ones.
    fn seal_part(&mut self) {
        let shared = self.entry.shared.clone();
        let empty = Charge { shared, bytes: 0 };
        let charge = std::mem::replace(&mut self.part_charge, empty);
        let part = std::mem::take(&mut self.part).freeze();
        self.full_bytes += part.len();
        self.full.push(charged(part, charge));
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
    pub fn finish(mut self) -> Payload {
        self.seal_part();
        Payload::of_parts(std::mem::take(&mut self.full))
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
