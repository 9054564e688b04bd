//! Lease that entitles one node to send orders to engines.
//!
//! A node acquires the lease by appending a record to a topic of the store on the
//! condition that nothing was appended since it last read the topic. The offset of
//! the record is the fencing token. The holder may send orders for a short time,
//! counted from when it *sent* the append. Any other node waits until that time and
//! the gap between two holders have passed, counted from when it first saw the
//! record.

use std::time::Duration;

use crate::clock::Millis;

/// Time after the start of an append during which the holder may send orders, in
/// ms.
const VALIDITY_MS: Millis = 700;

/// Additional wait before taking over from another holder, for messages still in
/// transit, in ms.
const TRANSIT_MARGIN_MS: Millis = 250;

/// Delay before a failed call to the store is retried, in ms.
const RETRY_MS: Millis = 200;

/// Next action of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// This node holds the lease and may send orders.
    Hold {
        /// Fencing token: the offset of the lease record.
        fencing: u64,
        /// Time after which no order may be sent.
        until: Millis,
    },
    /// Read the topic starting at this offset.
    Read(u64),
    /// Append a record if the topic ends at this offset.
    Append(u64),
    /// Do nothing.
    Wait,
}

/// State of the lease as known to one node.
#[derive(Clone, Debug)]
pub struct Lease {
    node: String,
    handover_gap: Millis,
    end: u64,
    /// Offset to read from: that of the last record, or the oldest one if that was
    /// trimmed.
    read_from: u64,
    holder: Option<String>,
    record_seen_at: Millis,
    synced: bool,
    in_flight: bool,
    sent_at: Millis,
    held_until: Millis,
    fencing: u64,
    retry_at: Millis,
    /// True if the topic's oldest records were found to be gone.
    is_trimmed: bool,
    /// Time until which another node may send orders under a record that is lost.
    blocked_until: Millis,
}

impl Lease {
    /// Creates the state for `node`. At least `handover_gap` must pass between the
    /// orders of two holders.
    pub fn new(node: &str, handover_gap: Duration) -> Self {
        Self {
            node: node.to_owned(),
            handover_gap: handover_gap.as_millis() as Millis,
            end: 0,
            read_from: 0,
            holder: None,
            record_seen_at: 0,
            synced: false,
            in_flight: false,
            sent_at: 0,
            held_until: 0,
            fencing: 0,
            retry_at: 0,
            is_trimmed: false,
            blocked_until: 0,
        }
    }

    /// Returns the next action; `wanted` tells whether there are orders to send.
    pub fn step(&mut self, wanted: bool, now: Millis) -> LeaseStep {
        if now < self.held_until {
            return LeaseStep::Hold {
                fencing: self.fencing,
                until: self.held_until,
            };
        }
        if !wanted || self.in_flight || now < self.retry_at.max(self.blocked_until) {
            return LeaseStep::Wait;
        }
        if !self.synced {
            self.in_flight = true;
            return LeaseStep::Read(self.read_from);
        }
        if self.held_by_other() && now < self.record_seen_at + self.takeover_wait() {
            return LeaseStep::Wait;
        }
        self.in_flight = true;
        self.sent_at = now;
        LeaseStep::Append(self.end)
    }

    /// Returns true if the last holder is another node.
    pub fn held_by_other(&self) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| *holder != self.node)
    }

    /// Returns true if the last holder is this node.
    pub fn held_by_me(&self) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| *holder == self.node)
    }

    /// Returns the name of the last holder.
    pub fn holder(&self) -> Option<&str> {
        self.holder.as_deref()
    }

    /// Offset behind this node's last record; 0 if it never was the holder.
    pub fn own_end(&self) -> u64 {
        if self.held_by_me() { self.end } else { 0 }
    }

    /// Handles a successful read of the topic: its end offset and its last record.
    pub fn read(&mut self, end: u64, last: Option<&str>, now: Millis) {
        self.in_flight = false;
        self.synced = true;
        if end != self.end || self.holder.is_none() {
            self.record_seen_at = now;
        }
        self.set_end(end);
        if let Some(last) = last {
            self.holder = Some(last.to_owned());
        } else if self.is_trimmed && self.holder.is_none() {
            // There was a holder, but its record was trimmed.
            self.holder = Some(String::new());
        }
    }

    /// Handles a read from an offset that was trimmed; `first` is the oldest offset
    /// that is kept.
    pub fn trimmed(&mut self, first: u64) {
        self.in_flight = false;
        self.is_trimmed = true;
        self.read_from = first;
    }

    /// Handles the loss of the topic's last records, as of now: the holder of one of them
    /// may not know, and may go on sending orders until its record expires.
    pub fn records_lost(&mut self, now: Millis) {
        self.held_until = 0;
        self.synced = false;
        self.blocked_until = now + self.takeover_wait();
    }

    /// Time after another node's record was seen at which this node may take over, in ms.
    pub fn takeover_wait(&self) -> Millis {
        self.handover_gap + VALIDITY_MS + TRANSIT_MARGIN_MS
    }

    fn set_end(&mut self, end: u64) {
        self.end = end;
        self.read_from = end.saturating_sub(1);
    }

    /// Handles a successful append.
    pub fn appended(&mut self, offset: u64) {
        self.in_flight = false;
        self.set_end(offset + 1);
        self.holder = Some(self.node.clone());
        self.fencing = offset;
        self.held_until = self.sent_at + VALIDITY_MS;
    }

    /// Handles a failed call. The outcome of an append is unknown then, so the topic
    /// has to be read again.
    pub fn failed(&mut self, now: Millis) {
        self.in_flight = false;
        self.synced = false;
        self.retry_at = now + RETRY_MS;
    }

    /// Stops this node from sending orders under its current record, as it shuts down.
    pub fn relinquish(&mut self) {
        self.held_until = 0;
    }

    /// Handles gossip of another node whose lease record ends at `end`.
    pub fn observed(&mut self, name: &str, end: u64, now: Millis) {
        if end > self.end && !self.in_flight {
            self.set_end(end);
            self.holder = Some(name.to_owned());
            self.record_seen_at = now;
        }
    }
}
