//! Context of a controller step, and the effects that controllers request.

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

/// I/O to perform on behalf of a controller.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another node.
    Send {
        /// The node.
        to: InstanceId,
        /// The message.
        payload: Payload,
    },
    /// Replace the addresses at which peers are reached.
    SetPeerAddresses(BTreeMap<InstanceId, SocketAddr>),
    /// Open a new connection to a peer.
    Reconnect(InstanceId),
    /// Run a call that a peer forwarded.
    RunForwardedCall(Box<ForwardedCall>),
    /// Append records to a stream of the log.
    Append {
        /// The stream.
        stream: Stream,
        /// Identifies the append in its result.
        batch: BatchId,
        /// Its records.
        records: Vec<(RecordId, Record)>,
    },
}

/// What a controller has access to during one step.
pub struct Context<'a> {
    /// Time of the step.
    pub now: Millis,
    /// Effects to perform after the step, in order.
    pub effects: &'a mut Vec<Effect>,
    /// Log of routing decisions.
    pub decisions: &'a DecisionLog,
    /// View that traffic threads read.
    pub view: &'a SharedView,
}

impl Context<'_> {
    /// Queues a message to another node.
    pub fn send(&mut self, to: &InstanceId, payload: Payload) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            payload,
        });
    }

    /// Publishes a copy of the view with `change` applied.
    pub fn publish(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }
}
