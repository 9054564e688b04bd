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
    heard_at: Millis,
}

/// The streams that began recently, by the key of the request that began them.
#[derive(Debug, Default)]
pub struct BegunStreams {
    streams: BTreeMap<u64, Begun>,
    /// Keys in the order in which this node heard of them.
    by_arrival: BTreeSet<(Millis, u64)>,
}

impl BegunStreams {
    /// Records a stream. A later record of the same request replaces an earlier one.
    pub fn record(&mut self, stream: &BegunStream, now: Millis) {
        let at = now.saturating_sub(Millis::from(stream.age_ms));
        let known = self.streams.get(&stream.request);
        if known.is_some_and(|known| known.at > at || *known.build == *stream.build) {
            return;
        }
        let begun = Begun {
            build: stream.build.as_str().into(),
            at,
            heard_at: now,
        };
        self.by_arrival.insert((now, stream.request));
        if let Some(replaced) = self.streams.insert(stream.request, begun) {
            self.by_arrival.remove(&(replaced.heard_at, stream.request));
            self.by_arrival.insert((now, stream.request));
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
        let entry = |(request, begun): (&u64, &Begun)| entry(*request, begun, now);
        self.streams.iter().map(entry).collect()
    }

    /// Returns the streams that this node heard of from a time on, at most `most`, and the
    /// time from which on to continue.
    pub fn heard_since(
        &self,
        since: Millis,
        most: usize,
        now: Millis,
    ) -> (Vec<BegunStream>, Millis) {
        let mut heard = Vec::new();
        for (at, request) in self.by_arrival.range((since, 0)..) {
            if heard.len() >= most && *at > since {
                return (heard, *at);
            }
            if let Some(begun) = self.streams.get(request) {
                heard.push(entry(*request, begun, now));
            }
        }
        (heard, now + 1)
    }

    /// Forgets the streams that this node heard of before a time.
    pub fn forget_before(&mut self, time: Millis) {
        while let Some((at, request)) = self.by_arrival.first().copied() {
            if at >= time {
                return;
            }
            self.by_arrival.pop_first();
            self.streams.remove(&request);
        }
    }
}

fn entry(request: u64, begun: &Begun, now: Millis) -> BegunStream {
    BegunStream {
        request,
        build: begun.build.to_string(),
        age_ms: now.saturating_sub(begun.at) as u32,
    }
}
