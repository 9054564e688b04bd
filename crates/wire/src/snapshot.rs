//! Cutting a snapshot into frames and joining them again.

use bytes::{Bytes, BytesMut};
use flamingolock_core::ids::Offset;

use crate::message::Snapshot;

/// Bytes of one part.
pub const PART_BYTES: usize = 256 * 1024;

/// Most parts of one snapshot, so that a peer cannot fill the memory.
pub const MAX_PARTS: u32 = 256;

/// Cuts a snapshot of everything before `offset`.
pub fn split(stream: &str, offset: Offset, bytes: &Bytes) -> Vec<Snapshot> {
    let parts = bytes.len().div_ceil(PART_BYTES).max(1);
    (0..parts)
        .map(|part| {
            let start = part * PART_BYTES;
            let end = bytes.len().min(start + PART_BYTES);
            Snapshot {
                stream: stream.to_owned(),
                offset: offset.0,
                part: part as u32,
                parts: parts as u32,
                bytes: bytes.slice(start..end),
            }
        })
        .collect()
}

/// Joins the parts that one peer sends in order on one connection.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    offset: Offset,
    received: u32,
    bytes: BytesMut,
}

impl SnapshotAssembler {
    /// Takes the next part and returns the snapshot once it is whole. A part that
    /// does not follow drops what came before it.
    pub fn push(&mut self, part: &Snapshot) -> Option<(Offset, Bytes)> {
        if part.part == 0 {
            *self = Self {
                offset: Offset(part.offset),
                ..Self::default()
            };
        }
        let follows = part.part == self.received && part.offset == self.offset.0;
        let fits = part.parts <= MAX_PARTS && part.bytes.len() <= PART_BYTES;
        if !follows || !fits || part.part >= part.parts {
            *self = Self::default();
            return None;
        }
        self.bytes.extend_from_slice(&part.bytes);
        self.received += 1;
        if self.received < part.parts {
            return None;
        }
        let whole = std::mem::take(self);
        Some((whole.offset, whole.bytes.freeze()))
    }
}
