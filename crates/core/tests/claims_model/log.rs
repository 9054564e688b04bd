//! The log, and the nodes' appends and reads.

use flamingolock_core::append::{AppendInput, AppendOutcome, AppendOutput};
use flamingolock_core::call_message::CallInput;
use flamingolock_core::claim_fold::ClaimsApplied;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{LogEntry, Record, RecordId};

use super::{AppendFate, Fleet, LOG_JITTER, RETENTION};

impl Fleet {
    pub(super) fn submit_record(&mut self, n: usize, record: Record) -> RecordId {
        let id = RecordId(format!("{:06}", self.name()));
        let input = AppendInput::Submit {
            id: id.clone(),
            record: Box::new(record),
            deadline: self.clock(n) + Millis(200),
        };
        self.feed_appender(n, input);
        id
    }

    pub(super) fn feed_appender(&mut self, n: usize, input: AppendInput) {
        let now = self.clock(n);
        for output in self.nodes[n].appender.step(now, input) {
            match output {
                AppendOutput::Send { batch, records } => {
                    self.nodes[n].batches.push_back((batch, records));
                }
                AppendOutput::Unconfirmed(_) => self.counts.add("looking"),
                AppendOutput::Settled { id, outcome } => self.settled(n, &id, outcome),
            }
        }
    }

    pub(super) fn settled(&mut self, n: usize, id: &RecordId, outcome: AppendOutcome) {
        let Some(call) = self.nodes[n].claims.remove(id) else {
            return;
        };
        match outcome {
            AppendOutcome::Accepted(_) => {}
            AppendOutcome::NotAppended => self.feed(n, CallInput::ClaimRefused { call }),
            AppendOutcome::Unknown => self.feed(n, CallInput::ClaimInDoubt { call }),
        }
    }

    pub(super) fn append(&mut self, n: usize, fate: AppendFate) {
        let Some((batch, records)) = self.nodes[n].batches.pop_front() else {
            self.feed_appender(n, AppendInput::Tick);
            return;
        };
        let first = Offset(self.log.len() as u64);
        let input = match fate {
            AppendFate::Taken => AppendInput::Acknowledged { batch, first },
            AppendFate::Refused => AppendInput::Refused {
                batch,
                retry_after: Millis(20),
            },
            _ => AppendInput::Lost { batch },
        };
        for (id, record) in records {
            match fate {
                AppendFate::Taken | AppendFate::LostAnswer => self.write(id, record),
                AppendFate::Late => self.stragglers.push((id, record)),
                AppendFate::Refused | AppendFate::LostRequest => {}
            }
        }
        self.feed_appender(n, input);
    }

    pub(super) fn write(&mut self, id: RecordId, record: Record) {
        let offset = Offset(self.log.len() as u64);
        let jitter = offset.0 * 37 % LOG_JITTER;
        let time = Millis(self.now - jitter);
        self.log.push(LogEntry {
            offset,
            time,
            id,
            record,
        });
    }

    pub(super) fn tail(&mut self, n: usize, count: usize) {
        for _ in 0..count {
            let next = self.nodes[n].fold.next().0 as usize;
            if next < self.log_start {
                // What it missed cannot be read any more: it starts anew.
                self.crash(n);
                return;
            }
            let Some(entry) = self.log.get(next).cloned() else {
                let began = self.clock(n);
                self.feed_appender(n, AppendInput::CaughtUp { began });
                return;
            };
            let (offset, id) = (entry.offset, entry.id.clone());
            self.feed_appender(n, AppendInput::Observed { offset, id });
            match self.nodes[n].fold.apply(&entry) {
                ClaimsApplied::Decided(judged) => {
                    let me = self.nodes[n].life.clone();
                    for item in judged.into_iter().filter(|j| j.owner == me) {
                        let verdict = format!("{:?}", item.verdict);
                        let word = verdict.split('(').next().unwrap_or_default();
                        self.counts.add(format!("verdict: {word}"));
                        let (call, verdict) = (item.call, item.verdict);
                        self.feed(n, CallInput::ClaimDecided { call, verdict });
                    }
                }
                ClaimsApplied::Closed(node) => self.feed(n, CallInput::Closed { node }),
                other => panic!("{other:?}"),
            }
        }
    }

    pub(super) fn trim(&mut self) {
        let oldest = Millis(self.now - RETENTION);
        while self
            .log
            .get(self.log_start)
            .is_some_and(|entry| entry.time < oldest)
        {
            self.log_start += 1;
            self.counts.add("trimmed");
        }
    }
}
