//! Dispatches events to the controllers and passes changes from one to the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::channel::Sender;
use flamingolock_core::drain::{self, Drain, DrainLimits};
use flamingolock_core::entries::{self, Caller};
use flamingolock_core::limits::{self, LimitShare, Limits};
use flamingolock_core::members::Instance;
use flamingolock_core::permit::EntryRef;
use flamingolock_core::prelude::*;
use flamingolock_core::record::NodeIncarnation;
use flamingolock_wire::message::Payload;

use crate::control::Event;
use crate::control::calls::{CallEvent, Calls};
use crate::control::context::Context;
use crate::control::ledger::{Ledger, LogCursors, LogEvent, Stream};
use crate::control::members::{self, Members};
use crate::control::permit::{InflightGuard, Refusal};
use crate::control::router::Router;
use crate::log_client::ReadResponse;
use crate::peers::LinkState;
use crate::settings::Settings;
use crate::view::{DrainPhase, ListedInstance};

/// Time allowed for peers and callers to learn that a node is leaving, in addition to
/// the time for which callers cache the list of entries.
const UNLIST_SLACK: Millis = Millis(500);

/// Time after which the limit counters of an idle workspace are dropped. Idle
/// workspaces are also looked for at this interval.
const WORKSPACE_IDLE_TIMEOUT: Millis = Millis(600_000);

/// Identity of this node.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// This node's row in the instance list of the platform.
    pub row: Instance,
    /// Incarnation of this node, new with every start of the process.
    pub incarnation: Incarnation,
}

impl LocalNode {
    /// Returns the name and incarnation under which log records refer to this node.
    pub fn node_incarnation(&self) -> NodeIncarnation {
        NodeIncarnation {
            instance: self.row.name.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// State of the control thread, one controller for each concern.
pub struct Controllers {
    local_node: LocalNode,
    /// Routes requests to engines and holds the permits.
    pub router: Router,
    ledger: Ledger,
    calls: Calls,
    members: Members,
    limits: Limits,
    drain: Drain,
    inflight: usize,
    instances: BTreeMap<String, ListedInstance>,
    events: Sender<Event>,
    next_idle_check: Millis,
}

impl Controllers {
    /// Creates the controllers of a node that has just started.
    pub fn new(
        settings: &Settings,
        local_node: LocalNode,
        cursors: Arc<LogCursors>,
        events: Sender<Event>,
        now: Millis,
    ) -> Self {
        let limits = DrainLimits {
            serve_for: Millis(settings.timing.entries_ms) + UNLIST_SLACK,
            finish_within: Millis(settings.timing.drain_ms),
        };
        Self {
            router: Router::new(settings, local_node.incarnation, events.clone()),
            ledger: Ledger::new(
                local_node.node_incarnation(),
                &settings.platform,
                cursors,
                now,
            ),
            calls: Calls::new(local_node.node_incarnation()),
            members: Members::new(&local_node.row, local_node.incarnation, now),
            limits: Limits::default(),
            drain: Drain::new(limits),
            inflight: 0,
            instances: BTreeMap::new(),
            events,
            next_idle_check: now + WORKSPACE_IDLE_TIMEOUT,
            local_node,
        }
    }

    /// Admits a request of a workspace if the node and the workspace's limits allow it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the node is shutting down, the workspace is unknown or one
    /// of its limits is reached.
    pub fn start_request(
        &mut self,
        ctx: &mut Context<'_>,
        id: WorkspaceId,
    ) -> Result<InflightGuard, Refusal> {
        if !self.drain.accepts() {
            return Err(Refusal {
                code: "leaving",
                retry_after: Millis(0),
            });
        }
        let view = ctx.view.load();
        let Some(workspace) = view.manifest.workspaces.get(&id) else {
            return Err(Refusal {
                code: "unknown_workspace",
                retry_after: Millis(1000),
            });
        };
        let share = self.share(&view.manifest, &id);
        match self.limits.admit(&id, workspace, share, ctx.now) {
            limits::Admission::Admitted => {
                self.count_inflight(ctx, 1);
                Ok(InflightGuard {
                    workspace: id,
                    events: self.events.clone(),
                })
            }
            limits::Admission::RateExceeded { retry_after } => Err(Refusal {
                code: "rate_limit",
                retry_after,
            }),
            limits::Admission::InflightExceeded { retry_after } => Err(Refusal {
                code: "inflight_limit",
                retry_after,
            }),
        }
    }

    /// Releases the place of a request that ended.
    pub fn end_request(&mut self, ctx: &mut Context<'_>, workspace: &WorkspaceId) {
        self.limits.finish(workspace);
        self.count_inflight(ctx, -1);
    }

    fn count_inflight(&mut self, ctx: &mut Context<'_>, change: isize) {
        self.inflight = self.inflight.saturating_add_signed(change);
        let input = drain::Input::InflightChanged(self.inflight);
        self.step_drain(ctx, input);
    }

    /// Returns this node's share of the workspace's limits. Callers spread their requests
    /// over the entries listed for their workspace, so these divide the limits.
    fn share(
        &self,
        manifest: &flamingolock_core::manifest::Manifest,
        workspace: &WorkspaceId,
    ) -> LimitShare {
        let caller = Caller {
            workspace,
            share: workspace_share(manifest, workspace),
            zone: &self.local_node.row.zone,
            salt: 0,
        };
        let rows = self.members.live_rows();
        let mut names: Vec<InstanceId> = entries::choose(&rows, &caller)
            .into_iter()
            .map(|entry| entry.name)
            .collect();
        names.sort();
        let position = names
            .iter()
            .position(|name| *name == self.local_node.row.name);
        LimitShare {
            entries: names.len().max(1) as u32,
            position: position.unwrap_or_default() as u32,
        }
    }

    /// Handles an instance list read from the platform or received from a peer.
    pub fn update_instances(
        &mut self,
        ctx: &mut Context<'_>,
        listed: &[ListedInstance],
        from_platform: bool,
    ) {
        self.members.update_instances(ctx, listed, from_platform);
        self.instances = listed
            .iter()
            .map(|listed| (listed.name.clone(), listed.clone()))
            .collect();
        self.router.update_instances(ctx, &self.instances);
        let instances = Arc::new(self.instances.clone());
        ctx.publish(|view| view.instances = instances);
        self.apply_membership_changes(ctx);
    }

    /// Handles a change of the connection state to another node.
    pub fn handle_link_state(&mut self, ctx: &mut Context<'_>, to: &InstanceId, state: LinkState) {
        self.members.handle_link_state(ctx, to, state);
        if !matches!(state, LinkState::Up(_)) {
            let members = &self.members;
            let is_live = |node: &NodeIncarnation| members.is_live(node);
            self.calls
                .link_down(ctx, self.ledger.claims(), &is_live, to);
        }
        self.apply_membership_changes(ctx);
    }

    /// Handles the answer of a node at a seed address from the settings.
    pub fn add_seed_node(&mut self, ctx: &mut Context<'_>, name: &InstanceId, address: SocketAddr) {
        self.members.add_seed_node(ctx, name, address);
    }

    /// Dispatches a message from another node to the controller that handles it.
    pub fn handle_peer_message(
        &mut self,
        ctx: &mut Context<'_>,
        from: &EntryRef,
        leaving: bool,
        payload: &Payload,
    ) {
        if leaving {
            self.members.peer_leaving(ctx, from);
        }
        match payload {
            Payload::CallForward(_) | Payload::CallAnswer(_) => {
                let members = &self.members;
                let is_live = |node: &NodeIncarnation| members.is_live(node);
                self.calls
                    .handle_peer_message(ctx, self.ledger.claims(), &is_live, from, payload);
            }
            Payload::Heartbeat(_)
            | Payload::Leaving(_)
            | Payload::RecordsRequest(_)
            | Payload::Records(_)
            | Payload::RecordsUnavailable(_)
            | Payload::SnapshotRequest(_)
            | Payload::Snapshot(_)
            | Payload::InstancesRequest(_)
            | Payload::Instances(_) => {
                self.members
                    .handle_peer_message(ctx, &mut self.ledger, from, payload);
            }
            _ => self.router.handle_peer_message(ctx, from, payload),
        }
        self.apply_membership_changes(ctx);
    }

    /// Handles an event of a call that may run at most once.
    pub fn handle_call_event(&mut self, ctx: &mut Context<'_>, event: CallEvent) {
        let members = &self.members;
        let is_live = |node: &NodeIncarnation| members.is_live(node);
        self.calls
            .handle(ctx, self.ledger.claims(), &is_live, event);
    }

    /// Handles the result of a read from or an append to the log.
    pub fn handle_log_event(&mut self, ctx: &mut Context<'_>, event: LogEvent) {
        let records = match &event {
            LogEvent::Read {
                stream: Stream::Control,
                answer: ReadResponse::Page(page),
                ..
            } => Some(page.records.clone()),
            _ => None,
        };
        self.ledger.handle(ctx, event);
        if let Some(records) = records {
            self.members
                .handle_log_records(ctx, &mut self.ledger, records);
        }
    }

    /// Begins the graceful shutdown of this node.
    pub fn begin_shutdown(&mut self, ctx: &mut Context<'_>) {
        self.step_drain(ctx, drain::Input::Signal);
    }

    /// Returns true once the shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.drain.phase() != drain::Phase::Running
    }

    /// Runs the timers of all controllers.
    pub fn tick(&mut self, ctx: &mut Context<'_>) {
        self.router.tick(ctx);
        self.ledger.tick(ctx);
        self.members.tick(ctx);
        self.members.tick_log_sync(ctx, &mut self.ledger);
        self.tick_calls(ctx);
        self.step_drain(ctx, drain::Input::Tick);
        self.apply_membership_changes(ctx);
        if ctx.now >= self.next_idle_check {
            self.next_idle_check = ctx.now + WORKSPACE_IDLE_TIMEOUT;
            self.limits.forget_idle(WORKSPACE_IDLE_TIMEOUT, ctx.now);
        }
    }

    /// Returns the next time that [`Controllers::tick`] has to run if no event comes
    /// before.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        [self.router.next_tick(now), self.calls.next_tick()]
            .into_iter()
            .flatten()
            .min()
    }

    fn tick_calls(&mut self, ctx: &mut Context<'_>) {
        let members = &self.members;
        let is_live = |node: &NodeIncarnation| members.is_live(node);
        for event in self.ledger.take_events() {
            self.calls
                .handle_ledger_event(ctx, self.ledger.claims(), &is_live, &event);
        }
        self.calls.tick(ctx, &mut self.ledger, &is_live);
    }

    /// Passes membership changes on to the other controllers.
    fn apply_membership_changes(&mut self, ctx: &mut Context<'_>) {
        let changes = self.members.take_changes();
        if let Some(listed) = changes.listed {
            self.update_instances(ctx, &listed, false);
        }
        for entry in &changes.ended_incarnations {
            self.router.entry_gone(ctx, entry);
        }
        if changes.live_nodes_changed {
            members::publish_entries(ctx, &self.members);
            self.router.set_nodes(ctx, self.members.live_nodes());
        }
    }

    fn step_drain(&mut self, ctx: &mut Context<'_>, input: drain::Input) {
        for output in self.drain.step(input, ctx.now) {
            let phase = match output {
                drain::Output::Unlist => {
                    self.members.leave(ctx);
                    DrainPhase::Unlisted
                }
                drain::Output::RefuseNew => DrainPhase::Finishing,
                drain::Output::EndInflight(count) => {
                    log::warn!("drain timed out; aborting {count} requests in flight");
                    DrainPhase::Ending
                }
                drain::Output::Exit => DrainPhase::Ending,
            };
            ctx.publish(|view| view.phase = view.phase.max(phase));
        }
    }
}

/// Returns the workspace's fraction of the sum of all weights; 0 if it is unknown.
pub fn workspace_share(
    manifest: &flamingolock_core::manifest::Manifest,
    workspace: &WorkspaceId,
) -> f64 {
    let Some(own) = manifest.workspaces.get(workspace) else {
        return 0.0;
    };
    let sum: f64 = manifest
        .workspaces
        .values()
        .map(|workspace| workspace.weight)
        .sum();
    own.weight / sum.max(f64::MIN_POSITIVE)
}
