//! Events of a `text/event-stream`, read from and written to HTTP bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio_util::codec::{Decoder, LinesCodec};

/// Longest accepted line of an event.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Why no further event can be read.
#[derive(Debug, Error)]
pub enum SseError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// A line is too long or no UTF-8.
    #[error("unreadable line: {0}")]
    Line(#[from] tokio_util::codec::LinesCodecError),
}

/// Reads the `data` of events from a body.
pub struct SseReader {
    body: Incoming,
    buffer: BytesMut,
    lines: LinesCodec,
    last_id: Option<String>,
}

impl SseReader {
    /// Starts at the beginning of `body`.
    pub fn new(body: Incoming) -> Self {
        let lines = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
        Self {
            body,
            buffer: BytesMut::new(),
            lines,
            last_id: None,
        }
    }

    /// Identifier of the newest event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The data of the next event, or `None` at the end of the body.
    ///
    /// Each event carries one `data` line, as engines of this API send them.
    ///
    /// # Errors
    ///
    /// When the connection fails or a line cannot be read.
    pub async fn next(&mut self) -> Result<Option<String>, SseError> {
        loop {
            while let Some(line) = self.lines.decode(&mut self.buffer)? {
                if let Some(id) = line.strip_prefix("id:") {
                    self.last_id = Some(id.trim().to_owned());
                }
                if let Some(data) = line.strip_prefix("data:") {
                    return Ok(Some(data.trim_start().to_owned()));
                }
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

/// One event as bytes, with an optional identifier for resuming.
pub fn event(id: Option<&str>, data: &str) -> Bytes {
    match id {
        Some(id) => Bytes::from(format!("id: {id}\ndata: {data}\n\n")),
        None => Bytes::from(format!("data: {data}\n\n")),
    }
}
