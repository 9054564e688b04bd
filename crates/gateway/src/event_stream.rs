//! Cutting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Bytes of a stream that do not make a whole event yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

/// Whole events that arrived together.
#[derive(Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes, ends included.
    pub bytes: Bytes,
    /// Id of the last one that has an id.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes. Returns the events that are whole now, without those whose id
    /// is not above `after`.
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

    /// What is left when the stream has ended.
    pub fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Length of the first event, its blank line included.
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
