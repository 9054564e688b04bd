//! A TCP connection whose reads and writes are observed.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoEvent {
    /// This many bytes were received.
    Received(usize),
    /// Bytes are about to be sent.
    Sending,
    /// The system has taken all bytes that were to be sent.
    Flushed,
}

/// A connection that reports each [`IoEvent`] to `observe`.
#[derive(Debug)]
pub struct ObservedStream<F> {
    stream: TcpStream,
    observe: F,
}

impl<F: FnMut(&TcpStream, IoEvent)> ObservedStream<F> {
    /// Observes a connection.
    pub fn new(stream: TcpStream, observe: F) -> Self {
        Self { stream, observe }
    }

    /// Returns the connection, which is no longer observed.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn report(&mut self, event: IoEvent) {
        (self.observe)(&self.stream, event);
    }
}

impl<F: FnMut(&TcpStream, IoEvent) + Unpin> AsyncRead for ObservedStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.report(IoEvent::Received(buffer.filled().len() - before));
        Poll::Ready(Ok(()))
    }
}

impl<F: FnMut(&TcpStream, IoEvent) + Unpin> AsyncWrite for ObservedStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.report(IoEvent::Sending);
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.report(IoEvent::Sending);
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once the buffers of the protocol are empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.report(IoEvent::Flushed);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
