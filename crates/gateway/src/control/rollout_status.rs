//! What the log says about a roll-out of weights: who may send orders, and why engines
//! still wait for one.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;

/// Shortest interval between two lines about the same subject, in ms.
const LINE_INTERVAL_MS: Millis = 250;

/// Why a node sends orders to engines, or does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LeaseState {
    /// No engine needs an order, as far as this node knows.
    #[default]
    NotWanted,
    /// This node holds the lease, or renews it.
    Held,
    /// The roll-out goes on, or another node is due to seek the lease first.
    AwaitsProgress,
    /// The last record of the lease is another node's, and too recent.
    HeldByOther,
    /// This node reaches too few engines, or none that needs an order, though others do.
    Unreached,
    /// This node's orders brought nothing about, so it leaves the lease to others for a
    /// while.
    Stalled,
    /// This node reads the lease topic, or tries to acquire the lease.
    Seeking,
}

/// Number of a service's engines in each state of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct ServiceStatus {
    /// Engines with weights.
    pub engines: usize,
    /// Engines that could be sent an order now.
    pub candidates: usize,
    /// Engines that count as loading.
    pub loading: usize,
    /// Engines whose loads have not ended in time.
    pub failed: usize,
    /// Engines that get no requests, as they refused some, though no order to them is known.
    pub closed: usize,
    /// Engines with outdated weights that have not answered an order or a request for
    /// their report yet.
    pub in_flight: usize,
    /// Engines with outdated weights that are due to be asked again later.
    pub delayed: usize,
    /// Engines with outdated weights that are avoided after failures.
    pub avoided: usize,
    /// Number of engines that may load at once.
    pub window: usize,
}

/// Last lines written about a roll-out.
#[derive(Debug, Default)]
pub struct StatusLog {
    lease: LeaseState,
    lease_written_at: Millis,
    services: BTreeMap<Arc<str>, (ServiceStatus, Millis)>,
}

impl StatusLog {
    /// Writes a line if the state of the lease has changed at this node.
    pub fn lease(&mut self, state: LeaseState, holder: Option<&str>, rank: usize, now: Millis) {
        if state == self.lease || now < self.lease_written_at + LINE_INTERVAL_MS {
            return;
        }
        self.lease = state;
        self.lease_written_at = now;
        log::info!(state:? = state, holder = holder.unwrap_or(""), rank; "right to send orders changed");
    }

    /// Writes a line if the state of a service's engines has changed.
    pub fn service(
        &mut self,
        service: &Arc<str>,
        status: ServiceStatus,
        expected: Option<Millis>,
        now: Millis,
    ) {
        let last = self.services.get(service);
        if last.is_some_and(|(last, at)| *last == status || now < at + LINE_INTERVAL_MS) {
            return;
        }
        log::info!(service = &**service, engines = status.engines, candidates = status.candidates,
            loading = status.loading, failed = status.failed, closed = status.closed, in_flight = status.in_flight,
            delayed = status.delayed, avoided = status.avoided, window = status.window,
            expected_ms = expected; "state of the roll-out");
        self.services.insert(service.clone(), (status, now));
    }
}
