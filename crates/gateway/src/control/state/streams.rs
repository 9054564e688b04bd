//! Streams that callers may resume, and the software versions that can have begun them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingolock_wire::gossip::{BegunStream, BegunStreamList, BuildHistory, Gossip};

use super::Control;
use crate::clock::Millis;
use crate::control::begun_streams::{StreamSource, request_key};
use crate::control::listed_builds::ServedBuilds;
use crate::control::peers::RELAYED_PEER_TIMEOUT_MS;
use crate::control::{Effect, PlacementRequest};
use crate::endpoint::{Endpoint, EndpointKey};

/// Time in ms for which streams are remembered beyond the timeout of their route.
const RESUME_MARGIN_MS: Millis = 5_000;

/// Timeout in ms that streams are taken to have as long as no configuration is known.
const ASSUMED_TIMEOUT_MS: Millis = 60_000;

/// Time in ms after its first entry for which a node records no software versions, so
/// that it knows the other nodes.
const RECORD_DELAY_MS: Millis = 2_000;

/// Minimum interval in ms between two records of the software versions.
const RECORD_INTERVAL_MS: Millis = 1_000;

/// Interval in ms at which a node records the streams that began. Streams of the last
/// interval are lost if all nodes end.
const STREAM_RECORD_MS: Millis = 50;

/// Number of nodes that record the streams, in case one of them does not reach the store.
const STREAM_RECORDERS: usize = 2;

/// Maximum number of streams in one append, so that it fits into a record of the store.
const MAX_RECORDED_STREAMS: usize = 4_000;

/// Part of the store's writing calls that all recorders of streams together use.
const RECORD_CALL_SHARE: f64 = 0.1;

/// Why a resumed stream continues at a software version, or at none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BuildReason {
    /// This version is known to have begun it.
    Known(StreamSource),
    /// Its engine was listed with another version while it ran.
    Unclear(StreamSource),
    /// No other version was listed since its caller may have begun it.
    OnlyListed,
    /// The process stood still a moment ago.
    StoodStill,
    /// This node's copy of the entries is too old.
    OldEntries,
    /// The list of versions does not go back to when its caller may have begun it.
    Incomplete,
    /// Several versions were listed, or none.
    NotOne,
    /// Another version than the only listed one began streams.
    BegunByOther,
}

/// The record of the streams that began, kept in the store for the case that all nodes end
/// while several software versions serve. With one version, none is needed.
#[derive(Debug, Default)]
pub struct StreamRecord {
    /// Time from which on the streams that this node heard of are not recorded.
    since: Millis,
    /// The same once the append in progress is stored.
    next_since: Millis,
    is_appending: bool,
    appended_at: Millis,
}

/// The record of the software versions that may have begun a stream, kept in the store
/// for the case that all nodes end.
#[derive(Debug, Default)]
pub struct BuildRecord {
    /// True once the record that the node found when it started has been read.
    is_read: bool,
    /// Content of the store's record, as far as this node knows.
    stored: Option<BuildHistory>,
    /// Content and time of the last append.
    appended: Option<(BuildHistory, Millis)>,
}

impl BuildRecord {
    /// Records that what was appended is lost.
    pub(super) fn forget_appends(&mut self) {
        self.stored = None;
        self.appended = None;
    }
}

/// How long streams are remembered that began under a configuration that was replaced, at
/// this node or at one that told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FormerMemory {
    /// Time for which their callers may resume them, in ms.
    memory: Millis,
    /// Time at which the last of them is forgotten.
    until: Millis,
}

impl FormerMemory {
    /// True if all streams that `other` remembers are remembered.
    fn covers(&self, other: &Self) -> bool {
        self.memory >= other.memory && self.until >= other.until
    }
}

/// Time before the last news of a node from which on it may have missed what this one sent,
/// in ms: that in which a node counts as alive though nothing is heard of it.
const MISSED_NEWS_MS: Millis = RELAYED_PEER_TIMEOUT_MS;

impl Control {
    /// Handles the record that the node found when it started.
    pub(super) fn builds_read(&mut self, recorded: BuildHistory, now: Millis) {
        log::info!(builds:? = recorded.builds; "read the recorded software versions");
        self.listed_builds.recover(&recorded, now);
        // Their callers may come back for as long as that from now on.
        self.learn_memory(recorded.memory_ms, recorded.memory_ms, now);
        self.build_record.stored = Some(recorded);
    }

    /// Handles the end of the read of the record. Written before, it would lack the versions
    /// that nodes which ended have recorded.
    pub(super) fn builds_recovered(&mut self) {
        self.build_record.is_read = true;
    }

    /// Handles the end of an append of the record.
    pub(super) fn builds_recorded(&mut self, stored: bool) {
        if let Some((history, _)) = self.build_record.appended.as_ref().filter(|_| stored) {
            self.build_record.stored = Some(history.clone());
        }
    }

    /// Records the software versions if they have changed. Of all nodes that reach the store
    /// only the one of the first rank does so.
    pub(super) fn record_builds(&mut self, now: Millis) {
        let record = &self.build_record;
        let started = self
            .started_at
            .is_some_and(|at| now >= at + RECORD_DELAY_MS);
        let waits = record
            .appended
            .as_ref()
            .is_some_and(|(_, at)| now < at + RECORD_INTERVAL_MS);
        let usable = !self.store_unreachable && self.shutdown_at.is_none();
        if !record.is_read || !started || waits || !usable || self.store_rank(now) > 0 {
            return;
        }
        let listed = self.fleet.values().map(|state| &*state.endpoint);
        let is_current = self.knows_entries(now);
        let Some(mut history) = self.listed_builds.history(listed, is_current, now) else {
            return;
        };
        history.complete_ms = 0;
        history.memory_ms = self.longest_memory(now).memory;
        history.builds.iter_mut().for_each(|build| build.age_ms = 0);
        if record.stored.as_ref() == Some(&history) {
            return;
        }
        log::info!(builds:? = history.builds; "recording the software versions");
        self.build_record.appended = Some((history.clone(), now));
        self.effects.push(Effect::RecordBuilds(history));
    }

    /// Records a stream that began at this node, and tells the other nodes.
    pub(super) fn stream_begun(&mut self, stream: &BegunStream, now: Millis) {
        let stream = self.with_doubt(stream);
        self.record_stream(&stream, StreamSource::Own, now);
        self.outgoing_streams.push(stream);
        self.gossip_pending_at.get_or_insert(now);
    }

    /// Records that a stream of this node runs at an endpoint.
    pub(super) fn stream_runs(&mut self, run: (EndpointKey, u64), stream: BegunStream) {
        self.open_streams.entry(run).or_default().push(stream);
    }

    /// Returns a record of a stream without its software version if its engine has been listed
    /// with another one since its run was placed.
    fn with_doubt(&self, stream: &BegunStream) -> BegunStream {
        let mut stream = stream.clone();
        if self.replaced_engines.contains_key(&stream.engine) {
            stream.build.clear();
        }
        stream
    }

    /// Handles that an endpoint is listed with a software version. Its process may have been
    /// replaced some time ago, so the streams that run there and began under an earlier entry
    /// with another version may be of either.
    pub(super) fn doubt_streams(&mut self, entry: &Endpoint, now: Millis) {
        let key = entry.key();
        let runs = self.open_streams.range((key, 0)..=(key, u64::MAX));
        let own: Vec<BegunStream> = runs
            .flat_map(|(_, streams)| streams)
            .filter(|stream| stream.build != *entry.build)
            .cloned()
            .collect();
        let removed = self.removed_engines.remove(&key);
        let listed = self.fleet.get(&key).map(|state| state.endpoint.clone());
        let replaced = listed.or(removed.map(|(engine, _)| engine));
        let replaced = replaced.filter(|replaced| replaced.build != entry.build);
        let engines: BTreeSet<u32> = own
            .iter()
            .map(|stream| stream.engine)
            .chain(replaced.map(|replaced| replaced.short_incarnation()))
            .collect();
        let mut doubted = 0;
        for engine in engines {
            self.replaced_engines.insert(engine, now);
            doubted += self.streams.doubt(engine, now);
        }
        if doubted > 0 {
            log::warn!(endpoint = &*entry.id, build = &*entry.build, streams = doubted; "endpoint is listed with another software version than its streams");
        }
        // Nodes that have not read the entry do not doubt them yet.
        for stream in &own {
            self.stream_begun(stream, now);
        }
    }

    /// Records that the streams of a run no longer run at their engine.
    pub(super) fn streams_ended(&mut self, run: (EndpointKey, u64)) {
        let streams = self.open_streams.remove(&run);
        for stream in streams.into_iter().flatten() {
            self.streams.ended(stream.request);
        }
    }

    /// True if it is not clear which software version sent the events of a request's stream.
    pub(super) fn is_unclear(&self, request: &str) -> bool {
        let known = self.streams.build_of(request_key(request));
        known.is_some_and(|(build, _)| build.is_empty())
    }

    /// Adds the streams that were recorded before all nodes ended.
    pub(super) fn streams_read(&mut self, recorded: BegunStreamList, now: Millis) {
        log::info!(streams = recorded.streams.len(); "read the recorded streams");
        for mut stream in recorded.streams {
            // The order of the record is that in which they began.
            stream.age_ms = 0;
            self.record_stream(&stream, StreamSource::Record, now);
        }
    }

    /// Records a stream for as long as its caller may resume it: under the timeout under which it
    /// began, whatever configuration is in force by now.
    pub(super) fn record_stream(
        &mut self,
        stream: &BegunStream,
        source: StreamSource,
        now: Millis,
    ) {
        let stream = self.with_doubt(stream);
        let memory = match stream.timeout_ms {
            0 if self.catalog.is_none() => ASSUMED_TIMEOUT_MS + RESUME_MARGIN_MS,
            0 => self.stream_memory(now),
            timeout_ms => Millis::from(timeout_ms) + RESUME_MARGIN_MS,
        };
        let begun_at = now.saturating_sub(Millis::from(stream.age_ms));
        self.streams
            .record(&stream, source, begun_at.saturating_add(memory), now);
    }

    /// Takes over which software versions another node saw.
    pub(super) fn learn_builds(&mut self, history: &BuildHistory, now: Millis) {
        log::info!(builds:? = history.builds, complete_ms = history.complete_ms; "another node told the software versions");
        self.listed_builds.learn(history, now);
        self.learn_memory(history.memory_ms, history.memory_left_ms, now);
    }

    /// Handles the end of an append to the record of streams.
    pub(super) fn streams_recorded(&mut self, stored: bool) {
        let record = &mut self.stream_record;
        record.is_appending = false;
        if stored {
            record.since = record.next_since;
        }
    }

    /// Records the streams that began since the last time, if several software versions may
    /// have begun one. Of the nodes that reach the store those of the first ranks do so.
    pub(super) fn record_streams(&mut self, now: Millis) {
        let record = &self.stream_record;
        let interval = STREAM_RECORD_MS.max(self.settings.store_writes.map_or(0, |writes| {
            (1_000.0 * STREAM_RECORDERS as f64 / (writes * RECORD_CALL_SHARE)) as Millis
        }));
        if record.is_appending || now < record.appended_at + interval || self.store_unreachable {
            return;
        }
        self.stream_record.appended_at = now;
        if !self.serves_several_builds(now) || self.store_rank(now) >= STREAM_RECORDERS {
            return;
        }
        let since = self.stream_record.since;
        let (streams, next_since) = self.streams.heard_since(since, MAX_RECORDED_STREAMS, now);
        if streams.is_empty() {
            return;
        }
        log::info!(streams = streams.len(), since; "recording the streams that began");
        self.stream_record.next_since = next_since;
        self.stream_record.is_appending = true;
        self.effects
            .push(Effect::RecordStreams(BegunStreamList { streams }));
    }

    /// True if the software version that began a stream is not clear from the versions of
    /// the endpoints alone.
    fn serves_several_builds(&self, now: Millis) -> bool {
        let since = now.saturating_sub(self.stream_memory(now));
        let listed = || self.fleet.values().map(|state| &*state.endpoint);
        let services = listed().filter(|endpoint| !endpoint.weights.is_empty());
        let services: BTreeSet<&Arc<str>> = services.map(|endpoint| &endpoint.service).collect();
        services.into_iter().any(|service| {
            let served = self.listed_builds.served(service, listed(), since);
            served.sole().is_none()
        })
    }

    /// Tells a node that has started, or was out of reach, which streams began, which
    /// software versions were listed recently, which prompt parts and requests may crash endpoints,
    /// which endpoints state limits, how long loads take and when weights were named. In fleets
    /// with hubs only these do so. One that was out of reach since `last_news` knows the streams
    /// of the time before: all of them each time would make late nodes and their links later.
    pub(super) fn send_history(
        &mut self,
        node: SocketAddr,
        last_news: Option<Millis>,
        now: Millis,
    ) {
        if !(self.role.is_hub() || self.peers.is_full_mesh(now)) {
            return;
        }
        let streams = match last_news {
            Some(at) => self
                .streams
                .heard_after(at.saturating_sub(MISSED_NEWS_MS), now),
            None => self.streams.list(now),
        };
        let listed = self.fleet.values().map(|state| &*state.endpoint);
        let is_current = self.knows_entries(now);
        let longest = self.longest_memory(now);
        let builds = self.listed_builds.history(listed, is_current, now);
        let builds = builds.map(|history| BuildHistory {
            memory_ms: longest.memory,
            memory_left_ms: longest.until.saturating_sub(now),
            ..history
        });
        log::info!(node:% = node, streams = streams.len(), builds:? = builds, is_current; "sent the streams that began recently");
        let gossip = Gossip {
            sender: Some(self.own_state(now)),
            streams,
            builds,
            suspects: self.suspect_parts.list(now),
            suspect_requests: self.suspect_requests.list(now),
            limits: self.limits.list(now),
            brittle: self.brittle.list(now),
            load_times: self.rollout.load_times.list(now),
            named_weights: self.rollout.named.list(now),
            relayed: true,
            is_history: true,
            ..Gossip::default()
        };
        self.send_in_datagrams(gossip, &[node], now);
    }

    /// True if this node's copy of the entries is as current as it must be. An older one may
    /// lack the versions at which other nodes have begun streams since.
    fn knows_entries(&self, now: Millis) -> bool {
        let bound = self.settings.drain_bound.as_millis() as Millis;
        self.endpoints_copy.age(now) <= bound
    }

    /// Returns the software version that began the stream that a request resumes, given the
    /// key of the request that began it. A stream that no node has told of began at the only
    /// version that served since its caller may have begun it, if there is only one.
    pub(super) fn build_of_stream(
        &self,
        begun_by: Option<u64>,
        request: &PlacementRequest,
        now: Millis,
    ) -> Option<Arc<str>> {
        let memory = self.stream_memory(now);
        let listed = self.fleet.values().map(|state| &*state.endpoint);
        let served =
            self.listed_builds
                .served(&request.service, listed, now.saturating_sub(memory));
        let (build, reason) = self.decide_build(begun_by, &served, now);
        let complete_ms = served.complete_since.map(|at| now.saturating_sub(at));
        log::info!(request = &*request.id, build = build.as_deref().unwrap_or(""), reason:? = reason,
            listed:? = served.builds, complete_ms, memory_ms = memory; "chose the software version of a resumed stream");
        build
    }

    fn decide_build(
        &self,
        begun_by: Option<u64>,
        served: &ServedBuilds,
        now: Millis,
    ) -> (Option<Arc<str>>, BuildReason) {
        if let Some((build, source)) = begun_by.and_then(|request| self.streams.build_of(request)) {
            if build.is_empty() {
                return (None, BuildReason::Unclear(source));
            }
            return (Some(build), BuildReason::Known(source));
        }
        if self.is_recovering(now) {
            return (None, BuildReason::StoodStill);
        }
        if !self.knows_entries(now) {
            return (None, BuildReason::OldEntries);
        }
        if !served.is_complete {
            return (None, BuildReason::Incomplete);
        }
        let Some(sole) = served.sole() else {
            return (None, BuildReason::NotOne);
        };
        let begun = self.streams.builds();
        if begun.iter().any(|build| build != sole) {
            return (None, BuildReason::BegunByOther);
        }
        (Some(sole.clone()), BuildReason::OnlyListed)
    }

    /// Time in ms for which a caller may resume a stream.
    pub(super) fn stream_memory(&self, now: Millis) -> Millis {
        self.longest_memory(now).memory
    }

    /// The longest time for which a caller may resume a stream, under the configuration in
    /// force or an earlier one.
    fn longest_memory(&self, now: Millis) -> FormerMemory {
        let memory = self.catalog_memory();
        let current = FormerMemory {
            memory,
            until: now + memory,
        };
        let former = self.former_memories.iter().copied();
        let former = former.filter(|former| now < former.until);
        former.max().map_or(current, |former| former.max(current))
    }

    /// Takes over that callers may resume streams for `memory` ms, which holds for `left` ms.
    fn learn_memory(&mut self, memory: Millis, left: Millis, now: Millis) {
        let learnt = FormerMemory {
            memory,
            until: now.saturating_add(left),
        };
        let is_known = self
            .former_memories
            .iter()
            .any(|former| former.covers(&learnt));
        if !is_known && memory > self.catalog_memory() {
            log::info!(memory_ms = memory, left_ms = left; "streams of an earlier configuration are remembered for longer");
            self.former_memories.push(learnt);
        }
    }

    /// The same under the configuration in force alone.
    fn catalog_memory(&self) -> Millis {
        let catalog = self.catalog.as_ref();
        let longest = catalog.map_or(Duration::ZERO, |catalog| catalog.routes.longest_stream());
        longest.as_millis() as Millis + RESUME_MARGIN_MS
    }

    /// Records that the configuration in force is about to be replaced: the streams that
    /// began under it keep their timeouts.
    pub(super) fn keep_stream_memory(&mut self, now: Millis) {
        let memory = self.catalog_memory();
        self.former_memories.retain(|former| now < former.until);
        self.former_memories.push(FormerMemory {
            memory,
            until: now + memory,
        });
    }

    /// Forgets the streams and software versions that no caller can resume any more.
    pub(super) fn forget_streams(&mut self, now: Millis) {
        self.streams.forget_expired(now);
        let oldest = now.saturating_sub(self.stream_memory(now));
        self.replaced_engines.retain(|_, at| *at >= oldest);
        self.removed_engines.retain(|_, (_, at)| *at >= oldest);
        self.listed_builds.forget_before(oldest);
    }
}
