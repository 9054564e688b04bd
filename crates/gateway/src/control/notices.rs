//! Requests of endpoints to this node, which they make in the headers of their responses.
//!
//! They hold for one incarnation of an endpoint, and are kept apart from its state because
//! its entry may lapse and come back while the store is out of reach. A response does not
//! name the incarnation that sent it: if the endpoint cannot reach the store after a restart,
//! its entry is still that of the incarnation before. So a notice also holds for the next
//! incarnation, until an entry shows that the earlier one sent it or the endpoint is asked.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Millis;
use crate::endpoint::{Endpoint, EndpointKey};

/// Time after its last notice for which an endpoint that is not listed is remembered, in
/// ms.
const RETENTION_MS: Millis = 15 * 60 * 1_000;

/// What an endpoint asks of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It is leaving and wants no more requests.
    Leaving,
    /// It wants no requests for this time.
    Pause(Duration),
    /// It was asked, and does not say that it is leaving.
    Staying,
}

/// Whether an endpoint wants requests from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It does.
    Accepts,
    /// Not before this time.
    Paused(Millis),
    /// It is leaving.
    Leaving,
}

/// Notices of one endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointNotices {
    /// Start time of the incarnation that sent them, in Unix milliseconds.
    start_time_ms: u64,
    leaving: bool,
    paused_until: Millis,
    received_at: Millis,
    /// When an entry of this incarnation was first read after its last notice.
    seen_at: Option<Millis>,
    /// Start time of a later incarnation that may have sent them.
    maybe_sent_by: Option<u64>,
}

impl EndpointNotices {
    /// True if they hold for an incarnation with this start time. An entry of an earlier
    /// incarnation, or one that states no start time, may come back: then the endpoint is
    /// still the one that sent them.
    fn hold_for(&self, start_time_ms: u64) -> bool {
        start_time_ms <= self.start_time_ms || self.maybe_sent_by == Some(start_time_ms)
    }
}

/// Notices of all endpoints.
#[derive(Debug, Default)]
pub struct Notices {
    endpoints: BTreeMap<EndpointKey, EndpointNotices>,
}

impl Notices {
    /// Records a notice. Returns true if it tells something new. One in a late response to a
    /// request that was placed at an earlier incarnation says nothing of the newer one.
    pub fn record(&mut self, endpoint: &Endpoint, notice: Notice, now: Millis) -> bool {
        let before = self.acceptance(endpoint, now);
        let none = EndpointNotices {
            start_time_ms: endpoint.start_time_ms,
            leaving: false,
            paused_until: 0,
            received_at: now,
            seen_at: None,
            maybe_sent_by: None,
        };
        let notices = self.endpoints.entry(endpoint.key()).or_insert(none);
        if endpoint.start_time_ms < notices.start_time_ms {
            return false;
        }
        if endpoint.start_time_ms > notices.start_time_ms {
            *notices = none;
        }
        notices.received_at = now;
        match notice {
            Notice::Staying => return before != Acceptance::Accepts,
            Notice::Leaving => notices.leaving = true,
            Notice::Pause(time) => {
                let time = Millis::try_from(time.as_millis()).unwrap_or(Millis::MAX);
                let until = now.saturating_add(time);
                notices.paused_until = notices.paused_until.max(until);
            }
        }
        notices.seen_at = None;
        before == Acceptance::Accepts
    }

    /// Records that an entry of the endpoint was read. Returns true if the endpoint has to be
    /// asked whether it is leaving.
    pub fn entry_read(&mut self, endpoint: &Endpoint, now: Millis) -> bool {
        let Some(notices) = self.endpoints.get_mut(&endpoint.key()) else {
            return false;
        };
        if endpoint.start_time_ms == notices.start_time_ms {
            notices.seen_at.get_or_insert(now);
        }
        let was_seen = notices.seen_at.is_some_and(|at| at < now);
        if endpoint.start_time_ms > notices.start_time_ms && !was_seen {
            notices.maybe_sent_by = Some(endpoint.start_time_ms);
        }
        self.is_unproven(endpoint)
    }

    /// True if it is not known whether this incarnation or the one before has said that it is
    /// leaving.
    pub fn is_unproven(&self, endpoint: &Endpoint) -> bool {
        let notices = self.endpoints.get(&endpoint.key());
        notices.is_some_and(|notices| {
            notices.leaving && notices.maybe_sent_by == Some(endpoint.start_time_ms)
        })
    }

    /// Returns whether the endpoint wants requests from this node.
    pub fn acceptance(&self, endpoint: &Endpoint, now: Millis) -> Acceptance {
        match self.endpoints.get(&endpoint.key()) {
            Some(notices) if !notices.hold_for(endpoint.start_time_ms) => Acceptance::Accepts,
            Some(notices) if notices.leaving => Acceptance::Leaving,
            Some(notices) if now < notices.paused_until => Acceptance::Paused(notices.paused_until),
            _ => Acceptance::Accepts,
        }
    }

    /// Forgets the notices of endpoints that have not been listed for a long time.
    pub fn forget_old(&mut self, is_listed: impl Fn(EndpointKey) -> bool, now: Millis) {
        self.endpoints
            .retain(|key, notices| is_listed(*key) || now < notices.received_at + RETENTION_MS);
    }
}
