//! Weighted fair queueing between workspaces, using start-time fair queueing (SFQ).
//!
//! Every backlogged workspace has a start tag in virtual time. The workspace with
//! the smallest tag is served next and its tag advances by the cost of the request
//! divided by the workspace's weight, so backlogged workspaces receive service in
//! proportion to their weights. Within a workspace the request with the highest
//! priority goes first, then the one that has waited longest. Tags belong to
//! workspaces and not to requests, so a later request with a higher priority does not
//! require new tags.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Minimum weight; guards the division of costs.
const MIN_WEIGHT: f64 = 1e-6;

/// Number of workspaces, and of requests of the own workspace, that an estimate examines
/// individually before it extrapolates.
const ESTIMATE_SAMPLE: usize = 64;

/// A request that waits for service.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// The workspace that the cost is charged to.
    pub workspace: WorkspaceId,
    /// Weight of the workspace relative to others.
    pub weight: f64,
    /// Requests with a higher value go first within the workspace.
    pub priority: u8,
    /// Service that the request requires, in tokens.
    pub cost: f64,
    /// Time after which service is useless.
    pub deadline: Millis,
}

/// Service that precedes a request if it is queued now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkAhead {
    /// Sum of costs, in tokens.
    pub cost: f64,
    /// Number of requests; fractional if a workspace is served in part.
    pub requests: f64,
}

/// Result of adding a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The request was added.
    Added,
    /// A request with this identifier is already waiting.
    Duplicate,
}

/// Virtual time, in tokens per unit of weight.
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

/// The requests of one workspace and its tag in virtual time.
#[derive(Clone, Debug)]
struct Flow {
    weight: f64,
    /// Start tag of the next request while backlogged, otherwise the finish tag of
    /// the last request.
    tag: Tag,
    /// Breaks ties between equal tags: sequence number at which the workspace became
    /// backlogged.
    arrival: u64,
    backlog: f64,
    items: BTreeMap<RequestRank, QueuedRequest>,
}

impl Flow {
    fn rank(&self) -> FlowRank {
        (self.tag, self.arrival)
    }
}

/// Requests of all workspaces that wait for one engine.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    virtual_time: Tag,
    sequence: u64,
    flows: BTreeMap<WorkspaceId, Flow>,
    /// Backlogged workspaces in order of service.
    active: BTreeMap<FlowRank, WorkspaceId>,
    /// Workspaces without backlog whose tag is still ahead of virtual time. Others are
    /// dropped and start again at the current virtual time.
    idle: BTreeSet<(Tag, WorkspaceId)>,
    positions: BTreeMap<RequestId, (WorkspaceId, RequestRank)>,
    deadlines: BTreeSet<(Millis, RequestId)>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// True if no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of workspaces with waiting requests.
    pub fn backlogged(&self) -> usize {
        self.active.len()
    }

    /// True if the request waits.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.positions.contains_key(request)
    }

    /// Returns the waiting request with this identifier.
    pub fn get(&self, request: &RequestId) -> Option<&QueuedRequest> {
        let (workspace, rank) = self.positions.get(request)?;
        self.flows.get(workspace)?.items.get(rank)
    }

    /// Adds a request and sets the weight of its workspace to that of the request.
    pub fn push(&mut self, item: QueuedRequest) -> PushOutcome {
        if self.contains(&item.request) {
            return PushOutcome::Duplicate;
        }
        self.sequence += 1;
        let rank = (Reverse(item.priority), self.sequence);
        self.positions
            .insert(item.request.clone(), (item.workspace.clone(), rank));
        self.deadlines.insert((item.deadline, item.request.clone()));
        self.enqueue(rank, item);
        PushOutcome::Added
    }

    /// Removes the next request in order of service and charges its cost.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.pop_charging(|item| item.cost)
    }

    /// Removes the next request in order of service and charges the cost that `cost`
    /// returns, which may have decreased while the request waited.
    pub fn pop_charging(
        &mut self,
        cost: impl FnOnce(&QueuedRequest) -> f64,
    ) -> Option<QueuedRequest> {
        let ((tag, _), workspace) = self.active.pop_first()?;
        self.virtual_time = tag;
        let flow = self.flows.get_mut(&workspace)?;
        let (_, item) = flow.items.pop_first()?;
        flow.backlog -= item.cost;
        flow.tag = Tag(tag.0 + cost(&item).max(0.0) / flow.weight);
        self.reindex(workspace);
        self.unindex(&item);
        self.drop_idle();
        Some(item)
    }

    /// Returns the request that [`FairQueue::pop`] would remove.
    pub fn peek(&self) -> Option<&QueuedRequest> {
        let (_, workspace) = self.active.first_key_value()?;
        self.flows.get(workspace)?.items.values().next()
    }

    /// Removes a request that no longer needs service. Its cost is not charged.
    pub fn cancel(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let (workspace, rank) = self.positions.get(request)?.clone();
        let flow = self.flows.get_mut(&workspace)?;
        let flow_rank = flow.rank();
        let item = flow.items.remove(&rank)?;
        flow.backlog -= item.cost;
        if flow.items.is_empty() {
            self.active.remove(&flow_rank);
            self.reindex(workspace);
        }
        self.unindex(&item);
        self.drop_idle();
        Some(item)
    }

    /// Removes and returns the requests whose deadline is not after `now`, earliest
    /// first.
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

    /// Removes and returns all requests in order of service.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// Ends the busy period: discards the record of service received so far. Does
    /// nothing while requests wait.
    pub fn end_busy_period(&mut self) {
        if !self.active.is_empty() {
            return;
        }
        self.flows.clear();
        self.idle.clear();
        self.virtual_time = Tag::default();
    }

    /// Estimates the service that precedes a new request of the workspace.
    pub fn work_ahead(&self, workspace: &WorkspaceId, weight: f64, priority: u8) -> WorkAhead {
        let own = self.own_ahead(workspace, priority);
        let weight = weight.max(MIN_WEIGHT);
        let start = self
            .flows
            .get(workspace)
            .map_or(self.virtual_time, |flow| flow.tag.max(self.virtual_time));
        let start_tag = Tag(start.0 + own.cost / weight);
        let others = self.others_ahead(workspace, start_tag);
        WorkAhead {
            cost: own.cost + others.cost,
            requests: own.requests + others.requests,
        }
    }

    /// Requests of the same workspace that precede a new one of this priority.
    fn own_ahead(&self, workspace: &WorkspaceId, priority: u8) -> WorkAhead {
        let Some(flow) = self.flows.get(workspace) else {
            return WorkAhead::default();
        };
        let total = flow.items.len();
        let last = (Reverse(priority), u64::MAX);
        let examined = flow.items.range(..=last).take(ESTIMATE_SAMPLE);
        let mut ahead = WorkAhead::default();
        for item in examined.map(|(_, item)| item) {
            ahead.cost += item.cost;
            ahead.requests += 1.0;
        }
        if ahead.requests < ESTIMATE_SAMPLE as f64 {
            return ahead;
        }
        // In a long backlog nearly all requests are alike, so it is counted as a whole.
        WorkAhead {
            cost: flow.backlog,
            requests: total as f64,
        }
    }

    /// Requests of other workspaces that are served before `start_tag`.
    fn others_ahead(&self, workspace: &WorkspaceId, start_tag: Tag) -> WorkAhead {
        let mut ahead = WorkAhead::default();
        let mut examined = 0;
        for ((tag, _), other) in &self.active {
            if *tag > start_tag || examined == ESTIMATE_SAMPLE {
                break;
            }
            examined += 1;
            if other == workspace {
                continue;
            }
            let Some(flow) = self.flows.get(other) else {
                continue;
            };
            let head = flow.items.values().next().map_or(0.0, |item| item.cost);
            // Requests that begin by the start tag are served, so the last of them may
            // end after it.
            let served = ((start_tag.0 - tag.0) * flow.weight + head).min(flow.backlog);
            ahead.cost += served;
            ahead.requests += flow.items.len() as f64 * ratio(served, flow.backlog);
        }
        if examined < ESTIMATE_SAMPLE {
            return ahead;
        }
        let scale = self.active.len() as f64 / examined as f64;
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
            self.active.insert(flow.rank(), item.workspace.clone());
        }
        flow.backlog += item.cost;
        flow.items.insert(rank, item);
    }

    /// Adds a workspace that is in neither index to the active or the idle ones.
    fn reindex(&mut self, workspace: WorkspaceId) {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        if flow.items.is_empty() {
            flow.backlog = 0.0;
            self.idle.insert((flow.tag, workspace));
        } else {
            self.active.insert(flow.rank(), workspace);
        }
    }

    fn unindex(&mut self, item: &QueuedRequest) {
        self.positions.remove(&item.request);
        self.deadlines
            .remove(&(item.deadline, item.request.clone()));
    }

    /// Drops idle workspaces whose tag is no longer ahead of virtual time.
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

/// Ratio of `part` to `whole`; one if `whole` is zero.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}
