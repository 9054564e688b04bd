//! Decodes and encodes server-sent events (`text/event-stream`).

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio_util::codec::{Decoder, LinesCodec};

/// Largest accepted length of a line.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Reason why no further event can be read.
#[derive(Debug, Error)]
pub enum SseError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// A line is too long or not valid UTF-8.
    #[error("unreadable line: {0}")]
    Line(#[from] tokio_util::codec::LinesCodecError),
}

/// Reads the `data` fields of events from a response body.
pub struct SseReader {
    body: Incoming,
    buffer: BytesMut,
    lines: LinesCodec,
    last_id: Option<String>,
}

impl SseReader {
    /// Creates a reader of `body`.
    pub fn new(body: Incoming) -> Self {
        let lines = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
        Self {
            body,
            buffer: BytesMut::new(),
            lines,
            last_id: None,
        }
    }

    /// Returns the most recent event id.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the data of the next event, or `None` at the end of the body.
    ///
    /// Assumes one `data` line per event, which is how engines send them.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or a line cannot be decoded.
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

/// Encodes an event, with an optional id for resuming the stream.
pub fn event(id: Option<&str>, data: &str) -> Bytes {
    match id {
        Some(id) => Bytes::from(format!("id: {id}\ndata: {data}\n\n")),
        None => Bytes::from(format!("data: {data}\n\n")),
    }
}
