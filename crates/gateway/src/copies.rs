//! Copies of the store's topics as they go from one node to another: what is offered, how
//! it is compressed, and how it is decoded.

use std::collections::VecDeque;

use bytes::Bytes;
use flamingolock_wire::topic_copies::{Packing, Record, TopicCopies};
use tokio::sync::Mutex;
use tokio::task::spawn_blocking;

use crate::clock::Millis;
use crate::control::operator_records::OperatorUpdate;
use crate::dialect::{Dialect, KeyedRecord};
use crate::packing::{pack, unpack};
use crate::peer_sync::TransferError;

/// Size from which on values are compressed, in bytes.
const MIN_PACKED_BYTES: usize = 1024;

/// Number of compressed values that are kept for other nodes that ask for the same.
const MAX_PACKED_VALUES: usize = 4;

/// Records that a node offers to another one.
#[derive(Debug)]
pub struct Offer {
    /// Records of the operator topic, each with the one of the same key that the other
    /// node has, if this node has it as well.
    pub operator: Vec<(KeyedRecord, Option<KeyedRecord>)>,
    /// Offset after the last record of the operator topic that was read.
    pub operator_end: u64,
    /// Time since the copy of the operator topic was last known to be current, in ms.
    pub operator_age: Millis,
    /// Endpoint entries.
    pub endpoints: Vec<KeyedRecord>,
    /// Time since the copy of the entries was last known to be current, in ms.
    pub endpoints_age: Millis,
}

/// Records that another node sent.
#[derive(Debug)]
pub struct Copies {
    /// When they were asked for. Their ages count from then, or later.
    pub requested_at: Millis,
    /// Records of the operator topic.
    pub operator: Vec<OperatorUpdate>,
    /// Offset after the last record of the operator topic that was read.
    pub operator_end: u64,
    /// Time since the copy of the operator topic was last known to be current, in ms.
    pub operator_age: Millis,
    /// Endpoint entries; empty if they were not asked for.
    pub endpoints: Vec<KeyedRecord>,
    /// Time since the copy of the entries was last known to be current, in ms.
    pub endpoints_age: Millis,
}

/// The compressed value of a record.
#[derive(Debug)]
struct PackedValue {
    key: String,
    offset: u64,
    /// Offset of the record whose value is the base.
    base: Option<u64>,
    bytes: Bytes,
}

/// Compressed values that others may ask for, oldest first.
#[derive(Debug, Default)]
pub struct PackedValues(VecDeque<PackedValue>);

impl PackedValues {
    /// Returns the compressed value of a record; compresses it unless that was done for
    /// another node.
    async fn get(
        &mut self,
        record: &KeyedRecord,
        base: Option<&KeyedRecord>,
    ) -> Result<Bytes, TransferError> {
        let base_offset = base.map(|base| base.offset);
        let known = self.0.iter().find(|packed| {
            packed.key == record.key && packed.offset == record.offset && packed.base == base_offset
        });
        if let Some(packed) = known {
            return Ok(packed.bytes.clone());
        }
        let value = record.value.clone().unwrap_or_default();
        let base = base.and_then(|base| base.value.clone()).unwrap_or_default();
        let bytes: Bytes = spawn_blocking(move || pack(&value, &base)).await??.into();
        self.0.push_back(PackedValue {
            key: record.key.clone(),
            offset: record.offset,
            base: base_offset,
            bytes: bytes.clone(),
        });
        if self.0.len() > MAX_PACKED_VALUES {
            self.0.pop_front();
        }
        Ok(bytes)
    }
}

/// Encodes an offer; large values are compressed.
///
/// # Errors
///
/// If a value cannot be compressed.
pub async fn encode(
    offer: Offer,
    packed: &Mutex<PackedValues>,
) -> Result<TopicCopies, TransferError> {
    let mut operator = Vec::with_capacity(offer.operator.len());
    for (record, base) in offer.operator {
        let size = record.value.as_ref().map_or(0, Bytes::len);
        if size < MIN_PACKED_BYTES {
            operator.push(to_wire(record));
            continue;
        }
        // Others that wait for the same value find it when this one is done.
        let value = packed.lock().await.get(&record, base.as_ref()).await?;
        operator.push(Record {
            value,
            packing: Some(Packing {
                base: base.map(|base| base.offset),
            }),
            ..to_wire(record)
        });
    }
    Ok(TopicCopies {
        operator,
        operator_end: offer.operator_end,
        endpoints: offer.endpoints.into_iter().map(to_wire).collect(),
        endpoints_age_ms: offer.endpoints_age,
        operator_age_ms: offer.operator_age,
    })
}

fn to_wire(record: KeyedRecord) -> Record {
    Record {
        key: record.key,
        value: record.value.unwrap_or_default(),
        offset: record.offset,
        packing: None,
    }
}

/// Decodes what a node sent, given when it was asked and the records that the request named as
/// known. Large values are decoded on a thread of their own.
///
/// # Errors
///
/// If a value cannot be restored.
pub async fn decode(
    dialect: &'static Dialect,
    copies: TopicCopies,
    bases: &[KeyedRecord],
    requested_at: Millis,
) -> Result<Copies, TransferError> {
    let mut operator = Vec::with_capacity(copies.operator.len());
    for record in copies.operator {
        let base = match record.packing {
            Some(packing) => Some(base_value(&record.key, packing, bases)?),
            None => None,
        };
        let update = spawn_blocking(move || decode_record(dialect, record, base)).await??;
        operator.push(update);
    }
    Ok(Copies {
        requested_at,
        operator,
        operator_end: copies.operator_end,
        operator_age: copies.operator_age_ms,
        endpoints: copies.endpoints.into_iter().map(from_wire).collect(),
        endpoints_age: copies.endpoints_age_ms,
    })
}

/// Decodes a record whose value is compressed against `base`, if there is one.
fn decode_record(
    dialect: &Dialect,
    mut record: Record,
    base: Option<Bytes>,
) -> std::io::Result<OperatorUpdate> {
    if let Some(base) = base {
        record.value = unpack(&record.value, &base)?.into();
    }
    Ok(OperatorUpdate::decode(dialect, from_wire(record)))
}

fn base_value(key: &str, packing: Packing, bases: &[KeyedRecord]) -> Result<Bytes, TransferError> {
    let Some(offset) = packing.base else {
        return Ok(Bytes::new());
    };
    let base = bases
        .iter()
        .find(|record| record.key == key && record.offset == offset);
    base.and_then(|record| record.value.clone())
        .ok_or_else(|| TransferError::Invalid(format!("unknown base {offset} of {key}")))
}

fn from_wire(record: Record) -> KeyedRecord {
    KeyedRecord {
        key: record.key,
        value: Some(record.value),
        offset: record.offset,
    }
}
