//! Which software version of the engines began which stream.
//!
//! A caller that lost its stream may resume it at any node, so every node remembers the
//! streams of all nodes for as long as their callers may come back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use flamingolock_wire::gossip::BegunStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;

/// Returns the key by which nodes refer to a caller's request.
pub fn request_key(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

#[derive(Debug)]
struct Begun {
    build: Arc<str>,
    at: Millis,
}

/// The streams that began recently, by the key of the request that began them.
#[derive(Debug, Default)]
pub struct BegunStreams {
    streams: BTreeMap<u64, Begun>,
}

impl BegunStreams {
    /// Records a stream. A later record of the same request replaces an earlier one,
    /// whose engine broke off before its first event.
    pub fn record(&mut self, stream: &BegunStream, now: Millis) {
        let at = now.saturating_sub(Millis::from(stream.age_ms));
        let known = self.streams.get(&stream.request);
        if known.is_none_or(|known| known.at <= at) {
            let build = stream.build.as_str().into();
            self.streams.insert(stream.request, Begun { build, at });
        }
    }

    /// Returns the software version that began the stream of this request.
    pub fn build_of(&self, request: u64) -> Option<Arc<str>> {
        Some(self.streams.get(&request)?.build.clone())
    }

    /// Returns the software versions that began any of the streams.
    pub fn builds(&self) -> BTreeSet<Arc<str>> {
        let streams = self.streams.values();
        streams.map(|begun| begun.build.clone()).collect()
    }

    /// Returns all streams, for a node that may not know them.
    pub fn list(&self, now: Millis) -> Vec<BegunStream> {
        let entry = |(request, begun): (&u64, &Begun)| BegunStream {
            request: *request,
            build: begun.build.to_string(),
            age_ms: now.saturating_sub(begun.at) as u32,
        };
        self.streams.iter().map(entry).collect()
    }

    /// Forgets the streams that began before a time.
    pub fn forget_before(&mut self, time: Millis) {
        self.streams.retain(|_, begun| begun.at >= time);
    }
}
