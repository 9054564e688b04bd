//! Limits that endpoints state in their responses, for as long as they say so: the requests
//! a second that one takes from all nodes together, or the refusals a second that it bears.
//!
//! Each node keeps what any node was told last by each incarnation of an endpoint.

use std::collections::BTreeMap;

use flamingolock_wire::gossip::EndpointLimit;

use crate::clock::Millis;
use crate::endpoint::{Endpoint, EndpointKey};

/// Interval at which limits are reported again to other nodes, in ms.
const REPORT_INTERVAL_MS: Millis = 1_000;

/// Time for which what an endpoint stated is kept after it lifted its limit or is not listed
/// any more, in ms.
const RETENTION_MS: Millis = 30_000;

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second, or refusals, from all nodes together.
    pub per_second: f64,
    /// When the endpoint stated it last, as far as this node knows.
    pub stated_at: Millis,
}

/// What an incarnation of an endpoint stated last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Start time of the incarnation, in Unix milliseconds.
    pub start_time_ms: u64,
    /// Requests a second, or refusals; none if it states no limit any more.
    pub per_second: Option<f64>,
    /// When it stated so.
    pub at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    statement: Statement,
    /// True if other nodes have not been told of the last change.
    is_news: bool,
}

/// What all endpoints stated last.
#[derive(Debug, Default)]
pub struct StatedLimits {
    endpoints: BTreeMap<EndpointKey, Known>,
    reported_at: Millis,
}

impl StatedLimits {
    /// Records what an endpoint stated to this node. Returns true if that changes the limit.
    pub fn record(&mut self, endpoint: EndpointKey, statement: Statement) -> bool {
        let changed = self.apply(endpoint, statement);
        if changed && let Some(known) = self.endpoints.get_mut(&endpoint) {
            known.is_news = true;
        }
        changed
    }

    /// Merges what another node was told, from a message that was written at this time. `is_relay`
    /// is true if this node passes news on. Returns true if that changes the limit.
    pub fn merge(&mut self, remote: &EndpointLimit, is_relay: bool, written_at: Millis) -> bool {
        let statement = Statement {
            start_time_ms: remote.start_time_ms,
            per_second: remote
                .per_second
                .filter(|limit| limit.is_finite() && *limit >= 0.0),
            at: written_at.saturating_sub(Millis::from(remote.age_ms)),
        };
        let changed = self.apply(remote.endpoint, statement);
        if let Some(known) = self.endpoints.get_mut(&remote.endpoint) {
            let sender_lacks = known.statement.per_second != statement.per_second;
            known.is_news |= sender_lacks || (changed && is_relay);
        }
        changed
    }

    fn apply(&mut self, endpoint: EndpointKey, statement: Statement) -> bool {
        let before = self.endpoints.get(&endpoint).copied();
        let is_newer = before.is_none_or(|before| {
            let age = |statement: Statement| (statement.start_time_ms, statement.at);
            age(statement) >= age(before.statement)
        });
        if !is_newer {
            return false;
        }
        let known = Known {
            statement,
            is_news: before.is_some_and(|before| before.is_news),
        };
        self.endpoints.insert(endpoint, known);
        let limit_before = before
            .filter(|before| before.statement.start_time_ms == statement.start_time_ms)
            .and_then(|before| before.statement.per_second);
        limit_before != statement.per_second
    }

    /// Returns the limit of this incarnation of an endpoint, if it has one.
    pub fn limit_of(&self, endpoint: &Endpoint) -> Option<Limit> {
        let statement = self.endpoints.get(&endpoint.key())?.statement;
        if statement.start_time_ms != endpoint.start_time_ms {
            return None;
        }
        Some(Limit {
            per_second: statement.per_second?,
            stated_at: statement.at,
        })
    }

    /// True if this incarnation of an endpoint stated that it has no limit any more.
    pub fn is_lifted(&self, endpoint: &Endpoint) -> bool {
        let known = self.endpoints.get(&endpoint.key());
        known.is_some_and(|known| {
            let statement = known.statement;
            statement.start_time_ms == endpoint.start_time_ms && statement.per_second.is_none()
        })
    }

    /// Number of endpoints with a limit.
    pub fn count(&self) -> usize {
        let known = self.endpoints.values();
        known
            .filter(|known| known.statement.per_second.is_some())
            .count()
    }

    /// True if there is something to tell other nodes at once.
    pub fn has_news(&self) -> bool {
        self.endpoints.values().any(|known| known.is_news)
    }

    /// Returns what other nodes have to be told now: changes, and now and then all limits.
    pub fn take_news(&mut self, now: Millis) -> Vec<EndpointLimit> {
        let is_report = now >= self.reported_at + REPORT_INTERVAL_MS;
        if is_report {
            self.reported_at = now;
        }
        let known = self.endpoints.iter_mut();
        known
            .filter_map(|(endpoint, known)| {
                let is_news = std::mem::take(&mut known.is_news);
                let is_limited = known.statement.per_second.is_some();
                (is_news || (is_report && is_limited))
                    .then(|| to_wire(*endpoint, &known.statement, now))
            })
            .collect()
    }

    /// Returns what is known of one endpoint.
    pub fn get(&self, endpoint: EndpointKey, now: Millis) -> Option<EndpointLimit> {
        let known = self.endpoints.get(&endpoint)?;
        Some(to_wire(endpoint, &known.statement, now))
    }

    /// Returns everything that is known, for a node that has started.
    pub fn list(&self, now: Millis) -> Vec<EndpointLimit> {
        let known = self.endpoints.iter();
        known
            .map(|(endpoint, known)| to_wire(*endpoint, &known.statement, now))
            .collect()
    }

    /// Forgets old statements of endpoints that have no limit or are not listed.
    pub fn forget_old(&mut self, is_listed: impl Fn(EndpointKey) -> bool, now: Millis) {
        self.endpoints.retain(|endpoint, known| {
            let is_limited = known.statement.per_second.is_some();
            (is_limited && is_listed(*endpoint)) || now < known.statement.at + RETENTION_MS
        });
    }
}

fn to_wire(endpoint: EndpointKey, statement: &Statement, now: Millis) -> EndpointLimit {
    let age = now.saturating_sub(statement.at);
    EndpointLimit {
        endpoint,
        start_time_ms: statement.start_time_ms,
        per_second: statement.per_second,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
