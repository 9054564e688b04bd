//! Splitting a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Bytes that do not become an event.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("no event ends within {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes of the buffer in which no event ends.
    scanned: usize,
    /// Start of the last line in them.
    line_start: usize,
}

/// Complete events that were extracted by one call.
#[derive(Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of the events, including the blank line after each.
    pub bytes: Bytes,
    /// Highest event id so far, or the `after` of the call if no event had an id.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete, without those
    /// whose id is not greater than `after` or than the id of an earlier event.
    ///
    /// # Errors
    ///
    /// If the bytes behind the last complete event are more than an event may have.
    pub fn push(
        &mut self,
        bytes: &[u8],
        after: Option<u64>,
    ) -> Result<Option<EventBatch>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        let mut last_id = after;
        while let Some(end) = self.event_end() {
            let event = self.buffer.split_to(end);
            match event_id(&event) {
                Some(id) if last_id.is_some_and(|last| id <= last) => {}
                Some(id) => {
                    last_id = Some(id);
                    out.extend_from_slice(&event);
                }
                None => out.extend_from_slice(&event),
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok((!out.is_empty()).then(|| EventBatch {
            bytes: out.freeze(),
            last_id,
        }))
    }

    /// Returns the length of the first event, including the blank line that ends it. Bytes
    /// are looked at once.
    fn event_end(&mut self) -> Option<usize> {
        for at in self.scanned..self.buffer.len() {
            if self.buffer[at] != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                (self.scanned, self.line_start) = (0, 0);
                return Some(at + 1);
            }
            self.line_start = at + 1;
        }
        self.scanned = self.buffer.len();
        None
    }

    /// Number of bytes that do not form a complete event yet.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
