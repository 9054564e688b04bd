//! Whether a request has been written to its connection. A response that ends before may have
//! been cut off together with the request, and its end does not tell.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::observed_stream::{IoEvent, ObservedStream};
use crate::payload::Payload;

/// `TCP_NOTSENT_LOWAT`: bytes that the kernel takes beyond those that it has sent. Without it a large
/// request would count as written while its server reads nothing.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;

/// A part of the body is still to be taken by the connection.
const UNFINISHED: u8 = 0;

/// The connection has taken all of the body.
const TAKEN: u8 = 1;

/// The system has taken all of the request.
const WRITTEN: u8 = 2;

/// No request is under way.
const IDLE: u8 = 3;

/// How far the last request on a connection has been written. Clones share it.
#[derive(Clone, Debug)]
pub struct Upload(Arc<AtomicU8>);

impl Default for Upload {
    fn default() -> Self {
        Self(Arc::new(AtomicU8::new(IDLE)))
    }
}

impl Upload {
    /// Begins to write a request with this body.
    pub fn begin(&self, payload: Payload) -> UploadBody {
        let state = if payload.is_empty() {
            TAKEN
        } else {
            UNFINISHED
        };
        self.0.store(state, Ordering::Relaxed);
        UploadBody {
            payload,
            upload: self.clone(),
        }
    }

    /// True if the request has been written to its end.
    pub fn is_written(&self) -> bool {
        self.0.load(Ordering::Relaxed) == WRITTEN
    }

    /// Notes that the response to the last request has ended.
    pub fn finish(&self) {
        self.0.store(IDLE, Ordering::Relaxed);
    }

    /// True if no request is under way.
    pub fn is_idle(&self) -> bool {
        self.0.load(Ordering::Relaxed) == IDLE
    }

    fn advance(&self, from: u8, to: u8) {
        // In any other state there is nothing to note.
        let _ = self
            .0
            .compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed);
    }
}

/// Body of a request that is being written.
#[derive(Debug)]
pub struct UploadBody {
    payload: Payload,
    upload: Upload,
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = ready!(Pin::new(&mut self.payload).poll_frame(context));
        if self.payload.is_empty() {
            self.upload.advance(UNFINISHED, TAKEN);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.payload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.payload.size_hint()
    }
}

/// Notes in `upload` how far requests are written to a connection.
pub fn observe(
    stream: TcpStream,
    upload: Upload,
) -> ObservedStream<impl FnMut(&TcpStream, IoEvent)> {
    // Without the option, large requests count as written too early.
    if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!(error:% = error; "cannot set TCP_NOTSENT_LOWAT");
    }
    ObservedStream::new(stream, move |_: &TcpStream, event| {
        if event == IoEvent::Flushed {
            upload.advance(TAKEN, WRITTEN);
        }
    })
}
