//! Which software version of the engines began which stream.
//!
//! A caller that lost its stream may resume it at any node, so every node remembers the
//! streams of all nodes for as long as their callers may come back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use flamingolock_wire::gossip::BegunStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;

/// Time in ms by which the ages of one stream may differ as nodes tell them.
const MIN_RENEWAL_MS: Millis = 500;

/// Returns the key by which nodes refer to a caller's request.
pub fn request_key(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// How this node knows of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamSource {
    /// It began at this node.
    Own,
    /// Another node told of it.
    Node,
    /// It is in the record in the store.
    Record,
}

#[derive(Debug)]
struct Begun {
    /// Software version of the engine; empty if it is not clear.
    build: Arc<str>,
    /// Shortened incarnation of the engine, as its entry stated it; 0 if it is not known.
    engine: u32,
    source: StreamSource,
    /// Timeout of its route when it began, in ms; 0 if it is not known.
    timeout_ms: u32,
    at: Millis,
    heard_at: Millis,
    /// Time after which no caller can resume it.
    expires_at: Millis,
    /// True if this node knows that it no longer runs at its engine.
    has_ended: bool,
}

impl Begun {
    /// True if a record that began `at` says something new: another version, or that the
    /// stream went on later. A version that was in doubt stays so, as records of the time before
    /// may arrive late.
    fn is_replaced_by(&self, stream: &BegunStream, at: Millis) -> bool {
        let same_engine = self.engine == stream.engine;
        // Nodes of earlier builds do not name the engine.
        if self.build.is_empty() && (same_engine || stream.engine == 0) {
            false
        } else if *self.build == *stream.build {
            self.has_ended || at > self.at + MIN_RENEWAL_MS
        } else {
            let doubts_ended = self.has_ended && same_engine && stream.build.is_empty();
            at >= self.at && !doubts_ended
        }
    }
}

/// The streams that began recently, by the key of the request that began them.
#[derive(Debug, Default)]
pub struct BegunStreams {
    streams: BTreeMap<u64, Begun>,
    /// Keys in the order in which this node heard of them.
    by_arrival: BTreeSet<(Millis, u64)>,
    /// Keys in the order in which they are forgotten.
    by_expiry: BTreeSet<(Millis, u64)>,
}

impl BegunStreams {
    /// Records a stream that callers may resume until `expires_at`. A later record of the
    /// same request replaces an earlier one.
    pub fn record(
        &mut self,
        stream: &BegunStream,
        source: StreamSource,
        expires_at: Millis,
        now: Millis,
    ) {
        let at = now.saturating_sub(Millis::from(stream.age_ms));
        if let Some(known) = self.streams.get(&stream.request)
            && !known.is_replaced_by(stream, at)
        {
            return;
        }
        self.remove(stream.request);
        self.by_arrival.insert((now, stream.request));
        self.by_expiry.insert((expires_at, stream.request));
        let begun = Begun {
            build: stream.build.as_str().into(),
            engine: stream.engine,
            source,
            timeout_ms: stream.timeout_ms,
            at,
            heard_at: now,
            expires_at,
            has_ended: false,
        };
        self.streams.insert(stream.request, begun);
    }

    /// Records that the software version is not clear of the streams that run at this incarnation
    /// of an engine. Returns their number.
    pub fn doubt(&mut self, engine: u32, now: Millis) -> usize {
        let mut count = 0;
        for (request, begun) in &mut self.streams {
            let runs = begun.engine == engine && !begun.has_ended;
            if runs && !begun.build.is_empty() {
                self.by_arrival.remove(&(begun.heard_at, *request));
                self.by_arrival.insert((now, *request));
                begun.build = "".into();
                begun.heard_at = now;
                count += 1;
            }
        }
        count
    }

    /// Records that a stream no longer runs at its engine.
    pub fn ended(&mut self, request: u64) {
        if let Some(begun) = self.streams.get_mut(&request) {
            begun.has_ended = true;
        }
    }

    fn remove(&mut self, request: u64) {
        if let Some(begun) = self.streams.remove(&request) {
            self.by_arrival.remove(&(begun.heard_at, request));
            self.by_expiry.remove(&(begun.expires_at, request));
        }
    }

    /// Returns the software version that began the stream of this request, and how this
    /// node knows.
    pub fn build_of(&self, request: u64) -> Option<(Arc<str>, StreamSource)> {
        let begun = self.streams.get(&request)?;
        Some((begun.build.clone(), begun.source))
    }

    /// Returns the software versions that are known to have begun any of the streams.
    pub fn builds(&self) -> BTreeSet<Arc<str>> {
        let builds = self.streams.values().map(|begun| &begun.build);
        builds.filter(|build| !build.is_empty()).cloned().collect()
    }

    /// Returns all streams, for a node that may not know them.
    pub fn list(&self, now: Millis) -> Vec<BegunStream> {
        let entry = |(request, begun): (&u64, &Begun)| entry(*request, begun, now);
        self.streams.iter().map(entry).collect()
    }

    /// Returns the streams that this node heard of from a time on.
    pub fn heard_after(&self, since: Millis, now: Millis) -> Vec<BegunStream> {
        self.heard_since(since, usize::MAX, now).0
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

    /// Forgets the streams that no caller can resume any more.
    pub fn forget_expired(&mut self, now: Millis) {
        while let Some((expires_at, request)) = self.by_expiry.first().copied() {
            if expires_at >= now {
                return;
            }
            self.remove(request);
        }
    }
}

fn entry(request: u64, begun: &Begun, now: Millis) -> BegunStream {
    BegunStream {
        request,
        build: begun.build.to_string(),
        age_ms: now.saturating_sub(begun.at) as u32,
        timeout_ms: begun.timeout_ms,
        engine: begun.engine,
    }
}
