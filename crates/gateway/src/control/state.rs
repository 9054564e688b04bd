//! State of the control thread and its event handlers.

mod brittle;
mod dispatch;
mod engine_memory;
mod first_tokens;
mod gossip;
mod handover;
mod limits;
mod peer_sync;
mod placement;
mod queued_request;
mod quota;
mod reach;
mod reachability;
mod records;
mod relay;
mod rollout;
mod streams;
mod suspects;
mod topics;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use flamingolock_wire::gossip::{BegunStream, Fault, FullEndpoint, LoadTimeRecord, Reload, Run};
use tokio::sync::oneshot;

use self::dispatch::Dispatch;
use self::queued_request::QueuedRequest;
use self::quota::QuotaState;
use self::relay::RelayedUpdates;
use self::streams::{BuildRecord, FormerMemory, StreamRecord};
use self::suspects::{SuspectsRecord, UndecidedRun};
use crate::catalog::{Catalog, Service};
use crate::clock::Millis;
use crate::control::begun_streams::BegunStreams;
use crate::control::cache_index::CacheIndex;
use crate::control::fetch_schedule::FetchSchedule;
use crate::control::fleet::EndpointState;
use crate::control::freshness::Freshness;
use crate::control::handovers::Handovers;
use crate::control::lease::Lease;
use crate::control::listed_builds::ListedBuilds;
use crate::control::named_weights::WriteTime;
use crate::control::notices::{Notice, Notices};
use crate::control::operator_records::OperatorRecords;
use crate::control::peers::{Peers, Role};
use crate::control::permit_issuer::PermitIssuer;
use crate::control::permits::Permits;
use crate::control::places::Places;
use crate::control::reach::Reach;
use crate::control::retry_budget::{RetryBudget, SlackShare};
use crate::control::rollout::Rollout;
use crate::control::stated_limits::StatedLimits;
use crate::control::suspect::Subject;
use crate::control::suspects::Suspects;
use crate::control::told_states::ToldStates;
use crate::control::transit::Transits;
use crate::control::wait_error::WaitErrors;
use crate::control::{Effect, Event, View};
use crate::dialect::{Dialect, KeyedRecord};
use crate::endpoint::{Endpoint, EndpointKey};
use crate::metrics::{EventKind, Metrics};
use crate::settings::Settings;

/// Maximum interval between two rounds of gossip, in ms.
const GOSSIP_INTERVAL_MS: Millis = 250;

/// Time for which updates are batched before they are gossiped, in ms.
const GOSSIP_BATCH_MS: Millis = 4;

/// Interval at which runs of dead nodes are removed, in ms.
const RUN_SWEEP_MS: Millis = 500;

/// Time without a tick after which the process is taken to have been stalled
/// (stopped or suspended), in ms.
const STALL_MS: Millis = 1_000;

/// Maximum interval between two ticks, in ms.
const MAX_TICK_INTERVAL_MS: Millis = 50;

/// Minimum interval between two scans of all nodes and endpoints in fleets with hubs, in ms.
/// There, news arrives more often, and a scan takes longer.
const SCAN_INTERVAL_MS: Millis = 10;

/// Interval at which queued requests are retried, in ms.
const QUEUE_TICK_INTERVAL_MS: Millis = 8;

/// State of the control thread.
pub struct Control {
    settings: Settings,
    dialect: &'static Dialect,
    incarnation: u64,
    view: Arc<ArcSwap<View>>,
    metrics: Arc<Metrics>,
    catalog: Option<Arc<Catalog>>,
    /// Services that the configuration no longer lists, while they have endpoints.
    dropped_services: BTreeMap<Arc<str>, Arc<Service>>,
    fleet: BTreeMap<EndpointKey, EndpointState>,
    wait_errors: WaitErrors,
    reach: Reach,
    /// Services that this node is cut off from while another node reaches them.
    cut_services: BTreeSet<Arc<str>>,
    handovers: Handovers,
    notices: Notices,
    limits: StatedLimits,
    permits: Permits,
    permit_issuer: PermitIssuer,
    /// Refusals a second that endpoints bear.
    brittle: StatedLimits,
    /// Services of which an endpoint states that it is brittle.
    brittle_services: BTreeSet<Arc<str>>,
    /// Brittle endpoints that refused a request, and until when they get none.
    full_endpoints: BTreeMap<EndpointKey, Millis>,
    places: Places,
    quota: QuotaState,
    /// Brittle endpoint at which a run of this node has just ended, whose place a waiting
    /// request may take.
    reusable_place: Option<EndpointKey>,
    /// Time by which the callers that were refused because of limits are asked to return,
    /// by service.
    return_times: BTreeMap<Arc<str>, Millis>,
    suspect_parts: Suspects,
    suspect_requests: Suspects,
    suspects_record: SuspectsRecord,
    /// Runs that ended while this node was cut off from their endpoints.
    undecided_runs: Vec<UndecidedRun>,
    parts: CacheIndex,
    streams: BegunStreams,
    /// Streams that began at this node and run, by endpoint and number of the run.
    open_streams: BTreeMap<(EndpointKey, u64), Vec<BegunStream>>,
    /// Incarnations of engines that were listed with another software version since, shortened,
    /// and when that was.
    replaced_engines: BTreeMap<u32, Millis>,
    /// Endpoints that were dropped, and when that was.
    removed_engines: BTreeMap<EndpointKey, (Arc<Endpoint>, Millis)>,
    /// How long streams of earlier configurations are remembered.
    former_memories: Vec<FormerMemory>,
    listed_builds: ListedBuilds,
    build_record: BuildRecord,
    stream_record: StreamRecord,
    peers: Peers,
    /// Delays of the datagrams of other nodes.
    transits: Transits,
    budget: RetryBudget,
    rollout: Rollout,
    lease: Lease,
    /// Time until which this node leaves the lease to others, as its orders brought nothing
    /// about.
    abstains_until: Millis,
    /// When the roll-out is to be advanced next, if this node drives one.
    rollout_due_at: Option<Millis>,
    queue: VecDeque<QueuedRequest>,
    dispatch: Dispatch,
    next_run: u64,
    outgoing_runs: Vec<Run>,
    outgoing_faults: Vec<Fault>,
    outgoing_full: Vec<FullEndpoint>,
    outgoing_reloads: Vec<Reload>,
    outgoing_streams: Vec<BegunStream>,
    outgoing_load_times: Vec<LoadTimeRecord>,
    relayed: RelayedUpdates,
    /// Part of this node in the relaying of gossip.
    role: Role,
    told_states: ToldStates,
    /// Nodes that accepted callers when this was last logged.
    reported_nodes: BTreeSet<SocketAddr>,
    runs_swept_at: Millis,
    introduce_to: Vec<SocketAddr>,
    gossip_pending_at: Option<Millis>,
    gossip_sent_at: Millis,
    operator_copy: Freshness,
    endpoints_copy: Freshness,
    /// Offset after the last record of the operator topic that was read.
    operator_end: u64,
    /// Records as read from the store, kept for nodes that cannot reach it.
    operator_records: OperatorRecords,
    /// Control address of the node that last reported newer records of the operator.
    operator_reporter: Option<SocketAddr>,
    endpoint_records: BTreeMap<EndpointKey, KeyedRecord>,
    /// Fetches of copies from other nodes.
    fetches: FetchSchedule,
    reported_marks: (u64, u64),
    marks_reported_at: Millis,
    store_unreachable: bool,
    /// Era of the store, the number of its history, if known.
    store_era: Option<u64>,
    store_recovered_at: Millis,
    ticked_at: Option<Millis>,
    scanned_at: Millis,
    /// True if the view is to be published with the next scan.
    is_view_due: bool,
    /// Start and end of the last stall of the process.
    last_stall: (Millis, Millis),
    /// True if no process has run under this node's name before.
    is_new: bool,
    /// When the process started.
    running_since: Option<Millis>,
    started_at: Option<Millis>,
    shutdown_at: Option<Millis>,
    /// Effects to be carried out; the caller takes them after each tick.
    pub effects: Vec<Effect>,
}

impl Control {
    /// Creates the state of a node that has not read any topic.
    pub fn new(
        settings: Settings,
        dialect: &'static Dialect,
        incarnation: u64,
        view: Arc<ArcSwap<View>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let weights_bound = settings.weights_bound.as_millis() as Millis;
        let peers = Peers::new(settings.retry_window);
        let quota = QuotaState::new(&settings, incarnation);
        Self {
            budget: RetryBudget::new(
                settings.retry_ratio,
                settings.retry_window,
                settings.retry_slack,
            ),
            lease: Lease::new(&settings.node, settings.lease),
            listed_builds: ListedBuilds::default(),
            settings,
            dialect,
            incarnation,
            view,
            metrics,
            catalog: None,
            dropped_services: BTreeMap::new(),
            fleet: BTreeMap::new(),
            wait_errors: WaitErrors::default(),
            reach: Reach::default(),
            cut_services: BTreeSet::new(),
            handovers: Handovers::default(),
            notices: Notices::default(),
            limits: StatedLimits::default(),
            permits: Permits::default(),
            permit_issuer: PermitIssuer::default(),
            brittle: StatedLimits::default(),
            brittle_services: BTreeSet::new(),
            full_endpoints: BTreeMap::new(),
            places: Places::default(),
            quota,
            reusable_place: None,
            return_times: BTreeMap::new(),
            suspect_parts: Suspects::new(Subject::Part),
            suspect_requests: Suspects::new(Subject::Request),
            suspects_record: SuspectsRecord::default(),
            undecided_runs: Vec::new(),
            parts: CacheIndex::default(),
            build_record: BuildRecord::default(),
            stream_record: StreamRecord::default(),
            streams: BegunStreams::default(),
            open_streams: BTreeMap::new(),
            replaced_engines: BTreeMap::new(),
            removed_engines: BTreeMap::new(),
            former_memories: Vec::new(),
            peers,
            transits: Transits::default(),
            rollout: Rollout::new(weights_bound),
            abstains_until: 0,
            rollout_due_at: None,
            queue: VecDeque::new(),
            dispatch: Dispatch::default(),
            next_run: 0,
            outgoing_runs: Vec::new(),
            outgoing_faults: Vec::new(),
            outgoing_full: Vec::new(),
            outgoing_reloads: Vec::new(),
            outgoing_streams: Vec::new(),
            outgoing_load_times: Vec::new(),
            relayed: RelayedUpdates::default(),
            role: Role::Member,
            told_states: ToldStates::default(),
            reported_nodes: BTreeSet::new(),
            runs_swept_at: 0,
            introduce_to: Vec::new(),
            gossip_pending_at: None,
            gossip_sent_at: 0,
            operator_copy: Freshness::ordered(),
            endpoints_copy: Freshness::default(),
            operator_end: 0,
            operator_records: OperatorRecords::default(),
            operator_reporter: None,
            endpoint_records: BTreeMap::new(),
            fetches: FetchSchedule::default(),
            reported_marks: (0, 0),
            marks_reported_at: 0,
            store_unreachable: false,
            store_era: None,
            store_recovered_at: 0,
            ticked_at: None,
            scanned_at: 0,
            is_view_due: false,
            last_stall: (0, 0),
            is_new: false,
            running_since: None,
            started_at: None,
            shutdown_at: None,
            effects: Vec::new(),
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, event: Event, now: Millis) {
        self.detect_stall(now);
        match event {
            Event::Place(request, reply) => self.handle_placement(request, reply, now),
            Event::FirstToken {
                endpoint,
                run_number,
                weights,
                model,
            } => {
                self.note_first_token(endpoint, run_number, now);
                self.first_token(endpoint, run_number, now);
                self.weights_stated(endpoint, model, weights);
            }
            Event::RunEnded {
                endpoint,
                run_number,
                end,
                model,
            } => self.run_ended(endpoint, run_number, &end, model.as_deref(), now),
            Event::EndpointConnected(endpoint) => self.connect_ended(endpoint, true, now),
            Event::EndpointProbed(endpoint, reached) => {
                self.endpoint_probed(endpoint, reached, now);
            }
            Event::HandoverEnded(number) => self.handovers.end(number),
            Event::StreamBegun(stream) => self.stream_begun(&stream, now),
            Event::StreamRuns(run, stream) => self.stream_runs(run, stream),
            Event::StreamsRead(recorded) => self.streams_read(recorded, now),
            Event::StreamsRecorded(stored) => self.streams_recorded(stored),
            Event::RunCrashed(run) => self.run_crashed(run, now),
            Event::RunAnswered(service, subjects) => {
                self.run_answered(&service, &subjects, now);
            }
            Event::SuspectsRead(recorded) => self.suspects_read(&recorded, now),
            Event::SuspectsRecovered => self.suspects_recovered(),
            Event::SuspectsRecorded(stored) => self.suspects_recorded(stored),
            Event::Noticed(endpoint, notice) => self.noticed(&endpoint, notice, now),
            Event::LeavingElsewhere {
                endpoint,
                start_time_ms,
            } => self.leaving_elsewhere(endpoint, start_time_ms, now),
            Event::LimitStated(endpoint, limit) => self.limit_stated(&endpoint, limit, now),
            Event::BrittlenessStated(endpoint, refusals) => {
                self.brittleness_stated(&endpoint, refusals, now);
            }
            Event::OperatorSnapshot(records) => {
                let written = self.snapshot_write_time(now);
                for update in records {
                    self.apply_operator_update(update, written, now);
                }
            }
            Event::OperatorRecords(records) => {
                let written = WriteTime::known(self.earliest_write_time(now));
                for update in records {
                    self.apply_operator_update(update, written, now);
                }
            }
            Event::EndpointSnapshot(records) => self.endpoints_read(&records, now),
            Event::EndpointRecords(records) => {
                for record in &records {
                    self.apply_endpoint_record(record, now);
                }
            }
            Event::FirstRegistration => self.is_new = true,
            Event::NodesListed(addresses) => self.nodes_listed(addresses, now),
            Event::TopicRead { topic, end, at } => self.topic_read(topic, end, at, now),
            Event::TopicFailed(topic) => self.topic_failed(topic, now),
            Event::StoreEra(era) => self.store_era_stated(era, now),
            Event::StoreFailed => self.store_failed(now),
            Event::StoreAnswered => self.store_answered(now),
            Event::Datagram(from, bytes) => self.handle_datagram(from, bytes, now),
            Event::LeaseRead(end, last) => self.lease.read(end, last.as_deref(), now),
            Event::LeaseTrimmed(first) => self.lease.trimmed(first),
            Event::LeaseAppended(offset) => self.lease_appended(offset),
            Event::LeaseFailed => self.lease.failed(now),
            Event::BuildsRead(recorded) => self.builds_read(recorded, now),
            Event::BuildsRecovered => self.builds_recovered(),
            Event::BuildsRecorded(stored) => self.builds_recorded(stored),
            Event::OrderAnswered(order, outcome) => self.order_answered(&order, outcome, now),
            Event::EngineReported(key, report) => {
                log::info!(engine = key, report:? = report; "received engine report");
                self.rollout
                    .report_received(&mut self.fleet, key, report.as_ref(), now);
            }
            Event::CacheListed { endpoint, held } => self.apply_cache_list(endpoint, &held, now),
            Event::PeerSyncRequested(request, reply) => {
                // The other node may have disconnected in the meantime.
                let _ = reply.send(self.offer_copies(&request, now));
            }
            Event::StallAsked(since, reply) => self.tell_stall(since, reply),
            Event::PeerSyncReceived(copies) => self.apply_copies(*copies, now),
            Event::PeerSyncFailed => self.fetch_failed(now),
            Event::ShutdownStarted => {
                self.shutdown_at = Some(now);
                self.lease.relinquish();
                self.gossip_pending_at = Some(now);
                self.publish(now);
            }
            Event::Stop => {}
        }
    }

    fn noticed(&mut self, endpoint: &Endpoint, notice: Notice, now: Millis) {
        if self.notices.record(endpoint, notice, now) {
            log::info!(endpoint = &*endpoint.id, born = endpoint.start_time_ms, notice:? = notice;
                "endpoint wants no requests, or wants them again");
        }
    }

    /// Handles a notice that came over another node. An endpoint that is not listed here gets no
    /// requests; the entry may be that of an earlier incarnation, but not of a later one.
    fn leaving_elsewhere(&mut self, endpoint: EndpointKey, start_time_ms: u64, now: Millis) {
        let Some(listed) = self.fleet.get(&endpoint) else {
            return;
        };
        let listed = listed.endpoint.clone();
        if listed.start_time_ms <= start_time_ms {
            self.noticed(&listed, Notice::Leaving, now);
        }
    }

    fn nodes_listed(&mut self, addresses: Vec<SocketAddr>, now: Millis) {
        let others = addresses.into_iter();
        let others = others.filter(|address| *address != self.settings.gossip);
        self.peers.list(others, now);
        self.gossip_pending_at.get_or_insert(now);
    }

    /// Performs all actions that are due. Returns the latest time at which it must be
    /// called again.
    pub fn tick(&mut self, now: Millis) -> Millis {
        self.detect_stall(now);
        self.ticked_at = Some(now);
        let scans = self.peers.is_full_mesh(now) || now >= self.scanned_at + SCAN_INTERVAL_MS;
        if scans {
            self.scanned_at = now;
            self.drop_lapsed(now);
            self.request_peer_sync(now);
            self.read_topics(now);
        }
        self.give_up_asks(now);
        if scans {
            self.update_reach(now);
            self.decide_runs(now);
        }
        self.update_quotas(now);
        self.retry_queued(now);
        if scans {
            self.advance_rollout(now);
            self.record_streams(now);
        }
        if self
            .gossip_pending_at
            .is_some_and(|at| now >= at + GOSSIP_BATCH_MS)
            || now >= self.gossip_sent_at + GOSSIP_INTERVAL_MS
        {
            self.send_gossip(now);
            self.is_view_due = true;
        }
        if scans && std::mem::take(&mut self.is_view_due) {
            self.publish(now);
        }
        if now >= self.runs_swept_at + RUN_SWEEP_MS {
            self.runs_swept_at = now;
            self.drop_runs_of_dead_nodes(now);
            self.forget_streams(now);
            self.transits.forget_old(now);
            self.told_states.forget_old(now);
            self.report_late_datagrams(now);
            self.report_nodes();
            self.metrics
                .set_live_nodes(1 + self.peers.alive(now).count());
            self.notices
                .forget_old(|key| self.fleet.contains_key(&key), now);
            self.ask_unproven();
            self.forget_limits(now);
            self.forget_brittleness(now);
            for known in self.rollout.load_times.list(now) {
                let concurrent = known.window as usize;
                if let Some(expected) = self.rollout.load_times.expected(&known.service) {
                    self.metrics.set_loads(&known.service, expected, concurrent);
                }
            }
            self.record_builds(now);
            self.suspect_parts.forget_old(now);
            self.suspect_requests.forget_old(now);
            self.record_suspects(now);
        }
        let mut wake = now + MAX_TICK_INTERVAL_MS;
        if let Some(at) = self.gossip_pending_at {
            wake = wake.min(at + GOSSIP_BATCH_MS);
        }
        if let Some(at) = self.rollout_due_at {
            wake = wake.min(at);
        }
        if !self.queue.is_empty() {
            wake = wake.min(now + QUEUE_TICK_INTERVAL_MS);
        }
        wake.max(now + 1)
    }

    fn store_failed(&mut self, now: Millis) {
        self.metrics.count(EventKind::StoreCall, "failed");
        if !self.store_unreachable {
            self.store_unreachable = true;
            self.gossip_pending_at.get_or_insert(now);
            log::warn!("store does not answer");
        }
    }

    fn store_answered(&mut self, now: Millis) {
        self.metrics.count(EventKind::StoreCall, "answered");
        if self.store_unreachable {
            self.store_unreachable = false;
            self.store_recovered_at = now;
            log::info!("store answers again");
        }
    }

    /// Handles the store's era, the number of its history. A greater one means that the store came
    /// back from a copy, without what was written to it in the last seconds.
    fn store_era_stated(&mut self, era: u64, now: Millis) {
        let before = self.store_era;
        if before.is_some_and(|before| era <= before) {
            return;
        }
        self.store_era = Some(era);
        if before.is_none() {
            // A lease may have been lost just before this node started.
            self.lease.records_lost(now);
            return;
        }
        log::warn!(era, before = before.unwrap_or(0); "store came back from a copy; records of the last seconds are lost");
        self.lease.records_lost(now);
        self.build_record.forget_appends();
        self.stream_record = StreamRecord::default();
        self.suspects_record.forget_appends();
        self.store_recovered_at = now;
        self.effects.push(Effect::Register);
    }

    fn detect_stall(&mut self, now: Millis) {
        self.running_since.get_or_insert(now);
        if let Some(at) = self.ticked_at.filter(|at| now > at + STALL_MS) {
            log::warn!(ms = now - at; "the process stood still");
            self.last_stall = (at, now);
            self.mark_loads_unwatched();
            self.ticked_at = Some(now);
        }
    }

    /// Tells a request whether the process stood still at some time since then.
    fn tell_stall(&self, since: Millis, reply: oneshot::Sender<bool>) {
        let (_, resumed_at) = self.last_stall;
        // The request may have ended in the meantime.
        let _ = reply.send(resumed_at > 0 && resumed_at >= since);
    }

    fn max_nodes_sharing(&self, now: Millis) -> usize {
        self.peers.max_nodes_sharing(now)
    }

    fn slack_share(&self, now: Millis) -> SlackShare {
        SlackShare {
            nodes: self.peers.max_nodes_with_slack(now),
            counts_since: self.running_since.unwrap_or(now),
            is_new: self.is_new,
        }
    }

    /// Removes the runs of dead nodes, whose requests ended with their connections.
    fn drop_runs_of_dead_nodes(&mut self, now: Millis) {
        let mut nodes: BTreeSet<u64> = self
            .peers
            .alive(now)
            .map(|peer| peer.state.incarnation)
            .collect();
        nodes.insert(self.incarnation);
        for state in self.fleet.values_mut() {
            state.retain_runs_of(&nodes);
        }
    }

    /// Returns the rank of this node among those that reach the store.
    fn store_rank(&self, now: Millis) -> usize {
        self.peers
            .alive(now)
            .filter(|peer| {
                let state = &peer.state;
                state.ready
                    && !state.leaving
                    && state.store_reachable
                    && state.incarnation < self.incarnation
            })
            .count()
    }

    /// Logs that other nodes accept callers than at the last call.
    fn report_nodes(&mut self) {
        let nodes: BTreeSet<SocketAddr> = {
            let view = self.view.load();
            view.nodes.iter().map(|(address, _)| *address).collect()
        };
        let before = std::mem::replace(&mut self.reported_nodes, nodes);
        let nodes = &self.reported_nodes;
        let (added, removed) = (nodes.difference(&before), before.difference(nodes));
        let (added, removed) = (added.count(), removed.count());
        if added + removed > 0 {
            log::info!(nodes = nodes.len(), added, removed; "nodes accepting callers changed");
        }
    }

    fn publish(&self, now: Millis) {
        let mut nodes = self.nodes_for_callers(now);
        nodes.sort();
        let live = self.peers.alive(now).map(|peer| peer.state.incarnation);
        self.view.store(Arc::new(View {
            incarnation: Some(self.incarnation),
            live_nodes: live.collect(),
            catalog_current_at: self.operator_copy.current_at(),
            catalog_bound: self.settings.catalog_bound,
            catalog: self.catalog.clone(),
            nodes,
            shutdown_at: self.shutdown_at,
            ends_at: self
                .shutdown_at
                .map(|at| at + self.settings.shutdown_time().as_millis() as Millis),
            named_weights: self.rollout.named.all(),
            max_weights_age: self.max_weights_age(),
        }));
    }
}
