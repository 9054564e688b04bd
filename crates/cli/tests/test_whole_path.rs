//! Requests end to end through separate processes.

mod common;

use common::{Load, assert_invariants, start_site};

#[test]
fn load_through_three_node_processes_is_answered_whole() {
    let fleet = start_site(3, 3, &[]);
    let summary = Load::start(&fleet, 3, 40, 1).finish();
    assert_invariants(&summary);
    assert_eq!(summary["answered"], summary["requests"], "{summary}");
}
