//! Requests that this node has handed to other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;

/// Time after which a hand-over whose end was not reported no longer counts, in ms.
const HANDOVER_TIMEOUT_MS: Millis = 20_000;

/// Node that a request is handed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherNode {
    /// Number of the hand-over, unique at this node.
    pub number: u64,
    /// Incarnation of the other node.
    pub incarnation: u64,
    /// Address at which it serves other nodes.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Handover {
    incarnation: u64,
    service: Arc<str>,
    begun_at: Millis,
}

/// Hand-overs in progress.
#[derive(Debug, Default)]
pub struct Handovers {
    open: BTreeMap<u64, Handover>,
    next: u64,
}

impl Handovers {
    /// Number of requests for a service in progress at a node.
    pub fn count(&self, incarnation: u64, service: &str) -> usize {
        let open = self.open.values();
        open.filter(|handover| handover.incarnation == incarnation && &*handover.service == service)
            .count()
    }

    /// Records a hand-over and returns its number.
    pub fn begin(&mut self, incarnation: u64, service: &Arc<str>, now: Millis) -> u64 {
        self.open
            .retain(|_, handover| now < handover.begun_at + HANDOVER_TIMEOUT_MS);
        let number = self.next;
        self.next += 1;
        let handover = Handover {
            incarnation,
            service: service.clone(),
            begun_at: now,
        };
        self.open.insert(number, handover);
        number
    }

    /// Records the end of a hand-over.
    pub fn end(&mut self, number: u64) {
        self.open.remove(&number);
    }
}
