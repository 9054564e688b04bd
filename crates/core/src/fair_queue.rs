//! Weighted fair queueing over workspaces by start-time fair queueing.
//!
//! Every backlogged workspace has a start tag in virtual time. The workspace with
//! the smallest tag is served next and its tag advances by the cost of the request
//! divided by the workspace's weight, so backlogged workspaces receive service in
//! proportion to their weights. Within a workspace the request with the highest
//! priority goes first, then the one that waited longest. Tags belong to the
//! workspace and not to the request, so a late urgent request needs no new tags.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Smallest weight; guards the division of costs.
const MIN_WEIGHT: f64 = 1e-6;

/// Workspaces that an estimate looks at one by one before it extrapolates.
const ESTIMATE_FLOWS: usize = 64;

/// A request that waits for service.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// The workspace that the cost is accounted to.
    pub workspace: WorkspaceId,
    /// Share of the workspace relative to others.
    pub weight: f64,
    /// Larger goes first within the workspace.
    pub priority: u8,
    /// Service that the request takes, in tokens.
    pub cost: f64,
    /// Point in time after which service is useless.
    pub deadline: Millis,
}

/// Service that would precede a request if it were queued now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkAhead {
    /// Sum of costs, in tokens.
    pub cost: f64,
    /// Number of requests, fractional where a workspace is served in part.
    pub requests: f64,
}

/// Whether a request was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The request waits now.
    Added,
    /// A request with this identifier waits already.
    Duplicate,
}

/// A point in virtual time, in tokens per unit of weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tag(f64);

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Order of service within a workspace.
type RequestRank = (Reverse<u8>, u64);

/// Order of service between workspaces: tag, then arrival.
type FlowRank = (Tag, u64);

/// The requests of one workspace and its place in virtual time.
#[derive(Clone, Debug)]
struct Flow {
    weight: f64,
    /// Start tag of the next request while backlogged, else the finish tag of
    /// the last one.
    tag: Tag,
    /// Breaks ties between equal tags by the time of becoming backlogged.
    arrival: u64,
    backlog: f64,
    items: BTreeMap<RequestRank, QueuedRequest>,
}

impl Flow {
    fn turn(&self) -> FlowRank {
        (self.tag, self.arrival)
    }
}

/// Requests of all workspaces that wait for one engine.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    virtual_time: Tag,
    sequence: u64,
    flows: BTreeMap<WorkspaceId, Flow>,
    /// Backlogged workspaces by their turn.
    turns: BTreeMap<FlowRank, WorkspaceId>,
    /// Workspaces without backlog whose tag is still ahead of virtual time. The
    /// others are forgotten and start from virtual time again.
    idle: BTreeSet<(Tag, WorkspaceId)>,
    places: BTreeMap<RequestId, (WorkspaceId, RequestRank)>,
    deadlines: BTreeSet<(Millis, RequestId)>,
}

impl FairQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of workspaces with waiting requests.
    pub fn backlogged(&self) -> usize {
        self.turns.len()
    }

    /// True when the request waits.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.places.contains_key(request)
    }

    /// The waiting request with this identifier.
    pub fn get(&self, request: &RequestId) -> Option<&QueuedRequest> {
        let (workspace, rank) = self.places.get(request)?;
        self.flows.get(workspace)?.items.get(rank)
    }

    /// Adds a request; the weight that it carries becomes that of its workspace.
    pub fn push(&mut self, item: QueuedRequest) -> PushOutcome {
        if self.contains(&item.request) {
            return PushOutcome::Duplicate;
        }
        self.sequence += 1;
        let rank = (Reverse(item.priority), self.sequence);
        self.places
            .insert(item.request.clone(), (item.workspace.clone(), rank));
        self.deadlines.insert((item.deadline, item.request.clone()));
        self.enqueue(rank, item);
        PushOutcome::Added
    }

    /// Takes the request whose turn it is and charges its cost.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.pop_charging(|item| item.cost)
    }

    /// Takes the request whose turn it is and charges what `cost` returns, which may
    /// have become less than expected while it waited.
    pub fn pop_charging(
        &mut self,
        cost: impl FnOnce(&QueuedRequest) -> f64,
    ) -> Option<QueuedRequest> {
        let ((tag, _), workspace) = self.turns.pop_first()?;
        self.virtual_time = tag;
        let flow = self.flows.get_mut(&workspace)?;
        let (_, item) = flow.items.pop_first()?;
        flow.backlog -= item.cost;
        flow.tag = Tag(tag.0 + cost(&item).max(0.0) / flow.weight);
        self.settle(workspace);
        self.forget(&item);
        self.drop_idle();
        Some(item)
    }

    /// The request that [`FairQueue::pop`] would take.
    pub fn peek(&self) -> Option<&QueuedRequest> {
        let (_, workspace) = self.turns.first_key_value()?;
        self.flows.get(workspace)?.items.values().next()
    }

    /// Removes a request that no longer wants service. Its cost is not charged.
    pub fn cancel(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let (workspace, rank) = self.places.get(request)?.clone();
        let flow = self.flows.get_mut(&workspace)?;
        let turn = flow.turn();
        let item = flow.items.remove(&rank)?;
        flow.backlog -= item.cost;
        if flow.items.is_empty() {
            self.turns.remove(&turn);
            self.settle(workspace);
        }
        self.forget(&item);
        self.drop_idle();
        Some(item)
    }

    /// Removes the requests whose deadline is not after `now`, earliest first.
    pub fn expire(&mut self, now: Millis) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            expired.extend(self.cancel(&request));
        }
        expired
    }

    /// The earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes all requests, in order of service.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// Ends the busy period: forgets all service that was received so far. Does
    /// nothing while requests wait.
    pub fn end_busy_period(&mut self) {
        if !self.turns.is_empty() {
            return;
        }
        self.flows.clear();
        self.idle.clear();
        self.virtual_time = Tag::default();
    }

    /// Estimates the service that a new request of the workspace would wait for.
    pub fn work_ahead(&self, workspace: &WorkspaceId, weight: f64, priority: u8) -> WorkAhead {
        let own = self.own_ahead(workspace, priority);
        let weight = weight.max(MIN_WEIGHT);
        let start = self
            .flows
            .get(workspace)
            .map_or(self.virtual_time, |flow| flow.tag.max(self.virtual_time));
        let turn = Tag(start.0 + own.cost / weight);
        let others = self.others_ahead(workspace, turn);
        WorkAhead {
            cost: own.cost + others.cost,
            requests: own.requests + others.requests,
        }
    }

    /// Requests of the same workspace that go before a new one of this priority.
    fn own_ahead(&self, workspace: &WorkspaceId, priority: u8) -> WorkAhead {
        let Some(flow) = self.flows.get(workspace) else {
            return WorkAhead::default();
        };
        let total = flow.items.len();
        let last = (Reverse(priority), u64::MAX);
        let looked_at = flow.items.range(..=last).take(ESTIMATE_FLOWS);
        let mut ahead = WorkAhead::default();
        for item in looked_at.map(|(_, item)| item) {
            ahead.cost += item.cost;
            ahead.requests += 1.0;
        }
        if ahead.requests < ESTIMATE_FLOWS as f64 {
            return ahead;
        }
        // Long backlogs are nearly all of one kind: count them whole.
        WorkAhead {
            cost: flow.backlog,
            requests: total as f64,
        }
    }

    /// Requests of other workspaces whose tags come before `turn`.
    fn others_ahead(&self, workspace: &WorkspaceId, turn: Tag) -> WorkAhead {
        let mut ahead = WorkAhead::default();
        let mut looked_at = 0;
        for ((tag, _), other) in &self.turns {
            if *tag > turn || looked_at == ESTIMATE_FLOWS {
                break;
            }
            looked_at += 1;
            if other == workspace {
                continue;
            }
            let Some(flow) = self.flows.get(other) else {
                continue;
            };
            let head = flow.items.values().next().map_or(0.0, |item| item.cost);
            // Service begins up to the turn, so the last request may pass it.
            let served = ((turn.0 - tag.0) * flow.weight + head).min(flow.backlog);
            ahead.cost += served;
            ahead.requests += flow.items.len() as f64 * share(served, flow.backlog);
        }
        if looked_at < ESTIMATE_FLOWS {
            return ahead;
        }
        let scale = self.turns.len() as f64 / looked_at as f64;
        WorkAhead {
            cost: ahead.cost * scale,
            requests: ahead.requests * scale,
        }
    }

    fn enqueue(&mut self, rank: RequestRank, item: QueuedRequest) {
        let virtual_time = self.virtual_time;
        let arrival = self.sequence;
        let flow = self
            .flows
            .entry(item.workspace.clone())
            .or_insert_with(|| Flow {
                weight: MIN_WEIGHT,
                tag: virtual_time,
                arrival,
                backlog: 0.0,
                items: BTreeMap::new(),
            });
        flow.weight = item.weight.max(MIN_WEIGHT);
        if flow.items.is_empty() {
            self.idle.remove(&(flow.tag, item.workspace.clone()));
            flow.arrival = arrival;
            self.turns.insert(flow.turn(), item.workspace.clone());
        }
        flow.backlog += item.cost;
        flow.items.insert(rank, item);
    }

    /// Files a workspace that is in no index under its turn or as idle.
    fn settle(&mut self, workspace: WorkspaceId) {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        if flow.items.is_empty() {
            flow.backlog = 0.0;
            self.idle.insert((flow.tag, workspace));
        } else {
            self.turns.insert(flow.turn(), workspace);
        }
    }

    fn forget(&mut self, item: &QueuedRequest) {
        self.places.remove(&item.request);
        self.deadlines
            .remove(&(item.deadline, item.request.clone()));
    }

    /// Drops idle workspaces that virtual time has caught up with.
    fn drop_idle(&mut self) {
        while let Some((tag, _)) = self.idle.first() {
            if *tag > self.virtual_time {
                break;
            }
            if let Some((_, workspace)) = self.idle.pop_first() {
                self.flows.remove(&workspace);
            }
        }
    }
}

/// Part of the whole, one for an empty whole.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}
