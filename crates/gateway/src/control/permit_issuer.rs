//! Permits that this node issues, for endpoints that state a limit of requests.
//!
//! For each such endpoint one node issues all permits, evenly spread over time. A node that
//! asks too early is told when it is its turn, so that nodes take turns and do not all
//! come back at once.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::endpoint::EndpointKey;

/// Minimum number of permits a second: only responses can tell that a limit has ended, so
/// some requests are sent to an endpoint that takes none.
const MIN_PER_SECOND: f64 = 0.2;

/// Longest time after which a node is told to ask again, in ms.
const MAX_TURN_MS: f64 = 2_000.0;

/// Number of nodes that get a turn for each permit: some do not need it any more then.
const TURNS_PER_PERMIT: f64 = 8.0;

/// Window in which the requests that reach an endpoint are counted, in ms.
const WINDOW_MS: Millis = 4_000;

/// Number of requests by which this count may exceed the limit before no permit is issued.
const WINDOW_SLACK: f64 = 4.0;

/// Number of permits for which nobody asked in time that may be made up for.
const MAX_MADE_UP: f64 = 2.0;

/// Time without use after which a schedule is forgotten, in ms.
const RETENTION_MS: Millis = 30_000;

/// Answer to a node that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// It may send one request.
    Granted,
    /// It may ask again after this time, in ms.
    Wait(Millis),
}

/// Issue of permits for one endpoint.
#[derive(Debug)]
struct Schedule {
    /// Earliest time of the next permit, in ms.
    next_at: f64,
    /// Turn of the next node that has to wait, in ms.
    turn_at: f64,
    /// Requests that reached the endpoint, also those without a permit of this node.
    sent: VecDeque<Millis>,
    used_at: Millis,
}

impl Schedule {
    fn forget_sent(&mut self, now: Millis) {
        while self.sent.front().is_some_and(|at| at + WINDOW_MS <= now) {
            self.sent.pop_front();
        }
    }
}

/// Schedules of the endpoints that this node issues permits for.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    schedules: BTreeMap<EndpointKey, Schedule>,
}

impl PermitIssuer {
    /// Decides on a permit for an endpoint that takes `per_second` requests a second. The
    /// first one is not issued at once: another node may have issued one just before.
    pub fn decide(
        &mut self,
        endpoint: EndpointKey,
        per_second: f64,
        now: Millis,
    ) -> PermitDecision {
        let interval = 1_000.0 / per_second.max(MIN_PER_SECOND);
        let time = now as f64;
        let schedule = self.schedules.entry(endpoint).or_insert(Schedule {
            next_at: time + interval,
            turn_at: time,
            sent: VecDeque::new(),
            used_at: now,
        });
        schedule.used_at = now;
        schedule.forget_sent(now);
        // The limit may have been smaller before.
        schedule.next_at = schedule.next_at.min(time + interval);
        let window = per_second * WINDOW_MS as f64 / 1_000.0 + WINDOW_SLACK;
        if (schedule.sent.len() as f64) >= window {
            schedule.next_at = time + interval;
        }
        if time >= schedule.next_at {
            let earliest = time - MAX_MADE_UP * interval;
            schedule.next_at = schedule.next_at.max(earliest) + interval;
            return PermitDecision::Granted;
        }
        let turn = schedule.turn_at.max(schedule.next_at);
        let turn = turn.min(time + MAX_TURN_MS);
        schedule.turn_at = turn + interval / TURNS_PER_PERMIT;
        PermitDecision::Wait((turn - time).ceil() as Millis)
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_sent(&mut self, endpoint: EndpointKey, now: Millis) {
        if let Some(schedule) = self.schedules.get_mut(&endpoint) {
            schedule.forget_sent(now);
            schedule.sent.push_back(now);
        }
    }

    /// Forgets an endpoint whose limit has ended.
    pub fn remove(&mut self, endpoint: EndpointKey) {
        self.schedules.remove(&endpoint);
    }

    /// Forgets endpoints that no node has asked for lately.
    pub fn forget_old(&mut self, now: Millis) {
        self.schedules
            .retain(|_, schedule| now < schedule.used_at + RETENTION_MS);
    }
}
