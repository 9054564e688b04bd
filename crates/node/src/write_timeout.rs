//! Fails writes to connections whose peer does not read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// A TCP stream on which a write fails if it makes no progress before a timeout.
///
/// Without the timeout, a peer that is gone or does not read would occupy the
/// connection and its write buffer for as long as the kernel retransmits.
pub struct WriteTimeout {
    stream: TcpStream,
    limit: Duration,
    deadline: Pin<Box<Sleep>>,
    write_pending: bool,
}

impl WriteTimeout {
    /// Wraps `stream` so that a write that is pending for `limit` fails.
    pub fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            deadline: Box::pin(tokio::time::sleep(limit)),
            write_pending: false,
        }
    }

    fn check_deadline<T>(
        &mut self,
        context: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.write_pending = false;
            return progress;
        }
        if !self.write_pending {
            self.write_pending = true;
            self.deadline.as_mut().reset(Instant::now() + self.limit);
        }
        ready!(self.deadline.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(context, data);
        self.check_deadline(context, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_deadline(context, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(context);
        self.check_deadline(context, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_shutdown(context);
        self.check_deadline(context, progress)
    }
}
