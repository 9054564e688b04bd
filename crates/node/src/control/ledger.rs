//! State replicated through the log: the folds of its streams, and appends to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use flamingolock_core::append::{
    AppendInput, AppendOutcome, AppendOutput, AppendSettings, Appender, BatchId,
};
use flamingolock_core::checkpoint::{
    self, AssemblyProgress, CheckpointAssembler, CheckpointScheduler, Due, PART_BYTES, Retention,
};
use flamingolock_core::claim_fold::{ClaimFold, ClaimRules, ClaimVerdict, ClaimsApplied};
use flamingolock_core::fold::{Applied, ControlFold};
use flamingolock_core::prelude::*;
use flamingolock_core::record::{
    CLAIMS_STREAM, CONTROL_STREAM, LogEntry, NodeIncarnation, Record, RecordId,
};

use crate::control::context::{Context, Effect};
use crate::log_client::{Page, ReadResponse};
use crate::settings::PlatformSettings;

/// Time after which the append of a checkpoint is given up.
const CHECKPOINT_APPEND_TIMEOUT: Millis = Millis(60_000);

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stream {
    /// Manifest changes, leases and checkpoints.
    Control,
    /// Claims and closings.
    Claims,
}

impl Stream {
    /// Returns the name of the stream on the platform.
    pub fn name(self) -> &'static str {
        match self {
            Stream::Control => CONTROL_STREAM,
            Stream::Claims => CLAIMS_STREAM,
        }
    }

    /// Returns the stream with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        [Stream::Control, Stream::Claims]
            .into_iter()
            .find(|stream| stream.name() == name)
    }
}

/// Result of a log operation, sent by a platform thread.
#[derive(Debug)]
pub enum LogEvent {
    /// A stream was read.
    Read {
        /// The stream.
        stream: Stream,
        /// Time at which the read was started.
        began: Millis,
        /// The result of the read.
        answer: ReadResponse,
    },
    /// An append succeeded.
    Appended {
        /// The stream.
        stream: Stream,
        /// The append.
        batch: BatchId,
        /// Offset of its first record.
        first: Offset,
    },
    /// An append was refused without effect.
    Refused {
        /// The stream.
        stream: Stream,
        /// The append.
        batch: BatchId,
        /// Time to wait before a retry.
        retry_after: Millis,
    },
    /// An append was not answered; it may have taken effect.
    Lost {
        /// The stream.
        stream: Stream,
        /// The append.
        batch: BatchId,
    },
}

/// Next offset to read of each stream, shared with the log reader threads.
#[derive(Debug, Default)]
pub struct LogCursors {
    control: AtomicU64,
    claims: AtomicU64,
}

impl LogCursors {
    fn cursor(&self, stream: Stream) -> &AtomicU64 {
        match stream {
            Stream::Control => &self.control,
            Stream::Claims => &self.claims,
        }
    }

    /// Returns the next offset to read of a stream.
    pub fn get(&self, stream: Stream) -> Offset {
        Offset(self.cursor(stream).load(Ordering::Relaxed))
    }

    fn set(&self, stream: Stream, offset: Offset) {
        self.cursor(stream).store(offset.0, Ordering::Relaxed);
    }
}

/// Event of the log that other controllers handle.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerEvent {
    /// The append of a record of this node has ended.
    Settled {
        /// The record.
        id: RecordId,
        /// How it ended.
        outcome: AppendOutcome,
    },
    /// A lease record of the control stream was accepted or rejected.
    Lease {
        /// The record.
        id: RecordId,
        /// The verdict.
        verdict: flamingolock_core::lease::LeaseVerdict,
    },
    /// Verdicts on claims of this incarnation.
    ClaimsDecided(Vec<ClaimVerdict>),
    /// An incarnation was closed: its later claims are void.
    Closed(NodeIncarnation),
}

/// Folds and appenders of the log's streams on one node.
pub struct Ledger {
    local_node: NodeIncarnation,
    control: ControlFold,
    claims: ClaimFold,
    /// Records read behind a gap at the start of a trimmed stream, buffered until a
    /// checkpoint is complete.
    past_gap: Vec<LogEntry>,
    assembler: CheckpointAssembler,
    checkpoint_scheduler: CheckpointScheduler,
    retention: Retention,
    appenders: BTreeMap<Stream, Appender>,
    cursors: Arc<LogCursors>,
    claims_trimmed: bool,
    published_offset: Option<Offset>,
    checkpoint_count: u64,
    events: Vec<LedgerEvent>,
}

impl Ledger {
    /// Creates a ledger that has read nothing yet.
    pub fn new(
        local_node: NodeIncarnation,
        settings: &PlatformSettings,
        cursors: Arc<LogCursors>,
        now: Millis,
    ) -> Self {
        let retention = Retention {
            age: Millis(settings.retention_ms),
            records: settings.retention_records,
        };
        let append = AppendSettings {
            rate: settings.append_rate,
            ..AppendSettings::default()
        };
        let appenders = [Stream::Control, Stream::Claims]
            .into_iter()
            .map(|stream| (stream, Appender::new(append, now)))
            .collect();
        Self {
            checkpoint_scheduler: CheckpointScheduler::new(local_node.instance.as_str(), retention),
            local_node,
            control: ControlFold::default(),
            claims: ClaimFold::new(ClaimRules::default()),
            past_gap: Vec::new(),
            assembler: CheckpointAssembler::default(),
            retention,
            appenders,
            cursors,
            claims_trimmed: false,
            published_offset: None,
            checkpoint_count: 0,
            events: Vec::new(),
        }
    }

    /// Returns the fold of the control stream.
    pub fn control(&self) -> &ControlFold {
        &self.control
    }

    /// Returns the fold of the claims stream.
    pub fn claims(&self) -> &ClaimFold {
        &self.claims
    }

    /// Returns and clears the pending events for other controllers.
    pub fn take_events(&mut self) -> Vec<LedgerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Appends a record. [`LedgerEvent::Settled`] reports the outcome.
    pub fn append(
        &mut self,
        ctx: &mut Context<'_>,
        stream: Stream,
        id: RecordId,
        record: Record,
        deadline: Millis,
    ) {
        let input = AppendInput::Submit {
            id,
            record: Box::new(record),
            deadline,
        };
        self.step_appender(ctx, stream, input);
    }

    /// Handles the result of a log operation.
    pub fn handle(&mut self, ctx: &mut Context<'_>, event: LogEvent) {
        match event {
            LogEvent::Read {
                stream,
                began,
                answer,
            } => self.read(ctx, stream, began, answer),
            LogEvent::Appended {
                stream,
                batch,
                first,
            } => {
                self.step_appender(ctx, stream, AppendInput::Acknowledged { batch, first });
            }
            LogEvent::Refused {
                stream,
                batch,
                retry_after,
            } => {
                self.step_appender(ctx, stream, AppendInput::Refused { batch, retry_after });
            }
            LogEvent::Lost { stream, batch } => {
                self.step_appender(ctx, stream, AppendInput::Lost { batch });
            }
        }
    }

    /// Runs the timers of the appenders and appends a checkpoint if one is due.
    pub fn tick(&mut self, ctx: &mut Context<'_>) {
        self.step_appender(ctx, Stream::Control, AppendInput::Tick);
        self.step_appender(ctx, Stream::Claims, AppendInput::Tick);
        if self.checkpoint_scheduler.due(ctx.now, self.control.next()) == Due::Now {
            self.append_checkpoint(ctx);
        }
    }

    /// Applies records received from a peer, in order. Returns true if the fold advanced.
    pub fn apply_peer_entries(&mut self, ctx: &mut Context<'_>, entries: &[LogEntry]) -> bool {
        let before = self.control.next();
        for entry in entries {
            self.apply_control(ctx, entry);
        }
        self.publish(ctx);
        self.control.next() > before
    }

    /// Installs a copy of the control fold received from a peer. Returns false if the copy
    /// is not ahead of this node's fold.
    pub fn install_fold(&mut self, ctx: &mut Context<'_>, copy: ControlFold) -> bool {
        let covers = copy.next();
        if !self.control.adopt(copy) {
            return false;
        }
        self.checkpoint_scheduler.adopted(covers, ctx.now);
        self.cursors.set(Stream::Control, self.control.next());
        self.publish(ctx);
        true
    }

    fn read(&mut self, ctx: &mut Context<'_>, stream: Stream, began: Millis, answer: ReadResponse) {
        match (stream, answer) {
            (Stream::Control, ReadResponse::Trimmed { start }) => {
                log::warn!(
                    "control stream is trimmed before offset {start}; looking for a checkpoint"
                );
                self.past_gap.clear();
                self.assembler = CheckpointAssembler::default();
                self.cursors.set(stream, start);
            }
            (Stream::Claims, ReadResponse::Trimmed { start }) => {
                self.claims_trimmed = true;
                self.cursors.set(stream, start);
            }
            (Stream::Control, ReadResponse::Page(page)) => {
                let entries = page.entries();
                self.read_control(ctx, &page, &entries);
                self.notify_appender(ctx, stream, began, &page, &entries);
            }
            (Stream::Claims, ReadResponse::Page(page)) => {
                let entries = page.entries();
                self.read_claims(ctx.now, &page, &entries);
                self.notify_appender(ctx, stream, began, &page, &entries);
            }
        }
    }

    /// Tells the appender which records the log contains, and whether the read reached
    /// the end of the stream.
    fn notify_appender(
        &mut self,
        ctx: &mut Context<'_>,
        stream: Stream,
        began: Millis,
        page: &Page,
        entries: &[LogEntry],
    ) {
        for entry in entries {
            let input = AppendInput::Observed {
                offset: entry.offset,
                id: entry.id.clone(),
            };
            self.step_appender(ctx, stream, input);
        }
        if self.cursors.get(stream) >= page.end {
            self.step_appender(ctx, stream, AppendInput::CaughtUp { began });
        }
    }

    fn read_control(&mut self, ctx: &mut Context<'_>, page: &Page, entries: &[LogEntry]) {
        for entry in entries {
            if entry.offset <= self.control.next() {
                self.apply_control(ctx, entry);
                continue;
            }
            self.buffer_past_gap(ctx, entry, page.start);
        }
        let read = entries.last().map(|entry| entry.offset.next());
        let next = read.unwrap_or_default().max(self.control.next());
        if next > self.cursors.get(Stream::Control) {
            self.cursors.set(Stream::Control, next);
        }
        self.publish(ctx);
    }

    /// Buffers a record behind a gap. It is applied once a checkpoint closes the gap.
    fn buffer_past_gap(&mut self, ctx: &mut Context<'_>, entry: &LogEntry, start: Offset) {
        self.past_gap.push(entry.clone());
        match self.assembler.add(entry, start) {
            AssemblyProgress::Waiting | AssemblyProgress::Trimmed => {}
            AssemblyProgress::Invalid(error) => {
                log::warn!("ignoring an unusable checkpoint: {error}");
            }
            AssemblyProgress::Complete(fold) => {
                let covers = fold.next();
                if self.control.adopt(*fold) {
                    self.checkpoint_scheduler.adopted(covers, entry.time);
                }
                for entry in std::mem::take(&mut self.past_gap) {
                    if entry.offset >= self.control.next() {
                        self.apply_control(ctx, &entry);
                    }
                }
            }
        }
    }

    fn apply_control(&mut self, ctx: &mut Context<'_>, entry: &LogEntry) {
        let applied = self.control.apply(entry);
        match &applied {
            Applied::Old | Applied::Gap { .. } => return,
            Applied::Changed(keys) => {
                let keys: Vec<String> = keys.iter().map(ToString::to_string).collect();
                log::info!(
                    "applied manifest change {} at offset {}: {}",
                    entry.id,
                    entry.offset,
                    keys.join(", ")
                );
            }
            Applied::Lease(verdict) => {
                let event = LedgerEvent::Lease {
                    id: entry.id.clone(),
                    verdict: verdict.clone(),
                };
                self.events.push(event);
            }
            Applied::Duplicate | Applied::Checkpoint => {}
            Applied::Refused(_)
            | Applied::Invalid(_)
            | Applied::Untimely { .. }
            | Applied::Misplaced
            | Applied::Unreadable(_) => {
                log::warn!(
                    "ignoring record {} at offset {}: {applied:?}",
                    entry.id,
                    entry.offset
                );
            }
        }
        self.checkpoint_scheduler.observe(entry);
        self.cursors.set(Stream::Control, self.control.next());
        let input = AppendInput::Observed {
            offset: entry.offset,
            id: entry.id.clone(),
        };
        self.step_appender(ctx, Stream::Control, input);
    }

    fn read_claims(&mut self, now: Millis, page: &Page, entries: &[LogEntry]) {
        if self.claims_trimmed && self.claims.next() < page.start {
            let oldest = entries.first().map_or(now, |entry| entry.time);
            let since = oldest.min(now - self.retention.age);
            let rules = *self.claims.rules();
            self.claims = ClaimFold::starting_at(rules, page.start, since);
        }
        self.claims_trimmed = false;
        for entry in entries {
            match self.claims.apply(entry) {
                ClaimsApplied::Decided(verdicts) => {
                    let own: Vec<ClaimVerdict> = verdicts
                        .into_iter()
                        .filter(|verdict| verdict.owner == self.local_node)
                        .collect();
                    if !own.is_empty() {
                        self.events.push(LedgerEvent::ClaimsDecided(own));
                    }
                }
                ClaimsApplied::Closed(node) => self.events.push(LedgerEvent::Closed(node)),
                ClaimsApplied::WrongStream | ClaimsApplied::Unreadable(_) => {
                    log::warn!("ignoring claims record at offset {}", entry.offset);
                }
                ClaimsApplied::AlreadyApplied | ClaimsApplied::Gap { .. } => {}
            }
        }
        self.cursors.set(Stream::Claims, self.claims.next());
    }

    fn step_appender(&mut self, ctx: &mut Context<'_>, stream: Stream, input: AppendInput) {
        let Some(appender) = self.appenders.get_mut(&stream) else {
            return;
        };
        for output in appender.step(ctx.now, input) {
            match output {
                AppendOutput::Send { batch, records } => {
                    ctx.effects.push(Effect::Append {
                        stream,
                        batch,
                        records,
                    });
                }
                AppendOutput::Unconfirmed(id) => {
                    log::info!(
                        "append of {id} was not answered; looking for the record in the log"
                    );
                }
                AppendOutput::Settled { id, outcome } => {
                    self.events.push(LedgerEvent::Settled { id, outcome });
                }
            }
        }
    }

    fn append_checkpoint(&mut self, ctx: &mut Context<'_>) {
        // Only one checkpoint is appended at a time. `CheckpointScheduler` remains due until
        // it has seen the parts in the log.
        let busy = self
            .appenders
            .get(&Stream::Control)
            .is_some_and(|a| a.pending() > 0);
        if busy || self.control.next() == Offset(0) {
            return;
        }
        self.checkpoint_count += 1;
        let set = format!("checkpoint-{}-{}", self.local_node, self.checkpoint_count);
        let deadline = ctx.now + CHECKPOINT_APPEND_TIMEOUT;
        for part in checkpoint::encode(&self.control, &set, PART_BYTES) {
            let id = RecordId(format!("{set}-{}", part.part));
            self.append(ctx, Stream::Control, id, Record::Checkpoint(part), deadline);
        }
    }

    /// Publishes the manifest if the fold has advanced since the last call.
    fn publish(&mut self, ctx: &Context<'_>) {
        let next = self.control.next();
        if self.published_offset == Some(next) {
            return;
        }
        self.published_offset = Some(next);
        let changed = ctx.view.load().manifest.as_ref() != self.control.manifest();
        let manifest = changed.then(|| Arc::new(self.control.manifest().clone()));
        let index = changed.then(|| Arc::new(self.control.index().clone()));
        let ready = !self.control.manifest().workspaces.is_empty();
        ctx.publish(|view| {
            if let Some(manifest) = manifest {
                view.manifest = manifest;
            }
            if let Some(index) = index {
                view.index = index;
            }
            view.offset = next;
            view.ready = ready;
        });
    }
}
