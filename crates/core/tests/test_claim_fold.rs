//! The claims fold on chosen histories.

mod common;

use common::{at, node};
use flamingolock_core::call_key::{CallKey, KeyKind};
use flamingolock_core::claim_fold::{ClaimFold, ClaimRules, ClaimsApplied, LostCall, Verdict};
use flamingolock_core::prelude::*;
use flamingolock_core::record::{CallId, Claim, ClaimBatch, Closing, LogEntry, Record};

const RULES: ClaimRules = ClaimRules {
    window: Millis(1000),
    skew: Millis(100),
};

fn claim(offset: u64, time: u64, owner: &str, call: &str, made_at: u64) -> LogEntry {
    let claim = Claim {
        call: CallId(call.into()),
        digest: "d".into(),
        made_at: Millis(made_at),
    };
    let record = Record::Claims(ClaimBatch {
        owner: node(owner, 1),
        claims: vec![claim],
    });
    at(offset, time, &format!("r{offset}"), record)
}

fn closing(offset: u64, time: u64, closed: &str) -> LogEntry {
    let record = Record::Closing(Closing {
        node: node(closed, 1),
        by: node("z", 1),
    });
    at(offset, time, &format!("r{offset}"), record)
}

fn verdict(fold: &mut ClaimFold, entry: &LogEntry) -> Verdict {
    match fold.apply(entry) {
        ClaimsApplied::Decided(judged) => judged[0].verdict.clone(),
        other => panic!("{other:?}"),
    }
}

fn journalled(call: &str, owner: &str, made_at: u64) -> CallKey {
    CallKey {
        id: CallId(call.into()),
        kind: KeyKind::Journalled {
            owner: node(owner, 1),
        },
        made_at: Millis(made_at),
    }
}

#[test]
fn the_first_claim_wins_and_its_owner_may_repeat_it() {
    let mut fold = ClaimFold::new(RULES);
    assert_eq!(
        verdict(&mut fold, &claim(0, 10, "a", "c", 10)),
        Verdict::Won
    );
    let Verdict::Held(held) = verdict(&mut fold, &claim(1, 10, "b", "c", 10)) else {
        panic!("the first one wins");
    };
    assert_eq!((held.owner, held.offset), (node("a", 1), Offset(0)));
    assert_eq!(
        verdict(&mut fold, &claim(2, 11, "a", "c", 10)),
        Verdict::Won
    );
}

#[test]
fn a_closing_voids_later_claims_only() {
    let mut fold = ClaimFold::new(RULES);
    assert_eq!(
        verdict(&mut fold, &claim(0, 10, "a", "early", 10)),
        Verdict::Won
    );
    fold.apply(&closing(1, 20, "a"));
    assert_eq!(
        verdict(&mut fold, &claim(2, 21, "a", "late", 10)),
        Verdict::Closed
    );
    let owner = node("a", 1);
    let late = fold.lost_call(&journalled("late", "a", 10), &owner);
    assert_eq!(late, LostCall::NeverRun);
    let early = fold.lost_call(&journalled("early", "a", 10), &owner);
    assert!(matches!(early, LostCall::Claimed(_)));
    assert_eq!(
        verdict(&mut fold, &claim(3, 22, "b", "late", 10)),
        Verdict::Won
    );
}

#[test]
fn an_open_owner_has_to_be_closed_first() {
    let fold = ClaimFold::new(RULES);
    let lost = fold.lost_call(&journalled("c", "a", 10), &node("a", 1));
    assert_eq!(lost, LostCall::NeedsClosing);
}

#[test]
fn a_closing_much_older_than_the_key_does_not_count() {
    let mut fold = ClaimFold::new(RULES);
    fold.apply(&closing(0, 20, "a"));
    let owner = node("a", 1);
    let lost = |fold: &ClaimFold, made_at| fold.lost_call(&journalled("c", "a", made_at), &owner);
    assert_eq!(lost(&fold, 120), LostCall::NeverRun);
    assert_eq!(lost(&fold, 121), LostCall::NeedsClosing);
    fold.apply(&closing(1, 130, "a"));
    assert_eq!(lost(&fold, 121), LostCall::NeverRun);
}

#[test]
fn what_was_called_not_run_stays_void_until_its_key_expires() {
    // The latest key that a closing covers, claimed at every later time.
    for time in (20..2000).step_by(20) {
        let mut fold = ClaimFold::new(RULES);
        fold.apply(&closing(0, 20, "a"));
        assert_eq!(
            fold.lost_call(&journalled("c", "a", 120), &node("a", 1)),
            LostCall::NeverRun
        );
        let late = verdict(&mut fold, &claim(1, time, "a", "c", 120));
        assert!(
            matches!(late, Verdict::Closed | Verdict::Expired),
            "{late:?} at {time}"
        );
    }
}

#[test]
fn expired_keys_are_refused_and_forgotten() {
    let mut fold = ClaimFold::new(RULES);
    verdict(&mut fold, &claim(0, 10, "a", "c", 10));
    assert_eq!(
        verdict(&mut fold, &claim(1, 1011, "b", "c", 10)),
        Verdict::Expired
    );
    assert_eq!(
        verdict(&mut fold, &claim(2, 1111, "b", "d", 1111)),
        Verdict::Won
    );
    assert_eq!(fold.len(), 1, "the first claim is forgotten");
    assert_eq!(
        verdict(&mut fold, &claim(3, 1111, "b", "c", 10)),
        Verdict::Expired
    );
    let key = journalled("c", "a", 10);
    assert_eq!(fold.lost_call(&key, &node("a", 1)), LostCall::Expired);
    assert_eq!(
        verdict(&mut fold, &claim(4, 1111, "b", "f", 1212)),
        Verdict::Early
    );
}

#[test]
fn a_reader_from_the_middle_agrees_once_it_is_settled() {
    let mut log = vec![closing(0, 10, "a"), claim(1, 20, "b", "c", 20)];
    for n in 2..400 {
        let (time, owner) = (20 + n * 10, if n % 2 == 0 { "a" } else { "b" });
        log.push(claim(n, time, owner, &format!("c{}", n / 3), time - 5));
        if n % 50 == 0 {
            log[n as usize] = closing(n, time, if n % 100 == 0 { "a" } else { "b" });
        }
    }
    let mut whole = ClaimFold::new(RULES);
    let start = 7;
    let mut partial = ClaimFold::starting_at(RULES, Offset(start), log[start as usize].time);
    let mut settled = 0;
    for entry in &log {
        let expected = whole.apply(entry);
        if entry.offset < Offset(start) {
            continue;
        }
        let found = partial.apply(entry);
        if partial.is_settled() {
            assert_eq!(found, expected, "at {}", entry.offset);
            settled += 1;
        } else if let ClaimsApplied::Decided(judged) = &found {
            assert_eq!(judged[0].verdict, Verdict::Unsettled);
        }
    }
    assert!(settled > 100);
}

#[test]
fn an_idle_log_that_keeps_enough_is_settled_at_once() {
    let now = 1_000_000;
    let retention = 10_000;
    let mut fold = ClaimFold::starting_at(RULES, Offset(50), Millis(now - retention));
    assert_eq!(
        verdict(&mut fold, &claim(50, now, "a", "c", now)),
        Verdict::Won
    );
}

#[test]
fn gaps_and_old_records_do_not_move_the_fold() {
    let mut fold = ClaimFold::new(RULES);
    fold.apply(&claim(0, 10, "a", "c", 10));
    let before = fold.clone();
    assert_eq!(
        fold.apply(&claim(0, 10, "b", "d", 10)),
        ClaimsApplied::AlreadyApplied
    );
    let gap = fold.apply(&claim(2, 10, "b", "d", 10));
    assert_eq!(
        gap,
        ClaimsApplied::Gap {
            expected: Offset(1)
        }
    );
    assert_eq!(fold, before);
}
