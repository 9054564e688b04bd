//! Messages between nodes, and between a node and the service.

use std::sync::Arc;

use flamingolock_core::call_message::{CallInput, SubmissionId};
use flamingolock_core::call_outcome::SendFailure;
use flamingolock_core::prelude::*;
use flamingolock_core::record::NodeIncarnation;

use super::{Fleet, Node, Request, SendOrder, WireFate, take};

impl Fleet {
    /// The last look at the clock before the first byte.
    pub(super) fn check(&mut self, n: usize, refuse: bool) {
        let Some(order) = self.nodes[n].outbox.pop_front() else {
            return;
        };
        if refuse || self.clock(n) >= order.send_by {
            let SendOrder { call, attempt, .. } = order;
            let failure = SendFailure::NeverSent;
            let life = self.nodes[n].life.clone();
            self.failures.push((life, call.clone(), attempt));
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

    /// The first byte, any time after the check.
    pub(super) fn transmit(&mut self, n: usize) {
        if let Some(order) = self.nodes[n].checked.pop_front() {
            let from = self.nodes[n].life.clone();
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
        if fate == WireFate::Straggles && !request.abandoned {
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

    /// An old report of a failure comes again.
    pub(super) fn stale_failure(&mut self, at: usize) {
        let Some((life, call, attempt)) = take(&mut self.failures, at) else {
            return;
        };
        if let Some(n) = self.running(&life) {
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
        let Some(passed) = take(&mut self.forwards, at) else {
            return;
        };
        // It reaches whatever runs at that address now.
        let same = |node: &Node| node.life.instance == passed.to.instance;
        let there = self.nodes.iter().position(same).filter(|_| !lost);
        let Some(n) = there else {
            self.forward_failed(&passed.from, passed.submission_id);
            return;
        };
        let key = self.attempts[&passed.submission_id].key;
        for _ in 0..=usize::from(twice) {
            let submission_id = SubmissionId(self.name());
            self.relays
                .insert(submission_id, (passed.from.clone(), passed.submission_id));
            let mut submit = passed.submit.clone();
            submit.submission_id = submission_id;
            submit.deadline = self.clock(n) + Millis(300);
            self.take_in(n, key, submit);
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
