//! The lease of the node that gives orders to engines.
//!
//! A record in a topic of the store, added only if nothing was added since the
//! node read it, makes a node the holder; the record's offset is its fencing
//! number. The holder may give orders for a short time after it *sent* the
//! record. Another node waits until that time and the pause between two holders
//! are over, counted from when it first saw the record.

use std::time::Duration;

use crate::clock::Millis;

/// How long orders may be given after a record was sent.
const VALIDITY_MS: Millis = 700;

/// Added to the wait for another holder, for what is under way on the network.
const TRANSIT_MARGIN_MS: Millis = 250;

/// Pause after a call to the store that failed.
const RETRY_MS: Millis = 200;

/// What to do about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Orders may be given under this fencing number until then.
    Hold {
        /// Offset of the record.
        fencing: u64,
        /// Time after which no order may leave.
        until: Millis,
    },
    /// Read the topic from this offset on.
    Read(u64),
    /// Add a record if the topic ends at this offset.
    Append(u64),
    /// Nothing now.
    Wait,
}

/// What one node knows of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    node: String,
    handover_gap: Millis,
    end: u64,
    /// Offset to read from: that of the last record, as far as it is kept.
    read_from: u64,
    holder: Option<String>,
    record_seen_at: Millis,
    synced: bool,
    in_flight: bool,
    sent_at: Millis,
    held_until: Millis,
    fencing: u64,
    retry_at: Millis,
}

impl Lease {
    /// The lease as seen by the node `name`; `pause` must lie between the orders
    /// of two holders.
    pub fn new(name: &str, pause: Duration) -> Self {
        Self {
            node: name.to_owned(),
            handover_gap: pause.as_millis() as Millis,
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
        }
    }

    /// What to do now, given whether there are orders to give.
    pub fn step(&mut self, wanted: bool, now: Millis) -> LeaseStep {
        if now < self.held_until {
            return LeaseStep::Hold {
                fencing: self.fencing,
                until: self.held_until,
            };
        }
        if !wanted || self.in_flight || now < self.retry_at {
            return LeaseStep::Wait;
        }
        if !self.synced {
            self.in_flight = true;
            return LeaseStep::Read(self.read_from);
        }
        let quiet_at = self.record_seen_at + self.handover_gap + VALIDITY_MS + TRANSIT_MARGIN_MS;
        if self.held_by_other() && now < quiet_at {
            return LeaseStep::Wait;
        }
        self.in_flight = true;
        self.sent_at = now;
        LeaseStep::Append(self.end)
    }

    /// True when another node was the last holder.
    pub fn held_by_other(&self) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| *holder != self.node)
    }

    /// True when this node was the last holder.
    pub fn held_by_me(&self) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| *holder == self.node)
    }

    /// Name of the last holder.
    pub fn holder(&self) -> Option<&str> {
        self.holder.as_deref()
    }

    /// Offset behind this node's last record; 0 if it never was the holder.
    pub fn own_end(&self) -> u64 {
        if self.held_by_me() { self.end } else { 0 }
    }

    /// The topic was read: where it ends, and the last record.
    pub fn read(&mut self, end: u64, last: Option<&str>, now: Millis) {
        self.in_flight = false;
        self.synced = true;
        if end != self.end || self.holder.is_none() {
            self.record_seen_at = now;
        }
        self.set_end(end);
        if let Some(last) = last {
            self.holder = Some(last.to_owned());
        } else if end > 0 && self.holder.is_none() {
            // Somebody held it, but the record is gone.
            self.holder = Some(String::new());
        }
    }

    /// The records from the known offset on are gone; `first` is the oldest kept.
    pub fn trimmed(&mut self, first: u64) {
        self.in_flight = false;
        self.read_from = first;
    }

    fn set_end(&mut self, end: u64) {
        self.end = end;
        self.read_from = end.saturating_sub(1);
    }

    /// The record was added.
    pub fn appended(&mut self, offset: u64) {
        self.in_flight = false;
        self.set_end(offset + 1);
        self.holder = Some(self.node.clone());
        self.fencing = offset;
        self.held_until = self.sent_at + VALIDITY_MS;
    }

    /// A call did not succeed; the state of the topic must be read again.
    pub fn failed(&mut self, now: Millis) {
        self.in_flight = false;
        self.synced = false;
        self.retry_at = now + RETRY_MS;
    }

    /// The node must not give orders any more, as it leaves.
    pub fn relinquish(&mut self) {
        self.held_until = 0;
    }

    /// Another node says that it holds the lease up to `end`.
    pub fn observed(&mut self, name: &str, end: u64, now: Millis) {
        if end > self.end && !self.in_flight {
            self.set_end(end);
            self.holder = Some(name.to_owned());
            self.record_seen_at = now;
        }
    }
}
