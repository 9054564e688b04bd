//! Builders of records and manifest entries, shared by several tests.
#![allow(dead_code)] // Each test binary uses only some of them.

use flamingolock_core::manifest::{RequestKind, Service, Target, Workspace};
use flamingolock_core::prelude::*;
use flamingolock_core::record::{
    Entry, EntryChange, LogEntry, ManifestChange, NodeIncarnation, Record, RecordId,
};

pub fn node(name: &str, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation {
        instance: InstanceId::from(name),
        incarnation: Incarnation(incarnation),
    }
}

/// A valid key hash, different for every number.
pub fn hash(n: u64) -> String {
    format!("{n:064x}")
}

pub fn workspace(weight: f64, hashes: &[u64]) -> Workspace {
    Workspace {
        weight,
        key_hashes: hashes.iter().map(|n| hash(*n)).collect(),
        request_rate: None,
        max_inflight: None,
    }
}

pub fn put_workspace(name: &str, weight: f64, hashes: &[u64]) -> Entry {
    Entry::Workspace {
        name: name.into(),
        value: Some(workspace(weight, hashes)),
    }
}

pub fn remove_workspace(name: &str) -> Entry {
    Entry::Workspace {
        name: name.into(),
        value: None,
    }
}

pub fn put_service(name: &str) -> Entry {
    Entry::Service {
        name: name.into(),
        value: Some(Service::default()),
    }
}

pub fn booking(service: &str) -> RequestKind {
    RequestKind {
        target: Target::Service(service.into()),
        priority: 0,
        deadline_ms: 1000,
        repeatable: false,
    }
}

pub fn put_kind(name: &str, kind: RequestKind) -> Entry {
    Entry::Kind {
        name: name.into(),
        value: Some(kind),
    }
}

pub fn based(entry: Entry, base: Option<u64>) -> EntryChange {
    EntryChange {
        entry,
        base: base.map(Offset),
    }
}

pub fn change(author: &str, made_at: u64, entries: Vec<EntryChange>) -> Record {
    Record::ManifestChange(ManifestChange {
        author: author.into(),
        made_at: Millis(made_at),
        entries,
    })
}

pub fn at(offset: u64, time: u64, id: &str, record: Record) -> LogEntry {
    LogEntry {
        offset: Offset(offset),
        time: Millis(time),
        id: RecordId::from(id),
        record,
    }
}
