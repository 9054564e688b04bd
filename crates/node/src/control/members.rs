//! Cluster membership, and exchange of log records and snapshots with peers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use flamingolock_core::checkpoint;
use flamingolock_core::fold::ControlFold;
use flamingolock_core::heartbeat::{Input, Output};
use flamingolock_core::log_sync::{self, LogSync};
use flamingolock_core::members::Instance;
use flamingolock_core::membership::Membership;
use flamingolock_core::permit::EntryRef;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{CheckpointPart, LogEntry, NodeIncarnation};
use flamingolock_core::rendezvous;
use flamingolock_core::tail::Record;
use flamingolock_wire::convert::{Offsets, heartbeat_from_message, heartbeat_message};
use flamingolock_wire::message::{self as wire, Payload};
use flamingolock_wire::snapshot::{self, SnapshotAssembler};

use crate::control::context::{Context, Effect};
use crate::control::ledger::{Ledger, Stream};
use crate::log_client::parse_entry;
use crate::peers::LinkState;
use crate::view::{ListedInstance, ListedKind, ListedState};

/// Interval between ticks of [`Membership`], which expects an input at least every half
/// second.
const TICK_INTERVAL: Millis = Millis(200);

/// Membership changes that other controllers handle.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChanges {
    /// True if the set of live nodes may have changed.
    pub live_nodes_changed: bool,
    /// Incarnations of nodes that have ended.
    pub ended_incarnations: Vec<EntryRef>,
    /// Copy of the platform's instance list received from a peer.
    pub listed: Option<Vec<ListedInstance>>,
}

/// Cluster membership as seen by one node.
pub struct Members {
    local_row: Instance,
    membership: Membership,
    log_sync: LogSync,
    snapshots: BTreeMap<InstanceId, SnapshotAssembler>,
    incarnations: BTreeMap<InstanceId, Incarnation>,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    listed: Vec<ListedInstance>,
    has_platform_list: bool,
    changes: MembershipChanges,
    next_tick: Millis,
}

impl Members {
    /// Creates the membership of a node that knows only itself.
    pub fn new(local_row: &Instance, incarnation: Incarnation, now: Millis) -> Self {
        let seed = rendezvous::key(&format!("{}#{incarnation}", local_row.name));
        Self {
            local_row: local_row.clone(),
            membership: Membership::new(local_row, incarnation, now),
            log_sync: LogSync::new(Offset(0), seed),
            snapshots: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            addresses: BTreeMap::new(),
            listed: Vec::new(),
            has_platform_list: false,
            changes: MembershipChanges {
                live_nodes_changed: true,
                ..MembershipChanges::default()
            },
            next_tick: now,
        }
    }

    /// Returns and clears the changes since the last call.
    pub fn take_changes(&mut self) -> MembershipChanges {
        std::mem::take(&mut self.changes)
    }

    /// Returns the live nodes that take new work, including this node unless it is
    /// leaving.
    pub fn live_nodes(&self) -> BTreeSet<InstanceId> {
        self.membership.view().live().cloned().collect()
    }

    /// Returns the instance rows of the live nodes.
    pub fn live_rows(&self) -> Vec<Instance> {
        self.membership.view().live_rows().cloned().collect()
    }

    /// Returns whether this incarnation of a node may still act. This is false only if a
    /// later incarnation is known or the node is suspected, which takes a failed attempt
    /// at a new connection.
    pub fn is_live(&self, node: &NodeIncarnation) -> bool {
        let view = self.membership.view();
        let suspected = view.suspected().any(|name| *name == node.instance);
        let newest = view.state(&node.instance).map(|state| state.incarnation);
        !suspected && newest.is_none_or(|newest| newest <= node.incarnation)
    }

    /// Handles an instance list read from the platform or received from a peer.
    pub fn update_instances(
        &mut self,
        ctx: &mut Context<'_>,
        listed: &[ListedInstance],
        from_platform: bool,
    ) {
        self.has_platform_list |= from_platform;
        self.listed = listed.to_vec();
        let rows: Vec<Instance> = listed.iter().filter_map(row_of).collect();
        let input = if from_platform {
            Input::InstanceList(rows)
        } else {
            Input::PeerList(rows)
        };
        self.step(ctx, input);
        self.update_addresses(ctx);
    }

    fn update_addresses(&mut self, ctx: &mut Context<'_>) {
        let addresses: BTreeMap<InstanceId, SocketAddr> = self
            .membership
            .view()
            .rows()
            .filter(|row| row.name != self.local_row.name)
            .map(|row| (row.name.clone(), row.peer_address))
            .collect();
        if addresses != self.addresses {
            self.addresses = addresses;
            ctx.effects
                .push(Effect::SetPeerAddresses(self.addresses.clone()));
        }
    }

    /// Handles a change of the connection state to a peer.
    pub fn handle_link_state(&mut self, ctx: &mut Context<'_>, to: &InstanceId, state: LinkState) {
        let input = match state {
            LinkState::Up(incarnation) => Input::FreshConnectionOk {
                peer: to.clone(),
                incarnation,
            },
            LinkState::Failed => Input::FreshConnectionFailed(to.clone()),
            LinkState::Disconnected => Input::ConnectionLost(to.clone()),
        };
        self.step(ctx, input);
        if !matches!(state, LinkState::Up(_)) {
            return;
        }
        if self.has_platform_list {
            self.send_own_row(ctx, to);
        } else {
            self.request_instances(ctx, to);
        }
    }

    /// Sends this node's instance row to a peer. The peer's copy of the list may be older
    /// than this node, and the platform may be unavailable.
    fn send_own_row(&self, ctx: &mut Context<'_>, peer: &InstanceId) {
        let row = wire::InstanceRow::from(&self.local_row);
        let message = wire::Instances {
            instances: vec![row],
            listed: Bytes::new(),
        };
        ctx.send(peer, Payload::Instances(message));
    }

    /// Handles the answer of a node at a seed address from the settings: requests the
    /// node's copy of the instance list, unless the platform's list has been read or the
    /// node is known already.
    pub fn add_seed_node(&mut self, ctx: &mut Context<'_>, name: &InstanceId, address: SocketAddr) {
        if self.has_platform_list || self.addresses.contains_key(name) {
            return;
        }
        self.addresses.insert(name.clone(), address);
        ctx.effects
            .push(Effect::SetPeerAddresses(self.addresses.clone()));
        self.request_instances(ctx, name);
    }

    /// Announces that this node is leaving.
    pub fn leave(&mut self, ctx: &mut Context<'_>) {
        self.step(ctx, Input::Leave);
    }

    /// Runs the membership timers, once per `TICK_INTERVAL`.
    pub fn tick(&mut self, ctx: &mut Context<'_>) {
        if ctx.now < self.next_tick {
            return;
        }
        self.next_tick = ctx.now + TICK_INTERVAL;
        self.step(ctx, Input::Tick);
    }

    /// Handles records of the control stream that were read from the log.
    pub fn handle_log_records(
        &mut self,
        ctx: &mut Context<'_>,
        ledger: &mut Ledger,
        records: Vec<Record>,
    ) {
        let any = !records.is_empty();
        self.log_sync_step(ctx, ledger, log_sync::Input::LogRecords(records));
        let next = ledger.control().next();
        if self.log_sync.next() < next {
            self.log_sync_step(ctx, ledger, log_sync::Input::AdvancedTo(next));
        }
        if any {
            self.step(ctx, Input::Announce);
        }
    }

    /// Runs the timers of the record exchange with peers.
    pub fn tick_log_sync(&mut self, ctx: &mut Context<'_>, ledger: &mut Ledger) {
        self.log_sync_step(ctx, ledger, log_sync::Input::Tick);
    }

    /// Handles a message about membership or the log from another node.
    pub fn handle_peer_message(
        &mut self,
        ctx: &mut Context<'_>,
        ledger: &mut Ledger,
        from: &EntryRef,
        payload: &Payload,
    ) {
        let peer = from.instance.clone();
        match payload {
            Payload::Heartbeat(message) => {
                let (heartbeat, offsets) = heartbeat_from_message(message.clone());
                self.step(
                    ctx,
                    Input::HeartbeatReceived {
                        peer: peer.clone(),
                        heartbeat,
                    },
                );
                let input = log_sync::Input::PeerOffset(peer, offsets.control);
                self.log_sync_step(ctx, ledger, input);
            }
            Payload::RecordsRequest(wanted) if wanted.stream == Stream::Control.name() => {
                let input = log_sync::Input::RecordsWanted(peer, Offset(wanted.from), wanted.max);
                self.log_sync_step(ctx, ledger, input);
            }
            Payload::Records(records) => {
                let records: Vec<Record> = records
                    .records
                    .iter()
                    .filter_map(|record| Record::try_from(record.clone()).ok())
                    .collect();
                self.log_sync_step(ctx, ledger, log_sync::Input::PeerRecords(peer, records));
            }
            Payload::RecordsUnavailable(busy) => {
                let wait = Millis(busy.retry_after_ms);
                self.log_sync_step(ctx, ledger, log_sync::Input::PeerBusy(peer, wait));
            }
            Payload::Snapshot(part) => {
                let assembler = self.snapshots.entry(peer.clone()).or_default();
                if let Some((offset, bytes)) = assembler.push(part) {
                    self.snapshots.remove(&peer);
                    let input = log_sync::Input::PeerSnapshot(peer, offset, bytes.to_vec());
                    self.log_sync_step(ctx, ledger, input);
                }
            }
            Payload::InstancesRequest(wanted) => self.send_instances(ctx, &peer, wanted),
            Payload::Instances(instances) => self.handle_instances(ctx, instances),
            _ => {}
        }
    }

    /// Handles the flag, carried by frames of any kind, that their sender is leaving.
    pub fn peer_leaving(&mut self, ctx: &mut Context<'_>, from: &EntryRef) {
        let input = Input::PeerLeaving {
            peer: from.instance.clone(),
            incarnation: from.incarnation,
        };
        self.step(ctx, input);
    }

    fn request_instances(&self, ctx: &mut Context<'_>, peer: &InstanceId) {
        let wanted = wire::InstancesRequest {
            sender: Some(wire::InstanceRow::from(&self.local_row)),
        };
        ctx.send(peer, Payload::InstancesRequest(wanted));
    }

    /// Sends the known instances to a peer. Adds the peer's own row first, so that a node
    /// that is missing from the platform's list gets an answer as well.
    fn send_instances(
        &mut self,
        ctx: &mut Context<'_>,
        peer: &InstanceId,
        wanted: &wire::InstancesRequest,
    ) {
        let row = wanted
            .sender
            .clone()
            .and_then(|row| Instance::try_from(row).ok());
        if let Some(row) = row.filter(|row| row.name == *peer) {
            self.step(ctx, Input::PeerList(vec![row]));
            self.update_addresses(ctx);
        }
        let rows = self
            .membership
            .view()
            .rows()
            .map(wire::InstanceRow::from)
            .collect();
        let listed = serde_json::to_vec(&self.listed).unwrap_or_default();
        let message = wire::Instances {
            instances: rows,
            listed: Bytes::from(listed),
        };
        ctx.send(peer, Payload::Instances(message));
    }

    fn handle_instances(&mut self, ctx: &mut Context<'_>, message: &wire::Instances) {
        let rows = message
            .instances
            .iter()
            .filter_map(|row| Instance::try_from(row.clone()).ok())
            .collect();
        self.step(ctx, Input::PeerList(rows));
        self.update_addresses(ctx);
        if self.has_platform_list {
            return;
        }
        if let Ok(listed) = serde_json::from_slice::<Vec<ListedInstance>>(&message.listed)
            && !listed.is_empty()
        {
            self.changes.listed = Some(listed);
        }
    }

    fn step(&mut self, ctx: &mut Context<'_>, input: Input) {
        for output in self.membership.step(input, ctx.now) {
            match output {
                Output::SendHeartbeat { to, heartbeat } => {
                    let offsets = Offsets {
                        control: self.log_sync.next(),
                        claims: Offset(0),
                    };
                    let message = heartbeat_message(&heartbeat, offsets);
                    ctx.send(&to, Payload::Heartbeat(message));
                }
                Output::OpenFreshConnection(to) => ctx.effects.push(Effect::Reconnect(to)),
                Output::AskInstances(peer) => self.request_instances(ctx, &peer),
                Output::Suspect(name) => log::warn!("node {name} is suspected"),
                Output::Clear(name) => log::info!("node {name} is no longer suspected"),
                Output::ViewChanged => self.changes.live_nodes_changed = true,
            }
        }
        self.detect_ended_incarnations();
    }

    /// Detects incarnations that were replaced by a later one, and nodes that are gone.
    fn detect_ended_incarnations(&mut self) {
        let mut incarnations = BTreeMap::new();
        for (name, member) in self.membership.view().members().iter() {
            incarnations.insert(name.clone(), member.state.incarnation);
        }
        for (name, incarnation) in &self.incarnations {
            let ended = incarnations
                .get(name)
                .is_none_or(|newest| newest > incarnation);
            if ended && *incarnation != Incarnation(0) {
                let entry = EntryRef {
                    instance: name.clone(),
                    incarnation: *incarnation,
                };
                self.changes.ended_incarnations.push(entry);
            }
        }
        self.incarnations = incarnations;
    }

    fn log_sync_step(
        &mut self,
        ctx: &mut Context<'_>,
        ledger: &mut Ledger,
        input: log_sync::Input,
    ) {
        for output in self.log_sync.step(input, ctx.now) {
            match output {
                log_sync::Output::RequestRecords(peer, from) => {
                    let wanted = wire::RecordsRequest {
                        stream: Stream::Control.name().to_owned(),
                        from: from.0,
                        max: log_sync::MAX_BATCH,
                    };
                    ctx.send(&peer, Payload::RecordsRequest(wanted));
                }
                log_sync::Output::Apply(records) => {
                    let entries: Vec<LogEntry> = records.iter().map(parse_entry).collect();
                    if ledger.apply_peer_entries(ctx, &entries) {
                        self.step(ctx, Input::Announce);
                    }
                }
                log_sync::Output::Install(offset, bytes) => {
                    install_snapshot(ctx, ledger, offset, &bytes);
                }
                log_sync::Output::SendRecords(peer, records) => {
                    let first = records.first().map_or(0, |record| record.offset.0);
                    let message = wire::Records {
                        stream: Stream::Control.name().to_owned(),
                        first,
                        records: records.iter().map(wire::LogRecord::from).collect(),
                    };
                    ctx.send(&peer, Payload::Records(message));
                }
                log_sync::Output::SendSnapshot(peer) => send_snapshot(ctx, ledger, &peer),
                log_sync::Output::SendBusy(peer, wait) => {
                    let busy = wire::RecordsUnavailable {
                        stream: Stream::Control.name().to_owned(),
                        retry_after_ms: wait.0,
                    };
                    ctx.send(&peer, Payload::RecordsUnavailable(busy));
                }
            }
        }
    }
}

fn row_of(listed: &ListedInstance) -> Option<Instance> {
    if listed.kind != ListedKind::Entry {
        return None;
    }
    Some(Instance {
        name: InstanceId::from(listed.name.as_str()),
        address: listed.address,
        peer_address: listed.peer_address?,
        zone: listed.zone.clone(),
        leaving: listed.state == ListedState::Leaving,
    })
}

fn send_snapshot(ctx: &mut Context<'_>, ledger: &Ledger, peer: &InstanceId) {
    let fold = ledger.control();
    let parts = checkpoint::encode(fold, "peer", checkpoint::PART_BYTES);
    let bytes = Bytes::from(serde_json::to_vec(&parts).unwrap_or_default());
    for part in snapshot::split(Stream::Control.name(), fold.next(), &bytes) {
        ctx.send(peer, Payload::Snapshot(part));
    }
}

fn install_snapshot(ctx: &mut Context<'_>, ledger: &mut Ledger, offset: Offset, bytes: &[u8]) {
    let copy: Result<ControlFold, String> = serde_json::from_slice::<Vec<CheckpointPart>>(bytes)
        .map_err(|error| error.to_string())
        .and_then(|parts| checkpoint::rebuild(&parts).map_err(|error| error.to_string()));
    match copy {
        Ok(copy) if copy.next() == offset => {
            ledger.install_fold(ctx, copy);
        }
        Ok(_) => log::warn!("ignoring snapshot from a peer: its offset does not match its content"),
        Err(error) => log::warn!("ignoring unreadable snapshot from a peer: {error}"),
    }
}

/// Publishes the live nodes as the entries that callers may use.
pub fn publish_entries(ctx: &Context<'_>, members: &Members) {
    let rows = Arc::new(members.live_rows());
    ctx.publish(|view| view.entries = rows);
}
