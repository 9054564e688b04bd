//! Receive buffers of clients' connections. What they hold unread counts toward the memory of
//! the process, so a connection gets a wide one only for a large body, and only while there is
//! memory for it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::limited_log::LimitedLog;
use crate::memory_plan::{RECEIVE_BUFFER, UNREAD_FACTOR, WIDE_RECEIVE_BUFFER};
use crate::metrics::{EventKind, Metrics};

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

/// A connection whose receive buffer grows when its client sends a large body.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    buffers: WideBuffers,
    width: Width,
    /// Bytes received since the last ones were sent.
    received: usize,
}

impl ClientStream {
    /// Gives an accepted connection an ordinary receive buffer.
    pub fn new(stream: TcpStream, buffers: WideBuffers) -> Self {
        set_receive_buffer(&stream, RECEIVE_BUFFER);
        Self {
            stream,
            buffers,
            width: Width::Ordinary,
            received: 0,
        }
    }

    /// Makes the buffer wide once the client has sent much, if there is memory for it.
    fn note_received(&mut self, bytes: usize) {
        self.received += bytes;
        if self.received < LARGE_BYTES || !matches!(self.width, Width::Ordinary) {
            return;
        }
        self.width = match self.buffers.take() {
            Some(memory) => {
                set_receive_buffer(&self.stream, WIDE_RECEIVE_BUFFER);
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

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        self.note_received(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.note_sent();
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.note_sent();
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
