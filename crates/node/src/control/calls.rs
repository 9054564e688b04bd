//! Connects [`CallCoordinator`], the state machine of calls that may run at most once, to
//! the log, the peers and the traffic threads.

use std::collections::BTreeMap;

use bytes::Bytes;
use flamingolock_core::append::AppendOutcome;
use flamingolock_core::call_coordinator::CallCoordinator;
use flamingolock_core::call_message::{
    CallContext, CallInput, CallOutput, CallSettings, Submission, SubmissionId,
};
use flamingolock_core::call_outcome::{CallAnswer, Outcome};
use flamingolock_core::claim_fold::{ClaimFold, ClaimRules, ClaimVerdict};
use flamingolock_core::permit::EntryRef;
use flamingolock_core::prelude::*;
use flamingolock_core::record::{
    CallId, Claim, ClaimBatch, Closing, NodeIncarnation, Record, RecordId,
};
use flamingolock_wire::message::{self as wire, Payload};
use tokio::sync::mpsc;

use crate::control::context::{Context, Effect};
use crate::control::ledger::{Ledger, LedgerEvent, Stream};

/// Time after which the append of a claim is given up.
const CLAIM_APPEND_TIMEOUT: Millis = Millis(5_000);

/// Time after which the append of a closing is given up.
const CLOSING_APPEND_TIMEOUT: Millis = Millis(60_000);

/// Minimum interval between two closings that this node appends for the same
/// incarnation.
const CLOSING_RETRY_INTERVAL: Millis = Millis(2_000);

/// Maximum number of claims in one record.
const CLAIMS_PER_RECORD: usize = 512;

/// Next step for the task that runs one attempt of a call.
#[derive(Debug)]
pub enum CallStep {
    /// Send the call to the service.
    Send {
        /// The call.
        call: CallId,
        /// Digest of the body.
        digest: String,
        /// Number of the attempt to connect.
        attempt: u32,
        /// Time after which the call must not be sent.
        send_by: Millis,
    },
    /// Look the call up at the service.
    Lookup {
        /// The call.
        call: CallId,
        /// Digest of the body.
        digest: String,
    },
    /// Return the outcome to the caller.
    Answer(Outcome),
}

/// Channel to the task that runs an attempt.
pub type CallStepSender = mpsc::UnboundedSender<CallStep>;

/// A call as submitted by its caller, kept so that it can be forwarded to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Idempotency key as sent by the caller.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path without the leading slash; its first segment is the request kind.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
}

/// Event of a call, sent by a traffic thread.
#[derive(Debug)]
pub enum CallEvent {
    /// A caller submits a call.
    Submit {
        /// The submission. Its id is replaced by one that the control thread assigns.
        submit: Box<Submission>,
        /// The call as submitted.
        request: Box<CallRequest>,
        /// Channel to the task that runs the attempt.
        steps: CallStepSender,
    },
    /// Input for [`CallCoordinator`].
    CoordinatorInput(Box<CallInput>),
    /// A call that a peer forwarded to this node has ended.
    Forwarded {
        /// The peer.
        to: InstanceId,
        /// Number of the attempt at the peer.
        call: String,
        /// Its outcome.
        outcome: Outcome,
    },
}

/// A call that a peer forwarded to this node, to be run by a traffic thread.
#[derive(Debug)]
pub struct ForwardedCall {
    /// The peer.
    pub from: InstanceId,
    /// Number of the attempt at the peer.
    pub call: String,
    /// The call.
    pub request: CallRequest,
    /// Time left until the caller's deadline.
    pub within: Millis,
}

struct Attempt {
    steps: CallStepSender,
    request: CallRequest,
    deadline: Millis,
}

/// Calls submitted to one node.
pub struct Calls {
    local_node: NodeIncarnation,
    coordinator: CallCoordinator,
    attempts: BTreeMap<SubmissionId, Attempt>,
    forwarded: BTreeMap<SubmissionId, InstanceId>,
    unsent_claims: Vec<Claim>,
    claimed_in_record: BTreeMap<RecordId, Vec<CallId>>,
    recent_closings: BTreeMap<NodeIncarnation, Millis>,
    next_id: u64,
}

impl Calls {
    /// Creates the state of a node without calls.
    pub fn new(local_node: NodeIncarnation) -> Self {
        let coordinator = CallCoordinator::new(
            local_node.clone(),
            ClaimRules::default(),
            CallSettings::default(),
        );
        Self {
            local_node,
            coordinator,
            attempts: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            unsent_claims: Vec::new(),
            claimed_in_record: BTreeMap::new(),
            recent_closings: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Handles an event from a traffic thread.
    pub fn handle(
        &mut self,
        ctx: &mut Context<'_>,
        fold: &ClaimFold,
        is_live: &dyn Fn(&NodeIncarnation) -> bool,
        event: CallEvent,
    ) {
        match event {
            CallEvent::Submit {
                mut submit,
                request,
                steps,
            } => {
                self.next_id += 1;
                submit.id = SubmissionId(self.next_id);
                let attempt = Attempt {
                    steps,
                    request: *request,
                    deadline: submit.deadline,
                };
                self.attempts.insert(submit.id, attempt);
                self.step(ctx, fold, is_live, CallInput::Submit(submit));
            }
            CallEvent::CoordinatorInput(input) => self.step(ctx, fold, is_live, *input),
            CallEvent::Forwarded { to, call, outcome } => {
                ctx.send(&to, answer_message(call, &outcome));
            }
        }
    }

    /// Handles an event of the ledger.
    pub fn handle_ledger_event(
        &mut self,
        ctx: &mut Context<'_>,
        fold: &ClaimFold,
        is_live: &dyn Fn(&NodeIncarnation) -> bool,
        event: &LedgerEvent,
    ) {
        match event {
            LedgerEvent::ClaimsDecided(verdicts) => {
                for ClaimVerdict { call, verdict, .. } in verdicts {
                    let (call, verdict) = (call.clone(), verdict.clone());
                    self.step(
                        ctx,
                        fold,
                        is_live,
                        CallInput::ClaimDecided { call, verdict },
                    );
                }
            }
            LedgerEvent::Closed(node) => {
                self.step(ctx, fold, is_live, CallInput::Closed { node: node.clone() });
            }
            LedgerEvent::Settled { id, outcome } => {
                for call in self.claimed_in_record.remove(id).unwrap_or_default() {
                    let input = match outcome {
                        // The verdict comes with `LedgerEvent::ClaimsDecided`.
                        AppendOutcome::Accepted(_) => continue,
                        AppendOutcome::NotAppended => CallInput::ClaimRefused { call },
                        AppendOutcome::Unknown => CallInput::ClaimInDoubt { call },
                    };
                    self.step(ctx, fold, is_live, input);
                }
            }
            LedgerEvent::Lease { .. } => {}
        }
    }

    /// Runs the timers and appends the claims and closings gathered since the last call,
    /// claims in batches of up to `CLAIMS_PER_RECORD`.
    pub fn tick(
        &mut self,
        ctx: &mut Context<'_>,
        ledger: &mut Ledger,
        is_live: &dyn Fn(&NodeIncarnation) -> bool,
    ) {
        if self.coordinator.next_tick().is_some_and(|at| at <= ctx.now) {
            self.step(ctx, ledger.claims(), is_live, CallInput::Tick);
        }
        while !self.unsent_claims.is_empty() {
            let count = self.unsent_claims.len().min(CLAIMS_PER_RECORD);
            let claims: Vec<Claim> = self.unsent_claims.drain(..count).collect();
            self.next_id += 1;
            let id = RecordId(format!("claims-{}-{}", self.local_node, self.next_id));
            let calls = claims.iter().map(|claim| claim.call.clone()).collect();
            self.claimed_in_record.insert(id.clone(), calls);
            let record = Record::Claims(ClaimBatch {
                owner: self.local_node.clone(),
                claims,
            });
            ledger.append(
                ctx,
                Stream::Claims,
                id,
                record,
                ctx.now + CLAIM_APPEND_TIMEOUT,
            );
        }
        let due: Vec<NodeIncarnation> = self
            .recent_closings
            .iter()
            .filter(|(_, at)| **at == Millis(0))
            .map(|(node, _)| node.clone())
            .collect();
        for node in due {
            self.next_id += 1;
            let id = RecordId(format!("closing-{}-{}", self.local_node, self.next_id));
            let record = Record::Closing(Closing {
                node: node.clone(),
                by: self.local_node.clone(),
            });
            ledger.append(
                ctx,
                Stream::Claims,
                id,
                record,
                ctx.now + CLOSING_APPEND_TIMEOUT,
            );
            self.recent_closings.insert(node, ctx.now);
        }
        self.recent_closings
            .retain(|_, at| ctx.now.since(*at) < CLOSING_RETRY_INTERVAL);
    }

    /// Returns the next time that [`Calls::tick`] has to run if no event comes before.
    pub fn next_tick(&self) -> Option<Millis> {
        self.coordinator.next_tick()
    }

    /// Handles a message about calls from another node.
    pub fn handle_peer_message(
        &mut self,
        ctx: &mut Context<'_>,
        fold: &ClaimFold,
        is_live: &dyn Fn(&NodeIncarnation) -> bool,
        from: &EntryRef,
        payload: &Payload,
    ) {
        match payload {
            Payload::CallForward(forward) => self.accept_forward(ctx, from, forward),
            Payload::CallAnswer(answer) => {
                let Ok(number) = answer.call.parse() else {
                    return;
                };
                let submission_id = SubmissionId(number);
                if self.forwarded.get(&submission_id) != Some(&from.instance) {
                    return;
                }
                self.forwarded.remove(&submission_id);
                let input = match read_answer(answer) {
                    Some(outcome) => CallInput::ForwardAnswered {
                        submission_id,
                        outcome,
                    },
                    None => CallInput::ForwardFailed { submission_id },
                };
                self.step(ctx, fold, is_live, input);
            }
            _ => {}
        }
    }

    /// Fails the calls forwarded to a node once the connection to it is lost: their
    /// answers are no longer expected.
    pub fn link_down(
        &mut self,
        ctx: &mut Context<'_>,
        fold: &ClaimFold,
        is_live: &dyn Fn(&NodeIncarnation) -> bool,
        to: &InstanceId,
    ) {
        let failed: Vec<SubmissionId> = self
            .forwarded
            .iter()
            .filter(|(_, node)| *node == to)
            .map(|(submission_id, _)| *submission_id)
            .collect();
        for submission_id in failed {
            self.forwarded.remove(&submission_id);
            self.step(
                ctx,
                fold,
                is_live,
                CallInput::ForwardFailed { submission_id },
            );
        }
    }

    fn accept_forward(
        &mut self,
        ctx: &mut Context<'_>,
        from: &EntryRef,
        forward: &wire::CallForward,
    ) {
        if forward.incarnation != self.local_node.incarnation.0 {
            let refusal = wire::CallAnswer {
                call: forward.call.clone(),
                refused: true,
                ..wire::CallAnswer::default()
            };
            ctx.send(&from.instance, Payload::CallAnswer(refusal));
            return;
        }
        ctx.effects
            .push(Effect::RunForwardedCall(Box::new(ForwardedCall {
                from: from.instance.clone(),
                call: forward.call.clone(),
                request: CallRequest {
                    workspace: WorkspaceId::from(forward.workspace.as_str()),
                    key: forward.key.clone(),
                    method: forward.method.clone(),
                    path: forward.path.clone(),
                    body: forward.body.clone(),
                },
                within: Millis(forward.deadline_ms),
            })));
    }

    fn step(
        &mut self,
        ctx: &mut Context<'_>,
        fold: &ClaimFold,
        is_live: &dyn Fn(&NodeIncarnation) -> bool,
        input: CallInput,
    ) {
        let context = CallContext { fold, is_live };
        for output in self.coordinator.step(ctx.now, input, &context) {
            self.apply_output(ctx, output);
        }
    }

    fn apply_output(&mut self, ctx: &mut Context<'_>, output: CallOutput) {
        match output {
            CallOutput::Claim(claim) => self.unsent_claims.push(claim),
            CallOutput::Close(node) => {
                self.recent_closings.entry(node).or_insert(Millis(0));
            }
            CallOutput::Send {
                call,
                submission_id,
                digest,
                attempt,
                send_by,
            } => {
                self.send_step(
                    submission_id,
                    CallStep::Send {
                        call,
                        digest,
                        attempt,
                        send_by,
                    },
                );
            }
            CallOutput::Lookup {
                call,
                submission_id,
                digest,
            } => {
                self.send_step(submission_id, CallStep::Lookup { call, digest });
            }
            CallOutput::Forward { submission_id, to } => self.forward(ctx, submission_id, &to),
            CallOutput::Answer {
                submission_id,
                outcome,
            } => {
                self.send_step(submission_id, CallStep::Answer(outcome));
                self.attempts.remove(&submission_id);
                self.forwarded.remove(&submission_id);
            }
        }
    }

    fn send_step(&self, submission_id: SubmissionId, step: CallStep) {
        if let Some(attempt) = self.attempts.get(&submission_id) {
            // The task outlives its caller and receives steps until it is answered.
            let _ = attempt.steps.send(step);
        }
    }

    fn forward(
        &mut self,
        ctx: &mut Context<'_>,
        submission_id: SubmissionId,
        to: &NodeIncarnation,
    ) {
        let Some(attempt) = self.attempts.get(&submission_id) else {
            return;
        };
        let message = wire::CallForward {
            call: submission_id.0.to_string(),
            workspace: attempt.request.workspace.to_string(),
            key: attempt.request.key.clone(),
            method: attempt.request.method.clone(),
            path: attempt.request.path.clone(),
            headers: Vec::new(),
            body: attempt.request.body.clone(),
            deadline_ms: attempt.deadline.since(ctx.now).0,
            incarnation: to.incarnation.0,
        };
        self.forwarded.insert(submission_id, to.instance.clone());
        ctx.send(&to.instance, Payload::CallForward(message));
    }
}

fn answer_message(call: String, outcome: &Outcome) -> Payload {
    let message = match outcome {
        Outcome::Answered(answer) => wire::CallAnswer {
            call,
            status: u32::from(answer.status),
            headers: vec![wire::Header {
                name: "content-type".to_owned(),
                value: Bytes::copy_from_slice(answer.content_type.as_bytes()),
            }],
            body: Bytes::copy_from_slice(&answer.body),
            outcome: wire::CallOutcome::Answered as i32,
            refused: false,
        },
        Outcome::NotRun { .. } | Outcome::Unknown(_) | Outcome::Conflict => wire::CallAnswer {
            call,
            outcome: match outcome {
                Outcome::NotRun { .. } => wire::CallOutcome::NotRun as i32,
                _ => wire::CallOutcome::Unknown as i32,
            },
            body: serde_json::to_vec(outcome).unwrap_or_default().into(),
            ..wire::CallAnswer::default()
        },
    };
    Payload::CallAnswer(message)
}

/// Reads the outcome from a message; `None` if the other node refused the call.
fn read_answer(message: &wire::CallAnswer) -> Option<Outcome> {
    if message.refused {
        return None;
    }
    if message.outcome() != wire::CallOutcome::Answered {
        return serde_json::from_slice(&message.body).ok();
    }
    let content_type = message
        .headers
        .iter()
        .find(|header| header.name == "content-type")
        .map(|header| String::from_utf8_lossy(&header.value).into_owned())
        .unwrap_or_default();
    Some(Outcome::Answered(std::sync::Arc::new(CallAnswer {
        status: u16::try_from(message.status).unwrap_or(502),
        content_type,
        body: message.body.to_vec(),
    })))
}
