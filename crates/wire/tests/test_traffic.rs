//! Control traffic per node, which must not grow with the size of the fleet.

#[path = "../../core/tests/fleet/mod.rs"]
mod fleet;

use std::cell::RefCell;
use std::rc::Rc;

use flamingolock_core::heartbeat;
use flamingolock_core::prelude::*;
use flamingolock_wire::codec::LENGTH_BYTES;
use flamingolock_wire::convert::{Offsets, heartbeat_message};
use flamingolock_wire::message::{
    Payload, PeerFrame, Probe, ProbeAnswer, ProbeAnswers, ProbeBatch,
};
use fleet::Fleet;
use prost::Message;

/// Maximum rate of all control traffic that one node sends, in bytes per second.
const BUDGET: f64 = 3000.0;

fn frame_bytes(payload: Payload) -> usize {
    LENGTH_BYTES + PeerFrame::from(payload).encoded_len()
}

fn heartbeat_bytes(heartbeat: &heartbeat::Heartbeat) -> usize {
    let mut heartbeat = heartbeat.clone();
    // Real incarnations are start times and encode to six bytes; those of the
    // simulation are shorter.
    heartbeat.state.incarnation.0 += 1_700_000_000_000;
    for report in &mut heartbeat.reports {
        report.state.incarnation.0 += 1_700_000_000_000;
        report.instance = format!("amman-a-{}", report.instance).into();
    }
    let offsets = Offsets {
        control: Offset(3_000_000),
        claims: Offset(300_000_000),
    };
    frame_bytes(Payload::Heartbeat(heartbeat_message(&heartbeat, offsets)))
}

/// Returns the bytes per second that the average node and the busiest node send.
fn rates<F>(fleet: &mut Fleet, duration: Millis, disturb: F) -> (f64, f64)
where
    F: FnOnce(&mut Fleet),
{
    let sent = Rc::new(RefCell::new(vec![0; fleet.nodes.len()]));
    let counts = Rc::clone(&sent);
    fleet.observe = Box::new(move |from, heartbeat| {
        counts.borrow_mut()[from] += heartbeat_bytes(heartbeat);
    });
    disturb(fleet);
    fleet.run(duration);
    let sent = sent.borrow();
    let total: usize = sent.iter().sum();
    let most = sent.iter().max().copied().unwrap_or(0);
    let seconds = duration.as_secs_f64();
    (
        total as f64 / sent.len() as f64 / seconds,
        most as f64 / seconds,
    )
}

#[test]
fn heartbeat_traffic_is_independent_of_fleet_size() {
    for count in [9, 100, 340] {
        let mut fleet = Fleet::new(count);
        fleet.exchange_states();
        // Long enough that no report is relayed any more.
        fleet.run(Millis(150_000));
        let (average, most) = rates(&mut fleet, Millis(20_000), |_| {});
        println!("{count} nodes, quiet: {average:.0} B/s on average, {most:.0} B/s at most");
        assert!((200.0..300.0).contains(&average), "{average} B/s");
        assert!(most < 700.0, "{most} B/s");

        let (average, most) = rates(&mut fleet, Millis(10_000), |fleet| {
            fleet.leave(1);
            fleet.kill(2);
        });
        println!("{count} nodes, one leaves, one fails: {average:.0} B/s, {most:.0} B/s at most");
        assert!(average < 500.0, "{average} B/s");
        assert!(most < 1000.0, "{most} B/s");
    }
}

/// Nodes that start at the same time learn each other's incarnations in the background,
/// which must not exceed the budget.
#[test]
fn a_simultaneous_start_stays_within_the_budget() {
    for count in [9, 100, 340] {
        let mut fleet = Fleet::new(count);
        let (average, most) = rates(&mut fleet, Millis(30_000), |_| {});
        println!("{count} nodes, common start: {average:.0} B/s, {most:.0} B/s at most");
        assert!(most < BUDGET, "{most} B/s");
    }
}

#[test]
fn a_mass_failure_stays_within_the_budget() {
    let mut fleet = Fleet::new(100);
    fleet.run(Millis(40_000));
    let (average, most) = rates(&mut fleet, Millis(15_000), |fleet| {
        for index in 0..50 {
            fleet.kill(index * 2);
        }
    });
    println!("half of 100 nodes fail: {average:.0} B/s on average, {most:.0} B/s at most");
    assert!(most < BUDGET, "{most} B/s");
}

#[test]
fn probes_of_the_largest_fleet_fit_the_budget() {
    let probe = Probe {
        id: 20_000,
        engine: "engine-07".to_owned(),
        workspace: "qasr-amman".to_owned(),
        priority: 3,
        tokens: 12_000,
        blocks: vec![u64::MAX; 3],
        lengths: vec![20, 300, 750],
        cost: 3000,
    };
    let answer = ProbeAnswer {
        id: 20_000,
        wait_ms: 150,
        missing_tokens: 2000,
        expected_ms: 250,
        incarnation: 1_700_000_000_000,
    };
    let question = frame_bytes(Payload::ProbeBatch(ProbeBatch {
        probes: vec![probe],
    }));
    let reply = frame_bytes(Payload::ProbeAnswers(ProbeAnswers {
        answers: vec![answer],
    }));
    for probes in [3.0, 4.0] {
        let rate = 2700.0 * probes / 340.0;
        let bytes = rate * (question + reply) as f64;
        println!(
            "{probes} probes per request, {question} + {reply} bytes without batching: {bytes:.0} B/s"
        );
    }
    let bytes = 2700.0 * 3.0 / 340.0 * (question + reply) as f64;
    assert!(bytes + 300.0 < BUDGET, "{bytes} B/s");
}
