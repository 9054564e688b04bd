//! The operator's records that are in force, and the ones before them, against which
//! records for other nodes are compressed.

use std::collections::{BTreeMap, VecDeque};

use flamingolock_wire::topic_copies::KnownRecord;

use crate::dialect::KeyedRecord;

/// Maximum number of superseded records that are kept.
const MAX_SUPERSEDED: usize = 4;

/// Maximum size of the values of the superseded records, in bytes.
const MAX_SUPERSEDED_BYTES: usize = 4 * 1024 * 1024;

/// Size from which on a superseded value is worth keeping, in bytes.
const MIN_SUPERSEDED_BYTES: usize = 1024;

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
    pub fn insert(&mut self, record: &KeyedRecord) {
        let replaced = self.newest.insert(record.key.clone(), record.clone());
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
