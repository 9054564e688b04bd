//! Limits of a workspace, enforced by each entry node for its share.
//!
//! The manifest gives one number for the whole system. The entry nodes that serve a
//! workspace divide it among themselves without talking to each other: each knows
//! how many they are and which of them it is.

use std::collections::BTreeMap;

use crate::manifest::Workspace;
use crate::prelude::*;

/// Requests that may come at once, as a span of the allowed rate.
const BURST: Millis = Millis(1000);

/// Time after which a request may try again when too many are in flight.
const INFLIGHT_RETRY: Millis = Millis(200);

/// Part of a request that rounding may cost; whoever waited as told must pass.
const ROUNDING: f64 = 1e-9;

/// The part of a limit that one entry node enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitShare {
    /// Entry nodes that serve the workspace.
    pub entries: u32,
    /// Position of this node among them, from zero.
    pub position: u32,
}

impl LimitShare {
    /// Part of a rate.
    pub fn of_rate(self, rate: f64) -> f64 {
        rate / f64::from(self.entries.max(1))
    }

    /// Part of a count. The parts of all nodes add up to the count, but each is at
    /// least one: a node that is listed for a workspace must be able to serve it.
    pub fn of_count(self, count: u32) -> u32 {
        let entries = self.entries.max(1);
        let extra = u32::from(self.position < count % entries);
        (count / entries + extra).max(1)
    }
}

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may; [`Limits::finish`] must follow.
    Admitted,
    /// Too many requests came recently.
    RateExceeded {
        /// Time after which one may try again.
        retry_after: Millis,
    },
    /// Too many requests are in flight.
    InflightExceeded {
        /// Time after which one may try again.
        retry_after: Millis,
    },
}

/// Use that one workspace made of its limits.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Usage {
    /// Requests that may come at once now.
    tokens: f64,
    /// When the tokens were counted.
    counted: Millis,
    inflight: u32,
}

/// Limits of all workspaces at one entry node.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    usage: BTreeMap<WorkspaceId, Usage>,
}

impl Limits {
    /// Decides on one request of a workspace with the given settings.
    pub fn admit(
        &mut self,
        id: &WorkspaceId,
        workspace: &Workspace,
        share: LimitShare,
        now: Millis,
    ) -> Admission {
        let usage = self.usage.entry(id.clone()).or_insert(Usage {
            tokens: f64::INFINITY,
            counted: now,
            inflight: 0,
        });
        let most = workspace.max_inflight.map(|count| share.of_count(count));
        if most.is_some_and(|most| usage.inflight >= most) {
            let retry_after = INFLIGHT_RETRY;
            return Admission::InflightExceeded { retry_after };
        }
        if let Some(rate) = workspace.request_rate {
            let rate = share.of_rate(rate.max(0.0));
            usage.refill(rate, now);
            if usage.tokens < 1.0 - ROUNDING {
                let retry_after = usage.refill_time(rate);
                return Admission::RateExceeded { retry_after };
            }
            usage.tokens -= 1.0;
        }
        usage.inflight += 1;
        Admission::Admitted
    }

    /// Takes in that an admitted request has ended.
    pub fn finish(&mut self, id: &WorkspaceId) {
        if let Some(usage) = self.usage.get_mut(id) {
            usage.inflight = usage.inflight.saturating_sub(1);
        }
    }

    /// Requests of the workspace in flight.
    pub fn inflight(&self, id: &WorkspaceId) -> u32 {
        self.usage.get(id).map_or(0, |usage| usage.inflight)
    }

    /// Forgets workspaces with nothing in flight that sent no request for a span,
    /// which should be long enough for any bucket to be full again.
    pub fn forget_idle(&mut self, idle: Millis, now: Millis) {
        self.usage
            .retain(|_, usage| usage.inflight > 0 || now.since(usage.counted) < idle);
    }
}

impl Usage {
    fn refill(&mut self, rate: f64, now: Millis) {
        let gained = rate * now.since(self.counted).as_secs_f64();
        let burst = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + gained).min(burst);
        self.counted = self.counted.max(now);
    }

    /// Time until the next request may come.
    fn refill_time(&self, rate: f64) -> Millis {
        let seconds = (1.0 - self.tokens) / rate.max(0.001);
        Millis((seconds * 1000.0).ceil() as u64).max(Millis(1))
    }
}
