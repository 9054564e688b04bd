//! Requests that wait in the queue of a node.

use tokio::sync::oneshot;

use crate::clock::Millis;
use crate::control::quota_asks::RequestQuota;
use crate::control::{Placement, PlacementRequest};

/// A request for which no endpoint has been selected yet.
pub(super) struct QueuedRequest {
    pub(super) request: Box<PlacementRequest>,
    pub(super) reply: oneshot::Sender<Placement>,
    pub(super) asked_at: Millis,
    pub(super) deadline: Millis,
    /// Place in the queue: priority, and turn of its workspace.
    pub(super) place: Option<(u8, u64)>,
    /// True if it waits for a shorter queue at an engine.
    pub(super) is_deferred: bool,
    pub(super) quota: RequestQuota,
}
