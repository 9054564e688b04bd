//! Messages, inputs and outputs of [`crate::membership`].

use serde::{Deserialize, Serialize};

use crate::members::{Instance, MemberState, Report};
use crate::prelude::*;

/// Periodic message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// State of the sender.
    pub state: MemberState,
    /// Digest of the sender's view.
    pub digest: u64,
    /// Gossiped states of other instances.
    pub reports: Vec<Report>,
    /// Whether the receiver should answer.
    pub wants_answer: bool,
    /// Request for an indirect probe: an instance that the sender cannot reach.
    pub check: Option<InstanceId>,
}

/// Input of the membership state machine. There should be at least one input every
/// half second.
#[derive(Clone, Debug)]
pub enum Input {
    /// The platform's list of entry instances.
    InstanceList(Vec<Instance>),
    /// The instance list of a peer.
    PeerList(Vec<Instance>),
    /// A heartbeat arrived.
    HeartbeatReceived {
        /// The sender, as authenticated by the handshake.
        peer: InstanceId,
        /// The message.
        heartbeat: Heartbeat,
    },
    /// A frame of any type carried the sender's leaving flag.
    PeerLeaving {
        /// The sender.
        peer: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// An open connection to a peer went silent or broke.
    ConnectionLost(InstanceId),
    /// The handshake of a fresh connection succeeded.
    FreshConnectionOk {
        /// The peer.
        peer: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A fresh connection could not be established in time.
    FreshConnectionFailed(InstanceId),
    /// This node has something that its neighbours should learn at once, such as a
    /// later offset of a log stream.
    Announce,
    /// This node starts to shut down.
    Leave,
    /// Time has passed.
    Tick,
}

/// Output of the membership state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a heartbeat on the current connection.
    SendHeartbeat {
        /// The receiver.
        to: InstanceId,
        /// The message.
        heartbeat: Heartbeat,
    },
    /// Open a fresh connection and report the outcome.
    OpenFreshConnection(InstanceId),
    /// Request the instance list of a peer.
    AskInstances(InstanceId),
    /// An instance is now suspected.
    Suspect(InstanceId),
    /// An instance is no longer suspected.
    Clear(InstanceId),
    /// The view has changed.
    ViewChanged,
}
