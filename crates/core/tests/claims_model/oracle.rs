//! Invariants of executions and of the outcomes reported to callers.

use std::collections::BTreeSet;
use std::sync::Arc;

use flamingolock_core::call_message::SubmissionId;
use flamingolock_core::call_outcome::{CallAnswer, Outcome};

use super::{Fleet, SendOrder, call_of};

impl Fleet {
    /// Checks an outcome that is reported to a caller.
    pub(super) fn check_outcome(&mut self, submission_id: SubmissionId, outcome: Outcome) {
        let submission = self
            .submissions
            .get_mut(&submission_id)
            .expect("submissions are known");
        submission.answers += 1;
        assert_eq!(submission.answers, 1, "{submission_id:?} is answered twice");
        submission.unsent = match &outcome {
            Outcome::Answered(_) => false,
            Outcome::NotRun { .. } | Outcome::Conflict => true,
            Outcome::Unknown(reason) => reason.is_unsent(),
        };
        let call = call_of(submission.key);
        match &outcome {
            Outcome::Answered(answer) => {
                let (digest, truth) = self.executed.get(&call).expect("the call was executed");
                assert_eq!(answer, truth, "the answer to another call");
                assert_eq!(*digest, submission.digest, "the answer to another body");
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
        if let Some((home, origin)) = self.forward_origins.remove(&submission_id) {
            self.forward_replies.push((home, origin, outcome));
        }
    }

    /// The service executes every request that arrives, and the oracle checks that no
    /// call is executed twice or after it was reported as not run.
    pub(super) fn execute(&mut self, order: &SendOrder) -> Arc<CallAnswer> {
        let call = &order.call;
        assert!(
            !self.not_run.contains(call),
            "{call} runs after it was reported as not run"
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

    /// Checks that every executed call has a submission whose caller was not told that
    /// it ran nothing.
    pub(super) fn check_unsent(&self) {
        let mut open = BTreeSet::new();
        for submission in self.submissions.values() {
            if !submission.forwarded && !submission.unsent {
                open.insert((call_of(submission.key), submission.digest.clone()));
            }
        }
        for (call, (digest, _)) in &self.executed {
            let run = (call.clone(), digest.clone());
            assert!(
                open.contains(&run),
                "{call} ran, and all callers were told that it did not"
            );
        }
    }
}
