//! Splitting of byte streams into events.

use flamingolock_gateway::event_stream::{EventSplitter, MAX_EVENT_BYTES, SplitError};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

proptest! {
    /// However the bytes are split into chunks, complete events are returned once, in
    /// order and unchanged.
    #[test]
    fn events_are_returned_once_and_unchanged(count in 1_u64..30, after in 0_u64..30, cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let text: String = (1..=count).map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut rest = text.as_bytes();
        let mut out = Vec::new();
        let mut last = Some(after);
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            rest = left;
            if let Some(events) = splitter.push(piece, last).expect("short events") {
                out.extend_from_slice(&events.bytes);
                last = events.last_id;
            }
        }
        let expected: String = (after + 1..=count).map(event).collect();
        prop_assert_eq!(String::from_utf8(out).expect("text"), expected);
        prop_assert_eq!(splitter.partial_bytes(), 0);
    }
}

#[test]
fn incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n", None), Ok(None));
    let events = splitter.push(b"\nid: 2\nda", None);
    let events = events.expect("short events").expect("one event");
    assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.partial_bytes(), b"id: 2\nda".len());
    let events = splitter.push(b"ta: b\n\n", events.last_id);
    let events = events.expect("short events").expect("one event");
    assert_eq!(&events.bytes[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.partial_bytes(), 0);
}

#[test]
fn weight_versions_line_belongs_to_its_event() {
    let mut splitter = EventSplitter::default();
    let text = b"weight-versions: 3\nid: 4\ndata: a\n\n";
    let events = splitter.push(text, Some(3));
    let events = events.expect("short events").expect("one event");
    assert_eq!((&events.bytes[..], events.last_id), (&text[..], Some(4)));
}

#[test]
fn bytes_without_an_event_are_refused_at_a_limit() {
    let mut splitter = EventSplitter::default();
    let chunk = [b'x'; 4 * 1024];
    let mut pushed = 0;
    while splitter.push(&chunk, None) == Ok(None) {
        pushed += chunk.len();
        assert!(pushed <= MAX_EVENT_BYTES);
    }
    assert_eq!(pushed, MAX_EVENT_BYTES);
}

/// Guards against an error's text, or a whole head, in the middle of a stream.
#[test]
fn bytes_that_are_no_event_are_refused() {
    for text in [
        "out of memory\n\n",
        "error: out of memory\n\n",
        "HTTP/1.1 500 -\r\nContent-Length: 5\r\n\r\n",
        "{\"error\":\n\"out of memory\"}\n\n",
        "id: 4\nContent-Length: 5\n\n",
    ] {
        let mut splitter = EventSplitter::default();
        let refused = splitter.push(text.as_bytes(), Some(3));
        assert!(matches!(refused, Err(SplitError::NotAnEvent(_))), "{text}");
    }
}

#[test]
fn all_forms_of_events_are_passed_on() {
    for text in [
        "id: 4\r\ndata: a\r\n\r\n",
        "data\n\n",
        "data: [DONE]\n\n",
        ": a comment\n\n",
        "event: end\nid:4\ndata:\ndata: b\n\n",
        "weight-versions: 3\nid: 4\ndata: a\n\n",
        "retry: 100\n\n",
        "\n",
    ] {
        let mut splitter = EventSplitter::default();
        let events = splitter.push(text.as_bytes(), Some(3));
        let events = events.expect("an event").expect("an event");
        assert_eq!(&events.bytes[..], text.as_bytes());
    }
}
