//! Permits that this node holds or has asked for, for endpoints that state a limit of
//! requests.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::control::permit_issuer::PermitDecision;
use crate::endpoint::EndpointKey;

/// Time for which a permit may be used, in ms.
pub const PERMIT_TTL_MS: Millis = 250;

/// Time in which the issuer answers, in ms.
const ASK_TIMEOUT_MS: Millis = 150;

/// Time after an ask without an answer until the next one, in ms.
const UNANSWERED_PAUSE_MS: Millis = 300;

/// Whether this node may send a request to an endpoint with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It holds a permit.
    Held,
    /// It may ask for a permit.
    MayAsk,
    /// It has asked for one.
    Asked,
    /// It may ask at this time.
    Closed(Millis),
}

#[derive(Debug, Default)]
struct Holding {
    /// When each permit lapses.
    permits: VecDeque<Millis>,
    /// Number and time of the ask that is not answered yet.
    ask: Option<(u64, Millis)>,
    closed_until: Millis,
}

/// Permits of this node.
#[derive(Debug, Default)]
pub struct Permits {
    endpoints: BTreeMap<EndpointKey, Holding>,
    asks: u64,
}

impl Permits {
    /// Returns whether a request may be sent to the endpoint.
    pub fn access(&self, endpoint: EndpointKey, now: Millis) -> Access {
        let Some(holding) = self.endpoints.get(&endpoint) else {
            return Access::MayAsk;
        };
        if holding.permits.iter().any(|lapse| now < *lapse) {
            Access::Held
        } else if holding.ask.is_some() {
            Access::Asked
        } else if now < holding.closed_until {
            Access::Closed(holding.closed_until)
        } else {
            Access::MayAsk
        }
    }

    /// Takes a permit. Returns false if there is none.
    #[must_use]
    pub fn take(&mut self, endpoint: EndpointKey, now: Millis) -> bool {
        let Some(holding) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        holding.permits.retain(|lapse| now < *lapse);
        holding.permits.pop_front().is_some()
    }

    /// Records that this node asks for a permit. Returns the number of the ask.
    pub fn begin_ask(&mut self, endpoint: EndpointKey, now: Millis) -> u64 {
        self.asks += 1;
        let holding = self.endpoints.entry(endpoint).or_default();
        holding.ask = Some((self.asks, now));
        self.asks
    }

    /// Records the answer to an ask. Returns the time that it took, or none if this node
    /// does not wait for it any more.
    pub fn answered(
        &mut self,
        endpoint: EndpointKey,
        number: u64,
        decision: PermitDecision,
        now: Millis,
    ) -> Option<Millis> {
        let holding = self.endpoints.get_mut(&endpoint)?;
        let (_, asked_at) = holding.ask.take_if(|(ask, _)| *ask == number)?;
        match decision {
            PermitDecision::Granted => holding.permits.push_back(now + PERMIT_TTL_MS),
            PermitDecision::Wait(time) => holding.closed_until = now.saturating_add(time),
        }
        Some(now.saturating_sub(asked_at))
    }

    /// Adds a permit that was not issued, for a request that is sent at this moment.
    pub fn add_momentary(&mut self, endpoint: EndpointKey, now: Millis) {
        let holding = self.endpoints.entry(endpoint).or_default();
        holding.permits.push_front(now + 1);
    }

    /// Gives up asks that were not answered in time. Returns their endpoints.
    pub fn give_up_asks(&mut self, now: Millis) -> Vec<EndpointKey> {
        let mut unanswered = Vec::new();
        for (endpoint, holding) in &mut self.endpoints {
            let is_late = |ask: &mut (u64, Millis)| now >= ask.1 + ASK_TIMEOUT_MS;
            if holding.ask.take_if(is_late).is_some() {
                holding.closed_until = now + UNANSWERED_PAUSE_MS;
                unanswered.push(*endpoint);
            }
        }
        unanswered
    }

    /// Forgets an endpoint whose limit has ended.
    pub fn remove(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
    }

    /// Forgets endpoints that are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointKey) -> bool) {
        self.endpoints.retain(|endpoint, _| is_listed(*endpoint));
    }
}
