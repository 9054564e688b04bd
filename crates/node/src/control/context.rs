//! What controllers are given, and what they ask for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use flamingolock_core::append::BatchId;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{Record, RecordId};
use flamingolock_wire::message::Payload;

use crate::control::calls::ForwardedCall;
use crate::control::ledger::Stream;
use crate::decisions::DecisionLog;
use crate::view::{SharedView, View};

/// Something for the I/O side to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another node.
    Send {
        /// The node.
        to: InstanceId,
        /// The message.
        payload: Payload,
    },
    /// Peers are found at these addresses.
    SetPeerAddresses(BTreeMap<InstanceId, SocketAddr>),
    /// Make a fresh connection to a peer.
    Reconnect(InstanceId),
    /// Run a call that a peer handed on.
    RunForwardedCall(Box<ForwardedCall>),
    /// Append records to a stream of the log.
    Append {
        /// The stream.
        stream: Stream,
        /// The append.
        batch: BatchId,
        /// Its records.
        records: Vec<(RecordId, Record)>,
    },
}

/// Surroundings of a controller during one step.
pub struct Context<'a> {
    /// Time of the step.
    pub now: Millis,
    /// What controllers want done, in order.
    pub effects: &'a mut Vec<Effect>,
    /// Where decisions are recorded.
    pub decisions: &'a DecisionLog,
    /// The published view.
    pub view: &'a SharedView,
}

impl Context<'_> {
    /// Asks for a message to be sent.
    pub fn send(&mut self, to: &InstanceId, payload: Payload) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            payload,
        });
    }

    /// Publishes a changed view.
    pub fn publish(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }
}
