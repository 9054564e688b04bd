//! A small fleet of desks with a log, a service and a network whose every step
//! is chosen from outside, and an oracle that counts true executions.

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
/// The log keeps records for longer than the horizon of the rules (2400 ms).
const RETENTION: u64 = 2500;
/// Log time may step back by up to this.
const LOG_JITTER: u64 = 60;

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFate {
    Taken,
    Refused,
    /// It takes effect, and its answer is lost.
    LostAnswer,
    /// It never takes effect, and nobody is told.
    LostRequest,
    /// It takes effect much later, and its answer is lost.
    Late,
}

/// What becomes of a message to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireFate {
    Arrives,
    /// The connection breaks before the request arrives.
    Dropped,
    /// The connection breaks, and the request arrives all the same, later.
    Straggles,
}

/// One step of the fleet. Positions count modulo what is there.
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
        patience: u64,
    },
    Append {
        node: usize,
        fate: AppendFate,
    },
    Straggler {
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

/// How one node sees another.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sight {
    True,
    Suspected,
    /// Every incarnation seems to live.
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
    life: NodeIncarnation,
    drift: i64,
    desk: CallCoordinator,
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
    /// The sender was told that the connection broke.
    abandoned: bool,
}

struct Passed {
    from: NodeIncarnation,
    submission_id: SubmissionId,
    to: NodeIncarnation,
    submit: Submission,
}

struct Attempt {
    key: usize,
    digest: String,
    answers: u32,
    /// Another node passed it on.
    passed: bool,
    /// The caller was told that this attempt ran nothing.
    unsent: bool,
}

/// How often the run saw what, so that a test can demand it of a whole run.
#[derive(Clone, Debug, Default)]
pub struct Counts(pub BTreeMap<String, u64>);

impl Counts {
    pub fn add(&mut self, what: impl Into<String>) {
        *self.0.entry(what.into()).or_default() += 1;
    }
}

/// The whole fleet and the oracle.
pub struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    sights: [[Sight; NODES]; NODES],
    log: Vec<LogEntry>,
    log_start: usize,
    stragglers: Vec<(RecordId, Record)>,
    wire: Vec<Request>,
    replies: Vec<(NodeIncarnation, CallId, u32, Arc<CallAnswer>)>,
    failures: Vec<(NodeIncarnation, CallId, u32)>,
    forwards: Vec<Passed>,
    forward_replies: Vec<(NodeIncarnation, SubmissionId, Outcome)>,
    relays: BTreeMap<SubmissionId, (NodeIncarnation, SubmissionId)>,
    keys: Vec<CallKey>,
    attempts: BTreeMap<SubmissionId, Attempt>,
    homes: BTreeMap<SubmissionId, NodeIncarnation>,
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
            sights: [[Sight::True; NODES]; NODES],
            log: Vec::new(),
            log_start: 0,
            stragglers: Vec::new(),
            wire: Vec::new(),
            replies: Vec::new(),
            failures: Vec::new(),
            forwards: Vec::new(),
            forward_replies: Vec::new(),
            relays: BTreeMap::new(),
            keys: Vec::new(),
            attempts: BTreeMap::new(),
            homes: BTreeMap::new(),
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
        let life = NodeIncarnation {
            instance: InstanceId::from(format!("node{n}")),
            incarnation: Incarnation(incarnation),
        };
        let settings_of_desk = CallSettings {
            max_calls: 30,
            max_active: 3,
            answer_bytes: 800,
            max_attempts: 3,
            retry_after: Millis(10),
        };
        let oldest = self.log.get(self.log_start).map(|entry| entry.time);
        // One node goes by the records alone, and so is not settled for a while.
        let since = match oldest {
            Some(oldest) if n == 0 => oldest,
            _ => Millis(self.now - RETENTION),
        };
        Node {
            drift,
            desk: CallCoordinator::new(life.clone(), RULES, settings_of_desk),
            fold: ClaimFold::starting_at(RULES, Offset(self.log_start as u64), since),
            appender: Appender::new(settings(), Millis(0)),
            batches: VecDeque::new(),
            claims: BTreeMap::new(),
            outbox: VecDeque::new(),
            checked: VecDeque::new(),
            lookups: VecDeque::new(),
            life,
        }
    }

    fn clock(&self, n: usize) -> Millis {
        Millis(self.now.saturating_add_signed(self.nodes[n].drift))
    }

    fn name(&mut self) -> u64 {
        self.next_name += 1;
        self.next_name
    }

    /// The node that runs this very incarnation.
    fn running(&self, life: &NodeIncarnation) -> Option<usize> {
        self.nodes.iter().position(|node| node.life == *life)
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::NewKey { kind, owner } => self.new_key(kind, owner),
            Step::Submit {
                node,
                key,
                body,
                lookup,
                patience,
            } => {
                self.submit(node, key, body, lookup, patience);
            }
            Step::Append { node, fate } => self.append(node, fate),
            Step::Straggler { at } => {
                if let Some((id, record)) = take(&mut self.stragglers, at) {
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
                let sight = [Sight::True, Sight::Suspected, Sight::Stale][usize::from(view % 3)];
                self.sights[node][other] = sight;
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
        let owner_life = self.nodes[owner].life.clone();
        let made_at = self.clock(owner);
        let kind = match kind % 3 {
            0 => KeyKind::Entry { owner: owner_life },
            1 => KeyKind::Journalled { owner: owner_life },
            _ => KeyKind::Plain,
        };
        let id = call_of(self.keys.len());
        self.keys.push(CallKey { id, kind, made_at });
    }

    fn submit(&mut self, node: usize, key: usize, body: u8, lookup: bool, patience: u64) {
        if self.keys.is_empty() {
            self.new_key(body, node);
        }
        // Recent keys are the ones that are still in use.
        let key = self.keys.len() - 1 - key % self.keys.len().min(4);
        let submit = Submission {
            submission_id: SubmissionId(self.name()),
            key: self.keys[key].clone(),
            digest: format!("body{body}"),
            deadline: self.clock(node) + Millis(patience),
            lookup,
            forwarded: false,
        };
        self.take_in(node, key, submit);
    }

    fn take_in(&mut self, node: usize, key: usize, submit: Submission) {
        let attempt = Attempt {
            key,
            digest: submit.digest.clone(),
            answers: 0,
            passed: submit.forwarded,
            unsent: false,
        };
        self.attempts.insert(submit.submission_id, attempt);
        self.homes
            .insert(submit.submission_id, self.nodes[node].life.clone());
        self.feed(node, CallInput::Submit(Box::new(submit)));
    }

    /// Gives an input to a desk and carries out what it asks for.
    fn feed(&mut self, n: usize, input: CallInput) {
        let now = self.clock(n);
        let lives: Vec<NodeIncarnation> = self.nodes.iter().map(|x| x.life.clone()).collect();
        let sights = self.sights[n];
        let is_live = |life: &NodeIncarnation| {
            let same = |x: &NodeIncarnation| x.instance == life.instance;
            let Some(other) = lives.iter().position(same) else {
                return false;
            };
            match sights[other] {
                Sight::True => lives[other] == *life,
                Sight::Suspected => false,
                Sight::Stale => true,
            }
        };
        let node = &mut self.nodes[n];
        let context = CallContext {
            fold: &node.fold,
            is_live: &is_live,
        };
        for output in node.desk.step(now, input, &context) {
            self.carry_out(n, output);
        }
    }

    fn carry_out(&mut self, n: usize, output: CallOutput) {
        match output {
            CallOutput::Claim(claim) => {
                let call = claim.call.clone();
                let owner = self.nodes[n].life.clone();
                let claims = vec![claim];
                let id = self.submit_record(n, Record::Claims(ClaimBatch { owner, claims }));
                self.nodes[n].claims.insert(id, call);
            }
            CallOutput::Close(node) => {
                let by = self.nodes[n].life.clone();
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
                let key = self.attempts[&submission_id].key;
                let submit = Submission {
                    submission_id,
                    key: self.keys[key].clone(),
                    digest: self.attempts[&submission_id].digest.clone(),
                    deadline: Millis(0),
                    lookup: false,
                    forwarded: true,
                };
                let from = self.nodes[n].life.clone();
                self.forwards.push(Passed {
                    from,
                    submission_id,
                    to,
                    submit,
                });
            }
            CallOutput::Lookup { call, digest, .. } => {
                self.nodes[n].lookups.push_back((call, digest));
            }
            CallOutput::Answer {
                submission_id,
                outcome,
            } => self.told(submission_id, outcome),
        }
    }

    fn crash(&mut self, n: usize) {
        let old = &self.nodes[n];
        let incarnation = old.life.incarnation.0 + 1;
        self.nodes[n] = self.start(n, incarnation, old.drift);
        self.counts.add("crashed");
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
    }

    /// Everything that is under way goes well.
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

    /// Every attempt ends in an outcome, and memory is given back.
    pub fn finish(&mut self) {
        self.advance(100_000);
        for n in 0..NODES {
            self.nodes[n].drift = 0;
            self.feed(n, CallInput::Tick);
            self.feed_appender(n, AppendInput::Tick);
        }
        for (submission_id, attempt) in &self.attempts {
            let home = &self.homes[submission_id];
            let lives = self.nodes.iter().any(|node| node.life == *home);
            assert!(
                attempt.answers == 1 || !lives,
                "{submission_id:?} is never told"
            );
        }
        self.check_unsent();
        // Late messages of that time change nothing any more.
        while !self.forwards.is_empty() || !self.forward_replies.is_empty() {
            self.settle();
        }
        self.settle();
        self.advance(100_000);
        let by = self.nodes[0].life.clone();
        let node = by.clone();
        self.write(
            RecordId::from("last"),
            Record::Closing(Closing { node, by }),
        );
        self.settle();
        self.advance(1000);
        for n in 0..NODES {
            self.feed(n, CallInput::Tick);
            assert!(self.nodes[n].desk.calls().is_empty(), "calls are forgotten");
            assert_eq!(self.nodes[n].appender.pending(), 0);
            assert!(self.nodes[n].fold.len() <= 1, "claims are forgotten");
        }
        self.check_unsent();
    }
}

/// Takes one item out of a list, by a position modulo its length.
fn take<T>(items: &mut Vec<T>, at: usize) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    let at = at % items.len();
    Some(items.remove(at))
}
