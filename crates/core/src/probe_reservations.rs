//! Tentative claims that probes leave at an engine's home.
//!
//! A probe is usually followed by a request for a permit within milliseconds. Until
//! then its work counts in the answers to other probes, so that two entry nodes do
//! not both take the same gap.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Time after which a probe without a request for a permit no longer counts.
pub const RESERVATION_MS: u64 = 5;

/// Work that a probe announced.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    expires: Millis,
    cost: f64,
}

/// Claims on one engine.
#[derive(Clone, Debug, Default)]
pub struct ProbeReservations {
    reservations: BTreeMap<RequestId, Reservation>,
    expiries: BTreeSet<(Millis, RequestId)>,
}

impl ProbeReservations {
    /// Number of claims.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// True when there is no claim.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Adds the claim of a request, or renews it.
    pub fn add(&mut self, request: &RequestId, cost: f64, now: Millis) {
        self.remove(request);
        let expires = now + Millis(RESERVATION_MS);
        self.reservations
            .insert(request.clone(), Reservation { expires, cost });
        self.expiries.insert((expires, request.clone()));
    }

    /// Removes the claim of a request that asked for its permit.
    pub fn remove(&mut self, request: &RequestId) {
        if let Some(reservation) = self.reservations.remove(request) {
            self.expiries
                .remove(&(reservation.expires, request.clone()));
        }
    }

    /// Removes claims that are too old.
    pub fn expire(&mut self, now: Millis) {
        while let Some((expires, _)) = self.expiries.first() {
            if *expires > now {
                break;
            }
            if let Some((_, request)) = self.expiries.pop_first() {
                self.reservations.remove(&request);
            }
        }
    }

    /// Sum of the costs that requests other than this one claim, in tokens.
    pub fn cost_besides(&self, request: &RequestId) -> f64 {
        self.reservations
            .iter()
            .filter(|(other, _)| *other != request)
            .map(|(_, reservation)| reservation.cost)
            .sum()
    }

    /// Removes all claims.
    pub fn clear(&mut self) {
        self.reservations.clear();
        self.expiries.clear();
    }
}
