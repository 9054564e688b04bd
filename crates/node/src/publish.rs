//! Publishing manifests: read the fold, append one change, read it back.

use std::time::{Duration, Instant};

use flamingolock_core::checkpoint::{AssemblyProgress, CheckpointAssembler};
use flamingolock_core::fold::{Applied, Conflict, ControlFold};
use flamingolock_core::manifest::Manifest;
use flamingolock_core::manifest_fault::Problem;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{CONTROL_STREAM, LogEntry, ManifestChange, Record, RecordId};
use thiserror::Error;

use crate::control::now;
use crate::log_client::{LogClient, LogError, ReadAnswer};

/// Records that one read asks for.
const PAGE: u32 = 1_000;

/// Pause between attempts while the log refuses.
const RETRY: Duration = Duration::from_millis(200);

/// Time without the record after which a lost append counts as without effect.
const SETTLE: Duration = Duration::from_secs(1);

/// Why a manifest was not published.
#[derive(Debug, Error)]
pub enum PublishError {
    /// The log gives no answer in time; nothing was appended.
    #[error("the log cannot be used: {0}; nothing was published, try again later")]
    Log(#[from] LogError),
    /// The log is trimmed and holds no checkpoint.
    #[error("the log is trimmed and holds no whole checkpoint; wait until a node appends one")]
    NoCheckpoint,
    /// The manifest is wrong.
    #[error("the manifest has {} problems", .0.len())]
    Invalid(Vec<Problem>),
    /// Another change came first.
    #[error("another change came first")]
    Conflict(Vec<Conflict>),
    /// The log took the change too late.
    #[error("the log took the change too long after it was made; publish again")]
    Untimely,
    /// The append was sent, and nobody knows whether it took effect.
    #[error("the outcome of change {id} is unknown; `manifest status {id}` will tell")]
    Unknown {
        /// Id of the record.
        id: RecordId,
    },
}

/// A published change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Published {
    /// The manifest in force was equal already.
    Nothing,
    /// The change is in force from this offset on.
    Accepted {
        /// Offset of its record.
        offset: Offset,
        /// Entries that changed.
        entries: usize,
    },
}

/// Reads the control stream to its end.
///
/// # Errors
///
/// When the log gives no answer or holds no usable checkpoint.
pub fn read_fold(client: &LogClient) -> Result<ControlFold, PublishError> {
    let mut reader = Reader::default();
    reader.catch_up(client, |_, _| false)?;
    Ok(reader.fold)
}

/// Publishes `manifest` in place of the one in force; waits at most `patience`.
///
/// # Errors
///
/// Says which problem or which other change stands in the way.
pub fn publish(
    client: &LogClient,
    manifest: &Manifest,
    author: &str,
    patience: Duration,
) -> Result<Published, PublishError> {
    let mut reader = Reader::default();
    reader.catch_up(client, |_, _| false)?;
    publish_on(client, &mut reader, manifest, author, patience)
}

/// Publishes a change that is based on the state that `fold` shows, which the
/// author may have read some time ago.
///
/// # Errors
///
/// As [`publish`]; a change that came in between is a conflict.
pub fn publish_based_on(
    client: &LogClient,
    fold: ControlFold,
    manifest: &Manifest,
    author: &str,
    patience: Duration,
) -> Result<Published, PublishError> {
    let mut reader = Reader {
        fold,
        ..Reader::default()
    };
    publish_on(client, &mut reader, manifest, author, patience)
}

fn publish_on(
    client: &LogClient,
    reader: &mut Reader,
    manifest: &Manifest,
    author: &str,
    patience: Duration,
) -> Result<Published, PublishError> {
    let entries = reader.fold.diff(manifest);
    if entries.is_empty() {
        return Ok(Published::Nothing);
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
    let limit = Instant::now() + patience;
    append_once(client, reader, &records, limit)?;
    let applied = reader.find(client, &id, limit)?;
    match applied {
        Some((offset, Applied::Changed(_))) => Ok(Published::Accepted {
            offset,
            entries: count,
        }),
        Some((_, Applied::Refused(conflicts))) => Err(PublishError::Conflict(conflicts)),
        Some((_, Applied::Invalid(problems))) => Err(PublishError::Invalid(problems)),
        Some((_, Applied::OutsideWindow { .. })) => Err(PublishError::Untimely),
        _ => Err(PublishError::Unknown { id }),
    }
}

/// Appends the record. After a lost answer it is looked for before it is sent
/// again, and a second copy under the same id changes nothing.
fn append_once(
    client: &LogClient,
    reader: &mut Reader,
    records: &[(RecordId, Record)],
    limit: Instant,
) -> Result<(), PublishError> {
    let mut in_doubt = false;
    loop {
        match client.append(CONTROL_STREAM, records) {
            Ok(_) => return Ok(()),
            Err(error @ (LogError::Refused { .. } | LogError::Unreachable { .. })) => {
                if Instant::now() >= limit {
                    let id = records[0].0.clone();
                    return Err(if in_doubt {
                        PublishError::Unknown { id }
                    } else {
                        PublishError::Log(error)
                    });
                }
                std::thread::sleep(RETRY);
            }
            Err(LogError::Lost { .. }) => {
                in_doubt = true;
                let settle = (Instant::now() + SETTLE).min(limit);
                if reader.find(client, &records[0].0, settle)?.is_some() {
                    return Ok(());
                }
                if Instant::now() >= limit {
                    return Err(PublishError::Unknown {
                        id: records[0].0.clone(),
                    });
                }
            }
        }
    }
}

/// A reader of the control stream outside of any node.
#[derive(Default)]
struct Reader {
    fold: ControlFold,
    assembler: CheckpointAssembler,
    passed: Vec<LogEntry>,
    found: Vec<(RecordId, Offset, Applied)>,
}

impl Reader {
    /// Reads to the end of the stream, or until `stop` holds for an applied record.
    fn catch_up(
        &mut self,
        client: &LogClient,
        stop: impl Fn(&LogEntry, &Applied) -> bool,
    ) -> Result<(), PublishError> {
        let mut from = self.fold.next();
        loop {
            match client.read(CONTROL_STREAM, from, PAGE, Millis(0))? {
                ReadAnswer::Trimmed { start } => from = start,
                ReadAnswer::Page(page) => {
                    for entry in &page.entries() {
                        from = entry.offset.next();
                        if self.take(entry, page.start, &stop) {
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

    fn take(
        &mut self,
        entry: &LogEntry,
        start: Offset,
        stop: &impl Fn(&LogEntry, &Applied) -> bool,
    ) -> bool {
        if entry.offset > self.fold.next() {
            self.passed.push(entry.clone());
            if let AssemblyProgress::Complete(fold) = self.assembler.add(entry, start) {
                self.fold.adopt(*fold);
                for passed in std::mem::take(&mut self.passed) {
                    self.apply(&passed);
                }
            }
            return false;
        }
        let applied = self.apply(entry);
        stop(entry, &applied)
    }

    fn apply(&mut self, entry: &LogEntry) -> Applied {
        let applied = self.fold.apply(entry);
        if !matches!(applied, Applied::AlreadyApplied | Applied::Duplicate) {
            self.found
                .push((entry.id.clone(), entry.offset, applied.clone()));
        }
        applied
    }

    /// Waits for the record of this id; none when it does not come before `limit`.
    fn find(
        &mut self,
        client: &LogClient,
        id: &RecordId,
        limit: Instant,
    ) -> Result<Option<(Offset, Applied)>, PublishError> {
        loop {
            let read = self.catch_up(client, |_, _| false);
            let found = self.found.iter().find(|(found, _, _)| found == id);
            if let Some((_, offset, applied)) = found {
                return Ok(Some((*offset, applied.clone())));
            }
            if Instant::now() >= limit {
                return read.map(|()| None).or(Ok(None));
            }
            std::thread::sleep(RETRY);
        }
    }
}

/// What became of the change with this id, as far as the log still tells.
///
/// # Errors
///
/// When the log gives no answer.
pub fn status(
    client: &LogClient,
    id: &RecordId,
) -> Result<Option<(Offset, Applied)>, PublishError> {
    let mut reader = Reader::default();
    reader.catch_up(client, |_, _| false)?;
    let found = reader.found.into_iter().find(|(found, _, _)| found == id);
    Ok(found.map(|(_, offset, applied)| (offset, applied)))
}
