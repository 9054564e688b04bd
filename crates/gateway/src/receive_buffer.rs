//! Receive buffers of clients' connections. What they hold unread counts toward the memory of
//! the process, so a connection gets a wide one only for a large body, and only while there is
//! memory for it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::memory_plan::{RECEIVE_BUFFER, UNREAD_FACTOR, WIDE_RECEIVE_BUFFER};

/// Bytes that a client sends without an answer after which its receive buffer is made wide.
const LARGE_BYTES: usize = 16 * 1024;

/// What a wide buffer may hold beyond an ordinary one, in bytes.
const WIDE_EXTRA: usize = (WIDE_RECEIVE_BUFFER - RECEIVE_BUFFER) * UNREAD_FACTOR;

/// Memory for wide receive buffers. Clones share it.
#[derive(Clone, Debug)]
pub struct WideBuffers(Arc<Mutex<usize>>);

impl WideBuffers {
    /// Memory of this many bytes.
    pub fn with_limit(bytes: usize) -> Self {
        Self(Arc::new(Mutex::new(bytes)))
    }

    fn take(&self) -> Option<WideBuffer> {
        let mut left = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *left = left.checked_sub(WIDE_EXTRA)?;
        Some(WideBuffer(self.clone()))
    }
}

/// Memory of a wide buffer, given back on drop. A window that a client knows of cannot be
/// taken back, so it is held until the connection closes.
#[derive(Debug)]
struct WideBuffer(WideBuffers);

impl Drop for WideBuffer {
    fn drop(&mut self) {
        let mut left = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        *left += WIDE_EXTRA;
    }
}

/// A connection whose receive buffer grows when its client sends a large body.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    buffers: WideBuffers,
    wide: Option<WideBuffer>,
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
            wide: None,
            received: 0,
        }
    }

    fn note_received(&mut self, bytes: usize) {
        self.received += bytes;
        if self.received < LARGE_BYTES || self.wide.is_some() {
            return;
        }
        self.wide = self.buffers.take();
        if self.wide.is_some() {
            set_receive_buffer(&self.stream, WIDE_RECEIVE_BUFFER);
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
        self.received = 0;
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.received = 0;
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
