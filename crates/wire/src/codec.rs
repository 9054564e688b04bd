//! Framing of [`PeerFrame`] values: a length prefix of four bytes, big-endian, then
//! the encoded message.

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::PeerFrame;

/// Maximum size of an encoded message in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Size of the length prefix in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Why a frame could not be read or written. The connection cannot be used
/// afterwards, because the position of the next frame is unknown.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The connection failed.
    #[error("I/O error on the connection to the peer")]
    Io(#[from] io::Error),
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("frame exceeds {MAX_FRAME_BYTES} bytes")]
    TooLarge,
    /// The connection ended within a frame.
    #[error("connection ended within a frame")]
    Truncated,
    /// The frame is not a valid message.
    #[error("frame is not a valid message")]
    Malformed(#[source] prost::DecodeError),
}

/// Reads and writes [`PeerFrame`] values.
#[derive(Debug)]
pub struct PeerCodec {
    frames: LengthDelimitedCodec,
    /// True after the length prefix of a frame was consumed, until its message is
    /// complete.
    mid_frame: bool,
}

impl PeerCodec {
    /// Returns a codec that expects the start of a frame.
    pub fn new() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            frames,
            mid_frame: false,
        }
    }
}

impl Default for PeerCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for PeerCodec {
    type Item = PeerFrame;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<PeerFrame>, CodecError> {
        let before = src.len();
        let Some(frame) = self.frames.decode(src).map_err(length_error)? else {
            self.mid_frame |= src.len() < before;
            return Ok(None);
        };
        self.mid_frame = false;
        PeerFrame::decode(frame.freeze())
            .map(Some)
            .map_err(CodecError::Malformed)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<PeerFrame>, CodecError> {
        match self.decode(src)? {
            Some(frame) => Ok(Some(frame)),
            None if src.is_empty() && !self.mid_frame => Ok(None),
            None => Err(CodecError::Truncated),
        }
    }
}

impl Encoder<PeerFrame> for PeerCodec {
    type Error = CodecError;

    fn encode(&mut self, frame: PeerFrame, dst: &mut BytesMut) -> Result<(), CodecError> {
        self.encode(&frame, dst)
    }
}

impl Encoder<&PeerFrame> for PeerCodec {
    type Error = CodecError;

    fn encode(&mut self, frame: &PeerFrame, dst: &mut BytesMut) -> Result<(), CodecError> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.frames.encode(bytes, dst).map_err(length_error)
    }
}

fn length_error(error: io::Error) -> CodecError {
    if error.kind() == io::ErrorKind::InvalidData || error.kind() == io::ErrorKind::InvalidInput {
        CodecError::TooLarge
    } else {
        CodecError::Io(error)
    }
}
