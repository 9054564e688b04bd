//! Bytes that lie in several parts of limited size, so that a large body needs neither copies
//! while it grows nor a large piece of the heap.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The body of a request, or a response that was read whole. Clones share the bytes.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    parts: Arc<[Bytes]>,
    /// Number of parts that have been taken as frames.
    taken: usize,
    /// Bytes in the parts that are left.
    left: usize,
}

impl Payload {
    /// Joins parts in this order.
    pub fn of_parts(parts: Vec<Bytes>) -> Self {
        let left = parts.iter().map(Bytes::len).sum();
        Self {
            parts: parts.into(),
            taken: 0,
            left,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.left
    }

    /// True if there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.left == 0
    }

    /// The parts in their order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts[self.taken..].iter().map(AsRef::as_ref)
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        Self::of_parts(vec![bytes])
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        while let Some(part) = self.parts.get(self.taken).cloned() {
            self.taken += 1;
            self.left -= part.len();
            if !part.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(part))));
            }
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
