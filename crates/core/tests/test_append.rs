//! The append state machine: gathering, budget and lost answers.

mod common;

use common::change;
use flamingolock_core::append::{
    AppendInput, AppendOutcome, AppendOutput, AppendSettings, Appender, BatchId,
};
use flamingolock_core::prelude::*;
use flamingolock_core::record::RecordId;

fn settings() -> AppendSettings {
    AppendSettings {
        batch_records: 3,
        linger: Millis(2),
        rate: 10.0,
        burst: 2.0,
        inflight: 2,
        absence_delay: Millis(500),
    }
}

fn submit(id: &str) -> AppendInput {
    AppendInput::Submit {
        id: RecordId::from(id),
        record: Box::new(change("ann", 0, vec![])),
        deadline: Millis(5000),
    }
}

/// The sends among the outputs, by the ids that they carry.
fn sent(outputs: &[AppendOutput]) -> Vec<Vec<String>> {
    let ids = |output: &AppendOutput| match output {
        AppendOutput::Send { records, .. } => {
            Some(records.iter().map(|(id, _)| id.to_string()).collect())
        }
        _ => None,
    };
    outputs.iter().filter_map(ids).collect()
}

fn settled(outputs: &[AppendOutput]) -> Vec<(&str, AppendOutcome)> {
    let end = |output| match output {
        &AppendOutput::Settled { ref id, outcome } => Some((id.as_str(), outcome)),
        _ => None,
    };
    outputs.iter().filter_map(end).collect()
}

#[test]
fn records_gather_into_one_append() {
    let mut appender = Appender::new(settings(), Millis(0));
    assert!(sent(&appender.step(Millis(0), submit("a"))).is_empty());
    assert!(sent(&appender.step(Millis(1), submit("b"))).is_empty());
    assert_eq!(appender.next_tick(Millis(1)), Some(Millis(2)));
    let outputs = appender.step(Millis(2), AppendInput::Tick);
    assert_eq!(sent(&outputs), [["a", "b"]]);
    let (batch, first) = (BatchId(0), Offset(7));
    let outputs = appender.step(Millis(9), AppendInput::Acknowledged { batch, first });
    let ends = [7, 8].map(|n| AppendOutcome::Accepted(Offset(n)));
    assert_eq!(settled(&outputs), [("a", ends[0]), ("b", ends[1])]);
    assert_eq!(appender.pending(), 0);
}

#[test]
fn a_full_batch_does_not_wait() {
    let mut appender = Appender::new(settings(), Millis(0));
    appender.step(Millis(0), submit("a"));
    appender.step(Millis(0), submit("b"));
    assert_eq!(
        sent(&appender.step(Millis(0), submit("c"))),
        [["a", "b", "c"]]
    );
}

#[test]
fn appends_keep_to_the_budget() {
    let mut appender = Appender::new(settings(), Millis(0));
    let mut appends = 0;
    for now in (0..10_000).map(Millis) {
        let input = AppendInput::Submit {
            id: RecordId(format!("r{now}")),
            record: Box::new(change("ann", 0, vec![])),
            deadline: Millis(20_000),
        };
        let mut outputs = appender.step(now, input);
        while let Some(output) = outputs.pop() {
            if let AppendOutput::Send { batch, .. } = output {
                appends += 1;
                let first = Offset(now.0);
                outputs.extend(appender.step(now, AppendInput::Acknowledged { batch, first }));
            }
        }
    }
    assert!((95..=102).contains(&appends), "{appends} in 10 s at 10/s");
}

#[test]
fn a_refused_append_is_sent_again_after_the_wait_in_order() {
    let mut appender = Appender::new(settings(), Millis(0));
    appender.step(Millis(0), submit("a"));
    appender.step(Millis(0), submit("b"));
    appender.step(Millis(2), AppendInput::Tick);
    let (batch, retry_after) = (BatchId(0), Millis(1000));
    appender.step(Millis(3), AppendInput::Refused { batch, retry_after });
    assert!(sent(&appender.step(Millis(1002), AppendInput::Tick)).is_empty());
    let outputs = appender.step(Millis(1003), AppendInput::Tick);
    assert_eq!(sent(&outputs), [["a", "b"]]);
}

fn lose(appender: &mut Appender) {
    appender.step(Millis(0), submit("a"));
    appender.step(Millis(2), AppendInput::Tick);
    let outputs = appender.step(Millis(100), AppendInput::Lost { batch: BatchId(0) });
    assert_eq!(outputs, [AppendOutput::Unconfirmed(RecordId::from("a"))]);
}

#[test]
fn a_lost_append_is_looked_for_before_it_is_sent_again() {
    let mut appender = Appender::new(settings(), Millis(0));
    lose(&mut appender);
    assert!(sent(&appender.step(Millis(700), AppendInput::Tick)).is_empty());
    // A read that began before the answer was lost proves nothing.
    let began = Millis(599);
    let outputs = appender.step(Millis(700), AppendInput::CaughtUp { began });
    assert!(sent(&outputs).is_empty());
    assert!(sent(&appender.step(Millis(710), AppendInput::Tick)).is_empty());
    let offset = Offset(4);
    let id = RecordId::from("a");
    let outputs = appender.step(Millis(711), AppendInput::Observed { offset, id });
    assert_eq!(settled(&outputs), [("a", AppendOutcome::Accepted(offset))]);
    assert!(sent(&appender.step(Millis(5000), AppendInput::Tick)).is_empty());
}

#[test]
fn an_absent_record_is_sent_again_under_its_id() {
    let mut appender = Appender::new(settings(), Millis(0));
    lose(&mut appender);
    let began = Millis(600);
    appender.step(Millis(650), AppendInput::CaughtUp { began });
    let outputs = appender.step(Millis(652), AppendInput::Tick);
    assert_eq!(sent(&outputs), [["a"]]);
}

#[test]
fn the_end_tells_refused_from_unknown() {
    let mut refused = Appender::new(settings(), Millis(0));
    refused.step(Millis(0), submit("a"));
    refused.step(Millis(2), AppendInput::Tick);
    let (batch, retry_after) = (BatchId(0), Millis(9000));
    refused.step(Millis(3), AppendInput::Refused { batch, retry_after });
    let outputs = refused.step(Millis(5000), AppendInput::Tick);
    assert_eq!(settled(&outputs), [("a", AppendOutcome::NotAppended)]);

    let mut lost = Appender::new(settings(), Millis(0));
    lose(&mut lost);
    let outputs = lost.step(Millis(5000), AppendInput::Tick);
    assert_eq!(settled(&outputs), [("a", AppendOutcome::Unknown)]);

    let mut resent = Appender::new(settings(), Millis(0));
    lose(&mut resent);
    let began = Millis(600);
    resent.step(Millis(650), AppendInput::CaughtUp { began });
    resent.step(Millis(652), AppendInput::Tick);
    let (batch, retry_after) = (BatchId(1), Millis(9000));
    resent.step(Millis(700), AppendInput::Refused { batch, retry_after });
    let outputs = resent.step(Millis(5000), AppendInput::Tick);
    let unknown = AppendOutcome::Unknown;
    assert_eq!(
        settled(&outputs),
        [("a", unknown)],
        "the first send is in doubt"
    );
}
