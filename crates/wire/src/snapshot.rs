//! Splitting of snapshots into parts that fit a frame, and their reassembly.

use bytes::{Bytes, BytesMut};
use flamingolock_core::ids::Offset;

use crate::message::Snapshot;

/// Maximum size of one part in bytes.
pub const PART_BYTES: usize = 256 * 1024;

/// Maximum number of parts per snapshot, which limits the memory that a peer can make
/// this node allocate.
pub const MAX_PARTS: u32 = 256;

/// Splits a snapshot of all records before `offset` into parts.
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

/// Reassembles the parts that one peer sends in order on one connection.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    offset: Offset,
    received: u32,
    bytes: BytesMut,
}

impl SnapshotAssembler {
    /// Adds the next part and returns the snapshot once it is complete. Part 0 starts a
    /// new snapshot. A part that is out of order or exceeds a limit discards the parts
    /// received so far.
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
