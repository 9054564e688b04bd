//! Splitting a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
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
    pub fn push(&mut self, bytes: &[u8], after: Option<u64>) -> Option<EventBatch> {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        let mut last_id = after;
        while let Some(end) = event_end(&self.buffer) {
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
        (!out.is_empty()).then(|| EventBatch {
            bytes: out.freeze(),
            last_id,
        })
    }

    /// Number of bytes that do not form a complete event yet.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
