//! Short-lived reservations that probes make at an engine's home.
//!
//! A probe is usually followed by a request for a permit within milliseconds. Until
//! then, the home includes the cost of the probed request in its answers to other
//! probes, so that two entry nodes do not choose the engine for the same free capacity.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Time after which a reservation without a request for a permit expires.
pub const RESERVATION_MS: u64 = 5;

/// Reservation of one probed request.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    expires: Millis,
    cost: f64,
}

/// Reservations at one engine.
#[derive(Clone, Debug, Default)]
pub struct ProbeReservations {
    reservations: BTreeMap<RequestId, Reservation>,
    expiries: BTreeSet<(Millis, RequestId)>,
}

impl ProbeReservations {
    /// Number of reservations.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// True when there are no reservations.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Adds or renews the reservation of a request.
    pub fn add(&mut self, request: &RequestId, cost: f64, now: Millis) {
        self.remove(request);
        let expires = now + Millis(RESERVATION_MS);
        self.reservations
            .insert(request.clone(), Reservation { expires, cost });
        self.expiries.insert((expires, request.clone()));
    }

    /// Removes the reservation of a request, usually because it asked for its permit.
    pub fn remove(&mut self, request: &RequestId) {
        if let Some(reservation) = self.reservations.remove(request) {
            self.expiries
                .remove(&(reservation.expires, request.clone()));
        }
    }

    /// Removes expired reservations.
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

    /// Sum of the reserved costs of all requests except this one, in tokens.
    pub fn cost_besides(&self, request: &RequestId) -> f64 {
        self.reservations
            .iter()
            .filter(|(other, _)| *other != request)
            .map(|(_, reservation)| reservation.cost)
            .sum()
    }

    /// Removes all reservations.
    pub fn clear(&mut self) {
        self.reservations.clear();
        self.expiries.clear();
    }
}
