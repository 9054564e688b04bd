//! What must hold of executions and of what callers are told.

use std::collections::BTreeSet;
use std::sync::Arc;

use flamingolock_core::call_message::SubmissionId;
use flamingolock_core::call_outcome::{CallAnswer, Outcome};

use super::{Fleet, SendOrder, call_of};

impl Fleet {
    /// The oracle on what a caller is told.
    pub(super) fn told(&mut self, submission_id: SubmissionId, outcome: Outcome) {
        let attempt = self
            .attempts
            .get_mut(&submission_id)
            .expect("tickets are known");
        attempt.answers += 1;
        assert_eq!(attempt.answers, 1, "{submission_id:?} is told twice");
        attempt.unsent = match &outcome {
            Outcome::Answered(_) => false,
            Outcome::NotRun { .. } | Outcome::Conflict => true,
            Outcome::Unknown(reason) => reason.is_unsent(),
        };
        let call = call_of(attempt.key);
        match &outcome {
            Outcome::Answered(answer) => {
                let (digest, truth) = self.executed.get(&call).expect("it ran");
                assert_eq!(answer, truth, "the answer to another call");
                assert_eq!(*digest, attempt.digest, "the answer to another body");
                self.counts.add("answered");
            }
            Outcome::NotRun { reason, .. } => {
                assert!(!self.executed.contains_key(&call), "{call} ran: {reason:?}");
                self.counts.add(format!("not run: {reason:?}"));
                self.not_run.insert(call);
            }
            Outcome::Unknown(reason) => self.counts.add(format!("unknown: {reason:?}")),
            Outcome::Conflict => self.counts.add("conflict"),
        }
        if let Some((home, origin)) = self.relays.remove(&submission_id) {
            self.forward_replies.push((home, origin, outcome));
        }
    }

    /// The service runs whatever arrives, and the oracle counts.
    pub(super) fn execute(&mut self, order: &SendOrder) -> Arc<CallAnswer> {
        let call = &order.call;
        assert!(
            !self.not_run.contains(call),
            "{call} runs after it was called not run"
        );
        let answer = Arc::new(CallAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: format!("{call} {} {}", order.digest, self.counts.0.len()).into_bytes(),
        });
        let record = (order.digest.clone(), Arc::clone(&answer));
        let earlier = self.executed.insert(call.clone(), record);
        assert!(earlier.is_none(), "{call} runs twice");
        self.counts.add("executed");
        answer
    }

    /// A call runs only on behalf of an attempt whose caller was not told that it
    /// ran nothing.
    pub(super) fn check_unsent(&self) {
        let mut open = BTreeSet::new();
        for attempt in self.attempts.values() {
            if !attempt.passed && !attempt.unsent {
                open.insert((call_of(attempt.key), attempt.digest.clone()));
            }
        }
        for (call, (digest, _)) in &self.executed {
            let run = (call.clone(), digest.clone());
            assert!(
                open.contains(&run),
                "{call} ran, and all callers were told otherwise"
            );
        }
    }
}
