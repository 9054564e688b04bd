//! Streamed answers: order, completeness and recovery.

use flamingolock_core::answer_stream::{
    MAX_BREAKS, Recovery, StreamCursor, StreamFault, StreamInput, StreamStep,
};
use flamingolock_core::prelude::*;

fn cursor() -> StreamCursor {
    StreamCursor::new("a.1".to_owned(), Incarnation(3), 0)
}

fn chunk(id: &str, index: u32) -> StreamInput<'_> {
    StreamInput::Chunk { id, index }
}

#[test]
fn chunks_are_delivered_once_and_in_order() {
    let mut cursor = cursor();
    assert_eq!(cursor.accept(chunk("a.1", 0)), StreamStep::Deliver);
    assert_eq!(cursor.accept(chunk("a.1", 0)), StreamStep::Skip);
    assert_eq!(cursor.accept(chunk("a.1", 1)), StreamStep::Deliver);
    assert_eq!(cursor.next_index(), 2);
    let end = StreamInput::End {
        id: "a.1",
        count: 2,
    };
    assert_eq!(cursor.accept(end), StreamStep::Finish);
}

#[test]
fn gaps_foreign_chunks_and_short_ends_are_rejected() {
    let mut cursor = cursor();
    let gap = cursor.accept(chunk("a.1", 1));
    assert_eq!(gap, StreamStep::Reject(StreamFault::Gap));
    let foreign = cursor.accept(chunk("b.1", 0));
    assert_eq!(foreign, StreamStep::Reject(StreamFault::Foreign));
    let foreign_end = cursor.accept(StreamInput::End {
        id: "b.1",
        count: 0,
    });
    assert_eq!(foreign_end, StreamStep::Reject(StreamFault::Foreign));
    let short = cursor.accept(StreamInput::End {
        id: "a.1",
        count: 1,
    });
    assert_eq!(short, StreamStep::Reject(StreamFault::WrongCount));
    assert_eq!(cursor.next_index(), 0);
}

#[test]
fn only_the_same_engine_incarnation_resumes_and_failures_are_bounded() {
    let mut cursor = cursor();
    assert_eq!(cursor.accept(chunk("a.1", 0)), StreamStep::Deliver);
    assert_eq!(
        cursor.recover(Some(Incarnation(3))),
        Recovery::Resume { from: 1 }
    );
    assert_eq!(
        cursor.recover(Some(Incarnation(4))),
        Recovery::Continue { from: 1 }
    );
    assert_eq!(cursor.recover(None), Recovery::Continue { from: 1 });
    for _ in 3..MAX_BREAKS {
        assert_ne!(cursor.recover(None), Recovery::GiveUp);
    }
    assert_eq!(cursor.recover(None), Recovery::GiveUp);
}
