//! Publishes manifests: reads the control stream, appends one change and reads back
//! its result.

use std::time::{Duration, Instant};

use flamingolock_core::checkpoint::{AssemblyProgress, CheckpointAssembler};
use flamingolock_core::fold::{Applied, Conflict, ControlFold};
use flamingolock_core::manifest::Manifest;
use flamingolock_core::manifest_fault::Problem;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{CONTROL_STREAM, LogEntry, ManifestChange, Record, RecordId};
use thiserror::Error;

use crate::control::now;
use crate::log_client::{LogClient, LogError, ReadResponse};

/// Number of records per read.
const PAGE_RECORDS: u32 = 1_000;

/// Pause between attempts while the log refuses.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a record to appear in the log after an append without a response. If it
/// does not, the append is assumed to have had no effect.
const LOST_APPEND_WAIT: Duration = Duration::from_secs(1);

/// Reason why a manifest was not published.
#[derive(Debug, Error)]
pub enum PublishError {
    /// The log did not respond in time; nothing was appended.
    #[error("the log cannot be used: {0}; nothing was published, try again later")]
    Log(#[from] LogError),
    /// The log is trimmed and holds no complete checkpoint.
    #[error("the log is trimmed and holds no complete checkpoint; wait until a node appends one")]
    NoCheckpoint,
    /// The manifest is invalid.
    #[error("the manifest has {} problems", .0.len())]
    Invalid(Vec<Problem>),
    /// The manifest was changed concurrently.
    #[error("another change came first")]
    Conflict(Vec<Conflict>),
    /// The log accepted the change outside of the time window after its creation.
    #[error("the log accepted the change too long after it was made; publish again")]
    OutsideWindow,
    /// The append was sent, but it is unknown whether it took effect.
    #[error("the outcome of change {id} is unknown; `manifest status {id}` will tell")]
    Unknown {
        /// Identifier of the change record.
        id: RecordId,
    },
}

/// Result of a successful publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Published {
    /// The manifest is already in force.
    Unchanged,
    /// The change is in force from this offset on.
    Accepted {
        /// Offset of its record.
        offset: Offset,
        /// Number of changed entries.
        entries: usize,
    },
}

/// Reads the control stream to its end and returns the resulting state.
///
/// # Errors
///
/// Returns an error if the log does not respond or holds no complete checkpoint.
pub fn read_fold(client: &LogClient) -> Result<ControlFold, PublishError> {
    let mut reader = StreamReader::default();
    reader.catch_up(client, |_, _| false)?;
    Ok(reader.fold)
}

/// Replaces the manifest in force by `manifest`, waiting at most `timeout`.
///
/// # Errors
///
/// Returns the problems of the manifest, the conflicting changes, or the failure of
/// the log.
pub fn publish(
    client: &LogClient,
    manifest: &Manifest,
    author: &str,
    timeout: Duration,
) -> Result<Published, PublishError> {
    let mut reader = StreamReader::default();
    reader.catch_up(client, |_, _| false)?;
    publish_with_reader(client, &mut reader, manifest, author, timeout)
}

/// Publishes a change relative to `fold`, a state of the control stream that the
/// author may have read some time ago.
///
/// # Errors
///
/// Fails like [`publish`]. A change made since then is a conflict.
pub fn publish_based_on(
    client: &LogClient,
    fold: ControlFold,
    manifest: &Manifest,
    author: &str,
    timeout: Duration,
) -> Result<Published, PublishError> {
    let mut reader = StreamReader {
        fold,
        ..StreamReader::default()
    };
    publish_with_reader(client, &mut reader, manifest, author, timeout)
}

fn publish_with_reader(
    client: &LogClient,
    reader: &mut StreamReader,
    manifest: &Manifest,
    author: &str,
    timeout: Duration,
) -> Result<Published, PublishError> {
    let entries = reader.fold.diff(manifest);
    if entries.is_empty() {
        return Ok(Published::Unchanged);
    }
    let problems = reader.fold.check(&entries);
    if !problems.is_empty() {
        return Err(PublishError::Invalid(problems));
    }
    let count = entries.len();
    let id = RecordId(format!("change-{}", ulid::Ulid::new()));
    let change = ManifestChange {
        author: author.to_owned(),
        made_at: now(),
        entries,
    };
    let records = [(id.clone(), Record::ManifestChange(change))];
    let deadline = Instant::now() + timeout;
    append_once(client, reader, &records, deadline)?;
    let applied = reader.wait_for(client, &id, deadline)?;
    match applied {
        Some((offset, Applied::Changed(_))) => Ok(Published::Accepted {
            offset,
            entries: count,
        }),
        Some((_, Applied::Refused(conflicts))) => Err(PublishError::Conflict(conflicts)),
        Some((_, Applied::Invalid(problems))) => Err(PublishError::Invalid(problems)),
        Some((_, Applied::Untimely { .. })) => Err(PublishError::OutsideWindow),
        _ => Err(PublishError::Unknown { id }),
    }
}

/// Appends the record. If there is no response, the log is searched for the record
/// before it is sent again; a second copy with the same id has no effect.
fn append_once(
    client: &LogClient,
    reader: &mut StreamReader,
    records: &[(RecordId, Record)],
    deadline: Instant,
) -> Result<(), PublishError> {
    let mut in_doubt = false;
    loop {
        match client.append(CONTROL_STREAM, records) {
            Ok(_) => return Ok(()),
            Err(error @ (LogError::Refused { .. } | LogError::Unreachable { .. })) => {
                if Instant::now() >= deadline {
                    let id = records[0].0.clone();
                    return Err(if in_doubt {
                        PublishError::Unknown { id }
                    } else {
                        PublishError::Log(error)
                    });
                }
                std::thread::sleep(RETRY_INTERVAL);
            }
            Err(LogError::NoResponse { .. }) => {
                in_doubt = true;
                let search_until = (Instant::now() + LOST_APPEND_WAIT).min(deadline);
                if reader
                    .wait_for(client, &records[0].0, search_until)?
                    .is_some()
                {
                    return Ok(());
                }
                if Instant::now() >= deadline {
                    return Err(PublishError::Unknown {
                        id: records[0].0.clone(),
                    });
                }
            }
        }
    }
}

/// Reads the control stream outside of a node.
#[derive(Default)]
struct StreamReader {
    fold: ControlFold,
    assembler: CheckpointAssembler,
    buffered: Vec<LogEntry>,
    applied: Vec<(RecordId, Offset, Applied)>,
}

impl StreamReader {
    /// Reads to the end of the stream, or until `stop` returns true for an applied record.
    fn catch_up(
        &mut self,
        client: &LogClient,
        stop: impl Fn(&LogEntry, &Applied) -> bool,
    ) -> Result<(), PublishError> {
        let mut from = self.fold.next();
        loop {
            match client.read(CONTROL_STREAM, from, PAGE_RECORDS, Millis(0))? {
                ReadResponse::Trimmed { start } => from = start,
                ReadResponse::Page(page) => {
                    for entry in &page.entries() {
                        from = entry.offset.next();
                        if self.process(entry, page.start, &stop) {
                            return Ok(());
                        }
                    }
                    if from >= page.end {
                        let gap = self.fold.next() < page.end;
                        return if gap {
                            Err(PublishError::NoCheckpoint)
                        } else {
                            Ok(())
                        };
                    }
                }
            }
        }
    }

    fn process(
        &mut self,
        entry: &LogEntry,
        start: Offset,
        stop: &impl Fn(&LogEntry, &Applied) -> bool,
    ) -> bool {
        if entry.offset > self.fold.next() {
            self.buffered.push(entry.clone());
            if let AssemblyProgress::Complete(fold) = self.assembler.add(entry, start) {
                self.fold.adopt(*fold);
                for buffered in std::mem::take(&mut self.buffered) {
                    self.apply(&buffered);
                }
            }
            return false;
        }
        let applied = self.apply(entry);
        stop(entry, &applied)
    }

    fn apply(&mut self, entry: &LogEntry) -> Applied {
        let applied = self.fold.apply(entry);
        if !matches!(applied, Applied::Old | Applied::Duplicate) {
            self.applied
                .push((entry.id.clone(), entry.offset, applied.clone()));
        }
        applied
    }

    /// Waits until the record with this id is applied. Returns `None` if that does not
    /// happen before `deadline`.
    fn wait_for(
        &mut self,
        client: &LogClient,
        id: &RecordId,
        deadline: Instant,
    ) -> Result<Option<(Offset, Applied)>, PublishError> {
        loop {
            let read = self.catch_up(client, |_, _| false);
            let found = self.applied.iter().find(|(found, _, _)| found == id);
            if let Some((_, offset, applied)) = found {
                return Ok(Some((*offset, applied.clone())));
            }
            if Instant::now() >= deadline {
                return read.map(|()| None).or(Ok(None));
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Returns the result of the change with this id, if the log still holds its record.
///
/// # Errors
///
/// Returns an error if the log does not respond or holds no complete checkpoint.
pub fn status(
    client: &LogClient,
    id: &RecordId,
) -> Result<Option<(Offset, Applied)>, PublishError> {
    let mut reader = StreamReader::default();
    reader.catch_up(client, |_, _| false)?;
    let found = reader.applied.into_iter().find(|(found, _, _)| found == id);
    Ok(found.map(|(_, offset, applied)| (offset, applied)))
}
