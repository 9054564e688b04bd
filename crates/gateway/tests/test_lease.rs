//! The lease of the node that gives orders, against a log that all nodes share.

use std::time::Duration;

use flamingolock_gateway::control::lease::{Lease, LeaseStep};
use flamingolock_gateway::control::rollout::max_concurrent_loads;
use proptest::prelude::*;

const PAUSE: u64 = 3_000;

/// Time for which orders may be given after a record was sent, in ms.
const VALID: u64 = 700;

/// What happens to a node's calls to the store.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Done and answered.
    Answered,
    /// Done, but the answer is lost.
    AnswerLost,
    /// Not done.
    Refused,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![4 => Just(Fate::Answered), 1 => Just(Fate::AnswerLost), 1 => Just(Fate::Refused)]
}

proptest! {
    /// Whatever is lost, refused or frozen: orders of two nodes lie the pause
    /// apart, and fencing numbers only grow.
    #[test]
    fn orders_of_two_holders_lie_apart(
        steps in proptest::collection::vec((0_usize..3, 1_u64..900, fate(), any::<bool>()), 1..300),
    ) {
        let names = ["a", "b", "c"];
        let mut nodes = names.map(|name| Lease::new(name, Duration::from_millis(PAUSE)));
        let mut log: Vec<&str> = Vec::new();
        let mut now = 10_000;
        let mut last: Option<(usize, u64, u64)> = None;
        for (who, passed, fate, wanted) in steps {
            now += passed;
            let sent = now;
            match nodes[who].step(wanted, now) {
                LeaseStep::Hold { fencing, until } => {
                    prop_assert!(now <= until);
                    if let Some((other, at, fence)) = last {
                        prop_assert!(fencing >= fence);
                        prop_assert!(other == who || (now >= at + PAUSE && fencing > fence), "{other} then {who}");
                    }
                    last = Some((who, now, fencing));
                }
                LeaseStep::Read(from) => match fate {
                    Fate::Answered => {
                        let record = (from < log.len() as u64).then(|| *log.last().expect("a record"));
                        nodes[who].read(log.len() as u64, record, now);
                    }
                    _ => nodes[who].failed(now),
                },
                LeaseStep::Append(at) => {
                    let fits = at == log.len() as u64;
                    if fits && !matches!(fate, Fate::Refused) {
                        log.push(names[who]);
                    }
                    // The answer takes a while, or the node sleeps.
                    now += passed % 300;
                    match fate {
                        Fate::Answered if fits => nodes[who].appended(at),
                        _ => nodes[who].failed(now),
                    }
                    // However late the answer, the time counts from the sending.
                    let later = nodes[who].clone().step(false, sent + VALID);
                    let holds = matches!(later, LeaseStep::Hold { .. });
                    prop_assert!(!holds, "held past {VALID} ms after the sending");
                }
                LeaseStep::Wait => {}
            }
        }
    }

    #[test]
    fn loads_leave_engines_that_serve(engines in 2_usize..1_000) {
        prop_assert!(max_concurrent_loads(engines) >= 1);
        prop_assert!(max_concurrent_loads(engines) <= engines.div_ceil(2));
    }
}
