//! Tests of the order lease against a simulated log that all nodes share.

use std::time::Duration;

use flamingolock_gateway::control::lease::{Lease, LeaseStep};
use proptest::prelude::*;

const HANDOVER_GAP: u64 = 3_000;

/// Time for which orders may be sent after an append was sent, in ms.
const VALIDITY: u64 = 700;

/// Result of a node's call to the store.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    /// The call was executed and answered.
    Answered,
    /// The call was executed, but its answer was lost.
    AnswerLost,
    /// The call was not executed.
    Refused,
}

fn call_result() -> impl Strategy<Value = CallResult> {
    prop_oneof![4 => Just(CallResult::Answered), 1 => Just(CallResult::AnswerLost), 1 => Just(CallResult::Refused)]
}

proptest! {
    /// Calls may be lost or refused and nodes may freeze: the orders of two nodes must
    /// still be separated by the handover gap, and fencing tokens must only grow.
    #[test]
    fn orders_of_two_holders_are_separated_by_the_gap(
        steps in proptest::collection::vec((0_usize..3, 1_u64..900, call_result(), any::<bool>()), 1..300),
    ) {
        let names = ["a", "b", "c"];
        let mut nodes = names.map(|name| Lease::new(name, Duration::from_millis(HANDOVER_GAP)));
        let mut log: Vec<&str> = Vec::new();
        let mut now = 10_000;
        let mut last: Option<(usize, u64, u64)> = None;
        for (who, passed, result, wanted) in steps {
            now += passed;
            let sent = now;
            match nodes[who].step(wanted, now) {
                LeaseStep::Hold { fencing, until } => {
                    prop_assert!(now <= until);
                    if let Some((other, at, fence)) = last {
                        prop_assert!(fencing >= fence);
                        prop_assert!(other == who || (now >= at + HANDOVER_GAP && fencing > fence), "{other} then {who}");
                    }
                    last = Some((who, now, fencing));
                }
                LeaseStep::Read(from) => match result {
                    CallResult::Answered => {
                        let record = (from < log.len() as u64).then(|| *log.last().expect("a record"));
                        nodes[who].read(log.len() as u64, record, now);
                    }
                    _ => nodes[who].failed(now),
                },
                LeaseStep::Append(at) => {
                    let fits = at == log.len() as u64;
                    if fits && !matches!(result, CallResult::Refused) {
                        log.push(names[who]);
                    }
                    // The answer is delayed, or the node is suspended.
                    now += passed % 300;
                    match result {
                        CallResult::Answered if fits => nodes[who].appended(at),
                        _ => nodes[who].failed(now),
                    }
                    // The validity counts from the sending, however late the answer
                    // arrives.
                    let later = nodes[who].clone().step(false, sent + VALIDITY);
                    let holds = matches!(later, LeaseStep::Hold { .. });
                    prop_assert!(!holds, "lease held more than {VALIDITY} ms after the append was sent");
                }
                LeaseStep::Wait => {}
            }
        }
    }
}

#[test]
fn nobody_takes_the_lease_while_the_holder_of_a_lost_record_may_send_orders() {
    let mut lease = Lease::new("me", Duration::from_millis(HANDOVER_GAP));
    assert_eq!(lease.step(true, 10), LeaseStep::Read(0));
    lease.read(0, None, 20);
    lease.records_lost(1_000);
    assert_eq!(lease.step(true, 4_900), LeaseStep::Wait);
    assert_eq!(lease.step(true, 4_950), LeaseStep::Read(0));
}
