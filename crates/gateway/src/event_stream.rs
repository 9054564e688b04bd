//! Splitting a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Fields that say something to a reader of events. A comment has an empty name.
const EVENT_FIELDS: [&[u8]; 5] = [b"id", b"data", b"event", b"retry", b""];

/// Bytes that do not become an event.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SplitError {
    /// The bytes behind the last event are more than one may have.
    #[error("no event ends within {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A block of lines is no event, such as the text of an error or the head of a response.
    #[error("a block of {0} bytes is no event")]
    NotAnEvent(usize),
}

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
    /// If the bytes behind the last complete event are more than an event may have, or no event.
    /// The events before them in the same call are lost with them: they can be asked for
    /// again.
    pub fn push(
        &mut self,
        bytes: &[u8],
        after: Option<u64>,
    ) -> Result<Option<EventBatch>, SplitError> {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        let mut last_id = after;
        while let Some(end) = self.event_end() {
            let event = self.buffer.split_to(end);
            if !is_event(&event) {
                return Err(SplitError::NotAnEvent(event.len()));
            }
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
            return Err(SplitError::TooLong);
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

/// True if a block of lines has the form of an event: lines of fields, at least one of which
/// says something. Blank lines by themselves mean nothing.
fn is_event(block: &[u8]) -> bool {
    let mut names = block
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .filter(|line| !line.is_empty())
        .map(field_name)
        .peekable();
    if names.peek().is_none() {
        return true;
    }
    let mut is_known = false;
    names.all(|name| {
        is_known |= EVENT_FIELDS.contains(&name);
        name.iter().copied().all(is_name_byte)
    }) && is_known
}

/// Name of the field in a line: what stands before the colon, or the whole line.
fn field_name(line: &[u8]) -> &[u8] {
    line.split(|byte| *byte == b':').next().unwrap_or(line)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_')
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
