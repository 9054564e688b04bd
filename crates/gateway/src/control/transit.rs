//! Delay of datagrams between nodes, from the clock readings that they carry.
//!
//! The clocks of two nodes differ by an unknown offset. The datagram that took least recently
//! tells it; the delay of the others is what they took longer.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Time for which the fastest datagram of a sender tells the offset of its clock, in ms. An
/// older one does not count, as clocks drift.
const OFFSET_WINDOW_MS: Millis = 10 * 60 * 1_000;

/// Delay from which on a datagram counts as late, in ms.
const LATE_MS: Millis = 250;

/// Minimum time between two reports of late datagrams, in ms.
const REPORT_INTERVAL_MS: Millis = 1_000;

/// The offset of a sender's clock: the smallest difference between the times at which a
/// datagram was handled and sent, in this window and the one before.
#[derive(Debug)]
struct ClockOffset {
    window_start: Millis,
    current: i64,
    former: i64,
}

impl ClockOffset {
    fn record(&mut self, difference: i64, now: Millis) {
        if now >= self.window_start + OFFSET_WINDOW_MS {
            self.former = self.current;
            self.current = difference;
            self.window_start = now;
        }
        self.current = self.current.min(difference);
    }

    fn smallest(&self) -> i64 {
        self.current.min(self.former)
    }
}

/// Late datagrams since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LateReport {
    /// Number of datagrams.
    pub datagrams: u32,
    /// Number of those that were late.
    pub late: u32,
    /// Largest delay in ms.
    pub max_delay: Millis,
}

/// Delays of the datagrams of all senders.
#[derive(Debug, Default)]
pub struct Transits {
    /// By incarnation of the sender.
    offsets: BTreeMap<u64, ClockOffset>,
    report: LateReport,
    reported_at: Millis,
    was_late: bool,
}

impl Transits {
    /// Returns how much longer than the fastest recent one of its sender, a node's incarnation, a
    /// datagram took, in ms.
    pub fn delay(&mut self, sender: u64, sent_at: Millis, now: Millis) -> Millis {
        let difference = now.cast_signed() - sent_at.cast_signed();
        let offset = self.offsets.entry(sender).or_insert(ClockOffset {
            window_start: now,
            current: difference,
            former: difference,
        });
        offset.record(difference, now);
        let delay = (difference - offset.smallest()).cast_unsigned();
        self.report.datagrams += 1;
        self.report.late += u32::from(delay >= LATE_MS);
        self.report.max_delay = self.report.max_delay.max(delay);
        delay
    }

    /// Returns the late datagrams since the last report; once more after the last of them, and
    /// none otherwise.
    pub fn take_report(&mut self, now: Millis) -> Option<LateReport> {
        if now < self.reported_at + REPORT_INTERVAL_MS {
            return None;
        }
        self.reported_at = now;
        let report = std::mem::take(&mut self.report);
        let is_late = report.late > 0;
        let was_late = std::mem::replace(&mut self.was_late, is_late);
        (is_late || was_late).then_some(report)
    }

    /// Forgets the senders that have been silent for so long that their offset does not count.
    pub fn forget_old(&mut self, now: Millis) {
        self.offsets
            .retain(|_, offset| now < offset.window_start + 2 * OFFSET_WINDOW_MS);
    }
}
