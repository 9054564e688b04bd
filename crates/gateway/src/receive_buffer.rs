//! Receive buffers of clients' connections. What they hold unread counts toward the memory of
//! the process, so a connection gets a wide one only for a large body, and only while there is
//! memory for it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use socket2::SockRef;
use tokio::net::TcpStream;

use crate::limited_log::LimitedLog;
use crate::memory_plan::{RECEIVE_BUFFER, UNREAD_FACTOR, WIDE_RECEIVE_BUFFER};
use crate::metrics::{EventKind, Metrics};
use crate::observed_stream::{IoEvent, ObservedStream};

/// Bytes that a client sends without an answer after which its receive buffer is made wide.
const LARGE_BYTES: usize = 16 * 1024;

/// What a wide buffer may hold beyond an ordinary one, in bytes.
const WIDE_EXTRA: usize = (WIDE_RECEIVE_BUFFER - RECEIVE_BUFFER) * UNREAD_FACTOR;

/// Log of large bodies without a wide buffer.
static NARROW_LOG: LimitedLog = LimitedLog::new();

/// Memory for wide receive buffers. Clones share it.
#[derive(Clone, Debug)]
pub struct WideBuffers {
    left: Arc<Mutex<usize>>,
    metrics: Arc<Metrics>,
}

impl WideBuffers {
    /// Memory of this many bytes.
    pub fn with_limit(bytes: usize, metrics: Arc<Metrics>) -> Self {
        let left = Arc::new(Mutex::new(bytes));
        Self { left, metrics }
    }

    fn left(&self) -> MutexGuard<'_, usize> {
        self.left.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Option<WideBuffer> {
        let mut left = self.left();
        let rest = left.checked_sub(WIDE_EXTRA);
        if let Some(rest) = rest {
            *left = rest;
        }
        drop(left);
        if rest.is_none() {
            self.metrics.count(EventKind::ReceiveBuffer, "no_memory");
            if let Some(suppressed) = NARROW_LOG.due() {
                log::info!(suppressed; "no memory for a wide receive buffer");
            }
        }
        rest.map(|_| WideBuffer(self.clone()))
    }
}

/// Memory of a wide buffer, given back on drop. A window that a client knows of cannot be
/// taken back, so it is held until the connection closes.
#[derive(Debug)]
struct WideBuffer(WideBuffers);

impl Drop for WideBuffer {
    fn drop(&mut self) {
        *self.0.left() += WIDE_EXTRA;
    }
}

/// How the receive buffer of a connection is.
#[derive(Debug)]
enum Width {
    Ordinary,
    /// Ordinary, as there was no memory for a wide one.
    Narrow,
    Wide {
        _memory: WideBuffer,
    },
}

/// The receive buffer of a connection.
#[derive(Debug)]
struct ReceiveBuffer {
    buffers: WideBuffers,
    width: Width,
    /// Bytes received since the last ones were sent.
    received: usize,
}

/// Gives an accepted connection an ordinary receive buffer, and a wide one when its client sends a
/// large body.
pub fn observe(
    stream: TcpStream,
    buffers: WideBuffers,
) -> ObservedStream<impl FnMut(&TcpStream, IoEvent)> {
    set_receive_buffer(&stream, RECEIVE_BUFFER);
    let mut buffer = ReceiveBuffer {
        buffers,
        width: Width::Ordinary,
        received: 0,
    };
    ObservedStream::new(stream, move |stream: &TcpStream, event| match event {
        IoEvent::Received(bytes) => buffer.note_received(stream, bytes),
        IoEvent::Sending => buffer.note_sent(),
        IoEvent::Flushed => {}
    })
}

impl ReceiveBuffer {
    /// Makes it wide once the client has sent much, if there is memory for it.
    fn note_received(&mut self, stream: &TcpStream, bytes: usize) {
        self.received += bytes;
        if self.received < LARGE_BYTES || !matches!(self.width, Width::Ordinary) {
            return;
        }
        self.width = match self.buffers.take() {
            Some(memory) => {
                set_receive_buffer(stream, WIDE_RECEIVE_BUFFER);
                Width::Wide { _memory: memory }
            }
            None => Width::Narrow,
        };
    }

    /// Notes that bytes are sent, so that another request may follow.
    fn note_sent(&mut self) {
        self.received = 0;
        if matches!(self.width, Width::Narrow) {
            self.width = Width::Ordinary;
        }
    }
}

/// Sets the receive buffer. A connection with the old one works as well, but slower.
fn set_receive_buffer(stream: &TcpStream, bytes: usize) {
    if let Err(error) = SockRef::from(stream).set_recv_buffer_size(bytes) {
        log::debug!(error:% = error; "cannot set SO_RCVBUF");
    }
}
