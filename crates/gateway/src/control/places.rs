//! Places at brittle endpoints that this node hands out: such an endpoint falls over if it
//! has to refuse many requests for want of room, so all nodes together send it no more
//! than it runs at a time.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::control::permits::PERMIT_TTL_MS;
use crate::endpoint::EndpointKey;

/// Time within which the news of a request arrives that was sent with a permit, in ms.
const NEWS_DELAY_MS: Millis = 150;

/// Time between the turns of two nodes that wait for a place, in ms.
const TURN_MS: Millis = 15;

/// Longest time after which a node is told to ask again, in ms.
const MAX_TURN_MS: Millis = 500;

/// Time without use after which an endpoint is forgotten, in ms.
const RETENTION_MS: Millis = 30_000;

#[derive(Debug, Default)]
struct Handed {
    /// When each place was handed out for which no request is known yet.
    unused: VecDeque<Millis>,
    /// Turn of the next node that has to wait.
    turn_at: Millis,
    used_at: Millis,
}

/// Places that this node hands out as the issuer of permits.
#[derive(Debug, Default)]
pub struct Places {
    endpoints: BTreeMap<EndpointKey, Handed>,
}

impl Places {
    /// True if the endpoint has a place beside the `running` requests and the places that
    /// were handed out.
    pub fn is_free(
        &mut self,
        endpoint: EndpointKey,
        running: usize,
        slots: usize,
        now: Millis,
    ) -> bool {
        let handed = self.endpoints.entry(endpoint).or_default();
        handed.used_at = now;
        let lapse = PERMIT_TTL_MS + NEWS_DELAY_MS;
        handed.unused.retain(|at| now < at + lapse);
        running + handed.unused.len() < slots
    }

    /// Hands out a place, if the endpoint is one for which places are counted.
    pub fn hand_out(&mut self, endpoint: EndpointKey, now: Millis) {
        if let Some(handed) = self.endpoints.get_mut(&endpoint) {
            handed.unused.push_back(now);
        }
    }

    /// Returns the time in ms after which a node that got no place may ask again.
    pub fn turn(&mut self, endpoint: EndpointKey, now: Millis) -> Millis {
        let handed = self.endpoints.entry(endpoint).or_default();
        handed.turn_at = (handed.turn_at.max(now) + TURN_MS).min(now + MAX_TURN_MS);
        handed.turn_at - now
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_sent(&mut self, endpoint: EndpointKey) {
        if let Some(handed) = self.endpoints.get_mut(&endpoint) {
            handed.unused.pop_front();
        }
    }

    /// Forgets endpoints for which no node has asked lately.
    pub fn forget_old(&mut self, now: Millis) {
        self.endpoints
            .retain(|_, handed| now < handed.used_at + RETENTION_MS);
    }
}
