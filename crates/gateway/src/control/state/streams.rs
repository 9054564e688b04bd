//! Streams that callers may resume, and the software versions that can have begun them.

use std::net::SocketAddr;
use std::sync::Arc;

use flamingolock_wire::gossip::{BegunStream, Gossip};

use super::Control;
use crate::clock::Millis;

/// Time in ms for which streams are remembered beyond the timeout of their route.
const RESUME_MARGIN_MS: Millis = 5_000;

impl Control {
    /// Records a stream that began at this node, and tells the other nodes.
    pub(super) fn stream_begun(&mut self, stream: BegunStream, now: Millis) {
        self.streams.record(&stream, now);
        self.outgoing_streams.push(stream);
        self.gossip_pending_at.get_or_insert(now);
    }

    /// Tells a node that has started, or was out of reach, which streams began and which
    /// software versions were listed recently. In fleets with hubs only these do so.
    pub(super) fn send_history(&mut self, node: SocketAddr, now: Millis) {
        if !(self.is_hub || self.peers.is_full_mesh(now)) {
            return;
        }
        let streams = self.streams.list(now);
        let listed = self.fleet.values().map(|state| &*state.endpoint);
        let builds = self.listed_builds.history(listed, now);
        log::info!(node:% = node, streams = streams.len(), builds:? = builds; "sent the streams that began recently");
        let gossip = Gossip {
            sender: Some(self.own_state()),
            streams,
            builds,
            relayed: true,
            ..Gossip::default()
        };
        self.send_in_datagrams(gossip, &[node]);
    }

    /// Returns the software version that began a stream, given the key of the request
    /// that began it. A stream that no node has told of began at the only version that
    /// served since its caller may have begun it, if there is only one.
    pub(super) fn build_of_stream(
        &self,
        begun_by: Option<u64>,
        service: &str,
        now: Millis,
    ) -> Option<Arc<str>> {
        if let Some(build) = begun_by.and_then(|request| self.streams.build_of(request)) {
            return Some(build);
        }
        if self.is_recovering(now) {
            return None;
        }
        let since = now.saturating_sub(self.stream_memory());
        let listed = self.fleet.values().map(|state| &*state.endpoint);
        let sole = self.listed_builds.sole_build(service, listed, since)?;
        let begun = self.streams.builds();
        begun.iter().all(|build| *build == sole).then_some(sole)
    }

    /// Time in ms for which a caller may resume a stream.
    pub(super) fn stream_memory(&self) -> Millis {
        let routes = self.catalog.iter().flat_map(|catalog| &catalog.routes);
        let longest = routes
            .filter(|route| route.resumable)
            .map(|route| route.timeout.as_millis() as Millis)
            .max();
        longest.unwrap_or(0) + RESUME_MARGIN_MS
    }

    /// Forgets the streams and software versions that no caller can resume any more.
    pub(super) fn forget_streams(&mut self, now: Millis) {
        let oldest = now.saturating_sub(self.stream_memory());
        self.streams.forget_before(oldest);
        self.listed_builds.forget_before(oldest);
    }
}
