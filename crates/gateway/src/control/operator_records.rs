//! The operator's records: decoding them, those that are in force, and the ones before
//! them, against which records for other nodes are compressed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use flamingolock_wire::topic_copies::KnownRecord;

use crate::dialect::{DecodeError, Dialect, KeyedRecord, OperatorRecord};

/// Maximum number of superseded records that are kept.
const MAX_SUPERSEDED: usize = 4;

/// Maximum size of the values of the superseded records, in bytes.
const MAX_SUPERSEDED_BYTES: usize = 4 * 1024 * 1024;

/// Size from which on a superseded value is worth keeping, in bytes.
const MIN_SUPERSEDED_BYTES: usize = 1024;

/// A record of the operator with its content. Decoding a large configuration takes long
/// and is not done on the control thread.
#[derive(Debug)]
pub struct OperatorUpdate {
    /// The record as read from the store.
    pub record: KeyedRecord,
    /// What it says; none if it deletes its key.
    pub content: Option<Result<OperatorRecord, DecodeError>>,
}

impl OperatorUpdate {
    /// Decodes a record.
    pub fn decode(dialect: &Dialect, record: KeyedRecord) -> Self {
        let started = Instant::now();
        let value = record.value.as_ref();
        let content = value.map(|value| (dialect.operator_record)(&record.key, value));
        if let Some(Ok(OperatorRecord::Catalog(catalog))) = &content {
            let decode_ms = started.elapsed().as_millis() as u64;
            log::info!(version = catalog.version, offset = record.offset, bytes = size(&record), decode_ms;
                "decoded a configuration");
        }
        Self { record, content }
    }

    /// Decodes records.
    pub fn decode_all(dialect: &Dialect, records: Vec<KeyedRecord>) -> Vec<Self> {
        let records = records.into_iter();
        records
            .map(|record| Self::decode(dialect, record))
            .collect()
    }
}

/// The newest record of each key, and some of the ones that they replaced.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    newest: BTreeMap<String, KeyedRecord>,
    superseded: VecDeque<KeyedRecord>,
}

fn size(record: &KeyedRecord) -> usize {
    record.value.as_ref().map_or(0, bytes::Bytes::len)
}

impl OperatorRecords {
    /// Adds a record that came into force.
    pub fn insert(&mut self, record: KeyedRecord) {
        let replaced = self.newest.insert(record.key.clone(), record);
        let Some(replaced) = replaced.filter(|old| size(old) >= MIN_SUPERSEDED_BYTES) else {
            return;
        };
        self.superseded.push_back(replaced);
        while self.superseded.len() > MAX_SUPERSEDED
            || self.superseded.iter().map(size).sum::<usize>() > MAX_SUPERSEDED_BYTES
        {
            self.superseded.pop_front();
        }
    }

    /// True if the record, or a newer one of its key, is in force.
    pub fn contains(&self, record: &KeyedRecord) -> bool {
        let known = self.newest.get(&record.key);
        known.is_some_and(|known| known.offset >= record.offset)
    }

    /// Keys and offsets of the records in force.
    pub fn known(&self) -> Vec<KnownRecord> {
        let records = self.newest.values();
        records
            .map(|record| KnownRecord {
                key: record.key.clone(),
                offset: record.offset,
            })
            .collect()
    }

    /// Records that are newer than those another node knows, each with the one that the
    /// other node has, if this one has it as well.
    pub fn newer_than(&self, known: &[KnownRecord]) -> Vec<(KeyedRecord, Option<KeyedRecord>)> {
        let known: BTreeMap<&str, u64> = known
            .iter()
            .map(|known| (known.key.as_str(), known.offset))
            .collect();
        let records = self.newest.values();
        records
            .filter(|record| {
                let offset = known.get(record.key.as_str());
                offset.is_none_or(|offset| *offset < record.offset)
            })
            .map(|record| {
                let base = known
                    .get(record.key.as_str())
                    .and_then(|offset| self.superseded(&record.key, *offset));
                (record.clone(), base.cloned())
            })
            .collect()
    }

    fn superseded(&self, key: &str, offset: u64) -> Option<&KeyedRecord> {
        self.superseded
            .iter()
            .find(|record| record.key == key && record.offset == offset)
    }

    /// The records in force.
    pub fn iter(&self) -> impl Iterator<Item = &KeyedRecord> {
        self.newest.values()
    }
}
