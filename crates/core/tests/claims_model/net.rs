//! Messages between nodes, and between a node and the service.

use std::sync::Arc;

use flamingolock_core::call_message::{CallInput, SubmissionId};
use flamingolock_core::call_outcome::SendFailure;
use flamingolock_core::prelude::*;
use flamingolock_core::record::NodeIncarnation;

use super::{Fleet, Node, Request, SendOrder, WireFate, take};

impl Fleet {
    /// The last check of the deadline before the first byte is sent.
    pub(super) fn check(&mut self, n: usize, refuse: bool) {
        let Some(order) = self.nodes[n].outbox.pop_front() else {
            return;
        };
        if refuse || self.clock(n) >= order.send_by {
            let SendOrder { call, attempt, .. } = order;
            let failure = SendFailure::NeverSent;
            let identity = self.nodes[n].identity.clone();
            self.failures.push((identity, call.clone(), attempt));
            self.feed(
                n,
                CallInput::SendFailed {
                    call,
                    attempt,
                    failure,
                },
            );
        } else {
            self.nodes[n].checked.push_back(order);
        }
    }

    /// Sends the first byte, any time after the check.
    pub(super) fn transmit(&mut self, n: usize) {
        if let Some(order) = self.nodes[n].checked.pop_front() {
            let from = self.nodes[n].identity.clone();
            let abandoned = false;
            self.wire.push(Request {
                from,
                order,
                abandoned,
            });
        }
    }

    pub(super) fn deliver(&mut self, at: usize, fate: WireFate) {
        let Some(mut request) = take(&mut self.wire, at) else {
            return;
        };
        let SendOrder { call, attempt, .. } = request.order.clone();
        if fate == WireFate::Arrives {
            let answer = self.execute(&request.order);
            self.replies.push((request.from, call, attempt, answer));
            return;
        }
        let from = request.from.clone();
        if fate == WireFate::Delayed && !request.abandoned {
            request.abandoned = true;
            self.wire.push(request);
        }
        if let Some(n) = self.running(&from) {
            let failure = SendFailure::Unknown;
            self.feed(
                n,
                CallInput::SendFailed {
                    call,
                    attempt,
                    failure,
                },
            );
        }
    }

    pub(super) fn reply(&mut self, at: usize, lost: bool) {
        let Some((to, call, attempt, answer)) = take(&mut self.replies, at) else {
            return;
        };
        let Some(n) = self.running(&to) else {
            return;
        };
        if lost {
            let failure = SendFailure::Unknown;
            self.feed(
                n,
                CallInput::SendFailed {
                    call,
                    attempt,
                    failure,
                },
            );
        } else {
            self.feed(n, CallInput::Answered { call, answer });
        }
    }

    /// An old failure report is delivered again.
    pub(super) fn stale_failure(&mut self, at: usize) {
        let Some((identity, call, attempt)) = take(&mut self.failures, at) else {
            return;
        };
        if let Some(n) = self.running(&identity) {
            let failure = SendFailure::NeverSent;
            self.feed(
                n,
                CallInput::SendFailed {
                    call,
                    attempt,
                    failure,
                },
            );
        }
    }

    pub(super) fn look_up(&mut self, n: usize, lost: bool) {
        let Some((call, digest)) = self.nodes[n].lookups.pop_front() else {
            return;
        };
        let ran = self.executed.get(&call).filter(|(body, _)| *body == digest);
        let found = ran.filter(|_| !lost).map(|(_, answer)| Arc::clone(answer));
        self.counts.add(format!("looked up: {}", found.is_some()));
        self.feed(
            n,
            CallInput::LookedUp {
                call,
                digest,
                found,
            },
        );
    }

    pub(super) fn forward(&mut self, at: usize, lost: bool, twice: bool) {
        let Some(forwarded) = take(&mut self.forwards, at) else {
            return;
        };
        // It reaches whichever incarnation runs at that address now.
        let same = |node: &Node| node.identity.instance == forwarded.to.instance;
        let there = self.nodes.iter().position(same).filter(|_| !lost);
        let Some(n) = there else {
            self.forward_failed(&forwarded.from, forwarded.submission_id);
            return;
        };
        let key = self.submissions[&forwarded.submission_id].key;
        for _ in 0..=usize::from(twice) {
            let submission_id = SubmissionId(self.name());
            self.forward_origins.insert(
                submission_id,
                (forwarded.from.clone(), forwarded.submission_id),
            );
            let mut submission = forwarded.submission.clone();
            submission.id = submission_id;
            submission.deadline = self.clock(n) + Millis(300);
            self.accept_submission(n, key, submission);
        }
    }

    pub(super) fn forward_reply(&mut self, at: usize, lost: bool) {
        let Some((home, submission_id, outcome)) = take(&mut self.forward_replies, at) else {
            return;
        };
        if lost {
            self.forward_failed(&home, submission_id);
        } else if let Some(n) = self.running(&home) {
            self.feed(
                n,
                CallInput::ForwardAnswered {
                    submission_id,
                    outcome,
                },
            );
        }
    }

    pub(super) fn forward_failed(&mut self, home: &NodeIncarnation, submission_id: SubmissionId) {
        if let Some(n) = self.running(home) {
            self.feed(n, CallInput::ForwardFailed { submission_id });
        }
    }
}
