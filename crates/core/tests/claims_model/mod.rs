//! Model of a small fleet of call coordinators with a log, a service and a network.
//! The test chooses every step, and an oracle counts the actual executions.

mod log;
mod net;
mod oracle;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use flamingolock_core::append::{AppendInput, AppendSettings, Appender, BatchId};
use flamingolock_core::call_coordinator::CallCoordinator;
use flamingolock_core::call_key::{CallKey, KeyKind};
use flamingolock_core::call_message::{
    CallContext, CallInput, CallOutput, CallSettings, Submission, SubmissionId,
};
use flamingolock_core::call_outcome::{CallAnswer, Outcome};
use flamingolock_core::claim_fold::{ClaimFold, ClaimRules};
use flamingolock_core::prelude::*;
use flamingolock_core::record::{
    CallId, ClaimBatch, Closing, LogEntry, NodeIncarnation, Record, RecordId,
};

pub const NODES: usize = 3;
pub const RULES: ClaimRules = ClaimRules {
    window: Millis(1000),
    skew: Millis(100),
};
/// The log retains records for longer than the horizon of the rules (2400 ms).
const RETENTION: u64 = 2500;
/// Log time may step back by up to this many milliseconds.
const LOG_JITTER: u64 = 60;

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFate {
    Taken,
    Refused,
    /// The append takes effect, and the response is lost.
    LostAnswer,
    /// The append never takes effect, and there is no response.
    LostRequest,
    /// The append takes effect much later, and the response is lost.
    Late,
}

/// Result of sending a request to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireFate {
    Arrives,
    /// The connection breaks before the request arrives.
    Dropped,
    /// The connection breaks, and the request still arrives later.
    Delayed,
}

/// One step of the model. List positions are taken modulo the length of the list.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    NewKey {
        kind: u8,
        owner: usize,
    },
    Submit {
        node: usize,
        key: usize,
        body: u8,
        lookup: bool,
        timeout: u64,
    },
    Append {
        node: usize,
        fate: AppendFate,
    },
    DelayedAppend {
        at: usize,
    },
    Tail {
        node: usize,
        count: usize,
    },
    Check {
        node: usize,
        refuse: bool,
    },
    Transmit {
        node: usize,
    },
    Wire {
        at: usize,
        fate: WireFate,
    },
    Reply {
        at: usize,
        lost: bool,
    },
    StaleFailure {
        at: usize,
    },
    LookUp {
        node: usize,
        lost: bool,
    },
    Forward {
        at: usize,
        lost: bool,
        twice: bool,
    },
    ForwardReply {
        at: usize,
        lost: bool,
    },
    Suspect {
        node: usize,
        other: usize,
        view: u8,
    },
    Crash {
        node: usize,
    },
    ClockJump {
        node: usize,
        delta: i64,
    },
    Advance {
        millis: u64,
    },
    Trim,
    Settle,
}

/// How one node sees the liveness of another.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LivenessView {
    True,
    Suspected,
    /// Every incarnation of the node is believed to be live.
    Stale,
}

#[derive(Clone)]
struct SendOrder {
    call: CallId,
    digest: String,
    attempt: u32,
    send_by: Millis,
}

struct Node {
    identity: NodeIncarnation,
    drift: i64,
    coordinator: CallCoordinator,
    fold: ClaimFold,
    appender: Appender,
    batches: VecDeque<(BatchId, Vec<(RecordId, Record)>)>,
    claims: BTreeMap<RecordId, CallId>,
    outbox: VecDeque<SendOrder>,
    checked: VecDeque<SendOrder>,
    lookups: VecDeque<(CallId, String)>,
}

struct Request {
    from: NodeIncarnation,
    order: SendOrder,
    /// The failure of the connection was reported to the sender.
    abandoned: bool,
}

struct ForwardedCall {
    from: NodeIncarnation,
    submission_id: SubmissionId,
    to: NodeIncarnation,
    submission: Submission,
}

struct CallerSubmission {
    key: usize,
    digest: String,
    answers: u32,
    /// Another node forwarded it.
    forwarded: bool,
    /// The caller was told that this submission ran nothing.
    unsent: bool,
}

/// Counts of events by name, so that a test can require that a search reached them.
#[derive(Clone, Debug, Default)]
pub struct Counts(pub BTreeMap<String, u64>);

impl Counts {
    pub fn add(&mut self, what: impl Into<String>) {
        *self.0.entry(what.into()).or_default() += 1;
    }
}

/// The fleet, its environment and the oracle.
pub struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    liveness_views: [[LivenessView; NODES]; NODES],
    log: Vec<LogEntry>,
    log_start: usize,
    delayed_appends: Vec<(RecordId, Record)>,
    wire: Vec<Request>,
    replies: Vec<(NodeIncarnation, CallId, u32, Arc<CallAnswer>)>,
    failures: Vec<(NodeIncarnation, CallId, u32)>,
    forwards: Vec<ForwardedCall>,
    forward_replies: Vec<(NodeIncarnation, SubmissionId, Outcome)>,
    forward_origins: BTreeMap<SubmissionId, (NodeIncarnation, SubmissionId)>,
    keys: Vec<CallKey>,
    submissions: BTreeMap<SubmissionId, CallerSubmission>,
    submitted_to: BTreeMap<SubmissionId, NodeIncarnation>,
    executed: BTreeMap<CallId, (String, Arc<CallAnswer>)>,
    not_run: BTreeSet<CallId>,
    next_name: u64,
    pub counts: Counts,
}

fn settings() -> AppendSettings {
    AppendSettings {
        batch_records: 4,
        linger: Millis(0),
        rate: 1000.0,
        burst: 100.0,
        inflight: 2,
        absence_delay: Millis(30),
    }
}

fn call_of(key: usize) -> CallId {
    CallId(format!("call{key}"))
}

impl Fleet {
    pub fn new() -> Self {
        let mut fleet = Self {
            now: 1_000_000,
            nodes: Vec::new(),
            liveness_views: [[LivenessView::True; NODES]; NODES],
            log: Vec::new(),
            log_start: 0,
            delayed_appends: Vec::new(),
            wire: Vec::new(),
            replies: Vec::new(),
            failures: Vec::new(),
            forwards: Vec::new(),
            forward_replies: Vec::new(),
            forward_origins: BTreeMap::new(),
            keys: Vec::new(),
            submissions: BTreeMap::new(),
            submitted_to: BTreeMap::new(),
            executed: BTreeMap::new(),
            not_run: BTreeSet::new(),
            next_name: 0,
            counts: Counts::default(),
        };
        for n in 0..NODES {
            let node = fleet.start(n, 1, [-40, 0, 40][n]);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start(&self, n: usize, incarnation: u64, drift: i64) -> Node {
        let identity = NodeIncarnation {
            instance: InstanceId::from(format!("node{n}")),
            incarnation: Incarnation(incarnation),
        };
        let call_settings = CallSettings {
            max_calls: 30,
            max_active: 3,
            answer_bytes: 800,
            max_attempts: 3,
            retry_after: Millis(10),
        };
        let oldest = self.log.get(self.log_start).map(|entry| entry.time);
        // One node uses only the time of the oldest record, and so is not settled for
        // a while.
        let since = match oldest {
            Some(oldest) if n == 0 => oldest,
            _ => Millis(self.now - RETENTION),
        };
        Node {
            drift,
            coordinator: CallCoordinator::new(identity.clone(), RULES, call_settings),
            fold: ClaimFold::starting_at(RULES, Offset(self.log_start as u64), since),
            appender: Appender::new(settings(), Millis(0)),
            batches: VecDeque::new(),
            claims: BTreeMap::new(),
            outbox: VecDeque::new(),
            checked: VecDeque::new(),
            lookups: VecDeque::new(),
            identity,
        }
    }

    fn clock(&self, n: usize) -> Millis {
        Millis(self.now.saturating_add_signed(self.nodes[n].drift))
    }

    fn name(&mut self) -> u64 {
        self.next_name += 1;
        self.next_name
    }

    /// The node that runs exactly this incarnation.
    fn running(&self, identity: &NodeIncarnation) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.identity == *identity)
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::NewKey { kind, owner } => self.new_key(kind, owner),
            Step::Submit {
                node,
                key,
                body,
                lookup,
                timeout,
            } => {
                self.submit(node, key, body, lookup, timeout);
            }
            Step::Append { node, fate } => self.append(node, fate),
            Step::DelayedAppend { at } => {
                if let Some((id, record)) = take(&mut self.delayed_appends, at) {
                    self.write(id, record);
                }
            }
            Step::Tail { node, count } => self.tail(node, count),
            Step::Check { node, refuse } => self.check(node, refuse),
            Step::Transmit { node } => self.transmit(node),
            Step::Wire { at, fate } => self.deliver(at, fate),
            Step::Reply { at, lost } => self.reply(at, lost),
            Step::StaleFailure { at } => self.stale_failure(at),
            Step::LookUp { node, lost } => self.look_up(node, lost),
            Step::Forward { at, lost, twice } => self.forward(at, lost, twice),
            Step::ForwardReply { at, lost } => self.forward_reply(at, lost),
            Step::Suspect { node, other, view } => {
                let liveness_view = [
                    LivenessView::True,
                    LivenessView::Suspected,
                    LivenessView::Stale,
                ][usize::from(view % 3)];
                self.liveness_views[node][other] = liveness_view;
            }
            Step::Crash { node } => self.crash(node),
            Step::ClockJump { node, delta } => {
                self.nodes[node].drift = delta;
                self.feed(node, CallInput::Tick);
            }
            Step::Advance { millis } => self.advance(millis),
            Step::Trim => self.trim(),
            Step::Settle => self.settle(),
        }
    }

    fn new_key(&mut self, kind: u8, owner: usize) {
        let owner_incarnation = self.nodes[owner].identity.clone();
        let made_at = self.clock(owner);
        let kind = match kind % 3 {
            0 => KeyKind::Entry {
                owner: owner_incarnation,
            },
            1 => KeyKind::Journalled {
                owner: owner_incarnation,
            },
            _ => KeyKind::Plain,
        };
        let id = call_of(self.keys.len());
        self.keys.push(CallKey { id, kind, made_at });
    }

    fn submit(&mut self, node: usize, key: usize, body: u8, lookup: bool, timeout: u64) {
        if self.keys.is_empty() {
            self.new_key(body, node);
        }
        // Recent keys are the ones that are still in use.
        let key = self.keys.len() - 1 - key % self.keys.len().min(4);
        let submission = Submission {
            id: SubmissionId(self.name()),
            key: self.keys[key].clone(),
            digest: format!("body{body}"),
            deadline: self.clock(node) + Millis(timeout),
            lookup,
            forwarded: false,
        };
        self.accept_submission(node, key, submission);
    }

    fn accept_submission(&mut self, node: usize, key: usize, submission: Submission) {
        let record = CallerSubmission {
            key,
            digest: submission.digest.clone(),
            answers: 0,
            forwarded: submission.forwarded,
            unsent: false,
        };
        self.submissions.insert(submission.id, record);
        self.submitted_to
            .insert(submission.id, self.nodes[node].identity.clone());
        self.feed(node, CallInput::Submit(Box::new(submission)));
    }

    /// Passes an input to a call coordinator and executes its outputs.
    fn feed(&mut self, n: usize, input: CallInput) {
        let now = self.clock(n);
        let identities: Vec<NodeIncarnation> =
            self.nodes.iter().map(|x| x.identity.clone()).collect();
        let liveness_views = self.liveness_views[n];
        let is_live = |identity: &NodeIncarnation| {
            let same = |x: &NodeIncarnation| x.instance == identity.instance;
            let Some(other) = identities.iter().position(same) else {
                return false;
            };
            match liveness_views[other] {
                LivenessView::True => identities[other] == *identity,
                LivenessView::Suspected => false,
                LivenessView::Stale => true,
            }
        };
        let node = &mut self.nodes[n];
        let context = CallContext {
            fold: &node.fold,
            is_live: &is_live,
        };
        for output in node.coordinator.step(now, input, &context) {
            self.carry_out(n, output);
        }
    }

    fn carry_out(&mut self, n: usize, output: CallOutput) {
        match output {
            CallOutput::Claim(claim) => {
                let call = claim.call.clone();
                let owner = self.nodes[n].identity.clone();
                let claims = vec![claim];
                let id = self.submit_record(n, Record::Claims(ClaimBatch { owner, claims }));
                self.nodes[n].claims.insert(id, call);
            }
            CallOutput::Close(node) => {
                let by = self.nodes[n].identity.clone();
                self.submit_record(n, Record::Closing(Closing { node, by }));
            }
            CallOutput::Send {
                call,
                digest,
                attempt,
                send_by,
                ..
            } => {
                let order = SendOrder {
                    call,
                    digest,
                    attempt,
                    send_by,
                };
                self.nodes[n].outbox.push_back(order);
            }
            CallOutput::Forward { submission_id, to } => {
                let key = self.submissions[&submission_id].key;
                let submission = Submission {
                    id: submission_id,
                    key: self.keys[key].clone(),
                    digest: self.submissions[&submission_id].digest.clone(),
                    deadline: Millis(0),
                    lookup: false,
                    forwarded: true,
                };
                let from = self.nodes[n].identity.clone();
                self.forwards.push(ForwardedCall {
                    from,
                    submission_id,
                    to,
                    submission,
                });
            }
            CallOutput::Lookup { call, digest, .. } => {
                self.nodes[n].lookups.push_back((call, digest));
            }
            CallOutput::Answer {
                submission_id,
                outcome,
            } => self.check_outcome(submission_id, outcome),
        }
    }

    fn crash(&mut self, n: usize) {
        let old = &self.nodes[n];
        let incarnation = old.identity.incarnation.0 + 1;
        self.nodes[n] = self.start(n, incarnation, old.drift);
        self.counts.add("crashed");
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
    }

    /// Completes everything that is in progress without faults.
    fn settle(&mut self) {
        for _ in 0..3 {
            for n in 0..NODES {
                self.feed(n, CallInput::Tick);
                self.append(n, AppendFate::Taken);
                self.tail(n, usize::MAX);
                while !self.nodes[n].outbox.is_empty() {
                    self.check(n, false);
                }
                while !self.nodes[n].checked.is_empty() {
                    self.transmit(n);
                }
                while !self.nodes[n].lookups.is_empty() {
                    self.look_up(n, false);
                }
            }
            while !self.wire.is_empty() {
                self.deliver(0, WireFate::Arrives);
            }
            while !self.replies.is_empty() {
                self.reply(0, false);
            }
            self.forward(0, false, false);
            self.forward_reply(0, false);
        }
    }

    /// Checks that every submission ends with an outcome and that state is released.
    pub fn finish(&mut self) {
        self.advance(100_000);
        for n in 0..NODES {
            self.nodes[n].drift = 0;
            self.feed(n, CallInput::Tick);
            self.feed_appender(n, AppendInput::Tick);
        }
        for (submission_id, submission) in &self.submissions {
            let home = &self.submitted_to[submission_id];
            let runs = self.nodes.iter().any(|node| node.identity == *home);
            assert!(
                submission.answers == 1 || !runs,
                "{submission_id:?} is never answered"
            );
        }
        self.check_unsent();
        // Late messages must not change anything any more.
        while !self.forwards.is_empty() || !self.forward_replies.is_empty() {
            self.settle();
        }
        self.settle();
        self.advance(100_000);
        let by = self.nodes[0].identity.clone();
        let node = by.clone();
        self.write(
            RecordId::from("last"),
            Record::Closing(Closing { node, by }),
        );
        self.settle();
        self.advance(1000);
        for n in 0..NODES {
            self.feed(n, CallInput::Tick);
            assert!(
                self.nodes[n].coordinator.calls().is_empty(),
                "calls are forgotten"
            );
            assert_eq!(self.nodes[n].appender.pending(), 0);
            assert!(self.nodes[n].fold.len() <= 1, "claims are forgotten");
        }
        self.check_unsent();
    }
}

/// Removes one item from a list, at a position modulo its length.
fn take<T>(items: &mut Vec<T>, at: usize) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    let at = at % items.len();
    Some(items.remove(at))
}
