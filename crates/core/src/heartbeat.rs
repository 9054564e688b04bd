//! Messages, inputs and outputs of [`crate::membership`].

use serde::{Deserialize, Serialize};

use crate::members::{Instance, MemberState, Report};
use crate::prelude::*;

/// What nodes tell each other regularly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// State of the sender.
    pub state: MemberState,
    /// Digest of the sender's view.
    pub digest: u64,
    /// What the sender knows of others.
    pub reports: Vec<Report>,
    /// Whether the receiver should answer.
    pub wants_answer: bool,
    /// An instance that the sender cannot reach and asks the receiver to try.
    pub check: Option<InstanceId>,
}

/// What happened. At least one input should come every half second.
#[derive(Clone, Debug)]
pub enum Input {
    /// The platform's list of entry instances.
    InstanceList(Vec<Instance>),
    /// The instances that a peer knows.
    PeerList(Vec<Instance>),
    /// A heartbeat arrived.
    HeartbeatReceived {
        /// The sender, as proved by the handshake.
        peer: InstanceId,
        /// What it said.
        heartbeat: Heartbeat,
    },
    /// A frame of any kind carried the sender's leaving flag.
    PeerLeaving {
        /// The sender.
        peer: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// An open connection to a peer has gone silent or broke.
    ConnectionLost(InstanceId),
    /// A fresh connection passed its handshake.
    FreshConnectionOk {
        /// The peer.
        peer: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A fresh connection could not be made in time.
    FreshConnectionFailed(InstanceId),
    /// This node holds something that its neighbours should hear of at once, such as
    /// a later offset of a log stream.
    Announce,
    /// This node begins its shutdown.
    Leave,
    /// Time has passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a heartbeat on the current connection.
    SendHeartbeat {
        /// The receiver.
        to: InstanceId,
        /// What to send.
        heartbeat: Heartbeat,
    },
    /// Open a fresh connection and report the outcome.
    OpenFreshConnection(InstanceId),
    /// Ask a peer for the instances that it knows.
    AskInstances(InstanceId),
    /// An instance is now suspected.
    Suspect(InstanceId),
    /// An instance is no longer suspected.
    Clear(InstanceId),
    /// One of the views differs from before.
    ViewChanged,
}
